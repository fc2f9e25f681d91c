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
	Shards  int
	Missing int     // that may be left out at most; 0 for none
	Window  int     // bytes held of each shard, beyond which it is read no further
	MostRow int     // bytes of a row, with its key
	Silent  float64 // of a shard that owes a row
	Again   int     // times that a shard is asked again
	Settle  float64 // for positions, once the page is full
	Spare   float64 // before the deadline: for the answer, where shards are left out
}

// Held is how many bytes are held at most.
func (s *Settings) Held() int { return merge.Most(s.Shards, s.Window, s.MostRow) }

// Do is what is to be done.
type Do uint8

// What may be to be done.
const (
	Ask    Do = iota // put the shard's read to the decision module
	Send             // its statement goes out
	Stop             // read it no further for now
	Go               // read it again
	Cancel           // give it up, whether it was asked, waits or runs
	Give             // Row goes to the client
	Final            // the one final answer
)

// Action is one.
type Action struct {
	Do    Do
	Shard int
	Try   int          // Ask: its number, with which what comes of it is told
	Place cursor.Place // Ask: behind it
	Need  int64        // Ask: the position in Unix ms, 0 for none
	Limit int          // Ask: rows
	Row   []byte       // valid until the next event
}

// Verdict is how a scatter ended.
type Verdict uint8

// The verdicts.
const (
	Running Verdict = iota
	Served
	Refused // nothing was sent
	Failed  // nothing is promised; rows may have gone out
	Gone    // its client went
)

// phase is a shard's.
type phase uint8

const (
	resting phase = iota // it is asked again soon
	asking               // the decision module has it
	granted              // it has a server, and nothing is sent
	sent
	ended   // all its rows are here
	settled // ...and it has told its position
	missing // it is left out
)

type shard struct {
	phase   phase
	try     int
	place   cursor.Place // as the client's cursor had it
	last    []byte       // key of its row that went out last, nil for none
	own     int          // where its own part begins
	came    int          // ...and that of the row that came last
	need    int64        // as the client's cursor had it
	asked   int64        // of the present try
	seen    int64        // no server that rows were read at had seen more
	told    int64        // position that it told at its end
	rows    int          // that came
	moved   float64
	rests   float64 // until then
	stopped bool
	why     string
}

// Run is one scatter.
type Run struct {
	set    *Settings
	page   int
	due    float64
	merge  *merge.Merge
	shards []shard
	begun  bool // statements have gone out
	room   bool
	given  int
	lastOf cursor.Place // the row that went out last
	full   bool         // the page is, or nothing is left: positions are waited for
	until  float64      // ...so long
	checks *invariant.Checks
	out    []Action

	Verdict Verdict
	Why     string
	RetryMs float64
	More    bool // there may be more rows
}

// New makes a run for a page of so many rows. places and needs are the cursor's, nil for a first page; due is when the client gives up.
func New(set *Settings, page int, places []cursor.Place, needs []int64, due float64, checks *invariant.Checks) *Run {
	r := &Run{set: set, page: page, due: due, merge: merge.New(set.Shards, set.Window), shards: make([]shard, set.Shards), room: true, checks: checks}
	for i := range r.shards {
		if places != nil {
			r.shards[i].place, r.shards[i].need = places[i], needs[i]
		}
	}
	return r
}

// Held is how many bytes are held now.
func (r *Run) Held() int { return r.merge.Held() }

// Missing are the shards that are left out.
func (r *Run) Missing() (out []int) {
	for i := range r.shards {
		if r.shards[i].phase == missing {
			out = append(out, i)
		}
	}
	return out
}

// Begin asks for all shards.
func (r *Run) Begin(now float64) []Action {
	r.out = r.out[:0]
	for i := range r.shards {
		r.ask(i, now)
	}
	return r.out
}

// restMs is how long a shard that failed more than once is left alone.
const restMs = 100

// ask puts a shard's read to the decision module, from behind what came of it.
func (r *Run) ask(i int, now float64) {
	s := &r.shards[i]
	if s.phase != resting || s.try == 0 {
		s.try++
	}
	s.phase, s.moved, s.stopped = asking, now, false
	a := Action{Do: Ask, Shard: i, Try: s.try, Place: s.place, Need: max(s.need, s.seen), Limit: r.page - s.rows}
	if k := r.merge.Last(i); k != nil {
		a.Place = cursor.Place{Key: append([]byte(nil), k...), Own: s.came, Shard: i}
	}
	s.asked = a.Need
	r.checks.That(a.Need >= s.need && a.Place.Compare(&s.place) >= 0, "scatter: a shard is asked no earlier than its cursor says",
		func() string { return fmt.Sprintf("shard %d: need %d of %d", i, a.Need, s.need) })
	r.out = append(r.out, a)
}

