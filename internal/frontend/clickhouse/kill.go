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
	maxKills = 64 // on their way at once
	killMs   = 2000
)

// killer is a connection that carries one KILL QUERY; it is the loop's Handler.
type killer struct {
	f     *Front
	conn  *eventloop.Conn
	out   []byte
	timer *timers.Timer
	over  bool
}

// kill asks a server to end a query whose connection has been closed here: it may not see that until it writes. It counts as a
// send: none goes to a server whose drain's grace is over.
func (f *Front) kill(s *store, r *request) {
	if !f.opt.Kill || r == nil || s.addr == "" || f.kills >= maxKills || f.opt.Spare() <= 0 {
		return
	}
	if s.barredAt != 0 && f.loop.Now() >= s.barredAt+f.opt.GraceMs-graceMargin {
		return
	}
	quoted := strings.NewReplacer("\\", "\\\\", "'", "\\'").Replace(r.query)
	v := url.Values{"query": {"KILL QUERY WHERE query_id = '" + quoted + "' ASYNC"}}
	for _, name := range []string{"user", "password"} { // as it came itself
		if x := r.params.Get(name); x != "" {
			v.Set(name, x)
		}
	}
	k := &killer{f: f, out: append([]byte("POST /?"), v.Encode()...)}
	k.out = append(k.out, " HTTP/1.1\r\n"...)
	h := httpwire.Head{}
	for _, x := range r.head.Headers {
		switch strings.ToLower(x.Name) {
		case "host", "authorization", "x-clickhouse-user", "x-clickhouse-key":
			h.Headers = append(h.Headers, x)
		}
	}
	k.out = append(h.AppendFields(k.out), "Content-Length: 0\r\nConnection: close\r\n\r\n"...)
	f.kills++
	f.conns++
	k.timer = f.loop.At(f.loop.Now()+killMs, k.end)
	f.loop.Dial(s.addr, f.opt.ConnectMs, k, func(error) { k.end() })
}

const graceMargin = 40 // ms before a grace's end at which nothing more is sent

// Opened is loop's.
func (k *killer) Opened(c *eventloop.Conn) {
	k.conn = c
	if k.over {
		c.Close()
		return
	}
	_ = c.Write(k.out)
}

// Data is loop's: whatever the answer is, nobody waits for it.
func (k *killer) Data([]byte) { k.end() }

// Closed is loop's.
func (k *killer) Closed(error) { k.end() }

func (k *killer) end() {
	if k.over {
		return
	}
	k.over = true
	k.f.kills--
	k.f.conns--
	k.f.loop.StopTimer(k.timer)
	if k.conn != nil {
		k.conn.Close()
	}
}
