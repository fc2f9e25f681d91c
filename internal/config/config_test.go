package config

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const good = `{"name":"n3","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1"}]},
 "settings":{"allowed":{"connect_timeout_ns":120000000,"probes":true},"zones":["z"],"kinds":["k1","k2"],
  "family_info":{"class_read":["lag_bound","mutate"],"staleness_bound_ns":[200000000,0]},
  "request_classes":[{"name":"a","slo_ns":200000000,"effect":"retryable"},{"name":"b","effect":"fragile"}]}}`

func TestParse(t *testing.T) {
	env := func(name string) string { return map[string]string{"EDGE_LISTEN": "127.0.0.2:1"}[name] }
	c, err := parse([]byte(good), env)
	if err != nil {
		t.Fatal(err)
	}
	got := []any{c.Listen, c.Seed, c.Limits.Sockets, c.Known.Generation, c.Classes, c.Kinds, c.ConnectTimeoutMs, c.IdleMs,
		c.Settings.Classes[0].Bound, c.Settings.Classes[0].Aim, c.Settings.MayProbe}
	want := []any{"127.0.0.2:1", uint64(0x8c1f30d27a5be964), 1024, int64(41), []string{"a", "b"}, []string{"k1", "k2"}, 120.0,
		30000.0, 200 * time.Millisecond, 200 * time.Millisecond, true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestBadValueNamesItself: a start that fails must say by which value, in one line.
func TestBadValueNamesItself(t *testing.T) {
	for want, change := range map[string][2]string{
		"listen":             {"127.0.0.1:6543", "nowhere"},
		"seed":               {"8c1f30d27a5be964", "xyz"},
		"sockets":            {`"sockets":1024`, `"sockets":9`},
		"connect_timeout_ns": {"120000000", `"soon"`},
		"request_classes":    {`"request_classes"`, `"other"`},
		"slo_ns":             {`"slo_ns":200000000`, `"slo_ns":"x"`},
	} {
		_, err := parse([]byte(strings.Replace(good, change[0], change[1], 1)), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", want, err)
		}
	}
}
