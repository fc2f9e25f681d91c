package scatter

import (
	"encoding/binary"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// connect gives an attempt a connection.
func (f *Front) connect(a *attempt) {
	s := a.p.s
	k := serverKey{a.store, s.who.Database, s.who.User}
	for list := f.idle[k]; len(list) > 0; list = f.idle[k] {
		l := list[len(list)-1]
		f.idle[k] = list[:len(list)-1]
		f.loop.StopTimer(l.timer)
		if !l.closed {
			l.attempt, l.part = a, a.p
			a.p.granted(l)
			return
		}
	}
	if f.opt.Spare != nil && f.opt.Spare() < 1 {
		f.end(a, decide.Overloaded, nil)
		return
	}
	l := &link{f: f, key: k, in: pgwire.NewReader(s.spec.longest()), params: map[string]string{}, server: sessionstate.NewServer(1, 1024), attempt: a, part: a.p}
	f.conns++
	l.timer = f.loop.At(f.loop.Now()+f.opt.ConnectMs, func() { l.failed(decide.Unreachable) })
	f.loop.Dial(f.addrs[k.store], f.opt.ConnectMs, l, func(err error) {
		f.log.Debug("scatter: connect", "store", k.store, "err", err)
		if eventloop.IsLocalError(err) { // it says nothing about the server
			l.failed(decide.NotSent)
			return
		}
		l.failed(decide.Unreachable)
	})
}

// failed takes a connection out that never came up.
func (l *link) failed(result decide.Result) {
	if l.up || l.closed {
		return
	}
	l.closed = true
	l.f.conns--
	l.f.loop.StopTimer(l.timer)
	if l.conn != nil {
		l.conn.Close()
	}
	if a := l.attempt; a != nil {
		l.f.end(a, result, nil)
	}
}

// Opened is loop's.
func (l *link) Opened(c *eventloop.Conn) {
	l.conn = c
	if l.closed {
		c.Close()
		return
	}
	_ = c.Write(pgwire.AppendStartup(nil, l.key.user, l.key.database))
}

func (l *link) welcome(m pgwire.Message) {
	switch m.Type {
	case 'R':
		if len(m.Body) < 4 || binary.BigEndian.Uint32(m.Body) != 0 {
			l.f.log.Warn("scatter: the server wants a password, which this pooler has not", "store", l.key.store)
			l.failed(decide.Unreachable)
		}
	case 'S':
		l.parameter(m)
	case 'K':
		if len(m.Body) >= 8 {
			l.pid, l.secret = binary.BigEndian.Uint32(m.Body), binary.BigEndian.Uint32(m.Body[4:])
		}
	case 'E':
		l.failed(decide.Unreachable)
	case 'Z':
		l.up = true
		l.f.loop.StopTimer(l.timer)
		if a := l.attempt; a == nil || a.ended {
			l.attempt, l.part = nil, nil
			l.rest()
			return
		}
		l.part.granted(l)
	}
}

func (l *link) parameter(m pgwire.Message) {
	if name, val, err := pgwire.Parameter(m.Body); err == nil && (len(l.params) < sessionstate.MaxSettings || l.params[name] != "") {
		l.params[name] = val
	}
}
