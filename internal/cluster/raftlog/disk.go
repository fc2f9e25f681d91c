package raftlog

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The keys of what is on a disk: who this is, raft's promises, the snapshot, and the entries by their index.
const (
	keyMeta     = "meta"
	keyHard     = "hard"
	keySnapshot = "snapshot"
	keyEntry    = "e/"
)

func entryKey(i uint64) string { return fmt.Sprintf("%s%016x", keyEntry, i) }

// disk is what a voter has on its own, as it was asked for.
type disk struct {
	stores      []pending
	ref         uint64
	first, last uint64 // entries that are there, first > last for none
	since       int    // entries applied since the snapshot
	sinceBytes  int
	kept        int           // bytes of entries in memory
	asked       uint64        // index of the snapshot that the Machine was asked for, 0 for none
	askedConf   *pb.ConfState // ...and the voters then
	askedTable  []Member
	forced      bool // a snapshot is due whatever its size: the voters have changed
}

// pending is a write that waits for the disk, and what follows it.
type pending struct {
	ref  uint64
	msg  *pb.Message // raft's
	then func()
}

func (l *Log) write(records []Record, p pending) {
	l.ref++
	p.ref = l.ref
	l.stores = append(l.stores, p)
	l.out = append(l.out, Action{Kind: Store, Ref: p.ref, Records: records})
}

// store has raft's append be made durable.
func (l *Log) store(m *pb.Message) {
	var records []Record
	if m.Term != nil || m.Vote != nil || m.Commit != nil {
		records = append(records, hard(&pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}))
	}
	if s := m.GetSnapshot(); s != nil && !raft.IsEmptySnap(s) {
		records = append(records, snapshot(s))
		records = l.drop(records, l.last)
		l.first = s.GetMetadata().GetIndex() + 1
		l.last = l.first - 1
	}
	if es := m.GetEntries(); len(es) > 0 {
		last := es[len(es)-1].GetIndex()
		for i := last + 1; i <= l.last; i++ {
			records = append(records, Record{Key: entryKey(i), Gone: true})
		}
		for _, e := range es {
			b, _ := proto.Marshal(e)
			records = append(records, Record{Key: entryKey(e.GetIndex()), Value: b})
		}
		if l.first > l.last {
			l.first = es[0].GetIndex()
		}
		l.last = last
	}
	l.write(records, pending{msg: m})
}

// drop has the entries up to one be gone from the disk.
func (l *Log) drop(records []Record, upTo uint64) []Record {
	for ; l.first <= min(upTo, l.last); l.first++ {
		records = append(records, Record{Key: entryKey(l.first), Gone: true})
	}
	return records
}

func hard(h *pb.HardState) Record {
	b, _ := proto.Marshal(h)
	return Record{Key: keyHard, Value: b}
}

func snapshot(s *pb.Snapshot) Record {
	b, _ := proto.Marshal(s)
	return Record{Key: keySnapshot, Value: b}
}

// stored goes on with what waited for the disk: it has all up to here.
func (l *Log) stored(e Stored) {
	if l.broke != "" {
		return
	}
	if e.Err != nil {
		l.stop("its disk failed: " + e.Err.Error())
		return
	}
	if len(l.stores) == 0 || l.stores[0].ref != e.Ref {
		l.stop(fmt.Sprintf("the disk told of write %d out of turn", e.Ref))
		return
	}
	p := l.stores[0]
	l.stores = append(l.stores[:0], l.stores[1:]...)
	if p.then != nil {
		p.then()
	}
	if p.msg == nil || l.node == nil {
		return
	}
	if s := p.msg.GetSnapshot(); s != nil && !raft.IsEmptySnap(s) {
		if err := l.mem.ApplySnapshot(s); err != nil {
			l.stop(err.Error())
			return
		}
		if err := l.unpack(s); err != nil {
			l.stop(err.Error())
			return
		}
	}
	if err := l.mem.Append(p.msg.GetEntries()); err != nil {
		l.stop(err.Error())
		return
	}
	for _, x := range p.msg.GetEntries() {
		l.kept += len(x.GetData())
	}
	for _, r := range p.msg.GetResponses() {
		if r.GetTo() == l.self.number() {
			_ = l.node.Step(r)
		} else {
			l.send(r)
		}
	}
}

// unpack hands a snapshot's state over.
func (l *Log) unpack(s *pb.Snapshot) error {
	m, err := parse(s.GetData())
	if err != nil {
		return fmt.Errorf("a snapshot: %w", err)
	}
	l.table, l.conf = m.members, s.GetMetadata().GetConfState()
	l.applied, l.appliedTerm = s.GetMetadata().GetIndex(), s.GetMetadata().GetTerm()
	l.since, l.sinceBytes, l.kept, l.asked, l.forced, l.mem.stale = 0, 0, 0, 0, false, false
	l.isNew = !slices.Contains(l.table, l.self)
	l.out = append(l.out, Action{Kind: ApplySnapshot, Index: l.applied, Term: l.appliedTerm, Data: m.data})
	return nil
}

