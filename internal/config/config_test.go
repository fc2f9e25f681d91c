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

const validConfig = `{"name":"n3","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1"}]},
 "settings":{"allowed":{"connect_timeout_ns":120000000,"probes":true},"zones":["z"],"kinds":["k1","k2"],
  "family_info":{"class_read":["lag_bound","mutate"],"staleness_bound_ns":[200000000,0]},
  "request_classes":[{"name":"a","slo_ns":200000000,"effect":"retryable"},{"name":"b","effect":"fragile"}]}}`

// TestParse checks the values of a file, and that the environment overrides it.
func TestParse(t *testing.T) {
	env := func(name string) string { return map[string]string{"EDGE_LISTEN": "127.0.0.2:1"}[name] }
	c, err := parse([]byte(validConfig), env, false)
	if err != nil {
		t.Fatalf("parse the file: %v", err)
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
		t.Errorf("values of the file (-want +got):\n%s", diff)
	}
}

// TestMissingSeedIsDrawn checks that processes without a seed draw different ones: with equal seeds, their slow starts would draw the
// same numbers.
func TestMissingSeedIsDrawn(t *testing.T) {
	seeds := map[uint64]bool{}
	for range 3 {
		c, err := parse([]byte(strings.Replace(validConfig, `"seed":"8c1f30d27a5be964",`, "", 1)), func(string) string { return "" }, false)
		if err != nil {
			t.Fatalf("parse the file without a seed: %v", err)
		}
		seeds[c.Seed] = true
	}
	if len(seeds) != 3 {
		t.Errorf("seeds of three processes: %v, want three different ones", seeds)
	}
}

// TestErrorNamesTheKey checks that the error of an invalid value is one line that names its key.
func TestErrorNamesTheKey(t *testing.T) {
	for want, change := range map[string][2]string{
		"listen":             {"127.0.0.1:6543", "nowhere"},
		"seed":               {"8c1f30d27a5be964", "xyz"},
		"sockets":            {`"sockets":1024`, `"sockets":9`},
		"connect_timeout_ns": {"120000000", `"soon"`},
		"request_classes":    {`"request_classes"`, `"other"`},
		"slo_ns":             {`"slo_ns":200000000`, `"slo_ns":"x"`},
	} {
		_, err := parse([]byte(strings.Replace(validConfig, change[0], change[1], 1)), func(string) string { return "" }, false)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line that names %s", err, want)
		}
	}
}

// TestReloadAppliesWhatCanChange checks that a reload applies the file's address of discovery rather than the environment's, and reports
// the values that only a restart can change.
func TestReloadAppliesWhatCanChange(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"EDGE_DISCOVERY": "127.0.0.3:1", "EDGE_LISTEN": "127.0.0.2:1"}[name]
	}
	c, err := parse([]byte(validConfig), env, false)
	if err != nil || c.DiscoveryAddress != "127.0.0.3:1" {
		t.Fatalf("parse the file: got %v, error %v; want the environment's address of discovery", c, err)
	}
	for _, step := range []struct {
		replacements          [][2]string
		changed, unchangeable []string
		config                Config
	}{
		{nil, []string{"discovery"}, nil, Config{DiscoveryAddress: "127.0.0.1:8500", Limits: c.Limits, ConnectTimeoutMs: 120}},
		{[][2]string{{`"discovery":"127.0.0.1:8500",`, ""}, {`"sockets":1024`, `"sockets":256`}, {"120000000", "90000000"},
			{`"name":"n3"`, `"name":"n4"`}, {`"slo_ns":200000000`, `"slo_ns":300000000`}},
			[]string{"discovery", "limits", "connect_timeout_ns", "settings"}, []string{"name"},
			Config{DiscoveryAddress: "127.0.0.3:1", Limits: Limits{1, 192, 256}, ConnectTimeoutMs: 90}},
	} {
		text := validConfig
		for _, replacement := range step.replacements {
			text = strings.Replace(text, replacement[0], replacement[1], 1)
		}
		next, err := parse([]byte(text), env, true)
		if err != nil {
			t.Fatalf("parse the file to reload: %v", err)
		}
		changed, unchangeable := c.Apply(next)
		got := Config{DiscoveryAddress: c.DiscoveryAddress, Limits: c.Limits, ConnectTimeoutMs: c.ConnectTimeoutMs}
		if diff := cmp.Diff([]any{step.changed, step.unchangeable, step.config}, []any{changed, unchangeable, got}, cmpopts.IgnoreUnexported(Config{})); diff != "" {
			t.Errorf("changed keys, unchangeable keys and values after the reload (-want +got):\n%s", diff)
		}
	}
	if c.Name != "n3" || c.Settings.Classes[0].LatencyObjective != 300*time.Millisecond {
		t.Errorf("after the reloads: %v, want the old name and the new objective", c)
	}
}

