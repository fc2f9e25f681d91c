package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake/database"
)

// trailingBytes are what a server may send behind an answer with the value "first".
var trailingBytes = map[string][]byte{
	"a second copy":         row("first"),
	"two further copies":    slices.Concat(row("first"), row("first")),
	"half a copy":           row("first")[:21],
	"the first byte":        row("first")[:1],
	"an error":              pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "22012", "division by zero", "")),
	"an error, cut":         pgwire.AppendError(nil, "ERROR", "22012", "division by zero", "")[:9],
	"only ReadyForQuery":    pgwire.AppendReady(nil),
	"bytes of no message":   {0xff, 0x00, 0x17},
	"a completed statement": pgwire.AppendReady(pgwire.AppendComplete(nil, "UPDATE 3")),
}

// nextAfterClose returns the next query of a scripted server, past the ends of connections.
func nextAfterClose(t testing.TB, queries <-chan receivedQuery) receivedQuery {
	t.Helper()
	for {
		if q := next(t, queries); q.sql != "(gone)" {
			return q
		}
	}
}

// TestPooledBytesBehindAnswerReachNobody guards against what a server sends behind an answer being served to the client that gets the connection
// next: one that waits for it, or one that comes when it rests.
func TestPooledBytesBehindAnswerReachNobody(t *testing.T) {
	for name, trailing := range trailingBytes {
		t.Run(name+", to a client that waits", func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixture(t, srv, "(connections 1)")
			first, second := s.client(), s.client()
			first.send(simpleQuery("SELECT 'first'")) // a read and a write wait for a connection at the same time, two writes for admission
			q := nextQueryContaining(t, queries, "first")
			second.send(simpleQuery("UPDATE b RETURNING 'second'"))
			s.waitUntilOnLoop("the second client waits", func() bool { _, want := s.p.pooling.Demand("obra/tablet"); return want == 2 })
			q.send(slices.Concat(row("first"), trailing))
			first.want("TDCZ first")
			nextAfterClose(t, queries).send(row("second"))
			second.want("TDCZ second")
		})
		t.Run(name+", unread when the connection is assigned", func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixture(t, srv, "(connections 1)")
			first, second := s.client(), s.client()
			first.send(simpleQuery("UPDATE a RETURNING 'first'"))
			q := nextQueryContaining(t, queries, "first")
			q.send(row("first"))
			first.want("TDCZ first")
			release := s.holdLoop()
			second.send(simpleQuery("UPDATE b RETURNING 'second'"))
			q.send(trailing)
			release()
			nextAfterClose(t, queries).send(row("second"))
			second.want("TDCZ second")
		})
	}
}

// TestPooledBytesBehindAnswerOnKeptConnection guards against what a server sends behind an answer being served to the next statement of a client
// that keeps its connection, in a transaction block or by the mode of its pool: the client gets the statement's own answer or an error.
func TestPooledBytesBehindAnswerOnKeptConnection(t *testing.T) {
	inBlock := func(tag string) []byte {
		return pgwire.AppendReadyInState(pgwire.AppendComplete(nil, tag), pgwire.StateTransaction)
	}
	for name, trailing := range trailingBytes {
		for mode, when := range map[string]string{"transaction": "read with the answer", "session": "unread when the next statement comes"} {
			t.Run(name+", "+when, func(t *testing.T) {
				srv, queries := server(t)
				s := newPoolFixtureWith(t, srv, strings.Replace(fmt.Sprintf(transactionPoolSettings, "(connections 1) (mode "+mode+")"), `(reads "office-reads")`, "", 1))
				c := s.client()
				answer := row("first")
				if mode == "transaction" {
					c.send(simpleQuery("BEGIN"))
					nextQueryContaining(t, queries, "BEGIN").send(inBlock("BEGIN"))
					c.want("CZ")
					answer = inBlock("UPDATE 1")
				}
				c.send(simpleQuery("UPDATE a"))
				q := nextQueryContaining(t, queries, "UPDATE a")
				if mode == "transaction" {
					q.send(slices.Concat(answer, trailing))
					c.want("CZ")
					c.send(simpleQuery("DELETE FROM b"))
				} else {
					q.send(answer)
					c.want("TDCZ first")
					release := s.holdLoop()
					c.send(simpleQuery("DELETE FROM b"))
					q.send(trailing)
					release()
				}
				go func() {
					for q := range queries {
						if q.sql != "(gone)" {
							q.send(row("own"))
						}
					}
				}()
				if got := c.answer(); got != "TDCZ own" && !strings.HasPrefix(got, "E$ ") {
					t.Errorf("answer to the next statement is %q, want its own or the end with an error", got)
				}
			})
		}
	}
}

