// Package slotmap is a table of numbered slots. A Ref holds a slot's index and generation, so that a
// callback that comes late finds nothing instead of the slot's next tenant.
package slotmap

// Ref names one tenancy of a slot. The zero Ref names none.
type Ref struct{ Index, Gen uint32 }

type slot[T any] struct {
	gen   uint32
	inUse bool
	value T
}

// Table holds values in numbered slots.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
	used  int
}

// Put files a value.
func (t *Table[T]) Put(v T) Ref {
	var i uint32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[i]
	s.gen++
	s.inUse, s.value = true, v
	t.used++
	return Ref{Index: i, Gen: s.gen}
}

// Get returns the value filed under r, and false if that tenancy is over.
func (t *Table[T]) Get(r Ref) (T, bool) {
	if int(r.Index) >= len(t.slots) || t.slots[r.Index].gen != r.Gen || !t.slots[r.Index].inUse {
		var none T
		return none, false
	}
	return t.slots[r.Index].value, true
}

// Remove ends a tenancy; one that is over already is left alone.
func (t *Table[T]) Remove(r Ref) {
	if _, ok := t.Get(r); !ok {
		return
	}
	s := &t.slots[r.Index]
	var none T
	s.inUse, s.value = false, none
	t.free = append(t.free, r.Index)
	t.used--
}

// Len is the number of slots in use.
func (t *Table[T]) Len() int { return t.used }

// Each calls f for every slot in use, in order of index.
func (t *Table[T]) Each(f func(Ref, T)) {
	for i := range t.slots {
		if s := &t.slots[i]; s.inUse {
			f(Ref{Index: uint32(i), Gen: s.gen}, s.value)
		}
	}
}
