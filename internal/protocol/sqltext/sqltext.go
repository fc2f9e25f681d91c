// Package sqltext parses SQL as far as a pooler needs: where statements end, what each does to its session and its transaction, and whether
// it is known to be a plain read. Its input is the text of a query, its output the statements in the text. It classifies a statement that it does not
// know by the worst case. So it does with a text whose statements need more than maxEntries entries: it binds its session to the connection
// (StickyUnknownText).
package sqltext

import "strings"

// Kind is what a statement does to its session or transaction.
type Kind uint8

// The kinds of statements.
const (
	Other Kind = iota // a statement that is not known to be a plain read
	Read
	Begin
	Commit // also END
	Rollback
	Savepoint
	Release
	RollbackTo
	Set        // sets the setting Name to Value, or to its default where Value is empty
	ResetAll   // all settings
	DiscardAll // all state of the session
	Deallocate // the prepared statement Name, or all where Name is empty
	Empty
	Show
	Unterminated // a text that ends within a quotation, a comment or the body of a routine, which servers reject
)

var kindNames = [...]string{"other", "read", "begin", "commit", "rollback", "savepoint", "release", "rollback to", "set", "reset all",
	"discard all", "deallocate", "empty", "show", "unterminated"}

// String returns the kind in lower case.
func (kind Kind) String() string { return kindNames[kind] }

// StickyReason is why a session must keep its connection to a server. It is a set of the constants below.
type StickyReason uint8

// The reasons why a session must keep its connection.
const (
	StickyTempTables     StickyReason = 1 << iota
	StickyAdvisoryLock                // held by the session, not by a transaction
	StickyCursor                      // a cursor WITH HOLD
	StickyListen                      // LISTEN
	StickyPrepare                     // PREPARE in SQL
	StickyUnknownSetting              // a setting whose name or value cannot be determined
	StickyUnknownText                 // a text whose statements cannot be determined
)

var stickyReasonTexts = []string{"temporary tables", "advisory locks", "a cursor with hold", "LISTEN", "PREPARE", "a setting that cannot be read",
	"a text that cannot be read"}

// String returns the reasons, separated by commas, as clients get them in error messages.
func (reason StickyReason) String() string {
	var texts []string
	for i, text := range stickyReasonTexts {
		if reason&(1<<i) != 0 {
			texts = append(texts, text)
		}
	}
	return strings.Join(texts, ", ")
}

// Statement is one statement of a text, or several in a row with the same effects.
type Statement struct {
	Kind     Kind
	Name     string // of a setting in lower case, of a savepoint or of a prepared statement
	Value    string // of a setting, as SQL
	Local    bool   // the setting is for this transaction only
	ReadOnly bool   // of Begin: the transaction is declared read-only
	Sticky   StickyReason
	Copy     bool // COPY from or to the client
	Opaque   bool // it may leave state in the session that its text does not show, because it runs code of the database
	From, To int  // byte offsets in the text: of its start and after its end
	More     int  // further statements behind this one, of which each has the same effects
}

// maxEntries bounds the entries that Split returns.
const maxEntries = 1000

// UnknownText is the statement that stands for a text whose statements cannot be determined.
var UnknownText = Statement{Kind: Other, Sticky: StickyUnknownText, Opaque: true}

// sameEffects reports whether two statements have the same effects, and no name or value by which they differ.
func (s *Statement) sameEffects(other *Statement) bool {
	if s.Kind != other.Kind || s.Kind != Other && s.Kind != Read {
		return false
	}
	return s.Sticky == other.Sticky && s.Copy == other.Copy && s.Opaque == other.Opaque
}

// Split returns the statements of a text, those in a row that have the same effects as one entry.
func Split(sql string) []Statement {
	var entries []Statement
	terminated := eachStatement(sql, func(s Statement) bool {
		if last := len(entries) - 1; last >= 0 && entries[last].sameEffects(&s) {
			entries[last].More++
			entries[last].To = s.To
			return true
		}
		entries = append(entries, s)
		return len(entries) <= maxEntries
	})
	switch {
	case len(entries) > maxEntries:
		return []Statement{UnknownText}
	case !terminated:
		return []Statement{{Kind: Unterminated, Opaque: true}}
	}
	return entries
}

// SplitEach returns the statements of a text, each as an entry of its own. ok is false if the text is not terminated.
func SplitEach(sql string) (statements []Statement, ok bool) {
	ok = eachStatement(sql, func(s Statement) bool {
		statements = append(statements, s)
		return true
	})
	return statements, ok
}

// eachStatement calls visit with each statement of a text, until it returns false. It returns false then, and if the text ends within a quotation,
// a comment or the body of a routine. A text without a statement has one of kind Empty.
func eachStatement(sql string, visit func(Statement) bool) bool {
	tokens, ok := scan(sql)
	if !ok {
		return false
	}
	from, found := 0, false
	var inside nesting
	flush := func(to int) bool {
		part := tokens[from:to]
		from = to + 1
		if len(part) == 0 {
			return true
		}
		found = true
		statement := classify(sql, part)
		if statement.Kind == Other {
			statement.Opaque = statementTokens(part).areOpaque()
			statement.Sticky |= statementTokens(part).stickyReasons()
		}
		statement.From, statement.To = part[0].from, part[len(part)-1].to
		return visit(statement)
	}
	for i := range tokens {
		if !tokens[i].isSymbol(";") {
			inside.follow(tokens[from : i+1])
			continue
		}
		if inside.isOutermost() && !flush(i) {
			return false
		}
	}
	if inside.body > 0 || !flush(len(tokens)) {
		return false
	}
	return found || visit(Statement{Kind: Empty})
}
