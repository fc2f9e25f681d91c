package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"beechgrade/internal/config"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/settings"
)

// poolFixture is a pooler with the pooling frontend and one scripted server.
type poolFixture struct {
	t    testing.TB
	p    *pooler
	addr string
	hup  chan<- os.Signal
	stop chan<- os.Signal
	done <-chan error
}

// newPoolFixture starts a pooler; pool is added to the settings of its pool.
func newPoolFixture(t testing.TB, server, pool string, change ...func(*config.Config)) *poolFixture {
	t.Helper()
	return newPoolFixtureWith(t, server, fmt.Sprintf(transactionPoolSettings, pool), change...)
}

// newPoolFixtureWith is newPoolFixture with complete settings.
func newPoolFixtureWith(t testing.TB, server, poolForms string, change ...func(*config.Config)) *poolFixture {
	t.Helper()
	set, err := settings.Parse("test", []byte(poolForms), os.Getenv)
	if err != nil {
		t.Fatalf("parsing the pool's settings: %v", err)
	}
	cfg := testConfig(t, server, nil, change...)
	set.Pooling.AddClasses(cfg)
	s := &poolFixture{t: t, p: newPooler(cfg, testLog())}
	s.p.openPooling(set.Pooling)
	_, s.hup, s.stop, s.done = launch(t, s.p)
	at := make(chan string, 1)
	s.p.loop.Post(func() { at <- s.p.poolingAddr })
	s.addr = <-at
	return s
}

// client connects to the pool and completes the startup.
func (s *poolFixture) client() *peer {
	s.t.Helper()
	c, _ := s.clientWithCancel()
	return c
}

// clientWithCancel is client that also returns the cancel request for the client's statements.
func (s *poolFixture) clientWithCancel() (c *peer, cancel []byte) {
	s.t.Helper()
	c = dial(s.t, s.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		if typ == 0 {
			s.t.Fatal("the connection ended during startup")
		}
		if typ == 'K' {
			cancel = pgwire.AppendCancel(nil, binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:]))
		}
	}
	return c, cancel
}

// cancel sends a cancel request, and waits until the pooler has closed its connection.
func (s *poolFixture) cancel(request []byte) {
	s.t.Helper()
	c := dial(s.t, s.addr)
	c.send(request)
	c.want("$")
	_ = c.Close()
}

// onLoop runs a function on the pooler's loop, and waits for it.
func (s *poolFixture) onLoop(do func()) {
	done := make(chan struct{})
	s.p.loop.Post(func() { do(); close(done) })
	<-done
}

// holdLoop blocks the event loop until the returned function is called, so that the loop handles everything that happens meanwhile in one turn.
func (s *poolFixture) holdLoop() (release func()) {
	held, gate := make(chan struct{}), make(chan struct{})
	s.p.loop.Post(func() { close(held); <-gate })
	<-held
	return func() { close(gate) }
}

// nextQueryContaining returns the next query of a scripted server, which must contain a text.
func nextQueryContaining(t testing.TB, queries <-chan receivedQuery, part string) receivedQuery {
	t.Helper()
	q := next(t, queries)
	if !strings.Contains(q.sql, part) {
		t.Fatalf("query at the server is %q, want one that contains %q", q.sql, part)
	}
	return q
}

func simpleQuery(sql string) []byte { return pgwire.AppendQuery(nil, sql) }

// TestPooledStopAnswersSentStatements: at SIGTERM a client has one statement in progress and two more queued, the last of them
// incomplete. Each is answered, and then the client gets the error that the pooler shuts down.
func TestPooledStopAnswersSentStatements(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2)")
	c := s.client()
	third := simpleQuery("SELECT 3")
	c.send(append(append(simpleQuery("SELECT 1"), simpleQuery("SELECT 2")...), third[:4]...))
	first := nextQueryContaining(t, queries, "SELECT 1")
	s.stop <- syscall.SIGTERM
	s.onLoop(func() {})
	s.waitUntilOnLoop("the pooler stops", func() bool { return s.p.lifecycle.State().String() == "stopping" })
	first.send(row("1"))
	c.want("TDCZ 1")
	nextQueryContaining(t, queries, "SELECT 2").send(row("2"))
	c.want("TDCZ 2")
	c.send(third[4:])
	nextQueryContaining(t, queries, "SELECT 3").send(row("3"))
	c.want("TDCZ 3")
	c.want("E$ 57P01")
	_ = c.Close()
	if err := <-s.done; err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}

// waitUntilOnLoop waits until a condition, evaluated on the event loop, holds.
func (s *poolFixture) waitUntilOnLoop(what string, holds func() bool) {
	s.t.Helper()
	waitUntil(s.t, what, func() (is bool) {
		s.onLoop(func() { is = holds() })
		return is
	})
}

