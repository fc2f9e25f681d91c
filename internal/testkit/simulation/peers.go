package simulation

import (
	"fmt"
	"math/rand/v2"

	"beechgrade/internal/cluster/module"
	outlieradapter "beechgrade/internal/cluster/outlier/adapter"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/netfault"
	"beechgrade/internal/testkit/scenario"
)

// peerFleet holds what connects the poolers as peers: the links between them, the traffic counts, and the checker of their views.
type peerFleet struct {
	sim   *Simulation
	net   *netfault.Net
	rng   *rand.Rand
	check *checker.ViewChecker

	packets, bytes              uint64
	limitMessages, limitBytes   uint64 // of fleet-wide limits
	moduleMessages, moduleBytes uint64 // of modules
	exchanges                   uint64
	streamed                    uint64
	ratesFrom                   float64 // start of the time over which rates are computed
}

// rateWarmUpMs is the time after which the traffic counts for rates restart, in runs of more than twice this time.
const rateWarmUpMs = 40000

const samplingIntervalMs = 250 // between two samples of the checkers

// Views summarizes the traffic and the findings about the poolers' views.
type Views struct {
	Packets          float64   `json:"packets_a_second_of_a_pooler"`
	Bytes            float64   `json:"bytes_a_second_of_a_pooler"`
	StreamedBytes    float64   `json:"bytes_a_second_of_full_exchanges"`
	Exchanges        uint64    `json:"full_exchanges"`
	DetectionTimes   []float64 `json:"detected_ms,omitempty"`
	SettleTimes      []float64 `json:"settled_ms,omitempty"`
	FalseAccusations int       `json:"accused_wrongly"`
	FalseFailures    int       `json:"failed_wrongly"`
	ModuleMessages   float64   `json:"parts_datagrams_a_second_of_a_pooler,omitempty"`
	ModuleBytes      float64   `json:"parts_bytes_a_second_of_a_pooler,omitempty"`
}

// ViewConfig returns the bounds of the checker's rules on views for a scenario, by the formulas of package view. f is the number of
// simultaneous failures.
func ViewConfig(s *scenario.Script, f int) checker.ViewConfig {
	v, delay, lossy := s.Peers.View, max(s.NetworkDelay[1], s.SiteDelay[1]), false
	for i := range s.Faults {
		if x := &s.Faults[i]; x.OnPoolerLinks() {
			lossy = lossy || x.Link.LossRate > 0
			holdMs := 0.0
			if x.Link.DuplicateRate > 0 || x.Link.ReorderRate > 0 {
				holdMs = netfault.MaxHoldMs
			}
			delay = max(delay, s.NetworkDelay[1]+x.Link.DelayMs+holdMs)
		}
	}
	n := s.Poolers
	return checker.ViewConfig{
		DetectMs:     func(f int) float64 { return v.DetectionBound(n, f, delay) },
		SettleMs:     v.ConvergenceBound(n, f, delay, lossy),
		JoinMs:       v.JoinBound(n, delay),
		SpreadMs:     v.PropagationBound(n, delay),
		CountHoldMs:  v.SendingTimeout,
		SelfDetectMs: v.IsolationBound(delay),
	}
}

func (sim *Simulation) newPeerFleet() *peerFleet {
	s := sim.script
	f := &peerFleet{sim: sim, net: netfault.New(s.Poolers), rng: rand.New(rand.NewPCG(sim.options.Seed, 5))}
	f.check = checker.NewViewChecker(ViewConfig(s, max(1, s.Poolers/2)), s.Poolers, f.net.Cut)
	f.check.Exact = true
	var sample func()
	sample = func() {
		f.check.Sample(sim.sched.now)
		if sim.sched.now <= startTimeMs+s.Clients.Seconds*1000 {
			sim.blackouts.Sample(sim.sched.now, groundTruth{sim})
		}
		sim.sched.After(samplingIntervalMs, model.Func(sample), 0)
	}
	sim.sched.After(samplingIntervalMs, model.Func(sample), 0)
	f.ratesFrom = startTimeMs
	if s.Clients.Seconds*1000 > 2*rateWarmUpMs {
		sim.sched.After(rateWarmUpMs, model.Func(func() {
			f.packets, f.bytes, f.streamed, f.exchanges, f.limitMessages, f.limitBytes, f.moduleMessages, f.moduleBytes, f.ratesFrom = 0, 0, 0, 0, 0, 0, 0, 0, sim.sched.now
		}), 0)
	}
	return f
}

