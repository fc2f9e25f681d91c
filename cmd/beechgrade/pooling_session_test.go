package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/testkit/fake/database"
)

// sessionPoolSettings are the settings of a pool in session mode.
func sessionPoolSettings(pool string) string {
	return strings.Replace(fmt.Sprintf(transactionPoolSettings, "(mode session) "+pool), `(reads "office-reads")`, "", 1)
}

// runAll sends statements one after the other, and fails if one is answered with an error or the connection ends.
func (p *peer) runAll(statements ...[]byte) {
	p.t.Helper()
	for _, statement := range statements {
		p.send(statement)
		if answer := readAnswers(p, 1); len(answer) == 0 || strings.HasPrefix(answer[0], "E ") || answer[len(answer)-1] == "end" {
			p.t.Fatalf("answers to %q are %q, want success", statement, answer)
		}
	}
}

// pooledPeer connects to the pool of a fixture and completes the startup.
func (w *pooledFixture) pooledPeer() *peer {
	w.t.Helper()
	c := dial(w.t, w.addr)
	c.send(appendStartup("tablet", "obra"))
	readAnswers(c, 1)
	return c
}

// TestPooledSessionLeavesNothingBehind guards against the next client of a pool by session running under what a client has left in the server's
// session without the pooler's knowledge, however that client leaves.
func TestPooledSessionLeavesNothingBehind(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, sessionPoolSettings("(connections 1)"), func(c *database.Config) { c.Groups = []int{1} })
	extended := func(sql string) []byte { return append(appendExecution(nil, sql), syncMessage...) }
	for name, does := range map[string][][]byte{
		"a function":               {simpleQuery("SELECT act_as('ana')")},
		"a procedure, prepared":    {extended("CALL act_as('ana')")},
		"a function in a block":    {simpleQuery("BEGIN"), simpleQuery("SELECT act_as('ana')"), simpleQuery("COMMIT")},
		"behind another statement": {simpleQuery("SELECT 1; SELECT act_as('ana')")},
	} {
		for way, leave := range map[string]func(c *peer){
			"by Terminate": func(c *peer) { c.send([]byte{'X', 0, 0, 0, 4}) },
			"by a close":   func(c *peer) { _ = c.Close() },
			"by a reset":   (*peer).reset,
			"in a block":   func(c *peer) { c.runAll(simpleQuery("BEGIN"), simpleQuery("SELECT 1")); _ = c.Close() },
		} {
			t.Run(name+", leaves "+way, func(t *testing.T) {
				first := w.pooledPeer()
				first.runAll(does...)
				first.runAll(simpleQuery("SELECT 1 /* want app.actor=ana */"))
				leave(first)
				second := w.pooledPeer() // the pool has one connection: it comes after the first client's
				second.runAll(simpleQuery("INSERT INTO kv (name, content) VALUES ('of rui', 'x') /* want app.actor= */"))
				second.send([]byte{'X', 0, 0, 0, 4})
				if seen := w.fleet.Watched().Mismatches; len(seen) > 0 {
					t.Fatalf("statements under the settings of another client: %q", seen)
				}
			})
		}
	}
}

// TestPooledOpaqueSessionIsNotCarried guards against a session of a pool by session going on at another server without what code of the database
// has set in it: it ends with an error when its server drains, or closes its idle connection.
func TestPooledOpaqueSessionIsNotCarried(t *testing.T) {
	for name, disrupt := range map[string]func(w *pooledFixture, server string) error{
		"its server drains": func(w *pooledFixture, server string) error { return w.fleet.Drain(server) },
		"its server dies":   func(w *pooledFixture, server string) error { return w.fleet.Kill(server) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newPooledFixture(t, sessionPoolSettings("(connections 4)"))
			c := w.pooledPeer()
			c.runAll(simpleQuery("SELECT act_as('ana')"))
			if err := disrupt(w, w.fleet.Primary(0)); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(testTimeout); ; {
				c.send(simpleQuery("SELECT 1 /* want app.actor=ana */"))
				answer := readAnswers(c, 1)
				if len(answer) > 0 && answer[len(answer)-1] == "end" {
					break
				}
				if time.Now().After(end) {
					t.Fatal("the session has not ended")
				}
			}
			if seen := w.fleet.Watched().Mismatches; len(seen) > 0 {
				t.Errorf("statements without the session's settings: %q", seen)
			}
		})
	}
}

