// Package serviceratio reckons the service ratio over time: worth answered in time over worth asked for.
package serviceratio

import "math"

const (
	// Seconds is the length of the window whose worst place counts.
	Seconds = 10
	// settleSeconds is how long after a request its worth may still change: deadlines and retries.
	settleSeconds = 60
)

// Window finds the worst stretch of ten seconds. Worth counts at the time at which it was first asked for. It holds a
// minute, whatever the length.
type Window struct {
	requested, served [settleSeconds + Seconds]float64 // by second, as a ring
	first             int64                            // the earliest second that is still held
	newest            int64
	started           bool
	sum               [2]float64 // of the last ten seconds settled
	settled           [Seconds][2]float64
	settledSeconds    int64
	worst             float64
	worstAt           int64
	late              uint64
}

// Add books worth of a request first asked for at the given Unix millisecond. What comes over a minute late is
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
		w.first = second // nothing before is settled yet: clocks differ a little
	}
	for second-w.first >= int64(len(w.requested)) {
		w.settle()
	}
	w.newest = max(w.newest, second)
	w.requested[second%int64(len(w.requested))] += requested
	w.served[second%int64(len(w.served))] += served
}

// settle takes the earliest second out.
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

// Worst is the lowest ratio of ten seconds on end, and the Unix millisecond at which they begin. Of less than ten
// seconds, it is the ratio of all. It is 1 where nothing was asked for.
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

// Late is how often worth came too late to count in a window.
func (w *Window) Late() uint64 { return w.late }
