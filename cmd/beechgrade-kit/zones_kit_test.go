package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/admin"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

// runKit runs a command of this program and returns its output.
func runKit(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	err := cmd.Run(context.Background(), append([]string{"beechgrade-kit"}, args...))
	return out.String(), err
}

// adminEndpoint is a pooler's admin endpoint, with a state machine if the pooler votes. An order is agreed once it was proposed after times.
type adminEndpoint struct {
	mu           sync.Mutex
	settings     zones.Settings
	stateMachine *statemachine.StateMachine
	after        int
	proposals    int
}

func (e *adminEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost {
		o, stands, err := admin.ParseOrder(r.URL.Query(), &e.settings, e.stateMachine, 1e12)
		switch {
		case errors.Is(err, admin.ErrInvalidOrder):
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusConflict)
			return
		case !stands:
			if e.proposals++; e.proposals >= e.after {
				e.stateMachine.Apply(e.stateMachine.Index+1, statemachine.EncodeOrder(&statemachine.Order{Number: o.Number, Zone: e.settings.Index(o.Zone), Lifts: o.Lifts, State: o.State, Until: o.Until}))
			}
			w.WriteHeader(http.StatusAccepted)
		}
	}
	p := &statemachine.Plan{Number: 9, Since: 7, Author: "p", Zones: make([]statemachine.ZoneStatus, 2), Matrix: plan.Matrix{{1, 0}, {0.25, 0.75}}}
	b, _ := jsoniter.Marshal(admin.NewStatus(&e.settings, follower.Status{Reason: follower.Planned}, p, e.stateMachine, e.stateMachine != nil))
	_, _ = w.Write(b)
}

// TestZonesCommand checks the zones command: the answers of several admin endpoints are shown side by side; an order is proposed until it
// is agreed, stays one order however often it is proposed, and can be lifted. An invalid command gives an error of one line, with exit code
// 2 for bad input and 1 for a failure.
func TestZonesCommand(t *testing.T) {
	t.Parallel()
	stateMachine := statemachine.New()
	stateMachine.Apply(1, statemachine.EncodeOrder(&statemachine.Order{Number: 4, Zone: 1, State: health.Serving}))
	names := []string{"a", "b"}
	voter := &adminEndpoint{settings: zones.Settings{Name: "p", Zone: "a", Zones: names, Voters: []string{"p"}}, stateMachine: stateMachine, after: 2}
	other := &adminEndpoint{settings: zones.Settings{Name: "q", Zone: "b", Zones: names, Voters: []string{"p"}}}
	startEndpoint := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	p, q, off := startEndpoint(voter), startEndpoint(other), startEndpoint(http.NotFoundHandler())
	for _, test := range []struct {
		args, out, err string
		code           int
	}{
		{"--door " + q + " --door " + p + " --door " + off, "plan 9 by p, the same since 7", "", 0},
		{"--door " + p, "b     serving  a 25%, b 75%         4: serving", "", 0},
		{"--door " + q, "no voter was asked", "", 0},
		{"--door " + off, "not in its settings", "no door answered", 1},
		{"", "", "--door", 2},
		{"evacuate --door " + q + " --wait 300ms b", "", "does not vote; these do: p", 1},
		{"evacuate --door " + q + " --door " + p + " --for 10m b", "order 5 of zone b is agreed: evacuated", "", 0},
		{"return --door " + p + " b", "order 6 of zone b is agreed: lifted", "", 0},
		{"order --door " + p + " a serving", "order 1 of zone a is agreed: serving", "", 0},
		{"evacuate --door " + p + " c", "", `there is no zone "c"; there are: a b`, 2},
		{"order --door " + p + " a away", "", `there is no state "away"`, 2},
		{"evacuate --door " + p, "", "ZONE is due", 2},
		{"evacuate --door " + p + " --for 9999h a", "", "up to 720h", 2},
		{"evacuate --door " + p + " --for -1m a", "", "above 0", 2},
		{"evcuate b", "", `"evcuate" is not known`, 2},
	} {
		voter.mu.Lock()
		voter.proposals = 0
		voter.mu.Unlock()
		out, err := runKit(append([]string{"zones"}, strings.Fields(test.args)...)...)
		if !strings.Contains(out, test.out) || (err == nil) != (test.err == "") || err != nil && !strings.Contains(err.Error(), test.err) || exitCode(err) != test.code {
			t.Errorf("zones %s: got output %q and error %v, want %q, error %q and exit code %d", test.args, out, err, test.out, test.err, test.code)
		}
	}
	if _, stands := stateMachine.Order(1); stands || stateMachine.NewestOrder(1) != 6 {
		t.Errorf("the newest order of zone b is %d, want 6, and none in force", stateMachine.NewestOrder(1))
	}
	voter.after = 1000 // the order is not agreed in time
	if _, err := runKit("zones", "evacuate", "--door", p, "--wait", "500ms", "b"); exitCode(err) != 1 || !strings.Contains(err.Error(), "order 7 was not seen to stand; it may yet") {
		t.Errorf("an order that is not agreed in time: got error %v, want exit code 1 and that order 7 was not seen to stand", err)
	}
}
