package pooling

import (
	"beechgrade/internal/eventloop"
	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// dial opens a connection for a pool.
func (f *Front) dial(p *pool, store string) {
	addr := f.addrs[store]
	l := &link{f: f, pool: p, store: store, in: pgwire.NewReader(f.opt.MaxAnswer), params: map[string]string{},
		server: sessionstate.NewServer(max(1, p.opt.Statements), max(1, p.opt.StatementBytes))}
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
	l.f.loop.StopTimer(l.timer)
	l.f.links.Remove(l.ref)
	l.pool.failed[l.store] = true
	if l.conn != nil {
		l.conn.Close()
	}
	l.f.do(l.pool, l.pool.share.Down(l.store, l.f.loop.Now()))
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
		l.f.loop.StopTimer(l.timer)
		delete(l.pool.failed, l.store)
		l.f.do(l.pool, l.pool.share.Up(l.id(), l.store, l.f.loop.Now()))
	case 'E':
		l.f.log.Debug("pooling: server turned a connection away", "store", l.store, "code", pgwire.ErrorCode(m.Body))
		l.failed()
	}
}

// perAnswer tells whether a parameter is told with each answer, and is no state of the session.
func perAnswer(f *Front, name string) bool { return name == "role" || name == f.opt.PositionName }

func (l *link) id() connpool.ID { return connpool.ID(refNumber(l.ref)) }
