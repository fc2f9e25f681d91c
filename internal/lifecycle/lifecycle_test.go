package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// TestLife: whatever happens in whatever order, an end is an end, a drain holds until it is taken back, and what follows from a
// state never contradicts itself.
func TestLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{Shared: rapid.Bool().Draw(t, "shared")}
		began, drained, ended := false, false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{Began, Drain, Resume, Term})).Draw(t, "events") {
			ok := m.Handle(e)
			began = began || e == Began && !ended
			ended = ended || e == Term
			switch e {
			case Drain:
				drained = true
			case Resume:
				drained = false
			}
			if want := e != Resume || !ended; ok != want {
				t.Fatalf("event %d in %v: %v", e, m.State(), ok)
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
				t.Fatalf("after event %d: %v, want %v", e, m.State(), want)
			}
			if m.Serves() != (began && !ended) || m.Sheds() && m.Welcomes() || m.State() == HandingOver && m.Accepts() || m.Serves() && !m.Accepts() {
				t.Fatalf("%v: serves %v, sheds %v, welcomes %v, accepts %v", m.State(), m.Serves(), m.Sheds(), m.Welcomes(), m.Accepts())
			}
		}
	})
}

// TestDrainedProcessNeverWelcomes: a process that was drained, and is told to end before the drain was taken back, or drained while it ends,
// must not tell clients that they may come.
func TestDrainedProcessNeverWelcomes(t *testing.T) {
	for name, events := range map[string][]Event{
		"end within the drain":               {Began, Drain, Term},
		"end before a drain that was wished": {Drain, Term},
		"drain while it ends":                {Began, Term, Drain},
		"drained anew":                       {Began, Drain, Resume, Drain, Term},
		"resume while it ends":               {Began, Drain, Term, Resume},
	} {
		machine := Machine{}
		for _, event := range events {
			machine.Handle(event)
		}
		if machine.Welcomes() {
			t.Errorf("%s: welcomes in state %v", name, machine.State())
		}
	}
	for name, events := range map[string][]Event{"never drained": {Began, Term}, "drain taken back": {Began, Drain, Resume, Term}} {
		machine := Machine{}
		for _, event := range events {
			machine.Handle(event)
		}
		if !machine.Welcomes() {
			t.Errorf("%s: does not welcome", name)
		}
	}
}
