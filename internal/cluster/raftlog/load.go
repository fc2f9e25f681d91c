package raftlog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// diskContents is the decoded contents of a disk.
type diskContents struct {
	identity  *message // nil for a new disk
	hardState *pb.HardState
	snapshot  *pb.Snapshot
	entries   []*pb.Entry // unsorted until loadLog
}

// loadStorage starts a voter from the contents of its disk.
func (l *Log) loadStorage(event StorageLoaded) {
	if l.restored || !l.isVoter {
		return
	}
	l.restored = true
	if event.Err != nil {
		l.stop("cannot read the disk: " + event.Err.Error())
		return
	}
	if err := l.loadRecords(event.Records); err != nil {
		l.stop(err.Error())
	}
}

func (l *Log) loadRecords(records []Record) error {
	disk, err := decodeRecords(records)
	if err != nil {
		return err
	}
	l.storage = &logStorage{MemoryStorage: raft.NewMemoryStorage()}
	if disk.identity == nil {
		return l.startNewDisk(len(records))
	}
	if disk.identity.name != l.settings.Self {
		return fmt.Errorf("the disk belongs to voter %q, but this pooler is %q", disk.identity.name, l.settings.Self)
	}
	l.self = Member{Name: disk.identity.name, Disk: disk.identity.disk}
	l.group = disk.identity.group
	l.founding = disk.identity.members
	l.identityStored = true
	if l.group == 0 {
		return nil
	}
	if err := l.loadLog(disk); err != nil {
		return err
	}
	l.startRaft(disk.snapshot.GetMetadata().GetIndex())
	return nil
}

func decodeRecords(records []Record) (*diskContents, error) {
	disk := &diskContents{hardState: &pb.HardState{}, snapshot: &pb.Snapshot{}}
	for _, record := range records {
		if err := disk.decodeRecord(record); err != nil {
			return nil, fmt.Errorf("cannot decode disk record %q: %w", record.Key, err)
		}
	}
	return disk, nil
}

func (d *diskContents) decodeRecord(record Record) (err error) {
	switch {
	case record.Key == keyMeta:
		d.identity, err = decodeMessage(record.Value)
	case record.Key == keyHardState:
		err = proto.Unmarshal(record.Value, d.hardState)
	case record.Key == keySnapshot:
		err = proto.Unmarshal(record.Value, d.snapshot)
	case strings.HasPrefix(record.Key, keyEntry):
		entry := &pb.Entry{}
		err = proto.Unmarshal(record.Value, entry)
		d.entries = append(d.entries, entry)
	}
	return err
}

// startNewDisk draws the number of an empty disk, and stores this voter's identity.
func (l *Log) startNewDisk(records int) error {
	if records > 0 {
		return fmt.Errorf("the disk has %d records, but no voter identity", records)
	}
	l.self = Member{Name: l.settings.Self, Disk: l.rng.Uint64() | 1}
	l.writeRecords([]Record{l.identityRecord()}, pendingWrite{onDurable: func() { l.identityStored = true }})
	return nil
}

// loadLog loads the snapshot, the entries after it and the hard state, and checks that they are consistent.
func (l *Log) loadLog(disk *diskContents) error {
	base := disk.snapshot.GetMetadata().GetIndex()
	slices.SortFunc(disk.entries, func(a, b *pb.Entry) int { return cmp.Compare(a.GetIndex(), b.GetIndex()) })
	for len(disk.entries) > 0 && disk.entries[0].GetIndex() <= base { // retained from before the snapshot; the next snapshot deletes them
		l.firstIndex = max(l.firstIndex, disk.entries[0].GetIndex())
		disk.entries = disk.entries[1:]
	}
	for i, entry := range disk.entries {
		if expected := base + 1 + uint64(i); entry.GetIndex() != expected {
			return fmt.Errorf("the disk lacks log entry %d", expected)
		}
	}
	l.lastIndex = base + uint64(len(disk.entries))
	if l.firstIndex == 0 {
		l.firstIndex = base + 1
	}
	if disk.hardState.GetCommit() > l.lastIndex {
		return fmt.Errorf("the disk has committed index %d, but its last log entry is %d", disk.hardState.GetCommit(), l.lastIndex)
	}
	if disk.hardState.GetCommit() < base {
		disk.hardState.Commit = proto.Uint64(base)
	}
	return l.fillMemoryStorage(disk)
}

// fillMemoryStorage copies the contents of the disk to the memory storage from which raft reads.
func (l *Log) fillMemoryStorage(disk *diskContents) error {
	l.awaitingAdmission = true
	if disk.snapshot.GetMetadata().GetIndex() > 0 {
		if err := l.storage.ApplySnapshot(disk.snapshot); err != nil {
			return err
		}
		if err := l.installSnapshot(disk.snapshot); err != nil {
			return err
		}
	}
	if err := errors.Join(l.storage.SetHardState(disk.hardState), l.storage.Append(disk.entries)); err != nil {
		return err
	}
	for _, entry := range disk.entries {
		l.logBytes += len(entry.GetData())
	}
	return nil
}
