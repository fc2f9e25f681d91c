// Package core connects the router (package decide) to servers and clients on the event loop: it passes events to the router and
// carries out the router's actions in order. It makes no routing decisions itself.
//
// Its inputs are requests of the frontends, ends of attempts and health checks, endpoint lists, settings, and the limits and
// policies that peers assign. Its outputs are attempts and health checks at the servers, answers to clients, and records. It keeps
// a slot for each request until the request is finished and its attempts have ended, and keys of requests for some minutes (see
// recentKeys). Without peers, a journal or prepaid credit their fields are nil and the settings alone apply. A pooler that receives
// no messages from its peers keeps serving.
//
// One file holds one concern:
//
//   - core.go: the state, settings and their reload; api.go: the interfaces that the core depends on
//   - events.go: the event queue, and the execution of the router's actions
//   - request.go, requesttable.go, keys.go: requests from arrival to end, and the memory of requests that may have run
//   - dispatch.go, outcomes.go: the start of attempts, and their ends
//   - healthcheck.go, observer.go, lists.go: health checks, reports of servers, and endpoint lists
//   - sessiontokens.go, credit.go, limits.go, pacer.go: answers that wait for a stored commit, prepaid credit, fleet-wide limits
//   - overload.go, zones.go: what the core measures and applies for fleet-wide overload control and zone planning
//   - recorder.go, decisions.go: records, metrics and log lines; invariants.go: what must hold between events
package core

import (
	"log/slog"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/invariant"
	"beechgrade/internal/metrics"
)

// Core connects the router to servers and clients. Its methods must be called on the event loop.
type Core struct {
	loop      Loop
	log       *slog.Logger
	config    *config.Config
	router    *decide.Router
	servers   Servers
	directory Directory

	classNumbers   map[string]int // of the classes that are not retired
	tenantNumbers  map[string]int
	zoneNumbers    nameNumbers
	kindNumbers    nameNumbers
	processes      int     // that share this pooler's sockets, 0 for this process alone
	peers          int     // poolers that may be sending; 0 to use Settings.Peers
	answerDeadline float64 // upper bound of the deadlines of new requests, in ms of the loop; 0 for none

	requests    requestTable
	events      []queuedEvent
	actions     []decide.Action
	carryingOut bool
	abandoned   []slotmap.Ref // requests whose clients left while actions were carried out

	metrics      metrics.Metrics
	classMetrics []*metrics.Class // by class number
	decisions    decisionCounts
	recorder     recorder
	meter        Meter

	reportSink    ReportSink // optional
	journal       Journal    // optional
	sharedIDs     SharedIDs  // nil unless other processes share the socket
	sessionDoubt  sessionDoubt
	sessionTokens SessionTokens // nil if sessions' commits are not stored
	credit        Credit        // nil without prepaid credit
	limits        limitGate
	fleet         fleetState
	observation   serverObservation

	checks          *invariant.Checks // nil if invariants are not checked
	walkInterval    int               // events between two checks of all requests
	eventsSinceWalk int
	unreportedEnds  int // ends of attempts that have not been passed to the router yet
}

// New returns the core of one pooler.
func New(loop Loop, log *slog.Logger, config *config.Config) *Core {
	c := &Core{
		loop:        loop,
		log:         log,
		config:      config,
		router:      decide.New(config.Settings, config.Seed),
		zoneNumbers: numberNames(config.Zones),
		kindNumbers: numberNames(config.MachineTypes),
		requests:    newRequestTable(),
		decisions:   newDecisionCounts(),
		recorder:    recorder{loop: loop, healthChecksSentAt: map[string]float64{}},
		limits:      limitGate{loop: loop},
	}
	c.indexNames()
	return c
}

// SetJournal sets the journal.
func (c *Core) SetJournal(journal Journal) { c.journal = journal }

// SetSharedIDs sets the ids that the processes on a shared socket have sent.
func (c *Core) SetSharedIDs(ids SharedIDs) { c.sharedIDs = ids }

