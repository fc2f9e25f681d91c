package raftlog

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// noLimit is a size in bytes that no log reaches.
const noLimit = 1 << 40

// installSnapshot delivers a snapshot's state to the Machine, and takes the voters from it.
func (l *Log) installSnapshot(snapshot *pb.Snapshot) error {
	m, err := decodeMessage(snapshot.GetData())
	if err != nil {
		return fmt.Errorf("cannot decode a snapshot: %w", err)
	}
	metadata := snapshot.GetMetadata()
	l.members = m.members
	l.confState = metadata.GetConfState()
	l.appliedIndex = metadata.GetIndex()
	l.appliedTerm = metadata.GetTerm()
	l.entriesSinceSnapshot = 0
	l.bytesSinceSnapshot = 0
	l.logBytes = 0
	l.snapshotIndex = 0
	l.snapshotForced = false
	l.storage.snapshotOutdated = false
	l.awaitingAdmission = !slices.Contains(l.members, l.self)
	l.actions = append(l.actions, Action{Kind: ApplySnapshot, Index: l.appliedIndex, Term: l.appliedTerm, Data: m.data})
	return nil
}

// requestSnapshotIfDue requests a snapshot of the Machine once enough entries or bytes follow the last one, or the voters have changed.
func (l *Log) requestSnapshotIfDue() {
	large := l.entriesSinceSnapshot >= l.settings.SnapshotEntries || l.bytesSinceSnapshot >= l.settings.SnapshotBytes
	if l.snapshotIndex != 0 || !large && !l.snapshotForced {
		return
	}
	l.snapshotIndex = l.appliedIndex
	l.snapshotConf = l.confState
	l.snapshotMembers = slices.Clone(l.members)
	l.entriesSinceSnapshot = 0
	l.bytesSinceSnapshot = 0
	l.snapshotForced = false
	l.actions = append(l.actions, Action{Kind: TakeSnapshot, Index: l.appliedIndex})
}

// saveSnapshot stores a snapshot, and deletes the entries that are more than KeepEntries before it.
func (l *Log) saveSnapshot(event SnapshotTaken) {
	if l.node == nil || l.snapshotIndex == 0 || event.Index != l.snapshotIndex {
		return
	}
	l.snapshotIndex = 0
	if len(event.Data) > MaxSnapshotBytes {
		l.stop(fmt.Sprintf("the snapshot has %d bytes, more than the maximum of %d", len(event.Data), MaxSnapshotBytes))
		return
	}
	data := (&message{members: l.snapshotMembers, data: event.Data}).encode(nil)
	snapshot, err := l.storage.CreateSnapshot(event.Index, l.snapshotConf, data)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return
	}
	if err != nil {
		l.stop(err.Error())
		return
	}
	if !l.snapshotForced {
		l.storage.snapshotOutdated = false
	}
	records := []Record{snapshotRecord(snapshot)}
	if keep := uint64(l.settings.KeepEntries); event.Index > keep {
		l.compactMemory(event.Index - keep)
		records = l.deleteEntries(records, event.Index-keep)
	}
	l.writeRecords(records, pendingWrite{})
	l.requestSnapshotIfDue()
}

// compactMemory drops the entries up to an index from memory, if there are any, and recomputes logBytes.
func (l *Log) compactMemory(upTo uint64) {
	if err := l.storage.Compact(upTo); err != nil {
		return // there are no such entries
	}
	l.logBytes = 0
	first, _ := l.storage.FirstIndex()
	last, _ := l.storage.LastIndex()
	entries, err := l.storage.Entries(first, last+1, noLimit)
	if err != nil {
		return
	}
	for _, entry := range entries {
		l.logBytes += len(entry.GetData())
	}
}
