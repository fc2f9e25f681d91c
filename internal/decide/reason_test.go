package decide

import (
	"testing"
	"time"
)

// TestReasons: each refusal, failure and repeat states why.
func TestReasons(t *testing.T) {
	want := func(t *testing.T, kind ActionKind, reason Reason, actions []Action) {
		t.Helper()
		got := of(kind, actions)
		if len(got) != 1 || got[0].Reason != reason {
			t.Fatalf("want kind %d for %v, got %+v", kind, reason, got)
		}
	}
	t.Run("late", func(t *testing.T) {
		g := trio(t, nil)
		want(t, Refuse, ReasonLate, g.do(&Request{ID: "1", Class: cAny, Deadline: g.now}))
	})
	t.Run("shed", func(t *testing.T) {
		cells := make([][4]int, len(testSettings().Classes))
		levels := make([]float64, len(cells))
		levels[cAny] = 9
		g := trio(t, func(s *Settings) {
			s.Shed = map[int]*Shed{0: {Levels: levels, Cells: cells}}
		})
		want(t, Refuse, ReasonShed, g.ask("1", cAny))
	})
	t.Run("group", func(t *testing.T) {
		g := trio(t, nil)
		want(t, Refuse, ReasonGroup, g.do(&Request{ID: "1", Class: cAny, Group: 7, Deadline: g.now + time.Second}))
	})
	t.Run("allowance", func(t *testing.T) {
		g := trio(t, func(s *Settings) { s.Tenants = []Tenant{{Allowance: 1e-6, Hard: true}} })
		all := g.ask("0", cAny)
		for len(of(Refuse, all)) == 0 {
			all = g.do(&Request{ID: RequestID(g.now.String()), Class: cAny, Deadline: g.now + time.Second})
			g.now++
		}
		want(t, Refuse, ReasonAllowance, all)
	})
	t.Run("time", func(t *testing.T) {
		g := trio(t, func(s *Settings) { s.MayProbe = false })
		g.do(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", State: Gone}}})
		g.ask("w", cUnsafe)
		want(t, Refuse, ReasonTime, g.pass(3*time.Second))
	})
	t.Run("attempts, after one that was unanswered", func(t *testing.T) {
		g := trio(t, func(s *Settings) { s.MaxAttempts = 2 })
		g.wantSend(g.ask("w", cUnsafe), "w", "p")
		want(t, Send, ReasonUnanswered, append(g.end("w", 0, "p", Full), g.pass(300*ms)...))
		want(t, Refuse, ReasonAttempts, append(g.end("w", 1, "p", Full), g.pass(20*ms)...))
	})
	t.Run("copy", func(t *testing.T) {
		g := trio(t, nil)
		server := of(Send, g.ask("r", cAny))[0].Server
		want(t, Send, ReasonCopy, append(g.do(&ProbeResult{Server: server, Result: TimedOut}), g.pass(100*ms)...))
	})
}
