package quota

import "github.com/cespare/xxhash/v2"

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate        Kind = iota // uses per second
	Concurrency             // concurrent uses
	Budget                  // a rate of actions that poolers start themselves, not clients
)

// String returns the kind's name in settings and answers.
func (k Kind) String() string { return [...]string{"rate", "number", "budget"}[min(k, Budget)] }

// Guarantee is what is guaranteed for a limit while links fail.
type Guarantee uint8

// The guarantees.
const (
	NeverOver  Guarantee = iota // the uses of all poolers together never exceed the limit
	SoonEven                    // they exceed it only for a bounded time after a fault; no pooler is starved
	FixedShare                  // each pooler has an equal share among the poolers that may be sending
)

// String returns the guarantee's name in settings and answers.
func (g Guarantee) String() string {
	return [...]string{"never-over", "soon-even", "fixed"}[min(g, FixedShare)]
}

// Limit is a limit on the uses of the whole fleet.
type Limit struct {
	Name      string
	Kind      Kind
	Guarantee Guarantee
	Amount    float64 // uses per second, or concurrent uses
	Burst     float64 // of a rate: uses that may start at the same time
	Reserve   float64 // the fraction that is reserved for the poolers, in equal parts
}

// Bounds of settings and of received data.
const (
	MaxLimits    = 64
	MaxUnits     = 4096
	MaxNameBytes = 64
	MaxPeers     = 2000 // processes that an owner accounts for
	MaxItems     = 16   // in a message
)

// unitsPerBurstUse is the number of fine units for each use of the burst.
const unitsPerBurstUse = 16

// Partition is how a limit is divided among the poolers.
type Partition struct {
	Units       int
	Reserved    int     // units that belong to each pooler
	Pool        int     // units that are leased
	OwnBurst    float64 // the part of the burst that each pooler has in addition to that of its units
	SharedBurst float64 // the part of the burst that comes with the units
}

// Partition divides a limit among n poolers. A unit is one concurrent use, or a part of the rate. If the burst has at least two uses for
// each pooler, each pooler owns one of them, so that it can accumulate a whole use with any part of the rate, however small, and units are
// fine. Otherwise each unit comes with one use of the burst.
func (l *Limit) Partition(n int) Partition {
	n = max(1, n)
	p := Partition{Units: int(l.Amount), SharedBurst: l.Burst}
	switch {
	case l.Kind == Concurrency:
	case l.Burst >= 2*float64(n):
		p.Units = int(min(unitsPerBurstUse*l.Burst, MaxUnits))
		p.OwnBurst = 1
		p.SharedBurst = l.Burst - float64(n)
	default:
		p.Units = int(max(1, min(l.Burst, MaxUnits)))
	}
	p.Reserved = int(l.Reserve * float64(p.Units) / float64(n))
	p.Pool = p.Units - n*p.Reserved
	return p
}

// unitsAllowance returns how much a pooler may use with a number of units.
func (l *Limit) unitsAllowance(p *Partition, units int) (amount, burst float64) {
	part := float64(units) / float64(max(1, p.Units))
	return l.Amount * part, p.OwnBurst + p.SharedBurst*part
}

func (l *Limit) hash() uint64 { return xxhash.Sum64String(l.Name) }