// TestPooledStopAnswersUnreadCommand: a command of an idle client is unread in its socket when SIGTERM is handled. It is answered.
func TestPooledStopAnswersUnreadCommand(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2)")
	c := s.client()
	release := s.holdLoop()
	s.p.loop.Post(func() { s.p.handleLifecycle(lifecycle.Terminate) }) // handled before anything is read from sockets
	c.send(simpleQuery("SELECT 1"))
	release()
	nextQueryContaining(t, queries, "SELECT 1").send(row("1"))
	c.want("TDCZ 1")
	c.want("E$ 57P01")
}

// TestPooledStopDeliversUnsentAnswer: a client has read nothing of its answer when the answer is complete and the pooler drains. The
// client gets all of it, and then the reason why its connection ends.
func TestPooledStopDeliversUnsentAnswer(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 2)")
	c := s.client()
	c.send(simpleQuery("SELECT 1"))
	q := nextQueryContaining(t, queries, "SELECT 1")
	s.stop <- syscall.SIGTERM
	s.waitUntilOnLoop("the pooler stops", func() bool { return s.p.lifecycle.State() == lifecycle.Stopping })
	rows, one := 0, pgwire.AppendRow(nil, "content", make([]byte, 60<<10))
	waitUntil(t, "the client's socket takes no more", func() bool {
		q.send(one)
		rows++
		unsent := 0
		s.onLoop(func() { unsent = s.p.pooling.Unsent() })
		return unsent > 0
	})
	q.send(pgwire.AppendReady(pgwire.AppendComplete(nil, "SELECT 1")))
	s.waitUntilOnLoop("the pooler has the end of the answer", func() bool { return s.p.core.OpenRequests() == 0 })
	got := 0
	for {
		typ, body := c.message()
		if typ == 'D' {
			got++
		}
		if typ == 'E' && pgwire.ErrorCode(body) == "57P01" {
			break
		}
		if typ == 0 {
			t.Fatalf("the connection ended after %d of %d rows", got, rows)
		}
	}
	if got != rows {
		t.Errorf("rows that arrived: got %d, want %d", got, rows)
	}
}

// TestPooledCancelQueued: a client cancels a transaction that is queued for admission, or that waits for a connection that is not up yet.
// The client gets an error at once, and nothing of the transaction is sent to a server.
func TestPooledCancelQueued(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 1)")
	holder := s.client()
	holder.send(simpleQuery("INSERT 1"))
	first := nextQueryContaining(t, queries, "INSERT 1")
	c, cancel := s.clientWithCancel()
	c.send(simpleQuery("INSERT 2"))
	s.cancel(cancel)
	c.want("EZ 57014")
	first.send(row("1"))
	holder.want("TDCZ 1")
	c.send(simpleQuery("INSERT 3"))
	nextQueryContaining(t, queries, "INSERT 3").send(row("3"))
	c.want("TDCZ 3")

	l := listen(t)
	slow := newPoolFixture(t, l.Addr().String(), "(connections 1)")
	c, cancel = slow.clientWithCancel()
	c.send(simpleQuery("INSERT 4"))
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("accepting the pooler's connection: %v", err)
	}
	slow.cancel(cancel)
	c.want("EZ 57014")
	up := newPeer(t, conn)
	up.send(pgwire.AppendStartupResponse(nil))
	c.send(simpleQuery("INSERT 5"))
	head, err := up.in.Peek(4)
	if err != nil {
		t.Fatalf("reading the pooler's startup message: %v", err)
	}
	_, _ = up.in.Discard(int(binary.BigEndian.Uint32(head)))
	if _, body := up.message(); !strings.Contains(string(body), "INSERT 5") {
		t.Fatalf("message at the server is %q, want only INSERT 5", body)
	}
	up.send(row("5"))
	c.want("TDCZ 5")
}

// TestPooledCancelledStatementIsNotResent: a client cancels a statement that was sent to a server, and then the server reports that it did
// not run, or closes the connection. The statement is not sent to a server again.
func TestPooledCancelledStatementIsNotResent(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(q receivedQuery)
		want string
	}{
		"did not run": {func(q receivedQuery) {
			q.send(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "72000", "too far behind", "")))
		}, "EZ 57014"},
		"broke off": {func(q receivedQuery) { _ = q.Close() }, "EZ 57014"},
	} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixture(t, srv, "(connections 1)")
			c, cancel := s.clientWithCancel()
			c.send(simpleQuery("SELECT 1"))
			q := nextQueryContaining(t, queries, "SELECT 1")
			s.cancel(cancel)
			tc.end(q)
			c.want(tc.want)
			c.send(simpleQuery("SELECT 2"))
			for q = next(t, queries); q.sql == "(gone)"; q = next(t, queries) {
			}
			if !strings.Contains(q.sql, "SELECT 2") {
				t.Fatalf("query at the server after the cancelled one is %q, want SELECT 2", q.sql)
			}
			q.send(row("2"))
			c.want("TDCZ 2")
		})
	}
}

