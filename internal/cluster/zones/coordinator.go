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

// Log proposes entries to the replicated log. The log calls back by Apply, Snapshot, Restore and SetLeader.
type Log interface{ Propose(entry []byte) }

// Pooler is the pooler that a Coordinator works for.
type Pooler interface {
	// Sample returns what was observed since the last sample, which was taken ms ago.
	Sample(ms float64) ([]planner.Cell, []planner.Demand)
	// ApplyStatus sets the preferred zone and the price of crossing from now on.
	ApplyStatus(status follower.Status)
	// StorePlanNumber durably stores the number of a plan for the pooler's next process, and then calls done.
	StorePlanNumber(number uint64, done func())
}

// proposalChecks is how many times within a StepInterval a voter checks whether there is something to propose.
const proposalChecks = 4

// Coordinator is the part of package zones in one process. It implements module.Module and the state machine of the replicated log. Its
// methods are called on the event loop.
type Coordinator struct {
	settings  Settings
	transport module.Transport
	log       Log
	pooler    Pooler

	// Nil at a process that is not a voter.
	state   *statemachine.StateMachine
	planner *planner.Planner

	follower      *follower.Follower
	self          view.ID
	voters        []poolerAddress // without this process
	members       []poolerAddress // all poolers without this process, sorted by ID
	leader        string          // name; empty for none
	planAppliedAt float64         // when a plan was last applied while there was a leader; 0 for never
	announced     uint64          // Since of the plan that was last sent to all members
	nextReport    float64
	lastSample    float64
	nextStep      float64
	nextProposal  []float64 // when each order of the settings may be proposed again
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
	c := &Coordinator{
		settings: settings, transport: transport, log: log, pooler: pooler, follower: follower.New(followerSettings),
		lastSample: transport.Now(), nextProposal: make([]float64, len(settings.Orders)),
	}
	if slices.Contains(settings.Voters, settings.Name) {
		c.state = statemachine.New()
		c.state.Checks = settings.Checks
		c.planner = planner.New(plannerSettings)
	}
	return c
}

// State returns this voter's state machine, nil for a process that is not a voter.
func (c *Coordinator) State() *statemachine.StateMachine { return c.state }

// Planner returns this voter's planner, nil for a process that is not a voter.
func (c *Coordinator) Planner() *planner.Planner { return c.planner }

// Status returns the status in use, and the plan that this pooler follows or followed last, nil for none.
func (c *Coordinator) Status() (follower.Status, *statemachine.Plan) {
	plan, _ := c.follower.Plan()
	return c.status, plan
}

// Counts returns the counters.
func (c *Coordinator) Counts() Counts { return c.counts }

// Apply applies an entry of the log. A plan applied while no leader is known is not followed: an entry that a starting process finds in
// its log may be old.
func (c *Coordinator) Apply(index uint64, entry []byte) {
	if c.state == nil || !c.state.Apply(index, entry) {
		return
	}
	plan := c.state.Plan
	if c.leader == "" || plan == nil || len(entry) == 0 {
		return
	}
	c.planAppliedAt = c.transport.Now()
	c.handlePlan(plan, 0)
	if c.leader == c.settings.Name && plan.Since != c.announced {
		c.announced = plan.Since
		update := &PlanUpdate{PlanNumber: plan.Number, Plan: plan}
		for _, member := range c.members {
			c.transport.Send(member.addr, member.id, module.KindZones, update)
		}
	}
}

// Snapshot returns the encoded state.
func (c *Coordinator) Snapshot() []byte { return c.state.Snapshot() }

// Restore replaces the state by that of a snapshot.
func (c *Coordinator) Restore(b []byte) error {
	c.planAppliedAt = 0
	return c.state.Restore(b)
}

// SetLeader sets the name of the log's leader, as far as this process knows; empty for none.
func (c *Coordinator) SetLeader(name string) {
	c.leader = name
	if c.planner != nil {
		c.planner.SetLeading(c.transport.Now(), name != "" && name == c.settings.Name, c.state.Plan)
	}
}

// SetOrders replaces the orders of the settings.
func (c *Coordinator) SetOrders(orders []Order) {
	c.settings.Orders, c.nextProposal = orders, make([]float64, len(orders))
}

// ProposeOrder proposes an order, and reports false for an unknown zone. The state machine ignores an order whose number is not above that
// of the zone's newest order.
func (c *Coordinator) ProposeOrder(order Order) bool {
	zone := c.settings.Index(order.Zone)
	if zone < 0 {
		return false
	}
	entry := statemachine.Order{Number: order.Number, Zone: zone, Lifts: order.Lifts, State: order.State, Until: order.Until}
	c.log.Propose(statemachine.EncodeOrder(&entry))
	return true
}

// Kind implements module.Module.
func (c *Coordinator) Kind() view.Kind { return module.KindZones }

// Decode implements module.Module.
func (c *Coordinator) Decode(b []byte) (any, error) { return Decode(b) }

// UpdateMembers implements module.Module.
func (c *Coordinator) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	c.self, c.voters, c.members = self, c.voters[:0], c.members[:0]
	var zonePoolers []view.ID // of this process's zone
	for i := range all {
		record := &all[i]
		if record.ID != self && record.State > view.Suspect {
			continue
		}
		if record.Zone == c.settings.Zone {
			zonePoolers = append(zonePoolers, record.ID)
		}
		if record.ID == self {
			continue
		}
		address := poolerAddress{record.Addr, record.ID}
		c.members = append(c.members, address)
		if slices.Contains(c.settings.Voters, record.Name) {
			c.voters = append(c.voters, address)
		}
	}
	slices.SortFunc(c.members, func(a, b poolerAddress) int { return cmp.Compare(a.id, b.id) })
	slices.Sort(zonePoolers)
	if rank := slices.Index(zonePoolers, self); rank >= 0 {
		c.follower.SetRank(rank, len(zonePoolers))
	}
}

