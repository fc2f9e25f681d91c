package execution

import (
	"fmt"

	"beechgrade/internal/frontend/scatter/cursor"
)

// deliverRows delivers the next rows in order, as far as they have come and the client takes them. It begins the end of the page when
// that is full, or there are no more rows.
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
		s.deliveredOwn = row.OwnOffset
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

// beginEnd cancels the reads that are not needed any more, and waits for the positions of the others.
func (r *Run) beginEnd(now float64) {
	r.pageFull = true
	r.positionsDue = now + r.settings.PositionWaitMs
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

// finishIfSettled ends a full page once all positions are known, are not needed, or were waited for.
func (r *Run) finishIfSettled(now float64) {
	if !r.pageFull || r.Verdict != Running {
		return
	}
	if r.More && now < r.positionsDue && r.awaitsPosition() {
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

// finish ends the run with its one final answer.
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

// Places returns, by shard, where the next page begins after the run was served, and the positions at which its rows must be read.
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

// lastPlaceOf returns the place behind which a shard's rows were not delivered: the page's last row or, of a shard that was excluded, its
// own last row.
func (r *Run) lastPlaceOf(i int) cursor.Place {
	s := &r.shards[i]
	switch {
	case s.phase != excluded:
		return r.lastPlace
	case s.deliveredKey == nil:
		return cursor.Place{}
	}
	return cursor.Place{Key: s.deliveredKey, OwnOffset: s.deliveredOwn, Shard: i}
}
