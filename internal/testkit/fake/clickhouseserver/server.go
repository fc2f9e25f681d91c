// Package clickhouseserver fakes the HTTP interface of a ClickHouse server on loopback. It runs no SQL: a command in the query's
// text selects the answer. The fake records the queries it received, and whether each completed or was cancelled.
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
	ID        string // the query_id parameter
	Text      string // the query parameter and the body, of which at most maxText bytes are stored
	User      string
	Session   string
	At        time.Time
	Lag       float64 // replication lag in seconds when the query arrived
	Bytes     int64   // bytes of the body that were read
	Sum       uint64  // xxhash of those bytes
	Whole     bool    // the body was read to its end
	Cancelled bool    // the connection closed before the query ended
	Ended     bool    // the query ran to its end and its answer was written completely
	Kept      bool    // the data of the query is stored, because its body arrived completely
}

// Server is a fake server. A command in the first SQL comment of a query selects the answer:
//
//   - ROWS n: n rows of 1 KiB
//   - SLOW n: n rows of 1 KiB, one every 10 ms
//   - FAIL code: an exception
//   - EARLY code: an exception before the body is read
//   - RAISE: one row, then an exception within a body that ends properly
//   - BROKEN: one row, then the connection closes within the body
//   - DROP: the connection closes without an answer
//   - HANG: no answer until the client closes the connection
//   - PROGRESS n: n progress headers, one every 10 ms, and then the row 1
//   - ECHO: the server's name, the query's ID and the xxhash of its body
//   - TEMP: creates the temporary table of the session
//   - NEEDS: an exception if the session has no temporary table
//
// Any other query, and TEMP and NEEDS without an error, is answered with the row 1.
type Server struct {
	Name string
	Addr string

	server            *http.Server
	mu                sync.Mutex
	runs              []*Run
	rejecting         bool
	rejected          int           // number of rejected queries
	resumed           chan struct{} // closed when the server answers again; nil while it answers
	lag               float64       // seconds; the reported lag grows up to this value, or drops to it at once
	dataTime          time.Time     // the data is complete up to this time, which never moves back
	unreplicated      bool          // the server has no replicated tables
	sessions          map[string]*session
	lagRequests       int // number of /replicas_status requests
	pings             int
	slowRead          time.Duration
	recordingDisabled bool
	answerFunc        func(http.ResponseWriter, *http.Request, *Run, []byte) bool
}

// session is the state of a session. Sessions are keyed by user and session ID, as in ClickHouse.
type session struct {
	busy bool // a query of the session is running
	temp bool // the session has its temporary table
}

// maxText is the limit of the stored part of a body, in bytes.
const maxText = 1 << 20

// Start starts a server on a loopback port that the system chooses.
func Start(name string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("clickhouseserver: listen on loopback: %w", err)
	}
	return StartOn(name, l), nil
}

