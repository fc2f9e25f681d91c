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

// poolScript is a pooler with the pooling front before one scripted server.
type poolScript struct {
	t    testing.TB
	p    *pooler
	addr string
	hup  chan<- os.Signal
	stop chan<- os.Signal
	done <-chan error
}

// scriptedPool starts one; pool are the settings of its pool.
func scriptedPool(t testing.TB, server, pool string, change ...func(*config.Config)) *poolScript {
	t.Helper()
	return scriptedPoolOf(t, server, fmt.Sprintf(usual, pool), change...)
}

// scriptedPoolOf has whole settings.
func scriptedPoolOf(t testing.TB, server, poolForms string, change ...func(*config.Config)) *poolScript {
	t.Helper()
	set, err := settings.Parse("test", []byte(poolForms), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, server, nil, change...)
	set.Pooling.AddClasses(cfg)
	s := &poolScript{t: t, p: newPooler(cfg, testLog())}
	s.p.openPooling(set.Pooling)
	_, s.hup, s.stop, s.done = launch(t, s.p)
	at := make(chan string, 1)
	s.p.loop.Post(func() { at <- s.p.poolingAddr })
	s.addr = <-at
	return s
}

// client connects to the pool and starts up.
func (s *poolScript) client() *peer {
	s.t.Helper()
	c, _ := s.clientKey()
	return c
}

// clientKey is client with the message that cancels what the client has under way.
func (s *poolScript) clientKey() (c *peer, cancel []byte) {
	s.t.Helper()
	c = dial(s.t, s.addr)
	c.send(appendStartup("tablet", "obra"))
	for typ, body := c.message(); typ != 'Z'; typ, body = c.message() {
		if typ == 0 {
			s.t.Fatal("the connection ended at its start")
		}
		if typ == 'K' {
			cancel = pgwire.AppendCancel(nil, binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:]))
		}
	}
	return c, cancel
}

// cancel has a cancel request carried out.
func (s *poolScript) cancel(request []byte) {
	s.t.Helper()
	c := dial(s.t, s.addr)
	c.send(request)
	c.want("$")
	_ = c.Close()
}

// onLoop runs a function on the pooler's loop, and waits for it.
func (s *poolScript) onLoop(do func()) {
	done := make(chan struct{})
	s.p.loop.Post(func() { do(); close(done) })
	<-done
}

// holdLoop has the loop stand still until the function that it returns is called, so that what happens meanwhile comes to it at once.
func (s *poolScript) holdLoop() (release func()) {
	held, gate := make(chan struct{}), make(chan struct{})
	s.p.loop.Post(func() { close(held); <-gate })
	<-held
	return func() { close(gate) }
}

// nextText is the next statement that a scripted server is asked.
func nextText(t testing.TB, queries <-chan asked, part string) asked {
	t.Helper()
	q := next(t, queries)
	if !strings.Contains(q.sql, part) {
		t.Fatalf("the server was asked %q, want %q", q.sql, part)
	}
	return q
}

func simple(sql string) []byte { return pgwire.AppendQuery(nil, sql) }

// TestPooledStopAnswersWhatWasSent: at SIGTERM a client has a statement under way and two more behind it, of which one is not whole yet. Each has its answer,
// and then the client hears that the pooler shuts down.
func TestPooledStopAnswersWhatWasSent(t *testing.T) {
	srv, queries := server(t)
	s := scriptedPool(t, srv, "(connections 2)")
	c := s.client()
	third := simple("SELECT 3")
	c.send(append(append(simple("SELECT 1"), simple("SELECT 2")...), third[:4]...))
	first := nextText(t, queries, "SELECT 1")
	s.stop <- syscall.SIGTERM
	s.onLoop(func() {})
	s.until("it drains", func() bool { return s.p.lifecycle.State().String() == "stopping" })
	first.send(row("1"))
	c.want("TDCZ 1")
	nextText(t, queries, "SELECT 2").send(row("2"))
	c.want("TDCZ 2")
	c.send(third[4:])
	nextText(t, queries, "SELECT 3").send(row("3"))
	c.want("TDCZ 3")
	c.want("E$ 57P01")
	_ = c.Close()
	if err := <-s.done; err != nil {
		t.Error(err)
	}
}

// until waits until a check holds on the loop.
func (s *poolScript) until(what string, holds func() bool) {
	s.t.Helper()
	within(s.t, what, func() (is bool) {
		s.onLoop(func() { is = holds() })
		return is
	})
}

