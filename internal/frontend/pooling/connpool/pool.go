// Package connpool decides which waiters get connections to servers and which are rejected, and which connections are opened and closed,
// for the pools of one pooler.
//
// Its inputs are requests for connections, the results of dials, connections that are released or lost, and the passing of time; its
// outputs are Actions, which the caller carries out in order. It does no I/O and has neither a clock nor goroutines. The number of
// connections, of dials and of waiters is bounded by Limits. A Pool is not safe for concurrent use.
package connpool

// Limits are the limits of a pool. Times are in milliseconds; 0 stands for no limit.
type Limits struct {
	MaxConns     int     // connections to all servers together
	MaxPerServer int     // connections to one server, 0 for MaxConns and Reserve
	Reserve      int     // further connections for those that have waited ReserveMs
	ReserveMs    float64 // wait after which Reserve may be used
	MaxWaiting   int     // waiters for connections, and separately transactions that wait for admission
	MaxWaitMs    float64 // longest wait
	MaxAgeMs     float64 // an older connection is closed once it is free
	MaxIdleMs    float64 // a connection that was idle for longer is closed
	MaxDials     int     // connections to one server that are opened at once, so that they do not overload a server that is warming up
	RedialMs     float64 // after a failed dial, before the next one to that server
}

// ID identifies a connection or a waiter; the caller chooses it.
type ID uint64

// Action is an action that the caller must take.
type Action struct {
	Kind   ActionKind
	Server string
	Conn   ID
	Waiter ID
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Dial opens a connection to Server; the caller calls Opened or DialFailed.
	Dial ActionKind = iota
	// Assign gives Conn to Waiter.
	Assign
	// Reject reports to Waiter that it gets no connection: the queue is full, it has waited too long, or the server cannot be used. Without a
	// Server, it rejects a transaction that waits for admission.
	Reject
	// Close closes Conn, which nobody uses.
	Close
	// Admit allows Waiter to request a connection.
	Admit
)

// String returns the kind in lower case.
func (kind ActionKind) String() string {
	return [...]string{"dial", "assign", "reject", "close", "admit"}[kind]
}

type connState uint8

const (
	idle connState = iota
	used
)

// conn is an open connection.
type conn struct {
	id            ID
	server        string
	state         connState
	openedAt      float64
	idleSince     float64 // when the connection became idle
	closeWhenFree bool
}

type server struct {
	dialing      int
	conns        int
	noDialBefore float64
	draining     bool // or removed: no connections to it are opened or assigned
}

// Pool decides for one pool: the connections for a database and a user.
type Pool struct {
	limits     Limits
	configured Limits // limits without an assigned one
	assigned   bool   // limits.MaxConns was assigned, and may be less than the number of connections

	conns   map[ID]*conn
	idle    map[string][]*conn // by server, the most recently used last
	servers map[string]*server
	dialing int

	waiting  map[ID]*waiter
	queues   map[string]*waitQueue // by server; only servers with waiters
	sequence uint64                // of the last waiter

	admissions map[string]*admissionQueue // by kind of transaction
	admitted   map[ID]*admissionQueue
	queued     map[ID]*waiter // transactions that wait for admission

	actions []Action
}

// New returns a pool without connections.
func New(limits Limits) *Pool {
	if limits.MaxPerServer <= 0 {
		limits.MaxPerServer = limits.MaxConns + limits.Reserve
	}
	limits.MaxDials = max(1, limits.MaxDials)
	return &Pool{
		limits:     limits,
		configured: limits,
		conns:      map[ID]*conn{},
		idle:       map[string][]*conn{},
		servers:    map[string]*server{},
		waiting:    map[ID]*waiter{},
		queues:     map[string]*waitQueue{},
		admissions: map[string]*admissionQueue{},
		admitted:   map[ID]*admissionQueue{},
		queued:     map[ID]*waiter{},
	}
}

// Counts returns how many connections are idle, in use and being opened, and how many clients wait for one.
func (p *Pool) Counts() (idle, used, dialing, waiting int) {
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return idle, len(p.conns) - idle, p.dialing, len(p.waiting)
}

// total returns the number of connections, including those that are being opened.
func (p *Pool) total() int { return len(p.conns) + p.dialing }

func (p *Pool) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{}
		p.servers[name] = s
	}
	return s
}

func (p *Pool) emit(a Action) { p.actions = append(p.actions, a) }

// takeActions returns the actions since the last call.
func (p *Pool) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// Request requests a connection to a server. Earlier requests for the same server go first.
func (p *Pool) Request(id ID, serverName string, now float64) []Action {
	if p.server(serverName).draining {
		p.emit(Action{Kind: Reject, Server: serverName, Waiter: id})
		return p.takeActions()
	}
	p.sequence++
	w := &waiter{id: id, key: serverName, since: now, sequence: p.sequence}
	queue := p.queues[serverName]
	if queue == nil {
		queue = &waitQueue{}
		p.queues[serverName] = queue
	}
	queue.add(w)
	p.waiting[id] = w
	p.serve(serverName, now)
	// The limit of waiters counts only those that found no connection.
	if len(p.waiting) > p.limits.MaxWaiting && !w.removed {
		p.rejectWaiter(w)
	}
	return p.takeActions()
}