// TestPooledLocksEndWithTheirClient guards against an advisory lock of a client that has left staying on the connection, which goes to others: it
// was taken in a block that is rolled back, or by a statement that failed.
func TestPooledLocksEndWithTheirClient(t *testing.T) {
	for name, statements := range map[string][]string{
		"in an open block":         {"BEGIN", "SELECT pg_advisory_lock(7)"},
		"in a failed block":        {"BEGIN", "SELECT pg_advisory_lock(7)", "SYNTAX ERROR"},
		"by a failed statement":    {"SELECT pg_advisory_lock(7), 1/0"},
		"by one of two statements": {"SELECT pg_advisory_lock(7); SYNTAX ERROR"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 1)"), func(c *database.Config) { c.Groups = []int{1} })
			c := w.pooledPeer()
			for _, sql := range statements {
				c.send(simpleQuery(sql))
				readAnswers(c, 1)
			}
			if n := w.fleet.Watched().Locks; n != 1 {
				t.Fatalf("locks that are held: %d, want 1", n)
			}
			_ = c.Close()
			w.pooledPeer().runAll(simpleQuery("INSERT INTO kv (name, content) VALUES ('k', 'x')"))
			waitUntil(t, "the lock is released", func() bool { return w.fleet.Watched().Locks == 0 })
		})
	}
}

// TestPooledNothingRunsBeforeSettings guards against a statement running before the server has accepted its session's settings, and so under those of
// another client: whatever the server does with the settings, it must not have got the statement.
func TestPooledNothingRunsBeforeSettings(t *testing.T) {
	rejection := func(code string) []byte {
		return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, "rejected by the test", ""))
	}
	accepted := pgwire.AppendReady(pgwire.AppendComplete(nil, "SET"))
	for name, tc := range map[string]struct {
		answer []byte // to the settings; the connection is closed if it is empty
		retry  bool   // the settings are sent again, on another connection
		want   string // the client's answer
	}{
		"accepted":                  {accepted, false, "TDCZ done"},
		"an invalid value":          {rejection("22023"), false, "E$ 22023"},
		"a setting that is unknown": {rejection("42704"), false, "E$ 42704"},
		"the server is full":        {rejection("53300"), true, "TDCZ done"},
		"the server is starting":    {rejection("57P03"), true, "TDCZ done"},
		"the connection ends":       {nil, true, "TDCZ done"},
		"a second copy follows":     {slices.Concat(accepted, accepted), true, "TDCZ done"},
		"half a message follows":    {append(slices.Clone(accepted), 'C', 0), true, "TDCZ done"},
	} {
		t.Run(name, func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixture(t, srv, "(connections 1)")
			c := s.client()
			c.send(simpleQuery("SET app.person TO 'rui'"))
			nextQueryContaining(t, queries, "app.person").send(accepted)
			c.want("CZ")
			other := s.client() // takes the connection, so that the settings are sent again
			other.send(simpleQuery("SET app.person TO 'ana'"))
			nextQueryContaining(t, queries, `RESET "app"."person"`).send(accepted)
			nextQueryContaining(t, queries, "'ana'").send(accepted)
			other.want("CZ")

			c.send(simpleQuery("DELETE FROM drafts"))
			q := nextQueryContaining(t, queries, "'rui'")
			s.onLoop(func() {}) // what the pooler sends ahead has been sent by now
			if tc.answer == nil {
				_ = q.Close()
			} else {
				q.send(tc.answer)
			}
			ended := make(chan bool, 1) // whether the connection had got the statement
			go func() {
				got := false
				for next := range queries {
					switch {
					case strings.Contains(next.sql, "DELETE"):
						got = got || next.conn == q.conn
						next.send(row("done"))
					case next.sql != "(gone)":
						next.send(accepted)
					case next.conn == q.conn:
						ended <- got
					}
				}
			}()
			c.want(tc.want)
			if name == "accepted" {
				return
			}
			if <-ended {
				t.Error("the statement was sent before the settings were accepted")
			}
		})
	}
}

