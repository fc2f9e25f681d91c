package sqltext

import "strings"

// temporarySchema is the schema of a session's temporary objects.
const temporarySchema = "pg_temp"

// settingSearchPath is the setting whose first schema is that in which objects are created.
const settingSearchPath = "search_path"

// stickyReasons returns the reasons why a statement that is no plain read binds its session to the server connection, wherever in the statement they
// are: a query that another statement runs has the same effects.
func (tokens statementTokens) stickyReasons() (reason StickyReason) {
	for i := range tokens {
		token := &tokens[i]
		switch {
		case !token.isName():
		case tokens.isSymbol(i+1, "("):
			reason |= token.callReason()
		case token.isNamed(temporarySchema), tokens.createsTemporary(i):
			reason |= StickyTempTables
		case token.isNamed("pg_settings") && (tokens.contains("UPDATE") || tokens.contains("MERGE")): // a rule of that view changes settings
			reason |= StickyUnknownSetting
		}
	}
	return reason
}

// callReason returns the reason why the call of the function with this name binds the session, 0 if it does not.
func (t *token) callReason() StickyReason {
	switch {
	case t.hasNamePrefix("pg_advisory_lock"), t.hasNamePrefix("pg_try_advisory_lock"):
		return StickyAdvisoryLock
	case t.isNamed("set_config"):
		return StickyUnknownSetting
	}
	return 0
}

// isNamed reports whether the token is the name as PostgreSQL folds it; name is in lower case.
func (t *token) isNamed(name string) bool { return len(t.text) == len(name) && t.hasNamePrefix(name) }

// hasNamePrefix reports whether the name that the token is, as PostgreSQL folds it, begins with a prefix in lower case.
func (t *token) hasNamePrefix(prefix string) bool {
	if len(t.text) < len(prefix) {
		return false
	}
	start := t.text[:len(prefix)]
	return start == prefix || t.kind == word && strings.EqualFold(start, prefix)
}

// createsTemporary reports whether the token with index i is the keyword by which CREATE or SELECT INTO creates a temporary object.
func (tokens statementTokens) createsTemporary(i int) bool {
	if i == 0 || !tokens[i].isWord("TEMP", "TEMPORARY") {
		return false
	}
	before := &tokens[i-1]
	if before.isWord("INTO") {
		isTableName := i > 1 && tokens[i-2].isWord("INSERT", "MERGE")
		return !isTableName
	}
	return before.isWord("CREATE", "REPLACE", "LOCAL", "GLOBAL")
}

// createsInTemporarySchema reports whether objects are created in the temporary schema under a search path, which is given as SQL.
func createsInTemporarySchema(searchPath string) bool {
	first := token{kind: word, text: strings.TrimLeft(searchPath, ` E'"`)}
	return first.hasNamePrefix(temporarySchema)
}
