package execution

import (
	"fmt"
	"math"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/invariant"
)

// backoffMs is the pause before the second and each later retry of a shard. The first retry is immediate.
const backoffMs = 100

// Run is the execution of one page. Each of its event methods returns the actions to perform, which are valid until the next event.
type Run struct {
	settings          *Settings
	pageRows          int
	deadline          float64
	merge             *merge.Merge
	shards            []shard
	sending           bool         // every shard has had a connection, and statements are being sent
	clientReady       bool         // the client accepts rows
	delivered         int          // number of rows delivered
	lastPlace         cursor.Place // of the row delivered last
	pageFull          bool         // no more rows are delivered, and the run waits for positions
	positionsDeadline float64      // time at which the wait for positions ends
	checks            *invariant.Checks
	actions           []Action

	// The result, which is set when the run has returned Finish.
	Verdict Verdict
	Cause   string  // for Rejected and Failed
	RetryMs float64 // for Rejected: time after which the client may retry, 0 if unknown
	More    bool    // there may be rows after those of the page
}

// New makes a run for a page of at most pageRows rows. places and minPositions are those of the cursor, by shard, and nil for the first
// page. The run ends at the deadline at the latest.
func New(settings *Settings, pageRows int, places []cursor.Place, minPositions []int64, deadline float64, checks *invariant.Checks) *Run {
	r := &Run{
		settings:    settings,
		pageRows:    pageRows,
		deadline:    deadline,
		merge:       merge.New(settings.Shards, settings.WindowBytes),
		shards:      make([]shard, settings.Shards),
		clientReady: true,
		checks:      checks,
	}
	if places == nil {
		return r
	}
	for i := range r.shards {
		r.shards[i].cursorPlace = places[i]
		r.shards[i].cursorMinPosition = minPositions[i]
	}
	return r
}

// HeldBytes returns the number of bytes of rows held.
func (r *Run) HeldBytes() int { return r.merge.HeldBytes() }

// Missing returns the excluded shards.
func (r *Run) Missing() (shards []int) {
	for i := range r.shards {
		if r.shards[i].phase == excluded {
			shards = append(shards, i)
		}
	}
	return shards
}

// Begin submits the reads of all shards.
func (r *Run) Begin(now float64) []Action {
	r.actions = r.actions[:0]
	for i := range r.shards {
		r.submit(i, now)
	}
	return r.actions
}

// Connected reports that the read of a shard has a connection to a server.
func (r *Run) Connected(i, attempt int, now float64) []Action {
	if !r.beginEvent(i, attempt) || r.shards[i].phase != submitted {
		return r.actions
	}
	r.shards[i].phase = connected
	if r.sending {
		r.send(i, now)
	} else {
		r.sendOnceAllConnected(now)
	}
	return r.actions
}

// Rejected reports that the decision module has no server for the read of a shard, and no statement was sent for this attempt.
func (r *Run) Rejected(i, attempt int, retryMs, now float64) []Action {
	if r.beginEvent(i, attempt) {
		r.RetryMs = max(r.RetryMs, retryMs)
		retryable := r.sending && r.shards[i].phase < ended
		r.retryOrExclude(i, "no server can take it now", retryable, now)
	}
	return r.actions
}

// Failed reports that the read of a shard has failed. retryable says whether it may succeed at another server.
func (r *Run) Failed(i, attempt int, cause string, retryable bool, now float64) []Action {
	if r.beginEvent(i, attempt) && r.shards[i].phase < ended {
		r.retryOrExclude(i, cause, retryable, now)
	}
	return r.actions
}

