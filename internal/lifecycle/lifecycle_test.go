package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// TestRandomEventsLeadToConsistentStates draws events in any order: termination is final, a drain lasts until it is cancelled, and the methods
// of the machine never contradict each other.
func TestRandomEventsLeadToConsistentStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{Shared: rapid.Bool().Draw(t, "shared")}
		started, drained, terminated := false, false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{Started, Drain, Resume, Terminate})).Draw(t, "events") {
			accepted := m.Handle(e)
			started = started || e == Started && !terminated
			terminated = terminated || e == Terminate
			switch e {
			case Drain:
				drained = true
			case Resume:
				drained = false
			}
			if want := e != Resume || !terminated; accepted != want {
				t.Fatalf("event %v led to state %v: accepted is %v, want %v", e, m.State(), accepted, want)
			}
			want := Starting
			switch {
			case terminated && m.Shared:
				want = HandingOver
			case terminated:
				want = Stopping
			case started && drained:
				want = Draining
			case started:
				want = Ready
			}
			if m.State() != want {
				t.Fatalf("after event %v: %v, want %v", e, m.State(), want)
			}
			contradictions := map[string]bool{
				"IsServing does not follow from the events":       m.IsServing() != (started && !terminated),
				"it is ready for clients and closes idle clients": m.ClosesIdleClients() && m.IsReadyForClients(),
				"it accepts connections while handing over":       m.State() == HandingOver && m.AcceptsConnections(),
				"it serves but does not accept connections":       m.IsServing() && !m.AcceptsConnections(),
			}
			for what, found := range contradictions {
				if found {
					t.Fatalf("%v: %s", m.State(), what)
				}
			}
		}
	})
}

// TestDrainedProcessIsNeverReadyForClients checks that a process is not ready for clients if it terminates while it is drained, or is drained
// while it terminates.
func TestDrainedProcessIsNeverReadyForClients(t *testing.T) {
	for name, events := range map[string][]Event{
		"terminated while draining":               {Started, Drain, Terminate},
		"drained and terminated before the start": {Drain, Terminate},
		"drained while terminating":               {Started, Terminate, Drain},
		"drained again":                           {Started, Drain, Resume, Drain, Terminate},
		"resumed while terminating":               {Started, Drain, Terminate, Resume},
	} {
		machine := Machine{}
		for _, event := range events {
			machine.Handle(event)
		}
		if machine.IsReadyForClients() {
			t.Errorf("%s: ready for clients in state %v", name, machine.State())
		}
	}
	for name, events := range map[string][]Event{"never drained": {Started, Terminate}, "drain cancelled": {Started, Drain, Resume, Terminate}} {
		machine := Machine{}
		for _, event := range events {
			machine.Handle(event)
		}
		if !machine.IsReadyForClients() {
			t.Errorf("%s: not ready for clients", name)
		}
	}
}
