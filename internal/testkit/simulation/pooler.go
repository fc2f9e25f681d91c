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
	peer           *peer // nil where poolers are no peers
	sim            *Simulation
	no             int
	name           string
	incarnation    uint32 // grows with each end of its process
	up             bool
	core           *core.Core
	pools          []*serverPool // by the server's number
	attempts       slotmap.Table[*attempt]
	lastList       discovery.List // as it last had it
	watch          uint32         // number of the watch that is open, 0 for none
	clientAttempts map[*clientAttempt]bool
	pausedUntil    float64 // its machine stands still until then
	connections    int     // to servers, those coming up included
	maxConnections int     // that its descriptors allow
	idleMs         float64 // a connection idle for so long is closed
	idleTimeout    idletimeout.Estimator
	member         *catalogWatcher       // nil where the list is the platform's
	limits         *settings.FleetLimits // as it last read them
	disk           *disk                 // that outlives its processes, nil where it keeps no journal
}

func (sim *Simulation) newPooler(no int) *pooler {
	p := &pooler{sim: sim, no: no, name: fmt.Sprintf("pooler-%d", no), clientAttempts: map[*clientAttempt]bool{}}
	p.lastList, p.limits = sim.world.List.Snapshot(), sim.script.Limits
	if sim.script.Journal != nil {
		p.disk = &disk{p: p, writeMs: sim.script.Journal.Disk, entries: map[string][]byte{}}
	}
	return p
}

// start begins a process.
func (p *pooler) start() error {
	sim := p.sim
	cfg, err := sim.script.Config(p.no, p.name, sim.options.Seed*1000003+uint64(p.no)*7919+uint64(p.incarnation), p.lastList)
	if err != nil {
		return err
	}
	p.up, p.watch = true, 0
	p.pools = make([]*serverPool, len(sim.world.Servers))
	if m := sim.options.Mutant; m != nil && m.Module != nil {
		m.Module(cfg)
	}
	p.connections, p.maxConnections, p.idleMs, p.idleTimeout = 0, serverConns(cfg.Limits.Sockets), idlePart*cfg.ServerIdleTimeoutMs, idletimeout.New()
	p.core = core.New(processLoop{p, p.incarnation}, slog.New(slog.DiscardHandler), cfg)
	p.core.SetChecks(sim.checks, invariantInterval)
	if sim.options.Meter {
		p.core.SetMeter(&meter{sim: sim})
	}
	defer func() {
		if sim.fleet != nil {
			p.join()
		}
	}()
	servers := p.journaled()
	if p.member = nil; sim.agents == nil {
		p.core.Start(servers, p)
		if sim.script.Pushed { // the agent's watch, held open by the pooler's program
			p.Watch()
		}
		return nil
	}
	p.member = p.newMember()
	p.core.SetReportSink(p.member.manager)
	cfg.InitialList = p.member.manager.InitialList()
	p.core.Start(servers, p.member.manager)
	p.member.query()
	return nil
}

// leaveFleet has a pooler that ends in order say so.
func (p *pooler) leaveFleet() {
	if p.peer != nil {
		p.peer.handle(view.Leave{})
		if l := p.peer.limits; l != nil {
			l.handle(quota.Leave{})
		}
	}
}

const brokeMs = 50 // a connection that breaks so soon after a request did so because of it; as the daemon has it

// kill ends the process: its connections on both sides are reset.
func (p *pooler) kill() {
	if !p.up {
		return
	}
	p.checkConnectionCounts()
	p.up = false
	p.incarnation++
	sim := p.sim
	p.disk.processEnded()
	if p.peer != nil {
		sim.fleet.check.ProcessEnded(sim.sched.now, p.no, p.peer.view.Self().State == view.Left)
		p.peer = nil
	}
	var open []*attempt
	p.attempts.Each(func(_ slotmap.Ref, a *attempt) { open = append(open, a) })
	for _, a := range open {
		a.ended = true
		if a.sent {
			sim.sched.After(sim.linkDelay(), a, atCancel)
		}
		p.attempts.Remove(a.ref)
	}
	for _, v := range sim.sortedAttemptsOfClients(p.clientAttempts) {
		sim.sched.After(sim.linkDelay(), v, connectionBreaks)
		sim.check.Abandoned(sim.sched.now, v.id, "its pooler ended")
	}
	clear(p.clientAttempts)
	if sim.paging != nil {
		sim.paging.killed(p)
	}
	sim.check.PoolerRestarted(p.no)
}

// processLoop is core.Loop's for one life of a pooler: what an earlier one hung up comes to nothing.
type processLoop struct {
	p           *pooler
	incarnation uint32
}

func (l processLoop) Now() float64 { return l.p.sim.sched.now }

func (l processLoop) At(ms float64, do func()) *timers.Timer {
	p := l.p
	p.sim.sched.at(max(ms, p.sim.sched.now), model.Func(func() { p.whenRunning(l.incarnation, do) }), 0)
	return nil
}

// whenRunning does something once the pooler's machine runs, if its process is still the same.
func (p *pooler) whenRunning(life uint32, do func()) {
	if p.incarnation != life {
		return
	}
	if p.sim.sched.now < p.pausedUntil {
		p.sim.sched.at(p.pausedUntil, model.Func(func() { p.whenRunning(life, do) }), 0)
		return
	}
	do()
}

// checkConnectionCounts states that what counts as connections at a process's end is there: idle, coming up, or with an attempt.
func (p *pooler) checkConnectionCounts() {
	if !p.up {
		return
	}
	sum := 0
	for _, st := range p.pools {
		if st == nil {
			continue
		}
		sum += st.connections
		p.sim.checks.That(st.connections == len(st.idle)+st.dialing+len(st.busy), "emulate: counted connections are there", func() string {
			return fmt.Sprintf("%s to %s: %d counted; %d idle, %d coming up, %d in use", p.name, st.server.Name, st.connections, len(st.idle), st.dialing, len(st.busy))
		})
	}
	p.sim.checks.That(sum == p.connections, "emulate: a pooler's connections are those to its servers", func() string {
		return fmt.Sprintf("%s: %d counted, %d to servers", p.name, p.connections, sum)
	})
}

// serverDown breaks all connections to a server.
func (p *pooler) serverDown(s *model.Server) {
	st := p.pools[s.No]
	if st == nil {
		return
	}
	st.incarnation++
	st.countConnections(-len(st.idle))
	st.idle = st.idle[:0]
	for _, a := range p.sim.sortedAttempts(st.busy) {
		p.sim.sched.After(p.sim.linkDelay(), a, atReset)
	}
}
