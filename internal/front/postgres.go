package front

import (
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
	maxUnsent  = 1 << 18 // of answers a client has not read: with more, its next command waits
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
	sessions slots.Table[*session]
	room     func() bool // whether the descriptors allow the sessions there are
	draining bool
}

// NewPostgres makes a front. room tells whether the descriptors allow the sessions there are; it may make
// room.
func NewPostgres(l *loop.Loop, log *slog.Logger, desk Desk, room func() bool) *Postgres {
	return &Postgres{loop: l, log: log, desk: desk, room: room}
}

// Accept makes the handler of a new connection.
func (p *Postgres) Accept() loop.Handler {
	s := &session{front: p, in: pgwire.NewReader(maxMessage)}
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
}

func (s *session) idle() bool {
	return !s.closed && s.conn != nil && !s.asking && s.in.Pending() == 0 && s.conn.Unsent() == 0
}

// Opened is loop's.
func (s *session) Opened(c *loop.Conn) {
	s.conn = c
	if !s.front.room() && !s.front.closeIdle(s) {
		s.front.log.Warn("too many clients", "sessions", s.front.sessions.Len())
		s.fatal(codeRefused, "too many clients")
	}
}

// closeIdle closes one idle client's connection to make room for another.
func (p *Postgres) closeIdle(but *session) bool {
	var found *session
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if found == nil && s != but && s.started && s.idle() && s.conn.Quiet() {
			found = s
		}
	})
	if found == nil {
		return false
	}
	found.conn.Close()
	return true
}

// Data is loop's.
func (s *session) Data(b []byte) {
	s.in.Feed(b)
	s.proceed()
	if !s.closed && s.in.Pending() > maxAhead {
		s.fatal(codeProtocol, "too much sent ahead of the answers")
	}
}

// proceed takes commands one after the other: the next one once the last has its answer.
func (s *session) proceed() {
	for !s.closed && !s.asking {
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
	default:
		return false, pgwire.ErrMalformed
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
		s.started = true
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
	q := Request{Class: st.Class, Group: st.Group, Session: st.Key, Due: s.front.loop.Now() + st.WaitMs,
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
	if s.closed {
		return
	}
	s.send(pgwire.AppendError(s.out[:0], "FATAL", code, text, ""))
	s.conn.Close()
}

// answered goes on with the next command; off this call, so that the caller's work comes first.
func (s *session) answered() {
	s.asking, s.request = false, slots.Ref{}
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
	s.front.sessions.Drop(s.ref)
	s.front.loop.Stop(s.recheck)
	if s.asking {
		s.asking = false
		s.front.desk.Gone(s.request)
	}
}
