// Package sqltext reads SQL as far as a pooler must: where statements end, what each does to its session and its
// transaction, and whether it is known to be a plain read. What it does not know, it takes for the worse.
package sqltext

import "strings"

// Kind is what a statement does to its session or transaction.
type Kind uint8

// The kinds.
const (
	Other Kind = iota // a statement that is not known to be a plain read
	Read
	Begin
	Commit // END as well
	Rollback
	Savepoint
	Release
	RollbackTo
	Set        // Name to Value, or to its default where Value is empty
	ResetAll   // all settings
	DiscardAll // everything
	Deallocate // the statement Name, or all where Name is empty
	Empty
	Show
)

// StickyReason is what binds a session to its server's connection.
type StickyReason uint8

// The pins; a statement may have several.
const (
	StickyTempTables   StickyReason = 1 << iota // temporary tables
	StickyAdvisoryLock                          // advisory locks of the session
	StickyCursor                                // a cursor WITH HOLD
	StickyListen
	StickyPrepare        // PREPARE in SQL
	StickyUnknownSetting // a setting whose name or value can't be read
)

var pinNames = []string{"temporary tables", "advisory locks", "a cursor with hold", "LISTEN", "PREPARE", "a setting that cannot be read"}

func (p StickyReason) String() string {
	var out []string
	for i, n := range pinNames {
		if p&(1<<i) != 0 {
			out = append(out, n)
		}
	}
	return strings.Join(out, ", ")
}

// Statement is one statement of a text.
type Statement struct {
	Kind     Kind
	Name     string // a setting's in lower case, a savepoint's or a prepared statement's
	Value    string // as SQL
	Local    bool   // for this transaction only
	ReadOnly bool   // Begin: declared so
	Sticky   StickyReason
	Copy     bool // COPY from or to the client
	From, To int  // its place in the text
}

const maxStatements = 1000

// Split reads a text's statements. Texts that are cut off in a quotation or a comment come back as Other.
func Split(sql string) []Statement {
	toks, ok := scan(sql)
	if !ok {
		return []Statement{{Kind: Other, From: 0, To: len(sql)}}
	}
	var out []Statement
	from, depth := 0, 0
	flush := func(to int) {
		if part := toks[from:to]; len(part) > 0 {
			s := read(sql, part)
			s.From, s.To = part[0].from, part[len(part)-1].to
			out = append(out, s)
		}
		from = to + 1
	}
	for i, t := range toks {
		switch {
		case t.sign("(") || t.sign("["):
			depth++
		case t.sign(")") || t.sign("]"):
			depth--
		case t.sign(";") && depth <= 0:
			flush(i)
		}
		if len(out) == maxStatements {
			return []Statement{{Kind: Other, From: 0, To: len(sql)}}
		}
	}
	flush(len(toks))
	if len(out) == 0 {
		return []Statement{{Kind: Empty}}
	}
	return out
}

// read tells what one statement does.
func read(sql string, t []token) Statement {
	at := func(i int) token {
		if i < len(t) {
			return t[i]
		}
		return token{}
	}
	name := func(i int) string { return at(i).name() }
	switch first := t[0]; {
	case first.is("BEGIN"), first.is("START") && at(1).is("TRANSACTION"):
		s := Statement{Kind: Begin}
		for i := range t {
			if t[i].is("READ") {
				s.ReadOnly = at(i + 1).is("ONLY")
			}
		}
		return s
	case first.is("COMMIT", "END"):
		if at(1).is("PREPARED") {
			return Statement{Kind: Other}
		}
		return Statement{Kind: Commit}
	case first.is("ROLLBACK", "ABORT"):
		for i := 1; i < len(t); i++ {
			if t[i].is("PREPARED") {
				return Statement{Kind: Other}
			}
			if t[i].is("TO") {
				if at(i + 1).is("SAVEPOINT") {
					i++
				}
				return Statement{Kind: RollbackTo, Name: name(i + 1)}
			}
		}
		return Statement{Kind: Rollback}
	case first.is("SAVEPOINT"):
		return Statement{Kind: Savepoint, Name: name(1)}
	case first.is("RELEASE"):
		if at(1).is("SAVEPOINT") {
			return Statement{Kind: Release, Name: name(2)}
		}
		return Statement{Kind: Release, Name: name(1)}
	case first.is("SET"):
		return set(sql, t)
	case first.is("RESET"):
		switch {
		case at(1).is("ALL"):
			return Statement{Kind: ResetAll}
		case at(1).is("TIME") && at(2).is("ZONE"):
			return Statement{Kind: Set, Name: "timezone"}
		case at(1).is("SESSION") && at(2).is("AUTHORIZATION"):
			return Statement{Kind: Set, Name: "session_authorization"}
		}
		if n, end := dotted(t, 1); n != "" && end == len(t) {
			return Statement{Kind: Set, Name: n}
		}
		return Statement{Kind: Other, Sticky: StickyUnknownSetting}
	case first.is("DISCARD"):
		if at(1).is("ALL") {
			return Statement{Kind: DiscardAll}
		}
		return Statement{Kind: Other}
	case first.is("DEALLOCATE"):
		i := 1
		if at(1).is("PREPARE") && len(t) > 2 {
			i = 2
		}
		if at(i).is("ALL") {
			return Statement{Kind: Deallocate}
		}
		return Statement{Kind: Deallocate, Name: name(i)}
	case first.is("SHOW"):
		return Statement{Kind: Show}
	case first.is("LISTEN", "UNLISTEN"):
		return Statement{Kind: Other, Sticky: StickyListen}
	case first.is("PREPARE"):
		if at(1).is("TRANSACTION") {
			return Statement{Kind: Other}
		}
		return Statement{Kind: Other, Sticky: StickyPrepare}
	case first.is("DECLARE"):
		s := Statement{Kind: Other}
		for i := range t {
			if t[i].is("WITH") && at(i+1).is("HOLD") {
				s.Sticky = StickyCursor
			}
		}
		return s
	case first.is("CREATE") || first.is("SELECT") && hasInto(t):
		s := Statement{Kind: Other, Sticky: calls(t)}
		for i, x := range t[1:] {
			if x.is("TEMP", "TEMPORARY") && (first.is("CREATE") || t[i].is("INTO")) {
				s.Sticky |= StickyTempTables
			}
			if first.is("CREATE") && x.is("TABLE", "AS", "VIEW", "FROM") {
				break
			}
		}
		return s
	case first.is("COPY"):
		return Statement{Kind: Other, Copy: true}
	}
	return query(t)
}
