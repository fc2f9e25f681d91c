package raftlog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bounds of what raft does at a time.
const (
	perMessage = 1000 // bytes of entries in a message, unless one entry is more
	inflight   = 256  // messages of entries to one voter that have not been answered
	perApply   = 1 << 20
)

// Log is one pooler's side of the log in common.
type Log struct {
	set    Settings
	now    float64
	tickAt float64
	rng    *rand.Rand
	out    []Action
	broke  string
	left   bool
	addr   map[string]string // of voters, by name
	recent map[uint64]string // names of voters that have written, by number, where the table does not have them

	// As a voter.
	votes    bool
	restored bool
	self     Member
	group    uint64
	founding []Member
	table    []Member // by name, as of what was applied
	isNew    bool     // this disk has not been of those that the log names
	node     *raft.RawNode
	mem      *memory
	conf     *pb.ConfState
	founder
	disk
	snaps

	// When to stand for election is drawn here, not by raft: its own draw cannot be seeded.
	silence int
	draw    int

	term, lead  uint64 // told last
	leads       bool
	applied     uint64
	appliedTerm uint64

	forwards
}

// memory is what raft reads of the log. While a change of voters has no snapshot behind it, there is none that a new voter may have.
type memory struct {
	*raft.MemoryStorage
	stale bool
}

func (m *memory) Snapshot() (*pb.Snapshot, error) {
	if m.stale {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return m.MemoryStorage.Snapshot()
}

// number is a voter's for raft.
func (m *Member) number() uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], m.Disk)
	h := xxhash.Sum64(append(b[:], m.Name...))
	return min(max(h, 1), math.MaxUint64-16) // the highest are raft's own
}

// New makes a pooler's log. At a voter nothing is done before Restored.
func New(set Settings, now float64) *Log {
	set.Voters = slices.Clone(set.Voters)
	slices.Sort(set.Voters)
	l := &Log{set: set, now: now, tickAt: now + set.Tick, addr: map[string]string{}, recent: map[uint64]string{}, votes: slices.Contains(set.Voters, set.Self)}
	l.rng = rand.New(rand.NewPCG(set.Drawn, xxhash.Sum64String(set.Self)^math.Float64bits(now)))
	l.draw = l.rng.IntN(set.Election)
	l.founder.heard = map[string]*message{}
	return l
}

// Next is when it wants a Tick.
func (l *Log) Next() float64 { return l.tickAt }

// Handle takes one event and appends what is to be done. Where raft finds what cannot be, this voter takes no part any more; the
// pooler goes on.
func (l *Log) Handle(now float64, e Event, out []Action) (all []Action) {
	l.now, l.out = max(now, l.now), out
	defer func() {
		if r := recover(); r != nil {
			l.stop(fmt.Sprintf("the log's core cannot go on: %v", r))
		}
		all, l.out = l.out, nil
	}()
	switch e := e.(type) {
	case Heard:
		l.hear(e)
	case Members:
		clear(l.addr)
		for _, v := range e.Voters {
			l.addr[v.Name] = v.Addr
		}
	case Propose:
		l.propose(e)
	case Restored:
		l.restore(e)
	case Stored:
		l.stored(e)
	case Taken:
		l.taken(e)
	case Sent:
		l.sentPart(e)
	case Leave:
		l.leave()
	}
	l.turn()
	l.drain()
	return l.out
}

func (l *Log) stop(why string) {
	if l.broke == "" {
		l.broke, l.node, l.stores = why, nil, nil
		l.lead, l.leads = 0, false
		l.out = append(l.out, Action{Kind: Broke, Text: why})
	}
}

