// Package sortedtable is a fake of a table that a scattered read queries. It parses and runs the statements that
// internal/frontend/scatter/plan generates, and shares no code with that package. It supports only this subset of SQL:
//
//	SELECT anything [AND (conditions)] ORDER BY columns LIMIT n
//
// Columns are of int8, float8 or text. Conditions compare columns with parameters by =, < and >, or with NULL, joined by AND, OR and
// parentheses, in the three-valued logic of SQL.
package sortedtable

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Row holds the values of a row in the order of the columns: nil, int64, float64 or string.
type Row []any

// Table lists the names of the columns.
type Table []string

var statementPattern = regexp.MustCompile(`(?s)^\s*SELECT .*?(?: AND (\(.*\)))?\s* ORDER BY (.*) LIMIT (\d+)\s*$`)

// Query is a parsed statement.
type Query struct {
	cond  []string // tokens of the condition, nil for none
	order []sortColumn
	Limit int
}

type sortColumn struct {
	column                 string
	desc, nullsFirst, text bool
}

// Read parses a statement. The fake database servers send its errors, and those of Run, to their clients.
func Read(sql string) (*Query, error) {
	m := statementPattern.FindStringSubmatch(sql)
	if m == nil {
		return nil, fmt.Errorf("the stand-in does not know %.80q", sql)
	}
	q := &Query{cond: tokenPattern.FindAllString(m[1], -1)}
	q.Limit, _ = strconv.Atoi(m[3])
	for part := range strings.SplitSeq(m[2], ", ") {
		w := strings.Fields(part)
		b := sortColumn{column: strings.Trim(w[0], `"`)}
		rest := strings.Join(w[1:], " ")
		rest, b.text = strings.CutPrefix(rest, `COLLATE "C"`)
		rest, b.desc = strings.CutPrefix(strings.TrimSpace(rest), "DESC")
		switch strings.TrimSpace(rest) {
		case "NULLS FIRST":
			b.nullsFirst = true
		case "NULLS LAST":
		default:
			return nil, fmt.Errorf("order by %q", part)
		}
		q.order = append(q.order, b)
	}
	return q, nil
}

// Run returns the rows that satisfy the condition, in the order of the statement and up to its limit.
func (q *Query) Run(t Table, rows []Row, args [][]byte) (out []Row, err error) {
	matches := func(Row) ternary { return yes }
	if q.cond != nil {
		c := &compiler{tokens: q.cond, table: t, args: args}
		if matches = c.or(); c.err != nil || len(c.tokens) > 0 {
			return nil, fmt.Errorf("condition %q, at %q: %v", q.cond, c.tokens, c.err)
		}
	}
	for _, r := range rows {
		if matches(r) == yes {
			out = append(out, r)
		}
	}
	columnIndexes := make([]int, len(q.order))
	for k, o := range q.order {
		if columnIndexes[k] = slices.Index(t, o.column); columnIndexes[k] < 0 {
			return nil, fmt.Errorf("no column %q", o.column)
		}
	}
	compare := func(a, b Row) int {
		for k, o := range q.order {
			c := 0
			switch x, y := a[columnIndexes[k]], b[columnIndexes[k]]; {
			case x == nil && y == nil:
			case x == nil || y == nil:
				if c = 1; (x == nil) == o.nullsFirst {
					c = -1
				}
			default:
				if c = Compare(x, y); o.desc {
					c = -c
				}
			}
			if c != 0 {
				return c
			}
		}
		return 0
	}
	if !slices.IsSortedFunc(out, compare) { // rows are often sorted already, as in a table with an index
		slices.SortStableFunc(out, compare)
	}
	return out[:min(len(out), q.Limit)], nil
}

// Compare compares two values of the same type as PostgreSQL does.
func Compare(a, b any) int {
	switch x := a.(type) {
	case int64:
		return cmp.Compare(x, b.(int64))
	case float64:
		y := b.(float64)
		if math.IsNaN(x) || math.IsNaN(y) { // NaN sorts after every other value
			return compareNaN(x) - compareNaN(y)
		}
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a.(string), b.(string))
}

func compareNaN(x float64) int {
	if math.IsNaN(x) {
		return 1
	}
	return 0
}

// ternary is a truth value of SQL's three-valued logic.
type ternary int8

const (
	no ternary = iota
	unknown
	yes
)

