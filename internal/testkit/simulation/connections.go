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
	pool := p.pools[s.No]
	if pool == nil {
		pool = &serverPool{pooler: p, server: s, busy: map[*attempt]bool{}}
		p.pools[s.No] = pool
	}
	return pool
}

// SetAddress implements core.Servers.
func (p *pooler) SetAddress(id, _ string) {
	if pool := p.poolOf(id); pool != nil {
		pool.listed = true
	}
}

// CloseIdle implements core.Servers.
func (p *pooler) CloseIdle(id string) {
	if pool := p.poolOf(id); pool != nil {
		pool.countConnections(-len(pool.idle))
		pool.idle = pool.idle[:0]
	}
}

// Forget implements core.Servers.
func (p *pooler) Forget(id string) {
	pool := p.poolOf(id)
	if pool == nil || !pool.listed {
		return
	}
	p.CloseIdle(id)
	pool.listed = false
	for len(pool.waiting) > 0 {
		pool.waiting[0].abort(decide.NotSent)
	}
}

// Retain implements core.Servers.
func (p *pooler) Retain(ids map[string]bool) {
	for _, pool := range p.pools {
		if pool != nil && !ids[pool.server.Name] {
			p.Forget(pool.server.Name)
		}
	}
}

// countConnections adds n to the number of connections of the pool and of the pooler.
func (pool *serverPool) countConnections(n int) {
	pool.connections += n
	pool.pooler.connections += n
	pool.pooler.sim.mostConnections = max(pool.pooler.sim.mostConnections, pool.pooler.connections)
}

// expire closes connections that have reached the idle timeout.
func (pool *serverPool) expire() {
	n := 0
	for n < len(pool.idle) && pool.pooler.sim.sched.now-pool.idle[n] >= pool.pooler.idleMs {
		n++
	}
	if n > 0 {
		pool.countConnections(-n)
		pool.idle = append(pool.idle[:0], pool.idle[n:]...)
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
	for _, pool := range p.pools {
		if pool != nil && len(pool.idle) > 0 && (oldest == nil || pool.idle[0] < oldest.idle[0]) {
			oldest = pool
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
func (pool *serverPool) dial() {
	pool.pooler.core.DialWithinLimit(func() {
		if pool.dialing < len(pool.waiting) {
			pool.open()
		}
	})
}

// open opens a connection. If the limit of connections is reached and none is idle, it does nothing: waiting attempts then get
// connections that others release.
func (pool *serverPool) open() {
	sim, p := pool.pooler.sim, pool.pooler
	if p.connections >= p.maxConnections && !p.closeOldest() {
		return
	}
	pool.dialing++
	pool.countConnections(1)
	d := &dial{pool: pool, incarnation: pool.pooler.incarnation, poolIncarnation: pool.incarnation}
	s, toServerMs := pool.server, sim.linkDelay()
	sim.repeats.connectionOpened(sim.sched.now, s)
	switch {
	case p.linkCut(s) || s.Hung:
		sim.sched.After(scenario.ConnectMs, d, atConnectFailed) // the server does not answer
	case !s.Up:
		sim.sched.After(toServerMs+sim.linkDelay(), d, atConnectFailed)
	case sim.serverConnections(s) >= sim.script.Fleet.MaxConnections:
		sim.sched.After(toServerMs+sim.linkDelay(), d, atRefused)
	default:
		sim.sched.After(toServerMs+sim.linkDelay()+sim.draw(sim.script.Handshake), d, atConnected)
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
	pool := d.pool
	p := pool.pooler
	p.whenRunning(d.incarnation, func() {
		pool.dialing--
		if what == atConnected && d.poolIncarnation == pool.incarnation && pool.server.Up && !pool.server.Hung {
			pool.release()
			return
		}
		pool.countConnections(-1)
		if len(pool.waiting) > pool.dialing {
			r := decide.Unreachable
			if what == atRefused {
				r = decide.Overloaded
			}
			a := pool.waiting[0]
			pool.dequeue(a)
			a.end(backend.Outcome{Result: r})
		}
		pool.refill()
	})
}

// release gives a connection to the next waiting attempt, or makes it idle. If the server is no longer listed, it closes the
// connection.
func (pool *serverPool) release() {
	if !pool.listed {
		pool.countConnections(-1)
		return
	}
	for len(pool.waiting) > 0 {
		a := pool.waiting[0]
		if a.TooLate(pool.pooler.sim.sched.now) || !a.maySend() {
			a.abort(decide.NotSent)
			continue
		}
		pool.waiting = pool.waiting[1:]
		a.send()
		return
	}
	pool.idle = append(pool.idle, pool.pooler.sim.sched.now)
}

func (pool *serverPool) refill() {
	if pool.listed && pool.dialing < len(pool.waiting) {
		pool.dial()
	}
}

func (pool *serverPool) dequeue(a *attempt) {
	for i := range pool.waiting {
		if pool.waiting[i] == a {
			pool.waiting = append(pool.waiting[:i:i], pool.waiting[i+1:]...)
			return
		}
	}
}
