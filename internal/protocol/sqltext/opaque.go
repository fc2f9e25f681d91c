package sqltext

import "strings"

// plainCommands are the first words of statements that run no code of the database but the functions that they call by name, and triggers.
var plainCommands = wordSet(`select values table with insert update delete merge copy truncate create alter drop comment grant revoke lock
	analyze vacuum explain fetch move close declare notify listen unlisten prepare set reset discard deallocate checkpoint reindex cluster refresh
	begin start commit end rollback abort savepoint release show`)

// areOpaque reports whether a statement may leave state in the session that its text does not show: it runs a block, a procedure or a function
// that is not known to change nothing. Functions that triggers call are not seen.
func (tokens statementTokens) areOpaque() bool {
	if !plainCommands[strings.ToLower(tokens[0].text)] && !tokens[0].isSymbol("(") {
		return true
	}
	for i := range tokens {
		if tokens.callsUnknownFunction(i) && !tokens.namesTable(i) {
			return true
		}
	}
	return false
}

// namesTable reports whether the name with index i is that of a table whose columns follow, as in INSERT INTO s.t (a, b), or ON CONFLICT.
func (tokens statementTokens) namesTable(i int) bool {
	if tokens[i].isWord("CONFLICT") {
		return true
	}
	for tokens.isQualified(i) {
		i -= 2
	}
	return i > 0 && tokens[i-1].isWord("INTO", "COPY", "TABLE")
}

// isQualified reports whether the name with index i follows another name and a dot.
func (tokens statementTokens) isQualified(i int) bool { return i > 1 && tokens[i-1].isSymbol(".") }
