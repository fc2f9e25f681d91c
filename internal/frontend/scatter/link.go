package scatter

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// link is a connection to a server; it is the loop's Handler.
type link struct {
	f       *Front
	key     serverKey
	conn    *eventloop.Conn
	in      pgwire.Reader
	server  *sessionstate.Server // what settings it has
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
	timer   *timers.Timer
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.in.Feed(b)
	if l.stopped { // the merge has enough: what came with the last read stays here
		l.parked = l.conn.PauseReading() // it may have been on its way back when it was stopped
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

// ask sends a part's statement, behind what brings the client's settings over.
func (l *link) ask(p *part) error {
	s := p.s
	sql, vals, err := s.asked.Word(&s.spec.Order, &p.a.Place, p.a.Shard, p.a.Limit, len(s.bind.Params))
	if err != nil {
		return err
	}
	var out []byte
	l.firstAt = 0
	l.asked, l.ready, l.rows, l.first, l.ended, l.ending = true, 1, 0, false, false, false
	if set := s.who.Settings.SyncQuery(l.server); set != "" {
		out = pgwire.AppendQuery(out, set)
		l.ready++
		l.syncs = func() { s.who.Settings.Synced(l.server) }
	}
	out = pgwire.AppendParse(out, "", sql, s.types)
	out = pgwire.AppendBind(out, "", "", s.bind.With(vals))
	out = append(out, 'D', 0, 0, 0, 6, 'P', 0)
	out = append(out, 'E', 0, 0, 0, 9, 0, 0, 0, 0, 0)
	out = append(out, 'S', 0, 0, 0, 4)
	_ = l.conn.Write(out) // a failed write closes the connection
	return nil
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
		l.failed(decide.Unreachable)
	default:
		l.conn.Close()
	}
}

// park has nothing more be read here.
func (l *link) park() {
	if !l.parked && !l.closed && l.conn != nil {
		l.parked = l.conn.PauseReading()
	}
}

// readOn ends park, once what has been read is worked off: what is read before that adds to what is held.
func (l *link) readOn() {
	if l.parked && !l.stopped && !l.closed {
		l.parked = false
		l.conn.ResumeReading()
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
	l.f.loop.At(l.f.loop.Now(), func() {
		if !l.closed && !l.stopped && !l.busy {
			l.work()
		}
		l.readOn()
	})
}

// Closed is loop's.
func (l *link) Closed(error) {
	if l.closed {
		return
	}
	if !l.up {
		l.failed(decide.Unreachable)
		return
	}
	l.closed = true
	f := l.f
	f.conns--
	f.loop.StopTimer(l.timer)
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
