package scatter

import (
	"encoding/binary"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// connect gives an attempt a connection.
func (f *Frontend) connect(a *attempt) {
	s := a.part.scatter
	k := connKey{a.server, s.caller.Database, s.caller.User}
	for list := f.idle[k]; len(list) > 0; list = f.idle[k] {
		l := list[len(list)-1]
		f.idle[k] = list[:len(list)-1]
		f.loop.StopTimer(l.timer)
		if !l.closed {
			l.attempt, l.part = a, a.part
			a.part.connected(l)
			return
		}
	}
	if f.options.SpareDescriptors != nil && f.options.SpareDescriptors() < 1 {
		f.endAttempt(a, decide.Overloaded, nil)
		return
	}
	l := &link{frontend: f, key: k, input: pgwire.NewReader(s.spec.maxMessageBytes()), params: map[string]string{}, settings: sessionstate.NewServer(1, 1024), attempt: a, part: a.part}
	f.conns++
	l.timer = f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, func() { l.dialFailed(decide.Unreachable) })
	f.loop.Dial(f.addresses[k.server], f.options.ConnectTimeoutMs, l, func(err error) {
		f.log.Debug("scatter: connect", "store", k.server, "err", err)
		if eventloop.IsLocalError(err) { // it says nothing about the server
			l.dialFailed(decide.NotSent)
			return
		}
		l.dialFailed(decide.Unreachable)
	})
}

// dialFailed takes a connection out that never came up.
func (l *link) dialFailed(result decide.Result) {
	if l.ready || l.closed {
		return
	}
	l.closed = true
	l.frontend.conns--
	l.frontend.loop.StopTimer(l.timer)
	if l.conn != nil {
		l.conn.Close()
	}
	if a := l.attempt; a != nil {
		l.frontend.endAttempt(a, result, nil)
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

func (l *link) startupMessage(m pgwire.Message) {
	switch m.Type {
	case 'R':
		if len(m.Body) < 4 || binary.BigEndian.Uint32(m.Body) != 0 {
			l.frontend.log.Warn("scatter: the server wants a password, which this pooler has not", "store", l.key.server)
			l.dialFailed(decide.Unreachable)
		}
	case 'S':
		l.parameter(m)
	case 'K':
		if len(m.Body) >= 8 {
			l.pid, l.secret = binary.BigEndian.Uint32(m.Body), binary.BigEndian.Uint32(m.Body[4:])
		}
	case 'E':
		l.dialFailed(decide.Unreachable)
	case 'Z':
		l.ready = true
		l.frontend.loop.StopTimer(l.timer)
		if a := l.attempt; a == nil || a.ended {
			l.attempt, l.part = nil, nil
			l.release()
			return
		}
		l.part.connected(l)
	}
}

func (l *link) parameter(m pgwire.Message) {
	if name, val, err := pgwire.Parameter(m.Body); err == nil && (len(l.params) < sessionstate.MaxSettings || l.params[name] != "") {
		l.params[name] = val
	}
}
