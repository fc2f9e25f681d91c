// Package adapter connects the replicated log (package raftlog) to the pooler that it lives in: it is a module of the cluster (package
// module), with a disk of its own. The same adapter serves the daemon and virtual time.
package adapter

import (
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/view"
)

// Disk makes records durable, off the loop. done is called on the loop, in the order of the calls.
type Disk interface {
	Append(records []raftlog.Record, done func(error))
}

// Options configure an Adapter.
type Options struct {
	Settings raftlog.Settings
	Machine  raftlog.Machine
	Observe  func(action *raftlog.Action) // called for all actions but sends and writes, on the loop; nil for nobody
}

// Adapter is a pooler's replicated log. It is for the loop alone.
type Adapter struct {
	transport module.Transport
	options   Options
	replica   raftlog.Replica
	disk      Disk
	ids       []view.ID // of all members that can be reached
	addrs     []string  // of the same
	queue     []raftlog.Event
	busy      bool
	actions   []raftlog.Action
	counts    Counts
}

// Counts are since the start.
type Counts struct {
	Sent    uint64 // datagrams
	Bytes   uint64 // of datagrams and streams
	Streams uint64
	Writes  uint64
	Applied uint64
	Dropped uint64

	StopReason string // empty while the voter takes part
}

// New makes an adapter. A voter does nothing before Start.
func New(transport module.Transport, options Options) *Adapter {
	return &Adapter{
		transport: transport,
		options:   options,
		replica:   raftlog.Replica{Log: raftlog.New(options.Settings, transport.Now()), Machine: options.Machine},
	}
}

// Start brings a voter's disk and what it holds; an err says that it cannot be read.
func (a *Adapter) Start(disk Disk, records []raftlog.Record, err error) {
	a.disk = disk
	a.handle(raftlog.StorageLoaded{Records: records, Err: err})
}

// Propose asks for an entry. A ProposalDropped action returns ref where it is dropped.
func (a *Adapter) Propose(ref uint64, entry []byte) {
	a.handle(raftlog.Propose{Ref: ref, Entry: entry})
}

// Status returns the state of the log here.
func (a *Adapter) Status() raftlog.Status { return a.replica.Status() }

// Counts returns the counts so far.
func (a *Adapter) Counts() Counts { return a.counts }

// Kind returns the kind of this module's messages; it is a method of module.Module.
func (a *Adapter) Kind() view.Kind { return module.KindRaftLog }

// Decode leaves the message to the log; it is a method of module.Module.
func (a *Adapter) Decode(body []byte) (any, error) { return body, nil }

// UpdateMembers takes the members of the cluster; it is a method of module.Module. Of several processes of a voter's name the youngest that
// can be reached is the voter.
func (a *Adapter) UpdateMembers(self view.ID, members []view.Record, _ view.Counts) {
	var addresses raftlog.AddressesChanged
	for _, voter := range a.options.Settings.Voters {
		youngest := youngestOf(voter, members)
		if youngest != nil && youngest.ID != self {
			addresses.Voters = append(addresses.Voters, raftlog.Address{Name: voter, Addr: youngest.Addr})
		}
	}
	a.ids = a.ids[:0]
	a.addrs = a.addrs[:0]
	for i := range members {
		if members[i].State != view.Left {
			a.ids = append(a.ids, members[i].ID)
			a.addrs = append(a.addrs, members[i].Addr)
		}
	}
	a.handle(addresses)
}

// youngestOf returns the youngest process of a name that has not left. One that failed counts: it may be back before the view has it.
func youngestOf(name string, members []view.Record) *view.Record {
	var youngest *view.Record
	for i := range members {
		member := &members[i]
		if member.Name != name || member.State == view.Left {
			continue
		}
		if youngest == nil || member.ID > youngest.ID {
			youngest = member
		}
	}
	return youngest
}

// Receive takes a message of another pooler; it is a method of module.Module.
func (a *Adapter) Receive(from view.ID, decoded any) {
	event := raftlog.MessageReceived{Message: decoded.([]byte)}
	if i := slices.Index(a.ids, from); i >= 0 {
		event.From = a.addrs[i]
	}
	a.handle(event)
}

// Tick lets time go on; it is a method of module.Module.
func (a *Adapter) Tick() { a.handle(raftlog.Tick{}) }

// Leave is called when the process begins to end; it is a method of module.Module.
func (a *Adapter) Leave() { a.handle(raftlog.Shutdown{}) }

// handle gives the log an event. What its actions cause is queued behind it.
func (a *Adapter) handle(event raftlog.Event) {
	a.queue = append(a.queue, event)
	if a.busy {
		return
	}
	a.busy = true
	for len(a.queue) > 0 {
		next := a.queue[0]
		a.queue = a.queue[1:]
		a.actions = a.replica.Handle(a.transport.Now(), next, a.actions[:0])
		for i := range a.actions {
			a.execute(&a.actions[i])
		}
		clear(a.actions)
	}
	a.busy = false
}

func (a *Adapter) execute(action *raftlog.Action) {
	switch action.Kind {
	case raftlog.Send:
		a.send(action)
		return
	case raftlog.Store:
		a.store(action)
		return
	case raftlog.Apply:
		a.counts.Applied++
	case raftlog.ProposalDropped:
		a.counts.Dropped++
	case raftlog.Stopped:
		a.counts.StopReason = action.Text
	}
	if a.options.Observe != nil {
		a.options.Observe(action)
	}
}

func (a *Adapter) store(action *raftlog.Action) {
	a.counts.Writes++
	ref := action.Ref
	a.disk.Append(action.Records, func(err error) { a.handle(raftlog.StoreCompleted{Ref: ref, Err: err}) })
}

// encodedMessage is a message that the log has encoded.
type encodedMessage []byte

// Append appends the message; it is a method of module.Message.
func (m encodedMessage) Append(b []byte) []byte { return append(b, m...) }

func (a *Adapter) send(action *raftlog.Action) {
	to := a.receiver(action)
	message := encodedMessage(action.Message)
	a.counts.Bytes += uint64(len(message))
	if !action.Stream {
		a.counts.Sent++
		a.transport.Send(action.Addr, to, module.KindRaftLog, message)
		return
	}
	a.counts.Streams++
	ref := action.Ref
	a.transport.SendStream(action.Addr, to, module.KindRaftLog, message, func(ok bool) {
		a.handle(raftlog.StreamCompleted{Ref: ref, OK: ok})
	})
}

// receiver returns the process that a message is for, 0 for any. A message to a voter is for whichever process has its name: the next one
// has the same disk.
func (a *Adapter) receiver(action *raftlog.Action) view.ID {
	if action.To != "" {
		return 0
	}
	if i := slices.Index(a.addrs, action.Addr); i >= 0 {
		return a.ids[i]
	}
	return 0
}
