package scatter

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/invariant"
)

// stage is a front with a module that does the worst that the decision module may: what was reset it asks again at once, as the same request, and it makes
// copies when the test says so. Shard 0 has the servers a and b, shard 1 has c.
type stage struct {
	t        *testing.T
	loop     *eventloop.Loop
	f        *Frontend
	asked    chan *statement
	requests []*asking
	outcomes []string
	rows     []int
	page     chan string
	first    string // server of the next request for shard 0, empty for a, and b for the one that is asked anew
}

type asking struct {
	q    platform.Request
	c    platform.Client
	over bool
	open []slotmap.Ref
	last string
}

// statement is one that a server has, which the test answers.
type statement struct {
	server, behind string
	be             *pgproto3.Backend
	conn           net.Conn
}

func (g *stage) Submit(q platform.Request, c platform.Client) (slotmap.Ref, error) {
	g.requests = append(g.requests, &asking{q: q, c: c})
	n := len(g.requests) - 1
	server := "c"
	if q.Group == 0 {
		server = []string{"a", "b"}[(n+1)/2%2] // a first, b for the one that is asked anew
		if g.first != "" {
			server = g.first
		}
	}
	g.try(n, server)
	return slotmap.Ref{Index: uint32(n)}, nil
}

func (g *stage) try(n int, server string) {
	x := g.requests[n]
	x.last = server
	x.open = append(x.open, g.f.StartAttempt(server, x.q.Query, g.loop.Now()+10000, backend.AttemptID{Request: slotmap.Ref{Index: uint32(n)}}))
}

func (g *stage) Abandon(ref slotmap.Ref) { g.close(g.requests[ref.Index]) }

// AnswerBy implements platform.Dispatcher.
func (g *stage) AnswerBy(slotmap.Ref, float64) {}

func (g *stage) close(x *asking) {
	x.over = true
	for _, r := range x.open {
		g.f.Cancel(r)
	}
}

func (g *stage) MaySend(backend.AttemptID) bool                               { return true }
func (g *stage) ServerReportsReplica(string, backend.Report, bool)            {}
func (g *stage) AttemptWritten(backend.AttemptID)                             {}
func (g *stage) AnswerStreams(backend.AttemptID, func()) backend.AnswerStream { return nil }
func (g *stage) HealthCheckEnded(string, backend.Outcome)                     {}
func (g *stage) Describe([]byte)                                              {}
func (g *stage) Flush()                                                       {}
func (g *stage) Unsent() int                                                  { return 0 }
func (g *stage) Page(p *Page)                                                 { g.page <- fmt.Sprint(g.rows) }
func (g *stage) Fail(_ *execution.Run, err error)                             { g.page <- err.Error() }
func (g *stage) AttemptEnded(t backend.AttemptID, o backend.Outcome) {
	x := g.requests[t.Request.Index]
	g.outcomes = append(g.outcomes, fmt.Sprint(t.Request.Index, " ", o.Result))
	switch {
	case x.over:
	case o.Result == decide.OK:
		x.c.Served(nil)
		g.close(x)
	case o.Result == decide.Reset:
		g.try(int(t.Request.Index), map[string]string{"a": "b", "b": "a", "c": "c"}[x.last])
	}
}

func (g *stage) Row(row []byte) {
	n, err := strconv.Atoi(string(row[11:]))
	if err != nil {
		g.t.Error(err)
	}
	g.rows = append(g.rows, n)
}

