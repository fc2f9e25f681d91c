package front

import "beechgrade/internal/slots"

// Bounds on what a client may hold without asking for anything, in milliseconds.
const (
	sweepMs   = 250
	startupMs = 1000  // until its startup message is whole
	messageMs = 1500  // until a message it has begun is whole
	stuckMs   = 5000  // until it goes on reading its answers
	lingerMs  = 250   // after its last word, until it closes
	restMs    = 2000  // idle for so long, its connection may be closed where clients are many
	idleMs    = 60000 // ...and where they are few
)

const (
	maxDropped = 1 << 18 // bytes from a client that has had its last word
	maxLeaving = 16      // such clients
	heldPart   = 8       // of the memory, what clients have sent and that waits here may take 1 in so many
)

// Budget is what the machine allows.
type Budget struct {
	Spare  func() int  // descriptors left for clients, below 0 where there are too many clients
	Free   func() bool // frees one that something else uses, and tells whether there was one
	Memory func() int  // bytes
}

// Start begins the sweeps; it is for the loop.
func (p *Postgres) Start() { p.loop.At(p.loop.Now()+sweepMs, p.sweep) }

// sweep ends what clients have held for too long.
func (p *Postgres) sweep() {
	now := p.loop.Now()
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if s.conn == nil {
			return
		}
		age := now - s.since
		if s.conn.Unsent() == 0 {
			s.stuck = 0
		} else if s.stuck == 0 {
			s.stuck = now
		}
		switch {
		case s.leaving && age >= lingerMs, s.stuck != 0 && now-s.stuck >= stuckMs,
			!s.started && s.in.Pending() == 0 && age >= startupMs, s.started && s.idle() && age >= idleMs && s.conn.Quiet():
			s.conn.Close()
		case !s.started && age >= startupMs:
			s.fatal(codeProtocol, "the startup message is not whole in time")
		case s.started && !s.asking && s.stuck == 0 && s.in.Pending() > 0 && age >= messageMs:
			s.fatal(codeProtocol, "the message is not whole in time")
		}
	})
	if p.turned > 0 {
		p.log.Warn("too many clients", "turned_away", p.turned, "sessions", p.sessions.Len())
		p.turned = 0
	}
	p.Start()
}

// admit tells whether there is a descriptor for a new client, and makes room: first where nobody waits for
// anything, then among connections to servers, then among idle clients, which may connect anew, and those that
// have long been in the midst of a message.
func (p *Postgres) admit(s *session) bool {
	for p.budget.Spare() < 0 {
		if !p.evict(s, silent) && !p.budget.Free() && !p.evict(s, halfway) {
			p.turned++
			return false
		}
	}
	if p.budget.Spare() < p.sessions.Len() { // half of them are taken: what rests for long goes
		if old := p.find(s, resting); old != nil && p.loop.Now()-old.since >= restMs {
			old.conn.Close()
		}
	}
	return true
}

// use ranks clients by what closing their connection would cost; busy ones are never closed.
type use int

const (
	leaving use = iota
	silent
	resting
	halfway
	busy
)

func (s *session) use() use {
	switch {
	case s.conn == nil || s.closed || s.asking:
		return busy
	case s.leaving:
		return leaving
	case !s.started:
		return silent
	case s.idle():
		return resting
	case s.front.loop.Now()-s.since >= sweepMs:
		return halfway
	}
	return busy
}

// find finds the client of least use, up to most, and of these the one that has been so longest; not one whose
// next words have come and are only not read yet.
func (p *Postgres) find(but *session, most use) *session {
	var found *session
	least := most
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if u := s.use(); s != but && u <= least && (found == nil || u < least || s.since < found.since) &&
			(u == leaving || u == halfway || s.conn.Quiet()) {
			found, least = s, u
		}
	})
	return found
}

func (p *Postgres) evict(but *session, most use) bool {
	s := p.find(but, most)
	if s != nil {
		s.conn.Close()
	}
	return s != nil
}

// count brings the sum of what is held up to date.
func (s *session) count() {
	n := 0
	if !s.closed && !s.leaving {
		n = s.in.Pending()
	}
	s.front.held += n - s.held
	s.held = n
}

// bound cuts off whoever holds most while all hold too much together.
func (p *Postgres) bound() {
	for p.held > p.budget.Memory()/heldPart {
		var most *session
		p.sessions.Each(func(_ slots.Ref, s *session) {
			if most == nil || s.held > most.held {
				most = s
			}
		})
		most.fatal(codeProtocol, "too much sent at once")
		if !most.closed && !most.leaving {
			return
		}
	}
}

// leave ends a connection that has had its last word. A close with input unread would be a reset, which may
// overtake that word, so the client is given a moment to close.
func (s *session) leave() {
	if s.closed || s.leaving {
		return
	}
	if s.front.leaving >= maxLeaving || s.conn.Unsent() > 0 || s.conn.CloseWrite() != nil {
		s.conn.Close()
		return
	}
	s.leaving, s.since = true, s.front.loop.Now()
	s.front.leaving++
	s.front.loop.Stop(s.recheck)
	s.in.Reset()
	s.count()
	s.gone()
}
