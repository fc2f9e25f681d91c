// Package machine watches how much of its time the machine has for what is played on it in real time.
package machine

import (
	"runtime"
	"sync"
	"time"
)

// Busy is how much of its time the machine had not: a thread of its own rests for restMs, works for a moment, and sees how much
// longer that took than where nothing is in its way. What takes the machine's time takes the poolers', too.
type Busy struct {
	Late  float64 `json:"late"`     // the part of the time that was taken, in the mean
	Worst float64 `json:"worst_ms"` // most in a second
}

const (
	restMs = 5
	workMs = 0.5 // about; the least that it took counts as what it takes
)

// Watch is one that is under way.
type Watch struct {
	stop chan struct{}
	done sync.WaitGroup
	took []turn
}

type turn struct{ at, rest, work time.Duration }

// Begin begins to watch.
func Begin() *Watch {
	w := &Watch{stop: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

func (w *Watch) run() {
	defer w.done.Done()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	rounds, began := 1, time.Now()
	for spin(rounds) < workMs*float64(time.Millisecond) && rounds < 1<<30 {
		rounds *= 2
	}
	for {
		select {
		case <-w.stop:
			return
		default:
		}
		before := time.Now()
		time.Sleep(restMs * time.Millisecond)
		rested := time.Since(before)
		w.took = append(w.took, turn{time.Since(began), rested, time.Duration(spin(rounds))})
	}
}

// spin works for some rounds and tells how many nanoseconds that took.
func spin(rounds int) float64 {
	from, x := time.Now(), uint64(1)
	for range rounds {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	if x == 0 {
		return 0
	}
	return float64(time.Since(from))
}

// End stops the watch and tells what it saw.
func (w *Watch) End() Busy {
	close(w.stop)
	w.done.Wait()
	if len(w.took) == 0 {
		return Busy{}
	}
	least := w.took[0].work
	for _, t := range w.took {
		least = min(least, t.work)
	}
	all, seconds := 0.0, map[int]float64{}
	for _, t := range w.took {
		late := float64(max(0, t.rest-restMs*time.Millisecond)+t.work-least) / float64(time.Millisecond)
		all += late
		seconds[int(t.at/time.Second)] += late
	}
	m := Busy{Late: all / (float64(w.took[len(w.took)-1].at) / float64(time.Millisecond))}
	for _, late := range seconds {
		m.Worst = max(m.Worst, late)
	}
	return m
}
