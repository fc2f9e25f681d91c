package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// transfers are snapshots on their way, in parts: one to each voter, one to this.
type transfers struct {
	outgoing     []*outgoingTransfer
	incoming     incomingTransfer
	lastTransfer uint64
}

type outgoingTransfer struct {
	message   *message
	to        string
	sequence  uint64
	ref       uint64
	nextChunk int
}

type incomingTransfer struct {
	from, sequence, nextChunk, count uint64
	data                             []byte
}

const maxChunks = (MaxSnapshotBytes+(1<<20))/MaxChunkBytes + 1

// startTransfer sends a message that is too large for a datagram.
func (l *Log) startTransfer(m *message) {
	l.outgoing = slices.DeleteFunc(l.outgoing, func(transfer *outgoingTransfer) bool { return transfer.message.to == m.to })
	l.lastTransfer++
	transfer := &outgoingTransfer{message: m, to: l.nameOf(m.to), sequence: l.lastTransfer}
	l.outgoing = append(l.outgoing, transfer)
	l.sendChunk(transfer)
}

// sendChunk sends the next part.
func (l *Log) sendChunk(transfer *outgoingTransfer) {
	addr := l.addresses[transfer.to]
	if addr == "" {
		l.finishTransfer(transfer, false)
		return
	}
	l.lastRef++
	transfer.ref = l.lastRef
	lo, hi := transfer.nextChunk*MaxChunkBytes, min((transfer.nextChunk+1)*MaxChunkBytes, len(transfer.message.data))
	m := &message{kind: kindChunk, group: transfer.message.group, from: transfer.message.from, to: transfer.message.to, ref: transfer.sequence, chunk: uint64(transfer.nextChunk), count: transfer.chunkCount(), data: transfer.message.data[lo:hi]}
	l.actions = append(l.actions, Action{Kind: Send, To: transfer.to, Addr: addr, Message: m.encode(nil), Stream: true, Ref: transfer.ref})
}

func (transfer *outgoingTransfer) chunkCount() uint64 {
	return uint64(max(1, (len(transfer.message.data)+MaxChunkBytes-1)/MaxChunkBytes))
}

// chunkSent goes on once a part has arrived.
func (l *Log) chunkSent(e StreamCompleted) {
	i := slices.IndexFunc(l.outgoing, func(transfer *outgoingTransfer) bool { return transfer.ref == e.Ref })
	if i < 0 {
		return
	}
	transfer := l.outgoing[i]
	if transfer.nextChunk++; !e.OK || uint64(transfer.nextChunk) == transfer.chunkCount() {
		l.finishTransfer(transfer, e.OK)
		return
	}
	l.sendChunk(transfer)
}

func (l *Log) finishTransfer(transfer *outgoingTransfer, ok bool) {
	l.outgoing = slices.DeleteFunc(l.outgoing, func(x *outgoingTransfer) bool { return x == transfer })
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	if l.node != nil {
		l.node.ReportSnapshot(transfer.message.to, status)
	}
}

// receiveChunk puts parts together; nil until the last has come.
func (l *Log) receiveChunk(m *message) []byte {
	c := &l.incoming
	if m.chunk == 0 && m.count <= maxChunks {
		*c = incomingTransfer{from: m.from, sequence: m.ref, count: m.count}
	}
	if c.from != m.from || c.sequence != m.ref || c.nextChunk != m.chunk || c.count != m.count || m.count == 0 {
		return nil
	}
	c.data = append(c.data, m.data...)
	if c.nextChunk++; c.nextChunk < c.count {
		return nil
	}
	data := c.data
	*c = incomingTransfer{}
	return data
}
