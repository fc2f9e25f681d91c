// Package connpool decides who gets a server connection, who waits, who is turned away and what is closed, for the pools of
// one pooler. It does no I/O, has no clock and no goroutines: it is told what happens and answers what is to be done.
package connpool

import "slices"

// Limits are a pool's. Times are in milliseconds; 0 stands for no limit.
type Limits struct {
	MaxConns     int // connections to all servers together
	MaxPerServer int // connections to one server, 0 for Most
	Reserve      int // more of them, for those that have waited ReserveMs
	ReserveMs    float64
	MaxWaiting   int     // that wait at most
	MaxWaitMs    float64 // longest wait
	MaxAgeMs     float64 // a connection older than that is closed once it is free
	MaxIdleMs    float64 // a connection idle for longer is closed
	MaxDials     int     // connections to one server that come up at once: a cold one is not pushed over by them
	RedialMs     float64 // after a dial that failed, before the next one to that server
}

// ID names a connection or a waiter; the caller gives it.
type ID uint64

// Action is what is to be done.
type Action struct {
	Kind   ActionKind
	Server string
	Conn   ID
	Waiter ID
}

// ActionKind says what.
type ActionKind uint8

// What may be to be done.
const (
	Dial   ActionKind = iota // open a connection to Server; answered by Up or Down
	Assign                   // Conn is Waiter's now
	Reject                   // Waiter is turned away: the queue is full or it has waited too long
	Close                    // Conn is to be closed; nobody has it
	Admit                    // Waiter may ask for a connection now
)

type state uint8

const (
	idle state = iota
	used
)

type conn struct {
	id            ID
	server        string
	state         state
	openedAt      float64
	since         float64 // idle since
	closeWhenFree bool    // closed once it is free
}

type server struct {
	dialing      int
	conns        int
	noDialBefore float64 // no dial before
	barred       bool    // it drains or is gone
}

// Pool is one pool: a database and a user.
type Pool struct {
	limits     Limits
	conns      map[ID]*conn
	idle       map[string][]*conn // by server, the one used last at the end
	waiting    map[ID]*waiter
	queues     map[string]*waitQueue      // of the servers that somebody waits for
	admissions map[string]*admissionQueue // by kind of transaction
	admitted   map[ID]*admissionQueue     // those that were let in
	queued     map[ID]*waiter             // those that wait to be
	servers    map[string]*server
	dialing    int
	sequence   uint64
	actions    []Action
	assigned   bool // Most is told, and may fall
	configured Limits
}

// New makes a pool.
func New(limits Limits) *Pool {
	if limits.MaxPerServer <= 0 {
		limits.MaxPerServer = limits.MaxConns + limits.Reserve
	}
	limits.MaxDials = max(1, limits.MaxDials)
	return &Pool{limits: limits, configured: limits, admissions: map[string]*admissionQueue{}, admitted: map[ID]*admissionQueue{}, queued: map[ID]*waiter{}, waiting: map[ID]*waiter{}, queues: map[string]*waitQueue{}, conns: map[ID]*conn{}, idle: map[string][]*conn{}, servers: map[string]*server{}}
}

// Counts is how many connections are idle, in use and coming up, and how many clients wait.
func (p *Pool) Counts() (idle, used, dialing, waiting int) {
	for _, l := range p.idle {
		idle += len(l)
	}
	return idle, len(p.conns) - idle, p.dialing, len(p.waiting)
}

func (p *Pool) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{}
		p.servers[name] = s
	}
	return s
}

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Pool) takeActions() []Action {
	out := p.actions
	p.actions = nil
	return out
}

// Request asks for a connection to a server. Those that came before for the same server go first.
func (p *Pool) Request(w ID, to string, now float64) []Action {
	if p.server(to).barred {
		p.emit(Action{Kind: Reject, Server: to, Waiter: w})
		return p.takeActions()
	}
	p.sequence++
	x := &waiter{id: w, server: to, since: now, sequence: p.sequence}
	queue := p.queues[to]
	if queue == nil {
		queue = &waitQueue{}
		p.queues[to] = queue
	}
	queue.waiters = append(queue.waiters, x)
	queue.length++
	p.waiting[w] = x
	p.serve(to, now)
	// It may only wait where there is room to: a place in the queue counts for those that found nothing.
	if len(p.waiting) > p.limits.MaxWaiting && !x.removed {
		p.rejectWaiter(x)
	}
	return p.takeActions()
}

