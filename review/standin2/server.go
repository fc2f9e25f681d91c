package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

const (
	primary = "primary"
	replica = "replica"
)

const maxMessage = 8 << 20

// row is a committed row of the table kv.
type row struct {
	key, value string
	commitMs   int64
}

// table is the primary's table; replicas see what was committed long enough ago.
type table struct {
	mu   sync.Mutex
	rows []row
}

// commit adds rows, and returns the commit's position: the time, rounded up.
func (t *table) commit(rows []row) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	position := nowMs() + 1
	for _, added := range rows {
		added.commitMs = position
		t.rows = append(t.rows, added)
	}
	return position
}

// values returns the values of a key's rows that were committed up to a position.
func (t *table) values(key string, upTo int64) (values []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if r.key == key && r.commitMs <= upTo {
			values = append(values, r.value)
		}
	}
	return values
}

func nowMs() int64 { return time.Now().UnixMilli() }

// server is a stand-in server: a primary, or a replica that has what was committed lagMs ago.
type server struct {
	run          *run
	id, role     string
	cell         int
	lagMs        int64
	workMs       int64         // that a statement of the platform's form takes
	pieces       time.Duration // between the pieces of a long row
	commitsFirst bool          // a statement with a long row commits before the row is sent
	resetsLong   bool          // the connection is reset in the middle of a long row
	table        *table
	listener     net.Listener

	copiedAt int64 // when it was started from an older copy, which it makes up for; 0 for long ago

	mu    sync.Mutex
	conns map[net.Conn]bool
	ran   func(sql string)
}

// startServer starts a server.
func (r *run) startServer(id, role string, lagMs int64, t *table) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return r.serveAt(listener, &server{id: id, role: role, lagMs: lagMs, table: t}), nil
}

// serveAt has a server serve at a listener.
func (r *run) serveAt(listener net.Listener, s *server) *server {
	r.atEnd(func() { _ = listener.Close() })
	s.run, s.listener, s.conns = r, listener, map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

// onRun has f called after a statement has run, and before it is answered.
func (s *server) onRun(f func(sql string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = f
}

// position is the time up to which the server has all commits.
func (s *server) position() int64 {
	if s.role == primary {
		return math.MaxInt64
	}
	if s.copiedAt != 0 {
		return min(nowMs()-shipMs, s.copiedAt-copyAgeMs+catchUp*(nowMs()-s.copiedAt))
	}
	return nowMs() - s.lagMs
}

// session is a connection to a server, with what PostgreSQL keeps of it.
type session struct {
	server   *server
	conn     net.Conn
	settings map[string]string
	before   map[string]string // settings at the beginning of the transaction
	state    byte
	pending  []row // of the transaction
	commitMs int64 // position of the last commit, to be reported with the next answer; 0 for none
	prepared map[string]prepared
	portals  map[string]prepared
	skipping bool // up to the next Sync
}

// prepared is a prepared statement. Its literals were read when it was prepared.
type prepared struct {
	sql  string
	from int64 // the literal timestamptz of the statement, 0 for none
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	head := make([]byte, 8)
	if _, err := io.ReadFull(conn, head); err != nil {
		return
	}
	length := int64(binary.BigEndian.Uint32(head)) - 8
	if length < 0 || length > maxMessage || binary.BigEndian.Uint32(head[4:]) != 3<<16 { // a cancel request, for example
		return
	}
	if _, err := io.CopyN(io.Discard, conn, length); err != nil {
		return
	}
	if _, err := conn.Write(pgwire.AppendStartupResponse(nil)); err != nil {
		return
	}
	c := &session{
		server: s, conn: conn, settings: map[string]string{}, state: pgwire.StateIdle,
		prepared: map[string]prepared{}, portals: map[string]prepared{},
	}
	if err := c.loop(); !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.run.note("%s: session ended: %v", s.id, err)
	}
}

// loop answers messages until the connection ends, and returns why it did.
func (c *session) loop() error {
	input, buffer := pgwire.NewReader(maxMessage), make([]byte, 1<<16)
	for {
		m, ok, err := input.Next()
		if err != nil {
			return err
		}
		if !ok {
			n, err := c.conn.Read(buffer)
			if err != nil {
				return err
			}
			input.Feed(buffer[:n])
			continue
		}
		out, err := c.message(m)
		if err != nil {
			return err
		}
		if _, err := c.conn.Write(out); err != nil {
			return err
		}
	}
}

// message handles a message and returns the answer.
func (c *session) message(m pgwire.Message) ([]byte, error) {
	switch m.Type {
	case pgwire.Query:
		c.skipping = false
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return nil, err
		}
		return c.query(sql), nil
	case pgwire.Sync:
		c.skipping = false
		return c.ready(nil), nil
	case pgwire.Terminate:
		return nil, io.EOF
	}
	if c.skipping {
		return nil, nil
	}
	switch m.Type {
	case pgwire.Parse:
		name, sql, _, err := pgwire.ParseMessage(m.Body)
		if err != nil {
			return nil, err
		}
		p, err := c.prepare(sql)
		if err != nil {
			return c.failed("22007", err.Error()), nil
		}
		c.server.run.note("%s: prepares %s under TimeZone %s: %s", c.server.id, name, c.timeZone(), sql)
		c.prepared[name] = p
		return pgwire.AppendWithoutBody(nil, pgwire.ParseComplete), nil
	case pgwire.Bind:
		portal, name, _, err := pgwire.BindMessage(m.Body)
		if err != nil {
			return nil, err
		}
		p, ok := c.prepared[name]
		if !ok {
			return c.failed("26000", "no such prepared statement"), nil
		}
		c.portals[portal] = p
		return pgwire.AppendWithoutBody(nil, pgwire.BindComplete), nil
	case pgwire.Describe, pgwire.Close, pgwire.Flush:
		return nil, fmt.Errorf("message %q is not known to this stand-in", m.Type)
	case pgwire.Execute:
		portal, _, _ := bytes.Cut(m.Body, []byte{0})
		out, ok := c.execute(c.portals[string(portal)])
		c.skipping = !ok
		return withoutDescription(out), nil
	}
	return nil, fmt.Errorf("message %q is not known to this stand-in", m.Type)
}

