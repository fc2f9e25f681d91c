package connpool

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// world is a simple model that a pool is held against.
type world struct {
	t       *rapid.T
	p       *Pool
	lim     Limits
	now     float64
	conns   map[ID]string // to which server
	owner   map[ID]ID     // connection to whom it was given
	waits   map[ID]string
	since   map[ID]float64
	order   []ID
	dialing map[string]int
	barred  map[string]bool
	last    ID
}

// take checks what the pool decided, and does it.
func (w *world) take(actions []Action) {
	for _, a := range actions {
		switch a.Do {
		case Dial:
			w.dialing[a.Server]++
			all := len(w.conns)
			for _, n := range w.dialing {
				all += n
			}
			if all > w.lim.Most+w.lim.Reserve || w.dialing[a.Server] > w.lim.Dials {
				w.t.Fatalf("%d connections with those that come up, %d to %s", all, w.dialing[a.Server], a.Server)
			}
			if w.barred[a.Server] {
				w.t.Fatalf("a connection is opened to %s, which drains", a.Server)
			}
		case Give:
			server, up := w.conns[a.Conn]
			if _, used := w.owner[a.Conn]; !up || used || w.waits[a.Waiter] != server {
				w.t.Fatalf("connection %d to %q was given to %d, who waits for %q; used: %v", a.Conn, server, a.Waiter, w.waits[a.Waiter], used)
			}
			for _, id := range w.order {
				if id == a.Waiter {
					break
				}
				if w.waits[id] == server {
					w.t.Fatalf("%d was passed over by %d", id, a.Waiter)
				}
			}
			w.owner[a.Conn] = a.Waiter
			w.leave(a.Waiter)
		case Refuse:
			if _, ok := w.waits[a.Waiter]; !ok {
				w.t.Fatalf("%d is refused and does not wait", a.Waiter)
			}
			w.leave(a.Waiter)
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
	w.p.Check(invariant.Test(w.t))
	idle, used, dialing, waiting := w.p.Counts()
	sum := 0
	for _, n := range w.dialing {
		sum += n
	}
	if idle+used != len(w.conns) || used != len(w.owner) || dialing != sum || waiting != len(w.order) {
		w.t.Fatalf("the pool counts %d idle, %d used, %d coming up, %d waiting; there are %d of which %d are used, %d, %d", idle, used, dialing, waiting,
			len(w.conns), len(w.owner), sum, len(w.order))
	}
	if waiting > w.lim.Queue {
		w.t.Fatalf("%d wait, %d may", waiting, w.lim.Queue)
	}
}

func (w *world) leave(id ID) {
	delete(w.waits, id)
	for i, x := range w.order {
		if x == id {
			w.order = append(w.order[:i:i], w.order[i+1:]...)
		}
	}
}

// TestPool holds a pool to a simple model: whatever happens, no connection is given twice, nobody is passed over, the
// bounds hold, and all who wait have an end.
func TestPool(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		lim := Limits{Most: rapid.IntRange(1, 5).Draw(t, "most"), Reserve: rapid.IntRange(0, 2).Draw(t, "reserve"), ReserveMs: 50, Queue: rapid.IntRange(0, 8).Draw(t, "queue"),
			WaitMs: 1000, LifeMs: 5000, IdleMs: 500, Dials: rapid.IntRange(1, 3).Draw(t, "dials"), AgainMs: 20}
		w := &world{t: t, p: New(lim), lim: lim, conns: map[ID]string{}, owner: map[ID]ID{}, waits: map[ID]string{}, since: map[ID]float64{},
			dialing: map[string]int{}, barred: map[string]bool{}}
		servers := []string{"a", "b"}
		pick := func(m map[ID]ID) (ID, bool) {
			ids := []ID{}
			for i := ID(1); i <= w.last; i++ {
				if _, ok := m[i]; ok {
					ids = append(ids, i)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "which"), true
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			server := rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				w.last++
				w.waits[w.last], w.since[w.last] = server, w.now
				w.order = append(w.order, w.last)
				w.take(w.p.Want(w.last, server, w.now))
			case 3, 4:
				if w.dialing[server] > 0 {
					w.dialing[server]--
					w.last++
					w.conns[w.last] = server
					w.take(w.p.Up(w.last, server, w.now))
				}
			case 5:
				if w.dialing[server] > 0 {
					w.dialing[server]--
					w.take(w.p.Down(server, w.now))
				}
			case 6, 7:
				if c, ok := pick(w.owner); ok {
					delete(w.owner, c)
					if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
						delete(w.conns, c)
						w.take(w.p.Lost(c, w.now))
					} else {
						w.take(w.p.Free(c, w.now))
					}
				}
			case 8:
				w.now += rapid.Float64Range(0, 400).Draw(t, "time")
				w.take(w.p.Beat(w.now))
			case 9:
				if w.barred[server] {
					w.barred[server] = false
					w.p.Unbar(server)
				} else {
					w.barred[server] = true
					w.take(w.p.Bar(server, w.now))
				}
			}
		}
		// At the end all that is in use comes free, and all who still wait have their end.
		for c := ID(1); c <= w.last; c++ {
			if _, ok := w.owner[c]; ok {
				delete(w.owner, c)
				w.take(w.p.Free(c, w.now))
			}
		}
		w.now += 2000
		w.take(w.p.Beat(w.now))
		if len(w.order) > 0 {
			t.Fatalf("%v wait for ever", w.order)
		}
	})
}

