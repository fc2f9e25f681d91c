package platform

// While the receive buffer of a socket is full, the client's system keeps further bytes, and sends them as soon as the socket is read.
// Bytes count as part of that backlog if reads follow each other within backlogGapMs, up to maxBacklogBytes.
const (
	backlogGapMs    = 25
	maxBacklogBytes = 1 << 22 // what a client's system may buffer
)

// unreadInput estimates when bytes arrived that stay unread while reading from a connection is paused, from samples of its socket: the
// deadline of a request counts from its last byte, not from when reading resumes. Once the socket is full, further bytes wait in the
// client's system. They are recognised by following at once when reading resumes, and count as arrived with the last bytes that fitted
// into the socket.
type unreadInput struct {
	marks        []arrival // here upTo is a number of bytes that arrived at that time or later
	sampledAt    float64
	backlogBytes int     // of the backlog in the client's system, at most
	backlogAt    float64 // when the backlog counts as sent
	lastReadAt   float64 // when reading resumed or last returned something
}

// sample records the number of unread bytes. Those that are new since the previous sample count as arrived at the time of that sample.
func (unread *unreadInput) sample(bytes int, now float64) {
	for _, mark := range unread.marks {
		bytes -= mark.upTo
	}
	if bytes > 0 {
		if n := len(unread.marks); n > 0 && (n >= maxArrivals || unread.marks[n-1].at == unread.sampledAt) {
			unread.marks[n-1].upTo += bytes
		} else {
			unread.marks = append(unread.marks, arrival{bytes, unread.sampledAt})
		}
		unread.backlogAt = unread.sampledAt
	}
	unread.sampledAt = now
}

// resume records that reading resumes.
func (unread *unreadInput) resume(now float64) {
	unread.backlogBytes = 0
	unread.lastReadAt = now
	if len(unread.marks) > 0 {
		unread.backlogBytes = maxBacklogBytes
	}
}

// resumeAfterTurns records that reading resumes after it has stopped for some turns, with so many bytes unread.
func (unread *unreadInput) resumeAfterTurns(bytes int, now float64) {
	inBacklog := unread.backlogBytes > 0 && now-unread.lastReadAt <= backlogGapMs
	switch {
	case inBacklog: // what is unread is a part of it
		unread.lastReadAt = now
	case bytes > 0:
		unread.sample(bytes, now)
		unread.resume(now)
	}
}

// take returns when the next of n bytes just read arrived, and how many of them arrived then.
func (unread *unreadInput) take(n int, now float64) (count int, at float64) {
	if len(unread.marks) > 0 {
		mark := &unread.marks[0]
		count, at = min(n, mark.upTo), mark.at
		mark.upTo -= count
		if mark.upTo == 0 {
			unread.marks = unread.marks[1:]
		}
		unread.lastReadAt = now
		return count, at
	}
	if now-unread.lastReadAt > backlogGapMs {
		unread.backlogBytes = 0
	}
	if unread.backlogBytes == 0 {
		return n, now
	}
	count = min(n, unread.backlogBytes)
	unread.backlogBytes -= count
	unread.lastReadAt = now
	return count, unread.backlogAt
}

// recordArrivals records the arrival times of n bytes that were just read.
func (session *session) recordArrivals(n int) {
	now := session.postgres.eventLoop.EarliestArrival()
	for n > 0 {
		count, at := session.unreadInput.take(n, now)
		session.arrivalTimes.add(count, at)
		n -= count
	}
}

// pauseWhileWaiting stops reading from a session that waits for memory for a long message, and samples its socket meanwhile.
func (session *session) pauseWhileWaiting() {
	loop := session.postgres.eventLoop
	loop.StopTimer(session.unreadTimer)
	if !session.waitsForMemory || session.closed {
		return
	}
	session.conn.PauseReading()
	session.sampleUnread()
	session.unreadTimer = loop.At(loop.Now()+recheckMs, session.pauseWhileWaiting)
}

// sampleUnread samples the socket if reading is paused.
func (session *session) sampleUnread() {
	if session.conn.ReadingPaused() {
		session.unreadInput.sample(session.conn.Unread(), session.postgres.eventLoop.Now())
	}
}
