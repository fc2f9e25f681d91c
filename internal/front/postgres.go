package front

import (
	"fmt"
	"log/slog"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

const (
	maxMessage = 1 << 18 // a value of 64 KiB in hex, twice over
	maxAhead   = 1 << 19 // bytes a client may send ahead of its answers
	maxUnsent  = 1 << 16 // of answers a client has not read: with more, its next command waits
	recheckMs  = 20
	keepOut    = 1 << 14 // of a buffer, from one answer to the next
)

// SQLSTATE codes.
const (
	codeProtocol    = "08P01"
	codeRefused     = "53300"
	codeFailed      = "58000"
	codeSyntax      = "42601"
	codeUnsupported = "0A000"
)

// Postgres is the front that speaks PostgreSQL's protocol.
type Postgres struct {
	loop     *loop.Loop
	log      *slog.Logger
	desk     Desk
	budget   Budget
	sessions slots.Table[*session]
	draining bool
	held     int // bytes that clients have sent and that wait here
	leaving  int // sessions that have had their last word
	turned   int // clients turned away since the last sweep
}

// NewPostgres makes a front.
func NewPostgres(l *loop.Loop, log *slog.Logger, desk Desk, budget Budget) *Postgres {
	return &Postgres{loop: l, log: log, desk: desk, budget: budget}
}

// Accept makes the handler of a new connection.
func (p *Postgres) Accept() loop.Handler {
	s := &session{front: p, in: pgwire.NewReader(maxMessage), since: p.loop.Now()}
	s.ref = p.sessions.Put(s)
	return s
}

// Sessions is the number of clients connected.
func (p *Postgres) Sessions() int { return p.sessions.Len() }

// Owes tells whether a client waits for an answer, or has not read all of one.
func (p *Postgres) Owes() bool {
	owes := false
	p.sessions.Each(func(_ slots.Ref, s *session) {
		owes = owes || s.asking || s.conn != nil && s.conn.Unsent() > 0
	})
	return owes
}

// Drain closes clients' connections as they fall idle, from now on.
func (p *Postgres) Drain() {
	p.draining = true
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if s.idle() && s.conn.Quiet() {
			s.conn.Close()
		}
	})
}

// session is a client's connection; it is the loop's Handler and its requests' Client.
type session struct {
	front   *Postgres
	ref     slots.Ref
	conn    *loop.Conn
	in      pgwire.Reader
	started bool
	asking  bool      // a command waits for its answer
	request slots.Ref // that command's
	skip    bool      // after an error in the extended protocol, up to Sync
	recheck *deadline.Timer
	out     []byte
	closed  bool
	leaving bool    // it has had its last word; what it still sends is dropped
	since   float64 // accepted, idle, in the midst of a message, or leaving: since then
	stuck   float64 // it has not read all of its answers since then, 0 for not so
	held    int     // its part of the front's
	dropped int     // bytes
}

func (s *session) idle() bool {
	return !s.closed && !s.leaving && s.conn != nil && !s.asking && s.in.Pending() == 0 && s.conn.Unsent() == 0
}

// Opened is loop's.
func (s *session) Opened(c *loop.Conn) {
	s.conn = c
	if !s.front.admit(s) {
		s.fatal(codeRefused, "too many clients")
	}
}

// Data is loop's.
func (s *session) Data(b []byte) {
	if s.leaving {
		if s.dropped += len(b); s.dropped > maxDropped {
			s.conn.Close()
		}
		return
	}
	if s.started && !s.asking && s.in.Pending() == 0 {
		s.since = s.front.loop.Now()
	}
	s.in.Feed(b)
	s.proceed()
	if !s.closed && s.in.Pending() > maxAhead {
		s.fatal(codeProtocol, "too much sent ahead of the answers")
	}
	s.front.bound()
}

// proceed takes commands one after the other: the next one once the last has its answer.
func (s *session) proceed() {
	defer s.count()
	for !s.closed && !s.leaving && !s.asking {
		if s.started && s.conn.Unsent() > maxUnsent {
			s.later()
			return
		}
		more, err := s.step()
		if err != nil {
			s.fatal(codeProtocol, err.Error())
			return
		}
		if !more {
			break
		}
	}
	if s.front.draining && s.started && s.idle() && s.conn.Quiet() {
		s.conn.Close()
	}
}

// later comes back to a client that does not read its answers.
func (s *session) later() {
	l := s.front.loop
	l.Stop(s.recheck)
	s.recheck = l.At(l.Now()+recheckMs, s.proceed)
}

