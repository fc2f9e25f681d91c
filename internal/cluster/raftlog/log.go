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
	maxMessageBytes     = 1000 // bytes of entries in a message, unless one entry is more
	maxInflightMessages = 256  // messages of entries to one voter that have not been answered
	maxApplyBytes       = 1 << 20
)

// Log is one pooler's side of the log in common.
type Log struct {
	settings      Settings
	now           float64
	nextTickAt    float64
	rng           *rand.Rand
	actions       []Action
	stopReason    string
	left          bool
	addresses     map[string]string // of voters, by name
	recentSenders map[uint64]string // names of voters that have written, by number, where the table does not have them

	// As a voter.
	isVoter           bool
	restored          bool
	self              Member
	group             uint64
	founding          []Member
	members           []Member // by name, as of what was applied
	awaitingAdmission bool     // this disk has not been of those that the log names
	node              *raft.RawNode
	storage           *logStorage
	confState         *pb.ConfState
	discovery
	diskState
	transfers

	// When to stand for election is drawn here, not by raft: its own draw cannot be seeded.
	ticksWithoutLeader int
	electionJitter     int

	term, leader uint64 // told last
	isLeader     bool
	appliedIndex uint64
	appliedTerm  uint64

	forwarding
}

// logStorage is what raft reads of the log. While a change of voters has no snapshot behind it, there is none that a new voter may have.
type logStorage struct {
	*raft.MemoryStorage
	stale bool
}

func (m *logStorage) Snapshot() (*pb.Snapshot, error) {
	if m.stale {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return m.MemoryStorage.Snapshot()
}

// raftID is a voter's for raft.
func (m *Member) raftID() uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], m.Disk)
	h := xxhash.Sum64(append(b[:], m.Name...))
	return min(max(h, 1), math.MaxUint64-16) // the highest are raft's own
}

// New makes a pooler's log. At a voter nothing is done before Restored.
func New(set Settings, now float64) *Log {
	set.Voters = slices.Clone(set.Voters)
	slices.Sort(set.Voters)
	l := &Log{settings: set, now: now, nextTickAt: now + set.TickInterval, addresses: map[string]string{}, recentSenders: map[uint64]string{}, isVoter: slices.Contains(set.Voters, set.Self)}
	l.rng = rand.New(rand.NewPCG(set.Seed, xxhash.Sum64String(set.Self)^math.Float64bits(now)))
	l.electionJitter = l.rng.IntN(set.ElectionTicks)
	l.discovery.groupless = map[string]*message{}
	return l
}

// Next is when it wants a Tick.
func (l *Log) Next() float64 { return l.nextTickAt }

// Handle takes one event and appends what is to be done. Where raft finds what cannot be, this voter takes no part any more; the
// pooler goes on.
func (l *Log) Handle(now float64, e Event, out []Action) (all []Action) {
	l.now, l.actions = max(now, l.now), out
	defer func() {
		if r := recover(); r != nil {
			l.stop(fmt.Sprintf("the log's core cannot go on: %v", r))
		}
		all, l.actions = l.actions, nil
	}()
	switch e := e.(type) {
	case MessageReceived:
		l.receive(e)
	case AddressesChanged:
		clear(l.addresses)
		for _, v := range e.Voters {
			l.addresses[v.Name] = v.Addr
		}
	case Propose:
		l.propose(e)
	case StorageLoaded:
		l.loadStorage(e)
	case StoreCompleted:
		l.storeCompleted(e)
	case SnapshotTaken:
		l.saveSnapshot(e)
	case StreamCompleted:
		l.chunkSent(e)
	case Shutdown:
		l.transferLeadership()
	}
	l.advanceClock()
	l.processReady()
	return l.actions
}

func (l *Log) stop(why string) {
	if l.stopReason == "" {
		l.stopReason, l.node, l.pendingWrites = why, nil, nil
		l.leader, l.isLeader = 0, false
		l.actions = append(l.actions, Action{Kind: Stopped, Text: why})
	}
}

