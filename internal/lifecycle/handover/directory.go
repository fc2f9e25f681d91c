package handover

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/storage/atomicfile"
)

const (
	filePrefix = "handover-"
	fileSuffix = ".state"
	maxFiles   = 16 // that are read in one pass
)

// Ages of a file, in ms.
const (
	LiveMs        = 2000  // up to this age, a file shows that its process is running
	UsefulMs      = 5000  // up to this age, the state in a file is used
	RemoveAfterMs = 60000 // a file that has not been written for longer is removed
)

// Directory is the folder where a process writes its own file and reads those of the other processes.
type Directory struct {
	path    string
	ownName string
	machine clock.Machine
	seen    map[string]*fileVersion // the last seen version of other files, by name
}

// fileVersion is a version of a file, with the time at which it was first seen.
type fileVersion struct {
	firstSeenMs float64 // on the machine's monotonic clock
	info        os.FileInfo
	state       *State // that it holds, nil until it was read
}

// OpenDirectory returns a process's Directory on this machine.
func OpenDirectory(path string) *Directory { return OpenDirectoryOn(clock.ThisMachine(), path) }

// OpenDirectoryOn returns a process's Directory that uses the clocks of a machine.
func OpenDirectoryOn(machine clock.Machine, path string) *Directory {
	return &Directory{
		path:    path,
		ownName: fmt.Sprintf("%s%016x%s", filePrefix, rand.Uint64(), fileSuffix),
		machine: machine,
		seen:    map[string]*fileVersion{},
	}
}

// Write replaces the process's own file.
func (d *Directory) Write(state *State) error {
	b, err := Encode(nil, state)
	if err != nil {
		return err
	}
	if err := atomicfile.Replace(filepath.Join(d.path, d.ownName), b, false); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Remove removes the process's own file.
func (d *Directory) Remove() { _ = os.Remove(filepath.Join(d.path, d.ownName)) }

// Others returns the states of the other processes that are at most maxAgeMs old, the newest first. An error names the files that cannot be
// used; the remaining states are returned with it. Abandoned files are removed. The wall clock matters only for files of old versions.
func (d *Directory) Others(maxAgeMs float64) ([]*State, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var states []*State
	var errs []error
	filesRead := 0
	for _, file := range files {
		isState := strings.HasPrefix(file.Name(), filePrefix) && file.Type().IsRegular()
		if file.Name() == d.ownName || !isState {
			continue
		}
		filesRead++
		if filesRead > maxFiles {
			break
		}
		state, err := d.readOther(file)
		if err != nil {
			errs = append(errs, fmt.Errorf("handover %s: %w", file.Name(), err))
		}
		if state != nil && state.AgeMs <= maxAgeMs {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b *State) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return states, errors.Join(errs...)
}

// readOther reads another process's file. It returns nil without an error if the file is abandoned, still being written, or of unknown age.
func (d *Directory) readOther(file os.DirEntry) (*State, error) {
	path := filepath.Join(d.path, file.Name())
	version := d.version(file)
	if version == nil { // removed meanwhile
		return nil, nil
	}
	if d.machine.Monotonic()-version.firstSeenMs > RemoveAfterMs {
		_ = os.Remove(path)
		return nil, nil
	}
	if !strings.HasSuffix(file.Name(), fileSuffix) { // still being written
		return nil, nil
	}
	if version.state == nil {
		b, err := atomicfile.Read(path, maxBytes)
		if err != nil || b == nil { // nil: removed meanwhile
			return nil, err
		}
		if version.state, err = Decode(b); err != nil {
			return nil, err
		}
	}
	state := new(State)
	*state = *version.state
	age, known := d.age(state)
	if !known {
		return nil, nil
	}
	state.AgeMs = max(0, age)
	if state.AgeMs > RemoveAfterMs {
		_ = os.Remove(path)
	}
	return state, nil
}

// age returns the age of a state in ms, and whether it is known.
func (d *Directory) age(state *State) (ms float64, known bool) {
	if state.Saved != (clock.Instant{}) {
		ms, known = d.machine.Since(state.Saved)
	} else {
		ms, known = d.machine.Wall()-state.SavedMs, true
	}
	return ms, known && ms >= -LiveMs
}

// version returns the present version of a file, nil if it is removed. Each version is a file of its own: one that this process has seen unchanged for
// longer than RemoveAfterMs is abandoned. The modification time alone does not show this, as it follows the wall clock.
func (d *Directory) version(file os.DirEntry) *fileVersion {
	info, err := file.Info()
	if err != nil {
		return nil
	}
	last := d.seen[file.Name()]
	if last == nil || !sameContent(last.info, info) {
		last = &fileVersion{firstSeenMs: d.machine.Monotonic(), info: info}
		d.seen[file.Name()] = last
	}
	return last
}

// sameContent reports whether nothing was written between two looks at a file.
func sameContent(one, other os.FileInfo) bool {
	return os.SameFile(one, other) && one.ModTime().Equal(other.ModTime()) && one.Size() == other.Size()
}