func (s *session) step() (more bool, err error) {
	if !s.started {
		return s.startup()
	}
	// By its first byte, as the rest of what is no message may be long in coming.
	if typ, ok := s.in.Type(); ok && !strings.ContainsRune("QXSPBDECHF", rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	m, ok, err := s.in.Next()
	if err != nil || !ok {
		return false, err
	}
	switch m.Type {
	case 'Q':
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return false, err
		}
		s.query(sql)
	case 'X':
		s.conn.Close()
	case 'S': // Sync
		s.skip = false
		s.send(pgwire.AppendReady(s.out[:0]))
	case 'P', 'B', 'D', 'E', 'C', 'H', 'F':
		if !s.skip {
			s.skip = m.Type != 'F'
			s.out = pgwire.AppendError(s.out[:0], "ERROR", codeUnsupported, "only simple queries are taken", "")
			if m.Type == 'F' {
				s.out = pgwire.AppendReady(s.out)
			}
			s.send(s.out)
		}
	}
	return true, nil
}

func (s *session) startup() (bool, error) {
	kind, ok, err := s.in.Startup()
	if err != nil || !ok {
		return false, err
	}
	switch kind {
	case pgwire.StartupEncrypt:
		s.send([]byte{'N'})
	case pgwire.StartupCancel:
		s.conn.Close()
	default:
		s.started, s.since = true, s.front.loop.Now()
		s.send(pgwire.AppendWelcome(s.out[:0]))
	}
	return true, nil
}

// query handles one statement.
func (s *session) query(sql string) {
	word, _, _ := strings.Cut(strings.TrimLeft(strings.TrimRight(sql, "; \t\r\n"), " \t\r\n"), " ")
	switch strings.ToUpper(word) {
	case "":
		s.send(pgwire.AppendReady(pgwire.AppendEmpty(s.out[:0])))
		return
	case "SET", "RESET", "DISCARD": // without effect, as at the servers
		tag := strings.ToUpper(word)
		s.send(pgwire.AppendReady(pgwire.AppendComplete(s.out[:0], tag)))
		return
	}
	st, err := pgwire.ParseStatement(sql)
	if err != nil {
		s.answerError(codeSyntax, err.Error(), "")
		return
	}
	q := Request{ID: st.ID, Class: st.Class, Writes: st.Writes, Group: st.Group, Session: st.Key, Due: s.front.loop.Now() + st.WaitMs,
		Repeat: st.Retry, Query: &st}
	if st.After > 0 {
		q.After = clock.FromUnix(st.After)
	}
	s.asking, s.request = true, slots.Ref{}
	ref, err := s.front.desk.Ask(q, s)
	if err != nil {
		s.asking = false
		s.answerError(codeSyntax, err.Error(), "")
		return
	}
	if s.asking {
		s.request = ref
	}
}

func (s *session) send(b []byte) {
	if s.out = b; cap(b) > keepOut {
		s.out = nil
	}
	if !s.closed {
		_ = s.conn.Write(b) // a failed write closes the connection
	}
}

func (s *session) answerError(code, text, detail string) {
	s.send(pgwire.AppendReady(pgwire.AppendError(s.out[:0], "ERROR", code, text, detail)))
}

// fatal ends the connection with a word.
func (s *session) fatal(code, text string) {
	if s.closed || s.leaving {
		return
	}
	s.send(pgwire.AppendError(s.out[:0], "FATAL", code, text, ""))
	s.leave()
}

// answered goes on with the next command; off this call, so that the caller's work comes first.
func (s *session) answered() {
	s.asking, s.request, s.since = false, slots.Ref{}, s.front.loop.Now()
	if s.in.Pending() > 0 || s.front.draining {
		l := s.front.loop
		l.At(l.Now(), s.proceed)
	}
}

// Served is Client's.
func (s *session) Served(answer []byte) {
	s.send(pgwire.AppendReady(append(s.out[:0], answer...)))
	s.answered()
}

// Refused is Client's.
func (s *session) Refused(retryMs float64) {
	detail := ""
	if retryMs > 0 {
		detail = strconv.Itoa(int(math.Ceil(retryMs)))
	}
	s.answerError(codeRefused, "no server can take this now", detail)
	s.answered()
}

// Failed is Client's.
func (s *session) Failed() {
	s.answerError(codeFailed, "the request failed; it may have had an effect", "")
	s.answered()
}

// Closed is loop's.
func (s *session) Closed(error) {
	if s.closed {
		return
	}
	s.closed = true
	if s.leaving {
		s.front.leaving--
	}
	s.front.sessions.Drop(s.ref)
	s.front.loop.Stop(s.recheck)
	s.count()
	s.gone()
}

// gone ends an open request whose client will not have its answer.
func (s *session) gone() {
	if s.asking {
		s.asking = false
		s.front.desk.Gone(s.request)
	}
}
