package sexp

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// plain formats a node on one line, without escapes.
func plain(n *Node) string {
	switch n.Kind {
	case Atom:
		return n.Text
	case String:
		return `"` + n.Text + `"`
	}
	var parts []string
	for _, item := range n.Items {
		parts = append(parts, plain(item))
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// TestParse checks the nodes that are parsed, and that each error names its position.
func TestParse(t *testing.T) {
	for in, want := range map[string]string{
		"":                               "",
		"; nothing\n":                    "",
		"(a 1 (b \"x y\") ; c\n c)":      `(a 1 (b "x y") c)`,
		`"say \"é\" \\"`:                 `"say "é" \"`,
		"(a":                             "f:1:1: unclosed list",
		"(a\n  (b)\n  (c":                "f:3:3: unclosed list",
		"a)":                             "f:1:2: unmatched ')'",
		"(é \"x":                         "f:1:4: unclosed string",
		"(a \"x\ny\")":                   "f:1:4: unclosed string at the end of the line",
		`"a\q"`:                          `f:1:3: unknown escape \q; allowed are \" \\ \n \t`,
		"(a \xff)":                       "f:1:4: invalid UTF-8",
		strings.Repeat("(", maxDepth+1):  "f:1:65: lists are nested more than 64 deep",
		strings.Repeat("x", MaxBytes+1):  "f:1:1: the file has 1048577 bytes; at most 1048576 are allowed",
		strings.Repeat("a ", maxNodes+1): "f:1:262145: more than 131072 expressions",
	} {
		nodes, err := Parse("f", []byte(in))
		var got []string
		for _, n := range nodes {
			got = append(got, plain(n))
		}
		result := strings.Join(got, " ")
		if err != nil {
			result = err.Error()
		}
		if diff := cmp.Diff(want, result); diff != "" {
			t.Errorf("%.40q (-want +got):\n%s", in, diff)
		}
	}
}

// TestRead checks that a misspelt, duplicate or invalid setting is an error with its position.
func TestRead(t *testing.T) {
	for in, want := range map[string]string{
		"(n 3) (t 1m30s) (b) (s 8m) (x k)": "",
		"(n 3) (n 4)":                      `f:1:7: duplicate "n"; the first is on line 1`,
		"(x a) (x b)":                      "",
		"(N 3)":                            `f:1:1: "N" is unknown here; allowed are: b, n, s, t, x`,
		"5":                                `f:1:1: expected a list that begins with a name; allowed are: b, n, s, t, x`,
		"(n 3.5)":                          "f:1:4: expected a whole number",
		"(n 11)":                           "f:1:4: 11 is out of range; it may be from 0 to 10",
		"(n NaN)":                          "f:1:4: expected a number",
		"(n)":                              "f:1:1: (n ...) takes one value, got 0",
		"(t 5)":                            "f:1:4: expected a duration such as 250ms, 2s or 1m30s",
		"(t 1h)":                           "f:1:4: 1h is out of range; it may be from 1ms to 100000ms",
		"(b perhaps)":                      "f:1:4: expected yes or no",
		"(s 9999999999g)":                  "f:1:4: expected a size such as 512k, 8m or 1g",
		"(s 1k)":                           "f:1:4: 1k is out of range; it may be from 4096 to 1073741824 bytes",
		"(x (y))":                          "f:1:4: expected a string",
	} {
		nodes, err := Parse("f", []byte(in))
		if err == nil {
			err = Schema{
				"n": func(n *Node) error { _, err := n.Int(0, 10); return err },
				"t": func(n *Node) error { _, err := n.Millis(1, 1e5); return err },
				"b": func(n *Node) error { _, err := n.Bool(); return err },
				"s": func(n *Node) error { _, err := n.Bytes(4096, 1<<30); return err },
				"x": func(n *Node) error { _, err := n.Str(); return err },
			}.Read(nodes, "x")
		}
		got := ""
		if err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q (-want +got):\n%s", in, diff)
		}
	}
}

// FuzzParse checks that any input either is an error with its position, or is parsed into nodes that are the same when they are
// formatted and parsed again.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"(a 1)", "(a \"b\\n\" ;x\n)", ")", "((((", "\"", "\xff", "(a . b)"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		nodes, err := Parse("f", b)
		var parseError *Error
		if err != nil && (!errors.As(err, &parseError) || parseError.Pos.Line < 1 || parseError.Pos.Col < 1) {
			t.Fatalf("error without a position: %v", err)
		}
		for _, n := range nodes {
			again, err := Parse("f", []byte(quoted(n)))
			if err != nil || len(again) != 1 || plain(again[0]) != plain(n) {
				t.Fatalf("%q is not the same when parsed again: %v", quoted(n), err)
			}
		}
	})
}

// quoted formats a node on one line that Parse accepts.
func quoted(n *Node) string {
	switch n.Kind {
	case Atom:
		return n.Text
	case String:
		return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(n.Text) + `"`
	}
	var parts []string
	for _, item := range n.Items {
		parts = append(parts, quoted(item))
	}
	return "(" + strings.Join(parts, " ") + ")"
}
