package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/adapter"
	"beechgrade/internal/cluster/raftlog/counter"
	"beechgrade/internal/metrics/exposition"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/store"
)

const (
	lockRetryMs       = 200 // between attempts to open a store that this pooler's previous process still locks
	witnessIntervalMs = 20
	logIntervalMs     = 250 // between log lines about witness entries
)

// raftLog connects the replicated log to the cluster and to its store on disk. Its users add their state machines before it starts.
//
// Witness entries are numbered entries that a pooler proposes at a configured rate, to measure commit latency and to verify that every voter
// applies each entry once.
type raftLog struct {
	pooler    *pooler
	set       settings.RaftLog
	adapter   *adapter.Adapter
	users     *raftlog.MachineMux
	observers []func(a *raftlog.Action) // called for each action of the log
	store     *store.Store
	ended     chan struct{}
	opened    chan struct{}
	begun     bool

	mu      sync.Mutex
	pending []func() // completions of disk writes, to run on the loop

	counter      counter.Counter
	proposalsDue float64
	logAt        float64
	next         uint64 // number of the next witness entry
	waiting      []witnessProposal
	latencies    []float64 // of this process's witness entries, ms from the proposal to the commit
	process      string    // this process's name in its witness entries
}

// witnessProposal is a witness entry that is not known to be committed.
type witnessProposal struct {
	number                      uint64
	firstProposedAt, proposedAt float64
}

// openRaftLog opens the replicated log, where the settings enable it. The returned function closes it.
func (p *pooler) openRaftLog(set settings.RaftLog) (stop func()) {
	if !set.Enabled {
		return func() {}
	}
	l := &raftLog{pooler: p, set: set, users: &raftlog.MachineMux{}, ended: make(chan struct{}), opened: make(chan struct{})}
	l.process = fmt.Sprintf("%s/%x", p.cfg.Name, rand.Uint32())
	l.users.Add(raftlog.CounterEntries, &l.counter)
	s := set.Settings
	s.Self, s.Seed, s.Checks = p.cfg.Name, rand.Uint64(), p.checks
	l.adapter = adapter.New(p.peers, adapter.Options{Settings: s, Machine: l.users, Observe: l.observe})
	p.peers.Register(l.adapter)
	p.raftLog = l
	return func() {
		close(l.ended)
		if !l.begun { // the pooler could not listen
			return
		}
		<-l.opened
		if l.store != nil {
			_ = l.store.Close()
		}
	}
}

// begin opens a voter's store, off the loop: another process of this pooler may still hold its lock.
func (l *raftLog) begin() {
	l.begun = true
	if l.set.WitnessPerSecond > 0 {
		l.next = 1
		l.pooler.loop.Every("raft_witnesses", witnessIntervalMs, l.proposeWitnesses)
	}
	if !slices.Contains(l.set.Settings.Voters, l.pooler.cfg.Name) {
		close(l.opened)
		return
	}
	go func() {
		defer close(l.opened)
		for {
			s, rec, err := store.Open(store.Options{
				FS:             store.Dir(l.set.Dir),
				MaxBytes:       l.set.MaxBytes,
				SegmentBytes:   l.set.MaxBytes / 16,
				CompactionRate: l.set.CompactionBytesPerSecond,
				Post:           l.postInOrder,
			})
			if errors.Is(err, store.ErrLocked) {
				select {
				case <-l.ended:
					return
				case <-time.After(lockRetryMs * time.Millisecond):
					continue
				}
			}
			var records []raftlog.Record
			if err == nil {
				l.store = s
				s.Range("", "", func(key string, value []byte) bool {
					records = append(records, raftlog.Record{Key: key, Value: value})
					return true
				})
			}
			l.pooler.loop.Post(func() {
				if err == nil {
					l.pooler.noteRecovery("agreed", rec)
					l.pooler.recordRecovered()
				}
				l.adapter.Start(l, records, err)
			})
			return
		}
	}()
}

// postInOrder runs functions on the loop in the order of the calls, which the loop itself does not guarantee while its queue is full.
func (l *raftLog) postInOrder(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending = append(l.pending, do); len(l.pending) == 1 {
		l.pooler.loop.Post(l.runPending)
	}
}

func (l *raftLog) runPending() {
	l.mu.Lock()
	batch := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, do := range batch {
		do()
	}
}

// Append makes records durable.
func (l *raftLog) Append(records []raftlog.Record, done func(error)) {
	entries := make([]store.Entry, len(records))
	for i, r := range records {
		entries[i] = store.Entry{Key: r.Key, Value: r.Value, Deleted: r.Deleted}
	}
	l.store.Append(entries, done)
}

