package database

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

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/model"
)

const (
	maxStatement   = 1 << 20
	startupMax     = 10000
	networkDelayMs = 50 // network delay allowed for a request after the grace of a draining server
	maxLate        = 100
)

// conn is a connection that a server accepted.
type conn struct {
	net.Conn
	s          *server
	in         *bufio.Reader
	peerClosed chan struct{} // closed when the other side has closed the connection
	pooler     int           // pooler whose address the connection came to, -1 for the shared address
	dead       bool          // the server's process has ended, though another may have replaced it; guarded by the fleet's lock
}

// accept accepts connections. A dead server resets them, in place of the refusal that a client gets when no process listens.
func (s *server) accept(l net.Listener, pooler int) {
	defer s.f.wg.Done()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: nc, s: s, in: bufio.NewReader(nc), peerClosed: make(chan struct{}), pooler: pooler}
		s.f.mu.Lock()
		switch {
		case !s.Up || s.f.closed:
			s.f.mu.Unlock()
			c.reset()
			continue
		case len(s.conns) >= s.f.cfg.MaxConnections:
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

// isDead reports whether the process that had the connection has ended. No request is executed or counted after that, even if it was
// received before.
func (c *conn) isDead() bool {
	c.s.f.mu.Lock()
	defer c.s.f.mu.Unlock()
	return c.dead
}

// reset closes the connection with a TCP reset, as the end of a process does.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// serve answers one request after another, until the connection ends.
func (c *conn) serve() {
	start, err := c.in.Peek(4)
	if err != nil {
		return
	}
	if isHTTP(start) {
		c.serveHTTP()
		return
	}
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
	msg, ok, err := r.StartupMessage()
	if err != nil || !ok {
		return
	}
	switch msg.Kind {
	case pgwire.StartupCancel:
		time.Sleep(time.Duration(c.s.f.cfg.CancelMs * float64(time.Millisecond)))
		c.s.f.cancelSession(msg.PID, msg.Secret)
		return
	case pgwire.StartupEncrypt:
		return
	}
	if c.s.isHung() || c.linkCut() { // a hung machine or a cut link accepts bytes and answers nothing
		_, _ = io.Copy(io.Discard, c.in)
		return
	}
	if msg.Params["database"] != "store" {
		c.serveSession(msg.Params)
		return
	}
	if _, err := c.Write(pgwire.AppendStartupResponse(nil)); err != nil {
		return
	}
	queries := make(chan string, 1)
	go func() { // reads ahead, so that a close of the connection is noticed while a request runs
		defer close(c.peerClosed)
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
		if !ok || c.linkCut() && !c.waitForReset() {
			break
		}
		if _, err := c.Write(b); err != nil {
			break
		}
	}
	_ = c.Close()
	for range queries { // drains the channel, so that the reading goroutine ends
	}
}

var errNotQuery = errors.New("not a query")

func (c *conn) read() (string, error) {
	var head [5]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return "", err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if head[0] != 'Q' || n < 5 || n > maxStatement {
		return "", errNotQuery
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return "", err
	}
	return pgwire.Text(body)
}

func (s *server) isHung() bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.Hung
}

// answer executes a statement and returns the complete answer; false if there is none.
func (c *conn) answer(sql string) ([]byte, bool) {
	s := c.s
	if c.isDead() {
		return nil, false
	}
	if s.isHung() || c.dropsRequest() {
		return nil, c.waitForReset()
	}
	switch strings.TrimSpace(sql) {
	case "":
		return pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(nil)), true
	case "SELECT 1":
		return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "one", []byte("1")), "SELECT 1")), true
	case "SHOW load":
		load, ok := c.load()
		return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "load", []byte(load)), "SHOW")), ok
	}
	st, err := pgwire.ParseStatement(sql)
	if err != nil {
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "08P01", err.Error(), "")), true
	}
	return c.request(sql, &st)
}

// waitForReset waits until the connection to a hanging server is reset.
func (c *conn) waitForReset() bool {
	<-c.peerClosed
	return false
}

// load returns the load report of a server, which may be some time old; false if the server's process has ended.
func (c *conn) load() (string, bool) {
	s, f := c.s, c.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.dead {
		return "", false
	}
	if f.watcher != nil {
		f.watcher.Probed(s.No, f.clk.Now())
	}
	r := s.Report(f.clk.Now())
	x1 := "0"
	if r.Primary {
		x1 = "1"
	}
	return "x0=" + strconv.FormatFloat(r.Position/1000, 'f', 3, 64) + ",x1=" + x1, true
}

