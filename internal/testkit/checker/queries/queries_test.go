package queries

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestQueryRulesFindEachBreach checks that each rule reports its own breach alone, and that correct queries break none.
func TestQueryRulesFindEachBreach(t *testing.T) {
	cfg := Config{GraceMs: 250, RoundS: 1}
	ok := func(id string) ClientQuery {
		return ClientQuery{ID: id, Answers: 1, Status: 200, Echo: true, Body: "a " + id + " 7\n", BodyHash: 7, BodySent: true}
	}
	ran := func(id string) Run { return Run{Server: "a", ID: id, At: 100, Sum: 7, Whole: true} }
	with := func(a ClientQuery, f func(*ClientQuery)) ClientQuery { f(&a); return a }
	withRun := func(r Run, f func(*Run)) Run { f(&r); return r }
	for name, c := range map[string]struct {
		queries []ClientQuery
		runs    []Run
		drains  []Drain
		want    []Rule
	}{
		"correct":                           {[]ClientQuery{ok("1"), ok("2")}, []Run{ran("1"), ran("2")}, []Drain{{"a", 50, 0}, {"b", 0, 0}}, nil},
		"no answer":                         {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.Answers = 0 })}, []Run{ran("1")}, nil, []Rule{OneAnswer}},
		"connection broke before an answer": {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.Answers, a.ConnectionBroke = 0, true })}, []Run{ran("1")}, nil, nil},
		"two answers":                       {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.Answers = 2 })}, []Run{ran("1")}, nil, []Rule{OneAnswer}},
		"bytes after the answer":            {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.ExtraBytes = 3 })}, []Run{ran("1")}, nil, []Rule{OneAnswer}},
		"a read that ran twice":             {[]ClientQuery{ok("1")}, []Run{ran("1"), ran("1")}, nil, nil},
		"a write that ran twice":            {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.Writes = true })}, []Run{ran("1"), ran("1")}, nil, []Rule{NotTwice}},
		"rejected, but it ran": {[]ClientQuery{{
			ID:         "1",
			Writes:     true,
			Answers:    1,
			Status:     503,
			FromPooler: true,
		}}, []Run{ran("1")}, nil, []Rule{RejectedUntouched}},
		"rejected by its server":       {[]ClientQuery{{ID: "1", Writes: true, Answers: 1, Status: 503}}, []Run{ran("1")}, nil, nil},
		"answer of another query":      {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.Body = "a 2 7" })}, []Run{ran("1"), ran("2")}, nil, []Rule{NoInvented}},
		"answer to an incomplete body": {[]ClientQuery{ok("1")}, []Run{withRun(ran("1"), func(r *Run) { r.Whole = false })}, nil, []Rule{NoInvented}},
		"answer to another body":       {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.BodyHash = 8 })}, []Run{ran("1")}, nil, []Rule{NoInvented}},
		"after a drain":                {[]ClientQuery{ok("1")}, []Run{withRun(ran("1"), func(r *Run) { r.At = 301 })}, []Drain{{"a", 50, 0}}, []Rule{DrainsKept}},
		"after a drain that is over":   {[]ClientQuery{ok("1")}, []Run{withRun(ran("1"), func(r *Run) { r.At = 900 })}, []Drain{{"a", 50, 800}}, nil},
		"stale":                        {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.MaxStalenessS = 5 })}, []Run{withRun(ran("1"), func(r *Run) { r.LagS = 6.5 })}, nil, []Rule{NotStale}},
		"stale by rounding alone":      {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.MaxStalenessS = 5 })}, []Run{withRun(ran("1"), func(r *Run) { r.LagS = 6 })}, nil, nil},
		"a session at two servers": {[]ClientQuery{with(ok("1"), func(a *ClientQuery) { a.Session = "s" }), with(ok("2"), func(a *ClientQuery) { a.Session, a.Body = "s", "b 2 7" })},
			[]Run{ran("1"), withRun(ran("2"), func(r *Run) { r.Server = "b" })}, nil, []Rule{OneServer}},
	} {
		var got []Rule
		v := Check(cfg, c.queries, c.runs, c.drains)
		for _, b := range v.Breaches {
			got = append(got, b.Rule)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: broken rules (-want +got): %s\n%+v", name, diff, v.Breaches)
		}
		if v.Checked[OneAnswer] != len(c.queries) {
			t.Errorf("%s: checks of OneAnswer: %+v, want %d", name, v.Checked, len(c.queries))
		}
	}
}
