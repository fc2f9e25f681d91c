// Package idletimeout estimates how long a connection may be idle before the next request on it is lost. Servers announce how long they
// keep an idle connection, but a device on the path may drop it earlier without notice.
package idletimeout

import "math"

// ages are the lower bounds, in milliseconds, of the classes of idle time.
var ages = [...]float64{0, 10, 25, 50, 100, 200, 400, 800, 1600}

const (
	wearMemoryMs = 20000 // time constant by which observations fade
	wornLeast    = 3     // broken connections; fewer prove nothing
	wornPart     = 0.05  // connections may be used if a smaller part of those as old broke...
	wornYoung    = 2     // ...or a part smaller than so many times that of the youngest class, which break for other reasons
)

// Estimator is what was observed of the connections of one pooler. Times are in milliseconds.
type Estimator struct {
	used, broke [len(ages)]float64
	at          float64
	limit       float64
}

// New returns a Wear without observations.
func New() Estimator { return Estimator{limit: math.Inf(1)} }

// Limit returns the idle time from which on a connection is probably unusable, or infinity if nothing suggests that there is one.
func (w *Estimator) Limit() float64 { return w.limit }

// Record records a request on a connection that had been idle for rested milliseconds, and whether the connection broke.
func (w *Estimator) Record(now, rested float64, broke bool) {
	keep := math.Exp(min(0, w.at-now) / wearMemoryMs)
	w.at = now
	for i := range ages {
		w.used[i] *= keep
		w.broke[i] *= keep
	}
	i := len(ages) - 1
	for rested < ages[i] && i > 0 {
		i--
	}
	w.used[i]++
	if broke {
		w.broke[i]++
	}
	w.limit = math.Inf(1)
	most := wornPart + wornYoung*w.broke[0]/max(1, w.used[0])
	var used, lost float64
	for i := len(ages) - 1; i > 0; i-- {
		used, lost = used+w.used[i], lost+w.broke[i]
		if w.broke[i] > most*w.used[i] && lost > most*used && lost >= wornLeast {
			w.limit = ages[i]
		}
	}
}
