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

// modelServer models the settings of a server's session, and those that its transaction may restore.
type modelServer struct {
	settings   map[string]string
	atBegin    map[string]string // settings at the start of the transaction
	savepoints []savepoint
	local      map[string]bool // by name, whether the transaction last set the setting by SET LOCAL
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

// run runs the statements of an SQL text on the model.
func (m *modelServer) run(sql string) {
	for _, s := range sqltext.Split(sql) {
		switch s.Kind {
		case sqltext.Set:
			if s.Value == "" {
				delete(m.settings, s.Name)
			} else {
				m.settings[s.Name] = s.Value
			}
			m.local[s.Name] = s.Local
			if s.Name == "session_authorization" {
				delete(m.settings, "role")
				m.local["role"] = false
			}
		case sqltext.ResetAll:
			for name := range m.settings {
				if name != "session_authorization" && name != "role" {
					delete(m.settings, name)
					m.local[name] = false
				}
			}
		case sqltext.Savepoint:
			m.savepoints = append(m.savepoints, savepoint{s.Name, clone(m.settings)})
		case sqltext.RollbackTo:
			for i := len(m.savepoints) - 1; i >= 0; i-- {
				if m.savepoints[i].name == s.Name {
					m.settings, m.savepoints = clone(m.savepoints[i].settings), m.savepoints[:i+1]
					break
				}
			}
		}
	}
}

func (m *modelServer) begin() {
	m.atBegin, m.savepoints, m.local = clone(m.settings), nil, map[string]bool{}
}

func (m *modelServer) end(commit bool) {
	if !commit {
		m.settings = m.atBegin
		return
	}
	for n, local := range m.local {
		if local {
			if v, ok := m.atBegin[n]; ok {
				m.settings[n] = v
			} else {
				delete(m.settings, n)
			}
		}
	}
}

// TestSettingsAgreeWithModel moves clients between servers at random, with settings that are set, reset, local, rolled back and undone to
// savepoints. Before each transaction, the server must have exactly the settings of that client's session, and none of another's.
func TestSettingsAgreeWithModel(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		statements := NewStatements()
		var clients []*Client
		var want []map[string]string // the settings of each session
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
		servers, models := []*Server{}, []*modelServer{}
		for range 2 {
			servers, models = append(servers, NewServer(10, 1000)), append(models, &modelServer{settings: map[string]string{}, local: map[string]bool{}})
		}
		for range rapid.IntRange(1, 40).Draw(t, "transactions") {
			k, s := rapid.IntRange(0, 2).Draw(t, "client"), rapid.IntRange(0, 1).Draw(t, "server")
			c, srv, m := clients[k], servers[s], models[s]
			if sql := c.SyncQuery(srv); sql != "" {
				m.begin()
				m.run(sql)
				m.end(true)
				c.Synced(srv)
			}
			if diff := cmp.Diff(want[k], m.settings); diff != "" {
				t.Fatalf("settings of client %d at server %d (-want +got):\n%s", k, s, diff)
			}
			m.begin()
			for range rapid.IntRange(0, 5).Draw(t, "statements") {
				name := rapid.SampledFrom([]string{"a", "b", "app"}).Draw(t, "name")
				sql := rapid.SampledFrom([]string{"SET %s TO 'x'", "SET %s TO 'y'", "RESET %s", "SAVEPOINT %s", "ROLLBACK TO %s", "identity"}).Draw(t, "sql")
				if sql == "identity" {
					sql = rapid.SampledFrom([]string{"SET ROLE clerk", "SET ROLE payer", "RESET ROLE", "SET SESSION AUTHORIZATION ana",
						"SET SESSION AUTHORIZATION rui", "RESET SESSION AUTHORIZATION", "RESET ALL"}).Draw(t, "identity")
				} else {
					sql = fmt.Sprintf(sql, name)
				}
				if strings.HasPrefix(sql, "RESET app") || sql == "RESET ALL" && k > 0 {
					continue // the default comes from the startup message, which the model does not know
				}
				m.run(sql)
				c.Completed(&sqltext.Split(sql)[0])
			}
			if commit := rapid.Bool().Draw(t, "commit"); commit {
				m.end(true)
				c.Commit(srv)
				want[k] = clone(m.settings)
			} else {
				m.end(false)
				c.Abort()
			}
		}
	})
}

// TestPreparedStatementsAreShared: statements of equal text and types must be stored once, be prepared once on a connection, and be removed
// after their last use.
func TestPreparedStatementsAreShared(t *testing.T) {
	statements := NewStatements()
	a, b := NewClient(statements, nil), NewClient(statements, nil)
	x, _, _ := a.Prepare("one", "SELECT 1", []byte{0, 0})
	y, _, _ := b.Prepare("other", "SELECT 1", []byte{0, 0})
	z, _, _ := b.Prepare("typed", "SELECT 1", []byte{0, 1, 0, 0, 0, 25})
	if x != y || x == z || statements.Len() != 2 {
		t.Errorf("%d distinct statements, want 2; equal ones %v and %v, another type %v", statements.Len(), x, y, z)
	}
	if _, exists, _ := a.Prepare("one", "SELECT 2", nil); !exists || a.Statement("one") != x {
		t.Error("a name in use was accepted for another statement")
	}
	if _, exists, _ := a.Prepare("", "SELECT 3", nil); exists {
		t.Error("the empty name was rejected as in use")
	}
	if _, exists, _ := a.Prepare("", "SELECT 4", nil); exists || a.Statement("").SQL != "SELECT 4" || statements.Len() != 3 {
		t.Errorf("the unnamed statement was not replaced: %d distinct statements, want 3", statements.Len())
	}
	s := NewServer(2, 1<<20)
	s.Add(x)
	s.Add(z)
	s.Has(x)
	if out := s.Add(a.Statement("")); len(out) != 1 || out[0] != z || s.Has(z) || !s.Has(x) {
		t.Errorf("evicted %v, want the least recently used statement", out)
	}
	a.Close()
	b.Reset()
	if statements.Len() != 2 { // still prepared at the server, so that preparing them again must find them
		t.Errorf("%d distinct statements, want the 2 that a server has prepared", statements.Len())
	}
	s.DeallocatedAll()
	if statements.Len() != 0 || statements.Bytes() != 0 {
		t.Errorf("%d statements with %d bytes remain after their last use, want none", statements.Len(), statements.Bytes())
	}
	for i := range MaxStatements {
		if _, _, err := a.Prepare(fmt.Sprint(i), "SELECT 1", nil); err != nil {
			t.Fatalf("preparing statement %d of the %d that are allowed: %v", i, MaxStatements, err)
		}
	}
	if _, _, err := a.Prepare("more", "SELECT 1", nil); err == nil {
		t.Error("a client prepared more than MaxStatements")
	}
}
