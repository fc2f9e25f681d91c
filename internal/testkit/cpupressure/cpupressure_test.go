package cpupressure

import (
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestPressureIsMeasured: threads that all want a processor, eight for each, are seen to wait for most of their time; one that rests is not.
func TestPressureIsMeasured(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("the system does not tell how long threads wait")
	}
	look := func(threads int) (busy Pressure, waited float64) {
		w := Start()
		stop := time.Now().Add(300 * time.Millisecond)
		var wg sync.WaitGroup
		for range threads {
			wg.Add(1)
			go func() {
				defer wg.Done()
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				for time.Now().Before(stop) {
				}
			}()
		}
		wg.Wait()
		time.Sleep(time.Until(stop))
		busy = w.Stop()
		for name, x := range w.samples[len(w.samples)-1].threads {
			waited += max(0, x[1]-w.samples[0].threads[name][1])
		}
		return busy, waited
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8 * runtime.NumCPU()))
	busy, many := look(8 * runtime.NumCPU())
	if busy.Waited < 0.5 || busy.Worst < 0.5 {
		t.Errorf("%+v", busy)
	}
	// What part of its time one thread waits is up to what else runs on the machine; how long it waits is not more than its time.
	if _, one := look(1); one*4 >= many {
		t.Errorf("one thread waited %.0f ns, many %.0f", one, many)
	}
}

// TestPressureBetweenSamples: of two sights, what came since counts, also of a thread that is new.
func TestPressureBetweenSamples(t *testing.T) {
	a := sample{threads: map[string][2]float64{"1": {100, 50}, "gone": {9, 9}}, busyTicks: 10, stolenTicks: 1}
	b := sample{threads: map[string][2]float64{"1": {150, 60}, "2": {30, 30}}, busyTicks: 40, stolenTicks: 11}
	if got := pressureBetween(a, b); got.Waited != 40.0/120 || got.Stolen != 10.0/40 {
		t.Errorf("%+v", got)
	}
	if got := pressureBetween(a, a); got != (Pressure{}) {
		t.Errorf("%+v", got)
	}
}
