// Package execution decides what becomes of one scattered read: events in, actions out, no I/O, no clock, no goroutines.
//
// # What it decides
//
// Whom to ask, from which place and at which position of the log at least; when the statement goes out; which shard is read no further for now;
// which row is next; who is given up, asked again or left out; and the one final answer, with where each shard stands then.
//
// # Shed as a whole
//
// Each shard's read is put to the decision module first, and nothing is sent anywhere before each has a server with a connection. Where one
// is refused before that, all are given up and the client is refused: no server has done anything. With Missing over 0, so many may be left
// out at most; one more, and the whole is refused.
//
// # A shard that fails
//
// It is asked again, as a new read, from behind the last row that came of it, Again times at most, at the position that what
// came may have been read at. One that owes a row and says nothing for Silent counts as failed; one that is slow does not. With none
// of its tries left it is left out where Missing allows, else the whole fails. At the deadline the same holds for whoever owes a row.
//
// # A page's end
//
// When the page is full, what still runs is cancelled. A shard that has ended told its position; where one does not within Settle, the time at which
// its first row came stands for it: no server had seen more by then.
//
// # What it does not know
//
// Servers, connections, statements, cursors as texts, tenants and limits.
//
// # Bounds
//
// Held is at most Settings.Held. A run ends at its deadline at the latest.
package execution

import (
	"fmt"
	"math"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/invariant"
)

// Settings are a scatter's. Times are in milliseconds.
type Settings struct {
	Shards          int
	MaxMissing      int     // that may be left out at most; 0 for none
	WindowBytes     int     // bytes held of each shard, beyond which it is read no further
	MaxRowBytes     int     // bytes of a row, with its key
	UnresponsiveMs  float64 // of a shard that owes a row
	MaxRetries      int     // times that a shard is asked again
	PositionWaitMs  float64 // for positions, once the page is full
	AnswerReserveMs float64 // before the deadline: for the answer, where shards are left out
}

// MaxHeldBytes is how many bytes are held at most.
func (s *Settings) MaxHeldBytes() int {
	return merge.MaxHeldBytes(s.Shards, s.WindowBytes, s.MaxRowBytes)
}

// ActionKind is what is to be done.
type ActionKind uint8

// What may be to be done.
const (
	Submit        ActionKind = iota // put the shard's read to the decision module
	Send                            // its statement goes out
	StopReading                     // read it no further for now
	ResumeReading                   // read it again
	Cancel                          // give it up, whether it was asked, waits or runs
	Deliver                         // Row goes to the client
	Finish                          // the one final answer
)

// Action is one.
type Action struct {
	Kind        ActionKind
	Shard       int
	Attempt     int          // Ask: its number, with which what comes of it is told
	Place       cursor.Place // Ask: behind it
	MinPosition int64        // Ask: the position in Unix ms, 0 for none
	MaxRows     int          // Ask: rows
	Row         []byte       // valid until the next event
}

// Verdict is how a scatter ended.
type Verdict uint8

// The verdicts.
const (
	Running Verdict = iota
	Served
	Rejected  // nothing was sent
	Failed    // nothing is promised; rows may have gone out
	Abandoned // its client went
)

// phase is a shard's.
type phase uint8

const (
	backingOff phase = iota // it is asked again soon
	submitted               // the decision module has it
	connected               // it has a server, and nothing is sent
	sent
	ended         // all its rows are here
	positionKnown // ...and it has told its position
	excluded      // it is left out
)

type shard struct {
	phase             phase
	attempt           int
	place             cursor.Place // as the client's cursor had it
	last              []byte       // key of its row that went out last, nil for none
	lastOwn           int          // where its own part begins
	readOwn           int          // ...and that of the row that came last
	minPosition       int64        // as the client's cursor had it
	submittedPosition int64        // of the present try
	observedPosition  int64        // no server that rows were read at had seen more
	reportedPosition  int64        // position that it told at its end
	rows              int          // that came
	progressAt        float64
	retryAt           float64 // until then
	readingStopped    bool
	why               string
}

