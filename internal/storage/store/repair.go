package store

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// LostRange is a range of bytes of a file that a repair could not read.
type LostRange struct {
	Name   string `json:"name"`
	From   int    `json:"from"`
	To     int    `json:"to"`
	Reason string `json:"why"`
}

// Repair copies the readable records of a store into another store, which must be empty, and returns the ranges that could not be read. A lost
// range may have held the deletion of a key or a newer value, so an operator has to review the result.
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
	live := map[string][]byte{}
	for _, name := range currentFiles(names) {
		b, err := from.Read(name)
		if err != nil {
			return 0, lost, fmt.Errorf("%s: %w", name, err)
		}
		lost = append(lost, salvage(name, b, func(entry *Entry) {
			delete(live, entry.Key)
			if !entry.Deleted {
				live[entry.Key] = entry.Value
			}
		})...)
	}
	copied, _, err := Open(Options{FS: to})
	if err != nil {
		return 0, lost, err
	}
	return len(live), lost, copied.writeAndClose(live)
}

// currentFiles returns the newest snapshot and the segments after it, in order.
func currentFiles(names []string) []string {
	slices.Sort(names)
	base, snapshot := uint64(0), ""
	for _, name := range names {
		if number, ok := fileNumber(name, snapshotSuffix); ok && number >= base {
			base = number
			snapshot = name
		}
	}
	var files []string
	if snapshot != "" {
		files = append(files, snapshot)
	}
	for _, name := range names {
		if number, ok := fileNumber(name, segmentSuffix); ok && number > base {
			files = append(files, name)
		}
	}
	return files
}

// writeAndClose appends records one at a time, and closes the store.
func (s *Store) writeAndClose(records map[string][]byte) error {
	var failed error
	for _, key := range slices.Sorted(maps.Keys(records)) {
		done := make(chan error, 1)
		s.Append([]Entry{{Key: key, Value: records[key]}}, func(err error) { done <- err })
		failed = errors.Join(failed, <-done)
	}
	return errors.Join(failed, s.Close())
}

// salvage visits the entries of every complete frame of a file, at whatever offset it begins, and returns the ranges between those frames.
func salvage(name string, b []byte, visit func(*Entry)) []LostRange {
	var lost []LostRange
	at := min(fileHeaderBytes, len(b))
	gapFrom, reason := -1, "" // of the unreadable range that contains at; -1 if there is none
	for at < len(b) {
		f, n, err := readFrame(b[at:])
		if err != nil {
			if gapFrom < 0 {
				gapFrom = at
				reason = err.Error()
			}
			at++
			continue
		}
		if gapFrom >= 0 {
			lost = append(lost, LostRange{Name: name, From: gapFrom, To: at, Reason: reason})
			gapFrom = -1
		}
		for i := range f.entries {
			visit(&f.entries[i])
		}
		at += n
	}
	if gapFrom >= 0 {
		lost = append(lost, LostRange{Name: name, From: gapFrom, To: len(b), Reason: reason})
	}
	return lost
}
