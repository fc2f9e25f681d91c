package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const readOf = `(read "r" (class "reports") (shards ("b" 1) ("a" 0)) (order ("at" timestamptz (desc))) (own ("id" int8)) (whole))`

// TestScatterSettings checks the values and errors of (scatter ...).
func TestScatterSettings(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"good": "a key of cursors\n\nan older key of them\n", "short": "a key of cursors\nshort\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := func(string) string { return dir }
	pooling := `(pooling (listen "127.0.0.1:1") (class "o" (needs primary)) (class "reports" (needs session)) (class "any" (needs any)) (pool (class "o"))) `
	read := func(text string) (*Settings, error) {
		settings, err := Parse("f", []byte(text), env)
		if err == nil {
			err = settings.Scatter.Check(&settings.Pooling, &settings.Cluster)
		}
		return settings, err
	}
	settings, err := read(pooling + `(scatter (key "$DIR/good") ` + readOf + `)`)
	if err != nil {
		t.Fatal(err)
	}
	x := settings.Scatter.Specs[0]
	if x.Shards[0].Name != "a" || !x.Order.Columns[0].NullsFirst || x.Order.Columns[1].NullsFirst || x.Order.Own != 1 || x.MaxMissing != 0 {
		t.Errorf("%+v", x)
	}
	if keys, err := settings.Scatter.Secrets(&settings.Cluster); err != nil || len(keys) != 2 || string(keys[0]) != "a key of cursors" {
		t.Errorf("%q, %v", keys, err)
	}
	scatter := func(old, now string) string {
		return pooling + `(scatter (key "$DIR/good") ` + strings.Replace(readOf, old, now, 1) + `)`
	}
	for text, want := range map[string]string{
		`(scatter (key "$DIR/good") ` + readOf + `)`:                       "needs (pooling",
		pooling + `(scatter ` + readOf + `)`:                               "needs a (key",
		pooling + `(scatter (key "$DIR/short") ` + readOf + `)`:            "a line of 5 bytes",
		pooling + `(scatter (key "$DIR/good"))`:                            "needs a (read",
		pooling + `(scatter (key "$DIR/good") (rotate 1s) ` + readOf + `)`: "keys that change",
		scatter(`"reports"`, `"none"`):                                     "there is no (class",
		scatter(`"reports"`, `"any"`):                                      "is not of (needs session)",
		scatter(`timestamptz`, `numeric`):                                  `the order of type "numeric" is not known`,
		scatter(`(whole)`, ``):                                             "(whole), or",
		scatter(`(whole)`, `(partial 2)`):                                  "cannot be missing",
		scatter(`(whole)`, `(whole) (page 2000)`):                          "over its most",
		scatter(`("b" 1)`, `("b" 0)`):                                      "is there already",
		scatter(`("b" 1)`, `("b" 0.5)`):                                    "a group's number",
		scatter(`(own ("id" int8))`, ``):                                   "are due",
		scatter(`("id" int8)`, `("at" int8)`):                              "is there twice",
	} {
		if _, err := read(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, not %q", text, err, want)
		}
	}
}
