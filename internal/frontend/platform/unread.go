package platform

// A client whose socket was full goes on sending as soon as it is read. Bytes count as part of that backlog if reads follow each
// other within backlogMs, up to backlogMost bytes.
const (
	backlogMs   = 25
	backlogMost = 1 << 22 // what a client's system may buffer
)

// unread estimates when the unread bytes of a parked connection arrived, from samples of its socket: the deadline of a request
// counts from its last byte, not from when reading resumes. Once the socket is full, the rest waits in the client's system. That
// shows when it follows at once as reading resumes; it then counts as arrived with the last bytes that fitted.
type unread struct {
	marks   []arrival // upTo is a number of bytes; they arrived at that time or later
	looked  float64
	backlog int     // bytes that may have waited in the client's system
	full    float64 // when these count as sent
	read    float64 // when reading resumed or last returned something
}

// see records that so many bytes are unread. Those that were not there at the previous sample count as arrived at its time.
func (unread *unread) see(bytes int, now float64) {
	for _, mark := range unread.marks {
		bytes -= mark.upTo
	}
	if bytes > 0 {
		if n := len(unread.marks); n > 0 && (n >= maxArrivals || unread.marks[n-1].at == unread.looked) {
			unread.marks[n-1].upTo += bytes
		} else {
			unread.marks = append(unread.marks, arrival{bytes, unread.looked})
		}
		unread.full = unread.looked
	}
	unread.looked = now
}

// resume records that reading resumes.
func (unread *unread) resume(now float64) {
	unread.backlog, unread.read = 0, now
	if len(unread.marks) > 0 {
		unread.backlog = backlogMost
	}
}

// take returns when the next of n bytes just read arrived, and how many of them arrived then.
func (unread *unread) take(n int, now float64) (count int, at float64) {
	if len(unread.marks) > 0 {
		mark := &unread.marks[0]
		count, at = min(n, mark.upTo), mark.at
		if mark.upTo -= count; mark.upTo == 0 {
			unread.marks = unread.marks[1:]
		}
		unread.read = now
		return count, at
	}
	if now-unread.read > backlogMs {
		unread.backlog = 0
	}
	if unread.backlog == 0 {
		return n, now
	}
	count, unread.read = min(n, unread.backlog), now
	unread.backlog -= count
	return count, unread.full
}

// recordArrival records when n bytes that were just read arrived.
func (session *session) recordArrival(n int) {
	now := session.postgres.loop.EarliestArrival()
	for n > 0 {
		count, at := session.unread.take(n, now)
		session.arrived.add(count, at)
		n -= count
	}
}

// parkWhileWaiting stops reading from a session that waits for memory for a long message, and samples its socket meanwhile.
func (session *session) parkWhileWaiting() {
	eventLoop := session.postgres.loop
	eventLoop.StopTimer(session.unreadTimer)
	if !session.waitsForMemory || session.closed {
		return
	}
	if session.conn.PauseReading() { // it cannot be parked while output is buffered
		session.seeUnread()
	}
	session.unreadTimer = eventLoop.At(eventLoop.Now()+recheckMs, session.parkWhileWaiting)
}

// seeUnread samples the socket if the connection is parked.
func (session *session) seeUnread() {
	if session.conn.ReadingPaused() {
		session.unread.see(session.conn.PeerState().Unread, session.postgres.loop.Now())
	}
}
