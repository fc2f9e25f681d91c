package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validRead = `(read "r" (class "reports") (shards ("b" 1) ("a" 0)) (order ("at" timestamptz (desc))) (own ("id" int8)) (whole))`

// TestScatterSettings checks the values and errors of (scatter ...).
func TestScatterSettings(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"good": "a key of cursors\n\nan older key of them\n", "short": "a key of cursors\nshort\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatalf("write the key file %s: %v", name, err)
		}
	}
	env := func(string) string { return dir }
	pooling := `(pooling (listen "127.0.0.1:1") (class "o" (needs primary)) (class "reports" (needs session)) (class "any" (needs any)) (pool (class "o"))) `
	parse := func(text string) (*Settings, error) {
		settings, err := Parse("f", []byte(text), env)
		if err == nil {
			err = settings.Scatter.Check(&settings.Pooling, &settings.Cluster)
		}
		return settings, err
	}
	settings, err := parse(pooling + `(scatter (key "$DIR/good") ` + validRead + `)`)
	if err != nil {
		t.Fatalf("parse (scatter ...): %v", err)
	}
	spec := settings.Scatter.Specs[0]
	if spec.Shards[0].Name != "a" || !spec.Order.Columns[0].NullsFirst || spec.Order.Columns[1].NullsFirst || spec.Order.OwnIndex != 1 || spec.MaxMissing != 0 {
		t.Errorf("parsed as %+v, want shard a first, nulls first in the descending column alone, the second column as its own, no missing shards", spec)
	}
	if keys, err := settings.Scatter.Secrets(&settings.Cluster); err != nil || len(keys) != 2 || string(keys[0]) != "a key of cursors" {
		t.Errorf("keys of cursors: got %q, error %v; want 2, the first from the first line", keys, err)
	}
	replaced := func(old, replacement string) string {
		return pooling + `(scatter (key "$DIR/good") ` + strings.Replace(validRead, old, replacement, 1) + `)`
	}
	for text, want := range map[string]string{
		`(scatter (key "$DIR/good") ` + validRead + `)`:                       "needs (pooling",
		pooling + `(scatter ` + validRead + `)`:                               "needs a (key",
		pooling + `(scatter (key "$DIR/short") ` + validRead + `)`:            "a line has 5 bytes",
		pooling + `(scatter (key "$DIR/good"))`:                               "needs a (read",
		pooling + `(scatter (key "$DIR/good") (rotate 1s) ` + validRead + `)`: "keys with (rotate",
		replaced(`"reports"`, `"none"`):                                       "there is no (class",
		replaced(`"reports"`, `"any"`):                                        "must be (needs session)",
		replaced(`timestamptz`, `numeric`):                                    `cannot order by type "numeric"`,
		replaced(`(whole)`, ``):                                               "expected (whole), or",
		replaced(`(whole)`, `(partial 2)`):                                    "cannot be missing",
		replaced(`(whole)`, `(whole) (page 2000)`):                            "exceeds (most-page",
		replaced(`("b" 1)`, `("b" 0)`):                                        "duplicate name or group",
		replaced(`("b" 1)`, `("b" 0.5)`):                                      "a group's number",
		replaced(`(own ("id" int8))`, ``):                                     "are required",
		replaced(`("id" int8)`, `("at" int8)`):                                "duplicate column",
	} {
		if _, err := parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}
