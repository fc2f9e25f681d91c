package clickhouse

import (
	"net/url"
	"strings"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/httpwire"
)

// Bounds of KILL QUERY beside a connection that is closed.
const (
	maxKills      = 64 // on their way at once
	killTimeoutMs = 2000
)

// killer is a connection that carries one KILL QUERY; it is the loop's Handler.
type killer struct {
	frontend *Frontend
	conn     *eventloop.Conn
	request  []byte
	timer    *timers.Timer
	done     bool
}

// kill asks a server to end a query whose connection has been closed here: it may not see that until it writes. It counts as a
// send: none goes to a server whose drain's grace is over.
func (f *Frontend) kill(s *server, r *request) {
	if !f.options.KillQueries || r == nil || s.address == "" || f.kills >= maxKills || f.options.SpareDescriptors() <= 0 {
		return
	}
	if s.drainedAt != 0 && f.loop.Now() >= s.drainedAt+f.options.DrainGraceMs-graceMarginMs {
		return
	}
	quoted := strings.NewReplacer("\\", "\\\\", "'", "\\'").Replace(r.queryID)
	v := url.Values{"query": {"KILL QUERY WHERE query_id = '" + quoted + "' ASYNC"}}
	for _, name := range []string{"user", "password"} { // as it came itself
		if x := r.params.Get(name); x != "" {
			v.Set(name, x)
		}
	}
	k := &killer{frontend: f, request: append([]byte("POST /?"), v.Encode()...)}
	k.request = append(k.request, " HTTP/1.1\r\n"...)
	h := httpwire.Head{}
	for _, x := range r.head.Headers {
		switch strings.ToLower(x.Name) {
		case "host", "authorization", "x-clickhouse-user", "x-clickhouse-key":
			h.Headers = append(h.Headers, x)
		}
	}
	k.request = append(h.AppendFields(k.request), "Content-Length: 0\r\nConnection: close\r\n\r\n"...)
	f.kills++
	f.conns++
	k.timer = f.loop.At(f.loop.Now()+killTimeoutMs, k.end)
	f.loop.Dial(s.address, f.options.ConnectTimeoutMs, k, func(error) { k.end() })
}

const graceMarginMs = 40 // ms before a grace's end at which nothing more is sent

// Opened is loop's.
func (k *killer) Opened(c *eventloop.Conn) {
	k.conn = c
	if k.done {
		c.Close()
		return
	}
	_ = c.Write(k.request)
}

// Data is loop's: whatever the answer is, nobody waits for it.
func (k *killer) Data([]byte) { k.end() }

// Closed is loop's.
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
