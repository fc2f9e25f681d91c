package simulation

import (
	"maps"
	"slices"

	"beechgrade/internal/testkit/model"
)

// Repeats counts the attempts that poolers send in addition to the first one of a request, as the servers see them, and the connections
// that poolers open to a server that has just restarted.
type Repeats struct {
	FirstAttempts    uint64  `json:"first_attempts"`
	Accepted         uint64  `json:"taken_again"`          // attempts accepted after another attempt of the same request
	MaxAcceptedShare float64 `json:"taken_again_at_worst"` // Accepted as a share of the first attempts, in the group where it is largest
	MaxOpened        int     `json:"opened_at_worst"`      // connections opened to one server in a bin of returnBinMs, within returnWindowMs of its start
}

const (
	returnWindowMs = 5000
	returnBinMs    = 100
)

// repeatCounts accumulates Repeats.
type repeatCounts struct {
	firsts, accepted map[int]uint64 // by group
	opened           map[serverBin]int
}

type serverBin struct{ server, bin int }

func newRepeatCounts() *repeatCounts {
	return &repeatCounts{firsts: map[int]uint64{}, accepted: map[int]uint64{}, opened: map[serverBin]int{}}
}

// firstAttempt counts an attempt if it is the first of its request.
func (x *repeatCounts) firstAttempt(v *clientAttempt, s *model.Server) {
	if !v.sentOnce {
		v.sentOnce = true
		x.firsts[s.Group.ID]++
	}
}

// attemptAccepted counts an attempt that a server accepts.
func (x *repeatCounts) attemptAccepted(v *clientAttempt, s *model.Server) {
	if v.acceptedAttempts > 0 {
		x.accepted[s.Group.ID]++
	}
	v.acceptedAttempts++
}

// attemptRejected reverts attemptAccepted for an attempt that found the server's queue full.
func (x *repeatCounts) attemptRejected(v *clientAttempt, s *model.Server) {
	if v.acceptedAttempts--; v.acceptedAttempts > 0 {
		x.accepted[s.Group.ID]--
	}
}

// connectionOpened counts a connection if the server has started less than returnWindowMs ago.
func (x *repeatCounts) connectionOpened(now float64, s *model.Server) {
	if s.Started > 0 && now-s.Started <= returnWindowMs {
		x.opened[serverBin{s.No, int(now / returnBinMs)}]++
	}
}

func (x *repeatCounts) result() (r Repeats) {
	for _, g := range slices.Sorted(maps.Keys(x.firsts)) {
		r.FirstAttempts += x.firsts[g]
		r.Accepted += x.accepted[g]
		r.MaxAcceptedShare = max(r.MaxAcceptedShare, float64(x.accepted[g])/float64(max(1, x.firsts[g])))
	}
	for _, n := range x.opened { // in any order: the maximum does not depend on it
		r.MaxOpened = max(r.MaxOpened, n)
	}
	return r
}
