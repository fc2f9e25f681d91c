package main

import (
	"maps"
	"slices"
	"sync"
	"time"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle/handover"
	"beechgrade/internal/lifecycle/sharedids"
)

const (
	writeInterval        = 500 * time.Millisecond // between writes of the state for the other processes
	readInterval         = 100 * time.Millisecond // between reads of theirs: limits are divided anew when a process comes or ends
	exchangeMs           = 100                    // the interval of these jobs: a tenth of what they may wait for their cost
	exchangeJobs         = 2                      // of them
	uncountedDescriptors = 16                     // of a process, in addition to those of its clients and server connections
)

// serverList is the complete list of servers from the platform's discovery, by ID.
type serverList struct {
	generation int64
	restarts   int  // how often discovery's generations restarted, as far as the processes on this socket know
	received   bool // a list came from discovery, to this process or another; a list from the configuration may be of any age
	entries    map[string]discovery.Instance
}

// apply applies an update to the list, or replaces it where the update is a complete list.
func (l *serverList) apply(n *discovery.List) {
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
	l.generation = n.Generation
}

// receive applies a list from discovery.
func (l *serverList) receive(n *discovery.List) {
	if n.Restarted && l.received && n.Generation < l.generation {
		l.restarts++
	}
	l.received = true
	l.apply(n)
}

// newer reports whether another process's list is newer: it has seen more restarts of the generations, or its generation is higher.
func (l *serverList) newer(s *handover.State) bool {
	return s.ListRestarts > l.restarts || s.ListRestarts == l.restarts && s.List.Generation > l.generation
}

// adopt applies another process's list. Servers that are draining in this list stay draining until discovery itself reports otherwise, as the other
// process may not have been notified of the drain.
func (l *serverList) adopt(s *handover.State) {
	n := s.List
	n.Instances = slices.Clone(n.Instances)
	for i := range n.Instances {
		if e := &n.Instances[i]; l.entries[e.ID].Lifecycle == "draining" && e.Lifecycle == "up" {
			e.Lifecycle = "draining"
		}
	}
	l.apply(&n)
	l.restarts, l.received = s.ListRestarts, true
}

// complete returns the complete list.
func (l *serverList) complete() discovery.List {
	out := discovery.List{Generation: l.generation, Reset: true}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		out.Instances = append(out.Instances, l.entries[id])
	}
	return out
}

// inheritState reads the state of another process on the same socket, to start with. The processes exchange their states in dir.
func (p *pooler) inheritState(dir string) {
	if p.inheritedListener == nil || dir == "" {
		return
	}
	p.folder = handover.OpenDirectoryOn(p.machine, dir)
	p.shareIDs(dir)
	others, err := p.folder.Others(handover.UsefulMs)
	if err != nil {
		p.log.Warn("upgrade: the state of another process cannot be read and is not used", "err", err)
	}
	if len(others) == 0 {
		return
	}
	p.previousState = others[0]
	if clockMs := p.previousState.ClockMs; clockMs > 0 { // the wall clock may have stepped between the starts of the two clocks
		p.previousState.Snapshot.Shift(clock.ToDuration(p.loop.Now() - p.previousState.AgeMs - clockMs))
	}
	if p.sources == nil && p.previousListIsNewer() {
		p.cfg.InitialList = p.previousState.List
		p.list.restarts, p.list.received = p.previousState.ListRestarts, true
	}
	p.countProcesses(others)
}

// shareIDs lets the processes on the socket know which requests the others have sent that must not run twice.
func (p *pooler) shareIDs(dir string) {
	ids, err := sharedids.Open(dir)
	if err != nil {
		p.log.Warn("upgrade: a write that one process has sent may run again at another: ids cannot be shared", "err", err)
		return
	}
	p.sharedIDs = ids
	p.core.SetSharedIDs(ids)
}

// previousListIsNewer reports whether the other process's list is from the same discovery address, and newer than the configuration's.
func (p *pooler) previousListIsNewer() bool {
	state := p.previousState
	return state.ListSource == p.cfg.DiscoveryAddress && state.List.Generation > p.cfg.InitialList.Generation
}

// applyPreviousState passes another process's state on to the decision module, except for values that depend on different classes or machine types.
func (p *pooler) applyPreviousState() {
	if state := p.previousState; state != nil {
		if !slices.Equal(state.Classes, p.cfg.Classes) {
			state.Snapshot.ClassWork = nil
		}
		if !slices.Equal(state.Kinds, p.cfg.MachineTypes) {
			state.Snapshot.KindRates = nil
		}
		p.core.MergeSnapshot(state.Snapshot)
		p.log.Info("upgrade: continuing with the state of another process", "generation", state.List.Generation, "servers", len(state.Snapshot.Servers))
		p.previousState = nil
	}
	p.updateProcesses()
}

// countProcesses counts the other processes on the socket, those that accept connections, and their descriptors.
func (p *pooler) countProcesses(others []*handover.State) {
	p.otherProcesses, p.othersAccepting, p.othersDescriptors = 0, 0, 0
	for _, s := range others {
		if s.AgeMs > handover.LiveMs {
			continue
		}
		p.otherProcesses++
		p.othersDescriptors += s.Descriptors
		if !s.Ending {
			p.othersAccepting++
		}
	}
}

