package main

import (
	"cmp"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"

	"beechgrade/internal/admin"
	"beechgrade/internal/backend"
	"beechgrade/internal/cluster"
	outlieradapter "beechgrade/internal/cluster/outlier/adapter"
	"beechgrade/internal/cluster/overload/adapter"
	"beechgrade/internal/config"
	"beechgrade/internal/core"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/clickhouse"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/invariant"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/lifecycle/handover"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/snapshots"
)

const (
	reservedDescriptors    = 64   // descriptors for discovery, the listener, the runtime, and dials, which take two for a moment
	serverConnectionsMost  = 0.45 // of the others, at most for connections to servers...
	serverConnectionsLeast = 0.2  // ...and what clients leave to them
	activeClientsPart      = 4    // clients that ask and hold 1 descriptor in so many are many
	idlePart               = 0.8  // of the servers' idle time, after which a connection is closed here
	drainMs                = 700  // after SIGTERM clients still come; the process may be killed so long after the longest deadline
	drainEnd               = 500  // after the longest deadline, what came meanwhile has its answer, and nothing more is taken...
	drainClose             = 250  // ...so long after it, clients' idle connections are closed...
	drainActive            = 550  // ...so long after it, those of clients that go on sending...
	drainLast              = 600  // ...and so long after it, those of which clients do not close their side
	handOverMs             = 100  // after another process takes over, for connections that were just accepted to come on the loop
	deadlineMs             = 3000 // counted as the longest deadline where that is longer
	gaugeMs                = 1000
	pollMs                 = 20    // between looks at whether something is still owed
	stopTimeoutMs          = 10000 // a client that never goes does not keep the process
)

// pooler is the program's parts, joined.
type pooler struct {
	cfg       *config.Config
	log       *slog.Logger
	loop      *eventloop.Loop
	core      *core.Core
	platform  *platform.Postgres
	backend   *backend.Pool
	discovery *discovery.Client
	load      func() (*config.Config, error) // reads the configuration again

	loadLimits func() (*settings.FleetLimits, error) // reads the fleet's limits again; nil where there are no settings

	loadZones  func() (*settings.Zones, error)  // reads orders again; nil where zones are not decided together
	loadCredit func() (*settings.Credit, error) // reads prices and payments again; nil where nobody pays ahead

	pooling     *pooling.Front // nil where it is off
	poolingAddr string         // where it listens
	stopPooling func()

	scatter *scatter.Front // reads over many groups, nil where there are none

	clickhouse      *clickhouse.Front // nil where it is off
	clickhouseAddr  string
	clickhouseGroup int
	stopClickHouse  func()

	peers           *cluster.Node          // nil where it is no fleet's
	expectedPoolers int                    // poolers that there are to be
	limits          *fleetLimits           // nil where none hold for the whole fleet
	overload        *adapter.Joined        // nil where overload is handled alone
	outlier         *outlieradapter.Joined // nil where each learns of servers alone
	zones           *zoneFailover          // nil where zones are not decided together

	journal *journal.Journal // nil where it is off

	settings      *settings.Settings   // as they were at the start; tests have none
	recovered     []recovered          // by the start, until it is recorded
	commits       *sessiontoken.Keeper // of sessions, nil where they are not kept
	otherSessions *upgradeSessions     // the other process's on this socket, nil where there can be none
	snapshots     *snapshots.Keeper    // the last good configuration and list, nil where they are not kept
	renewConfig   func()               // says that the configuration is still good, nil where it came from there
	listSavedAt   float64              // the list was kept last, or will be
	savingList    bool

	raftLog *raftLog    // nil where it is off
	credit  *creditGate // nil where nobody pays ahead

	checks       *invariant.Checks // nil where they are off
	countsChecks bool              // and are figures

	sources *sources // of the list, nil where it is the platform's discovery alone

	lifecycle         lifecycle.Machine
	inheritedListener net.Listener // the listening socket that the process was given, nil where it opens its own
	stopAccepting     func()       // ends accepting there
	hasList           bool         // the list, from whoever keeps it
	drains            int          // drains begun and ended so far
	list              list
	folder            stateFolder     // where processes on one socket tell each other, nil where they do not
	previousState     *handover.State // what another process knew, until it is taken
	otherProcesses    int             // processes on the socket...
	othersDescriptors int             // ...and the descriptors that they hold
	admin             *admin.Server
	adminAddr         string // where it listens

	descriptorLimit int // of descriptors

	recordsGauges bool         // are recorded
	files         record.Files // where records go, in place of the settings' folder; tests set it

	machine clock.Machine // its clocks; tests set it
}

