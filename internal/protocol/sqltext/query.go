package sqltext

import "strings"

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
	s := Statement{Kind: Other, Sticky: calls(t)}
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
func calls(t []token) (p StickyReason) {
	for i, x := range t {
		if x.kind != 'w' || i+1 >= len(t) || !t[i+1].sign("(") {
			continue
		}
		switch n := strings.ToLower(x.text); {
		case strings.HasPrefix(n, "pg_advisory_lock"), strings.HasPrefix(n, "pg_try_advisory_lock"):
			p |= StickyAdvisoryLock
		case n == "set_config":
			p |= StickyUnknownSetting
		}
	}
	return p
}
