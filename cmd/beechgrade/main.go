// Command beechgrade is a pooler before groups of PostgreSQL-speaking servers.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/config"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/snapshots"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade:", err)
		if errors.As(err, new(badInput)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// badInput is a fault of what the program was given, not of what it did.
type badInput struct{ error }

func (b badInput) Unwrap() error { return b.error }

func command() *cli.Command {
	verbose := &cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log what is of use only when looking for a fault"}
	settingsFlag := &cli.StringFlag{Name: "settings", Sources: cli.EnvVars("EDGE_SETTINGS"), Usage: "the operators' settings, a `FILE` of S-expressions"}
	return &cli.Command{
		Name:           "beechgrade",
		Usage:          "a pooler before groups of PostgreSQL-speaking servers",
		DefaultCommand: "serve",
		Flags:          []cli.Flag{verbose, settingsFlag},
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "serve clients until SIGTERM; what it needs to know is in $EDGE_CONFIG",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Present() { // serve is the default: a mistyped command must not start it
						return badInput{fmt.Errorf("unknown command or argument %q; see --help", c.Args().First())}
					}
					return serve(c.Bool("verbose"), c.String("settings"))
				},
			},
			{
				Name:  "check",
				Usage: "read the configuration and tell what is in it",
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, set, _, err := read(c.String("settings"), nil)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "%s: listens on %s, asks %s; %d classes, %d servers known, %d sockets, %d MB\n",
						cfg.Name, cfg.ListenAddress, cfg.DiscoveryAddress, len(cfg.Classes), len(cfg.InitialList.Instances),
						cfg.Limits.Sockets, cfg.Limits.MemoryMB)
					if r := set.Record; r.Enabled {
						fmt.Fprintf(c.Root().Writer, "records: to %s, files of %d bytes, %d in all\n", r.Dir, r.SegmentBytes, r.TotalBytes)
					} else {
						fmt.Fprintln(c.Root().Writer, "records: off")
					}
					if o := set.Pooling; o.Listen != "" {
						fmt.Fprintf(c.Root().Writer, "pooling: listens on %s, %d pools\n", o.Listen, len(o.Pools))
					} else {
						fmt.Fprintln(c.Root().Writer, "pooling: off")
					}
					if s := set.Scatter; s.Enabled {
						fmt.Fprintf(c.Root().Writer, "scatter: %d reads\n", len(s.Specs))
					} else {
						fmt.Fprintln(c.Root().Writer, "scatter: off")
					}
					if h := set.ClickHouse; h.Listen != "" {
						fmt.Fprintf(c.Root().Writer, "clickhouse: listens on %s, for group %d\n", h.Listen, h.Group)
					} else {
						fmt.Fprintln(c.Root().Writer, "clickhouse: off")
					}
					if j := set.Journal; j.Dir != "" {
						fmt.Fprintf(c.Root().Writer, "journal: in %s, %s an attempt goes out, at most %d bytes\n", j.Dir, j.Mode, j.MaxBytes)
					} else {
						fmt.Fprintln(c.Root().Writer, "journal: off")
					}
					if x := set.Sessions; x.Dir != "" {
						fmt.Fprintf(c.Root().Writer, "sessions: commits in %s, %s an answer goes out, at most %d bytes\n", x.Dir, x.Mode, x.MaxBytes)
					} else {
						fmt.Fprintln(c.Root().Writer, "sessions: off")
					}
					if k := set.Snapshots; k.Dir != "" {
						fmt.Fprintf(c.Root().Writer, "kept: configuration and list, in %s, for %.0f s\n", k.Dir, k.MaxAgeMs/1000)
					} else {
						fmt.Fprintln(c.Root().Writer, "kept: off")
					}
					if f := set.Cluster; f.Enabled {
						if _, err := f.Key(); err != nil {
							return badInput{err}
						}
						fmt.Fprintf(c.Root().Writer, "peers: listens on %s, %d seeds\n", f.Listen, len(f.View.SeedAddresses))
					} else {
						fmt.Fprintln(c.Root().Writer, "peers: off")
					}
					if l := set.FleetLimits; l.Enabled {
						fmt.Fprintf(c.Root().Writer, "fleet limits: %d\n", len(l.Limits))
					} else {
						fmt.Fprintln(c.Root().Writer, "fleet limits: off")
					}
					if a := set.RaftLog; a.Enabled {
						fmt.Fprintf(c.Root().Writer, "agreed: %d voters, in %s\n", len(a.Settings.Voters), a.Dir)
					} else {
						fmt.Fprintln(c.Root().Writer, "agreed: off")
					}
					if z := set.Zones; z.Enabled {
						fmt.Fprintf(c.Root().Writer, "zones: %d decided together, %d orders\n", len(z.Zones), len(z.Order))
					} else {
						fmt.Fprintln(c.Root().Writer, "zones: off")
					}
					if x := set.Credit; x.Enabled {
						fmt.Fprintf(c.Root().Writer, "credit: %d prices, %d payments of %d tenants\n", len(x.Prices), len(x.Payments), len(x.Prepaid))
					} else {
						fmt.Fprintln(c.Root().Writer, "credit: off")
					}
					if m := set.Endpoints; m.Enabled {
						fmt.Fprintf(c.Root().Writer, "membership: by %s\n", strings.Join(m.Options.Reconcile.Sources, ", then "))
					} else {
						fmt.Fprintln(c.Root().Writer, "membership: by the platform's discovery")
					}
					if i := set.Invariants; i.Enabled {
						fmt.Fprintf(c.Root().Writer, "invariants: checked, a walk each %d changes\n", i.WalkInterval)
					} else {
						fmt.Fprintln(c.Root().Writer, "invariants: off")
					}
					return nil
				},
			},
			{
				Name:  "version",
				Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					fmt.Fprintln(c.Root().Writer, "beechgrade", version())
					return nil
				},
			},
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version + " " + info.GoVersion
}

