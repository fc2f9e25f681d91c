// Package clickhouseserver fakes a ClickHouse server's HTTP interface on loopback. It runs no SQL: a query's text says how it
// is answered, and the fake counts the queries that ran and those that were cancelled.
package clickhouseserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Run is a query that the server received.
type Run struct {
	ID        string // its query_id
	Text      string // the parameter and as much of the body as a text may have
	User      string
	Session   string
	At        time.Time
	Lag       float64 // seconds that the server was behind then
	Bytes     int64   // of its body...
	Sum       uint64  // ...whose xxhash that is, once it has come whole
	Whole     bool
	Cancelled bool // its connection went before it had ended
	Ended     bool // it ran to its end, and its answer was written
	Kept      bool // its data stays: it was not cut off before its body's end
}

// Server is a fake server. How it answers is in a comment of a query's text: "ROWS n" has n rows of 1 KiB, "FAIL code" an
// exception, "BROKEN" ends in the midst of its body, "RAISE" has an exception in the midst of a whole body, "HANG" waits until
// its connection goes, "SLOW n" has n rows, one each 10 ms, "DROP" closes before it answers, "PROGRESS n" has n fields of
// progress in its head, one each 10 ms, "EARLY code" is an exception before its body is read, "TEMP" is kept by its session and
// "NEEDS" is an exception where the session has no TEMP; anything else is "1".
type Server struct {
	Name string
	Addr string

	server            *http.Server
	mu                sync.Mutex
	runs              []*Run
	full              bool
	turned            int           // queries turned away
	silent            chan struct{} // closed when it is not any more; nil where it answers
	lag               float64       // seconds that it stays behind once it is
	pos               time.Time     // what it has is never older again
	plain             bool          // it has no tables that are replicated
	sessions          map[string]*session
	asked             int // for its lag
	pings             int
	slowRead          time.Duration
	recordingDisabled bool
	own               func(http.ResponseWriter, *http.Request, *Run, []byte) bool
}

// session is one that the server has: user and id, as ClickHouse keeps them apart.
type session struct {
	busy bool
	temp bool
}

// maxText bounds the stored part of a body.
const maxText = 1 << 20

// Start starts a server.
func Start(name string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return StartOn(name, l), nil
}

// StartOn starts a server on a listener that there is.
func StartOn(name string, l net.Listener) *Server {
	s := &Server{Name: name, Addr: l.Addr().String(), sessions: map[string]*session{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// Stop ends it and its connections, and what its sessions held.
func (s *Server) Stop() { _ = s.server.Close() }

// RejectConnections makes the server reject queries, or ends that.
func (s *Server) RejectConnections(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = on
}

// Rejected returns the number of rejected queries.
func (s *Server) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned
}

// SetUnresponsive makes the server accept queries without answering, until it is called with false.
func (s *Server) SetUnresponsive(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.silent == nil:
		s.silent = make(chan struct{})
	case !on && s.silent != nil:
		close(s.silent)
		s.silent = nil
	}
}

// SetLag sets how many seconds its tables are behind; below 0 it has none that are replicated. What it has had it keeps: where it
// was nearer before, it stands still until it is so far behind.
func (s *Server) SetLag(seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.plain = max(0, seconds), seconds < 0
}

// lagSeconds returns the server's present lag.
func (s *Server) lagSeconds() float64 {
	now := time.Now()
	if p := now.Add(-time.Duration(s.lag * float64(time.Second))); p.After(s.pos) {
		s.pos = p
	}
	return now.Sub(s.pos).Seconds()
}

// DisableRecording makes the server record no queries, for measurements.
func (s *Server) DisableRecording() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordingDisabled = true
}

// Follow makes the server start with the data of an earlier process.
func (s *Server) Follow(old *Server) {
	old.mu.Lock()
	lag, pos, plain := old.lag, old.pos, old.plain
	old.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.pos, s.plain = lag, pos, plain
}

// SlowRead makes the server wait before each 64 KiB of a body.
func (s *Server) SlowRead(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowRead = d
}