// TestRoom: with all connections idle at one server, a waiter for another has one closed for it; a reserve is opened only
// behind its time.
func TestRoom(t *testing.T) {
	p := New(Limits{Most: 1, Reserve: 1, ReserveMs: 100, Queue: 9})
	check := func(want, got []Action) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	check([]Action{{Do: Dial, Server: "a"}}, p.Want(1, "a", 0))
	check([]Action{{Do: Give, Server: "a", Conn: 9, Waiter: 1}}, p.Up(9, "a", 1))
	check(nil, p.Free(9, 2))
	check([]Action{{Do: Close, Server: "a", Conn: 9}, {Do: Dial, Server: "b"}}, p.Want(2, "b", 3))
	check([]Action{{Do: Give, Server: "b", Conn: 10, Waiter: 2}}, p.Up(10, "b", 4))
	check(nil, p.Want(3, "b", 5))
	check(nil, p.Beat(50))
	check([]Action{{Do: Dial, Server: "b"}}, p.Beat(105))
}

// TestDoor: no more are let in than there may be connections, the first come first, each kind by itself; whoever waits
// too long or finds no place is turned away, and whoever leaves makes room.
func TestDoor(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		lim := Limits{Most: rapid.IntRange(1, 3).Draw(t, "most"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"), WaitMs: 1000}
		p, now, last := New(lim), 0.0, ID(0)
		in, out := map[ID]string{}, map[ID]string{}
		take := func(actions []Action) {
			for _, a := range actions {
				kind, ok := out[a.Waiter]
				if !ok {
					t.Fatalf("%+v: it does not wait", a)
				}
				delete(out, a.Waiter)
				if a.Do != Admit {
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
						t.Fatalf("%d was let in before %d", a.Waiter, id)
					}
				}
				if in[a.Waiter] = kind; n >= lim.Most {
					t.Fatalf("%d of a kind are in, %d may be", n+1, lim.Most)
				}
			}
			if len(out) != p.Outside() || len(out) > lim.Queue {
				t.Fatalf("%d wait, it counts %d, %d may", len(out), p.Outside(), lim.Queue)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				last++
				kind := rapid.SampledFrom([]string{"reads", "writes"}).Draw(t, "kind")
				out[last] = kind
				take(p.Enter(last, kind, now))
			case 3:
				if last > 0 {
					id := ID(rapid.Uint64Range(1, uint64(last)).Draw(t, "which"))
					delete(in, id)
					delete(out, id)
					take(p.Exit(id))
				}
			case 4:
				now += rapid.Float64Range(0, 800).Draw(t, "time")
				take(p.Beat(now))
			}
		}
		now += 2000
		take(p.Beat(now))
		if len(out) > 0 {
			t.Fatalf("%v wait for ever", out)
		}
	})
}

// TestTold: a pool that is told to have fewer connections closes those that rest, and those in use once they are free; told more, it
// opens for who waits; untold, it has what its settings say.
func TestTold(t *testing.T) {
	p := New(Limits{Most: 3, Reserve: 2, Queue: 9, Dials: 9})
	p.Want(1, "s", 0)
	p.Want(2, "s", 0)
	p.Up(11, "s", 0)
	p.Up(12, "s", 0)
	p.Free(11, 1)
	if got := p.Tell(1, 2); len(got) != 1 || got[0].Do != Close || got[0].Conn != 11 {
		t.Errorf("told one: %+v", got)
	}
	if got := p.Tell(0, 3); got != nil {
		t.Errorf("told none: %+v", got)
	}
	if got := p.Free(12, 4); len(got) != 1 || got[0].Do != Close {
		t.Errorf("one that is free with none allowed: %+v", got)
	}
	if got := p.Want(3, "s", 5); got != nil {
		t.Errorf("with none allowed: %+v", got)
	}
	if got := p.Tell(1, 6); len(got) != 1 || got[0].Do != Dial {
		t.Errorf("told one again: %+v", got)
	}
	p.Want(4, "s", 7)
	if got := p.Untell(8); len(got) != 1 || got[0].Do != Dial {
		t.Errorf("by the settings: %+v", got)
	}
}
