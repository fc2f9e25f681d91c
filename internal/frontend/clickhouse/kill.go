package clickhouse

import (
	"net/url"
	"strings"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

const (
	maxKills      = 64 // KILL QUERYs on their way
	killTimeoutMs = 2000
	graceMarginMs = 40 // before the end of a draining server's grace, nothing more is sent to it
)

// killer is a connection that sends one KILL QUERY. It implements eventloop.Handler.
type killer struct {
	frontend *Frontend
	conn     *eventloop.Conn
	message  []byte
	timer    *timers.Timer
	done     bool
}

// kill has a server end a query whose connection was closed here: the server may not detect that until it writes.
func (f *Frontend) kill(s *server, r *request) {
	if r == nil || !f.mayKill(s) {
		return
	}
	k := &killer{frontend: f, message: appendKill(nil, r)}
	f.kills++
	f.conns++
	k.timer = f.loop.At(f.loop.Now()+killTimeoutMs, k.end)
	f.loop.Dial(s.address, f.options.ConnectTimeoutMs, k, func(error) { k.end() })
}

// mayKill reports whether a KILL QUERY may be sent to a server. A draining server may receive it within its grace, as any request.
func (f *Frontend) mayKill(s *server) bool {
	if !f.options.KillQueries || s.address == "" {
		return false
	}
	if s.drainedAt != 0 && f.loop.Now() >= s.drainedAt+f.options.DrainGraceMs-graceMarginMs {
		return false
	}
	return f.kills < maxKills && f.options.SpareDescriptors() > 0
}

// appendKill appends the request of a KILL QUERY for a query, with the credentials of that.
func appendKill(dst []byte, r *request) []byte {
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
func (k *killer) Opened(conn *eventloop.Conn) {
	k.conn = conn
	if k.done {
		conn.Close()
		return
	}
	_ = conn.Write(k.message) // a failed write closes the connection
}

// Data implements eventloop.Handler. The answer is of no interest.
func (k *killer) Data([]byte) { k.end() }

// Closed implements eventloop.Handler.
func (k *killer) Closed(error) { k.end() }

func (k *killer) end() {
	if k.done {
		return
	}
	k.done = true
	k.frontend.kills--
	k.frontend.conns--
	k.frontend.loop.StopTimer(k.timer)
	if k.conn != nil {
		k.conn.Close()
	}
}