// Withdraw withdraws the request of a waiter.
func (p *Pool) Withdraw(id ID, now float64) []Action {
	if w := p.waiting[id]; w != nil {
		p.dequeue(w)
	}
	return p.takeActions()
}

// Opened reports that a dial has become a connection.
func (p *Pool) Opened(id ID, serverName string, now float64) []Action {
	s := p.server(serverName)
	s.dialing--
	p.dialing--
	s.conns++
	c := &conn{id: id, server: serverName, openedAt: now}
	p.conns[id] = c
	p.free(c, now)
	p.serve(serverName, now)
	return p.takeActions()
}

// DialFailed reports that a dial has failed. Each failed dial rejects the first waiter for that server: the router decides where its
// request goes next.
func (p *Pool) DialFailed(serverName string, now float64) []Action {
	s := p.server(serverName)
	s.dialing--
	p.dialing--
	s.noDialBefore = now + p.limits.RedialMs
	if queue := p.queues[serverName]; queue != nil {
		p.rejectWaiter(queue.first())
	}
	p.serve(serverName, now)
	return p.takeActions()
}

// Release reports that a connection is no longer used.
func (p *Pool) Release(id ID, now float64) []Action {
	if c := p.conns[id]; c != nil && c.state == used {
		if p.neededElsewhere(c, now) {
			c.closeWhenFree = true
		}
		p.free(c, now)
		p.serve(c.server, now)
	}
	return p.takeActions()
}

// neededElsewhere reports whether a connection must be closed so that one can be opened to another server whose first waiter has waited
// much longer.
func (p *Pool) neededElsewhere(c *conn, now float64) bool {
	w := p.longestWaiting(c.server)
	if w == nil || p.total() < p.limits.MaxConns {
		return false
	}
	return p.waitedLonger(w, c.server) && p.mayDial(w.key, now)
}

// waitedLonger reports whether a waiter has waited longer than the first one for a server, by at least fairnessMs. It returns false if
// nobody waits for that server.
func (p *Pool) waitedLonger(w *waiter, server string) bool {
	queue := p.queues[server]
	return queue != nil && queue.first().since-w.since >= fairnessMs
}

// AssignLimit sets the number of connections, in place of the configured one and its reserve, until RestoreLimits. Idle connections
// beyond it are closed, those in use once they are free.
func (p *Pool) AssignLimit(conns int, now float64) []Action {
	p.assigned = true
	p.limits.MaxConns = conns
	p.limits.Reserve = 0
	for p.total() > conns && p.closeOldestIdle() {
	}
	p.admitAll()
	p.dialForWaiting(now)
	return p.takeActions()
}

// RestoreLimits restores the configured limits.
func (p *Pool) RestoreLimits(now float64) []Action {
	p.assigned = false
	p.limits.MaxConns = p.configured.MaxConns
	p.limits.Reserve = p.configured.Reserve
	p.admitAll()
	p.dialForWaiting(now)
	return p.takeActions()
}

// free makes a connection idle, or closes it if it must not be kept.
func (p *Pool) free(c *conn, now float64) {
	if c.closeWhenFree || p.overLimit() || p.server(c.server).draining || p.tooOld(c, now) {
		p.close(c)
		return
	}
	c.state = idle
	c.idleSince = now
	p.idle[c.server] = append(p.idle[c.server], c)
}

// overLimit reports whether there are more connections than an assigned limit allows.
func (p *Pool) overLimit() bool { return p.assigned && p.total() > p.limits.MaxConns }

func (p *Pool) tooOld(c *conn, now float64) bool {
	return p.limits.MaxAgeMs > 0 && now-c.openedAt >= p.limits.MaxAgeMs
}

func (p *Pool) idleTooLong(c *conn, now float64) bool {
	return p.limits.MaxIdleMs > 0 && now-c.idleSince >= p.limits.MaxIdleMs
}

// Lost reports that a connection has ended.
func (p *Pool) Lost(id ID, now float64) []Action {
	if c := p.conns[id]; c != nil {
		p.remove(c)
		p.serve(c.server, now)
	}
	return p.takeActions()
}

// close closes a connection that nobody uses.
func (p *Pool) close(c *conn) {
	p.remove(c)
	p.emit(Action{Kind: Close, Server: c.server, Conn: c.id})
}

// closeOldestIdle closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool) closeOldestIdle() bool {
	var oldest *conn
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleBefore(oldest)) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.close(oldest)
	return true
}

// idleBefore orders connections by when they became idle.
func (c *conn) idleBefore(other *conn) bool {
	return c.idleSince < other.idleSince || c.idleSince == other.idleSince && c.id < other.id
}

// remove removes a connection from the pool.
func (p *Pool) remove(c *conn) {
	delete(p.conns, c.id)
	p.server(c.server).conns--
	p.removeIdle(c)
}