// Run is one scatter.
type Run struct {
	settings     *Settings
	pageRows     int
	deadline     float64
	merge        *merge.Merge
	shards       []shard
	sending      bool // statements have gone out
	clientReady  bool
	delivered    int
	lastPlace    cursor.Place // the row that went out last
	pageFull     bool         // the page is, or nothing is left: positions are waited for
	positionsDue float64      // ...so long
	checks       *invariant.Checks
	actions      []Action

	Verdict Verdict
	Cause   string
	RetryMs float64
	More    bool // there may be more rows
}

// New makes a run for a page of so many rows. places and needs are the cursor's, nil for a first page; due is when the client gives up.
func New(set *Settings, page int, places []cursor.Place, needs []int64, due float64, checks *invariant.Checks) *Run {
	r := &Run{settings: set, pageRows: page, deadline: due, merge: merge.New(set.Shards, set.WindowBytes), shards: make([]shard, set.Shards), clientReady: true, checks: checks}
	for i := range r.shards {
		if places != nil {
			r.shards[i].place, r.shards[i].minPosition = places[i], needs[i]
		}
	}
	return r
}

// HeldBytes is how many bytes are held now.
func (r *Run) HeldBytes() int { return r.merge.HeldBytes() }

// Missing are the shards that are left out.
func (r *Run) Missing() (out []int) {
	for i := range r.shards {
		if r.shards[i].phase == excluded {
			out = append(out, i)
		}
	}
	return out
}

// Begin asks for all shards.
func (r *Run) Begin(now float64) []Action {
	r.actions = r.actions[:0]
	for i := range r.shards {
		r.submit(i, now)
	}
	return r.actions
}

// backoffMs is how long a shard that failed more than once is left alone.
const backoffMs = 100

// submit puts a shard's read to the decision module, from behind what came of it.
func (r *Run) submit(i int, now float64) {
	s := &r.shards[i]
	if s.phase != backingOff || s.attempt == 0 {
		s.attempt++
	}
	s.phase, s.progressAt, s.readingStopped = submitted, now, false
	a := Action{Kind: Submit, Shard: i, Attempt: s.attempt, Place: s.place, MinPosition: max(s.minPosition, s.observedPosition), MaxRows: r.pageRows - s.rows}
	if k := r.merge.LastKey(i); k != nil {
		a.Place = cursor.Place{Key: append([]byte(nil), k...), OwnOffset: s.readOwn, Shard: i}
	}
	s.submittedPosition = a.MinPosition
	r.checks.That(a.MinPosition >= s.minPosition && a.Place.Compare(&s.place) >= 0, "scatter: a shard is asked no earlier than its cursor says",
		func() string { return fmt.Sprintf("shard %d: need %d of %d", i, a.MinPosition, s.minPosition) })
	r.actions = append(r.actions, a)
}

// isCurrent tells whether an event is of a shard's present try, and clears the actions.
func (r *Run) isCurrent(i, try int) bool {
	r.actions = r.actions[:0]
	return r.Verdict == Running && i >= 0 && i < len(r.shards) && r.shards[i].attempt == try
}

// Connected tells that a shard's read has a server and a connection to it.
func (r *Run) Connected(i, try int, now float64) []Action {
	if r.isCurrent(i, try) && r.shards[i].phase == submitted {
		r.shards[i].phase = connected
		if r.sending {
			r.send(i, now)
		} else {
			r.sendOnceAllConnected(now)
		}
	}
	return r.actions
}

// sendOnceAllConnected sends all statements once no shard waits for its server.
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
	r.shards[i].phase, r.shards[i].progressAt = sent, now
	r.actions = append(r.actions, Action{Kind: Send, Shard: i})
}

// Rejected tells that the decision module has no server for a shard's read; nothing of it was sent.
func (r *Run) Rejected(i, try int, retryMs, now float64) []Action {
	if r.isCurrent(i, try) {
		r.RetryMs = max(r.RetryMs, retryMs)
		r.retryOrExclude(i, "no server can take it now", r.sending && r.shards[i].phase < ended, now)
	}
	return r.actions
}

