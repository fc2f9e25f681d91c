package main

import (
	"log/slog"
	"net"
	"os"

	"beechgrade/internal/admin"
	"beechgrade/internal/backend"
	"beechgrade/internal/backend/journaled"
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
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/snapshots"
)

const (
	// idleTimeShare is the part of the servers' idle time after which a connection is closed here, before the server closes it.
	idleTimeShare = 0.8

	// User and database with which the pooler connects to servers, and the parameter in which they report their position.
	backendUser       = "backend"
	backendDatabase   = "store"
	positionParameter = "applied_ms"
)

// serverRoles are the names that servers give to their roles: the primary's, then the replica's.
var serverRoles = [2]string{"primary", "replica"}

// pooler joins the subsystems of the daemon. Optional ones are nil where they are off. But for construction, all of it is for the event loop alone.
type pooler struct {
	cfg       *config.Config
	settings  *settings.Settings // as read at the start; nil in tests
	log       *slog.Logger
	loop      *eventloop.Loop
	core      *core.Core
	platform  *platform.Postgres
	backend   *backend.Pool
	discovery *discovery.Client
	machine   clock.Machine // this machine's clocks; tests set it

	load      func() (*config.Config, error) // reads the configuration again
	reloaders []reloader                     // of the operators' settings

	// The optional frontends, with the addresses at which they listen.
	pooling         *pooling.Frontend
	poolingAddr     string
	stopPooling     func()
	scatter         *scatter.Frontend
	clickhouse      *clickhouse.Frontend
	clickhouseAddr  string
	clickhouseGroup int // the group of servers that speak ClickHouse's protocol
	stopClickHouse  func()

	// What poolers share.
	peers           *cluster.Node
	expectedPoolers int
	limits          *fleetLimits
	overload        *adapter.Adapter
	outlier         *outlieradapter.Adapter
	raftLog         *raftLog
	credit          *creditGate
	zones           *zoneFailover

	// Storage.
	journal       *journaled.Servers
	commits       *sessiontoken.Keeper // of sessions
	otherSessions *upgradeSessions     // those of the other process on an inherited socket
	recovered     []recoveredStore     // found by opening stores, until it is recorded
	snapshots     *snapshots.Keeper    // the last good configuration and list
	renewConfig   func()               // notes that the configuration is still good; nil where it came from a snapshot
	listSavedAt   float64              // when the list was saved last, or will be
	savingList    bool

	// Records and checks.
	recordsGauges bool
	files         record.Files // where records go in place of the settings' folder; tests set it
	checks        *invariant.Checks
	countsChecks  bool // in the metrics

	// The list of servers.
	sources *sources // nil where the platform's discovery is the only one
	list    serverList
	hasList bool // a source has reported, or enough time has passed

	// The process's lifecycle, and its part of an inherited socket.
	lifecycle         lifecycle.Machine
	drainCount        int // begun and ended so far
	inheritedListener net.Listener
	stopAccepting     func() // on the inherited listener
	folder            stateFolder
	previousState     *handover.State // of another process, until it is applied
	otherProcesses    int
	othersDescriptors int
	descriptorLimit   int // the system's, for this process

	admin     *admin.Server
	adminAddr string
}

// newPooler returns a pooler with the platform's frontend. Optional subsystems are opened before it runs.
func newPooler(cfg *config.Config, log *slog.Logger) *pooler {
	p := &pooler{
		cfg:             cfg,
		log:             log,
		adminAddr:       cfg.AdminAddress,
		machine:         clock.ThisMachine(),
		stopAccepting:   func() {},
		descriptorLimit: systemLimit(),
	}
	if p.descriptorLimit < cfg.Limits.Sockets {
		log.Warn("the system allows fewer descriptors than the settings", "system", p.descriptorLimit, "settings", cfg.Limits.Sockets)
	}
	p.loop = eventloop.New(clock.System(), log, func() eventloop.Handler { return p.platform.Accept() }, p.start)
	p.core = core.New(p.loop, log, cfg)
	p.backend = backend.New(p.loop, log, p.backendOptions(), p.core)
	p.platform = platform.NewPostgres(p.loop, log, p.core, platform.Budget{
		SpareDescriptors:  p.spareForClients,
		EvictionThreshold: func() int { return p.sockets() / activeClientsDivisor },
		ReleaseDescriptor: p.freeServerDescriptor,
		Memory:            p.memory,
	})
	return p
}

func (p *pooler) backendOptions() backend.Options {
	return backend.Options{
		User:             backendUser,
		Database:         backendDatabase,
		Roles:            serverRoles,
		PositionName:     positionParameter,
		ConnectTimeoutMs: p.cfg.ConnectTimeoutMs,
		IdleMs:           p.cfg.ServerIdleTimeoutMs * idleTimeShare,
		Memory:           p.memory,
		Dial:             p.core.DialWithinLimit,
		MaxConns:         p.maxServerConnections,
		FreeDescriptor:   p.freeClientDescriptor,
	}
}

// start begins to serve. It runs on the loop before anything else.
func (p *pooler) start() {
	p.startCore()
	p.awaitList()
	p.openAdmin()
	if p.pooling != nil {
		p.listenPooling()
	}
	if p.clickhouse != nil {
		p.listenClickHouse()
	}
	if p.recordsGauges {
		p.recordGauges()
		if p.zones != nil {
			p.zones.recordNote()
		}
	}
	if p.limits != nil { // nothing of a limit is used before it is assigned
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

// startCore starts the request table with its servers, the list and what earlier processes knew, and the platform's frontend.
func (p *pooler) startCore() {
	directory := p.startDiscovery()
	p.core.RecordEvent(recordpb.Kind_KIND_START, "")
	p.recordRecovered()
	servers := p.servers()
	if p.journal != nil {
		servers = p.journal.Wrap(servers)
	}
	p.list.apply(&p.cfg.InitialList)
	p.core.Start(servers, directory)
	p.setPushMode()
	p.applyPreviousState()
	if p.commits != nil {
		p.core.MergeSnapshot(p.commits.Snapshot())
	}
	p.otherSessions.begin()
	p.saveSnapshots()
	p.platform.Start()
}

// startDiscovery makes the platform's discovery, and starts the other sources of the list. It returns what answers for the list.
func (p *pooler) startDiscovery() core.Directory {
	if p.sources == nil {
		p.discovery = discovery.New(p.loop, p.log, p.cfg.DiscoveryAddress, p.cfg.InitialList.Generation, listObserver{p, p.core})
		return p.discovery
	}
	p.discovery = discovery.New(p.loop, p.log, p.cfg.DiscoveryAddress, p.cfg.InitialList.Generation, listObserver{p, p.sources.members})
	p.sources.begin(p)
	return p.sources.members
}

// run serves until a signal to stop comes and all answers have been given; one to reload reads configuration and settings again.
func (p *pooler) run(stop, reload <-chan os.Signal) error {
	go func() {
		for range stop {
			p.loop.Post(func() { p.handleLifecycle(lifecycle.Terminate) })
		}
	}()
	go func() {
		for range reload {
			p.reload()
		}
	}()
	defer p.sources.stop()
	if p.inheritedListener != nil {
		defer p.exchangeStates()()
		return p.loop.Serve(p.inheritedListener)
	}
	return p.loop.Run(p.cfg.ListenAddress)
}
