package backend

import (
	"beechgrade/internal/attempts"
	"beechgrade/internal/decide"
	"beechgrade/internal/memory"
)

// Query is a request in the form that is sent to a server.
type Query interface {
	// AppendQuery appends the message to dst. It states that the client waits for waitMs more.
	AppendQuery(dst []byte, waitMs int) []byte
}

// LongQuery is a Query that may be too large to copy. Its parts are written one after another, as fast as the server accepts them;
// they are nil for a short query. The part with index waitIndex holds only waitMs, in digits, and may be replaced by another number
// of as many digits.
type LongQuery interface {
	// QueryParts returns the parts, and the index of the one that holds waitMs.
	QueryParts(waitMs int) (parts []string, waitIndex int)
}

// AttemptID identifies the request and the attempt that an outcome belongs to.
type AttemptID = attempts.ID

// Outcome is the result of an attempt or a health check, with what the server reported in its answer.
type Outcome struct {
	Result decide.Result
	Answer []byte // if the result is OK: the row as messages, valid during the call
	Report
	Load Report // the load report sent with the answer, which may be some time old
}

// SendConditions are the conditions under which an attempt may be written.
type SendConditions struct {
	AtMostOnce  bool    // it must not run twice, so it is not sent on a connection that is probably unusable
	WriteBefore float64 // from this time on it must not be written, as servers may have forgotten its idempotency key; 0 for no limit
}

// TooLate reports whether it is too late to write the attempt.
func (conditions SendConditions) TooLate(now float64) bool {
	return conditions.WriteBefore > 0 && now >= conditions.WriteBefore
}

// Report is what a server reported about itself.
type Report = attempts.Report

// Events receives the ends of attempts and health checks, and a notice when the last byte of an attempt has been sent. Its methods
// are called on the event loop, also from within Start, Cancel and CheckHealth.
type Events interface {
	// MaySend is called just before the first byte of an attempt is written; if it returns false, the attempt is not sent. The
	// attempt may have waited for a connection, and reports that arrived meanwhile may rule it out.
	MaySend(id AttemptID) bool
	// ServerReportsReplica is called when a server reports that it is a replica, before the end of the attempt whose answer
	// reported it.
	ServerReportsReplica(server string, report Report, healthCheck bool)
	// AttemptWritten reports that the last byte of an attempt has been sent.
	AttemptWritten(id AttemptID)
	// AnswerStreams ends an attempt as served if its answer is too long to be buffered and is streamed instead. bytes is the length of the answer
	// without what follows its row. Calling stop abandons the rest. If AnswerStreams returns nil, the answer is dropped.
	AnswerStreams(id AttemptID, bytes int, stop func()) AttemptStream
	// AnswerEnded reports how an answer ended that went on after its attempt had ended: it is received by a client of another frontend as it arrives,
	// or is the last one of a transaction. sentAt is a time not later than that at which the server got what it answers.
	AnswerEnded(server string, sentAt float64, outcome Outcome)
	// AttemptEnded reports how an attempt ended.
	AttemptEnded(id AttemptID, outcome Outcome)
	// HealthCheckEnded reports how a health check ended.
	HealthCheckEnded(server string, outcome Outcome)
}

// StreamStart is what is known of a streamed answer when it begins.
type StreamStart struct {
	Bytes    int     // of the answer, without what follows its row
	Deadline float64 // when the client gives up waiting for the first bytes
	Abandon  func()  // gives up the rest, as of an answer that failed; the stream's methods are not called any more
}

// AttemptStream receives the streamed answer to an attempt.
type AttemptStream interface {
	// Chunk receives the next bytes, which are valid during the call.
	Chunk(b []byte)
	// HasCapacity reports whether another chunk can be taken.
	HasCapacity() bool
	// Ended receives how the answer ended, with what follows the last chunk and what the server reported. The Result is OK if it is complete.
	Ended(outcome Outcome)
}

// AnswerStream is a client's end of a streamed answer.
type AnswerStream interface {
	// Chunk receives the next bytes, which are valid during the call.
	Chunk(b []byte)
	// HasCapacity reports whether another chunk can be taken.
	HasCapacity() bool
	// Ended receives what follows the last chunk. complete is false if the rest of the answer will not arrive.
	Ended(b []byte, complete bool)
}

// Options are the settings and limits of a Pool.
type Options struct {
	User, Database   string
	Roles            [2]string // the values by which servers report that they are primary or replica
	PositionName     string    // the parameter by which servers report their position
	ConnectTimeoutMs float64
	IdleMs           float64         // how long a connection may be idle before it is closed
	MaxConns         func() int      // to all servers together, given the descriptors available now
	FreeDescriptor   func() bool     // frees a descriptor that a client holds, and reports whether there was one; may be nil
	Account          *memory.Account // of the process's memory
	ScheduleDial     func(do func()) // schedules the start of a connection; nil to start it at once
}

// Limits of memory. Sizes are in bytes.
const (
	memoryPart      = 4       // answers being received may take one part in memoryPart of the account's limit
	maxIdleBuffer   = 1 << 10 // of an answer's buffer that is kept for the next answer
	maxSmallAnswer  = 1 << 14 // of an answer that is never abandoned for a lack of memory
	connBytes       = 2 << 10 // of a connection's state
	shortRead       = 1 << 12 // read at once of a streamed answer where memory is short
	streamThreshold = 1 << 16 // a longer row is streamed
	writePiece      = 1 << 16 // of a long query written at a time...
	maxUnsent       = 1 << 18 // ...while fewer than this are buffered for the server
)

// Limits of time, in milliseconds.
const (
	answerPauseMs     = 150   // pause within an answer after which it is abandoned...
	atMostOncePauseMs = 600   // ...and for an attempt that must not run twice, which cannot be retried
	abandonedLogMs    = 1000  // between two lines of the log about abandoned answers
	minStreamMs       = 500   // that an answer is streamed to a slow client, before its connection is closed where another is needed
	streamPauseMs     = 10000 // pause within a streamed row after which it is abandoned
	capacityCheckMs   = 5     // between checks of whether there is capacity for the next piece...
	soonCheckMs       = 1     // ...and right after a piece was written
	transmitMs        = 100   // within which the remaining time must be transmitted; the stated time may be wrong by 150 ms, pauses of the process included
	digitReserveMs    = 50    // within which a query can be sent without the remaining time losing a digit
	brokenSoonMs      = 50    // a connection that breaks within this time of a request counts as broken by its idle time
)
