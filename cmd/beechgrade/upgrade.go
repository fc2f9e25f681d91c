package main

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle/handover"

	"golang.org/x/sys/unix"
)

const (
	tellEvery = 500 * time.Millisecond
	besides   = 16 // descriptors of a process that nobody counts
)

// list keeps the platform's list as a whole.
type list struct {
	gen     int64
	anew    int  // so often discovery has begun its generations anew, as far as the processes on this socket know
	heard   bool // from discovery, by this process or another: a configuration's list may be of any age
	entries map[string]discovery.Instance
}

// take brings the list up to date.
func (l *list) take(n *discovery.List) {
	if n.Reset || l.entries == nil {
		l.entries = map[string]discovery.Instance{}
	}
	for _, e := range n.Instances {
		if e.Lifecycle == "removed" {
			delete(l.entries, e.ID)
		} else {
			l.entries[e.ID] = e
		}
	}
	l.gen = n.Generation
}

// hear takes a list from discovery.
func (l *list) hear(n *discovery.List) {
	if n.Anew && l.heard && n.Generation < l.gen {
		l.anew++
	}
	l.heard = true
	l.take(n)
}

// newer tells whether another process's list is newer: discovery has begun anew more often, or its generation is higher.
func (l *list) newer(s *handover.State) bool {
	return s.Anew > l.anew || s.Anew == l.anew && s.List.Generation > l.gen
}

// adopt takes another process's list. What drains in the one that is held goes on draining until discovery itself says otherwise: the
// other process may not have been told of it.
func (l *list) adopt(s *handover.State) {
	n := s.List
	n.Instances = slices.Clone(n.Instances)
	for i := range n.Instances {
		if e := &n.Instances[i]; l.entries[e.ID].Lifecycle == "draining" && e.Lifecycle == "up" {
			e.Lifecycle = "draining"
		}
	}
	l.take(&n)
	l.anew, l.heard = s.Anew, true
}

// whole is all of it.
func (l *list) whole() discovery.List {
	out := discovery.List{Generation: l.gen, Reset: true}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		out.Instances = append(out.Instances, l.entries[id])
	}
	return out
}

// inheritKnown has the process begin with what another one on the same socket knows; dir is where that is told.
func (p *pooler) inheritKnown(dir string) {
	if p.given == nil || dir == "" {
		return
	}
	p.folder = handover.On(p.machine, dir)
	others, err := p.folder.Others(handover.KnownMs)
	if err != nil {
		p.log.Warn("what another process handed over is not used", "err", err)
	}
	if len(others) == 0 {
		return
	}
	p.before = others[0]
	if then := p.before.ClockMs; then > 0 { // its clock and this one's may have started on either side of a step of the wall clock
		p.before.Memory.Shift(clock.Span(p.loop.Now() - p.before.AgeMs - then))
	}
	if l := &p.before.List; p.sources == nil && p.before.From == p.cfg.Discovery && l.Generation > p.cfg.Known.Generation {
		p.cfg.Known = *l
		p.list.anew, p.list.heard = p.before.Anew, true
	}
	p.count(others)
}

// recall gives the module what another process knew. Its classes and kinds have to be the same ones.
func (p *pooler) recall() {
	if b := p.before; b != nil {
		if !slices.Equal(b.Classes, p.cfg.Classes) {
			b.Memory.Work = nil
		}
		if !slices.Equal(b.Kinds, p.cfg.Kinds) {
			b.Memory.Rates = nil
		}
		p.core.Recall(b.Memory)
		p.log.Info("goes on from another process", "generation", b.List.Generation, "servers", len(b.Memory.Servers))
		p.before = nil
	}
	p.share()
}

// count notes how many processes there are on the socket, and what the others hold.
func (p *pooler) count(others []*handover.State) {
	p.others, p.othersHold = 0, 0
	for _, s := range others {
		if s.AgeMs <= handover.FreshMs {
			p.others++
			p.othersHold += s.Held
		}
	}
}

