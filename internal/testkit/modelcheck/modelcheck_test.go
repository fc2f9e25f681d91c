package modelcheck

import (
	"testing"

	"beechgrade/internal/cluster/view"
)

// steps is how far the searches go: over two rounds of probes, a suspicion and its end.
const searchDepth = 110

// search goes through three views that know one another, with what may go wrong.
func searchViews(t *testing.T, faults ViewSystem, mutant func(i int, e view.Event) view.Event) *Result {
	t.Helper()
	s := NewViewSystem(3)
	if err := s.settle(25); err != nil {
		t.Fatal(err)
	}
	s.Lose, s.Duplicate, s.Delay, s.Crash, s.Restart, s.AlterEvent = faults.Lose, faults.Duplicate, faults.Delay, faults.Crash, faults.Restart, mutant
	return Run(s, Bounds{Depth: searchDepth, States: 400000})
}

// TestViews: wherever one message is lost, late or doubled, and one process crashes and starts again, within the search's bounds: no
// process takes itself for gone, none invents another's incarnation or takes one back, and none comes back from the dead without a
// later word of its own.
func TestViews(t *testing.T) {
	for name, faults := range map[string]ViewSystem{
		"lost, crash, restart": {Lose: 1, Crash: 1, Restart: 1},
		"late, crash":          {Delay: 1, Crash: 1},
		"lost, late, doubled":  {Lose: 1, Delay: 1, Duplicate: 1},
		"three lost":           {Lose: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := searchViews(t, faults, nil)
			if r.Err != nil {
				t.Errorf("%v\n%v", r.Err, r.Trace)
			}
			t.Logf("%d states, %d steps, up to %d deep, whole %v", r.States, r.Steps, r.Depth, r.Complete)
			if !r.Complete || r.States < 1000 {
				t.Errorf("%d states, up to %d deep, whole %v", r.States, r.Depth, r.Complete)
			}
		})
	}
}

// TestViewMutants: who answers for another, by raising that one's incarnation, and who takes an old word for a new one, are found.
func TestViewMutants(t *testing.T) {
	change := func(alter func(r *view.Record)) func(i int, e view.Event) view.Event {
		return func(i int, e view.Event) view.Event {
			received, ok := e.(view.Received)
			if !ok || i != 0 {
				return e
			}
			m := *received.Message
			m.Records = nil
			for _, r := range received.Message.Records {
				alter(&r)
				m.Records = append(m.Records, r)
			}
			return view.Received{Message: &m}
		}
	}
	for name, m := range map[string]func(i int, e view.Event) view.Event{
		"answers for another": change(func(r *view.Record) {
			if r.State == view.Suspect {
				r.State, r.Incarnation = view.Alive, r.Incarnation+1
			}
		}),
		"ages every word": change(func(r *view.Record) { r.Incarnation++ }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := searchViews(t, ViewSystem{Lose: 1, Crash: 1}, m); r.Err == nil {
				t.Errorf("not found in %d states, %d deep", r.States, r.Depth)
			} else {
				t.Logf("%v after %d states, %d deep", r.Err, r.States, r.Depth)
			}
		})
	}
}
