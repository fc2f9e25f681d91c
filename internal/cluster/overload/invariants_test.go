package overload

import (
	"math"
	"strings"
	"testing"

	"beechgrade/internal/invariant"
)

// TestInvariantsDetectBrokenState: each invariant fails for a state that was broken.
func TestInvariantsDetectBrokenState(t *testing.T) {
	f := newFleet(t, 4, Defaults())
	newServers(f, 400, 600).run(200)
	if f.place[0][3] == nil {
		t.Fatal("nothing is shed")
	}
	for name, do := range map[string]func(controller *Controller, group *groupState){
		"groups are in order": func(controller *Controller, group *groupState) { delete(controller.groups, 3) },
		"the state is bounded": func(controller *Controller, group *groupState) {
			controller.pendingReports = make([]pendingReport, maxPendingReports+1)
		},
		"unreachable peers":       func(controller *Controller, group *groupState) { controller.collectorTimes[99] = collectorTime{1, 1} },
		"stands within the cells": func(controller *Controller, group *groupState) { group.level = 1e9 },
		"no level outlives": func(controller *Controller, group *groupState) {
			group.decidedAt = controller.now - controller.settings.IsolationBound() - 1
		},
		"decisions are recent": func(controller *Controller, group *groupState) {
			group.decisions = append(group.decisions, group.decisions[0])
		},
		"rates are in their ranges":  func(controller *Controller, group *groupState) { group.rates[0].served = group.rates[0].ended + 1 },
		"a decision is in its range": func(controller *Controller, group *groupState) { group.collected.decision = ShedDecision{Level: 1} },
		"one recent report is kept": func(controller *Controller, group *groupState) {
			group.reports = append(group.reports, group.reports[0])
		},
		"all messages to itself": func(controller *Controller, group *groupState) {
			controller.selfMessages = append(controller.selfMessages, Action{})
		},
	} {
		controller := f.all[0]
		kept, was, rate := *controller, *controller.groups[3], controller.groups[3].rates[0]
		controller.groups = map[int]*groupState{3: kept.groups[3]}
		do(controller, kept.groups[3])
		held(t, name, controller.checkState)
		delete(controller.collectorTimes, 99)
		*controller, *kept.groups[3], was.rates[0] = kept, was, rate
	}
	held(t, "", f.all[0].checkState)

	w := newProbers(t, 4)
	who := 0
	for w.all[who].ProbersOf("s")[0] == ID(who+1) || w.all[who].ProbersOf("s")[1] == ID(who+1) {
		who++
	}
	sharing := w.all[who]
	for name, do := range map[string]func(server *probedServer){
		"servers are in order":  func(server *probedServer) { sharing.names = append(sharing.names, "a") },
		"longer than Shun":      func(server *probedServer) { sharing.skippedUntil[2] = sharing.now + 1e6 },
		"peers that are gone":   func(server *probedServer) { server.requesters, server.probing = []requester{{id: 99}}, true },
		"in line once":          func(server *probedServer) { server.requesters, server.probing = []requester{{id: 2}, {id: 2}}, true },
		"who waits is served":   func(server *probedServer) { server.requesters = []requester{{id: 2}} },
		"probes for itself":     func(server *probedServer) { server.probesLocally = true },
		"each want has an end":  func(server *probedServer) { server.waitsUntil = math.Inf(1) },
		"of a probe that began": func(server *probedServer) { server.resultAt = sharing.now },
	} {
		_ = sharing.RequestProbe(w.now, "s", nil)
		server := sharing.servers["s"]
		do(server)
		held(t, name, sharing.checkState)
		*sharing = *NewProbes(DefaultProbes(), sharing.self, w.now)
		sharing.UpdateMembers(ID(who+1), w.all[(who+1)%4].peers)
	}
	_ = sharing.RequestProbe(w.now, "s", nil)
	held(t, "", sharing.checkState)
}

// held tells whether a walk finds the statement false that it should; "" for none.
func held(t *testing.T, want string, walk func(c *invariant.Checks)) {
	t.Helper()
	c, n, found := invariant.New(nil), 0, want == ""
	c.Walk(&n, 1, "walk", walk)
	for _, b := range c.Breaches() {
		if found = found || strings.Contains(b.Name, want); want == "" {
			t.Errorf("%v, of state that is sound", b)
		}
	}
	if !found {
		t.Errorf("%q: nobody saw it: %v", want, c.Breaches())
	}
}

// TestNothingIsKeptOfUnreachablePeers: nothing is kept of peers that cannot be reached any more.
func TestNothingIsKeptOfUnreachablePeers(t *testing.T) {
	f := newFleet(t, 4, Defaults())
	s := newServers(f, 400, 600)
	s.run(100)
	controller := f.all[0]
	if len(controller.collectorTimes) < 2 {
		t.Fatalf("%d collectors answered", len(controller.collectorTimes))
	}
	f.do(0, MembersChanged{Self: 1, Peers: []Peer{{1, "a"}}})
	if len(controller.collectorTimes) > 1 {
		t.Errorf("stamps of %d are kept", len(controller.collectorTimes))
	}
}
