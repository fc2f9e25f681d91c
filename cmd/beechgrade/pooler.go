package main

import (
	"cmp"
	"fmt"
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
	"beechgrade/internal/lifecycle/sharedids"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/snapshots"
)

const (
	// idleTimeShare is the part of a server's idle timeout after which the pooler closes a connection, so that it closes before the server does.
	idleTimeShare = 0.8

	// User and database with which the pooler connects to servers, and the parameter in which servers report their replication position.
	backendUser       = "backend"
	backendDatabase   = "store"
	positionParameter = "applied_ms"
)

// serverRoles are the roles as servers report them: the primary's name, then the replica's.
var serverRoles = [2]string{"primary", "replica"}

// pooler connects the subsystems of the daemon. Optional subsystems are nil where they are disabled. After construction, only the event loop
// accesses it.
type pooler struct {
	cfg       *config.Config
	settings  *settings.Settings // as read at startup; nil in tests
	log       *slog.Logger
	loop      *eventloop.Loop
	core      *core.Core
	platform  *platform.Postgres
	backend   *backend.Pool
	discovery *discovery.Client
	machine   clock.Machine // this machine's clocks; replaced in tests

	load      func() (*config.Config, error) // reads the configuration again
	reloaders []reloader                     // for the operators' settings

	// The optional frontends, with their listen addresses.
	pooling         *pooling.Frontend
	poolingAddr     string
	stopPooling     func()
	scatter         *scatter.Frontend
	clickhouse      *clickhouse.Frontend
	clickhouseAddr  string
	clickhouseGroup int // the group of servers that speak ClickHouse's protocol
	stopClickHouse  func()

	// Subsystems that the poolers of a fleet run together.
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
	commits       *sessiontoken.Keeper // the last commit of each session
	otherSessions *upgradeSessions     // the store of the other process on an inherited socket
	recovered     []recoveredStore     // recoveries of opened stores that are not recorded yet
	snapshots     *snapshots.Keeper    // the last valid configuration and server list
	renewConfig   func()               // saves the configuration again with a new time; nil where it came from a snapshot
	listSavedAt   float64              // time of the last or the scheduled save of the list, ms
	savingList    bool

	// Records and checks.
	recordsGauges bool
	files         record.Files // destination of records in tests, in place of the settings' folder
	checks        *invariant.Checks
	countsChecks  bool // report the checks in the log and the metrics

	// The server list.
	sources     *sources // nil where the platform's discovery is the only one
	list        serverList
	hasList     bool    // a source has reported a list, or listTimeoutMs has passed
	toldToEndAt float64 // ms, when a signal asked for the end of the process; 0 if none has

	// The process's lifecycle, and its share of an inherited socket.
	lifecycle         lifecycle.Machine
	drainCount        int // drains that have begun, plus those that have ended
	inheritedListener net.Listener
	failure           error  // for which the process could not start; nil for none
	stopAccepting     func() // on the inherited listener
	folder            stateFolder
	sharedIDs         *sharedids.Set  // of the processes on the socket; nil where they cannot be shared
	previousState     *handover.State // read from another process, until it is applied
	otherProcesses    int             // on the same socket
	othersAccepting   int             // of them, those that accept connections
	othersDescriptors int             // that the other processes hold
	descriptorLimit   int             // of the system, for this process
	memoryWatch       memoryWatch
	ownsProcess       bool // the process runs nothing but this pooler, so that its resident memory is the pooler's

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
		log.Warn("the system's file descriptor limit is below the configured one and applies instead", "system", p.descriptorLimit, "configured", cfg.Limits.Sockets)
	}
	p.divideMemory()
	p.loop = eventloop.New(clock.System(), log, func() eventloop.Handler { return p.platform.Accept() }, p.start)
	p.core = core.New(p.loop, log, cfg)
	p.backend = backend.New(p.loop, log, p.backendOptions(), p.core)
	p.platform = platform.NewPostgres(p.loop, log, p.core, platform.Budget{
		SpareDescriptors:  p.spareForClients,
		EvictionThreshold: func() int { return p.sockets() / activeClientsDivisor },
		ReleaseDescriptor: p.releaseDescriptor,
		Account:           &p.memoryWatch.account,
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
		Account:          &p.memoryWatch.account,
		ScheduleDial:     p.core.DialWithinLimit,
		MaxConns:         p.maxServerConnections,
		FreeDescriptor:   p.freeClientDescriptor,
	}
}

// start starts the subsystems. It is the first function that runs on the loop.
func (p *pooler) start() {
	p.divideMemory()
	if p.ownsProcess {
		p.startMemoryWatch()
	}
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
		p.loop.Every("record_gauges", gaugeIntervalMs, p.recordGauges).Optional()
		if p.zones != nil {
			p.zones.recordNote()
			p.loop.Every("record_zones", noteIntervalMs, p.zones.recordNote).Optional()
		}
	}
	if p.limits != nil { // a limit allows nothing until an allowance is assigned
		p.limits.apply(p.limits.set)
	}
	if p.raftLog != nil {
		p.raftLog.begin()
	}
	if p.peers != nil {
		if err := p.peers.Start(); err != nil {
			p.log.Error("cluster: node could not start; shutting down", "err", err)
			p.fail(fmt.Errorf("cluster: node: %w", err))
			return
		}
	}
	p.log.Info("serving clients", "listen", p.loop.Addr(), "servers", len(p.cfg.InitialList.Instances),
		"peers", p.cfg.Settings.Peers, "max_retry_after", p.cfg.Settings.MaxRetryAfter)
}

// startCore starts the core with its servers, the server list and the state of earlier processes, and the platform's frontend.
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

// startDiscovery creates the client of the platform's discovery, and starts the other sources of the server list. It returns the directory from
// which the core requests the list.
func (p *pooler) startDiscovery() core.Directory {
	if p.sources == nil {
		p.discovery = discovery.New(p.loop, p.log, p.cfg.DiscoveryAddress, p.cfg.InitialList.Generation, listObserver{p, p.core})
		return p.discovery
	}
	p.discovery = discovery.New(p.loop, p.log, p.cfg.DiscoveryAddress, p.cfg.InitialList.Generation, listObserver{p, p.sources.members})
	p.sources.begin(p)
	return p.sources.members
}

// terminate ends the process, which was told so at a time in milliseconds: from then on it counts when it may be killed, however late the loop is.
func (p *pooler) terminate(toldAt float64) {
	if p.toldToEndAt == 0 {
		p.toldToEndAt = toldAt
	}
	p.handleLifecycle(lifecycle.Terminate)
}

// run serves until a signal to stop has come and the shutdown is complete. A signal to reload reads the configuration and the settings again.
func (p *pooler) run(stop, reload <-chan os.Signal) error {
	go func() {
		for range stop {
			at := p.loop.Now()
			p.loop.Post(func() { p.terminate(at) })
		}
	}()
	go func() {
		for range reload {
			p.reload()
		}
	}()
	defer p.sources.stop()
	return cmp.Or(p.serve(), p.failure)
}

// serve runs the loop until it ends.
func (p *pooler) serve() error {
	if p.inheritedListener != nil {
		defer p.exchangeStates()()
		return p.loop.Serve(p.inheritedListener)
	}
	return p.loop.Run(p.cfg.ListenAddress)
}

// fail ends the process with an error, for which it could not start.
func (p *pooler) fail(err error) {
	p.failure = err
	p.loop.End()
}