// TestPooledPausedClientLeaves: a client has pipelined so much that the pooler pauses reading from it, while its transaction waits for a
// connection, and then disconnects. Nothing of it is sent to a server.
func TestPooledPausedClientLeaves(t *testing.T) {
	for name, leave := range map[string]func(c *peer){
		"closes": func(c *peer) { _ = c.Close() },
		"resets": func(c *peer) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixtureWith(t, srv, strings.Replace(fmt.Sprintf(transactionPoolSettings, "(connections 1) (wait 60s)"), "(listen", "(most-message 64k) (listen", 1))
			holder := s.client()
			holder.send(simpleQuery("INSERT 1"))
			first := nextQueryContaining(t, queries, "INSERT 1")
			c := s.client()
			c.send(simpleQuery("INSERT 2"))
			c.send(simpleQuery("SELECT '" + strings.Repeat("x", 60<<10) + "'"))
			c.send(simpleQuery("SELECT '" + strings.Repeat("x", 60<<10) + "'"))
			s.waitUntilOnLoop("reading from the client is paused", func() bool { return s.p.pooling.PausedClients() == 1 })
			leave(c)
			s.waitUntilOnLoop("its session has ended", func() bool { return s.p.pooling.Sessions() == 1 })
			first.send(row("1"))
			holder.want("TDCZ 1")
			holder.send(simpleQuery("SELECT 9"))
			nextQueryContaining(t, queries, "SELECT 9").send(row("9"))
			holder.want("TDCZ 9")
		})
	}
}

// TestPooledServerClosesChosenConnection: a server has closed its idle connection when a transaction is assigned to it, in transaction and
// in session mode. The transaction is sent on a new connection: nothing was sent on the old one, so the outcome is not in doubt.
func TestPooledServerClosesChosenConnection(t *testing.T) {
	for _, mode := range []string{"transaction", "session"} {
		t.Run(mode, func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixtureWith(t, srv, strings.Replace(fmt.Sprintf(transactionPoolSettings, "(connections 1) (mode "+mode+")"), `(reads "office-reads")`, "", 1))
			c := s.client()
			c.send(simpleQuery("INSERT 1"))
			q := nextQueryContaining(t, queries, "INSERT 1")
			q.send(row("1"))
			c.want("TDCZ 1")
			release := s.holdLoop()
			c.send(simpleQuery("INSERT 2")) // the loop reads this first...
			_ = q.Close()                   // ...and then this
			nextQueryContaining(t, queries, "(gone)")
			release()
			second := nextQueryContaining(t, queries, "INSERT 2")
			if second.conn == q.conn {
				t.Error("the statement was sent on the closed connection")
			}
			second.send(row("2"))
			c.want("TDCZ 2")
		})
	}
}

// TestPooledProtocolErrorEndsRequest: a client's connection ends because of a protocol error just as its transaction is assigned to an idle
// connection. No request stays open.
func TestPooledProtocolErrorEndsRequest(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 1)")
	c := s.client()
	c.send(simpleQuery("INSERT 1"))
	nextQueryContaining(t, queries, "INSERT 1").send(row("1"))
	c.want("TDCZ 1")
	c.send([]byte{'D', 0, 0, 0, 4}) // Describe without a target
	c.want("E$ 08P01")
	s.waitUntilOnLoop("nothing is open", func() bool { return s.p.core.OpenRequests() == 0 })
}

// TestPooledServerClosesPinnedConnection: a server closes a connection that holds session state of its client, either as the client sends
// its next statement or after the statement was sent. The client's connection ends, because the state is lost; the outcome of a statement
// that was never sent is not reported as unknown.
func TestPooledServerClosesPinnedConnection(t *testing.T) {
	for name, want := range map[string]string{"before the statement": "E$ 57P01", "with the statement": "E$ 08007"} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixture(t, srv, "(connections 1)")
			c := s.client()
			c.send(simpleQuery("SELECT pg_advisory_lock(1)"))
			q := nextQueryContaining(t, queries, "pg_advisory_lock")
			q.send(row("1"))
			c.want("TDCZ 1")
			if name == "with the statement" {
				c.send(simpleQuery("INSERT 2"))
				_ = nextQueryContaining(t, queries, "INSERT 2").Close()
			} else {
				release := s.holdLoop()
				c.send(simpleQuery("INSERT 2")) // the loop reads this first...
				_ = q.Close()                   // ...and then this
				nextQueryContaining(t, queries, "(gone)")
				release()
			}
			c.want(want)
			s.waitUntilOnLoop("nothing is open", func() bool { return s.p.core.OpenRequests() == 0 })
		})
	}
}
