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
	maxConnections   = 16      // connections; the one that has gone longest without a whole call makes room
	maxRequestBytes  = 8 << 10 // bytes of a call
	requestTimeoutMs = 5000    // until a call is whole
	closeDelayMs     = 250     // after the answer, for the caller to read it and go
)

// Response is what a call is told.
type Response struct {
	Status        int
	ContentType   string // of the body; empty for plain text
	AllowedMethod string // the method that the path has, with 405
	Body          []byte
}

// Handler carries calls out. It is called on the loop.
type Handler interface {
	Handle(method, path string, query url.Values) Response
}

// Server takes operators' calls. It is for the loop alone.
type Server struct {
	loop        *eventloop.Loop
	log         *slog.Logger
	handler     Handler
	connections list.List // of connections, the oldest first
}

// New makes a door.
func New(loop *eventloop.Loop, log *slog.Logger, handler Handler) *Server {
	return &Server{loop: loop, log: log, handler: handler}
}

// Connections is the number of connections.
func (server *Server) Connections() int { return server.connections.Len() }

// Accept makes the handler of a new connection.
func (server *Server) Accept() eventloop.Handler { return &connection{server: server} }

// connection is a connection; it is the loop's Handler.
type connection struct {
	server   *Server
	conn     *eventloop.Conn
	element  *list.Element
	timer    *timers.Timer
	input    []byte
	answered bool // it has its answer
}

// Opened is loop's.
func (c *connection) Opened(conn *eventloop.Conn) {
	server := c.server
	c.conn = conn
	if server.connections.Len() >= maxConnections {
		server.connections.Front().Value.(*connection).conn.Close()
	}
	c.element = server.connections.PushBack(c)
	c.timer = server.loop.At(server.loop.Now()+requestTimeoutMs, func() { c.respond(Response{Status: http.StatusRequestTimeout}) })
}

// Data is loop's.
func (c *connection) Data(b []byte) {
	if c.answered { // one call to a connection: what follows is dropped
		return
	}
	if c.input = append(c.input, b...); len(c.input) > maxRequestBytes {
		c.respond(Response{Status: http.StatusRequestHeaderFieldsTooLarge})
		return
	}
	if !bytes.Contains(c.input, []byte("\r\n\r\n")) && !bytes.Contains(c.input, []byte("\n\n")) {
		return // not whole yet
	}
	switch request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.input))); {
	case err != nil:
		c.respond(Response{Status: http.StatusBadRequest, Body: []byte(err.Error() + "\n")})
	case request.ContentLength != 0:
		c.respond(Response{Status: http.StatusRequestEntityTooLarge, Body: []byte("a call has no body\n")})
	default:
		c.respond(c.server.handler.Handle(request.Method, request.URL.Path, request.URL.Query()))
	}
}

// respond ends the call.
func (c *connection) respond(response Response) {
	if c.answered || c.conn == nil {
		return
	}
	c.answered, c.input = true, nil
	server := c.server
	if response.Status >= http.StatusBadRequest {
		server.log.Debug("control: turned away", "status", response.Status)
	}
	if len(response.Body) == 0 {
		response.Body = []byte(http.StatusText(response.Status) + "\n")
	}
	if response.ContentType == "" {
		response.ContentType = "text/plain; charset=utf-8"
	}
	res := http.Response{StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(response.Body)), Body: io.NopCloser(bytes.NewReader(response.Body)),
		Header: http.Header{"Content-Type": {response.ContentType}, "Cache-Control": {"no-store"}}}
	if response.AllowedMethod != "" {
		res.Header.Set("Allow", response.AllowedMethod)
	}
	var out bytes.Buffer
	_ = res.Write(&out) // into memory
	server.loop.StopTimer(c.timer)
	if c.conn.Write(out.Bytes()) != nil {
		return
	}
	// A close with input unread would be a reset, which may overtake the answer.
	c.timer = server.loop.At(server.loop.Now()+closeDelayMs, c.conn.Close)
	if c.conn.Unsent() == 0 {
		_ = c.conn.CloseWrite()
	}
}

// Closed is loop's.
func (c *connection) Closed(error) {
	c.answered = true
	c.server.loop.StopTimer(c.timer)
	if c.element != nil {
		c.server.connections.Remove(c.element)
		c.element = nil
	}
}