// Row reports the next row of a shard. The shard's own part of the key begins at ownOffset. Neither key nor row is retained.
func (r *Run) Row(i, attempt int, key []byte, ownOffset int, row []byte, now float64) []Action {
	if !r.beginEvent(i, attempt) || r.shards[i].phase != sent {
		return r.actions
	}
	if len(key)+len(row) > r.settings.MaxRowBytes {
		r.retryOrExclude(i, "a row is longer than is taken", false, now)
		return r.actions
	}
	if err := r.merge.Add(i, key, ownOffset, row); err != nil {
		r.retryOrExclude(i, "its rows are not in the order asked for", false, now)
		return r.actions
	}
	s := &r.shards[i]
	s.readOwnOffset = ownOffset
	s.progressAt = now
	s.observe(now)
	r.checks.That(r.merge.HeldBytes() <= r.settings.MaxHeldBytes(), "scatter: bytes held are within their bound",
		func() string { return fmt.Sprintf("%d of %d", r.merge.HeldBytes(), r.settings.MaxHeldBytes()) })
	s.rows++
	if s.rows >= r.pageRows { // no later row of the shard can be on the page
		s.phase = ended
		r.merge.End(i)
	}
	r.deliverRows(now)
	if s.phase == sent && !s.readingStopped && r.merge.Full(i) {
		s.readingStopped = true
		r.actions = append(r.actions, Action{Kind: StopReading, Shard: i})
	}
	return r.actions
}

// RowsEnded reports that a shard has no more rows.
func (r *Run) RowsEnded(i, attempt int, now float64) []Action {
	if !r.beginEvent(i, attempt) || r.shards[i].phase != sent {
		return r.actions
	}
	s := &r.shards[i]
	s.phase = ended
	s.observe(now) // the end of the rows is an observation, too
	r.merge.End(i)
	r.deliverRows(now)
	return r.actions
}

// PositionReported reports the position of a shard's server after its last row, 0 if it is not known.
func (r *Run) PositionReported(i, attempt int, position int64, now float64) []Action {
	if !r.beginEvent(i, attempt) {
		return r.actions
	}
	if s := &r.shards[i]; s.phase == ended {
		s.phase = positionKnown
		s.reportedPosition = position
	}
	r.finishIfSettled(now)
	return r.actions
}

// SetClientReady reports whether the client accepts rows.
func (r *Run) SetClientReady(ready bool, now float64) []Action {
	r.actions = r.actions[:0]
	r.clientReady = ready
	if r.Verdict == Running {
		r.deliverRows(now)
	}
	return r.actions
}

// Abandon reports that the client has disconnected or cancelled the page.
func (r *Run) Abandon() []Action {
	r.actions = r.actions[:0]
	if r.Verdict == Running {
		r.finish(Abandoned, "")
	}
	return r.actions
}

// Tick reports that time has passed.
func (r *Run) Tick(now float64) []Action {
	r.actions = r.actions[:0]
	if r.Verdict != Running {
		return nil
	}
	if r.pageFull {
		r.finishIfSettled(now)
		return r.actions
	}
	late := now >= r.deadline || r.settings.MaxMissing > 0 && r.isNearDeadline(now)
	for i := range r.shards {
		if r.Verdict == Running {
			r.tickShard(i, late, now)
		}
	}
	if r.Verdict == Running && now >= r.deadline {
		r.finish(Failed, "the page was not whole in time")
	}
	return r.actions
}

// tickShard excludes a shard that is late, retries or excludes one that is unresponsive, and retries one whose backoff has ended.
func (r *Run) tickShard(i int, late bool, now float64) {
	s := &r.shards[i]
	rowNeeded := s.phase == sent && r.merge.LacksRow(i)
	switch {
	case late && (rowNeeded || s.phase <= submitted):
		r.exclude(i, "it gave no rows in time", now)
	case rowNeeded && r.isUnresponsive(s, now):
		r.retryOrExclude(i, "it was silent for too long", true, now)
	case s.phase == backingOff && now >= s.retryAt:
		r.submit(i, now)
	}
}

func (r *Run) isUnresponsive(s *shard, now float64) bool {
	return r.settings.UnresponsiveMs > 0 && now-s.progressAt >= r.settings.UnresponsiveMs
}

// isNearDeadline reports whether only the time reserved for the answer remains.
func (r *Run) isNearDeadline(now float64) bool { return now >= r.deadline-r.settings.AnswerReserveMs }

