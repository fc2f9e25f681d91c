package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// drawn is a router with its embedder, which keeps its promises: each attempt and each probe ends once, with a served one or one whose
// request is over as the final one, timers come late but come. All else is drawn.
type drawn struct {
	r       *Router
	c       *invariant.Checks
	now     Time
	tries   map[RequestID]int
	over    map[RequestID]bool
	out     []Action // sends that have not ended
	probes  []ServerID
	timers  int
	servers []ServerID
	last    int
	answers map[RequestID]int
}

func drawSettings(t *rapid.T) Settings {
	set := testSettings()
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	set.Peers = rapid.SampledFrom([]int{1, 3, 20, 300}).Draw(t, "siblings")
	set.MayCancel, set.MayDuplicate, set.MayProbe = flag("cancel"), flag("duplicate"), flag("probe")
	set.TrackCommits, set.DrainOnly, set.ListShowsRole = flag("tokens"), flag("drain only"), flag("roles")
	set.Behind = Behind(rapid.IntRange(0, 2).Draw(t, "behind"))
	set.MaxAttempts = rapid.IntRange(1, 6).Draw(t, "attempts")
	if flag("no cold") {
		set.FallMultiple = 0
	}
	set.Tenants = []Tenant{{Allowance: 100}, {Allowance: 20, Assigned: true, Own: 3, Depth: 3, Hard: true}}
	for i := range set.Classes {
		set.Classes[i].LateWorth = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late worth")
	}
	return set
}

func newDrawn(c *invariant.Checks, set Settings, seed uint64) *drawn {
	d := &drawn{r: New(set, seed), c: c, now: start, tries: map[RequestID]int{}, over: map[RequestID]bool{}, answers: map[RequestID]int{}}
	d.r.Watch(c, 1)
	var entries []Entry
	for g := range 2 {
		for i := range 3 {
			id := ServerID(fmt.Sprintf("s%d%d", g, i))
			d.servers = append(d.servers, id)
			entries = append(entries, Entry{Server: id, Group: g, Zone: i, Size: 1, Primary: i == 0})
		}
	}
	d.do(&List{Kind: ListRestored, Entries: entries})
	return d
}

func (d *drawn) do(ev Event) {
	for _, a := range d.r.Handle(d.now, ev, nil) {
		switch a.Kind {
		case Send:
			a.Attempt = d.tries[a.ID]
			d.tries[a.ID]++
			d.out = append(d.out, a)
		case Refuse, Fail:
			d.over[a.ID] = true
			d.answers[a.ID]++
		case Probe:
			d.probes = append(d.probes, a.Server)
		case SetTimer:
			d.timers++
		}
	}
}

func (d *drawn) report(t *rapid.T) Report {
	rep := Report{Role: Role(rapid.IntRange(0, 2).Draw(t, "role")), HasPosition: rapid.Bool().Draw(t, "placed"),
		HasHeld: rapid.Bool().Draw(t, "loaded"), Held: rapid.Float64Range(0, 30).Draw(t, "held")}
	if rep.HasPosition {
		rep.Position = d.now + rapid.SampledFrom([]Time{-10 * time.Second, -400 * ms, -200 * ms, -20 * ms, 0, 20 * ms}).Draw(t, "position")
	}
	return rep
}

// end has an attempt end somehow.
func (d *drawn) end(t *rapid.T) {
	if len(d.out) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.out)-1).Draw(t, "attempt")
	a := d.out[i]
	d.out = slices.Delete(d.out, i, i+1)
	res := Result(rapid.IntRange(0, int(Missed)).Draw(t, "result"))
	if res == OK {
		d.over[a.ID] = true
	}
	ev := &Outcome{ID: a.ID, Attempt: a.Attempt, Server: a.Server, Result: res, Final: d.over[a.ID]}
	if res == OK || res == Missed || res == Failed {
		ev.Reported = d.report(t)
		if rapid.Bool().Draw(t, "report") {
			ev.Load = d.report(t)
		}
	}
	d.do(ev)
}

func (d *drawn) ask(t *rapid.T) {
	d.last++
	d.do(&Request{ID: RequestID(fmt.Sprint(d.last)), Class: rapid.IntRange(0, 5).Draw(t, "class"), Group: rapid.IntRange(0, 2).Draw(t, "group"),
		Tenant: rapid.IntRange(-1, 1).Draw(t, "tenant"), Deadline: d.now + Time(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "due")),
		Session: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "session"), SinceOwn: Time(rapid.Int64Range(0, int64(time.Second)).Draw(t, "own")),
		Repeat: rapid.Bool().Draw(t, "repeat"), Work: Time(rapid.Int64Range(0, int64(200*ms)).Draw(t, "work"))})
}

