package lab

import (
	"context"
	"slices"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

// Predicate reports whether a run still fails in the way that Shrink must preserve.
type Predicate func(r *simulation.Result) bool

// BreaksRule holds for runs that break the rule, or any rule if it is empty.
func BreaksRule(rule checker.Rule) Predicate {
	return func(r *simulation.Result) bool { return rule == "" && !r.Verdict.OK() || r.Verdict.Broken[rule] > 0 }
}

// GoalBelow holds for runs whose goal is below the given value.
func GoalBelow(goal float64) Predicate {
	return func(r *simulation.Result) bool { return r.Score.Goal < goal }
}

// Shrunk is the result of Shrink.
type Shrunk struct {
	Script *scenario.Script
	Result *simulation.Result
	Runs   int
}

// maxShrinks bounds the number of runs of Shrink.
const maxShrinks = 400

// Shrink searches for a smaller scenario that still fails with the same seed: fewer faults, less time, fewer groups, members,
// poolers and requests. It returns the smallest one found, or nil if the scenario itself does not fail.
func Shrink(ctx context.Context, s *scenario.Script, opt simulation.Options, fails Predicate, progress func(runs int, s *scenario.Script)) (*Shrunk, error) {
	z := &shrinker{ctx: ctx, opt: opt, fails: fails, progress: progress}
	s, err := s.Draw(opt.Seed) // makes drawn faults explicit, so that they can be removed one by one
	if err != nil {
		return nil, err
	}
	ok, err := z.try(s.Clone())
	if err != nil || !ok {
		return nil, err
	}
	for again := true; again && z.err == nil && z.runs < maxShrinks; {
		again = z.faults()
		again = z.time() || again
		again = z.groups() || again
		again = z.sizes() || again
	}
	return &Shrunk{z.best, z.result, z.runs}, z.err
}

// shrinker searches for the smallest scenario that still fails.
type shrinker struct {
	ctx      context.Context
	opt      simulation.Options
	fails    Predicate
	progress func(int, *scenario.Script)
	best     *scenario.Script   // the smallest one so far
	result   *simulation.Result // of best
	runs     int
	err      error // the first one, which ends the search
}

// try runs a candidate, and keeps it if it still fails.
func (z *shrinker) try(s *scenario.Script) (bool, error) {
	if z.err != nil || z.runs >= maxShrinks {
		return false, z.err
	}
	if s.Revalidate() != nil {
		return false, nil // invalid, such as a fault whose target was removed
	}
	r, err := simulation.Run(z.ctx, s, z.opt)
	if err != nil {
		z.err = err
		return false, err
	}
	z.runs++
	if !z.fails(r) {
		return false, nil
	}
	z.best, z.result = s, r
	if z.progress != nil {
		z.progress(z.runs, s)
	}
	return true, nil
}

// faults removes faults: halves first, then quarters, down to single ones.
func (z *shrinker) faults() (smaller bool) {
	for size := max(1, len(z.best.Faults)/2); len(z.best.Faults) > 0; size /= 2 {
		for at := 0; at < len(z.best.Faults); {
			s := z.best.Clone()
			s.Faults = slices.Delete(s.Faults, at, min(at+size, len(s.Faults)))
			if ok, _ := z.try(s); ok {
				smaller = true
				continue
			}
			at += size
		}
		if size <= 1 {
			break
		}
	}
	return smaller
}

// time shortens the scenario: by half as long as it still fails, then by a quarter and by a tenth.
func (z *shrinker) time() (smaller bool) {
	for _, part := range []float64{0.5, 0.75, 0.9} {
		for {
			s := z.best.Clone()
			s.Clients.Seconds *= part
			end := s.Clients.Seconds * 1000
			s.Faults = slices.DeleteFunc(s.Faults, func(f scenario.Fault) bool { return f.At >= end })
			if s.Clients.Seconds < 1 {
				break
			}
			if ok, _ := z.try(s); !ok {
				break
			}
			smaller = true
		}
	}
	return smaller
}

// groups removes the last groups, half of them at a time, and the load in proportion.
func (z *shrinker) groups() (smaller bool) {
	for n := len(z.best.Fleet.Groups); n > 1; {
		n /= 2
		s := z.best.Clone()
		s.Fleet.Groups = s.Fleet.Groups[:n]
		s.Clients.Groups = n
		s.Clients.Rate *= float64(n) / float64(len(z.best.Fleet.Groups))
		if ok, _ := z.try(s); !ok {
			break
		}
		smaller = true
	}
	return smaller
}

// sizes reduces the numbers of poolers, members and requests.
func (z *shrinker) sizes() (smaller bool) {
	for _, change := range []func(s *scenario.Script) bool{
		func(s *scenario.Script) bool { s.Poolers /= 2; return s.Poolers >= 1 },
		func(s *scenario.Script) bool {
			most := 0
			for i, n := range s.Fleet.Groups {
				s.Fleet.Groups[i] = max(1, n-1)
				most = max(most, n)
			}
			return most > 1
		},
		func(s *scenario.Script) bool {
			s.Clients.Rate = float64(int(s.Clients.Rate / 2))
			return s.Clients.Rate >= 1
		},
	} {
		for {
			s := z.best.Clone()
			if !change(s) {
				break
			}
			if ok, _ := z.try(s); !ok {
				break
			}
			smaller = true
		}
	}
	return smaller
}
