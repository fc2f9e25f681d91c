package pooling

import (
	"encoding/binary"

	"beechgrade/internal/backend/reuse"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// roleParameter is the parameter with which a server reports its role.
const roleParameter = "role"

// Sizes of parts of a server's startup messages, in bytes.
const (
	int32Bytes      = 4
	backendKeyBytes = 8
)

// dial opens a connection to a server for a pool.
func (f *Frontend) dial(p *pool, server string) {
	l := &link{
		frontend: f,
		pool:     p,
		serverID: server,
		input:    pgwire.NewReader(f.options.MaxAnswer),
		params:   map[string]string{},
		state:    sessionstate.NewServer(max(1, p.options.Statements), max(1, p.options.StatementBytes)),
	}
	l.input.Stream(streamThreshold)
	l.ref = f.links.Put(l)
	addr := f.addresses[server]
	if addr == "" {
		f.eventLoop.At(f.now(), l.dialFailed)
		return
	}
	l.timer = f.eventLoop.At(f.now()+f.options.ConnectMs, l.dialFailed)
	f.eventLoop.Dial(addr, f.options.ConnectMs, l, func(err error) {
		f.log.Debug("pooling: connecting to server failed", "server", server, "err", err)
		l.dialFailed()
	})
}

// dialFailed removes a connection that could not be established. It does nothing if the connection is ready or closed.
func (l *link) dialFailed() {
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
	l.frontend.execute(l.pool, l.pool.conns.DialFailed(l.serverID, l.frontend.now()))
}

// Opened implements eventloop.Handler.
func (l *link) Opened(conn *eventloop.Conn) {
	l.conn = conn
	if l.closed {
		conn.Close()
		return
	}
	conn.LimitReads(eventloop.SmallReads)
	_ = conn.Write(pgwire.AppendStartup(nil, l.pool.key.user, l.pool.key.database))
}

// Data implements eventloop.Handler.
func (l *link) Data(b []byte) {
	l.input.Feed(b)
	for !l.closed {
		m, ok, err := l.input.Next()
		if err != nil {
			l.frontend.log.Warn("pooling: server violated the protocol, closing the connection", "server", l.serverID, "err", err)
			l.close()
			return
		}
		if !ok {
			break
		}
		if l.ready {
			l.message(m)
		} else {
			l.startupMessage(m)
		}
	}
	if l.owner != nil {
		l.owner.flush()
	} else if l.isResting() && l.input.Pending() > 0 {
		l.logDropped(reuse.Input)
		l.close()
	}
}

// startupMessage handles a message from the server before the connection is ready.
func (l *link) startupMessage(m pgwire.Message) {
	switch m.Type {
	case pgwire.Authentication:
		if len(m.Body) < int32Bytes || binary.BigEndian.Uint32(m.Body) != 0 {
			l.frontend.log.Warn("pooling: server requires a password, which this pooler does not have", "server", l.serverID)
			l.dialFailed()
		}
	case pgwire.ParameterStatus:
		l.startupParameter(m)
	case pgwire.BackendKeyData:
		if len(m.Body) >= backendKeyBytes {
			l.pid = binary.BigEndian.Uint32(m.Body)
			l.secret = binary.BigEndian.Uint32(m.Body[int32Bytes:])
		}
	case pgwire.ReadyForQuery:
		if l.input.Pending() > 0 {
			l.frontend.log.Warn("pooling: server sent data behind its startup, closing the connection", "server", l.serverID)
			l.dialFailed()
			return
		}
		l.ready = true
		l.frontend.eventLoop.StopTimer(l.timer)
		delete(l.pool.failed, l.serverID)
		l.frontend.execute(l.pool, l.pool.conns.Opened(l.id(), l.serverID, l.frontend.now()))
	case pgwire.ErrorResponse:
		l.frontend.log.Debug("pooling: server rejected a connection", "server", l.serverID, "code", pgwire.ErrorCode(m.Body))
		l.dialFailed()
	}
}

func (l *link) startupParameter(m pgwire.Message) {
	name, value, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	l.params[name] = value
	if !l.frontend.isPerAnswer(name) {
		l.frontend.params[name] = value
	}
}

// isPerAnswer reports whether servers report a parameter with each answer, so that it is not state of the session.
func (f *Frontend) isPerAnswer(name string) bool {
	return name == roleParameter || name == f.options.PositionName
}
