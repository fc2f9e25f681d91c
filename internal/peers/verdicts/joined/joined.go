// Package joined joins package verdicts to a pooler's core and to the ways between poolers: one adapter for sockets and for virtual time.
package joined

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/peers/part"
	"beechgrade/internal/peers/verdicts"
	"beechgrade/internal/peers/view"
)

// Core is what it needs of a pooler's core.
type Core interface {
	Memory() *decide.Memory
	Recall(m *decide.Memory)
}

// Host is what carries words, and time.
type Host interface {
	part.Net
	At(ms float64, do func())
}

// Options say what is shared, and how.
type Options struct{ Set verdicts.Settings }

// Joined is a pooler's side. It is part.Part.
type Joined struct {
	opt  Options
	core Core
	host Host
}

// New makes one; it is to be joined to the peers and to the core.
func New(opt Options, c Core, h Host) *Joined { return &Joined{opt: opt, core: c, host: h} }

// Kind is part.Part's.
func (j *Joined) Kind() view.Kind { return part.Verdicts }

// Read is part.Part's.
func (j *Joined) Read(b []byte) (any, error) { return nil, nil }

// Members is part.Part's.
func (j *Joined) Members(self view.ID, all []view.Record, _ view.Counts) {}

// Heard is part.Part's.
func (j *Joined) Heard(from view.ID, m any) {}

// Tick is part.Part's.
func (j *Joined) Tick() {}

// Leave is part.Part's.
func (j *Joined) Leave() {}

// Avoided are the servers that this pooler avoids by others' word: for those who look.
func (j *Joined) Avoided() []verdicts.Standing { return nil }
