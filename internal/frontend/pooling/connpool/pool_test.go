package connpool

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// model is a simple model that a pool is compared with.
type model struct {
	t        *rapid.T
	pool     *Pool
	limits   Limits
	now      float64
	conns    map[ID]string // the server of each connection
	owner    map[ID]ID     // the waiter that each used connection was given to
	waiting  map[ID]string
	since    map[ID]float64
	order    []ID
	dialing  map[string]int
	draining map[string]bool
	last     ID
}

// apply checks the pool's actions, and carries them out.
func (w *model) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Dial:
			w.dialing[a.Server]++
			all := len(w.conns)
			for _, n := range w.dialing {
				all += n
			}
			if all > w.limits.MaxConns+w.limits.Reserve || w.dialing[a.Server] > w.limits.MaxDials {
				w.t.Fatalf("%d connections with those being opened, %d to %s", all, w.dialing[a.Server], a.Server)
			}
			if w.draining[a.Server] {
				w.t.Fatalf("a connection is opened to %s, which is draining", a.Server)
			}
		case Assign:
			server, up := w.conns[a.Conn]
			if _, used := w.owner[a.Conn]; !up || used || w.waiting[a.Waiter] != server {
				w.t.Fatalf("connection %d to %q was given to %d, who waits for %q; used: %v", a.Conn, server, a.Waiter, w.waiting[a.Waiter], used)
			}
			for _, id := range w.order {
				if id == a.Waiter {
					break
				}
				if w.waiting[id] == server {
					w.t.Fatalf("%d was passed over by %d", id, a.Waiter)
				}
			}
			w.owner[a.Conn] = a.Waiter
			w.removeWaiter(a.Waiter)
		case Reject:
			if _, ok := w.waiting[a.Waiter]; !ok {
				w.t.Fatalf("%d is rejected and does not wait", a.Waiter)
			}
			w.removeWaiter(a.Waiter)
		case Close:
			if _, used := w.owner[a.Conn]; used {
				w.t.Fatalf("connection %d is closed while it is in use", a.Conn)
			}
			if _, up := w.conns[a.Conn]; !up {
				w.t.Fatalf("connection %d is closed twice", a.Conn)
			}
			delete(w.conns, a.Conn)
		}
	}
	w.pool.Check(invariant.Test(w.t))
	idle, used, dialing, waiting := w.pool.Counts()
	sum := 0
	for _, n := range w.dialing {
		sum += n
	}
	if idle+used != len(w.conns) || used != len(w.owner) || dialing != sum || waiting != len(w.order) {
		w.t.Fatalf("the pool counts %d idle, %d used, %d being opened, %d waiting; there are %d of which %d are used, %d, %d", idle, used, dialing, waiting,
			len(w.conns), len(w.owner), sum, len(w.order))
	}
	if waiting > w.limits.MaxWaiting {
		w.t.Fatalf("%d wait, at most %d may", waiting, w.limits.MaxWaiting)
	}
}

func (w *model) removeWaiter(id ID) {
	delete(w.waiting, id)
	for i, x := range w.order {
		if x == id {
			w.order = append(w.order[:i:i], w.order[i+1:]...)
		}
	}
}

// newModel draws the limits of a pool, and returns a model of it.
func newModel(t *rapid.T) *model {
	limits := Limits{
		MaxConns:   rapid.IntRange(1, 5).Draw(t, "most"),
		Reserve:    rapid.IntRange(0, 2).Draw(t, "reserve"),
		ReserveMs:  50,
		MaxWaiting: rapid.IntRange(0, 8).Draw(t, "queue"),
		MaxWaitMs:  1000,
		MaxAgeMs:   5000,
		MaxIdleMs:  500,
		MaxDials:   rapid.IntRange(1, 3).Draw(t, "dials"),
		RedialMs:   20,
	}
	return &model{
		t: t, pool: New(limits), limits: limits,
		conns: map[ID]string{}, owner: map[ID]ID{}, waiting: map[ID]string{}, since: map[ID]float64{},
		dialing: map[string]int{}, draining: map[string]bool{},
	}
}

// pickUsed draws a used connection, and false if there is none.
func (w *model) pickUsed() (ID, bool) {
	ids := []ID{}
	for i := ID(1); i <= w.last; i++ {
		if _, ok := w.owner[i]; ok {
			ids = append(ids, i)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(w.t, "which"), true
}

// step draws an event at a server, and applies what the pool does.
func (w *model) step(server string) {
	switch rapid.IntRange(0, 9).Draw(w.t, "what") {
	case 0, 1, 2:
		w.request(server)
	case 3, 4:
		w.dialEnds(server, true)
	case 5:
		w.dialEnds(server, false)
	case 6, 7:
		w.endUse()
	case 8:
		w.now += rapid.Float64Range(0, 400).Draw(w.t, "time")
		w.apply(w.pool.Tick(w.now))
	case 9:
		w.draining[server] = !w.draining[server]
		if w.draining[server] {
			w.apply(w.pool.DrainServer(server, w.now))
		} else {
			w.pool.RestoreServer(server)
		}
	}
}

func (w *model) request(server string) {
	w.last++
	w.waiting[w.last] = server
	w.since[w.last] = w.now
	w.order = append(w.order, w.last)
	w.apply(w.pool.Request(w.last, server, w.now))
}

// dialEnds ends a dial to a server, if there is one.
func (w *model) dialEnds(server string, opened bool) {
	if w.dialing[server] == 0 {
		return
	}
	w.dialing[server]--
	if !opened {
		w.apply(w.pool.DialFailed(server, w.now))
		return
	}
	w.last++
	w.conns[w.last] = server
	w.apply(w.pool.Opened(w.last, server, w.now))
}

// endUse releases or loses a used connection, if there is one.
func (w *model) endUse() {
	id, ok := w.pickUsed()
	if !ok {
		return
	}
	delete(w.owner, id)
	if rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
		delete(w.conns, id)
		w.apply(w.pool.Lost(id, w.now))
		return
	}
	w.apply(w.pool.Release(id, w.now))
}

// finish releases all connections, and lets the longest wait pass.
func (w *model) finish() {
	for id := ID(1); id <= w.last; id++ {
		if _, ok := w.owner[id]; ok {
			delete(w.owner, id)
			w.apply(w.pool.Release(id, w.now))
		}
	}
	w.now += 2 * w.limits.MaxWaitMs
	w.apply(w.pool.Tick(w.now))
}

// TestPoolAgreesWithModel: whatever happens, no connection is given to two waiters, no waiter is passed over, the limits are
// kept, and each wait ends.
func TestPoolAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		w := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"))
		}
		w.finish()
		if len(w.order) > 0 {
			t.Fatalf("%v wait forever", w.order)
		}
	})
}

