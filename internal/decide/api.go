// Package decide chooses where a proxy sends each request when the servers behind it form
// groups of one primary and its replicas. It holds decisions only: no sockets, no clock, no
// goroutines. The embedding proxy passes events with their times to Router.Handle, and carries out
// the actions that Handle returns, in order.
//
// Inputs are requests, the outcomes of attempts and probes, the server list, timers and settings;
// outputs are sends, cancellations, final answers, probes, timers and subscriptions. Memory is
// bounded by the servers listed, the requests in flight and maxSessions. A router that has no
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

// Shed is what the routers have agreed to turn away of a group's requests: those whose place is below the level of their class. Cells orders the
// four kinds of requests of each class: a retry of a session beyond its tenant's share, a retry within it, a first attempt beyond, a first within.
type Shed struct {
	Levels []float64     // by class; requests for the primary alone have one level, the others another
	Cells  [][4]int      // by class, then kind
	Beyond [][2]float64  // by tenant: the part of its sessions beyond its share, of reads that any member serves and of requests for the primary
	Of     []int         // by class: the index into Beyond
	Keep   time.Duration // how long a session keeps its place
	Wait   time.Duration // the longest advice to a client
}

// Place returns a request's place in the order of shedding. It is a function of the session and the time alone, so that every router with the same
// clock gives a session the same place for Keep.
func (s *Shed) Place(now Time, ev *Request) float64 {
	if s == nil || ev.Class < 0 || ev.Class >= len(s.Cells) {
		return math.Inf(1)
	}
	id := ev.Session
	if id == "" {
		id = string(ev.ID)
	}
	h := xxhash.Sum64String(id)
	kind := 1
	if ev.Tenant >= 0 && ev.Tenant < len(s.Beyond) && draw(h, 1) < s.Beyond[ev.Tenant][s.Of[ev.Class]] {
		kind = 0
	}
	if !ev.Repeat {
		kind += 2
	}
	turn := uint64(0)
	if s.Keep > 0 {
		turn = uint64(now+time.Duration(draw(h, 2)*float64(s.Keep))) / uint64(s.Keep)
	}
	return float64(s.Cells[ev.Class][kind]) + draw(h, turn+3)
}

// TurnsAway reports whether a request of that class and place is turned away.
func (s *Shed) TurnsAway(class int, place float64) bool {
	return s != nil && class < len(s.Levels) && place < s.Levels[class]
}

// Off reports whether a request that arrives is turned away.
func (s *Shed) Off(now Time, ev *Request) bool {
	return s != nil && ev.Class >= 0 && s.TurnsAway(ev.Class, s.Place(now, ev))
}

// Spent reports whether a request under way must not be sent any more: its place is below the level by now, or the next attempt would be a copy or a
// repeat, which are shed first.
func (s *Shed) Spent(class int, place float64, again bool) bool {
	return s.TurnsAway(class, place) || again && s != nil && class < len(s.Levels) && s.Levels[class] > 0
}

// Advice returns how long the client of a request that was turned away should wait. It differs by session, so that clients do not return together.
func (s *Shed) Advice(now Time, ev *Request) time.Duration {
	if s == nil {
		return 0
	}
	return time.Duration((1 + draw(xxhash.Sum64String(ev.Session+string(ev.ID)), uint64(now))) / 2 * float64(s.Wait))
}

