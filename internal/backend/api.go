package backend

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
)

// Query is a request in the form that is sent to a server.
type Query interface {
	// AppendQuery appends the message to dst. The server is told that the client waits for waitMs more.
	AppendQuery(dst []byte, waitMs int) []byte
}

// LongQuery is a Query that may be too large to copy. Its parts are written one after another, as fast as the server accepts them;
// they are nil for a short query. The part with index wait holds only waitMs, in digits, and may be replaced by another number of
// as many digits.
type LongQuery interface {
	// QueryParts returns the parts, and the index of the one that holds waitMs.
	QueryParts(waitMs int) (parts []string, wait int)
}

// AttemptID identifies the request and the attempt that an outcome belongs to.
type AttemptID struct {
	Request slotmap.Ref
	Number  int
}

// Outcome is the result of an attempt or a probe, with what the server reported in its answer.
type Outcome struct {
	Result decide.Result
	Answer []byte // if the result is OK: the row as messages, valid during the call
	Report
	Load Report // the load report sent with the answer, which may be some time old
}

// SendConditions are the conditions under which an attempt may be written.
type SendConditions struct {
	AtMostOnce  bool    // it must not run twice, so it is not sent on a connection that is probably unusable
	WriteBefore float64 // it must not be written from then on, as servers may have forgotten its key; 0 for no limit
}

// TooLate reports whether it is too late to write the attempt.
func (terms SendConditions) TooLate(now float64) bool {
	return terms.WriteBefore > 0 && now >= terms.WriteBefore
}

// Report is what a server reported about itself.
type Report struct {
	Role     decide.Role
	Position float64 // on the clock, valid if HasPos
	HasPos   bool
}

// Events receives the ends of attempts and probes, and a notice when the last byte of an attempt has been sent. Its methods may
// be called from within Start, Cancel and Probe.
type Events interface {
	// MaySend is called just before the first byte of an attempt is written; if it returns false, the attempt is not sent.
	// The attempt may have waited for a connection, and reports that arrived meanwhile may rule it out.
	MaySend(tag AttemptID) bool
	// ServerReportsReplica reports that a server said it is a replica. It is called before the end of the attempt whose answer said so.
	ServerReportsReplica(server string, report Report, probe bool)
	// AttemptWritten reports that the last byte of an attempt has been sent.
	AttemptWritten(tag AttemptID)
	// AnswerStreams ends an attempt as served when its answer is too long to be kept and is streamed instead. Calling stop
	// abandons the rest. A nil Flow means that nobody takes the answer.
	AnswerStreams(tag AttemptID, stop func()) AnswerStream
	// AttemptEnded reports how an attempt ended.
	AttemptEnded(tag AttemptID, outcome Outcome)
	// HealthCheckEnded reports how a probe ended.
	HealthCheckEnded(server string, outcome Outcome)
}

// AnswerStream receives an answer that is streamed.
type AnswerStream interface {
	Chunk(b []byte)             // valid during the call
	HasCapacity() bool          // another piece can be taken
	Ended(b []byte, whole bool) // b is what follows the last piece; whole is false if the rest will not arrive
}

// Options are the settings and limits of a Pool.
type Options struct {
	User, Database   string
	Roles            [2]string // the values by which servers report that they are primary or replica
	PositionName     string
	ConnectTimeoutMs float64
	IdleMs           float64         // how long a connection may be idle before it is closed
	MaxConns         func() int      // to all servers together, given the descriptors available now
	FreeDescriptor   func() bool     // frees a descriptor that a client holds, and reports whether there was one; may be nil
	Memory           func() int      // the machine's memory in bytes
	Dial             func(do func()) // schedules the start of a connection; nil to start it at once
}

const (
	heldPart    = 8       // answers being received may take one part in heldPart of the memory
	keepAnswer  = 1 << 14 // bytes of a buffer kept from one answer to the next
	pauseMs     = 150     // pause within an answer after which it is given up...
	pauseOnceMs = 600     // ...and for an attempt that must not run twice, which cannot be retried
	longValue   = 1 << 16 // bytes; a longer row is streamed
	silentMs    = 10000   // pause within such a row after which it is given up
	sendPiece   = 1 << 16 // bytes of a long query written at a time...
	sendAhead   = 1 << 18 // ...while fewer than this are buffered for the server
	capacityMs  = 5       // between checks of whether there is capacity for the next piece...
	headMs      = 1       // ...and right after a piece was written
	leaveMs     = 100     // within which the remaining time must be transmitted; it may be wrong by 150 ms, pauses included
	digitsMs    = 50      // within which a query can be sent without the remaining time losing a digit
	brokeMs     = 50      // a connection that breaks so soon after a request is counted as broken by it
)
