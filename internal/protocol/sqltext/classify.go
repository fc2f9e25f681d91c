package sqltext

// statementTokens are the tokens of one statement, at least one.
type statementTokens []token

// noToken is the token that at returns for an index beyond the end of a statement.
var noToken token

// at returns the token with index i, and noToken beyond the end.
func (tokens statementTokens) at(i int) *token {
	if i < len(tokens) {
		return &tokens[i]
	}
	return &noToken
}

// isSymbol reports whether the token with index i is the symbol s.
func (tokens statementTokens) isSymbol(i int, s string) bool {
	return i < len(tokens) && tokens[i].kind == symbol && tokens[i].text == s
}

// name returns the identifier with index i.
func (tokens statementTokens) name(i int) string { return tokens.at(i).identifier() }

// contains reports whether one of the tokens is the given word, in any case.
func (tokens statementTokens) contains(word string) bool {
	for _, t := range tokens {
		if t.isWord(word) {
			return true
		}
	}
	return false
}

// classify returns what one statement does.
func classify(sql string, tokens statementTokens) Statement {
	switch first := tokens[0]; {
	case first.isWord("BEGIN"), first.isWord("START") && tokens.at(1).isWord("TRANSACTION"):
		return classifyBegin(tokens)
	case first.isWord("COMMIT", "END"):
		if tokens.at(1).isWord("PREPARED") {
			return Statement{Kind: Other}
		}
		return Statement{Kind: Commit}
	case first.isWord("ROLLBACK", "ABORT"):
		return classifyRollback(tokens)
	case first.isWord("SAVEPOINT"):
		return Statement{Kind: Savepoint, Name: tokens.name(1)}
	case first.isWord("RELEASE"):
		if tokens.at(1).isWord("SAVEPOINT") {
			return Statement{Kind: Release, Name: tokens.name(2)}
		}
		return Statement{Kind: Release, Name: tokens.name(1)}
	case first.isWord("SET"):
		return classifySet(sql, tokens)
	case first.isWord("RESET"):
		return classifyReset(tokens)
	case first.isWord("DISCARD"):
		if tokens.at(1).isWord("ALL") {
			return Statement{Kind: DiscardAll}
		}
		return Statement{Kind: Other}
	case first.isWord("DEALLOCATE"):
		return classifyDeallocate(tokens)
	case first.isWord("SHOW"):
		return Statement{Kind: Show}
	case first.isWord("LISTEN", "UNLISTEN"):
		return Statement{Kind: Other, Sticky: StickyListen}
	case first.isWord("PREPARE"):
		if tokens.at(1).isWord("TRANSACTION") {
			return Statement{Kind: Other}
		}
		return Statement{Kind: Other, Sticky: StickyPrepare}
	case first.isWord("DECLARE"):
		return classifyDeclare(tokens)
	case first.isWord("COPY"):
		return Statement{Kind: Other, Copy: true}
	}
	return classifyQuery(tokens)
}

// classifyBegin classifies BEGIN and START TRANSACTION.
func classifyBegin(tokens statementTokens) Statement {
	s := Statement{Kind: Begin}
	for i := range tokens {
		if tokens[i].isWord("READ") {
			s.ReadOnly = tokens.at(i + 1).isWord("ONLY")
		}
	}
	return s
}

// classifyRollback classifies ROLLBACK and ABORT.
func classifyRollback(tokens statementTokens) Statement {
	for i := 1; i < len(tokens); i++ {
		if tokens[i].isWord("PREPARED") {
			return Statement{Kind: Other}
		}
		if tokens[i].isWord("TO") {
			if tokens.at(i + 1).isWord("SAVEPOINT") {
				i++
			}
			return Statement{Kind: RollbackTo, Name: tokens.name(i + 1)}
		}
	}
	return Statement{Kind: Rollback}
}

// classifyDeallocate classifies DEALLOCATE.
func classifyDeallocate(tokens statementTokens) Statement {
	i := 1
	if tokens.at(1).isWord("PREPARE") && len(tokens) > 2 {
		i = 2
	}
	if tokens.at(i).isWord("ALL") {
		return Statement{Kind: Deallocate}
	}
	return Statement{Kind: Deallocate, Name: tokens.name(i)}
}

// classifyDeclare classifies DECLARE.
func classifyDeclare(tokens statementTokens) Statement {
	s := Statement{Kind: Other}
	for i := range tokens {
		if tokens[i].isWord("WITH") && tokens.at(i+1).isWord("HOLD") {
			s.Sticky = StickyCursor
		}
	}
	return s
}
