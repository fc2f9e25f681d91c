// Package decide chooses where a proxy sends each request when the servers behind it form groups of one
// primary and its replicas. It only decides: it has no sockets, no clock and no goroutines, and the same
// events give the same actions. The proxy that embeds it (the embedder) passes events with their times to
// Router.Handle, and carries out the actions that Handle returns, in order.
//
// Events are requests, the outcomes of attempts and health checks, the endpoint list, timers and settings.
// Actions are attempts to send, cancellations, final answers, health checks, timers and subscriptions.
// Memory is bounded by the servers in the list, the requests in flight and maxRememberedSessions. A router
// that gets no reports from servers, no list and nothing from its peers continues with its last known state,
// and estimates the load of other routers from its own.
//
// The files by topic:
//
//   - api.go: events and actions; inspect.go: read access for the embedder; snapshot.go: state handed to
//     another router
//   - router.go: the state of a router and the dispatch of events; settings.go: settings and their reload
//   - request.go, server.go, group.go: the records of requests, servers and groups
//   - shedding.go, tenants.go, admission.go, backlog.go: which requests are rejected, and the order of
//     those that wait
//   - candidates.go, cost.go: the servers that may serve a request, and the cheapest of them
//   - load.go, rates.go, reports.go: estimates of load and of service rates, and what servers report
//   - attempts.go, retries.go, hedging.go: the start and the outcome of attempts, when a request is sent
//     again, and final answers
//   - healthcheck.go, outlier.go, slowstart.go: health checks, ejection and return of servers, and the load
//     of new ones
//   - endpointlist.go, clockoffset.go: the endpoint list and its subscription, and the offset of the
//     servers' clock
//   - invariants_*.go: invariants that hold after each event, checked in tests and where enabled
package decide

import "time"

// Time is a reading of the embedder's monotonic clock. Its origin does not matter.
type Time = time.Duration

// ServerID names one server: its address.
type ServerID string

// RequestID names one request.
type RequestID string

// Event is an input of the router.
type Event interface{ event() }

// Request is a client's request. It ends by exactly one of a served attempt, a final answer of the router
// (Reject or Fail) and Abandoned.
type Request struct {
	ID              RequestID
	Class           int // index into Settings.Classes
	Group           int // number of the group of servers that serves it
	Tenant          int // index into Settings.Tenants, negative for none
	Deadline        Time
	Session         string
	SinceCommit     time.Duration // session reads: time since its commit, negative if that is ahead, 0: none
	WorkHint        time.Duration // expected work on a standard core, 0 if unknown
	ClientRetry     bool          // the client has sent it before
	MayHaveRunSince Time          // first send of a request with the same key that may have run; 0 for none
	OnlyServer      ServerID      // the only server that can serve it, empty for any; with ReadAny only
}

// Result is how an attempt or a health check ended.
type Result uint8

// Results. After Failed, TimedOut, Reset and Cancelled the request may have run. The numbers are stored in
// records.
const (
	OK          Result = iota
	Failed             // the server answered with an error; it may have had an effect
	Overloaded         // refused without being read: the server is overloaded
	TimedOut           // no answer in time
	Unreachable        // no connection: the attempt was never sent
	Reset              // the connection dropped with the attempt in flight
	Cancelled          // cancelled by the router
	NotSent            // never sent: the request was over, or the local side could not send
	Misdirected        // refused without being run: the server is not the primary, or its data is too old
)

// Role is a server's role in its group, as stated by an answer or a report. The numbers are stored in
// records.
type Role uint8

// Roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Report is what a server reported about itself. HasPosition and HasInFlight say which fields are present.
type Report struct {
	Role        Role
	Position    Time // on the servers' clock: the server has applied every commit up to then
	HasPosition bool
	InFlight    float64 // requests in flight there, of all routers
	HasInFlight bool
	Age         time.Duration // how much older than the event that carries it the report may be
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID       RequestID
	Attempt  int // number of the attempt, from 0 in the order of the request's Send actions
	Server   ServerID
	Result   Result
	Final    bool   // the request is over
	Reported Report // the role and position in the answer itself
	Load     Report // a load report that the answer carried, which may be older than the answer
}

// AnswerEnded is the end of an answer that went on after its attempt had ended: a streamed one, or the last
// one of a transaction.
type AnswerEnded struct {
	Server   ServerID
	Result   Result // OK if the answer is complete
	SentAt   Time   // when the attempt was sent
	Session  string // in which a write has committed, where commits are tracked; empty for none
	Reported Report // the role and position in the answer itself
	Load     Report // a load report that the answer carried, which may be older than the answer
}

// Abandoned is the end of a request whose client no longer waits for it.
type Abandoned struct{ ID RequestID }

// ShortenDeadline brings a request's deadline forward, as the process stops soon after it.
type ShortenDeadline struct {
	ID       RequestID
	Deadline Time
}