// TestPooledStopUnreadCommand: a command lies in the socket of a resting client when SIGTERM is carried out. It is answered.
func TestPooledStopUnreadCommand(t *testing.T) {
	srv, queries := server(t)
	s := scriptedPool(t, srv, "(connections 2)")
	c := s.client()
	release := s.holdLoop()
	s.p.loop.Post(func() { s.p.handleLifecycle(lifecycle.Terminate) }) // it comes before whatever is read of sockets
	c.send(simple("SELECT 1"))
	release()
	nextText(t, queries, "SELECT 1").send(row("1"))
	c.want("TDCZ 1")
	c.want("E$ 57P01")
}

// TestPooledStopUnsentAnswer: a client has read nothing of its answer when that ends, and the pooler drains. It gets all of it, and then hears why its
// connection ends.
func TestPooledStopUnsentAnswer(t *testing.T) {
	srv, queries := server(t)
	s := scriptedPool(t, srv, "(connections 2)")
	c := s.client()
	c.send(simple("SELECT 1"))
	q := nextText(t, queries, "SELECT 1")
	s.stop <- syscall.SIGTERM
	s.until("it drains", func() bool { return s.p.lifecycle.State() == lifecycle.Stopping })
	rows, one := 0, pgwire.AppendRow(nil, "content", make([]byte, 60<<10))
	within(t, "the client's socket takes no more", func() bool {
		q.send(one)
		rows++
		unsent := 0
		s.onLoop(func() { unsent = s.p.pooling.Unsent() })
		return unsent > 0
	})
	q.send(pgwire.AppendReady(pgwire.AppendComplete(nil, "SELECT 1")))
	s.until("the pooler has the end of the answer", func() bool { return s.p.core.OpenRequests() == 0 })
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
		t.Errorf("%d of %d rows came", got, rows)
	}
}

// TestPooledCancelQueued: a client cancels a transaction that waits: to be let in, and for a connection that is not up yet. It hears so at once, and nothing
// of it goes to a server.
func TestPooledCancelQueued(t *testing.T) {
	srv, queries := server(t)
	s := scriptedPool(t, srv, "(connections 1)")
	holder := s.client()
	holder.send(simple("INSERT 1"))
	first := nextText(t, queries, "INSERT 1")
	c, cancel := s.clientKey()
	c.send(simple("INSERT 2"))
	s.cancel(cancel)
	c.want("EZ 57014")
	first.send(row("1"))
	holder.want("TDCZ 1")
	c.send(simple("INSERT 3"))
	nextText(t, queries, "INSERT 3").send(row("3"))
	c.want("TDCZ 3")

	l := listen(t)
	slow := scriptedPool(t, l.Addr().String(), "(connections 1)")
	c, cancel = slow.clientKey()
	c.send(simple("INSERT 4"))
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	slow.cancel(cancel)
	c.want("EZ 57014")
	up := newPeer(t, conn)
	up.send(pgwire.AppendStartupResponse(nil))
	c.send(simple("INSERT 5"))
	head, err := up.in.Peek(4)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = up.in.Discard(int(binary.BigEndian.Uint32(head)))
	if _, body := up.message(); !strings.Contains(string(body), "INSERT 5") {
		t.Fatalf("the server was sent %q", body)
	}
	up.send(row("5"))
	c.want("TDCZ 5")
}

// TestPooledCancelledIsNotSentAgain: a client cancels a statement that is out, and then its server says that it did not run, or breaks off. It is not sent to
// a server once more.
func TestPooledCancelledIsNotSentAgain(t *testing.T) {
	for name, story := range map[string]struct {
		end  func(q asked)
		want string
	}{
		"did not run": {func(q asked) {
			q.send(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "72000", "too far behind", "")))
		}, "EZ 57014"},
		"broke off": {func(q asked) { _ = q.Close() }, "EZ 57014"},
	} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := scriptedPool(t, srv, "(connections 1)")
			c, cancel := s.clientKey()
			c.send(simple("SELECT 1"))
			q := nextText(t, queries, "SELECT 1")
			s.cancel(cancel)
			story.end(q)
			c.want(story.want)
			c.send(simple("SELECT 2"))
			for q = next(t, queries); q.sql == "(gone)"; q = next(t, queries) {
			}
			if !strings.Contains(q.sql, "SELECT 2") {
				t.Fatalf("the server was asked %q", q.sql)
			}
			q.send(row("2"))
			c.want("TDCZ 2")
		})
	}
}

