// Package serviceratio computes the service ratio over time: the priority weight answered in time over that requested.
package serviceratio

import "math"

const (
	// Seconds is the length of the window.
	Seconds = 10
	// settleSeconds is the time after a request within which its result may still change, by deadlines and retries.
	settleSeconds = 60
)

// Window finds the ten seconds with the lowest ratio. Weight counts at the time of the first attempt. It stores a
// minute, whatever the length of the run.
type Window struct {
	requested, served [settleSeconds + Seconds]float64 // by second, in a ring buffer
	first             int64                            // the earliest stored second
	newest            int64
	started           bool
	sum               [2]float64 // of the last ten settled seconds
	settled           [Seconds][2]float64
	settledSeconds    int64
	worst             float64
	worstAt           int64
	late              uint64
}

// Add adds the weight of a request whose first attempt was at the given Unix ms. What comes over a minute late is
// counted in Late and left out.
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
		w.first = second // nothing is settled yet: clocks differ a little
	}
	for second-w.first >= int64(len(w.requested)) {
		w.settle()
	}
	w.newest = max(w.newest, second)
	w.requested[second%int64(len(w.requested))] += requested
	w.served[second%int64(len(w.served))] += served
}

// settle removes the earliest second from the ring buffer and updates the window.
func (w *Window) settle() {
	i := w.first % int64(len(w.requested))
	now := [2]float64{w.requested[i], w.served[i]}
	w.requested[i], w.served[i] = 0, 0
	old := &w.settled[w.settledSeconds%Seconds]
	w.sum[0] += now[0] - old[0]
	w.sum[1] += now[1] - old[1]
	*old = now
	w.settledSeconds++
	if w.settledSeconds >= Seconds && w.sum[0] > 1e-9 {
		if r := w.sum[1] / w.sum[0]; r < w.worst {
			w.worst, w.worstAt = r, w.first-Seconds+1
		}
	}
	w.first++
}

// Worst returns the lowest ratio of ten consecutive seconds and the Unix ms of their start. For less than ten
// seconds it is the ratio of all. It is 1 if nothing was requested.
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
