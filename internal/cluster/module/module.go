// Package module is what a part of the fleet is to those that carry its words: a decision module of its own that lives beside the view, on the
// same loop, and speaks over the same sockets. One adapter of a part serves the daemon (package peers) and virtual time (package emulate).
//
// Words may be lost, doubled, late and overtaken; whoever they are from had the fleet's key. Nothing is heard before Members was called once.
package module

import "beechgrade/internal/cluster/view"

// FirstKind and Last are the kinds that parts may have; each has one of its own.
const (
	FirstKind view.Kind = 32
	LastKind  view.Kind = 63

	KindOverload view.Kind = 32
	KindRaftLog  view.Kind = 33
	KindCredit   view.Kind = 34
	KindScatter  view.Kind = 35
	KindOutlier  view.Kind = 36
	KindZones    view.Kind = 37

	// MaxBodyBytes and MaxStreamBytes bound what one message may take, in bytes.
	MaxBodyBytes   = 1200
	MaxStreamBytes = 1 << 19
)

// Module is one. All calls but Read come on the loop.
type Module interface {
	Kind() view.Kind
	Decode(body []byte) (any, error) // what others sent; off the loop, so it looks at nothing but body, which it may keep
	UpdateMembers(self view.ID, all []view.Record, c view.Counts)
	Receive(from view.ID, m any)
	Tick()  // with each step of the view
	Leave() // the process ends: last words
}

// Message are a message on its way. They are not changed once they were given.
type Message interface {
	Append(b []byte) []byte // off the loop
}

// AvoidedServer is a server that a pooler avoids by others' word: why, by whose, and until when.
type AvoidedServer struct {
	Server     string    `json:"server"`
	Reason     string    `json:"why"`
	ReportedBy []view.ID `json:"by"`
	UntilMs    float64   `json:"until_ms"`
}

// AvoidedReporter is a part that tells, for those who look, what is avoided; on the loop.
type AvoidedReporter interface{ Avoided() []AvoidedServer }

// Transport carries words. An address is that of a view.Record.
type Transport interface {
	Now() float64
	Send(addr string, to view.ID, kind view.Kind, w Message)                           // a datagram, of MaxBodyBytes at most
	SendStream(addr string, to view.ID, kind view.Kind, w Message, done func(ok bool)) // of MaxStreamBytes at most; ok: it was written whole and taken
}