func newStage(t *testing.T) *stage {
	g := &stage{t: t, asked: make(chan *statement, 10), page: make(chan string, 1)}
	started, ended := make(chan struct{}), make(chan error, 1)
	g.loop = eventloop.New(clock.System(), slog.New(slog.DiscardHandler), func() eventloop.Handler { return unheard{} }, func() { close(started) })
	go func() { ended <- g.loop.Run("127.0.0.1:0") }()
	<-started
	t.Cleanup(func() {
		g.loop.End()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	spec := Spec{Name: "visits", Class: "reports", Shards: []Shard{{"one", 0}, {"two", 1}},
		Order:       merge.Order{Columns: []merge.Column{{Name: "id", Expr: "id", Type: merge.Int}}},
		DefaultRows: 50, MaxRows: 50, PageBytes: 1 << 20, MaxRowBytes: 1 << 10, MaxConcurrent: 4, TimeoutMs: 10000, UnresponsiveMs: 9000, MaxRetries: 1, PositionWaitMs: 20}
	checks := invariant.New(func(b invariant.Breach) { t.Errorf("%v", b) })
	g.f = New(g.loop, slog.New(slog.DiscardHandler), Options{Specs: []Spec{spec}, Ring: cursor.NewRing(3600e3, 3600e3, []byte("a secret")), ConnectTimeoutMs: 5000,
		PositionName: "position", Checks: checks}, g, g)
	for _, name := range []string{"a", "b", "c"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		g.do(func() { g.f.SetAddress(name, ln.Addr().String()) })
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				go g.serve(name, c)
			}
		}()
	}
	g.do(func() {
		a := plan.Query{Scatter: "visits", Statement: "SELECT id FROM visits WHERE true /*after*/ /*order*/"}
		if _, err := g.f.Begin(a, Caller{Database: "d", User: "u", Settings: sessionstate.NewClient(sessionstate.NewStatements(), nil)}, []byte{0, 0}, nil, g); err != nil {
			t.Error(err)
		}
	})
	return g
}

// unheard takes what comes to the loop's own address, where nobody is.
type unheard struct{}

func (unheard) Opened(c *eventloop.Conn) { c.Close() }
func (unheard) Data([]byte)              {}
func (unheard) Closed(error)             {}

// do does something on the loop.
func (g *stage) do(what func()) {
	done := make(chan struct{})
	g.loop.Post(func() { what(); close(done) })
	<-done
}

func (g *stage) serve(name string, c net.Conn) {
	defer func() { _ = c.Close() }()
	be, behind := pgproto3.NewBackend(c, c), ""
	if m, err := be.ReceiveStartupMessage(); err != nil {
		return
	} else if _, cancel := m.(*pgproto3.CancelRequest); cancel {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() != nil {
		return
	}
	for { // from here on the test writes
		m, err := be.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.Bind:
			behind = fmt.Sprintf("%s", m.Parameters)
		case *pgproto3.Sync:
			g.asked <- &statement{name, behind, be, c}
		}
	}
}

// next is the next statement that a server has.
func (g *stage) next() *statement {
	g.t.Helper()
	select {
	case s := <-g.asked:
		return s
	case p := <-g.page:
		g.t.Fatalf("no statement comes, but the page's end: %s", p)
	case <-time.After(3 * time.Second):
		g.t.Fatal("no statement comes")
	}
	return nil
}

// both are the statements of a and c, whichever comes first.
func (g *stage) both() (a, c *statement) {
	if a, c = g.next(), g.next(); a.server == "c" {
		a, c = c, a
	}
	return a, c
}

// gives has rows go out.
func (s *statement) gives(ids ...int) *statement {
	for _, n := range ids {
		s.be.Send(&pgproto3.DataRow{Values: [][]byte{strconv.AppendInt(nil, int64(n), 10)}})
	}
	_ = s.be.Flush()
	return s
}

func (s *statement) begins() *statement {
	s.be.Send(&pgproto3.ParseComplete{})
	s.be.Send(&pgproto3.BindComplete{})
	s.be.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("id"), DataTypeOID: 20, DataTypeSize: 8, TypeModifier: -1}}})
	return s
}

func (s *statement) ends(whole bool) {
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT")})
	if whole {
		s.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	_ = s.be.Flush()
}

// sees waits until something is so, as the loop has it.
func (g *stage) sees(what string, is func() bool) {
	g.t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
		ok := false
		if g.do(func() { ok = is() }); ok {
			return
		}
	}
	g.t.Fatalf("not seen: %s", what)
}

func (g *stage) firstRow() bool { return g.f.HeldBytes() > 0 }

