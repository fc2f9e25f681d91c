// Package clickhouse is a front and the connections behind it for the ClickHouse HTTP interface: each query is a request to
// the decision module, like any other front's, and its answer streams through in bounded memory.
//
// Until a server's answer begins, the module may try again, by its classes' rules; from then on the answer is that server's.
package clickhouse

import (
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"

	"beechgrade/internal/backend"
	"beechgrade/internal/clickhouse/limits"
	"beechgrade/internal/front"
	"beechgrade/internal/httpwire"
	"beechgrade/internal/loop"
	"beechgrade/internal/slots"
)

// Names of the classes that the front's requests are of.
const (
	ReadClass  = "clickhouse-reads"
	WriteClass = "clickhouse-writes"
)

// Options are the front's. Times are in milliseconds.
type Options struct {
	Group     int // whose servers are ClickHouse's
	MostBody  int // bytes of a query's body
	Deadline  float64
	ConnectMs float64
	IdleMs    float64 // a connection to a server idle for so long is closed
	ClientMs  float64 // ...and a client's
	HeadMs    float64 // a client has so long for its head and body once begun
	Kill      bool    // KILL QUERY goes out beside a connection that is closed in the midst of a query
	GraceMs   float64 // for sends to a server, from the list's word that it drains
	Name      string  // of the pooler, in ids of queries that come without one
	Rules     []Rule  // the first that matches counts
	Users     map[string]limits.Limits
	Others    limits.Limits // of users that are not named
	Spare     func() int    // descriptors left
	Memory    func() int    // bytes that all clients' bodies may take
}

const (
	firstRef   = 1 << 30 // attempts' refs have this bit, so that they differ from the other fronts'
	muchUnsent = 256 << 10
	littleLeft = 64 << 10
	lookMs     = 10 // between looks at whether a slow reader has read
	sweepMs    = 500
	heldPart   = 8 // of the memory, clients' queries may take 1 in so many
)

// Front is the front. It is for the loop alone.
type Front struct {
	loop     *loop.Loop
	log      *slog.Logger
	opt      Options
	desk     front.Desk
	events   backend.Events
	clients  slots.Table[*client]
	attempts slots.Table[*attempt]
	stores   map[string]*store
	gate     *limits.Gate
	waiting  map[limits.ID]*request
	serving  *link // whose answer the core is being told of
	number   uint64
	began    float64
	conns    int
	kills    int
	held     int
	draining bool
}

// New makes a front.
func New(l *loop.Loop, log *slog.Logger, opt Options, desk front.Desk, events backend.Events) *Front {
	return &Front{loop: l, log: log, opt: opt, desk: desk, events: events, stores: map[string]*store{}, began: l.Now(),
		gate: limits.New(opt.Users, opt.Others), waiting: map[limits.ID]*request{}}
}

// Start begins the sweeps; it is for the loop.
func (f *Front) Start() {
	f.loop.At(f.loop.Now()+sweepMs, func() {
		f.sweep()
		f.Start()
	})
}

// beat turns away what has waited for its turn for too long.
func (f *Front) beat() {
	for _, id := range f.gate.Beat(f.loop.Now()) {
		if r := f.waiting[id]; r != nil {
			delete(f.waiting, id)
			r.gated = 0
			r.c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "it has waited for too long behind others of its user; it has not run", 1)
		}
	}
}

// leave gives a request's place up, and lets in who comes next.
func (f *Front) leave(r *request) {
	if r.gated == 0 {
		return
	}
	id := r.gated
	r.gated = 0
	delete(f.waiting, id)
	for _, next := range f.gate.Leave(id) {
		if o := f.waiting[next]; o != nil {
			delete(f.waiting, next)
			o.c.ask(o)
		}
	}
}

// sweep closes clients that idle for too long, or do not get on with what they have begun.
func (f *Front) sweep() {
	now := f.loop.Now()
	var late []*client
	f.clients.Each(func(_ slots.Ref, c *client) {
		begun := len(c.in) > 0 || c.head != nil
		if c.req == nil && (begun && now-c.since > f.opt.HeadMs || !begun && now-c.since > f.opt.ClientMs) {
			late = append(late, c)
		}
	})
	for _, c := range late {
		c.conn.Close()
	}
}

// Accept makes the handler of a new connection.
func (f *Front) Accept() loop.Handler {
	c := &client{f: f, since: f.loop.Now()}
	c.ref = f.clients.Put(c)
	return c
}

// Sessions is the number of clients connected; Conns that of connections to servers.
func (f *Front) Sessions() int { return f.clients.Len() }

// Conns is the number of connections to servers.
func (f *Front) Conns() int { return f.conns }

// Unsent is how many bytes clients have not read yet.
func (f *Front) Unsent() (n int) {
	f.clients.Each(func(_ slots.Ref, c *client) {
		if c.conn != nil {
			n += c.conn.Unsent()
		}
	})
	return n
}

// Waiting is how many queries wait for their turn behind others of their user.
func (f *Front) Waiting() int { return len(f.waiting) }

