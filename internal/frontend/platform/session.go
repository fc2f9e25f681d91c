package platform

import (
	"container/list"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/pgwire"
)

// session is a client's connection. It implements eventloop.Handler.
type session struct {
	postgres               *Postgres
	ref                    slotmap.Ref
	conn                   *eventloop.Conn // nil until it is open
	started                bool            // the startup is complete
	hasRequested           bool            // it has sent at least one request
	queue                  []*answer       // the answers to the commands that were received, in the order of the commands
	queuedBytes            int             // what the answers in queue hold, besides statements
	statementBytes         int             // what the statements of open requests hold
	reservedStatementBytes int             // of them, those of long messages
	recheckTimer           *timers.Timer

	// Input.
	input        pgwire.Reader
	arrivalTimes arrivalTimes // of the bytes in input
	unreadInput  unreadInput
	unreadTimer  *timers.Timer // until the next sample of the socket
	lastDataAt   float64
	readLimit    int  // bytes that are read at once
	readFully    bool // the last read returned as much as it could, so more may be there
	skipToSync   bool // messages are skipped up to Sync, after an error in the extended protocol
	rejectNext   bool // the command that is handled next exceeds a limit, and is rejected
	makesRoom    bool // all further commands are rejected, and the connection ends, as others need its descriptor or memory
	continues    bool // a part of input is handled in the session's next turns, and nothing is read until then

	// Output.
	writtenBytes    int         // of output, in total...
	flushedBytes    int         // ...and those of them that the socket had accepted at the last sweep
	unread          reservation // for collected answers that the socket has not accepted
	notReadingSince float64     // since when the client has read nothing of its output, 0 if none waits

	// The end of the connection; closing.go describes the procedure.
	noMoreCommands bool
	closing        bool // nothing more is written, though output may not be flushed yet
	writeClosed    bool
	closed         bool
	reason         endReason

	// Memory.
	charges        sessionCharges
	reservation    reservation // for a message that is arriving and is not small
	waitsForMemory bool        // for such a reservation...
	waitsSince     float64     // ...since then

	// Eviction.
	class        evictionClass
	classElement *list.Element // in postgres.byClass
	stateSince   float64       // when it was accepted, or became idle, in the middle of a message, or closing

	openedAt         float64
	graceEnds        float64 // until when a drain waits for its first request
	commands         int     // handled
	rejectedForDrain int     // commands
}

// isIdle reports whether the connection is open with nothing to handle, to answer or to send.
func (session *session) isIdle() bool {
	if session.closed || session.noMoreCommands || session.conn == nil {
		return false
	}
	return len(session.queue) == 0 && session.input.Pending() == 0 && session.conn.Unsent() == 0
}

// unsent returns the number of bytes of output that the socket has not accepted.
func (session *session) unsent() int {
	if session.conn == nil {
		return 0
	}
	return session.conn.Unsent()
}

// Opened implements eventloop.Handler.
func (session *session) Opened(conn *eventloop.Conn) {
	session.conn = conn
	session.limitReads()
	if session.postgres.stage >= RefuseCommands {
		session.endWithError(endedByDrain, codeClosed, errDraining.Error())
	} else if !session.postgres.admitClient() {
		session.endWithError(endedByNoDescriptor, codeRejected, errTooMany.Error())
	} else if !session.postgres.admitsMemoryOfClient() {
		session.postgres.refusedForMemory++
		session.endWithError(endedByMemory, codeRejected, errMemory.Error())
	}
	session.updateClass()
}

// Data implements eventloop.Handler.
func (session *session) Data(data []byte) {
	if session.noMoreCommands {
		return
	}
	now := session.postgres.eventLoop.Now()
	if session.started && len(session.queue) == 0 && session.input.Pending() == 0 {
		session.stateSince = now
	}
	session.input.Borrow(data)
	session.lastDataAt = now
	session.readFully = len(data) >= session.readLimit
	session.recordArrivals(len(data))
	session.proceed()
	session.reserveMemory()
	session.input.Retain(session.reservation.bytes)
	session.limitReads()
	session.countBuffered()
	session.postgres.enforceMemoryLimit()
}

// scratch returns an empty buffer for a message to a client. It is shared by all sessions, and valid until the message is sent.
func (postgres *Postgres) scratch() []byte { return postgres.scratchBuffer[:0] }

// keepScratch keeps the buffer of a message for the next one, unless it is large.
func (postgres *Postgres) keepScratch(buffer []byte) {
	if cap(buffer) <= maxIdleBuffer {
		postgres.scratchBuffer = buffer
	}
}

// send writes data, and keeps its buffer for the next answer unless it is large.
func (session *session) send(data []byte) {
	session.postgres.keepScratch(data)
	if !session.closed && len(data) > 0 {
		session.writtenBytes += len(data)
		_ = session.conn.Write(data) // a failed write closes the connection
	}
}

// forward writes data from a buffer that belongs to the caller, and does not keep it.
func (session *session) forward(data []byte) {
	session.writtenBytes += len(data)
	_ = session.conn.Write(data)
	session.countBuffered()
}
