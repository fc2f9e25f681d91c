package eventloop

import (
	"time"

	"beechgrade/internal/eventloop/clock"
)

// The process may be stopped or get no processor for a while, and a callback may take long. Input that arrives meanwhile waits in the
// sockets, and is read long after it was sent. The loop detects such a pause by its own wake-up timer, which then fires late:
// input read right after a pause counts as arrived when the loop was last on time. The sum of tickMs and maxLatenessMs is below 150 ms, the
// tolerance of the waiting time that a query states to its server.
const (
	tickMs        = 75                   // the longest time until the next wake-up, so that a pause of an idle process is detected too
	maxLatenessMs = 25                   // a wake-up that fires later than that shows a pause
	settleTime    = 5 * time.Millisecond // after a pause, until the input from during it has been read
)

// pauses is the state of the detection of pauses. Times are on the loop's clock.
type pauses struct {
	lastOnTime float64 // when the loop was last on time
	settling   bool    // a pause has ended, and input from during the pause may still be unread
	endedAt    float64 // when that pause ended
	count      int
	polledAt   float64 // when events were last asked for
	inputSince float64 // since when the input of the present events can have waited
}

// notePoll records that events were asked for. Those that came while the loop waited have just happened; the others may have happened at any
// time since the previous call.
func (p *pauses) notePoll(now float64, waited bool) {
	p.inputSince = now
	if !waited && p.polledAt != 0 {
		p.inputSince = p.polledAt
	}
	p.polledAt = now
}

// EarliestArrival returns the earliest time at which input that is read now can have arrived: while the loop is busy, when it last asked for
// events before those that it handles now, and after a pause, when it was last on time.
func (l *Loop) EarliestArrival() float64 {
	now := l.clock.Now()
	arrival := now
	if l.pauses.inputSince != 0 {
		arrival = min(now, l.pauses.inputSince)
	}
	if l.pauses.settling || l.overdue(now) {
		arrival = min(arrival, l.pauses.lastOnTime)
	}
	return arrival
}

// overdue reports whether the wake-up should have fired well before now.
func (l *Loop) overdue(now float64) bool { return l.wakeAt != 0 && now > l.wakeAt+maxLatenessMs }

// noteOnTime records, at the end of a callback, that the loop is on time, unless the wake-up is overdue or a pause has just ended.
func (l *Loop) noteOnTime(now float64) {
	if !l.pauses.settling && !l.overdue(now) {
		l.pauses.lastOnTime = now
	}
}

// tick keeps a timer set, so that there is a wake-up at least every tickMs.
func (l *Loop) tick() { l.At(l.clock.Now()+tickMs, l.tick) }

// wakeUpIsDue reports whether the time of the wake-up has come.
func (l *Loop) wakeUpIsDue(now float64) bool {
	expired := l.poller.expired
	l.poller.expired = false
	return l.wakeAt != 0 && (expired || now >= l.wakeAt)
}

// handleWakeUp runs when the wake-up is due, after the connections' events of the same batch. Events that arrived during that batch are in the next
// one.
func (l *Loop) handleWakeUp() {
	if now := l.clock.Now(); l.overdue(now) {
		l.notePause(now)
	}
	l.wakeAt = 0
}

// notePause records that a pause has ended.
func (l *Loop) notePause(now float64) {
	p := &l.pauses
	if p.settling { // the input from during the previous pause has been read by now
		p.lastOnTime = p.endedAt
	}
	p.settling = true
	p.endedAt = now
	p.count++
	count := p.count
	time.AfterFunc(settleTime, func() {
		l.Post(func() {
			if count == p.count && !l.overdue(l.clock.Now()) { // otherwise another pause is about to be recorded
				p.settling = false
			}
		})
	})
}

// setWakeUp sets the wake-up timer to the time of the earliest timer.
func (l *Loop) setWakeUp() {
	at, ok := l.timers.Next()
	if !ok || l.wakeAt != 0 && l.wakeAt <= at {
		return
	}
	l.wakeAt = at
	if l.poller != nil {
		l.poller.wakeIn(max(0, clock.ToDuration(at-l.clock.Now())))
	}
}