var tokenPattern = regexp.MustCompile(`\(|\)|"[^"]*"|COLLATE "C"|\$\d+::\w+|IS NOT NULL|IS NULL|AND|OR|[=<>]|\w+|\S`)

// compiler is a recursive-descent parser that turns the tokens of a condition into a function.
type compiler struct {
	tokens []string
	table  Table
	args   [][]byte
	err    error
}

type condition func(Row) ternary

// next consumes the first token if it equals token, and reports whether it did.
func (c *compiler) next(token string) bool {
	if len(c.tokens) > 0 && c.tokens[0] == token {
		c.tokens = c.tokens[1:]
		return true
	}
	return false
}

// fail records the first error and drops the remaining tokens, which ends the parse.
func (c *compiler) fail(format string, args ...any) condition {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
	c.tokens = nil
	return func(Row) ternary { return no }
}

func (c *compiler) or() condition {
	a := c.and()
	for c.next("OR") {
		x, y := a, c.and()
		a = func(r Row) ternary {
			if t := x(r); t == yes {
				return yes
			} else {
				return max(t, y(r))
			}
		}
	}
	return a
}

func (c *compiler) and() condition {
	a := c.term()
	for c.next("AND") {
		x, y := a, c.term()
		a = func(r Row) ternary {
			if t := x(r); t == no {
				return no
			} else {
				return min(t, y(r))
			}
		}
	}
	return a
}

func (c *compiler) term() condition {
	if c.next("(") {
		t := c.or()
		if !c.next(")") {
			return c.fail("a bracket is open")
		}
		return t
	}
	if c.next("false") {
		return func(Row) ternary { return no }
	}
	if len(c.tokens) == 0 {
		return c.fail("a term is due")
	}
	i := slices.Index(c.table, strings.Trim(c.tokens[0], `"`))
	if i < 0 {
		return c.fail("no column %s", c.tokens[0])
	}
	c.tokens = c.tokens[1:]
	text := c.next(`COLLATE "C"`)
	truth := func(b bool) ternary {
		if b {
			return yes
		}
		return no
	}
	switch {
	case c.next("IS NULL"):
		return func(r Row) ternary { return truth(r[i] == nil) }
	case c.next("IS NOT NULL"):
		return func(r Row) ternary { return truth(r[i] != nil) }
	case len(c.tokens) < 2:
		return c.fail("a comparison is due")
	}
	op, ref := c.tokens[0], c.tokens[1]
	c.tokens = c.tokens[2:]
	n, typ, _ := strings.Cut(strings.TrimPrefix(ref, "$"), "::")
	k, err := strconv.Atoi(n)
	if err != nil || k < 1 || k > len(c.args) || c.args[k-1] == nil || text != (typ == "text") {
		return c.fail("parameter %q", ref)
	}
	want, err := Value(typ, string(c.args[k-1]))
	if err != nil {
		return c.fail("%w", err)
	}
	return func(r Row) ternary {
		if r[i] == nil {
			return unknown
		}
		n := Compare(r[i], want)
		return truth(op == "=" && n == 0 || op == "<" && n < 0 || op == ">" && n > 0)
	}
}

// Value parses the text form of a value of type int8, float8 or text.
func Value(typ, s string) (any, error) {
	switch typ {
	case "int8":
		n, err := strconv.ParseInt(s, 10, 64)
		return n, err
	case "float8":
		x, err := strconv.ParseFloat(s, 64)
		return x, err
	case "text":
		return s, nil
	}
	return nil, fmt.Errorf("no type %q", typ)
}

// Text returns the text format of a value, nil for NULL.
func Text(v any) []byte {
	switch x := v.(type) {
	case int64:
		return strconv.AppendInt(nil, x, 10)
	case float64:
		switch {
		case math.IsInf(x, 1):
			return []byte("Infinity")
		case math.IsInf(x, -1):
			return []byte("-Infinity")
		}
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case string:
		return []byte(x)
	}
	return nil
}

// Binary returns the binary format of a value, nil for NULL.
func Binary(v any) []byte {
	switch x := v.(type) {
	case int64:
		return binary.BigEndian.AppendUint64(nil, uint64(x))
	case float64:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(x))
	}
	return Text(v)
}

// OID returns the type OID of a value as it stands in a RowDescription: int8, float8 or text.
func OID(v any) uint32 {
	switch v.(type) {
	case int64:
		return 20
	case float64:
		return 701
	}
	return 25
}
