package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDrawnEventsLeadToConsistentStates draws events in any order: an end is final, a drain holds until it is taken back, and what follows
// from a state never contradicts itself.
func TestDrawnEventsLeadToConsistentStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{Shared: rapid.Bool().Draw(t, "shared")}
		began, drained, ended := false, false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{Started, Drain, Resume, Terminate})).Draw(t, "events") {
			ok := m.Handle(e)
			began = began || e == Started && !ended
			ended = ended || e == Terminate
			switch e {
			case Drain:
				drained = true
			case Resume:
				drained = false
			}
			if want := e != Resume || !ended; ok != want {
				t.Fatalf("event %v in %v: %v", e, m.State(), ok)
			}
			want := Starting
			switch {
			case ended && m.Shared:
				want = HandingOver
			case ended:
				want = Stopping
			case began && drained:
				want = Draining
			case began:
				want = Ready
			}
			if m.State() != want {
				t.Fatalf("after event %v: %v, want %v", e, m.State(), want)
			}
			contradictions := map[string]bool{
				"it serves, or not, against its events":           m.IsServing() != (began && !ended),
				"it is ready for clients and closes idle ones":    m.ClosesIdleClients() && m.IsReadyForClients(),
				"it accepts connections while it hands them over": m.State() == HandingOver && m.AcceptsConnections(),
				"it serves and accepts no connections":            m.IsServing() && !m.AcceptsConnections(),
			}
			for what, found := range contradictions {
				if found {
					t.Fatalf("%v: %s", m.State(), what)
				}
			}
		}
	})
}

// TestDrainedProcessIsNeverReadyForClients checks that a process that was drained, and is told to end before the drain was taken back, or that
// is drained while it ends, is not ready for clients.
func TestDrainedProcessIsNeverReadyForClients(t *testing.T) {
	for name, events := range map[string][]Event{
		"end within the drain":          {Started, Drain, Terminate},
		"end before the start, drained": {Drain, Terminate},
		"drain while it ends":           {Started, Terminate, Drain},
		"drained again":                 {Started, Drain, Resume, Drain, Terminate},
		"resume while it ends":          {Started, Drain, Terminate, Resume},
	} {
		machine := Machine{}
		for _, event := range events {
			machine.Handle(event)
		}
		if machine.IsReadyForClients() {
			t.Errorf("%s: ready for clients in state %v", name, machine.State())
		}
	}
	for name, events := range map[string][]Event{"never drained": {Started, Terminate}, "drain taken back": {Started, Drain, Resume, Terminate}} {
		machine := Machine{}
		for _, event := range events {
			machine.Handle(event)
		}
		if !machine.IsReadyForClients() {
			t.Errorf("%s: not ready for clients", name)
		}
	}
}
