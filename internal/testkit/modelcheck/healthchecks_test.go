package modelcheck

import (
	"testing"

	"beechgrade/internal/cluster/overload"
)

// prober searches so many processes that share probes, with what may go wrong.
func searchHealthCheckers(n, depth int, faults ProbeFaults, unreachable []int, mutant func(s *HealthCheckers)) *Result {
	s := NewHealthCheckers(n, SmallProbeSettings())
	if mutant != nil {
		mutant(s)
	}
	s.Start()
	for _, k := range unreachable {
		s.Unreachable[s.Probers()[k]] = true
	}
	s.ProbeFaults = faults
	return Run(s, Bounds{Depth: depth, States: 900000})
}

// TestHealthCheckersExplored: whoever wants a probe, however long probes take, whichever message is lost, late, doubled or overtaken, and whoever crashes and
// begins again: each want has one end, in time, with what is true, no older than it may be, and bad news by one's own eyes or two others'.
func TestHealthCheckersExplored(t *testing.T) {
	for name, x := range map[string]struct {
		n, depth    int
		faults      ProbeFaults
		unreachable []int
	}{
		"nothing wrong, three wants":     {3, 22, ProbeFaults{Request: 3}, nil},
		"one lost, one late":             {3, 44, ProbeFaults{Request: 1, Lose: 1, Delay: 1}, nil},
		"doubled, late":                  {3, 14, ProbeFaults{Request: 2, Duplicate: 1, Delay: 1}, nil},
		"a crash, a restart":             {3, 15, ProbeFaults{Request: 1, Crash: 1, Restart: 1, UpdateMembers: 2}, nil},
		"the first is blind, one lost":   {3, 17, ProbeFaults{Request: 2, Lose: 1}, []int{0}},
		"the second is blind, one crash": {3, 20, ProbeFaults{Request: 1, Crash: 1, UpdateMembers: 1}, []int{1}},
		"both are blind":                 {3, 17, ProbeFaults{Request: 2, Lose: 1}, []int{0, 1}},
		"two processes, all of it": {2, 16, ProbeFaults{
			Request:       2,
			Lose:          1,
			Delay:         1,
			Duplicate:     1,
			Crash:         1,
			Restart:       1,
			UpdateMembers: 1,
		}, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := searchHealthCheckers(x.n, x.depth, x.faults, x.unreachable, nil)
			if r.Err != nil {
				t.Errorf("%v\n%v", r.Err, r.Trace)
			}
			t.Logf("%d states, %d steps, %d deep, whole %v", r.States, r.Steps, r.Depth, r.Complete)
			if !r.Complete || r.States < 300 {
				t.Errorf("%d states, whole %v", r.States, r.Complete)
			}
		})
	}
}

// TestHealthCheckerMutants: the search finds each of these.
func TestHealthCheckerMutants(t *testing.T) {
	alterResult := func(do func(seq uint32, f *overload.ProbeResult)) func(*HealthCheckers) {
		return func(s *HealthCheckers) {
			s.AlterMessage = func(_ int, seq uint32, m any) any {
				if f, ok := m.(*overload.ProbeResult); ok {
					c := *f
					do(seq, &c)
					return &c
				}
				return m
			}
		}
	}
	set := func(do func(s *overload.ProbeSettings)) func(*HealthCheckers) {
		return func(s *HealthCheckers) { s.ChangeSettings = func(_ int, x *overload.ProbeSettings) { do(x) } }
	}
	for name, x := range map[string]struct {
		faults      ProbeFaults
		unreachable []int
		mutant      func(*HealthCheckers)
	}{
		"takes an old answer for its own": {ProbeFaults{Request: 2, Duplicate: 1}, nil, alterResult(func(seq uint32, f *overload.ProbeResult) { f.Sequence = seq })},
		"tells no age":                    {ProbeFaults{Request: 2}, nil, alterResult(func(_ uint32, f *overload.ProbeResult) { f.StartedMsAgo = -5 })},
		"believes one prober":             {ProbeFaults{Request: 2}, []int{0}, alterResult(func(_ uint32, f *overload.ProbeResult) { f.Result = min(f.Result, overload.Healthy) })},
		"waits for ever":                  {ProbeFaults{Request: 1, Lose: 1}, nil, set(func(s *overload.ProbeSettings) { s.ProberTimeout = 1e6 })},
		"probes as often as asked":        {ProbeFaults{Request: 2}, nil, set(func(s *overload.ProbeSettings) { s.MinInterval, s.MaxResultAge = 0, -1 })},
		"keeps what it found":             {ProbeFaults{Request: 2}, nil, set(func(s *overload.ProbeSettings) { s.MaxResultAge = 10 })},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := searchHealthCheckers(3, 50, x.faults, x.unreachable, x.mutant); r.Err == nil {
				t.Errorf("not found in %d states, %d deep", r.States, r.Depth)
			} else {
				t.Logf("%v after %d states, %d deep", r.Err, r.States, r.Depth)
			}
		})
	}
}
