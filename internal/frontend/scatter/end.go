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

// finish gives the client its answer.
func (s *Scatter) finish() {
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
		page := &Page{Rows: s.rows}
		for _, i := range s.run.Missing() {
			page.Missing = append(page.Missing, s.spec.Shards[i].Name)
		}
		if s.run.More {
			c := &cursor.Cursor{IssuedMs: math.Floor(f.loop.Now()), Binding: s.binding}
			c.Places, c.MinPositions = s.run.Places()
			var err error
			if page.Cursor, err = f.options.Ring.Seal(c, f.nonce()); err != nil {
				s.reader.Fail(s.run, err)
				return
			}
		}
		s.reader.Page(page)
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

// cause is why it came to nothing, with the shard's name.
func (s *Scatter) cause() error {
	if s.err != nil {
		return s.err
	}
	why := s.run.Cause
	if n, rest, ok := strings.Cut(strings.TrimPrefix(why, "shard "), ": "); ok {
		if i, err := strconv.Atoi(n); err == nil && i < len(s.spec.Shards) {
			why = fmt.Sprintf("shard %q: %s", s.spec.Shards[i].Name, rest)
		}
	}
	return errors.New(why)
}

// discardReader reads for a client that has gone.
type discardReader struct{}

func (discardReader) Describe([]byte)            {}
func (discardReader) Row([]byte)                 {}
func (discardReader) Flush()                     {}
func (discardReader) Unsent() int                { return 0 }
func (discardReader) Page(*Page)                 {}
func (discardReader) Fail(*execution.Run, error) {}
