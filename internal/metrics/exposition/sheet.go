// Package exposition is what a process tells of itself at one moment: figures by name, in the order in which they came. It prints them
// as the pooler's own lines, of a name and a number, and in the text form that Prometheus reads. It does no I/O, keeps nothing from
// one sheet to the next, and costs nothing while nobody asks. It knows no figure's meaning. A sheet takes
// 104 bytes a figure; how many there are follows from the settings: classes, limits, zones, servers.
package exposition

import "strconv"

// kind is what a figure is.
type kind uint8

const (
	count kind = iota // grows from 0
	level             // rises and falls
	word              // is a text
)

// figure is one line.
type figure struct {
	part Part
	name string
	text string // as it is printed
	x    float64
	kind kind
}

// Sheet gathers figures. The zero value is empty.
type Sheet struct{ figures []figure }

// Part is a place on a sheet: of a part of the program, and within it of one of several things of a kind.
type Part struct {
	sheet          *Sheet
	name, key, one string
}

// Part is the place of a part of the program; the empty one is of the whole.
func (s *Sheet) Part(name string) Part { return Part{sheet: s, name: name} }

// Of is the place of one thing; key says what kind of thing that is.
func (p Part) Of(key, one string) Part {
	p.key, p.one = key, one
	return p
}

// Count tells how often something has happened since the process began.
func (p Part) Count(name string, n uint64) {
	p.put(figure{name: name, text: strconv.FormatUint(n, 10), x: float64(n), kind: count})
}

// Whole tells how much there is of something now.
func (p Part) Whole(name string, n int64) {
	p.put(figure{name: name, text: strconv.FormatInt(n, 10), x: float64(n), kind: level})
}

// Level tells how high something stands now.
func (p Part) Level(name string, x float64) {
	p.put(figure{name: name, text: strconv.FormatFloat(x, 'g', -1, 64), x: x, kind: level})
}

// Flag tells whether something is so, as 1 or 0.
func (p Part) Flag(name string, is bool) {
	n := int64(0)
	if is {
		n = 1
	}
	p.Whole(name, n)
}

// Word tells a text, such as a reason.
func (p Part) Word(name, text string) { p.put(figure{name: name, text: text, x: 1, kind: word}) }

func (p Part) put(f figure) {
	f.part = p
	p.sheet.figures = append(p.sheet.figures, f)
}

// AppendLines prints the pooler's own form: "app", the part, the thing and the name with dots between, "=", the value.
func (s *Sheet) AppendLines(dst []byte) []byte {
	for i := range s.figures {
		f := &s.figures[i]
		dst = append(dst, "app"...)
		for _, x := range [...]string{f.part.name, f.part.one, f.name} {
			if x != "" {
				dst = append(append(dst, '.'), x...)
			}
		}
		dst = append(append(append(dst, '='), f.text...), '\n')
	}
	return dst
}
