package main

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"

	"beechgrade/internal/config"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/snapshots"
)

// minProcessors is the least number of processors that the Go runtime uses. The event loop waits in system calls; with one processor, timers and
// dials would wait until the runtime's monitor notices that.
const minProcessors = 2

// memoryPercent is the part of the machine's memory that the Go runtime may take; the rest is for stacks and what its limit does not count.
const memoryPercent = 60

// closers are functions that close what was opened.
type closers []func()

// add adds a function.
func (c *closers) add(closeFunc func()) { *c = append(*c, closeFunc) }

// close calls all functions, the last one that was added first.
func (c *closers) close() {
	for _, closeFunc := range slices.Backward(*c) {
		closeFunc()
	}
}

// serve runs the daemon until it has ended after SIGTERM, or cannot go on.
func serve(verbose bool, settingsFile string) error {
	stop, reload := notifySignals()
	log := newLogger(verbose)
	cfg, set, keeper, err := loadConfig(settingsFile, log)
	if err != nil {
		return err
	}
	defer keeper.Stop()
	log = log.With("pooler", cfg.Name)
	runtime.GOMAXPROCS(max(minProcessors, runtime.GOMAXPROCS(0)))
	limitMemory(cfg, 1)
	set.Pooling.AddClasses(cfg)
	set.ClickHouse.AddClasses(cfg)
	p := newPooler(cfg, log)
	var opened closers
	defer opened.close()
	if err := p.openSubsystems(set, keeper, &opened); err != nil {
		return err
	}
	p.load = func() (*config.Config, error) { return reloadConfig(set) }
	if settingsFile != "" {
		p.reloaders = p.settingsReloaders(settingsFile)
	}
	return p.run(stop, reload)
}

// notifySignals returns the channels of signals to end and to reload. Each kind has a channel of its own: a signal that finds its channel full
// is dropped, and one of the same kind is enough.
func notifySignals() (stop, reload chan os.Signal) {
	stop = make(chan os.Signal, 1)
	reload = make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return stop, reload
}

// newLogger returns the log on standard error.
func newLogger(verbose bool) *slog.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// loadConfig reads the operators' settings, where there are any, and the configuration. With a log, the last good configuration stands in for a file
// that cannot be read, and the keeper that saves it is returned.
func loadConfig(settingsFile string, log *slog.Logger) (cfg *config.Config, set *settings.Settings, keeper *snapshots.Keeper, err error) {
	set = &settings.Settings{}
	cfg, err = config.Load(os.Getenv)
	if err != nil && !errors.Is(err, config.ErrIncomplete) {
		return nil, nil, nil, badInput{err}
	}
	if settingsFile != "" {
		var settingsErr error
		if set, settingsErr = settings.Load(settingsFile, os.Getenv); settingsErr != nil {
			return nil, nil, nil, badInput{errors.Join(err, settingsErr)}
		}
	}
	if log != nil {
		keeper = startSnapshots(set.Snapshots, set.Invariants, log)
	}
	if err != nil {
		cfg, err = snapshotConfig(keeper, err, os.Getenv, log)
	}
	if err == nil {
		err = errors.Join(set.Pooling.Check(cfg.Classes), set.Scatter.Check(&set.Pooling, &set.Cluster))
	}
	if err != nil {
		keeper.Stop()
		return nil, nil, nil, badInput{err}
	}
	return cfg, set, keeper, nil
}

// openSubsystems opens the optional parts, each where the settings have it on, and adds what closes them. The order matters: frontends come before
// what the list of servers is made from, storage before what is handed over, the fleet before what is decided on it.
func (p *pooler) openSubsystems(set *settings.Settings, keeper *snapshots.Keeper, opened *closers) error {
	if err := p.openFrontends(set); err != nil {
		return err
	}
	p.openEndpoints(set, keeper)
	p.settings = set
	var err error
	if p.inheritedListener, err = inheritListener(os.Getenv); err != nil {
		return badInput{err}
	}
	if err := p.openStorage(set, opened); err != nil {
		return err
	}
	p.inheritState(os.Getenv("TMPDIR"))
	if err := p.openCluster(set, opened); err != nil {
		return err
	}
	opened.add(p.openRecorder(set.Record))
	return nil
}

// openFrontends opens the frontends beside the platform's.
func (p *pooler) openFrontends(set *settings.Settings) error {
	if err := p.openScatter(set.Scatter, set.Cluster); err != nil {
		return err
	}
	p.openPooling(set.Pooling)
	p.openClickHouse(set.ClickHouse)
	return nil
}

// openEndpoints opens the sources of the list of servers, and the snapshots of the list and the configuration.
func (p *pooler) openEndpoints(set *settings.Settings, keeper *snapshots.Keeper) {
	if set.Endpoints.Enabled && keeper != nil {
		set.Endpoints.Options.SnapshotStore = savedEndpoints{keeper}
	}
	p.openSources(set.Endpoints)
	p.openSnapshots(keeper)
	p.saveConfig(p.cfg, os.Getenv("EDGE_CONFIG"))
}

// openStorage opens the journal of attempts and the sessions' commits.
func (p *pooler) openStorage(set *settings.Settings, opened *closers) error {
	closeJournal, err := p.openJournal(set.Journal)
	if err != nil {
		return err
	}
	opened.add(closeJournal)
	closeSessions, err := p.openSessionTokens(set.Sessions)
	if err != nil {
		return err
	}
	opened.add(closeSessions)
	return nil
}

// openCluster joins the fleet, and opens what is decided on it. The invariants are checked from here on.
func (p *pooler) openCluster(set *settings.Settings, opened *closers) error {
	if err := p.openPeers(set.Cluster, set.FleetLimits); err != nil {
		return err
	}
	p.openOverload(set.Overload)
	p.openOutlier(set.OutlierDetection)
	p.openInvariants(set.Invariants)
	opened.add(p.logInvariants)
	opened.add(p.openRaftLog(set.RaftLog))
	closeCredit, err := p.openCredit(set.Credit)
	if err != nil {
		return err
	}
	opened.add(closeCredit)
	closeZones, err := p.openZones(set.Zones)
	if err != nil {
		return err
	}
	opened.add(closeZones)
	return nil
}

// limitMemory limits the Go runtime's memory to this process's part of the machine's.
func limitMemory(cfg *config.Config, processes int) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * memoryPercent / 100 / int64(processes))
}
