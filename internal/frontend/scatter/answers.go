package scatter

import (
	"beechgrade/internal/eventloop/clock"
	"fmt"
	"strconv"

	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/protocol/pgwire"
)

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
		p.s.event(func(now float64) []execution.Action { return p.s.run.Ended(p.a.Shard, p.a.Try, now) })
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
			r = decide.Misdirected
		case "53300", "57P03":
			r = decide.Overloaded
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
				p.s.event(func(now float64) []execution.Action { return p.s.run.Settled(p.a.Shard, p.a.Try, position, now) })
			}
		}
	}
	l.attempt, l.part, l.asked, l.ending = nil, nil, false, false
	l.first, l.ended = false, false // another part may wait on this connection before it is sent there: none of this is its answer
	l.rest()
}

// said is what the last answer said of the server's role and position.
func (l *link) said() (decide.Role, float64, bool) {
	ms, err := strconv.ParseInt(l.params[l.f.opt.PositionName], 10, 64)
	ok := err == nil && clock.Plausible(float64(ms), l.f.loop.Now())
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
