package raftlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// discovery is a voter's way into a group.
type discovery struct {
	identityStored bool                // the disk has who this is, and of which group
	groupless      map[string]*message // who has no group either, by name
	nextDiscoverAt float64
	leaderSeenAt   float64 // when there was a leader last
	nextMemberAt   float64 // when another voter may be proposed
}

// discover asks the other voters who there is: by one that has no group, is not of it yet, or has not heard of a leader for long, as it may
// have been replaced.
func (l *Log) discover() {
	if l.node != nil && l.leader != raft.None {
		l.leaderSeenAt = l.now
	}
	alone := l.now > l.leaderSeenAt+3*float64(l.settings.ElectionTicks)*l.settings.TickInterval
	if !l.identityStored || l.stopReason != "" || l.now < l.nextDiscoverAt || !l.awaitingAdmission && l.group != 0 && !alone {
		return
	}
	l.nextDiscoverAt = l.now + float64(l.settings.ElectionTicks)*l.settings.TickInterval/2
	for _, v := range l.settings.Voters {
		if v != l.settings.Self {
			l.sendTo(v, &message{kind: kindDiscover, group: l.group, name: l.self.Name, disk: l.self.Disk, flag: l.awaitingAdmission || l.group == 0, index: l.appliedIndex})
		}
	}
}

// handleDiscover answers a voter that asks. Only what was said after the asker's disk was new counts for it, so its number comes back.
func (l *Log) handleDiscover(m *message) {
	if !l.identityStored || l.stopReason != "" || m.disk == 0 || m.name == l.settings.Self || !slices.Contains(l.settings.Voters, m.name) {
		return
	}
	asker := Member{m.name, m.disk}
	re := &message{kind: kindIdentity, name: l.self.Name, disk: l.self.Disk, askerDisk: m.disk, group: l.group, index: l.appliedIndex, members: l.members}
	if m.group == 0 && slices.Contains(l.founding, asker) {
		re.flag, re.members = true, l.founding
	}
	l.sendTo(m.name, re)
	if m.flag && m.group == l.group && l.isLeader {
		l.proposeMember(asker)
	}
}

// handleIdentity takes another voter's word on who there is.
func (l *Log) handleIdentity(m *message) {
	switch {
	case !l.identityStored || l.stopReason != "" || m.askerDisk != l.self.Disk || m.disk == 0 || m.name == l.settings.Self || !slices.Contains(l.settings.Voters, m.name):
	case l.group != 0:
		if m.group == l.group && l.awaitingAdmission && m.index > l.appliedIndex && len(m.members) > 0 {
			l.members = m.members // whom to answer, until the log tells
		}
		if m.group == l.group && !l.awaitingAdmission && m.index > l.appliedIndex && len(m.members) > 0 && !slices.Contains(m.members, l.self) {
			l.stop("another disk has this voter's place in the log: this one is to be emptied, or the pooler no voter")
		}
	case m.group != 0 && m.flag:
		if l.matchesVoters(m.members) {
			l.foundGroup(m.members)
		}
	case m.group != 0:
		l.group, l.awaitingAdmission, l.identityStored, l.members = m.group, true, false, m.members
		l.writeRecords([]Record{l.identityRecord()}, pendingWrite{then: func() {
			l.identityStored = true
			l.startRaft(0)
		}})
	default:
		l.groupless[m.name] = m
		all := []Member{l.self}
		for _, v := range l.settings.Voters {
			if h := l.groupless[v]; h != nil {
				all = append(all, Member{h.name, h.disk})
			}
		}
		slices.SortFunc(all, compareNames)
		if l.matchesVoters(all) {
			l.foundGroup(all)
		}
	}
}

func compareNames(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// matchesVoters tells whether these are the settings' voters, this one among them.
func (l *Log) matchesVoters(all []Member) bool {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Name
	}
	return slices.Equal(names, l.settings.Voters) && slices.Contains(all, l.self)
}

// foundGroup begins the log with the voters that have all said that they have nothing. Each begins the same.
func (l *Log) foundGroup(all []Member) {
	l.group, l.founding, l.identityStored = groupID(all), all, false
	s := initialSnapshot(all)
	h := initialHardState()
	l.writeRecords([]Record{l.identityRecord(), hardStateRecord(h), snapshotRecord(s)}, pendingWrite{then: func() {
		if err := l.storage.ApplySnapshot(s); err != nil {
			l.stop(err.Error())
			return
		}
		_ = l.storage.SetHardState(h)
		l.members, l.confState, l.firstIndex, l.lastIndex = all, s.GetMetadata().GetConfState(), 2, 1
		l.appliedTerm, l.identityStored, l.awaitingAdmission = 1, true, false
		l.startRaft(1)
	}})
}

func initialHardState() *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
}

func initialSnapshot(all []Member) *pb.Snapshot {
	c := &pb.ConfState{}
	for i := range all {
		c.Voters = append(c.Voters, all[i].raftID())
	}
	slices.Sort(c.Voters)
	return &pb.Snapshot{Data: (&message{members: all}).encode(nil), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: c}}
}

// groupID is a group's number by those that founded it.
func groupID(all []Member) uint64 { return max(1, xxhash.Sum64((&message{members: all}).encode(nil))) }

// proposeMember proposes a voter with a new disk in place of who had its name, or of one that the settings do not name any more.
func (l *Log) proposeMember(m Member) {
	if l.now < l.nextMemberAt || slices.Contains(l.members, m) || len(l.confState.GetVotersOutgoing()) > 0 {
		return
	}
	l.nextMemberAt = l.now + float64(l.settings.ElectionTicks)*l.settings.TickInterval
	old := slices.IndexFunc(l.members, func(x Member) bool { return x.Name == m.Name })
	if old < 0 && len(l.members) >= len(l.settings.Voters) {
		old = slices.IndexFunc(l.members, func(x Member) bool { return !slices.Contains(l.settings.Voters, x.Name) })
		if old < 0 {
			return
		}
	}
	add, gone := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	changes := []*pb.ConfChangeSingle{{Type: &add, NodeId: proto.Uint64(m.raftID())}}
	table := slices.Clone(l.members)
	if old >= 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: &gone, NodeId: proto.Uint64(l.members[old].raftID())})
		table = slices.Delete(table, old, old+1)
	}
	table = append(table, m)
	slices.SortFunc(table, compareNames)
	_ = l.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: (&message{members: table}).encode(nil)})
}

// applyConfChange applies a change of voters. Who comes new needs a snapshot that names it.
func (l *Log) applyConfChange(e *pb.Entry) {
	c := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), c); err != nil {
		l.stop("a change of voters: " + err.Error())
		return
	}
	l.confState = l.node.ApplyConfChange(c)
	if len(c.GetContext()) > 0 {
		m, err := decodeMessage(c.GetContext())
		if err != nil {
			l.stop("a change of voters: " + err.Error())
			return
		}
		l.members = m.members
		l.awaitingAdmission = l.awaitingAdmission && !slices.Contains(l.members, l.self)
		l.actions = append(l.actions, Action{Kind: VotersChanged, Index: e.GetIndex(), Members: l.members})
	}
	l.snapshotForced, l.storage.stale = true, true
}
