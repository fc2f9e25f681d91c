package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"beechgrade/internal/backend"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
)

// recordingServers record the attempts and health checks that they get.
type recordingServers struct {
	countingServers
	healthChecks []string
	sent         []string
}

func (p *recordingServers) CheckHealth(id string) { p.healthChecks = append(p.healthChecks, id) }
func (p *recordingServers) Start(id string, _ backend.Query, _ float64, _ backend.SendConditions, _ backend.AttemptID) slotmap.Ref {
	p.sent = append(p.sent, id)
	return slotmap.Ref{}
}

// recordingObserver records the events that it gets.
type recordingObserver struct {
	events  []string
	ejected string
	then    func(server string) // at each event of a server
}

func (w *recordingObserver) Listed(list *discovery.List, _ bool) {
	w.note("listed", len(list.Instances))
}
func (w *recordingObserver) Sent(server string, _ backend.AttemptID, class int) {
	w.note("sent", server, class)
}
func (w *recordingObserver) Ended(server string, _ backend.AttemptID, r decide.Result, _ backend.Report) {
	w.note("ended", server, r)
	w.do(server)
}
func (w *recordingObserver) HealthChecked(server string, r decide.Result, _ backend.Report) {
	w.note("checked", server, r)
	w.do(server)
}
func (w *recordingObserver) do(server string) {
	if w.then != nil {
		w.then(server)
	}
}
func (w *recordingObserver) Ejects(server string) bool { return server == w.ejected }
func (w *recordingObserver) note(x ...any)             { w.events = append(w.events, fmt.Sprint(x...)) }

// TestObserverReceivesEventsAndEjectsServers: an observer receives what this pooler learns; it has servers ejected and
// tried, and has one checked without the router's own health checks being confused with its. A report counts as of its
// time; one from the future counts for nothing.
func TestObserverReceivesEventsAndEjectsServers(t *testing.T) {
	entry := func(id string) discovery.Instance {
		return discovery.Instance{ID: id, HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}
	}
	cfg := &config.Config{Classes: []string{"read"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond, MaxAttempts: 8, MayCheckHealth: true,
		Classes: []decide.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Read: decide.ReadAny}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{entry("a"), entry("b")}}}
	l, servers, w := &manualLoop{now: 1e6}, &recordingServers{}, &recordingObserver{}
	c := New(l, slog.New(slog.DiscardHandler), cfg)
	c.SetServerObserver(w)
	c.Start(servers, l)
	c.Eject("a")
	for i := range 3 {
		if _, err := c.Submit(platform.Request{ID: fmt.Sprint(i), Class: "read", Deadline: l.now + 2000, Query: stub{}}, stub{}); err != nil {
			t.Fatal(err)
		}
	}
	if fmt.Sprint(servers.sent) != "[b b b]" || fmt.Sprint(w.events) != "[listed2 listed2 sentb0 sentb0 sentb0]" {
		t.Errorf("sent to %v; observed %v", servers.sent, w.events)
	}
	ejected := func(id string) bool { known, _ := c.router.SnapshotOf(decide.ServerID(id)); return known.Ejected }
	servers.healthChecks = nil
	if w.ejected = "a"; !ejected("a") {
		t.Fatal("it is not ejected")
	}
	if c.HealthCheckReported("a", decide.OK, backend.Report{}, 0); !ejected("a") {
		t.Error("a health check without a report returns it to use")
	}
	if c.carryOut(&decide.Action{Kind: decide.HealthCheck, Server: "a"}); len(servers.healthChecks) != 0 || len(l.timers) == 0 {
		t.Errorf("%v are checked for nothing, and %d timers wait", servers.healthChecks, len(l.timers))
	}
	w.ejected = ""
	c.CheckHealthForObserver("a")
	if c.carryOut(&decide.Action{Kind: decide.HealthCheck, Server: "a"}); len(servers.healthChecks) != 1 {
		t.Errorf("%v: the router's health check is sent while the observer's is", servers.healthChecks)
	}
	c.HealthCheckEnded("a", backend.Outcome{Report: backend.Report{Role: decide.RolePrimary, Position: l.now - 30, HasPos: true}})
	if known, _ := c.router.SnapshotOf("a"); !known.Ejected || known.Role != decide.RolePrimary || known.RoleAt != 999970*1e6 {
		t.Errorf("the observer's health check is taken for the router's, or not merged: %+v", known)
	}
	if len(servers.healthChecks) != 2 {
		t.Errorf("%v: the router's health check is forgotten", servers.healthChecks)
	}
	c.ServerReported("b", backend.Report{Position: l.now + 500, HasPos: true}, 0)
	c.ServerReported("a", backend.Report{Position: l.now - 10, HasPos: true}, 20)
	if known, _ := c.router.SnapshotOf("b"); known.Position > 0 {
		t.Errorf("a position in the future counts: %+v", known)
	}
	if known, _ := c.router.SnapshotOf("a"); known.Position != 999990*1e6 || known.PositionReportedAt != 999980*1e6 || !known.Ejected {
		t.Errorf("%+v", known)
	}
	if c.StartTrial("a"); ejected("a") {
		t.Error("it has no trial")
	}
}

