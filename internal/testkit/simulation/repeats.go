package simulation

import (
	"maps"
	"slices"

	"beechgrade/internal/testkit/model"
)

// Repeats counts what poolers do twice, as the servers see it, and how they come back to one that returns.
type Repeats struct {
	Firsts uint64  `json:"first_attempts"`
	Taken  uint64  `json:"taken_again"`          // attempts of a request of which a server had taken another
	Part   float64 `json:"taken_again_at_worst"` // of the first attempts of a group
	Opened int     `json:"opened_at_worst"`      // connections to a server in a tenth of a second, within returnedMs of its return
}

const (
	returnedMs = 5000
	binMs      = 100
)

// repeatCounts keeps the counts.
type repeatCounts struct {
	firsts, taken map[int]uint64 // by group
	opened        map[opening]int
}

type opening struct{ server, bin int }

func newRepeatCounts() *repeatCounts {
	return &repeatCounts{firsts: map[int]uint64{}, taken: map[int]uint64{}, opened: map[opening]int{}}
}

// firstAttempt counts an attempt that is sent, if it is its request's first.
func (x *repeatCounts) firstAttempt(v *clientAttempt, s *model.Server) {
	if !v.sentOnce {
		v.sentOnce = true
		x.firsts[s.Group.ID]++
	}
}

// accepted counts one that a server takes.
func (x *repeatCounts) accepted(v *clientAttempt, s *model.Server) {
	if v.acceptedAttempts > 0 {
		x.taken[s.Group.ID]++
	}
	v.acceptedAttempts++
}

// rejected takes one back that found no place there.
func (x *repeatCounts) rejected(v *clientAttempt, s *model.Server) {
	if v.acceptedAttempts--; v.acceptedAttempts > 0 {
		x.taken[s.Group.ID]--
	}
}

// connectionOpened counts a connection that is opened.
func (x *repeatCounts) connectionOpened(now float64, s *model.Server) {
	if s.Started > 0 && now-s.Started <= returnedMs {
		x.opened[opening{s.No, int(now / binMs)}]++
	}
}

func (x *repeatCounts) result() (r Repeats) {
	for _, g := range slices.Sorted(maps.Keys(x.firsts)) {
		r.Firsts += x.firsts[g]
		r.Taken += x.taken[g]
		r.Part = max(r.Part, float64(x.taken[g])/float64(max(1, x.firsts[g])))
	}
	for _, n := range x.opened { // the order does not matter
		r.Opened = max(r.Opened, n)
	}
	return r
}