// Withdraw takes a waiter out that wants nothing any more.
func (p *Pool) Withdraw(w ID, now float64) []Action {
	if x := p.waiting[w]; x != nil {
		p.dequeue(x)
	}
	return p.takeActions()
}

// Opened tells that a dial has become a connection.
func (p *Pool) Opened(c ID, to string, now float64) []Action {
	s := p.server(to)
	s.dialing--
	p.dialing--
	s.conns++
	x := &conn{id: c, server: to, openedAt: now}
	p.conns[c] = x
	p.free(x, now)
	p.serve(to, now)
	return p.takeActions()
}

// DialFailed tells that a dial has failed. Those who wait for that server are told, in their order, one for each dial: it is
// for the router to say where they go next.
func (p *Pool) DialFailed(to string, now float64) []Action {
	s := p.server(to)
	s.dialing--
	p.dialing--
	s.noDialBefore = now + p.limits.RedialMs
	if queue := p.queues[to]; queue != nil {
		p.rejectWaiter(queue.first())
	}
	p.serve(to, now)
	return p.takeActions()
}

// Release tells that whoever had a connection is done with it.
func (p *Pool) Release(c ID, now float64) []Action {
	if x := p.conns[c]; x != nil && x.state == used {
		if w := p.longestWaiting(x.server); w != nil && len(p.conns)+p.dialing >= p.limits.MaxConns && p.waitedLonger(w, x.server) && p.mayDial(w.server, now) {
			x.closeWhenFree = true // those for another server have waited far longer than any for this one
		}
		p.free(x, now)
		p.serve(x.server, now)
	}
	return p.takeActions()
}

// waitedLonger tells whether a waiter has waited much longer than any for a server.
func (p *Pool) waitedLonger(w *waiter, server string) bool {
	queue := p.queues[server]
	return queue != nil && queue.first().since-w.since >= fairnessMs
}

// AssignLimit has this pool's connections be so many at most, in place of what the settings say and its reserve; Untell ends it. Idle ones that
// are beyond are closed, those in use once they are free.
func (p *Pool) AssignLimit(most int, now float64) []Action {
	p.assigned, p.limits.MaxConns, p.limits.Reserve = true, most, 0
	for len(p.conns)+p.dialing > most {
		var oldest *conn
		for _, l := range p.idle {
			if len(l) > 0 && (oldest == nil || l[0].since < oldest.since || l[0].since == oldest.since && l[0].id < oldest.id) {
				oldest = l[0]
			}
		}
		if oldest == nil {
			break
		}
		p.drop(oldest)
		p.emit(Action{Kind: Close, Server: oldest.server, Conn: oldest.id})
	}
	for _, admission := range p.admissions {
		p.admitQueued(admission)
	}
	p.dialForWaiting(now)
	return p.takeActions()
}

// RestoreLimits has the pool's limits be those of the settings again.
func (p *Pool) RestoreLimits(now float64) []Action {
	p.assigned, p.limits.MaxConns, p.limits.Reserve = false, p.configured.MaxConns, p.configured.Reserve
	for _, admission := range p.admissions {
		p.admitQueued(admission)
	}
	p.dialForWaiting(now)
	return p.takeActions()
}

func (p *Pool) free(x *conn, now float64) {
	if x.closeWhenFree || p.assigned && len(p.conns)+p.dialing > p.limits.MaxConns || p.server(x.server).barred || p.limits.MaxAgeMs > 0 && now-x.openedAt >= p.limits.MaxAgeMs {
		p.drop(x)
		p.emit(Action{Kind: Close, Server: x.server, Conn: x.id})
		return
	}
	x.state, x.since = idle, now
	p.idle[x.server] = append(p.idle[x.server], x)
}

// Lost tells that a connection has ended.
func (p *Pool) Lost(c ID, now float64) []Action {
	if x := p.conns[c]; x != nil {
		p.drop(x)
		p.serve(x.server, now)
	}
	return p.takeActions()
}

func (p *Pool) drop(x *conn) {
	delete(p.conns, x.id)
	p.server(x.server).conns--
	p.unidle(x)
}

func (p *Pool) unidle(x *conn) {
	l := p.idle[x.server]
	if i := slices.Index(l, x); i >= 0 {
		p.idle[x.server] = slices.Delete(l, i, i+1)
	}
}
