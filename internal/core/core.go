// Package core is the loop's state between the router and the sockets: it passes events to the router and carries out its
// actions in order. Its inputs are requests of the fronts, ends of attempts and probes, server lists, settings and what
// peers assign; its outputs are attempts and probes at the servers, answers to clients, and records. It decides nothing.
// It keeps a slot for each request until that is over and its attempts have ended, and keys for some minutes (see keys).
// Without peers, journal or credit their fields are nil, and the settings alone hold.
package core

import (
	"errors"
	"log/slog"

	"beechgrade/internal/backend"
	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/invariant"
	"beechgrade/internal/metrics"
	"beechgrade/internal/record"
)

// Errors of a request that cannot be passed to the router.
var (
	ErrUnknownClass     = errors.New("no such class")
	ErrUnknownTenant    = errors.New("no such tenant")
	ErrMissingKey       = errors.New("no key, which its class needs")
	ErrDuplicateID      = errors.New("a request of this id is open")
	ErrWriteInReadClass = errors.New("a write in a class of reads")
)

// Servers carries out attempts and probes.
type Servers interface {
	SetAddress(id, addr string)
	CloseIdle(id string)
	Forget(id string)
	Retain(ids map[string]bool)
	Start(id string, query backend.Query, until float64, on backend.SendConditions, tag backend.AttemptID) slotmap.Ref
	Cancel(attempt slotmap.Ref)
	CheckHealth(id string)
	Recall(id string, which func(backend.AttemptID) bool) // ends the attempts that have not been written yet and must not be
}

// Loop is the event loop.
type Loop interface {
	Now() float64
	At(ms float64, do func()) *timers.Timer
}

// Directory fetches the server list.
type Directory interface {
	Watch()
	Fetch()
}

// Grouped is implemented by servers that need to know the group of each of them.
type Grouped interface {
	SetGroup(id string, group int) // called before SetAddress
}

// ReportSink receives what servers report of themselves, each time.
type ReportSink interface {
	ServerReported(server string, primary, replica bool, position float64)
}

// Core feeds the router. It must be used on the loop alone.
type Core struct {
	loop      Loop
	log       *slog.Logger
	config    *config.Config
	router    *decide.Router
	servers   Servers
	directory Directory

	classNumbers  map[string]int // numbers of the classes that are in use
	tenantNumbers map[string]int
	sentKeys      recentKeys // of keyed requests that may have run
	sentOnce      recentKeys // of requests that must not run twice and may have run, by id
	metrics       metrics.Metrics
	decisions     decisionCounts
	classFigures  []*metrics.Class // by the classes' numbers
	processes     int              // processes on the socket, 0 for this one alone
	peers         int              // poolers that may be sending, 0 for the settings' number
	zoneNumbers   nameNumbers
	kindNumbers   nameNumbers

	requests     slotmap.Table[*request]
	requestsByID map[string]slotmap.Ref // the latest request of each id
	events       []queuedEvent
	answersBy    float64 // requests that arrive have their answer by then, 0 for no end
	carryingOut  bool
	abandoned    []slotmap.Ref // requests that were given up while actions are carried out
	actions      []decide.Action

	recorder           *record.Recorder // nil without records
	recordedRequests   uint64           // number of the request recorded last
	healthChecksSentAt map[string]float64
	meter              Meter
	reportSink         ReportSink // nil without one

	journal       Journal // nil without one
	sessionDoubt  sessionDoubt
	sessionTokens SessionTokens // nil where sessions' commits are not stored

	limits      []*limit // limits of the whole fleet
	leases      Leases   // nil without them
	fleet       fleetState
	observation serverObservation

	credit Credit // nil where nobody pays ahead

	checks         *invariant.Checks // nil without a checker
	walkEvery      int               // events between two walks
	sinceWalk      int
	unreportedEnds int // ends of attempts that the router has yet to handle
}

// Journal records how attempts ended, and knows which requests may have run in an earlier process.
type Journal interface {
	Ended(tag backend.AttemptID, res decide.Result)
	Ran(id string) bool
}

// SetJournal sets the journal.
func (c *Core) SetJournal(j Journal) { c.journal = j }

// SetReportSink sets the receiver of servers' reports.
func (c *Core) SetReportSink(w ReportSink) { c.reportSink = w }

