package simulation

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// store is a pooler's connections to one server.
type store struct {
	p       *pooler
	s       *model.Server
	listed  bool
	idle    []float64 // connections, each by when it came free; the one used last at the end
	conns   int       // all of them, those coming up included
	dialing int
	waiting []*attempt
	busy    map[*attempt]bool // attempts that are out
	life    uint32            // grows as the server's end breaks its connections
}

func (p *pooler) store(id string) *store {
	s := p.server(id)
	if s == nil {
		return nil
	}
	st := p.stores[s.No]
	if st == nil {
		st = &store{p: p, s: s, busy: map[*attempt]bool{}}
		p.stores[s.No] = st
	}
	return st
}

// SetAddress is core.Servers'.
func (p *pooler) SetAddress(id, _ string) {
	if st := p.store(id); st != nil {
		st.listed = true
	}
}

// CloseIdle is core.Servers'.
func (p *pooler) CloseIdle(id string) {
	if st := p.store(id); st != nil {
		st.add(-len(st.idle))
		st.idle = st.idle[:0]
	}
}

// Forget is core.Servers'.
func (p *pooler) Forget(id string) {
	st := p.store(id)
	if st == nil || !st.listed {
		return
	}
	p.CloseIdle(id)
	st.listed = false
	for len(st.waiting) > 0 {
		st.waiting[0].drop(decide.NotSent)
	}
}

// Retain is core.Servers'.
func (p *pooler) Retain(ids map[string]bool) {
	for _, st := range p.stores {
		if st != nil && !ids[st.s.Name] {
			p.Forget(st.s.Name)
		}
	}
}

// add counts connections.
func (st *store) add(n int) {
	st.conns += n
	st.p.conns += n
	st.p.e.conned = max(st.p.e.conned, st.p.conns)
}

// expire closes connections that were idle for too long.
func (st *store) expire() {
	n := 0
	for n < len(st.idle) && st.p.e.s.now-st.idle[n] >= st.p.idleMs {
		n++
	}
	if n > 0 {
		st.add(-n)
		st.idle = append(st.idle[:0], st.idle[n:]...)
	}
}

// Of a pooler's descriptors, so many are set aside, and connections to servers may take this part of the others; as the
// daemon has it.
const (
	reserved    = 64
	serversPart = 0.45
	idlePart    = 0.8 // of the servers' idle time
)

func serverConns(sockets int) int { return max(1, int(serversPart*float64(sockets-reserved))) }

// closeOldest closes the connection that has been idle longest, and tells whether there was one.
func (p *pooler) closeOldest() bool {
	var oldest *store
	for _, st := range p.stores {
		if st != nil && len(st.idle) > 0 && (oldest == nil || st.idle[0] < oldest.idle[0]) {
			oldest = st
		}
	}
	if oldest == nil {
		return false
	}
	oldest.add(-1)
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// dial opens a connection in its turn, if somebody waits for it then.
func (st *store) dial() {
	st.p.core.LimitDial(func() {
		if st.dialing < len(st.waiting) {
			st.open()
		}
	})
}

// open opens a connection, if the descriptors allow it; else those that wait take what comes free.
func (st *store) open() {
	e, p := st.p.e, st.p
	if p.conns >= p.most && !p.closeOldest() {
		return
	}
	st.dialing++
	st.add(1)
	d := &dial{st: st, life: st.p.life, slife: st.life}
	s, there := st.s, e.way()
	e.agains.opens(e.s.now, s)
	switch {
	case p.cut(s) || s.Hung:
		e.s.After(scenario.ConnectMs, d, atDown) // nothing comes back
	case !s.Up:
		e.s.After(there+e.way(), d, atDown)
	case e.conns(s) >= e.script.Fleet.MaxConnections:
		e.s.After(there+e.way(), d, atRefused)
	default:
		e.s.After(there+e.way()+e.draw(e.script.Handshake), d, atUp)
	}
}

// dial is a connection on its way up.
type dial struct {
	st    *store
	life  uint32
	slife uint32
}

// Fire is world.Event's.
func (d *dial) Fire(what uint64) {
	st := d.st
	p := st.p
	p.whenRunning(d.life, func() {
		st.dialing--
		if what == atUp && d.slife == st.life && st.s.Up && !st.s.Hung {
			st.free()
			return
		}
		st.add(-1)
		if len(st.waiting) > st.dialing {
			r := decide.Unreachable
			if what == atRefused {
				r = decide.Overloaded
			}
			a := st.waiting[0]
			st.unqueue(a)
			a.end(backend.Outcome{Result: r})
		}
		st.refill()
	})
}

// free has a connection carry the next attempt, or idle.
func (st *store) free() {
	if !st.listed {
		st.add(-1)
		return
	}
	for len(st.waiting) > 0 {
		a := st.waiting[0]
		if a.TooLate(st.p.e.s.now) || !a.goes() {
			a.drop(decide.NotSent)
			continue
		}
		st.waiting = st.waiting[1:]
		a.send()
		return
	}
	st.idle = append(st.idle, st.p.e.s.now)
}

func (st *store) refill() {
	if st.listed && st.dialing < len(st.waiting) {
		st.dial()
	}
}

func (st *store) unqueue(a *attempt) {
	for i := range st.waiting {
		if st.waiting[i] == a {
			st.waiting = append(st.waiting[:i:i], st.waiting[i+1:]...)
			return
		}
	}
}
