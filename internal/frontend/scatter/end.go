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

// final gives the client its answer.
func (s *Scatter) final() {
	f := s.f
	s.over = true
	delete(f.running, s)
	f.perSpec[s.no]--
	f.inFlight -= len(s.spec.Shards)
	for _, p := range s.parts {
		if p != nil {
			p.giveUp()
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
			c := &cursor.Cursor{Issued: math.Floor(f.loop.Now()), Bound: s.bound}
			c.Places, c.Needs = s.run.Places()
			var err error
			if page.Cursor, err = f.opt.Ring.Seal(c, f.nonce()); err != nil {
				s.reader.Fail(s.run, err)
				return
			}
		}
		s.reader.Page(page)
	case execution.Refused:
		f.Counts.Refused++
		s.reader.Fail(s.run, s.cause())
	case execution.Gone:
		f.Counts.Abandon++
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
	why := s.run.Why
	if n, rest, ok := strings.Cut(strings.TrimPrefix(why, "shard "), ": "); ok {
		if i, err := strconv.Atoi(n); err == nil && i < len(s.spec.Shards) {
			why = fmt.Sprintf("shard %q: %s", s.spec.Shards[i].Name, rest)
		}
	}
	return errors.New(why)
}

// nobody reads for a client that has gone.
type nobody struct{}

func (nobody) Describe([]byte)            {}
func (nobody) Row([]byte)                 {}
func (nobody) Flush()                     {}
func (nobody) Unsent() int                { return 0 }
func (nobody) Page(*Page)                 {}
func (nobody) Fail(*execution.Run, error) {}
