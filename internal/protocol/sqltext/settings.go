package sqltext

import "strings"

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
			return Statement{Kind: Other, Sticky: StickyUnknownSetting}
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
		return Statement{Kind: Other, Sticky: StickyUnknownSetting}
	default:
		n, end := dotted(t, i)
		if n == "" || !at(end).is("TO") && !at(end).sign("=") || end+1 >= len(t) {
			return Statement{Kind: Other, Sticky: StickyUnknownSetting}
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
	return Statement{Kind: Other, Sticky: StickyUnknownSetting}
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
