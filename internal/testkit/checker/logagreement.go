package checker

import (
	"fmt"
	"time"
)

// LogAgreement holds what poolers say of their log in common against each other. It knows nothing of how they come to it: of a pooler's
// process it hears how many entries it has taken and a sum over them, who leads, and how many of its own entries it knows to be taken.
type LogAgreement struct {
	sumByCount      map[uint64]string
	reporterByCount map[uint64]string
	leaderByTerm    map[uint64]string
	lastTally       map[string]Tally // by process
	MostTaken       uint64           // entries that anybody has taken
	lastGrowth      time.Time
	growth          []growthSample
	LongestPause    time.Duration // the longest in which nobody took more
	Reports         int
	TermsWithLeader int // terms with a leader
	Violations      []string
}

type growthSample struct {
	at   time.Time
	most uint64
}

// Tally is what a process says of the entries that it has taken.
type Tally struct {
	Taken, Applied, Term   uint64
	Sum                    string
	Participates, IsLeader bool
	OwnTaken               uint64 // of its own entries, that it knows to be taken
}

func (a *LogAgreement) addViolation(format string, args ...any) {
	if len(a.Violations) < 20 {
		a.Violations = append(a.Violations, fmt.Sprintf(format, args...))
	}
}

// ReportTally takes a process's word; they come by time.
func (a *LogAgreement) ReportTally(at time.Time, process string, t Tally) {
	if a.sumByCount == nil {
		a.sumByCount, a.reporterByCount, a.lastTally = map[uint64]string{}, map[uint64]string{}, map[string]Tally{}
	}
	a.Reports++
	if was, ok := a.sumByCount[t.Taken]; ok && was != t.Sum {
		a.addViolation("%s has other %d entries than %s", process, t.Taken, a.reporterByCount[t.Taken])
	}
	a.sumByCount[t.Taken], a.reporterByCount[t.Taken] = t.Sum, process
	if p := a.lastTally[process]; t.Taken < p.Taken || t.Applied < p.Applied || t.Term < p.Term {
		a.addViolation("%s goes back from %+v to %+v", process, p, t)
	}
	a.lastTally[process] = t
	if t.Taken > a.MostTaken {
		if !a.lastGrowth.IsZero() {
			a.LongestPause = max(a.LongestPause, at.Sub(a.lastGrowth))
		}
		a.MostTaken, a.lastGrowth = t.Taken, at
		a.growth = append(a.growth, growthSample{at, t.Taken})
	}
}

// ReportLeader takes a process's word that it leads in a term.
func (a *LogAgreement) ReportLeader(process string, term uint64) {
	if a.leaderByTerm == nil {
		a.leaderByTerm = map[uint64]string{}
	}
	if was, ok := a.leaderByTerm[term]; ok && was != process {
		a.addViolation("%s and %s lead in term %d", was, process, term)
	}
	a.leaderByTerm[term] = process
	a.TermsWithLeader = len(a.leaderByTerm)
}

// CheckFinal holds what these processes said last against all that was known to be taken some time before: nothing is lost, and nobody is
// left behind.
func (a *LogAgreement) CheckFinal(processes []string, behind time.Duration) {
	most := uint64(0)
	for _, g := range a.growth {
		if a.lastGrowth.Sub(g.at) >= behind {
			most = g.most
		}
	}
	for _, p := range processes {
		if t := a.lastTally[p]; t.Taken < most {
			a.addViolation("%s ends with %d entries of %d", p, t.Taken, most)
		}
	}
}
