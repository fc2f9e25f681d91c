// Package house is a stand-in for a ClickHouse server's HTTP interface on loopback. It runs no SQL: a query's text says how it
// is answered, and the stand-in counts what ran, what was cancelled, and when it was told to drain.
package house

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a query that came.
type Run struct {
	ID        string // its query_id
	Text      string
	User      string
	At        time.Time
	Cancelled bool // its connection went before it had ended
	Ended     bool
}

// Server is a stand-in. How it answers is in a query's text: "ROWS n" has n rows of 1 KiB, "FAIL code" an exception, "BROKEN" ends
// in the midst of its body, "HANG" waits until its connection goes, "SLOW n" has n rows, one each 10 ms, "DROP" closes before it
// answers; anything else is "1".
type Server struct {
	Name string
	Addr string

	server *http.Server
	mu     sync.Mutex
	runs   []*Run
	full   bool
	news   chan struct{}
}

// Start starts a server.
func Start(name string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	s := &Server{Name: name, Addr: l.Addr().String(), news: make(chan struct{}, 1)}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Stop ends it and its connections.
func (s *Server) Stop() { _ = s.server.Close() }

// Full has it turn queries away.
func (s *Server) Full(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = on
}

// Runs are the queries that came, as they stand now.
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
	if r.URL.Path == "/ping" {
		_, _ = io.WriteString(w, "Ok.\n")
		return
	}
	body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	text := strings.TrimSpace(r.URL.Query().Get("query") + "\n" + string(body))
	user, _, ok := r.BasicAuth()
	if !ok {
		user = r.Header.Get("X-ClickHouse-User")
	}
	x := &Run{ID: r.URL.Query().Get("query_id"), Text: text, User: user, At: time.Now()}
	s.mu.Lock()
	full := s.full
	if !full {
		s.runs = append(s.runs, x)
	}
	s.mu.Unlock()
	h := w.Header()
	h.Set("X-ClickHouse-Server-Display-Name", s.Name)
	h.Set("X-ClickHouse-Query-Id", x.ID)
	if full {
		h.Set("X-ClickHouse-Exception-Code", "202")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "Code: 202. DB::Exception: Too many simultaneous queries.")
		return
	}
	whole := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		x.Ended, x.Cancelled = whole, !whole && r.Context().Err() != nil
	}()
	_, args, _ := strings.Cut(text, "/*")
	word, arg, _ := strings.Cut(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(args), "*/")), " ")
	n, _ := strconv.Atoi(arg)
	row := strings.Repeat("x", rowBytes-1) + "\n"
	switch word {
	case "HANG":
		<-r.Context().Done()
		return
	case "DROP":
		panic(http.ErrAbortHandler)
	case "FAIL":
		h.Set("X-ClickHouse-Exception-Code", arg)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintf(w, "Code: %s. DB::Exception: as asked", arg)
	case "BROKEN":
		_, _ = io.WriteString(w, row)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "ROWS", "SLOW":
		for range n {
			if _, err := io.WriteString(w, row); err != nil || r.Context().Err() != nil {
				return
			}
			if word == "SLOW" {
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(10 * time.Millisecond):
				case <-r.Context().Done():
					return
				}
			}
		}
	default:
		_, _ = io.WriteString(w, "1\n")
	}
	whole = true
}
