package merge

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrOrder says that a shard's rows are not in order.
var ErrOrder = errors.New("the shard's rows are not in the order asked for")

// Merge is one merge. It is not safe for concurrent use.
type Merge struct {
	windowBytes   int
	shards        []shard
	ready         readyHeap
	lackingShards int // shards that are open and have no row here
	heldBytes     int
}

// shard is what is here of one.
type shard struct {
	buffer  []byte // of rows: their head, key and text
	offset  int    // of the first row
	lastKey []byte // key of the row that came last
	open    bool
}

// headBytes is before a row: the lengths of its key, of the order's part of that, and of its text.
const headBytes = 12

// readyHeap is the shards that have a row, by which is first.
type readyHeap struct {
	merge  *Merge
	shards []int
	next   int // that Push puts in: a number in an interface would be an allocation
}

func (r *readyHeap) Len() int      { return len(r.shards) }
func (r *readyHeap) Swap(i, k int) { r.shards[i], r.shards[k] = r.shards[k], r.shards[i] }
func (r *readyHeap) Push(any)      { r.shards = append(r.shards, r.next) }
func (r *readyHeap) Pop() any {
	r.shards = r.shards[:len(r.shards)-1]
	return nil
}
func (r *readyHeap) Less(i, k int) bool {
	a, b := r.shards[i], r.shards[k]
	c := bytes.Compare(r.merge.shards[a].firstKey(), r.merge.shards[b].firstKey())
	return c < 0 || c == 0 && a < b
}

// firstKey is the order's part of the first row's key.
func (s *shard) firstKey() []byte {
	return s.buffer[s.offset+headBytes:][:binary.BigEndian.Uint32(s.buffer[s.offset+4:])]
}

// New makes a merge of so many shards, all open; window is how many bytes of each may be held.
func New(shards, window int) *Merge {
	m := &Merge{windowBytes: window, shards: make([]shard, shards), lackingShards: shards}
	m.ready = readyHeap{merge: m, shards: make([]int, 0, shards)}
	for i := range m.shards {
		m.shards[i].open = true
	}
	return m
}

// MaxHeldBytes is how many bytes are held at most by so many shards, with rows of so many bytes, key and all.
func MaxHeldBytes(shards, window, row int) int { return shards * (window + row + headBytes) }

// Add takes a shard's next row. own is where the shard's own part of the key begins. Neither key nor row is kept.
func (m *Merge) Add(i int, key []byte, own int, row []byte) error {
	s := &m.shards[i]
	if !s.open {
		return fmt.Errorf("shard %d: %w: a row behind its end", i, ErrOrder)
	}
	if len(s.lastKey) > 0 && bytes.Compare(s.lastKey, key) >= 0 {
		return fmt.Errorf("shard %d: %w", i, ErrOrder)
	}
	s.lastKey = append(s.lastKey[:0], key...)
	empty := s.empty()
	if s.offset > 0 && (s.offset == len(s.buffer) || s.offset > len(s.buffer)/2) {
		s.buffer, s.offset = s.buffer[:copy(s.buffer, s.buffer[s.offset:])], 0
	}
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(len(key)))
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(own))
	s.buffer = binary.BigEndian.AppendUint32(s.buffer, uint32(len(row)))
	s.buffer = append(append(s.buffer, key...), row...)
	m.heldBytes += headBytes + len(key) + len(row)
	if empty {
		m.lackingShards--
		m.ready.next = i
		heap.Push(&m.ready, nil)
	}
	return nil
}

func (s *shard) empty() bool { return s.offset == len(s.buffer) }

// Full tells whether a shard is to be read no further for now.
func (m *Merge) Full(i int) bool { return len(m.shards[i].buffer)-m.shards[i].offset >= m.windowBytes }

// Low tells whether a shard that was full may be read again.
func (m *Merge) Low(i int) bool { return len(m.shards[i].buffer)-m.shards[i].offset <= m.windowBytes/2 }

// LacksRow tells whether what goes out next waits for a row of this shard.
func (m *Merge) LacksRow(i int) bool { return m.shards[i].open && m.shards[i].empty() }

// HeldBytes is how many bytes are held.
func (m *Merge) HeldBytes() int { return m.heldBytes }

// End says that a shard has no more rows.
func (m *Merge) End(i int) {
	s := &m.shards[i]
	if s.open && s.empty() {
		m.lackingShards--
	}
	s.open = false
}

// LastKey is the key of a shard's row that came last, nil for none.
func (m *Merge) LastKey(i int) []byte { return m.shards[i].lastKey }

// Done tells whether all rows of all shards are out.
func (m *Merge) Done() bool { return m.lackingShards == 0 && len(m.ready.shards) == 0 }

// Next is the next row in order, with its shard and key, valid until the next Add; false while a shard's row is yet to come, or there
// are no more.
func (m *Merge) Next() (i int, key []byte, own int, row []byte, ok bool) {
	if m.lackingShards > 0 || len(m.ready.shards) == 0 {
		return 0, nil, 0, nil, false
	}
	i = m.ready.shards[0]
	s := &m.shards[i]
	b := s.buffer[s.offset:]
	k, r := int(binary.BigEndian.Uint32(b)), int(binary.BigEndian.Uint32(b[8:]))
	own = int(binary.BigEndian.Uint32(b[4:]))
	s.offset += headBytes + k + r
	m.heldBytes -= headBytes + k + r
	key, row = b[headBytes:headBytes+k], b[headBytes+k:headBytes+k+r]
	if s.empty() {
		heap.Remove(&m.ready, 0)
		if s.open {
			m.lackingShards++
		}
	} else {
		heap.Fix(&m.ready, 0)
	}
	return i, key, own, row, true
}
