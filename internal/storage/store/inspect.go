package store

import (
	"fmt"
	"slices"
)

// FileReport is what a file of a store holds, read without changing anything.
type FileReport struct {
	Name          string `json:"name"`
	Bytes         int    `json:"bytes"`
	Frames        int    `json:"frames"`
	Entries       int    `json:"entries"`
	FirstSequence uint64 `json:"first,omitempty"` // of its records
	LastSequence  uint64 `json:"last,omitempty"`
	State         string `json:"ends"` // sealed, whole, open, or why it can be read no further
	ReadUpTo      int    `json:"at"`   // byte
}

// The states of a file that can be read to its end.
const (
	stateOpen     = "open"
	stateSealed   = "sealed"
	stateComplete = "whole"
	stateForeign  = "not of the store, or never whole"
)

// Inspect reads every file of a store as far as that goes, sorted by name.
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

// ReadOnly is a folder in which nothing is changed, whatever is asked of it: a store that is opened on it shows what recovery would make of
// it.
type ReadOnly struct{ FS }

// discardFile takes what is written to it and keeps nothing.
type discardFile struct{}

func (discardFile) Write(p []byte) (int, error) { return len(p), nil }
func (discardFile) Sync() error                 { return nil }
func (discardFile) Close() error                { return nil }

// Create returns a file that keeps nothing.
func (ReadOnly) Create(string) (File, error) { return discardFile{}, nil }

// Append returns a file that keeps nothing.
func (ReadOnly) Append(string) (File, error) { return discardFile{}, nil }

// Truncate does nothing.
func (ReadOnly) Truncate(string, int64) error { return nil }

// Rename does nothing.
func (ReadOnly) Rename(string, string) error { return nil }

// Remove does nothing.
func (ReadOnly) Remove(string) error { return nil }

// Sync does nothing.
func (ReadOnly) Sync() error { return nil }
