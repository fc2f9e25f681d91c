package raftlog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// discovery is the state by which a voter finds, founds or joins a group.
type discovery struct {
	identityStored bool                // this voter's identity and group are durable on the disk
	groupless      map[string]*message // the last answers of voters without a group, by name
	nextDiscoverAt float64
	leaderSeenAt   float64
	nextMemberAt   float64 // the earliest time of the next membership proposal
}

// discover asks the other voters for their group if this voter has none, is not admitted yet, or has seen no leader for three election
// timeouts, as it may have been replaced.
func (l *Log) discover() {
	if l.node != nil && l.leader != raft.None {
		l.leaderSeenAt = l.now
	}
	if !l.identityStored || l.stopReason != "" || l.now < l.nextDiscoverAt {
		return
	}
	leaderless := l.now > l.leaderSeenAt+3*float64(l.settings.ElectionTicks)*l.settings.TickInterval
	isMember := l.group != 0 && !l.awaitingAdmission
	if isMember && !leaderless {
		return
	}
	l.nextDiscoverAt = l.now + l.settings.electionTimeout()/2
	for _, voter := range l.settings.Voters {
		if voter != l.settings.Self {
			l.sendTo(voter, &message{
				kind: kindDiscover, group: l.group, name: l.self.Name, disk: l.self.Disk, flag: !isMember, index: l.appliedIndex,
			})
		}
	}
}

// isOtherVoter reports whether a message is from another voter of the settings, and this voter runs and its own identity is durable.
func (l *Log) isOtherVoter(m *message) bool {
	if !l.identityStored || l.stopReason != "" {
		return false
	}
	return m.disk != 0 && m.name != l.settings.Self && slices.Contains(l.settings.Voters, m.name)
}

// handleDiscover answers a voter that asks for the group. The asker accepts only answers that were given after its disk got its number, so
// the answer names that number.
func (l *Log) handleDiscover(m *message) {
	if !l.isOtherVoter(m) {
		return
	}
	asker := Member{Name: m.name, Disk: m.disk}
	answer := &message{
		kind: kindIdentity, name: l.self.Name, disk: l.self.Disk, askerDisk: m.disk, group: l.group, index: l.appliedIndex, members: l.members,
	}
	if m.group == 0 && slices.Contains(l.founding, asker) {
		answer.flag = true
		answer.members = l.founding
	}
	l.sendTo(m.name, answer)
	if m.flag && m.group == l.group && l.isLeader {
		l.proposeMember(asker)
	}
}

// handleIdentity handles another voter's answer to kindDiscover.
func (l *Log) handleIdentity(m *message) {
	if !l.isOtherVoter(m) || m.askerDisk != l.self.Disk {
		return
	}
	switch {
	case l.group != 0:
		l.compareMembers(m)
	case m.group != 0 && m.flag: // this voter is a founder of that group, but has not stored it yet
		if l.matchesVoters(m.members) {
			l.foundGroup(m.members)
		}
	case m.group != 0:
		l.joinGroup(m)
	default:
		l.foundIfComplete(m)
	}
}

// compareMembers compares this voter with the members of a voter that has applied more of the log.
func (l *Log) compareMembers(m *message) {
	if m.group != l.group || m.index <= l.appliedIndex || len(m.members) == 0 {
		return
	}
	switch {
	case l.awaitingAdmission:
		l.members = m.members // the voters to answer, until the log has the members
	case !slices.Contains(m.members, l.self):
		l.stop("the log has replaced this voter by one with another disk: empty this disk, or remove the pooler from the voters")
	}
}

// joinGroup stores the group of another voter, and waits for admission to it.
func (l *Log) joinGroup(m *message) {
	l.group = m.group
	l.awaitingAdmission = true
	l.identityStored = false
	l.members = m.members
	l.writeRecords([]Record{l.identityRecord()}, pendingWrite{onDurable: func() {
		l.identityStored = true
		l.startRaft(0)
	}})
}

// foundIfComplete founds the group once all voters have answered that they belong to none.
func (l *Log) foundIfComplete(m *message) {
	l.groupless[m.name] = m
	all := []Member{l.self}
	for _, voter := range l.settings.Voters {
		if known := l.groupless[voter]; known != nil {
			all = append(all, Member{Name: known.name, Disk: known.disk})
		}
	}
	slices.SortFunc(all, compareNames)
	if l.matchesVoters(all) {
		l.foundGroup(all)
	}
}

// matchesVoters reports whether members are the voters of the settings, this one among them.
func (l *Log) matchesVoters(members []Member) bool {
	names := make([]string, len(members))
	for i := range members {
		names[i] = members[i].Name
	}
	return slices.Equal(names, l.settings.Voters) && slices.Contains(members, l.self)
}

// foundGroup starts the log of a new group. Each founder starts with the same snapshot and hard state.
func (l *Log) foundGroup(founders []Member) {
	l.group = groupID(founders)
	l.founding = founders
	l.identityStored = false
	snapshot := initialSnapshot(founders)
	hardState := initialHardState()
	records := []Record{l.identityRecord(), hardStateRecord(hardState), snapshotRecord(snapshot)}
	l.writeRecords(records, pendingWrite{onDurable: func() {
		if err := l.storage.ApplySnapshot(snapshot); err != nil {
			l.stop(err.Error())
			return
		}
		_ = l.storage.SetHardState(hardState) // memory storage does not fail
		l.members = founders
		l.confState = snapshot.GetMetadata().GetConfState()
		l.firstIndex = initialIndex + 1
		l.lastIndex = initialIndex
		l.appliedTerm = initialTerm
		l.identityStored = true
		l.awaitingAdmission = false
		l.startRaft(initialIndex)
	}})
}

// A group starts with a snapshot of its founders in place of the first entry.
const (
	initialIndex = 1
	initialTerm  = 1
)

func initialHardState() *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(initialTerm), Commit: proto.Uint64(initialIndex)}
}

func initialSnapshot(founders []Member) *pb.Snapshot {
	confState := &pb.ConfState{}
	for i := range founders {
		confState.Voters = append(confState.Voters, founders[i].raftID())
	}
	slices.Sort(confState.Voters)
	return &pb.Snapshot{
		Data:     (&message{members: founders}).encode(nil),
		Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(initialIndex), Term: proto.Uint64(initialTerm), ConfState: confState},
	}
}

// groupID returns the ID of the group with these founders.
func groupID(founders []Member) uint64 {
	return max(1, xxhash.Sum64((&message{members: founders}).encode(nil)))
}

// BootstrapRecords returns the disk records of a voter of the group of these founders, for tests and for a start with a known group.
func BootstrapRecords(self Member, founders []Member) []Record {
	m := &message{name: self.Name, disk: self.Disk, group: groupID(founders), members: founders}
	return []Record{{Key: keyMeta, Value: m.encode(nil)}, hardStateRecord(initialHardState()), snapshotRecord(initialSnapshot(founders))}
}
