package store

// indexBytesPerRecord is what a record takes in the index beside its key and value: its place, with half of a tree's nodes free, the
// allocations' rounding, and as much again as the collector lets grow.
const indexBytesPerRecord = 160

// MemoryUse returns about how many bytes of memory so many live records take, whose keys and values have so many bytes.
func MemoryUse(records int, payloadBytes int64) int64 {
	return 2*payloadBytes + indexBytesPerRecord*int64(records)
}

// fitsMemory reports whether entries that take so much more memory fit beside what is promised. Those that free memory always do.
func (s *Store) fitsMemory(growth, promised int64) bool {
	return growth <= 0 || s.memoryUse()+promised+growth <= s.options.MaxMemory
}

func (s *Store) memoryUse() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return MemoryUse(s.index.Len(), s.payloadBytes)
}

// memoryGrowth is how much more memory is taken once entries are kept, compared with what is there now.
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