// Answer sets a function that answers queries if it returns true; it gets the stored part of the body.
func (s *Server) Answer(f func(w http.ResponseWriter, r *http.Request, x *Run, body []byte) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = f
}

// Runs returns the queries received so far.
func (s *Server) Runs() (out []Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

const rowBytes = 1 << 10

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, lag, plain, slow := s.silent, s.lagSeconds(), s.plain, s.slowRead
	switch r.URL.Path {
	case "/ping":
		s.pings++
	case "/replicas_status":
		s.asked++
	}
	s.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
			return
		}
	}
	switch r.URL.Path {
	case "/ping":
		_, _ = io.WriteString(w, "Ok.\n")
		return
	case "/replicas_status":
		switch {
		case plain && r.URL.Query().Get("verbose") != "1":
			_, _ = io.WriteString(w, "Ok.\n")
		case !plain:
			if lag >= 300 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = fmt.Fprintf(w, "obra.ponto:\tAbsolute delay: %d. Relative delay: 0.\nobra.mes:\tAbsolute delay: 0. Relative delay: 0.\n", int(lag))
		}
		return
	}
	q := r.URL.Query()
	user, _, ok := r.BasicAuth()
	if !ok {
		user = r.Header.Get("X-ClickHouse-User")
	}
	if u := q.Get("user"); u != "" {
		user = u
	}
	x := &Run{ID: q.Get("query_id"), Text: q.Get("query"), User: user, Session: q.Get("session_id"), At: time.Now(), Lag: lag}
	h := w.Header()
	h.Set("X-ClickHouse-Server-Display-Name", s.Name)
	h.Set("X-ClickHouse-Query-Id", x.ID)
	h.Set("X-ClickHouse-Format", "TabSeparated")
	s.mu.Lock()
	full := s.full
	if full {
		s.turned++
	}
	if !full && !s.recordingDisabled {
		s.runs = append(s.runs, x)
	}
	s.mu.Unlock()
	if full {
		writeException(w, 202, "Too many simultaneous queries.")
		return
	}
	whole := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		x.Ended, x.Cancelled = whole, !whole && r.Context().Err() != nil
	}()
	if word, arg := parseCommand(x.Text); word == "EARLY" {
		n, _ := strconv.Atoi(arg)
		h.Set("Connection", "close")
		writeException(w, n, "as asked, and nothing was read")
		whole = true
		return
	}
	body, ok := s.read(x, r.Body, slow)
	if !ok {
		return
	}
	if x.Session != "" {
		code, text := s.acquireSession(user+"\x00"+x.Session, q.Get("session_check") == "1", x.Text)
		if code != 0 {
			writeException(w, code, text)
			whole = true
			return
		}
		defer s.releaseSession(user + "\x00" + x.Session)
	}
	s.mu.Lock()
	own := s.own
	s.mu.Unlock()
	if own != nil {
		mine := *x
		if own(w, r, &mine, body) {
			s.mu.Lock()
			x.Text = mine.Text
			s.mu.Unlock()
			whole = true
			return
		}
	}
	whole = s.answer(w, r, x)
}

// read reads a body and stores a part of it; it reports whether the body was complete.
func (s *Server) read(x *Run, body io.Reader, slow time.Duration) (text []byte, whole bool) {
	sum, buf := xxhash.New(), make([]byte, 64<<10)
	n := int64(0)
	for {
		k, err := body.Read(buf)
		_, _ = sum.Write(buf[:k])
		n += int64(k)
		text = append(text, buf[:min(k, maxText-len(text))]...)
		if slow > 0 {
			time.Sleep(slow)
		}
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			x.Bytes, x.Sum, x.Whole = n, sum.Sum64(), errors.Is(err, io.EOF)
			x.Kept = x.Whole
			x.Text = strings.TrimSpace(x.Text + "\n" + string(text))
			return text, x.Whole
		}
	}
}

// acquireSession takes a query into its session.
func (s *Server) acquireSession(key string, check bool, text string) (code int, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.sessions[key]
	switch {
	case v == nil && check:
		return 372, "Session not found."
	case v != nil && v.busy:
		return 373, "Session is locked by a concurrent client."
	case v == nil:
		v = &session{}
		s.sessions[key] = v
	}
	word, _ := parseCommand(text)
	if word == "NEEDS" && !v.temp {
		return 60, "Table does not exist."
	}
	v.busy, v.temp = true, v.temp || word == "TEMP"
	return 0, ""
}

