// Package admin serves the admin endpoint: HTTP/1.1 at an address of its own, one request per connection. A Server reads requests, and
// bounds the number of connections, the size of a request and the time that it may take. A Handler handles the requests.
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

// Bounds of connections.
const (
	maxConnections   = 16 // a further connection closes the oldest one
	maxRequestBytes  = 8 << 10
	requestTimeoutMs = 5000 // until a request is complete
	closeDelayMs     = 250  // after the response, for the client to read it and to close
)

// Response is the response to a request.
type Response struct {
	Status        int
	ContentType   string // empty for plain text
	AllowedMethod string // sent as the Allow header, with status 405; empty for none
	Body          []byte // empty for the standard text of the status
}

// Handler handles requests. It is called on the event loop.
type Handler interface {
	Handle(method, path string, query url.Values) Response
}

// Server serves the admin endpoint. It belongs to the event loop.
type Server struct {
	loop        *eventloop.Loop
	log         *slog.Logger
	handler     Handler
	connections list.List // of *connection, oldest first
}

// New returns a server. The caller listens, and calls Accept for each new connection.
func New(loop *eventloop.Loop, log *slog.Logger, handler Handler) *Server {
	return &Server{loop: loop, log: log, handler: handler}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.connections.Len() }

// Accept returns the handler of a new connection.
func (s *Server) Accept() eventloop.Handler { return &connection{server: s} }

// connection is one client's connection. The event loop calls it.
type connection struct {
	server   *Server
	conn     *eventloop.Conn
	element  *list.Element // in the server's connections
	timer    *timers.Timer
	input    []byte
	answered bool
}

// Opened adds the connection to the server, and starts the timeout of its request. It closes the oldest connection if there are too many.
func (c *connection) Opened(conn *eventloop.Conn) {
	server := c.server
	c.conn = conn
	if server.connections.Len() >= maxConnections {
		server.connections.Front().Value.(*connection).conn.Close()
	}
	c.element = server.connections.PushBack(c)
	c.timer = server.loop.At(server.loop.Now()+requestTimeoutMs, func() { c.respond(Response{Status: http.StatusRequestTimeout}) })
}

// Data adds bytes of the request, and handles it once it is complete. Bytes after the first request are ignored.
func (c *connection) Data(b []byte) {
	if c.answered {
		return
	}
	c.input = append(c.input, b...)
	if len(c.input) > maxRequestBytes {
		c.respond(Response{Status: http.StatusRequestHeaderFieldsTooLarge})
		return
	}
	if !isComplete(c.input) {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.input)))
	switch {
	case err != nil:
		c.respond(Response{Status: http.StatusBadRequest, Body: []byte(err.Error() + "\n")})
	case request.ContentLength != 0:
		c.respond(Response{Status: http.StatusRequestEntityTooLarge, Body: []byte("a call has no body\n")})
	default:
		c.respond(c.server.handler.Handle(request.Method, request.URL.Path, request.URL.Query()))
	}
}

// isComplete reports whether the head of a request is complete.
func isComplete(input []byte) bool {
	return bytes.Contains(input, []byte("\r\n\r\n")) || bytes.Contains(input, []byte("\n\n"))
}

// respond sends the response, and closes the connection closeDelayMs later: closing with unread input would send a reset, which the
// client may receive before the response.
func (c *connection) respond(response Response) {
	if c.answered || c.conn == nil {
		return
	}
	c.answered = true
	c.input = nil
	server := c.server
	if response.Status >= http.StatusBadRequest {
		server.log.Debug("admin: request rejected", "status", response.Status)
	}
	server.loop.StopTimer(c.timer)
	if c.conn.Write(response.encode()) != nil {
		return
	}
	c.timer = server.loop.At(server.loop.Now()+closeDelayMs, c.conn.Close)
	if c.conn.Unsent() == 0 {
		_ = c.conn.CloseWrite()
	}
}

// encode returns the response as it is sent.
func (r Response) encode() []byte {
	if len(r.Body) == 0 {
		r.Body = []byte(http.StatusText(r.Status) + "\n")
	}
	if r.ContentType == "" {
		r.ContentType = "text/plain; charset=utf-8"
	}
	response := http.Response{
		StatusCode:    r.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Close:         true,
		ContentLength: int64(len(r.Body)),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		Header:        http.Header{"Content-Type": {r.ContentType}, "Cache-Control": {"no-store"}},
	}
	if r.AllowedMethod != "" {
		response.Header.Set("Allow", r.AllowedMethod)
	}
	var out bytes.Buffer
	_ = response.Write(&out) // a bytes.Buffer never fails
	return out.Bytes()
}

// Closed removes the connection.
func (c *connection) Closed(error) {
	c.answered = true
	c.server.loop.StopTimer(c.timer)
	if c.element != nil {
		c.server.connections.Remove(c.element)
		c.element = nil
	}
}
