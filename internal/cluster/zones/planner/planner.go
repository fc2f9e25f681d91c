// Package planner makes the fleet's plans at the leading voter: reports of all poolers go in, entries for the replicated log come out. It
// is a pure state machine.
//
// # What it decides
//
// It tracks the health of each zone, and of each link between two zones. The evidence for a zone comes from the zone's own poolers if they
// make enough attempts there, otherwise from those of other zones; the evidence for a link comes from the poolers of one zone and their
// attempts in the other, as long as that zone itself does not fail. Then it solves each group (package plan), folds the solutions into one
// matrix, and takes a step towards it. It proposes an entry when the plan changes, and every RenewInterval when it does not, so a voter
// connected to the majority never has a plan that is much older than RenewInterval.
//
// The order of the log decides which plan is in force (package statemachine). The planner cannot be sure that it still leads: a plan
// proposed too late is rejected. A new leader's planner keeps the plan in force for SettleTime, until poolers have reported to it. Without
// reports it keeps the plan and renews it.
package planner

import (
	"maps"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Settings configure a Planner. Times are in ms.
type Settings struct {
	Name            string // of this voter
	ZonesHash       uint32 // of the zones' names
	Zones           int    // number of zones
	Plan            plan.Settings
	Health          health.Settings
	ReportLifetime  float64 // after which a report is discarded
	Window          float64 // time constant over which attempts are counted
	LoadMemory      float64 // time constant over which loads are smoothed
	StepInterval    float64 // between two steps towards the target
	OutwardShare    float64 // the part of a zone's reads that leaves in a step
	ReturnShare     float64 // the part of a zone's reads that returns in a step
	RenewInterval   float64 // between two entries with the same target
	SettleTime      float64 // for which a new leader waits for reports before it changes the plan
	ProposalTimeout float64 // after which a proposed entry is assumed to be lost
}

// Cell is what a pooler observed of a group's servers in a zone since its last report.
type Cell struct {
	Group      int
	Zone       int
	Attempts   float64 // that ended, per second
	Lost       float64 // attempts of these without an answer, per second
	Cores      float64 // of the servers that serve, as far as the pooler knows
	FullCores  float64 // of the servers in normal operation
	FixedCores float64 // that the pooler's requests used there which cannot be served elsewhere
	AgeMs      float64 // staleness of the servers' data
}

// Demand is the load of a class of reads that a pooler's clients send to a group.
type Demand struct {
	Group int
	Class int
	Load  float64 // cores
}

// Report is what a pooler observed. A long report is sent in parts.
type Report struct {
	Zone    int // of the pooler
	Part    int // from 0
	Cells   []Cell
	Demands []Demand
}

// reportEntry is a part of the last report of a pooler.
type reportEntry struct {
	receivedAt float64
	report     Report
}

type reportKey struct {
	from uint64
	part int
}

// cell identifies the servers of a group in a zone.
type cell struct{ group, zone int }

// flow identifies the load of a class on a group from the poolers of a zone.
type flow struct{ group, class, zone int }

// Planner makes plans at one voter. It is not safe for concurrent use.
type Planner struct {
	settings       Settings
	reports        map[reportKey]reportEntry
	leading        bool
	leadingSince   float64
	zones          []health.Zone
	links          [][]health.Zone  // by zone of the poolers and zone of the servers
	loads          map[flow]float64 // smoothed, in cores
	outcomes       []outcomes       // of each pair of zones, over about a Window
	lastSample     float64
	exactMatrix    plan.Matrix // from which the plan's matrix is rounded
	exactPlan      uint64      // the number of the plan that exactMatrix belongs to
	lastStep       float64
	lastProposal   float64
	proposedNumber uint64 // of the plan that was proposed last, 0 for none
	proposedAt     float64
	snapshot       Snapshot
	planSettings   plan.Settings // with the delays of abandoned links set to +Inf
}

// Snapshot is the result of a planner's last sample.
type Snapshot struct {
	Groups       []plan.Group
	Observations []health.Observation
	Target       plan.Matrix
	Unserved     float64 // cores of load without safe capacity
	Crossing     float64 // the part of all reads that crosses zones with the target
}

// New returns a Planner that does not lead.
func New(settings Settings) *Planner {
	planner := &Planner{settings: settings, reports: map[reportKey]reportEntry{}, loads: map[flow]float64{}}
	planner.restoreHealth(nil, 0)
	return planner
}

// Snapshot returns the result of the last sample. It must not be modified.
func (planner *Planner) Snapshot() *Snapshot { return &planner.snapshot }

// Zone returns the health of a zone.
func (planner *Planner) Zone(zone int) health.Zone { return planner.zones[zone] }

// IsLeading reports whether this voter leads, as far as it knows.
func (planner *Planner) IsLeading() bool { return planner.leading }

// restoreHealth sets the health of zones and links to the states in a plan; with nil, all of them serve.
func (planner *Planner) restoreHealth(p *statemachine.Plan, now float64) {
	zones := planner.settings.Zones
	planner.zones = newZones(zones, &planner.settings.Health)
	planner.links = make([][]health.Zone, zones)
	for zone := range planner.links {
		planner.links[zone] = newZones(zones, &planner.settings.Health)
	}
	if p == nil || len(p.Zones) != zones {
		return
	}
	for zone, status := range p.Zones {
		if status.State != health.Serving || status.RestMs > planner.settings.Health.MinRest {
			planner.zones[zone] = health.Resume(status.State, status.RestMs, now)
		}
	}
	for _, link := range p.Links {
		planner.links[link.From][link.To] = health.Resume(link.State, link.RestMs, now)
	}
}

func newZones(n int, settings *health.Settings) []health.Zone {
	zones := make([]health.Zone, n)
	for i := range zones {
		zones[i] = health.New(settings)
	}
	return zones
}

// SetLeading sets whether this voter leads. A new leader starts from the plan in force, nil for none.
func (planner *Planner) SetLeading(now float64, leading bool, p *statemachine.Plan) {
	if leading && !planner.leading {
		planner.leadingSince = now
		planner.proposedNumber = 0
		clear(planner.loads)
		planner.outcomes = nil
		planner.restoreHealth(p, now)
	}
	planner.leading = leading
}

// Receive stores a report of a pooler.
func (planner *Planner) Receive(now float64, from uint64, report *Report) {
	if report.Zone < planner.settings.Zones {
		planner.reports[reportKey{from, report.Part}] = reportEntry{now, *report}
	}
}

// Step samples the reports and returns the entries to propose. now is in Unix ms, as the ends of orders are.
func (planner *Planner) Step(now float64, machine *statemachine.StateMachine) (entries [][]byte) {
	maps.DeleteFunc(planner.reports, func(_ reportKey, entry reportEntry) bool {
		return now-entry.receivedAt > planner.settings.ReportLifetime
	})
	if !planner.leading {
		return nil
	}
	entries = planner.applyOrders(now, machine)
	if now-planner.leadingSince >= planner.settings.SettleTime {
		planner.sample(now)
	}
	if p := planner.nextPlan(now, machine); p != nil {
		planner.proposedNumber, planner.proposedAt = p.Number, now
		entries = append(entries, statemachine.EncodePlan(p))
	}
	return entries
}

// applyOrders sets the states that operators ordered, and returns entries that end the expired orders.
func (planner *Planner) applyOrders(now float64, machine *statemachine.StateMachine) (entries [][]byte) {
	for zone := range planner.zones {
		order, active := machine.Order(zone)
		switch {
		case !active:
			planner.zones[zone].ClearOrder(now)
		case order.Until > 0 && now >= order.Until:
			entries = append(entries, statemachine.EncodeOrderEnd(&order))
		default:
			planner.zones[zone].Order(now, order.State)
		}
	}
	return entries
}
