// Package platform serves clients that speak the PostgreSQL protocol in the form of the platform, and defines the interface
// between all frontends and the core.
//
// Its inputs are the bytes that clients send; its outputs are Requests to a Dispatcher, and one final answer for each command, in
// the order of the commands. All that depends on the protocol stays in this package: a Request is independent of it, so that
// other frontends use the same decisions. The number of clients, their memory, and the time for which they may occupy a connection are bounded (Budget, and
// the constants of limits.go). A client that sends nothing, or reads nothing, is disconnected.
package platform

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/eventloop/slotmap"
)

// Request is a client's request, independent of the protocol.
type Request struct {
	ID               string // unique among the open requests
	ClientID         string // the client's own id of the request, for records; empty if that is ID
	Class            string
	Tenant           string // empty for none
	IdempotencyKey   string // by which servers recognise a repeat, empty for none
	PlatformProtocol bool   // the request must name a tenant if tenants are configured, and an idempotency key if its class has keys
	Group            int
	Session          string
	Deadline         float64 // on the clock: when the client gives up
	MinPosition      float64 // on the clock: the position that a read must see, 0 for none
	IsRetry          bool    // the client marked it as a retry of its own
	OnlyServer       string  // the only server that can serve it, empty for any
	Writes           bool    // its statement changes data
	Query            backend.Query
}

// Client receives the one final answer to its request. Its methods are called on the event loop.
type Client interface {
	// Served passes the answer, which is valid during the call.
	Served(answer []byte)
	// Rejected reports that the request did not run and may be retried, after retryMs if that is not 0.
	Rejected(retryMs float64)
	// Failed reports that the request may or may not have run.
	Failed()
}

// PrepaidClient is a Client that distinguishes the rejection of a request whose tenant has used its prepaid credit. Its method is
// called in place of Rejected.
type PrepaidClient interface {
	// RejectedUnfunded is like Rejected. slowed means that the credit is low rather than used up, and that the request is among the tenant's
	// least important.
	RejectedUnfunded(slowed bool, retryMs float64)
}

// RowCounter is a Client that knows the number of rows of its answer.
type RowCounter interface{ Rows() int64 }

// Dispatcher accepts requests; the core implements it. Its methods must be called on the event loop.
type Dispatcher interface {
	// Submit accepts a request. It may call the client before it returns, in which case the returned Ref refers to no request. An
	// error means that the request is invalid; the client is not called then.
	Submit(request Request, client Client) (slotmap.Ref, error)
	// Abandon ends a request whose client has gone. The client is not called any more.
	Abandon(ref slotmap.Ref)
	// AnswerBy has the request answered by that time on the clock, if its deadline is not sooner.
	AnswerBy(ref slotmap.Ref, ms float64)
}

// Disconnectable is a Client that can report whether it has closed its connection, even if the event loop has not read the close yet.
type Disconnectable interface{ Disconnected() bool }

// StreamReceiver is a Client that can receive a long answer as a stream, in place of Served.
type StreamReceiver interface {
	ReceiveStream(start backend.StreamStart) backend.AnswerStream
}
