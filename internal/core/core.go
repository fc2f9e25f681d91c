// Package core is the event loop's state between the router, the servers and the clients: it passes events to the router
// (package decide) and carries out its actions in order. It decides nothing itself.
//
// Its inputs are requests of the frontends, ends of attempts and health checks, endpoint lists, settings and what peers assign.
// Its outputs are attempts and health checks at the servers, answers to clients, and records. It has a slot for each request
// until that is over and its attempts have ended, and keys of requests for some minutes (see recentKeys). Without peers, a
// journal or credit their fields are nil, and the settings alone apply: without messages of peers a pooler goes on by itself.
//
// One file holds one concern:
//
//   - core.go: the state, settings and their reload; api.go: what the core needs from others
//   - events.go: the queue of events and the actions of the router
//   - request.go, requesttable.go, keys.go: requests from their arrival to their end, and those that may have run
//   - dispatch.go, outcomes.go: the start of attempts, and their ends
//   - healthcheck.go, observer.go, lists.go: health checks, reports of servers, and endpoint lists
//   - sessiontokens.go, credit.go, limits.go, pacer.go: answers that wait for a commit, prepaid credit, limits of the fleet
//   - overload.go, zones.go: the core's part in the fleet's handling of overload and zones
//   - recorder.go, decisions.go: records, metrics and log lines; invariants.go: statements that hold between events
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

// Core feeds the router. It must be used on the loop alone.
type Core struct {
	loop      Loop
	log       *slog.Logger
	config    *config.Config
	router    *decide.Router
	servers   Servers
	directory Directory

	classNumbers  map[string]int // of the classes that are in use
	tenantNumbers map[string]int
	zoneNumbers   nameNumbers
	kindNumbers   nameNumbers
	processes     int     // on the socket, 0 for this one alone
	peers         int     // poolers that may be sending, 0 for the settings' number
	answersBy     float64 // requests that arrive have their answer by then, 0 for no end

	requests    requestTable
	events      []queuedEvent
	actions     []decide.Action
	carryingOut bool
	abandoned   []slotmap.Ref // requests that were given up while actions are carried out

	metrics      metrics.Metrics
	classMetrics []*metrics.Class // by the classes' numbers
	decisions    decisionCounts
	recorder     recorder
	meter        Meter

	reportSink    ReportSink // nil without one
	journal       Journal    // nil without one
	sessionDoubt  sessionDoubt
	sessionTokens SessionTokens // nil where sessions' commits are not stored
	credit        Credit        // nil without prepaid credit
	limits        limitGate
	fleet         fleetState
	observation   serverObservation

	checks         *invariant.Checks // nil without a checker
	walkEvery      int               // events between two walks
	sinceWalk      int
	unreportedEnds int // ends of attempts that the router has yet to handle
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

// SetReportSink sets the receiver of servers' reports.
func (c *Core) SetReportSink(sink ReportSink) { c.reportSink = sink }

// SetMeter sets the meter.
func (c *Core) SetMeter(meter Meter) { c.meter = meter }

// SetChecks has the invariants of the core and of the router checked, from the beginning on.
func (c *Core) SetChecks(checks *invariant.Checks, every int) {
	c.checks = checks
	c.walkEvery = every
	c.router.EnableChecks(checks, every)
}

// Start joins the core to the servers and the directory, and passes the last known list to the router.
func (c *Core) Start(servers Servers, directory Directory) {
	c.servers = servers
	c.directory = directory
	if c.fleet.retryBudget != nil || c.fleet.recoveryRampRate > 0 {
		c.reload()
	}
	c.applyList(&c.config.InitialList, decide.ListRestored)
}

// indexNames takes the names and numbers of classes and tenants from the configuration.
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

// Reload applies the configuration's present settings. Requests in flight keep their class.
func (c *Core) Reload() {
	c.indexNames()
	c.reload()
}

// reload passes the settings to the router, with what the core knows better: processes, peers, zone and assigned limits.
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

// SetProcesses sets the number of processes that share this pooler's place, and reports whether it changed.
func (c *Core) SetProcesses(n int) bool {
	if n == max(1, c.processes) {
		return false
	}
	c.processes = n
	c.reload()
	return true
}

// SetPeers sets the number of poolers that may be sending, in place of the settings' number; 0 for that.
func (c *Core) SetPeers(n int) {
	if n != c.peers {
		c.peers = n
		c.reload()
	}
}

// Snapshot returns what the router knows.
func (c *Core) Snapshot() *decide.Snapshot { return c.router.Snapshot() }

// MergeSnapshot merges what another router knew into this one's state.
func (c *Core) MergeSnapshot(snapshot *decide.Snapshot) {
	c.router.Merge(clock.ToDuration(c.loop.Now()), snapshot)
}

// Metrics returns the process's metrics.
func (c *Core) Metrics() *metrics.Metrics { return &c.metrics }

// OpenRequests returns the number of requests that await an answer or have attempts in flight.
func (c *Core) OpenRequests() int { return c.requests.Len() }

// SetAnswerDeadline sets the time by which requests of the platform's clients, open ones and new ones, have their answer. Sessions of the
// other frontends have no deadline and are ended by their frontends.
func (c *Core) SetAnswerDeadline(ms float64) {
	c.answersBy = ms
	var open []slotmap.Ref
	c.requests.Each(func(ref slotmap.Ref, _ *request) { open = append(open, ref) })
	for _, ref := range open {
		c.AnswerBy(ref, ms)
	}
}
