package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is one group: a primary and its replicas, and the discovery service that lists them.
type fleet struct {
	record    *record
	discovery string // address
	servers   []*server

	mu         sync.Mutex
	rows       map[string][]version // by name, oldest first
	generation int                  // of the list
	draining   map[string]bool      // servers, by id
}

// version is a committed value of a row.
type version struct {
	value string
	at    int64 // position of its commit, Unix ms
}

// server is a database server. The first one of a fleet is the primary.
type server struct {
	fleet   *fleet
	id      string
	role    string
	addr    string
	lag     func() time.Duration // how far its data is behind; nil for a primary
	work    time.Duration        // time that a statement takes
	reading time.Duration        // time that a read takes
	onWrite func(sql string, conn *net.TCPConn) (ended bool)
	copies  func(sql string) bool
	apart   time.Duration
	cut     func(sql string) int

	conns int // accepted so far, under fleet.mu
}

// options of a fleet.
type options struct {
	replicas int
	lag      func() time.Duration
	work     time.Duration // of a statement
	readWork time.Duration // of a read, if it differs
	ethernet bool          // connections have the segment size and the receive buffer of an ordinary network, not those of loopback
	onWrite  func(s *server, sql string, conn *net.TCPConn) (ended bool)
	copies   func(sql string) bool // whether the answer to a statement is followed by a second copy; nil for never
	apart    time.Duration         // between an answer and its second copy
	cut      func(sql string) int  // after how many bytes the answer to a statement ends in a reset; nil for never

	addresses []string // of servers of another kind, which are listed in place of these
}

// newFleet starts servers and discovery on loopback.
func newFleet(r *record, o options) (*fleet, error) {
	f := &fleet{record: r, rows: map[string][]version{}, generation: 1, draining: map[string]bool{}}
	for i, addr := range o.addresses {
		f.servers = append(f.servers, &server{fleet: f, id: fmt.Sprintf("s-%d", i), addr: addr, role: "primary"})
	}
	for i := 0; i <= o.replicas && len(o.addresses) == 0; i++ {
		s := &server{fleet: f, id: fmt.Sprintf("s-%d", i), role: "primary", work: o.work, reading: max(o.work, o.readWork), copies: o.copies, apart: o.apart, cut: o.cut}
		if i > 0 {
			s.role, s.lag = "replica", o.lag
		}
		if o.onWrite != nil {
			s.onWrite = func(sql string, conn *net.TCPConn) bool { return o.onWrite(s, sql, conn) }
		}
		l, err := listen(o.ethernet)
		if err != nil {
			return nil, err
		}
		s.addr = l.Addr().String()
		f.servers = append(f.servers, s)
		go s.accept(l)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.discovery = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(f.list)) }() //nolint:gosec // a stand-in on loopback
	return f, nil
}

const (
	ethernetSegment = 1448
	ethernetBuffer  = 16 << 10
)

// listen returns a listener on a free port.
func listen(ethernet bool) (net.Listener, error) {
	if !ethernet {
		return net.Listen("tcp4", "127.0.0.1:0")
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ethernetBuffer)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(background, "tcp4", "127.0.0.1:0")
}

// list answers discovery's calls: the whole list, and a watch that tells it again when it has changed.
func (f *fleet) list(w http.ResponseWriter, r *http.Request) {
	told := f.writeList(w)
	toldAt := time.Now()
	for flusher, ok := w.(http.Flusher); ok && r.URL.Query().Get("watch") != ""; {
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
		f.mu.Lock()
		changed := f.generation != told
		f.mu.Unlock()
		if changed {
			told = f.writeList(w)
			f.record.line("discovery: told generation %d", told)
		} else if time.Since(toldAt) >= 2*time.Second {
			_, _ = io.WriteString(w, "\n")
		} else {
			continue
		}
		toldAt = time.Now()
	}
}

// writeList writes the whole list and returns its generation.
func (f *fleet) writeList(w io.Writer) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []string
	for _, s := range f.servers {
		state := "up"
		if f.draining[s.id] {
			state = "draining"
		}
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"room","machineType":"small","cell":0,`+
			`"lifecycle":%q,"weight":1.0,"startedAtMs":0,"role":%q}`, s.id, s.addr, state, s.role))
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[%s]}`+"\n", f.generation, strings.Join(entries, ","))
	return f.generation
}

