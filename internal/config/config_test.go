package config

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"beechgrade/internal/decide"
)

const good = `{"name":"n3","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1"}]},
 "settings":{"allowed":{"connect_timeout_ns":120000000,"probes":true},"zones":["z"],"kinds":["k1","k2"],
  "family_info":{"class_read":["lag_bound","mutate"],"staleness_bound_ns":[200000000,0]},
  "request_classes":[{"name":"a","slo_ns":200000000,"effect":"retryable"},{"name":"b","effect":"fragile"}]}}`

// TestParse checks the values of a file, and that the environment goes before it.
func TestParse(t *testing.T) {
	env := func(name string) string { return map[string]string{"EDGE_LISTEN": "127.0.0.2:1"}[name] }
	c, err := parse([]byte(good), env, false)
	if err != nil {
		t.Fatal(err)
	}
	got := []any{
		c.ListenAddress, c.Seed, c.Limits.Sockets, c.InitialList.Generation, c.Classes, c.MachineTypes,
		c.ConnectTimeoutMs, c.ServerIdleTimeoutMs,
		c.Settings.Classes[0].MaxStaleness, c.Settings.Classes[0].LatencyObjective, c.Settings.MayCheckHealth,
	}
	want := []any{
		"127.0.0.2:1", uint64(0x8c1f30d27a5be964), 1024, int64(41), []string{"a", "b"}, []string{"k1", "k2"},
		120.0, 30000.0,
		200 * time.Millisecond, 200 * time.Millisecond, true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSeedsAreDrawnWhereNoneIsGiven checks that processes without a seed draw different ones, since slow start is drawn by it.
func TestSeedsAreDrawnWhereNoneIsGiven(t *testing.T) {
	seeds := map[uint64]bool{}
	for range 3 {
		c, err := parse([]byte(strings.Replace(good, `"seed":"8c1f30d27a5be964",`, "", 1)), func(string) string { return "" }, false)
		if err != nil {
			t.Fatal(err)
		}
		seeds[c.Seed] = true
	}
	if len(seeds) != 3 {
		t.Errorf("three starts drew the seeds %v", seeds)
	}
}

// TestErrorNamesTheKey checks that the error of a value names its key, in one line.
func TestErrorNamesTheKey(t *testing.T) {
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

// TestReloadAppliesWhatCanChange checks that a reload applies the file's address of discovery rather than the environment's,
// and leaves what only a restart can change.
func TestReloadAppliesWhatCanChange(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"EDGE_DISCOVERY": "127.0.0.3:1", "EDGE_LISTEN": "127.0.0.2:1"}[name]
	}
	c, err := parse([]byte(good), env, false)
	if err != nil || c.DiscoveryAddress != "127.0.0.3:1" {
		t.Fatal(c, err)
	}
	for _, step := range []struct {
		change        [][2]string
		changed, kept []string
		now           Config
	}{
		{nil, []string{"discovery"}, nil, Config{DiscoveryAddress: "127.0.0.1:8500", Limits: c.Limits, ConnectTimeoutMs: 120}},
		{[][2]string{{`"discovery":"127.0.0.1:8500",`, ""}, {`"sockets":1024`, `"sockets":256`}, {"120000000", "90000000"},
			{`"name":"n3"`, `"name":"n4"`}, {`"slo_ns":200000000`, `"slo_ns":300000000`}},
			[]string{"discovery", "limits", "connect_timeout_ns", "settings"}, []string{"name"},
			Config{DiscoveryAddress: "127.0.0.3:1", Limits: Limits{1, 192, 256}, ConnectTimeoutMs: 90}},
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
		got := Config{DiscoveryAddress: c.DiscoveryAddress, Limits: c.Limits, ConnectTimeoutMs: c.ConnectTimeoutMs}
		if diff := cmp.Diff([]any{step.changed, step.kept, step.now}, []any{changed, kept, got}, cmpopts.IgnoreUnexported(Config{})); diff != "" {
			t.Error(diff)
		}
	}
	if c.Name != "n3" || c.Settings.Classes[0].LatencyObjective != 300*time.Millisecond {
		t.Errorf("changed while serving: %v", c)
	}
}

const operated = `{"name":"n3","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","control":"127.0.0.1:9600","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":41,"reset":true,"instances":[]},
 "settings":{"allowed":{"max_attempts":8,"probes":true},"my_zone":0,"zones":["z"],"kinds":["k1"],"family_info":{"class_read":["lag_bound","mutate"]},
  "request_classes":[{"name":"a","deadline_ns":800000000,"slo_ns":200000000,"effect":"retryable"},{"name":"b","deadline_ns":2000000000,"slo_ns":250000000,"effect":"fragile"}]}}`

// TestIncompleteFileIsRejected checks that a file that is cut short, lacks a key, or has a value that is no number is rejected.
func TestIncompleteFileIsRejected(t *testing.T) {
	none := func(string) string { return "" }
	c, err := parse([]byte(operated), none, false)
	if err != nil {
		t.Fatal(err)
	}
	taken := func(text string) bool {
		next, err := parse([]byte(text), none, true)
		return err == nil && c.CheckKeys(next) == nil
	}
	if !taken(operated) || !taken(operated+"\n") {
		t.Fatal("a whole file is turned down")
	}
	for i := range len(operated) {
		if taken(operated[:i]) {
			t.Errorf("taken though cut after %d bytes", i)
		}
	}
	if taken(operated+"}") || taken(operated+operated) {
		t.Error("taken with more behind it")
	}
	for _, k := range regexp.MustCompile(`"(\w+)":`).FindAllStringSubmatchIndex(operated, -1) {
		if lacking := operated[:k[2]] + "un_" + operated[k[2]:]; taken(lacking) && !strings.Contains("generation reset instances", operated[k[2]:k[3]]) {
			t.Errorf("taken without %s", operated[k[2]:k[3]])
		}
	}
	for _, v := range []string{"0", "-1", `"8"`, `"x"`, "null", "NaN", "1e999", "1e30", "[8]", "{}", "true", "0.0"} {
		for _, was := range []string{`"max_attempts":8`, `"deadline_ns":800000000`} {
			name, _, _ := strings.Cut(was, ":")
			if taken(strings.Replace(operated, was, name+":"+v, 1)) {
				t.Errorf("taken with %s:%s", name, v)
			}
		}
	}
	if taken(strings.Replace(operated, `"name":"b"`, `"name":"a"`, 1)) {
		t.Error("taken with two classes of one name")
	}
}

// TestClassesKeepTheirNumbersByName checks that classes keep their numbers by name in any order, and that a retired class keeps
// its own until it returns.
func TestClassesKeepTheirNumbersByName(t *testing.T) {
	none := func(string) string { return "" }
	c, err := parse([]byte(operated), none, false)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, text := range []string{
		strings.NewReplacer(`"name":"a"`, `"name":"b"`, `"name":"b"`, `"name":"a"`, `["lag_bound","mutate"]`, `["mutate","lag_bound"]`).Replace(operated),
		strings.Replace(operated, `"name":"a"`, `"name":"c"`, 1),
		operated,
	} {
		next, err := parse([]byte(text), none, true)
		if err != nil {
			t.Fatal(err)
		}
		c.Apply(next)
		s := ""
		for i, n := range c.Classes {
			s += fmt.Sprint(n, " ", c.Settings.Classes[i].Deadline, " ", c.Retired(i), " ")
		}
		got = append(got, s)
	}
	want := []string{
		"a 2s false b 800ms false ",
		"a 0s true b 2s false c 800ms false ",
		"a 800ms false b 2s false c 0s true ",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestRetiredClassKeepsItsRouting checks that a retired class keeps what says where its open requests may be sent, and how
// often, and nothing else.
func TestRetiredClassKeepsItsRouting(t *testing.T) {
	none := func(string) string { return "" }
	c, err := parse([]byte(operated), none, false)
	if err != nil {
		t.Fatal(err)
	}
	next, err := parse([]byte(operated), none, true)
	if err != nil {
		t.Fatal(err)
	}
	was := decide.Class{
		LatencyObjective: 1,
		Deadline:         2,
		PriorityWeight:   3,
		LateWeight:       0.5,
		Idempotency:      decide.IdempotentWithKey,
		KeyScope:         decide.ScopeGroup,
		KeyWindow:        4,
		Read:             decide.Write,
		MaxStaleness:     5,
	}
	c.Settings.Classes[1] = was
	next.Classes, next.Settings.Classes = next.Classes[:1], next.Settings.Classes[:1]
	c.Apply(next)
	was.LatencyObjective, was.Deadline, was.PriorityWeight = 0, 0, 0
	if diff := cmp.Diff(was, c.Settings.Classes[1]); diff != "" || !c.Retired(1) {
		t.Errorf("retired %v: %s", c.Retired(1), diff)
	}
}

// FuzzReload checks that any file is accepted, or rejected with a one-line error.
func FuzzReload(f *testing.F) {
	f.Add([]byte(operated))
	f.Add([]byte(operated[:200]))
	f.Add([]byte(`{"settings":{"request_classes":[{"name":1}]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := parse(b, func(string) string { return "" }, true)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%q", err)
		}
		if err == nil && len(c.Classes) == 0 {
			t.Error("taken without a class")
		}
	})
}
