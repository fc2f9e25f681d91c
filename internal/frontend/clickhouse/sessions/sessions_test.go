package sessions

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/testkit/deterministic"
)

// TestSessionStaysWithItsServer: a session stays with who served it first, takes one query at a time, and ends by time, or with its server.
func TestSessionStaysWithItsServer(t *testing.T) {
	k, o := Key{"u", "s"}, Key{"v", "s"}
	tab := New(2)
	var got []string
	enter := func(now float64, k Key, keep float64, must bool) {
		v, server := tab.Begin(now, k, keep, must)
		got = append(got, fmt.Sprint(v, server))
	}
	enter(0, k, 0, true)
	enter(0, k, 0, false)
	enter(1, k, 0, false)
	tab.Bind(k, "a")
	tab.Bind(k, "b") // a copy's answer that came too late
	tab.End(2, k)
	enter(3, k, 5000, true)
	tab.End(4, k)
	enter(5, o, 0, false)
	enter(5, Key{"w", "s"}, 0, false)
	tab.End(6, o) // it was not served
	enter(6000, k, 0, true)
	enter(6001, k, 0, false)
	tab.Bind(k, "c")
	if diff := cmp.Diff([]Key{k}, tab.LoseServer("c")); diff != "" {
		t.Error(diff)
	}
	enter(6002, k, 0, false)
	tab.End(6003, k)
	enter(6004, k, 0, false)
	enter(6005, k, 0, false)
	want := []string{"4", "0", "2", "1a", "0", "5", "4", "0", "2", "3", "0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	tab.End(6006, k)
	if tab.Expire(1e9); tab.Len() != 0 {
		t.Errorf("%d are left", tab.Len())
	}
}

// TestTableAgreesWithModel: whatever happens, no session has two queries under way, none is told a server that has gone or another
// than the one that served it, and there are never more than there may be.
func TestTableAgreesWithModel(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		tab, now := New(3), 0.0
		server, busy := map[Key]string{}, map[Key]bool{}
		key := rapid.Custom(func(rt *rapid.T) Key {
			return Key{rapid.SampledFrom([]string{"u", "v"}).Draw(rt, "user"), rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "id")}
		})
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		rt.Repeat(map[string]func(*rapid.T){
			"enter": func(rt *rapid.T) {
				k := key.Draw(rt, "key")
				v, at := tab.Begin(now, k, rapid.Float64Range(0, 5000).Draw(rt, "keep"), rapid.Bool().Draw(rt, "must"))
				switch {
				case (v == AnyServer || v == BoundServer) && busy[k]:
					rt.Fatalf("%v has two queries under way", k)
				case v == BoundServer && at != server[k]:
					rt.Fatalf("%v goes to %q, and %q served it", k, at, server[k])
				case v == AnyServer:
					delete(server, k)
				}
				if v == AnyServer || v == BoundServer {
					busy[k] = true
				}
			},
			"served": func(rt *rapid.T) {
				if k, s := key.Draw(rt, "key"), name.Draw(rt, "server"); busy[k] && server[k] == "" {
					tab.Bind(k, s)
					server[k] = s
				}
			},
			"leave": func(rt *rapid.T) {
				if k := key.Draw(rt, "key"); busy[k] {
					tab.End(now, k)
					delete(busy, k)
				}
			},
			"gone": func(rt *rapid.T) {
				s := name.Draw(rt, "server")
				for _, k := range tab.LoseServer(s) {
					if !busy[k] || server[k] != s {
						rt.Fatalf("%v is told to be lost with %s", k, s)
					}
				}
				for k := range server {
					if server[k] == s {
						server[k] = "gone" // nothing may go there until it begins anew
					}
				}
			},
			"time": func(rt *rapid.T) {
				now += rapid.Float64Range(0, 4000).Draw(rt, "ms")
				tab.Expire(now)
			},
			"": func(rt *rapid.T) {
				if tab.Len() > 3 {
					rt.Fatalf("%d sessions", tab.Len())
				}
			},
		})
	})
}
