// Package decide chooses where a proxy sends each request when the servers behind it form
// groups of one primary and its replicas. It holds decisions only: no sockets, no clock, no
// goroutines. The embedding proxy passes events with their times to Router.Handle, and carries out
// the actions that Handle returns, in order.
//
// Inputs are requests, the outcomes of attempts and probes, the server list, timers and settings;
// outputs are sends, cancellations, final answers, probes, timers and subscriptions. Memory is
// bounded by the servers listed, the requests in flight and maxRememberedSessions. A router that has no
// reports from servers, list or peers goes on with what it last knew, and estimates others' load
// from its own.
//
// This file is the interface: settings, events and actions. state.go and handover.go keep the
// records, inspect.go reads them for others, invariants.go checks them. Each other file holds one
// idea of how decisions are made:
//
//   - router.go: tuned constants, settings, and the dispatch of events
//   - choose.go: which server a request goes to
//   - estimate.go: rates of servers, delays of the links to them, and the load they carry
//   - ration.go: the budget of a server in slow start, and the allowances of tenants
//   - queue.go: admission, waiting requests, the order in which they go, and when one is given up
//   - shed.go: admission under a backlog that only the time of answers reveals
//   - attempts.go: outcomes of attempts, and when a request is sent again
//   - health.go: which servers are taken out of use, and when they return
//   - list.go: the server list and its subscription
//   - offset.go: how far the servers' clock is ahead of the router's
package decide

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// Time is a reading of the embedder's monotonic clock. Its origin does not matter.
type Time = time.Duration

type (
	ServerID  string // names one server: its address
	RequestID string // names one request
)

// SheddingPolicy is what the routers have agreed to turn away of a group's requests: those whose place is below the level of their class. Cells orders the
// four kinds of requests of each class: a retry of a session beyond its tenant's share, a retry within it, a first attempt beyond, a first within.
type SheddingPolicy struct {
	Levels         []float64     // by class; requests for the primary alone have one level, the others another
	Ranks          [][4]int      // by class, then kind
	OverQuota      [][2]float64  // by tenant: the part of its sessions beyond its share, of reads that any member serves and of requests for the primary
	OverQuotaIndex []int         // by class: the index into Beyond
	RankLifetime   time.Duration // how long a session keeps its place
	MaxRetryAfter  time.Duration // the longest advice to a client
}

// Rank returns a request's place in the order of shedding. It is a function of the session and the time alone, so that every router with the same
// clock gives a session the same place for Keep.
func (s *SheddingPolicy) Rank(now Time, ev *Request) float64 {
	if s == nil || ev.Class < 0 || ev.Class >= len(s.Ranks) {
		return math.Inf(1)
	}
	id := ev.Session
	if id == "" {
		id = string(ev.ID)
	}
	h := xxhash.Sum64String(id)
	kind := 1
	if ev.Tenant >= 0 && ev.Tenant < len(s.OverQuota) && hashDraw(h, 1) < s.OverQuota[ev.Tenant][s.OverQuotaIndex[ev.Class]] {
		kind = 0
	}
	if !ev.ClientRetry {
		kind += 2
	}
	turn := uint64(0)
	if s.RankLifetime > 0 {
		turn = uint64(now+time.Duration(hashDraw(h, 2)*float64(s.RankLifetime))) / uint64(s.RankLifetime)
	}
	return float64(s.Ranks[ev.Class][kind]) + hashDraw(h, turn+3)
}

// Rejects reports whether a request of that class and place is turned away.
func (s *SheddingPolicy) Rejects(class int, place float64) bool {
	return s != nil && class < len(s.Levels) && place < s.Levels[class]
}

// RejectsArrival reports whether a request that arrives is turned away.
func (s *SheddingPolicy) RejectsArrival(now Time, ev *Request) bool {
	return s != nil && ev.Class >= 0 && s.Rejects(ev.Class, s.Rank(now, ev))
}

// RejectsAttempt reports whether a request under way must not be sent any more: its place is below the level by now, or the next attempt would be a copy or a
// repeat, which are shed first.
func (s *SheddingPolicy) RejectsAttempt(class int, place float64, again bool) bool {
	return s.Rejects(class, place) || again && s != nil && class < len(s.Levels) && s.Levels[class] > 0
}

// RetryAfter returns how long the client of a request that was turned away should wait. It differs by session, so that clients do not return together.
func (s *SheddingPolicy) RetryAfter(now Time, ev *Request) time.Duration {
	if s == nil {
		return 0
	}
	return time.Duration((1 + hashDraw(xxhash.Sum64String(ev.Session+string(ev.ID)), uint64(now))) / 2 * float64(s.MaxRetryAfter))
}

