package scatter

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"beechgrade/internal/deadline"
	"beechgrade/internal/decide"
	"beechgrade/internal/fronts/scatter/run"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/pooling/carry"
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	f       *Front
	key     serverKey
	conn    *loop.Conn
	in      pgwire.Reader
	server  *carry.Server // what settings it has
	params  map[string]string
	pid     uint32
	secret  uint32
	up      bool
	closed  bool
	attempt *attempt
	part    *part // whose answer is due
	asked   bool  // its statement is out
	ready   int   // ReadyForQuery that are due: of settings, and of the statement
	syncs   func()
	first   bool // a row has come, or the end
	firstAt float64
	ended   bool // CommandComplete has come
	ending  bool // what still comes is dropped, up to ReadyForQuery
	broken  bool
	wasHit  bool // a cancel request went out
	hits    int  // ...and is not worked on yet
	rows    int  // of its answer
	stopped bool
	parked  bool
	busy    bool // in Data
	cols    columns
	timer   *deadline.Timer
}

// connect gives an attempt a connection.
func (f *Front) connect(a *attempt) {
	s := a.p.s
	k := serverKey{a.store, s.who.Database, s.who.User}
	for list := f.idle[k]; len(list) > 0; list = f.idle[k] {
		l := list[len(list)-1]
		f.idle[k] = list[:len(list)-1]
		f.loop.Stop(l.timer)
		if !l.closed {
			l.attempt, l.part = a, a.p
			a.p.granted(l)
			return
		}
	}
	if f.opt.Spare != nil && f.opt.Spare() < 1 {
		f.end(a, decide.Full, nil)
		return
	}
	l := &link{f: f, key: k, in: pgwire.NewReader(s.spec.longest()), params: map[string]string{}, server: carry.NewServer(1, 1024), attempt: a, part: a.p}
	f.conns++
	l.timer = f.loop.At(f.loop.Now()+f.opt.ConnectMs, l.failed)
	f.loop.Dial(f.addrs[k.store], f.opt.ConnectMs, l, func(err error) {
		f.log.Debug("scatter: connect", "store", k.store, "err", err)
		l.failed()
	})
}

// failed takes a connection out that never came up.
func (l *link) failed() {
	if l.up || l.closed {
		return
	}
	l.closed = true
	l.f.conns--
	l.f.loop.Stop(l.timer)
	if l.conn != nil {
		l.conn.Close()
	}
	if a := l.attempt; a != nil {
		l.f.end(a, decide.Unreachable, nil)
	}
}

// Opened is loop's.
func (l *link) Opened(c *loop.Conn) {
	l.conn = c
	if l.closed {
		c.Close()
		return
	}
	_ = c.Write(pgwire.AppendStartup(nil, l.key.user, l.key.database))
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.in.Feed(b)
	if l.stopped { // the merge has enough: what came with the last read stays here
		l.parked = l.conn.Park() // it may have been on its way back when it was stopped
		return
	}
	l.work()
}

