package pooling

import (
	"math"
	"slices"

	"beechgrade/internal/deadline"
	"beechgrade/internal/decide"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/pooling/carry"
	"beechgrade/internal/pooling/share"
	"beechgrade/internal/slots"
	"beechgrade/internal/sqltext"
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	f        *Front
	ref      slots.Ref
	pool     *pool
	store    string
	conn     *loop.Conn
	in       pgwire.Reader
	server   *carry.Server
	queue    []expected // answers that are due, in order
	owner    *client
	params   map[string]string
	pid      uint32
	secret   uint32
	up       bool // its welcome is over
	closed   bool
	broken   bool    // its state is not known: it is not used again
	skipping bool    // after an error, up to the ReadyForQuery of the next Sync
	syncing  int     // own texts that are out
	cancels  int     // cancel requests on their way to its server
	sullied  bool    // one went out since the last answer of its own
	waiting  bool    // it is to be freed once nothing of its own is out
	ends     float64 // after this nothing more is sent there, 0 for no end
	parked   bool
	partial  bool   // the server has a message in part
	parses   int    // statements that are on their way to be prepared
	bound    bool   // ...and a Sync is behind them: whether they are prepared is to be known before more is sent
	last     uint64 // session of the client that had it last
	timer    *deadline.Timer
	out      []byte
	hold     bool // writes are gathered
}

// kind is what an answer is due to.
type kind uint8

const (
	xQuery    kind = iota // a simple query: all up to ReadyForQuery
	xOwn                  // a simple query of the pooler's own: nothing of it is the client's
	xParse                // ParseComplete
	xBind                 // BindComplete
	xDescribe             // ParameterDescription, RowDescription or NoData
	xExecute              // rows, up to their completion
	xClose                // CloseComplete
	xReady                // ReadyForQuery of a Sync
	xSay                  // nothing: what is said in its place
)

type expected struct {
	kind      kind
	does      []sqltext.Statement
	next      int         // of does, the one that completes next
	text      *carry.Text // xParse, xClose: the statement
	client    bool        // xParse: the client asked for it, so it hears of it
	own       bool        // xClose, xParse: the client does not hear of it
	name      string      // the client's for the statement
	statement bool        // xDescribe: of a statement, which has two answers
	say       []byte
	closed    *carry.Text // xSay: the statement that the client closed, by its name
	then      func()      // xOwn: when it has gone well
}

const maxQueueOut = 20000

// dial opens a connection for a pool.
func (f *Front) dial(p *pool, store string) {
	addr := f.addrs[store]
	l := &link{f: f, pool: p, store: store, in: pgwire.NewReader(f.opt.MaxAnswer), params: map[string]string{},
		server: carry.NewServer(max(1, p.opt.Statements), max(1, p.opt.StatementBytes))}
	l.in.Stream(inParts)
	l.ref = f.links.Put(l)
	if addr == "" {
		f.loop.At(f.loop.Now(), func() { l.failed() })
		return
	}
	l.timer = f.loop.At(f.loop.Now()+f.opt.ConnectMs, func() {
		if !l.up {
			l.failed()
		}
	})
	f.loop.Dial(addr, f.opt.ConnectMs, l, func(err error) {
		f.log.Debug("pooling: connect", "store", store, "err", err)
		l.failed()
	})
}

// failed takes a connection out that never came up.
func (l *link) failed() {
	if l.closed || l.up {
		return
	}
	l.closed = true
	l.f.loop.Stop(l.timer)
	l.f.links.Drop(l.ref)
	l.pool.failed[l.store] = true
	if l.conn != nil {
		l.conn.Close()
	}
	l.f.do(l.pool, l.pool.share.Down(l.store, l.f.loop.Now()))
}

// Opened is loop's.
func (l *link) Opened(lc *loop.Conn) {
	l.conn = lc
	if l.closed {
		lc.Close()
		return
	}
	_ = lc.Write(pgwire.AppendStartup(nil, l.pool.key.user, l.pool.key.database))
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.in.Feed(b)
	for !l.closed {
		m, ok, err := l.in.Next()
		if err != nil {
			l.f.log.Warn("pooling: server broke the protocol", "store", l.store, "err", err)
			l.close()
			return
		}
		if !ok {
			break
		}
		if !l.up {
			l.welcome(m)
		} else {
			l.message(m)
		}
	}
	if c := l.owner; c != nil {
		c.flush()
	}
}

