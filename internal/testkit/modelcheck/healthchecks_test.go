package modelcheck

import (
	"testing"

	"beechgrade/internal/cluster/overload"
)

// searchHealthCheckers explores processes that share probes, with the given faults and an optional mutant. unreachable has the indices, among
// the probers, of those that do not reach the server.
func searchHealthCheckers(poolers, depth int, faults ProbeFaults, unreachable []int, mutant func(s *HealthCheckers)) *Result {
	s := NewHealthCheckers(poolers, SmallProbeSettings())
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

// TestHealthCheckersExplored guards against a request for a probe that gets no result within LatencyBound, more than one, or one that is false
// or outdated; and against a server that is considered unhealthy because a single other process does not reach it. This can happen when a
// prober crashes, or its messages are lost, delayed, duplicated or reordered, while requests at several processes share its probes. The test
// explores all of this, with probes of any duration.
func TestHealthCheckersExplored(t *testing.T) {
	for name, test := range map[string]struct {
		poolers, depth int
		faults         ProbeFaults
		unreachable    []int
	}{
		"no fault, three requests": {3, 22, ProbeFaults{Request: 3}, nil},
		"loss, delay":              {3, 44, ProbeFaults{Request: 1, Lose: 1, Delay: 1}, nil},
		"duplicate, delay":         {3, 14, ProbeFaults{Request: 2, Duplicate: 1, Delay: 1}, nil},
		"crash, restart":           {3, 15, ProbeFaults{Request: 1, Crash: 1, Restart: 1, UpdateMembers: 2}, nil},
		"first prober does not reach the server, loss":   {3, 17, ProbeFaults{Request: 2, Lose: 1}, []int{0}},
		"second prober does not reach the server, crash": {3, 20, ProbeFaults{Request: 1, Crash: 1, UpdateMembers: 1}, []int{1}},
		"neither prober reaches the server, loss":        {3, 17, ProbeFaults{Request: 2, Lose: 1}, []int{0, 1}},
		"two processes, all faults": {2, 16, ProbeFaults{
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
			result := searchHealthCheckers(test.poolers, test.depth, test.faults, test.unreachable, nil)
			if result.Err != nil {
				t.Errorf("search failed: %v\n%v", result.Err, result.Trace)
			}
			t.Logf("%d states, %d steps, depth %d, complete %v", result.States, result.Steps, result.Depth, result.Complete)
			if !result.Complete || result.States < 300 {
				t.Errorf("search visited %d states, complete %v; want 300 or more states and a complete search", result.States, result.Complete)
			}
		})
	}
}

// TestHealthCheckerMutants guards against a search that cannot fail: it must find each mutant.
func TestHealthCheckerMutants(t *testing.T) {
	alterResult := func(do func(seq uint32, result *overload.ProbeResult)) func(*HealthCheckers) {
		return func(s *HealthCheckers) {
			s.AlterMessage = func(_ int, seq uint32, message any) any {
				if result, ok := message.(*overload.ProbeResult); ok {
					altered := *result
					do(seq, &altered)
					return &altered
				}
				return message
			}
		}
	}
	alterSettings := func(do func(s *overload.ProbeSettings)) func(*HealthCheckers) {
		return func(s *HealthCheckers) {
			s.ChangeSettings = func(_ int, settings *overload.ProbeSettings) { do(settings) }
		}
	}
	for name, test := range map[string]struct {
		faults      ProbeFaults
		unreachable []int
		mutant      func(*HealthCheckers)
	}{
		"accepts outdated results":          {ProbeFaults{Request: 2, Duplicate: 1}, nil, alterResult(func(seq uint32, result *overload.ProbeResult) { result.Sequence = seq })},
		"reports no age":                    {ProbeFaults{Request: 2}, nil, alterResult(func(_ uint32, result *overload.ProbeResult) { result.StartedMsAgo = -5 })},
		"trusts a single prober":            {ProbeFaults{Request: 2}, []int{0}, alterResult(func(_ uint32, result *overload.ProbeResult) { result.Result = min(result.Result, overload.Healthy) })},
		"waits forever for a prober":        {ProbeFaults{Request: 1, Lose: 1}, nil, alterSettings(func(s *overload.ProbeSettings) { s.ProberTimeout = 1e6 })},
		"probes without a minimum interval": {ProbeFaults{Request: 2}, nil, alterSettings(func(s *overload.ProbeSettings) { s.MinInterval, s.MaxResultAge = 0, -1 })},
		"keeps results too long":            {ProbeFaults{Request: 2}, nil, alterSettings(func(s *overload.ProbeSettings) { s.MaxResultAge = 10 })},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if result := searchHealthCheckers(3, 50, test.faults, test.unreachable, test.mutant); result.Err == nil {
				t.Errorf("mutant not found in %d states, depth %d", result.States, result.Depth)
			} else {
				t.Logf("found: %v after %d states, depth %d", result.Err, result.States, result.Depth)
			}
		})
	}
}