// beginEvent clears the actions, and reports whether an event belongs to the current attempt of a shard.
func (r *Run) beginEvent(i, attempt int) bool {
	r.actions = r.actions[:0]
	isShard := i >= 0 && i < len(r.shards)
	return r.Verdict == Running && isShard && r.shards[i].attempt == attempt
}

// observe records that rows were read by now: the server cannot have applied later writes.
func (s *shard) observe(now float64) {
	s.observedPosition = max(s.observedPosition, int64(math.Ceil(now)))
}

// submit submits the read of a shard, beginning after the last row received.
func (r *Run) submit(i int, now float64) {
	s := &r.shards[i]
	if s.phase != backingOff || s.attempt == 0 {
		s.attempt++
	}
	s.phase = submitted
	s.progressAt = now
	s.readingStopped = false
	action := Action{
		Kind:        Submit,
		Shard:       i,
		Attempt:     s.attempt,
		Place:       s.cursorPlace,
		MinPosition: max(s.cursorMinPosition, s.observedPosition),
		MaxRows:     r.pageRows - s.rows,
	}
	if key := r.merge.LastKey(i); key != nil {
		action.Place = cursor.Place{Key: append([]byte(nil), key...), OwnOffset: s.readOwnOffset, Shard: i}
	}
	s.submittedPosition = action.MinPosition
	r.checks.That(action.MinPosition >= s.cursorMinPosition && action.Place.Compare(&s.cursorPlace) >= 0,
		"scatter: a shard is asked no earlier than its cursor says",
		func() string {
			return fmt.Sprintf("shard %d: need %d of %d", i, action.MinPosition, s.cursorMinPosition)
		})
	r.actions = append(r.actions, action)
}

// sendOnceAllConnected sends all statements once no shard is waiting for a connection.
func (r *Run) sendOnceAllConnected(now float64) {
	for i := range r.shards {
		if r.shards[i].phase <= submitted {
			return
		}
	}
	r.sending = true
	for i := range r.shards {
		if r.shards[i].phase == connected {
			r.send(i, now)
		}
	}
}

func (r *Run) send(i int, now float64) {
	r.shards[i].phase = sent
	r.shards[i].progressAt = now
	r.actions = append(r.actions, Action{Kind: Send, Shard: i})
}

// retryOrExclude retries a shard that has failed: immediately the first time, and after backoffMs from then on. It excludes a shard that
// may not be retried.
func (r *Run) retryOrExclude(i int, cause string, retryable bool, now float64) {
	s := &r.shards[i]
	if !retryable || s.attempt > r.settings.MaxRetries || r.isNearDeadline(now) {
		r.exclude(i, cause, now)
		return
	}
	r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
	if s.attempt == 1 {
		r.submit(i, now)
		return
	}
	s.phase = backingOff
	s.retryAt = now + backoffMs
	s.attempt++
}

// exclude leaves a shard out of the page, and ends the run if too many shards are missing.
func (r *Run) exclude(i int, cause string, now float64) {
	s := &r.shards[i]
	if s.phase == excluded {
		return
	}
	r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
	s.phase = excluded
	s.attempt++ // so that further events of the attempt are ignored
	missing := len(r.Missing())
	if missing > r.settings.MaxMissing || missing == len(r.shards) {
		verdict := Failed
		if !r.sending {
			verdict = Rejected
		}
		r.finish(verdict, fmt.Sprintf("shard %d: %s", i, cause))
		r.checks.That(verdict != Rejected || !r.anySent(), "scatter: refused as a whole, before anything is sent", nil)
		return
	}
	r.merge.End(i)
	if r.sending {
		r.deliverRows(now)
	} else {
		r.sendOnceAllConnected(now)
	}
}

func (r *Run) anySent() bool {
	for i := range r.shards {
		switch r.shards[i].phase {
		case sent, ended, positionKnown:
			return true
		}
	}
	return false
}