func (g *stage) want(page string, outcomes ...string) {
	g.t.Helper()
	select {
	case got := <-g.page:
		if got != page {
			g.t.Errorf("page %s, not %s", got, page)
		}
	case s := <-g.asked:
		g.t.Errorf("%s is asked too, behind %s", s.server, s.behind)
	case <-time.After(3 * time.Second):
		g.t.Error("the page does not end")
	}
	g.do(func() {
		for _, o := range outcomes {
			if !slices.Contains(g.outcomes, o) {
				g.t.Errorf("no attempt ended as %q: %q", o, g.outcomes)
			}
		}
	})
}

// TestResetWithinFirstRowsIsRetriedFromThem: a server breaks off at once behind two rows. The module, which takes the whole for the answer, would ask again from the start;
// the run asks behind the last row, and the module still hears of the reset.
func TestResetWithinFirstRowsIsRetriedFromThem(t *testing.T) {
	g := newStage(t)
	a, c := g.both()
	a.begins().gives(1, 2)
	g.sees("rows", g.firstRow)
	_ = a.conn.(*net.TCPConn).SetLinger(0)
	_ = a.conn.Close()
	b := g.next()
	if b.server != "b" || b.behind != "[2]" {
		t.Errorf("%s is asked anew, behind %s", b.server, b.behind)
	}
	b.begins().gives(3, 4).ends(true)
	c.begins().gives(5).ends(true)
	g.want("[1 2 3 4 5]", fmt.Sprint("0 ", decide.Reset))
}

// TestResetAfterLastRowIsNotRetried: all rows are here and the end, and then the connection breaks: nobody is asked again, since another server would tell where *it*
// stands.
func TestResetAfterLastRowIsNotRetried(t *testing.T) {
	g := newStage(t)
	a, c := g.both()
	a.begins().gives(1, 2).ends(false)
	g.sees("the end", func() bool { l := g.part().link; return l != nil && l.completed })
	_ = a.conn.Close()
	g.sees("the break", func() bool { return g.part().link == nil })
	c.begins().gives(3).ends(true)
	g.want("[1 2 3]", fmt.Sprint("0 ", decide.OK))
}

func (g *stage) part() *part {
	for s := range g.f.running {
		return s.parts[0]
	}
	return &part{}
}

// TestHedgedAttemptIsCancelledOnceAnswerBegins: two servers have the same part's statement, and both answer. The rows are those of the first to begin, whichever that is; the other's rows, its end
// and its break are nobody's.
func TestHedgedAttemptIsCancelledOnceAnswerBegins(t *testing.T) {
	for _, first := range []string{"a", "b"} {
		for how, loses := range map[string]func(*statement){
			"rows":  func(s *statement) { s.begins().gives(1, 2, 3) },
			"end":   func(s *statement) { s.begins().ends(true) },
			"break": func(s *statement) { _ = s.conn.Close() },
			"error": func(s *statement) {
				s.be.Send(&pgproto3.ErrorResponse{Code: "22012"})
				s.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = s.be.Flush()
			},
		} {
			t.Run(first+" first, then "+how, func(t *testing.T) {
				g := newStage(t)
				won, c := g.both()
				g.do(func() { g.try(0, "b") })
				lost := g.next()
				if first == "b" {
					won, lost = lost, won
				}
				won.begins().gives(1)
				g.sees("a row", g.firstRow)
				loses(lost)
				time.Sleep(5 * time.Millisecond)
				won.gives(2, 3, 4).ends(true)
				c.begins().gives(5).ends(true)
				g.want("[1 2 3 4 5]", fmt.Sprint("0 ", decide.OK), fmt.Sprint("0 ", decide.Cancelled))
			})
		}
	}
}

// TestLateHedgedAttemptIsNotSent: a copy of a part whose answer has begun is not sent at all.
func TestLateHedgedAttemptIsNotSent(t *testing.T) {
	g := newStage(t)
	a, c := g.both()
	a.begins().gives(1)
	g.sees("a row", g.firstRow)
	g.do(func() { g.requests[0].over = false; g.try(0, "b") })
	a.gives(2).ends(true)
	c.begins().gives(3).ends(true)
	g.want("[1 2 3]", fmt.Sprint("0 ", decide.OK), fmt.Sprint("0 ", decide.NotSent))
}