// welcome takes what comes before a connection is up.
func (l *link) welcome(m pgwire.Message) {
	switch m.Type {
	case 'R':
		if len(m.Body) < 4 || number(m.Body) != 0 {
			l.f.log.Warn("pooling: the server wants a password, which this pooler has not", "store", l.store)
			l.failed()
		}
	case 'S':
		if name, val, err := pgwire.Parameter(m.Body); err == nil {
			l.params[name] = val
			if !perAnswer(l.f, name) {
				l.f.params[name] = val
			}
		}
	case 'K':
		if len(m.Body) >= 8 {
			l.pid, l.secret = number(m.Body), number(m.Body[4:])
		}
	case 'Z':
		l.up = true
		l.f.loop.Stop(l.timer)
		delete(l.pool.failed, l.store)
		l.f.do(l.pool, l.pool.share.Up(l.id(), l.store, l.f.loop.Now()))
	case 'E':
		l.f.log.Debug("pooling: server turned a connection away", "store", l.store, "code", pgwire.ErrorCode(m.Body))
		l.failed()
	}
}

// perAnswer tells whether a parameter is told with each answer, and is no state of the session.
func perAnswer(f *Front, name string) bool { return name == "role" || name == f.opt.PositionName }

func (l *link) id() share.ID { return share.ID(refNumber(l.ref)) }

// message takes a message of a connection that is up.
func (l *link) message(m pgwire.Message) {
	switch m.Type {
	case 'S':
		l.parameter(m)
		return
	case 'N', 'A':
		if l.owner != nil && !l.ownTurn() {
			l.owner.out = append(l.owner.out, m.Raw...)
		}
		return
	case 'E':
		l.fault(m)
		return
	case 'Z':
		l.settled(m)
		return
	}
	if len(l.queue) == 0 {
		l.f.log.Warn("pooling: server sent what was not asked for", "store", l.store, "type", string(m.Type))
		l.close()
		return
	}
	if m.Part {
		l.stream(m)
		return
	}
	x := &l.queue[0]
	done, mere := false, x.kind != xQuery && x.kind != xExecute
	switch {
	case x.kind == xOwn:
		return
	case x.kind == xParse && m.Type == '1', x.kind == xClose && m.Type == '3':
		if x.own {
			l.pop()
			return
		}
		done = true
	case x.kind == xBind && m.Type == '2', x.kind == xDescribe && (m.Type == 'T' || m.Type == 'n'):
		done = true
	case x.kind == xDescribe && m.Type == 't', x.kind == xExecute && (m.Type == 'D' || m.Type == 'G' || m.Type == 'H' || m.Type == 'W' || m.Type == 'd' || m.Type == 'c'):
	case x.kind == xQuery && slices.Contains([]byte("TDGHWdc"), m.Type):
	case (x.kind == xQuery || x.kind == xExecute) && (m.Type == 'C' || m.Type == 'I' || m.Type == 's'):
		if c := l.owner; c != nil && m.Type != 's' && x.next < len(x.does) {
			tag, _ := pgwire.Text(m.Body)
			s := &x.does[x.next]
			mere = s.Kind == sqltext.Begin && x.next == 0
			x.next++
			c.did(s, tag)
		}
		done = x.kind == xExecute
	default:
		l.f.log.Warn("pooling: a message is not due", "store", l.store, "type", string(m.Type))
		l.close()
		return
	}
	l.say(m.Raw, mere)
	if m.More {
		l.stream(m)
	} else if done {
		l.pop()
	}
}

// ownTurn tells whether what comes now is due to the pooler's own text.
func (l *link) ownTurn() bool { return len(l.queue) > 0 && l.queue[0].kind == xOwn }

func (l *link) parameter(m pgwire.Message) {
	name, val, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	l.params[name] = val
	c := l.owner
	if c == nil || l.ownTurn() || perAnswer(l.f, name) {
		return
	}
	if c.params[name] != val {
		c.params[name] = val
		c.out = append(c.out, m.Raw...)
	}
}

