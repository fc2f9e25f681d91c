package quota

import "github.com/cespare/xxhash/v2"

// Kind is what a limit counts.
type Kind uint8

// The kinds.
const (
	Rate        Kind = iota // uses a second
	Concurrency             // uses at once
	Budget                  // a rate of what poolers do of their own accord
)

// String returns the kind's name in settings and answers.
func (k Kind) String() string { return [...]string{"rate", "number", "budget"}[min(k, Budget)] }

// Guarantee is what holds for a limit while links fail.
type Guarantee uint8

// The guarantees.
const (
	NeverOver  Guarantee = iota // the uses of all poolers never exceed the limit
	SoonEven                    // they do for a bounded time after a fault; nobody is starved
	FixedShare                  // each pooler has one part of as many as may be sending
)

// String returns the guarantee's name in settings and answers.
func (g Guarantee) String() string {
	return [...]string{"never-over", "soon-even", "fixed"}[min(g, FixedShare)]
}

// Limit is one that holds for the whole fleet.
type Limit struct {
	Name      string
	Kind      Kind
	Guarantee Guarantee
	Amount    float64 // uses a second, or at once
	Burst     float64 // of a rate: uses that may come at once
	Reserve   float64 // the part of it that is reserved for the poolers, in equal parts
}

// Bounds of what is taken from outside.
const (
	MaxLimits    = 64
	MaxUnits     = 4096
	MaxNameBytes = 64
	MaxPeers     = 2000 // that an owner has accounts of
	MaxItems     = 16   // in a message
)

// unitsPerBurstUse is how many units there are for each use of the burst, where units are fine.
const unitsPerBurstUse = 16

// Partition is how a limit is divided among the poolers.
type Partition struct {
	Units       int
	Reserved    int     // units that belong to each pooler
	Pool        int     // units that are leased
	OwnBurst    float64 // the part of the burst that each pooler has beside that of its units
	SharedBurst float64 // the part of the burst that comes with the units
}

// Partition divides a limit among n poolers. A unit is one concurrent use, or a part of the rate. Where the burst has at least two uses
// for each pooler, one of these belongs to each pooler, so that it can save up for a use with however small a part of the rate, and
// units are fine. Otherwise each unit comes with one use of the burst.
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

// unitsAllowance returns what a number of units lets a pooler use.
func (l *Limit) unitsAllowance(p *Partition, units int) (amount, burst float64) {
	part := float64(units) / float64(max(1, p.Units))
	return l.Amount * part, p.OwnBurst + p.SharedBurst*part
}

func (l *Limit) hash() uint64 { return xxhash.Sum64String(l.Name) }
