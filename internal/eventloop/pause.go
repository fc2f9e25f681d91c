package eventloop

import (
	"time"

	"beechgrade/internal/eventloop/clock"
)

// A process may be stopped, or get no processor for a while, and a turn may take long. What comes in meanwhile waits in the
// sockets, and was sent long before it is read. The loop notices by its own wake-up, which then runs late: what is read behind
// a pause counts as come when the loop was last seen on time. Together the two limits stay under the 150 ms by which a
// deadline that a server is told may be wrong.
const (
	heartbeatMs = 75 // the longest time for which the wake-up is set, so that a pause of an idle process shows as well
	lateMs      = 25 // a wake-up that is later than that comes behind a pause
	settle      = 5 * time.Millisecond
)

// pauses is what the loop knows of its pauses.
type pauses struct {
	onTime   float64 // the loop was last seen on time then
	settling bool    // a pause is over, and what waited meanwhile may be yet to be read
	over     float64 // the pause was over then
	count    int
}

// EarliestArrival is a time since which all that is read now has come in: the present, save behind a pause.
func (l *Loop) EarliestArrival() float64 {
	now := l.clk.Now()
	if l.pauses.settling || l.overdue(now) {
		return l.pauses.onTime
	}
	return now
}

// overdue tells whether the wake-up should have come well before now.
func (l *Loop) overdue(now float64) bool { return l.armd != 0 && now > l.armd+lateMs }

// seen notes that the loop has come to the end of a callback.
func (l *Loop) seen(now float64) {
	if !l.pauses.settling && !l.overdue(now) {
		l.pauses.onTime = now
	}
}

// heartbeat keeps the wake-up set.
func (l *Loop) heartbeat() { l.At(l.clk.Now()+heartbeatMs, l.heartbeat) }

// woken takes the wake-up. It comes behind the connections' events of its batch; those that waited beside these come in the
// next one.
func (l *Loop) woken() {
	if now := l.clk.Now(); l.overdue(now) {
		l.resumed(now)
	}
	l.armd = 0
}

// resumed notes that a pause is over.
func (l *Loop) resumed(now float64) {
	p := &l.pauses
	if p.settling { // what waited through the pause before this one has been read by now
		p.onTime = p.over
	}
	p.settling, p.over = true, now
	p.count++
	count := p.count
	time.AfterFunc(settle, func() {
		l.Post(func() {
			if count == p.count && !l.overdue(l.clk.Now()) { // else another pause is noticed in a moment
				p.settling = false
			}
		})
	})
}

// arm sets the wake-up for the next deadline.
func (l *Loop) arm() {
	at, ok := l.heap.Next()
	if !ok || l.armd != 0 && l.armd <= at {
		return
	}
	l.armd = at
	left := max(0, clock.ToDuration(at-l.clk.Now()))
	if l.wake == nil {
		l.wake = time.AfterFunc(left, func() { l.Post(l.woken) })
		return
	}
	l.wake.Reset(left)
}