// advanceClock does what time brings. A leader that stood still counts all that it missed, so that it learns that nobody answered; another
// counts one tick: it was not the others that were silent.
func (l *Log) advanceClock() {
	n := 0
	for l.now >= l.nextTickAt {
		l.nextTickAt += l.settings.TickInterval
		if n++; n > 2*l.settings.ElectionTicks+1 {
			l.nextTickAt = l.now + l.settings.TickInterval
		}
	}
	if n == 0 || l.left {
		return
	}
	l.expireForwards()
	if l.node == nil {
		l.discover()
		return
	}
	stood := n > 2
	for range n {
		st := l.node.BasicStatus()
		if st.RaftState == raft.StateLeader {
			l.ticksWithoutLeader = 0
			l.node.Tick()
			continue
		}
		l.ticksWithoutLeader++
		if l.ticksWithoutLeader >= l.settings.ElectionTicks && st.Lead != raft.None {
			_ = l.node.ForgetLeader() // what raft's own count would do: others may now be voted for
		}
		if l.ticksWithoutLeader >= l.settings.ElectionTicks+l.electionJitter {
			l.ticksWithoutLeader, l.electionJitter = 0, l.rng.IntN(l.settings.ElectionTicks)
			_ = l.node.Campaign()
		}
		if stood {
			break
		}
	}
	l.discover()
}

// startRaft has raft go by what the disk has.
func (l *Log) startRaft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{
		ID: l.self.raftID(), ElectionTick: l.settings.ElectionTicks, HeartbeatTick: l.settings.HeartbeatTicks, Storage: l.storage, Applied: applied,
		AsyncStorageWrites: true, MaxSizePerMsg: maxMessageBytes, MaxCommittedSizePerReady: maxApplyBytes, MaxUncommittedEntriesSize: uint64(l.settings.MaxPendingBytes),
		MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true, Logger: silentLogger{}, DisableProposalForwarding: true, StepDownOnRemoval: true,
	})
	if err != nil {
		l.stop(err.Error())
		return
	}
	l.node, l.appliedIndex = node, applied
}