// rejections maps the verdicts under which a request is not executed to their texts.
var rejections = map[model.Verdict]string{model.NotPrimary: "missed", model.Draining: "turned away", model.QueueFull: "turned away"}

// reply is a channel that receives a job's answer. It implements model.Owner.
type reply chan model.Reply

// Answered implements model.Owner.
func (r reply) Answered(_ *model.Job, x model.Reply) { r <- x }

// work is a request, independent of the protocol.
type work struct {
	id, class, key string
	idem           string
	writes         bool
	value          []byte
}

// work submits a client's request to the model and waits for the answer. There is none if the server ends, hangs or loses the request,
// or the client closes the connection.
func (c *conn) work(st *work) (x model.Reply, ok bool) {
	s, f := c.s, c.s.f
	answer := make(reply, 1)
	j := &model.Job{
		ID:             st.id,
		Writes:         st.writes,
		Key:            st.key,
		Value:          st.value,
		Owner:          answer,
		IdempotencyKey: st.idem,
		IdempotencyMs:  f.cfg.Keys[st.class],
	}
	if j.IdempotencyMs == 0 {
		j.IdempotencyKey = ""
	}
	f.mu.Lock()
	if c.dead {
		f.mu.Unlock()
		return x, false
	}
	now := f.clk.Now()
	j.Work = f.world.Work(st.class)
	if s.drainListedAt != 0 && now-s.drainListedAt > f.cfg.GraceMs+networkDelayMs && len(f.late) < maxLate {
		f.late = append(f.late, Fact{At: now, Server: s.Name, Group: s.Group.ID, What: "was sent " + st.id + " while it drains"})
	}
	no := 0
	if f.watcher != nil {
		no = f.watcher.Arrived(s.No, st.id, now)
		if s.Accepts(j) {
			f.watcher.Accepted(s.No, s.Started, st.id, j.Work, now)
			defer func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.watcher.Finished(s.No, st.id, f.clk.Now())
			}()
		}
	}
	s.Submit(j)
	f.mu.Unlock()
	select {
	case x = <-answer:
	case <-c.peerClosed: // the close cancels the job; requests that are never answered end here too
		f.mu.Lock()
		j.Cancel()
		f.mu.Unlock()
		return x, false
	}
	if how := rejections[x.Verdict]; how != "" && f.watcher != nil {
		f.mu.Lock()
		f.watcher.Rejected(st.id, no, how, f.clk.Now())
		f.mu.Unlock()
	}
	return x, true
}

// request executes a client's statement in the model and encodes its answer.
func (c *conn) request(sql string, st *pgwire.Statement) ([]byte, bool) {
	s, w := c.s, &work{id: st.RequestID, class: st.Class, key: st.SessionKey, idem: st.IdempotencyKey, writes: st.Writes}
	if st.Writes {
		w.value = literal(sql)
	}
	x, ok := c.work(w)
	if !ok {
		return nil, false
	}
	switch x.Verdict {
	case model.PushedOver:
		return nil, false
	case model.NotPrimary:
		return s.appendReport(pgwire.AppendError(nil, "ERROR", "25006", "this is no primary", ""), x), true
	case model.Draining:
		return s.appendReport(pgwire.AppendError(nil, "ERROR", "53300", "draining", ""), x), true
	case model.QueueFull:
		return s.appendReport(pgwire.AppendError(nil, "ERROR", "53300", "queue full", ""), x), true
	case model.HandedOver:
		return s.appendReport(pgwire.AppendError(nil, "ERROR", "XX000", "handed over", ""), x), true
	}
	tag := "SELECT 1"
	if st.Writes {
		tag = "INSERT 0 1"
	}
	return s.appendReport(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", x.Value), tag), x), true
}

// appendReport completes an answer with the server's role and position, and ReadyForQuery.
func (s *server) appendReport(b []byte, x model.Reply) []byte {
	role := "replica"
	if x.Primary {
		role = "primary"
	}
	b = pgwire.AppendParameter(b, "role", role)
	b = pgwire.AppendParameter(b, "applied_ms", strconv.FormatInt(int64(math.Floor(x.Position)), 10))
	return pgwire.AppendReady(b)
}

// literal returns the value of an INSERT: its second quoted literal, decoded from hex.
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
