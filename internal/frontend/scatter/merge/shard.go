package merge

import (
	"bytes"
	"encoding/binary"
)

// shard has the rows of a shard that are held.
type shard struct {
	buffer  []byte // rows: the head, the key and the message of each
	offset  int    // of the first row
	lastKey []byte // of the row that was added last
	open    bool   // it may have more rows
}

// The head of a row in shard.buffer: the lengths of its key, of the order's part of the key, and of its message, 4 bytes each.
const (
	headBytes           = 12
	ownOffset           = 4
	messageLengthOffset = 8
)

func (s *shard) empty() bool { return s.offset == len(s.buffer) }

func (s *shard) bytes() int { return len(s.buffer) - s.offset }

// compact removes the rows before the first from the buffer, once they are the larger part of it.
func (s *shard) compact() {
	if s.offset > 0 && (s.empty() || s.offset > len(s.buffer)/2) {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.offset:])]
		s.offset = 0
	}
}

func (s *shard) append(key []byte, own int, message []byte) {
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(len(key)))
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(own))
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(len(message)))
	s.buffer = append(s.buffer, key...)
	s.buffer = append(s.buffer, message...)
}

// first returns the first row, without the shard's number.
func (s *shard) first() Row {
	b := s.buffer[s.offset:]
	keyLength := int(binary.BigEndian.Uint32(b))
	messageLength := int(binary.BigEndian.Uint32(b[messageLengthOffset:]))
	messageStart := headBytes + keyLength
	return Row{
		Key:       b[headBytes:messageStart],
		OwnOffset: int(binary.BigEndian.Uint32(b[ownOffset:])),
		Message:   b[messageStart : messageStart+messageLength],
	}
}

// orderKey returns the order's part of the first row's key.
func (s *shard) orderKey() []byte {
	length := binary.BigEndian.Uint32(s.buffer[s.offset+ownOffset:])
	return s.buffer[s.offset+headBytes:][:length]
}

// readyHeap is a heap of the shards that have a row, by the order of these. It implements heap.Interface.
type readyHeap struct {
	merge  *Merge
	shards []int
	pushed int // the shard that Push adds: as an argument it would need an allocation
}

// Len implements heap.Interface.
func (r *readyHeap) Len() int { return len(r.shards) }

// Swap implements heap.Interface.
func (r *readyHeap) Swap(i, k int) { r.shards[i], r.shards[k] = r.shards[k], r.shards[i] }

// Push implements heap.Interface. It adds pushed.
func (r *readyHeap) Push(any) { r.shards = append(r.shards, r.pushed) }

// Pop implements heap.Interface. The result is not used.
func (r *readyHeap) Pop() any {
	r.shards = r.shards[:len(r.shards)-1]
	return nil
}

// Less implements heap.Interface. Rows with equal keys are in the order of their shards.
func (r *readyHeap) Less(i, k int) bool {
	a, b := r.shards[i], r.shards[k]
	order := bytes.Compare(r.merge.shards[a].orderKey(), r.merge.shards[b].orderKey())
	return order < 0 || order == 0 && a < b
}