// turn does what time brings. A leader that stood still counts all that it missed, so that it learns that nobody answered; another
// counts one tick: it was not the others that were silent.
func (l *Log) turn() {
	n := 0
	for l.now >= l.tickAt {
		l.tickAt += l.set.Tick
		if n++; n > 2*l.set.Election+1 {
			l.tickAt = l.now + l.set.Tick
		}
	}
	if n == 0 || l.left {
		return
	}
	l.patience()
	if l.node == nil {
		l.seek()
		return
	}
	stood := n > 2
	for range n {
		st := l.node.BasicStatus()
		if st.RaftState == raft.StateLeader {
			l.silence = 0
			l.node.Tick()
			continue
		}
		l.silence++
		if l.silence >= l.set.Election && st.Lead != raft.None {
			_ = l.node.ForgetLeader() // what raft's own count would do: others may now be voted for
		}
		if l.silence >= l.set.Election+l.draw {
			l.silence, l.draw = 0, l.rng.IntN(l.set.Election)
			_ = l.node.Campaign()
		}
		if stood {
			break
		}
	}
	l.seek()
}

// begin has raft go by what the disk has.
func (l *Log) begin(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{
		ID: l.self.number(), ElectionTick: l.set.Election, HeartbeatTick: l.set.Heartbeat, Storage: l.mem, Applied: applied,
		AsyncStorageWrites: true, MaxSizePerMsg: perMessage, MaxCommittedSizePerReady: perApply, MaxUncommittedEntriesSize: uint64(l.set.MaxPending),
		MaxInflightMsgs: inflight, CheckQuorum: true, PreVote: true, Logger: quiet{}, DisableProposalForwarding: true, StepDownOnRemoval: true,
	})
	if err != nil {
		l.stop(err.Error())
		return
	}
	l.node, l.applied = node, applied
}

// hear takes a message from another pooler.
func (l *Log) hear(e Heard) {
	m, err := parse(e.Message)
	if err != nil {
		return
	}
	switch m.verb {
	case verbForward:
		l.onForward(e.From, m)
	case verbTook:
		l.onTook(m)
	case verbHello:
		l.onHello(m)
	case verbIs:
		l.onIs(m)
	case verbRaft, verbPart:
		if l.node == nil || m.group != l.group || m.to != l.self.number() {
			return
		}
		l.learn(m)
		data := m.data
		if m.verb == verbPart {
			if data = l.join(m); data == nil {
				return
			}
		}
		r := &pb.Message{}
		if proto.Unmarshal(data, r) == nil && r.GetFrom() == m.from && r.GetTo() == m.to {
			l.step(r)
		}
	}
}

// step tells raft what another voter sent, of what voters send each other.
func (l *Log) step(r *pb.Message) {
	switch r.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		_ = l.node.Step(r)
		if l.node.BasicStatus().Lead == r.GetFrom() {
			l.silence = 0
		}
	case pb.MsgVote:
		before := l.node.BasicStatus().HardState
		_ = l.node.Step(r)
		if st := l.node.BasicStatus(); st.GetVote() == r.GetFrom() && (before.GetVote() != st.GetVote() || before.GetTerm() != st.GetTerm()) {
			l.silence = 0 // who was voted for has its time
		}
	case pb.MsgAppResp, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp, pb.MsgTimeoutNow:
		_ = l.node.Step(r)
	}
}

// drain carries out what raft asks for.
func (l *Log) drain() {
	for l.node != nil && l.node.HasReady() {
		rd := l.node.Ready()
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				l.store(m)
			case raft.LocalApplyThread:
				l.apply(m)
			default:
				l.send(m)
			}
			if l.node == nil {
				return
			}
		}
	}
	if l.node == nil {
		return
	}
	st := l.node.BasicStatus()
	term, lead, leads := st.GetTerm(), st.Lead, st.RaftState == raft.StateLeader
	if c := l.set.Checks; c.On() {
		c.That(term >= l.term, "agreed: the term never falls", func() string { return fmt.Sprint(l.set.Self, " ", l.term, " ", term) })
	}
	if lead == l.lead && leads == l.leads && (term == l.term || !leads) {
		l.term = term
		return
	}
	l.term, l.lead, l.leads = term, lead, leads
	if leads {
		l.out = append(l.out, Action{Kind: Leads, Term: term, Leader: l.set.Self})
	} else {
		l.out = append(l.out, Action{Kind: Follows, Term: term, Leader: l.nameOf(lead)})
	}
}

