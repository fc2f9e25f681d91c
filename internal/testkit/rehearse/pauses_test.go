package rehearse

import (
	"slices"
	"testing"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/scenario"
)

// TestPausesOfOnePooler guards against a false breach of "one final answer": an attempt at a paused pooler is judged after its client has
// waited for a late answer, when the pooler may already be paused again. The earlier pause must still excuse it, and nothing else.
func TestPausesOfOnePooler(t *testing.T) {
	s, err := scenario.Parse("script", []byte(`(rehearsal "pauses" (poolers 2))`))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	for name, c := range map[string]struct {
		pooler           int
		sent, ended      float64
		kind             clients.Kind
		answeredAt       float64
		stalled, reports bool
	}{
		"in the first pause":                 {0, 14100, 14900, clients.Unanswered, 0, true, false},
		"in the second pause":                {0, 17600, 18400, clients.Unanswered, 0, true, false},
		"over the end of the first":          {0, 16900, 17200, clients.Unanswered, 0, true, false},
		"before the first pause":             {0, 13000, 13900, clients.Unanswered, 0, false, true},
		"between the pauses":                 {0, 17100, 17400, clients.Unanswered, 0, false, true},
		"after the second pause":             {0, 20600, 21400, clients.Unanswered, 0, false, true},
		"at the other pooler":                {1, 14100, 14900, clients.Unanswered, 0, false, true},
		"late, in the first pause":           {0, 14100, 14900, clients.Served, 17050, true, false},
		"late, before the first pause":       {0, 10000, 10800, clients.Served, 13900, false, true},
		"late, between the pauses":           {0, 17050, 17060, clients.Served, 17450, false, false},
		"answered in time, before the pause": {0, 13000, 13500, clients.Served, 13500, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Run{script: s, opt: Options{Out: t.TempDir()}, poolers: []*pooler{{name: "pooler-0"}, {name: "pooler-1"}}}
			r.traffic, r.shared = newTrafficWatcher(s), &shared{}
			scorer, l, err := r.openAttemptLog(s.Clients.Classes)
			if err != nil {
				t.Fatalf("opening the log of attempts: %v", err)
			}
			r.traffic.processPaused(14000, 0, 17000)
			r.traffic.processPaused(17500, 0, 20500)
			a := &clients.Attempt{
				Request:    &clients.Request{Patience: c.ended - c.sent},
				Class:      &s.Clients.Classes[1],
				ID:         "1",
				Pooler:     c.pooler,
				First:      c.sent,
				Sent:       c.sent,
				Ended:      c.ended,
				AnsweredAt: c.answeredAt,
				Kind:       c.kind,
				Late:       c.answeredAt > c.ended,
			}
			l.AttemptEnded(a)
			if err := l.close(); err != nil {
				t.Fatalf("closing the log of attempts: %v", err)
			}
			if got := scorer.Score().Breaches; a.PoolerStalled != c.stalled || (len(got) > 0) != c.reports {
				t.Errorf("pooler stalled: %v, want %v; breaches %+v, want some: %v", a.PoolerStalled, c.stalled, got, c.reports)
			}
		})
	}
}

// TestResultHasAllPauses guards against a result that names only the last pause of each pooler, so that Compare takes attempts during the
// others for ones at a running pooler.
func TestResultHasAllPauses(t *testing.T) {
	s, err := scenario.Parse("script", []byte(`(rehearsal "pauses" (poolers 2))`))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	r := &Run{poolers: []*pooler{{name: "pooler-0"}, {name: "pooler-1"}}, traffic: newTrafficWatcher(s)}
	r.traffic.processPaused(13000, 1, 15000)
	r.traffic.processPaused(14000, 0, 17000)
	r.traffic.processPaused(17500, 0, 20500)
	want := []Pause{{"pooler-0", 14000, 17000}, {"pooler-0", 17500, 20500}, {"pooler-1", 13000, 15000}}
	got := r.pauses()
	if !slices.Equal(got, want) {
		t.Errorf("the result's pauses: got %v, want %v", got, want)
	}
	f := &finals{pauses: got}
	for _, c := range []struct {
		sent, ended float64
		want        bool
	}{{13000, 13900, false}, {14100, 14900, true}, {17100, 17400, false}, {17600, 18400, true}, {20600, 21400, false}} {
		if got := f.pausedDuring(&AttemptLine{Pooler: "pooler-0", Sent: c.sent, Ended: c.ended}); got != c.want {
			t.Errorf("paused during the attempt of %.0f to %.0f: got %v, want %v", c.sent, c.ended, got, c.want)
		}
	}
}