// hashDraw maps a hash and a salt to a number from 0 to 1.
func hashDraw(h, salt uint64) float64 {
	h = (h ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	h = (h ^ h>>32) * 0xc4ceb9fe1a85ec53
	return float64((h^h>>29)>>11) / (1 << 53)
}

// Idempotency is what repeating a request may do.
type Idempotency uint8

// Effects of a repeat.
const (
	Idempotent        Idempotency = iota // may be repeated at any time
	IdempotentWithKey                    // servers in the scope drop repeats within the key window
	NotIdempotent                        // must never run twice
)

// KeyScope is the set of servers that drop the repeats of a keyed request.
type KeyScope uint8

// Scopes of a key.
const (
	ScopeAll   KeyScope = iota // every server
	ScopeZone                  // the servers of the first attempt's zone
	ScopeGroup                 // the servers of the group
)

// ReadKind is the freshness that a request needs, which decides the members of its group that may serve it.
type ReadKind uint8

// Kinds of reads, and writes.
const (
	ReadAny     ReadKind = iota // any member
	ReadBounded                 // data no older than the class's bound when it is sent
	ReadSession                 // data that includes the session's own writes
	ReadFresh                   // data that includes every write before the request arrived: the primary
	Write                       // a write: the primary
)

// StaleReadPolicy is what a replica does with a read for which its data is too old.
type StaleReadPolicy uint8

// What a replica that is behind may do.
const (
	StaleReadsAnswered StaleReadPolicy = iota // answers from old data: the router alone can prevent it
	StaleReadsRefused                         // refuses without running it
	StaleReadsWait                            // waits a while, then refuses without running it
)

// Class is the contract of one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this has its full worth
	Deadline         time.Duration // the client gives up after this
	PriorityWeight   float64       // of an answer within Target
	LateWeight       float64       // part of Worth between Target and Deadline
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyWindow        time.Duration // how long repeats are dropped, from the first attempt that may have run
	Read             ReadKind
	MaxStaleness     time.Duration // the greatest age of data, for ReadBounded
}

// Tenant is a customer with a share of the servers.
type Tenant struct {
	RateLimit       float64 // requests a second over all routers, 0 for no limit
	Assigned        bool    // Own is this router's part, in place of an equal part for each of Peers
	AssignedRate    float64 // requests a second
	Burst           float64 // requests that may arrive at once
	RejectOverLimit bool    // requests beyond it are refused, in place of counting for less
}

// Settings configure a router. Reload replaces them.
type Settings struct {
	Peers           int // routers in this tier, this one included
	Processes       int // processes that share this router's place, this one included; 0 for one
	Zone            int
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64

	WatchList          bool          // the router must subscribe to the server list
	ListStaleAfter     time.Duration // after so long without a subscription, changes count as known to the router; 0 for never
	StaleReads         StaleReadPolicy
	StaleReadWait      time.Duration // how long a replica waits with StaleReadsWait
	TrackCommits       bool          // the router itself must remember its sessions' commits
	ListShowsRole      bool          // Entry.Primary has a meaning
	ListRoleLive       bool          // the role in the list is updated, though late
	CapacityTracksLoad bool          // Entry.Size moves with load, so that it is no measure of capacity

	MayCancel      bool          // attempts can be called off
	MayDuplicate   bool          // a request may have two attempts in flight
	MayCheckHealth bool          // servers answer probes
	MaxRetryAfter  time.Duration // the longest wait that clients are advised, 0 for no advice
	MaxAttempts    int           // of one request

	DrainGrace        time.Duration
	DrainOnly         bool // only a server seen draining is barred; one that left the list may still serve
	SlowStartMultiple float64
	SlowStartSpan     time.Duration
	SlowStartAssigned bool // SlowStartPart is this router's part of the fall budget, in place of an equal part for each of Peers
	SlowStartPart     float64
	SlowStartFrom     float64
	SlowStartTime     time.Duration
	CrossZoneCost     float64 // the price of an attempt into another zone, as a part of the request's worth
	HealthCheckCost   float64 // the price of a probe, as a part of the request's worth
	ReportsOnSend     bool    // answers carry load reports too

	RetryBudget      *retrybudget.Repeats // the bound on copies and repeats, nil for none
	RecoveryRampRate float64              // new connections a second, over all routers, to a server that has returned; 0 for any number

	Shedding map[int]*SheddingPolicy // by group: what the routers have agreed to turn away; read only
}

// Event is an input of the router.
type Event interface{ event() }

// Request is a client's request. The router owes it exactly one final answer.
type Request struct {
	ID              RequestID
	Class           int
	Group           int
	Tenant          int
	Deadline        Time // the client gives up then
	Session         string
	SinceCommit     time.Duration // session reads: time since the session's last commit, negative for one ahead of this clock, 0 for none
	WorkHint        time.Duration // expected work on a standard core, 0 if unknown
	ClientRetry     bool          // the client has sent it before
	MayHaveRunSince Time          // when another request with its key that may have run was first sent; 0 for none
	OnlyServer      ServerID      // the one server that can serve it, empty for any; with ReadAny only
}