// Receive implements module.Module.
func (c *Coordinator) Receive(from view.ID, message any) {
	now := c.transport.Now()
	switch m := message.(type) {
	case *Report:
		if c.planner == nil {
			return
		}
		c.planner.Receive(now, uint64(from), &m.Report)
		if m.Part == 0 {
			c.sendPlan(from, m.PlanNumber)
		}
	case *PlanUpdate:
		if m.Plan != nil {
			c.handlePlan(m.Plan, m.AgeMs)
		} else {
			c.follower.HandleRenewal(now, m.PlanNumber, m.AgeMs)
		}
		c.updateStatus()
	}
}

// sendPlan sends a pooler the renewal of the plan in force. The plan itself is sent too unless it has the number known, which is that of
// the newest plan that the pooler has.
func (c *Coordinator) sendPlan(to view.ID, known uint64) {
	plan, age := c.state.Plan, c.transport.Now()-c.planAppliedAt
	if plan == nil || c.planAppliedAt == 0 || age >= c.settings.PlanLifetime {
		return
	}
	i := slices.IndexFunc(c.members, func(m poolerAddress) bool { return m.id == to })
	if i < 0 {
		return
	}
	update := &PlanUpdate{PlanNumber: plan.Number, AgeMs: age}
	if known != plan.Number {
		update.Plan = plan
	}
	c.transport.Send(c.members[i].addr, to, module.KindZones, update)
}

// handlePlan handles a plan that was in force age ms ago.
func (c *Coordinator) handlePlan(plan *statemachine.Plan, age float64) {
	c.storePlanNumber(c.follower.HandlePlan(c.transport.Now(), plan, age))
}

// storePlanNumber stores the number of a plan, after which the plan is followed, and then the next number that waits. 0 stores nothing.
func (c *Coordinator) storePlanNumber(number uint64) {
	if number == 0 {
		return
	}
	c.counts.Plans++
	c.pooler.StorePlanNumber(number, func() {
		next := c.follower.NumberStored(number)
		c.updateStatus()
		c.storePlanNumber(next)
	})
}

// Tick implements module.Module.
func (c *Coordinator) Tick() {
	now := c.transport.Now()
	if now >= c.nextReport {
		c.nextReport = now + c.settings.ReportInterval
		c.report(now)
	}
	if c.planner != nil && now >= c.nextStep {
		c.nextStep = now + c.settings.Planner.StepInterval/proposalChecks
		c.proposeOrders(now)
		for _, entry := range c.planner.Step(now, c.state) {
			c.log.Propose(entry)
		}
	}
	c.updateStatus()
}

// proposeOrders proposes, at the leader, the orders of the settings that are newer than those in the log.
func (c *Coordinator) proposeOrders(now float64) {
	if !c.planner.IsLeading() {
		return
	}
	for i, order := range c.settings.Orders {
		zone := c.settings.Index(order.Zone)
		isNew := zone >= 0 && order.Number > c.state.NewestOrder(zone)
		if isNew && now >= c.nextProposal[i] {
			c.nextProposal[i] = now + c.settings.Planner.ProposalTimeout
			c.ProposeOrder(order)
		}
	}
}

// report sends what this pooler observed since its last report to the voters.
func (c *Coordinator) report(now float64) {
	elapsed := now - c.lastSample
	c.lastSample = now
	cells, demands := c.pooler.Sample(elapsed)
	zone := c.settings.Index(c.settings.Zone)
	if elapsed > 0 {
		c.recordLocalAttempts(now, zone, cells)
	}
	for _, part := range splitReport(&planner.Report{Zone: max(0, zone), Cells: cells, Demands: demands}) {
		report := &Report{PlanNumber: c.follower.NewestPlan(), Report: part}
		if c.planner != nil {
			c.planner.Receive(now, uint64(c.self), &report.Report)
		}
		for _, voter := range c.voters {
			c.transport.Send(voter.addr, voter.id, module.KindZones, report)
		}
	}
}

func (c *Coordinator) recordLocalAttempts(now float64, zone int, cells []planner.Cell) {
	attempts, lost := 0.0, 0.0
	for i := range cells {
		if cells[i].Zone == zone {
			attempts += cells[i].Attempts
			lost += cells[i].Lost
		}
	}
	c.follower.RecordLocalAttempts(now, attempts, lost)
}

// updateStatus passes the follower's status to the pooler if it has changed.
func (c *Coordinator) updateStatus() {
	status := c.follower.Status(c.transport.Now())
	if c.statusApplied && status == c.status {
		return
	}
	if c.statusApplied && status.Zone != c.status.Zone {
		c.counts.Shifts++
	}
	if status.Reason == follower.Fallback && c.status.Reason != follower.Fallback {
		c.counts.Fallbacks++
	}
	c.status = status
	c.statusApplied = true
	c.pooler.ApplyStatus(status)
}

// Leave implements module.Module. It sends nothing: the reports of this process expire.
func (c *Coordinator) Leave() {}
