package connpool

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// model is a simple model of a pool, and carries out the pool's actions.
type model struct {
	t        *rapid.T
	pool     *Pool
	limits   Limits
	now      float64
	conns    map[ID]string // the server of each connection
	owner    map[ID]ID     // the waiter to which each used connection was assigned
	waiting  map[ID]string // the server that each waiter waits for
	since    map[ID]float64
	order    []ID // of the waiters' arrival
	dialing  map[string]int
	draining map[string]bool
	lastID   ID // of connections and waiters
}

// apply checks the pool's actions, and carries them out.
func (m *model) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Dial:
			m.dialing[a.Server]++
			all := len(m.conns)
			for _, n := range m.dialing {
				all += n
			}
			if all > m.limits.MaxConns+m.limits.Reserve || m.dialing[a.Server] > m.limits.MaxDials {
				m.t.Fatalf("%d connections including dials, want at most %d; %d dials to %s, want at most %d", all, m.limits.MaxConns+m.limits.Reserve, m.dialing[a.Server], a.Server, m.limits.MaxDials)
			}
			if m.draining[a.Server] {
				m.t.Fatalf("dial to %s, which is draining", a.Server)
			}
		case Assign:
			server, open := m.conns[a.Conn]
			if _, used := m.owner[a.Conn]; !open || used || m.waiting[a.Waiter] != server {
				m.t.Fatalf("connection %d to %q was assigned to waiter %d, which waits for %q; connection in use: %v",
					a.Conn, server, a.Waiter, m.waiting[a.Waiter], used)
			}
			for _, id := range m.order {
				if id == a.Waiter {
					break
				}
				if m.waiting[id] == server {
					m.t.Fatalf("waiter %d, which came first, was passed over for %d", id, a.Waiter)
				}
			}
			m.owner[a.Conn] = a.Waiter
			m.removeWaiter(a.Waiter)
		case Reject:
			if _, ok := m.waiting[a.Waiter]; !ok {
				m.t.Fatalf("waiter %d was rejected, but does not wait", a.Waiter)
			}
			m.removeWaiter(a.Waiter)
		case Close:
			if _, used := m.owner[a.Conn]; used {
				m.t.Fatalf("connection %d was closed while in use", a.Conn)
			}
			if _, open := m.conns[a.Conn]; !open {
				m.t.Fatalf("connection %d was closed, but is not open", a.Conn)
			}
			delete(m.conns, a.Conn)
		}
	}
	m.pool.Check(invariant.Test(m.t))
	idle, used, dialing, waiting := m.pool.Counts()
	sum := 0
	for _, n := range m.dialing {
		sum += n
	}
	if idle+used != len(m.conns) || used != len(m.owner) || dialing != sum || waiting != len(m.order) {
		m.t.Fatalf("the pool counts %d idle, %d used, %d being opened, %d waiting; the model has %d open, of which %d used, %d being opened, %d waiting",
			idle, used, dialing, waiting,
			len(m.conns), len(m.owner), sum, len(m.order))
	}
	if waiting > m.limits.MaxWaiting {
		m.t.Fatalf("%d waiters, want at most %d", waiting, m.limits.MaxWaiting)
	}
}