// receive takes a message from another pooler.
func (l *Log) receive(e MessageReceived) {
	m, err := decodeMessage(e.Message)
	if err != nil {
		return
	}
	switch m.kind {
	case kindForward:
		l.handleForward(e.From, m)
	case kindForwardResult:
		l.handleForwardResult(m)
	case kindDiscover:
		l.handleDiscover(m)
	case kindIdentity:
		l.handleIdentity(m)
	case kindRaft, kindChunk:
		if l.node == nil || m.group != l.group || m.to != l.self.raftID() {
			return
		}
		l.rememberSender(m)
		data := m.data
		if m.kind == kindChunk {
			if data = l.receiveChunk(m); data == nil {
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
			l.ticksWithoutLeader = 0
		}
	case pb.MsgVote:
		before := l.node.BasicStatus().HardState
		_ = l.node.Step(r)
		if st := l.node.BasicStatus(); st.GetVote() == r.GetFrom() && (before.GetVote() != st.GetVote() || before.GetTerm() != st.GetTerm()) {
			l.ticksWithoutLeader = 0 // who was voted for has its time
		}
	case pb.MsgAppResp, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp, pb.MsgTimeoutNow:
		_ = l.node.Step(r)
	}
}

// processReady carries out what raft asks for.
func (l *Log) processReady() {
	for l.node != nil && l.node.HasReady() {
		rd := l.node.Ready()
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				l.storeAppend(m)
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
	if c := l.settings.Checks; c.Enabled() {
		c.That(term >= l.term, "agreed: the term never falls", func() string { return fmt.Sprint(l.settings.Self, " ", l.term, " ", term) })
	}
	if lead == l.leader && leads == l.isLeader && (term == l.term || !leads) {
		l.term = term
		return
	}
	l.term, l.leader, l.isLeader = term, lead, leads
	if leads {
		l.actions = append(l.actions, Action{Kind: BecameLeader, Term: term, Leader: l.settings.Self})
	} else {
		l.actions = append(l.actions, Action{Kind: LeaderChanged, Term: term, Leader: l.nameOf(lead)})
	}
}

// rememberSender keeps who sent a message, if the table does not have it: a voter with a new disk, admitted by entries that are not applied here
// yet. It must be answered, or they never come. One that the log does not admit is never counted by raft.
func (l *Log) rememberSender(m *message) {
	if !slices.Contains(l.settings.Voters, m.name) || l.nameOf(m.from) != "" {
		return
	}
	maps.DeleteFunc(l.recentSenders, func(_ uint64, name string) bool { return name == m.name }) // one disk for each name
	l.recentSenders[m.from] = m.name
}

func (l *Log) nameOf(id uint64) string {
	for i := range l.members {
		if l.members[i].raftID() == id {
			return l.members[i].Name
		}
	}
	return l.recentSenders[id]
}

// send has a message of raft's go to a voter.
func (l *Log) send(r *pb.Message) {
	b, err := proto.Marshal(r)
	if err != nil {
		l.stop(err.Error())
		return
	}
	m := &message{kind: kindRaft, group: l.group, from: r.GetFrom(), to: r.GetTo(), name: l.self.Name, data: b}
	if r.GetType() == pb.MsgSnap {
		l.startTransfer(m)
		return
	}
	l.sendTo(l.nameOf(r.GetTo()), m)
}

// sendTo has a message go to a voter by name.
func (l *Log) sendTo(name string, m *message) {
	if addr := l.addresses[name]; addr != "" {
		l.actions = append(l.actions, Action{Kind: Send, To: name, Addr: addr, Message: m.encode(nil)})
	}
}

// apply hands over what is agreed.
func (l *Log) apply(m *pb.Message) {
	for _, e := range m.GetEntries() {
		i := e.GetIndex()
		if c := l.settings.Checks; c.Enabled() {
			c.That(i == l.appliedIndex+1 && e.GetTerm() >= l.appliedTerm, "agreed: entries are applied one by one, in terms that never fall", func() string {
				return fmt.Sprint(l.settings.Self, " applies ", i, " of term ", e.GetTerm(), " after ", l.appliedIndex, " of term ", l.appliedTerm)
			})
		}
		l.appliedIndex, l.appliedTerm = i, e.GetTerm()
		l.entriesSinceSnapshot++
		l.bytesSinceSnapshot += len(e.GetData())
		switch e.GetType() {
		case pb.EntryConfChangeV2:
			l.applyConfChange(e)
		case pb.EntryNormal:
			if len(e.GetData()) > 0 {
				l.actions = append(l.actions, Action{Kind: Apply, Index: i, Term: e.GetTerm(), Entry: e.GetData()})
			}
		}
	}
	l.requestSnapshotIfDue()
	for _, r := range m.GetResponses() {
		_ = l.node.Step(r)
	}
}

// transferLeadership has another voter lead, the one that has most of the log.
func (l *Log) transferLeadership() {
	if l.node == nil || !l.isLeader {
		return
	}
	var best, most uint64
	st := l.node.Status()
	for _, v := range l.members {
		if p, ok := st.Progress[v.raftID()]; ok && v != l.self && p.RecentActive && (best == 0 || p.Match > most) {
			best, most = v.raftID(), p.Match
		}
	}
	if best != 0 {
		l.node.TransferLeader(best)
	}
}

// Status tells how the log stands here.
func (l *Log) Status() Status {
	s := Status{IsVoter: l.isVoter, Reason: l.stopReason, PendingForwards: len(l.forwarded), PendingWrites: len(l.pendingWrites), Members: l.members}
	if !l.isVoter {
		s.Leader = l.likelyLeader
		return s
	}
	if l.node == nil {
		if s.Reason == "" {
			s.Reason = "it waits for the other voters"
		}
		return s
	}
	st := l.node.BasicStatus()
	s.Participates, s.Leader, s.IsLeader, s.Term, s.CommitIndex, s.AppliedIndex = !l.awaitingAdmission, l.nameOf(st.Lead), l.isLeader, st.GetTerm(), st.GetCommit(), l.appliedIndex
	s.ChangingVoters = len(l.confState.GetVotersOutgoing()) > 0
	if l.awaitingAdmission {
		s.Reason = "its disk is new, and the others have not agreed to it yet"
	}
	s.FirstIndex, _ = l.storage.FirstIndex()
	s.LastIndex = max(l.lastIndex, s.FirstIndex-1)
	s.LogBytes = l.logBytes
	return s
}
