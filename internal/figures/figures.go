// Package figures counts what the pooler does, where the core sees a request or an attempt begin and end, and prints it as
// lines of a name and a number. It does no I/O.
package figures

import (
	"slices"
	"strconv"
)

// End is how a request ended.
type End uint8

// The ends.
const (
	Passed     End = iota // served
	Dropped               // refused
	BadGateway            // failed
	Gone                  // its client went away
	ends
)

var names = [Gone]string{"passed", "dropped", "bad_gateway"}

// Class are the figures of one class.
type Class struct {
	name  string
	ended [ends]uint64
}

// Count counts a request's end.
func (c *Class) Count(e End) { c.ended[e]++ }

// Figures are a process's; they begin at 0. The zero value is ready for use.
type Figures struct {
	Open       int    // requests taken and not ended
	Tries      uint64 // attempts written whole
	Loads      uint64 // configurations read again and taken...
	LoadErrors uint64 // ...and turned down

	classes []*Class
}

// Class is the class of that name, which is counted from now on. One that has gone keeps its figures.
func (f *Figures) Class(name string) *Class {
	i := slices.IndexFunc(f.classes, func(c *Class) bool { return c.name == name })
	if i < 0 {
		i, f.classes = len(f.classes), append(f.classes, &Class{name: name})
	}
	return f.classes[i]
}

// Append prints the figures, with the servers that are listed and those of them that are avoided.
func (f *Figures) Append(dst []byte, listed, avoided int) []byte {
	line := func(n uint64, name ...string) {
		dst = append(dst, "app"...)
		for _, s := range name {
			dst = append(append(dst, '.'), s...)
		}
		dst = append(strconv.AppendUint(append(dst, '='), n, 10), '\n')
	}
	for _, c := range f.classes {
		for e, s := range names {
			line(c.ended[e], "handled", c.name, s)
		}
	}
	line(f.Tries, "upstream_tries")
	line(uint64(f.Open), "in_progress")
	line(uint64(listed), "known_database_servers")
	line(uint64(avoided), "skipped_database_servers")
	line(f.Loads, "loads")
	line(f.LoadErrors, "load_errors")
	return dst
}
