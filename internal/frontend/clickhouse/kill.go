package clickhouse

import (
	"net/url"
	"strings"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

const (
	maxPendingKills = 64 // KILL QUERY requests at a time
	killTimeoutMs   = 2000
	graceMarginMs   = 40 // nothing is sent to a draining server in the last graceMarginMs of its grace period
)

// killConn is a connection that sends one KILL QUERY request. It implements eventloop.Handler.
type killConn struct {
	frontend *Frontend
	conn     *eventloop.Conn
	message  []byte
	timer    *timers.Timer
	done     bool
}

// kill sends KILL QUERY for a query whose connection the pooler has closed: the server may not detect the close until it writes.
func (f *Frontend) kill(s *server, r *request) {
	if r == nil || !f.mayKill(s) {
		return
	}
	k := &killConn{frontend: f, message: appendKillRequest(nil, r)}
	f.pendingKills++
	f.conns++
	k.timer = f.loop.At(f.loop.Now()+killTimeoutMs, k.end)
	f.loop.Dial(s.address, f.options.ConnectTimeoutMs, k, func(error) { k.end() })
}

// mayKill reports whether KILL QUERY may be sent to a server. A draining server may receive it only within its grace period, like any
// request.
func (f *Frontend) mayKill(s *server) bool {
	if !f.options.KillQueries || s.address == "" {
		return false
	}
	if s.drainedAt != 0 && f.loop.Now() >= s.drainedAt+f.options.DrainGraceMs-graceMarginMs {
		return false
	}
	return f.pendingKills < maxPendingKills && f.options.SpareDescriptors() > 0
}

// appendKillRequest appends the HTTP request that kills a query, with the credentials of that query.
func appendKillRequest(dst []byte, r *request) []byte {
	queryID := strings.NewReplacer("\\", "\\\\", "'", "\\'").Replace(r.queryID)
	params := url.Values{"query": {"KILL QUERY WHERE query_id = '" + queryID + "' ASYNC"}}
	for _, name := range []string{"user", "password"} {
		if value := r.params.Get(name); value != "" {
			params.Set(name, value)
		}
	}
	dst = append(dst, "POST /?"...)
	dst = append(dst, params.Encode()...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	credentials := httpwire.Head{}
	for _, field := range r.head.Headers {
		switch strings.ToLower(field.Name) {
		case "host", "authorization", "x-clickhouse-user", "x-clickhouse-key":
			credentials.Headers = append(credentials.Headers, field)
		}
	}
	dst = credentials.AppendFields(dst)
	return append(dst, "Content-Length: 0\r\nConnection: close\r\n\r\n"...)
}

// Opened implements eventloop.Handler.
func (k *killConn) Opened(conn *eventloop.Conn) {
	k.conn = conn
	if k.done {
		conn.Close()
		return
	}
	_ = conn.Write(k.message) // a failed write closes the connection
}

// Data implements eventloop.Handler. It ignores the content of the answer.
func (k *killConn) Data([]byte) { k.end() }

// Closed implements eventloop.Handler.
func (k *killConn) Closed(error) { k.end() }

func (k *killConn) end() {
	if k.done {
		return
	}
	k.done = true
	k.frontend.pendingKills--
	k.frontend.conns--
	k.frontend.loop.StopTimer(k.timer)
	if k.conn != nil {
		k.conn.Close()
	}
}
