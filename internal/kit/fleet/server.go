package fleet

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/pgwire"
)

const (
	maxStatement = 1 << 20
	startupMax   = 10000
	wayMs        = 50 // for a send's way, behind the grace of a server that drains
	maxLate      = 100
)

// conn is a connection that a server accepted.
type conn struct {
	net.Conn
	s    *Server
	in   *bufio.Reader
	gone chan struct{} // the other side has closed
}

// accept takes connections. A dead server resets them, as one whose process has gone would refuse them.
func (s *Server) accept() {
	defer s.f.wg.Done()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: nc, s: s, in: bufio.NewReader(nc), gone: make(chan struct{})}
		s.f.mu.Lock()
		switch {
		case !s.up || s.f.closed:
			s.f.mu.Unlock()
			c.reset()
			continue
		case len(s.conns) >= s.f.cfg.Conns:
			s.f.mu.Unlock()
			_, _ = nc.Write(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
			_ = nc.Close()
			continue
		}
		s.conns[c] = true
		s.f.wg.Add(1)
		s.f.mu.Unlock()
		go func() {
			defer s.f.wg.Done()
			c.serve()
			s.f.mu.Lock()
			delete(s.conns, c)
			s.f.mu.Unlock()
			_ = nc.Close()
		}()
	}
}

// reset breaks the connection as a process that ends does.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// serve answers one request after another, until the connection ends.
func (c *conn) serve() {
	var size [4]byte
	if _, err := io.ReadFull(c.in, size[:]); err != nil {
		return
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 8 || n > startupMax {
		return
	}
	startup := append(size[:], make([]byte, n-4)...)
	if _, err := io.ReadFull(c.in, startup[4:]); err != nil {
		return
	}
	r := pgwire.NewReader(startupMax)
	r.Feed(startup)
	said, ok, err := r.StartupMessage()
	if err != nil || !ok {
		return
	}
	switch said.Kind {
	case pgwire.StartupCancel:
		time.Sleep(time.Duration(c.s.f.cfg.CancelMs * float64(time.Millisecond)))
		c.s.f.hitBy(said.PID, said.Secret)
		return
	case pgwire.StartupEncrypt:
		return
	}
	if c.s.isHung() { // a machine that takes and answers nothing
		_, _ = io.Copy(io.Discard, c.in)
		return
	}
	if said.Params["database"] != "store" {
		c.serveFull(said.Params)
		return
	}
	if _, err := c.Write(pgwire.AppendWelcome(nil)); err != nil {
		return
	}
	queries := make(chan string, 1)
	go func() { // so that the end is seen while a request is worked on
		defer close(c.gone)
		defer close(queries)
		for {
			sql, err := c.read()
			if err != nil {
				return
			}
			select {
			case queries <- sql:
			case <-time.After(time.Minute):
				return
			}
		}
	}()
	for sql := range queries {
		b, ok := c.answer(sql)
		if !ok {
			break
		}
		if _, err := c.Write(b); err != nil {
			break
		}
	}
	_ = c.Close()
	for range queries { // lets the reader end
	}
}

var errOther = errors.New("not a query")

func (c *conn) read() (string, error) {
	var head [5]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return "", err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if head[0] != 'Q' || n < 5 || n > maxStatement {
		return "", errOther
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return "", err
	}
	return pgwire.Text(body)
}

func (s *Server) isHung() bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.hung
}

// answer works on a statement and returns the whole answer; false where there is none.
func (c *conn) answer(sql string) ([]byte, bool) {
	s := c.s
	if s.isHung() {
		return nil, c.starve()
	}
	switch strings.TrimSpace(sql) {
	case "":
		return pgwire.AppendReady(pgwire.AppendEmpty(nil)), true
	case "SELECT 1":
		return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "one", []byte("1")), "SELECT 1")), true
	case "SHOW load":
		return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "load", []byte(s.load())), "SHOW")), true
	}
	st, err := pgwire.ParseStatement(sql)
	if err != nil {
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08P01", err.Error(), "")), true
	}
	return c.request(sql, &st)
}

// starve holds what a server that hangs was sent, until it is reset.
func (c *conn) starve() bool {
	<-c.gone
	return false
}

