// Package sqltext parses SQL as far as a pooler needs: where statements end, what each does to its session and its transaction, and whether
// it is known to be a plain read. Its input is the text of a query, its output a Statement for each statement in the text. It classifies a
// statement that it does not know by the worst case. A text of more than maxStatements statements counts as one unknown statement.
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
)

var kindNames = [...]string{"other", "read", "begin", "commit", "rollback", "savepoint", "release", "rollback to", "set", "reset all",
	"discard all", "deallocate", "empty", "show"}

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
)

var stickyReasonTexts = []string{"temporary tables", "advisory locks", "a cursor with hold", "LISTEN", "PREPARE", "a setting that cannot be read"}

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

// Statement is one statement of a text.
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
}

const maxStatements = 1000

// unknownText returns the one statement that stands for a text that cannot be split.
func unknownText(sql string) []Statement {
	return []Statement{{Kind: Other, Opaque: true, From: 0, To: len(sql)}}
}

// Split returns the statements of a text. A text that ends within a quotation or a comment is one statement of kind Other.
func Split(sql string) []Statement {
	tokens, ok := scan(sql)
	if !ok {
		return unknownText(sql)
	}
	var statements []Statement
	from, depth := 0, 0
	flush := func(to int) {
		if part := tokens[from:to]; len(part) > 0 {
			statement := classify(sql, part)
			statement.Opaque = statement.Kind == Other && statementTokens(part).areOpaque()
			statement.From, statement.To = part[0].from, part[len(part)-1].to
			statements = append(statements, statement)
		}
		from = to + 1
	}
	for i, t := range tokens {
		switch {
		case t.isSymbol("(") || t.isSymbol("["):
			depth++
		case t.isSymbol(")") || t.isSymbol("]"):
			depth--
		case t.isSymbol(";") && depth <= 0:
			flush(i)
		}
		if len(statements) == maxStatements {
			return unknownText(sql)
		}
	}
	flush(len(tokens))
	if len(statements) == 0 {
		return []Statement{{Kind: Empty}}
	}
	return statements
}