// mine tells whether an event is of a shard's present try, and clears the actions.
func (r *Run) mine(i, try int) bool {
	r.out = r.out[:0]
	return r.Verdict == Running && i >= 0 && i < len(r.shards) && r.shards[i].try == try
}

// Granted tells that a shard's read has a server and a connection to it.
func (r *Run) Granted(i, try int, now float64) []Action {
	if r.mine(i, try) && r.shards[i].phase == asking {
		r.shards[i].phase = granted
		if r.begun {
			r.send(i, now)
		} else {
			r.gather(now)
		}
	}
	return r.out
}

// gather sends all statements once no shard waits for its server.
func (r *Run) gather(now float64) {
	for i := range r.shards {
		if r.shards[i].phase <= asking {
			return
		}
	}
	r.begun = true
	for i := range r.shards {
		if r.shards[i].phase == granted {
			r.send(i, now)
		}
	}
}

func (r *Run) send(i int, now float64) {
	r.shards[i].phase, r.shards[i].moved = sent, now
	r.out = append(r.out, Action{Do: Send, Shard: i})
}

// Refused tells that the decision module has no server for a shard's read; nothing of it was sent.
func (r *Run) Refused(i, try int, retryMs, now float64) []Action {
	if r.mine(i, try) {
		r.RetryMs = max(r.RetryMs, retryMs)
		r.broke(i, "no server can take it now", r.begun && r.shards[i].phase < ended, now)
	}
	return r.out
}

// Broke tells that a shard's read came to nothing, or broke off. again says that another server may do better.
func (r *Run) Broke(i, try int, why string, again bool, now float64) []Action {
	if r.mine(i, try) && r.shards[i].phase < ended {
		r.broke(i, why, again, now)
	}
	return r.out
}

func (r *Run) broke(i int, why string, again bool, now float64) {
	s := &r.shards[i]
	if again && s.try <= r.set.Again && now < r.due-r.set.Spare {
		r.out = append(r.out, Action{Do: Cancel, Shard: i})
		if s.try == 1 {
			r.ask(i, now)
			return
		}
		s.phase, s.rests, s.why = resting, now+restMs, why
		s.try++
		return
	}
	r.lose(i, why, now)
}

// lose leaves a shard out, or ends it all where it may not be.
func (r *Run) lose(i int, why string, now float64) {
	s := &r.shards[i]
	if s.phase == missing {
		return
	}
	r.out = append(r.out, Action{Do: Cancel, Shard: i})
	s.phase, s.why = missing, why
	s.try++ // what still comes of it is nobody's
	n := len(r.Missing())
	if n > r.set.Missing || n == len(r.shards) {
		verdict := Failed
		if !r.begun {
			verdict = Refused
		}
		r.end(verdict, fmt.Sprintf("shard %d: %s", i, why))
		r.checks.That(verdict != Refused || !r.sentAny(), "scatter: refused as a whole, before anything is sent", nil)
		return
	}
	r.merge.End(i)
	if !r.begun {
		r.gather(now)
	} else {
		r.pump(now)
	}
}

func (r *Run) sentAny() bool {
	for i := range r.shards {
		if p := r.shards[i].phase; p == sent || p == ended || p == settled {
			return true
		}
	}
	return false
}

// Row takes a shard's next row; own is where its own part of the key begins.
func (r *Run) Row(i, try int, key []byte, own int, row []byte, now float64) []Action {
	if !r.mine(i, try) || r.shards[i].phase != sent {
		return r.out
	}
	s := &r.shards[i]
	if len(key)+len(row) > r.set.MostRow {
		r.broke(i, "a row is longer than is taken", false, now)
		return r.out
	}
	if err := r.merge.Add(i, key, own, row); err != nil {
		r.broke(i, "its rows are not in the order asked for", false, now)
		return r.out
	}
	s.came, s.moved, s.seen = own, now, max(s.seen, int64(math.Ceil(now)))
	r.checks.That(r.merge.Held() <= r.set.Held(), "scatter: bytes held are within their bound",
		func() string { return fmt.Sprintf("%d of %d", r.merge.Held(), r.set.Held()) })
	if s.rows++; s.rows >= r.page { // as many as were asked for: whatever it sends behind them is not read
		s.phase = ended
		r.merge.End(i)
	}
	r.pump(now)
	if s.phase == sent && !s.stopped && r.merge.Full(i) {
		s.stopped = true
		r.out = append(r.out, Action{Do: Stop, Shard: i})
	}
	return r.out
}