// TestPooledParkedClientGoes: a client has sent so much ahead that it is not read any more, while its transaction waits for a connection, and goes. Nothing of
// it is sent on.
func TestPooledParkedClientGoes(t *testing.T) {
	for name, leave := range map[string]func(c *peer){
		"closes": func(c *peer) { _ = c.Close() },
		"resets": func(c *peer) { _ = c.Conn.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := scriptedPoolOf(t, srv, strings.Replace(fmt.Sprintf(usual, "(connections 1) (wait 60s)"), "(listen", "(most-message 64k) (listen", 1))
			holder := s.client()
			holder.send(simple("INSERT 1"))
			first := nextText(t, queries, "INSERT 1")
			c := s.client()
			c.send(simple("INSERT 2"))
			c.send(simple("SELECT '" + strings.Repeat("x", 60<<10) + "'"))
			c.send(simple("SELECT '" + strings.Repeat("x", 60<<10) + "'"))
			s.until("it is not read any more", func() bool { return s.p.pooling.PausedClients() == 1 })
			leave(c)
			s.until("it is forgotten", func() bool { return s.p.pooling.Sessions() == 1 })
			first.send(row("1"))
			holder.want("TDCZ 1")
			holder.send(simple("SELECT 9"))
			nextText(t, queries, "SELECT 9").send(row("9"))
			holder.want("TDCZ 9")
		})
	}
}

// TestPooledServerClosesAsPicked: a server has closed its resting connection at the moment at which a transaction gets it, by transaction and by session. The
// transaction goes out on a new connection: nothing was sent on the old one, so that nobody need wonder whether it ran.
func TestPooledServerClosesAsPicked(t *testing.T) {
	for _, mode := range []string{"transaction", "session"} {
		t.Run(mode, func(t *testing.T) {
			srv, queries := server(t)
			s := scriptedPoolOf(t, srv, strings.Replace(fmt.Sprintf(usual, "(connections 1) (mode "+mode+")"), `(reads "office-reads")`, "", 1))
			c := s.client()
			c.send(simple("INSERT 1"))
			q := nextText(t, queries, "INSERT 1")
			q.send(row("1"))
			c.want("TDCZ 1")
			release := s.holdLoop()
			c.send(simple("INSERT 2")) // the loop comes to it first...
			_ = q.Close()              // ...and then to this
			nextText(t, queries, "(gone)")
			release()
			second := nextText(t, queries, "INSERT 2")
			if second.conn == q.conn {
				t.Error("it went out on the connection that was closed")
			}
			second.send(row("2"))
			c.want("TDCZ 2")
		})
	}
}

// TestPooledEndsWhileAsking: a client's connection ends for what it sent just as its transaction is put to a connection that rests. Nothing of it stays open.
func TestPooledEndsWhileAsking(t *testing.T) {
	srv, queries := server(t)
	s := scriptedPool(t, srv, "(connections 1)")
	c := s.client()
	c.send(simple("INSERT 1"))
	nextText(t, queries, "INSERT 1").send(row("1"))
	c.want("TDCZ 1")
	c.send([]byte{'D', 0, 0, 0, 4}) // Describe of nothing
	c.want("E$ 08P01")
	s.until("nothing is open", func() bool { return s.p.core.OpenRequests() == 0 })
}

// TestPooledServerClosesUnderPin: a server closes a connection that holds state of its client, at the moment at which that sends its next statement, or once it
// has it. The client's connection ends, as what it held is lost; a statement that was never sent is not called unknown.
func TestPooledServerClosesUnderPin(t *testing.T) {
	for name, want := range map[string]string{"before the statement": "E$ 57P01", "with the statement": "E$ 08007"} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := scriptedPool(t, srv, "(connections 1)")
			c := s.client()
			c.send(simple("SELECT pg_advisory_lock(1)"))
			q := nextText(t, queries, "pg_advisory_lock")
			q.send(row("1"))
			c.want("TDCZ 1")
			if name == "with the statement" {
				c.send(simple("INSERT 2"))
				_ = nextText(t, queries, "INSERT 2").Close()
			} else {
				release := s.holdLoop()
				c.send(simple("INSERT 2")) // the loop comes to it first...
				_ = q.Close()              // ...and then to this
				nextText(t, queries, "(gone)")
				release()
			}
			c.want(want)
			s.until("nothing is open", func() bool { return s.p.core.OpenRequests() == 0 })
		})
	}
}