// acceptIfNobodyDoes marks the process on an inherited socket ready, with the list that it has, where no other process accepts connections.
func (p *pooler) acceptIfNobodyDoes() {
	if p.inheritedListener != nil && p.folder != nil && p.othersAccepting == 0 {
		p.listReceived()
	}
}

// updateProcesses divides the limits among the processes on the socket.
func (p *pooler) updateProcesses() {
	if p.core.SetProcesses(1 + p.otherProcesses) {
		p.log.Info("upgrade: the number of processes that share the listening socket changed", "others", p.otherProcesses, "their_descriptors", p.othersDescriptors)
		p.divideMemory()
	}
}

// state returns the state that this process reports to the others.
func (p *pooler) state() *handover.State {
	held := uncountedDescriptors + p.platform.Sessions() + p.backend.Conns() + p.frontendDescriptors()
	if p.admin != nil {
		held += p.admin.Connections()
	}
	known := discovery.List{Reset: true}
	if p.list.received {
		known = p.list.complete()
	}
	return &handover.State{
		SavedMs:      p.machine.Wall(),
		Saved:        p.machine.Now(),
		ClockMs:      p.loop.Now(),
		Descriptors:  held,
		Ending:       !p.lifecycle.IsServing(),
		ListSource:   p.cfg.DiscoveryAddress,
		List:         known,
		ListRestarts: p.list.restarts,
		Classes:      slices.Clone(p.cfg.Classes),
		Kinds:        slices.Clone(p.cfg.MachineTypes),
		Snapshot:     p.core.Snapshot(),
	}
}

// stateFolder is the folder in which the processes on a socket exchange their states.
type stateFolder interface {
	Write(s *handover.State) error
	Others(ms float64) ([]*handover.State, error)
	Remove()
}

// exchangeStates writes this process's state for the other processes and reads theirs, until the returned function is called. Reading does not
// wait for writing, which takes seconds on a busy disk.
func (p *pooler) exchangeStates() (stop func()) {
	if p.folder == nil {
		return func() {}
	}
	quit := make(chan struct{})
	var done sync.WaitGroup
	writes := p.loop.Job("upgrade_write", exchangeMs, nil)
	reads := p.loop.Job("upgrade_read", exchangeMs, nil)
	done.Go(func() {
		p.writeStates(writes, quit)
		p.folder.Remove()
	})
	done.Go(func() { p.readStates(reads, quit) })
	return func() {
		close(quit)
		done.Wait()
		p.sharedIDs.Close()
	}
}

// writeStates writes this process's state every writeInterval.
func (p *pooler) writeStates(job *eventloop.Job, quit <-chan struct{}) {
	lastErr := ""
	p.repeat(job, quit, writeInterval, func() {
		states := make(chan *handover.State, 1)
		p.loop.Post(func() { states <- p.state() })
		select {
		case s := <-states:
			if err := p.folder.Write(s); err != nil && err.Error() != lastErr {
				lastErr = err.Error()
				p.log.Warn("upgrade: the state for the other processes cannot be written", "err", err)
			}
		case <-quit:
		}
	})
}

// readStates reads the other processes' states every readInterval.
func (p *pooler) readStates(job *eventloop.Job, quit <-chan struct{}) {
	lastErr := ""
	p.repeat(job, quit, readInterval, func() {
		others, err := p.folder.Others(handover.UsefulMs)
		if err != nil && err.Error() != lastErr {
			lastErr = err.Error()
			p.log.Warn("upgrade: the state of another process cannot be read and is not used", "err", err)
		}
		p.loop.Post(func() { p.applyStates(others) })
	})
}

// repeat calls do until quit is closed, as runs of a job, with a pause after each call that is as long as its cost asks for.
func (p *pooler) repeat(job *eventloop.Job, quit <-chan struct{}, pause time.Duration, do func()) {
	for {
		run := job.Time(do)
		p.loop.Post(func() { job.Note(run) })
		select {
		case <-time.After(max(pause, clock.ToDuration(job.PauseAfter(run, exchangeJobs)))):
		case <-quit:
			return
		}
	}
}

// applyStates applies the other processes' states. A newer list is adopted even from a process that reported too late to count as running.
func (p *pooler) applyStates(others []*handover.State) {
	p.countProcesses(others)
	p.updateProcesses()
	p.acceptIfNobodyDoes()
	if p.sources != nil {
		return
	}
	for _, s := range others {
		if s.ListSource == p.cfg.DiscoveryAddress && p.list.newer(s) {
			p.adoptList(s)
		}
	}
}

// adoptList applies another process's newer list, and has the discovery client request the list itself.
func (p *pooler) adoptList(s *handover.State) {
	p.log.Info("upgrade: adopting a newer list from another process", "generation", s.List.Generation, "own_generation", p.list.generation)
	restarted := s.ListRestarts > p.list.restarts
	p.list.adopt(s)
	p.discovery.Adopt(p.list.generation, restarted)
	complete := p.list.complete()
	p.core.Listed(&complete)
}
