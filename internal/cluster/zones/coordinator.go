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

// Log is where entries are proposed; Apply, Lead and Follow bring what comes of it.
type Log interface{ Propose(entry []byte) }

// Pooler is the one that it is for.
type Pooler interface {
	Sample(ms float64) ([]planner.Cell, []planner.Demand) // what was seen since the last look, that long ago
	ApplyStatus(s follower.Status)                        // what to do from now on
	StorePlanNumber(no uint64, done func())               // has a number outlive the process
}

// Coordinator is a process's.
type Coordinator struct {
	settings  Settings
	transport module.Transport
	log       Log
	pooler    Pooler

	state         *statemachine.StateMachine
	planner       *planner.Planner
	follower      *follower.Follower
	isVoter       bool
	self          view.ID
	voters        []poolerAddress
	members       []poolerAddress
	leader        string
	planAppliedAt float64 // when the plan in force was, while somebody led; 0 for never
	announced     uint64  // Since of the plan that was told to all
	nextReport    float64
	lastSample    float64
	nextStep      float64
	nextProposal  []float64 // orders, by their place in the settings
	status        follower.Status
	statusApplied bool
	counts        Counts
}

// Counts are since the start.
type Counts struct {
	Plans, Shifts, Fallbacks uint64
}

type poolerAddress struct {
	addr string
	id   view.ID
}

// New makes a process's.
func New(set Settings, net module.Transport, log Log, p Pooler) *Coordinator {
	c, f := set.derived()
	z := &Coordinator{settings: set, transport: net, log: log, pooler: p, follower: follower.New(f), isVoter: slices.Contains(set.Voters, set.Name), lastSample: net.Now(), nextProposal: make([]float64, len(set.Orders))}
	if z.isVoter {
		z.state, z.planner = statemachine.New(), planner.New(c)
		z.state.Checks = set.Checks
	}
	return z
}

// State is this voter's, nil at others; Chief too.
func (z *Coordinator) State() *statemachine.StateMachine { return z.state }
func (z *Coordinator) Planner() *planner.Planner         { return z.planner }

// Status is what this pooler does, and the plan that it goes by, nil for none.
func (z *Coordinator) Status() (follower.Status, *statemachine.Plan) {
	p, _ := z.follower.Plan()
	return z.status, p
}

// Counts are the counts so far.
func (z *Coordinator) Counts() Counts { return z.counts }

// Apply is agreed's Machine's.
func (z *Coordinator) Apply(index uint64, entry []byte) {
	if z.state == nil || !z.state.Apply(index, entry) {
		return
	}
	p := z.state.Plan
	if z.leader == "" || p == nil || len(entry) == 0 { // what a start finds on the disk may be long ago
		return
	}
	z.planAppliedAt = z.transport.Now()
	z.handlePlan(p, 0)
	if z.leader == z.settings.Name && p.Since != z.announced {
		z.announced = p.Since
		w := &PlanUpdate{PlanNumber: p.Number, Plan: p}
		for _, m := range z.members {
			z.transport.Send(m.addr, m.id, module.KindZones, w)
		}
	}
}

// Snapshot is agreed's Machine's.
func (z *Coordinator) Snapshot() []byte { return z.state.Snapshot() }

// Restore is agreed's Machine's.
func (z *Coordinator) Restore(b []byte) error {
	z.planAppliedAt = 0
	return z.state.Restore(b)
}

// SetLeader tells a voter who leads, as far as it knows; empty for nobody.
func (z *Coordinator) SetLeader(name string) {
	if z.leader = name; z.planner != nil {
		z.planner.SetLeading(z.transport.Now(), name != "" && name == z.settings.Name, z.state.Plan)
	}
}

// SetOrders takes operators' orders as the settings have them now.
func (z *Coordinator) SetOrders(orders []Order) {
	z.settings.Orders, z.nextProposal = orders, make([]float64, len(orders))
}

// ProposeOrder has a zone ordered, from this pooler on; a number that others had before does nothing.
func (z *Coordinator) ProposeOrder(o Order) bool {
	at := z.settings.Index(o.Zone)
	if at < 0 {
		return false
	}
	z.log.Propose(statemachine.EncodeOrder(&statemachine.Order{Number: o.Number, Zone: at, Lifts: o.Lifts, State: o.State, Until: o.Until}))
	return true
}

// Kind is part.Part's.
func (z *Coordinator) Kind() view.Kind { return module.KindZones }

// Decode is part.Part's.
func (z *Coordinator) Decode(b []byte) (any, error) { return Decode(b) }

