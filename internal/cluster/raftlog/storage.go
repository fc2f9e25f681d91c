package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The keys of the records on a disk: the voter's identity, raft's hard state, the snapshot, and the prefix of the keys of the entries.
const (
	keyMeta      = "meta"
	keyHardState = "hard"
	keySnapshot  = "snapshot"
	keyEntry     = "e/"
)

func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", keyEntry, index) }

// diskState describes a voter's disk as it is once the pending writes are done, and its snapshots.
type diskState struct {
	pendingWrites        []pendingWrite
	lastRef              uint64 // of the last Store or Send by stream
	firstIndex           uint64 // of the entries on the disk; firstIndex > lastIndex if there are none
	lastIndex            uint64
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	logBytes             int           // of entries in memory
	snapshotIndex        uint64        // of the snapshot that was requested from the Machine, 0 for none
	snapshotConf         *pb.ConfState // raft's voters at snapshotIndex
	snapshotMembers      []Member      // the members at snapshotIndex
	snapshotForced       bool          // a snapshot is due regardless of size, as the voters have changed
}

// pendingWrite is a write that waits for the disk, with what is done when it is durable.
type pendingWrite struct {
	ref       uint64
	message   *pb.Message // the raft message that requested the write, nil for none
	onDurable func()
}

func (l *Log) writeRecords(records []Record, write pendingWrite) {
	l.lastRef++
	write.ref = l.lastRef
	l.pendingWrites = append(l.pendingWrites, write)
	l.actions = append(l.actions, Action{Kind: Store, Ref: write.ref, Records: records})
}

// storeAppend writes the hard state, the snapshot and the entries that raft requests to be stored.
func (l *Log) storeAppend(m *pb.Message) {
	var records []Record
	if m.Term != nil || m.Vote != nil || m.Commit != nil {
		records = append(records, hardStateRecord(&pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}))
	}
	if snapshot := m.GetSnapshot(); snapshot != nil && !raft.IsEmptySnap(snapshot) {
		records = append(records, snapshotRecord(snapshot))
		records = l.deleteEntries(records, l.lastIndex)
		l.firstIndex = snapshot.GetMetadata().GetIndex() + 1
		l.lastIndex = l.firstIndex - 1
	}
	if entries := m.GetEntries(); len(entries) > 0 {
		records = l.appendEntries(records, entries)
	}
	l.writeRecords(records, pendingWrite{message: m})
}

// appendEntries appends the records of entries, and deletes the stored entries after them, as a new leader may replace the end of the log.
func (l *Log) appendEntries(records []Record, entries []*pb.Entry) []Record {
	last := entries[len(entries)-1].GetIndex()
	for index := last + 1; index <= l.lastIndex; index++ {
		records = append(records, Record{Key: entryKey(index), Deleted: true})
	}
	for _, entry := range entries {
		records = append(records, Record{Key: entryKey(entry.GetIndex()), Value: marshal(entry)})
	}
	if l.firstIndex > l.lastIndex {
		l.firstIndex = entries[0].GetIndex()
	}
	l.lastIndex = last
	return records
}

// deleteEntries appends records that delete the stored entries up to an index.
func (l *Log) deleteEntries(records []Record, upTo uint64) []Record {
	for ; l.firstIndex <= min(upTo, l.lastIndex); l.firstIndex++ {
		records = append(records, Record{Key: entryKey(l.firstIndex), Deleted: true})
	}
	return records
}

// marshal encodes a raft message. None of its fields can fail to encode.
func marshal(m proto.Message) []byte {
	b, _ := proto.Marshal(m)
	return b
}

func hardStateRecord(hardState *pb.HardState) Record {
	return Record{Key: keyHardState, Value: marshal(hardState)}
}

func snapshotRecord(snapshot *pb.Snapshot) Record {
	return Record{Key: keySnapshot, Value: marshal(snapshot)}
}

// identityRecord returns the record of the voter that the disk belongs to, and of its group.
func (l *Log) identityRecord() Record {
	m := &message{name: l.self.Name, disk: l.self.Disk, group: l.group, members: l.founding}
	return Record{Key: keyMeta, Value: m.encode(nil)}
}

// storeCompleted does what waited for a write, and sends the messages that may be sent only after it.
func (l *Log) storeCompleted(event StoreCompleted) {
	if l.stopReason != "" {
		return
	}
	if event.Err != nil {
		l.stop("writing to the disk failed: " + event.Err.Error())
		return
	}
	if len(l.pendingWrites) == 0 || l.pendingWrites[0].ref != event.Ref {
		l.stop(fmt.Sprintf("the disk reported the completion of write %d out of order", event.Ref))
		return
	}
	write := l.pendingWrites[0]
	l.pendingWrites = append(l.pendingWrites[:0], l.pendingWrites[1:]...)
	if write.onDurable != nil {
		write.onDurable()
	}
	if write.message == nil || l.node == nil {
		return
	}
	if err := l.updateMemoryStorage(write.message); err != nil {
		l.stop(err.Error())
		return
	}
	for _, response := range write.message.GetResponses() {
		if response.GetTo() == l.self.raftID() {
			_ = l.node.Step(response)
		} else {
			l.send(response)
		}
	}
}

// updateMemoryStorage adds what has become durable to the memory storage from which raft reads.
func (l *Log) updateMemoryStorage(m *pb.Message) error {
	if snapshot := m.GetSnapshot(); snapshot != nil && !raft.IsEmptySnap(snapshot) {
		if err := l.storage.ApplySnapshot(snapshot); err != nil {
			return err
		}
		if err := l.installSnapshot(snapshot); err != nil {
			return err
		}
	}
	if err := l.storage.Append(m.GetEntries()); err != nil {
		return err
	}
	for _, entry := range m.GetEntries() {
		l.logBytes += len(entry.GetData())
	}
	return nil
}
