package plan

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
)

const body = "SELECT id, at FROM orders WHERE site = $1 /*after*/ /*order*/ "

// TestParse: the options of a comment are parsed, and each kind of invalid statement is an error.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		sql  string
		want Query
		ok   bool
		err  error
	}{
		"all options": {body + "/* scatter=orders, page=50,d=2000.5,t=acme,cursor=AbC_-1 */;",
			Query{Scatter: "orders", Rows: 50, TimeoutMs: 2000.5, Tenant: "acme", Cursor: "AbC_-1", Statement: body}, true, nil},
		"a parameter":               {body + "/* scatter=orders,cursor=$2 */", Query{Scatter: "orders", Cursor: "$2", CursorParam: 2, Statement: body}, true, nil},
		"none":                      {"SELECT 1", Query{}, false, nil},
		"another program's comment": {"SELECT 1 /* id=1,c=a,d=3,cluster=0 */", Query{}, false, nil},
		"no placeholders":           {"SELECT 1 /* scatter=orders */", Query{}, true, ErrPlaceholders},
		"a placeholder twice":       {body + "/*order*/ /* scatter=orders */", Query{}, true, ErrPlaceholders},
		"in the wrong order":        {"SELECT 1 /*order*/ /*after*/ /* scatter=orders */", Query{}, true, ErrPlaceholders},
		"page of none":              {body + "/* scatter=orders,page=0 */", Query{}, true, ErrComment},
		"no timeout":                {body + "/* scatter=orders,d=NaN */", Query{}, true, ErrComment},
		"no parameter":              {body + "/* scatter=orders,cursor=$x */", Query{}, true, ErrComment},
		"twice":                     {body + "/* scatter=orders,page=1,page=2 */", Query{}, true, ErrComment},
		"a name too long":           {body + "/* scatter=" + strings.Repeat("x", 65) + " */", Query{}, true, ErrComment},
	} {
		got, ok, err := Parse(c.sql)
		if ok != c.ok || !errors.Is(err, c.err) {
			t.Errorf("%s: is a scatter query: %v, want %v; error is %v, want %v", name, ok, c.ok, err, c.err)
		}
		if diff := cmp.Diff(c.want, got, cmpopts.EquateEmpty()); err == nil && ok && diff != "" {
			t.Errorf("%s: parsed query (-want +got):\n%s", name, diff)
		}
	}
}

// TestShardStatement: the condition for the shard of the place and for the shards before and after it, with and without NULLs.
func TestShardStatement(t *testing.T) {
	order := merge.Order{OwnIndex: 2, Columns: []merge.Column{
		{Name: "at", Type: merge.Int, Desc: true, NullsFirst: true},
		{Name: `a"b`, Expr: "o.name", Type: merge.Text},
		{Name: "id", Type: merge.Int},
	}}
	key := func(vals ...[]byte) cursor.Place {
		p := cursor.Place{Shard: 1}
		for i, v := range vals {
			if i == order.OwnIndex {
				p.OwnOffset = len(p.Key)
			}
			p.Key, _ = order.Columns[i].Append(p.Key, v, false)
		}
		return p
	}
	row, null := key([]byte("5"), []byte("x"), []byte("9")), key(nil, nil, []byte("9"))
	const orderAndLimit = ` ORDER BY "at" DESC NULLS FIRST, o.name COLLATE "C" NULLS LAST, "id" NULLS LAST LIMIT 7`
	const afterInOrder = `"at" < $2::int8 OR "at" = $2::int8 AND (o.name COLLATE "C" > $3::text OR o.name COLLATE "C" IS NULL)`
	for name, c := range map[string]struct {
		place cursor.Place
		shard int
		after string
		vals  string
	}{
		"from the start":           {cursor.Place{}, 0, "", ""},
		"a shard before the row's": {row, 0, " AND (" + afterInOrder + ")", "5 x"},
		"the row's":                {row, 1, " AND (" + afterInOrder + ` OR "at" = $2::int8 AND o.name COLLATE "C" = $3::text AND ("id" > $4::int8 OR "id" IS NULL))`, "5 x 9"},
		"a shard after the row's":  {row, 2, " AND (" + afterInOrder + ` OR "at" = $2::int8 AND o.name COLLATE "C" = $3::text)`, "5 x"},
		"nulls":                    {null, 0, ` AND ("at" IS NOT NULL)`, ""},
		"nulls, a shard after":     {null, 2, ` AND ("at" IS NOT NULL OR "at" IS NULL AND o.name COLLATE "C" IS NULL)`, ""},
	} {
		query := Query{Statement: "SELECT 1 /*after*/ /*order*/"}
		sql, vals, err := query.ShardStatement(&order, &c.place, c.shard, 7, 1)
		if want := "SELECT 1 " + c.after + " " + orderAndLimit; sql != want || err != nil {
			t.Errorf("%s: error is %v, want none; statement:\n got %s\nwant %s", name, err, sql, want)
		}
		var list []string
		for _, v := range vals {
			list = append(list, string(v))
		}
		if s := strings.Join(list, " "); s != c.vals {
			t.Errorf("%s: values are %q, want %q", name, s, c.vals)
		}
	}
}