// TestIdleConnectionMakesWayForOtherServer: if all connections are idle ones to one server, one of them is closed for a waiter for
// another; the reserve is used only after its time.
func TestIdleConnectionMakesWayForOtherServer(t *testing.T) {
	p := New(Limits{MaxConns: 1, Reserve: 1, ReserveMs: 100, MaxWaiting: 9})
	check := func(want, got []Action) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	check([]Action{{Kind: Dial, Server: "a"}}, p.Request(1, "a", 0))
	check([]Action{{Kind: Assign, Server: "a", Conn: 9, Waiter: 1}}, p.Opened(9, "a", 1))
	check(nil, p.Release(9, 2))
	check([]Action{{Kind: Close, Server: "a", Conn: 9}, {Kind: Dial, Server: "b"}}, p.Request(2, "b", 3))
	check([]Action{{Kind: Assign, Server: "b", Conn: 10, Waiter: 2}}, p.Opened(10, "b", 4))
	check(nil, p.Request(3, "b", 5))
	check(nil, p.Tick(50))
	check([]Action{{Kind: Dial, Server: "b"}}, p.Tick(105))
}

// TestAdmissionAgreesWithModel: no more transactions of one kind are admitted than there may be connections, in their order; those
// that wait too long or exceed the limit of waiters are rejected, and the end of one admits another.
func TestAdmissionAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		limits := Limits{MaxConns: rapid.IntRange(1, 3).Draw(t, "most"), MaxWaiting: rapid.IntRange(0, 4).Draw(t, "queue"), MaxWaitMs: 1000}
		p, now, last := New(limits), 0.0, ID(0)
		in, out := map[ID]string{}, map[ID]string{}
		take := func(actions []Action) {
			for _, a := range actions {
				kind, ok := out[a.Waiter]
				if !ok {
					t.Fatalf("%+v: it does not wait", a)
				}
				delete(out, a.Waiter)
				if a.Kind != Admit {
					continue
				}
				n := 0
				for _, k := range in {
					if k == kind {
						n++
					}
				}
				for id, k := range out {
					if k == kind && id < a.Waiter {
						t.Fatalf("%d was admitted before %d", a.Waiter, id)
					}
				}
				if in[a.Waiter] = kind; n >= limits.MaxConns {
					t.Fatalf("%d of a kind are admitted, at most %d may be", n+1, limits.MaxConns)
				}
			}
			if len(out) != p.QueuedTransactions() || len(out) > limits.MaxWaiting {
				t.Fatalf("%d wait, it counts %d, at most %d may", len(out), p.QueuedTransactions(), limits.MaxWaiting)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				last++
				kind := rapid.SampledFrom([]string{"reads", "writes"}).Draw(t, "kind")
				out[last] = kind
				take(p.Admit(last, kind, now))
			case 3:
				if last > 0 {
					id := ID(rapid.Uint64Range(1, uint64(last)).Draw(t, "which"))
					delete(in, id)
					delete(out, id)
					take(p.Leave(id))
				}
			case 4:
				now += rapid.Float64Range(0, 800).Draw(t, "time")
				take(p.Tick(now))
			}
		}
		now += 2000
		take(p.Tick(now))
		if len(out) > 0 {
			t.Fatalf("%v wait forever", out)
		}
	})
}

// TestAssignedLimitIsApplied: a pool that is assigned fewer connections closes idle ones, and those in use once they are free; with more, it
// opens connections for waiters; without an assigned limit, the configured one is used.
func TestAssignedLimitIsApplied(t *testing.T) {
	p := New(Limits{MaxConns: 3, Reserve: 2, MaxWaiting: 9, MaxDials: 9})
	p.Request(1, "s", 0)
	p.Request(2, "s", 0)
	p.Opened(11, "s", 0)
	p.Opened(12, "s", 0)
	p.Release(11, 1)
	if got := p.AssignLimit(1, 2); len(got) != 1 || got[0].Kind != Close || got[0].Conn != 11 {
		t.Errorf("limit 1: %+v", got)
	}
	if got := p.AssignLimit(0, 3); got != nil {
		t.Errorf("limit 0: %+v", got)
	}
	if got := p.Release(12, 4); len(got) != 1 || got[0].Kind != Close {
		t.Errorf("a connection is released with limit 0: %+v", got)
	}
	if got := p.Request(3, "s", 5); got != nil {
		t.Errorf("a request with limit 0: %+v", got)
	}
	if got := p.AssignLimit(1, 6); len(got) != 1 || got[0].Kind != Dial {
		t.Errorf("limit 1 again: %+v", got)
	}
	p.Request(4, "s", 7)
	if got := p.RestoreLimits(8); len(got) != 1 || got[0].Kind != Dial {
		t.Errorf("by the settings: %+v", got)
	}
}
