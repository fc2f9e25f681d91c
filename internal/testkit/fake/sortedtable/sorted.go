// Package sortedtable is a stand-in for a table that a scattered read asks for: it works on the statements that internal/frontend/scatter/plan words, by reading
// them, not by knowing how they came about. Of SQL it knows just these:
//
//	SELECT anything [AND (conditions)] ORDER BY columns LIMIT n
//
// Columns are of int8, float8 or text. Conditions compare columns with parameters by =, < and >, or with NULL, joined by AND, OR and
// brackets, in the three-valued logic of SQL.
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

// Row is a row's values: nil, int64, float64 or string, by column.
type Row []any

// Table names the columns.
type Table []string

var statementPattern = regexp.MustCompile(`(?s)^\s*SELECT .*?(?: AND (\(.*\)))?\s* ORDER BY (.*) LIMIT (\d+)\s*$`)

// Query is a statement that was read.
type Query struct {
	cond  []string // its words, nil for none
	order []sortColumn
	Limit int
}

type sortColumn struct {
	column            string
	desc, first, text bool
}

// Read reads a statement.
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
			b.first = true
		case "NULLS LAST":
		default:
			return nil, fmt.Errorf("order by %q", part)
		}
		q.order = append(q.order, b)
	}
	return q, nil
}

// Run works on the statement: rows that hold, in order, as many as the limit lets be.
func (q *Query) Run(t Table, rows []Row, args [][]byte) (out []Row, err error) {
	holds := func(Row) ternary { return yes }
	if q.cond != nil {
		c := &compiler{words: q.cond, table: t, args: args}
		if holds = c.or(); c.err != nil || len(c.words) > 0 {
			return nil, fmt.Errorf("condition %q, at %q: %v", q.cond, c.words, c.err)
		}
	}
	for _, r := range rows {
		if holds(r) == yes {
			out = append(out, r)
		}
	}
	at := make([]int, len(q.order))
	for k, o := range q.order {
		if at[k] = slices.Index(t, o.column); at[k] < 0 {
			return nil, fmt.Errorf("no column %q", o.column)
		}
	}
	compare := func(a, b Row) int {
		for k, o := range q.order {
			c := 0
			switch x, y := a[at[k]], b[at[k]]; {
			case x == nil && y == nil:
			case x == nil || y == nil:
				if c = 1; (x == nil) == o.first {
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
	if !slices.IsSortedFunc(out, compare) { // as a table with an index on it is
		slices.SortStableFunc(out, compare)
	}
	return out[:min(len(out), q.Limit)], nil
}

// Compare compares values as servers do.
func Compare(a, b any) int {
	switch x := a.(type) {
	case int64:
		return cmp.Compare(x, b.(int64))
	case float64:
		y := b.(float64)
		if math.IsNaN(x) || math.IsNaN(y) { // the largest
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

// ternary is SQL's.
type ternary int8

const (
	no ternary = iota
	unknown
	yes
)

var tokenPattern = regexp.MustCompile(`\(|\)|"[^"]*"|COLLATE "C"|\$\d+::\w+|IS NOT NULL|IS NULL|AND|OR|[=<>]|\w+|\S`)

type compiler struct {
	words []string
	table Table
	args  [][]byte
	err   error
}

type condition func(Row) ternary

func (c *compiler) next(w string) bool {
	if len(c.words) > 0 && c.words[0] == w {
		c.words = c.words[1:]
		return true
	}
	return false
}

func (c *compiler) fail(format string, args ...any) condition {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
	c.words = nil
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
	if len(c.words) == 0 {
		return c.fail("a term is due")
	}
	i := slices.Index(c.table, strings.Trim(c.words[0], `"`))
	if i < 0 {
		return c.fail("no column %s", c.words[0])
	}
	c.words = c.words[1:]
	text := c.next(`COLLATE "C"`)
	is := func(b bool) ternary {
		if b {
			return yes
		}
		return no
	}
	switch {
	case c.next("IS NULL"):
		return func(r Row) ternary { return is(r[i] == nil) }
	case c.next("IS NOT NULL"):
		return func(r Row) ternary { return is(r[i] != nil) }
	case len(c.words) < 2:
		return c.fail("a comparison is due")
	}
	op, ref := c.words[0], c.words[1]
	c.words = c.words[2:]
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
		return is(op == "=" && n == 0 || op == "<" && n < 0 || op == ">" && n > 0)
	}
}

// Value reads a text of a type.
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

// Text is a value as a server words it, nil for null.
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

// Binary is a value in the binary form, nil for null.
func Binary(v any) []byte {
	switch x := v.(type) {
	case int64:
		return binary.BigEndian.AppendUint64(nil, uint64(x))
	case float64:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(x))
	}
	return Text(v)
}

// OID is the type of a value, as it is described.
func OID(v any) uint32 {
	switch v.(type) {
	case int64:
		return 20
	case float64:
		return 701
	}
	return 25
}
