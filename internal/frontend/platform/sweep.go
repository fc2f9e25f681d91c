package platform

import "beechgrade/internal/eventloop/slotmap"

// Start starts the periodic sweeps. It must be called on the event loop.
func (postgres *Postgres) Start() {
	postgres.eventLoop.Every("platform_sweep", sweepMs, postgres.sweep)
}

// sweep disconnects clients that have exceeded a time limit of limits.go.
func (postgres *Postgres) sweep() {
	now := postgres.eventLoop.Now()
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) { session.sweep(now) })
	for i := range postgres.reservations {
		postgres.reservations[i].rejectLate(now)
		postgres.reservations[i].scheduleAdmission()
	}
	if postgres.sessions.Len() > postgres.budget.EvictionThreshold() {
		for postgres.evict(idleUnused, crowdedIdleMs) {
		}
	}
	if postgres.rejectedClients > 0 {
		postgres.log.Warn("new clients rejected: no file descriptors left for them", "rejected", postgres.rejectedClients, "sessions", postgres.sessions.Len())
		postgres.rejectedClients = 0
	}
}

// sweep closes the connection if its client has exceeded a time limit, or as the drain requires.
func (session *session) sweep(now float64) {
	if session.conn == nil {
		return
	}
	session.updateClass() // the client may have read its answers meanwhile
	session.applyDrainStage()
	if session.closed {
		return
	}
	session.trackReading(now)
	switch {
	case session.notReadingSince != 0 && now-session.notReadingSince >= notReadingMs:
		session.setEndReason(endedByNotReading)
		session.conn.Close()
	case session.closing, session.waitsForMemory:
	default:
		session.expire(now)
	}
}

// trackReading records since when the client has read none of its waiting output.
func (session *session) trackReading(now float64) {
	unsent := session.conn.Unsent()
	flushed := session.writtenBytes - unsent
	if unsent == 0 {
		session.notReadingSince = 0
	} else if session.notReadingSince == 0 || flushed != session.flushedBytes {
		session.notReadingSince = now
		session.flushedBytes = flushed
	}
}

// expiry says whether and how a connection must end because its client has exceeded a time limit.
type expiry struct {
	due    bool
	reason endReason
	text   string // of the error that the client gets, empty for none
}

// expire ends a connection whose client has not made its next step in time, unless input has arrived that is not read yet.
func (session *session) expire(now float64) {
	expiry := session.expiry(now)
	switch {
	case !expiry.due, !session.conn.OpenAndIdle():
	case expiry.text != "":
		session.endWithError(expiry.reason, codeProtocol, expiry.text)
	default:
		session.setEndReason(expiry.reason)
		session.close()
	}
}

// expiry returns whether and how the connection must end because of the time that its client takes.
func (session *session) expiry(now float64) expiry {
	age := now - session.stateSince
	switch session.class {
	case startingUp:
		text := ""
		if session.input.Pending() > 0 {
			text = "the startup message is not whole in time"
		}
		return expiry{due: age >= startupMs, reason: endedByStartup, text: text}
	case midMessage:
		arriving := session.reservation.bytes > maxMessage && now-session.lastDataAt < messageMs
		if arriving && age < maxIdleMs && !session.holdsMemoryIdly(now) { // a long message may take longer, while parts of it keep arriving
			return expiry{}
		}
		late := session.notReadingSince == 0 && (age >= messageMs || session.holdsMemoryIdly(now))
		return expiry{due: late, reason: endedByMessage, text: "the message is not whole in time"}
	case idleUnused, idleUsed:
		return expiry{due: age >= maxIdleMs, reason: endedByIdleness}
	}
	return expiry{}
}
