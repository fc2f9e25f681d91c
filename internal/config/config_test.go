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
	c, err := parse([]byte(good), env, false)
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
		_, err := parse([]byte(strings.Replace(good, change[0], change[1], 1)), func(string) string { return "" }, false)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v", want, err)
		}
	}
}

// TestReload guards against a reload that keeps what the environment said of discovery at the start, or that changes under
// way what only a restart can change.
func TestReload(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"EDGE_DISCOVERY": "127.0.0.3:1", "EDGE_LISTEN": "127.0.0.2:1"}[name]
	}
	c, err := parse([]byte(good), env, false)
	if err != nil || c.Discovery != "127.0.0.3:1" {
		t.Fatal(c, err)
	}
	for _, step := range []struct {
		change        [][2]string
		changed, kept []string
		now           Config
	}{
		{nil, []string{"discovery"}, nil, Config{Discovery: "127.0.0.1:8500", Limits: c.Limits, ConnectTimeoutMs: 120}},
		{[][2]string{{`"discovery":"127.0.0.1:8500",`, ""}, {`"sockets":1024`, `"sockets":256`}, {"120000000", "90000000"},
			{`"name":"n3"`, `"name":"n4"`}, {`"slo_ns":200000000`, `"slo_ns":300000000`}},
			[]string{"discovery", "limits", "connect_timeout_ns"}, []string{"name", "settings"},
			Config{Discovery: "127.0.0.3:1", Limits: Limits{1, 192, 256}, ConnectTimeoutMs: 90}},
	} {
		text := good
		for _, x := range step.change {
			text = strings.Replace(text, x[0], x[1], 1)
		}
		next, err := parse([]byte(text), env, true)
		if err != nil {
			t.Fatal(err)
		}
		changed, kept := c.Apply(next)
		got := Config{Discovery: c.Discovery, Limits: c.Limits, ConnectTimeoutMs: c.ConnectTimeoutMs}
		if diff := cmp.Diff([]any{step.changed, step.kept, step.now}, []any{changed, kept, got}); diff != "" {
			t.Error(diff)
		}
	}
	if c.Name != "n3" || c.Settings.Classes[0].Aim != 200*time.Millisecond {
		t.Errorf("changed while serving: %v", c)
	}
}
