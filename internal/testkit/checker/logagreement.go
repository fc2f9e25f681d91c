package checker

import (
	"fmt"
	"time"
)

// LogAgreement compares what poolers report of their shared log, independently of the protocol by which they agree. Each
// process reports how many log entries it has taken, a checksum over them, and whether it leads.
type LogAgreement struct {
	sumByCount      map[uint64]string
	reporterByCount map[uint64]string
	leaderByTerm    map[uint64]string
	lastReports     map[string]LogReport // by process
	MostTaken       uint64               // highest number of entries taken by any process
	lastGrowth      time.Time
	growth          []growthSample
	LongestPause    time.Duration // longest time without a new entry
	Reports         int
	TermsWithLeader int // number of terms with a leader
	Violations      []string
}

type growthSample struct {
	at   time.Time
	most uint64
}

// LogReport is a process's report of the entries that it has taken.
type LogReport struct {
	Taken, Applied, Term   uint64
	Sum                    string
	Participates, IsLeader bool
	OwnTaken               uint64 // number of its own entries that are known to be taken
}

func (a *LogAgreement) addViolation(format string, args ...any) {
	if len(a.Violations) < 20 {
		a.Violations = append(a.Violations, fmt.Sprintf(format, args...))
	}
}

// AddReport records a process's report. Reports must be added in the order of time.
func (a *LogAgreement) AddReport(at time.Time, process string, t LogReport) {
	if a.sumByCount == nil {
		a.sumByCount, a.reporterByCount, a.lastReports = map[uint64]string{}, map[uint64]string{}, map[string]LogReport{}
	}
	a.Reports++
	if was, ok := a.sumByCount[t.Taken]; ok && was != t.Sum {
		a.addViolation("%s has other %d entries than %s", process, t.Taken, a.reporterByCount[t.Taken])
	}
	a.sumByCount[t.Taken], a.reporterByCount[t.Taken] = t.Sum, process
	if p := a.lastReports[process]; t.Taken < p.Taken || t.Applied < p.Applied || t.Term < p.Term {
		a.addViolation("%s goes back from %+v to %+v", process, p, t)
	}
	a.lastReports[process] = t
	if t.Taken > a.MostTaken {
		if !a.lastGrowth.IsZero() {
			a.LongestPause = max(a.LongestPause, at.Sub(a.lastGrowth))
		}
		a.MostTaken, a.lastGrowth = t.Taken, at
		a.growth = append(a.growth, growthSample{at, t.Taken})
	}
}

// ReportLeader records that a process leads in a term.
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

// CheckFinal checks that each of these processes has taken at least the entries that were known to be taken the duration behind before
// the last growth of the log: no entry is lost, and no process lags further.
func (a *LogAgreement) CheckFinal(processes []string, behind time.Duration) {
	most := uint64(0)
	for _, g := range a.growth {
		if a.lastGrowth.Sub(g.at) >= behind {
			most = g.most
		}
	}
	for _, p := range processes {
		if t := a.lastReports[p]; t.Taken < most {
			a.addViolation("%s ends with %d entries of %d", p, t.Taken, most)
		}
	}
}
