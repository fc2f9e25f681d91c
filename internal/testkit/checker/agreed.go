package checker

import (
	"fmt"
	"time"
)

// Agreed holds what poolers say of their log in common against each other. It knows nothing of how they come to it: of a pooler's
// process it hears how many entries it has taken and a sum over them, who leads, and how many of its own entries it knows to be taken.
type Agreed struct {
	sums    map[uint64]string
	by      map[uint64]string
	leaders map[uint64]string
	last    map[string]Tally // by process
	Most    uint64           // entries that anybody has taken
	grown   time.Time
	growth  []grew
	Gap     time.Duration // the longest in which nobody took more
	Looks   int
	Leads   int // terms with a leader
	Found   []string
}

type grew struct {
	at   time.Time
	most uint64
}

// Tally is what a process says of the entries that it has taken.
type Tally struct {
	Taken, Applied, Term uint64
	Sum                  string
	Part, Leads          bool
	Own                  uint64 // of its own entries, that it knows to be taken
}

func (a *Agreed) found(format string, x ...any) {
	if len(a.Found) < 20 {
		a.Found = append(a.Found, fmt.Sprintf(format, x...))
	}
}

// Says takes a process's word; they come by time.
func (a *Agreed) Says(at time.Time, process string, t Tally) {
	if a.sums == nil {
		a.sums, a.by, a.last = map[uint64]string{}, map[uint64]string{}, map[string]Tally{}
	}
	a.Looks++
	if was, ok := a.sums[t.Taken]; ok && was != t.Sum {
		a.found("%s has other %d entries than %s", process, t.Taken, a.by[t.Taken])
	}
	a.sums[t.Taken], a.by[t.Taken] = t.Sum, process
	if p := a.last[process]; t.Taken < p.Taken || t.Applied < p.Applied || t.Term < p.Term {
		a.found("%s goes back from %+v to %+v", process, p, t)
	}
	a.last[process] = t
	if t.Taken > a.Most {
		if !a.grown.IsZero() {
			a.Gap = max(a.Gap, at.Sub(a.grown))
		}
		a.Most, a.grown = t.Taken, at
		a.growth = append(a.growth, grew{at, t.Taken})
	}
}

// Leader takes a process's word that it leads in a term.
func (a *Agreed) Leader(process string, term uint64) {
	if a.leaders == nil {
		a.leaders = map[uint64]string{}
	}
	if was, ok := a.leaders[term]; ok && was != process {
		a.found("%s and %s lead in term %d", was, process, term)
	}
	a.leaders[term] = process
	a.Leads = len(a.leaders)
}

// End holds what these processes said last against all that was known to be taken some time before: nothing is lost, and nobody is
// left behind.
func (a *Agreed) End(processes []string, behind time.Duration) {
	most := uint64(0)
	for _, g := range a.growth {
		if a.grown.Sub(g.at) >= behind {
			most = g.most
		}
	}
	for _, p := range processes {
		if t := a.last[p]; t.Taken < most {
			a.found("%s ends with %d entries of %d", p, t.Taken, most)
		}
	}
}
