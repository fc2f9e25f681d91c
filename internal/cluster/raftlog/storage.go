package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The keys of the records on a disk: whose it is, raft's hard state, the snapshot, and the entries by their index.
const (
	keyMeta      = "meta"
	keyHardState = "hard"
	keySnapshot  = "snapshot"
	keyEntry     = "e/"
)

func entryKey(index uint64) string { return fmt.Sprintf("%s%016x", keyEntry, index) }

// diskState is what a voter's disk has once the pending writes are done.
type diskState struct {
	pendingWrites        []pendingWrite
	lastRef              uint64 // of a Store or of a Send by stream
	firstIndex           uint64 // of the entries that are there; firstIndex > lastIndex for none
	lastIndex            uint64
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	logBytes             int           // of entries in memory
	snapshotIndex        uint64        // of the snapshot that the Machine is asked for, 0 for none
	snapshotConf         *pb.ConfState // ...and the voters then
	snapshotMembers      []Member
	snapshotForced       bool // a snapshot is due whatever its size: the voters have changed
}

// pendingWrite is a write that waits for the disk, and what follows it.
type pendingWrite struct {
	ref     uint64
	message *pb.Message // raft's, nil for none
	then    func()
}

func (l *Log) writeRecords(records []Record, write pendingWrite) {
	l.lastRef++
	write.ref = l.lastRef
	l.pendingWrites = append(l.pendingWrites, write)
	l.actions = append(l.actions, Action{Kind: Store, Ref: write.ref, Records: records})
}

// storeAppend writes what raft wants to be durable.
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

// appendEntries appends records of entries, and the deletion of those behind them: a new leader replaces the end of the log.
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

// deleteEntries appends the deletion of the entries up to an index.
func (l *Log) deleteEntries(records []Record, upTo uint64) []Record {
	for ; l.firstIndex <= min(upTo, l.lastIndex); l.firstIndex++ {
		records = append(records, Record{Key: entryKey(l.firstIndex), Deleted: true})
	}
	return records
}

// marshal encodes a message of raft's, which has no field that could fail.
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

// identityRecord is whose disk it is.
func (l *Log) identityRecord() Record {
	m := &message{name: l.self.Name, disk: l.self.Disk, group: l.group, members: l.founding}
	return Record{Key: keyMeta, Value: m.encode(nil)}
}

// storeCompleted goes on with what waited for a write.
func (l *Log) storeCompleted(event StoreCompleted) {
	if l.stopReason != "" {
		return
	}
	if event.Err != nil {
		l.stop("its disk failed: " + event.Err.Error())
		return
	}
	if len(l.pendingWrites) == 0 || l.pendingWrites[0].ref != event.Ref {
		l.stop(fmt.Sprintf("the disk told of write %d out of turn", event.Ref))
		return
	}
	write := l.pendingWrites[0]
	l.pendingWrites = append(l.pendingWrites[:0], l.pendingWrites[1:]...)
	if write.then != nil {
		write.then()
	}
	if write.message == nil || l.node == nil {
		return
	}
	if err := l.takeStored(write.message); err != nil {
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

// takeStored lets raft read what has become durable.
func (l *Log) takeStored(m *pb.Message) error {
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
