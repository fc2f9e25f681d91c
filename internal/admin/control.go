// Package admin is the door for operators: HTTP/1.1 at an address of its own, one call to a connection. It reads calls
// and bounds callers; what a call does is the Desk's.
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"io"
	"log/slog"
	"net/http"
	"net/url"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
)

// Bounds on callers.
const (
	maxCallers = 16      // connections; the one that has gone longest without a whole call makes room
	maxHead    = 8 << 10 // bytes of a call
	headMs     = 5000    // until a call is whole
	lingerMs   = 250     // after the answer, for the caller to read it and go
)

// Answer is what a call is told.
type Answer struct {
	Status int
	Type   string // of the body; empty for plain text
	Allow  string // the method that the path has, with 405
	Body   []byte
}

// Desk carries calls out. It is called on the loop.
type Desk interface {
	Call(method, path string, query url.Values) Answer
}

// Door takes operators' calls. It is for the loop alone.
type Door struct {
	loop    *eventloop.Loop
	log     *slog.Logger
	desk    Desk
	callers list.List // of connections, the oldest first
}

// New makes a door.
func New(l *eventloop.Loop, log *slog.Logger, desk Desk) *Door {
	return &Door{loop: l, log: log, desk: desk}
}

// Callers is the number of connections.
func (d *Door) Callers() int { return d.callers.Len() }

// Accept makes the handler of a new connection.
func (d *Door) Accept() eventloop.Handler { return &caller{door: d} }

// caller is a connection; it is the loop's Handler.
type caller struct {
	door  *Door
	conn  *eventloop.Conn
	at    *list.Element
	timer *timers.Timer
	in    []byte
	said  bool // it has its answer
}

// Opened is loop's.
func (c *caller) Opened(conn *eventloop.Conn) {
	d := c.door
	c.conn = conn
	if d.callers.Len() >= maxCallers {
		d.callers.Front().Value.(*caller).conn.Close()
	}
	c.at = d.callers.PushBack(c)
	c.timer = d.loop.At(d.loop.Now()+headMs, func() { c.answer(Answer{Status: http.StatusRequestTimeout}) })
}

// Data is loop's.
func (c *caller) Data(b []byte) {
	if c.said { // one call to a connection: what follows is dropped
		return
	}
	if c.in = append(c.in, b...); len(c.in) > maxHead {
		c.answer(Answer{Status: http.StatusRequestHeaderFieldsTooLarge})
		return
	}
	if !bytes.Contains(c.in, []byte("\r\n\r\n")) && !bytes.Contains(c.in, []byte("\n\n")) {
		return // not whole yet
	}
	switch r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.in))); {
	case err != nil:
		c.answer(Answer{Status: http.StatusBadRequest, Body: []byte(err.Error() + "\n")})
	case r.ContentLength != 0:
		c.answer(Answer{Status: http.StatusRequestEntityTooLarge, Body: []byte("a call has no body\n")})
	default:
		c.answer(c.door.desk.Call(r.Method, r.URL.Path, r.URL.Query()))
	}
}

// answer ends the call.
func (c *caller) answer(a Answer) {
	if c.said || c.conn == nil {
		return
	}
	c.said, c.in = true, nil
	d := c.door
	if a.Status >= http.StatusBadRequest {
		d.log.Debug("control: turned away", "status", a.Status)
	}
	if len(a.Body) == 0 {
		a.Body = []byte(http.StatusText(a.Status) + "\n")
	}
	if a.Type == "" {
		a.Type = "text/plain; charset=utf-8"
	}
	res := http.Response{StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(a.Body)), Body: io.NopCloser(bytes.NewReader(a.Body)),
		Header: http.Header{"Content-Type": {a.Type}, "Cache-Control": {"no-store"}}}
	if a.Allow != "" {
		res.Header.Set("Allow", a.Allow)
	}
	var out bytes.Buffer
	_ = res.Write(&out) // into memory
	d.loop.StopTimer(c.timer)
	if c.conn.Write(out.Bytes()) != nil {
		return
	}
	// A close with input unread would be a reset, which may overtake the answer.
	c.timer = d.loop.At(d.loop.Now()+lingerMs, c.conn.Close)
	if c.conn.Unsent() == 0 {
		_ = c.conn.CloseWrite()
	}
}

// Closed is loop's.
func (c *caller) Closed(error) {
	c.said = true
	c.door.loop.StopTimer(c.timer)
	if c.at != nil {
		c.door.callers.Remove(c.at)
		c.at = nil
	}
}