// tellParams tells a client what its new connection reports otherwise than the one before. What its own settings
// change is reported in answer to them.
func (l *link) tellParams(c *client) {
	tell := func() {
		for _, n := range sortedKeys(l.params) {
			if v := l.params[n]; !perAnswer(l.f, n) && c.params[n] != v && len(c.params) < carry.MaxSettings {
				c.params[n] = v
				c.out = pgwire.AppendParameter(c.out, n, v)
			}
		}
	}
	if l.syncing == 0 {
		tell()
		return
	}
	x := &l.queue[len(l.queue)-1]
	then := x.then
	x.then = func() {
		if then != nil {
			then()
		}
		if l.owner == c {
			tell()
		}
	}
}

// stream takes note that a message comes in parts: nothing else may be said to its client before the end.
func (l *link) stream(m pgwire.Message) {
	c := l.owner
	if c == nil {
		return
	}
	if c.midst = m.More; m.Part {
		l.say(m.Raw, false)
	}
}

// say passes a message on to the client. What is mere, as it only prepares or begins, is held back for as long as all
// may be asked of another server.
func (l *link) say(b []byte, mere bool) {
	c := l.owner
	switch {
	case c == nil || c.txn != nil && c.txn.mute:
		return
	case mere && c.mayTell():
		c.pre = append(c.pre, b...)
		return
	}
	c.speaks()
	c.out = append(c.out, b...)
	if len(c.out) > muchUnsent {
		c.flush()
	}
}

// pop takes the answer that has come whole out, and says what stands behind it.
func (l *link) pop() {
	l.parsed(&l.queue[0], false)
	l.queue = l.queue[1:]
	l.speak()
}

// prepares tells whether it is not known yet whether a statement is prepared.
func (x *expected) prepares() bool {
	return x.kind == xParse && x.text != nil || x.kind == xSay && (x.client || x.closed != nil)
}

// parsed takes note that it is known whether a statement is prepared.
func (l *link) parsed(x *expected, failed bool) {
	due := x.prepares()
	l.owner.lower(x, failed)
	if !due {
		return
	}
	if l.parses--; l.parses == 0 && l.bound {
		l.bound = false
		if l.owner != nil {
			l.owner.soon()
		}
	}
}

// speak says what is due without the server's doing.
func (l *link) speak() {
	for len(l.queue) > 0 && l.queue[0].kind == xSay {
		x := l.queue[0]
		l.queue = l.queue[1:]
		l.parsed(&x, false)
		l.say(x.say, true)
	}
	if len(l.queue) == 0 {
		l.queue = nil
	}
}

// fault takes an error.
func (l *link) fault(m pgwire.Message) {
	if l.ownTurn() {
		l.f.log.Warn("pooling: a client's settings can't be had at a server", "store", l.store, "code", pgwire.ErrorCode(m.Body))
		l.broken = true
		if c := l.owner; c != nil { // its settings are not in force: nothing may run under others
			c.fatal(pgwire.ErrorCode(m.Body), "the session's settings cannot be carried to this server connection")
		}
		return
	}
	c := l.owner
	if c != nil {
		c.failed = true
	}
	if len(l.queue) == 0 { // of the server's own accord: its end
		if c != nil {
			c.out = append(c.out, m.Raw...)
		}
		return
	}
	// All up to the Sync is skipped by the server: what was to be prepared is not.
	pipeline := l.queue[0].kind != xQuery
	var dropped []expected
	for pipeline && len(l.queue) > 0 && l.queue[0].kind != xReady && l.queue[0].kind != xOwn {
		dropped = append(dropped, l.queue[0])
		l.queue = l.queue[1:]
	}
	for i := len(dropped) - 1; i >= 0; i-- { // undone from its end
		x := &dropped[i]
		if x.client && c != nil {
			c.carry.Unprepare(x.name)
		}
		if x.kind == xParse && x.text != nil {
			l.server.Drop(x.text)
		}
		if x.kind == xClose && x.text != nil {
			l.broken = true // it is still prepared there, uncounted
		}
		l.parsed(x, true)
	}
	l.skipping = pipeline && len(l.queue) == 0
	if pipeline && pgwire.ErrorCode(m.Body) == "0A000" { // a plan here is out of date: nobody else is to meet it
		l.broken = true
	}
	if c == nil {
		return
	}
	if r, again := l.unrun(c, m); again { // it surely did not run, and the client has heard nothing
		l.elsewhere(c, r)
		return
	}
	l.say(m.Raw, false)
}

