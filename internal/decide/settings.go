package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// Idempotency is what sending a request twice may do.
type Idempotency uint8

// Degrees of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated at any time
	IdempotentWithKey                    // servers in the key's scope drop repeats within the key window
	NotIdempotent                        // must never run twice
)

// KeyScope is the set of servers that drop the repeats of a request with an idempotency key.
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
	ReadBounded                 // data no older than the class's MaxStaleness when it is sent
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
	LatencyObjective time.Duration // an answer within this has its full weight
	Deadline         time.Duration // the client gives up after this
	PriorityWeight   float64       // weight of an answer within LatencyObjective
	LateWeight       float64       // part of PriorityWeight between LatencyObjective and Deadline
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyWindow        time.Duration // how long repeats are dropped, from the first attempt that may have run
	Read             ReadKind
	MaxStaleness     time.Duration // the greatest age of data, for ReadBounded
}

// Tenant is a customer with a quota of the servers.
type Tenant struct {
	RateLimit       float64 // requests a second over all routers, 0 for no limit
	Assigned        bool    // AssignedRate is this router's part, in place of an equal part for each of Peers
	AssignedRate    float64 // requests a second
	Burst           float64 // requests that may arrive at once
	RejectOverLimit bool    // requests beyond the limit are rejected, in place of having a lower weight
}

// Settings configure a router. Reload replaces them. DrainGrace, StaleReadWait, ListRoleLive,
// CapacityTracksLoad and ReportsOnSend describe the servers and their list for the embedder; no decision
// depends on them.
type Settings struct {
	Peers           int // routers in this tier, this one included
	Processes       int // processes that share this router's place, this one included; 0 for one
	Zone            int
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // part of its weight that a request beyond its tenant's limit has

	WatchList          bool          // the router must subscribe to the endpoint list
	ListStaleAfter     time.Duration // without a subscription, changes count as known after it; 0 for never
	StaleReads         StaleReadPolicy
	StaleReadWait      time.Duration // how long a replica waits with StaleReadsWait
	TrackCommits       bool          // the router itself must remember its sessions' commits
	ListShowsRole      bool          // Endpoint.Primary has a meaning
	ListRoleLive       bool          // the role in the list is updated, though late
	CapacityTracksLoad bool          // Endpoint.Capacity moves with load, and does not measure capacity

	MayCancel      bool          // attempts can be cancelled
	MayDuplicate   bool          // a request may have two attempts in flight
	MayCheckHealth bool          // servers answer health checks
	MaxRetryAfter  time.Duration // the longest wait that clients are advised, 0 for no advice
	MaxAttempts    int           // of one request

	DrainGrace        time.Duration
	DrainOnly         bool          // only draining servers are excluded; one that left the list may serve
	SlowStartMultiple float64       // budget, as a multiple of what a cold server serves; 0 for none
	SlowStartSpan     time.Duration // the span that the slow-start budget is for; 0 for no budget
	SlowStartAssigned bool          // SlowStartShare is set, in place of an equal part for each of Peers
	SlowStartShare    float64       // this router's part of the budget
	SlowStartFrom     float64       // part of its capacity that a server has at its start
	SlowStartTime     time.Duration // until a server has all of its capacity
	CrossZoneCost     float64       // of an attempt into another zone, as a part of the latency objective
	HealthCheckCost   float64       // of a health check, as a part of the request's latency objective
	ReportsOnSend     bool          // answers carry load reports too

	RetryBudget      *retrybudget.Settings // the bound on hedged requests and retries, nil for none
	RecoveryRampRate float64               // new connections a second to a returned server, of all; 0 for any

	Shedding map[int]*SheddingPolicy // by group: what the routers have agreed to shed; read only
}

const (
	// initialWorkFraction is the work of a class without answers, as a part of its latency objective.
	initialWorkFraction = 0.2
	// minClassWork is the least average work of a class, in seconds.
	minClassWork = 1e-3
	// farFuture is a time or a key window without an end, to which another time can be added.
	farFuture = time.Duration(math.MaxInt64 / 2)
)

// configure applies new settings. Classes keep their numbers and averages; one without a latency objective
// was removed.
func (r *Router) configure(settings Settings) {
	for i := range r.buckets { // by the limits until now
		r.refillBucket(i)
	}
	r.buckets = append(r.buckets, make([]tokenBucket, len(settings.Tenants))...)[:len(settings.Tenants)]
	classes := r.classesFor(settings.Classes)
	r.settings = settings
	r.settings.Peers = max(1, settings.Peers)
	r.settings.Processes = max(1, settings.Processes)
	r.settings.MaxAttempts = max(1, settings.MaxAttempts)
	r.settings.ListStaleAfter = cmp.Or(settings.ListStaleAfter, math.MaxInt64)
	if !settings.SlowStartAssigned {
		r.settings.SlowStartShare = 1 / float64(r.settings.Peers)
	}
	r.classes = classes
	r.shortestObjective = 0
	for i, contract := range settings.Classes {
		contract.KeyWindow = contract.repeatWindow()
		r.classes[i].Class = contract
		objective := contract.LatencyObjective
		if objective > 0 && (r.shortestObjective == 0 || objective < r.shortestObjective) {
			r.shortestObjective = objective
		}
	}
	r.primarySearchPause = max(r.shortestObjective/2, tickInterval)
	r.retryBudgets.UpdateSettings(r.now, settings.RetryBudget, r.settings.Peers, r.settings.Processes)
}

// repeatWindow returns how long a request of the class that may have run may be sent again.
func (c *Class) repeatWindow() time.Duration {
	switch c.Idempotency {
	case Idempotent:
		return farFuture
	case IdempotentWithKey:
		return c.KeyWindow
	}
	return 0
}

// classesFor returns the classes of new settings. Without a difference these are the ones in use, so that
// requests in flight still update their averages.
func (r *Router) classesFor(contracts []Class) []class {
	if slices.Equal(contracts, r.settings.Classes) {
		return r.classes
	}
	classes := make([]class, len(contracts))
	known := copy(classes, r.classes)
	for i := known; i < len(classes); i++ {
		objective := contracts[i].LatencyObjective.Seconds()
		classes[i].averageWork = max(minClassWork, initialWorkFraction*objective)
	}
	return classes
}
