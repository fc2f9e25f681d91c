package sqltext

// nesting follows how deep a statement is nested: a semicolon within parentheses, or within the body of an SQL routine, does not end it. The zero value is
// that of a statement that begins.
type nesting struct {
	parentheses int // open ones, and brackets
	body        int // BEGIN ATOMIC, and each CASE behind it, without their END
}

// isOutermost reports whether a semicolon ends the statement.
func (inside *nesting) isOutermost() bool { return inside.parentheses <= 0 && inside.body == 0 }

// follow takes the next token of a statement, which is the last one of its tokens so far.
func (inside *nesting) follow(tokens statementTokens) {
	last := len(tokens) - 1
	switch token := &tokens[last]; {
	case token.isSymbol("(") || token.isSymbol("["):
		inside.parentheses++
	case token.isSymbol(")") || token.isSymbol("]"):
		inside.parentheses--
	case token.kind != word:
	case token.isWord("ATOMIC") && last > 0 && tokens[last-1].isWord("BEGIN") && tokens.createsRoutine():
		inside.body++
	case inside.body > 0 && token.isWord("CASE"):
		inside.body++
	case inside.body > 0 && token.isWord("END"):
		inside.body--
	}
}

// createsRoutine reports whether the statement creates a function or a procedure.
func (tokens statementTokens) createsRoutine() bool {
	kindAt := 1
	if tokens.at(1).isWord("OR") { // OR REPLACE
		kindAt = 3
	}
	return tokens[0].isWord("CREATE") && tokens.at(kindAt).isWord("FUNCTION", "PROCEDURE")
}
