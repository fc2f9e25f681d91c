package clickhouse

import (
	"net/http"
	"net/url"
	"strings"
)

// IsReadOnly reports whether a query is known to change nothing: ClickHouse itself enforces that for GET and for readonly, and a
// statement that begins as a read cannot write. textKnown is false where the body is compressed, so that its text is not known.
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
		return false // all of the statement is in the body
	}
	return statementReads(statement)
}

// statementReads reports whether a statement begins as a read, and has no part that may write.
func statementReads(statement string) bool {
	statement = skipBlank(statement)
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

// skipBlank removes blanks, comments and opening parentheses from the beginning of a statement.
func skipBlank(statement string) string {
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
