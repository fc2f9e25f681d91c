package raftlog

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Limits given to raft.
const (
	maxMessageBytes     = 1000    // of entries in a message, unless one entry is larger
	maxInflightMessages = 256     // unanswered messages with entries to one voter
	maxApplyBytes       = 1 << 20 // of entries that are applied at a time
)

// logStorage is the memory storage from which raft reads the log. After a membership change it has no snapshot for a new voter until one
// that includes the change is taken.
type logStorage struct {
	*raft.MemoryStorage
	snapshotOutdated bool // the last snapshot is older than the last membership change
}

// Snapshot returns the last snapshot; it implements raft.Storage.
func (s *logStorage) Snapshot() (*pb.Snapshot, error) {
	if s.snapshotOutdated {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}

// startRaft starts raft on the loaded storage, whose entries up to applied are in the Machine's snapshot.
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

// receive handles a message of another pooler. Malformed messages are dropped.
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

// receiveRaft handles a raft message, or a chunk of one.
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

// stepRaft passes another voter's message to raft, if it is of a type that voters send. Raft ignores messages that do not fit its state.
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
			l.ticksWithoutLeader = 0 // gives the candidate the time to win
		}
	case pb.MsgAppResp, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp, pb.MsgTimeoutNow:
		_ = l.node.Step(r)
	}
}

// processReady processes the messages that raft has ready, and reports a change of leader.
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

// reportLeader reports that this voter leads, once in each term, or a change of the leader that it follows.
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

// rememberSender records the sender of a message if it is not in members: it may be a voter with a new disk that was admitted by entries
// not yet applied here. It must be answered, as it may be the leader, without whom those entries never arrive. Raft never counts a sender
// that the log does not admit.
func (l *Log) rememberSender(m *message) {
	if !slices.Contains(l.settings.Voters, m.name) || l.nameOf(m.from) != "" {
		return
	}
	maps.DeleteFunc(l.recentSenders, func(_ uint64, name string) bool { return name == m.name }) // at most one disk for each name
	l.recentSenders[m.from] = m.name
}

// nameOf returns the name of the voter with a raft ID, empty if it is unknown.
func (l *Log) nameOf(id uint64) string {
	for i := range l.members {
		if l.members[i].raftID() == id {
			return l.members[i].Name
		}
	}
	return l.recentSenders[id]
}

// send sends a raft message to a voter.
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

// apply delivers committed entries.
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
