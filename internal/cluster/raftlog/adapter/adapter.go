// Package adapter connects the replicated log (package raftlog) to its pooler. It is a module of the cluster (package module) with a disk
// of its own. The daemon and the simulator use the same adapter.
package adapter

import (
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/view"
)

// Disk makes records durable without blocking the event loop. It calls done on the loop, in the order of the Append calls.
type Disk interface {
	Append(records []raftlog.Record, done func(error))
}

// Options configure an Adapter.
type Options struct {
	Settings raftlog.Settings
	Machine  raftlog.Machine
	Observe  func(action *raftlog.Action) // called on the loop for all actions except Send and Store; may be nil
}

// Adapter is a pooler's replicated log. It must be used on the event loop only.
type Adapter struct {
	transport module.Transport
	options   Options
	replica   raftlog.Replica
	disk      Disk
	ids       []view.ID // of all members that have not left
	addrs     []string  // of the members in ids, in the same order
	queue     []raftlog.Event
	handling  bool // handle is running
	actions   []raftlog.Action
	counts    Counts
}

// Counts count what happened since the start.
type Counts struct {
	Sent    uint64 // datagrams
	Bytes   uint64 // of datagrams and streams
	Streams uint64 // chunks sent by stream
	Writes  uint64
	Applied uint64 // entries
	Dropped uint64 // proposals

	StopReason string // empty while the voter takes part
}

// New returns an adapter. A voter does nothing before Start.
func New(transport module.Transport, options Options) *Adapter {
	return &Adapter{
		transport: transport,
		options:   options,
		replica:   raftlog.Replica{Log: raftlog.New(options.Settings, transport.Now()), Machine: options.Machine},
	}
}

// Start provides a voter's disk and its records, or the error with which reading it failed.
func (a *Adapter) Start(disk Disk, records []raftlog.Record, err error) {
	a.disk = disk
	a.handle(raftlog.StorageLoaded{Records: records, Err: err})
}

// Propose proposes an entry. If the proposal is dropped, a ProposalDropped action returns ref.
func (a *Adapter) Propose(ref uint64, entry []byte) {
	a.handle(raftlog.Propose{Ref: ref, Entry: entry})
}

// Status returns the state of the log at this pooler.
func (a *Adapter) Status() raftlog.Status { return a.replica.Status() }

// Counts returns the counts so far.
func (a *Adapter) Counts() Counts { return a.counts }

// Kind returns the kind of this module's messages; it implements module.Module.
func (a *Adapter) Kind() view.Kind { return module.KindRaftLog }

// Decode returns the message unchanged, as the log decodes it; it implements module.Module.
func (a *Adapter) Decode(body []byte) (any, error) { return body, nil }

// UpdateMembers takes over the members of the cluster; it implements module.Module. Of several processes with a voter's name, the youngest
// one that has not left is the voter.
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

// youngestOf returns the youngest process with a name that has not left. A failed process counts, as it may run again before the view shows
// it.
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

// Receive handles a message of another pooler; it implements module.Module.
func (a *Adapter) Receive(from view.ID, decoded any) {
	event := raftlog.MessageReceived{Message: decoded.([]byte)}
	if i := slices.Index(a.ids, from); i >= 0 {
		event.From = a.addrs[i]
	}
	a.handle(event)
}

// Tick advances the log's time; it implements module.Module.
func (a *Adapter) Tick() { a.handle(raftlog.Tick{}) }

// Leave is called when the process starts to shut down; it implements module.Module.
func (a *Adapter) Leave() { a.handle(raftlog.Shutdown{}) }

// handle passes an event to the log. Events that its actions cause are queued and handled after it.
func (a *Adapter) handle(event raftlog.Event) {
	a.queue = append(a.queue, event)
	if a.handling {
		return
	}
	a.handling = true
	for len(a.queue) > 0 {
		next := a.queue[0]
		a.queue = a.queue[1:]
		a.actions = a.replica.Handle(a.transport.Now(), next, a.actions[:0])
		for i := range a.actions {
			a.execute(&a.actions[i])
		}
		clear(a.actions)
	}
	a.handling = false
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

// Append appends the message; it implements module.Message.
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

// receiver returns the process that a message is for, 0 for any. A message to a voter is for any process with its name, as a restarted one
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
