package sessionstate

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/protocol/sqltext"
	"beechgrade/internal/testkit/deterministic"
)

// modelServer is a server as it is: what it has set, and what its transaction may undo.
type modelServer struct {
	settings map[string]string
	saved    map[string]string
	marks    []savepoint
	local    map[string]bool
}

type savepoint struct {
	name     string
	settings map[string]string
}

func clone(m map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// run runs a text at the modelled server.
func (r *modelServer) run(sql string) {
	for _, s := range sqltext.Split(sql) {
		switch s.Kind {
		case sqltext.Set:
			if s.Value == "" {
				delete(r.settings, s.Name)
			} else {
				r.settings[s.Name] = s.Value
			}
			r.local[s.Name] = s.Local
		case sqltext.ResetAll:
			r.settings = map[string]string{}
		case sqltext.Savepoint:
			r.marks = append(r.marks, savepoint{s.Name, clone(r.settings)})
		case sqltext.RollbackTo:
			for i := len(r.marks) - 1; i >= 0; i-- {
				if r.marks[i].name == s.Name {
					r.settings, r.marks = clone(r.marks[i].settings), r.marks[:i+1]
					break
				}
			}
		}
	}
}

func (r *modelServer) begin() { r.saved, r.marks, r.local = clone(r.settings), nil, map[string]bool{} }

func (r *modelServer) end(commit bool) {
	if !commit {
		r.settings = r.saved
		return
	}
	for n, local := range r.local {
		if local {
			if v, ok := r.saved[n]; ok {
				r.settings[n] = v
			} else {
				delete(r.settings, n)
			}
		}
	}
}

// TestSettingsAgreeWithModel moves clients over servers at random, with settings that are set, reset, local, rolled back and undone to
// savepoints. Before each transaction, the server must have what that client's session has, and nothing of another's.
func TestSettingsAgreeWithModel(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		statements := NewStatements()
		var clients []*Client
		var want []map[string]string // what each session has
		for i := range 3 {
			start := map[string]string{}
			if i > 0 {
				start["app"] = fmt.Sprint("client", i)
			}
			clients = append(clients, NewClient(statements, start))
			w := map[string]string{}
			for n, v := range start {
				w[n] = "'" + v + "'"
			}
			want = append(want, w)
		}
		servers, reals := []*Server{}, []*modelServer{}
		for range 2 {
			servers, reals = append(servers, NewServer(10, 1000)), append(reals, &modelServer{settings: map[string]string{}, local: map[string]bool{}})
		}
		for range rapid.IntRange(1, 40).Draw(t, "transactions") {
			k, s := rapid.IntRange(0, 2).Draw(t, "client"), rapid.IntRange(0, 1).Draw(t, "server")
			c, srv, r := clients[k], servers[s], reals[s]
			if sql := c.SyncQuery(srv); sql != "" {
				r.begin()
				r.run(sql)
				r.end(true)
				c.Synced(srv)
			}
			if diff := cmp.Diff(want[k], r.settings); diff != "" {
				t.Fatalf("client %d at server %d: %s", k, s, diff)
			}
			r.begin()
			for range rapid.IntRange(0, 5).Draw(t, "statements") {
				name := rapid.SampledFrom([]string{"a", "b", "app"}).Draw(t, "name")
				sql := rapid.SampledFrom([]string{"SET %s TO 'x'", "SET %s TO 'y'", "RESET %s", "SAVEPOINT %s", "ROLLBACK TO %s"}).Draw(t, "sql")
				sql = fmt.Sprintf(sql, name)
				if strings.HasPrefix(sql, "RESET app") {
					continue // its default is the startup's, which the model does not know
				}
				r.run(sql)
				c.Completed(&sqltext.Split(sql)[0])
			}
			if commit := rapid.Bool().Draw(t, "commit"); commit {
				r.end(true)
				c.Commit(srv)
				want[k] = clone(r.settings)
			} else {
				r.end(false)
				c.Abort()
			}
		}
	})
}

// TestPreparedStatementsAreShared: statements of equal text and types must be one, prepared once on a connection, and released without users.
func TestPreparedStatementsAreShared(t *testing.T) {
	statements := NewStatements()
	a, b := NewClient(statements, nil), NewClient(statements, nil)
	x, _, _ := a.Prepare("one", "SELECT 1", []byte{0, 0})
	y, _, _ := b.Prepare("other", "SELECT 1", []byte{0, 0})
	z, _, _ := b.Prepare("typed", "SELECT 1", []byte{0, 1, 0, 0, 0, 25})
	if x != y || x == z || statements.Len() != 2 {
		t.Errorf("%d statements: %v %v %v", statements.Len(), x, y, z)
	}
	if _, exists, _ := a.Prepare("one", "SELECT 2", nil); !exists || a.Statement("one") != x {
		t.Error("a name was reused")
	}
	if _, exists, _ := a.Prepare("", "SELECT 3", nil); exists {
		t.Error("the empty name cannot be used")
	}
	if _, exists, _ := a.Prepare("", "SELECT 4", nil); exists || a.Statement("").SQL != "SELECT 4" || statements.Len() != 3 {
		t.Errorf("the empty name cannot be reused: %d statements", statements.Len())
	}
	s := NewServer(2, 1<<20)
	s.Add(x)
	s.Add(z)
	s.Has(x)
	if out := s.Add(a.Statement("")); len(out) != 1 || out[0] != z || s.Has(z) || !s.Has(x) {
		t.Errorf("evicted: %v", out)
	}
	a.Close()
	b.Reset()
	if statements.Len() != 2 { // the server still has them, so preparing them again must find them
		t.Errorf("%d statements remain while a server has two prepared", statements.Len())
	}
	s.DeallocatedAll()
	if statements.Len() != 0 || statements.Bytes() != 0 {
		t.Errorf("%d statements with %d bytes remain", statements.Len(), statements.Bytes())
	}
	for i := range MaxStatements {
		if _, _, err := a.Prepare(fmt.Sprint(i), "SELECT 1", nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := a.Prepare("more", "SELECT 1", nil); err == nil {
		t.Error("a client may prepare without a bound")
	}
}
