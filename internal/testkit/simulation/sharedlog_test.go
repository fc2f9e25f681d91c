package simulation

import (
	"slices"
	"strconv"
	"testing"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/adapter"
	"beechgrade/internal/cluster/raftlog/counter"
)

// tries is what came of entries that poolers proposed in virtual time.
type tries struct {
	t       *testing.T
	log     *SharedLog
	each    float64 // ms between two of a pooler's
	sums    map[uint64]uint64
	leaders map[uint64]int
	waits   []float64 // from the first proposal until a voter had taken it, of its own
	leadMs  []float64 // without a leader
	lost    float64   // since when nobody leads
	most    uint64
	parts   map[int]*adapter.Adapter
	tallies map[int]*counter.Counter
}

func (x *tries) join(h Host) []module.Module {
	m := &counter.Counter{}
	name, next, first := strconv.Itoa(h.No())+"/"+strconv.Itoa(int(h.Incarnation())), uint64(0), map[uint64]float64{}
	p := x.log.Join(h, m, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.Apply:
			if was, ok := x.sums[m.Counted]; ok && was != m.Checksum {
				x.t.Errorf("pooler %d has other %d entries", h.No(), m.Counted)
			}
			x.sums[m.Counted], x.most = m.Checksum, max(x.most, m.Counted)
			if by, number, ok := counter.DecodeEntry(a.Entry); ok && by == name && first[number] > 0 {
				x.waits = append(x.waits, h.Now()-first[number])
				delete(first, number)
			}
		case raftlog.BecameLeader:
			if was, ok := x.leaders[a.Term]; ok && was != h.No() {
				x.t.Errorf("%d and %d lead in term %d", was, h.No(), a.Term)
			}
			x.leaders[a.Term] = h.No()
			if x.lost > 0 {
				x.leadMs, x.lost = append(x.leadMs, h.Now()-x.lost), 0
			}
		case raftlog.Stopped:
			x.t.Errorf("pooler %d: %s", h.No(), a.Text)
		}
	})
	x.parts[h.No()], x.tallies[h.No()] = p, m
	type waiting struct {
		number    uint64
		at, again float64
	}
	var all []waiting
	var try func()
	try = func() {
		kept := all[:0]
		for _, w := range all {
			if m.Has(name, w.number) {
				continue
			}
			if h.Now() > w.again+x.log.Settings.ForwardTimeout() {
				w.again = h.Now()
				p.Propose(w.number, counter.EncodeEntry(name, w.number, 30))
			}
			if h.No() < x.log.Voters || w.again == w.at { // others hear nothing of it: twice will do
				kept = append(kept, w)
			}
		}
		all = kept
		next++
		all = append(all, waiting{next, h.Now(), h.Now()})
		first[next] = h.Now()
		p.Propose(next, counter.EncodeEntry(name, next, 30))
		h.At(h.Now()+x.each, try)
	}
	h.At(h.Now()+3000+float64(h.No()), try)
	return []module.Module{p}
}

// looks has one look whether another leads that is about to be killed.
func (x *tries) looks(h Host, whom, by int) {
	if h.No() == by && x.parts[whom].Status().IsLeader {
		x.lost = h.Now()
	}
}

func play5(t *testing.T, seed uint64, voters, poolers int, each float64, script string) (*tries, string) {
	x := &tries{t: t, log: &SharedLog{Settings: raftlog.Defaults(), Voters: voters, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}}, each: each,
		sums: map[uint64]uint64{}, leaders: map[uint64]int{}, parts: map[int]*adapter.Adapter{}, tallies: map[int]*counter.Counter{}}
	x.log.Settings.SnapshotEntries, x.log.Settings.KeepEntries = 1000, 100
	r := play(t, parse(t, `(rehearsal "agreed" (groups 3) (rate 20) (peers) (poolers `+strconv.Itoa(poolers)+`) `+script+`)`), Options{Seed: seed, Modules: []ModuleMaker{x.join}})
	least := x.most
	for i := range voters {
		least = min(least, x.tallies[i].Counted)
	}
	if least+200 < x.most {
		t.Errorf("in the end voters have taken %d to %d", least, x.most)
	}
	return x, r.Hash
}

// TestAgreed: 16 poolers, five of which vote, with each voter killed, stopped and cut off in its turn; all take the same entries, and the same
// seed is the same to the bit.
func TestAgreed(t *testing.T) {
	t.Parallel()
	script := `(seconds 60) (at 10s (kill-pooler 0) (for 2s)) (at 14s (kill-pooler 1) (for 2s)) (at 18s (kill-pooler 2) (for 2s)) (at 22s (stall-pooler 3) (for 5s)) (at 28s (stall-pooler 4) (for 5s))
		(at 34s (between (0 1) (2 3 4) cut) (for 5s)) (at 40s (between (2 3) (0 1 4) cut) (for 5s)) (at 46s (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 8s))`
	x, hash := play5(t, 1, 5, 16, 100, script)
	slices.Sort(x.waits)
	t.Logf("%d taken, %d terms, p50 %.1f p99 %.1f ms", x.most, len(x.leaders), x.waits[len(x.waits)/2], x.waits[len(x.waits)*99/100])
	if x.most < 5000 || len(x.leaders) < 2 {
		t.Errorf("%d entries taken, in %d terms", x.most, len(x.leaders))
	}
	if again, same := play5(t, 1, 5, 16, 100, script); same != hash || again.most != x.most {
		t.Error("the same seed, and other events")
	}
}

// TestSharedLogElectsALeader: a leader that is killed is followed by another within the bound, and where two stood at once, within twice that.
func TestSharedLogElectsALeader(t *testing.T) {
	t.Parallel()
	var all []float64
	bound := 0.0
	for seed := range uint64(4) {
		x := &tries{t: t, log: &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}}, each: 20,
			sums: map[uint64]uint64{}, leaders: map[uint64]int{}, parts: map[int]*adapter.Adapter{}, tallies: map[int]*counter.Counter{}}
		s := parse(t, `(rehearsal "agreed" (groups 3) (rate 5) (seconds 40) (peers) (poolers 3) (at 12s (kill-pooler 0) (for 4s)) (at 22s (kill-pooler 1) (for 4s)) (at 32s (kill-pooler 2) (for 4s)))`)
		bound = x.log.Settings.ElectionBound(s.NetworkDelay[1], 2)
		play(t, s, Options{Seed: seed, Modules: []ModuleMaker{func(h Host) []module.Module {
			if h.Incarnation() == 0 && h.No() < 3 { // looks at the next one just before that is killed
				h.At(h.Now()+11999, func() { x.looks(h, 0, 1) })
				h.At(h.Now()+21999, func() { x.looks(h, 1, 2) })
				h.At(h.Now()+31999, func() { x.looks(h, 2, 0) })
			}
			return x.join(h)
		}}})
		for _, ms := range x.leadMs {
			if all = append(all, ms); ms > 2*bound {
				t.Errorf("seed %d: without a leader for %.0f ms, of %.0f", seed, ms, bound)
			}
		}
	}
	slices.Sort(all)
	t.Logf("without a leader for %.0f ms; the bound is %.0f", all, bound)
	if len(all) == 0 {
		t.Error("no leader was killed")
	}
}
