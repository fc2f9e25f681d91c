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

// fleetOf is the poolers as peers: the ways between them, and the checker of their views.
type fleetOf struct {
	e     *Emulation
	net   *netfault.Net
	rng   *rand.Rand
	check *checker.ViewChecker

	packets, bytes  uint64
	lent, lentBytes uint64 // about limits
	told, toldBytes uint64 // by parts
	trades          uint64
	streamed        uint64
	from            float64 // rates count from then on
}

// settledMs is when a fleet that started at once is taken for settled, for rates.
const settledMs = 40000

const lookMs = 250 // between two looks of the checker

// Views is what came of the poolers' views.
type Views struct {
	Packets  float64   `json:"packets_a_second_of_a_pooler"`
	Bytes    float64   `json:"bytes_a_second_of_a_pooler"`
	Streamed float64   `json:"bytes_a_second_of_full_exchanges"`
	Trades   uint64    `json:"full_exchanges"`
	Detected []float64 `json:"detected_ms,omitempty"`
	Settled  []float64 `json:"settled_ms,omitempty"`
	Accused  int       `json:"accused_wrongly"`
	Wrong    int       `json:"failed_wrongly"`
	Told     float64   `json:"parts_datagrams_a_second_of_a_pooler,omitempty"`
	ToldSize float64   `json:"parts_bytes_a_second_of_a_pooler,omitempty"`
}

// Bounds are those of a scenario's views, by the formulas of the view's page; f is how many may be called failed at once.
func Bounds(s *scenario.Script, f int) checker.ViewConfig {
	v, delay, lossy := s.Peers.View, max(s.Way[1], s.Cross[1]), false
	for i := range s.Faults {
		if x := &s.Faults[i]; x.OfLinks() {
			lossy = lossy || x.Link.Lose > 0
			held := 0.0
			if x.Link.Duplicate > 0 || x.Link.Reorder > 0 {
				held = netfault.HeldMs
			}
			delay = max(delay, s.Way[1]+x.Link.Slow+held)
		}
	}
	n := s.Poolers
	return checker.ViewConfig{DetectMs: func(f int) float64 { return v.DetectionBound(n, f, delay) }, SettleMs: v.ConvergenceBound(n, f, delay, lossy), JoinMs: v.JoinBound(n, delay), SpreadMs: v.PropagationBound(n, delay), CountHoldMs: v.SendingTimeout,
		SelfDetectMs: v.IsolationBound(delay)}
}

func (e *Emulation) newFleet() *fleetOf {
	s := e.script
	f := &fleetOf{e: e, net: netfault.New(s.Poolers), rng: rand.New(rand.NewPCG(e.opt.Seed, 5))}
	f.check = checker.NewViewChecker(Bounds(s, max(1, s.Poolers/2)), s.Poolers, f.net.Cut)
	f.check.Exact = true
	var look func()
	look = func() {
		f.check.Sample(e.s.now)
		if e.s.now <= startMs+s.Clients.Seconds*1000 {
			e.black.Sample(e.s.now, groundTruth{e})
		}
		e.s.After(lookMs, model.Func(look), 0)
	}
	e.s.After(lookMs, model.Func(look), 0)
	f.from = startMs
	if s.Clients.Seconds*1000 > 2*settledMs {
		e.s.After(settledMs, model.Func(func() {
			f.packets, f.bytes, f.streamed, f.trades, f.lent, f.lentBytes, f.told, f.toldBytes, f.from = 0, 0, 0, 0, 0, 0, 0, 0, e.s.now
		}), 0)
	}
	return f
}

func (f *fleetOf) result() *Views {
	seconds := (f.e.s.now - f.from) / 1000 * float64(len(f.e.poolers))
	return &Views{Packets: float64(f.packets) / seconds, Bytes: float64(f.bytes) / seconds, Streamed: float64(f.streamed) / seconds, Trades: f.trades, Detected: f.check.DetectionTimes, Settled: f.check.SettleTimes,
		Accused: f.check.FalseAccusations, Wrong: f.check.FalseFailures,
		Told: float64(f.told) / seconds, ToldSize: float64(f.toldBytes) / seconds}
}

// peer is a pooler's side of it.
type peer struct {
	p    *pooler
	f    *fleetOf
	life uint32
	view *view.View
	out  []view.Action
	sent int // its count of those that may be sending
	was  view.ID

	limits *lender // nil where none hold for the whole fleet
	parts  []module.Module
	over   *adapter.Adapter        // nil where each pooler handles overload alone
	judged *outlieradapter.Adapter // nil where each learns alone
}

// join begins a process's view.
func (p *pooler) join() {
	f := p.e.fleet
	set := p.e.script.Peers.View
	set.ExpectedPoolers, set.RandomSeed = p.e.script.Poolers, p.e.opt.Seed*31+uint64(p.no)
	for i := range p.e.script.Peers.Seeds {
		set.SeedAddresses = append(set.SeedAddresses, p.e.poolerName(i))
	}
	id := view.NewID(p.e.s.now, uint64(p.no)*131+uint64(p.life))
	if m := p.e.opt.Mutant; m != nil {
		if m.View != nil {
			m.View(&set)
		}
		if m.SameID {
			id = view.NewID(startMs, uint64(p.no))
		}
	}
	site := "room"
	if n := len(p.e.script.Sites); n > 0 {
		site = p.e.script.Sites[p.no%n]
	}
	x := &peer{p: p, f: f, life: p.life}
	x.view = view.New(set, view.Record{ID: id, Name: p.name, Addr: p.name, Zone: site}, p.e.s.now)
	x.view.CheckInvariants(p.e.checks, walkEach)
	p.peer = x
	f.check.ProcessStarted(p.e.s.now, p.no, uint64(id))
	x.lend()
	for _, join := range p.e.joins() {
		x.parts = append(x.parts, join(Host{x})...)
	}
	x.tellParts()
	x.tick()
}