// TestPooledStatementWaitsForSettings guards the same from the server's side: while the settings are unanswered nothing else arrives, and a
// cancelled or abandoned transaction does not go out behind them.
func TestPooledStatementWaitsForSettings(t *testing.T) {
	accepted := pgwire.AppendReady(pgwire.AppendComplete(nil, "SET"))
	for name, meanwhile := range map[string]func(s *poolFixture, c *peer, cancel []byte){
		"is cancelled": func(s *poolFixture, _ *peer, cancel []byte) { s.cancel(cancel) },
		"has left": func(s *poolFixture, c *peer, _ []byte) {
			_ = c.Close()
			s.waitUntilOnLoop("it has left", func() bool { return s.p.pooling.Sessions() == 1 })
		},
		"is still there": func(*poolFixture, *peer, []byte) {},
	} {
		t.Run("the client "+name, func(t *testing.T) {
			srv, queries := server(t)
			s := newPoolFixture(t, srv, "(connections 1)")
			other := s.client()
			c, cancel := s.clientWithCancel()
			c.send(simpleQuery("SET app.person TO 'rui'"))
			nextQueryContaining(t, queries, "app.person").send(accepted)
			c.want("CZ")
			other.send(simpleQuery("SELECT 1"))
			nextQueryContaining(t, queries, "RESET").send(accepted)
			nextQueryContaining(t, queries, "SELECT 1").send(row("1"))
			other.want("TDCZ 1")
			c.send(simpleQuery("DELETE FROM drafts"))
			q := nextQueryContaining(t, queries, "'rui'")
			s.onLoop(func() {})
			meanwhile(s, c, cancel)
			q.send(accepted)
			if name == "is still there" {
				nextQueryContaining(t, queries, "DELETE").send(row("done"))
				c.want("TDCZ done")
				return
			}
			if name == "is cancelled" {
				c.want("EZ 57014")
			}
			other.send(simpleQuery("UPDATE hours"))
			for q := next(t, queries); ; q = next(t, queries) {
				if strings.Contains(q.sql, "DELETE") {
					t.Fatal("the transaction was sent behind its settings")
				}
				if strings.Contains(q.sql, "UPDATE") {
					q.send(row("done"))
					break
				}
				if q.sql != "(gone)" {
					q.send(accepted)
				}
			}
			other.want("TDCZ done")
		})
	}
}

// TestScatteredReadNeedsKnownSettings guards against a scattered read running without the settings of its session, where the pooler cannot read
// these.
func TestScatteredReadNeedsKnownSettings(t *testing.T) {
	w := newScatterFixture(t, "(whole)")
	putVisits(w.fleet, 5)
	r := w.reader()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, step := range []struct{ sql, code string }{
		{"SELECT 1", ""},
		{"SELECT 1, set_config('app.region', 'no' || 'rth', false)", "0A000"},
		{"DISCARD ALL", ""},
	} {
		if _, err := r.c.Exec(ctx, step.sql, pgx.QueryExecModeSimpleProtocol); err != nil {
			t.Fatalf("statement %q: %v", step.sql, err)
		}
		if _, err := r.readPage(5, ""); sqlState(err) != step.code {
			t.Errorf("scattered read after %q: SQLSTATE is %q, want %q", step.sql, sqlState(err), step.code)
		}
	}
}
