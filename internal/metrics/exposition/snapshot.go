// Package exposition holds the values of a process's metrics at one moment, and writes them in two forms: the pooler's own lines of a
// name and a number, and Prometheus' text format. It does no I/O, knows the meaning of no metric, and costs nothing while
// nobody asks. A snapshot takes about 100 bytes for each sample; how many there are follows from the settings: classes, limits,
// zones, servers.
package exposition

import "strconv"

// sampleKind is the kind of a metric.
type sampleKind uint8

const (
	counterSample sampleKind = iota // grows from 0
	gaugeSample                     // rises and falls
	infoSample                      // a text
)

// sample is one value.
type sample struct {
	scope Scope
	name  string
	text  string // of the value, as it is written
	value float64
	kind  sampleKind
}

// Snapshot gathers samples. The zero value is empty.
type Snapshot struct{ samples []sample }

// Scope is a place in a snapshot: of a subsystem, and within it of one of several objects of a kind, which is a label.
type Scope struct {
	snapshot                    *Snapshot
	name, labelName, labelValue string
}

// Scope returns the scope of a subsystem; the empty name is that of the process.
func (s *Snapshot) Scope(name string) Scope { return Scope{snapshot: s, name: name} }

// Label returns the scope of one object; name is the kind of object.
func (s Scope) Label(name, value string) Scope {
	s.labelName = name
	s.labelValue = value
	return s
}

// Counter adds how often something has happened since the process began.
func (s Scope) Counter(name string, count uint64) {
	s.add(sample{name: name, text: strconv.FormatUint(count, 10), value: float64(count), kind: counterSample})
}

// IntGauge adds how many there are of something now.
func (s Scope) IntGauge(name string, value int64) {
	s.add(sample{name: name, text: strconv.FormatInt(value, 10), value: float64(value), kind: gaugeSample})
}

// Gauge adds a value that rises and falls.
func (s Scope) Gauge(name string, value float64) {
	s.add(sample{name: name, text: strconv.FormatFloat(value, 'g', -1, 64), value: value, kind: gaugeSample})
}

// BoolGauge adds whether something holds now, as 1 or 0.
func (s Scope) BoolGauge(name string, holds bool) {
	value := int64(0)
	if holds {
		value = 1
	}
	s.IntGauge(name, value)
}

// Info adds a text, such as a reason.
func (s Scope) Info(name, text string) {
	s.add(sample{name: name, text: text, value: 1, kind: infoSample})
}

func (s Scope) add(added sample) {
	added.scope = s
	s.snapshot.samples = append(s.snapshot.samples, added)
}

// AppendLines writes the pooler's own form: "app", the subsystem, the object and the metric with dots between, "=", the value.
func (s *Snapshot) AppendLines(dst []byte) []byte {
	for i := range s.samples {
		sample := &s.samples[i]
		dst = append(dst, "app"...)
		for _, part := range [...]string{sample.scope.name, sample.scope.labelValue, sample.name} {
			if part != "" {
				dst = append(dst, '.')
				dst = append(dst, part...)
			}
		}
		dst = append(dst, '=')
		dst = append(dst, sample.text...)
		dst = append(dst, '\n')
	}
	return dst
}
