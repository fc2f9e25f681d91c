package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/endpoints/reconcile"
)

// TestEndpointsSettings checks the values of (membership ...), and that each error has its position.
func TestEndpointsSettings(t *testing.T) {
	env := func(string) string { return "/e" }
	settings, err := Parse("o", []byte(`(membership
		(consul (agents "127.0.0.1:8500" "[::1]:8500") (services "a" "b") (token-file "$T/token") (dc "recife") (ns "obra") (filter "Service.Port > 1")
			(consistency stale) (max-stale 3s) (wait 9s) (most 1m)
			(map (group (tag "cell=")) (role (tag)) (zone (node-meta "rack")) (started none) (primary "lider") (group-number "obra" 3)))
		(static "/s") (rank static consul) (keep 1h) (old 5s) (mass 0.25 2 10s 1m) (flaps no) (word 9s) (critical drains)
		(snapshot "$T/s") (override "/o"))`), env)
	if err != nil {
		t.Fatalf("parse (membership ...): %v", err)
	}
	membership := &settings.Endpoints
	want := reconcile.Settings{
		Sources:             []string{"static", "consul"},
		SourceRetentionMs:   3600000,
		StaleAgeMs:          5000,
		MassRemovalFraction: 0.25,
		MassRemovalMinimum:  2,
		MassRemovalWindowMs: 10000,
		MassRemovalHoldMs:   60000,
		FlapWindowMs:        60000,
		FlapHoldMs:          20000,
		SelfReportTTLMs:     9000,
		Critical:            reconcile.CriticalDrain,
	}
	if diff := cmp.Diff(want, membership.Options.Reconcile); diff != "" {
		t.Errorf("settings of the reconciler (-want +got):\n%s", diff)
	}
	mapping := consul.DefaultMapping()
	mapping.Group = consul.FieldSource{Kind: consul.FieldTag, Key: "cell="}
	mapping.Role = consul.FieldSource{Kind: consul.FieldTag}
	mapping.Zone = consul.FieldSource{Kind: consul.FieldNodeMeta, Key: "rack"}
	mapping.Started = consul.FieldSource{Kind: consul.FieldNone}
	mapping.PrimaryValues = []string{"lider"}
	mapping.ReplicaValues = nil
	mapping.GroupNumbers = map[string]string{"obra": "3"}
	wantConsul := &consul.Options{
		Name:             "consul",
		Agents:           []string{"127.0.0.1:8500", "[::1]:8500"},
		Services:         []string{"a", "b"},
		Datacenter:       "recife",
		Namespace:        "obra",
		Filter:           "Service.Port > 1",
		Consistency:      "stale",
		MaxStaleMs:       3000,
		WaitMs:           9000,
		MaxResponseBytes: 1 << 20,
		Mapping:          mapping,
	}
	membership.Consul.Mapping.ReplicaValues = nil // those of the default mapping
	if diff := cmp.Diff(wantConsul, membership.Consul); diff != "" {
		t.Errorf("options of the Consul source (-want +got):\n%s", diff)
	}
	if !membership.Enabled || membership.TokenFile != "/e/token" || membership.Options.SnapshotPath != "/e/s" || membership.StaticPath != "/s" || membership.OverridePath != "/o" {
		t.Errorf("parsed as %+v, want it enabled, with the names of all files", membership)
	}
	const agents = `(agents "h:1") (services "a")`
	for in, want := range map[string]string{
		`(membership)`:                                                   "o:1:1: membership: no source",
		`(membership (consul))`:                                          "o:1:13: consul: (agents",
		`(membership (consul (agents "h:1")))`:                           "o:1:13: consul: (services",
		`(membership (consul (agents "h")))`:                             "o:1:29: expected an agent's",
		`(membership (consul (agents "h:1") (services "a/b")))`:          "o:1:46: expected a service's name",
		`(membership (platform) (rank consul))`:                          "o:1:24: rank: consul is not a configured source",
		`(membership (platform) (rank dns))`:                             "o:1:30: (rank ...) takes",
		`(membership (platform) (mass 2 3 1s 1s))`:                       "o:1:30: 2 is out of range",
		`(membership (platform) (mass 1))`:                               "o:1:24: expected (mass PART",
		`(membership (platform) (flaps 3))`:                              "o:1:24: expected (flaps TIMES",
		`(membership (platform) (critical maybe))`:                       "o:1:24: expected (critical doubt)",
		`(membership (platform) (snapshot ""))`:                          "o:1:24: the file name is empty",
		`(membership (consul ` + agents + ` (map (group (label "x")))))`: `o:1:63: "label" is not a field source`,
		`(membership (consul ` + agents + ` (map (group (meta)))))`:      "o:1:63: (meta ...) takes its key",
		`(membership (consul ` + agents + ` (map (group (id "x")))))`:    "o:1:63: (id ...) takes no argument",
		`(membership (consul ` + agents + ` (consistency eventual)))`:    "o:1:51: expected (consistency default)",
		`(membership (consul ` + agents + ` (ca "/none")))`:              "o:1:13: consul: (ca ...) requires (https)",
		`(membership (consul ` + agents + ` (https) (ca "/none/here")))`: "o:1:13: consul: open /none/here",
		`(membership (consul ` + agents + ` (map (group-number "x"))))`:  "o:1:56: expected (group-number",
	} {
		_, err := Parse("o", []byte(in), env)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: error %v, want one that begins with %q", in, err, want)
		}
	}
}

// TestPlatformDeploymentHasSourcesDisabled checks that the platform's deployment takes its endpoint list from the platform's
// discovery alone, and has the optional subsystems disabled.
func TestPlatformDeploymentHasSourcesDisabled(t *testing.T) {
	settings, err := Load("../../deploy/operators.sexp", os.Getenv)
	if err != nil || settings.Endpoints.Enabled || settings.Pooling.Listen != "" || settings.ClickHouse.Listen != "" || settings.Record.Enabled {
		t.Errorf("settings of the platform's deployment: %+v, error %v; want the optional subsystems disabled", settings, err)
	}
}

// TestOverrideFile checks override files: pins, accepted removals, a missing file, and errors.
func TestOverrideFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "o")
	membership := &Endpoints{OverridePath: file}
	for text, want := range map[string]any{
		"":                  reconcile.Override{},
		`(accept-removals)`: reconcile.Override{AcceptHeldRemovals: true},
		`(pin "a" gone) (pin "b" serving)`: reconcile.Override{
			Pins: []reconcile.Pin{{ID: "a", State: reconcile.StateRemoved}, {ID: "b", State: reconcile.StateServing}},
		},
		`(pin "a")`:    ":1:1: expected (pin \"ID\" serving), (pin \"ID\" draining) or (pin \"ID\" gone)",
		`(pin "a" up)`: ":1:10: expected serving, draining or gone",
		`(unpin "a")`:  `:1:1: "unpin" is unknown here; allowed are: accept-removals, pin`,
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatalf("write the override file: %v", err)
		}
		override, err := membership.ReadOverride()
		var got any = override
		if err != nil {
			got = strings.TrimPrefix(err.Error(), file)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("override file %q (-want +got):\n%s", text, diff)
		}
	}
	if err := os.Remove(file); err != nil {
		t.Fatalf("remove the override file: %v", err)
	}
	if override, err := membership.ReadOverride(); err != nil || len(override.Pins) > 0 {
		t.Errorf("missing override file: got %+v, error %v; want no pins", override, err)
	}
}