func newPooler(cfg *config.Config, log *slog.Logger) *pooler {
	p := &pooler{cfg: cfg, log: log, adminAddr: cfg.AdminAddress, machine: clock.ThisMachine(), stopAccepting: func() {}, descriptorLimit: systemLimit()}
	if p.descriptorLimit < cfg.Limits.Sockets {
		log.Warn("the system allows fewer descriptors than the settings", "system", p.descriptorLimit, "settings", cfg.Limits.Sockets)
	}
	p.loop = eventloop.New(clock.System(), log, func() eventloop.Handler { return p.platform.Accept() }, p.start)
	p.core = core.New(p.loop, log, cfg)
	sockets := func() int { return p.sockets() - reservedDescriptors - p.heldBeside() }
	part := func(x float64) int { return int(x * float64(sockets())) }
	memory := p.memory
	p.backend = backend.New(p.loop, log, backend.Options{User: "backend", Database: "store",
		Roles: [2]string{"primary", "replica"}, PositionName: "applied_ms", ConnectTimeoutMs: cfg.ConnectTimeoutMs,
		IdleMs: cfg.ServerIdleTimeoutMs * idlePart, Memory: memory, Dial: p.core.LimitDial,
		MaxConns:       func() int { return min(part(serverConnectionsMost), sockets()-p.platform.Occupied()) },
		FreeDescriptor: func() bool { return p.backend.Conns() < part(serverConnectionsMost) && p.platform.FreeDescriptor() }}, p.core)
	spare := func() int {
		return sockets() - p.platform.Occupied() - max(part(serverConnectionsLeast), p.backend.Conns())
	}
	p.platform = platform.NewPostgres(p.loop, log, p.core, platform.Budget{SpareDescriptors: spare,
		EvictionThreshold: func() int { return p.sockets() / activeClientsPart },
		ReleaseDescriptor: func() bool { return p.backend.Conns() > part(serverConnectionsLeast) && p.backend.CloseOldest() },
		Memory:            memory})
	return p
}

// openRecorder has the pooler record what it does, where that is on; the function ends it.
func (p *pooler) openRecorder(o settings.Record) (stop func()) {
	if !o.Enabled {
		return func() {}
	}
	rec, end := record.Start(record.Options{Pooler: p.cfg.Name, Program: version(), Run: p.loop.Now(),
		Classes: core.RecordClasses(p.cfg.Classes, p.cfg.Settings.Classes), Files: cmp.Or(p.files, record.Files(record.Dir(o.Dir))),
		SegmentBytes: o.SegmentBytes, TotalBytes: o.TotalBytes, Events: o.QueueLength, FlushMs: o.FlushIntervalMs, Pack: o.Compress, Log: p.log,
		ColdFrom: p.cfg.Settings.SlowStartFrom, ColdMs: clock.ToMillis(p.cfg.Settings.SlowStartTime), GraceMs: clock.ToMillis(p.cfg.Settings.DrainGrace)})
	p.core.SetRecorder(rec)
	if p.pooling != nil {
		p.pooling.Record(rec)
	}
	if p.sources != nil {
		p.sources.members.SetRecorder(rec)
	}
	p.recordsGauges = true
	return func() {
		p.core.Note(recordpb.Kind_KIND_STOP, "") // the loop has ended
		end()
	}
}

// gauge records once a second how much there is of what.
func (p *pooler) gauge() {
	sessions, conns := p.platform.Sessions(), p.backend.Conns()
	if p.pooling != nil {
		sessions, conns = sessions+p.pooling.Sessions(), conns+p.pooling.Conns()
	}
	if p.scatter != nil {
		conns += p.scatter.Conns()
	}
	if p.clickhouse != nil {
		sessions, conns = sessions+p.clickhouse.Sessions(), conns+p.clickhouse.Conns()
	}
	p.core.Gauge(sessions, conns)
	p.loop.At(p.loop.Now()+gaugeMs, p.gauge)
}