// read reads the operators' settings, where there are any, and the configuration; where there is a log, that may be one that was
// kept, and the keeper goes on from there.
func read(settingsFile string, log *slog.Logger) (cfg *config.Config, set *settings.Settings, k *snapshots.Keeper, err error) {
	set = &settings.Settings{}
	cfg, err = config.Load(os.Getenv)
	if err != nil && !errors.Is(err, config.ErrIncomplete) {
		return nil, nil, nil, badInput{err}
	}
	if settingsFile != "" {
		var fault error
		if set, fault = settings.Load(settingsFile, os.Getenv); fault != nil {
			return nil, nil, nil, badInput{errors.Join(err, fault)}
		}
	}
	if log != nil {
		k = startSnapshots(set.Snapshots, set.Invariants, log)
	}
	if err != nil {
		cfg, err = snapshotConfig(k, err, os.Getenv, log)
	}
	if err == nil {
		err = errors.Join(set.Pooling.Check(cfg.Classes), set.Scatter.Check(&set.Pooling, &set.Cluster))
	}
	if err != nil {
		k.Stop()
		return nil, nil, nil, badInput{err}
	}
	return cfg, set, k, nil
}

func serve(verbose bool, settingsFile string) error {
	// Each has a channel of its own: a signal that finds its channel full is dropped, and one of the same kind will do.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	cfg, set, keeper, err := read(settingsFile, log)
	if err != nil {
		return err
	}
	defer keeper.Stop()
	log = log.With("pooler", cfg.Name)
	// The loop sits in a system call while it waits. With one processor, Go hands that on to timers and
	// dials only after its monitor has looked, up to 10 ms later; with two, at once.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	limitMemory(cfg, 1)
	set.Pooling.AddClasses(cfg)
	set.ClickHouse.AddClasses(cfg)
	p := newPooler(cfg, log)
	if err := p.openScatter(set.Scatter, set.Cluster); err != nil {
		return err
	}
	p.openPooling(set.Pooling)
	p.openClickHouse(set.ClickHouse)
	if set.Endpoints.Enabled && keeper != nil {
		set.Endpoints.Options.SnapshotStore = savedEndpoints{keeper}
	}
	p.openSources(set.Endpoints)
	p.openSnapshots(keeper)
	p.saveConfig(cfg, os.Getenv("EDGE_CONFIG"))
	p.settings = set
	if p.inheritedListener, err = inherit(os.Getenv); err != nil {
		return badInput{err}
	}
	end, err := p.openJournal(set.Journal)
	if err != nil {
		return err
	}
	defer end()
	endSessions, err := p.openSessionTokens(set.Sessions)
	if err != nil {
		return err
	}
	defer endSessions()
	p.inheritKnown(os.Getenv("TMPDIR"))
	if err := p.openPeers(set.Cluster, set.FleetLimits); err != nil {
		return err
	}
	p.openOverload(set.Overload)
	p.openOutlier(set.OutlierDetection)
	if settingsFile != "" && set.Cluster.Enabled {
		p.loadLimits = func() (*settings.FleetLimits, error) {
			next, err := settings.Load(settingsFile, os.Getenv)
			if err != nil {
				return nil, err
			}
			return &next.FleetLimits, nil
		}
	}
	p.load = func() (*config.Config, error) {
		next, err := config.Reload(os.Getenv)
		if err == nil {
			err = set.Pooling.Check(next.Classes)
		}
		if err != nil {
			return nil, err
		}
		set.Pooling.AddClasses(next)
		set.ClickHouse.AddClasses(next)
		return next, nil
	}
	p.openInvariants(set.Invariants)
	defer p.logInvariants()
	defer p.openRaftLog(set.RaftLog)()
	unpay, err := p.openCredit(set.Credit)
	if err != nil {
		return err
	}
	defer unpay()
	if p.credit != nil {
		p.loadCredit = func() (*settings.Credit, error) {
			next, err := settings.Load(settingsFile, os.Getenv)
			if err != nil {
				return nil, err
			}
			return &next.Credit, nil
		}
	}
	unzone, err := p.openZones(set.Zones)
	if err != nil {
		return err
	}
	defer unzone()
	if p.zones != nil {
		p.loadZones = func() (*settings.Zones, error) {
			next, err := settings.Load(settingsFile, os.Getenv)
			if err != nil {
				return nil, err
			}
			return &next.Zones, nil
		}
	}
	defer p.openRecorder(set.Record)()
	return p.run(stop, reload)
}

// limitMemory leaves the runtime a part of what the machine has; the rest is for stacks and what the limit does not see.
func limitMemory(cfg *config.Config, processes int) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10 / int64(processes))
}