// TestRouterKnowsTheRoleBeforeTheObserver: a primary was ejected, and a write waits for it. Its next report, to the
// observer's health check, to the router's or to a request, has the observer start a trial: the write goes there if it
// still is the primary, and not if it is a replica now.
func TestRouterKnowsTheRoleBeforeTheObserver(t *testing.T) {
	cfg := &config.Config{Classes: []string{"write"}, Settings: decide.Settings{Peers: 1, Tick: time.Millisecond,
		MaxAttempts: 8, MayCheckHealth: true,
		Classes: []decide.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Read: decide.Write}}},
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{
			{ID: "a", HostPort: "1.2.3.4:5", Lifecycle: "up", Weight: 1}, {ID: "b", HostPort: "1.2.3.4:6", Lifecycle: "up", Weight: 1}}}}
	for _, role := range []decide.Role{decide.RolePrimary, decide.RoleReplica} {
		for _, by := range []string{"observer's health check", "health check", "request"} {
			l, servers, w := &manualLoop{now: 1e6}, &recordingServers{}, &recordingObserver{}
			c := New(l, slog.New(slog.DiscardHandler), cfg)
			c.SetServerObserver(w)
			c.Start(servers, l)
			c.ServerReported("a", backend.Report{Role: decide.RolePrimary, Position: l.now - 200, HasPos: true}, 0)
			ask := func(id string) slotmap.Ref {
				ref, err := c.Submit(platform.Request{ID: id, Class: "write", Deadline: l.now + 2000, Query: stub{}}, stub{})
				if err != nil {
					t.Fatal(err)
				}
				return ref
			}
			first := ask("1")
			c.Eject("a")
			if ask("2"); fmt.Sprint(servers.sent) != "[a]" {
				t.Fatalf("sent to %v", servers.sent)
			}
			w.then = c.StartTrial
			outcome := backend.Outcome{Report: backend.Report{Role: role, Position: l.now - 100, HasPos: true}}
			switch by {
			case "observer's health check":
				c.CheckHealthForObserver("a")
				c.HealthCheckEnded("a", outcome)
			case "health check":
				c.HealthCheckEnded("a", outcome)
			case "request":
				if role == decide.RoleReplica {
					outcome.Result = decide.Misdirected
				}
				c.AttemptEnded(backend.AttemptID{Request: first}, outcome)
			}
			want := map[decide.Role]string{decide.RolePrimary: "[a a]", decide.RoleReplica: "[a]"}[role]
			if fmt.Sprint(servers.sent) != want {
				t.Errorf("by a %s, role %d: sent to %v, not %s", by, role, servers.sent, want)
			}
		}
	}
}
