// Package idletimeout estimates for how long a connection may be idle before the next request on it is lost. Servers announce for
// how long they keep an idle connection, but a device on the path may drop it earlier without notice.
//
// Its input is, for each request, how long its connection had been idle and whether the connection broke; its output is a limit of
// idle time. Observations fade with time, so without new ones the limit is lifted again.
package idletimeout

import "math"

// idleClasses are the lower bounds, in milliseconds, of the classes of idle time.
var idleClasses = [...]float64{0, 10, 25, 50, 100, 200, 400, 800, 1600}

const (
	decayMs         = 20000 // time constant by which observations fade
	minBroken       = 3     // broken connections; fewer prove nothing
	maxBrokenPart   = 0.05  // connections may be used if a smaller part of those with this idle time broke...
	maxBrokenFactor = 2     // ...or a part smaller than so many times that of the shortest class, whose connections break for other reasons
)

// Estimator holds what was observed of the connections of one pooler. Times are in milliseconds.
type Estimator struct {
	used, broken [len(idleClasses)]float64 // by class, weighted by age
	lastMs       float64                   // time of the last observation
	limit        float64
}

// New returns an Estimator without observations.
func New() Estimator { return Estimator{limit: math.Inf(1)} }

// Limit returns the idle time in milliseconds from which on a connection is probably unusable, or infinity if the observations show
// no such time.
func (e *Estimator) Limit() float64 { return e.limit }

// Record records a request on a connection that had been idle for idleMs, and whether the connection broke.
func (e *Estimator) Record(now, idleMs float64, broken bool) {
	e.fade(now)
	class := classOf(idleMs)
	e.used[class]++
	if broken {
		e.broken[class]++
	}
	e.updateLimit()
}

// fade reduces the weight of earlier observations.
func (e *Estimator) fade(now float64) {
	factor := math.Exp(min(0, e.lastMs-now) / decayMs)
	e.lastMs = now
	for i := range idleClasses {
		e.used[i] *= factor
		e.broken[i] *= factor
	}
}

func classOf(idleMs float64) int {
	class := len(idleClasses) - 1
	for idleMs < idleClasses[class] && class > 0 {
		class--
	}
	return class
}

// updateLimit sets the limit to the lower bound of the shortest class for which too many connections broke, both in that class alone
// and in it and all longer ones together.
func (e *Estimator) updateLimit() {
	e.limit = math.Inf(1)
	maxPart := maxBrokenPart + maxBrokenFactor*e.broken[0]/max(1, e.used[0])
	var used, broken float64
	for i := len(idleClasses) - 1; i > 0; i-- {
		used += e.used[i]
		broken += e.broken[i]
		if e.broken[i] > maxPart*e.used[i] && broken > maxPart*used && broken >= minBroken {
			e.limit = idleClasses[i]
		}
	}
}
