package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// maxChunks bounds the chunks of a snapshot message, with 1 MiB for what raft adds to the snapshot.
const maxChunks = (MaxSnapshotBytes+(1<<20))/MaxChunkBytes + 1

// transfers are the snapshots that are being sent in chunks, one to each voter, and the one that is being received.
type transfers struct {
	outgoing     []*outgoingTransfer
	incoming     incomingTransfer
	lastTransfer uint64
}

// outgoingTransfer is a message that is too large for a datagram. Each chunk is sent once the previous one has arrived.
type outgoingTransfer struct {
	message   *message
	to        string // the voter's name
	sequence  uint64 // distinguishes the transfers of this process
	ref       uint64 // of the chunk that is being sent
	nextChunk int
}

type incomingTransfer struct {
	from      uint64
	sequence  uint64
	nextChunk uint64
	count     uint64
	data      []byte
}

// startTransfer starts to send a message in chunks. It cancels an unfinished transfer to the same voter.
func (l *Log) startTransfer(m *message) {
	l.outgoing = slices.DeleteFunc(l.outgoing, func(transfer *outgoingTransfer) bool { return transfer.message.to == m.to })
	l.lastTransfer++
	transfer := &outgoingTransfer{message: m, to: l.nameOf(m.to), sequence: l.lastTransfer}
	l.outgoing = append(l.outgoing, transfer)
	l.sendChunk(transfer)
}

// sendChunk sends the next chunk; it fails the transfer if the voter cannot be reached.
func (l *Log) sendChunk(transfer *outgoingTransfer) {
	addr := l.addresses[transfer.to]
	if addr == "" {
		l.finishTransfer(transfer, false)
		return
	}
	l.lastRef++
	transfer.ref = l.lastRef
	full := transfer.message
	from := transfer.nextChunk * MaxChunkBytes
	to := min(from+MaxChunkBytes, len(full.data))
	chunk := &message{
		kind: kindChunk, group: full.group, from: full.from, to: full.to, ref: transfer.sequence,
		chunk: uint64(transfer.nextChunk), count: transfer.chunkCount(), data: full.data[from:to],
	}
	l.actions = append(l.actions, Action{Kind: Send, To: transfer.to, Addr: addr, Message: chunk.encode(nil), Stream: true, Ref: transfer.ref})
}

func (t *outgoingTransfer) chunkCount() uint64 {
	return uint64(max(1, (len(t.message.data)+MaxChunkBytes-1)/MaxChunkBytes))
}

// chunkSent sends the next chunk once one has arrived, or finishes the transfer.
func (l *Log) chunkSent(event StreamCompleted) {
	i := slices.IndexFunc(l.outgoing, func(transfer *outgoingTransfer) bool { return transfer.ref == event.Ref })
	if i < 0 {
		return
	}
	transfer := l.outgoing[i]
	transfer.nextChunk++
	if !event.OK || uint64(transfer.nextChunk) == transfer.chunkCount() {
		l.finishTransfer(transfer, event.OK)
		return
	}
	l.sendChunk(transfer)
}

// finishTransfer ends a transfer and reports its result to raft.
func (l *Log) finishTransfer(transfer *outgoingTransfer, ok bool) {
	l.outgoing = slices.DeleteFunc(l.outgoing, func(other *outgoingTransfer) bool { return other == transfer })
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	if l.node != nil {
		l.node.ReportSnapshot(transfer.message.to, status)
	}
}

// receiveChunk adds a chunk to the incoming transfer. It returns the complete message with the last chunk, and nil before. It drops a chunk
// that is not the next one; the first chunk of another transfer replaces the current transfer.
func (l *Log) receiveChunk(m *message) []byte {
	incoming := &l.incoming
	if m.chunk == 0 && m.count <= maxChunks {
		*incoming = incomingTransfer{from: m.from, sequence: m.ref, count: m.count}
	}
	sameTransfer := incoming.from == m.from && incoming.sequence == m.ref && incoming.count == m.count
	if !sameTransfer || incoming.nextChunk != m.chunk || m.count == 0 {
		return nil
	}
	incoming.data = append(incoming.data, m.data...)
	incoming.nextChunk++
	if incoming.nextChunk < incoming.count {
		return nil
	}
	data := incoming.data
	*incoming = incomingTransfer{}
	return data
}
