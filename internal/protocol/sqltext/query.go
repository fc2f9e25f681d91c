package sqltext

import "strings"

// readOnlyFunctions are functions that are known to have no side effects, and keywords that may stand before a parenthesis.
var readOnlyFunctions = wordSet(`abs age array_agg avg bool_and bool_or cast ceil ceiling char_length coalesce concat concat_ws count current_database
	current_schema current_setting date_part date_trunc decode encode every exists extract floor format generate_series greatest initcap
	json_agg json_build_object jsonb_agg jsonb_build_object least left length lower lpad ltrim make_date make_interval max md5 min mod now
	nullif octet_length pg_backend_pid pg_is_in_recovery pg_typeof position power rank regexp_replace repeat replace reverse right round
	row row_number rpad rtrim sign split_part sqrt statement_timestamp string_agg strpos substr substring sum to_char to_date to_number
	to_timestamp transaction_timestamp trim trunc unnest upper version lag lead first_value last_value dense_rank ntile array_length
	cardinality any some all in values over filter varchar char numeric decimal bit timestamp time interval float and or not on using when
	then else case where as limit offset distinct select from union except intersect having by between like ilike similar is row within group`)

func wordSet(text string) map[string]bool {
	set := map[string]bool{}
	for _, word := range strings.Fields(text) {
		set[word] = true
	}
	return set
}

// classifyQuery classifies a statement as Read if it is a plain read: a query without row locks, without changes of data in WITH, and
// without functions other than those of readOnlyFunctions.
func classifyQuery(tokens statementTokens) Statement {
	s := Statement{Kind: Other}
	first := 0
	for first < len(tokens) && tokens[first].isSymbol("(") {
		first++
	}
	if !tokens.at(first).isWord("SELECT", "VALUES", "TABLE", "WITH") {
		return s
	}
	for i := first; i < len(tokens); i++ {
		if tokens.changesData(i) || tokens.locksRows(i) || tokens.callsUnknownFunction(i) {
			return s
		}
	}
	s.Kind = Read
	return s
}

// changesData reports whether the token with index i is a keyword by which a query changes data.
func (tokens statementTokens) changesData(i int) bool {
	return tokens[i].isWord("INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "CALL", "DO")
}

// locksRows reports whether a locking clause begins at index i.
func (tokens statementTokens) locksRows(i int) bool {
	return tokens[i].isWord("FOR") && tokens.at(i+1).isWord("UPDATE", "SHARE", "NO", "KEY")
}

// callsUnknownFunction reports whether the token with index i is the name of a function that may have side effects.
func (tokens statementTokens) callsUnknownFunction(i int) bool {
	t := &tokens[i]
	if !t.isName() || !tokens.isSymbol(i+1, "(") {
		return false
	}
	qualified := i > 0 && tokens[i-1].isSymbol(".")
	return t.kind == quotedName || qualified || !readOnlyFunctions[strings.ToLower(t.text)]
}
