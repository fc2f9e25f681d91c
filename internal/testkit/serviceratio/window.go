// Package serviceratio computes the service ratio over time: the priority weight answered in time over that requested.
package serviceratio

import "math"

const (
	// Seconds is the length of the window.
	Seconds = 10
	// settleSeconds is the time after a request within which its result may still change, by deadlines and retries.
	settleSeconds = 60
)

// Window finds the ten consecutive seconds with the lowest ratio. Weight counts in the second of a request's first attempt.
// Memory does not grow with the run: only seconds that may still change, and the last ten settled ones, are stored.
type Window struct {
	requested, served [settleSeconds + Seconds]float64 // by second, in a ring buffer
	first             int64                            // the earliest stored second
	newest            int64                            // the latest second to which weight was added
	started           bool
	sum               [2]float64          // weight requested and served in the last ten settled seconds
	settled           [Seconds][2]float64 // the same by second, in a ring buffer
	settledSeconds    int64               // number of seconds settled so far
	worst             float64             // lowest ratio so far, +Inf before the first
	worstAt           int64               // first second of the window with that ratio
	late              uint64              // number of additions that came too late to count
}

// Add adds the weight of a request whose first attempt was at the given Unix ms. An addition whose second
// is settled, or is over a minute before the newest, is ignored and counted in Late.
func (w *Window) Add(atMs, requested, served float64) {
	second := int64(math.Floor(atMs / 1000))
	if !w.started {
		w.started, w.first, w.newest, w.worst = true, second, second, math.Inf(1)
	}
	if second < w.first {
		if w.settledSeconds > 0 || w.newest-second >= int64(len(w.requested)) {
			w.late++
			return
		}
		w.first = second // no second is settled yet; clocks differ a little, so the first addition need not be the earliest
	}
	for second-w.first >= int64(len(w.requested)) {
		w.settle()
	}
	w.newest = max(w.newest, second)
	w.requested[second%int64(len(w.requested))] += requested
	w.served[second%int64(len(w.served))] += served
}

// settle moves the earliest second from the ring buffer to the sliding window of the last ten settled seconds.
func (w *Window) settle() {
	i := w.first % int64(len(w.requested))
	earliest := [2]float64{w.requested[i], w.served[i]}
	w.requested[i], w.served[i] = 0, 0
	oldest := &w.settled[w.settledSeconds%Seconds]
	w.sum[0] += earliest[0] - oldest[0]
	w.sum[1] += earliest[1] - oldest[1]
	*oldest = earliest
	w.settledSeconds++
	if w.settledSeconds >= Seconds && w.sum[0] > 1e-9 {
		if ratio := w.sum[1] / w.sum[0]; ratio < w.worst {
			w.worst, w.worstAt = ratio, w.first-Seconds+1
		}
	}
	w.first++
}

// Worst returns the lowest ratio of ten consecutive seconds and the Unix ms of their start. For less than ten
// seconds it is the ratio over all of them. It is 1 if nothing was requested. It settles a copy, so Add may follow.
func (w *Window) Worst() (ratio, atMs float64) {
	c := *w
	if !c.started {
		return 1, 0
	}
	from := c.first
	for c.first <= c.newest {
		c.settle()
	}
	if c.settledSeconds < Seconds && c.sum[0] > 1e-9 {
		return c.sum[1] / c.sum[0], float64(from) * 1000
	}
	if math.IsInf(c.worst, 1) {
		return 1, float64(from) * 1000
	}
	return c.worst, float64(c.worstAt) * 1000
}

// Late returns the number of additions that came too late to count.
func (w *Window) Late() uint64 { return w.late }