// Ended tells that a shard has no more rows.
func (r *Run) Ended(i, try int, now float64) []Action {
	if r.mine(i, try) && r.shards[i].phase == sent {
		s := &r.shards[i]
		s.phase, s.seen = ended, max(s.seen, int64(math.Ceil(now))) // that it has no more rows was read, too
		r.merge.End(i)
		r.pump(now)
	}
	return r.out
}

// Settled tells that a shard has said its last, with its position in Unix ms, 0 for none.
func (r *Run) Settled(i, try int, position int64, now float64) []Action {
	if r.mine(i, try) {
		s := &r.shards[i]
		if s.phase == ended {
			s.phase, s.told = settled, position
		}
		r.settle(now)
	}
	return r.out
}

// Room tells whether the client takes more rows.
func (r *Run) Room(ok bool, now float64) []Action {
	r.out = r.out[:0]
	if r.room = ok; r.Verdict == Running {
		r.pump(now)
	}
	return r.out
}

// Leave tells that the client has gone.
func (r *Run) Leave() []Action {
	if r.out = r.out[:0]; r.Verdict == Running {
		r.end(Gone, "")
	}
	return r.out
}

// Tick lets time pass.
func (r *Run) Tick(now float64) []Action {
	if r.out = r.out[:0]; r.Verdict != Running {
		return nil
	}
	if r.full {
		r.settle(now)
		return r.out
	}
	late := now >= r.due || r.set.Missing > 0 && now >= r.due-r.set.Spare
	for i := range r.shards {
		s := &r.shards[i]
		owes := s.phase <= asking || s.phase == sent && r.merge.Lacks(i)
		switch {
		case r.Verdict != Running:
		case late && owes:
			r.lose(i, "it gave no rows in time", now)
		case s.phase == sent && owes && r.set.Silent > 0 && now-s.moved >= r.set.Silent:
			r.broke(i, "it was silent for too long", true, now)
		case s.phase == resting && now >= s.rests:
			r.ask(i, now)
		}
	}
	if r.Verdict == Running && now >= r.due {
		r.end(Failed, "the page was not whole in time")
	}
	return r.out
}

// pump hands out what is next, as far as the client takes it.
func (r *Run) pump(now float64) {
	if r.Verdict != Running || r.full {
		return
	}
	for r.room && r.given < r.page {
		i, key, own, row, ok := r.merge.Next()
		if !ok {
			break
		}
		s := &r.shards[i]
		r.given++
		s.last, s.own = append(s.last[:0], key...), own
		r.lastOf = cursor.Place{Key: s.last, Own: own, Shard: i}
		r.out = append(r.out, Action{Do: Give, Shard: i, Row: row})
		if s.stopped && r.merge.Low(i) {
			s.stopped, s.moved = false, now
			r.out = append(r.out, Action{Do: Go, Shard: i})
		}
	}
	if r.given < r.page && !r.merge.Done() {
		return
	}
	r.full, r.until = true, now+r.set.Settle
	r.More = r.given == r.page || len(r.Missing()) > 0
	for i := range r.shards {
		if s := &r.shards[i]; s.phase < ended || s.phase == ended && s.rows >= r.page {
			r.out = append(r.out, Action{Do: Cancel, Shard: i})
			s.phase = ended
		}
	}
	r.settle(now)
}

// settle ends a page that is full once all positions are told, or have been waited for.
func (r *Run) settle(now float64) {
	if !r.full || r.Verdict != Running {
		return
	}
	if now < r.until && r.More {
		for i := range r.shards {
			if r.shards[i].phase == ended {
				return
			}
		}
	}
	r.end(Served, "")
}

// end gives the one final answer.
func (r *Run) end(v Verdict, why string) {
	r.checks.That(r.Verdict == Running, "scatter: one final answer", func() string { return fmt.Sprint(r.Verdict, v) })
	r.Verdict, r.Why = v, why
	for i := range r.shards {
		if p := r.shards[i].phase; v != Served && p < ended {
			r.out = append(r.out, Action{Do: Cancel, Shard: i})
		}
	}
	r.out = append(r.out, Action{Do: Final})
}

// Places are where the shards stand once the run was served, and the positions at which their next rows must be read.
func (r *Run) Places() (places []cursor.Place, needs []int64) {
	for i := range r.shards {
		s := &r.shards[i]
		p, upTo := s.place, r.lastOf
		if s.phase == missing {
			upTo = cursor.Place{}
			if s.last != nil {
				upTo = cursor.Place{Key: s.last, Own: s.own, Shard: i}
			}
		}
		if upTo.Compare(&p) > 0 {
			p = upTo
		}
		need := s.told
		if need == 0 {
			need = s.seen
		}
		places, needs = append(places, p), append(needs, max(s.need, s.asked, need))
	}
	return places, needs
}