// TestPooledNotificationKeepsConnection guards against a check that is too strict: parameters, notices and notifications may come at any time, also
// when they are unread as the next statement comes.
func TestPooledNotificationKeepsConnection(t *testing.T) {
	srv, queries := server(t)
	s := newPoolFixture(t, srv, "(connections 1)")
	c := s.client()
	c.send(simpleQuery("LISTEN shifts"))
	q := nextQueryContaining(t, queries, "LISTEN")
	q.send(pgwire.AppendReady(pgwire.AppendComplete(nil, "LISTEN")))
	c.want("CZ")
	notification := []byte{'A', 0, 0, 0, 16, 0, 0, 0, 9, 's', 'h', 'i', 'f', 't', 's', 0, 0}
	asynchronous := slices.Concat(notification, pgwire.AppendParameter(nil, "TimeZone", "America/Recife"), pgwire.AppendNotice(nil, "01000", "soon", ""))
	for i := range 3 {
		release := s.holdLoop()
		c.send(simpleQuery("UPDATE shifts"))
		q.send(asynchronous)
		release()
		next := nextQueryContaining(t, queries, "UPDATE shifts")
		if next.conn != q.conn {
			t.Fatalf("statement %d came on connection %d, want %d", i, next.conn, q.conn)
		}
		next.send(row("done"))
		if got := c.answer(); !strings.HasPrefix(got, "A") || !strings.HasSuffix(got, "TDCZ done") {
			t.Errorf("answer %d is %q, want the notification and then the answer", i, got)
		}
	}
}

