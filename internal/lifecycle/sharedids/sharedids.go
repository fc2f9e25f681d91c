// Package sharedids lets the processes that share a listening socket know which requests the others have sent that must not run twice. A client
// whose connection to one process has ended may send its request again to the other.
//
// Its inputs are the ids that this process sends; its output is whether another process has sent an id. The processes share a ring of
// hashes in a file that each of them maps into its memory, so that an id is visible to the others before its request is written, without a
// system call. The ring holds the last ringEntries ids. If the memory of the file cannot be accessed, nothing is shared any more: the
// answer is then that no other process has sent an id. Different ids with the same hash only make a request fail.
package sharedids

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	fileName    = "sent-ids-1.ring" // with the version of its layout
	ringEntries = 1 << 14
	maxUnfilled = 64 // entries after one that its process has claimed and not filled, until it is skipped
)

// Fields of an entry's tag, from the lowest bit: whether the request did not run after all, the process, and the entry's number.
const (
	withdrawnBit = 1
	processShift = 1
	processBits  = 19
	numberShift  = processShift + processBits
)

// ring is the content of the file. Its fields are accessed atomically, as all processes write it.
type ring struct {
	last    uint64 // number of the entry that was claimed last; the first one is 1
	entries [ringEntries]entry
}

// entry is one id. Its tag is written after its hash, and holds its number, by which readers recognise an entry that is being replaced.
type entry struct{ hash, tag uint64 }

// Set holds the ids that the processes have sent. It belongs to the event loop.
type Set struct {
	memory  []byte
	ring    *ring             // nil once the memory could not be accessed
	process uint64            // this process's number in tags
	unread  uint64            // number of the first entry that was not read
	others  map[uint64]uint64 // numbers of the other processes' entries that were read, by hash
}

// Open maps the ring in a folder, and creates it if it does not exist. The process sees what the others have sent before.
func Open(folder string) (*Set, error) {
	path := filepath.Join(folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("shared ids: %w", err)
	}
	defer func() { _ = file.Close() }()
	const size = int(unsafe.Sizeof(ring{}))
	// The space is allocated now: a write to a hole of the file would fail as an access to memory when the disk is full.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(size)); err != nil {
		return nil, fmt.Errorf("shared ids: allocate %s: %w", path, err)
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("shared ids: map %s: %w", path, err)
	}
	s := &Set{
		memory:  memory,
		ring:    (*ring)(unsafe.Pointer(unsafe.SliceData(memory))),
		process: rand.Uint64N(1 << processBits),
		unread:  1,
		others:  map[uint64]uint64{},
	}
	return s, nil
}

// Close unmaps the ring.
func (s *Set) Close() {
	if s != nil {
		s.ring = nil
		_ = unix.Munmap(s.memory)
	}
}

// Sent records an id. It is called before the request is written for the first time.
func (s *Set) Sent(id string) { s.append(hashOf(id), 0) }

// NotRun records that a request that was sent did not run after all.
func (s *Set) NotRun(id string) { s.append(hashOf(id), withdrawnBit) }

// MayHaveRun reports whether another process has sent a request with an id, which may have run.
func (s *Set) MayHaveRun(id string) bool {
	s.access(s.readNew)
	_, sent := s.others[hashOf(id)]
	return sent
}

// append writes an entry.
func (s *Set) append(hash, withdrawn uint64) {
	s.access(func() {
		number := atomic.AddUint64(&s.ring.last, 1)
		slot := &s.ring.entries[number%ringEntries]
		atomic.StoreUint64(&slot.hash, hash)
		atomic.StoreUint64(&slot.tag, number<<numberShift|s.process<<processShift|withdrawn)
	})
}

// readNew reads the entries that were written since the last call.
func (s *Set) readNew() {
	last := atomic.LoadUint64(&s.ring.last)
	if last >= s.unread+ringEntries {
		s.unread = last - ringEntries + 1
	}
	for ; s.unread <= last; s.unread++ {
		slot := &s.ring.entries[s.unread%ringEntries]
		tag, hash := atomic.LoadUint64(&slot.tag), atomic.LoadUint64(&slot.hash)
		filled := tag>>numberShift == s.unread && atomic.LoadUint64(&slot.tag) == tag
		if !filled && last-s.unread < maxUnfilled { // its process is about to fill it
			return
		}
		if filled {
			s.note(hash, tag)
		}
	}
	s.forgetOld()
}

// note remembers an entry of another process.
func (s *Set) note(hash, tag uint64) {
	switch {
	case tag>>processShift&(1<<processBits-1) == s.process:
	case tag&withdrawnBit != 0:
		delete(s.others, hash)
	default:
		s.others[hash] = s.unread
	}
}

// forgetOld forgets entries that are no longer in the ring, once there are many.
func (s *Set) forgetOld() {
	if len(s.others) <= 2*ringEntries {
		return
	}
	for hash, number := range s.others {
		if number+ringEntries < s.unread {
			delete(s.others, hash)
		}
	}
}

// access runs f, which accesses the ring. If the memory cannot be accessed, nothing is shared from then on.
func (s *Set) access(f func()) {
	if s.ring == nil {
		return
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if failure := recover(); failure != nil {
			if _, isFault := failure.(interface{ Addr() uintptr }); !isFault {
				panic(failure)
			}
			s.ring = nil
		}
	}()
	f()
}

// hashOf returns the hash of an id, which is the same in all processes.
func hashOf(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}
