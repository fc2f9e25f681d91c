package store

import (
	"fmt"
	"slices"
)

// FileReport describes the content of a file of a store.
type FileReport struct {
	Name          string `json:"name"`
	Bytes         int    `json:"bytes"`
	Frames        int    `json:"frames"`
	Entries       int    `json:"entries"`
	FirstSequence uint64 `json:"first,omitempty"` // sequence number of its first record
	LastSequence  uint64 `json:"last,omitempty"`
	State         string `json:"ends"` // a state below, or the error that ended reading
	ReadUpTo      int    `json:"at"`   // offset at which reading ended, in bytes
}

// The states of a file that can be read to its end.
const (
	stateOpen     = "open"
	stateSealed   = "sealed"
	stateComplete = "whole"
	stateForeign  = "not of the store, or never whole"
)

// Inspect reads every file of a store as far as possible, without changing any, and reports on them sorted by name.
func Inspect(fs FS) ([]FileReport, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var reports []FileReport
	for _, name := range names {
		number, ok := fileNumber(name, segmentSuffix)
		if !ok {
			number, ok = fileNumber(name, snapshotSuffix)
		}
		if !ok {
			reports = append(reports, FileReport{Name: name, State: stateForeign})
			continue
		}
		b, err := fs.Read(name)
		if err != nil {
			return reports, fmt.Errorf("%s: %w", name, err)
		}
		reports = append(reports, inspectFile(name, number, b))
	}
	return reports, nil
}

func inspectFile(name string, number uint64, b []byte) FileReport {
	report := FileReport{Name: name, Bytes: len(b), State: stateOpen}
	if err := checkFileHeader(b, number); err != nil {
		report.State = err.Error()
		return report
	}
	for report.ReadUpTo = fileHeaderBytes; report.ReadUpTo < len(b); {
		f, n, err := readFrame(b[report.ReadUpTo:])
		if err != nil {
			report.State = err.Error()
			return report
		}
		report.ReadUpTo += n
		report.addFrame(&f)
	}
	return report
}

func (r *FileReport) addFrame(f *frame) {
	r.Frames++
	r.Entries += len(f.entries)
	switch f.kind {
	case kindSeal:
		r.State = stateSealed
	case kindEnd:
		r.State = stateComplete
	default:
		if r.FirstSequence == 0 {
			r.FirstSequence = f.sequence
		}
		r.LastSequence = f.sequence
	}
}

// ReadOnly is a folder whose changes are discarded. A store that is opened on it shows what recovery would find, without changing any file.
type ReadOnly struct{ FS }

// discardFile discards everything that is written to it.
type discardFile struct{}

func (discardFile) Write(p []byte) (int, error) { return len(p), nil }
func (discardFile) Sync() error                 { return nil }
func (discardFile) Close() error                { return nil }

// Create returns a file that discards everything.
func (ReadOnly) Create(string) (File, error) { return discardFile{}, nil }

// Append returns a file that discards everything.
func (ReadOnly) Append(string) (File, error) { return discardFile{}, nil }

// Truncate does nothing.
func (ReadOnly) Truncate(string, int64) error { return nil }

// Rename does nothing.
func (ReadOnly) Rename(string, string) error { return nil }

// Remove does nothing.
func (ReadOnly) Remove(string) error { return nil }

// Sync does nothing.
func (ReadOnly) Sync() error { return nil }