// TestPooledCopiedAnswersModel guards against answers at the wrong client in drawn rounds: clients of a small pool send at once, and servers send
// answers twice. Each statement has its own answer.
func TestPooledCopiedAnswersModel(t *testing.T) {
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 1)"), func(c *database.Config) { c.Groups = []int{1} })
	const clients = 4
	var peers []*peer
	for i := range clients {
		c := dial(t, w.addr)
		c.send(appendStartup("tablet", "obra"))
		readAnswers(c, 1)
		c.send(simpleQuery(fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('own-%d', 'value-%d')", i, i)))
		readAnswers(c, 1)
		peers = append(peers, c)
	}
	var copies []bool
	w.fleet.CopyAnswer(func(string, string) bool { // called by one connection's server at a time
		if len(copies) == 0 {
			return false
		}
		next := copies[0]
		copies = copies[1:]
		return next
	})
	deterministic.Check(t, func(t *rapid.T) {
		extended := rapid.SliceOfN(rapid.Bool(), clients, clients).Draw(t, "extended")
		copies = rapid.SliceOfN(rapid.Bool(), clients, clients).Draw(t, "copied")
		locks := rapid.SliceOfN(rapid.Bool(), clients, clients).Draw(t, "locks")
		order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")
		for _, i := range order {
			sql := fmt.Sprintf("SELECT content FROM kv WHERE name = 'own-%d'", i)
			if locks[i] {
				sql += " FOR UPDATE"
			}
			message := simpleQuery(sql)
			if extended[i] {
				message = append(appendExecution(nil, sql), syncMessage...)
			}
			peers[i].send(message)
		}
		for _, i := range order {
			answer := strings.Join(readAnswers(peers[i], 1), " ")
			if !strings.Contains(answer, fmt.Sprintf("value-%d", i)) {
				t.Fatalf("client %d was answered %s", i, answer)
			}
		}
	})
}

// TestPlatformBytesBehindAnswerReachNobody guards the platform's connections against the same: what a server sends behind an answer, with it or
// while the connection rests, is not the answer to the next request.
func TestPlatformBytesBehindAnswerReachNobody(t *testing.T) {
	for name, trailing := range trailingBytes {
		for when, apart := range map[string]bool{"with the answer": false, "while it rests": true} {
			t.Run(name+", "+when, func(t *testing.T) {
				srv, queries := server(t)
				addr, _, _ := startPooler(t, srv, nil)
				first, second := client(t, addr), client(t, addr)
				first.send(query("1", "read", 5000))
				q := next(t, queries)
				if apart {
					q.send(row("first"))
					first.want("TDCZ first")
					q.send(trailing)
					if gone := next(t, queries); gone.sql != "(gone)" {
						t.Fatalf("query on a connection with bytes behind its answer: %q", gone.sql)
					}
				} else {
					q.send(slices.Concat(row("first"), trailing))
					first.want("TDCZ first")
				}
				second.send(query("2", "read", 5000))
				next := nextAfterClose(t, queries)
				if next.conn == q.conn {
					t.Error("the connection was used again")
				}
				next.send(row("second"))
				second.want("TDCZ second")
			})
		}
	}
}

// TestPooledConnectionSpoiltWithinTransaction guards against a transaction being begun twice, or a message of it being lost, where its connection turns
// out not to be clean before the server got any of it: its first message was answered by the pooler, as the statement was prepared already.
func TestPooledConnectionSpoiltWithinTransaction(t *testing.T) {
	for name, trailing := range trailingBytes {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			conns, executed := make(chan *peer, 9), make(chan int, 9)
			go func() {
				for n := 1; ; n++ {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					up := newPeer(t, conn)
					conns <- up
					go serveExtended(up, func() { executed <- n })
				}
			}()
			s := newPoolFixture(t, l.Addr().String(), "(connections 1)")
			c := s.client()
			prepare := pgwire.AppendParse(nil, "", "UPDATE hours SET paid = true", []byte{0, 0})
			c.send(slices.Concat(prepare, syncMessage))
			c.want("1Z")
			up := <-conns
			c.send(prepare)
			s.waitUntilOnLoop("the transaction has the connection", func() bool { _, want := s.p.pooling.Demand("obra/tablet"); return want == 1 })
			release := s.holdLoop()
			c.send(slices.Concat(pgwire.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), executeMessage, syncMessage))
			up.send(trailing)
			release()
			c.want("12CZ")
			if n := <-executed; n != 2 || len(executed) > 0 {
				t.Errorf("executed on connection %d, and %d times more; want once, on the second", n, len(executed))
			}
			c.send(simpleQuery("SELECT 1"))
			c.want("CZ")
		})
	}
}

// serveExtended answers the messages of the extended protocol and simple queries as a server would that has run them.
func serveExtended(p *peer, execute func()) {
	p.skipStartup()
	p.send(pgwire.AppendStartupResponse(nil))
	var out []byte
	for typ, _ := p.message(); typ != 0; typ, _ = p.message() {
		switch typ {
		case 'P':
			out = pgwire.AppendWithoutBody(out, pgwire.ParseComplete)
		case 'B':
			out = pgwire.AppendWithoutBody(out, pgwire.BindComplete)
		case 'E':
			execute()
			out = pgwire.AppendComplete(out, "UPDATE 1")
		case 'Q':
			out = pgwire.AppendReady(pgwire.AppendComplete(out, "SELECT 1"))
		case 'S':
			out = pgwire.AppendReady(out)
		}
		if typ == 'S' || typ == 'Q' {
			p.send(out)
			out = nil
		}
	}
}
