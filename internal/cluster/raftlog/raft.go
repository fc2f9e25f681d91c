package raftlog

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Bounds of what raft does at a time.
const (
	maxMessageBytes     = 1000 // of entries in a message, unless one entry is larger
	maxInflightMessages = 256  // messages of entries to one voter that are not answered
	maxApplyBytes       = 1 << 20
)

// logStorage is what raft reads of the log. While a change of voters has no snapshot after it, there is no snapshot for a new voter.
type logStorage struct {
	*raft.MemoryStorage
	stale bool
}

// Snapshot returns the last snapshot; it is a method of raft.Storage.
func (s *logStorage) Snapshot() (*pb.Snapshot, error) {
	if s.stale {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}

// startRaft starts raft on what the disk has.
func (l *Log) startRaft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        l.self.raftID(),
		ElectionTick:              l.settings.ElectionTicks,
		HeartbeatTick:             l.settings.HeartbeatTicks,
		Storage:                   l.storage,
		Applied:                   applied,
		AsyncStorageWrites:        true,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxApplyBytes,
		MaxUncommittedEntriesSize: uint64(l.settings.MaxPendingBytes),
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    silentLogger{},
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
	})
	if err != nil {
		l.stop(err.Error())
		return
	}
	l.node = node
	l.appliedIndex = applied
}

// receive takes a message of another pooler. What is malformed is dropped.
func (l *Log) receive(event MessageReceived) {
	m, err := decodeMessage(event.Message)
	if err != nil {
		return
	}
	switch m.kind {
	case kindForward:
		l.handleForward(event.From, m)
	case kindForwardResult:
		l.handleForwardResult(m)
	case kindDiscover:
		l.handleDiscover(m)
	case kindIdentity:
		l.handleIdentity(m)
	case kindRaft, kindChunk:
		l.receiveRaft(m)
	}
}

// receiveRaft takes a message of raft's, or a part of one.
func (l *Log) receiveRaft(m *message) {
	if l.node == nil || m.group != l.group || m.to != l.self.raftID() {
		return
	}
	l.rememberSender(m)
	data := m.data
	if m.kind == kindChunk {
		data = l.receiveChunk(m)
		if data == nil {
			return // more chunks are to come
		}
	}
	r := &pb.Message{}
	if proto.Unmarshal(data, r) == nil && r.GetFrom() == m.from && r.GetTo() == m.to {
		l.stepRaft(r)
	}
}

// stepRaft gives raft a message of another voter, if it is of a type that voters send. Raft ignores what does not fit its state.
func (l *Log) stepRaft(r *pb.Message) {
	switch r.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		_ = l.node.Step(r)
		if l.node.BasicStatus().Lead == r.GetFrom() {
			l.ticksWithoutLeader = 0
		}
	case pb.MsgVote:
		before := l.node.BasicStatus().HardState
		_ = l.node.Step(r)
		after := l.node.BasicStatus()
		isNewVote := before.GetVote() != after.GetVote() || before.GetTerm() != after.GetTerm()
		if after.GetVote() == r.GetFrom() && isNewVote {
			l.ticksWithoutLeader = 0 // the candidate gets the time to win
		}
	case pb.MsgAppResp, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp, pb.MsgTimeoutNow:
		_ = l.node.Step(r)
	}
}

// processReady carries out what raft asks for, and reports a change of leader.
func (l *Log) processReady() {
	for l.node != nil && l.node.HasReady() {
		ready := l.node.Ready()
		for _, m := range ready.Messages {
			l.processMessage(m)
			if l.node == nil {
				return
			}
		}
	}
	if l.node != nil {
		l.reportLeader()
	}
}

func (l *Log) processMessage(m *pb.Message) {
	switch m.GetTo() {
	case raft.LocalAppendThread:
		l.storeAppend(m)
	case raft.LocalApplyThread:
		l.apply(m)
	default:
		l.send(m)
	}
}

// reportLeader reports that this voter leads, in each term, or whom it follows.
func (l *Log) reportLeader() {
	status := l.node.BasicStatus()
	term := status.GetTerm()
	isLeader := status.RaftState == raft.StateLeader
	l.checkTerm(term)
	sameLeader := status.Lead == l.leader && isLeader == l.isLeader
	sameTerm := term == l.term
	l.term = term
	if sameLeader && (sameTerm || !isLeader) {
		return
	}
	l.leader = status.Lead
	l.isLeader = isLeader
	if isLeader {
		l.actions = append(l.actions, Action{Kind: BecameLeader, Term: term, Leader: l.settings.Self})
	} else {
		l.actions = append(l.actions, Action{Kind: LeaderChanged, Term: term, Leader: l.nameOf(l.leader)})
	}
}

// rememberSender keeps who sent a message, if members does not have it: a voter with a new disk, which was admitted by entries that are not
// applied here yet. It must be answered, or they never come. One that the log does not admit is never counted by raft.
func (l *Log) rememberSender(m *message) {
	if !slices.Contains(l.settings.Voters, m.name) || l.nameOf(m.from) != "" {
		return
	}
	maps.DeleteFunc(l.recentSenders, func(_ uint64, name string) bool { return name == m.name }) // one disk for each name
	l.recentSenders[m.from] = m.name
}

// nameOf returns the name of a voter by raft's number, empty for one that is not known.
func (l *Log) nameOf(id uint64) string {
	for i := range l.members {
		if l.members[i].raftID() == id {
			return l.members[i].Name
		}
	}
	return l.recentSenders[id]
}

// send sends a message of raft's to a voter.
func (l *Log) send(r *pb.Message) {
	data, err := proto.Marshal(r)
	if err != nil {
		l.stop(err.Error())
		return
	}
	m := &message{kind: kindRaft, group: l.group, from: r.GetFrom(), to: r.GetTo(), name: l.self.Name, data: data}
	if r.GetType() == pb.MsgSnap {
		l.startTransfer(m)
		return
	}
	l.sendTo(l.nameOf(r.GetTo()), m)
}

// sendTo sends a message to a voter, if it can be reached.
func (l *Log) sendTo(name string, m *message) {
	if addr := l.addresses[name]; addr != "" {
		l.actions = append(l.actions, Action{Kind: Send, To: name, Addr: addr, Message: m.encode(nil)})
	}
}

// apply hands committed entries over.
func (l *Log) apply(m *pb.Message) {
	for _, entry := range m.GetEntries() {
		l.applyEntry(entry)
	}
	l.requestSnapshotIfDue()
	for _, response := range m.GetResponses() {
		_ = l.node.Step(response)
	}
}

func (l *Log) applyEntry(entry *pb.Entry) {
	index, term := entry.GetIndex(), entry.GetTerm()
	l.checkApplied(index, term)
	l.appliedIndex = index
	l.appliedTerm = term
	l.entriesSinceSnapshot++
	l.bytesSinceSnapshot += len(entry.GetData())
	switch entry.GetType() {
	case pb.EntryConfChangeV2:
		l.applyConfChange(entry)
	case pb.EntryNormal:
		if len(entry.GetData()) > 0 {
			l.actions = append(l.actions, Action{Kind: Apply, Index: index, Term: term, Entry: entry.GetData()})
		}
	}
}
