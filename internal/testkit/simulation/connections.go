package simulation

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// serverPool is a pooler's connection pool for one server.
type serverPool struct {
	pooler      *pooler
	server      *model.Server
	listed      bool
	idle        []float64 // when each idle connection was released, the most recently used last
	connections int       // including those being opened
	dialing     int
	waiting     []*attempt
	busy        map[*attempt]bool // attempts that hold a connection
	incarnation uint32            // incremented when the server breaks all connections
}

func (p *pooler) poolOf(id string) *serverPool {
	s := p.server(id)
	if s == nil {
		return nil
	}
	st := p.pools[s.No]
	if st == nil {
		st = &serverPool{pooler: p, server: s, busy: map[*attempt]bool{}}
		p.pools[s.No] = st
	}
	return st
}

// SetAddress implements core.Servers.
func (p *pooler) SetAddress(id, _ string) {
	if st := p.poolOf(id); st != nil {
		st.listed = true
	}
}

// CloseIdle implements core.Servers.
func (p *pooler) CloseIdle(id string) {
	if st := p.poolOf(id); st != nil {
		st.countConnections(-len(st.idle))
		st.idle = st.idle[:0]
	}
}

// Forget implements core.Servers.
func (p *pooler) Forget(id string) {
	st := p.poolOf(id)
	if st == nil || !st.listed {
		return
	}
	p.CloseIdle(id)
	st.listed = false
	for len(st.waiting) > 0 {
		st.waiting[0].abort(decide.NotSent)
	}
}

// Retain implements core.Servers.
func (p *pooler) Retain(ids map[string]bool) {
	for _, st := range p.pools {
		if st != nil && !ids[st.server.Name] {
			p.Forget(st.server.Name)
		}
	}
}

// countConnections adds n to the number of connections of the pool and of the pooler.
func (st *serverPool) countConnections(n int) {
	st.connections += n
	st.pooler.connections += n
	st.pooler.sim.mostConnections = max(st.pooler.sim.mostConnections, st.pooler.connections)
}

// expire closes connections that have reached the idle timeout.
func (st *serverPool) expire() {
	n := 0
	for n < len(st.idle) && st.pooler.sim.sched.now-st.idle[n] >= st.pooler.idleMs {
		n++
	}
	if n > 0 {
		st.countConnections(-n)
		st.idle = append(st.idle[:0], st.idle[n:]...)
	}
}

// A pooler reserves some of its file descriptors and uses a share of the rest for connections to servers, as the daemon does.
const (
	reservedDescriptors   = 64
	serverConnectionShare = 0.45
	idleTimeoutShare      = 0.8 // of the servers' idle timeout: the pooler closes idle connections first
)

func maxServerConnections(sockets int) int {
	return max(1, int(serverConnectionShare*float64(sockets-reservedDescriptors)))
}

// closeOldest closes the connection that has been idle longest, and reports whether there was one.
func (p *pooler) closeOldest() bool {
	var oldest *serverPool
	for _, st := range p.pools {
		if st != nil && len(st.idle) > 0 && (oldest == nil || st.idle[0] < oldest.idle[0]) {
			oldest = st
		}
	}
	if oldest == nil {
		return false
	}
	oldest.countConnections(-1)
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// dial opens a connection as soon as the fleet-wide limit of dials allows it, if an attempt still waits for one then.
func (st *serverPool) dial() {
	st.pooler.core.DialWithinLimit(func() {
		if st.dialing < len(st.waiting) {
			st.open()
		}
	})
}

// open opens a connection. If the limit of connections is reached and none is idle, it does nothing: waiting attempts then get
// connections that others release.
func (st *serverPool) open() {
	sim, p := st.pooler.sim, st.pooler
	if p.connections >= p.maxConnections && !p.closeOldest() {
		return
	}
	st.dialing++
	st.countConnections(1)
	d := &dial{pool: st, incarnation: st.pooler.incarnation, poolIncarnation: st.incarnation}
	s, there := st.server, sim.linkDelay()
	sim.repeats.connectionOpened(sim.sched.now, s)
	switch {
	case p.linkCut(s) || s.Hung:
		sim.sched.After(scenario.ConnectMs, d, atConnectFailed) // the server does not answer
	case !s.Up:
		sim.sched.After(there+sim.linkDelay(), d, atConnectFailed)
	case sim.serverConnections(s) >= sim.script.Fleet.MaxConnections:
		sim.sched.After(there+sim.linkDelay(), d, atRefused)
	default:
		sim.sched.After(there+sim.linkDelay()+sim.draw(sim.script.Handshake), d, atConnected)
	}
}

// dial is a connection being opened.
type dial struct {
	pool            *serverPool
	incarnation     uint32
	poolIncarnation uint32
}

// Fire implements model.Event.
func (d *dial) Fire(what uint64) {
	st := d.pool
	p := st.pooler
	p.whenRunning(d.incarnation, func() {
		st.dialing--
		if what == atConnected && d.poolIncarnation == st.incarnation && st.server.Up && !st.server.Hung {
			st.release()
			return
		}
		st.countConnections(-1)
		if len(st.waiting) > st.dialing {
			r := decide.Unreachable
			if what == atRefused {
				r = decide.Overloaded
			}
			a := st.waiting[0]
			st.dequeue(a)
			a.end(backend.Outcome{Result: r})
		}
		st.refill()
	})
}

// release gives a connection to the next waiting attempt, or makes it idle. If the server is no longer listed, it closes the
// connection.
func (st *serverPool) release() {
	if !st.listed {
		st.countConnections(-1)
		return
	}
	for len(st.waiting) > 0 {
		a := st.waiting[0]
		if a.TooLate(st.pooler.sim.sched.now) || !a.maySend() {
			a.abort(decide.NotSent)
			continue
		}
		st.waiting = st.waiting[1:]
		a.send()
		return
	}
	st.idle = append(st.idle, st.pooler.sim.sched.now)
}

func (st *serverPool) refill() {
	if st.listed && st.dialing < len(st.waiting) {
		st.dial()
	}
}

func (st *serverPool) dequeue(a *attempt) {
	for i := range st.waiting {
		if st.waiting[i] == a {
			st.waiting = append(st.waiting[:i:i], st.waiting[i+1:]...)
			return
		}
	}
}
