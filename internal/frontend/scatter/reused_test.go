package scatter

import (
	"fmt"
	"net"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter/plan"
)

// TestReusedConnectionBreaksBeforeSend: a part has a connection that another page was read over, and waits for the other shard's server, which never takes it; nothing
// is sent. What that other page left on the connection is no answer to this one: whether a word comes there or the client goes, the attempt ends as
// one that was never sent, and the connection is free for others.
func TestReusedConnectionBreaksBeforeSend(t *testing.T) {
	for how, then := range map[string]func(g *stage, s *Scatter, a *statement){
		"its client goes": func(g *stage, s *Scatter, _ *statement) { g.do(s.Abandon) },
		"a word comes, and its client goes": func(g *stage, s *Scatter, a *statement) {
			a.sets("application_name", "x")
			g.sees("the word", func() bool { return s.parts[0].attempts[0].link.params["application_name"] == "x" })
			g.do(s.Abandon)
		},
	} {
		t.Run(how, func(t *testing.T) {
			g := newStage(t)
			a, c := g.both()
			a.begins().gives(1).ends(true)
			c.begins().gives(2).ends(true)
			g.want("[1 2]", fmt.Sprint("0 ", decide.OK), fmt.Sprint("1 ", decide.OK))
			mute, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections and says nothing
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = mute.Close() }()
			_ = c.conn.Close()
			g.sees("the break", func() bool { return g.f.conns == 1 })
			var s *Scatter
			g.do(func() {
				g.f.SetAddress("c", mute.Addr().String())
				g.first = "a"
				asked := plan.Query{Scatter: "visits", Statement: "SELECT id FROM visits WHERE true /*after*/ /*order*/"}
				if s, err = g.f.Begin(asked, Caller{Database: "d", User: "u", Settings: sessionstate.NewClient(sessionstate.NewStatements(), nil)}, []byte{0, 0}, nil, g); err != nil {
					t.Error(err)
					return
				}
				if p := s.parts[0]; len(p.attempts) != 1 || p.attempts[0].link == nil || p.attempts[0].link.sent {
					t.Error("the part has not the connection of the page before, or was sent")
				}
			})
			if t.Failed() {
				return
			}
			then(g, s, a)
			g.do(func() {
				if !slices.Contains(g.outcomes, fmt.Sprint("2 ", decide.NotSent)) {
					t.Errorf("what was not sent did not end so: %q", g.outcomes)
				}
				if n := len(g.f.idle[connKey{"a", "d", "u"}]); n != 1 {
					t.Errorf("%d connections to its server are free, not 1", n)
				}
			})
		})
	}
}

// sets has the server tell a setting.
func (s *statement) sets(name, value string) {
	s.be.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	_ = s.be.Flush()
}