// drain lists a server as draining.
func (f *fleet) drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining[id] = true
	f.generation++
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.fleet.mu.Lock()
		s.conns++
		number := s.conns
		s.fleet.mu.Unlock()
		go func() {
			defer func() { _ = conn.Close() }()
			session := &session{server: s, conn: conn.(*net.TCPConn), name: fmt.Sprintf("%s conn %d", s.id, number), role: "none", zone: "UTC"}
			session.serve()
		}()
	}
}

// session is one connection to a server. Settings are those of PostgreSQL that the cases need: the role.
type session struct {
	server *server
	conn   *net.TCPConn
	name   string
	role   string // as by SET ROLE, "none" for the user of the connection
	zone   string // as by SET TIME ZONE
	state  byte   // transaction status
	staged [][2]string
}

func (s *session) serve() {
	if _, err := readMessage(s.conn, false); err != nil {
		return
	}
	s.state = 'I'
	out := appendMessage(nil, 'R', []byte{0, 0, 0, 0})
	key := binary.BigEndian.AppendUint32(nil, uint32(s.conn.RemoteAddr().(*net.TCPAddr).Port))
	out = appendMessage(out, 'K', append(key, 0, 0, 0, 1))
	out = appendMessage(out, 'Z', []byte{s.state})
	if _, err := s.conn.Write(out); err != nil {
		return
	}
	for {
		m, err := readMessage(s.conn, true)
		if err != nil || m.kind != 'Q' {
			return
		}
		out, ended := s.query(m.text())
		if ended {
			return
		}
		if cut := s.server.cut; cut != nil {
			if n := cut(m.text()); n > 0 && n < len(out) {
				s.log(fmt.Sprintf("answer of %d bytes is cut after %d, and the connection reset", len(out), n), m.text())
				_, _ = s.conn.Write(out[:n])
				time.Sleep(200 * time.Millisecond)
				resetConn(s.conn)
				return
			}
		}
		if copies := s.server.copies; copies != nil && copies(m.text()) {
			s.log("answered, with a second copy right behind", m.text())
			if s.server.apart > 0 {
				if _, err := s.conn.Write(out); err != nil {
					return
				}
				time.Sleep(s.server.apart)
			} else {
				out = append(out, out...)
			}
		}
		if _, err := s.conn.Write(out); err != nil {
			return
		}
	}
}

// query runs the statements of a simple query.
func (s *session) query(sql string) (out []byte, ended bool) {
	trimmed := strings.TrimSpace(sql)
	if trimmed == "" {
		return appendMessage(appendMessage(nil, 'I', nil), 'Z', []byte{s.state}), false
	}
	var position int64
	if trimmed == "SHOW load" {
		return appendMessage(s.loadReport(), 'Z', []byte{s.state}), false
	}
	for _, statement := range splitStatements(trimmed) {
		var part []byte
		part, position, ended = s.run(statement)
		out = append(out, part...)
		if ended {
			return nil, true
		}
	}
	if position == 0 {
		position = s.server.position()
	}
	out = appendStrings(out, 'S', "role", s.server.role)
	out = appendStrings(out, 'S', "applied_ms", fmt.Sprint(position))
	return appendMessage(out, 'Z', []byte{s.state}), false
}

// splitStatements splits a text at its semicolons, unless it is a statement with a comment.
func splitStatements(sql string) []string {
	if strings.Contains(sql, "/*") {
		return []string{sql}
	}
	var all []string
	for part := range strings.SplitSeq(sql, ";") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all
}

func (s *session) loadReport() []byte {
	ms, primary := s.server.position(), 0
	if s.server.role == "primary" {
		primary = 1
	}
	return appendStrings(appendRow(nil, "load", fmt.Sprintf("x0=%d.%03d,x1=%d", ms/1000, ms%1000, primary)), 'C', "SHOW")
}

var (
	insertPattern = regexp.MustCompile(`(?i)^INSERT INTO kv \(name, content\) VALUES \('([^']*)', '([^']*)'\)`)
	selectPattern = regexp.MustCompile(`(?i)^SELECT content FROM kv WHERE name = '([^']*)'`)
	rolePattern   = regexp.MustCompile(`(?i)^SET ROLE (?:TO )?['"]?([a-z_]+)['"]?`)
)