const completeConfig = `{"name":"n3","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","control":"127.0.0.1:9600","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":41,"reset":true,"instances":[]},
 "settings":{"allowed":{"max_attempts":8,"probes":true},"my_zone":0,"zones":["z"],"kinds":["k1"],"family_info":{"class_read":["lag_bound","mutate"]},
  "request_classes":[{"name":"a","deadline_ns":800000000,"slo_ns":200000000,"effect":"retryable"},{"name":"b","deadline_ns":2000000000,"slo_ns":250000000,"effect":"fragile"}]}}`

// TestIncompleteFileIsRejected checks that a file is rejected that is truncated, lacks a key, or has an invalid number.
func TestIncompleteFileIsRejected(t *testing.T) {
	none := func(string) string { return "" }
	c, err := parse([]byte(completeConfig), none, false)
	if err != nil {
		t.Fatalf("parse the complete file: %v", err)
	}
	accepted := func(text string) bool {
		next, err := parse([]byte(text), none, true)
		return err == nil && c.CheckKeys(next) == nil
	}
	if !accepted(completeConfig) || !accepted(completeConfig+"\n") {
		t.Fatal("a complete file was rejected")
	}
	for i := range len(completeConfig) {
		if accepted(completeConfig[:i]) {
			t.Errorf("accepted though truncated after %d bytes", i)
		}
	}
	if accepted(completeConfig+"}") || accepted(completeConfig+completeConfig) {
		t.Error("accepted with trailing data")
	}
	for _, key := range regexp.MustCompile(`"(\w+)":`).FindAllStringSubmatchIndex(completeConfig, -1) {
		if lacking := completeConfig[:key[2]] + "un_" + completeConfig[key[2]:]; accepted(lacking) && !strings.Contains("generation reset instances", completeConfig[key[2]:key[3]]) {
			t.Errorf("accepted without %s", completeConfig[key[2]:key[3]])
		}
	}
	for _, value := range []string{"0", "-1", `"8"`, `"x"`, "null", "NaN", "1e999", "1e30", "[8]", "{}", "true", "0.0"} {
		for _, original := range []string{`"max_attempts":8`, `"deadline_ns":800000000`} {
			name, _, _ := strings.Cut(original, ":")
			if accepted(strings.Replace(completeConfig, original, name+":"+value, 1)) {
				t.Errorf("accepted with %s:%s", name, value)
			}
		}
	}
	if accepted(strings.Replace(completeConfig, `"name":"b"`, `"name":"a"`, 1)) {
		t.Error("accepted with two classes of one name")
	}
}

// TestClassesKeepTheirNumbersByName checks that a class keeps its number in whatever order a file lists the classes, and that a retired
// class keeps its number until it returns.
func TestClassesKeepTheirNumbersByName(t *testing.T) {
	none := func(string) string { return "" }
	c, err := parse([]byte(completeConfig), none, false)
	if err != nil {
		t.Fatalf("parse the complete file: %v", err)
	}
	var got []string
	for _, text := range []string{
		strings.NewReplacer(`"name":"a"`, `"name":"b"`, `"name":"b"`, `"name":"a"`, `["lag_bound","mutate"]`, `["mutate","lag_bound"]`).Replace(completeConfig),
		strings.Replace(completeConfig, `"name":"a"`, `"name":"c"`, 1),
		completeConfig,
	} {
		next, err := parse([]byte(text), none, true)
		if err != nil {
			t.Fatalf("parse the file to reload: %v", err)
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
		t.Errorf("classes after each reload (-want +got):\n%s", diff)
	}
}

// TestRetiredClassKeepsItsRouting checks that a retired class keeps only the settings that decide where its open requests may be sent,
// and how often.
func TestRetiredClassKeepsItsRouting(t *testing.T) {
	none := func(string) string { return "" }
	c, err := parse([]byte(completeConfig), none, false)
	if err != nil {
		t.Fatalf("parse the complete file: %v", err)
	}
	next, err := parse([]byte(completeConfig), none, true)
	if err != nil {
		t.Fatalf("parse the file to reload: %v", err)
	}
	class := decide.Class{
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
	c.Settings.Classes[1] = class
	next.Classes, next.Settings.Classes = next.Classes[:1], next.Settings.Classes[:1]
	c.Apply(next)
	class.LatencyObjective, class.Deadline, class.PriorityWeight = 0, 0, 0
	if diff := cmp.Diff(class, c.Settings.Classes[1]); diff != "" || !c.Retired(1) {
		t.Errorf("class 1 is retired: %v, want true; its settings (-want +got):\n%s", c.Retired(1), diff)
	}
}

// FuzzReload checks that any file is accepted with at least one class, or rejected with an error of one line.
func FuzzReload(f *testing.F) {
	f.Add([]byte(completeConfig))
	f.Add([]byte(completeConfig[:200]))
	f.Add([]byte(`{"settings":{"request_classes":[{"name":1}]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := parse(b, func(string) string { return "" }, true)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error of more than one line: %q", err)
		}
		if err == nil && len(c.Classes) == 0 {
			t.Error("a file without a class was accepted")
		}
	})
}
