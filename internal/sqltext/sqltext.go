// Package sqltext reads SQL as far as a pooler must: where statements end, what each does to its session and its
// transaction, and whether it is known to be a plain read. What it does not know, it takes for the worse.
package sqltext

import (
	"strings"
)

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

// Pin is what binds a session to its server's connection.
type Pin uint8

// The pins; a statement may have several.
const (
	PinTemp     Pin = 1 << iota // temporary tables
	PinAdvisory                 // advisory locks of the session
	PinCursor                   // a cursor WITH HOLD
	PinListen
	PinPrepare // PREPARE in SQL
	PinUnknown // a setting whose name or value can't be read
)

var pinNames = []string{"temporary tables", "advisory locks", "a cursor with hold", "LISTEN", "PREPARE", "a setting that cannot be read"}

func (p Pin) String() string {
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
	Pin      Pin
	Copy     bool // COPY from or to the client
	From, To int  // its place in the text
}

const maxStatements = 1000

// token is a word, a quoted name, a text, a number or one sign.
type token struct {
	kind byte // 'w' word, 'q' quoted name, 's' text, 'n' number, 'p' sign
	text string
	from int
	to   int
}

func (t token) is(words ...string) bool {
	if t.kind != 'w' {
		return false
	}
	for _, w := range words {
		if strings.EqualFold(t.text, w) {
			return true
		}
	}
	return false
}

func (t token) sign(s string) bool { return t.kind == 'p' && t.text == s }

// name is an identifier as PostgreSQL folds it.
func (t token) name() string {
	if t.kind == 'q' {
		return t.text
	}
	return strings.ToLower(t.text)
}

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

// scan cuts a text into tokens; false where a quotation or a comment does not end.
func scan(s string) ([]token, bool) {
	var out []token
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			i++
		case strings.HasPrefix(s[i:], "--"):
			for i < len(s) && s[i] != '\n' && s[i] != '\r' {
				i++
			}
		case strings.HasPrefix(s[i:], "/*"):
			end := comment(s, i)
			if end < 0 {
				return nil, false
			}
			i = end
		case c == '\'' || (c == 'e' || c == 'E') && strings.HasPrefix(s[i+1:], "'"):
			from, escapes := i, c != '\''
			if escapes {
				i++
			}
			text, end, ok := quoted(s, i, '\'', escapes)
			if !ok {
				return nil, false
			}
			out = append(out, token{'s', text, from, end})
			i = end
		case c == '"':
			text, end, ok := quoted(s, i, '"', false)
			if !ok {
				return nil, false
			}
			out = append(out, token{'q', text, i, end})
			i = end
		case c == '$' && (len(out) == 0 || out[len(out)-1].to != i || out[len(out)-1].kind != 'w'):
			if tag, ok := dollar(s[i:]); ok {
				n := strings.Index(s[i+len(tag):], tag)
				if n < 0 {
					return nil, false
				}
				end := i + len(tag) + n + len(tag)
				out = append(out, token{'s', s[i+len(tag) : i+len(tag)+n], i, end})
				i = end
				continue
			}
			out = append(out, token{'p', "$", i, i + 1})
			i++
		case letter(c):
			from := i
			for i < len(s) && (letter(s[i]) || digit(s[i]) || s[i] == '$') {
				i++
			}
			out = append(out, token{'w', s[from:i], from, i})
		case digit(c):
			from := i
			for i < len(s) && (digit(s[i]) || letter(s[i]) || s[i] == '.') {
				i++
			}
			out = append(out, token{'n', s[from:i], from, i})
		default:
			out = append(out, token{'p', s[i : i+1], i, i + 1})
			i++
		}
	}
	return out, true
}

// comment is the end of a comment, which may hold others.
func comment(s string, i int) int {
	depth := 0
	for i < len(s) {
		switch {
		case strings.HasPrefix(s[i:], "/*"):
			depth, i = depth+1, i+2
		case strings.HasPrefix(s[i:], "*/"):
			if depth, i = depth-1, i+2; depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return -1
}

func quoted(s string, i int, q byte, escapes bool) (text string, end int, ok bool) {
	var b strings.Builder
	for i++; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\' && i+1 < len(s):
			b.WriteByte(s[i])
			i++
			b.WriteByte(s[i])
		case s[i] == q && i+1 < len(s) && s[i+1] == q:
			b.WriteByte(q)
			i++
		case s[i] == q:
			return b.String(), i + 1, true
		default:
			b.WriteByte(s[i])
		}
	}
	return "", 0, false
}

