package scatter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
)

// finish ends the page by the verdict of its run.
func (s *PageRead) finish() {
	f := s.frontend
	s.ended = true
	delete(f.running, s)
	f.perSpec[s.specIndex]--
	f.shardsInFlight -= len(s.spec.Shards)
	for _, p := range s.parts {
		if p != nil {
			p.abandon()
		}
	}
	f.Counts.Missing += uint64(len(s.run.Missing()))
	switch s.run.Verdict {
	case execution.Served:
		f.Counts.Served++
		s.serve()
	case execution.Rejected:
		f.Counts.Rejected++
		s.reader.Fail(s.run, s.cause())
	case execution.Abandoned:
		f.Counts.Abandoned++
	default:
		f.Counts.Failed++
		s.reader.Fail(s.run, s.cause())
	}
}

// serve ends a page that was served, with the cursor of the next one.
func (s *PageRead) serve() {
	page := &Page{Rows: s.rows}
	for _, shard := range s.run.Missing() {
		page.Missing = append(page.Missing, s.spec.Shards[shard].Name)
	}
	if s.run.More {
		next := &cursor.Cursor{IssuedMs: math.Floor(s.frontend.loop.Now()), Binding: s.binding}
		next.Places, next.MinPositions = s.run.Places()
		var err error
		page.Cursor, err = s.frontend.options.Ring.Seal(next, newNonce())
		if err != nil {
			s.reader.Fail(s.run, err)
			return
		}
	}
	s.reader.Page(page)
}

// cause returns why the page was not served, with the name of the shard in place of its number.
func (s *PageRead) cause() error {
	if s.err != nil {
		return s.err
	}
	number, cause, ok := strings.Cut(strings.TrimPrefix(s.run.Cause, "shard "), ": ")
	if !ok {
		return errors.New(s.run.Cause)
	}
	shard, err := strconv.Atoi(number)
	if err != nil || shard >= len(s.spec.Shards) {
		return errors.New(s.run.Cause)
	}
	return fmt.Errorf("shard %q: %s", s.spec.Shards[shard].Name, cause)
}

// discardReader is the Reader of a client that has disconnected.
type discardReader struct{}

func (discardReader) Describe([]byte)            {}
func (discardReader) Row([]byte)                 {}
func (discardReader) Flush()                     {}
func (discardReader) Unsent() int                { return 0 }
func (discardReader) Page(*Page)                 {}
func (discardReader) Fail(*execution.Run, error) {}
