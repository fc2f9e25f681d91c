package overload

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
)

// probers are processes that share probes, in steps of 1 ms; each word takes way to arrive.
type probers struct {
	now    float64
	all    []*ProbeSharing
	dead   map[int]bool
	mail   []mail
	sees   func(i int) bool // the server answers a probe of this process
	probes []int            // that each made
	took   float64
	ends   map[int][]ProbeAction
	began  map[int]float64
}

func newProbers(t invariant.T, n int) *probers {
	w := &probers{now: 1e6, dead: map[int]bool{}, sees: func(int) bool { return true }, probes: make([]int, n), took: 2, ends: map[int][]ProbeAction{}, began: map[int]float64{}}
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

func (w *probers) do(i int, acts []ProbeAction) {
	for _, a := range acts {
		switch {
		case a.Probe != "":
			w.probes[i]++
			w.began[i] = w.now
		case a.Request != nil:
			w.mail = append(w.mail, mail{w.now + 1, i, int(a.To) - 1, a.Request})
		case a.Response != nil:
			w.mail = append(w.mail, mail{w.now + 1, i, int(a.To) - 1, a.Response})
		case a.Report:
			w.ends[i] = append(w.ends[i], a)
		}
	}
}

func (w *probers) step() {
	w.now++
	for i, at := range w.began {
		took, f := w.took, Finding{Position: 5}
		if !w.sees(i) {
			took, f = 250, Finding{Result: Unhealthy, Kind: 4}
		}
		if w.now >= at+took && !w.dead[i] {
			delete(w.began, i)
			w.do(i, w.all[i].ProbeEnded(w.now, "s", f, nil))
		}
	}
	mails := w.mail
	w.mail = nil
	for _, m := range mails {
		if m.at > w.now {
			w.mail = append(w.mail, m)
		} else if !w.dead[m.to] && !w.dead[m.from] {
			w.do(m.to, w.all[m.to].Receive(w.now, ID(m.from+1), m.m, nil))
		}
	}
	for i, sharing := range w.all {
		if !w.dead[i] && (int(w.now)%50 == 0 || w.now >= sharing.Due()) {
			w.do(i, sharing.Tick(w.now, nil))
		}
	}
}

// TestProbesAreShared: 20 processes that need a probe every 10 ms have one each, the server gets no more of them than two probers may
// make, and no result is older than allowed.
func TestProbesAreShared(t *testing.T) {
	w := newProbers(t, 20)
	set := DefaultProbes()
	for ms := range 2000 {
		if ms%10 == 0 {
			for i, sharing := range w.all {
				w.do(i, sharing.RequestProbe(w.now, "s", nil))
			}
		}
		w.step()
	}
	total := 0
	for _, n := range w.probes {
		total += n
	}
	if most := set.MaxRate(20) * 2; float64(total) > most+4 || total < 50 {
		t.Errorf("%d probes; the bound is %g", total, most)
	}
	for i := range w.all {
		if len(w.ends[i]) < 30 {
			t.Errorf("process %d was told %d times", i, len(w.ends[i]))
		}
		for _, a := range w.ends[i] {
			if a.Age > set.MaxResultAge+2*set.MinInterval+10 || a.Result != Healthy {
				t.Fatalf("process %d was told %+v", i, a)
			}
		}
	}
}

// TestEndedProberIsReplaced: where a prober has ended, or is cut off from the server, each requester gets a correct result within the
// stated time.
func TestEndedProberIsReplaced(t *testing.T) {
	for _, dead := range []bool{true, false} {
		w := newProbers(t, 8)
		set := DefaultProbes()
		first := int(w.all[0].ProbersOf("s")[0]) - 1
		if dead {
			w.dead[first] = true
		} else {
			w.sees = func(i int) bool { return i != first }
		}
		for i, sharing := range w.all {
			if !w.dead[i] {
				w.do(i, sharing.RequestProbe(w.now, "s", nil))
			}
		}
		for range int(set.LatencyBound()) {
			w.step()
		}
		for i := range w.all {
			if ends := w.ends[i]; i != first && (len(ends) != 1 || ends[0].Result != Healthy) {
				t.Errorf("dead %v: process %d was told %+v", dead, i, ends)
			}
		}
	}
}

// TestIsolatedProberIsSkipped: a prober that does not reach a server costs a requester one long wait; after that the other prober is
// asked at once.
func TestIsolatedProberIsSkipped(t *testing.T) {
	w := newProbers(t, 8)
	first := int(w.all[0].ProbersOf("s")[0]) - 1
	w.sees = func(i int) bool { return i != first }
	who := 0
	for slices.Contains(w.all[0].ProbersOf("s"), ID(who+1)) {
		who++
	}
	waits := make([]float64, 6)
	for k := range waits {
		w.do(who, w.all[who].RequestProbe(w.now, "s", nil))
		for began := w.now; len(w.ends[who]) <= k && w.now < began+2000; w.step() {
			waits[k] = w.now - began
		}
		for range 100 {
			w.step()
		}
	}
	if waits[0] < 200 || slices.Max(waits[1:]) > 60 {
		t.Errorf("waited %v", waits)
	}
}

// TestEveryRequestEndsOnce: whichever process ends and whatever the server does, each request has one end within LatencyBound.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newProbers(t, rapid.IntRange(1, 6).Draw(t, "n"))
		blind := rapid.SliceOfN(rapid.Bool(), len(w.all), len(w.all)).Draw(t, "blind")
		w.sees = func(i int) bool { return !blind[i] }
		set := DefaultProbes()
		who := rapid.IntRange(0, len(w.all)-1).Draw(t, "who")
		for range 5 {
			if k := rapid.IntRange(0, len(w.all)-1).Draw(t, "dead"); k != who {
				w.dead[k] = rapid.Bool().Draw(t, "is")
			}
			had := len(w.ends[who])
			w.do(who, w.all[who].RequestProbe(w.now, "s", nil))
			for range int(set.LatencyBound()) {
				w.step()
			}
			if got := len(w.ends[who]) - had; got != 1 {
				t.Fatalf("a want had %d ends", got)
			}
		}
	})
}