// Failed tells that a shard's read came to nothing, or broke off. again says that another server may do better.
func (r *Run) Failed(i, try int, why string, again bool, now float64) []Action {
	if r.isCurrent(i, try) && r.shards[i].phase < ended {
		r.retryOrExclude(i, why, again, now)
	}
	return r.actions
}

func (r *Run) retryOrExclude(i int, why string, again bool, now float64) {
	s := &r.shards[i]
	if again && s.attempt <= r.settings.MaxRetries && now < r.deadline-r.settings.AnswerReserveMs {
		r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
		if s.attempt == 1 {
			r.submit(i, now)
			return
		}
		s.phase, s.retryAt, s.why = backingOff, now+backoffMs, why
		s.attempt++
		return
	}
	r.exclude(i, why, now)
}

// exclude leaves a shard out, or ends it all where it may not be.
func (r *Run) exclude(i int, why string, now float64) {
	s := &r.shards[i]
	if s.phase == excluded {
		return
	}
	r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
	s.phase, s.why = excluded, why
	s.attempt++ // what still comes of it is nobody's
	n := len(r.Missing())
	if n > r.settings.MaxMissing || n == len(r.shards) {
		verdict := Failed
		if !r.sending {
			verdict = Rejected
		}
		r.finish(verdict, fmt.Sprintf("shard %d: %s", i, why))
		r.checks.That(verdict != Rejected || !r.anySent(), "scatter: refused as a whole, before anything is sent", nil)
		return
	}
	r.merge.End(i)
	if !r.sending {
		r.sendOnceAllConnected(now)
	} else {
		r.deliverRows(now)
	}
}

func (r *Run) anySent() bool {
	for i := range r.shards {
		if p := r.shards[i].phase; p == sent || p == ended || p == positionKnown {
			return true
		}
	}
	return false
}

