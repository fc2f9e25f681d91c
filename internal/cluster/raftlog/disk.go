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
	keyMeta      = "meta"
	keyHardState = "hard"
	keySnapshot  = "snapshot"
	keyEntry     = "e/"
)

func entryKey(i uint64) string { return fmt.Sprintf("%s%016x", keyEntry, i) }

// diskState is what a voter has on its own, as it was asked for.
type diskState struct {
	pendingWrites         []pendingWrite
	lastRef               uint64
	firstIndex, lastIndex uint64 // entries that are there, first > last for none
	entriesSinceSnapshot  int    // entries applied since the snapshot
	bytesSinceSnapshot    int
	logBytes              int           // bytes of entries in memory
	snapshotIndex         uint64        // index of the snapshot that the Machine was asked for, 0 for none
	snapshotConf          *pb.ConfState // ...and the voters then
	snapshotMembers       []Member
	snapshotForced        bool // a snapshot is due whatever its size: the voters have changed
}

// pendingWrite is a write that waits for the disk, and what follows it.
type pendingWrite struct {
	ref     uint64
	message *pb.Message // raft's
	then    func()
}

func (l *Log) writeRecords(records []Record, p pendingWrite) {
	l.lastRef++
	p.ref = l.lastRef
	l.pendingWrites = append(l.pendingWrites, p)
	l.actions = append(l.actions, Action{Kind: Store, Ref: p.ref, Records: records})
}

// storeAppend has raft's append be made durable.
func (l *Log) storeAppend(m *pb.Message) {
	var records []Record
	if m.Term != nil || m.Vote != nil || m.Commit != nil {
		records = append(records, hardStateRecord(&pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}))
	}
	if s := m.GetSnapshot(); s != nil && !raft.IsEmptySnap(s) {
		records = append(records, snapshotRecord(s))
		records = l.deleteEntries(records, l.lastIndex)
		l.firstIndex = s.GetMetadata().GetIndex() + 1
		l.lastIndex = l.firstIndex - 1
	}
	if es := m.GetEntries(); len(es) > 0 {
		last := es[len(es)-1].GetIndex()
		for i := last + 1; i <= l.lastIndex; i++ {
			records = append(records, Record{Key: entryKey(i), Deleted: true})
		}
		for _, e := range es {
			b, _ := proto.Marshal(e)
			records = append(records, Record{Key: entryKey(e.GetIndex()), Value: b})
		}
		if l.firstIndex > l.lastIndex {
			l.firstIndex = es[0].GetIndex()
		}
		l.lastIndex = last
	}
	l.writeRecords(records, pendingWrite{message: m})
}

// deleteEntries has the entries up to one be gone from the disk.
func (l *Log) deleteEntries(records []Record, upTo uint64) []Record {
	for ; l.firstIndex <= min(upTo, l.lastIndex); l.firstIndex++ {
		records = append(records, Record{Key: entryKey(l.firstIndex), Deleted: true})
	}
	return records
}

func hardStateRecord(h *pb.HardState) Record {
	b, _ := proto.Marshal(h)
	return Record{Key: keyHardState, Value: b}
}

func snapshotRecord(s *pb.Snapshot) Record {
	b, _ := proto.Marshal(s)
	return Record{Key: keySnapshot, Value: b}
}

// storeCompleted goes on with what waited for the disk: it has all up to here.
func (l *Log) storeCompleted(e StoreCompleted) {
	if l.stopReason != "" {
		return
	}
	if e.Err != nil {
		l.stop("its disk failed: " + e.Err.Error())
		return
	}
	if len(l.pendingWrites) == 0 || l.pendingWrites[0].ref != e.Ref {
		l.stop(fmt.Sprintf("the disk told of write %d out of turn", e.Ref))
		return
	}
	p := l.pendingWrites[0]
	l.pendingWrites = append(l.pendingWrites[:0], l.pendingWrites[1:]...)
	if p.then != nil {
		p.then()
	}
	if p.message == nil || l.node == nil {
		return
	}
	if s := p.message.GetSnapshot(); s != nil && !raft.IsEmptySnap(s) {
		if err := l.storage.ApplySnapshot(s); err != nil {
			l.stop(err.Error())
			return
		}
		if err := l.installSnapshot(s); err != nil {
			l.stop(err.Error())
			return
		}
	}
	if err := l.storage.Append(p.message.GetEntries()); err != nil {
		l.stop(err.Error())
		return
	}
	for _, x := range p.message.GetEntries() {
		l.logBytes += len(x.GetData())
	}
	for _, r := range p.message.GetResponses() {
		if r.GetTo() == l.self.raftID() {
			_ = l.node.Step(r)
		} else {
			l.send(r)
		}
	}
}

// installSnapshot hands a snapshot's state over.
func (l *Log) installSnapshot(s *pb.Snapshot) error {
	m, err := decodeMessage(s.GetData())
	if err != nil {
		return fmt.Errorf("a snapshot: %w", err)
	}
	l.members, l.confState = m.members, s.GetMetadata().GetConfState()
	l.appliedIndex, l.appliedTerm = s.GetMetadata().GetIndex(), s.GetMetadata().GetTerm()
	l.entriesSinceSnapshot, l.bytesSinceSnapshot, l.logBytes, l.snapshotIndex, l.snapshotForced, l.storage.stale = 0, 0, 0, 0, false, false
	l.awaitingAdmission = !slices.Contains(l.members, l.self)
	l.actions = append(l.actions, Action{Kind: ApplySnapshot, Index: l.appliedIndex, Term: l.appliedTerm, Data: m.data})
	return nil
}