func (m *model) removeWaiter(id ID) {
	delete(m.waiting, id)
	for i, x := range m.order {
		if x == id {
			m.order = append(m.order[:i:i], m.order[i+1:]...)
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

// pickUsed draws a used connection; it returns false if there is none.
func (m *model) pickUsed() (ID, bool) {
	ids := []ID{}
	for i := ID(1); i <= m.lastID; i++ {
		if _, ok := m.owner[i]; ok {
			ids = append(ids, i)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(m.t, "which"), true
}

// step draws an event at a server, and applies the pool's actions.
func (m *model) step(server string) {
	switch rapid.IntRange(0, 9).Draw(m.t, "what") {
	case 0, 1, 2:
		m.request(server)
	case 3, 4:
		m.dialEnds(server, true)
	case 5:
		m.dialEnds(server, false)
	case 6, 7:
		m.endUse()
	case 8:
		m.now += rapid.Float64Range(0, 400).Draw(m.t, "time")
		m.apply(m.pool.Tick(m.now))
	case 9:
		m.draining[server] = !m.draining[server]
		if m.draining[server] {
			m.apply(m.pool.DrainServer(server, m.now))
		} else {
			m.pool.RestoreServer(server)
		}
	}
}

func (m *model) request(server string) {
	m.lastID++
	m.waiting[m.lastID] = server
	m.since[m.lastID] = m.now
	m.order = append(m.order, m.lastID)
	m.apply(m.pool.Request(m.lastID, server, m.now))
}

// dialEnds completes a dial to a server, if one is in progress, successfully or not.
func (m *model) dialEnds(server string, opened bool) {
	if m.dialing[server] == 0 {
		return
	}
	m.dialing[server]--
	if !opened {
		m.apply(m.pool.DialFailed(server, m.now))
		return
	}
	m.lastID++
	m.conns[m.lastID] = server
	m.apply(m.pool.Opened(m.lastID, server, m.now))
}

// endUse releases or loses a used connection, if there is one.
func (m *model) endUse() {
	id, ok := m.pickUsed()
	if !ok {
		return
	}
	delete(m.owner, id)
	if rapid.IntRange(0, 4).Draw(m.t, "lost") == 0 {
		delete(m.conns, id)
		m.apply(m.pool.Lost(id, m.now))
		return
	}
	m.apply(m.pool.Release(id, m.now))
}

// finish releases all connections, and advances the time beyond the longest wait.
func (m *model) finish() {
	for id := ID(1); id <= m.lastID; id++ {
		if _, ok := m.owner[id]; ok {
			delete(m.owner, id)
			m.apply(m.pool.Release(id, m.now))
		}
	}
	m.now += 2 * m.limits.MaxWaitMs
	m.apply(m.pool.Tick(m.now))
}

// TestPoolAgreesWithModel applies random events to a pool. No connection may be assigned to two waiters, no waiter may be passed over, the
// limits must hold, and each wait must end.
func TestPoolAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"))
		}
		m.finish()
		if len(m.order) > 0 {
			t.Fatalf("waiters remain after the longest wait: %v", m.order)
		}
	})
}

// TestIdleConnectionMakesWayForOtherServer: if the limit is reached by idle connections to one server, one of them must be closed for a
// waiter for another server. The reserve must be used only after ReserveMs.
func TestIdleConnectionMakesWayForOtherServer(t *testing.T) {
	p := New(Limits{MaxConns: 1, Reserve: 1, ReserveMs: 100, MaxWaiting: 9})
	check := func(want, got []Action) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("actions of the pool (-want +got):\n%s", diff)
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

// TestAdmissionAgreesWithModel applies random events to the admission of transactions. No more transactions of one kind may be admitted
// than there may be connections, and in order of arrival. Transactions that wait too long or exceed the limit of waiters must be
// rejected, and the end of one must admit another.
func TestAdmissionAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		limits := Limits{MaxConns: rapid.IntRange(1, 3).Draw(t, "most"), MaxWaiting: rapid.IntRange(0, 4).Draw(t, "queue"), MaxWaitMs: 1000}
		p, now, lastID := New(limits), 0.0, ID(0)
		admitted, queued := map[ID]string{}, map[ID]string{}
		apply := func(actions []Action) {
			for _, a := range actions {
				kind, ok := queued[a.Waiter]
				if !ok {
					t.Fatalf("action %+v is for a transaction that is not queued", a)
				}
				delete(queued, a.Waiter)
				if a.Kind != Admit {
					continue
				}
				n := 0
				for _, k := range admitted {
					if k == kind {
						n++
					}
				}
				for id, k := range queued {
					if k == kind && id < a.Waiter {
						t.Fatalf("transaction %d was admitted before %d, which came first", a.Waiter, id)
					}
				}
				if admitted[a.Waiter] = kind; n >= limits.MaxConns {
					t.Fatalf("%d transactions of one kind are admitted, want at most %d", n+1, limits.MaxConns)
				}
			}
			if len(queued) != p.QueuedTransactions() || len(queued) > limits.MaxWaiting {
				t.Fatalf("%d transactions are queued, the pool counts %d, want at most %d", len(queued), p.QueuedTransactions(), limits.MaxWaiting)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				lastID++
				kind := rapid.SampledFrom([]string{"reads", "writes"}).Draw(t, "kind")
				queued[lastID] = kind
				apply(p.Admit(lastID, kind, now))
			case 3:
				if lastID > 0 {
					id := ID(rapid.Uint64Range(1, uint64(lastID)).Draw(t, "which"))
					delete(admitted, id)
					delete(queued, id)
					apply(p.Leave(id))
				}
			case 4:
				now += rapid.Float64Range(0, 800).Draw(t, "time")
				apply(p.Tick(now))
			}
		}
		now += 2000
		apply(p.Tick(now))
		if len(queued) > 0 {
			t.Fatalf("transactions remain queued after the longest wait: %v", queued)
		}
	})
}

// TestAssignedLimitIsApplied: with a lower assigned limit, a pool must close idle connections, and used ones once they are released. With
// a higher one, it must open connections for waiters. Without an assigned limit, the configured one applies.
func TestAssignedLimitIsApplied(t *testing.T) {
	p := New(Limits{MaxConns: 3, Reserve: 2, MaxWaiting: 9, MaxDials: 9})
	p.Request(1, "s", 0)
	p.Request(2, "s", 0)
	p.Opened(11, "s", 0)
	p.Opened(12, "s", 0)
	p.Release(11, 1)
	if got := p.AssignLimit(1, 2); len(got) != 1 || got[0].Kind != Close || got[0].Conn != 11 {
		t.Errorf("AssignLimit(1) with one idle and one used connection: %+v, want Close of the idle one", got)
	}
	if got := p.AssignLimit(0, 3); got != nil {
		t.Errorf("AssignLimit(0) with a used connection: %+v, want no action", got)
	}
	if got := p.Release(12, 4); len(got) != 1 || got[0].Kind != Close {
		t.Errorf("Release with limit 0: %+v, want Close", got)
	}
	if got := p.Request(3, "s", 5); got != nil {
		t.Errorf("Request with limit 0: %+v, want no action", got)
	}
	if got := p.AssignLimit(1, 6); len(got) != 1 || got[0].Kind != Dial {
		t.Errorf("AssignLimit(1) with one waiter: %+v, want Dial", got)
	}
	p.Request(4, "s", 7)
	if got := p.RestoreLimits(8); len(got) != 1 || got[0].Kind != Dial {
		t.Errorf("RestoreLimits with another waiter: %+v, want Dial", got)
	}
}
