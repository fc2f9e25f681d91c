package core

const (
	// maxQueuedActions bounds a pacer's queue; the router has at most one health check in flight to each server.
	maxQueuedActions = 4096
	// minPacerWaitMs is the shortest delay of a pacer's timer.
	minPacerWaitMs = 5
)

// pacer is a token bucket that delays this pooler's own actions (health checks, list calls, dials) to keep a limit.
type pacer struct {
	loop        Loop
	limited     bool
	rate, burst float64 // tokens a second, and the depth of the bucket
	tokens      float64
	filledAt    float64 // ms
	waiting     []func()
	timerSet    bool
}

// run runs an action as soon as the limit allows it; at once if there is no limit or the queue is full.
func (l *limit) run(action func()) {
	if l == nil || len(l.pacer.waiting) >= maxQueuedActions {
		action()
		return
	}
	l.pacer.waiting = append(l.pacer.waiting, action)
	l.pacer.release()
}

// fill adds the tokens that accrued until now.
func (p *pacer) fill(now float64) {
	p.tokens = min(p.burst, p.tokens+p.rate*max(0, now-p.filledAt)/msPerSecond)
	p.filledAt = max(p.filledAt, now)
}

// setRate sets the rate and the burst, from now on.
func (p *pacer) setRate(rate, burst float64) {
	now := p.loop.Now()
	p.fill(now)
	if !p.limited {
		p.tokens = 0
	}
	p.limited = true
	p.rate = rate
	p.burst = burst
	p.fill(now)
	p.release()
}

// lift removes the limit and runs all queued actions.
func (p *pacer) lift() {
	p.limited = false
	p.release()
}

// release runs the queued actions that the limit allows now, and sets a timer for the remaining ones.
func (p *pacer) release() {
	p.fill(p.loop.Now())
	for len(p.waiting) > 0 && (!p.limited || p.tokens >= 1) {
		action := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.tokens--
		action()
	}
	if len(p.waiting) > 0 && p.rate > 0 && !p.timerSet {
		p.timerSet = true
		untilNext := (1 - p.tokens) * msPerSecond / p.rate
		p.loop.At(p.loop.Now()+max(minPacerWaitMs, untilNext), func() {
			p.timerSet = false
			p.release()
		})
	}
}