// requestSnapshotIfDue asks for the Machine's snapshot once there is enough behind the last.
func (l *Log) requestSnapshotIfDue() {
	if l.snapshotIndex == 0 && (l.snapshotForced || l.entriesSinceSnapshot >= l.settings.SnapshotEntries || l.bytesSinceSnapshot >= l.settings.SnapshotBytes) {
		l.snapshotIndex, l.snapshotConf, l.snapshotMembers = l.appliedIndex, l.confState, slices.Clone(l.members)
		l.entriesSinceSnapshot, l.bytesSinceSnapshot, l.snapshotForced = 0, 0, false
		l.actions = append(l.actions, Action{Kind: TakeSnapshot, Index: l.appliedIndex})
	}
}

// saveSnapshot keeps a snapshot, and lets go of entries long before it.
func (l *Log) saveSnapshot(e SnapshotTaken) {
	if l.node == nil || l.snapshotIndex == 0 || e.Index != l.snapshotIndex {
		return
	}
	l.snapshotIndex = 0
	if len(e.Data) > MaxSnapshotBytes {
		l.stop(fmt.Sprintf("a snapshot of %d bytes; at most %d", len(e.Data), MaxSnapshotBytes))
		return
	}
	data := (&message{members: l.snapshotMembers, data: e.Data}).encode(nil)
	s, err := l.storage.CreateSnapshot(e.Index, l.snapshotConf, data)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return
	}
	if err != nil {
		l.stop(err.Error())
		return
	}
	if !l.snapshotForced {
		l.storage.stale = false
	}
	records := []Record{snapshotRecord(s)}
	if e.Index > uint64(l.settings.KeepEntries) {
		to := e.Index - uint64(l.settings.KeepEntries)
		if err := l.storage.Compact(to); err == nil {
			l.logBytes = 0
			first, _ := l.storage.FirstIndex()
			last, _ := l.storage.LastIndex()
			if es, err := l.storage.Entries(first, last+1, 1<<40); err == nil {
				for _, x := range es {
					l.logBytes += len(x.GetData())
				}
			}
		}
		records = l.deleteEntries(records, to)
	}
	l.writeRecords(records, pendingWrite{})
	l.requestSnapshotIfDue()
}

// identityRecord is who this voter is, as the disk has it.
func (l *Log) identityRecord() Record {
	m := &message{name: l.self.Name, disk: l.self.Disk, group: l.group, members: l.founding}
	return Record{Key: keyMeta, Value: m.encode(nil)}
}

// loadStorage takes what the disk had at the start.
func (l *Log) loadStorage(e StorageLoaded) {
	if l.restored || !l.isVoter {
		return
	}
	l.restored = true
	if e.Err != nil {
		l.stop("its disk cannot be read: " + e.Err.Error())
		return
	}
	if err := l.loadRecords(e.Records); err != nil {
		l.stop(err.Error())
	}
}

func (l *Log) loadRecords(records []Record) error {
	var meta *message
	h, s := &pb.HardState{}, &pb.Snapshot{}
	var entries []*pb.Entry
	for _, r := range records {
		var err error
		switch {
		case r.Key == keyMeta:
			meta, err = decodeMessage(r.Value)
		case r.Key == keyHardState:
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
	l.storage = &logStorage{MemoryStorage: raft.NewMemoryStorage()}
	if meta == nil {
		if len(records) > 0 {
			return fmt.Errorf("its disk has %d records, but not whose they are", len(records))
		}
		l.self = Member{l.settings.Self, l.rng.Uint64() | 1}
		l.writeRecords([]Record{l.identityRecord()}, pendingWrite{then: func() { l.identityStored = true }})
		return nil
	}
	if meta.name != l.settings.Self {
		return fmt.Errorf("its disk is %q's, this pooler is %q", meta.name, l.settings.Self)
	}
	l.self, l.group, l.founding, l.identityStored = Member{meta.name, meta.disk}, meta.group, meta.members, true
	if l.group == 0 {
		return nil
	}
	base := s.GetMetadata().GetIndex()
	slices.SortFunc(entries, func(a, b *pb.Entry) int { return int(int64(a.GetIndex()) - int64(b.GetIndex())) })
	for len(entries) > 0 && entries[0].GetIndex() <= base { // from before the snapshot: they go from the disk with the next
		l.firstIndex = max(l.firstIndex, entries[0].GetIndex())
		entries = entries[1:]
	}
	for i, x := range entries {
		if x.GetIndex() != base+1+uint64(i) {
			return fmt.Errorf("its disk lacks entry %d", base+1+uint64(i))
		}
	}
	l.lastIndex = base + uint64(len(entries))
	if l.firstIndex == 0 {
		l.firstIndex = base + 1
	}
	if h.GetCommit() > l.lastIndex {
		return fmt.Errorf("its disk knows of %d entries and has %d", h.GetCommit(), l.lastIndex)
	}
	if h.GetCommit() < base {
		h.Commit = proto.Uint64(base)
	}
	l.awaitingAdmission = true
	if base > 0 {
		if err := l.storage.ApplySnapshot(s); err != nil {
			return err
		}
		if err := l.installSnapshot(s); err != nil {
			return err
		}
	}
	if err := errors.Join(l.storage.SetHardState(h), l.storage.Append(entries)); err != nil {
		return err
	}
	for _, x := range entries {
		l.logBytes += len(x.GetData())
	}
	l.startRaft(base)
	return nil
}
