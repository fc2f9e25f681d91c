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

// proposalRun has poolers propose entries of a counter at an interval, in virtual time, and records what becomes of them.
type proposalRun struct {
	t            *testing.T
	log          *SharedLog
	intervalMs   float64           // between two entries of a pooler
	checksums    map[uint64]uint64 // by number of counted entries
	leaders      map[uint64]int    // by term
	commitMs     []float64         // from the first proposal of an entry until its proposer applied it
	leaderlessMs []float64         // durations without a leader after a kill
	leaderLostAt float64           // when the leader was killed; 0 while there is one
	maxCounted   uint64
	adapters     map[int]*adapter.Adapter
	counters     map[int]*counter.Counter
}

func (run *proposalRun) join(h Host) []module.Module {
	m := &counter.Counter{}
	name, next, firstProposedAt := strconv.Itoa(h.No())+"/"+strconv.Itoa(int(h.Incarnation())), uint64(0), map[uint64]float64{}
	p := run.log.Join(h, m, func(a *raftlog.Action) {
		switch a.Kind {
		case raftlog.Apply:
			if previous, ok := run.checksums[m.Counted]; ok && previous != m.Checksum {
				run.t.Errorf("pooler %d: checksum of %d entries is %x, want %x as at other poolers", h.No(), m.Counted, m.Checksum, previous)
			}
			run.checksums[m.Counted], run.maxCounted = m.Checksum, max(run.maxCounted, m.Counted)
			if by, number, ok := counter.DecodeEntry(a.Entry); ok && by == name && firstProposedAt[number] > 0 {
				run.commitMs = append(run.commitMs, h.Now()-firstProposedAt[number])
				delete(firstProposedAt, number)
			}
		case raftlog.BecameLeader:
			if previous, ok := run.leaders[a.Term]; ok && previous != h.No() {
				run.t.Errorf("poolers %d and %d both lead in term %d; want one leader", previous, h.No(), a.Term)
			}
			run.leaders[a.Term] = h.No()
			if run.leaderLostAt > 0 {
				run.leaderlessMs, run.leaderLostAt = append(run.leaderlessMs, h.Now()-run.leaderLostAt), 0
			}
		case raftlog.Stopped:
			run.t.Errorf("pooler %d: the log stopped: %s", h.No(), a.Text)
		}
	})
	run.adapters[h.No()], run.counters[h.No()] = p, m
	type pendingEntry struct {
		number                     uint64
		proposedAt, lastProposedAt float64
	}
	var pending []pendingEntry
	var propose func()
	propose = func() {
		kept := pending[:0]
		for _, entry := range pending {
			if m.Has(name, entry.number) {
				continue
			}
			if h.Now() > entry.lastProposedAt+run.log.Settings.ForwardTimeout() {
				entry.lastProposedAt = h.Now()
				p.Propose(entry.number, counter.EncodeEntry(name, entry.number, 30))
			}
			if h.No() < run.log.Voters || entry.lastProposedAt == entry.proposedAt { // poolers that are not voters apply no entries, so they propose each entry at most twice
				kept = append(kept, entry)
			}
		}
		pending = kept
		next++
		pending = append(pending, pendingEntry{next, h.Now(), h.Now()})
		firstProposedAt[next] = h.Now()
		p.Propose(next, counter.EncodeEntry(name, next, 30))
		h.At(h.Now()+run.intervalMs, propose)
	}
	h.At(h.Now()+3000+float64(h.No()), propose)
	return []module.Module{p}
}

// recordKill records the time if a pooler that is about to be killed is the leader. Only the given observer does so.
func (run *proposalRun) recordKill(h Host, pooler, observer int) {
	if h.No() == observer && run.adapters[pooler].Status().IsLeader {
		run.leaderLostAt = h.Now()
	}
}

