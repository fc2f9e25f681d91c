package raftlog

import (
	"cmp"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func compareNames(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// proposeMember proposes to add a voter with a new disk, in place of the member with the same name, or of one that the settings no longer
// name.
func (l *Log) proposeMember(added Member) {
	changing := len(l.confState.GetVotersOutgoing()) > 0
	if l.now < l.nextMemberAt || slices.Contains(l.members, added) || changing {
		return
	}
	l.nextMemberAt = l.now + l.settings.electionTimeout()
	replaced, allowed := l.memberReplacedBy(added)
	if !allowed {
		return
	}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	changes := []*pb.ConfChangeSingle{{Type: &add, NodeId: proto.Uint64(added.raftID())}}
	members := slices.Clone(l.members)
	if replaced >= 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: &remove, NodeId: proto.Uint64(l.members[replaced].raftID())})
		members = slices.Delete(members, replaced, replaced+1)
	}
	members = append(members, added)
	slices.SortFunc(members, compareNames)
	change := &pb.ConfChangeV2{Changes: changes, Context: (&message{members: members}).encode(nil)}
	_ = l.node.ProposeConfChange(change) // if the proposal is dropped, the voter asks again
}

// memberReplacedBy returns the index of the member that a voter replaces, -1 if it fills a free place. allowed is false if there is
// neither.
func (l *Log) memberReplacedBy(added Member) (index int, allowed bool) {
	index = slices.IndexFunc(l.members, func(member Member) bool { return member.Name == added.Name })
	if index >= 0 || len(l.members) < len(l.settings.Voters) {
		return index, true
	}
	index = slices.IndexFunc(l.members, func(member Member) bool { return !slices.Contains(l.settings.Voters, member.Name) })
	return index, index >= 0
}

// applyConfChange applies a membership change and forces a snapshot, as a new voter needs one that names it.
func (l *Log) applyConfChange(entry *pb.Entry) {
	change := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		l.stop("cannot decode a membership change: " + err.Error())
		return
	}
	l.confState = l.node.ApplyConfChange(change)
	if len(change.GetContext()) > 0 {
		m, err := decodeMessage(change.GetContext())
		if err != nil {
			l.stop("cannot decode a membership change: " + err.Error())
			return
		}
		l.members = m.members
		l.awaitingAdmission = l.awaitingAdmission && !slices.Contains(l.members, l.self)
		l.actions = append(l.actions, Action{Kind: VotersChanged, Index: entry.GetIndex(), Members: l.members})
	}
	l.snapshotForced = true
	l.storage.snapshotOutdated = true
}
