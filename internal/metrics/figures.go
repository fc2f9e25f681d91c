// Package metrics counts what the pooler does, where the core sees a request or an attempt begin and end, and tells it on a
// sheet. It does no I/O.
package metrics

import (
	"slices"

	"beechgrade/internal/metrics/exposition"
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

// Tell tells the figures, with the servers that are listed and those of them that are avoided.
func (f *Figures) Tell(s *exposition.Sheet, listed, avoided int) {
	for _, c := range f.classes {
		of := s.Part("handled").Of("class", c.name)
		for e, name := range names {
			of.Count(name, c.ended[e])
		}
	}
	all := s.Part("")
	all.Count("upstream_tries", f.Tries)
	all.Whole("in_progress", int64(f.Open))
	all.Whole("known_database_servers", int64(listed))
	all.Whole("skipped_database_servers", int64(avoided))
	all.Count("loads", f.Loads)
	all.Count("load_errors", f.LoadErrors)
}
