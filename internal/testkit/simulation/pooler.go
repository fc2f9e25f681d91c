package simulation

import (
	"fmt"
	"log/slog"

	"beechgrade/internal/backend/idletimeout"
	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/cluster/view"
	"beechgrade/internal/core"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/model"
)

// pooler is one pooler: the daemon's core, and in place of its sockets the emulated ways to the servers and the list.
type pooler struct {
	peer   *peer // nil where poolers are no peers
	e      *Emulation
	no     int
	name   string
	life   uint32 // grows with each end of its process
	up     bool
	core   *core.Core
	stores []*store // by the server's number
	tries  slotmap.Table[*attempt]
	known  discovery.List // as it last had it
	watch  uint32         // number of the watch that is open, 0 for none
	visits map[*visit]bool
	still  float64 // its machine stands still until then
	conns  int     // to servers, those coming up included
	most   int     // that its descriptors allow
	idleMs float64 // a connection idle for so long is closed
	wear   idletimeout.Estimator
	member *member               // nil where the list is the platform's
	limits *settings.FleetLimits // as it last read them
	disk   *disk                 // that outlives its processes, nil where it keeps no journal
}

func (e *Emulation) newPooler(no int) *pooler {
	p := &pooler{e: e, no: no, name: fmt.Sprintf("pooler-%d", no), visits: map[*visit]bool{}}
	p.known, p.limits = e.world.List.Snapshot(), e.script.Limits
	if e.script.Journal != nil {
		p.disk = &disk{p: p, took: e.script.Journal.Disk, kept: map[string][]byte{}}
	}
	return p
}

// start begins a process.
func (p *pooler) start() error {
	e := p.e
	cfg, err := e.script.Config(p.no, p.name, e.opt.Seed*1000003+uint64(p.no)*7919+uint64(p.life), p.known)
	if err != nil {
		return err
	}
	p.up, p.watch = true, 0
	p.stores = make([]*store, len(e.world.Servers))
	if m := e.opt.Mutant; m != nil && m.Module != nil {
		m.Module(cfg)
	}
	p.conns, p.most, p.idleMs, p.wear = 0, serverConns(cfg.Limits.Sockets), idlePart*cfg.ServerIdleTimeoutMs, idletimeout.New()
	p.core = core.New(lifeLoop{p, p.life}, slog.New(slog.DiscardHandler), cfg)
	p.core.SetChecks(e.checks, walkEach)
	if e.opt.Meter {
		p.core.SetMeter(&meter{e: e})
	}
	defer func() {
		if e.fleet != nil {
			p.join()
		}
	}()
	servers := p.journaled()
	if p.member = nil; e.agents == nil {
		p.core.Start(servers, p)
		if e.script.Pushed { // the agent's watch, held open by the pooler's program
			p.Watch()
		}
		return nil
	}
	p.member = p.newMember()
	p.core.SetReportSink(p.member.join)
	cfg.InitialList = p.member.join.InitialList()
	p.core.Start(servers, p.member.join)
	p.member.ask()
	return nil
}

// leave has a pooler that ends in order say so.
func (p *pooler) leave() {
	if p.peer != nil {
		p.peer.do(view.Leave{})
		if l := p.peer.limits; l != nil {
			l.share(quota.Leave{})
		}
	}
}

const brokeMs = 50 // a connection that breaks so soon after a request did so because of it; as the daemon has it

// kill ends the process: its connections on both sides are reset.
func (p *pooler) kill() {
	if !p.up {
		return
	}
	p.counted()
	p.up = false
	p.life++
	e := p.e
	p.disk.killed()
	if p.peer != nil {
		e.fleet.check.ProcessEnded(e.s.now, p.no, p.peer.view.Self().State == view.Left)
		p.peer = nil
	}
	var open []*attempt
	p.tries.Each(func(_ slotmap.Ref, a *attempt) { open = append(open, a) })
	for _, a := range open {
		a.ended = true
		if a.sent {
			e.s.After(e.way(), a, atCancel)
		}
		p.tries.Remove(a.ref)
	}
	for _, v := range e.sorted(p.visits) {
		e.s.After(e.way(), v, visitBroken)
		e.check.Abandoned(e.s.now, v.id, "its pooler ended")
	}
	clear(p.visits)
	if e.paging != nil {
		e.paging.killed(p)
	}
	e.check.PoolerRestarted(p.no)
}

// lifeLoop is core.Loop's for one life of a pooler: what an earlier one hung up comes to nothing.
type lifeLoop struct {
	p    *pooler
	life uint32
}

func (l lifeLoop) Now() float64 { return l.p.e.s.now }

func (l lifeLoop) At(ms float64, do func()) *timers.Timer {
	p := l.p
	p.e.s.at(max(ms, p.e.s.now), model.Func(func() { p.whenRunning(l.life, do) }), 0)
	return nil
}

// whenRunning does something once the pooler's machine runs, if its process is still the same.
func (p *pooler) whenRunning(life uint32, do func()) {
	if p.life != life {
		return
	}
	if p.e.s.now < p.still {
		p.e.s.at(p.still, model.Func(func() { p.whenRunning(life, do) }), 0)
		return
	}
	do()
}

// counted states that what counts as connections at a process's end is there: idle, coming up, or with an attempt.
func (p *pooler) counted() {
	if !p.up {
		return
	}
	sum := 0
	for _, st := range p.stores {
		if st == nil {
			continue
		}
		sum += st.conns
		p.e.checks.That(st.conns == len(st.idle)+st.dialing+len(st.busy), "emulate: counted connections are there", func() string {
			return fmt.Sprintf("%s to %s: %d counted; %d idle, %d coming up, %d in use", p.name, st.s.Name, st.conns, len(st.idle), st.dialing, len(st.busy))
		})
	}
	p.e.checks.That(sum == p.conns, "emulate: a pooler's connections are those to its servers", func() string {
		return fmt.Sprintf("%s: %d counted, %d to servers", p.name, p.conns, sum)
	})
}

// serverDown breaks all connections to a server.
func (p *pooler) serverDown(s *model.Server) {
	st := p.stores[s.No]
	if st == nil {
		return
	}
	st.life++
	st.add(-len(st.idle))
	st.idle = st.idle[:0]
	for _, a := range p.e.sortedAttempts(st.busy) {
		p.e.s.After(p.e.way(), a, atReset)
	}
}
