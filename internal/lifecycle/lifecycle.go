// Package lifecycle is the state machine of a pooler's process, without I/O or clock: from startup to termination, with a drain that operators
// may request in between.
package lifecycle

// State is the state of a process.
type State uint8

// The states.
const (
	Starting    State = iota // the process cannot serve yet
	Ready                    // the process serves
	Draining                 // the process serves, but closes its clients' idle connections, as requested by operators
	HandingOver              // the process is terminating, and another process accepts connections on the same socket
	Stopping                 // the process is terminating, and no other process accepts connections at its address
)

func (s State) String() string {
	return [...]string{"starting", "ready", "draining", "handing over", "stopping"}[s]
}

// Event is an event that may change the lifecycle state of a process.
type Event uint8

// The events.
const (
	Started   Event = iota // the process can serve
	Drain                  // operators request a drain
	Resume                 // operators cancel the drain
	Terminate              // the process has to terminate
)

func (e Event) String() string {
	return [...]string{"started", "drain", "resume", "terminate"}[e]
}

// Machine is the state machine of one process.
type Machine struct {
	Shared bool // another process may have the same listening socket

	state   State
	drained bool // a drain was requested and not cancelled, in any state
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Handle processes an event, and reports whether it was accepted: a terminating process cannot resume.
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

// IsServing reports whether the process can serve and is not terminating.
func (m *Machine) IsServing() bool { return m.state == Ready || m.state == Draining }

// AcceptsConnections reports whether the process accepts new client connections.
func (m *Machine) AcceptsConnections() bool { return m.state != Starting && m.state != HandingOver }

// IsReadyForClients reports whether the process answers a readiness check positively.
func (m *Machine) IsReadyForClients() bool {
	acceptsClients := m.state == Starting || m.state == Ready || m.state == Stopping
	return acceptsClients && !m.drained
}

// ClosesIdleClients reports whether client connections have to be closed once they are idle.
func (m *Machine) ClosesIdleClients() bool { return m.state == Draining || m.state == HandingOver }
