// Package decide chooses where a proxy sends each request when the servers behind it form groups of one
// primary and its replicas. It only decides: it has no sockets, no clock and no goroutines, and the same
// events give the same actions. The embedding proxy passes events with their times to Router.Handle, and
// carries out the actions that Handle returns, in order.
//
// Events are requests, the outcomes of attempts and health checks, the endpoint list, timers and settings.
// Actions are attempts to send, cancellations, final answers, health checks, timers and subscriptions.
// Memory is bounded by the servers in the list, the requests in flight and maxRememberedSessions. A router
// that gets no reports from servers, no list and nothing from its peers goes on with what it last knew, and
// estimates the load of other routers from its own.
//
// Files that hold records and decisions, by idea:
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
//   - invariants_*.go: statements that hold after each event, checked in tests and on request
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

// Request is a client's request. The router gives it exactly one final answer, unless it is served or
// abandoned.
type Request struct {
	ID              RequestID
	Class           int // index into Settings.Classes
	Group           int // number of the group that serves it
	Tenant          int // index into Settings.Tenants, negative for none
	Deadline        Time
	Session         string
	SinceCommit     time.Duration // session reads: time since its commit, negative if that is ahead, 0: none
	WorkHint        time.Duration // expected work on a standard core, 0 if unknown
	ClientRetry     bool          // the client has sent it before
	MayHaveRunSince Time          // when one with its key that may have run was first sent; 0 for none
	OnlyServer      ServerID      // the one server that can serve it, empty for any; with ReadAny only
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
	Unreachable        // no connection: never sent
	Reset              // the connection dropped with the attempt in flight
	Cancelled          // cancelled by the router
	NotSent            // never sent: the request was over
	Misdirected        // refused without being run: the server is not the primary, or too far behind
)

// Role is a server's role in its group, as an answer or a report has it. The numbers are stored in records.
type Role uint8

// Roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Report is what a server reported of itself. HasPosition and HasInFlight tell which fields are present.
type Report struct {
	Role        Role
	Position    Time // on the servers' clock: the server has applied every commit up to then
	HasPosition bool
	InFlight    float64 // requests in flight there, of all routers
	HasInFlight bool
	Age         time.Duration // how much older than its event it may be
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID       RequestID
	Attempt  int // number of the attempt, from 0 in the order of the request's Send actions
	Server   ServerID
	Result   Result
	Final    bool   // the request is over
	Reported Report // the role and position at the answer itself
	Load     Report // a load report that came along, some time old
}

// Abandoned is the end of a request whose client no longer waits for it.
type Abandoned struct{ ID RequestID }

// ShortenDeadline brings a request's deadline forward, as the process ends soon after.
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
	ListChanges  ListKind = iota // changed endpoints only
	ListFull                     // every endpoint; a server that is missing has been removed
	ListRestored                 // every endpoint as last seen by an earlier process, possibly stale
	ListFailed                   // a call failed; the list stays as it is
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
	Started  Time // when its process last started, 0 for long ago
	Primary  bool
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
func (*Abandoned) event()         {}
func (*ShortenDeadline) event()   {}
func (*HealthCheckResult) event() {}
func (*EndpointList) event()      {}
func (*Timer) event()             {}
func (*Reload) event()            {}

// ActionKind is what an Action requests.
type ActionKind uint8

// Kinds of actions.
const (
	Send        ActionKind = iota // start the next attempt of ID at Server; Wait is its time-out, 0 for none
	Cancel                        // stop waiting for attempt Attempt of ID
	Reject                        // final answer: the request has not run, or may run again; retry after Wait
	Fail                          // final answer: the request may have run
	HealthCheck                   // check the health of Server
	SetTimer                      // send a Timer with Tag at At
	Subscribe                     // subscribe to the endpoint list
	FetchList                     // request the whole list once; the router does not use it
	Log                           // a line for the log
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
	ReasonExpired            // it came with no time left, or is of no class that is known
	ReasonShed               // the routers have agreed to shed it
	ReasonNoServer           // no server of its group is known
	ReasonRateLimit          // its tenant's rate limit is used up
	ReasonDeadline           // its time was up
	ReasonTooLate            // no server could answer in the time that is left
	ReasonMaxAttempts        // it may not be sent again
	ReasonHedge              // sent again: the attempt before is presumed lost or at an unresponsive server
	ReasonRetry              // sent again: the attempt before ended without an answer
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

// String returns the reason as logs and metrics name it.
func (reason Reason) String() string { return reasonNames[min(reason, reasonCount-1)] }

// Reasons returns all of them, by number.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Action is an output of the router. Its embedder carries actions out in order.
type Action struct {
	Kind        ActionKind
	ID          RequestID
	Attempt     int
	Server      ServerID
	Wait        time.Duration
	WriteBefore Time // Send: the attempt must not be written from then on
	At          Time
	Tag         int64
	Text        string
	Reason      Reason // Reject, Fail and Send
}
