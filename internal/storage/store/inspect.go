package store

import (
	"errors"
	"fmt"
	"slices"
)

// FileReport is what a file of a store holds, read without changing anything.
type FileReport struct {
	Name          string `json:"name"`
	Bytes         int    `json:"bytes"`
	Frames        int    `json:"frames"`
	Entries       int    `json:"entries"`
	FirstSequence uint64 `json:"first,omitempty"` // numbers of its frames
	LastSequence  uint64 `json:"last,omitempty"`
	State         string `json:"ends"` // how: sealed, whole, open, or why it can be read no further
	ReadUpTo      int    `json:"at"`   // ...and at which byte
}

// Inspect reads every file of a store as far as that goes, in their order.
func Inspect(fs FS) ([]FileReport, error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var out []FileReport
	for _, name := range names {
		number, is := fileNumber(name, ".log")
		if !is {
			if number, is = fileNumber(name, ".snap"); !is {
				out = append(out, FileReport{Name: name, State: "not of the store, or never whole"})
				continue
			}
		}
		b, err := fs.Read(name)
		if err != nil {
			return out, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, inspect(name, number, b))
	}
	return out, nil
}

func inspect(name string, number uint64, b []byte) FileReport {
	r := FileReport{Name: name, Bytes: len(b), State: "open"}
	if err := checkFileHeader(b, number); err != nil {
		r.State = err.Error()
		return r
	}
	for r.ReadUpTo = fileHeaderBytes; r.ReadUpTo < len(b); {
		f, n, err := readFrame(b[r.ReadUpTo:])
		if err != nil {
			r.State = err.Error()
			return r
		}
		r.ReadUpTo += n
		r.Frames++
		r.Entries += len(f.entries)
		switch f.kind {
		case kindSeal:
			r.State = "sealed"
		case kindEnd:
			r.State = "whole"
		default:
			if r.FirstSequence == 0 {
				r.FirstSequence = f.sequence
			}
			r.LastSequence = f.sequence
		}
	}
	return r
}

// ReadOnly is a folder in which nothing is changed, whatever is asked of it: a store that is opened on it shows what recovery
// would make of it.
type ReadOnly struct{ FS }

type discardFile struct{}

func (discardFile) Write(p []byte) (int, error) { return len(p), nil }
func (discardFile) Sync() error                 { return nil }
func (discardFile) Close() error                { return nil }

// Create is FS's.
func (ReadOnly) Create(string) (File, error) { return discardFile{}, nil }

// Append is FS's.
func (ReadOnly) Append(string) (File, error) { return discardFile{}, nil }

// Truncate is FS's.
func (ReadOnly) Truncate(string, int64) error { return nil }

// Rename is FS's.
func (ReadOnly) Rename(string, string) error { return nil }

// Remove is FS's.
func (ReadOnly) Remove(string) error { return nil }

// Sync is FS's.
func (ReadOnly) Sync() error { return nil }

// LostRange is a part of a file that a repair could make nothing of.
type LostRange struct {
	Name   string `json:"name"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	Reason string `json:"why"`
}

// Repair writes what can be read of a store into another, which must be empty, and tells what it had to leave out. What stood
// there may have been the word that a key is gone, or a newer value: whoever repairs has to look at what came of it.
func Repair(from, to FS) (kept int, lost []LostRange, err error) {
	unlock, err := from.Lock()
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.Join(err, unlock()) }()
	if names, err := to.List(); err == nil && len(names) > 0 {
		return 0, nil, fmt.Errorf("the copy's folder is not empty: %s", names[0])
	}
	names, err := from.List()
	if err != nil {
		return 0, nil, err
	}
	base, snap := uint64(0), ""
	var logs []string
	slices.Sort(names)
	for _, name := range names {
		if n, ok := fileNumber(name, ".snap"); ok && n >= base {
			base, snap = n, name
		}
	}
	for _, name := range names {
		if n, ok := fileNumber(name, ".log"); ok && n > base {
			logs = append(logs, name)
		}
	}
	if snap != "" {
		logs = append([]string{snap}, logs...)
	}
	live := map[string][]byte{}
	for _, name := range logs {
		b, err := from.Read(name)
		if err != nil {
			return 0, lost, fmt.Errorf("%s: %w", name, err)
		}
		lost = append(lost, salvage(name, b, func(e *Entry) {
			if delete(live, e.Key); !e.Deleted {
				live[e.Key] = e.Value
			}
		})...)
	}
	s, _, err := Open(Options{FS: to})
	if err != nil {
		return 0, lost, err
	}
	keys := make([]string, 0, len(live))
	for k := range live {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var failed error
	for _, k := range keys {
		done := make(chan error, 1)
		s.Append([]Entry{{Key: k, Value: live[k]}}, func(err error) { done <- err })
		failed = errors.Join(failed, <-done)
	}
	return len(keys), lost, errors.Join(failed, s.Close())
}

// salvage takes every whole frame of a file, wherever it stands, and tells what lies between them.
func salvage(name string, b []byte, take func(*Entry)) (lost []LostRange) {
	at, from, why := min(fileHeaderBytes, len(b)), -1, ""
	for at < len(b) {
		f, n, err := readFrame(b[at:])
		if err != nil {
			if from < 0 {
				from, why = at, err.Error()
			}
			at++
			continue
		}
		if from >= 0 {
			lost = append(lost, LostRange{name, from, at, why})
			from = -1
		}
		for i := range f.entries {
			take(&f.entries[i])
		}
		at += n
	}
	if from >= 0 {
		lost = append(lost, LostRange{name, from, len(b), why})
	}
	return lost
}