// runProposals runs a scenario with entries proposed to the shared log, and checks that all voters have applied nearly the same number at the
// end. It returns the hash of the run too.
func runProposals(t *testing.T, seed uint64, voters, poolers int, intervalMs float64, script string) (*proposalRun, string) {
	run := &proposalRun{t: t, log: &SharedLog{Settings: raftlog.Defaults(), Voters: voters, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}}, intervalMs: intervalMs,
		checksums: map[uint64]uint64{}, leaders: map[uint64]int{}, adapters: map[int]*adapter.Adapter{}, counters: map[int]*counter.Counter{}}
	run.log.Settings.SnapshotEntries, run.log.Settings.KeepEntries = 1000, 100
	r := runScenario(t, parse(t, `(rehearsal "agreed" (groups 3) (rate 20) (peers) (poolers `+strconv.Itoa(poolers)+`) `+script+`)`), Options{Seed: seed, Modules: []ModuleMaker{run.join}})
	least := run.maxCounted
	for i := range voters {
		least = min(least, run.counters[i].Counted)
	}
	if least+200 < run.maxCounted {
		t.Errorf("voters counted %d to %d entries at the end; want at most 200 apart", least, run.maxCounted)
	}
	return run, r.Hash
}

// TestSharedLogUnderFaults: 16 poolers, five of them voters, each of which is killed, paused or cut off in turn. All apply the same entries,
// and two runs with the same seed are identical.
func TestSharedLogUnderFaults(t *testing.T) {
	t.Parallel()
	script := `(seconds 60) (at 10s (kill-pooler 0) (for 2s)) (at 14s (kill-pooler 1) (for 2s)) (at 18s (kill-pooler 2) (for 2s)) (at 22s (stall-pooler 3) (for 5s)) (at 28s (stall-pooler 4) (for 5s))
		(at 34s (between (0 1) (2 3 4) cut) (for 5s)) (at 40s (between (2 3) (0 1 4) cut) (for 5s)) (at 46s (between all all (lose 0.3) (duplicate 0.2) (reorder 0.3)) (for 8s))`
	run, hash := runProposals(t, 1, 5, 16, 100, script)
	slices.Sort(run.commitMs)
	t.Logf("%d entries, %d terms, p50 %.1f p99 %.1f ms", run.maxCounted, len(run.leaders), run.commitMs[len(run.commitMs)/2], run.commitMs[len(run.commitMs)*99/100])
	if run.maxCounted < 5000 || len(run.leaders) < 2 {
		t.Errorf("%d entries applied, leaders in %d terms; want at least 5000 and 2", run.maxCounted, len(run.leaders))
	}
	if again, same := runProposals(t, 1, 5, 16, 100, script); same != hash || again.maxCounted != run.maxCounted {
		t.Errorf("two runs with the same seed: hashes %s and %s, %d and %d entries; want equal ones", hash, same, run.maxCounted, again.maxCounted)
	}
}

// TestSharedLogElectsALeader: after the leader is killed, another is elected within the bound, or within twice the bound after a split vote.
func TestSharedLogElectsALeader(t *testing.T) {
	t.Parallel()
	var all []float64
	bound := 0.0
	for seed := range uint64(4) {
		run := &proposalRun{t: t, log: &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}}, intervalMs: 20,
			checksums: map[uint64]uint64{}, leaders: map[uint64]int{}, adapters: map[int]*adapter.Adapter{}, counters: map[int]*counter.Counter{}}
		s := parse(t, `(rehearsal "agreed" (groups 3) (rate 5) (seconds 40) (peers) (poolers 3) (at 12s (kill-pooler 0) (for 4s)) (at 22s (kill-pooler 1) (for 4s)) (at 32s (kill-pooler 2) (for 4s)))`)
		bound = run.log.Settings.ElectionBound(s.NetworkDelay[1], 2)
		runScenario(t, s, Options{Seed: seed, Modules: []ModuleMaker{func(h Host) []module.Module {
			if h.Incarnation() == 0 && h.No() < 3 { // observes another pooler just before that one is killed
				h.At(h.Now()+11999, func() { run.recordKill(h, 0, 1) })
				h.At(h.Now()+21999, func() { run.recordKill(h, 1, 2) })
				h.At(h.Now()+31999, func() { run.recordKill(h, 2, 0) })
			}
			return run.join(h)
		}}})
		for _, ms := range run.leaderlessMs {
			if all = append(all, ms); ms > 2*bound {
				t.Errorf("seed %d: without a leader for %.0f ms; want at most twice the bound of %.0f ms", seed, ms, bound)
			}
		}
	}
	slices.Sort(all)
	t.Logf("without a leader for %.0f ms; the bound is %.0f ms", all, bound)
	if len(all) == 0 {
		t.Error("no leader was killed and replaced; want at least one")
	}
}
