package zones

import (
	"cmp"
	"slices"

	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Log is the replicated log, as far as entries are proposed. Apply, Snapshot, Restore and SetLeader bring what comes of it.
type Log interface{ Propose(entry []byte) }

// Pooler is the pooler that a Coordinator works for.
type Pooler interface {
	// Sample returns what was observed since the last sample, ms ago.
	Sample(ms float64) ([]planner.Cell, []planner.Demand)
	// ApplyStatus is called with what the pooler is to do from now on.
	ApplyStatus(status follower.Status)
	// StorePlanNumber stores a number for the pooler's next process, and calls done.
	StorePlanNumber(number uint64, done func())
}

// proposalChecks is how often, in a step of the planner, a voter looks for something to propose.
const proposalChecks = 4

// Coordinator is one process's. It implements module.Module and the state machine of the replicated log. Its methods are called on the
// event loop.
type Coordinator struct {
	settings  Settings
	transport module.Transport
	log       Log
	pooler    Pooler

	// Of a voter, else nil.
	state   *statemachine.StateMachine
	planner *planner.Planner

	follower      *follower.Follower
	self          view.ID
	voters        []poolerAddress // other than this process
	members       []poolerAddress // the same, by ID
	leader        string          // name; empty for none
	planAppliedAt float64         // of the plan in force, while there was a leader; 0 for never
	announced     uint64          // Since of the plan that was sent to all
	nextReport    float64
	lastSample    float64
	nextStep      float64
	nextProposal  []float64 // of each order of the settings
	status        follower.Status
	statusApplied bool
	counts        Counts
}

// Counts are counters since the start.
type Counts struct {
	Plans, Shifts, Fallbacks uint64
}

type poolerAddress struct {
	addr string
	id   view.ID
}

// New returns the Coordinator of a process.
func New(settings Settings, transport module.Transport, log Log, pooler Pooler) *Coordinator {
	plannerSettings, followerSettings := settings.derived()
	z := &Coordinator{
		settings: settings, transport: transport, log: log, pooler: pooler, follower: follower.New(followerSettings),
		lastSample: transport.Now(), nextProposal: make([]float64, len(settings.Orders)),
	}
	if slices.Contains(settings.Voters, settings.Name) {
		z.state = statemachine.New()
		z.state.Checks = settings.Checks
		z.planner = planner.New(plannerSettings)
	}
	return z
}

// State returns this voter's state machine, nil for a process that is no voter.
func (z *Coordinator) State() *statemachine.StateMachine { return z.state }

// Planner returns this voter's planner, nil for a process that is no voter.
func (z *Coordinator) Planner() *planner.Planner { return z.planner }

// Status returns what this pooler does, and the plan that it follows or followed last, nil for none.
func (z *Coordinator) Status() (follower.Status, *statemachine.Plan) {
	plan, _ := z.follower.Plan()
	return z.status, plan
}

// Counts returns the counters.
func (z *Coordinator) Counts() Counts { return z.counts }

// Apply applies an entry of the log. Without a leader its plan is not followed: what a process finds in its log when it starts may be old.
func (z *Coordinator) Apply(index uint64, entry []byte) {
	if z.state == nil || !z.state.Apply(index, entry) {
		return
	}
	plan := z.state.Plan
	if z.leader == "" || plan == nil || len(entry) == 0 {
		return
	}
	z.planAppliedAt = z.transport.Now()
	z.handlePlan(plan, 0)
	if z.leader == z.settings.Name && plan.Since != z.announced {
		z.announced = plan.Since
		update := &PlanUpdate{PlanNumber: plan.Number, Plan: plan}
		for _, member := range z.members {
			z.transport.Send(member.addr, member.id, module.KindZones, update)
		}
	}
}

// Snapshot returns the encoded state.
func (z *Coordinator) Snapshot() []byte { return z.state.Snapshot() }

// Restore replaces the state by that of a snapshot.
func (z *Coordinator) Restore(b []byte) error {
	z.planAppliedAt = 0
	return z.state.Restore(b)
}

// SetLeader sets the name of the log's leader, as far as this process knows; empty for none.
func (z *Coordinator) SetLeader(name string) {
	z.leader = name
	if z.planner != nil {
		z.planner.SetLeading(z.transport.Now(), name != "" && name == z.settings.Name, z.state.Plan)
	}
}

// SetOrders replaces the orders of the settings.
func (z *Coordinator) SetOrders(orders []Order) {
	z.settings.Orders, z.nextProposal = orders, make([]float64, len(orders))
}

// ProposeOrder proposes an order. It reports false for an unknown zone. An order whose number is taken will have no effect.
func (z *Coordinator) ProposeOrder(order Order) bool {
	zone := z.settings.Index(order.Zone)
	if zone < 0 {
		return false
	}
	entry := statemachine.Order{Number: order.Number, Zone: zone, Lifts: order.Lifts, State: order.State, Until: order.Until}
	z.log.Propose(statemachine.EncodeOrder(&entry))
	return true
}

// Kind implements module.Module.
func (z *Coordinator) Kind() view.Kind { return module.KindZones }

// Decode implements module.Module.
func (z *Coordinator) Decode(b []byte) (any, error) { return Decode(b) }

// UpdateMembers implements module.Module.
func (z *Coordinator) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	z.self, z.voters, z.members = self, z.voters[:0], z.members[:0]
	var zonePoolers []view.ID // of this process's zone
	for i := range all {
		record := &all[i]
		if record.ID != self && record.State > view.Suspect {
			continue
		}
		if record.Zone == z.settings.Zone {
			zonePoolers = append(zonePoolers, record.ID)
		}
		if record.ID == self {
			continue
		}
		address := poolerAddress{record.Addr, record.ID}
		z.members = append(z.members, address)
		if slices.Contains(z.settings.Voters, record.Name) {
			z.voters = append(z.voters, address)
		}
	}
	slices.SortFunc(z.members, func(a, b poolerAddress) int { return cmp.Compare(a.id, b.id) })
	slices.Sort(zonePoolers)
	if rank := slices.Index(zonePoolers, self); rank >= 0 {
		z.follower.SetRank(rank, len(zonePoolers))
	}
}

