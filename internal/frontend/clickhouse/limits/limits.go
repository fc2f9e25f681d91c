// Package limits decides how many queries of each user run and wait at a pooler, and how fast they may come.
//
// Its inputs are queries that come and end, the allowances that the fleet's leader assigns to this pooler, and the time; its outputs are
// Verdicts and the IDs of waiting queries that are admitted or have waited for too long. The number of users that it remembers is
// bounded. As long as no allowance is assigned, the limits of the settings apply.
//
// It does no I/O, has no clock and no goroutines. Times are in milliseconds on the caller's clock.
package limits

import "fmt"

// Limits are the limits of one user in the settings.
type Limits struct {
	MaxRunning int     // queries that run at a time, 0 for any number
	MaxQueued  int     // queries that wait besides them, 0 for none
	MaxWaitMs  float64 // that a query waits
	PerSecond  float64 // queries that may come in a second, 0 for any number
	Burst      float64 // queries that may come at once; at least 1 applies
}

// Allowance is this pooler's part of the limits that a user has over the whole fleet. It replaces the user's limits of the settings.
type Allowance struct {
	BoundsRunning bool // MaxRunning applies
	MaxRunning    int
	BoundsRate    bool // PerSecond and Burst apply
	PerSecond     float64
	Burst         float64
}

// ID identifies a query. No two queries that run or wait have the same ID.
type ID uint64

// Verdict is the decision on a query that comes.
type Verdict uint8

// The verdicts.
const (
	Admitted     Verdict = iota // the query runs
	Queued                      // the query waits: a later call returns its ID as admitted or expired
	TooMany                     // rejected: too many queries run and wait
	RateExceeded                // rejected: too many queries came
)

var verdictNames = [...]string{"admitted", "queued", "too many", "rate exceeded"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", uint8(v))
	}
	return verdictNames[v]
}

// Demand is what a user would use.
type Demand struct {
	Running   int     // queries that run
	Unserved  float64 // queries that wait, or were rejected as TooMany in the last second
	PerSecond float64 // queries that come
}
