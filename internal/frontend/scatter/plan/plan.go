// Package plan reads what a client asks of a scattered read, and words what each shard is asked. It does no I/O and knows no SQL: it puts texts
// in the places that the statement marks, and the rest is the client's and the servers' matter.
//
// A statement is written for one shard, with two marks and a comment at its end:
//
//	SELECT id, at, total FROM orders WHERE site = $1 /*after*/ /*order*/ /* scatter=orders,page=50,cursor=... */
//
// In place of the first mark comes ' AND (...)', which holds for the rows behind the place at which the shard goes on; in place of the second one
// ORDER BY with the order's columns, and LIMIT. The values of the place are parameters behind the client's own. With the
// marks as they stand the statement is whole, too, so that any server can prepare and describe it.
package plan

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
)

// The marks.
const (
	PlaceholderAfter = "/*after*/"
	PlaceholderOrder = "/*order*/"
)

// Errors of a statement that can't be scattered.
var (
	ErrPlaceholders = errors.New("a scattered statement has " + PlaceholderAfter + " and " + PlaceholderOrder + " once each")
	ErrComment      = errors.New("the comment of a scattered statement can't be read")
)

// Query is what a client asks.
type Query struct {
	Scatter     string
	Rows        int     // rows, 0 where it is not said
	TimeoutMs   float64 // 0 where it is not said
	Tenant      string
	Cursor      string
	CursorParam int // the parameter that is the cursor, from 1 on; 0 for none

	Statement string // the statement without its comment
}

const (
	maxTimeoutMs = 24 * 3600e3
	maxNameBytes = 64
)

// MayScatter tells at little cost whether a statement may be one to scatter.
func MayScatter(sql string) bool {
	return strings.Contains(sql, "scatter=") && strings.Contains(sql, PlaceholderOrder)
}

// Parse reads a statement; ok is false where its comment names no scatter.
func Parse(sql string) (a Query, ok bool, err error) {
	body := strings.TrimRight(sql, "; \t\r\n")
	from := strings.LastIndex(body, "/*")
	if from < 0 || !strings.HasSuffix(body, "*/") || len(body) < from+4 {
		return a, false, nil
	}
	bad := func(what string) error { return fmt.Errorf("%w: %s", ErrComment, what) }
	seen := map[string]bool{}
	for part := range strings.SplitSeq(body[from+2:len(body)-2], ",") {
		name, val, _ := strings.Cut(part, "=")
		name, val = strings.TrimSpace(name), strings.TrimSpace(val)
		if seen[name] {
			err = errors.Join(err, bad(name+" is said twice"))
		}
		seen[name] = true
		var e error
		switch name {
		case "scatter":
			a.Scatter = val
		case "t":
			a.Tenant = val
		case "page":
			if a.Rows, e = strconv.Atoi(val); e != nil || a.Rows < 1 {
				err = errors.Join(err, bad("page: a number of rows is due"))
			}
		case "d":
			if a.TimeoutMs, e = strconv.ParseFloat(val, 64); e != nil || !(a.TimeoutMs > 0 && a.TimeoutMs <= maxTimeoutMs) {
				err = errors.Join(err, bad("d: milliseconds are due"))
			}
		case "cursor":
			if n, is := strings.CutPrefix(val, "$"); is {
				if a.CursorParam, e = strconv.Atoi(n); e != nil || a.CursorParam < 1 {
					err = errors.Join(err, bad("cursor: the number of a parameter is due behind $"))
				}
			}
			a.Cursor = val
		}
	}
	if a.Scatter == "" {
		return a, false, nil
	}
	a.Statement = body[:from]
	switch {
	case err != nil:
	case max(len(a.Scatter), len(a.Tenant)) > maxNameBytes:
		err = bad(fmt.Sprintf("a name of over %d bytes", maxNameBytes))
	case strings.Count(a.Statement, PlaceholderAfter) != 1 || strings.Count(a.Statement, PlaceholderOrder) != 1 || strings.Index(a.Statement, PlaceholderAfter) > strings.Index(a.Statement, PlaceholderOrder):
		err = ErrPlaceholders
	}
	return a, true, err
}

// ShardStatement words what a shard is asked: limit rows behind a place, as the shard of that number sees it. params is how many parameters the client's
// statement has; vals are those that come behind them, as text.
func (a *Query) ShardStatement(o *merge.Order, p *cursor.Place, shard, limit, params int) (sql string, vals [][]byte, err error) {
	after := ""
	if p.Key != nil {
		key, n := p.Key, len(o.Columns)
		if shard != p.Shard {
			key, n = p.Key[:p.OwnOffset], o.Own
		}
		values, err := o.Values(key)
		if err != nil || len(values) != n {
			return "", nil, fmt.Errorf("place: %w", merge.ErrValue)
		}
		var ways []string
		same := ""
		for i := range n {
			c, v, param := (*sqlColumn)(&o.Columns[i]), values[i], ""
			if !v.Null {
				vals = append(vals, v.Text)
				param = fmt.Sprintf("$%d::%s", params+len(vals), c.Type)
			}
			if behind := c.after(v.Null, param); behind != "" {
				ways = append(ways, same+behind)
			}
			same += c.equals(v.Null, param) + " AND "
		}
		if shard > p.Shard {
			ways = append(ways, strings.TrimSuffix(same, " AND "))
		}
		if len(ways) == 0 {
			ways = []string{"false"}
		}
		after = " AND (" + strings.Join(ways, " OR ") + ")"
	}
	var order []string
	for i := range o.Columns {
		c := &o.Columns[i]
		s := (*sqlColumn)(c).expression()
		if c.Desc {
			s += " DESC"
		}
		if c.NullsFirst {
			s += " NULLS FIRST"
		} else {
			s += " NULLS LAST"
		}
		order = append(order, s)
	}
	r := strings.NewReplacer(PlaceholderAfter, after, PlaceholderOrder, fmt.Sprintf(" ORDER BY %s LIMIT %d", strings.Join(order, ", "), limit))
	return r.Replace(a.Statement), vals, nil
}

type sqlColumn merge.Column

func (c *sqlColumn) expression() string {
	s := c.Expr
	if s == "" {
		s = `"` + strings.ReplaceAll(c.Name, `"`, `""`) + `"`
	}
	if c.Type == merge.Text {
		s += ` COLLATE "C"`
	}
	return s
}

// equals holds for a row whose column has the value.
func (c *sqlColumn) equals(null bool, param string) string {
	if null {
		return c.expression() + " IS NULL"
	}
	return c.expression() + " = " + param
}

// after holds for a row whose column is behind the value; it is empty where none is.
func (c *sqlColumn) after(null bool, param string) string {
	switch {
	case null && c.NullsFirst:
		return c.expression() + " IS NOT NULL"
	case null:
		return ""
	}
	op := " > "
	if c.Desc {
		op = " < "
	}
	if c.NullsFirst {
		return c.expression() + op + param
	}
	return "(" + c.expression() + op + param + " OR " + c.expression() + " IS NULL)"
}
