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

// finish ends the page according to the verdict of its run.
func (r *PageRead) finish() {
	f := r.frontend
	r.ended = true
	delete(f.running, r)
	f.runningPerSpec[r.specIndex]--
	f.shardsInFlight -= len(r.spec.Shards)
	for _, p := range r.parts {
		if p != nil {
			p.abandon()
		}
	}
	f.Counts.Missing += uint64(len(r.run.Missing()))
	switch r.run.Verdict {
	case execution.Served:
		f.Counts.Served++
		r.serve()
	case execution.Rejected:
		f.Counts.Rejected++
		r.reader.Fail(r.run, r.cause())
	case execution.Abandoned:
		f.Counts.Abandoned++
	default:
		f.Counts.Failed++
		r.reader.Fail(r.run, r.cause())
	}
}

// serve reports a page that was served, with the cursor for the next page.
func (r *PageRead) serve() {
	page := &Page{Rows: r.rows}
	for _, shard := range r.run.Missing() {
		page.Missing = append(page.Missing, r.spec.Shards[shard].Name)
	}
	if r.run.More {
		next := &cursor.Cursor{IssuedMs: math.Floor(r.frontend.loop.Now()), Binding: r.binding}
		next.Places, next.MinPositions = r.run.Places()
		var err error
		page.Cursor, err = r.frontend.options.Ring.Seal(next, newNonce())
		if err != nil {
			r.reader.Fail(r.run, err)
			return
		}
	}
	r.reader.Page(page)
}

// cause returns why the page was not served, with the name of the shard instead of its number.
func (r *PageRead) cause() error {
	if r.err != nil {
		return r.err
	}
	number, cause, ok := strings.Cut(strings.TrimPrefix(r.run.Cause, "shard "), ": ")
	if !ok {
		return errors.New(r.run.Cause)
	}
	shard, err := strconv.Atoi(number)
	if err != nil || shard >= len(r.spec.Shards) {
		return errors.New(r.run.Cause)
	}
	return fmt.Errorf("shard %q: %s", r.spec.Shards[shard].Name, cause)
}

// discardReader is the Reader of a client that has disconnected.
type discardReader struct{}

func (discardReader) Describe([]byte)            {}
func (discardReader) Row([]byte)                 {}
func (discardReader) Flush()                     {}
func (discardReader) Unsent() int                { return 0 }
func (discardReader) Page(*Page)                 {}
func (discardReader) Fail(*execution.Run, error) {}
