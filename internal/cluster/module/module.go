// Package module is the interface between a cluster subsystem and the transport of its messages. A module is a state machine of its own
// that runs beside the membership view, on the same event loop, and communicates over the same sockets. The same adapter of a module
// works in the daemon (package cluster) and in virtual time (package testkit/simulation).
//
// Messages may be lost, duplicated, delayed and reordered; their senders hold the cluster's key. No message is received before the first
// call of UpdateMembers.
package module

import "beechgrade/internal/cluster/view"

// Message kinds. Each module has its own kind, from FirstKind to LastKind. The numbers are part of the wire format.
const (
	FirstKind view.Kind = 32
	LastKind  view.Kind = 63

	KindOverload view.Kind = 32
	KindRaftLog  view.Kind = 33
	KindCredit   view.Kind = 34
	KindScatter  view.Kind = 35
	KindOutlier  view.Kind = 36
	KindZones    view.Kind = 37
)

// Bounds of one message, in bytes.
const (
	MaxBodyBytes   = 1200    // in a datagram
	MaxStreamBytes = 1 << 19 // over a stream
)

// Module is a cluster subsystem. All methods except Decode are called on the event loop.
type Module interface {
	// Kind returns the kind of the module's messages.
	Kind() view.Kind
	// Decode decodes a message of another process. It is called off the event loop, so it must not access the module's state. It may
	// keep body.
	Decode(body []byte) (any, error)
	// UpdateMembers passes this process's ID, all known processes and the view's counts. It is called whenever these may have changed.
	UpdateMembers(self view.ID, all []view.Record, c view.Counts)
	// Receive handles a message that Decode returned.
	Receive(from view.ID, message any)
	// Tick is called at each tick of the view.
	Tick()
	// Leave is called once, when the process ends. Messages that are sent in the call still go out.
	Leave()
}

// Message is a message to be sent. It must not change after it was passed to a Transport.
type Message interface {
	// Append appends the encoded message to b. It is called off the event loop.
	Append(b []byte) []byte
}

// AvoidedServer is a server that a pooler avoids because other poolers reported it.
type AvoidedServer struct {
	Server     string    `json:"server"`
	Reason     string    `json:"why"`
	ReportedBy []view.ID `json:"by"`
	UntilMs    float64   `json:"until_ms"` // on the pooler's clock
}

// AvoidedReporter is implemented by modules that can list the servers that they avoid. It is called on the event loop.
type AvoidedReporter interface{ Avoided() []AvoidedServer }

// Transport sends messages to other processes. Addresses are those of view.Record.
type Transport interface {
	// Now returns the time of the event loop, in ms.
	Now() float64
	// Send sends a datagram of at most MaxBodyBytes. It may be lost.
	Send(addr string, to view.ID, kind view.Kind, message Message)
	// SendStream sends at most MaxStreamBytes over a connection. done reports whether the receiver confirmed the message.
	SendStream(addr string, to view.ID, kind view.Kind, message Message, done func(ok bool))
}
