// Package metrics counts what the pooler does, where the core sees a request or an attempt begin and end, and tells it on a
// sheet. It does no I/O.
package metrics

import (
	"slices"

	"beechgrade/internal/metrics/exposition"
)

// Outcome is how a request ended.
type Outcome uint8

// The ends.
const (
	Served     Outcome = iota // served
	Rejected                  // refused
	Failed                    // failed
	ClientGone                // its client went away
	outcomes
)

var outcomeNames = [ClientGone]string{"passed", "dropped", "bad_gateway"}

// Class are the figures of one class.
type Class struct {
	name   string
	counts [outcomes]uint64
}

// Count counts a request's end.
func (c *Class) Count(outcome Outcome) { c.counts[outcome]++ }

// Metrics are a process's; they begin at 0. The zero value is ready for use.
type Metrics struct {
	OpenRequests    int    // requests taken and not ended
	Attempts        uint64 // attempts written whole
	ReloadsAccepted uint64 // configurations read again and taken...
	ReloadsRejected uint64 // ...and turned down

	classes []*Class
}

// Class is the class of that name, which is counted from now on. One that has gone keeps its figures.
func (f *Metrics) Class(name string) *Class {
	index := slices.IndexFunc(f.classes, func(class *Class) bool { return class.name == name })
	if index < 0 {
		index, f.classes = len(f.classes), append(f.classes, &Class{name: name})
	}
	return f.classes[index]
}

// AppendTo tells the figures, with the servers that are listed and those of them that are avoided.
func (f *Metrics) AppendTo(snapshot *exposition.Snapshot, listed, avoided int) {
	for _, class := range f.classes {
		scope := snapshot.Scope("handled").Label("class", class.name)
		for outcome, name := range outcomeNames {
			scope.Counter(name, class.counts[outcome])
		}
	}
	process := snapshot.Scope("")
	process.Counter("upstream_tries", f.Attempts)
	process.IntGauge("in_progress", int64(f.OpenRequests))
	process.IntGauge("known_database_servers", int64(listed))
	process.IntGauge("skipped_database_servers", int64(avoided))
	process.Counter("loads", f.ReloadsAccepted)
	process.Counter("load_errors", f.ReloadsRejected)
}