// share shares limits out among the processes on the socket.
func (p *pooler) share() {
	if p.core.SetProcesses(1 + p.others) {
		p.log.Info("processes on the socket", "others", p.others, "they_hold", p.othersHold)
		limitMemory(p.cfg, 1+p.others)
	}
}

// sockets is how many descriptors this process may hold, of those that the machine has. The system's limit holds for each process alone.
func (p *pooler) sockets() int {
	if p.others == 0 {
		return min(p.systemLimit, p.cfg.Limits.Sockets)
	}
	return min(p.systemLimit, max(2*reserved, p.cfg.Limits.Sockets-p.othersHold))
}

// systemLimit is how many descriptors the system lets this process have. Beyond it nothing can be accepted or dialled.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// memory is how many bytes this process may take.
func (p *pooler) memory() int { return p.cfg.Limits.MemoryMB << 20 / (1 + p.others) }

// state is what this process tells the others.
func (p *pooler) state() *handover.State {
	held := besides + p.front.Sessions() + p.pool.Conns() + p.heldBeside()
	if p.door != nil {
		held += p.door.Callers()
	}
	known := discovery.List{Reset: true}
	if p.list.heard {
		known = p.list.whole()
	}
	return &handover.State{SavedMs: p.machine.Wall(), Saved: p.machine.Moment(), ClockMs: p.loop.Now(), Held: held, Ends: !p.life.Serves(), From: p.cfg.Discovery, List: known, Anew: p.list.anew,
		Classes: slices.Clone(p.cfg.Classes), Kinds: slices.Clone(p.cfg.Kinds), Memory: p.core.Memory()}
}

// stateFolder is where the processes on a socket report to each other.
type stateFolder interface {
	Write(s *handover.State) error
	Others(ms float64) ([]*handover.State, error)
	Remove()
}

// tell tells the others what there is here and hears them, until the function is called. Reading does not wait for writing: where others
// keep the disk busy, a write may take seconds.
func (p *pooler) tell() (stop func()) {
	if p.folder == nil {
		return func() {}
	}
	quit := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		p.report(quit)
		p.folder.Remove()
	})
	done.Go(func() { p.observe(quit) })
	return func() { close(quit); done.Wait() }
}

// report writes this process's state each tellEvery.
func (p *pooler) report(quit <-chan struct{}) {
	last := ""
	each(quit, func() {
		states := make(chan *handover.State, 1)
		p.loop.Post(func() { states <- p.state() })
		select {
		case s := <-states:
			if err := p.folder.Write(s); err != nil && err.Error() != last {
				last = err.Error()
				p.log.Warn("what the next process needs is not told", "err", err)
			}
		case <-quit:
		}
	})
}

// observe reads the others' states each tellEvery.
func (p *pooler) observe(quit <-chan struct{}) {
	last := ""
	each(quit, func() {
		others, err := p.folder.Others(handover.KnownMs)
		if err != nil && err.Error() != last {
			last = err.Error()
			p.log.Warn("what another process tells is not used", "err", err)
		}
		p.loop.Post(func() { p.heed(others) })
	})
}

// each calls do, and again tellEvery after it returned, until quit is closed.
func each(quit <-chan struct{}, do func()) {
	for {
		do()
		select {
		case <-time.After(tellEvery):
		case <-quit:
			return
		}
	}
}

// heed takes what others tell. A list is news by its generation, also where its process took too long to write it to count as one that runs.
func (p *pooler) heed(others []*handover.State) {
	p.count(others)
	p.share()
	if p.sources != nil {
		return
	}
	for _, s := range others {
		if s.From == p.cfg.Discovery && p.list.newer(s) {
			p.adopt(s)
		}
	}
}

// adopt takes another process's list, which is newer, and has discovery asked for its own.
func (p *pooler) adopt(s *handover.State) {
	p.log.Info("another process has heard more", "generation", s.List.Generation, "own", p.list.gen)
	anew := s.Anew > p.list.anew
	p.list.adopt(s)
	p.dir.Adopt(p.list.gen, anew)
	whole := p.list.whole()
	p.core.Listed(&whole)
}