// Result is how an attempt or probe ended.
type Result uint8

// Results. After Failed, TimedOut, Reset and Cancelled the request may have run.
const (
	OK          Result = iota
	Failed             // the server answered with an error; it may have had an effect
	Overloaded         // refused without being read: the server is overloaded
	TimedOut           // no answer in time
	Unreachable        // no connection: never sent
	Reset              // the connection dropped with the attempt in flight
	Cancelled          // called off by the router
	NotSent            // never sent: the request was over
	Misdirected        // refused without being run: not the primary, or too far behind
)

// Role is a server's role in its group, as an answer or a report has it.
type Role uint8

// Roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Report is what a server reported of itself. Position is a time on the servers' clock up to which it has
// applied every commit. HasPosition and HasInFlight tell which fields are present.
type Report struct {
	Role        Role
	Position    Time
	HasPosition bool
	InFlight    float64 // requests in flight there, of all routers
	HasInFlight bool
	Age         time.Duration // how much older than its event it may be
}

// Outcome is the end of an attempt. Final is set when the request is over.
type Outcome struct {
	ID       RequestID
	Attempt  int
	Server   ServerID
	Result   Result
	Final    bool
	Reported Report // the role and position at the answer itself
	Load     Report // a load report that came along, some time old
}

// Abandoned is the end of a request whose client has gone.
type Abandoned struct{ ID RequestID }

// ShortenDeadline brings a request's deadline forward, as the process ends soon after.
type ShortenDeadline struct {
	ID RequestID
	By Time
}

// HealthCheckResult is the answer to a probe.
type HealthCheckResult struct {
	Server ServerID
	Result Result
	Load   Report
}

// ListKind is what a List event holds.
type ListKind uint8

// Kinds of list.
const (
	ListChanges  ListKind = iota // changed entries only
	ListFull                     // every entry; a server that is missing has gone
	ListRestored                 // every entry as last seen by an earlier process, possibly stale
	ListFailed                   // a call failed; the list stays as it is
)

// StoreState is a server's state in the list.
type ServerState uint8

// States of a server.
const (
	Serving ServerState = iota
	Draining
	Removed
)

// Endpoint is a line of the server list.
type Endpoint struct {
	Server   ServerID
	Group    int
	Kind     int
	Zone     int
	Capacity float64
	State    ServerState
	Started  Time // when its process last started, 0 for long ago
	Primary  bool
}

// EndpointList is a change of the server list, or the whole list.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Reload replaces the settings. Classes keep their numbers: new ones are added at the end, and one that was removed has no target.
type Reload struct{ Settings Settings }

// Timer is a wake-up that the router asked for with SetTimer.
type Timer struct{ Tag int64 }

func (*Request) event()           {}
func (*Outcome) event()           {}
func (*Abandoned) event()         {}
func (*ShortenDeadline) event()   {}
func (*HealthCheckResult) event() {}
func (*EndpointList) event()      {}
func (*Timer) event()             {}
func (*Reload) event()            {}

// ActionKind is what an Action asks for.
type ActionKind uint8

// Kinds of actions.
const (
	Send        ActionKind = iota // start the next attempt of ID at Server; Wait is its time-out, 0 for none
	Cancel                        // stop waiting for attempt Attempt of ID
	Reject                        // final answer: the request has not run, or may run again; retry after Wait
	Fail                          // final answer: the request may have run
	HealthCheck                   // probe Server
	SetTimer                      // send a Timer with Tag at At
	Subscribe                     // subscribe to the server list
	FetchList                     // ask for the whole list once
	Log                           // a line for the log
)

// Reason says why a request is refused, failed or sent again, for logs and figures.
type Reason uint8

// Reasons.
const (
	ReasonNone        Reason = iota
	ReasonExpired            // it came with no time left, or is of no class that is known
	ReasonShed               // the routers have agreed to turn it away
	ReasonNoServer           // no server of its group is known
	ReasonRateLimit          // its tenant's allowance is used up
	ReasonDeadline           // its time was up
	ReasonTooLate            // no server could answer in the time that is left
	ReasonMaxAttempts        // it may not be sent again
	ReasonHedge              // sent again: the attempt before is silent or lost
	ReasonRetry              // sent again: the attempt before ended without an answer
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "late", "shed", "group", "allowance", "time", "hopeless", "attempts", "copy", "unanswered"}

// String returns the reason as logs and figures name it.
func (reason Reason) String() string { return reasonNames[min(reason, reasonCount-1)] }

// Reasons returns all of them.
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
	Reason      Reason // Refuse, Fail and Send
}
