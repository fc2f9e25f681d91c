// Package lifecycle is the life of a pooler's process as a state machine, without I/O or clock: from its start to its end, with the drain
// that operators may ask for in between.
package lifecycle

// State is the state of a process.
type State uint8

// The states.
const (
	Starting    State = iota // it cannot serve yet
	Ready                    // it serves
	Draining                 // it serves, and sends its clients away, as the operators asked for
	HandingOver              // it ends, and another process accepts the connections on the same socket
	Stopping                 // it ends, and nobody else accepts connections at its address
)

func (s State) String() string {
	return [...]string{"starting", "ready", "draining", "handing over", "stopping"}[s]
}

// Event is what happens to a process.
type Event uint8

// The events.
const (
	Started   Event = iota // it can serve
	Drain                  // the operators want its clients gone
	Resume                 // the operators take that back
	Terminate              // it is to end
)

func (e Event) String() string {
	return [...]string{"started", "drain", "resume", "terminate"}[e]
}

// Machine is the life of one process.
type Machine struct {
	Shared bool // another process may have its listening socket too

	state   State
	drained bool // the operators want its clients gone, whatever the state
}

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Handle processes an event, and reports whether it can be followed now: a process that ends cannot resume.
func (m *Machine) Handle(event Event) bool {
	ending := m.state == HandingOver || m.state == Stopping
	switch event {
	case Started:
		m.start()
	case Drain:
		m.drained = true
		if m.state == Ready {
			m.state = Draining
		}
	case Resume:
		if ending {
			return false
		}
		m.drained = false
		if m.state == Draining {
			m.state = Ready
		}
	case Terminate:
		if !ending {
			m.terminate()
		}
	}
	return true
}

func (m *Machine) start() {
	switch {
	case m.state != Starting:
	case m.drained:
		m.state = Draining
	default:
		m.state = Ready
	}
}

func (m *Machine) terminate() {
	m.state = Stopping
	if m.Shared {
		m.state = HandingOver
	}
}

// IsServing reports whether the process can serve, and is not about to end.
func (m *Machine) IsServing() bool { return m.state == Ready || m.state == Draining }

// AcceptsConnections reports whether new connections of clients are accepted.
func (m *Machine) AcceptsConnections() bool { return m.state != Starting && m.state != HandingOver }

// IsReadyForClients reports whether a readiness check is answered with yes.
func (m *Machine) IsReadyForClients() bool {
	welcoming := m.state == Starting || m.state == Ready || m.state == Stopping
	return welcoming && !m.drained
}

// ClosesIdleClients reports whether clients' connections are to be closed once they are idle.
func (m *Machine) ClosesIdleClients() bool { return m.state == Draining || m.state == HandingOver }
