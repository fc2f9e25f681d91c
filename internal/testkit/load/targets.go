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
	idle map[string][]*clients.Conn
	n    atomic.Uint64
}

const keepIdle = 2000 // idle connections kept to one pooler

// Send implements Target.
func (p *Platform) Send(_ context.Context, s Request) Outcome {
	var class *clients.Class
	for i := range p.Classes {
		if p.Classes[i].Name == s.Class {
			class = &p.Classes[i]
		}
	}
	if class == nil {
		return Failed
	}
	no := p.n.Add(1)
	addr := p.Addrs[int(s.Session%uint64(len(p.Addrs)))]
	c, err := p.acquire(addr)
	if err != nil {
		return Broken
	}
	deadline := p.DeadlineMs
	if deadline <= 0 {
		deadline = class.Deadline
	}
	a := &clients.Request{Key: fmt.Sprintf("load-%d-%d", s.Group, s.Session), Group: s.Group}
	sql := clients.Statement(a, class, fmt.Sprintf("%016x", p.Seed<<40^no), no, 0, deadline)
	answer, err := c.Query(sql, time.Duration(deadline*float64(time.Millisecond)))
	if err != nil {
		_ = c.Close()
	} else {
		p.release(addr, c)
	}
	return Outcome(answer.Kind)
}

func (p *Platform) acquire(addr string) (*clients.Conn, error) {
	p.mu.Lock()
	if l := p.idle[addr]; len(l) > 0 {
		c := l[len(l)-1]
		p.idle[addr] = l[:len(l)-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	return clients.Dial(addr)
}

func (p *Platform) release(addr string, c *clients.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*clients.Conn{}
	}
	if len(p.idle[addr]) >= keepIdle {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// Close closes all connections.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		for _, c := range l {
			_ = c.Close()
		}
	}
	p.idle = nil
}

// Pooling sends statements to the pooling frontend as a driver does: each session has a connection of its own, on which statements
// are prepared once.
type Pooling struct {
	URL       string // postgres://user@host:port/database
	Read      string // a statement with one parameter, the session's key
	Write     string // a statement with two parameters, the key and a value
	TimeoutMs float64

	mu    sync.Mutex
	conns map[uint64]*session
}

type session struct {
	mu sync.Mutex // serializes the statements of a session
	c  *pgx.Conn
	n  int
}

// Send implements Target.
func (p *Pooling) Send(ctx context.Context, s Request) Outcome {
	p.mu.Lock()
	if p.conns == nil {
		p.conns = map[uint64]*session{}
	}
	x := p.conns[s.Session]
	if x == nil {
		x = &session{}
		p.conns[s.Session] = x
	}
	p.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.TimeoutMs*float64(time.Millisecond)))
	defer cancel()
	if x.c == nil || x.c.IsClosed() {
		c, err := pgx.Connect(ctx, p.URL)
		if err != nil {
			return outcomeOf(err)
		}
		x.c = c
	}
	x.n++
	key := fmt.Sprintf("load-%d", s.Session)
	var err error
	if s.Writes {
		_, err = x.c.Exec(ctx, p.Write, key, fmt.Sprint(x.n))
	} else {
		var rows pgx.Rows
		if rows, err = x.c.Query(ctx, p.Read, key); err == nil {
			for rows.Next() {
			}
			err = rows.Err()
		}
	}
	return outcomeOf(err)
}

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
	for _, x := range p.conns {
		if x.c != nil {
			_ = x.c.Close(ctx)
		}
	}
}

// ClickHouse sends queries to the ClickHouse frontend. Reads and writes have the given texts, in which ? stands for the session's key.
type ClickHouse struct {
	URL       string // http://user@host:port
	Read      string
	Write     string
	TimeoutMs float64

	once   sync.Once
	client *http.Client
}

// Send implements Target.
func (h *ClickHouse) Send(ctx context.Context, s Request) Outcome {
	h.once.Do(func() {
		h.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: keepIdle}}
	})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(h.TimeoutMs*float64(time.Millisecond)))
	defer cancel()
	sql := h.Read
	if s.Writes {
		sql = h.Write
	}
	sql = strings.ReplaceAll(sql, "?", fmt.Sprintf("load-%d", s.Session))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL, strings.NewReader(sql))
	if err != nil {
		return Failed
	}
	req.Header.Set(clients.ClassField, s.Class)
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

// Close closes all connections.
func (h *ClickHouse) Close() {
	if h.client != nil {
		h.client.CloseIdleConnections()
	}
}
