package clickhouse

import (
	"net/http"
	"net/url"
	"strings"
)

// IsReadOnly reports whether a query is known to change no data: ClickHouse enforces that for GET and for the parameter readonly, and a
// statement that begins with the keyword of a read cannot write. textKnown is false if the body is compressed and so cannot be read.
func IsReadOnly(method string, params url.Values, body []byte, textKnown bool) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	if readOnly := params.Get("readonly"); readOnly == "1" || readOnly == "2" {
		return true
	}
	statement := params.Get("query")
	if textKnown {
		statement += "\n" + string(body)
	} else if strings.TrimSpace(statement) == "" {
		return false // the whole statement is in the compressed body
	}
	return isReadStatement(statement)
}

// isReadStatement reports whether a statement begins with the keyword of a read and has no clause that may write.
func isReadStatement(statement string) bool {
	statement = skipToKeyword(statement)
	end := strings.IndexFunc(statement, func(r rune) bool { return !isASCIILetter(r) })
	if end < 0 {
		end = len(statement)
	}
	switch strings.ToUpper(statement[:end]) {
	case "SELECT", "SHOW", "DESCRIBE", "DESC", "EXISTS":
		return !strings.Contains(strings.ToUpper(statement), "OUTFILE")
	case "EXPLAIN":
		return true
	case "WITH":
		return !strings.Contains(strings.ToUpper(statement), "INSERT")
	}
	return false
}

func isASCIILetter(r rune) bool { return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' }

// skipToKeyword removes white space, comments and opening parentheses from the beginning of a statement.
func skipToKeyword(statement string) string {
	for {
		before := statement
		statement = strings.TrimLeft(statement, " \t\r\n\f\v(")
		if strings.HasPrefix(statement, "--") || strings.HasPrefix(statement, "#!") {
			_, statement, _ = strings.Cut(statement, "\n")
		}
		if strings.HasPrefix(statement, "/*") {
			_, statement, _ = strings.Cut(statement, "*/")
		}
		if statement == before {
			return statement
		}
	}
}
