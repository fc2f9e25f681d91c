// Package planner makes the fleet's plans, at the voter that leads: what all poolers saw goes in, entries for the log come out. Pure.
//
// # What it decides, and what not
//
// It follows each zone and each way between two (package state) on what is seen of them: of a zone what its own poolers see, where enough is
// asked there, else what others do; of a way what the poolers of the one zone see of a zone that is well by its own. Then it solves each
// group (package plan), folds that into one matrix, and goes a step towards it. An entry is proposed where the plan changes, and every
// Renew where it does not, so that a plan in force is never older than that at a voter that the majority reaches.
//
// Whether its plan is the one, the log's order says (package book). It does not know whether it still leads: what it proposes too late is void.
// A chief that has just begun to lead takes the plan in force as it is for Settle, until poolers have told it what they see.
package planner

import (
	"maps"
	"math"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Settings say how. Times are in ms.
type Settings struct {
	Name            string
	ZonesHash       uint32 // a sum of the zones' names
	Zones           int
	Plan            plan.Settings
	Health          health.Settings
	ReportLifetime  float64 // what a pooler told is forgotten
	Window          float64 // over which attempts are counted
	LoadMemory      float64 // over which loads are smoothed
	StepInterval    float64 // between two steps of a plan
	OutwardShare    float64 // part of a zone's reads that leave in a step
	ReturnShare     float64 // ...and that come back
	RenewInterval   float64 // between two entries of a plan that does not change
	SettleTime      float64 // that a new chief listens before it changes anything
	ProposalTimeout float64 // after which an entry that was proposed is given up
}

// Cell is what a pooler saw of a group's servers in a zone, over the last window.
type Cell struct {
	Group, Zone    int
	Attempts, Lost float64 // attempts a second; lost are those without an answer
	Cores          float64 // of servers that serve, as far as this pooler knows
	FullCores      float64 // of those that there are when all is well
	FixedCores     float64 // cores that it used there for what only they can do
	AgeMs          float64 // ms that their data is old
}

// Demand is what a pooler's clients ask of a group's reads, in cores.
type Demand struct {
	Group, Class int
	Load         float64
}

// Report is a pooler's word; a long one comes in parts.
type Report struct {
	Zone    int
	Part    int
	Cells   []Cell
	Demands []Demand
}

type reportEntry struct {
	receivedAt float64
	report     Report
}

type reportKey struct {
	from uint64
	part int
}

type cell struct{ group, zone int }

type flow struct{ group, class, zone int }

// Planner is a voter's.
type Planner struct {
	settings       Settings
	reports        map[reportKey]reportEntry
	leading        bool
	leadingSince   float64 // it leads since
	zones          []health.Zone
	links          [][]health.Zone
	loads          map[flow]float64 // smoothed
	outcomes       [][2]float64     // by zone of the poolers and of the servers: attempts that ended and were lost, about over Window
	lastSample     float64
	exactMatrix    plan.Matrix // of which the plan is what whole poolers can follow
	exactPlan      uint64      // ...as of this plan
	lastStep       float64
	lastProposal   float64
	proposedNumber uint64 // number of the plan that was proposed
	proposedAt     float64
	snapshot       Snapshot
	planSettings   plan.Settings // with the ways as they are
}

// Snapshot is what a chief made of the last windows, for those who look.
type Snapshot struct {
	Groups       []plan.Group
	Observations []health.Observation
	Target       plan.Matrix
	Unserved     float64
	Crossing     float64
}

// New makes one.
func New(set Settings) *Planner {
	planner := &Planner{settings: set, reports: map[reportKey]reportEntry{}, loads: map[flow]float64{}}
	planner.restoreHealth(nil, 0)
	return planner
}

// Snapshot is what it sees.
func (planner *Planner) Snapshot() *Snapshot { return &planner.snapshot }

// Zone is how one stands.
func (planner *Planner) Zone(z int) health.Zone { return planner.zones[z] }

// IsLeading tells whether it takes itself for the one who leads.
func (planner *Planner) IsLeading() bool { return planner.leading }

// restoreHealth takes the states that the plan in force has.
func (planner *Planner) restoreHealth(p *statemachine.Plan, now float64) {
	planner.zones, planner.links = make([]health.Zone, planner.settings.Zones), make([][]health.Zone, planner.settings.Zones)
	for z := range planner.zones {
		planner.zones[z] = health.New(&planner.settings.Health)
		planner.links[z] = make([]health.Zone, planner.settings.Zones)
		for y := range planner.links[z] {
			planner.links[z][y] = health.New(&planner.settings.Health)
		}
	}
	if p == nil || len(p.Zones) != planner.settings.Zones {
		return
	}
	for z, m := range p.Zones {
		if m.State != health.Serving || m.RestMs > planner.settings.Health.MinRest {
			planner.zones[z] = health.Resume(m.State, m.RestMs, now)
		}
	}
	for _, w := range p.Links {
		planner.links[w.From][w.To] = health.Resume(w.State, w.RestMs, now)
	}
}

// SetLeading tells whether this voter leads, and the plan in force by its book.
func (planner *Planner) SetLeading(now float64, leads bool, p *statemachine.Plan) {
	if leads && !planner.leading {
		planner.leadingSince, planner.proposedNumber = now, 0
		clear(planner.loads)
		planner.outcomes = nil
		planner.restoreHealth(p, now)
	}
	planner.leading = leads
}

// Receive takes a pooler's word.
func (planner *Planner) Receive(now float64, from uint64, t *Report) {
	if t.Zone < planner.settings.Zones {
		planner.reports[reportKey{from, t.Part}] = reportEntry{now, *t}
	}
}

// Step looks at everything, and tells what to propose. now is Unix ms, by which orders end.
func (planner *Planner) Step(now float64, b *statemachine.StateMachine) (entries [][]byte) {
	maps.DeleteFunc(planner.reports, func(_ reportKey, t reportEntry) bool { return now-t.receivedAt > planner.settings.ReportLifetime })
	if !planner.leading {
		return nil
	}
	for z := range planner.zones {
		if o, ok := b.Order(z); ok && o.Until > 0 && now >= o.Until {
			entries = append(entries, statemachine.EncodeOrderEnd(&o))
		} else if ok {
			planner.zones[z].Order(now, o.State)
		} else {
			planner.zones[z].ClearOrder(now)
		}
	}
	if now-planner.leadingSince >= planner.settings.SettleTime {
		planner.sample(now, b)
	}
	if p := planner.nextPlan(now, b); p != nil {
		planner.proposedNumber, planner.proposedAt = p.Number, now
		entries = append(entries, statemachine.EncodePlan(p))
	}
	return entries
}

// nextPlan is the plan to propose, nil for none.
func (planner *Planner) nextPlan(now float64, b *statemachine.StateMachine) *statemachine.Plan {
	last := b.Plan
	no := uint64(0)
	if last != nil {
		no = last.Number
	}
	if planner.proposedNumber > no && now-planner.proposedAt < planner.settings.ProposalTimeout {
		return nil // it is on its way
	}
	p := &statemachine.Plan{Number: no + 1, Version: b.Version, ZonesHash: planner.settings.ZonesHash, Author: planner.settings.Name}
	for z := range planner.zones {
		p.Zones = append(p.Zones, statemachine.ZoneStatus{State: planner.zones[z].State, RestMs: planner.zones[z].RestMs})
	}
	for a := range planner.links {
		for b := range planner.links[a] {
			if w := &planner.links[a][b]; w.State != health.Serving && len(p.Links) < statemachine.MaxLinks {
				p.Links = append(p.Links, statemachine.LinkStatus{From: a, To: b, ZoneStatus: statemachine.ZoneStatus{State: w.State, RestMs: w.RestMs}})
			}
		}
	}
	p.Matrix = plan.IdentityMatrix(planner.settings.Zones)
	fits := last != nil && len(last.Matrix) == planner.settings.Zones
	if fits {
		p.Matrix = last.Matrix
	}
	if planner.snapshot.Target != nil && planner.leadingSince+planner.settings.SettleTime <= now {
		if planner.exactMatrix == nil || !fits || last.Author != planner.settings.Name || last.Number != planner.exactPlan {
			planner.exactMatrix = p.Matrix
		}
		planner.exactMatrix = planner.stepTowardsTarget(now, planner.exactMatrix, last)
		if planner.exactPlan = p.Number; len(planner.snapshot.Groups) > 0 {
			p.Matrix = planner.planSettings.Round(planner.exactMatrix, planner.snapshot.Groups, planner.poolerCounts())
		} else {
			p.Matrix = planner.exactMatrix
		}
		p.Unserved, p.MaxFill = planner.snapshot.Unserved, planner.planSettings.MaxFill(p.Matrix, planner.snapshot.Groups)
	} else if fits {
		p.Zones, p.Links, p.Unserved, p.MaxFill = last.Zones, last.Links, last.Unserved, last.MaxFill
	}
	if fits && last.SameTarget(p) && now-planner.lastProposal < planner.settings.RenewInterval {
		planner.exactPlan = last.Number
		return nil
	}
	planner.lastProposal = now
	return p
}

// smallDifference is a difference that no plan is made for.
const smallDifference = 0.03

// stepTowardsTarget goes from the matrix in force towards the one that is wanted.
func (planner *Planner) stepTowardsTarget(now float64, m plan.Matrix, last *statemachine.Plan) plan.Matrix {
	safe := planner.planSettings.Allowed(m, planner.snapshot.Groups) && planner.planSettings.MaxFill(m, planner.snapshot.Groups) <= 1
	far := 0.0
	for z := range m {
		for y := range m[z] {
			far = max(far, math.Abs(m[z][y]-planner.snapshot.Target[z][y]))
		}
	}
	edge := false // a share that comes to its end is gone there whole
	for z := range m {
		w := planner.snapshot.Target[z][z]
		edge = edge || (w == 1 || w == 0) && m[z][z] != w
	}
	if safe && (far <= smallDifference && !edge || now-planner.lastStep < planner.settings.StepInterval && last != nil) {
		return m
	}
	planner.lastStep = now
	paces := make([]plan.StepLimit, len(m))
	for z := range paces {
		paces[z] = plan.StepLimit{Out: planner.settings.OutwardShare, Return: planner.settings.ReturnShare}
		if s := &planner.snapshot.Observations[z]; planner.zones[z].State == health.Evacuated && !planner.zones[z].Ordered || planner.zones[z].State.Abandoned() && s.ServingShare < emptyZoneShare {
			paces[z].Out = 1
		}
	}
	return planner.planSettings.Step(m, planner.snapshot.Target, planner.snapshot.Groups, paces)
}