// observe logs changes of leadership and of voters, and passes all actions on to the observers.
func (l *raftLog) observe(a *raftlog.Action) {
	switch a.Kind {
	case raftlog.Apply:
		if l.set.WitnessPerSecond > 0 && a.Entry[0] == raftlog.CounterEntries {
			l.recordLatency(a.Entry[1:])
		}
	case raftlog.BecameLeader:
		l.pooler.log.Info("replicated log: this pooler became the leader", "term", a.Term)
	case raftlog.LeaderChanged:
		l.pooler.log.Info("replicated log: leader changed", "leader", a.Leader, "term", a.Term)
	case raftlog.VotersChanged:
		l.pooler.log.Warn("replicated log: a voter continues on another disk", "from_index", a.Index, "voters", fmt.Sprint(a.Members))
	case raftlog.Stopped:
		l.pooler.log.Error("replicated log: stopped; this pooler no longer votes", "reason", a.Text)
	}
	for _, f := range l.observers {
		f(a)
	}
}

// proposeWitnesses proposes witness entries at the configured rate, and repeats those that were not committed in time.
func (l *raftLog) proposeWitnesses() {
	now := l.pooler.loop.Now()
	const maxWaiting = counter.Window / 2
	remaining := l.waiting[:0]
	for _, w := range l.waiting {
		if l.counter.Has(l.process, w.number) {
			continue
		}
		if now >= w.proposedAt+l.set.Settings.ForwardTimeout() {
			w.proposedAt = now
			l.propose(w.number)
			if !l.adapter.Status().IsVoter { // a pooler that does not vote does not learn whether the entry was committed
				continue
			}
		}
		remaining = append(remaining, w)
	}
	l.waiting = remaining
	for l.proposalsDue += l.set.WitnessPerSecond * witnessIntervalMs / 1000; l.proposalsDue >= 1 && len(l.waiting) < maxWaiting; l.proposalsDue-- {
		l.waiting = append(l.waiting, witnessProposal{l.next, now, now})
		l.propose(l.next)
		l.next++
	}
	l.proposalsDue = min(l.proposalsDue, l.set.WitnessPerSecond)
	if now >= l.logAt {
		l.logAt = now + logIntervalMs
		s := l.adapter.Status()
		slices.Sort(l.latencies)
		p50, p99 := 0.0, 0.0
		if n := len(l.latencies); n > 0 {
			p50, p99 = l.latencies[n/2], l.latencies[n*99/100]
		}
		l.latencies = l.latencies[:0]
		l.pooler.log.Info("replicated log: witness entries",
			"taken", l.counter.Counted,
			"sum", l.counter.Checksum,
			"again", l.counter.Duplicates,
			"term", s.Term,
			"applied", s.AppliedIndex,
			"first", s.FirstIndex,
			"leads", s.IsLeader,
			"part", s.Participates,
			"tried", l.next-1,
			"unheard", len(l.waiting),
			"p50", p50,
			"p99", p99)
	}
}

// recordLatency records how long the commit took, where the entry is one of this process's.
func (l *raftLog) recordLatency(entry []byte) {
	name, number, _ := counter.DecodeEntry(entry)
	if i, ok := slices.BinarySearchFunc(l.waiting, number, func(w witnessProposal, n uint64) int { return cmp.Compare(w.number, n) }); ok && name == l.process {
		l.latencies = append(l.latencies, l.pooler.loop.Now()-l.waiting[i].firstProposedAt)
	}
}

func (l *raftLog) propose(number uint64) {
	l.adapter.Propose(number, append([]byte{raftlog.CounterEntries}, counter.EncodeEntry(l.process, number, 0)...))
}

// writeRaftLogMetrics writes the metrics of the replicated log, where it is on.
func (p *pooler) writeRaftLogMetrics(s *exposition.Snapshot) {
	if p.raftLog == nil {
		return
	}
	l, log := p.raftLog, s.Scope("agreed")
	now, n := l.adapter.Status(), l.adapter.Counts()
	log.BoolGauge("part", now.Participates)
	log.BoolGauge("leads", now.IsLeader)
	log.BoolGauge("broke", n.StopReason != "")
	log.BoolGauge("changes", now.ChangingVoters)
	log.IntGauge("term", int64(now.Term))
	log.IntGauge("last", int64(now.LastIndex))
	log.IntGauge("commit", int64(now.CommitIndex))
	log.IntGauge("applied", int64(now.AppliedIndex))
	log.IntGauge("first", int64(now.FirstIndex))
	log.IntGauge("bytes", int64(now.LogBytes))
	log.IntGauge("writing", int64(now.PendingWrites))
	log.IntGauge("forwarded", int64(now.PendingForwards))
	log.Counter("sent", n.Sent)
	log.Counter("sent_bytes", n.Bytes)
	log.Counter("streams", n.Streams)
	log.Counter("writes", n.Writes)
	log.Counter("dropped", n.Dropped)
	log.Counter("taken", l.counter.Counted)
	log.Counter("again", l.counter.Duplicates)
	log.Counter("sum", l.counter.Checksum)
	log.Counter("tried", max(1, l.next)-1)
	log.IntGauge("unheard", int64(len(l.waiting)))
}
