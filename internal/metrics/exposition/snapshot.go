// Package exposition is what a process tells of itself at one moment: figures by name, in the order in which they came. It prints them
// as the pooler's own lines, of a name and a number, and in the text form that Prometheus reads. It does no I/O, keeps nothing from
// one sheet to the next, and costs nothing while nobody asks. It knows no figure's meaning. A sheet takes
// 104 bytes a figure; how many there are follows from the settings: classes, limits, zones, servers.
package exposition

import "strconv"

// sampleKind is what a figure is.
type sampleKind uint8

const (
	counterSample sampleKind = iota // grows from 0
	gaugeSample                     // rises and falls
	infoSample                      // is a text
)

// sample is one line.
type sample struct {
	scope Scope
	name  string
	text  string // as it is printed
	value float64
	kind  sampleKind
}

// Snapshot gathers figures. The zero value is empty.
type Snapshot struct{ samples []sample }

// Scope is a place on a sheet: of a part of the program, and within it of one of several things of a kind.
type Scope struct {
	snapshot                    *Snapshot
	name, labelName, labelValue string
}

// Scope is the place of a part of the program; the empty one is of the whole.
func (s *Snapshot) Scope(name string) Scope { return Scope{snapshot: s, name: name} }

// Label is the place of one thing; key says what kind of thing that is.
func (p Scope) Label(name, value string) Scope {
	p.labelName, p.labelValue = name, value
	return p
}

// Counter tells how often something has happened since the process began.
func (p Scope) Counter(name string, count uint64) {
	p.add(sample{name: name, text: strconv.FormatUint(count, 10), value: float64(count), kind: counterSample})
}

// IntGauge tells how much there is of something now.
func (p Scope) IntGauge(name string, value int64) {
	p.add(sample{name: name, text: strconv.FormatInt(value, 10), value: float64(value), kind: gaugeSample})
}

// Gauge tells how high something stands now.
func (p Scope) Gauge(name string, value float64) {
	p.add(sample{name: name, text: strconv.FormatFloat(value, 'g', -1, 64), value: value, kind: gaugeSample})
}

// BoolGauge tells whether something is so, as 1 or 0.
func (p Scope) BoolGauge(name string, on bool) {
	n := int64(0)
	if on {
		n = 1
	}
	p.IntGauge(name, n)
}

// Info tells a text, such as a reason.
func (p Scope) Info(name, text string) {
	p.add(sample{name: name, text: text, value: 1, kind: infoSample})
}

func (p Scope) add(f sample) {
	f.scope = p
	p.snapshot.samples = append(p.snapshot.samples, f)
}

// AppendLines prints the pooler's own form: "app", the part, the thing and the name with dots between, "=", the value.
func (s *Snapshot) AppendLines(dst []byte) []byte {
	for i := range s.samples {
		f := &s.samples[i]
		dst = append(dst, "app"...)
		for _, part := range [...]string{f.scope.name, f.scope.labelValue, f.name} {
			if part != "" {
				dst = append(append(dst, '.'), part...)
			}
		}
		dst = append(append(append(dst, '='), f.text...), '\n')
	}
	return dst
}
