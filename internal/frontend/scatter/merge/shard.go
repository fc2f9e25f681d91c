package merge

import (
	"bytes"
	"encoding/binary"
)

// shard holds rows of a shard.
type shard struct {
	buffer  []byte // rows, each encoded as its head, key and message
	offset  int    // offset of the first row in buffer
	lastKey []byte // key of the row added last
	open    bool   // it may have more rows
}

// The head of a row in shard.buffer consists of the lengths of the key, of the order's part of the key (before the shard's own
// part), and of the message, 4 bytes each.
const (
	headBytes           = 12
	orderLengthOffset   = 4
	messageLengthOffset = 8
)

func (s *shard) empty() bool { return s.offset == len(s.buffer) }

func (s *shard) bytes() int { return len(s.buffer) - s.offset }

// compact removes the returned rows from the buffer once they take up more than half of it.
func (s *shard) compact() {
	if s.offset > 0 && (s.empty() || s.offset > len(s.buffer)/2) {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.offset:])]
		s.offset = 0
	}
}

func (s *shard) append(key []byte, ownOffset int, message []byte) {
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(len(key)))
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(ownOffset))
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(len(message)))
	s.buffer = append(s.buffer, key...)
	s.buffer = append(s.buffer, message...)
}

// first returns the first row. Its Shard is not set.
func (s *shard) first() Row {
	b := s.buffer[s.offset:]
	keyLength := int(binary.BigEndian.Uint32(b))
	messageLength := int(binary.BigEndian.Uint32(b[messageLengthOffset:]))
	messageStart := headBytes + keyLength
	return Row{
		Key:       b[headBytes:messageStart],
		OwnOffset: int(binary.BigEndian.Uint32(b[orderLengthOffset:])),
		Message:   b[messageStart : messageStart+messageLength],
	}
}

// orderKey returns the key of the first row without the shard's own part.
func (s *shard) orderKey() []byte {
	length := binary.BigEndian.Uint32(s.buffer[s.offset+orderLengthOffset:])
	return s.buffer[s.offset+headBytes:][:length]
}

// readyHeap is a heap of the shards of which rows are held, sorted by their first rows. It implements heap.Interface.
type readyHeap struct {
	merge  *Merge
	shards []int
	pushed int // the shard that Push adds; an argument of type any would need an allocation
}

// Len implements heap.Interface.
func (r *readyHeap) Len() int { return len(r.shards) }

// Swap implements heap.Interface.
func (r *readyHeap) Swap(i, k int) { r.shards[i], r.shards[k] = r.shards[k], r.shards[i] }

// Push implements heap.Interface. It adds r.pushed.
func (r *readyHeap) Push(any) { r.shards = append(r.shards, r.pushed) }

// Pop implements heap.Interface. The result is not used.
func (r *readyHeap) Pop() any {
	r.shards = r.shards[:len(r.shards)-1]
	return nil
}

// Less implements heap.Interface. Shards whose first rows have equal keys are sorted by number.
func (r *readyHeap) Less(i, k int) bool {
	a, b := r.shards[i], r.shards[k]
	order := bytes.Compare(r.merge.shards[a].orderKey(), r.merge.shards[b].orderKey())
	return order < 0 || order == 0 && a < b
}
