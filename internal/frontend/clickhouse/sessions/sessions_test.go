package sessions

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestSessionStaysWithItsServer: a session is bound to the server that answered first, has one query at a time, and ends at its timeout
// or when its server is lost.
func TestSessionStaysWithItsServer(t *testing.T) {
	session, other, third := Key{"u", "s"}, Key{"v", "s"}, Key{"w", "s"}
	table := New(2)
	var got []string
	begin := func(now float64, key Key, timeoutMs float64, mustExist bool) {
		verdict, server := table.Begin(now, key, timeoutMs, mustExist)
		got = append(got, fmt.Sprint(verdict, " ", server))
	}
	begin(0, session, 0, true)
	begin(0, session, 0, false)
	begin(1, session, 0, false)
	table.Bind(session, "a")
	table.Bind(session, "b") // the late answer of a hedged attempt
	table.End(2, session)
	begin(3, session, 5000, true)
	table.End(4, session)
	begin(5, other, 0, false)
	begin(5, third, 0, false)
	table.End(6, other) // never bound, as no server answered
	begin(6000, session, 0, true)
	begin(6001, session, 0, false)
	table.Bind(session, "c")
	if diff := cmp.Diff([]Key{session}, table.LoseServer("c")); diff != "" {
		t.Errorf("sessions with a query at lost server c (-want +got):\n%s", diff)
	}
	begin(6002, session, 0, false)
	table.End(6003, session)
	begin(6004, session, 0, false)
	begin(6005, session, 0, false)
	want := []string{
		"unknown ", "any server ", "locked ", "bound server a", "any server ", "too many ",
		"unknown ", "any server ", "locked ", "lost ", "any server ",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts with their servers (-want +got):\n%s", diff)
	}
	table.End(6006, session)
	table.Expire(1e9)
	if table.Len() != 0 {
		t.Errorf("%d sessions remain after their expiry, want none", table.Len())
	}
}

// TestTableAgreesWithModel compares the Table with a model: no session has two queries at a time or is bound to a server that is lost or
// did not answer first, and the number of sessions is bounded.
func TestTableAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		table, now := New(3), 0.0
		server, busy := map[Key]string{}, map[Key]bool{}
		key := rapid.Custom(func(rt *rapid.T) Key {
			return Key{rapid.SampledFrom([]string{"u", "v"}).Draw(rt, "user"), rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "id")}
		})
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(rt *rapid.T) {
				k := key.Draw(rt, "key")
				v, at := table.Begin(now, k, rapid.Float64Range(0, 5000).Draw(rt, "timeout"), rapid.Bool().Draw(rt, "must exist"))
				switch {
				case (v == AnyServer || v == BoundServer) && busy[k]:
					rt.Fatalf("session %v has two queries at a time", k)
				case v == BoundServer && at != server[k]:
					rt.Fatalf("session %v is bound to server %q, but %q answered first", k, at, server[k])
				case v == AnyServer:
					delete(server, k)
				}
				if v == AnyServer || v == BoundServer {
					busy[k] = true
				}
			},
			"bind": func(rt *rapid.T) {
				if k, s := key.Draw(rt, "key"), name.Draw(rt, "server"); busy[k] && server[k] == "" {
					table.Bind(k, s)
					server[k] = s
				}
			},
			"end": func(rt *rapid.T) {
				if k := key.Draw(rt, "key"); busy[k] {
					table.End(now, k)
					delete(busy, k)
				}
			},
			"lose server": func(rt *rapid.T) {
				s := name.Draw(rt, "server")
				for _, k := range table.LoseServer(s) {
					if !busy[k] || server[k] != s {
						rt.Fatalf("session %v was returned as running at lost server %s, but is not", k, s)
					}
				}
				for k := range server {
					if server[k] == s {
						server[k] = "lost" // matches no server, so BoundServer is an error until a new session with this key begins
					}
				}
			},
			"time": func(rt *rapid.T) {
				now += rapid.Float64Range(0, 4000).Draw(rt, "ms")
				table.Expire(now)
			},
			"": func(rt *rapid.T) {
				if table.Len() > 3 {
					rt.Fatalf("the table holds %d sessions, want at most 3", table.Len())
				}
			},
		})
	})
}
