package overload

import (
	"math"
	"strings"
	"testing"

	"beechgrade/internal/invariant"
)

// TestInvariantsDetectBrokenState: each invariant reports a state in which it was broken on purpose.
func TestInvariantsDetectBrokenState(t *testing.T) {
	f := newFleet(t, 4, Defaults())
	newServers(f, 400, 600).run(200)
	if f.shedding[0][3] == nil {
		t.Fatal("nothing is shed at 600 requests a second and a capacity of 400")
	}
	for name, breakState := range map[string]func(controller *Controller, group *groupState){
		"groups are in order": func(controller *Controller, group *groupState) { delete(controller.groups, 3) },
		"the state is bounded": func(controller *Controller, group *groupState) {
			controller.pendingReports = make([]pendingReport, maxPendingReports+1)
		},
		"no state is kept of unreachable peers": func(controller *Controller, group *groupState) { controller.collectorTimes[99] = collectorTime{1, 1} },
		"a level is within the cells":           func(controller *Controller, group *groupState) { group.level = 1e9 },
		"no level outlives": func(controller *Controller, group *groupState) {
			group.decidedAt = controller.now - controller.settings.IsolationBound() - 1
		},
		"decisions are recent": func(controller *Controller, group *groupState) {
			group.decisions = append(group.decisions, group.decisions[0])
		},
		"rates are in their ranges":  func(controller *Controller, group *groupState) { group.rates[0].served = group.rates[0].ended + 1 },
		"a decision is in its range": func(controller *Controller, group *groupState) { group.collector.decision = ShedDecision{Level: 1} },
		"one recent report is kept": func(controller *Controller, group *groupState) {
			group.reports = append(group.reports, group.reports[0])
		},
		"all messages to itself": func(controller *Controller, group *groupState) {
			controller.selfMessages = append(controller.selfMessages, Action{})
		},
	} {
		controller := f.all[0]
		controllerBefore, groupBefore, ratesBefore := *controller, *controller.groups[3], controller.groups[3].rates[0]
		controller.groups = map[int]*groupState{3: controllerBefore.groups[3]}
		breakState(controller, controllerBefore.groups[3])
		expectBreach(t, name, controller.checkState)
		delete(controller.collectorTimes, 99)
		*controller, *controllerBefore.groups[3], groupBefore.rates[0] = controllerBefore, groupBefore, ratesBefore
	}
	expectBreach(t, "", f.all[0].checkState)

	w := newProbers(t, 4)
	nonProber := 0 // a process that is no prober
	for w.all[nonProber].ProbersOf("s")[0] == ID(nonProber+1) || w.all[nonProber].ProbersOf("s")[1] == ID(nonProber+1) {
		nonProber++
	}
	sharing := w.all[nonProber]
	for name, breakState := range map[string]func(server *probedServer){
		"servers are in order":                      func(server *probedServer) { sharing.names = append(sharing.names, "a") },
		"skipped for longer than SkipTime":          func(server *probedServer) { sharing.skippedUntil[2] = sharing.now + 1e6 },
		"no request of an unreachable peer":         func(server *probedServer) { server.requesters, server.probing = []requester{{id: 99}}, true },
		"a waiting requester is listed once":        func(server *probedServer) { server.requesters, server.probing = []requester{{id: 2}, {id: 2}}, true },
		"in progress or due for waiting requesters": func(server *probedServer) { server.requesters = []requester{{id: 2}} },
		"a local probe has one request":             func(server *probedServer) { server.probesLocally = true },
		"each request has a timeout":                func(server *probedServer) { server.waitsUntil = math.Inf(1) },
		"a result is of a probe that started":       func(server *probedServer) { server.resultAt = sharing.now },
	} {
		_ = sharing.RequestProbe(w.now, "s", nil)
		server := sharing.servers["s"]
		breakState(server)
		expectBreach(t, name, sharing.checkState)
		*sharing = *NewProbes(DefaultProbes(), sharing.self, w.now)
		sharing.UpdateMembers(ID(nonProber+1), w.all[(nonProber+1)%4].peers)
	}
	_ = sharing.RequestProbe(w.now, "s", nil)
	expectBreach(t, "", sharing.checkState)
}

// expectBreach fails the test unless walk reports a breach of the invariant whose name contains want; with "" it must report none.
func expectBreach(t *testing.T, want string, walk func(checks *invariant.Checks)) {
	t.Helper()
	checks, calls, found := invariant.New(nil), 0, want == ""
	checks.Walk(&calls, 1, "walk", walk)
	for _, breach := range checks.Breaches() {
		if found = found || strings.Contains(breach.Name, want); want == "" {
			t.Errorf("intact state: got breach %v, want none", breach)
		}
	}
	if !found {
		t.Errorf("broken state: got breaches %v, want one of %q", checks.Breaches(), want)
	}
}

// TestNothingIsKeptOfUnreachablePeers: the collector times of peers that cannot be reached any more are dropped.
func TestNothingIsKeptOfUnreachablePeers(t *testing.T) {
	f := newFleet(t, 4, Defaults())
	s := newServers(f, 400, 600)
	s.run(100)
	controller := f.all[0]
	if len(controller.collectorTimes) < 2 {
		t.Fatalf("%d collectors answered, want 2 at least", len(controller.collectorTimes))
	}
	f.do(0, MembersChanged{Self: 1, Peers: []Peer{{1, "a"}}})
	if len(controller.collectorTimes) > 1 {
		t.Errorf("the times of %d collectors are kept, want 1 at most", len(controller.collectorTimes))
	}
}