// StartOn starts a server on an existing listener.
func StartOn(name string, l net.Listener) *Server {
	s := &Server{Name: name, Addr: l.Addr().String(), sessions: map[string]*session{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// Stop closes the server's listener and its connections.
func (s *Server) Stop() { _ = s.server.Close() }

// RejectConnections makes the server reject all queries with exception 202, until it is called with false.
func (s *Server) RejectConnections(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = on
}

// Rejected returns the number of rejected queries.
func (s *Server) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// SetUnresponsive makes the server accept queries without answering, until it is called with false.
func (s *Server) SetUnresponsive(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.resumed == nil:
		s.resumed = make(chan struct{})
	case !on && s.resumed != nil:
		close(s.resumed)
		s.resumed = nil
	}
}

// SetLag sets the replication lag in seconds; a negative lag means that the server has no replicated tables. Data that was replicated
// stays: if the new lag is longer, the server applies nothing until it is that far behind.
func (s *Server) SetLag(seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.unreplicated = max(0, seconds), seconds < 0
}

// lagSeconds returns the server's present lag.
func (s *Server) lagSeconds() float64 {
	now := time.Now()
	if p := now.Add(-time.Duration(s.lag * float64(time.Second))); p.After(s.dataTime) {
		s.dataTime = p
	}
	return now.Sub(s.dataTime).Seconds()
}

// DisableRecording makes the server record no queries, for measurements.
func (s *Server) DisableRecording() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordingDisabled = true
}

// Follow makes the server continue from the replication state of an earlier server, as a restarted process does.
func (s *Server) Follow(old *Server) {
	old.mu.Lock()
	lag, dataTime, unreplicated := old.lag, old.dataTime, old.unreplicated
	old.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.dataTime, s.unreplicated = lag, dataTime, unreplicated
}

// SlowRead makes the server wait after each read of up to 64 KiB of a body.
func (s *Server) SlowRead(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowRead = d
}

// Answer sets a function that is called with each query and the stored part of its body. If it returns true, it has answered the query.
func (s *Server) Answer(f func(w http.ResponseWriter, r *http.Request, run *Run, body []byte) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerFunc = f
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
	resumed, lag, unreplicated, readDelay := s.resumed, s.lagSeconds(), s.unreplicated, s.slowRead
	switch r.URL.Path {
	case "/ping":
		s.pings++
	case "/replicas_status":
		s.lagRequests++
	}
	s.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
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
		case unreplicated && r.URL.Query().Get("verbose") != "1":
			_, _ = io.WriteString(w, "Ok.\n")
		case !unreplicated:
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
	run := &Run{ID: q.Get("query_id"), Text: q.Get("query"), User: user, Session: q.Get("session_id"), At: time.Now(), Lag: lag}
	h := w.Header()
	h.Set("X-ClickHouse-Server-Display-Name", s.Name)
	h.Set("X-ClickHouse-Query-Id", run.ID)
	h.Set("X-ClickHouse-Format", "TabSeparated")
	s.mu.Lock()
	rejecting := s.rejecting
	if rejecting {
		s.rejected++
	}
	if !rejecting && !s.recordingDisabled {
		s.runs = append(s.runs, run)
	}
	s.mu.Unlock()
	if rejecting {
		writeException(w, 202, "Too many simultaneous queries.")
		return
	}
	complete := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.Ended, run.Cancelled = complete, !complete && r.Context().Err() != nil
	}()
	if command, arg := parseCommand(run.Text); command == "EARLY" {
		n, _ := strconv.Atoi(arg)
		h.Set("Connection", "close")
		writeException(w, n, "as asked, and nothing was read")
		complete = true
		return
	}
	body, ok := s.read(run, r.Body, readDelay)
	if !ok {
		return
	}
	if run.Session != "" {
		code, text := s.acquireSession(user+"\x00"+run.Session, q.Get("session_check") == "1", run.Text)
		if code != 0 {
			writeException(w, code, text)
			complete = true
			return
		}
		defer s.releaseSession(user + "\x00" + run.Session)
	}
	s.mu.Lock()
	answerFunc := s.answerFunc
	s.mu.Unlock()
	if answerFunc != nil {
		runCopy := *run
		if answerFunc(w, r, &runCopy, body) {
			s.mu.Lock()
			run.Text = runCopy.Text
			s.mu.Unlock()
			complete = true
			return
		}
	}
	complete = s.answer(w, r, run)
}

// read reads a body and stores a part of it; it reports whether the body was complete.
func (s *Server) read(run *Run, body io.Reader, readDelay time.Duration) (text []byte, complete bool) {
	sum, buf := xxhash.New(), make([]byte, 64<<10)
	n := int64(0)
	for {
		k, err := body.Read(buf)
		_, _ = sum.Write(buf[:k])
		n += int64(k)
		text = append(text, buf[:min(k, maxText-len(text))]...)
		if readDelay > 0 {
			time.Sleep(readDelay)
		}
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			run.Bytes, run.Sum, run.Whole = n, sum.Sum64(), errors.Is(err, io.EOF)
			run.Kept = run.Whole
			run.Text = strings.TrimSpace(run.Text + "\n" + string(text))
			return text, run.Whole
		}
	}
}

