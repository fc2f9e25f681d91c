// Package cpupressure measures how much processor time this process lacks while it runs scenarios in real time.
package cpupressure

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Pressure is the share of missing processor time. All are 0 if the system does not report it.
type Pressure struct {
	Waited float64 `json:"waited"` // share of waiting in the time that this process's threads ran or waited for a processor
	Stolen float64 `json:"stolen"` // share of the processors' busy time stolen by the hypervisor
	Worst  float64 `json:"worst"`  // highest sum of the two in a second
}

const sampleInterval = time.Second

// Monitor samples the pressure until Stop.
type Monitor struct {
	stop    chan struct{}
	done    sync.WaitGroup
	samples []sample
}

// Start starts a monitor.
func Start() *Monitor {
	m := &Monitor{stop: make(chan struct{}), samples: []sample{takeSample()}}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-m.stop:
				return
			case <-tick.C:
				m.samples = append(m.samples, takeSample())
			}
		}
	}()
	return m
}

// Stop stops the monitor and returns the pressure since Start.
func (m *Monitor) Stop() Pressure {
	close(m.stop)
	m.done.Wait()
	m.samples = append(m.samples, takeSample())
	pressure := pressureBetween(m.samples[0], m.samples[len(m.samples)-1])
	for i := 1; i < len(m.samples); i++ {
		x := pressureBetween(m.samples[i-1], m.samples[i])
		pressure.Worst = max(pressure.Worst, x.Waited+x.Stolen)
	}
	return pressure
}

// sample holds the system's counters at one time.
type sample struct {
	threads                map[string][2]float64 // running and waiting time of each thread, ns
	busyTicks, stolenTicks float64               // ticks of all processors
}

func pressureBetween(a, b sample) Pressure {
	var ran, waited float64
	for name, x := range b.threads {
		was := a.threads[name] // zero for a new thread; ended threads are not counted
		ran, waited = ran+max(0, x[0]-was[0]), waited+max(0, x[1]-was[1])
	}
	busy, stolen := b.busyTicks-a.busyTicks, b.stolenTicks-a.stolenTicks
	return Pressure{Waited: share(waited, ran), Stolen: share(stolen, busy)}
}

// share returns value's share of the sum of both.
func share(value, other float64) float64 {
	if value <= 0 {
		return 0
	}
	return value / (value + other)
}

func takeSample() sample {
	s := sample{threads: map[string][2]float64{}}
	tasks, _ := filepath.Glob("/proc/self/task/*/schedstat")
	for _, name := range tasks {
		if x := numbers(name, "", 2); x != nil {
			s.threads[name] = [2]float64{x[0], x[1]}
		}
	}
	if x := numbers("/proc/stat", "cpu", 8); x != nil { // user, nice, system, idle, iowait, irq, softirq, steal
		s.busyTicks, s.stolenTicks = x[0]+x[1]+x[2]+x[5]+x[6], x[7]
	}
	return s
}

// numbers returns the first n numbers of a file's first line, after the prefix word; nil if it has fewer.
func numbers(name, word string, n int) []float64 {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil
	}
	line, _, _ := strings.Cut(string(b), "\n")
	fields := strings.Fields(strings.TrimPrefix(line, word))
	if len(fields) < n {
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		if out[i], err = strconv.ParseFloat(fields[i], 64); err != nil {
			return nil
		}
	}
	return out
}
