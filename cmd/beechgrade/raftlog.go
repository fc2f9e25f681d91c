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
	lockedMs  = 200 // between looks at whether this pooler's last process has let the disk go
	witnessMs = 20
	tellMs    = 250 // between lines of the log about the entries that try the voters
)

// raftLog is the log that the poolers have in common; its users add their Machines before the start.
type raftLog struct {
	p      *pooler
	set    settings.Agreed
	part   *adapter.Part
	users  *raftlog.Shared
	told   []func(a *raftlog.Action) // users who want to know what happens
	store  *store.Store
	ended  chan struct{}
	opened chan struct{}
	begun  bool

	mu  sync.Mutex
	box []func() // words of the disk, on their way to the loop

	tally   counter.Tally
	owed    float64
	tellAt  float64
	next    uint64 // number of the next entry that is proposed to try the voters
	waiting []tried
	waits   []float64 // of own entries, ms from the proposal until they were agreed
	name    string    // of this process, as its entries have it
}

type tried struct {
	number    uint64
	first, at float64
}

// useRaftLog joins the log in common, where the settings have it on; the function ends it.
func (p *pooler) useRaftLog(set settings.Agreed) (stop func()) {
	if !set.On {
		return func() {}
	}
	l := &raftLog{p: p, set: set, users: &raftlog.Shared{}, ended: make(chan struct{}), opened: make(chan struct{})}
	l.name = fmt.Sprintf("%s/%x", p.cfg.Name, rand.Uint32())
	l.users.Add(raftlog.OfTally, &l.tally)
	s := set.Settings
	s.Self, s.Drawn, s.Checks = p.cfg.Name, rand.Uint64(), p.checks
	l.part = adapter.New(p.peers, adapter.Options{Settings: s, Machine: l.users, Told: l.hear})
	p.peers.Join(l.part)
	p.agreed = l
	return func() {
		close(l.ended)
		if !l.begun { // the pooler's address could not be had
			return
		}
		<-l.opened
		if l.store != nil {
			_ = l.store.Close()
		}
	}
}

