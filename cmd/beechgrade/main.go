// Command beechgrade is a pooler before groups of PostgreSQL-speaking servers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/config"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	verbose := &cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log what is of use only when looking for a fault"}
	return &cli.Command{
		Name:           "beechgrade",
		Usage:          "a pooler before groups of PostgreSQL-speaking servers",
		DefaultCommand: "serve",
		Flags:          []cli.Flag{verbose},
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "serve clients until SIGTERM; what it needs to know is in $EDGE_CONFIG",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Present() { // serve is the default: a mistyped command must not start it
						return fmt.Errorf("unknown command or argument %q; see --help", c.Args().First())
					}
					return serve(c.Bool("verbose"))
				},
			},
			{
				Name:  "check",
				Usage: "read the configuration and tell what is in it",
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := config.Load(os.Getenv)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "%s: listens on %s, asks %s; %d classes, %d servers known, %d sockets, %d MB\n",
						cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Classes), len(cfg.Known.Instances),
						cfg.Limits.Sockets, cfg.Limits.MemoryMB)
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

func serve(verbose bool) error {
	// Each has a channel of its own: a signal that finds its channel full is dropped, and one of the same kind will do.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("pooler", cfg.Name)
	// The loop sits in a system call while it waits. With one processor, Go hands that on to timers and
	// dials only after its monitor has looked, up to 10 ms later; with two, at once.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	limitMemory(cfg)
	p := newPooler(cfg, log)
	p.load = func() (*config.Config, error) { return config.Reload(os.Getenv) }
	return p.run(stop, reload)
}

// limitMemory leaves the runtime a part of what the machine has; the rest is for stacks and what the limit does not see.
func limitMemory(cfg *config.Config) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10)
}