// load is the report of a server, some time old.
func (s *Server) load() string {
	f := s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.clk.Now(); now >= s.nextRep {
		s.advance(now)
		s.sampled = report{s.position(now), s.group.primary == s}
		s.nextRep = now + f.cfg.Report.draw(f.rng)
	}
	x1 := "0"
	if s.sampled.primary {
		x1 = "1"
	}
	return "x0=" + strconv.FormatFloat(s.sampled.position/1000, 'f', 3, 64) + ",x1=" + x1
}

// request queues a client's statement, works on it and reads or writes.
func (c *conn) request(sql string, st *pgwire.Statement) ([]byte, bool) {
	s, f := c.s, c.s.f
	refuse := func(code, text string) ([]byte, bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		return s.told(pgwire.AppendError(nil, "ERROR", code, text, ""), 0), true
	}
	f.mu.Lock()
	now := f.clk.Now()
	work := 5.0
	if r, ok := f.cfg.Work[st.Class]; ok {
		work = r.draw(f.rng)
	}
	if s.drainTold != 0 && now-s.drainTold > f.cfg.GraceMs+wayMs && len(f.late) < maxLate {
		f.late = append(f.late, Fact{At: now, Server: s.Name, Group: s.group.id, What: "was sent " + st.ID + " while it drains"})
	}
	switch {
	case st.Writes && s.group.primary != s:
		f.mu.Unlock()
		return refuse("25006", "this is no primary")
	case s.draining:
		f.mu.Unlock()
		return refuse("53300", "draining")
	case s.push(now, work):
		s.fallen = true
		s.die(now, "was pushed over while cold")
		f.mu.Unlock()
		return nil, false
	}
	if s.working >= f.cfg.Cores {
		if len(s.queue) >= f.cfg.Queue {
			f.mu.Unlock()
			return refuse("53300", "queue full")
		}
		turn := make(chan struct{})
		s.queue = append(s.queue, turn)
		f.mu.Unlock()
		select {
		case <-turn: // the core is handed on; or the server died, and with it this connection
		case <-c.gone:
			s.leave(turn)
			return nil, false
		}
		f.mu.Lock()
	} else {
		s.working++
	}
	speed := s.warmth(f.clk.Now()) * s.left
	f.mu.Unlock()
	pause := time.NewTimer(time.Duration(work / speed * float64(time.Millisecond)))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-c.gone: // work stops when its request is cancelled
		s.free1()
		return nil, false
	}
	s.free1()
	if s.isHung() {
		return nil, c.starve()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.up || !s.conns[c] {
		return nil, false
	}
	now = f.clk.Now()
	s.advance(now)
	s.served++
	if !st.Writes {
		at := s.position(now)
		return s.told(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", s.read(st.Key)), "SELECT 1"), at), true
	}
	if s.group.primary != s || s.group.lostAt != 0 { // it handed over meanwhile
		return s.told(pgwire.AppendError(nil, "ERROR", "XX000", "handed over", ""), 0), true
	}
	if len(f.ran) < maxRan {
		if f.ran[st.ID]++; f.ran[st.ID] > 1 {
			f.twice = append(f.twice, st.ID)
		}
	}
	value := literal(sql)
	commit := s.group.write(now, st.Key, value, f.cfg.Apply)
	return s.told(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", value), "INSERT 0 1"), commit), true
}

// free1 hands a core on.
func (s *Server) free1() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.working = max(0, s.working-1)
}

// leave takes one that waits out of the queue; where it was just handed a core, that goes on.
func (s *Server) leave(turn chan struct{}) {
	s.f.mu.Lock()
	for i, w := range s.queue {
		if w == turn {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.f.mu.Unlock()
			return
		}
	}
	s.f.mu.Unlock()
	s.free1()
}

// told ends an answer with the server's role and position, and ReadyForQuery.
func (s *Server) told(b []byte, at float64) []byte {
	role := "replica"
	if s.group.primary == s {
		role = "primary"
	}
	if at == 0 {
		now := s.f.clk.Now()
		s.advance(now)
		at = s.position(now)
	}
	b = pgwire.AppendParameter(b, "role", role)
	b = pgwire.AppendParameter(b, "applied_ms", strconv.FormatInt(int64(math.Floor(at)), 10))
	return pgwire.AppendReady(b)
}

// literal is the value of an INSERT: its second quoted text, in hex.
func literal(sql string) []byte {
	parts := strings.SplitN(sql, "'", 5)
	if len(parts) < 4 {
		return nil
	}
	b, err := hex.DecodeString(strings.TrimPrefix(parts[3], `\x`))
	if err != nil {
		return nil
	}
	return b
}
