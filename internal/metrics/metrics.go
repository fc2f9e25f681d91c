// Package metrics counts the requests and attempts that the core begins and ends, and writes the counts to an exposition.Snapshot. It
// does no I/O. Metrics belong to the event loop.
package metrics

import (
	"slices"

	"beechgrade/internal/metrics/exposition"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	Rejected
	Failed
	ClientGone // the client closed the connection; counted, but not exposed as a metric
	outcomes
)

// outcomeNames are the names of the outcomes' metrics, which must not change.
var outcomeNames = [ClientGone]string{Served: "passed", Rejected: "dropped", Failed: "bad_gateway"}

// String returns the name of the outcome in metrics, or client_gone.
func (o Outcome) String() string {
	if o < ClientGone {
		return outcomeNames[o]
	}
	return "client_gone"
}

// Class counts the requests of one class.
type Class struct {
	name   string
	counts [outcomes]uint64
}

// Count counts the outcome of a request.
func (c *Class) Count(outcome Outcome) { c.counts[outcome]++ }

// Metrics are the counts of a process since its start. The zero value is ready for use.
type Metrics struct {
	OpenRequests    int    // received and not yet ended
	Attempts        uint64 // sent completely
	ReloadsAccepted uint64 // of the configuration
	ReloadsRejected uint64

	classes []*Class
}

// Class returns the counts of the class of that name, and adds them at the first call. A class that was removed from the configuration
// keeps its counts.
func (m *Metrics) Class(name string) *Class {
	i := slices.IndexFunc(m.classes, func(class *Class) bool { return class.name == name })
	if i >= 0 {
		return m.classes[i]
	}
	class := &Class{name: name}
	m.classes = append(m.classes, class)
	return class
}

// AppendTo writes the counts to the snapshot, with the numbers of listed servers and of those that are avoided.
func (m *Metrics) AppendTo(snapshot *exposition.Snapshot, listed, avoided int) {
	for _, class := range m.classes {
		scope := snapshot.Scope("handled").Label("class", class.name)
		for outcome, name := range outcomeNames {
			scope.Counter(name, class.counts[outcome])
		}
	}
	process := snapshot.Scope("")
	process.Counter("upstream_tries", m.Attempts)
	process.IntGauge("in_progress", int64(m.OpenRequests))
	process.IntGauge("known_database_servers", int64(listed))
	process.IntGauge("skipped_database_servers", int64(avoided))
	process.Counter("loads", m.ReloadsAccepted)
	process.Counter("load_errors", m.ReloadsRejected)
}
