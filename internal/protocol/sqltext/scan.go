package sqltext

import "strings"

// tokenKind is the kind of a token.
type tokenKind uint8

const (
	word tokenKind = iota + 1
	quotedName
	literal // a quoted string
	number
	symbol // one character that belongs to no other token
)

// token is a word, a quoted name, a literal, a number or a symbol. The zero token is none of them.
type token struct {
	kind tokenKind
	text string // without quotes
	from int    // byte offset of its start in the SQL text
	to   int    // byte offset after its end
}

// isWord reports whether the token is one of the words, in any case.
func (t *token) isWord(words ...string) bool {
	if t.kind != word {
		return false
	}
	for _, w := range words {
		if strings.EqualFold(t.text, w) {
			return true
		}
	}
	return false
}

func (t *token) isSymbol(s string) bool { return t.kind == symbol && t.text == s }

// isName reports whether the token may be an identifier.
func (t *token) isName() bool { return t.kind == word || t.kind == quotedName }

// identifier returns the name as PostgreSQL folds it.
func (t *token) identifier() string {
	if t.kind == quotedName {
		return t.text
	}
	return strings.ToLower(t.text)
}

// scanner splits SQL text into tokens.
type scanner struct {
	sql    string
	offset int // of the next byte
	tokens []token
}

// scan splits SQL text into tokens. It returns false if a quotation or a comment is not terminated.
func scan(sql string) ([]token, bool) {
	s := scanner{sql: sql}
	for s.offset < len(sql) {
		if isSpace(sql[s.offset]) {
			s.offset++
			continue
		}
		if !s.next() {
			return nil, false
		}
	}
	return s.tokens, true
}

// next reads the next token, or skips a comment. It returns false if the token or the comment is not terminated.
func (s *scanner) next() bool {
	c, rest := s.sql[s.offset], s.sql[s.offset:]
	switch {
	case strings.HasPrefix(rest, "--"):
		s.skipLine()
	case strings.HasPrefix(rest, "/*"):
		return s.skipComment()
	case c == '\'':
		return s.quoted(literal, s.offset, false)
	case (c == 'e' || c == 'E') && strings.HasPrefix(rest[1:], "'"):
		return s.quoted(literal, s.offset+1, true)
	case c == '"':
		return s.quoted(quotedName, s.offset, false)
	case c == '$' && !s.continuesWord():
		return s.dollarQuoted()
	case isLetter(c):
		s.addWord()
	case isDigit(c):
		s.addNumber()
	default:
		s.add(symbol, s.offset+1)
	}
	return true
}

// add adds the token from the current offset to end.
func (s *scanner) add(kind tokenKind, end int) { s.addText(kind, s.sql[s.offset:end], end) }

func (s *scanner) addText(kind tokenKind, text string, end int) {
	s.tokens = append(s.tokens, token{kind, text, s.offset, end})
	s.offset = end
}

func (s *scanner) addWord() {
	end := s.offset
	for end < len(s.sql) && (isLetter(s.sql[end]) || isDigit(s.sql[end]) || s.sql[end] == '$') {
		end++
	}
	s.add(word, end)
}

func (s *scanner) addNumber() {
	end := s.offset
	for end < len(s.sql) && (isDigit(s.sql[end]) || isLetter(s.sql[end]) || s.sql[end] == '.') {
		end++
	}
	s.add(number, end)
}

// continuesWord reports whether the next byte directly follows a word.
func (s *scanner) continuesWord() bool {
	if len(s.tokens) == 0 {
		return false
	}
	last := s.tokens[len(s.tokens)-1]
	return last.to == s.offset && last.kind == word
}

func (s *scanner) skipLine() {
	for s.offset < len(s.sql) && s.sql[s.offset] != '\n' && s.sql[s.offset] != '\r' {
		s.offset++
	}
}

// skipComment skips a comment, which may contain nested ones. It returns false if the comment is not terminated.
func (s *scanner) skipComment() bool {
	depth := 0
	for s.offset < len(s.sql) {
		switch rest := s.sql[s.offset:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			s.offset += 2
			if depth == 0 {
				return true
			}
		default:
			s.offset++
		}
	}
	return false
}

// quoted reads a token whose opening quote is at quoteAt. A doubled quote stands for one quote; with escapes, a quote after a backslash
// does not end the token.
func (s *scanner) quoted(kind tokenKind, quoteAt int, escapes bool) bool {
	quote := s.sql[quoteAt]
	var text strings.Builder
	for i := quoteAt + 1; i < len(s.sql); i++ {
		hasNext := i+1 < len(s.sql)
		switch c := s.sql[i]; {
		case escapes && c == '\\' && hasNext:
			text.WriteByte(c)
			i++
			text.WriteByte(s.sql[i])
		case c == quote && hasNext && s.sql[i+1] == quote:
			text.WriteByte(quote)
			i++
		case c == quote:
			s.addText(kind, text.String(), i+1)
			return true
		default:
			text.WriteByte(c)
		}
	}
	return false
}

// dollarQuoted reads a dollar-quoted string, or a single dollar sign.
func (s *scanner) dollarQuoted() bool {
	tag, ok := dollarTag(s.sql[s.offset:])
	if !ok {
		s.add(symbol, s.offset+1)
		return true
	}
	text, _, ok := strings.Cut(s.sql[s.offset+len(tag):], tag)
	if !ok {
		return false
	}
	s.addText(literal, text, s.offset+len(tag)+len(text)+len(tag))
	return true
}

// dollarTag returns the opening tag of a dollar-quoted string, with its dollar signs, and false if s does not begin with one.
func dollarTag(s string) (string, bool) {
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '$':
			return s[:i+1], true
		case !isLetter(s[i]) && (i == 1 || !isDigit(s[i])):
			return "", false
		}
	}
	return "", false
}

func isSpace(c byte) bool {
	return c == ' ' || c >= '\t' && c <= '\r'
}

func isLetter(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		return true
	}
	return c == '_' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
