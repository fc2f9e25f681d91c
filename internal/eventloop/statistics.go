package eventloop

import (
	"fmt"

	"beechgrade/internal/metrics/exposition"
)

const (
	longTurnMs    = 25   // a longer callback delays all other connections noticeably
	longTurnLogMs = 1000 // between two lines of the log about long callbacks, or about long waits
	longWaitMs    = 150  // a client's input that waits longer may be handled too late
)

// statistics counts callbacks of the loop.
type statistics struct {
	continued   uint64  // turns that left a part of the input to the next one
	long        uint64  // callbacks of longTurnMs or more
	longestMs   float64 // the longest callback
	unlogged    uint64  // long callbacks since the last line of the log
	nextLogAt   float64
	withoutStep uint64  // turns that ended before their first step
	otherMs     float64 // that servers' events, posted functions and the timers between them took
	turnsMs     float64 // that turns took, and the timers between them
	longestWait float64 // of a client's input for its turn, in milliseconds
	longWaits   uint64  // of longWaitMs or more
	nextWaitLog float64
	recent      recentWaits
	callbackOf  any // the handler of the present callback, nil for timers and posted functions
}

// noteCallback counts the callback that ends now, and logs long ones.
func (l *Loop) noteCallback(now float64) {
	t := &l.turns
	took := now - t.startedAt
	t.longestMs = max(t.longestMs, took)
	if took < longTurnMs {
		return
	}
	t.long++
	t.unlogged++
	if now < t.nextLogAt {
		return
	}
	l.log.Warn("callback of the event loop took long, all connections waited", "ms", took, "handler", fmt.Sprintf("%T", t.callbackOf),
		"messages", t.steps, "since_last_line", t.unlogged)
	t.unlogged = 0
	t.nextLogAt = now + longTurnLogMs
}

// recentWaits are the longest waits of clients' input for its turn in the present span of recentSpanMs, and in the one before.
type recentWaits struct {
	endsAt            float64 // of the present span
	present, previous float64 // ms
}

// recentSpanMs is the length of a span of recentWaits.
const recentSpanMs = 1000

// advance begins a new span if the present one is over.
func (r *recentWaits) advance(now float64) {
	if now < r.endsAt {
		return
	}
	r.previous = r.present
	if now >= r.endsAt+recentSpanMs {
		r.previous = 0
	}
	r.present = 0
	r.endsAt = now + recentSpanMs
}

// RecentWait returns for how long the input of a client has waited for its turn in the last two seconds, at most, in milliseconds.
func (l *Loop) RecentWait(now float64) float64 {
	r := &l.turns.recent
	r.advance(now)
	return max(r.present, r.previous, l.oldestWait())
}

// noteRound counts the times of a round of the loop.
func (s *statistics) noteRound(otherMs, turnsMs float64) {
	s.otherMs += otherMs
	s.turnsMs += turnsMs
}

// noteWait counts how long a client's input has waited for its turn, and logs long waits.
func (l *Loop) noteWait(now, waitedMs float64) {
	t := &l.turns
	t.longestWait = max(t.longestWait, waitedMs)
	t.recent.advance(now)
	t.recent.present = max(t.recent.present, waitedMs)
	if waitedMs < longWaitMs {
		return
	}
	t.longWaits++
	if now < t.nextWaitLog {
		return
	}
	t.nextWaitLog = now + longTurnLogMs
	l.log.Warn("input of a client waited long for its turn", "ms", waitedMs, "waiting", t.waiting(), "long_waits", t.longWaits,
		"turns_without_step", t.withoutStep, "turns_ms", t.turnsMs, "other_ms", t.otherMs, "process_ms", processTime().Milliseconds())
}

// oldestWait returns for how long the input that has waited longest for its turn can have waited, in milliseconds.
func (l *Loop) oldestWait() float64 {
	now := l.clock.Now()
	oldest := now
	for _, queue := range [][]*Conn{l.turns.ready, l.turns.continues} {
		for _, c := range queue {
			oldest = min(oldest, c.queuedSince)
		}
	}
	return now - oldest
}

// WriteMetrics writes the numbers of turns that were continued and of long callbacks, and the length of the longest; how long input waited; what
// the loop's time was used for; and the processor time of the process and of its jobs.
func (l *Loop) WriteMetrics(snapshot *exposition.Snapshot) {
	loop := snapshot.Scope("loop")
	loop.Counter("continued_turns", l.turns.continued)
	loop.Counter("long_turns", l.turns.long)
	loop.IntGauge("longest_turn_ms", int64(l.turns.longestMs))
	loop.IntGauge("waiting_turns", int64(l.turns.waiting()))
	loop.Counter("turns_without_step", l.turns.withoutStep)
	loop.IntGauge("oldest_event_ms", int64(l.oldestWait()))
	loop.IntGauge("longest_wait_ms", int64(l.turns.longestWait))
	loop.Counter("long_waits", l.turns.longWaits)
	loop.Counter("turns_us", uint64(l.turns.turnsMs*usPerMs))
	loop.Counter("other_us", uint64(l.turns.otherMs*usPerMs))
	loop.Counter("process_us", uint64(processTime().Microseconds()))
	l.writeJobMetrics(loop)
}
