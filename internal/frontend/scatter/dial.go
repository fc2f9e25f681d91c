package scatter

import (
	"encoding/binary"

	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// connIdleMs is how long a connection may be idle before it is closed.
const connIdleMs = 30000

// Limits of the prepared statements of a server's session. They are minimal, as scattered reads use only the unnamed statement.
const (
	maxStatements     = 1
	maxStatementBytes = 1024
)

// connect assigns an idle connection to an attempt, or opens one.
func (f *Frontend) connect(a *attempt) {
	r := a.part.page
	key := connKey{server: a.server, database: r.caller.Database, user: r.caller.User}
	if l := f.takeIdle(key); l != nil {
		l.attempt = a
		l.part = a.part
		a.part.connected(l)
		return
	}
	if f.options.SpareDescriptors != nil && f.options.SpareDescriptors() < 1 {
		f.endAttempt(a, decide.Overloaded, nil)
		return
	}
	l := &link{
		frontend: f,
		key:      key,
		input:    pgwire.NewReader(r.spec.maxMessageBytes()),
		params:   map[string]string{},
		settings: sessionstate.NewServer(maxStatements, maxStatementBytes),
		attempt:  a,
		part:     a.part,
	}
	f.conns++
	l.timer = f.loop.At(f.loop.Now()+f.options.ConnectTimeoutMs, func() { l.dialFailed(decide.Unreachable) })
	f.loop.Dial(f.addresses[key.server], f.options.ConnectTimeoutMs, l, func(err error) {
		f.log.Debug("scatter: connecting to a server failed", "server", key.server, "err", err)
		if eventloop.IsLocalError(err) { // the server is not at fault
			l.dialFailed(decide.NotSent)
			return
		}
		l.dialFailed(decide.Unreachable)
	})
}

// takeIdle removes and returns the most recently used idle connection, or returns nil.
func (f *Frontend) takeIdle(key connKey) *link {
	for links := f.idle[key]; len(links) > 0; links = f.idle[key] {
		l := links[len(links)-1]
		f.idle[key] = links[:len(links)-1]
		f.loop.StopTimer(l.timer)
		if l.clean() {
			return l
		}
		l.close()
	}
	return nil
}

// dialFailed removes a connection whose startup was not completed, and ends its attempt with the result.
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
	if l.attempt != nil {
		l.frontend.endAttempt(l.attempt, result, nil)
	}
}

// Opened implements eventloop.Handler.
func (l *link) Opened(conn *eventloop.Conn) {
	l.conn = conn
	if l.closed {
		conn.Close()
		return
	}
	_ = conn.Write(pgwire.AppendStartup(nil, l.key.user, l.key.database)) // a failed write closes the connection
}

// handleStartup handles a message that the server sends before its first ReadyForQuery.
func (l *link) handleStartup(m pgwire.Message) {
	switch m.Type {
	case 'R':
		if len(m.Body) < 4 || binary.BigEndian.Uint32(m.Body) != 0 {
			l.frontend.log.Warn("scatter: dropping a connection: the server requires authentication, which the pooler does not support", "server", l.key.server)
			l.dialFailed(decide.Unreachable)
		}
	case 'S':
		l.setParameter(m)
	case 'K':
		if len(m.Body) >= 8 {
			l.pid = binary.BigEndian.Uint32(m.Body)
			l.secret = binary.BigEndian.Uint32(m.Body[4:])
		}
	case 'E':
		l.dialFailed(decide.Unreachable)
	case 'Z':
		l.startupCompleted()
	}
}

func (l *link) startupCompleted() {
	l.ready = true
	l.frontend.loop.StopTimer(l.timer)
	if l.attempt == nil || l.attempt.ended {
		l.attempt = nil
		l.part = nil
		l.release()
		return
	}
	l.part.connected(l)
}

// setParameter stores a ParameterStatus. The number of stored parameters is limited.
func (l *link) setParameter(m pgwire.Message) {
	name, value, err := pgwire.Parameter(m.Body)
	if err != nil {
		return
	}
	if len(l.params) < sessionstate.MaxSettings || l.params[name] != "" {
		l.params[name] = value
	}
}
