// Package plan parses the statement of a scattered read, and writes the statement for each shard. It does no I/O and does not parse SQL:
// it replaces the placeholders of the statement, and the servers check the rest.
//
// Clients write the statement as for a single shard, with two placeholders and a comment at its end:
//
//	SELECT id, at, total FROM orders WHERE site = $1 /*after*/ /*order*/ /* scatter=orders,page=50,cursor=... */
//
// The first placeholder is replaced by ' AND (...)', a condition that holds for the rows after the place at which the shard continues. The
// second one is replaced by ORDER BY with the order's columns, and LIMIT. The values of the place become parameters after those of the
// client. As the placeholders are comments, any server can prepare and describe the original statement.
package plan

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The placeholders of a statement.
const (
	PlaceholderAfter = "/*after*/"
	PlaceholderOrder = "/*order*/"
)

// Limits of the options in a comment.
const (
	maxTimeoutMs = 24 * 3600e3
	maxNameBytes = 64
)

// Errors of an invalid statement.
var (
	ErrPlaceholders = errors.New("a scattered statement has " + PlaceholderAfter + " and " + PlaceholderOrder + " once each")
	ErrComment      = errors.New("the comment of a scattered statement can't be read")
)

// Query is the scattered read that a client requests.
type Query struct {
	Scatter     string  // the name of a scatter.Spec
	Rows        int     // rows of a page, 0 for the default
	TimeoutMs   float64 // 0 for the default
	Tenant      string
	Cursor      string // empty for the first page
	CursorParam int    // number of the parameter that contains the cursor, 0 for none

	Statement string // the statement without its comment
}

// MayScatter is a cheap check that reports false for most statements that are not scattered reads. If it reports true, Parse decides.
func MayScatter(sql string) bool {
	return strings.Contains(sql, "scatter=") && strings.Contains(sql, PlaceholderOrder)
}

// Parse parses a statement. ok is false if its comment names no scatter; such a statement is not a scattered read.
func Parse(sql string) (query Query, ok bool, err error) {
	statement, comment, found := cutComment(sql)
	if !found {
		return query, false, nil
	}
	seen := map[string]bool{}
	for option := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(option, "=")
		name = strings.TrimSpace(name)
		if seen[name] {
			err = errors.Join(err, commentError(name+" is said twice"))
		}
		seen[name] = true
		err = errors.Join(err, query.setOption(name, strings.TrimSpace(value)))
	}
	if query.Scatter == "" {
		return query, false, nil
	}
	query.Statement = statement
	if err == nil {
		err = query.check()
	}
	return query, true, err
}

// cutComment splits a statement from the comment at its end.
func cutComment(sql string) (statement, comment string, found bool) {
	const opening, closing = "/*", "*/"
	text := strings.TrimRight(sql, "; \t\r\n")
	start := strings.LastIndex(text, opening)
	if start < 0 || !strings.HasSuffix(text, closing) || len(text) < start+len(opening)+len(closing) {
		return "", "", false
	}
	return text[:start], text[start+len(opening) : len(text)-len(closing)], true
}

func commentError(text string) error { return fmt.Errorf("%w: %s", ErrComment, text) }

// setOption sets an option of the comment. Unknown options are ignored, as other programs also add comments to statements.
func (q *Query) setOption(name, value string) (err error) {
	switch name {
	case "scatter":
		q.Scatter = value
	case "t":
		q.Tenant = value
	case "page":
		q.Rows, err = strconv.Atoi(value)
		if err != nil || q.Rows < 1 {
			return commentError("page: a number of rows is due")
		}
	case "d":
		q.TimeoutMs, err = strconv.ParseFloat(value, 64)
		if err != nil || !(q.TimeoutMs > 0 && q.TimeoutMs <= maxTimeoutMs) {
			return commentError("d: milliseconds are due")
		}
	case "cursor":
		q.Cursor = value
		number, isParam := strings.CutPrefix(value, "$")
		if !isParam {
			return nil
		}
		q.CursorParam, err = strconv.Atoi(number)
		if err != nil || q.CursorParam < 1 {
			return commentError("cursor: the number of a parameter is due behind $")
		}
	}
	return nil
}

// check validates the lengths of names, and the placeholders.
func (q *Query) check() error {
	if max(len(q.Scatter), len(q.Tenant)) > maxNameBytes {
		return commentError(fmt.Sprintf("a name of over %d bytes", maxNameBytes))
	}
	once := strings.Count(q.Statement, PlaceholderAfter) == 1 && strings.Count(q.Statement, PlaceholderOrder) == 1
	if !once || strings.Index(q.Statement, PlaceholderAfter) > strings.Index(q.Statement, PlaceholderOrder) {
		return ErrPlaceholders
	}
	return nil
}
