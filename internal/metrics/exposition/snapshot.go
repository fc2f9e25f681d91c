// Package exposition holds the values of a process's metrics at one moment, and formats them in two ways: as the pooler's own lines of a
// name and a value, and as Prometheus' text format. It does no I/O, and knows the meaning of no metric. A snapshot is made only for a
// request, so that metrics that nobody reads cost nothing. It takes about 100 bytes per sample; the number of samples depends on the
// settings, as classes, limits, zones and servers have their own.
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
	text  string // of the value, as AppendLines writes it
	value float64
	kind  sampleKind
}

// Snapshot collects samples. The zero value is empty.
type Snapshot struct{ samples []sample }

// Scope is the prefix of samples in a snapshot: a subsystem, and within it optionally one object, which is a label.
type Scope struct {
	snapshot                    *Snapshot
	name, labelName, labelValue string
}

// Scope returns the scope of a subsystem. The empty name stands for the whole process.
func (s *Snapshot) Scope(name string) Scope { return Scope{snapshot: s, name: name} }

// Label returns the scope of one object. name is the kind of object, and value is its name.
func (s Scope) Label(name, value string) Scope {
	s.labelName = name
	s.labelValue = value
	return s
}

// Counter adds the number of events since the process started.
func (s Scope) Counter(name string, count uint64) {
	s.add(sample{name: name, text: strconv.FormatUint(count, 10), value: float64(count), kind: counterSample})
}

// IntGauge adds a current number.
func (s Scope) IntGauge(name string, value int64) {
	s.add(sample{name: name, text: strconv.FormatInt(value, 10), value: float64(value), kind: gaugeSample})
}

// Gauge adds a value that rises and falls.
func (s Scope) Gauge(name string, value float64) {
	s.add(sample{name: name, text: strconv.FormatFloat(value, 'g', -1, 64), value: value, kind: gaugeSample})
}

// BoolGauge adds a current condition, as 1 or 0.
func (s Scope) BoolGauge(name string, isTrue bool) {
	value := int64(0)
	if isTrue {
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

// AppendLines appends the samples in the pooler's own format: "app", the subsystem, the object and the metric, joined by dots, "=" and the
// value.
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