// begin opens a voter's disk, off the loop: another process of this pooler may have it still.
func (l *raftLog) begin() {
	l.begun = true
	if l.set.Witness > 0 {
		l.next = 1
		l.p.loop.At(l.p.loop.Now()+witnessMs, l.try)
	}
	if !slices.Contains(l.set.Settings.Voters, l.p.cfg.Name) {
		close(l.opened)
		return
	}
	go func() {
		defer close(l.opened)
		for {
			s, rec, err := store.Open(store.Options{FS: store.Dir(l.set.Dir), MaxBytes: l.set.MostBytes, SegmentBytes: l.set.MostBytes / 16, Pace: l.set.Pace, Post: l.mail})
			if errors.Is(err, store.ErrLocked) {
				select {
				case <-l.ended:
					return
				case <-time.After(lockedMs * time.Millisecond):
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
			l.p.loop.Post(func() {
				if err == nil {
					l.p.recover("agreed", rec)
					l.p.recordRecovered()
				}
				l.part.Begin(l, records, err)
			})
			return
		}
	}()
}

// mail has something done on the loop, in the order of the calls: what is posted to the loop while much waits there may be overtaken.
func (l *raftLog) mail(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.box = append(l.box, do); len(l.box) == 1 {
		l.p.loop.Post(l.unpack)
	}
}

func (l *raftLog) unpack() {
	l.mu.Lock()
	box := l.box
	l.box = nil
	l.mu.Unlock()
	for _, do := range box {
		do()
	}
}

// Append is joined.Disk's.
func (l *raftLog) Append(records []raftlog.Record, done func(error)) {
	entries := make([]store.Entry, len(records))
	for i, r := range records {
		entries[i] = store.Entry{Key: r.Key, Value: r.Value, Gone: r.Gone}
	}
	l.store.Append(entries, done)
}

// hear tells of what happens to the log.
func (l *raftLog) hear(a *raftlog.Action) {
	switch a.Kind {
	case raftlog.Apply:
		if l.set.Witness > 0 && a.Entry[0] == raftlog.OfTally {
			l.wait(a.Entry[1:])
		}
	case raftlog.Leads:
		l.p.log.Info("agreed: this pooler leads", "term", a.Term)
	case raftlog.Follows:
		l.p.log.Info("agreed: follows", "leader", a.Leader, "term", a.Term)
	case raftlog.Voters:
		l.p.log.Warn("agreed: a voter's place went to another disk", "from", a.Index, "voters", fmt.Sprint(a.Members))
	case raftlog.Broke:
		l.p.log.Error("agreed: this pooler votes no more", "why", a.Text)
	}
	for _, f := range l.told {
		f(a)
	}
}

// try proposes numbered entries at the settings' rate, and those again of which nothing was heard.
func (l *raftLog) try() {
	now := l.p.loop.Now()
	const mostTries = counter.Window / 2
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		if l.tally.Has(l.name, w.number) {
			continue
		}
		if now >= w.at+l.set.Settings.Patience() {
			w.at = now
			l.propose(w.number)
			if !l.part.Standing().Votes { // it hears nothing of what came of it: twice will do
				continue
			}
		}
		kept = append(kept, w)
	}
	l.waiting = kept
	for l.owed += l.set.Witness * witnessMs / 1000; l.owed >= 1 && len(l.waiting) < mostTries; l.owed-- {
		l.waiting = append(l.waiting, tried{l.next, now, now})
		l.propose(l.next)
		l.next++
	}
	l.owed = min(l.owed, l.set.Witness)
	if now >= l.tellAt {
		l.tellAt = now + tellMs
		s := l.part.Standing()
		slices.Sort(l.waits)
		half, most := 0.0, 0.0
		if n := len(l.waits); n > 0 {
			half, most = l.waits[n/2], l.waits[n*99/100]
		}
		l.waits = l.waits[:0]
		l.p.log.Info("agreed: tally", "taken", l.tally.Taken, "sum", l.tally.Sum, "again", l.tally.Again, "term", s.Term, "applied", s.Applied, "first", s.First, "leads", s.Leads,
			"part", s.Part, "tried", l.next-1, "unheard", len(l.waiting), "p50", half, "p99", most)
	}
	l.p.loop.At(now+witnessMs, l.try)
}

// wait takes how long one of this process's own entries took.
func (l *raftLog) wait(entry []byte) {
	name, number, _ := counter.Read(entry)
	if i, ok := slices.BinarySearchFunc(l.waiting, number, func(w tried, n uint64) int { return cmp.Compare(w.number, n) }); ok && name == l.name {
		l.waits = append(l.waits, l.p.loop.Now()-l.waiting[i].first)
	}
}

func (l *raftLog) propose(number uint64) {
	l.part.Propose(number, append([]byte{raftlog.OfTally}, counter.Entry(l.name, number, 0)...))
}

// tellAgreed tells the log's figures, where there is one.
func (p *pooler) tellAgreed(s *exposition.Sheet) {
	if p.agreed == nil {
		return
	}
	l, log := p.agreed, s.Part("agreed")
	now, n := l.part.Standing(), l.part.Counts()
	log.Flag("part", now.Part)
	log.Flag("leads", now.Leads)
	log.Flag("broke", n.Broke != "")
	log.Flag("changes", now.Changes)
	log.Whole("term", int64(now.Term))
	log.Whole("last", int64(now.Last))
	log.Whole("commit", int64(now.Commit))
	log.Whole("applied", int64(now.Applied))
	log.Whole("first", int64(now.First))
	log.Whole("bytes", int64(now.Bytes))
	log.Whole("writing", int64(now.Pending))
	log.Whole("forwarded", int64(now.Waiting))
	log.Count("sent", n.Sent)
	log.Count("sent_bytes", n.Bytes)
	log.Count("streams", n.Streams)
	log.Count("writes", n.Writes)
	log.Count("dropped", n.Dropped)
	log.Count("taken", l.tally.Taken)
	log.Count("again", l.tally.Again)
	log.Count("sum", l.tally.Sum)
	log.Count("tried", max(1, l.next)-1)
	log.Whole("unheard", int64(len(l.waiting)))
}
