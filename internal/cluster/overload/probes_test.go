package overload

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
)

// probers simulates processes that share probes of one server, in steps of 1 ms. A message takes 1 ms to arrive.
type probers struct {
	now       float64
	all       []*ProbeSharing
	stopped   map[int]bool          // processes that have ended
	messages  []message             // in transit
	reaches   func(i int) bool      // the server answers a probe of this process
	probes    []int                 // number of probes that each process made
	probeTime float64               // of an answered probe, in ms
	results   map[int][]ProbeAction // reported, by process
	startedAt map[int]float64       // of the probe in progress, by process
}

func newProbers(t invariant.T, n int) *probers {
	w := &probers{now: 1e6, stopped: map[int]bool{}, reaches: func(int) bool { return true }, probes: make([]int, n), probeTime: 2, results: map[int][]ProbeAction{}, startedAt: map[int]float64{}}
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{ID(i + 1), fmt.Sprint(i)})
	}
	for i := range n {
		sharing := NewProbes(DefaultProbes(), ID(i+1), w.now)
		sharing.UpdateMembers(ID(i+1), peers)
		sharing.CheckInvariants(invariant.Test(t), 1)
		w.all = append(w.all, sharing)
	}
	return w
}

func (w *probers) perform(i int, actions []ProbeAction) {
	for _, a := range actions {
		switch {
		case a.Probe != "":
			w.probes[i]++
			w.startedAt[i] = w.now
		case a.Request != nil:
			w.messages = append(w.messages, message{w.now + 1, i, int(a.To) - 1, a.Request})
		case a.Response != nil:
			w.messages = append(w.messages, message{w.now + 1, i, int(a.To) - 1, a.Response})
		case a.Report:
			w.results[i] = append(w.results[i], a)
		}
	}
}

func (w *probers) step() {
	w.now++
	for i, at := range w.startedAt {
		duration, finding := w.probeTime, Finding{Position: 5}
		if !w.reaches(i) {
			duration, finding = 250, Finding{Result: Unhealthy, Kind: 4}
		}
		if w.now >= at+duration && !w.stopped[i] {
			delete(w.startedAt, i)
			w.perform(i, w.all[i].ProbeEnded(w.now, "s", finding, nil))
		}
	}
	messages := w.messages
	w.messages = nil
	for _, m := range messages {
		if m.at > w.now {
			w.messages = append(w.messages, m)
		} else if !w.stopped[m.to] && !w.stopped[m.from] {
			w.perform(m.to, w.all[m.to].Receive(w.now, ID(m.from+1), m.content, nil))
		}
	}
	for i, sharing := range w.all {
		if !w.stopped[i] && (int(w.now)%50 == 0 || w.now >= sharing.Due()) {
			w.perform(i, sharing.Tick(w.now, nil))
		}
	}
}

// TestProbesAreShared: 20 processes request a probe every 10 ms. Each gets results that are no older than allowed, and the server gets no
// more probes than two probers may make.
func TestProbesAreShared(t *testing.T) {
	w := newProbers(t, 20)
	settings := DefaultProbes()
	for ms := range 2000 {
		if ms%10 == 0 {
			for i, sharing := range w.all {
				w.perform(i, sharing.RequestProbe(w.now, "s", nil))
			}
		}
		w.step()
	}
	total := 0
	for _, n := range w.probes {
		total += n
	}
	if limit := settings.MaxRate(20) * 2; float64(total) > limit+4 || total < 50 {
		t.Errorf("%d probes in 2 s, want at least 50 and at most %g", total, limit+4)
	}
	for i := range w.all {
		if len(w.results[i]) < 30 {
			t.Errorf("process %d got %d results, want at least 30", i, len(w.results[i]))
		}
		for _, a := range w.results[i] {
			if a.Age > settings.MaxResultAge+2*settings.MinInterval+10 || a.Result != Healthy {
				t.Fatalf("process %d got %+v, want a recent healthy result", i, a)
			}
		}
	}
}

// TestEndedProberIsReplaced: if the first prober has ended, or cannot reach the server, each other process gets one healthy result within
// LatencyBound.
func TestEndedProberIsReplaced(t *testing.T) {
	for _, ended := range []bool{true, false} {
		w := newProbers(t, 8)
		settings := DefaultProbes()
		first := int(w.all[0].ProbersOf("s")[0]) - 1
		if ended {
			w.stopped[first] = true
		} else {
			w.reaches = func(i int) bool { return i != first }
		}
		for i, sharing := range w.all {
			if !w.stopped[i] {
				w.perform(i, sharing.RequestProbe(w.now, "s", nil))
			}
		}
		for range int(settings.LatencyBound()) {
			w.step()
		}
		for i := range w.all {
			if results := w.results[i]; i != first && (len(results) != 1 || results[0].Result != Healthy) {
				t.Errorf("first prober ended %v: process %d got %+v, want one healthy result", ended, i, results)
			}
		}
	}
}

// TestIsolatedProberIsSkipped: a prober that cannot reach a server delays only the first request of a requester; after that the requester
// asks the other prober at once.
func TestIsolatedProberIsSkipped(t *testing.T) {
	w := newProbers(t, 8)
	first := int(w.all[0].ProbersOf("s")[0]) - 1
	w.reaches = func(i int) bool { return i != first }
	process := 0
	for slices.Contains(w.all[0].ProbersOf("s"), ID(process+1)) {
		process++
	}
	waits := make([]float64, 6)
	for k := range waits {
		w.perform(process, w.all[process].RequestProbe(w.now, "s", nil))
		for start := w.now; len(w.results[process]) <= k && w.now < start+2000; w.step() {
			waits[k] = w.now - start
		}
		for range 100 {
			w.step()
		}
	}
	if waits[0] < 200 || slices.Max(waits[1:]) > 60 {
		t.Errorf("the requests took %v ms, want at least 200 for the first and at most 60 for the others", waits)
	}
}

// TestEveryRequestEndsOnce: whichever other processes end and whichever cannot reach the server, each request has one result within
// LatencyBound.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newProbers(t, rapid.IntRange(1, 6).Draw(t, "n"))
		cutOff := rapid.SliceOfN(rapid.Bool(), len(w.all), len(w.all)).Draw(t, "cut off")
		w.reaches = func(i int) bool { return !cutOff[i] }
		settings := DefaultProbes()
		process := rapid.IntRange(0, len(w.all)-1).Draw(t, "process")
		for range 5 {
			if k := rapid.IntRange(0, len(w.all)-1).Draw(t, "other"); k != process {
				w.stopped[k] = rapid.Bool().Draw(t, "stopped")
			}
			before := len(w.results[process])
			w.perform(process, w.all[process].RequestProbe(w.now, "s", nil))
			for range int(settings.LatencyBound()) {
				w.step()
			}
			if got := len(w.results[process]) - before; got != 1 {
				t.Fatalf("request of process %d: got %d results within LatencyBound, want 1", process, got)
			}
		}
	})
}