// withoutDescription removes the RowDescription, which the answer to Execute lacks.
func withoutDescription(out []byte) []byte {
	if len(out) > 0 && out[0] == pgwire.RowDescription {
		return out[1+binary.BigEndian.Uint32(out[1:]):]
	}
	return out
}

func (c *session) failed(code, text string) []byte {
	c.skipping = true
	if c.state == pgwire.StateTransaction {
		c.state = pgwire.StateFailedTransaction
	}
	return pgwire.AppendError(nil, "ERROR", code, text, "")
}

// ready ends an implicit transaction, and reports role, position and state.
func (c *session) ready(out []byte) []byte {
	if c.state == pgwire.StateIdle {
		c.commitPending()
	}
	position := c.commitMs
	if position == 0 {
		position = min(c.server.position(), nowMs())
	}
	c.commitMs = 0
	out = pgwire.AppendParameter(out, "role", c.server.role)
	out = pgwire.AppendParameter(out, "applied_ms", fmt.Sprint(position))
	return pgwire.AppendReadyInState(out, c.state)
}

func (c *session) commitPending() {
	if len(c.pending) > 0 {
		c.commitMs = c.server.table.commit(c.pending)
		c.pending = nil
	}
}

// query runs a simple query, which may hold several statements.
func (c *session) query(text string) (out []byte) {
	if text == "" {
		return c.ready(pgwire.AppendEmptyQueryResponse(nil))
	}
	for sql := range strings.SplitSeq(text, ";\n") {
		p, err := c.prepare(sql)
		if err != nil {
			out = append(out, c.failed("22007", err.Error())...)
			break
		}
		answer, ok := c.execute(p)
		out = append(out, answer...)
		if !ok {
			if c.state == pgwire.StateIdle {
				c.pending = nil
			}
			break
		}
	}
	return c.ready(out)
}