// SetReportSink sets the receiver of servers' reports.
func (c *Core) SetReportSink(sink ReportSink) { c.reportSink = sink }

// SetMeter sets the meter.
func (c *Core) SetMeter(meter Meter) { c.meter = meter }

// SetChecks enables the checks of the core's and the router's invariants. All requests are checked once in interval events. It
// is called before Start.
func (c *Core) SetChecks(checks *invariant.Checks, interval int) {
	c.checks = checks
	c.walkInterval = interval
	c.router.EnableChecks(checks, interval)
}

// Start sets the servers and the directory, and passes the last known endpoint list to the router.
func (c *Core) Start(servers Servers, directory Directory) {
	c.servers = servers
	c.directory = directory
	if c.fleet.retryBudget != nil || c.fleet.recoveryRampRate > 0 {
		c.reload()
	}
	c.applyList(&c.config.InitialList, decide.ListRestored)
}

// indexNames rebuilds the lookup tables of class and tenant names from the configuration.
func (c *Core) indexNames() {
	c.classNumbers, c.classMetrics, c.tenantNumbers = map[string]int{}, nil, map[string]int{}
	for number, name := range c.config.Tenants {
		c.tenantNumbers[name] = number
	}
	for number, name := range c.config.Classes {
		c.classMetrics = append(c.classMetrics, c.metrics.Class(name))
		if !c.config.Retired(number) {
			c.classNumbers[name] = number
		}
	}
	c.requests.setKeyLifetime(keyLifetimeMs(c.config.Settings.Classes))
}

// Reload applies the configuration's current settings. Requests in flight keep their class.
func (c *Core) Reload() {
	c.indexNames()
	c.reload()
}

// reload passes the settings to the router, with the values that are determined at run time: processes, peers, zone, assigned
// limits, shedding and the retry budget.
func (c *Core) reload() {
	settings := c.config.Settings
	settings.Processes = max(1, c.processes)
	if c.peers > 0 {
		settings.Peers = c.peers
	}
	if zone := settings.Zone; zone >= 0 && zone < len(c.config.Zones) {
		settings.Zone = c.zoneNumbers.number(c.config.Zones[zone])
	}
	c.applyZone(&settings)
	c.limits.apply(&settings, c.tenantNumbers)
	settings.Shedding = c.fleet.shedding
	settings.RetryBudget = c.fleet.retryBudget
	settings.RecoveryRampRate = c.fleet.recoveryRampRate
	c.handleEvent(&decide.Reload{Settings: settings})
}

// SetProcesses sets the number of processes that act as this pooler at the same time, and reports whether it changed.
func (c *Core) SetProcesses(n int) bool {
	if n == max(1, c.processes) {
		return false
	}
	c.processes = n
	c.reload()
	return true
}

// SetPeers sets the number of poolers that may be sending. It overrides Settings.Peers unless it is 0.
func (c *Core) SetPeers(n int) {
	if n != c.peers {
		c.peers = n
		c.reload()
	}
}

// Snapshot returns a snapshot of the router's state.
func (c *Core) Snapshot() *decide.Snapshot { return c.router.Snapshot() }

// MergeSnapshot merges another router's snapshot into this router's state.
func (c *Core) MergeSnapshot(snapshot *decide.Snapshot) {
	c.router.Merge(clock.ToDuration(c.loop.Now()), snapshot)
}

// Metrics returns the process's metrics.
func (c *Core) Metrics() *metrics.Metrics { return &c.metrics }

// OpenRequests returns the number of requests that await an answer or have attempts in flight.
func (c *Core) OpenRequests() int { return c.requests.Len() }

// SetAnswerDeadline sets the time, in ms of the loop, by which open and new requests of the platform protocol's clients must be
// answered. Sessions of the other frontends have no deadline and are ended by their frontends.
func (c *Core) SetAnswerDeadline(ms float64) {
	c.answerDeadline = ms
	var open []slotmap.Ref
	c.requests.Each(func(ref slotmap.Ref, _ *request) { open = append(open, ref) })
	for _, ref := range open {
		c.AnswerBy(ref, ms)
	}
}
