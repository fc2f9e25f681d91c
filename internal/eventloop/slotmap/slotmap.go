// Package slotmap implements a table of numbered slots. A reference holds the index of a slot and its generation, so that a late callback
// with a reference to a removed value finds nothing, rather than the value that uses the slot now.
//
// A table grows with the largest number of values that it has held at once, and never shrinks. It is not safe for concurrent use.
package slotmap

// Ref refers to one value in a Table. The zero Ref refers to none.
type Ref struct{ Index, Gen uint32 }

type slot[T any] struct {
	generation uint32
	inUse      bool
	value      T
}

// Table holds values in numbered slots. The zero Table is empty and ready to use.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // indices of the slots that are not in use
	used  int
}

// Put adds a value and returns a reference to it.
func (t *Table[T]) Put(value T) Ref {
	var index uint32
	if n := len(t.free); n > 0 {
		index = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		index = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[index]
	s.generation++
	s.inUse = true
	s.value = value
	t.used++
	return Ref{Index: index, Gen: s.generation}
}

// Get returns the value that ref refers to, and false if it was removed.
func (t *Table[T]) Get(ref Ref) (T, bool) {
	if int(ref.Index) >= len(t.slots) {
		var none T
		return none, false
	}
	s := &t.slots[ref.Index]
	if s.generation != ref.Gen || !s.inUse {
		var none T
		return none, false
	}
	return s.value, true
}

// Remove removes the value that ref refers to, if it is still there.
func (t *Table[T]) Remove(ref Ref) {
	if _, ok := t.Get(ref); !ok {
		return
	}
	var none T
	s := &t.slots[ref.Index]
	s.inUse = false
	s.value = none
	t.free = append(t.free, ref.Index)
	t.used--
}

// Len returns the number of values.
func (t *Table[T]) Len() int { return t.used }

// Each calls f for each value, in the order of the slots.
func (t *Table[T]) Each(f func(Ref, T)) {
	for i := range t.slots {
		if s := &t.slots[i]; s.inUse {
			f(Ref{Index: uint32(i), Gen: s.generation}, s.value)
		}
	}
}
