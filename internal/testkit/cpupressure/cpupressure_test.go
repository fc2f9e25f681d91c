package cpupressure

import (
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestPressureIsMeasured checks that eight busy threads per processor are measured as waiting for at least half of their time, and that a
// single busy thread waits for far less time.
func TestPressureIsMeasured(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("the system does not report how long threads wait for a processor")
	}
	measure := func(threads int) (busy Pressure, waited float64) {
		monitor := Start()
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
		busy = monitor.Stop()
		for name, x := range monitor.samples[len(monitor.samples)-1].threads {
			waited += max(0, x[1]-monitor.samples[0].threads[name][1])
		}
		return busy, waited
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(8 * runtime.NumCPU()))
	busy, manyWaited := measure(8 * runtime.NumCPU())
	if busy.Waited < 0.5 || busy.Worst < 0.5 {
		t.Errorf("pressure of eight threads per processor is %+v, want at least 0.5 waited and worst", busy)
	}
	// The share of its time for which one thread waits depends on the machine's other load, but it cannot wait longer than it runs.
	// Therefore the times are compared, not the shares.
	if _, oneWaited := measure(1); oneWaited*4 >= manyWaited {
		t.Errorf("one thread waited %.0f ns, many threads %.0f ns; want less than a quarter", oneWaited, manyWaited)
	}
}

// TestPressureBetweenSamples checks that only the increase between two samples counts, including that of a new thread.
func TestPressureBetweenSamples(t *testing.T) {
	a := sample{threads: map[string][2]float64{"1": {100, 50}, "ended": {9, 9}}, busyTicks: 10, stolenTicks: 1}
	b := sample{threads: map[string][2]float64{"1": {150, 60}, "2": {30, 30}}, busyTicks: 40, stolenTicks: 11}
	if got := pressureBetween(a, b); got.Waited != 40.0/120 || got.Stolen != 10.0/40 {
		t.Errorf("pressure between two samples is %+v, want 40/120 waited and 10/40 stolen", got)
	}
	if got := pressureBetween(a, a); got != (Pressure{}) {
		t.Errorf("pressure between equal samples is %+v, want none", got)
	}
}