// HealthCheckResult is the answer to a health check.
type HealthCheckResult struct {
	Server ServerID
	Result Result
	Load   Report
}

// ListKind is what an EndpointList event holds.
type ListKind uint8

// Kinds of list.
const (
	ListChanges  ListKind = iota // the changed endpoints only
	ListFull                     // every endpoint; a server that is missing has been removed
	ListRestored                 // every endpoint as an earlier process last received them, possibly stale
	ListFailed                   // a call to the list's source failed; the list stays as it is
)

// String returns the kind's name for logs.
func (kind ListKind) String() string {
	switch kind {
	case ListChanges:
		return "changes"
	case ListFull:
		return "full"
	case ListRestored:
		return "restored"
	case ListFailed:
		return "failed"
	}
	return "unknown"
}

// ServerState is a server's state in the endpoint list.
type ServerState uint8

// States of a server.
const (
	Serving ServerState = iota
	Draining
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Server   ServerID
	Group    int
	Kind     int // number of the machine type
	Zone     int
	Capacity float64 // relative to other servers
	State    ServerState
	Started  Time // last start of its process, on the servers' clock; 0 for long ago
	Primary  bool // it is the primary by the list; valid with Settings.ListShowsRole
}

// EndpointList is a change of the endpoint list, or the whole list.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Reload replaces the settings. Classes keep their numbers: new ones are added at the end, and one that was
// removed has no latency objective.
type Reload struct{ Settings Settings }

// Timer is a wake-up that the router requested with SetTimer.
type Timer struct{ Tag int64 }

func (*Request) event()           {}
func (*Outcome) event()           {}
func (*AnswerEnded) event()       {}
func (*Abandoned) event()         {}
func (*ShortenDeadline) event()   {}
func (*HealthCheckResult) event() {}
func (*EndpointList) event()      {}
func (*Timer) event()             {}
func (*Reload) event()            {}

// ActionKind is what an Action asks of the embedder.
type ActionKind uint8

// Kinds of actions.
const (
	Send        ActionKind = iota // start the next attempt of ID at Server; Wait is its time-out, 0 for none
	Cancel                        // stop waiting for attempt Attempt of ID
	Reject                        // final answer: not run, or may run again; the client may retry after Wait
	Fail                          // final answer: the request may have run
	HealthCheck                   // check the health of Server
	SetTimer                      // send a Timer with Tag at At
	Subscribe                     // subscribe to the endpoint list
	FetchList                     // fetch the whole list once; this router never emits it
	Log                           // write Text to the log
)

var actionNames = [...]string{
	Send:        "send",
	Cancel:      "cancel",
	Reject:      "reject",
	Fail:        "fail",
	HealthCheck: "health check",
	SetTimer:    "set timer",
	Subscribe:   "subscribe",
	FetchList:   "fetch list",
	Log:         "log",
}

// String returns the kind's name for the texts of invariants and tests.
func (kind ActionKind) String() string {
	if int(kind) < len(actionNames) {
		return actionNames[kind]
	}
	return "unknown"
}

// Reason says why a request is rejected, failed or sent again, for logs and metrics.
type Reason uint8

// Reasons.
const (
	ReasonNone        Reason = iota
	ReasonExpired            // its deadline had passed on arrival, or its class is unknown
	ReasonShed               // the routers have agreed to shed it
	ReasonNoServer           // no server of its group is known
	ReasonRateLimit          // its tenant's rate limit is exhausted
	ReasonDeadline           // its deadline was reached
	ReasonTooLate            // no server could answer in the remaining time
	ReasonMaxAttempts        // it must not be sent again
	ReasonHedge              // sent again: the previous attempt is presumed lost or at an unresponsive server
	ReasonRetry              // sent again: the previous attempt ended without an answer
	reasonCount
)

// reasonNames are the reasons' names in logs and metrics.
var reasonNames = [reasonCount]string{
	ReasonNone:        "none",
	ReasonExpired:     "late",
	ReasonShed:        "shed",
	ReasonNoServer:    "group",
	ReasonRateLimit:   "allowance",
	ReasonDeadline:    "time",
	ReasonTooLate:     "hopeless",
	ReasonMaxAttempts: "attempts",
	ReasonHedge:       "copy",
	ReasonRetry:       "unanswered",
}

// String returns the reason's name in logs and metrics.
func (reason Reason) String() string { return reasonNames[min(reason, reasonCount-1)] }

// Reasons returns all reasons, by number.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Action is an output of the router. The embedder carries actions out in order.
type Action struct {
	Kind        ActionKind
	ID          RequestID
	Attempt     int
	Server      ServerID
	Wait        time.Duration
	WriteBefore Time // Send: the attempt must not be written at this time or later
	At          Time
	Tag         int64
	Text        string
	Reason      Reason // Reject, Fail and Send
}
