package pooling

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// dial opens a connection for a pool.
func (f *Frontend) dial(p *pool, store string) {
	addr := f.addresses[store]
	l := &link{frontend: f, pool: p, serverID: store, input: pgwire.NewReader(f.options.MaxAnswer), params: map[string]string{},
		state: sessionstate.NewServer(max(1, p.options.Statements), max(1, p.options.StatementBytes))}
	l.input.Stream(streamThreshold)
	l.ref = f.links.Put(l)
	if addr == "" {
		f.eventLoop.At(f.eventLoop.Now(), func() { l.failed() })
		return
	}
	l.timer = f.eventLoop.At(f.eventLoop.Now()+f.options.ConnectMs, func() {
		if !l.ready {
			l.failed()
		}
	})
	f.eventLoop.Dial(addr, f.options.ConnectMs, l, func(err error) {
		f.log.Debug("pooling: connect", "store", store, "err", err)
		l.failed()
	})
}

// failed takes a connection out that never came up.
func (l *link) failed() {
	if l.closed || l.ready {
		return
	}
	l.closed = true
	l.frontend.eventLoop.StopTimer(l.timer)
	l.frontend.links.Remove(l.ref)
	l.pool.failed[l.serverID] = true
	if l.conn != nil {
		l.conn.Close()
	}
	l.frontend.execute(l.pool, l.pool.conns.DialFailed(l.serverID, l.frontend.eventLoop.Now()))
}

// Opened is loop's.
func (l *link) Opened(lc *eventloop.Conn) {
	l.conn = lc
	if l.closed {
		lc.Close()
		return
	}
	_ = lc.Write(pgwire.AppendStartup(nil, l.pool.key.user, l.pool.key.database))
}

// Data is loop's.
func (l *link) Data(b []byte) {
	l.input.Feed(b)
	for !l.closed {
		m, ok, err := l.input.Next()
		if err != nil {
			l.frontend.log.Warn("pooling: server broke the protocol", "store", l.serverID, "err", err)
			l.close()
			return
		}
		if !ok {
			break
		}
		if !l.ready {
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
			l.frontend.log.Warn("pooling: the server wants a password, which this pooler has not", "store", l.serverID)
			l.failed()
		}
	case 'S':
		if name, val, err := pgwire.Parameter(m.Body); err == nil {
			l.params[name] = val
			if !perAnswer(l.frontend, name) {
				l.frontend.params[name] = val
			}
		}
	case 'K':
		if len(m.Body) >= 8 {
			l.pid, l.secret = number(m.Body), number(m.Body[4:])
		}
	case 'Z':
		l.ready = true
		l.frontend.eventLoop.StopTimer(l.timer)
		delete(l.pool.failed, l.serverID)
		l.frontend.execute(l.pool, l.pool.conns.Opened(l.id(), l.serverID, l.frontend.eventLoop.Now()))
	case 'E':
		l.frontend.log.Debug("pooling: server turned a connection away", "store", l.serverID, "code", pgwire.ErrorCode(m.Body))
		l.failed()
	}
}

// perAnswer tells whether a parameter is told with each answer, and is no state of the session.
func perAnswer(f *Frontend, name string) bool {
	return name == "role" || name == f.options.PositionName
}

func (l *link) id() connpool.ID { return connpool.ID(refNumber(l.ref)) }
