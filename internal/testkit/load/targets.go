package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/testkit/clients"
)

// Platform sends requests in the platform's protocol. It keeps idle connections, and opens more when all are busy.
type Platform struct {
	Addrs      []string
	Classes    []clients.Class
	DeadlineMs float64 // 0 for each class's deadline
	Seed       uint64

	mu   sync.Mutex
	idle map[string][]*clients.Conn // by address
	sent atomic.Uint64              // number of requests; their IDs and written values are derived from it
}

// maxIdle bounds the idle connections kept to one pooler.
const maxIdle = 2000

// Send implements Target.
func (p *Platform) Send(_ context.Context, request Request) Outcome {
	var class *clients.Class
	for i := range p.Classes {
		if p.Classes[i].Name == request.Class {
			class = &p.Classes[i]
		}
	}
	if class == nil {
		return Failed
	}
	number := p.sent.Add(1)
	addr := p.Addrs[int(request.Session%uint64(len(p.Addrs)))]
	conn, err := p.acquire(addr)
	if err != nil {
		return Broken
	}
	deadline := p.DeadlineMs
	if deadline <= 0 {
		deadline = class.Deadline
	}
	clientRequest := &clients.Request{Key: fmt.Sprintf("load-%d-%d", request.Group, request.Session), Group: request.Group}
	sql := clients.Statement(clientRequest, class, fmt.Sprintf("%016x", p.Seed<<40^number), number, 0, deadline)
	answer, err := conn.Query(sql, time.Duration(deadline*float64(time.Millisecond)))
	if err != nil {
		_ = conn.Close()
	} else {
		p.release(addr, conn)
	}
	return Outcome(answer.Kind)
}

// acquire returns an idle connection to a pooler, or opens one.
func (p *Platform) acquire(addr string) (*clients.Conn, error) {
	p.mu.Lock()
	if idle := p.idle[addr]; len(idle) > 0 {
		conn := idle[len(idle)-1]
		p.idle[addr] = idle[:len(idle)-1]
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	return clients.Dial(addr)
}

// release keeps a connection for further requests, or closes it if enough are idle.
func (p *Platform) release(addr string, conn *clients.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*clients.Conn{}
	}
	if len(p.idle[addr]) >= maxIdle {
		_ = conn.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], conn)
}

// Close closes the idle connections, so it is called after the last request.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
	p.idle = nil
}

// Pooling sends statements to the pooling frontend as a driver does: each session has a connection of its own, on which each
// statement is prepared once.
type Pooling struct {
	URL       string // postgres://user@host:port/database
	Read      string // a statement with one parameter, the session's key
	Write     string // a statement with two parameters, the key and a value
	TimeoutMs float64

	mu       sync.Mutex
	sessions map[uint64]*session
}

// session is a session with its connection, which is opened by the first statement and again after it was lost.
type session struct {
	mu         sync.Mutex // serializes the statements of a session
	conn       *pgx.Conn
	statements int // number of statements, which is also the value of a write
}

// Send implements Target.
func (p *Pooling) Send(ctx context.Context, request Request) Outcome {
	p.mu.Lock()
	if p.sessions == nil {
		p.sessions = map[uint64]*session{}
	}
	s := p.sessions[request.Session]
	if s == nil {
		s = &session{}
		p.sessions[request.Session] = s
	}
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.TimeoutMs*float64(time.Millisecond)))
	defer cancel()
	if s.conn == nil || s.conn.IsClosed() {
		conn, err := pgx.Connect(ctx, p.URL)
		if err != nil {
			return outcomeOf(err)
		}
		s.conn = conn
	}
	s.statements++
	key := fmt.Sprintf("load-%d", request.Session)
	var err error
	if request.Writes {
		_, err = s.conn.Exec(ctx, p.Write, key, fmt.Sprint(s.statements))
	} else {
		var rows pgx.Rows
		if rows, err = s.conn.Query(ctx, p.Read, key); err == nil {
			for rows.Next() {
			}
			err = rows.Err()
		}
	}
	return outcomeOf(err)
}

// outcomeOf returns the outcome of a statement that ended with the given error, nil for none. The pooler refuses with the SQLSTATEs
// 53300 (too_many_connections) and 57P03 (cannot_connect_now).
func outcomeOf(err error) Outcome {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return Served
	case errors.As(err, &pe) && (pe.Code == "53300" || pe.Code == "57P03"):
		return Refused
	case errors.As(err, &pe):
		return Failed
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return Unanswered
	}
	return Broken
}

// Close closes all connections.
func (p *Pooling) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, s := range p.sessions {
		if s.conn != nil {
			_ = s.conn.Close(ctx)
		}
	}
}

// ClickHouse sends queries to the ClickHouse frontend. Reads and writes have the given texts, in which the session's key replaces ?.
type ClickHouse struct {
	URL       string // http://user@host:port
	Read      string
	Write     string
	TimeoutMs float64

	once   sync.Once
	client *http.Client
}

// Send implements Target.
func (h *ClickHouse) Send(ctx context.Context, request Request) Outcome {
	h.once.Do(func() {
		h.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdle}}
	})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(h.TimeoutMs*float64(time.Millisecond)))
	defer cancel()
	sql := h.Read
	if request.Writes {
		sql = h.Write
	}
	sql = strings.ReplaceAll(sql, "?", fmt.Sprintf("load-%d", request.Session))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL, strings.NewReader(sql))
	if err != nil {
		return Failed
	}
	req.Header.Set(clients.ClassField, request.Class)
	res, err := h.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	switch {
	case ctx.Err() != nil:
		return Unanswered
	case err != nil:
		return Broken
	case res.StatusCode == http.StatusServiceUnavailable:
		return Refused
	case res.StatusCode != http.StatusOK:
		return Failed
	}
	return Served
}

// Close closes the idle connections.
func (h *ClickHouse) Close() {
	if h.client != nil {
		h.client.CloseIdleConnections()
	}
}
