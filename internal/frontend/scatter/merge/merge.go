package merge

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
)

// ErrOrder is returned for a shard whose rows are not in order.
var ErrOrder = errors.New("the rows of the shard are not in the requested order")

// Merge merges the rows of shards. It is not safe for concurrent use.
type Merge struct {
	windowBytes   int
	shards        []shard
	ready         readyHeap
	lackingShards int // number of open shards of which no row is held
	heldBytes     int
}

// Row is a row in the merged order. Key and Message are valid until the next Add.
type Row struct {
	Shard     int
	Key       []byte
	OwnOffset int // offset of the shard's own part of Key
	Message   []byte
}

// New makes a merge of shards, which are all open. windowBytes is the size of the window of each shard; see Full.
func New(shards, windowBytes int) *Merge {
	m := &Merge{windowBytes: windowBytes, shards: make([]shard, shards), lackingShards: shards}
	m.ready = readyHeap{merge: m, shards: make([]int, 0, shards)}
	for i := range m.shards {
		m.shards[i].open = true
	}
	return m
}

// MaxHeldBytes returns the upper bound of the bytes held of shards whose rows have at most maxRowBytes, keys included, provided that no
// shard is read while it is full.
func MaxHeldBytes(shards, windowBytes, maxRowBytes int) int {
	return shards * (windowBytes + maxRowBytes + headBytes)
}

// Add adds the next row of a shard. The shard's own part of the key begins at ownOffset. Neither key nor message is retained.
func (m *Merge) Add(i int, key []byte, ownOffset int, message []byte) error {
	s := &m.shards[i]
	if !s.open {
		return fmt.Errorf("shard %d: %w: a row was added after the end of the rows", i, ErrOrder)
	}
	if len(s.lastKey) > 0 && bytes.Compare(s.lastKey, key) >= 0 {
		return fmt.Errorf("shard %d: %w", i, ErrOrder)
	}
	s.lastKey = append(s.lastKey[:0], key...)
	wasEmpty := s.empty()
	s.compact()
	s.append(key, ownOffset, message)
	m.heldBytes += headBytes + len(key) + len(message)
	if wasEmpty {
		m.lackingShards--
		m.ready.pushed = i
		heap.Push(&m.ready, nil)
	}
	return nil
}

// End reports that a shard has no more rows.
func (m *Merge) End(i int) {
	s := &m.shards[i]
	if s.open && s.empty() {
		m.lackingShards--
	}
	s.open = false
}

// Next removes and returns the next row in order. ok is false while the next row is not known because an open shard has none, and after
// the last row.
func (m *Merge) Next() (row Row, ok bool) {
	if m.lackingShards > 0 || len(m.ready.shards) == 0 {
		return Row{}, false
	}
	i := m.ready.shards[0]
	s := &m.shards[i]
	row = s.first()
	row.Shard = i
	length := headBytes + len(row.Key) + len(row.Message)
	s.offset += length
	m.heldBytes -= length
	if !s.empty() {
		heap.Fix(&m.ready, 0)
		return row, true
	}
	heap.Remove(&m.ready, 0)
	if s.open {
		m.lackingShards++
	}
	return row, true
}

// Full reports whether a shard must not be read for now, as at least windowBytes of its rows are held.
func (m *Merge) Full(i int) bool { return m.shards[i].bytes() >= m.windowBytes }

// Low reports whether a shard that was full may be read again, as at most half of windowBytes is held.
func (m *Merge) Low(i int) bool { return m.shards[i].bytes() <= m.windowBytes/2 }

// LacksRow reports whether Next needs a row of a shard that was not added yet.
func (m *Merge) LacksRow(i int) bool { return m.shards[i].open && m.shards[i].empty() }

// LastKey returns the key of the row of a shard that was added last, nil if there is none.
func (m *Merge) LastKey(i int) []byte { return m.shards[i].lastKey }

// HeldBytes returns the number of bytes held.
func (m *Merge) HeldBytes() int { return m.heldBytes }

// Done reports whether all shards have ended and all rows were returned.
func (m *Merge) Done() bool { return m.lackingShards == 0 && len(m.ready.shards) == 0 }