// Receive implements module.Module.
func (z *Coordinator) Receive(from view.ID, message any) {
	now := z.transport.Now()
	switch m := message.(type) {
	case *Report:
		if z.planner == nil {
			return
		}
		z.planner.Receive(now, uint64(from), &m.Report)
		if m.Part == 0 {
			z.sendPlan(from, m.PlanNumber)
		}
	case *PlanUpdate:
		if m.Plan != nil {
			z.handlePlan(m.Plan, m.AgeMs)
		} else {
			z.follower.HandleRenewal(now, m.PlanNumber, m.AgeMs)
		}
		z.updateStatus()
	}
}

// sendPlan sends a pooler the news that a plan is in force, and the plan itself unless the pooler has its number.
func (z *Coordinator) sendPlan(to view.ID, known uint64) {
	plan, age := z.state.Plan, z.transport.Now()-z.planAppliedAt
	if plan == nil || z.planAppliedAt == 0 || age >= z.settings.PlanLifetime {
		return
	}
	i := slices.IndexFunc(z.members, func(m poolerAddress) bool { return m.id == to })
	if i < 0 {
		return
	}
	update := &PlanUpdate{PlanNumber: plan.Number, AgeMs: age}
	if known != plan.Number {
		update.Plan = plan
	}
	z.transport.Send(z.members[i].addr, to, module.KindZones, update)
}

// handlePlan takes a plan that was in force age ms ago.
func (z *Coordinator) handlePlan(plan *statemachine.Plan, age float64) {
	z.storePlanNumber(z.follower.HandlePlan(z.transport.Now(), plan, age))
}

// storePlanNumber stores the number of a plan before the plan is followed, and then the next one; 0 for none.
func (z *Coordinator) storePlanNumber(number uint64) {
	if number == 0 {
		return
	}
	z.counts.Plans++
	z.pooler.StorePlanNumber(number, func() {
		next := z.follower.NumberStored(number)
		z.updateStatus()
		z.storePlanNumber(next)
	})
}

// Tick implements module.Module.
func (z *Coordinator) Tick() {
	now := z.transport.Now()
	if now >= z.nextReport {
		z.nextReport = now + z.settings.ReportInterval
		z.report(now)
	}
	if z.planner != nil && now >= z.nextStep {
		z.nextStep = now + z.settings.Planner.StepInterval/proposalChecks
		z.proposeOrders(now)
		for _, entry := range z.planner.Step(now, z.state) {
			z.log.Propose(entry)
		}
	}
	z.updateStatus()
}

// proposeOrders proposes the orders of the settings that are newer than those in the log, as the leader.
func (z *Coordinator) proposeOrders(now float64) {
	if !z.planner.IsLeading() {
		return
	}
	for i, order := range z.settings.Orders {
		zone := z.settings.Index(order.Zone)
		isNew := zone >= 0 && order.Number > z.state.NewestOrder(zone)
		if isNew && now >= z.nextProposal[i] {
			z.nextProposal[i] = now + z.settings.Planner.ProposalTimeout
			z.ProposeOrder(order)
		}
	}
}

// report sends the voters what this pooler observed since its last report.
func (z *Coordinator) report(now float64) {
	elapsed := now - z.lastSample
	z.lastSample = now
	cells, demands := z.pooler.Sample(elapsed)
	zone := z.settings.Index(z.settings.Zone)
	if elapsed > 0 {
		z.recordLocalAttempts(now, zone, cells)
	}
	for _, part := range splitReport(&planner.Report{Zone: max(0, zone), Cells: cells, Demands: demands}) {
		report := &Report{PlanNumber: z.follower.NewestPlan(), Report: part}
		if z.planner != nil {
			z.planner.Receive(now, uint64(z.self), &report.Report)
		}
		for _, voter := range z.voters {
			z.transport.Send(voter.addr, voter.id, module.KindZones, report)
		}
	}
}

func (z *Coordinator) recordLocalAttempts(now float64, zone int, cells []planner.Cell) {
	attempts, lost := 0.0, 0.0
	for i := range cells {
		if cells[i].Zone == zone {
			attempts += cells[i].Attempts
			lost += cells[i].Lost
		}
	}
	z.follower.RecordLocalAttempts(now, attempts, lost)
}

// updateStatus tells the pooler what to do where that has changed.
func (z *Coordinator) updateStatus() {
	status := z.follower.Status(z.transport.Now())
	if z.statusApplied && status == z.status {
		return
	}
	if z.statusApplied && status.Zone != z.status.Zone {
		z.counts.Shifts++
	}
	if status.Reason == follower.Fallback && z.status.Reason != follower.Fallback {
		z.counts.Fallbacks++
	}
	z.status = status
	z.statusApplied = true
	z.pooler.ApplyStatus(status)
}

// Leave implements module.Module. What this process reported expires by itself.
func (z *Coordinator) Leave() {}
