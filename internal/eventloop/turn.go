package eventloop

import "io"

// A turn is the work that a client's connection does in one callback. Clients that send much, or many small messages, would keep the loop from
// the others if all of it were handled at once. So accepted connections with something to do wait in a queue, and each has a turn when it
// is first. A handler asks TurnOver before each message, and leaves the rest to its next turn by ContinueLater; its input stays in
// the socket until it is done. Connections that continue wait in a queue of their own, which has fewer turns: clients that send little wait for
// each other only. Between slices of the queue, the loop handles what cannot wait: servers' answers, posted functions and timers.
const (
	maxTurnSteps = 64  // messages handled in a turn
	maxTurnMs    = 1.0 // after which a turn ends with the message that is being handled...
	minTurnMs    = 0.1 // ...and where many connections wait for their turn...
	roundMs      = 50  // ...such a part of this that all of them have their turn within it
	minSliceMs   = 2   // for turns, until the events of servers and posted functions are handled again...
	maxSliceMs   = 20  // ...and as long as those took, up to this
	newTurns     = 4   // turns of connections with new events for one of a connection that continues
)

// turns is the state of the turns. Times are on the loop's clock.
type turns struct {
	startedAt float64 // of the present callback
	steps     int     // that it has taken
	limitMs   float64 // of a turn
	ready     []*Conn // connections with new events
	continues []*Conn // connections that have not handled all of their input
	newInRow  int     // turns of ready connections since the last one of another
	statistics
}

// waiting returns the number of connections that wait for their turn.
func (t *turns) waiting() int { return len(t.ready) + len(t.continues) }

// begin begins a turn.
func (t *turns) begin(now float64) {
	t.startedAt = now
	t.steps = 0
}

// add adds a connection to the queue that it belongs to, unless it waits already.
func (t *turns) add(c *Conn) {
	switch {
	case c.queued:
		return
	case c.Continues():
		c.queuedSince = t.startedAt
		t.continues = append(t.continues, c)
	default:
		c.queuedSince = c.readySince
		t.ready = append(t.ready, c)
	}
	c.queued = true
}

// next removes the connection whose turn it is. At least one must wait.
func (t *turns) next() *Conn {
	queue := &t.ready
	t.newInRow++
	if len(t.ready) == 0 || len(t.continues) > 0 && t.newInRow > newTurns {
		queue = &t.continues
		t.newInRow = 0
	}
	c := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	c.queued = false
	return c
}

// TurnOver reports whether the present callback has used up its turn. Otherwise it counts a step, which the caller takes. A turn has at least one
// step, however fast the clock moves.
func (l *Loop) TurnOver() bool {
	steps := l.turns.steps
	if steps >= maxTurnSteps || steps > 0 && l.clock.Now()-l.turns.startedAt >= l.turns.limitMs {
		return true
	}
	l.turns.steps++
	return false
}

// ContinueLater runs f in the next turn of the connection. Until then, nothing is read from it. A call that is still to come is replaced.
func (c *Conn) ContinueLater(f func()) {
	if c.closed {
		return
	}
	if c.continuation == nil {
		c.loop.turns.continued++
	}
	c.continuation = f
	c.loop.turns.add(c)
}

// Continues reports whether the connection has a call of ContinueLater to come, because it has not handled all of its input.
func (c *Conn) Continues() bool { return c.continuation != nil }

// noteReady records events of an accepted connection, and gives it a turn.
func (l *Loop) noteReady(c *Conn, events uint32) {
	if c.readyEvents == 0 {
		c.readySince = l.pauses.inputSince
	}
	c.readyEvents |= events
	l.turns.add(c)
}

// runTurns gives the connections of the queue a turn each, in order, until a slice is over whose length depends on how long the loop has been busy
// with other events since the round began. At least one has its turn.
func (l *Loop) runTurns(roundBegan float64) {
	began := l.clock.Now()
	now := began
	otherMs := began - roundBegan
	defer func() { l.turns.noteRound(otherMs, now-began) }()
	until := began + max(minSliceMs, min(maxSliceMs, otherMs))
	l.turns.limitMs = max(minTurnMs, min(maxTurnMs, roundMs/float64(max(1, l.turns.waiting()))))
	for range l.turns.waiting() {
		c := l.turns.next()
		l.noteWait(now, now-c.queuedSince)
		l.runTurn(c)
		if now = l.clock.Now(); now >= until {
			return
		}
	}
}

// runTurn gives a connection its turn: it continues, or else handles its events.
func (l *Loop) runTurn(c *Conn) {
	if c.closed {
		return
	}
	if c.Continues() && c.readyEvents&brokenEvents != 0 { // nothing of what it would still do can reach the peer
		defer l.enterCallback(c.handler)()
		l.closeConn(c, io.ErrUnexpectedEOF)
		return
	}
	if f := c.continuation; f != nil {
		c.continuation = nil
		defer l.enterCallback(c.handler)()
		f()
		if c.Continues() && l.turns.steps == 0 {
			l.turns.withoutStep++
		}
		return
	}
	events := c.readyEvents
	c.readyEvents = 0
	l.pauses.inputSince = c.readySince
	l.handleConn(c, events)
}