// run runs one statement. position is that of its commit, 0 for none.
func (s *session) run(sql string) (out []byte, position int64, ended bool) {
	upper := strings.ToUpper(sql)
	work := s.server.work
	if strings.HasPrefix(upper, "SELECT") {
		work = s.server.reading
	}
	time.Sleep(work)
	if m := insertPattern.FindStringSubmatch(sql); m != nil {
		if s.server.role != "primary" {
			s.log("turned away", sql)
			return appendError(nil, "25006", "this is no primary"), 0, false
		}
		if s.state == 'T' {
			s.staged = append(s.staged, [2]string{m[1], m[2]})
			s.log("ran, not committed yet", sql)
			return appendStrings(appendRow(nil, "content", m[2]), 'C', "INSERT 0 1"), 0, false
		}
		position = s.server.fleet.commit(m[1], m[2])
		s.log(fmt.Sprintf("ran, committed at %d", position), sql)
		if hook := s.server.onWrite; hook != nil && hook(sql, s.conn) {
			s.log("connection reset before the answer", sql)
			return nil, 0, true
		}
		return appendStrings(appendRow(nil, "content", m[2]), 'C', "INSERT 0 1"), position, false
	}
	if m := selectPattern.FindStringSubmatch(sql); m != nil {
		value, found := s.server.read(m[1])
		s.log(fmt.Sprintf("read %.40q at position %d", value, s.server.position()), sql)
		if !found {
			return appendStrings(nil, 'C', "SELECT 0"), 0, false
		}
		return appendStrings(appendRow(nil, "content", value), 'C', "SELECT 1"), 0, false
	}
	if m := rolePattern.FindStringSubmatch(sql); m != nil {
		s.role = strings.ToLower(m[1])
		s.log("role is now "+s.role, sql)
		return appendStrings(nil, 'C', "SET"), 0, false
	}
	switch {
	case strings.HasPrefix(upper, "BEGIN"):
		s.state = 'T'
		s.log("begun", sql)
		return appendStrings(nil, 'C', "BEGIN"), 0, false
	case upper == "COMMIT", upper == "ROLLBACK":
		for _, row := range s.staged {
			if upper == "COMMIT" {
				position = s.server.fleet.commit(row[0], row[1])
			}
		}
		wrote := position > 0
		s.state, s.staged = 'I', nil
		s.log("ended", sql)
		if hook := s.server.onWrite; wrote && hook != nil && hook(sql, s.conn) {
			return nil, 0, true
		}
		return appendStrings(nil, 'C', upper), position, false
	case strings.HasPrefix(upper, "SET TIME ZONE"):
		s.zone = strings.TrimSpace(sql[len("SET TIME ZONE"):])
		s.log("time zone is now "+s.zone, sql)
		return appendStrings(nil, 'C', "SET"), 0, false
	case strings.HasPrefix(upper, "SELECT CURRENT_SETTING('TIMEZONE')"):
		s.log("time zone is "+s.zone, sql)
		return appendStrings(appendRow(nil, "current_setting", s.zone), 'C', "SELECT 1"), 0, false
	case upper == "RESET ROLE" || upper == `RESET "ROLE"`:
		s.role = "none"
		s.log("role is now none", sql)
		return appendStrings(nil, 'C', "RESET"), 0, false
	case upper == "DISCARD ALL":
		s.role = "none"
		s.log("role is now none", sql)
		return appendStrings(nil, 'C', "DISCARD ALL"), 0, false
	case strings.HasPrefix(upper, "RESET"): // as in PostgreSQL, RESET ALL leaves the role
		s.log("role is still "+s.role, sql)
		return appendStrings(nil, 'C', "RESET"), 0, false
	case strings.HasPrefix(upper, "SET"):
		s.log("done", sql)
		return appendStrings(nil, 'C', "SET"), 0, false
	case upper == "SHOW ROLE":
		s.log("role is "+s.role, sql)
		return appendStrings(appendRow(nil, "role", s.role), 'C', "SHOW"), 0, false
	}
	s.log("not known", sql)
	return appendError(nil, "42601", "the stand-in does not know this statement"), 0, false
}

func (s *session) log(what, sql string) {
	s.server.fleet.record.line("%s (%s): %s: %.120s", s.name, s.server.role, what, sql)
}

// commit adds a version of a row and returns the position of its commit, rounded up.
func (f *fleet) commit(name, value string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now().UnixMilli() + 1
	f.rows[name] = append(f.rows[name], version{value, at})
	return at
}

// versions returns how often a row was written.
func (f *fleet) versions(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows[name])
}

// position returns the time up to which the server has applied all commits.
func (s *server) position() int64 {
	now := time.Now()
	if s.lag != nil {
		now = now.Add(-s.lag())
	}
	return now.UnixMilli()
}

// read returns the value of a row as the server has it.
func (s *server) read(name string) (value string, found bool) {
	position := int64(math.MaxInt64)
	if s.lag != nil {
		position = s.position()
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, v := range s.fleet.rows[name] {
		if v.at <= position {
			value, found = v.value, true
		}
	}
	return value, found
}