// SetChecks has the invariants of the core and of the router checked, from the beginning on.
func (c *Core) SetChecks(checks *invariant.Checks, every int) {
	c.checks, c.walkEvery = checks, every
	c.router.EnableChecks(checks, every)
}

// Meter measures the time of the decision module.
type Meter interface {
	Begin()
	End()
}

// SetMeter sets the meter.
func (c *Core) SetMeter(m Meter) { c.meter = m }

// New returns the core of one pooler.
func New(l Loop, log *slog.Logger, cfg *config.Config) *Core {
	c := &Core{loop: l, log: log, config: cfg, router: decide.New(cfg.Settings, cfg.Seed),
		decisions: newDecisionCounts(), requestsByID: map[string]slotmap.Ref{}, healthChecksSentAt: map[string]float64{}, zoneNumbers: numberNames(cfg.Zones), kindNumbers: numberNames(cfg.MachineTypes)}
	c.indexNames()
	return c
}

// indexNames takes the names and numbers of classes and tenants from the configuration.
func (c *Core) indexNames() {
	c.classNumbers, c.classFigures, c.tenantNumbers = map[string]int{}, nil, map[string]int{}
	for i, n := range c.config.Tenants {
		c.tenantNumbers[n] = i
	}
	for i, n := range c.config.Classes {
		c.classFigures = append(c.classFigures, c.metrics.Class(n))
		if !c.config.Retired(i) {
			c.classNumbers[n] = i
		}
	}
	c.sentKeys.lifetimeMs = keyLifetimeMs(c.config.Settings.Classes)
	c.sentOnce.lifetimeMs = c.sentKeys.lifetimeMs
}

// Reload applies the configuration's present settings. Requests in flight keep their class.
func (c *Core) Reload() {
	c.indexNames()
	c.reload()
}

// reload passes the settings to the router, with what the core knows better: processes, peers, zone and assigned limits.
func (c *Core) reload() {
	set := c.config.Settings
	set.Processes = max(1, c.processes)
	if c.peers > 0 {
		set.Peers = c.peers
	}
	if z := set.Zone; z >= 0 && z < len(c.config.Zones) {
		set.Zone = c.zoneNumbers.number(c.config.Zones[z])
	}
	c.applyZone(&set)
	c.applyLimits(&set)
	set.Shedding, set.RetryBudget, set.RecoveryRampRate = c.fleet.shedding, c.fleet.retryBudget, c.fleet.recoveryRampRate
	c.handleEvent(&decide.Reload{Settings: set})
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

// MergeSnapshot merges what another router knew into this one's memory.
func (c *Core) MergeSnapshot(m *decide.Snapshot) { c.router.Merge(clock.ToDuration(c.loop.Now()), m) }

// Figures returns the process's figures.
func (c *Core) Figures() *metrics.Metrics { return &c.metrics }

// Start joins the core to the servers and the directory, and passes the last known list to the router.
func (c *Core) Start(s Servers, d Directory) {
	c.servers, c.directory = s, d
	if c.fleet.retryBudget != nil || c.fleet.recoveryRampRate > 0 {
		c.reload()
	}
	c.applyList(&c.config.InitialList, decide.ListRestored)
}

// OpenRequests returns the number of requests that are owed an answer or have attempts in flight.
func (c *Core) OpenRequests() int { return c.requests.Len() }

// EndAt sets the time by which requests of the platform's clients, open ones and new ones, have their answer. Sessions of the other
// fronts have no deadline and are ended by their fronts.
func (c *Core) EndAt(ms float64) {
	c.answersBy = ms
	var open []slotmap.Ref
	c.requests.Each(func(ref slotmap.Ref, _ *request) { open = append(open, ref) })
	for _, ref := range open {
		c.AnswerBy(ref, ms)
	}
}

// AnswerBy implements platform.Desk. It brings forward the deadline of a request of the platform's clients.
func (c *Core) AnswerBy(ref slotmap.Ref, ms float64) {
	req, ok := c.requests.Get(ref)
	if !ok || !req.platform || req.finished || req.deadline <= ms {
		return
	}
	req.deadline = ms
	c.handleEvent(&decide.ShortenDeadline{ID: requestID(ref), By: clock.ToDuration(ms)})
}
