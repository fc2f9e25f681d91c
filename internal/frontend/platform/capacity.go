package platform

import (
	"slices"

	"beechgrade/internal/eventloop/slotmap"
)

// Limits of the time, in milliseconds, that a client may hold a connection without a request.
const (
	sweepMs   = 250
	startupMs = 3000  // until its startup message is complete
	messageMs = 3000  // until a message that has begun is complete
	stuckMs   = 5000  // until it continues to read its answers
	lingerMs  = 250   // after the last output, until it closes
	freshMs   = 250   // without a request, before its connection is closed during a drain
	thinMs    = 20    // idle, before its connection may be closed if many clients are active...
	restMs    = 2000  // ...if there are many clients
	idleMs    = 60000 // ...and if there are few
)

const (
	maxClosing = 8       // connections being closed that may stay beside the clients' limit
	heldPart   = 4       // waiting input and output may take one part in heldPart of the memory
	longPart   = 8       // ...long messages together one part in longPart, but always one message
	flowPart   = 16      // ...and streamed answers together one part in flowPart
	flowLeast  = 1 << 14 // bytes of each streamed answer, at least...
	flowMost   = 1 << 18 // ...and at most
)

// Budget holds the limits that the machine and the settings impose.
type Budget struct {
	SpareDescriptors  func() int  // descriptors left for clients, negative if there are too many clients
	EvictionThreshold func() int  // number of active clients beyond which idle ones are disconnected
	ReleaseDescriptor func() bool // frees a descriptor used for something else, and reports whether there was one
	Memory            func() int  // in bytes
}

// use orders sessions by the cost of closing their connections.
type use int

const (
	leaving use = iota // being closed
	silent             // the startup message is not complete
	mute               // idle, without a request so far
	resting            // idle, after a request
	halfway            // in the middle of a message
	busy               // never closed to make room
	uses
)

// currentUse returns the use of the session as of now.
func (session *session) currentUse() use {
	switch {
	case session.shut:
		return leaving
	case session.leaving:
		return busy
	case !session.started:
		return silent
	case session.idle() && !session.asked:
		return mute
	case session.idle():
		return resting
	case len(session.queue) == 0 && session.input.Pending() > 0:
		return halfway
	}
	return busy
}

// fileByUse moves the session to the list of its current use.
func (session *session) fileByUse() {
	session.countHeld()
	postgres, now := session.postgres, session.currentUse()
	if session.element != nil && (session.closed || now != session.use) {
		postgres.byUse[session.use].Remove(session.element)
		session.element = nil
	}
	if session.element == nil && !session.closed {
		session.use = now
		session.element = postgres.byUse[now].PushBack(session)
	}
}

// window returns how many bytes of a streamed answer may wait for its client.
func (postgres *Postgres) window() int {
	return max(flowLeast, min(flowMost, postgres.budget.Memory()/flowPart/max(1, postgres.flows)))
}

// countHeld updates the number of bytes held for this session and for all.
func (session *session) countHeld() {
	held := 0
	if !session.closed {
		held = max(0, session.input.Pending()-session.longBytes)
		if session.conn != nil {
			held += session.conn.Unsent()
		}
		for _, answer := range session.queue {
			held += answer.size
		}
	}
	session.postgres.heldBytes += held - session.heldBytes
	session.heldBytes = held
}

// Start starts the periodic sweeps. It must be called on the event loop.
func (postgres *Postgres) Start() { postgres.loop.At(postgres.loop.Now()+sweepMs, postgres.sweep) }

// sweep closes the connections of clients that have held something for too long.
func (postgres *Postgres) sweep() {
	now := postgres.loop.Now()
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
		if session.conn == nil {
			return
		}
		session.fileByUse() // the client may have read its answers meanwhile
		if session.sendAway(); session.closed {
			return
		}
		if took := session.written - session.conn.Unsent(); session.conn.Unsent() == 0 {
			session.stuckSince = 0
		} else if session.stuckSince == 0 || took != session.taken {
			session.stuckSince, session.taken = now, took
		}
		switch {
		case session.stuckSince != 0 && now-session.stuckSince >= stuckMs:
			session.endFor(endedByNotReading)
			session.conn.Close()
		case session.leaving:
		case session.waitsForMemory:
			if session.conn.PeerState().EndOfStream { // the loop does not notice that while it reads nothing from the connection
				session.conn.Close()
			}
		default:
			session.expire(now)
		}
	})
	if postgres.sessions.Len() > postgres.budget.EvictionThreshold() {
		for postgres.evict(mute, restMs) {
		}
	}
	if postgres.turnedAway > 0 {
		postgres.log.Warn("too many clients", "turned_away", postgres.turnedAway, "sessions", postgres.sessions.Len())
		postgres.turnedAway = 0
	}
	postgres.Start()
}