// UpdateMembers is part.Part's.
func (z *Coordinator) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	z.self, z.voters, z.members = self, z.voters[:0], z.members[:0]
	var near []view.ID
	for i := range all {
		r := &all[i]
		if r.ID != self && r.State > view.Suspect {
			continue
		}
		if r.Zone == z.settings.Zone {
			near = append(near, r.ID)
		}
		if r.ID == self {
			continue
		}
		z.members = append(z.members, poolerAddress{r.Addr, r.ID})
		if slices.Contains(z.settings.Voters, r.Name) {
			z.voters = append(z.voters, poolerAddress{r.Addr, r.ID})
		}
	}
	slices.SortFunc(z.members, func(a, b poolerAddress) int { return cmp.Compare(a.id, b.id) })
	slices.Sort(near)
	if i := slices.Index(near, self); i >= 0 {
		z.follower.SetRank(i, len(near))
	}
}

// Receive is part.Part's.
func (z *Coordinator) Receive(from view.ID, m any) {
	now := z.transport.Now()
	switch m := m.(type) {
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

// sendPlan tells a pooler of the plan in force: whole where it does not have it yet.
func (z *Coordinator) sendPlan(to view.ID, has uint64) {
	p, age := z.state.Plan, z.transport.Now()-z.planAppliedAt
	if p == nil || z.planAppliedAt == 0 || age >= z.settings.PlanLifetime {
		return
	}
	i := slices.IndexFunc(z.members, func(m poolerAddress) bool { return m.id == to })
	if i < 0 {
		return
	}
	w := &PlanUpdate{PlanNumber: p.Number, AgeMs: age}
	if has != p.Number {
		w.Plan = p
	}
	z.transport.Send(z.members[i].addr, to, module.KindZones, w)
}

func (z *Coordinator) handlePlan(p *statemachine.Plan, age float64) {
	z.storePlanNumber(z.follower.HandlePlan(z.transport.Now(), p, age))
}

// storePlanNumber has a plan's number kept before it is followed, one after the other; 0 for none.
func (z *Coordinator) storePlanNumber(no uint64) {
	if no == 0 {
		return
	}
	z.counts.Plans++
	z.pooler.StorePlanNumber(no, func() {
		next := z.follower.NumberStored(no)
		z.updateStatus()
		z.storePlanNumber(next)
	})
}

// Tick is part.Part's.
func (z *Coordinator) Tick() {
	now := z.transport.Now()
	if now >= z.nextReport {
		z.nextReport = now + z.settings.ReportInterval
		z.report(now)
	}
	if z.planner != nil && now >= z.nextStep {
		z.nextStep = now + z.settings.Planner.StepInterval/4
		z.proposeOrders(now)
		for _, e := range z.planner.Step(now, z.state) {
			z.log.Propose(e)
		}
	}
	z.updateStatus()
}

// proposeOrders has the settings' orders be entries, once each.
func (z *Coordinator) proposeOrders(now float64) {
	if !z.planner.IsLeading() {
		return
	}
	for i, o := range z.settings.Orders {
		at := z.settings.Index(o.Zone)
		if at >= 0 && o.Number > z.state.NewestOrder(at) && now >= z.nextProposal[i] {
			z.nextProposal[i] = now + z.settings.Planner.ProposalTimeout
			z.ProposeOrder(o)
		}
	}
}

// report tells the voters what this pooler saw.
func (z *Coordinator) report(now float64) {
	cells, asks := z.pooler.Sample(now - z.lastSample)
	seconds := (now - z.lastSample) / 1000
	z.lastSample = now
	zone := z.settings.Index(z.settings.Zone)
	asked, lost := 0.0, 0.0
	for i := range cells {
		if cells[i].Zone == zone {
			asked, lost = asked+cells[i].Attempts, lost+cells[i].Lost
		}
	}
	if seconds > 0 {
		z.follower.RecordLocalAttempts(now, asked, lost)
	}
	for _, t := range splitReport(&planner.Report{Zone: max(0, zone), Cells: cells, Demands: asks}) {
		w := &Report{PlanNumber: z.follower.NewestPlan(), Report: t}
		if z.planner != nil {
			z.planner.Receive(now, uint64(z.self), &w.Report)
		}
		for _, v := range z.voters {
			z.transport.Send(v.addr, v.id, module.KindZones, w)
		}
	}
}

// updateStatus has the pooler do what is to be done now.
func (z *Coordinator) updateStatus() {
	s := z.follower.Status(z.transport.Now())
	if z.statusApplied && s == z.status {
		return
	}
	if z.statusApplied && s.Zone != z.status.Zone {
		z.counts.Shifts++
	}
	if s.Reason == follower.Fallback && z.status.Reason != follower.Fallback {
		z.counts.Fallbacks++
	}
	z.status, z.statusApplied = s, true
	z.pooler.ApplyStatus(s)
}

// Leave is part.Part's: what it told grows stale by itself.
func (z *Coordinator) Leave() {}
