package raftlog

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// reservedRaftIDs is how many of the highest IDs are left to raft's internal use.
const reservedRaftIDs = 16

// Log is one pooler's side of the replicated log.
type Log struct {
	settings      Settings
	now           float64
	nextTickAt    float64
	rng           *rand.Rand
	actions       []Action
	stopReason    string            // why this voter takes no further part, empty while it does
	addresses     map[string]string // of the voters that can be reached, by name
	recentSenders map[uint64]string // names of voters that sent messages but are not in members, by raft ID

	// As a voter.
	isVoter           bool
	restored          bool
	self              Member
	group             uint64 // ID of the group, 0 for none
	founding          []Member
	members           []Member // sorted by name, as of the last applied change
	awaitingAdmission bool     // the log does not name this voter with its disk
	node              *raft.RawNode
	storage           *logStorage
	confState         *pb.ConfState
	discovery
	diskState
	transfers

	// The random election timeout is drawn here, as raft's own random source cannot be seeded.
	ticksWithoutLeader int
	electionJitter     int // ticks beyond ElectionTicks

	// As last reported by an action.
	term     uint64
	leader   uint64 // raft ID, raft.None if unknown
	isLeader bool

	appliedIndex uint64
	appliedTerm  uint64

	forwarding
}

// raftID returns the ID by which raft knows a voter: a hash of its name and the number of its disk.
func (m *Member) raftID() uint64 {
	var disk [8]byte
	binary.BigEndian.PutUint64(disk[:], m.Disk)
	hash := xxhash.Sum64(append(disk[:], m.Name...))
	return min(max(hash, 1), math.MaxUint64-reservedRaftIDs)
}

// New returns a pooler's log. A voter does nothing before StorageLoaded.
func New(settings Settings, now float64) *Log {
	settings.Voters = slices.Clone(settings.Voters)
	slices.Sort(settings.Voters)
	l := &Log{
		settings: settings, now: now, nextTickAt: now + settings.TickInterval,
		addresses: map[string]string{}, recentSenders: map[uint64]string{},
		isVoter: slices.Contains(settings.Voters, settings.Self),
	}
	l.rng = rand.New(rand.NewPCG(settings.Seed, xxhash.Sum64String(settings.Self)^math.Float64bits(now)))
	l.electionJitter = l.rng.IntN(settings.ElectionTicks)
	l.groupless = map[string]*message{}
	return l
}

// Next returns when the next Tick is due, in ms.
func (l *Log) Next() float64 { return l.nextTickAt }

// Handle processes one event and appends the actions that it causes. If raft panics because of an impossible state, this voter takes no
// further part, but the pooler keeps running.
func (l *Log) Handle(now float64, event Event, actions []Action) (all []Action) {
	l.now = max(now, l.now)
	l.actions = actions
	defer func() {
		if r := recover(); r != nil {
			l.stop(fmt.Sprintf("the raft library panicked: %v", r))
		}
		all, l.actions = l.actions, nil
	}()
	l.handleEvent(event)
	l.advanceClock()
	l.processReady()
	return l.actions
}

func (l *Log) handleEvent(event Event) {
	switch event := event.(type) {
	case MessageReceived:
		l.receive(event)
	case AddressesChanged:
		clear(l.addresses)
		for _, voter := range event.Voters {
			l.addresses[voter.Name] = voter.Addr
		}
	case Propose:
		l.propose(event)
	case StorageLoaded:
		l.loadStorage(event)
	case StoreCompleted:
		l.storeCompleted(event)
	case SnapshotTaken:
		l.saveSnapshot(event)
	case StreamCompleted:
		l.chunkSent(event)
	case Shutdown:
		l.transferLeadership()
	}
}

// stop ends this voter's participation. Only the first reason is kept.
func (l *Log) stop(reason string) {
	if l.stopReason != "" {
		return
	}
	l.stopReason = reason
	l.node = nil
	l.pendingWrites = nil
	l.leader = 0
	l.isLeader = false
	l.actions = append(l.actions, Action{Kind: Stopped, Text: reason})
}