// Owes tells whether a client waits for an answer, or has not read all of one.
func (f *Front) Owes() bool {
	owes := false
	f.clients.Each(func(_ slots.Ref, c *client) { owes = owes || c.req != nil || c.conn != nil && c.conn.Unsent() > 0 })
	return owes
}

// Drain closes clients' connections as they fall idle, from now on.
func (f *Front) Drain() {
	f.draining = true
	var idle []*client
	f.clients.Each(func(_ slots.Ref, c *client) {
		if c.req == nil && len(c.in) == 0 && c.conn != nil {
			idle = append(idle, c)
		}
	})
	for _, c := range idle {
		c.conn.Close()
	}
}

// client is a client's connection; it is the loop's Handler.
type client struct {
	f      *Front
	ref    slots.Ref
	conn   *loop.Conn
	in     []byte
	head   *httpwire.Head // of the request whose body is coming in
	body   httpwire.Body
	raw    []byte
	data   []byte
	req    *request // the one that waits for its answer, or whose answer comes
	since  float64  // idle, or in the midst of a request: since then
	leaves bool     // it is closed behind its answer
	closed bool
	going  *request // whose answer it left in its midst
	held   int      // bytes of it that are kept
}

// Opened is loop's.
func (c *client) Opened(lc *loop.Conn) {
	c.conn = lc
	if c.f.opt.Spare() <= 0 || c.f.draining {
		c.say(503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many clients", 1)
		lc.Close()
	}
}

// Data is loop's.
func (c *client) Data(b []byte) {
	if c.closed || c.leaves && c.req == nil {
		return
	}
	if len(c.in) == 0 && c.req == nil && c.head == nil {
		c.since = c.f.loop.Now()
	}
	c.in = append(c.in, b...)
	c.hold(len(b))
	if f := c.f; f.held > f.opt.Memory()/heldPart {
		c.end(503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too much is waiting here already")
		return
	}
	if len(c.in) > c.f.opt.MostBody+httpwire.MaxHead {
		c.end(413, codeBadRequest, "BAD_ARGUMENTS", "too much was sent ahead, or the body is too long")
		return
	}
	c.proceed()
}

// hold counts bytes that are kept of a client, and gives back those that are not any more.
func (c *client) hold(n int) {
	c.held += n
	c.f.held += n
}

// take has so many bytes of what came taken.
func (c *client) take(n int) {
	c.in = c.in[:copy(c.in, c.in[n:])]
	if len(c.in) == 0 {
		c.in = nil
	}
}

// proceed takes the requests that are there, one after the other: answers keep their order.
func (c *client) proceed() {
	for !c.closed && c.req == nil && !c.leaves {
		if c.head == nil {
			h, n, err := httpwire.Parse(c.in, true)
			switch {
			case errors.Is(err, httpwire.ErrTooLong):
				c.end(431, codeBadRequest, "BAD_ARGUMENTS", err.Error())
				return
			case errors.Is(err, httpwire.ErrUnsupported):
				c.end(501, codeUnsupported, "UNSUPPORTED_METHOD", err.Error())
				return
			case err != nil:
				c.end(400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
				return
			case n == 0:
				return
			case h.Length > int64(c.f.opt.MostBody):
				c.end(413, codeBadRequest, "BAD_ARGUMENTS", fmt.Sprintf("a body of %d bytes; at most %d are taken", h.Length, c.f.opt.MostBody))
				return
			}
			c.take(n)
			c.head, c.body, c.raw, c.data = h, httpwire.RequestBody(h), nil, nil
			if h.Has("Expect", "100-continue") && !c.body.Done() && len(c.in) == 0 {
				_ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
				if c.closed {
					return
				}
			}
		}
		n, err := c.body.Next(c.in, func(p []byte) { c.data = append(c.data, p...) })
		c.raw = append(c.raw, c.in[:n]...)
		c.take(n)
		if err != nil {
			c.end(400, codeBadRequest, "BAD_ARGUMENTS", err.Error())
			return
		}
		if len(c.raw) > c.f.opt.MostBody {
			c.end(413, codeBadRequest, "BAD_ARGUMENTS", "the body is too long")
			return
		}
		if !c.body.Done() {
			return
		}
		h := c.head
		c.head = nil
		c.put(h)
	}
}

// put takes a whole request.
func (c *client) put(h *httpwire.Head) {
	c.leaves = h.Close || c.f.draining
	path, rawQuery, _ := strings.Cut(h.Target, "?")
	params, err := url.ParseQuery(rawQuery)
	r := &request{c: c, head: h, raw: c.raw}
	c.raw = nil
	c.req = r
	switch {
	case err != nil || !strings.HasPrefix(path, "/"):
		c.complain(r, 400, codeBadRequest, "BAD_ARGUMENTS", "the URL cannot be read", 0)
		return
	case path == "/ping", path == "/" && (h.Method == "GET" || h.Method == "HEAD") && params.Get("query") == "" && len(c.data) == 0:
		c.plain(r, 200, "Ok.\n")
		return
	case h.Method != "GET" && h.Method != "HEAD" && h.Method != "POST" && h.Method != "PUT":
		c.complain(r, 501, codeUnsupported, "UNSUPPORTED_METHOD", "GET, HEAD, POST and PUT are taken", 0)
		return
	case params.Get("session_id") != "":
		c.complain(r, 501, codeUnsupported, "UNSUPPORTED_METHOD", "session_id is not supported: queries of one session may go to several servers", 0)
		return
	}
	known := params.Get("decompress") == "" && h.Get("Content-Encoding") == ""
	r.reads = Reads(h.Method, params, c.data, known)
	class, deadline, target := c.f.class(h, path, rawQuery, params, r.reads)
	h.Target = target
	c.data = nil
	now := c.f.loop.Now()
	r.due = now + deadline
	if ms := limit(params); ms > 0 {
		r.due = min(r.due, now+ms)
	}
	c.f.number++
	r.number, r.class, r.params = c.f.number, class, params
	if r.query = params.Get("query_id"); r.query == "" { // one is made, so that it can be found at the server
		r.query = fmt.Sprintf("%s-%x-%d", c.f.opt.Name, uint64(c.f.began), r.number)
		sep := "?"
		if strings.Contains(h.Target, "?") {
			sep = "&"
		}
		h.Target += sep + "query_id=" + url.QueryEscape(r.query)
	}
	id := limits.ID(r.number)
	user := User(h, params)
	switch c.f.gate.Enter(id, user, now) {
	case limits.In:
		r.gated = id
		c.ask(r)
	case limits.Waits:
		r.gated = id
		c.f.waiting[id] = r
		c.f.loop.At(now+c.f.gate.Wait(user)+1, c.f.beat)
	case limits.TooMany:
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "too many queries of this user run and wait; it has not run", 1)
	default:
		c.complain(r, 503, codeTooMany, "TOO_MANY_SIMULTANEOUS_QUERIES", "queries of this user come too fast; it has not run", 1)
	}
}

// ask puts a request to the decision module.
func (c *client) ask(r *request) {
	ref, err := c.f.desk.Ask(front.Request{ID: "ch-" + strconv.FormatUint(r.number, 36), Class: r.class, Group: c.f.opt.Group, Due: r.due, Query: r}, r)
	if err != nil {
		c.f.log.Error("clickhouse", "err", err)
		c.complain(r, 500, codeNetwork, "NETWORK_ERROR", "the pooler could not take the query", 0)
		return
	}
	r.ref, r.asked = ref, true
}

// Closed is loop's: a client that goes ends its query, in whatever phase that is.
func (c *client) Closed(error) {
	if c.closed {
		return
	}
	c.closed = true
	c.hold(-c.held)
	c.f.clients.Drop(c.ref)
	if r := c.req; r != nil {
		c.req = nil
		switch {
		case r.link != nil:
			c.going = r
			r.link.abandon()
		case !r.over:
			r.over = true
			if r.asked {
				c.f.desk.Gone(r.ref)
			}
		}
		c.f.leave(r)
	}
}

// finish ends an answer, and takes the next request.
func (c *client) finish() {
	if r := c.req; r != nil {
		defer c.f.leave(r)
	}
	c.req = nil
	c.since = c.f.loop.Now()
	if c.closed {
		return
	}
	c.hold(len(c.in) - c.held)
	if c.leaves {
		c.conn.Close()
		return
	}
	c.proceed()
}

// complain answers with an exception in ClickHouse's form.
func (c *client) complain(r *request, status, code int, name, text string, retryS int) {
	if r.over || c.closed {
		return
	}
	r.over = true
	c.say(status, code, name, text, retryS)
	c.finish()
}

func (c *client) say(status, code int, name, text string, retryS int) {
	body := fmt.Sprintf("Code: %d. DB::Exception: %s. (%s) (beechgrade)\n", code, text, name)
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=UTF-8\r\nX-ClickHouse-Exception-Code: %d\r\nContent-Length: %d\r\n", status, reasons[status], code, len(body))
	if retryS > 0 {
		out = fmt.Appendf(out, "Retry-After: %d\r\n", retryS)
	}
	out = append(out, c.connection()...)
	if c.req == nil || c.req.head.Method != "HEAD" {
		out = append(out, body...)
	}
	_ = c.conn.Write(out)
}

var reasons = map[int]string{400: "Bad Request", 413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// connection is the field that says whether the connection stays, with the head's end.
func (c *client) connection() string {
	if c.leaves {
		return "Connection: close\r\n\r\n"
	}
	return "Connection: keep-alive\r\n\r\n"
}

// plain answers by itself.
func (c *client) plain(r *request, status int, body string) {
	r.over = true
	out := fmt.Appendf(nil, "HTTP/1.1 %d OK\r\nContent-Type: text/html; charset=UTF-8\r\nContent-Length: %d\r\n%s", status, len(body), c.connection())
	if r.head.Method != "HEAD" {
		out = append(out, body...)
	}
	_ = c.conn.Write(out)
	c.finish()
}

// end answers what cannot be understood, and closes: nobody knows where the next request begins.
func (c *client) end(status, code int, name, text string) {
	c.leaves = true
	c.say(status, code, name, text, 0)
	if !c.closed {
		c.conn.Close()
	}
}