// TestInvariants: settings, lists, requests, outcomes, probes, timers and standstills in any order.
func TestInvariants(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		d := newDrawn(invariant.Test(t), drawSettings(t), rapid.Uint64().Draw(t, "seed"))
		many := func(do func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "times") {
					do(t)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": many(d.ask), "end": many(d.end),
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "beats") {
					if d.now += tickEvery; d.timers > 0 {
						d.timers--
						d.do(&Timer{})
					}
				}
			},
			"stand still": func(t *rapid.T) { d.now += Time(rapid.Int64Range(int64(ms), int64(6*time.Second)).Draw(t, "ms")) },
			"probed": func(t *rapid.T) {
				if len(d.probes) > 0 {
					s := d.probes[0]
					d.probes = d.probes[1:]
					ev := &ProbeResult{Server: s, Result: rapid.SampledFrom([]Result{OK, OK, OK, Full, TimedOut, Unreachable}).Draw(t, "result")}
					if ev.Result == OK {
						ev.Load = d.report(t)
					}
					d.do(ev)
				}
			},
			"list": func(t *rapid.T) {
				l := &List{Kind: ListKind(rapid.IntRange(0, int(ListFailed)).Draw(t, "kind"))}
				for _, s := range rapid.SliceOfDistinct(rapid.SampledFrom(append(d.servers, "new")), rapid.ID).Draw(t, "named") {
					l.Entries = append(l.Entries, Entry{Server: s, Group: int(s[1]) % 2, Size: 1, State: ServerState(rapid.IntRange(0, 2).Draw(t, "state")), Started: d.now - Time(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age"))})
				}
				if l.Kind == ListFailed {
					l.Entries = nil
				}
				d.do(l)
			},
			"gone": func(t *rapid.T) {
				if d.last > 0 {
					id := RequestID(fmt.Sprint(rapid.IntRange(1, d.last).Draw(t, "request")))
					if !d.over[id] {
						d.over[id] = true
						d.do(&Expired{ID: id})
					}
				}
			},
			"retune": func(t *rapid.T) { d.do(&Reload{Settings: drawSettings(t)}) },
			"recall": func(*rapid.T) { d.r.Recall(d.now, d.r.Memory()) },
			"": func(t *rapid.T) {
				for id, n := range d.answers {
					if n > 1 {
						t.Errorf("%s had %d answers", id, n)
					}
				}
			},
		})
	})
}