// start runs on the loop before anything else.
func (p *pooler) start() {
	events, directory := discovery.Events(p.core), core.Directory(nil)
	if p.sources != nil {
		events = p.sources.members
	}
	p.discovery = discovery.New(p.loop, p.log, p.cfg.DiscoveryAddress, p.cfg.InitialList.Generation, listObserver{p, events})
	if directory = p.discovery; p.sources != nil {
		p.sources.begin(p)
		directory = p.sources.members
	}
	p.core.Note(recordpb.Kind_KIND_START, "")
	p.recordRecovered()
	servers := p.servers()
	if p.journal != nil {
		servers = p.journal.Wrap(servers)
	}
	p.list.take(&p.cfg.InitialList)
	p.core.Start(servers, directory)
	p.push()
	p.recall()
	if p.commits != nil {
		p.core.MergeSnapshot(p.commits.Memory())
	}
	p.otherSessions.begin()
	p.saveSnapshots()
	p.platform.Start()
	p.openAdmin()
	if p.pooling != nil {
		p.listen()
	}
	if p.clickhouse != nil {
		p.listenClickHouse()
	}
	if p.recordsGauges {
		p.gauge()
		if p.zones != nil {
			p.zones.recordNote()
		}
	}
	if p.limits != nil { // of each nothing, until it is told
		p.limits.apply(p.limits.set)
	}
	if p.raftLog != nil {
		p.raftLog.begin()
	}
	if p.peers != nil {
		if err := p.peers.Start(); err != nil {
			p.log.Error("peers", "err", err)
			p.loop.End()
			return
		}
	}
	p.log.Info("serving", "listen", p.loop.Addr(), "servers", len(p.cfg.InitialList.Instances),
		"siblings", p.cfg.Settings.Peers, "max_retry_after", p.cfg.Settings.MaxRetryAfter)
}

// push has the list come unasked where the settings say that it does: on sockets that is a watch held open.
func (p *pooler) push() {
	p.discovery.SetPushMode(!p.cfg.Settings.WatchList && (p.sources == nil || p.sources.set.Options.Platform))
}

// run serves until a signal to stop comes and nothing is owed any more; one to reload changes the configuration.
func (p *pooler) run(stop, reload <-chan os.Signal) error {
	go func() {
		for range stop {
			p.loop.Post(func() { p.handleLifecycle(lifecycle.Terminate) })
		}
	}()
	go func() {
		for range reload {
			next, err := p.load()
			if err != nil {
				p.loop.Post(func() { p.rejectConfig(err) })
				continue
			}
			p.loop.Post(func() { p.apply(next) })
			if p.loadLimits != nil {
				if set, err := p.loadLimits(); err != nil {
					p.loop.Post(func() { p.log.Error("fleet limits: the old ones stay", "err", err) })
				} else {
					p.loop.Post(func() { p.reloadLimits(*set) })
				}
			}
			if p.loadCredit != nil {
				if set, err := p.loadCredit(); err != nil {
					p.loop.Post(func() { p.log.Error("credit: the old prices and payments stay", "err", err) })
				} else {
					p.loop.Post(func() { p.credit.reload(*set) })
				}
			}
			if p.loadZones != nil {
				if set, err := p.loadZones(); err != nil {
					p.loop.Post(func() { p.log.Error("zones: the old orders stay", "err", err) })
				} else {
					p.loop.Post(func() { p.zones.reload(*set) })
				}
			}
			if s := p.sources; s != nil {
				n, err := s.read()
				if err != nil {
					p.log.Error("membership: what cannot be read stays as it was", "err", err)
				}
				p.loop.Post(func() { s.take(n) })
			}
		}
	}()
	defer p.sources.stop()
	if p.inheritedListener != nil {
		defer p.exchangeStates()()
		return p.loop.Serve(p.inheritedListener)
	}
	return p.loop.Run(p.cfg.ListenAddress)
}

// rejectConfig tells of a configuration that cannot be used.
func (p *pooler) rejectConfig(err error) {
	p.log.Error("configuration not taken; the old one stays", "err", err)
	p.core.Figures().ReloadsRejected++
}

// apply takes a new configuration, as far as that goes while serving.
func (p *pooler) apply(next *config.Config) {
	if err := p.cfg.CheckKeys(next); err != nil {
		p.rejectConfig(err)
		return
	}
	p.saveConfig(next, os.Getenv("EDGE_CONFIG"))
	changed, kept := p.cfg.Apply(next)
	if p.core.Figures().ReloadsAccepted++; slices.Contains(changed, "settings") {
		p.core.Reload()
	}
	p.log.Info("configuration read again", "changed", changed)
	p.core.Note(recordpb.Kind_KIND_RELOAD, strings.Join(changed, ", "))
	if len(kept) > 0 {
		p.log.Warn("cannot change while serving, needs a restart", "kept", kept)
	}
	limitMemory(p.cfg, 1+p.otherProcesses)
	p.backend.SetTimes(p.cfg.ConnectTimeoutMs, p.cfg.ServerIdleTimeoutMs*idlePart)
	if p.sources == nil || p.sources.set.Options.Platform {
		if slices.Contains(changed, "discovery") { // its generations are its own
			p.list.gen, p.list.restarts, p.list.received = 0, 0, false
		}
		p.discovery.SetAddress(p.cfg.DiscoveryAddress)
	}
	p.push()
}
