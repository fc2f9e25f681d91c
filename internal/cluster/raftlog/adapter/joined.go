// Package adapter carries the log in common to where a pooler lives: it is a part of the fleet (package part), with the disk as it is told.
// The same serves the daemon and virtual time.
package adapter

import (
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/view"
)

// Disk keeps records, off the loop; done comes on the loop, in the order of the calls.
type Disk interface {
	Append(records []raftlog.Record, done func(error))
}

// Options say how a log is joined.
type Options struct {
	Settings raftlog.Settings
	Machine  raftlog.Machine
	Observe  func(a *raftlog.Action) // all but sends and writes, nil for nobody
}

// Adapter is a pooler's log in common.
type Adapter struct {
	net     module.Transport
	options Options
	replica raftlog.Replica
	disk    Disk
	ids     []view.ID // of all who can be reached, with their addresses
	addrs   []string
	queue   []raftlog.Event
	busy    bool
	actions []raftlog.Action
	counts  Counts
}

// Counts are since the start.
type Counts struct {
	Sent, Bytes, Streams, Writes uint64
	Applied, Dropped             uint64
	StopReason                   string
}

// New makes one; at a voter nothing goes on before Begin.
func New(net module.Transport, opt Options) *Adapter {
	return &Adapter{net: net, options: opt, replica: raftlog.Replica{Log: raftlog.New(opt.Settings, net.Now()), Machine: opt.Machine}}
}

// Start brings a voter's disk and what it held; err tells that it cannot be read.
func (p *Adapter) Start(d Disk, records []raftlog.Record, err error) {
	p.disk = d
	p.handle(raftlog.StorageLoaded{Records: records, Err: err})
}

// Propose asks for an entry. Ref comes back where it is dropped.
func (p *Adapter) Propose(ref uint64, entry []byte) {
	p.handle(raftlog.Propose{Ref: ref, Entry: entry})
}

// Status tells how the log stands here.
func (p *Adapter) Status() raftlog.Status { return p.replica.Status() }

// Counts are the counts so far.
func (p *Adapter) Counts() Counts { return p.counts }

// Kind is part.Part's.
func (p *Adapter) Kind() view.Kind { return module.KindRaftLog }

// Decode is part.Part's: what it is the log finds out.
func (p *Adapter) Decode(body []byte) (any, error) { return body, nil }

// UpdateMembers is part.Part's. Of several processes of a voter's name the youngest that can be reached is the one.
func (p *Adapter) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	p.ids, p.addrs = p.ids[:0], p.addrs[:0]
	var m raftlog.AddressesChanged
	for _, v := range p.options.Settings.Voters {
		var best *view.Record
		for i := range all {
			if r := &all[i]; r.Name == v && r.State != view.Left && (best == nil || r.ID > best.ID) {
				best = r // one that failed may be back before the view knows
			}
		}
		if best != nil && best.ID != self {
			m.Voters = append(m.Voters, raftlog.Address{Name: v, Addr: best.Addr})
		}
	}
	for i := range all {
		if r := &all[i]; r.State != view.Left {
			p.ids, p.addrs = append(p.ids, r.ID), append(p.addrs, r.Addr)
		}
	}
	p.handle(m)
}

// Receive is part.Part's.
func (p *Adapter) Receive(from view.ID, m any) {
	e := raftlog.MessageReceived{Message: m.([]byte)}
	if i := slices.Index(p.ids, from); i >= 0 {
		e.From = p.addrs[i]
	}
	p.handle(e)
}

// Tick is part.Part's.
func (p *Adapter) Tick() { p.handle(raftlog.Tick{}) }

// Leave is part.Part's.
func (p *Adapter) Leave() { p.handle(raftlog.Shutdown{}) }

// handle tells the log; what comes of it may tell it more, which waits its turn.
func (p *Adapter) handle(e raftlog.Event) {
	p.queue = append(p.queue, e)
	if p.busy {
		return
	}
	p.busy = true
	for len(p.queue) > 0 {
		e := p.queue[0]
		p.queue = p.queue[1:]
		p.actions = p.replica.Handle(p.net.Now(), e, p.actions[:0])
		for i := range p.actions {
			p.execute(&p.actions[i])
		}
		clear(p.actions)
	}
	p.busy = false
}

type encodedMessage []byte

func (w encodedMessage) Append(b []byte) []byte { return append(b, w...) }

func (p *Adapter) execute(a *raftlog.Action) {
	switch a.Kind {
	case raftlog.Send:
		p.send(a)
		return
	case raftlog.Store:
		p.counts.Writes++
		ref := a.Ref
		p.disk.Append(a.Records, func(err error) { p.handle(raftlog.StoreCompleted{Ref: ref, Err: err}) })
		return
	case raftlog.Apply:
		p.counts.Applied++
	case raftlog.ProposalDropped:
		p.counts.Dropped++
	case raftlog.Stopped:
		p.counts.StopReason = a.Text
	}
	if p.options.Observe != nil {
		p.options.Observe(a)
	}
}

func (p *Adapter) send(a *raftlog.Action) {
	var to view.ID
	if i := slices.Index(p.addrs, a.Addr); i >= 0 && a.To == "" { // a voter's next process takes what was for its last: its disk is the same
		to = p.ids[i]
	}
	p.counts.Bytes += uint64(len(a.Message))
	if !a.Stream {
		p.counts.Sent++
		p.net.Send(a.Addr, to, module.KindRaftLog, encodedMessage(a.Message))
		return
	}
	p.counts.Streams++
	ref := a.Ref
	p.net.SendStream(a.Addr, to, module.KindRaftLog, encodedMessage(a.Message), func(ok bool) { p.handle(raftlog.StreamCompleted{Ref: ref, OK: ok}) })
}