// draw maps a hash and a salt to a number from 0 to 1.
func draw(h, salt uint64) float64 {
	h = (h ^ salt*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd
	h = (h ^ h>>32) * 0xc4ceb9fe1a85ec53
	return float64((h^h>>29)>>11) / (1 << 53)
}

// Effect is what repeating a request may do.
type Effect uint8

// Effects of a repeat.
const (
	Safe   Effect = iota // may be repeated at any time
	Keyed                // servers in the scope drop repeats within the key window
	Unsafe               // must never run twice
)

// Scope is the set of servers that drop the repeats of a keyed request.
type Scope uint8

// Scopes of a key.
const (
	ScopeAll   Scope = iota // every server
	ScopeZone               // the servers of the first attempt's zone
	ScopeGroup              // the servers of the group
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

// Behind is what a replica does with a read for which its data is too old.
type Behind uint8

// What a replica that is behind may do.
const (
	BehindAnswers Behind = iota // answers from old data: the router alone can prevent it
	BehindRefuses               // refuses without running it
	BehindWaits                 // waits a while, then refuses without running it
)

// Class is the contract of one class of requests.
type Class struct {
	Target    time.Duration // an answer within this has its full worth
	Deadline  time.Duration // the client gives up after this
	Worth     float64       // of an answer within Target
	LateWorth float64       // part of Worth between Target and Deadline
	Effect    Effect
	Scope     Scope
	KeyWindow time.Duration // how long repeats are dropped, from the first attempt that may have run
	Read      ReadKind
	Bound     time.Duration // the greatest age of data, for ReadBounded
}

// Tenant is a customer with a share of the servers.
type Tenant struct {
	Allowance float64 // requests a second over all routers, 0 for no limit
	Assigned  bool    // Own is this router's part, in place of an equal part for each of Peers
	Own       float64 // requests a second
	Depth     float64 // requests that may arrive at once
	Hard      bool    // requests beyond it are refused, in place of counting for less
}

// Settings configure a router. Reload replaces them.
type Settings struct {
	Peers          int // routers in this tier, this one included
	Processes      int // processes that share this router's place, this one included; 0 for one
	Zone           int
	Tick           time.Duration
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64

	AskList       bool          // the router must subscribe to the server list
	AskEvery      time.Duration // after so long without a subscription, changes count as known to the router; 0 for never
	Behind        Behind
	BehindWait    time.Duration // how long a replica waits with BehindWaits
	TrackCommits  bool          // the router itself must remember its sessions' commits
	ListShowsRole bool          // Entry.Primary has a meaning
	ListRoleLive  bool          // the role in the list is updated, though late
	SizesLive     bool          // Entry.Size moves with load, so that it is no measure of capacity

	MayCancel     bool          // attempts can be called off
	MayDuplicate  bool          // a request may have two attempts in flight
	MayProbe      bool          // servers answer probes
	MaxRetryAfter time.Duration // the longest wait that clients are advised, 0 for no advice
	MaxAttempts   int           // of one request

	DrainGrace    time.Duration
	DrainOnly     bool // only a server seen draining is barred; one that left the list may still serve
	FallMultiple  float64
	FallSpan      time.Duration
	ColdAssigned  bool // ColdPart is this router's part of the fall budget, in place of an equal part for each of Peers
	ColdPart      float64
	ColdFrom      float64
	ColdTime      time.Duration
	PriceCross    float64 // the price of an attempt into another zone, as a part of the request's worth
	PriceProbe    float64 // the price of a probe, as a part of the request's worth
	ReportsOnSend bool    // answers carry load reports too

	Repeats *retrybudget.Repeats // the bound on copies and repeats, nil for none
	Returns float64              // new connections a second, over all routers, to a server that has returned; 0 for any number

	Shed map[int]*Shed // by group: what the routers have agreed to turn away; read only
}

// Event is an input of the router.
type Event interface{ event() }

// Request is a client's request. The router owes it exactly one final answer.
type Request struct {
	ID       RequestID
	Class    int
	Group    int
	Tenant   int
	Deadline Time // the client gives up then
	Session  string
	SinceOwn time.Duration // session reads: time since the session's last commit, negative for one ahead of this clock, 0 for none
	Work     time.Duration // expected work on a standard core, 0 if unknown
	Repeat   bool          // the client has sent it before
	RanAt    Time          // when another request with its key that may have run was first sent; 0 for none
	Only     ServerID      // the one server that can serve it, empty for any; with ReadAny only
}

// Result is how an attempt or probe ended.
type Result uint8

// Results. After Failed, TimedOut, Reset and Cancelled the request may have run.
const (
	OK          Result = iota
	Failed             // the server answered with an error; it may have had an effect
	Full               // refused without being read: the server is overloaded
	TimedOut           // no answer in time
	Unreachable        // no connection: never sent
	Reset              // the connection dropped with the attempt in flight
	Cancelled          // called off by the router
	Skipped            // never sent: the request was over
	Missed             // refused without being run: not the primary, or too far behind
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
// applied every commit. HasPosition and HasHeld tell which fields are present.
type Report struct {
	Role        Role
	Position    Time
	HasPosition bool
	Held        float64 // requests in flight there, of all routers
	HasHeld     bool
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

// Expired is the end of a request whose client has gone.
type Expired struct{ ID RequestID }

// Hasten brings a request's deadline forward, as the process ends soon after.
type Hasten struct {
	ID RequestID
	By Time
}

// ProbeResult is the answer to a probe.
type ProbeResult struct {
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
	Gone
)

// Entry is a line of the server list.
type Entry struct {
	Server  ServerID
	Group   int
	Kind    int
	Zone    int
	Size    float64
	State   ServerState
	Started Time // when its process last started, 0 for long ago
	Primary bool
}

// List is a change of the server list, or the whole list.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Reload replaces the settings. Classes keep their numbers: new ones are added at the end, and one that was removed has no target.
type Reload struct{ Settings Settings }

// Timer is a wake-up that the router asked for with SetTimer.
type Timer struct{ Tag int64 }

func (*Request) event()     {}
func (*Outcome) event()     {}
func (*Expired) event()     {}
func (*Hasten) event()      {}
func (*ProbeResult) event() {}
func (*List) event()        {}
func (*Timer) event()       {}
func (*Reload) event()      {}

// ActionKind is what an Action asks for.
type ActionKind uint8

// Kinds of actions.
const (
	Send      ActionKind = iota // start the next attempt of ID at Server; Wait is its time-out, 0 for none
	Cancel                      // stop waiting for attempt Attempt of ID
	Refuse                      // final answer: the request has not run, or may run again; retry after Wait
	Fail                        // final answer: the request may have run
	Probe                       // probe Server
	SetTimer                    // send a Timer with Tag at At
	Subscribe                   // subscribe to the server list
	FetchList                   // ask for the whole list once
	Log                         // a line for the log
)

// Reason says why a request is refused, failed or sent again, for logs and figures.
type Reason uint8

// Reasons.
const (
	ReasonNone       Reason = iota
	ReasonLate              // it came with no time left, or is of no class that is known
	ReasonShed              // the routers have agreed to turn it away
	ReasonGroup             // no server of its group is known
	ReasonAllowance         // its tenant's allowance is used up
	ReasonTime              // its time was up
	ReasonHopeless          // no server could answer in the time that is left
	ReasonAttempts          // it may not be sent again
	ReasonCopy              // sent again: the attempt before is silent or lost
	ReasonUnanswered        // sent again: the attempt before ended without an answer
	reasons
)

var reasonNames = [reasons]string{"none", "late", "shed", "group", "allowance", "time", "hopeless", "attempts", "copy", "unanswered"}

// String returns the reason as logs and figures name it.
func (reason Reason) String() string { return reasonNames[min(reason, reasons-1)] }

// Reasons returns all of them.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Action is an output of the router. Its embedder carries actions out in order.
type Action struct {
	Kind    ActionKind
	ID      RequestID
	Attempt int
	Server  ServerID
	Wait    time.Duration
	By      Time // Send: the attempt must not be written from then on
	At      Time
	Tag     int64
	Text    string
	Reason  Reason // Refuse, Fail and Send
}