// dollar is the tag that a dollar-quoted text begins with.
func dollar(s string) (string, bool) {
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '$':
			return s[:i+1], true
		case !letter(s[i]) && (i == 1 || !digit(s[i])):
			return "", false
		}
	}
	return "", false
}

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

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
		return Statement{Kind: Other, Pin: PinUnknown}
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
		return Statement{Kind: Other, Pin: PinListen}
	case first.is("PREPARE"):
		if at(1).is("TRANSACTION") {
			return Statement{Kind: Other}
		}
		return Statement{Kind: Other, Pin: PinPrepare}
	case first.is("DECLARE"):
		s := Statement{Kind: Other}
		for i := range t {
			if t[i].is("WITH") && at(i+1).is("HOLD") {
				s.Pin = PinCursor
			}
		}
		return s
	case first.is("CREATE") || first.is("SELECT") && hasInto(t):
		s := Statement{Kind: Other, Pin: calls(t)}
		for i, x := range t[1:] {
			if x.is("TEMP", "TEMPORARY") && (first.is("CREATE") || t[i].is("INTO")) {
				s.Pin |= PinTemp
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

func hasInto(t []token) bool {
	for _, x := range t {
		if x.is("INTO") {
			return true
		}
	}
	return false
}

// dotted reads a setting's name, which may have parts.
func dotted(t []token, i int) (name string, end int) {
	if i >= len(t) || t[i].kind != 'w' && t[i].kind != 'q' {
		return "", i
	}
	name = strings.ToLower(t[i].text)
	for i++; i+1 < len(t) && t[i].sign(".") && (t[i+1].kind == 'w' || t[i+1].kind == 'q'); i += 2 {
		name += "." + strings.ToLower(t[i+1].text)
	}
	return name, i
}

// set reads SET in its forms.
func set(sql string, t []token) Statement {
	s := Statement{Kind: Set}
	i := 1
	at := func(i int) token {
		if i < len(t) {
			return t[i]
		}
		return token{}
	}
	switch {
	case at(1).is("LOCAL"):
		s.Local, i = true, 2
	case at(1).is("SESSION") && at(2).is("CHARACTERISTICS"):
		return characteristics(t)
	case at(1).is("SESSION") && !at(2).is("AUTHORIZATION"):
		i = 2
	case at(1).is("TRANSACTION"), at(1).is("CONSTRAINTS"):
		return Statement{Kind: Other} // of the transaction alone
	}
	value := func(from int) string {
		if from >= len(t) {
			return ""
		}
		if at(from).is("DEFAULT") && from == len(t)-1 {
			return ""
		}
		return strings.TrimSpace(sql[t[from].from:t[len(t)-1].to])
	}
	switch {
	case at(i).is("TIME") && at(i+1).is("ZONE"):
		s.Name, s.Value = "timezone", value(i+2)
		if at(i + 2).is("LOCAL") {
			s.Value = ""
		}
		if strings.HasPrefix(strings.ToUpper(s.Value), "INTERVAL") {
			return Statement{Kind: Other, Pin: PinUnknown}
		}
	case at(i).is("NAMES"):
		s.Name, s.Value = "client_encoding", value(i+1)
	case at(i).is("ROLE"):
		s.Name, s.Value = "role", value(i+1)
		if at(i + 1).is("NONE") {
			s.Value = ""
		}
	case at(i).is("SESSION") && at(i+1).is("AUTHORIZATION"):
		s.Name, s.Value = "session_authorization", value(i+2)
	case at(i).is("XML", "SCHEMA", "CATALOG"):
		return Statement{Kind: Other, Pin: PinUnknown}
	default:
		n, end := dotted(t, i)
		if n == "" || !at(end).is("TO") && !at(end).sign("=") || end+1 >= len(t) {
			return Statement{Kind: Other, Pin: PinUnknown}
		}
		s.Name, s.Value = n, value(end+1)
	}
	return s
}

// characteristics reads the one form of SET that names several settings; it is carried where it names one.
func characteristics(t []token) Statement {
	for i := range t {
		if t[i].is("READ") && i+2 == len(t) && i == 5 {
			v := "off"
			if t[i+1].is("ONLY") {
				v = "on"
			}
			return Statement{Kind: Set, Name: "default_transaction_read_only", Value: v}
		}
	}
	return Statement{Kind: Other, Pin: PinUnknown}
}

// pure are functions that are known to change nothing.
var pure = map[string]bool{}

func init() {
	for _, f := range strings.Fields(`abs age array_agg avg bool_and bool_or cast ceil ceiling char_length coalesce concat concat_ws count current_database
		current_schema current_setting date_part date_trunc decode encode every exists extract floor format generate_series greatest initcap
		json_agg json_build_object jsonb_agg jsonb_build_object least left length lower lpad ltrim make_date make_interval max md5 min mod now
		nullif octet_length pg_backend_pid pg_is_in_recovery pg_typeof position power rank regexp_replace repeat replace reverse right round
		row row_number rpad rtrim sign split_part sqrt statement_timestamp string_agg strpos substr substring sum to_char to_date to_number
		to_timestamp transaction_timestamp trim trunc unnest upper version lag lead first_value last_value dense_rank ntile array_length
		cardinality any some all in values over filter varchar char numeric decimal bit timestamp time interval float and or not on using when
		then else case where as limit offset distinct select from union except intersect having by between like ilike similar is row within group`) {
		pure[f] = true
	}
}

// query tells whether what is left is a plain read: a query without locks, without data changed in a WITH, and without
// functions that are not known to change nothing.
func query(t []token) Statement {
	s := Statement{Kind: Other, Pin: calls(t)}
	i := 0
	for i < len(t) && t[i].sign("(") {
		i++
	}
	if i == len(t) || !t[i].is("SELECT", "VALUES", "TABLE", "WITH") {
		return s
	}
	for k := i; k < len(t); k++ {
		x := t[k]
		switch {
		case x.is("INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "CALL", "DO"):
			return s
		case x.is("FOR") && k+1 < len(t) && t[k+1].is("UPDATE", "SHARE", "NO", "KEY"):
			return s
		case (x.kind == 'w' || x.kind == 'q') && k+1 < len(t) && t[k+1].sign("("):
			if x.kind == 'q' || !pure[strings.ToLower(x.text)] || k > 0 && t[k-1].sign(".") {
				return s
			}
		}
	}
	s.Kind = Read
	return s
}

// calls finds calls that bind a session to its connection.
func calls(t []token) (p Pin) {
	for i, x := range t {
		if x.kind != 'w' || i+1 >= len(t) || !t[i+1].sign("(") {
			continue
		}
		switch n := strings.ToLower(x.text); {
		case strings.HasPrefix(n, "pg_advisory_lock"), strings.HasPrefix(n, "pg_try_advisory_lock"):
			p |= PinAdvisory
		case n == "set_config":
			p |= PinUnknown
		}
	}
	return p
}

// SetConfig reads a query that is nothing but one call of set_config with texts that are written out.
func SetConfig(sql string) (Statement, bool) {
	t, ok := scan(sql)
	if !ok {
		return Statement{}, false
	}
	if len(t) > 0 && t[len(t)-1].sign(";") {
		t = t[:len(t)-1]
	}
	if len(t) != 9 || !t[0].is("SELECT") || !t[1].is("set_config") || !t[2].sign("(") || t[3].kind != 's' || !t[4].sign(",") ||
		t[5].kind != 's' || !t[6].sign(",") || !t[7].is("true", "false") || !t[8].sign(")") {
		return Statement{}, false
	}
	return Statement{Kind: Set, Name: strings.ToLower(t[3].text), Value: Quote(t[5].text), Local: t[7].is("true"), From: t[0].from, To: t[8].to}, true
}

// Quote writes a text as SQL has it.
func Quote(s string) string {
	q := "'" + strings.ReplaceAll(s, "'", "''") + "'"
	if strings.Contains(s, `\`) {
		return " E" + strings.ReplaceAll(q, `\`, `\\`)
	}
	return q
}

// Ident writes a name as SQL has it.
func Ident(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }
