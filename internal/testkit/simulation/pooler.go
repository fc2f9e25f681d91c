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

// pooler is one pooler: the daemon's core, with simulated connections to the servers and the endpoint list instead of sockets.
type pooler struct {
	peer           *peer // nil if the poolers are not peers
	sim            *Simulation
	no             int
	name           string
	incarnation    uint32 // number of its ended processes
	up             bool
	core           *core.Core
	pools          []*serverPool // by the server's number
	attempts       slotmap.Table[*attempt]
	lastList       discovery.List // the last list that it received
	watch          uint32         // number of the open watch, 0 for none
	clientAttempts map[*clientAttempt]bool
	pausedUntil    float64 // when the current pause of its machine ends
	connections    int     // to servers, including those being opened
	maxConnections int     // limited by its file descriptors
	idleMs         float64 // idle timeout of connections
	idleTimeout    idletimeout.Estimator
	catalog        *catalogWatcher       // nil if the platform serves the endpoint list
	limits         *settings.FleetLimits // the limits that it read last; nil for none
	disk           *disk                 // survives a restart; nil without a journal
}

func (sim *Simulation) newPooler(no int) *pooler {
	p := &pooler{sim: sim, no: no, name: fmt.Sprintf("pooler-%d", no), clientAttempts: map[*clientAttempt]bool{}}
	p.lastList, p.limits = sim.world.List.Snapshot(), sim.script.Limits
	if sim.script.Journal != nil {
		p.disk = &disk{pooler: p, writeMs: sim.script.Journal.Disk, entries: map[string][]byte{}}
	}
	return p
}

// start starts a process of the pooler.
func (p *pooler) start() error {
	sim := p.sim
	cfg, err := sim.script.Config(p.no, p.name, sim.options.Seed*1000003+uint64(p.no)*7919+uint64(p.incarnation), p.lastList)
	if err != nil {
		return err
	}
	p.up, p.watch = true, 0
	p.pools = make([]*serverPool, len(sim.world.Servers))
	if m := sim.options.Mutant; m != nil && m.Config != nil {
		m.Config(cfg)
	}
	p.connections, p.maxConnections, p.idleMs, p.idleTimeout = 0, maxServerConnections(cfg.Limits.Sockets), idleTimeoutShare*cfg.ServerIdleTimeoutMs, idletimeout.New()
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
	servers := p.serversBehindJournal()
	if p.catalog = nil; sim.agents == nil {
		p.core.Start(servers, p)
		if sim.script.Pushed { // as in the daemon, which keeps the agent's watch open
			p.Watch()
		}
		return nil
	}
	p.catalog = p.newCatalogWatcher()
	p.core.SetReportSink(p.catalog.manager)
	cfg.InitialList = p.catalog.manager.InitialList()
	p.core.Start(servers, p.catalog.manager)
	p.catalog.query()
	return nil
}

// leaveFleet announces a graceful shutdown to the peers.
func (p *pooler) leaveFleet() {
	if p.peer != nil {
		p.peer.handle(view.Leave{})
		if l := p.peer.limits; l != nil {
			l.handle(quota.Leave{})
		}
	}
}

// brokenBeforeSendMs is the time after a send within which a reset means that the connection was already broken, as in the daemon.
const brokenBeforeSendMs = 50

// kill ends the process at once. Its connections to clients and servers break.
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
			sim.sched.After(sim.linkDelay(), a, atServerCancel)
		}
		p.attempts.Remove(a.ref)
	}
	for _, ca := range sim.sortedClientAttempts(p.clientAttempts) {
		sim.sched.After(sim.linkDelay(), ca, connectionBreaks)
		sim.check.Abandoned(sim.sched.now, ca.id, "its pooler ended")
	}
	clear(p.clientAttempts)
	if sim.reports != nil {
		sim.reports.processEnded(p)
	}
	sim.check.PoolerRestarted(p.no)
}

// processLoop implements core.Loop for one process of a pooler. Timers of a process that has ended do nothing.
type processLoop struct {
	pooler      *pooler
	incarnation uint32
}

func (l processLoop) Now() float64 { return l.pooler.sim.sched.now }

func (l processLoop) At(ms float64, do func()) *timers.Timer {
	p := l.pooler
	p.sim.sched.at(max(ms, p.sim.sched.now), model.Func(func() { p.whenRunning(l.incarnation, do) }), 0)
	return nil
}

// whenRunning calls do now, or at the end of the machine's pause. It drops the call if the process has ended by then.
func (p *pooler) whenRunning(incarnation uint32, do func()) {
	if p.incarnation != incarnation {
		return
	}
	if p.sim.sched.now < p.pausedUntil {
		p.sim.sched.at(p.pausedUntil, model.Func(func() { p.whenRunning(incarnation, do) }), 0)
		return
	}
	do()
}

// checkConnectionCounts checks, when a process ends, that each counted connection is idle, being opened, or used by an attempt.
func (p *pooler) checkConnectionCounts() {
	if !p.up {
		return
	}
	sum := 0
	for _, pool := range p.pools {
		if pool == nil {
			continue
		}
		sum += pool.connections
		p.sim.checks.That(pool.connections == len(pool.idle)+pool.dialing+len(pool.busy), "emulate: counted connections are there", func() string {
			return fmt.Sprintf("%s to %s: %d counted; %d idle, %d coming up, %d in use", p.name, pool.server.Name, pool.connections, len(pool.idle), pool.dialing, len(pool.busy))
		})
	}
	p.sim.checks.That(sum == p.connections, "emulate: a pooler's connections are those to its servers", func() string {
		return fmt.Sprintf("%s: %d counted, %d to servers", p.name, p.connections, sum)
	})
}

// serverDown breaks all connections to a server.
func (p *pooler) serverDown(s *model.Server) {
	pool := p.pools[s.No]
	if pool == nil {
		return
	}
	pool.incarnation++
	pool.countConnections(-len(pool.idle))
	pool.idle = pool.idle[:0]
	for _, a := range p.sim.sortedAttempts(pool.busy) {
		p.sim.sched.After(p.sim.linkDelay(), a, atReset)
	}
}
