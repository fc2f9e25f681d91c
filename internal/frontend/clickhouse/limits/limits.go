// Package limits bounds how many queries of each user run and wait at a pooler, and at which rate they may arrive.
//
// Its inputs are queries that arrive and end, the allowances that the fleet's leader assigns to this pooler, and the time; its outputs are
// Verdicts and the IDs of queued queries that are admitted or have waited for too long. State is held for a bounded number of idle users.
// As long as no allowance is assigned, the limits in the settings apply.
//
// It does no I/O, has no clock and no goroutines. Times are in milliseconds on the caller's clock.
package limits

import "fmt"

// Limits are the limits of one user in the settings.
type Limits struct {
	MaxRunning int     // queries that may run at a time, 0 for any number
	MaxQueued  int     // queries that may be queued besides, 0 for none
	MaxWaitMs  float64 // longest time that a query may be queued
	PerSecond  float64 // queries that may arrive per second, 0 for any number
	Burst      float64 // queries that may arrive at once; a value below 1 counts as 1
}

// Allowance is this pooler's share of a user's limits in the whole fleet. It replaces the limits in the settings that it bounds.
type Allowance struct {
	BoundsRunning bool // MaxRunning applies
	MaxRunning    int
	BoundsRate    bool // PerSecond and Burst apply
	PerSecond     float64
	Burst         float64
}

// ID identifies a query. It is unique among the running and queued queries.
type ID uint64

// Verdict is the decision on a new query.
type Verdict uint8

// The verdicts.
const (
	Admitted     Verdict = iota // the query runs
	Queued                      // the query is queued: a later call returns its ID as admitted or expired
	TooMany                     // rejected: too many queries are running and queued
	RateExceeded                // rejected: queries arrive faster than the rate allows
)

var verdictNames = [...]string{"admitted", "queued", "too many", "rate exceeded"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", uint8(v))
	}
	return verdictNames[v]
}

// Demand is the load that a user's queries would cause without limits.
type Demand struct {
	Running   int     // running queries
	Unserved  float64 // queued queries, and those rejected as TooMany in about the last second
	PerSecond float64 // rate of arrival of queries
}
