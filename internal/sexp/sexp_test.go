package sexp

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// plain is a node on one line, without escapes.
func plain(n *Node) string {
	switch n.Kind {
	case Atom:
		return n.Text
	case String:
		return `"` + n.Text + `"`
	}
	var parts []string
	for _, x := range n.Items {
		parts = append(parts, plain(x))
	}
	return "(" + strings.Join(parts, " ") + ")"
}

// TestParse checks what is parsed, and that each error names its place.
func TestParse(t *testing.T) {
	for in, want := range map[string]string{
		"":                               "",
		"; nothing\n":                    "",
		"(a 1 (b \"x y\") ; c\n c)":      `(a 1 (b "x y") c)`,
		`"say \"é\" \\"`:                 `"say "é" \"`,
		"(a":                             "f:1:1: this list is not closed",
		"(a\n  (b)\n  (c":                "f:3:3: this list is not closed",
		"a)":                             "f:1:2: a ')' that closes nothing",
		"(é \"x":                         "f:1:4: this text is not closed",
		"(a \"x\ny\")":                   "f:1:4: this text is not closed on its line",
		`"a\q"`:                          `f:1:3: \q is not known; there are \" \\ \n \t`,
		"(a \xff)":                       "f:1:4: this is not UTF-8 text",
		strings.Repeat("(", maxDepth+1):  "f:1:65: lists are nested more than 64 deep",
		strings.Repeat("x", MaxBytes+1):  "f:1:1: the file has 1048577 bytes; at most 1048576 are read",
		strings.Repeat("a ", maxNodes+1): "f:1:262145: more than 131072 expressions",
	} {
		nodes, err := Parse("f", []byte(in))
		var got []string
		for _, n := range nodes {
			got = append(got, plain(n))
		}
		have := strings.Join(got, " ")
		if err != nil {
			have = err.Error()
		}
		if diff := cmp.Diff(want, have); diff != "" {
			t.Errorf("%.40q: %s", in, diff)
		}
	}
}

// TestRead checks that a misspelt, duplicate or invalid setting is an error with its place.
func TestRead(t *testing.T) {
	for in, want := range map[string]string{
		"(n 3) (t 1m30s) (b) (s 8m) (x k)": "",
		"(n 3) (n 4)":                      `f:1:7: "n" stands here twice, first on line 1`,
		"(x a) (x b)":                      "",
		"(N 3)":                            `f:1:1: "N" is not known here; known are: b, n, s, t, x`,
		"5":                                `f:1:1: here a list that begins with a name is due; known are: b, n, s, t, x`,
		"(n 3.5)":                          "f:1:4: a whole number is due here",
		"(n 11)":                           "f:1:4: 11 is out of range; it may be from 0 to 10",
		"(n NaN)":                          "f:1:4: a number is due here",
		"(n)":                              "f:1:1: (n ...) takes one value, here are 0",
		"(t 5)":                            "f:1:4: a time is due here, such as 250ms, 2s or 1m30s",
		"(t 1h)":                           "f:1:4: 1h is out of range; it may be from 1ms to 100000ms",
		"(b perhaps)":                      "f:1:4: yes or no is due here",
		"(s 9999999999g)":                  "f:1:4: a size is due here, such as 512k, 8m or 1g",
		"(s 1k)":                           "f:1:4: 1k is out of range; it may be from 4096 to 1073741824 bytes",
		"(x (y))":                          "f:1:4: a text is due here",
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
			t.Errorf("%q: %s", in, diff)
		}
	}
}

// FuzzParse checks that any input is parsed, and reads back, or is an error with its place.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"(a 1)", "(a \"b\\n\" ;x\n)", ")", "((((", "\"", "\xff", "(a . b)"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		nodes, err := Parse("f", b)
		var at *Error
		if err != nil && (!errors.As(err, &at) || at.Pos.Line < 1 || at.Pos.Col < 1) {
			t.Fatalf("error without a place: %v", err)
		}
		for _, n := range nodes {
			again, err := Parse("f", []byte(quoted(n)))
			if err != nil || len(again) != 1 || plain(again[0]) != plain(n) {
				t.Fatalf("%q does not read back: %v", quoted(n), err)
			}
		}
	})
}

// quoted is a node on one line, as it can be parsed again.
func quoted(n *Node) string {
	switch n.Kind {
	case Atom:
		return n.Text
	case String:
		return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`).Replace(n.Text) + `"`
	}
	var parts []string
	for _, x := range n.Items {
		parts = append(parts, quoted(x))
	}
	return "(" + strings.Join(parts, " ") + ")"
}
