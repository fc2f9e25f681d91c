// Package wear learns for how long a connection may rest before its next request is lost on it. Servers say how long they
// keep one, but what lies between may forget it earlier, without a word.
package wear

import "math"

// ages are the bounds, in milliseconds, of the classes in which wear counts.
var ages = [...]float64{0, 10, 25, 50, 100, 200, 400, 800, 1600}

const (
	wearMemoryMs = 20000 // of what was seen
	wornLeast    = 3     // connections that broke: fewer prove nothing
	wornPart     = 0.05  // of those as old: with fewer than that they may be used...
	wornYoung    = 2     // ...or than so many times the part of young ones, which break for other reasons
)

// Wear is what was seen of the connections of one pooler. Times are in milliseconds.
type Wear struct {
	used, broke [len(ages)]float64
	at          float64
	limit       float64
}

// New has seen nothing.
func New() Wear { return Wear{limit: math.Inf(1)} }

// Limit is the rest beyond which a connection is probably worn, as far as can be told.
func (w *Wear) Limit() float64 { return w.limit }

// Note counts a request on a connection that had rested for so long.
func (w *Wear) Note(now, rested float64, broke bool) {
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
