package execution

import (
	"fmt"

	"beechgrade/internal/frontend/scatter/cursor"
)

// deliverRows delivers the next rows in order, as far as they were received and the client accepts them. It begins the end of the page
// once the page is full or there are no more rows.
func (r *Run) deliverRows(now float64) {
	if r.Verdict != Running || r.pageFull {
		return
	}
	for r.clientReady && r.delivered < r.pageRows {
		row, ok := r.merge.Next()
		if !ok {
			break
		}
		s := &r.shards[row.Shard]
		r.delivered++
		s.deliveredKey = append(s.deliveredKey[:0], row.Key...)
		s.deliveredOwnOffset = row.OwnOffset
		r.lastPlace = cursor.Place{Key: s.deliveredKey, OwnOffset: row.OwnOffset, Shard: row.Shard}
		r.actions = append(r.actions, Action{Kind: Deliver, Shard: row.Shard, Row: row.Message})
		if s.readingStopped && r.merge.Low(row.Shard) {
			s.readingStopped = false
			s.progressAt = now
			r.actions = append(r.actions, Action{Kind: ResumeReading, Shard: row.Shard})
		}
	}
	if r.delivered == r.pageRows || r.merge.Done() {
		r.beginEnd(now)
	}
}

// beginEnd cancels the reads that are not needed any more, and begins to wait for the positions of the others.
func (r *Run) beginEnd(now float64) {
	r.pageFull = true
	r.positionsDeadline = now + r.settings.PositionWaitMs
	r.More = r.delivered == r.pageRows || len(r.Missing()) > 0
	for i := range r.shards {
		s := &r.shards[i]
		mayHaveMore := s.phase < ended || s.phase == ended && s.rows >= r.pageRows
		if mayHaveMore {
			r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
			s.phase = ended
		}
	}
	r.finishIfSettled(now)
}

// finishIfSettled ends a full page once all positions are known or not needed, or the wait for them has timed out.
func (r *Run) finishIfSettled(now float64) {
	if !r.pageFull || r.Verdict != Running {
		return
	}
	if r.More && now < r.positionsDeadline && r.awaitsPosition() {
		return
	}
	r.finish(Served, "")
}

func (r *Run) awaitsPosition() bool {
	for i := range r.shards {
		if r.shards[i].phase == ended {
			return true
		}
	}
	return false
}

// finish ends the run. It must be called once.
func (r *Run) finish(verdict Verdict, cause string) {
	r.checks.That(r.Verdict == Running, "scatter: one final answer", func() string { return fmt.Sprint(r.Verdict, " ", verdict) })
	r.Verdict = verdict
	r.Cause = cause
	for i := range r.shards {
		if verdict != Served && r.shards[i].phase < ended {
			r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
		}
	}
	r.actions = append(r.actions, Action{Kind: Finish})
}

// Places returns, for a run that was served, the place of each shard at which the next page begins, and the minimum position at which the
// shard must be read then.
func (r *Run) Places() (places []cursor.Place, minPositions []int64) {
	for i := range r.shards {
		s := &r.shards[i]
		place := s.cursorPlace
		if last := r.lastPlaceOf(i); last.Compare(&place) > 0 {
			place = last
		}
		places = append(places, place)
		minPositions = append(minPositions, s.nextPosition())
	}
	return places, minPositions
}

// lastPlaceOf returns the place after which the rows of a shard were not delivered: that of the page's last row or, for an excluded shard,
// that of the shard's own last row.
func (r *Run) lastPlaceOf(i int) cursor.Place {
	s := &r.shards[i]
	switch {
	case s.phase != excluded:
		return r.lastPlace
	case s.deliveredKey == nil:
		return cursor.Place{}
	}
	return cursor.Place{Key: s.deliveredKey, OwnOffset: s.deliveredOwnOffset, Shard: i}
}
