package scatter

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter/plan"
)

// TestAbandonBeforeSendKeepsReusedConnection: a part reuses the connection of an earlier page. Its statement is not sent, as the server of
// the other shard does not answer. The state that the earlier page left on the connection must not be taken for an answer: when the client
// disconnects, the attempt ends as not sent, and the connection is idle again.
func TestAbandonBeforeSendKeepsReusedConnection(t *testing.T) {
	for name, event := range map[string]func(f *fixture, read *PageRead, a *statement){
		"the client disconnects": func(f *fixture, read *PageRead, _ *statement) { f.onLoop(read.Abandon) },
		"a parameter is reported, and the client disconnects": func(f *fixture, read *PageRead, a *statement) {
			a.sendParameter("application_name", "x")
			f.waitFor("the parameter", func() bool { return read.parts[0].attempts[0].link.params["application_name"] == "x" })
			f.onLoop(read.Abandon)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			a, c := f.firstStatements()
			a.beginAnswer().sendRows(1).endAnswer(true)
			c.beginAnswer().sendRows(2).endAnswer(true)
			f.wantPage("[1 2]", fmt.Sprint("0 ", decide.OK), fmt.Sprint("1 ", decide.OK))
			unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and does not answer
			if err != nil {
				t.Fatalf("listening for the unresponsive server: %v", err)
			}
			defer func() { _ = unresponsive.Close() }()
			_ = c.conn.Close()
			f.waitFor("the closing of the connection to c", func() bool { return f.frontend.conns == 1 })
			var read *PageRead
			f.onLoop(func() {
				f.frontend.SetAddress("c", unresponsive.Addr().String())
				f.nextServer = "a"
				query := plan.Query{Scatter: "visits", Statement: "SELECT id FROM visits WHERE true /*after*/ /*order*/"}
				if read, err = f.begin(query); err != nil {
					t.Errorf("beginning the second page: %v", err)
					return
				}
				if p := read.parts[0]; len(p.attempts) != 1 || p.attempts[0].link == nil || p.attempts[0].link.sent {
					t.Error("the part does not reuse the connection of the earlier page, or its statement was sent")
				}
			})
			if t.Failed() {
				return
			}
			event(f, read, a)
			f.onLoop(func() {
				if !slices.Contains(f.outcomes, fmt.Sprint("2 ", decide.NotSent)) {
					t.Errorf("the attempt of the abandoned page did not end as not sent; all attempts ended as %q", f.outcomes)
				}
				if n := len(f.frontend.idle[connKey{"a", "d", "u"}]); n != 1 {
					t.Errorf("%d connections to server a are idle, want 1", n)
				}
			})
		})
	}
}

// sendParameter sends a ParameterStatus.
func (s *statement) sendParameter(name, value string) {
	s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	_ = s.backend.Flush()
}

// pageTimeout bounds the wait for a page that will come.
const pageTimeout = 20 * time.Second

// TestBytesBehindAnswerAreNotNextPage guards against what a server sends behind an answer being read as the answer to the next statement on the
// connection, of another client's page: a second copy, a part of one, or bytes that come while the connection is idle.
func TestBytesBehindAnswerAreNotNextPage(t *testing.T) {
	copied := func(s *statement) {
		s.beginAnswer().sendRows(7).endAnswer(true)
	}
	for name, send := range map[string]func(s *statement){
		"a second copy":      copied,
		"half a message":     func(s *statement) { _, _ = s.conn.Write([]byte{'D', 0, 0, 0}) },
		"only ReadyForQuery": func(s *statement) { _, _ = s.conn.Write([]byte{'Z', 0, 0, 0, 5, 'I'}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			a, c := f.firstStatements()
			a.beginAnswer().sendRows(1).endAnswer(true)
			c.beginAnswer().sendRows(2).endAnswer(true)
			f.wantPage("[1 2]", fmt.Sprint("0 ", decide.OK), fmt.Sprint("1 ", decide.OK))
			f.onLoop(func() { // the loop cannot read before the next page is begun
				send(a)
				f.rows, f.nextServer = nil, "a"
				query := plan.Query{Scatter: "visits", Statement: "SELECT id FROM visits WHERE true /*after*/ /*order*/"}
				if _, err := f.begin(query); err != nil {
					t.Errorf("beginning the second page: %v", err)
				}
			})
			next, other := f.firstStatements()
			if next.conn == a.conn {
				t.Error("the connection with bytes behind its answer was used again")
			}
			next.beginAnswer().sendRows(3).endAnswer(true)
			other.beginAnswer().sendRows(4).endAnswer(true)
			select {
			case page := <-f.page:
				if page != "[3 4]" {
					t.Errorf("second page is %s, want [3 4]", page)
				}
			case <-time.After(pageTimeout):
				t.Fatal("the second page did not end")
			}
		})
	}
}

