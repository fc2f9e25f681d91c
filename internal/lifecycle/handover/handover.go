// Package handover is what processes on one listening socket tell each other by files: what the next one goes on with, and what
// each holds while there are two.
package handover

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/storage/atomicfile"
)

const (
	fileKind = "beechgrade handover 1"
	prefix   = "handover-"
	suffix   = ".state"
	maxBytes = 8 << 20
	maxFiles = 16 // that are looked at

	// LiveMs is how long a file shows that its process runs.
	LiveMs = 2000
	// UsefulMs is how long what it tells is worth knowing.
	UsefulMs = 5000
	// RemoveAfterMs is how long a file is kept that nobody writes any more.
	RemoveAfterMs = 60000
)

// State is what a process tells.
type State struct {
	SavedMs      float64          `json:"saved_ms"` // Unix ms, for processes of versions that know no Saved
	Saved        clock.Instant    `json:"saved"`
	ClockMs      float64          `json:"clock_ms"` // then, on the writing process's own clock, which the times in Memory are on
	Descriptors  int              `json:"held"`     // descriptors
	Ending       bool             `json:"ends"`     // it takes nothing new
	ListSource   string           `json:"from"`     // the list's source
	List         discovery.List   `json:"list"`     // whole, as heard last; of generation 0 where none was heard
	ListRestarts int              `json:"anew"`     // so often the list's source has begun its generations anew
	Classes      []string         `json:"classes"`
	Kinds        []string         `json:"kinds"`
	Snapshot     *decide.Snapshot `json:"memory"`

	AgeMs float64 `json:"-"` // as it was read
}

// Encode writes a state.
func Encode(dst []byte, s *State) ([]byte, error) {
	b, err := atomicfile.Encode(dst, fileKind, s)
	if err != nil {
		return b, fmt.Errorf("handover: %w", err)
	}
	return b, nil
}

// Decode reads a state, whole or not at all.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if err := atomicfile.Decode(b, fileKind, s); err != nil {
		return nil, err
	}
	if s.Snapshot == nil || s.Descriptors < 0 || s.ListRestarts < 0 || s.List.Generation < 0 || math.IsNaN(s.SavedMs) {
		return nil, fmt.Errorf("%w: a value is out of its bounds", atomicfile.ErrFormat)
	}
	return s, nil
}

// Directory is where a process writes its own file and reads the others'.
type Directory struct {
	dir, own string
	machine  clock.Machine
	seen     map[string]fileVersion // files that nobody may write any more
}

// fileVersion is how a file was first seen as it is.
type fileVersion struct {
	modified    time.Time
	size        int64
	firstSeenMs float64 // on the machine's monotonic clock
}

// OpenDirectory makes a process's Folder on this machine.
func OpenDirectory(dir string) *Directory { return OpenDirectoryOn(clock.ThisMachine(), dir) }

// OpenDirectoryOn makes a process's Folder on a machine.
func OpenDirectoryOn(machine clock.Machine, dir string) *Directory {
	return &Directory{machine: machine, seen: map[string]fileVersion{}, dir: dir, own: fmt.Sprintf("%s%016x%s", prefix, rand.Uint64(), suffix)}
}

// Write puts the process's state in its file's place.
func (f *Directory) Write(s *State) error {
	b, err := Encode(nil, s)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(filepath.Join(f.dir, f.own), b, false); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Remove takes the process's file away.
func (f *Directory) Remove() { _ = os.Remove(filepath.Join(f.dir, f.own)) }

// Others returns the other processes' states of the last ms milliseconds, the newest first. What cannot be used is told, and what
// is long dead is removed. The wall clock decides nothing here but for files of versions that tell no other time.
func (f *Directory) Others(ms float64) ([]*State, error) {
	files, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var out []*State
	var errs []error
	seen := 0
	for _, file := range files {
		if file.Name() == f.own || !strings.HasPrefix(file.Name(), prefix) || !file.Type().IsRegular() {
			continue
		}
		if seen++; seen > maxFiles {
			break
		}
		state, err := f.other(file)
		if err != nil {
			errs = append(errs, fmt.Errorf("handover %s: %w", file.Name(), err))
		}
		if state != nil && state.AgeMs <= ms {
			out = append(out, state)
		}
	}
	slices.SortFunc(out, func(a, b *State) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out, errors.Join(errs...)
}

// other reads another process's file; nil without an error for one that says nothing now.
func (f *Directory) other(file os.DirEntry) (*State, error) {
	path := filepath.Join(f.dir, file.Name())
	if f.abandoned(file) {
		_ = os.Remove(path)
		return nil, nil
	}
	if !strings.HasSuffix(file.Name(), suffix) { // one that is being written
		return nil, nil
	}
	b, err := atomicfile.Read(path, maxBytes)
	if err != nil || b == nil { // nil: gone meanwhile
		return nil, err
	}
	state, err := Decode(b)
	if err != nil {
		return nil, err
	}
	age, known := f.age(state)
	if !known {
		return nil, nil
	}
	if state.AgeMs = max(0, age); state.AgeMs > RemoveAfterMs {
		_ = os.Remove(path)
	}
	return state, nil
}

// age returns how old a state is, and false where that cannot be told.
func (f *Directory) age(state *State) (ms float64, known bool) {
	if state.Saved != (clock.Instant{}) {
		ms, known = f.machine.Since(state.Saved)
	} else {
		ms, known = f.machine.Wall()-state.SavedMs, true
	}
	return ms, known && ms >= -LiveMs
}

// abandoned reports whether a file has not changed for RemoveAfterMs, as this process has seen it: the time that the file itself gives is the wall
// clock's.
func (f *Directory) abandoned(file os.DirEntry) bool {
	info, err := file.Info()
	if err != nil {
		return false
	}
	now, last := f.machine.Monotonic(), f.seen[file.Name()]
	if !last.modified.Equal(info.ModTime()) || last.size != info.Size() {
		f.seen[file.Name()] = fileVersion{info.ModTime(), info.Size(), now}
		return false
	}
	return now-last.firstSeenMs > RemoveAfterMs
}
