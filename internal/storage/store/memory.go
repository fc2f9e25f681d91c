package store

// indexBytesPerRecord is the memory that a record takes in the index in addition to its key and value: its item in tree nodes that are half
// full, the rounding of allocations, and the same amount again because the garbage collector lets the heap grow.
const indexBytesPerRecord = 160

// MemoryUse estimates the bytes of memory that live records take, by their number and the total bytes of their keys and values.
func MemoryUse(records int, payloadBytes int64) int64 {
	return 2*payloadBytes + indexBytesPerRecord*int64(records)
}

// fitsMemory reports whether growth more bytes fit into the memory bound, in addition to those promised to the entries of the current batch.
// Entries that free memory always fit.
func (s *Store) fitsMemory(growth, promised int64) bool {
	return growth <= 0 || s.memoryUse()+promised+growth <= s.options.MaxMemory
}

func (s *Store) memoryUse() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MemoryUse(s.index.Len(), s.payloadBytes)
}

// memoryGrowth returns the additional memory that is in use once entries are in the index.
func (s *Store) memoryGrowth(entries []Entry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	growth := int64(0)
	for i := range entries {
		entry := &entries[i]
		if old, ok := s.index.Get(item{key: entry.Key}); ok {
			growth -= MemoryUse(1, int64(len(old.key)+len(old.value)))
		}
		if !entry.Deleted {
			growth += MemoryUse(1, int64(len(entry.Key)+len(entry.Value)))
		}
	}
	return growth
}
