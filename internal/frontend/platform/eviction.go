package platform

import "beechgrade/internal/memory"

// evictionClass orders sessions by the cost of closing their connections.
type evictionClass int

const (
	closing    evictionClass = iota // being closed
	startingUp                      // the startup message is not complete
	idleUnused                      // idle, without a request so far
	idleUsed                        // idle, after a request
	midMessage                      // in the middle of a message
	pipelining                      // has sent commands ahead of the answers
	busy                            // never closed to free a descriptor
	evictionClasses
)

// currentClass returns the class of the session as of now.
func (session *session) currentClass() evictionClass {
	switch {
	case session.writeClosed:
		return closing
	case session.closing, session.conn != nil && session.conn.Continues():
		return busy
	case !session.started:
		return startingUp
	case session.isIdle() && !session.hasRequested:
		return idleUnused
	case session.isIdle():
		return idleUsed
	case len(session.queue) == 0 && session.input.Pending() > 0:
		return midMessage
	case len(session.queue) > 1 || session.input.Pending() > 0:
		return pipelining
	}
	return busy
}

// updateClass moves the session to the list of its current class.
func (session *session) updateClass() {
	session.countBuffered()
	postgres, now := session.postgres, session.currentClass()
	if session.classElement != nil && (session.closed || now != session.class) {
		postgres.byClass[session.class].Remove(session.classElement)
		session.classElement = nil
	}
	if session.classElement == nil && !session.closed {
		session.class = now
		session.classElement = postgres.byClass[now].PushBack(session)
	}
}

// admitClient reports whether there is a descriptor for a new client, and frees one if necessary: first that of a connection that nobody
// waits on, then that of a connection to a server, then that of an idle client, which may reconnect, or of one that has been in the
// middle of a message for at least crowdedMessageMs.
func (postgres *Postgres) admitClient() bool {
	for postgres.budget.SpareDescriptors() < 0 {
		if postgres.freeDescriptorForClient() {
			continue
		}
		made := postgres.requestRoom() // at once, if the client awaits no answer
		if made && postgres.budget.SpareDescriptors() < 0 {
			made = postgres.evict(closing, 0)
		}
		if !made {
			postgres.rejectedClients++
			return false
		}
	}
	if postgres.budget.SpareDescriptors() < spareDescriptors {
		postgres.requestRoom()
	}
	halfUsed := postgres.budget.SpareDescriptors() < postgres.sessions.Len()
	if halfUsed && !postgres.evict(idleUnused, crowdedIdleMs) {
		postgres.evict(idleUsed, crowdedIdleMs)
	}
	postgres.evictIdle()
	return true
}

// requestRoom has a client make room that has sent commands ahead, the one that was answered least recently, or else one that has been in the middle
// of its messages for crowdedMessageMs. It reports whether there was one.
func (postgres *Postgres) requestRoom() bool {
	return postgres.requestRoomIn(pipelining, 0) || postgres.requestRoomIn(midMessage, crowdedMessageMs)
}

// requestRoomIn has the first client of a class that has been in it for at least minMs make room: the commands that it sends from now on are rejected,
// and its connection ends once none of them is unread and none unanswered.
func (postgres *Postgres) requestRoomIn(class evictionClass, minMs float64) bool {
	for element := postgres.byClass[class].Front(); element != nil; element = element.Next() {
		session := element.Value.(*session)
		if postgres.eventLoop.Now()-session.stateSince < minMs {
			return false
		}
		if session.makesRoom || session.currentClass() != class { // its class may have changed since the last updateClass
			continue
		}
		session.makesRoom = true
		session.limitReads()
		session.proceed()
		return true
	}
	return false
}

// freeDescriptorForClient frees one descriptor, in the order that admitClient states.
func (postgres *Postgres) freeDescriptorForClient() bool {
	if postgres.evict(closing, 0) || postgres.evict(startingUp, 0) || postgres.evict(idleUnused, 0) {
		return true
	}
	return postgres.budget.ReleaseDescriptor() || postgres.rejectWaitingMessage() || postgres.evict(idleUsed, 0) || postgres.evict(midMessage, crowdedMessageMs)
}

// admitsMemoryOfClient reports whether there is memory for a new client. Where there is none, it comes from the client that holds most, or from one
// whose startup message is not complete, or from one that pipelines, which releases it soon.
func (postgres *Postgres) admitsMemoryOfClient() bool {
	if postgres.account.MakeRoom(memory.RefuseConnections, releasableFor) || postgres.evict(startingUp, 0) {
		return true
	}
	return postgres.account.Admits(connectionBytes, memory.EndLargest) && postgres.requestRoom()
}

// rejectWaitingMessage ends the connection of a client whose message has waited for memory for sweepMs, and reports whether there was one.
func (postgres *Postgres) rejectWaitingMessage() bool {
	for i := range postgres.reservations {
		waiting := postgres.reservations[i].waiting
		if len(waiting) == 0 || waiting[0].closed || waiting[0].noMoreCommands {
			continue
		}
		if postgres.eventLoop.Now()-waiting[0].waitsSince >= sweepMs {
			postgres.rejectedForMemory++
			waiting[0].endWithError(endedByMemory, codeRejected, errMemory.Error())
			return true
		}
	}
	return false
}

// FreeDescriptor closes a client's connection that nobody waits on, and reports whether there was one. Where there was none, the next call looks
// for one only recheckMs later.
func (postgres *Postgres) FreeDescriptor() bool {
	now := postgres.eventLoop.Now()
	if now < postgres.nextFreeAt {
		return false
	}
	if postgres.evict(closing, 0) || postgres.evict(startingUp, firstRequestMs) {
		return true
	}
	if postgres.evict(idleUnused, firstRequestMs) || postgres.evict(idleUsed, minIdleMs) {
		return true
	}
	postgres.nextFreeAt = now + recheckMs
	return false
}

// evictIdle closes idle connections when many clients are active: some clients keep each of a limited number of connections open for a
// while after a single request.
func (postgres *Postgres) evictIdle() {
	for postgres.activeClients() > postgres.budget.EvictionThreshold() && postgres.evict(idleUsed, minIdleMs) {
	}
}

// activeClients returns the number of clients that have sent a request and are not being disconnected.
func (postgres *Postgres) activeClients() int {
	active := 0
	for _, class := range []evictionClass{idleUsed, midMessage, pipelining, busy} {
		active += postgres.byClass[class].Len()
	}
	return active
}

// evict closes the connection that has been in a class for longest, and for at least minMs. It skips connections with unread
// input. A connection that is being closed already is closed at once if there are more than maxClosing.
func (postgres *Postgres) evict(class evictionClass, minMs float64) bool {
	for element := postgres.byClass[class].Front(); element != nil; element = element.Next() {
		session := element.Value.(*session)
		switch {
		case postgres.eventLoop.Now()-session.stateSince < minMs:
			return false
		case class == closing && postgres.byClass[closing].Len() <= maxClosing:
			return false
		case session.currentClass() != class: // its class has changed since the last updateClass
			continue
		case class == closing:
			session.conn.Close()
			return true
		case !session.conn.OpenAndIdle() && !session.conn.ReadingPaused():
			continue
		case class == midMessage:
			session.endWithError(endedByNoDescriptor, codeRejected, errTooMany.Error())
			return true
		}
		session.setEndReason(endedByNoDescriptor)
		session.close()
		return true
	}
	return false
}