// expire ends a connection whose client has not done its next step in time, unless the bytes have arrived and are only unread.
func (session *session) expire(now float64) {
	age, report, reason := now-session.since, "", endedByStartup
	switch {
	case session.use == silent && age >= startupMs && session.input.Pending() > 0:
		report = "the startup message is not whole in time"
	case session.use == silent && age >= startupMs:
	case session.use == halfway && session.longBytes > 0 && now-session.lastData < stuckMs && age < idleMs: // a long message may take longer, as long as some of it arrives
		return
	case session.use == halfway && session.stuckSince == 0 && age >= messageMs:
		report, reason = "the message is not whole in time", endedByMessage
	case (session.use == mute || session.use == resting) && age >= idleMs:
		reason = endedByIdleness
	default:
		return
	}
	switch {
	case !session.conn.OpenAndIdle():
	case report != "":
		session.fatal(reason, codeProtocol, report)
	default:
		session.endFor(reason)
		session.leave()
	}
}

// admit reports whether there is a descriptor for a new client, and frees one if necessary: first of connections that nobody
// waits on, then of connections to servers, then of idle clients, which may reconnect, and of those that have been in the middle
// of a message for long.
func (postgres *Postgres) admit(session *session) bool {
	for postgres.budget.SpareDescriptors() < 0 {
		if !postgres.evict(leaving, 0) && !postgres.evict(silent, 0) && !postgres.evict(mute, 0) && !postgres.budget.ReleaseDescriptor() &&
			!postgres.evict(resting, 0) && !postgres.evict(halfway, sweepMs) {
			postgres.turnedAway++
			return false
		}
	}
	if postgres.budget.SpareDescriptors() < postgres.sessions.Len() && !postgres.evict(mute, restMs) { // over half of the descriptors are used
		postgres.evict(resting, restMs)
	}
	postgres.closeResting()
	return true
}

// ReleaseDescriptor closes a client's connection that nobody waits on, and reports whether there was one.
func (postgres *Postgres) FreeDescriptor() bool {
	return postgres.evict(leaving, 0) || postgres.evict(silent, freshMs) || postgres.evict(mute, freshMs) || postgres.evict(resting, thinMs)
}

// closeResting closes idle connections when many clients are active: some clients may open only so many connections, and keep
// each for a while after a single request.
func (postgres *Postgres) closeResting() {
	for postgres.byUse[resting].Len()+postgres.byUse[halfway].Len()+postgres.byUse[busy].Len() > postgres.budget.EvictionThreshold() && postgres.evict(resting, thinMs) {
	}
}

// evict closes the connection that has had the given use for longest, and for at least leastMs. It skips connections with unread
// input. A connection that is being closed already is closed at once if there are more than maxClosing.
func (postgres *Postgres) evict(of use, leastMs float64) bool {
	for element := postgres.byUse[of].Front(); element != nil; element = element.Next() {
		session := element.Value.(*session)
		switch {
		case postgres.loop.Now()-session.since < leastMs, of == leaving && postgres.byUse[leaving].Len() <= maxClosing:
			return false
		case session.currentUse() != of: // its use has changed since it was filed
			continue
		case of == leaving:
			session.conn.Close()
			return true
		case !session.conn.OpenAndIdle() && !session.conn.ReadingPaused():
			continue
		case of == halfway:
			session.fatal(endedByRoom, codeRefused, "too many clients")
			return true
		}
		session.endFor(endedByRoom)
		session.leave()
		return true
	}
	return false
}

// heldLimit returns how many bytes may be held for all clients together.
func (postgres *Postgres) heldLimit() int { return postgres.budget.Memory() / heldPart }

// boundMemory makes the sessions that hold most release memory until all together are within the limit. Statements of open
// requests are kept: those that do not fit are refused when they arrive.
func (postgres *Postgres) boundMemory() {
	for postgres.heldBytes > postgres.heldLimit() {
		var most *session
		postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
			session.countHeld() // the client may have read its answers meanwhile
			if most == nil || session.spare() > most.spare() {
				most = session
			}
		})
		if most == nil || most.spare() == 0 || postgres.heldBytes <= postgres.heldLimit() {
			return
		}
		most.giveWay()
	}
}

// spare returns how many of the bytes held for a session can be released.
func (session *session) spare() int {
	spare := session.heldBytes
	for _, answer := range session.queue {
		if answer.open {
			spare -= answer.size
		}
	}
	return spare
}

// giveWay makes a session release memory: first its waiting answers are replaced by failures, then commands not yet handled are
// refused, then its connection is ended. Only a client that does not read its answers is disconnected without one.
func (session *session) giveWay() {
	before := session.heldBytes
	for _, step := range []func(){
		session.failWaiting,
		session.proceed,
		func() { session.fatal(endedByMemory, codeRefused, "clients hold too much") },
	} {
		step()
		if session.countHeld(); session.heldBytes < before {
			return
		}
	}
	session.postgres.log.Warn("a client holds too much", "bytes", session.heldBytes)
	session.endFor(endedByMemory)
	session.conn.Close()
}

// failWaiting replaces answers that wait for earlier ones by failures, the last ones first, until enough memory is free.
func (session *session) failWaiting() {
	failed := appendFailed(nil)
	for _, answer := range slices.Backward(session.queue) {
		if session.postgres.heldBytes <= session.postgres.heldLimit() {
			return
		}
		if answer.done && !answer.last && len(answer.waiting) > len(failed) {
			answer.waiting, answer.size = failed, len(failed)
			session.countHeld()
		}
	}
}

// PartialMessages returns the number of clients from which a part of a message has been read.
func (postgres *Postgres) PartialMessages() int { return postgres.byUse[halfway].Len() }
