package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

// database is a PostgreSQL server. As PostgreSQL does, a session reads its next message once it has run the one before, and a statement
// that runs is finished also if its client's connection breaks meanwhile.
type database struct {
	scene    *scene
	name     string
	role     string
	address  string
	refuses  func(sql string) bool              // a statement is turned away, as the queue is full; nil for none
	begins   func(*dbSession, string)           // a statement begins; nil for nothing
	commits  func(*dbSession, []string, string) // statements are committed, before the answer to the last one is sent; nil for nothing
	hangs    atomic.Int64                       // Unix ms until which the server answers nothing; 0 for a server that does not hang
	mu       sync.Mutex
	done     []string // the statements that are committed
	sessions map[*dbSession]bool
	lastPID  uint32
}

// listen starts the server.
func (d *database) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.address = l.Addr().String()
	d.sessions = map[*dbSession]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

// entry returns the server's entry in the list, with the address at which poolers reach it.
func (d *database) entry(cell int, address string) instance {
	return instance{ID: d.name, HostPort: address, Zone: "sala-recife", MachineType: "padrao-4", Cell: cell, Lifecycle: "up", Weight: 1, Role: d.role}
}

// replicationDelay is how far a replica that applies the log is behind, in ms.
const replicationDelay = 10

// position returns the position in the log, in Unix ms.
func (d *database) position() int64 {
	now := time.Now().UnixMilli()
	if d.role == "primary" {
		return now
	}
	return now - replicationDelay
}

// timesDone returns how often a statement with this text is committed.
func (d *database) timesDone(text string) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sql := range d.done {
		if strings.Contains(sql, text) {
			n++
		}
	}
	return n
}

// dbSession is a session of a server.
type dbSession struct {
	db       *database
	conn     *net.TCPConn
	pid      uint32
	reader   pgwire.Reader
	out      []byte
	state    byte
	pending  []string // statements of the open transaction
	prepared map[string]string
	portals  map[string]string
	skipping bool   // up to the next Sync, after an error
	extended bool   // the statement that runs was sent by the extended protocol
	failed   bool   // the statement that ran last failed
	person   string // the setting app.person, which the function app_login sets
}

func (d *database) serve(c *net.TCPConn) {
	defer c.Close()
	s := &dbSession{db: d, conn: c, reader: pgwire.NewReader(1 << 24), state: pgwire.StateIdle, prepared: map[string]string{}, portals: map[string]string{}}
	var head [8]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return
	}
	rest := make([]byte, int(binary.BigEndian.Uint32(head[:]))-len(head))
	if _, err := io.ReadFull(c, rest); err != nil || binary.BigEndian.Uint32(head[4:]) != pgwire.Version {
		return
	}
	d.mu.Lock()
	d.lastPID++
	s.pid = d.lastPID
	d.sessions[s] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.sessions, s)
		d.mu.Unlock()
	}()
	s.out = pgwire.AppendAuthenticationOK(nil)
	s.out = pgwire.AppendParameter(s.out, "server_version", "16.0")
	s.out = pgwire.AppendParameter(s.out, "client_encoding", "UTF8")
	s.out = pgwire.AppendBackendKeyData(s.out, s.pid, s.pid)
	s.ready()
	buffer := make([]byte, 1<<13)
	for {
		m, ok, err := s.reader.Next()
		if err != nil {
			return
		}
		if ok {
			if m.Type == pgwire.Terminate || !s.message(m) {
				return
			}
			continue
		}
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		s.reader.Feed(buffer[:n])
	}
}

// ready ends the answer to a command with the server's report, and sends it.
func (s *dbSession) ready() bool {
	s.out = pgwire.AppendParameter(s.out, "role", s.db.role)
	s.out = pgwire.AppendParameter(s.out, "applied_ms", fmt.Sprint(s.db.position()))
	s.out = pgwire.AppendReadyInState(s.out, s.state)
	return s.flush()
}

// hang has the server answer nothing for a time: it hangs.
func (d *database) hang(length time.Duration) {
	d.scene.note("%s: hangs for %v", d.name, length)
	d.hangs.Store(time.Now().Add(length).UnixMilli())
}

// flush sends the output, unless the server hangs: then it does so once the server goes on.
func (s *dbSession) flush() bool {
	for time.Now().UnixMilli() < s.db.hangs.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	return err == nil
}

// message handles a message, and reports whether the session goes on.
func (s *dbSession) message(m pgwire.Message) bool {
	if s.skipping && m.Type != pgwire.Sync {
		return true
	}
	switch m.Type {
	case pgwire.Query:
		sql, _ := pgwire.Text(m.Body)
		before := s.person
		s.failed = false
		for _, statement := range strings.Split(sql, "; ") {
			if s.execute(statement); s.failed { // what the text has set so far is undone, as by PostgreSQL
				s.person = before
				break
			}
		}
		return s.ready()
	case pgwire.Parse:
		name, sql, _, _ := pgwire.ParseMessage(m.Body)
		s.prepared[name] = sql
		s.out = pgwire.AppendWithoutBody(s.out, pgwire.ParseComplete)
	case pgwire.Bind:
		portal, name, rest, _ := pgwire.BindMessage(m.Body)
		s.portals[portal] = strings.ReplaceAll(s.prepared[name], "$1", firstValue(rest))
		s.out = pgwire.AppendWithoutBody(s.out, pgwire.BindComplete)
	case pgwire.Describe:
		s.out = pgwire.AppendWithoutBody(s.out, pgwire.NoData)
	case pgwire.Execute:
		s.extended = true
		portal, _, _ := strings.Cut(string(m.Body), "\x00")
		s.execute(s.portals[portal])
	case pgwire.Sync:
		s.skipping, s.extended = false, false
		return s.ready()
	case pgwire.Flush:
		return s.flush()
	}
	return true
}

