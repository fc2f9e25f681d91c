package sqltext

import "strings"

// Names of the settings that SET assigns with a special syntax.
const (
	settingTimeZone             = "timezone"
	settingClientEncoding       = "client_encoding"
	settingRole                 = "role"
	settingSessionAuthorization = "session_authorization"
	settingReadOnly             = "default_transaction_read_only"
)

// unknownSetting is a statement that changes settings whose names or values cannot be determined.
var unknownSetting = Statement{Kind: Other, Sticky: StickyUnknownSetting}

// classifySet classifies SET in its forms.
func classifySet(sql string, tokens statementTokens) Statement {
	s := Statement{Kind: Set}
	nameAt := 1
	switch {
	case tokens.at(1).isWord("LOCAL"):
		s.Local = true
		nameAt = 2
	case tokens.at(1).isWord("SESSION") && tokens.at(2).isWord("CHARACTERISTICS"):
		return classifyCharacteristics(tokens)
	case tokens.at(1).isWord("SESSION") && !tokens.at(2).isWord("AUTHORIZATION"):
		nameAt = 2
	case tokens.at(1).isWord("TRANSACTION"), tokens.at(1).isWord("CONSTRAINTS"):
		return Statement{Kind: Other} // affects only the transaction
	}
	switch first, second := tokens.at(nameAt), tokens.at(nameAt+1); {
	case first.isWord("TIME") && second.isWord("ZONE"):
		return s.setTimeZone(sql, tokens, nameAt+2)
	case first.isWord("NAMES"):
		s.Name = settingClientEncoding
		s.Value = tokens.value(sql, nameAt+1)
	case first.isWord("ROLE"):
		s.Name = settingRole
		if !second.isWord("NONE") {
			s.Value = tokens.value(sql, nameAt+1)
		}
	case first.isWord("SESSION") && second.isWord("AUTHORIZATION"):
		s.Name = settingSessionAuthorization
		s.Value = tokens.value(sql, nameAt+2)
	case first.isWord("XML", "SCHEMA", "CATALOG"):
		return unknownSetting
	default:
		name, end := tokens.settingName(nameAt)
		assigns := tokens.at(end).isWord("TO") || tokens.at(end).isSymbol("=")
		if name == "" || !assigns || end+1 >= len(tokens) {
			return unknownSetting
		}
		s.Name = name
		s.Value = tokens.value(sql, end+1)
	}
	return s.withSearchPath()
}

// withSearchPath adds that a session has temporary tables where objects are created in their schema from now on.
func (s Statement) withSearchPath() Statement {
	if s.Name == settingSearchPath && createsInTemporarySchema(s.Value) {
		s.Sticky |= StickyTempTables
	}
	return s
}

// setTimeZone completes the classification of SET TIME ZONE, whose value begins with the token at valueAt.
func (s Statement) setTimeZone(sql string, tokens statementTokens, valueAt int) Statement {
	s.Name = settingTimeZone
	if !tokens.at(valueAt).isWord("LOCAL") {
		s.Value = tokens.value(sql, valueAt)
	}
	if strings.HasPrefix(strings.ToUpper(s.Value), "INTERVAL") {
		return unknownSetting
	}
	return s
}

// value returns the SQL text from the token with index from to the end of the statement, empty for DEFAULT.
func (tokens statementTokens) value(sql string, from int) string {
	if from >= len(tokens) {
		return ""
	}
	if tokens[from].isWord("DEFAULT") && from == len(tokens)-1 {
		return ""
	}
	return strings.TrimSpace(sql[tokens[from].from:tokens[len(tokens)-1].to])
}

// settingName reads the name of a setting, which may have parts separated by dots, and returns the index of the token after it.
func (tokens statementTokens) settingName(i int) (name string, end int) {
	if !tokens.at(i).isName() {
		return "", i
	}
	name = strings.ToLower(tokens[i].text)
	i++
	for tokens.at(i).isSymbol(".") && tokens.at(i+1).isName() {
		name += "." + strings.ToLower(tokens[i+1].text)
		i += 2
	}
	return name, i
}

// classifyCharacteristics classifies SET SESSION CHARACTERISTICS, which may change several settings. It reads only the form that sets
// whether transactions are read-only and nothing else.
func classifyCharacteristics(tokens statementTokens) Statement {
	const readAt = 5 // SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY
	if len(tokens) != readAt+2 || !tokens[readAt].isWord("READ") {
		return unknownSetting
	}
	value := "off"
	if tokens[readAt+1].isWord("ONLY") {
		value = "on"
	}
	return Statement{Kind: Set, Name: settingReadOnly, Value: value}
}

// classifyReset classifies RESET in its forms.
func classifyReset(tokens statementTokens) Statement {
	switch {
	case tokens.at(1).isWord("ALL"):
		return Statement{Kind: ResetAll}
	case tokens.at(1).isWord("TIME") && tokens.at(2).isWord("ZONE"):
		return Statement{Kind: Set, Name: settingTimeZone}
	case tokens.at(1).isWord("SESSION") && tokens.at(2).isWord("AUTHORIZATION"):
		return Statement{Kind: Set, Name: settingSessionAuthorization}
	}
	if name, end := tokens.settingName(1); name != "" && end == len(tokens) {
		return Statement{Kind: Set, Name: name}
	}
	return unknownSetting
}

// Indexes of the tokens of SELECT set_config('name', 'value', is_local).
const (
	setConfigName  = 3
	setConfigValue = 5
	setConfigLocal = 7
	setConfigEnd   = 8
)

// SetConfig parses a query that consists of one call of set_config with literals, and returns false for any other query.
func SetConfig(sql string) (Statement, bool) {
	scanned, ok := scan(sql)
	if !ok {
		return Statement{}, false
	}
	tokens := statementTokens(scanned)
	if len(tokens) > 0 && tokens[len(tokens)-1].isSymbol(";") {
		tokens = tokens[:len(tokens)-1]
	}
	if !tokens.isSetConfig() {
		return Statement{}, false
	}
	s := Statement{
		Kind:  Set,
		Name:  strings.ToLower(tokens[setConfigName].text),
		Value: Quote(tokens[setConfigValue].text),
		Local: tokens[setConfigLocal].isWord("true"),
		From:  tokens[0].from,
		To:    tokens[setConfigEnd].to,
	}
	return s.withSearchPath(), true
}

// isSetConfig reports whether the tokens are a call of set_config with two string literals and true or false.
func (tokens statementTokens) isSetConfig() bool {
	if len(tokens) != setConfigEnd+1 || !tokens[0].isWord("SELECT") || !tokens[1].isWord("set_config") {
		return false
	}
	if !tokens[2].isSymbol("(") || !tokens[4].isSymbol(",") || !tokens[6].isSymbol(",") || !tokens[setConfigEnd].isSymbol(")") {
		return false
	}
	texts := tokens[setConfigName].kind == literal && tokens[setConfigValue].kind == literal
	return texts && tokens[setConfigLocal].isWord("true", "false")
}

// Quote returns s as an SQL string literal.
func Quote(s string) string {
	quoted := "'" + strings.ReplaceAll(s, "'", "''") + "'"
	if strings.Contains(s, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}

// QuoteIdentifier returns s as a quoted SQL identifier.
func QuoteIdentifier(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }
