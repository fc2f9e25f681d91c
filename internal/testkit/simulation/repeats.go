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
func (c *repeatCounts) firstAttempt(ca *clientAttempt, s *model.Server) {
	if !ca.sentOnce {
		ca.sentOnce = true
		c.firsts[s.Group.ID]++
	}
}

// attemptAccepted counts an attempt that a server accepts.
func (c *repeatCounts) attemptAccepted(ca *clientAttempt, s *model.Server) {
	if ca.acceptedAttempts > 0 {
		c.accepted[s.Group.ID]++
	}
	ca.acceptedAttempts++
}

// attemptRejected reverts attemptAccepted for an attempt that found the server's queue full.
func (c *repeatCounts) attemptRejected(ca *clientAttempt, s *model.Server) {
	if ca.acceptedAttempts--; ca.acceptedAttempts > 0 {
		c.accepted[s.Group.ID]--
	}
}

// connectionOpened counts a connection if the server has started less than returnWindowMs ago.
func (c *repeatCounts) connectionOpened(now float64, s *model.Server) {
	if s.Started > 0 && now-s.Started <= returnWindowMs {
		c.opened[serverBin{s.No, int(now / returnBinMs)}]++
	}
}

func (c *repeatCounts) result() (r Repeats) {
	for _, g := range slices.Sorted(maps.Keys(c.firsts)) {
		r.FirstAttempts += c.firsts[g]
		r.Accepted += c.accepted[g]
		r.MaxAcceptedShare = max(r.MaxAcceptedShare, float64(c.accepted[g])/float64(max(1, c.firsts[g])))
	}
	for _, n := range c.opened { // in any order: the maximum does not depend on it
		r.MaxOpened = max(r.MaxOpened, n)
	}
	return r
}
