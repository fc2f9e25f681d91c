package database

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/model"
)

// sqlClient is a client connection to one server that speaks the full protocol.
type sqlClient struct {
	net.Conn
	*pgproto3.Frontend
}

// readUntilReady reads up to a ReadyForQuery and returns the command tags and SQLSTATEs before it.
func (client *sqlClient) readUntilReady() (tags string, err error) {
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		m, err := client.Receive()
		if err != nil {
			return tags, err
		}
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			tags += string(m.CommandTag) + ";"
		case *pgproto3.ErrorResponse:
			tags += m.Code + ";"
		case *pgproto3.ReadyForQuery:
			return tags, nil
		}
	}
}

func connect(t *testing.T, addr string) *sqlClient {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting to %s: %v", addr, err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	client := &sqlClient{nc, pgproto3.NewFrontend(nc, nc)}
	client.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "tablet", "database": "obra"}})
	if err := client.Flush(); err != nil {
		t.Fatalf("sending the startup message to %s: %v", addr, err)
	}
	if _, err := client.readUntilReady(); err != nil {
		t.Fatalf("reading the answer of %s to the startup message: %v", addr, err)
	}
	return client
}

func startOneServer(t *testing.T) *Fleet {
	t.Helper()
	fleet := New(Defaults(1), clock.System(), slog.New(slog.DiscardHandler))
	if err := fleet.Start(); err != nil {
		t.Fatalf("starting the fleet: %v", err)
	}
	t.Cleanup(fleet.Close)
	return fleet
}

// TestKillResetsBeforeReturn: when Kill returns, the server's connections are reset, and a statement sent later is neither answered nor
// counted. With GOMAXPROCS=1, work that Kill had only started in goroutines would not have run when it returns.
func TestKillResetsBeforeReturn(t *testing.T) {
	fleet := startOneServer(t)
	s := fleet.servers[0]
	const many = 50
	var clients []*sqlClient
	for range many {
		client := connect(t, s.addr)
		if _, err := client.Write(pgwire.AppendQuery(nil, "BEGIN")); err != nil {
			t.Fatalf("sending BEGIN: %v", err)
		}
		if tags, err := client.readUntilReady(); err != nil || tags != "BEGIN;" {
			t.Fatalf("answer to BEGIN is %q, error %v, want %q", tags, err, "BEGIN;")
		}
		clients = append(clients, client)
	}
	platform, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatalf("connecting a platform client to %s: %v", s.addr, err)
	}
	defer func() { _ = platform.Close() }()
	if _, err := platform.Write(pgwire.AppendStartup(nil, "backend", "store")); err != nil {
		t.Fatalf("sending the platform client's startup message: %v", err)
	}
	welcome := pgwire.AppendStartupResponse(nil)
	if _, err := io.ReadFull(platform, make([]byte, len(welcome))); err != nil {
		t.Fatalf("reading the answer to the platform client's startup message: %v", err)
	}
	fleet.mu.Lock()
	var conns []*conn
	for c := range s.conns {
		conns = append(conns, c)
	}
	fleet.mu.Unlock()
	before := fleet.Watched().Statements
	insert := pgwire.AppendQuery(nil, "INSERT INTO kv (name, content) VALUES ('k', 'z')")

	old := runtime.GOMAXPROCS(1)
	err = fleet.Kill(s.Name)
	open := 0
	for _, c := range conns {
		if c.SetDeadline(time.Time{}) == nil { // SetDeadline fails on a closed socket
			open++
		}
	}
	for _, client := range clients {
		_, _ = client.Write(insert)
	}
	_, _ = platform.Write(pgwire.AppendQuery(nil, "SELECT 1"))
	runtime.GOMAXPROCS(old)

	if err != nil {
		t.Fatalf("killing server %s: %v", s.Name, err)
	}
	if len(conns) != many+1 || open > 0 {
		t.Errorf("%d of %d connections are still open when Kill has returned, want none of %d", open, len(conns), many+1)
	}
	for i, client := range clients {
		if tags, err := client.readUntilReady(); err == nil || tags != "" {
			t.Errorf("connection %d: a dead server answered %q, %v; want no answer", i, tags, err)
		}
	}
	_ = platform.SetReadDeadline(time.Now().Add(20 * time.Second))
	var timeout net.Error
	if b, err := io.ReadAll(platform); len(b) > 0 || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("a dead server answered a platform client with %q, %v; want a reset", b, err)
	}
	if now := fleet.Watched().Statements; now != before {
		t.Errorf("%d statements were counted after the server ended, want 0", now-before)
	}
}

// TestEndedProcessExecutesNothing: a statement is in execution when its server's process ends and is replaced by another at once.
// Neither that statement nor those queued behind it take effect, and waiting statements end.
func TestEndedProcessExecutesNothing(t *testing.T) {
	insert := func(key string) string { return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', 'x')", key) }
	for name, sql := range map[string][]string{
		"a write that commits itself": {insert("mine")},
		"a write and those behind it": {insert("other"), insert("mine")},
		"a commit":                    {"BEGIN", insert("mine"), "COMMIT"},
		"a pipeline within a sleep":   {"SELECT pg_sleep(30)", insert("mine")},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startOneServer(t)
			s := fleet.servers[0]
			in, release := make(chan bool), make(chan bool)
			held := sql[0]
			if held == "BEGIN" {
				held = "COMMIT"
			}
			var behind atomic.Int32
			dead := atomic.Bool{}
			fleet.Before(func(_, got string) bool {
				if dead.Load() {
					behind.Add(1)
				}
				if got == held {
					close(in)
					<-release
				}
				return true
			})
			client := connect(t, s.addr)
			var b []byte
			for _, one := range sql {
				b = pgwire.AppendQuery(b, one)
			}
			if _, err := client.Write(b); err != nil {
				t.Fatalf("sending the statements: %v", err)
			}
			<-in
			if strings.Contains(held, "sleep") { // wait until the statement sleeps
				close(release)
				for sleeping := false; !sleeping; time.Sleep(time.Millisecond) {
					fleet.mu.Lock()
					for _, sess := range fleet.sessions {
						sleeping = sess.cancel != nil
					}
					fleet.mu.Unlock()
				}
			}
			if err := fleet.Update(func(w *model.World) error { return w.Restart(s.Name) }); err != nil {
				t.Fatalf("restarting server %s: %v", s.Name, err)
			}
			dead.Store(true)
			if !strings.Contains(held, "sleep") {
				close(release)
			}
			gone := func() bool { // the session has ended
				fleet.mu.Lock()
				defer fleet.mu.Unlock()
				return len(fleet.sessions) == 0
			}
			for end := time.Now().Add(10 * time.Second); !gone(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the session has not ended 10 s after its process")
				}
			}
			fleet.mu.Lock()
			v, primary := slices.Concat(s.Read("mine"), s.Read("other")), s.Group.Primary == s.Server
			fleet.mu.Unlock()
			if !primary || len(v) > 0 || behind.Load() > 0 {
				t.Errorf("an ended process wrote %q, want nothing; it began %d statements after its end, want 0; its successor is the primary: %v, want true", v, behind.Load(), primary)
			}
			answered, err := "", error(nil)
			for tags := ""; err == nil; answered += tags {
				tags, err = client.readUntilReady()
			}
			was := "" // answers that were sent before the end
			if held == "COMMIT" {
				was = "BEGIN;INSERT 0 1;"
			}
			if !strings.HasPrefix(was, answered) {
				t.Errorf("an ended process answered %q, want nothing", strings.TrimPrefix(answered, was))
			}
		})
	}
}