// settled takes a ReadyForQuery.
func (l *link) settled(m pgwire.Message) {
	if len(m.Body) != 1 || len(l.queue) == 0 {
		l.close()
		return
	}
	x := l.queue[0]
	if x.kind != xQuery && x.kind != xReady && x.kind != xOwn {
		l.f.log.Warn("pooling: ReadyForQuery is not due", "store", l.store)
		l.close()
		return
	}
	l.queue = l.queue[1:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	if x.kind == xOwn {
		l.syncing--
		if x.then != nil && !l.broken {
			x.then()
		}
		if m.Body[0] != 'I' {
			l.broken = true
		}
		if c := l.owner; c != nil && l.syncing == 0 && c.conn != nil {
			l.f.loop.At(l.f.loop.Now(), c.proceed)
		}
	} else if c := l.owner; c != nil {
		c.ready(l, m.Body[0])
		c.flush() // by now the connection may be another's
	}
	l.speak()
	if l.waiting && l.syncing == 0 && l.cancels == 0 {
		l.waiting = false
		l.free()
	}
}

// expect files an answer that is due.
func (l *link) expect(x expected) {
	l.queue = append(l.queue, x)
	if x.prepares() {
		l.parses++
	}
	if len(l.queue) > maxQueueOut && l.owner != nil {
		l.owner.fatal("54000", "too many messages ahead of their answers")
	}
}

func (l *link) write(b []byte) {
	if !l.closed && l.conn != nil {
		_ = l.conn.Write(b) // a failed write closes the connection
	}
}

// own sends a text of the pooler's own.
func (l *link) own(sql string, then func()) {
	l.syncing++
	l.expect(expected{kind: xOwn, then: then})
	l.write(pgwire.AppendQuery(nil, sql))
}

// ensure has a statement prepared here.
func (l *link) ensure(t *carry.Text) {
	if l.server.Has(t) {
		return
	}
	l.evict(l.server.Add(t))
	l.f.Counts.Prepared++
	l.expect(expected{kind: xParse, text: t, own: true})
	l.write(pgwire.AppendParse(nil, t.Name(), t.SQL, t.Types))
}

// evict closes statements beyond what a connection may have prepared.
func (l *link) evict(old []*carry.Text) {
	for _, t := range old {
		l.expect(expected{kind: xClose, text: t, own: true})
		l.write(pgwire.AppendCloseStatement(nil, t.Name()))
	}
}

// stuffed tells whether the server does not take what it is sent.
func (l *link) stuffed() bool { return l.conn != nil && l.conn.Unsent() > muchUnsent }

// over tells whether nothing more may be sent here.
func (l *link) over() bool { return l.ends != 0 && l.f.loop.Now() >= l.ends }

// graceOver ends what is still open on a server that drains or is gone. An answer that is due may still come.
func (l *link) graceOver() {
	c := l.owner
	if l.closed || c == nil {
		return
	}
	if c.part() {
		return
	}
	if c.status != 'I' && len(l.queue) == 0 {
		c.fatal("57P01", "the server of this transaction is being taken out; nothing of it was committed")
		return
	}
	if c.status == 'I' && len(l.queue) == 0 && c.txn == nil { // a session between its transactions moves with its next one
		c.release()
	}
}

// committing tells whether a COMMIT, or a statement outside a transaction, waits for its answer.
func (l *link) committing() bool {
	for _, x := range l.queue {
		for _, s := range x.does {
			if s.Kind == sqltext.Commit {
				return true
			}
		}
	}
	return false
}

// told is what the last answer said of the server's role and position.
func (l *link) told() (role decide.Role, position float64, ok bool) {
	at := l.f.position(l.params[l.f.opt.PositionName])
	return l.f.role(l.params["role"]), at, at > 0
}

// written is the position of a write that was just committed here: as told, or else the present, which is no earlier.
func (l *link) written() float64 {
	if at := l.f.position(l.params[l.f.opt.PositionName]); at > 0 {
		return at
	}
	return math.Ceil(l.f.loop.Now())
}

// free gives the connection back to its pool, once nothing of the pooler's own is out there.
func (l *link) free() {
	switch {
	case l.closed:
	case l.broken || l.partial || l.ends != 0 || len(l.queue) > l.syncing:
		l.close()
	case l.cancels > 0:
		l.waiting = true
	case l.sullied: // a late cancel must hit nobody's query: it is outrun by one of the pooler's own
		l.sullied = false
		l.own("", nil)
		l.waiting = true
	case l.syncing > 0:
		l.waiting = true
	default:
		l.f.do(l.pool, l.pool.share.Free(l.id(), l.f.loop.Now()))
	}
}

// abandon gives up what runs here: the connection is closed and not used again.
func (l *link) abandon() {
	if c := l.owner; c != nil {
		l.owner = nil
		c.link = nil
	}
	l.close()
}

func (l *link) close() {
	if l.closed {
		return
	}
	if l.conn == nil {
		l.failed()
		return
	}
	l.conn.Close()
}

func (l *link) park() bool {
	if !l.closed && !l.parked {
		l.parked = l.conn.Park()
	}
	return l.parked
}

func (l *link) unpark() {
	if l.parked {
		l.parked = false
		l.conn.Unpark()
	}
}

// Closed is loop's.
func (l *link) Closed(error) {
	if l.closed {
		return
	}
	if !l.up {
		l.failed()
		return
	}
	unsent := l.conn.Unsent()
	l.closed = true
	l.server.Forgot()
	for i := range l.queue {
		l.owner.lower(&l.queue[i], false)
	}
	l.f.loop.Stop(l.timer)
	l.f.links.Drop(l.ref)
	c := l.owner
	l.owner = nil
	if c != nil {
		a := (*attempt)(nil)
		if c.txn != nil {
			a = c.txn.attempt
		}
		c.lost(l)
		if a != nil && !a.ended {
			again := !a.t.spoke
			a.link = nil
			r := decide.Reset
			if again && (unsent > 0 || a.t.harmless()) { // it never left whole, or whether it ran does not matter
				r = decide.Unreachable
			}
			if again && c.txn != nil {
				c.txn.on, c.txn.mute, c.pre = false, false, nil
			}
			l.f.end(a, r, l)
		}
		if !c.closed {
			c.flush()
		}
	}
	l.f.do(l.pool, l.pool.share.Lost(l.id(), l.f.loop.Now()))
}

// cancel passes a cancel request on to the server where the client's query runs now.
func (f *Front) cancel(pid, secret uint32) {
	c := f.keys[pid]
	if c != nil && c.secret == secret && c.page != nil {
		c.scatterCancel()
		return
	}
	if c == nil || c.secret != secret || c.link == nil || len(c.link.queue) == 0 || c.link.pid == 0 || f.cancels >= maxCancels {
		return
	}
	l := c.link
	f.Counts.Cancels++
	f.cancels++
	l.cancels++
	l.sullied = true
	done := func() {
		f.cancels--
		if l.cancels--; l.cancels == 0 && l.waiting && !l.closed {
			l.waiting = false
			l.free()
		}
	}
	f.loop.Dial(f.addrs[l.store], f.opt.ConnectMs, &canceller{link: l, done: done}, func(error) { done() })
}

// canceller is the connection that carries a cancel request; the server closes it when the request is worked on. The
// link is not given to another client before.
type canceller struct {
	link *link
	done func()
	over bool
}

// Opened is loop's.
func (k *canceller) Opened(lc *loop.Conn) {
	if err := lc.Write(pgwire.AppendCancel(nil, k.link.pid, k.link.secret)); err == nil {
		f := k.link.f
		f.loop.At(f.loop.Now()+f.opt.ConnectMs, lc.Close)
	}
}

// Data is loop's.
func (k *canceller) Data([]byte) {}

// Closed is loop's.
func (k *canceller) Closed(error) {
	if !k.over {
		k.over = true
		k.done()
	}
}
