package platform

import (
	"slices"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/memory"
)

// messageSize is a size of messages, in bytes as limits.go says.
type messageSize int

const (
	smallMessage messageSize = iota
	mediumMessage
	longMessage
	messageSizes
)

// reservations shares memory among the messages of one size that are arriving. What finds no memory stays unread at its client, and
// takes its turn.
type reservations struct {
	eventLoop *eventloop.Loop
	account   *memory.Account
	part      int // of the account's limit
	reserved  int
	waiting   []*session // for memory, oldest first
	scheduled bool       // a call of admitWaiting is to come
}

// reservation is the memory of one message, while it arrives and, if it is long, while its request is open. The zero value holds none.
type reservation struct {
	from  *reservations
	bytes int
}

// fits reports whether there is memory for a message.
func (r *reservations) fits(bytes int) bool {
	if r.reserved == 0 {
		return r.account.Admits(bytes, memory.EndLargest)
	}
	return r.reserved+bytes <= r.account.Limit()/r.part && r.account.Admits(bytes, memory.RefuseConnections)
}

// everFits reports whether there is memory for a message once nobody else holds any.
func (r *reservations) everFits(bytes int) bool { return r.account.CouldAdmit(bytes + connectionBytes) }

// reserve reserves memory, which fits.
func (r *reservations) reserve(bytes int) reservation {
	r.reserved += bytes
	return reservation{r, bytes}
}

// add adds another reservation of the same size of messages.
func (r *reservation) add(other reservation) {
	if other.from != nil {
		r.from = other.from
		r.bytes += other.bytes
	}
}

// release returns the memory, which sessions that wait for it get in a later callback: the session that releases it may be one of many that are
// closed at the same time.
func (r *reservation) release() {
	from := r.from
	if from == nil {
		return
	}
	from.reserved -= r.bytes
	*r = reservation{}
	from.scheduleAdmission()
}

// scheduleAdmission has admitWaiting called in a callback of its own.
func (r *reservations) scheduleAdmission() {
	if !r.scheduled && len(r.waiting) > 0 {
		r.scheduled = true
		r.eventLoop.At(r.eventLoop.Now(), r.admitWaiting)
	}
}

// admitWaiting reserves memory for the sessions that wait, in turn. A session whose client has gone is closed instead.
func (r *reservations) admitWaiting() {
	r.scheduled = false
	for admitted := 0; len(r.waiting) > 0; {
		first := r.waiting[0]
		if !first.closed && !r.fits(first.input.NextLength()) {
			return
		}
		if admitted++; admitted > maxAdmittedAtOnce {
			r.scheduleAdmission()
			return
		}
		r.waiting[0] = nil
		r.waiting = r.waiting[1:]
		first.waitsForMemory = false
		switch {
		case first.closed:
		case first.conn.PeerClosed():
			first.conn.Close()
		default:
			first.reserveMemory()
			first.resumeReading()
		}
	}
}

// remove removes a session that has ended from those that wait.
func (r *reservations) remove(ended *session) {
	r.waiting = slices.DeleteFunc(r.waiting, func(waiting *session) bool { return waiting == ended })
}

// reservationsFor returns the reservations for messages of a length, nil if they need none.
func (postgres *Postgres) reservationsFor(length int) *reservations {
	switch {
	case length <= maxUnreserved || length > maxLongMessage+1:
		return nil
	case length <= maxSmallMessage:
		return &postgres.reservations[smallMessage]
	case length <= maxMessage:
		return &postgres.reservations[mediumMessage]
	}
	return &postgres.reservations[longMessage]
}

// reserveMemory reserves memory for a message that has begun to arrive and is not small. If there is not enough, the rest of the message
// stays unread until there is.
func (session *session) reserveMemory() {
	takesMessages := session.started && !session.closed && !session.noMoreCommands
	if !takesMessages || session.reservation.bytes > 0 {
		return
	}
	length := session.input.NextLength()
	from := session.postgres.reservationsFor(length)
	if from == nil {
		return
	}
	if from.fits(length) {
		session.reservation = from.reserve(length)
		session.input.Grow(length)
		session.countBuffered()
		return
	}
	if !from.everFits(length) {
		session.endWithError(endedByMemory, codeRejected, "there is never enough memory for a message of this length")
		return
	}
	if !session.waitsForMemory {
		session.waitsForMemory = true
		session.waitsSince = session.postgres.eventLoop.Now()
		from.waiting = append(from.waiting, session)
		if !session.conn.ReadingPaused() {
			session.unreadInput.sampledAt = session.postgres.eventLoop.EarliestArrival()
		}
	}
	session.pauseWhileWaiting()
}

// resumeReading reads on after the session has waited for memory.
func (session *session) resumeReading() {
	session.limitReads()
	session.lastDataAt = session.postgres.eventLoop.Now()
	session.sampleUnread()
	session.unreadInput.resume(session.lastDataAt)
	session.conn.ResumeReading()
}

// takeReservation returns the reservation of the message that has just arrived. That of a message that is not long has ended: from now on it
// counts with the other statements.
func (session *session) takeReservation(length int) reservation {
	taken := session.reservation
	session.reservation = reservation{}
	if length <= maxMessage {
		taken.release()
	}
	return taken
}

// stopWaitingForMemory ends the session's wait for memory.
func (session *session) stopWaitingForMemory() {
	if session.waitsForMemory {
		session.waitsForMemory = false
		for i := range session.postgres.reservations {
			session.postgres.reservations[i].remove(session)
		}
	}
}

// holdsMemoryIdly reports whether the session has stopped in the middle of a message while others wait for the memory reserved for it.
func (session *session) holdsMemoryIdly(now float64) bool {
	from := session.reservation.from
	return from != nil && len(from.waiting) > 0 && now-session.lastDataAt >= idleReservationMs
}

// rejectLate rejects the messages that have waited for memoryWaitMs behind maxWaiting others. Their clients may have gone: while input is not read, a
// close can be hidden behind it.
func (r *reservations) rejectLate(now float64) {
	if len(r.waiting) <= maxWaiting {
		return
	}
	for _, session := range slices.Clone(r.waiting[maxWaiting:]) {
		if now-session.waitsSince >= memoryWaitMs {
			session.postgres.rejectedForMemory++
			session.endWithError(endedByMemory, codeRejected, errMemory.Error())
		}
	}
}