func (f *peerFleet) result() *Views {
	seconds := (f.sim.sched.now - f.ratesFrom) / 1000 * float64(len(f.sim.poolers))
	return &Views{
		Packets:          float64(f.packets) / seconds,
		Bytes:            float64(f.bytes) / seconds,
		StreamedBytes:    float64(f.streamed) / seconds,
		Exchanges:        f.exchanges,
		DetectionTimes:   f.check.DetectionTimes,
		SettleTimes:      f.check.SettleTimes,
		FalseAccusations: f.check.FalseAccusations,
		FalseFailures:    f.check.FalseFailures,
		ModuleMessages:   float64(f.moduleMessages) / seconds,
		ModuleBytes:      float64(f.moduleBytes) / seconds,
	}
}

// peer is a process of a pooler as a peer: its view, its fleet-wide limits and its modules.
type peer struct {
	pooler       *pooler
	fleet        *peerFleet
	incarnation  uint32
	view         *view.View
	actions      []view.Action
	sendingCount int // number of poolers that the view counts as sending
	lastID       view.ID

	limits   *limitsClient // nil if there are no fleet-wide limits
	modules  []module.Module
	overload *adapter.Adapter        // nil if poolers do not handle overload jointly
	outliers *outlieradapter.Adapter // nil if poolers do not share outlier detection
}

// join starts the view, the limits and the modules of a process.
func (p *pooler) join() {
	f := p.sim.fleet
	set := p.sim.script.Peers.View
	set.ExpectedPoolers, set.RandomSeed = p.sim.script.Poolers, p.sim.options.Seed*31+uint64(p.no)
	for i := range p.sim.script.Peers.Seeds {
		set.SeedAddresses = append(set.SeedAddresses, p.sim.poolerName(i))
	}
	id := view.NewID(p.sim.sched.now, uint64(p.no)*131+uint64(p.incarnation))
	if m := p.sim.options.Mutant; m != nil {
		if m.ViewSettings != nil {
			m.ViewSettings(&set)
		}
		if m.ReusesID {
			id = view.NewID(startTimeMs, uint64(p.no))
		}
	}
	site := "room"
	if n := len(p.sim.script.Sites); n > 0 {
		site = p.sim.script.Sites[p.no%n]
	}
	x := &peer{pooler: p, fleet: f, incarnation: p.incarnation}
	x.view = view.New(set, view.Record{ID: id, Name: p.name, Addr: p.name, Zone: site}, p.sim.sched.now)
	x.view.CheckInvariants(p.sim.checks, invariantInterval)
	p.peer = x
	f.check.ProcessStarted(p.sim.sched.now, p.no, uint64(id))
	x.startLimits()
	for _, join := range p.sim.moduleMakers() {
		x.modules = append(x.modules, join(Host{x})...)
	}
	x.updateModules()
	x.tick()
}

func (sim *Simulation) poolerName(i int) string { return fmt.Sprintf("pooler-%d", i) }

func (x *peer) tick() {
	x.handle(view.Tick{})
	if x.limits != nil {
		x.limits.handle(quota.Tick{})
	}
	for _, m := range x.modules {
		m.Tick()
	}
	processLoop{x.pooler, x.incarnation}.At(x.view.NextTick(), x.tick)
}

// handle passes an event to the view and performs its actions.
func (x *peer) handle(ev view.Event) {
	sim := x.pooler.sim
	x.reportAccusations(ev)
	defer x.fleet.check.MessageProcessed(x.pooler.no)
	if m := sim.options.Mutant; m != nil && m.ViewEvent != nil && !m.ViewEvent(x, ev) {
		return
	}
	x.actions = x.view.Handle(sim.sched.now, ev, x.actions[:0])
	x.perform()
}

// reportAccusations tells the checker which processes a message calls suspect or failed.
func (x *peer) reportAccusations(ev view.Event) {
	var records []view.Record
	switch ev := ev.(type) {
	case view.Received:
		records = ev.Message.Records
	case view.ExchangeCompleted:
		records = ev.Records
	}
	for i := range records {
		if r := &records[i]; r.State == view.Suspect || r.State == view.Failed {
			x.fleet.check.AccusationReceived(x.pooler.no, uint64(r.ID))
		}
	}
}

