package raftlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// founder is a voter's way into a group.
type founder struct {
	known   bool                // the disk has who this is, and of which group
	heard   map[string]*message // who has no group either, by name
	seekAt  float64
	leadAt  float64 // when there was a leader last
	admitAt float64 // when another voter may be proposed
}

// seek asks the other voters who there is: by one that has no group, is not of it yet, or has not heard of a leader for long, as it may
// have been replaced.
func (l *Log) seek() {
	if l.node != nil && l.lead != raft.None {
		l.leadAt = l.now
	}
	alone := l.now > l.leadAt+3*float64(l.set.Election)*l.set.Tick
	if !l.known || l.broke != "" || l.now < l.seekAt || !l.isNew && l.group != 0 && !alone {
		return
	}
	l.seekAt = l.now + float64(l.set.Election)*l.set.Tick/2
	for _, v := range l.set.Voters {
		if v != l.set.Self {
			l.tell(v, &message{verb: verbHello, group: l.group, name: l.self.Name, disk: l.self.Disk, flag: l.isNew || l.group == 0, index: l.applied})
		}
	}
}

// onHello answers a voter that asks. Only what was said after the asker's disk was new counts for it, so its number comes back.
func (l *Log) onHello(m *message) {
	if !l.known || l.broke != "" || m.disk == 0 || m.name == l.set.Self || !slices.Contains(l.set.Voters, m.name) {
		return
	}
	asker := Member{m.name, m.disk}
	re := &message{verb: verbIs, name: l.self.Name, disk: l.self.Disk, echo: m.disk, group: l.group, index: l.applied, members: l.table}
	if m.group == 0 && slices.Contains(l.founding, asker) {
		re.flag, re.members = true, l.founding
	}
	l.tell(m.name, re)
	if m.flag && m.group == l.group && l.leads {
		l.admit(asker)
	}
}

// onIs takes another voter's word on who there is.
func (l *Log) onIs(m *message) {
	switch {
	case !l.known || l.broke != "" || m.echo != l.self.Disk || m.disk == 0 || m.name == l.set.Self || !slices.Contains(l.set.Voters, m.name):
	case l.group != 0:
		if m.group == l.group && l.isNew && m.index > l.applied && len(m.members) > 0 {
			l.table = m.members // whom to answer, until the log tells
		}
		if m.group == l.group && !l.isNew && m.index > l.applied && len(m.members) > 0 && !slices.Contains(m.members, l.self) {
			l.stop("another disk has this voter's place in the log: this one is to be emptied, or the pooler no voter")
		}
	case m.group != 0 && m.flag:
		if l.fits(m.members) {
			l.found(m.members)
		}
	case m.group != 0:
		l.group, l.isNew, l.known, l.table = m.group, true, false, m.members
		l.write([]Record{l.meta()}, pending{then: func() {
			l.known = true
			l.begin(0)
		}})
	default:
		l.heard[m.name] = m
		all := []Member{l.self}
		for _, v := range l.set.Voters {
			if h := l.heard[v]; h != nil {
				all = append(all, Member{h.name, h.disk})
			}
		}
		slices.SortFunc(all, byName)
		if l.fits(all) {
			l.found(all)
		}
	}
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// fits tells whether these are the settings' voters, this one among them.
func (l *Log) fits(all []Member) bool {
	names := make([]string, len(all))
	for i := range all {
		names[i] = all[i].Name
	}
	return slices.Equal(names, l.set.Voters) && slices.Contains(all, l.self)
}

// found begins the log with the voters that have all said that they have nothing. Each begins the same.
func (l *Log) found(all []Member) {
	l.group, l.founding, l.known = groupOf(all), all, false
	s := firstSnapshot(all)
	h := firstHard()
	l.write([]Record{l.meta(), hard(h), snapshot(s)}, pending{then: func() {
		if err := l.mem.ApplySnapshot(s); err != nil {
			l.stop(err.Error())
			return
		}
		_ = l.mem.SetHardState(h)
		l.table, l.conf, l.first, l.last = all, s.GetMetadata().GetConfState(), 2, 1
		l.appliedTerm, l.known, l.isNew = 1, true, false
		l.begin(1)
	}})
}

func firstHard() *pb.HardState { return &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)} }

func firstSnapshot(all []Member) *pb.Snapshot {
	c := &pb.ConfState{}
	for i := range all {
		c.Voters = append(c.Voters, all[i].number())
	}
	slices.Sort(c.Voters)
	return &pb.Snapshot{Data: (&message{members: all}).append(nil), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: c}}
}

// groupOf is a group's number by those that founded it.
func groupOf(all []Member) uint64 { return max(1, xxhash.Sum64((&message{members: all}).append(nil))) }

// admit proposes a voter with a new disk in place of who had its name, or of one that the settings do not name any more.
func (l *Log) admit(m Member) {
	if l.now < l.admitAt || slices.Contains(l.table, m) || len(l.conf.GetVotersOutgoing()) > 0 {
		return
	}
	l.admitAt = l.now + float64(l.set.Election)*l.set.Tick
	old := slices.IndexFunc(l.table, func(x Member) bool { return x.Name == m.Name })
	if old < 0 && len(l.table) >= len(l.set.Voters) {
		old = slices.IndexFunc(l.table, func(x Member) bool { return !slices.Contains(l.set.Voters, x.Name) })
		if old < 0 {
			return
		}
	}
	add, gone := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	changes := []*pb.ConfChangeSingle{{Type: &add, NodeId: proto.Uint64(m.number())}}
	table := slices.Clone(l.table)
	if old >= 0 {
		changes = append(changes, &pb.ConfChangeSingle{Type: &gone, NodeId: proto.Uint64(l.table[old].number())})
		table = slices.Delete(table, old, old+1)
	}
	table = append(table, m)
	slices.SortFunc(table, byName)
	_ = l.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: (&message{members: table}).append(nil)})
}

// reform applies a change of voters. Who comes new needs a snapshot that names it.
func (l *Log) reform(e *pb.Entry) {
	c := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), c); err != nil {
		l.stop("a change of voters: " + err.Error())
		return
	}
	l.conf = l.node.ApplyConfChange(c)
	if len(c.GetContext()) > 0 {
		m, err := parse(c.GetContext())
		if err != nil {
			l.stop("a change of voters: " + err.Error())
			return
		}
		l.table = m.members
		l.isNew = l.isNew && !slices.Contains(l.table, l.self)
		l.out = append(l.out, Action{Kind: Voters, Index: e.GetIndex(), Members: l.table})
	}
	l.forced, l.mem.stale = true, true
}