// TestReadWaitsForSettings guards against a read running under the settings of another client: its statement is sent only once the server has
// accepted the caller's settings, and not behind bytes that belong to no answer.
func TestReadWaitsForSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		answer func(s *statement)
		sent   bool // on the same connection
	}{
		"accepted":             {func(s *statement) { s.acceptSettings(1) }, true},
		"rejected":             {func(s *statement) { s.rejectSettings() }, false},
		"with a second answer": {func(s *statement) { s.acceptSettings(2) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			a, c := f.firstStatements()
			a.beginAnswer().sendRows(1).endAnswer(true)
			c.beginAnswer().sendRows(2).endAnswer(true)
			f.wantPage("[1 2]")
			settings := sessionstate.NewClient(sessionstate.NewStatements(), map[string]string{"app.person": "rui"})
			f.onLoop(func() {
				f.rows = nil
				query := plan.Query{Scatter: "visits", Statement: "SELECT id FROM visits WHERE true /*after*/ /*order*/"}
				caller := Caller{Database: "d", User: "u", Settings: settings}
				if _, err := f.frontend.Begin(query, caller, []byte{0, 0}, nil, f); err != nil {
					t.Errorf("beginning the page: %v", err)
				}
			})
			first, second := f.firstStatements()
			for _, s := range []*statement{first, second} {
				if !strings.Contains(s.cursorValues, "app") {
					t.Fatalf("%s received %q before the settings", s.server, s.cursorValues)
				}
			}
			second.acceptSettings(1)
			tc.answer(first)
			for { // until the read of the first shard has come, or the page has ended without it
				select {
				case s := <-f.statements:
					if s.conn == first.conn && !tc.sent {
						t.Fatalf("the statement was sent on a connection whose settings were %s", name)
					}
					if strings.Contains(s.cursorValues, "app") {
						s.acceptSettings(1)
						continue
					}
					s.beginAnswer().sendRows(3).endAnswer(true)
				case page := <-f.page:
					if tc.sent && page != "[3 3]" {
						t.Errorf("page is %s, want [3 3]", page)
					}
					return
				case <-time.After(pageTimeout):
					t.Fatal("the page did not end")
				}
			}
		})
	}
}

// acceptSettings answers the query that applies settings, as often as told.
func (s *statement) acceptSettings(times int) {
	for range times {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	_ = s.backend.Flush()
}

// rejectSettings answers the query that applies settings with an error.
func (s *statement) rejectSettings() {
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "22023", Message: "invalid value"})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = s.backend.Flush()
}

// TestConnectionsOfPlainReadsAreReused guards against what a statement leaves in a server's session, by a function or otherwise, being in force for the
// next client's read: only connections of plain reads are used again.
func TestConnectionsOfPlainReadsAreReused(t *testing.T) {
	const tail = " FROM visits WHERE true /*after*/ /*order*/"
	for sql, reused := range map[string]bool{
		"SELECT id" + tail:                                     true,
		"SELECT id, upper(place)" + tail:                       true,
		"SELECT id, act_as('ana')" + tail:                      false,
		"SELECT id, set_config('app.person', 'ana', f)" + tail: false,
		"SELECT id, pg_advisory_lock(id)" + tail:               false,
		"SET search_path TO hidden /*after*/ /*order*/":        false,
	} {
		f := newFixture(t)
		a, c := f.firstStatements()
		a.beginAnswer().sendRows(1).endAnswer(true)
		c.beginAnswer().sendRows(2).endAnswer(true)
		f.wantPage("[1 2]")
		conns := map[bool]int{} // connections to server c, by whether they are the one of the page before
		var last *statement
		for _, next := range []string{sql, "SELECT id" + tail} {
			f.onLoop(func() {
				f.rows, f.nextServer = nil, "a"
				if _, err := f.begin(plan.Query{Scatter: "visits", Statement: next}); err != nil {
					t.Errorf("beginning the page of %q: %v", next, err)
				}
			})
			a, c := f.firstStatements()
			conns[last != nil && c.conn == last.conn]++
			last = c
			a.beginAnswer().sendRows(3).endAnswer(true)
			c.beginAnswer().sendRows(4).endAnswer(true)
			f.wantPage("[3 4]")
		}
		if conns[true] == 1 != reused {
			t.Errorf("connection used again after %q: %v, want %v", sql, conns[true] == 1, reused)
		}
	}
}