// firstValue returns the first value of a Bind message, whose formats and values rest holds.
func firstValue(rest []byte) string {
	formats := int(binary.BigEndian.Uint16(rest))
	rest = rest[2+2*formats:]
	if binary.BigEndian.Uint16(rest) == 0 {
		return ""
	}
	n := binary.BigEndian.Uint32(rest[2:])
	return string(rest[6 : 6+n])
}

// execute runs a statement and appends its answer.
func (s *dbSession) execute(sql string) {
	d := s.db
	if d.begins != nil {
		d.begins(s, sql)
	}
	if d.refuses != nil && d.refuses(sql) {
		d.scene.note("%s: turned away in session %d: %s", d.name, s.pid, shorten(sql))
		s.fail("53300", "the queue is full")
		return
	}
	words := strings.Fields(sql)
	word := ""
	if len(words) > 0 {
		word = strings.ToUpper(strings.TrimSuffix(words[0], ";"))
	}
	switch word {
	case "":
		s.out = pgwire.AppendEmptyQueryResponse(s.out)
	case "BEGIN":
		s.state = pgwire.StateTransaction
		s.out = pgwire.AppendComplete(s.out, "BEGIN")
	case "COMMIT":
		s.commit(append(s.pending, sql), sql)
		s.out = pgwire.AppendComplete(s.out, "COMMIT")
	case "ROLLBACK":
		s.pending, s.state = nil, pgwire.StateIdle
		s.out = pgwire.AppendComplete(s.out, "ROLLBACK")
	case "INSERT", "UPDATE":
		if d.role != "primary" {
			s.fail("25006", "cannot execute "+word+" in a read-only transaction")
			return
		}
		if s.state == pgwire.StateTransaction {
			s.pending = append(s.pending, s.underPerson(sql))
		} else {
			s.commit([]string{s.underPerson(sql)}, sql)
		}
		if strings.Contains(sql, "RETURNING") {
			s.out = pgwire.AppendRow(s.out, "content", []byte("1"))
		}
		s.out = pgwire.AppendComplete(s.out, word+" 0 1")
	case "SHOW":
		now, primary := d.position(), 0
		if d.role == "primary" {
			primary = 1
		}
		s.out = pgwire.AppendRow(s.out, "load", fmt.Appendf(nil, "x0=%d.%03d,x1=%d", now/1000, now%1000, primary))
		s.out = pgwire.AppendComplete(s.out, "SHOW")
	case "SELECT":
		s.out = pgwire.AppendRow(s.out, "value", []byte(s.read(sql)))
		s.out = pgwire.AppendComplete(s.out, "SELECT 1")
	case "RESET":
		if strings.Contains(sql, "person") || strings.Contains(sql, "ALL") {
			s.person = ""
		}
		s.out = pgwire.AppendComplete(s.out, word)
	case "SET":
		s.set(sql)
	default:
		s.out = pgwire.AppendComplete(s.out, word)
	}
}

// fail answers a statement with an error.
func (s *dbSession) fail(code, text string) {
	s.failed = true
	s.skipping = s.extended
	s.out = pgwire.AppendError(s.out, "ERROR", code, text, "")
}

// set runs SET of the setting app.person, or of a time zone that the server knows.
func (s *dbSession) set(sql string) {
	value := ""
	if parts := strings.Split(sql, "'"); len(parts) > 1 {
		value = parts[1]
	}
	switch {
	case strings.Contains(sql, "person"):
		s.person = value
	case strings.Contains(strings.ToUpper(sql), "ZONE") && value != "America/Recife":
		s.db.scene.note("%s: error 22023 in session %d: %s", s.db.name, s.pid, sql)
		s.fail("22023", "invalid value for parameter \"TimeZone\": \""+value+"\"")
		return
	}
	s.out = pgwire.AppendComplete(s.out, "SET")
}

// read runs a SELECT and returns the value of its row.
func (s *dbSession) read(sql string) string {
	switch {
	case strings.Contains(sql, "app_login("): // in the database: SELECT set_config('app.person', $1, false)
		s.person = strings.Split(sql, "'")[1]
		return ""
	case strings.Contains(sql, "current_setting("):
		return s.person
	}
	return "1"
}

// underPerson returns a statement as it is noted as run.
func (s *dbSession) underPerson(sql string) string {
	if s.person == "" {
		return sql
	}
	return sql + " under app.person=" + s.person
}

func (s *dbSession) commit(statements []string, last string) {
	d := s.db
	d.mu.Lock()
	d.done = append(d.done, statements...)
	d.mu.Unlock()
	s.pending, s.state = nil, pgwire.StateIdle
	for _, sql := range statements {
		d.scene.note("%s: committed in session %d: %s", d.name, s.pid, shorten(sql))
	}
	if d.commits != nil {
		d.commits(s, statements, last)
	}
}

func shorten(sql string) string {
	if len(sql) > 90 {
		return fmt.Sprintf("%s... (%d bytes)", sql[:70], len(sql))
	}
	return sql
}