// advanceClock does the work of the ticks that have passed.
func (l *Log) advanceClock() {
	ticks := l.countTicks()
	if ticks == 0 {
		return
	}
	l.expireForwards()
	if l.node != nil {
		l.tickRaft(ticks)
	}
	l.discover()
}

// countTicks returns how many ticks have passed. After a long pause it returns no more than an election takes.
func (l *Log) countTicks() int {
	ticks := 0
	for l.now >= l.nextTickAt {
		l.nextTickAt += l.settings.TickInterval
		ticks++
		if ticks > 2*l.settings.ElectionTicks+1 {
			l.nextTickAt = l.now + l.settings.TickInterval
		}
	}
	return ticks
}

// tickRaft passes ticks to raft. A leader that was suspended counts all missed ticks, so that it notices that nobody answered. Any other
// voter counts one: this process was unresponsive, not the others.
func (l *Log) tickRaft(ticks int) {
	wasSuspended := ticks > 2
	for range ticks {
		status := l.node.BasicStatus()
		if status.RaftState == raft.StateLeader {
			l.ticksWithoutLeader = 0
			l.node.Tick()
			continue
		}
		l.tickFollower(status.Lead)
		if wasSuspended {
			return
		}
	}
}

// tickFollower forgets a leader that was silent for ElectionTicks, and campaigns after the random part of the election timeout.
func (l *Log) tickFollower(leader uint64) {
	l.ticksWithoutLeader++
	if l.ticksWithoutLeader >= l.settings.ElectionTicks && leader != raft.None {
		_ = l.node.ForgetLeader() // as raft's own timeout would do: another candidate may now get this voter's vote
	}
	if l.ticksWithoutLeader >= l.settings.ElectionTicks+l.electionJitter {
		l.ticksWithoutLeader = 0
		l.electionJitter = l.rng.IntN(l.settings.ElectionTicks)
		_ = l.node.Campaign() // fails only for a voter that may not campaign
	}
}

// transferLeadership transfers leadership to the active voter whose log is the most complete.
func (l *Log) transferLeadership() {
	if l.node == nil || !l.isLeader {
		return
	}
	var best, most uint64
	status := l.node.Status()
	for _, member := range l.members {
		progress, known := status.Progress[member.raftID()]
		if !known || member == l.self || !progress.RecentActive {
			continue
		}
		if best == 0 || progress.Match > most {
			best = member.raftID()
			most = progress.Match
		}
	}
	if best != 0 {
		l.node.TransferLeader(best)
	}
}

// Status returns the state of the log at this pooler.
func (l *Log) Status() Status {
	status := Status{
		IsVoter: l.isVoter, Reason: l.stopReason, PendingForwards: len(l.forwarded), PendingWrites: len(l.pendingWrites), Members: l.members,
	}
	switch {
	case !l.isVoter:
		status.Leader = l.likelyLeader
	case l.node != nil:
		l.addRaftStatus(&status)
	case status.Reason == "":
		status.Reason = "waiting for the other voters to found or admit to a group"
	}
	return status
}

func (l *Log) addRaftStatus(status *Status) {
	basic := l.node.BasicStatus()
	status.Participates = !l.awaitingAdmission
	status.Leader = l.nameOf(basic.Lead)
	status.IsLeader = l.isLeader
	status.Term = basic.GetTerm()
	status.CommitIndex = basic.GetCommit()
	status.AppliedIndex = l.appliedIndex
	status.ChangingVoters = len(l.confState.GetVotersOutgoing()) > 0
	if l.awaitingAdmission {
		status.Reason = "the disk is new, and the group has not admitted it yet"
	}
	status.FirstIndex, _ = l.storage.FirstIndex()
	status.LastIndex = max(l.lastIndex, status.FirstIndex-1)
	status.LogBytes = l.logBytes
}