// perform performs the view's actions and passes changes of the members to the core, the limits and the modules.
func (x *peer) perform() {
	sim := x.pooler.sim
	changed, self := x.limits != nil && x.limits.id != x.view.Self().ID, x.view.Self()
	if self.ID != x.lastID {
		x.lastID, changed = self.ID, true
	}
	for i := range x.actions {
		switch a := &x.actions[i]; a.Kind {
		case view.Send:
			x.send(a.Addr, a.Message)
		case view.StartExchange:
			x.exchange(a.Addr)
		case view.RecordChanged:
			x.fleet.check.ReportState(sim.sched.now, x.pooler.no, uint64(a.Record.ID), int(a.Record.State), a.Record.Incarnation)
			sim.sched.mix(uint64(a.Record.ID), uint64(x.pooler.no)<<8|uint64(a.Record.State))
			changed = true
		}
	}
	if n := x.view.Counts().Sending; n != x.sendingCount {
		x.sendingCount = n
		x.pooler.core.SetPeers(n)
		x.fleet.check.ReportCount(sim.sched.now, x.pooler.no, n)
		changed = true
	}
	if changed && x.limits != nil {
		x.limits.updateMembers()
	}
	if changed {
		x.updateModules()
	}
}

// poolerAt returns the pooler at an address, nil for none.
func (f *peerFleet) poolerAt(addr string) *pooler {
	for _, p := range f.sim.poolers {
		if p.name == addr {
			return p
		}
	}
	return nil
}

const datagramHeaderBytes = 60 // assumed size of a datagram without its records

// send delivers a datagram of the view, subject to the faults of the link.
func (x *peer) send(addr string, m *view.Message) {
	f, sim := x.fleet, x.pooler.sim
	to := f.poolerAt(addr)
	if to == nil || to == x.pooler {
		return
	}
	f.packets++
	f.bytes += datagramHeaderBytes
	for i := range m.Records {
		f.bytes += uint64(m.Records[i].Size())
	}
	for _, extraMs := range f.net.CopyDelays(x.pooler.no, to.no, f.rng) {
		sim.sched.After(sim.poolerLinkDelay(x.pooler, to)+extraMs, model.Func(func() {
			if y := to.peer; y != nil && to.up {
				to.whenRunning(y.incarnation, func() { y.handle(view.Received{Message: m}) })
			}
		}), 0)
	}
}

// exchange performs a full exchange of records on a stream. A stream loses nothing, but cannot be opened on a cut link.
func (x *peer) exchange(addr string) {
	f, sim := x.fleet, x.pooler.sim
	to := f.poolerAt(addr)
	if to == nil || to == x.pooler || f.net.Cut(x.pooler.no, to.no) || f.net.Cut(to.no, x.pooler.no) {
		return
	}
	f.exchanges++
	own := x.view.Records()
	for i := range own {
		f.streamed += 2 * uint64(own[i].Size()) // in both directions
	}
	sim.sched.After(2*sim.poolerLinkDelay(x.pooler, to)+2*f.net.ExtraDelayMs(x.pooler.no, to.no), model.Func(func() {
		y := to.peer
		if y == nil || !to.up || f.net.Cut(x.pooler.no, to.no) {
			return
		}
		to.whenRunning(y.incarnation, func() {
			theirs := y.view.Records()
			y.handle(view.ExchangeCompleted{Records: own})
			if f.net.Cut(to.no, x.pooler.no) {
				return
			}
			sim.sched.After(sim.poolerLinkDelay(x.pooler, to)+f.net.ExtraDelayMs(to.no, x.pooler.no), model.Func(func() {
				if x.pooler.up {
					x.pooler.whenRunning(x.incarnation, func() { x.handle(view.ExchangeCompleted{Records: theirs}) })
				}
			}), 0)
		})
	}), 0)
}

// poolerLinkDelay draws the delay of a message between two poolers.
func (sim *Simulation) poolerLinkDelay(a, b *pooler) float64 {
	if n := len(sim.script.Sites); n > 0 {
		return sim.script.DelayBetween(a.no%n, b.no%n).Draw(sim.fleet.rng)
	}
	return sim.script.NetworkDelay.Draw(sim.fleet.rng)
}
