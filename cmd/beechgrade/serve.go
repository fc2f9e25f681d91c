package main

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"beechgrade/internal/config"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/snapshots"
)

// minProcessors is the least number of processors that the Go runtime uses. The event loop waits in system calls; with one processor, timers and
// dials would wait until the runtime's monitor notices that.
const minProcessors = 2

// closers are the functions that close opened subsystems.
type closers []func()

func (c *closers) add(closeFunc func()) { *c = append(*c, closeFunc) }

// close calls the functions in the reverse of the order in which they were added.
func (c *closers) close() {
	for _, closeFunc := range slices.Backward(*c) {
		closeFunc()
	}
}

// serve runs the daemon until its shutdown after SIGTERM or SIGINT is complete, or until it fails.
func serve(verbose bool, settingsFile string) error {
	stop, reload := notifySignals()
	log := newLogger(verbose)
	cfg, set, keeper, err := loadConfig(settingsFile, log)
	if err != nil {
		return err
	}
	defer keeper.Stop()
	log = log.With("pooler", cfg.Name)
	if err := checkLeastMemory(cfg.Limits.MemoryMB); err != nil {
		return badInput{err}
	}
	limitProcessors(cfg.Limits.Cores)
	set.Pooling.AddClasses(cfg)
	set.ClickHouse.AddClasses(cfg)
	p := newPooler(cfg, log)
	p.ownsProcess = true
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

// notifySignals returns the channels for signals to stop and to reload. Each kind has its own channel: a signal is dropped where its channel is
// full, which is safe only if the pending signal is of the same kind.
func notifySignals() (stop, reload chan os.Signal) {
	stop = make(chan os.Signal, 1)
	reload = make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return stop, reload
}

// newLogger returns a logger that writes to standard error.
func newLogger(verbose bool) *slog.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// loadConfig reads the configuration, and the operators' settings where a file is given. With a logger, it also opens the snapshots and returns
// their keeper, and a configuration file that cannot be read completely is replaced by the last saved configuration.
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

// openSubsystems opens the optional subsystems that the settings enable, and adds the functions that close them. The order matters: frontends come
// before the sources of the server list, storage before the state of another process, and the cluster before the subsystems that communicate over it.
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

// openFrontends opens the optional frontends; the platform's is always there.
func (p *pooler) openFrontends(set *settings.Settings) error {
	if err := p.openScatter(set.Scatter, set.Cluster); err != nil {
		return err
	}
	p.openPooling(set.Pooling)
	p.openClickHouse(set.ClickHouse)
	return nil
}

// openEndpoints opens the sources of the server list, and the snapshots of the list and of the configuration.
func (p *pooler) openEndpoints(set *settings.Settings, keeper *snapshots.Keeper) {
	if set.Endpoints.Enabled && keeper != nil {
		set.Endpoints.Options.SnapshotStore = savedEndpoints{keeper}
	}
	p.openSources(set.Endpoints)
	p.openSnapshots(keeper)
	p.saveConfig(p.cfg, os.Getenv("EDGE_CONFIG"))
}

// openStorage opens the journal of attempts and the store of sessions' commits.
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

// openCluster makes the pooler a member of the fleet, and opens the subsystems that poolers run together. Invariants are checked from here on.
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