func (s *Server) releaseSession(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[key].busy = false
}

// parseCommand returns the command in a query's comment.
func parseCommand(text string) (word, arg string) {
	_, args, _ := strings.Cut(text, "/*")
	args, _, _ = strings.Cut(args, "*/")
	word, arg, _ = strings.Cut(strings.TrimSpace(args), " ")
	return word, strings.TrimSpace(arg)
}

func writeException(w http.ResponseWriter, code int, text string) {
	w.Header().Set("X-ClickHouse-Exception-Code", strconv.Itoa(code))
	status := http.StatusInternalServerError
	if code == 372 || code == 60 {
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "Code: %d. DB::Exception: %s", code, text)
}

// answer writes an answer and reports whether it was written completely.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, x *Run) bool {
	word, arg := parseCommand(x.Text)
	n, _ := strconv.Atoi(arg)
	row := strings.Repeat("x", rowBytes-1) + "\n"
	flush := http.NewResponseController(w).Flush
	switch word {
	case "HANG":
		<-r.Context().Done()
		return false
	case "DROP":
		panic(http.ErrAbortHandler)
	case "FAIL":
		writeException(w, n, "as asked")
	case "RAISE":
		_, _ = io.WriteString(w, row)
		_ = flush()
		_, _ = io.WriteString(w, "Code: 395. DB::Exception: in the midst of the result")
	case "BROKEN":
		_, _ = io.WriteString(w, row)
		_ = flush()
		panic(http.ErrAbortHandler)
	case "PROGRESS":
		return s.progress(w, n, x)
	case "ROWS", "SLOW":
		for range n {
			if _, err := io.WriteString(w, row); err != nil || r.Context().Err() != nil {
				return false
			}
			if word == "SLOW" {
				_ = flush()
				select {
				case <-time.After(10 * time.Millisecond):
				case <-r.Context().Done():
					return false
				}
			}
		}
	case "ECHO":
		_, _ = fmt.Fprintf(w, "%s %s %d\n", s.Name, x.ID, x.Sum)
	default:
		_, _ = io.WriteString(w, "1\n")
	}
	return true
}

// progress writes a head that grows while the query runs, as servers do with send_progress_in_http_headers.
func (s *Server) progress(w http.ResponseWriter, n int, x *Run) bool {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	write := func(format string, args ...any) bool {
		_, _ = fmt.Fprintf(rw, format, args...)
		return rw.Flush() == nil
	}
	ok := write("HTTP/1.1 200 OK\r\nContent-Type: text/tab-separated-values; charset=UTF-8\r\nX-ClickHouse-Query-Id: %s\r\n", x.ID)
	for i := range n {
		time.Sleep(10 * time.Millisecond)
		ok = ok && write("X-ClickHouse-Progress: {\"read_rows\":\"%d\"}\r\n", i)
	}
	return ok && write("Transfer-Encoding: chunked\r\nConnection: close\r\nX-ClickHouse-Summary: {\"read_rows\":\"%d\"}\r\n\r\n2\r\n1\n\r\n0\r\n\r\n", n)
}

// Raw is a fake server that reads one request's head and then lets a function write to the connection.
type Raw struct {
	Addr string
	l    net.Listener
}

// StartRaw starts one; say gets the connection after each head, with which of its connection that is.
func StartRaw(say func(c net.Conn, in *bufio.Reader, head string)) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					head := ""
					for !strings.HasSuffix(head, "\r\n\r\n") {
						line, err := in.ReadString('\n')
						if err != nil {
							return
						}
						head += line
					}
					if strings.HasPrefix(head, "GET /ping") {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n")
						continue
					}
					say(c, in, head)
					return
				}
			}()
		}
	}()
	return &Raw{Addr: l.Addr().String(), l: l}, nil
}

// Stop ends it.
func (r *Raw) Stop() { _ = r.l.Close() }
