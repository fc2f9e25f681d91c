// Command toy runs a backend for a pooler: one group of three small servers that share a table in memory,
// the first of them the primary, and a discovery service that lists them. It is meant for experiments by
// hand, not for measurements.
package main

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/protocol/pgwire"
)

// heartbeatInterval is the time between two empty lines on a discovery watch, which show that it is alive.
const heartbeatInterval = 2 * time.Second

func main() {
	listen := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	flag.Parse()
	if err := run(*listen); err != nil {
		slog.Error("toy failed", "err", err)
		os.Exit(1)
	}
}

func run(listen string) error {
	t := &table{rows: map[string][]byte{}}
	list := discovery.List{Generation: 1, Reset: true}
	for i, role := range []string{"primary", "replica", "replica"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for server %d: %w", i, err)
		}
		name := fmt.Sprintf("toy-%d", i)
		slog.Info("server listens", "name", name, "role", role, "addr", l.Addr())
		list.Instances = append(list.Instances, discovery.Instance{ID: name, HostPort: l.Addr().String(), Zone: "room",
			MachineType: "small", Lifecycle: "up", Weight: 1, Role: role})
		go serve(l, &server{name: name, role: role, table: t})
	}
	slog.Info("discovery service listens", "addr", listen)
	return http.ListenAndServe(listen, endpoints(list))
}

// endpoints serves discovery requests with a list that never changes.
func endpoints(list discovery.List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		b, err := jsoniter.Marshal(list)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(append(b, '\n'))
		f, ok := w.(http.Flusher)
		for ok && r.URL.Query().Get("watch") != "" {
			f.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(heartbeatInterval):
				_, _ = io.WriteString(w, "\n")
			}
		}
	})
	return mux
}

// table holds the rows of all servers, so the replicas have no replication lag.
type table struct {
	mu   sync.Mutex
	rows map[string][]byte
}

type server struct {
	name, role string
	table      *table
}

func serve(l net.Listener, s *server) {
	for {
		c, err := l.Accept()
		if err != nil {
			slog.Error("accept failed; the server stops", "server", s.name, "err", err)
			return
		}
		go func() {
			defer c.Close()
			if err := s.session(c); err != nil && !errors.Is(err, io.EOF) {
				slog.Info("session failed; connection closed", "server", s.name, "err", err)
			}
		}()
	}
}

func (s *server) session(c net.Conn) error {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return err
	}
	if _, err := c.Write(pgwire.AppendStartupResponse(nil)); err != nil {
		return err
	}
	in, buf := pgwire.NewReader(1<<18), make([]byte, 1<<14)
	for {
		m, ok, err := in.Next()
		if err != nil {
			return err
		}
		if !ok {
			n, err := c.Read(buf)
			if err != nil {
				return err
			}
			in.Feed(buf[:n])
			continue
		}
		if m.Type != 'Q' {
			return nil
		}
		sql, err := pgwire.Text(m.Body)
		if err != nil {
			return err
		}
		if _, err := c.Write(s.answer(sql)); err != nil {
			return err
		}
	}
}

var (
	selectPattern = regexp.MustCompile(`^SELECT content FROM kv WHERE name = '([^']*)'`)
	insertPattern = regexp.MustCompile(`^INSERT INTO kv \(name, content\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING content`)
)

// answer runs one statement.
func (s *server) answer(sql string) []byte {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	now := time.Now().UnixMilli()
	if sql == "SHOW load" {
		primary := 0
		if s.role == "primary" {
			primary = 1
		}
		return row(fmt.Appendf(nil, "x0=%d.%03d,x1=%d", now/1000, now%1000, primary), "SHOW")
	}
	slog.Info("received a statement", "server", s.name, "role", s.role, "sql", sql)
	if m := selectPattern.FindStringSubmatch(sql); m != nil {
		return s.withStatus(row(s.table.rows[m[1]], "SELECT 1"), now)
	}
	if m := insertPattern.FindStringSubmatch(sql); m != nil {
		if s.role != "primary" {
			return s.withStatus(failure("25006", "this is no primary"), now)
		}
		v, err := hex.DecodeString(m[2])
		if err != nil {
			return failure("22P02", "not hex: "+strings.TrimSpace(err.Error()))
		}
		s.table.rows[m[1]] = v
		return s.withStatus(row(v, "INSERT 0 1"), now+1) // the commit position is rounded up to the next millisecond
	}
	return failure("08P01", "the toy knows only the two statements of its page")
}

// withStatus inserts the role and the replication position, in milliseconds, before ReadyForQuery.
func (s *server) withStatus(b []byte, position int64) []byte {
	b = b[:len(b)-len(pgwire.AppendReady(nil))]
	b = pgwire.AppendParameter(b, "role", s.role)
	b = pgwire.AppendParameter(b, "applied_ms", fmt.Sprint(position))
	return pgwire.AppendReady(b)
}

func row(value []byte, tag string) []byte {
	return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", value), tag))
}

func failure(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
