package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// Idempotency is whether a request may run more than once.
type Idempotency uint8

// Degrees of idempotency.
const (
	Idempotent        Idempotency = iota // may be repeated at any time
	IdempotentWithKey                    // servers in the key's scope drop repeats within the key window
	NotIdempotent                        // must not run twice
)

// KeyScope is the set of servers that drop the repeats of a request with an idempotency key.
type KeyScope uint8

// Scopes of a key.
const (
	ScopeAll   KeyScope = iota // every server
	ScopeZone                  // the servers of the first attempt's zone
	ScopeGroup                 // the servers of the group
)

// ReadKind is the freshness that a request requires, which determines the members of its group that may serve
// it.
type ReadKind uint8

// Kinds of reads, and writes.
const (
	ReadAny     ReadKind = iota // any member
	ReadBounded                 // data no older than the class's MaxStaleness when the request is sent
	ReadSession                 // data that includes the session's own writes
	ReadFresh                   // data that includes every write before the request arrived: the primary
	Write                       // a write: the primary
)

// StaleReadPolicy is what a replica does with a read for which its data is too old.
type StaleReadPolicy uint8

// Stale-read policies.
const (
	StaleReadsAnswered StaleReadPolicy = iota // answers from old data: only the router can prevent that
	StaleReadsRefused                         // refuses without running the read
	StaleReadsWait                            // waits up to StaleReadWait, then refuses without running it
)

// Class is the service contract of one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this has its full weight
	Deadline         time.Duration // the client gives up after this
	PriorityWeight   float64       // weight of an answer within LatencyObjective
	LateWeight       float64       // fraction of PriorityWeight between LatencyObjective and Deadline
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyWindow        time.Duration // how long repeats are dropped, from the first attempt that may have run
	Read             ReadKind
	MaxStaleness     time.Duration // for ReadBounded: the greatest age of data
}

// Tenant is a customer with a quota of the servers.
type Tenant struct {
	RateLimit       float64 // requests per second over all routers, 0 for no limit
	Assigned        bool    // AssignedRate is this router's share, in place of an equal share of all Peers
	AssignedRate    float64 // requests per second
	Burst           float64 // requests that may arrive at once, if Assigned
	RejectOverLimit bool    // requests beyond the limit are rejected instead of getting a lower weight
}

// Settings configure a router. Reload replaces them. DrainGrace, StaleReadWait, ListRoleLive,
// CapacityTracksLoad and ReportsOnSend describe the servers and their list for the embedder; no decision
// depends on them.
type Settings struct {
	Peers           int // routers in this tier, this one included
	Processes       int // processes that together act as this router, this one included; 0 for one
	Zone            int
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // factor on the weight of a request beyond its tenant's rate limit

	WatchList          bool          // the router must subscribe to the endpoint list
	ListStaleAfter     time.Duration // without a subscription, changes count as known after this; 0 for never
	StaleReads         StaleReadPolicy
	StaleReadWait      time.Duration // how long a replica waits with StaleReadsWait
	TrackCommits       bool          // the router itself must remember its sessions' commits
	ListShowsRole      bool          // Endpoint.Primary is valid
	ListRoleLive       bool          // the role in the list is updated, though late
	CapacityTracksLoad bool          // Endpoint.Capacity varies with load, and does not measure capacity

	MayCancel      bool          // attempts can be cancelled
	MayDuplicate   bool          // a request may have two attempts in flight
	MayCheckHealth bool          // servers answer health checks
	MaxRetryAfter  time.Duration // the longest retry-after time given to clients, 0 for none
	MaxAttempts    int           // attempts per request

	DrainGrace        time.Duration
	DrainOnly         bool          // only draining servers are excluded; one that left the list may serve
	SlowStartMultiple float64       // budget, as a multiple of what a cold server serves; 0 for none
	SlowStartSpan     time.Duration // the span that the slow-start budget is for; 0 for no budget
	SlowStartAssigned bool          // SlowStartShare is set, instead of an equal share for each of Peers
	SlowStartShare    float64       // this router's share of the budget
	SlowStartFrom     float64       // fraction of its capacity that a server has at its start
	SlowStartTime     time.Duration // time from its start until a server has its full capacity
	CrossZoneCost     float64       // of an attempt into another zone, as a fraction of the latency objective
	HealthCheckCost   float64       // of a health check, as a fraction of the request's latency objective
	ReportsOnSend     bool          // answers carry load reports too

	RetryBudget      *retrybudget.Settings // the bound on hedged requests and retries, nil for none
	RecoveryRampRate float64               // all routers' new connections/s to a returned server; 0: no limit

	Shedding map[int]*SheddingPolicy // by group: what the routers have agreed to shed; read only
}

const (
	// initialWorkFraction is the work of a class without answers, as a fraction of its latency objective.
	initialWorkFraction = 0.2
	// minClassWork is the least average work of a class, in seconds.
	minClassWork = 1e-3
	// farFuture stands for a time or a key window without an end. Another time can be added without overflow.
	farFuture = time.Duration(math.MaxInt64 / 2)
)

// configure applies new settings. Classes keep their numbers and averages; a class without a latency
// objective has been removed.
func (r *Router) configure(settings Settings) {
	for i := range r.buckets { // by the old limits
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

// repeatWindow returns how long a request of the class may be sent again after an attempt that may have run.
func (c *Class) repeatWindow() time.Duration {
	switch c.Idempotency {
	case Idempotent:
		return farFuture
	case IdempotentWithKey:
		return c.KeyWindow
	}
	return 0
}

// classesFor returns the class records for new settings. If the classes are unchanged, these are the
// records in use, so that requests in flight still update their averages.
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
