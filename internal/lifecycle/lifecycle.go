// Package lifecycle is the life of a pooler as a state machine, without I/O or clock. It is told what happens, and says
// what follows.
package lifecycle

// State is where a pooler's life has come to.
type State uint8

// The states.
const (
	Starting    State = iota // it cannot serve yet
	Ready                    // it serves
	Draining                 // the operators send its clients away; it goes on living
	HandingOver              // it ends, and another process takes what comes on the same socket
	Stopping                 // it ends, and nobody else takes what comes at its address
)

func (s State) String() string {
	return [...]string{"starting", "ready", "draining", "handing over", "stopping"}[s]
}

// Event is what happens to a pooler.
type Event uint8

// The events.
const (
	Started   Event = iota // it can serve
	Drain                  // the operators want its clients gone
	Resume                 // ...and back
	Terminate              // it is to end
)

// Machine is one pooler's life. Shared says that another process may hold its listening socket too.
type Machine struct {
	Shared  bool
	state   State
	drained bool // the operators have its clients sent away, whatever the state
}

// State is the present one.
func (m *Machine) State() State { return m.state }

// Handle takes an event and tells whether it is one that can be followed now.
func (m *Machine) Handle(e Event) bool {
	ending := m.state == HandingOver || m.state == Stopping
	switch {
	case e == Drain:
		m.drained = true
	case e == Resume && !ending:
		m.drained = false
	}
	switch {
	case e == Terminate && ending:
	case e == Terminate && m.Shared:
		m.state = HandingOver
	case e == Terminate:
		m.state = Stopping
	case e == Started && m.state == Starting:
		if m.state = Ready; m.drained {
			m.state = Draining
		}
	case e == Drain && m.state == Ready:
		m.state = Draining
	case e == Resume && m.state == Draining:
		m.state = Ready
	case e == Resume && ending: // there is no way back
		return false
	}
	return true
}

// IsServing tells whether the process can serve, and goes on doing so.
func (m *Machine) IsServing() bool { return m.state == Ready || m.state == Draining }

// AcceptsConnections tells whether clients' new connections are taken.
func (m *Machine) AcceptsConnections() bool { return m.state != Starting && m.state != HandingOver }

// IsReadyForClients tells whether whoever asks if clients may come is told yes.
func (m *Machine) IsReadyForClients() bool {
	return !m.drained && (m.state == Starting || m.state == Ready || m.state == Stopping)
}

// ClosesIdleClients tells whether clients' connections are to be closed as they fall idle.
func (m *Machine) ClosesIdleClients() bool { return m.state == Draining || m.state == HandingOver }