// want asks for the Machine's snapshot once there is enough behind the last.
func (l *Log) want() {
	if l.asked == 0 && (l.forced || l.since >= l.set.Every || l.sinceBytes >= l.set.SnapBytes) {
		l.asked, l.askedConf, l.askedTable = l.applied, l.conf, slices.Clone(l.table)
		l.since, l.sinceBytes, l.forced = 0, 0, false
		l.out = append(l.out, Action{Kind: TakeSnapshot, Index: l.applied})
	}
}

// taken keeps a snapshot, and lets go of entries long before it.
func (l *Log) taken(e Taken) {
	if l.node == nil || l.asked == 0 || e.Index != l.asked {
		return
	}
	l.asked = 0
	if len(e.Data) > MostSnapshot {
		l.stop(fmt.Sprintf("a snapshot of %d bytes; at most %d", len(e.Data), MostSnapshot))
		return
	}
	data := (&message{members: l.askedTable, data: e.Data}).append(nil)
	s, err := l.mem.CreateSnapshot(e.Index, l.askedConf, data)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return
	}
	if err != nil {
		l.stop(err.Error())
		return
	}
	if !l.forced {
		l.mem.stale = false
	}
	records := []Record{snapshot(s)}
	if e.Index > uint64(l.set.Keep) {
		to := e.Index - uint64(l.set.Keep)
		if err := l.mem.Compact(to); err == nil {
			l.kept = 0
			first, _ := l.mem.FirstIndex()
			last, _ := l.mem.LastIndex()
			if es, err := l.mem.Entries(first, last+1, 1<<40); err == nil {
				for _, x := range es {
					l.kept += len(x.GetData())
				}
			}
		}
		records = l.drop(records, to)
	}
	l.write(records, pending{})
	l.want()
}

// meta is who this voter is, as the disk has it.
func (l *Log) meta() Record {
	m := &message{name: l.self.Name, disk: l.self.Disk, group: l.group, members: l.founding}
	return Record{Key: keyMeta, Value: m.append(nil)}
}

// restore takes what the disk had at the start.
func (l *Log) restore(e Restored) {
	if l.restored || !l.votes {
		return
	}
	l.restored = true
	if e.Err != nil {
		l.stop("its disk cannot be read: " + e.Err.Error())
		return
	}
	if err := l.read(e.Records); err != nil {
		l.stop(err.Error())
	}
}

func (l *Log) read(records []Record) error {
	var meta *message
	h, s := &pb.HardState{}, &pb.Snapshot{}
	var entries []*pb.Entry
	for _, r := range records {
		var err error
		switch {
		case r.Key == keyMeta:
			meta, err = parse(r.Value)
		case r.Key == keyHard:
			err = proto.Unmarshal(r.Value, h)
		case r.Key == keySnapshot:
			err = proto.Unmarshal(r.Value, s)
		case strings.HasPrefix(r.Key, keyEntry):
			x := &pb.Entry{}
			err = proto.Unmarshal(r.Value, x)
			entries = append(entries, x)
		}
		if err != nil {
			return fmt.Errorf("its disk: record %q: %w", r.Key, err)
		}
	}
	l.mem = &memory{MemoryStorage: raft.NewMemoryStorage()}
	if meta == nil {
		if len(records) > 0 {
			return fmt.Errorf("its disk has %d records, but not whose they are", len(records))
		}
		l.self = Member{l.set.Self, l.rng.Uint64() | 1}
		l.write([]Record{l.meta()}, pending{then: func() { l.known = true }})
		return nil
	}
	if meta.name != l.set.Self {
		return fmt.Errorf("its disk is %q's, this pooler is %q", meta.name, l.set.Self)
	}
	l.self, l.group, l.founding, l.known = Member{meta.name, meta.disk}, meta.group, meta.members, true
	if l.group == 0 {
		return nil
	}
	base := s.GetMetadata().GetIndex()
	slices.SortFunc(entries, func(a, b *pb.Entry) int { return int(int64(a.GetIndex()) - int64(b.GetIndex())) })
	for len(entries) > 0 && entries[0].GetIndex() <= base { // from before the snapshot: they go from the disk with the next
		l.first = max(l.first, entries[0].GetIndex())
		entries = entries[1:]
	}
	for i, x := range entries {
		if x.GetIndex() != base+1+uint64(i) {
			return fmt.Errorf("its disk lacks entry %d", base+1+uint64(i))
		}
	}
	l.last = base + uint64(len(entries))
	if l.first == 0 {
		l.first = base + 1
	}
	if h.GetCommit() > l.last {
		return fmt.Errorf("its disk knows of %d entries and has %d", h.GetCommit(), l.last)
	}
	if h.GetCommit() < base {
		h.Commit = proto.Uint64(base)
	}
	l.isNew = true
	if base > 0 {
		if err := l.mem.ApplySnapshot(s); err != nil {
			return err
		}
		if err := l.unpack(s); err != nil {
			return err
		}
	}
	if err := errors.Join(l.mem.SetHardState(h), l.mem.Append(entries)); err != nil {
		return err
	}
	for _, x := range entries {
		l.kept += len(x.GetData())
	}
	l.begin(base)
	return nil
}
