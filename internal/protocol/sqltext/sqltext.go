// Package sqltext reads SQL as far as a pooler must: where statements end, what each does to its session and its transaction, and
// whether it is known to be a plain read. Its input is the text of a query, its output a Statement for each statement of it. What it
// does not know it classifies as the worse alternative. A text of more than maxStatements statements counts as one unknown statement.
package sqltext

import "strings"

// Kind is what a statement does to its session or transaction.
type Kind uint8

// The kinds of statements.
const (
	Other Kind = iota // a statement that is not known to be a plain read
	Read
	Begin
	Commit // END as well
	Rollback
	Savepoint
	Release
	RollbackTo
	Set        // sets the setting Name to Value, or to its default where Value is empty
	ResetAll   // all settings
	DiscardAll // everything
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

// The reasons.
const (
	StickyTempTables     StickyReason = 1 << iota
	StickyAdvisoryLock                // of the session, not of a transaction
	StickyCursor                      // a cursor WITH HOLD
	StickyListen                      // LISTEN
	StickyPrepare                     // PREPARE in SQL
	StickyUnknownSetting              // a setting whose name or value can't be read
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
	From, To int  // its place in the text, in bytes
}

const maxStatements = 1000

// Split reads the statements of a text. A text that is cut off in a quotation or a comment is one statement of kind Other.
func Split(sql string) []Statement {
	tokens, ok := scan(sql)
	if !ok {
		return []Statement{{Kind: Other, From: 0, To: len(sql)}}
	}
	var statements []Statement
	from, depth := 0, 0
	flush := func(to int) {
		if part := tokens[from:to]; len(part) > 0 {
			statement := classify(sql, part)
			statement.From, statement.To = part[0].from, part[len(part)-1].to
			statements = append(statements, statement)
		}
		from = to + 1
	}
	for i, t := range tokens {
		switch {
		case t.isSign("(") || t.isSign("["):
			depth++
		case t.isSign(")") || t.isSign("]"):
			depth--
		case t.isSign(";") && depth <= 0:
			flush(i)
		}
		if len(statements) == maxStatements {
			return []Statement{{Kind: Other, From: 0, To: len(sql)}}
		}
	}
	flush(len(tokens))
	if len(statements) == 0 {
		return []Statement{{Kind: Empty}}
	}
	return statements
}
