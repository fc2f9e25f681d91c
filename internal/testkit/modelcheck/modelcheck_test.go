package modelcheck

import (
	"testing"

	"beechgrade/internal/cluster/view"
)

// searchDepth covers two rounds of probes, and a suspicion from its start to its end.
const searchDepth = 110

// searchViews explores the views of three processes that know one another, with the given faults and an optional mutant.
func searchViews(t *testing.T, faults ViewSystem, mutant func(i int, e view.Event) view.Event) *Result {
	t.Helper()
	s := NewViewSystem(3)
	if err := s.settle(25); err != nil {
		t.Fatalf("25 steps before the search: %v", err)
	}
	s.Lose, s.Duplicate, s.Delay, s.Crash, s.Restart, s.AlterEvent = faults.Lose, faults.Duplicate, faults.Delay, faults.Crash, faults.Restart, mutant
	return Run(s, Bounds{Depth: searchDepth, States: 400000})
}

// TestViews guards against views that contradict what a process says of itself: a process considers itself failed, raises the incarnation of
// another or returns to a lower one, or considers a failed process alive without a higher incarnation. Such views arise when lost, delayed
// and duplicated messages meet crashes and restarts; the test explores all cases within the bounds of the search.
func TestViews(t *testing.T) {
	for name, faults := range map[string]ViewSystem{
		"loss, crash, restart":   {Lose: 1, Crash: 1, Restart: 1},
		"delay, crash":           {Delay: 1, Crash: 1},
		"loss, delay, duplicate": {Lose: 1, Delay: 1, Duplicate: 1},
		"three losses":           {Lose: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := searchViews(t, faults, nil)
			if result.Err != nil {
				t.Errorf("search failed: %v\n%v", result.Err, result.Trace)
			}
			t.Logf("%d states, %d steps, depth %d, complete %v", result.States, result.Steps, result.Depth, result.Complete)
			if !result.Complete || result.States < 1000 {
				t.Errorf("search visited %d states to depth %d, complete %v; want 1000 or more states and a complete search", result.States, result.Depth, result.Complete)
			}
		})
	}
}

// TestViewMutants guards against a search that cannot fail: it must find a process that raises the incarnation of others, either of those
// that it receives as suspects, or in every record that it receives.
func TestViewMutants(t *testing.T) {
	change := func(alter func(record *view.Record)) func(i int, event view.Event) view.Event {
		return func(i int, event view.Event) view.Event {
			received, ok := event.(view.Received)
			if !ok || i != 0 {
				return event
			}
			message := *received.Message
			message.Records = nil
			for _, record := range received.Message.Records {
				alter(&record)
				message.Records = append(message.Records, record)
			}
			return view.Received{Message: &message}
		}
	}
	for name, mutant := range map[string]func(i int, event view.Event) view.Event{
		"raises a suspect's incarnation": change(func(record *view.Record) {
			if record.State == view.Suspect {
				record.State, record.Incarnation = view.Alive, record.Incarnation+1
			}
		}),
		"raises every incarnation": change(func(record *view.Record) { record.Incarnation++ }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if result := searchViews(t, ViewSystem{Lose: 1, Crash: 1}, mutant); result.Err == nil {
				t.Errorf("mutant not found in %d states, depth %d", result.States, result.Depth)
			} else {
				t.Logf("found: %v after %d states, depth %d", result.Err, result.States, result.Depth)
			}
		})
	}
}