// learn keeps who sent a message, if the table does not have it: a voter with a new disk, admitted by entries that are not applied here
// yet. It must be answered, or they never come. One that the log does not admit is never counted by raft.
func (l *Log) learn(m *message) {
	if !slices.Contains(l.set.Voters, m.name) || l.nameOf(m.from) != "" {
		return
	}
	maps.DeleteFunc(l.recent, func(_ uint64, name string) bool { return name == m.name }) // one disk for each name
	l.recent[m.from] = m.name
}

func (l *Log) nameOf(id uint64) string {
	for i := range l.table {
		if l.table[i].number() == id {
			return l.table[i].Name
		}
	}
	return l.recent[id]
}

// send has a message of raft's go to a voter.
func (l *Log) send(r *pb.Message) {
	b, err := proto.Marshal(r)
	if err != nil {
		l.stop(err.Error())
		return
	}
	m := &message{verb: verbRaft, group: l.group, from: r.GetFrom(), to: r.GetTo(), name: l.self.Name, data: b}
	if r.GetType() == pb.MsgSnap {
		l.split(m)
		return
	}
	l.tell(l.nameOf(r.GetTo()), m)
}

// tell has a message go to a voter by name.
func (l *Log) tell(name string, m *message) {
	if addr := l.addr[name]; addr != "" {
		l.out = append(l.out, Action{Kind: Send, To: name, Addr: addr, Message: m.append(nil)})
	}
}

// apply hands over what is agreed.
func (l *Log) apply(m *pb.Message) {
	for _, e := range m.GetEntries() {
		i := e.GetIndex()
		if c := l.set.Checks; c.On() {
			c.That(i == l.applied+1 && e.GetTerm() >= l.appliedTerm, "agreed: entries are applied one by one, in terms that never fall", func() string {
				return fmt.Sprint(l.set.Self, " applies ", i, " of term ", e.GetTerm(), " after ", l.applied, " of term ", l.appliedTerm)
			})
		}
		l.applied, l.appliedTerm = i, e.GetTerm()
		l.since++
		l.sinceBytes += len(e.GetData())
		switch e.GetType() {
		case pb.EntryConfChangeV2:
			l.reform(e)
		case pb.EntryNormal:
			if len(e.GetData()) > 0 {
				l.out = append(l.out, Action{Kind: Apply, Index: i, Term: e.GetTerm(), Entry: e.GetData()})
			}
		}
	}
	l.want()
	for _, r := range m.GetResponses() {
		_ = l.node.Step(r)
	}
}

// leave has another voter lead, the one that has most of the log.
func (l *Log) leave() {
	if l.node == nil || !l.leads {
		return
	}
	var best, most uint64
	st := l.node.Status()
	for _, v := range l.table {
		if p, ok := st.Progress[v.number()]; ok && v != l.self && p.RecentActive && (best == 0 || p.Match > most) {
			best, most = v.number(), p.Match
		}
	}
	if best != 0 {
		l.node.TransferLeader(best)
	}
}

// Standing tells how the log stands here.
func (l *Log) Standing() Standing {
	s := Standing{Votes: l.votes, Why: l.broke, Waiting: len(l.waiting), Pending: len(l.stores), Members: l.table}
	if !l.votes {
		s.Leader = l.guessed
		return s
	}
	if l.node == nil {
		if s.Why == "" {
			s.Why = "it waits for the other voters"
		}
		return s
	}
	st := l.node.BasicStatus()
	s.Part, s.Leader, s.Leads, s.Term, s.Commit, s.Applied = !l.isNew, l.nameOf(st.Lead), l.leads, st.GetTerm(), st.GetCommit(), l.applied
	s.Changes = len(l.conf.GetVotersOutgoing()) > 0
	if l.isNew {
		s.Why = "its disk is new, and the others have not agreed to it yet"
	}
	s.First, _ = l.mem.FirstIndex()
	s.Last = max(l.last, s.First-1)
	s.Bytes = l.kept
	return s
}