// Row takes a shard's next row; own is where its own part of the key begins.
func (r *Run) Row(i, try int, key []byte, own int, row []byte, now float64) []Action {
	if !r.isCurrent(i, try) || r.shards[i].phase != sent {
		return r.actions
	}
	s := &r.shards[i]
	if len(key)+len(row) > r.settings.MaxRowBytes {
		r.retryOrExclude(i, "a row is longer than is taken", false, now)
		return r.actions
	}
	if err := r.merge.Add(i, key, own, row); err != nil {
		r.retryOrExclude(i, "its rows are not in the order asked for", false, now)
		return r.actions
	}
	s.readOwn, s.progressAt, s.observedPosition = own, now, max(s.observedPosition, int64(math.Ceil(now)))
	r.checks.That(r.merge.HeldBytes() <= r.settings.MaxHeldBytes(), "scatter: bytes held are within their bound",
		func() string { return fmt.Sprintf("%d of %d", r.merge.HeldBytes(), r.settings.MaxHeldBytes()) })
	if s.rows++; s.rows >= r.pageRows { // as many as were asked for: whatever it sends behind them is not read
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

// RowsEnded tells that a shard has no more rows.
func (r *Run) RowsEnded(i, try int, now float64) []Action {
	if r.isCurrent(i, try) && r.shards[i].phase == sent {
		s := &r.shards[i]
		s.phase, s.observedPosition = ended, max(s.observedPosition, int64(math.Ceil(now))) // that it has no more rows was read, too
		r.merge.End(i)
		r.deliverRows(now)
	}
	return r.actions
}

// PositionReported tells that a shard has said its last, with its position in Unix ms, 0 for none.
func (r *Run) PositionReported(i, try int, position int64, now float64) []Action {
	if r.isCurrent(i, try) {
		s := &r.shards[i]
		if s.phase == ended {
			s.phase, s.reportedPosition = positionKnown, position
		}
		r.finishIfSettled(now)
	}
	return r.actions
}

// SetClientReady tells whether the client takes more rows.
func (r *Run) SetClientReady(ok bool, now float64) []Action {
	r.actions = r.actions[:0]
	if r.clientReady = ok; r.Verdict == Running {
		r.deliverRows(now)
	}
	return r.actions
}

// Abandon tells that the client has gone.
func (r *Run) Abandon() []Action {
	if r.actions = r.actions[:0]; r.Verdict == Running {
		r.finish(Abandoned, "")
	}
	return r.actions
}

// Tick lets time pass.
func (r *Run) Tick(now float64) []Action {
	if r.actions = r.actions[:0]; r.Verdict != Running {
		return nil
	}
	if r.pageFull {
		r.finishIfSettled(now)
		return r.actions
	}
	late := now >= r.deadline || r.settings.MaxMissing > 0 && now >= r.deadline-r.settings.AnswerReserveMs
	for i := range r.shards {
		s := &r.shards[i]
		owes := s.phase <= submitted || s.phase == sent && r.merge.LacksRow(i)
		switch {
		case r.Verdict != Running:
		case late && owes:
			r.exclude(i, "it gave no rows in time", now)
		case s.phase == sent && owes && r.settings.UnresponsiveMs > 0 && now-s.progressAt >= r.settings.UnresponsiveMs:
			r.retryOrExclude(i, "it was silent for too long", true, now)
		case s.phase == backingOff && now >= s.retryAt:
			r.submit(i, now)
		}
	}
	if r.Verdict == Running && now >= r.deadline {
		r.finish(Failed, "the page was not whole in time")
	}
	return r.actions
}

// deliverRows hands out what is next, as far as the client takes it.
func (r *Run) deliverRows(now float64) {
	if r.Verdict != Running || r.pageFull {
		return
	}
	for r.clientReady && r.delivered < r.pageRows {
		i, key, own, row, ok := r.merge.Next()
		if !ok {
			break
		}
		s := &r.shards[i]
		r.delivered++
		s.last, s.lastOwn = append(s.last[:0], key...), own
		r.lastPlace = cursor.Place{Key: s.last, OwnOffset: own, Shard: i}
		r.actions = append(r.actions, Action{Kind: Deliver, Shard: i, Row: row})
		if s.readingStopped && r.merge.Low(i) {
			s.readingStopped, s.progressAt = false, now
			r.actions = append(r.actions, Action{Kind: ResumeReading, Shard: i})
		}
	}
	if r.delivered < r.pageRows && !r.merge.Done() {
		return
	}
	r.pageFull, r.positionsDue = true, now+r.settings.PositionWaitMs
	r.More = r.delivered == r.pageRows || len(r.Missing()) > 0
	for i := range r.shards {
		if s := &r.shards[i]; s.phase < ended || s.phase == ended && s.rows >= r.pageRows {
			r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
			s.phase = ended
		}
	}
	r.finishIfSettled(now)
}

// finishIfSettled ends a page that is full once all positions are told, or have been waited for.
func (r *Run) finishIfSettled(now float64) {
	if !r.pageFull || r.Verdict != Running {
		return
	}
	if now < r.positionsDue && r.More {
		for i := range r.shards {
			if r.shards[i].phase == ended {
				return
			}
		}
	}
	r.finish(Served, "")
}

// finish gives the one final answer.
func (r *Run) finish(v Verdict, why string) {
	r.checks.That(r.Verdict == Running, "scatter: one final answer", func() string { return fmt.Sprint(r.Verdict, v) })
	r.Verdict, r.Cause = v, why
	for i := range r.shards {
		if p := r.shards[i].phase; v != Served && p < ended {
			r.actions = append(r.actions, Action{Kind: Cancel, Shard: i})
		}
	}
	r.actions = append(r.actions, Action{Kind: Finish})
}

// Places are where the shards stand once the run was served, and the positions at which their next rows must be read.
func (r *Run) Places() (places []cursor.Place, needs []int64) {
	for i := range r.shards {
		s := &r.shards[i]
		p, upTo := s.place, r.lastPlace
		if s.phase == excluded {
			upTo = cursor.Place{}
			if s.last != nil {
				upTo = cursor.Place{Key: s.last, OwnOffset: s.lastOwn, Shard: i}
			}
		}
		if upTo.Compare(&p) > 0 {
			p = upTo
		}
		need := s.reportedPosition
		if need == 0 {
			need = s.observedPosition
		}
		places, needs = append(places, p), append(needs, max(s.minPosition, s.submittedPosition, need))
	}
	return places, needs
}
