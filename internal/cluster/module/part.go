// Package module is what a part of the fleet is to those that carry its words: a decision module of its own that lives beside the view, on the
// same loop, and speaks over the same sockets. One adapter of a part serves the daemon (package peers) and virtual time (package emulate).
//
// Words may be lost, doubled, late and overtaken; whoever they are from had the fleet's key. Nothing is heard before Members was called once.
package module

import "beechgrade/internal/cluster/view"

// First and Last are the kinds that parts may have; each has one of its own.
const (
	First view.Kind = 32
	Last  view.Kind = 63

	Overload view.Kind = 32
	Agreed   view.Kind = 33
	Credit   view.Kind = 34
	Scatter  view.Kind = 35
	Verdicts view.Kind = 36
	Zones    view.Kind = 37

	// MostBody and MostStream bound what one message may take, in bytes.
	MostBody   = 1200
	MostStream = 1 << 19
)

// Part is one. All calls but Read come on the loop.
type Part interface {
	Kind() view.Kind
	Read(body []byte) (any, error) // what others sent; off the loop, so it looks at nothing but body, which it may keep
	Members(self view.ID, all []view.Record, c view.Counts)
	Heard(from view.ID, m any)
	Tick()  // with each step of the view
	Leave() // the process ends: last words
}

// Words are a message on its way. They are not changed once they were given.
type Words interface {
	Append(b []byte) []byte // off the loop
}

// Avoided is a server that a pooler avoids by others' word: why, by whose, and until when.
type Avoided struct {
	Server string    `json:"server"`
	Why    string    `json:"why"`
	By     []view.ID `json:"by"`
	Until  float64   `json:"until_ms"`
}

// Avoiding is a part that tells, for those who look, what is avoided; on the loop.
type Avoiding interface{ Avoided() []Avoided }

// Net carries words. An address is that of a view.Record.
type Net interface {
	Now() float64
	Tell(addr string, to view.ID, kind view.Kind, w Words)                       // a datagram, of MostBody at most
	Stream(addr string, to view.ID, kind view.Kind, w Words, done func(ok bool)) // of MostStream at most; ok: it was written whole and taken
}