// work takes the messages that are there, as far as the merge takes rows.
func (l *link) work() {
	l.busy = true
	for !l.closed && !l.stopped {
		m, ok, err := l.in.Next()
		if err != nil {
			l.f.log.Warn("scatter: server broke the protocol, or sent more than is taken", "store", l.key.store, "err", err)
			l.broke("it sent a longer row than is taken, or broke the protocol", false)
			l.close()
			break
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
	l.busy = false
	if l.closed {
		return
	}
	l.early()
	if s := l.of(); s != nil {
		s.reader.Flush()
	}
}

// earlyMs is how long an answer that has begun may take to tell the decision module of its server, at its end.
const earlyMs = 20

// early ends an attempt whose answer has begun and goes on for long: its rest is the run's.
func (l *link) early() {
	a := l.attempt
	if a == nil || !l.first || a.ended {
		return
	}
	if now := l.f.loop.Now(); l.firstAt == 0 {
		l.firstAt = now
	} else if now-l.firstAt > earlyMs || l.stopped {
		l.f.end(a, decide.OK, nil)
	}
}

// of is the scatter whose answer comes here, nil where nobody waits for it.
func (l *link) of() *Scatter {
	if l.part == nil || l.part.s.over {
		return nil
	}
	return l.part.s
}

func (l *link) welcome(m pgwire.Message) {
	switch m.Type {
	case 'R':
		if len(m.Body) < 4 || binary.BigEndian.Uint32(m.Body) != 0 {
			l.f.log.Warn("scatter: the server wants a password, which this pooler has not", "store", l.key.store)
			l.failed()
		}
	case 'S':
		l.parameter(m)
	case 'K':
		if len(m.Body) >= 8 {
			l.pid, l.secret = binary.BigEndian.Uint32(m.Body), binary.BigEndian.Uint32(m.Body[4:])
		}
	case 'E':
		l.failed()
	case 'Z':
		l.up = true
		l.f.loop.Stop(l.timer)
		if a := l.attempt; a == nil || a.ended {
			l.attempt, l.part = nil, nil
			l.rest()
			return
		}
		l.part.granted(l)
	}
}

func (l *link) parameter(m pgwire.Message) {
	if name, val, err := pgwire.Parameter(m.Body); err == nil && (len(l.params) < carry.MaxSettings || l.params[name] != "") {
		l.params[name] = val
	}
}

// ask sends a part's statement, behind what brings the client's settings over.
func (l *link) ask(p *part) error {
	s := p.s
	sql, vals, err := s.asked.Word(&s.spec.Order, &p.a.Place, p.a.Shard, p.a.Limit, len(s.bind.params))
	if err != nil {
		return err
	}
	var out []byte
	l.firstAt = 0
	l.asked, l.ready, l.rows, l.first, l.ended, l.ending = true, 1, 0, false, false, false
	if set := s.who.Settings.Sync(l.server); set != "" {
		out = pgwire.AppendQuery(out, set)
		l.ready++
		l.syncs = func() { s.who.Settings.Synced(l.server) }
	}
	out = pgwire.AppendParse(out, "", sql, s.types)
	out = pgwire.AppendBind(out, "", "", s.bind.with(vals))
	out = append(out, 'D', 0, 0, 0, 6, 'P', 0)
	out = append(out, 'E', 0, 0, 0, 9, 0, 0, 0, 0, 0)
	out = append(out, 'S', 0, 0, 0, 4)
	_ = l.conn.Write(out) // a failed write closes the connection
	return nil
}

// message takes a message of a connection that is up.
func (l *link) message(m pgwire.Message) {
	p := l.part
	switch {
	case m.Type == 'S':
		l.parameter(m)
	case m.Type == 'Z':
		l.settled()
	case m.Type == 'N' || m.Type == 'A' || l.ending || l.ready > 1:
		if m.Type == 'E' && l.ready > 1 {
			l.broken, l.ending = true, true
			l.broke("the session's settings can't be had there: "+pgwire.ErrorCode(m.Body), false)
		}
	case p == nil || !l.asked:
		l.close()
	case m.Type == 'E':
		l.fault(m)
	case m.Type == 'T':
		if err := p.s.described(l, m); err != nil {
			l.ending = true
			p.wrong(err)
		}
	case m.Type == 'D':
		l.first = true
		if l.rows++; p.over || l.rows > p.a.Limit { // more than was asked for, or given up: it is told to end
			l.finish()
			return
		}
		p.begins(l)
		p.s.row(l, p, m)
	case m.Type == 'C':
		l.first, l.ended = true, true
		p.begins(l)
		p.s.event(func(now float64) []run.Action { return p.s.run.Ended(p.a.Shard, p.a.Try, now) })
	case m.Type == '1' || m.Type == '2':
	default:
		l.broke("a message that is not due: "+strconv.Quote(string(m.Type)), true)
		l.close()
	}
}

// fault takes an error of the statement.
func (l *link) fault(m pgwire.Message) {
	code, p := pgwire.ErrorCode(m.Body), l.part
	l.ending = true
	if a := l.attempt; a != nil && !a.ended && !l.first {
		r := decide.OK // an answer, if not the one wished for
		switch code {
		case "25006", "72000":
			r = decide.Missed
		case "53300", "57P03":
			r = decide.Full
		}
		if r != decide.OK { // the module knows another one
			l.broken = true
			l.f.end(a, r, nil)
			return
		}
		l.first = true
	}
	again := false
	if len(code) == 5 {
		switch code[:2] {
		case "57", "58", "XX", "08", "53", "40", "55":
			again = true
		}
	}
	p.broke(code+" "+pgwire.ErrorDetail(m.Body), again)
}

// settled takes a ReadyForQuery.
func (l *link) settled() {
	if l.ready == 0 {
		l.close()
		return
	}
	if l.ready--; l.ready > 0 {
		if l.syncs != nil && !l.broken {
			l.syncs()
			l.syncs = nil
		}
		return
	}
	p := l.part
	if a := l.attempt; a != nil && !a.ended {
		l.f.end(a, decide.OK, l)
	}
	_, at, ok := l.said()
	if p != nil {
		position := int64(0)
		if ok {
			position = int64(at)
			l.f.opt.Checks.That(position >= p.a.Need, "scatter: no page is read at a server that is behind its cursor",
				func() string { return fmt.Sprintf("%s at %d, needed %d", l.key.store, position, p.a.Need) })
		}
		if p.link == l {
			if p.link = nil; !l.broken {
				p.s.event(func(now float64) []run.Action { return p.s.run.Settled(p.a.Shard, p.a.Try, position, now) })
			}
		}
	}
	l.attempt, l.part, l.asked, l.ending = nil, nil, false, false
	l.rest()
}

// said is what the last answer said of the server's role and position.
func (l *link) said() (decide.Role, float64, bool) {
	ms, err := strconv.ParseInt(l.params[l.f.opt.PositionName], 10, 64)
	ok := err == nil && ms > 0 && float64(ms) <= l.f.loop.Now()+100
	if !ok {
		ms = 0
	}
	return l.f.role(l.params["role"]), float64(ms), ok
}

// finish has an answer that nobody wants any more end: soon by itself, or by a cancel request.
func (l *link) finish() {
	if l.ending || l.closed {
		return
	}
	l.ending = true
	l.resume()
	if l.ended {
		return
	}
	p := l.part
	l.f.loop.At(l.f.loop.Now()+cancelMs, func() {
		if l.part == p && l.asked && !l.closed && l.ready > 0 {
			l.cancel()
		}
	})
	l.f.loop.At(l.f.loop.Now()+drainMs, func() {
		if l.part == p && l.asked && !l.closed {
			l.close()
		}
	})
}

// cancel passes a cancel request to the server.
func (l *link) cancel() {
	f := l.f
	if l.pid == 0 || f.cancels >= mostCancels {
		l.close()
		return
	}
	f.Counts.Cancels++
	f.cancels++
	l.hits++
	l.wasHit = true
	done := func() {
		f.cancels--
		if l.hits--; l.hits == 0 && !l.asked && !l.closed && l.part == nil {
			l.rest()
		}
	}
	f.loop.Dial(f.addrs[l.key.store], f.opt.ConnectMs, &canceller{l: l, done: done}, func(error) { done() })
}

// canceller is the connection that carries a cancel request.
type canceller struct {
	l    *link
	done func()
	over bool
}

// Opened is loop's.
func (k *canceller) Opened(c *loop.Conn) {
	if err := c.Write(pgwire.AppendCancel(nil, k.l.pid, k.l.secret)); err == nil {
		f := k.l.f
		f.loop.At(f.loop.Now()+f.opt.ConnectMs, c.Close)
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

// rest files a connection that nobody uses. A cancel that is still on its way must hit nobody's statement, so that connection is closed.
func (l *link) rest() {
	f := l.f
	switch {
	case l.closed:
	case l.hits > 0: // until it is worked on
	case l.broken || l.wasHit || f.barred[l.key.store]:
		l.close()
	default:
		f.idle[l.key] = append(f.idle[l.key], l)
		l.timer = f.loop.At(f.loop.Now()+idleMs, l.close)
	}
}

// drop gives up a connection: one that works on something is closed.
func (l *link) drop() {
	l.attempt = nil
	if l.ending && l.asked { // it was told to end
		return
	}
	if l.asked && l.up && !l.broken { // the server is told
		l.finish()
		return
	}
	if l.part = nil; l.asked || !l.up {
		l.close()
		return
	}
	l.rest()
}

func (l *link) close() {
	switch {
	case l.closed:
	case l.conn == nil || !l.up:
		l.failed()
	default:
		l.conn.Close()
	}
}

// park has nothing more be read here.
func (l *link) park() {
	if !l.parked && !l.closed && l.conn != nil {
		l.parked = l.conn.Park()
	}
}

// stop has the merge take no more rows from here.
func (l *link) stop() {
	if !l.stopped && !l.ending {
		l.stopped = true
		l.park()
	}
}

// resume ends stop.
func (l *link) resume() {
	if !l.stopped {
		return
	}
	l.stopped = false
	if l.parked {
		l.parked = false
		l.conn.Unpark()
	}
	l.f.loop.At(l.f.loop.Now(), func() {
		if !l.closed && !l.stopped && !l.busy {
			l.work()
		}
	})
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
	l.closed = true
	f := l.f
	f.conns--
	f.loop.Stop(l.timer)
	for i, x := range f.idle[l.key] {
		if x == l {
			f.idle[l.key] = append(f.idle[l.key][:i:i], f.idle[l.key][i+1:]...)
			break
		}
	}
	p, a := l.part, l.attempt
	l.part, l.attempt = nil, nil
	ours, out := p != nil && p.link == l, a != nil && !a.ended
	if ours {
		p.link = nil
	}
	if out {
		a.link = nil
	}
	switch {
	case ours && l.ended: // all its rows are here: asked again it would only tell where another server stands
		if out {
			f.end(a, decide.OK, nil)
		}
	case ours: // rows of it are with the merge: the run asks anew, from behind them, and the module must not ask this one again
		if out {
			a.lost = true
		}
		p.broke("its server's connection broke", true)
		if out {
			f.end(a, decide.Reset, nil)
		}
	case out && !l.asked:
		f.end(a, decide.Unreachable, nil)
	case out:
		f.end(a, decide.Reset, nil)
	}
}

// broke tells of an answer that came to nothing, unless the part's is another attempt's.
func (l *link) broke(why string, again bool) {
	if p := l.part; p != nil && !p.over && (!p.begun || p.link == l) {
		p.broke(why, again)
	}
}