func (e *Emulation) poolerName(i int) string { return fmt.Sprintf("pooler-%d", i) }

func (x *peer) tick() {
	x.do(view.Tick{})
	if x.limits != nil {
		x.limits.share(quota.Tick{})
	}
	for _, s := range x.parts {
		s.Tick()
	}
	lifeLoop{x.p, x.life}.At(x.view.NextTick(), x.tick)
}

// do tells the view of an event and carries out what it asks for.
func (x *peer) do(ev view.Event) {
	e := x.p.e
	x.told(ev)
	defer x.f.check.MessageProcessed(x.p.no)
	if m := e.opt.Mutant; m != nil && m.Peer != nil && !m.Peer(x, ev) {
		return
	}
	x.out = x.view.Handle(e.s.now, ev, x.out[:0])
	x.carry()
}

// told tells the checker what a message says against whom.
func (x *peer) told(ev view.Event) {
	var records []view.Record
	switch ev := ev.(type) {
	case view.Received:
		records = ev.Message.Records
	case view.ExchangeCompleted:
		records = ev.Records
	}
	for i := range records {
		if r := &records[i]; r.State == view.Suspect || r.State == view.Failed {
			x.f.check.AccusationReceived(x.p.no, uint64(r.ID))
		}
	}
}

// carry carries out what the view asks for.
func (x *peer) carry() {
	e := x.p.e
	news, self := x.limits != nil && x.limits.id != x.view.Self().ID, x.view.Self()
	if self.ID != x.was {
		x.was, news = self.ID, true
	}
	for i := range x.out {
		switch a := &x.out[i]; a.Kind {
		case view.Send:
			x.send(a.Addr, a.Message)
		case view.StartExchange:
			x.trade(a.Addr)
		case view.RecordChanged:
			x.f.check.ReportState(e.s.now, x.p.no, uint64(a.Record.ID), int(a.Record.State), a.Record.Incarnation)
			e.s.mix(uint64(a.Record.ID), uint64(x.p.no)<<8|uint64(a.Record.State))
			news = true
		}
	}
	if n := x.view.Counts().Sending; n != x.sent {
		x.sent = n
		x.p.core.SetPeers(n)
		x.f.check.ReportCount(e.s.now, x.p.no, n)
		news = true
	}
	if news && x.limits != nil {
		x.limits.members()
	}
	if news {
		x.tellParts()
	}
}

// at finds the pooler that listens at an address.
func (f *fleetOf) at(addr string) *pooler {
	for _, p := range f.e.poolers {
		if p.name == addr {
			return p
		}
	}
	return nil
}

const headBytes = 60 // of a datagram and its message, beside the records

// send has a datagram arrive, as often and as late as the way has it.
func (x *peer) send(addr string, m *view.Message) {
	f, e := x.f, x.p.e
	to := f.at(addr)
	if to == nil || to == x.p {
		return
	}
	f.packets++
	f.bytes += headBytes
	for i := range m.Records {
		f.bytes += uint64(m.Records[i].Size())
	}
	for _, late := range f.net.Fate(x.p.no, to.no, f.rng) {
		e.s.After(e.wayBetween(x.p, to)+late, model.Func(func() {
			if y := to.peer; y != nil && to.up {
				to.whenRunning(y.life, func() { y.do(view.Received{Message: m}) })
			}
		}), 0)
	}
}

// trade has a full exchange: a stream, which loses nothing, but does not come up over a way that is cut.
func (x *peer) trade(addr string) {
	f, e := x.f, x.p.e
	to := f.at(addr)
	if to == nil || to == x.p || f.net.Cut(x.p.no, to.no) || f.net.Cut(to.no, x.p.no) {
		return
	}
	f.trades++
	mine := x.view.Records()
	for i := range mine {
		f.streamed += 2 * uint64(mine[i].Size()) // and as much comes back
	}
	e.s.After(2*e.wayBetween(x.p, to)+2*f.net.Slow(x.p.no, to.no), model.Func(func() {
		y := to.peer
		if y == nil || !to.up || f.net.Cut(x.p.no, to.no) {
			return
		}
		to.whenRunning(y.life, func() {
			theirs := y.view.Records()
			y.do(view.ExchangeCompleted{Records: mine})
			if f.net.Cut(to.no, x.p.no) {
				return
			}
			e.s.After(e.wayBetween(x.p, to)+f.net.Slow(to.no, x.p.no), model.Func(func() {
				if x.p.up {
					x.p.whenRunning(x.life, func() { x.do(view.ExchangeCompleted{Records: theirs}) })
				}
			}), 0)
		})
	}), 0)
}

// wayBetween is how long a message takes between two poolers.
func (e *Emulation) wayBetween(a, b *pooler) float64 {
	if n := len(e.script.Sites); n > 0 {
		return e.script.Between(a.no%n, b.no%n).Draw(e.fleet.rng)
	}
	return e.script.Way.Draw(e.fleet.rng)
}
