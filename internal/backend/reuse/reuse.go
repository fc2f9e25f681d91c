// Package reuse decides whether a connection to a server is clean enough for its next request. Every frontend asks it before it sends a
// request on a connection that has carried another one.
//
// Its inputs are what the caller has read of the connection and not handled, the answers that it still expects, and the socket; its output is
// the reason why the connection must be closed, if any. Servers may send more than belongs to an answer. Bytes that follow an answer would be
// read as the next one, and neither of the two clients could tell. What arrives after the next request was written cannot be told from its answer.
package reuse

// Reason is why a connection must not be used again.
type Reason uint8

const (
	// Clean is the reason of a connection that may be used again.
	Clean Reason = iota
	// Answers means that answers to earlier requests are outstanding.
	Answers
	// Input means that bytes were received that belong to no answer.
	Input
	// Socket means that the socket holds unread bytes or the end of the stream, or that reading from it is paused.
	Socket
	// Session means that the server's session may hold what another client has left in it.
	Session
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason as metrics and logs name it.
func (reason Reason) String() string {
	return [...]string{"clean", "answers", "input", "socket", "session"}[reason]
}

// Peer is the socket of a connection.
type Peer interface {
	// OpenAndIdle reports whether the connection is open and has nothing to read.
	OpenAndIdle() bool
}

// Check returns why a connection must not be used again, with the number of answers that are outstanding and of bytes that were received and
// not handled.
func Check(outstanding, pendingBytes int, peer Peer) Reason {
	switch {
	case outstanding > 0:
		return Answers
	case pendingBytes > 0:
		return Input
	case !peer.OpenAndIdle():
		return Socket
	}
	return Clean
}