// acquireSession locks the session for a query, and creates it if needed. A code other than 0 is the exception to answer with.
func (s *Server) acquireSession(key string, check bool, text string) (code int, message string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.sessions[key]
	switch {
	case current == nil && check:
		return 372, "Session not found."
	case current != nil && current.busy:
		return 373, "Session is locked by a concurrent client."
	case current == nil:
		current = &session{}
		s.sessions[key] = current
	}
	command, _ := parseCommand(text)
	if command == "NEEDS" && !current.temp {
		return 60, "Table does not exist."
	}
	current.busy, current.temp = true, current.temp || command == "TEMP"
	return 0, ""
}

func (s *Server) releaseSession(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[key].busy = false
}

// parseCommand returns the command in the first comment of a query, and its argument.
func parseCommand(text string) (command, arg string) {
	_, args, _ := strings.Cut(text, "/*")
	args, _, _ = strings.Cut(args, "*/")
	command, arg, _ = strings.Cut(strings.TrimSpace(args), " ")
	return command, strings.TrimSpace(arg)
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
func (s *Server) answer(w http.ResponseWriter, r *http.Request, run *Run) bool {
	command, arg := parseCommand(run.Text)
	n, _ := strconv.Atoi(arg)
	row := strings.Repeat("x", rowBytes-1) + "\n"
	flush := http.NewResponseController(w).Flush
	switch command {
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
		return s.progress(w, n, run)
	case "ROWS", "SLOW":
		for range n {
			if _, err := io.WriteString(w, row); err != nil || r.Context().Err() != nil {
				return false
			}
			if command == "SLOW" {
				_ = flush()
				select {
				case <-time.After(10 * time.Millisecond):
				case <-r.Context().Done():
					return false
				}
			}
		}
	case "ECHO":
		_, _ = fmt.Fprintf(w, "%s %s %d\n", s.Name, run.ID, run.Sum)
	default:
		_, _ = io.WriteString(w, "1\n")
	}
	return true
}

// progress writes progress headers while the query runs, as ClickHouse does with send_progress_in_http_headers.
func (s *Server) progress(w http.ResponseWriter, n int, run *Run) bool {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	write := func(format string, args ...any) bool {
		_, _ = fmt.Fprintf(rw, format, args...)
		return rw.Flush() == nil
	}
	ok := write("HTTP/1.1 200 OK\r\nContent-Type: text/tab-separated-values; charset=UTF-8\r\nX-ClickHouse-Query-Id: %s\r\n", run.ID)
	for i := range n {
		time.Sleep(10 * time.Millisecond)
		ok = ok && write("X-ClickHouse-Progress: {\"read_rows\":\"%d\"}\r\n", i)
	}
	return ok && write("Transfer-Encoding: chunked\r\nConnection: close\r\nX-ClickHouse-Summary: {\"read_rows\":\"%d\"}\r\n\r\n2\r\n1\n\r\n0\r\n\r\n", n)
}

// Raw is a fake server that reads the head of a request and leaves the rest of the connection to a function. It answers /ping itself.
type Raw struct {
	Addr string
	l    net.Listener
}

// StartRaw starts a Raw server. It calls handle once per connection, with the head of the first request other than /ping.
func StartRaw(handle func(c net.Conn, in *bufio.Reader, head string)) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("clickhouseserver: listen on loopback: %w", err)
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
					handle(c, in, head)
					return
				}
			}()
		}
	}()
	return &Raw{Addr: l.Addr().String(), l: l}, nil
}

// Stop closes the listener. Open connections stay.
func (r *Raw) Stop() { _ = r.l.Close() }