// TestInvariantMutants: each statement is seen to break by one line of state, or by what the router would do if it were broken.
func TestInvariantMutants(t *testing.T) {
	send := func(id RequestID, s ServerID) func(*rig) []Action {
		return func(g *rig) []Action { return []Action{{Kind: Send, ID: id, Server: s}} }
	}
	none := func(*rig) []Action { return nil }
	held := func(g *rig) *request {
		return &request{id: "h", group: g.r.groups[0], class: &g.r.classes[0], deadline: g.now + time.Hour}
	}
	for _, m := range []struct {
		name string
		poke func(*rig)
		do   func(*rig) []Action
	}{
		{"decide: each request has one final answer", nil, func(*rig) []Action { return []Action{{Kind: Refuse, ID: "none"}} }},
		{"decide: only what is out is called off", nil, func(*rig) []Action { return []Action{{Kind: Cancel, ID: "w", Attempt: 3}} }},
		{"decide: only what was listed is probed", nil, func(*rig) []Action { return []Action{{Kind: Probe, Server: "z"}} }},
		{"decide: nothing goes to a store that drains or is gone", func(g *rig) { g.r.watch.servers["p"].drains = true }, send("w", "p")},
		{"decide: nothing goes to a store that drains or is gone", func(g *rig) { g.r.watch.servers["p"].gone = true }, func(*rig) []Action { return []Action{{Kind: Probe, Server: "p"}} }},
		{"decide: only what is not over is sent, to what was listed", func(g *rig) { g.r.watch.requests["w"].over = true }, send("w", "p")},
		{"decide: no more attempts than may be", func(g *rig) { g.r.watch.requests["w"].attempts = 9 }, send("w", "p")},
		{"decide: what must not run twice is out once", func(g *rig) { g.r.requests["w"].class.Effect = Unsafe }, send("w", "p")},
		{"decide: a read goes where its position is covered", func(g *rig) {
			s := g.r.watch.servers["p"]
			s.position, s.lead, s.asked = g.now-time.Second, never, never
			g.r.requests["w"].class = &g.r.classes[cBounded]
		}, send("w", "p")},
		{"decide: nothing cold over budget", func(g *rig) {
			s := g.r.servers["p"]
			s.coldFrom = g.now
			g.r.requests["w"].size = 0.01
			g.r.watch.servers["p"].cold = []spent{{g.now, 1e6, 1}}
		}, send("w", "p")},
		{"decide: stores are in order", func(g *rig) { slices.Reverse(g.r.order) }, none},
		{"decide: attempts in flight agree", func(g *rig) { g.r.open++ }, none},
		{"decide: attempts in flight agree by class", func(g *rig) { g.r.watch.requests["w"].class++ }, none},
		{"decide: attempts in flight agree by tenant", func(g *rig) { g.r.watch.requests["w"].tenant++ }, none},
		{"decide: attempts in flight agree by store", func(g *rig) { g.r.servers["p"].open = nil }, none},
		{"decide: what is out at a store was sent there", func(g *rig) { g.r.servers["p"].open[0].number = 7 }, none},
		{"decide: lost attempts are counted", func(g *rig) { g.r.servers["p"].lost = 2 }, none},
		{"decide: a store is filed where it belongs", func(g *rig) { g.r.groups[0].members = nil }, none},
		{"decide: a position is one that was told", func(g *rig) { g.r.servers["a"].position = g.now + 1 }, none},
		{"decide: a store's figures are ones that can be", func(g *rig) { g.r.servers["a"].othersLoad = -1 }, none},
		{"decide: a request is held once", func(g *rig) { req := held(g); req.group.held = []*request{req, req} }, none},
		{"decide: a request is held in its group", func(g *rig) { req := held(g); req.group.held, req.group = []*request{req}, &group{} }, none},
		{"decide: after a beat what is held is not over", func(g *rig) { req := held(g); req.finished, req.group.held = true, []*request{req} }, none},
		{"decide: what is owed an answer is known", func(g *rig) { delete(g.r.requests, "w") }, none},
		{"decide: what is known is owed an answer", func(g *rig) { g.r.requests["x"] = held(g) }, none},
		{"decide: a request's attempts are counted", func(g *rig) { g.r.requests["w"].open = 2 }, none},
		{"decide: a request is out or held", func(g *rig) { g.r.requests["w"].attempts[0].over, g.r.requests["w"].open = true, 0 }, none},
		{"decide: a timer is out while anything is open", func(g *rig) { g.r.wakeAt = never }, none},
	} {
		g := trio(t, nil)
		g.wantSend(g.ask("w", cWrite), "w", "p")
		c := invariant.New(nil)
		g.r.watch.checks = c
		w := g.r.watch
		if w.walk(g.r, &Timer{}); len(c.Broken()) > 0 {
			t.Errorf("without: %v", c.Broken())
		}
		if m.poke != nil {
			m.poke(g)
		}
		w.observe(g.r, &Timer{}, m.do(g))
		if !slices.ContainsFunc(c.Broken(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not seen: %v", m.name, c.Broken())
		}
	}
}

// BenchmarkWatch: what the statements cost where they are off, on, and with a walk at every event.
func BenchmarkWatch(b *testing.B) {
	for _, x := range []struct {
		name  string
		every int
	}{{"off", 0}, {"each 64", 64}, {"each", 1}} {
		b.Run(x.name, func(b *testing.B) {
			r, now := New(testSettings(), 1), start
			if x.every > 0 {
				r.Watch(invariant.New(nil), x.every)
			}
			out := r.Handle(now, &List{Entries: []Entry{{Server: "p", Size: 1}}}, nil)
			r.Handle(now, &ProbeResult{Server: "p", Load: Report{Role: RolePrimary, Position: now, HasPosition: true}}, out[:0])
			q, ev := &Request{ID: "1", Class: cAny}, &Outcome{ID: "1", Server: "p", Final: true}
			b.ReportAllocs()
			for b.Loop() {
				now += ms
				q.Deadline = now + time.Second
				out = r.Handle(now, q, out[:0])
				now += ms
				out = r.Handle(now, ev, out[:0])
			}
		})
	}
}
