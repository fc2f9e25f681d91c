package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/load"
	"beechgrade/internal/testkit/load/live"
	"beechgrade/internal/testkit/records"
)

// loadCommand is the load tool.
func loadCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "ask poolers on this machine in open loop, and time the answers from when they were due", Action: runLoad,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "a pooler's `ADDRESS`; several share the sessions"},
			&cli.StringFlag{Name: "pooling", Usage: "in place of targets: the pooling front's `URL`, postgres://USER@ADDRESS/DATABASE"},
			&cli.StringFlag{Name: "clickhouse", Usage: "in place of targets: the ClickHouse front's `URL`, http://USER@ADDRESS"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second, `NUMBER`"},
			&cli.FloatFlag{Name: "to", Usage: "the rate at the end, `NUMBER`; it rises or falls evenly"},
			&cli.StringFlag{Name: "shape", Value: string(load.Poisson), Usage: "of the arrivals: constant or poisson"},
			&cli.FloatFlag{Name: "seconds", Value: 10, Usage: "how long, `NUMBER`"},
			&cli.IntFlag{Name: "groups", Value: 1, Usage: "`NUMBER` of groups asked"},
			&cli.IntFlag{Name: "sessions", Value: 400, Usage: "`NUMBER` of sessions"},
			&cli.IntFlag{Name: "out-most", Value: 5000, Usage: "`NUMBER` of requests that may be out at once; beyond it they count as not sent"},
			&cli.StringSliceFlag{Name: "replay", Usage: "the requests of a recorded day, from the records in this `DIR`, in place of a rate"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "of the replay, so many `TIMES`"},
			&cli.StringFlag{Name: "read", Value: "SELECT content FROM kv WHERE name = $1", Usage: "`SQL` of a read, at the pooling front"},
			&cli.StringFlag{Name: "write", Value: "INSERT INTO kv (name, content) VALUES ($1, $2)", Usage: "`SQL` of a write, there"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "what is drawn follows from this `NUMBER`"},
			&cli.StringFlag{Name: "report", Usage: "an HTML `FILE` to write"},
			&cli.BoolFlag{Name: "live", Usage: "show the course in a console; the result comes after it"},
			asJSON(),
		},
	}
}

// Bounds of the load tool.
const (
	maxLoadRate    = 200000 // requests per second
	maxLoadSeconds = 3600
	loadTimeoutMs  = 5000 // of a request to the pooling or the ClickHouse frontend
	loadSampleMs   = 1000 // between two snapshots of the progress
)

// loadTarget receives the requests of the load tool.
type loadTarget interface {
	load.Target
	Close()
}

// runLoad sends the load that the flags describe and reports the result.
func runLoad(ctx context.Context, c *cli.Command) error {
	classes := clients.Classes()
	if c.String("clickhouse") != "" {
		classes = clients.ClickHouseClasses()
	}
	pattern, err := loadPattern(c, classes)
	if err != nil {
		return err
	}
	addrs, err := loadAddrs(c)
	if err != nil {
		return err
	}
	src := pattern.Source()
	if dirs := c.StringSlice("replay"); len(dirs) > 0 {
		set, err := records.Open(false, dirs...)
		if err != nil {
			return err
		}
		if src, err = load.Replay(set, c.Float("speed")); err != nil {
			return err
		}
	}
	target := newLoadTarget(c, classes, pattern.Seed)
	defer target.Close()
	options := load.Options{MaxInFlight: c.Int("out-most"), SnapshotIntervalMs: loadSampleMs}
	var result *load.Result
	if c.Bool("live") {
		run, stop := context.WithCancel(ctx)
		defer stop()
		console := live.New(strings.Join(addrs, " "), pattern.Seconds, stop)
		consoleErr := live.Run(ctx, console, func(progress func(load.Snapshot)) {
			options.Progress = progress
			result, err = load.Run(run, src, target, options)
		})
		if consoleErr != nil {
			return consoleErr
		}
	} else {
		if !c.Bool("json") {
			options.Progress = printProgress
		}
		result, err = load.Run(ctx, src, target, options)
		if options.Progress != nil {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return reportLoad(c, result)
}

// loadPattern is the pattern of requests that the flags describe.
func loadPattern(c *cli.Command, classes []clients.Class) (load.Pattern, error) {
	p := load.Pattern{
		Shape:    load.Shape(c.String("shape")),
		From:     c.Float("rate"),
		To:       c.Float("to"),
		Seconds:  c.Float("seconds"),
		Groups:   c.Int("groups"),
		Sessions: c.Int("sessions"),
		Seed:     c.Uint64("seed"),
	}
	if p.To == 0 {
		p.To = p.From
	}
	for _, class := range classes {
		p.Mix = append(p.Mix, load.Mix{Class: class.Name, Share: class.Share, Writes: class.Read == clients.Write})
	}
	switch {
	case p.Shape != load.Constant && p.Shape != load.Poisson:
		return p, fmt.Errorf("--shape %q: must be constant or poisson", p.Shape)
	case !(p.From > 0 && p.To > 0 && max(p.From, p.To) <= maxLoadRate):
		return p, fmt.Errorf("--rate and --to: must be above 0 and at most %d", maxLoadRate)
	case !(p.Seconds > 0 && p.Seconds <= maxLoadSeconds):
		return p, fmt.Errorf("--seconds: must be above 0 and at most %d", maxLoadSeconds)
	}
	return p, nil
}

// loadAddrs are the addresses of the targets. Exactly one kind of target must be given, and all addresses must be on this machine.
func loadAddrs(c *cli.Command) ([]string, error) {
	platform, pooling, clickhouse := c.StringSlice("target"), hostOf(c.String("pooling")), hostOf(c.String("clickhouse"))
	if min(1, len(platform))+len(pooling)+len(clickhouse) != 1 {
		return nil, errors.New("load: exactly one of --target, --pooling and --clickhouse is required")
	}
	addrs := slices.Concat(platform, pooling, clickhouse)
	for _, addr := range addrs {
		if err := onThisMachine(addr); err != nil {
			return nil, err
		}
	}
	return addrs, nil
}

// newLoadTarget is the target that the flags name.
func newLoadTarget(c *cli.Command, classes []clients.Class, seed uint64) loadTarget {
	if at := c.String("clickhouse"); at != "" {
		return &load.ClickHouse{
			URL:       at,
			Read:      "SELECT content FROM kv WHERE name = '?'",
			Write:     "INSERT INTO kv (name, content) VALUES ('?', unhex('00'))",
			TimeoutMs: loadTimeoutMs,
		}
	}
	if at := c.String("pooling"); at != "" {
		return &load.Pooling{URL: at, Read: c.String("read"), Write: c.String("write"), TimeoutMs: loadTimeoutMs}
	}
	return &load.Platform{Addrs: c.StringSlice("target"), Classes: classes, Seed: seed}
}

// printProgress writes a snapshot to standard error, over the previous one.
func printProgress(s load.Snapshot) {
	fmt.Fprintf(os.Stderr, "\r%4.0f s  %8d due  %8.0f served/s  %6d out  p50 %7.1f ms  p99 %7.1f ms ", s.AtMs/1000, s.Due, s.PerSecond, s.InFlight, s.P50, s.P99)
}

// reportLoad writes the result. It fails if no request was served.
func reportLoad(c *cli.Command, result *load.Result) error {
	if path := c.String("report"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		if err := errors.Join(load.HTML(file, result, "Load"), file.Close()); err != nil {
			return err
		}
	}
	write := load.Text
	if c.Bool("json") {
		write = func(w io.Writer, result *load.Result) error { return writeJSON(w, result) }
	}
	if err := write(c.Root().Writer, result); err != nil {
		return err
	}
	if result.Served() == 0 {
		return failed{errors.New("nothing was served")}
	}
	return nil
}

// hostOf is the host and port of a URL, empty for an empty text.
func hostOf(text string) []string {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil {
		return []string{text} // onThisMachine rejects it
	}
	return []string{u.Host}
}

// onThisMachine rejects every address that is not a loopback address, as load sent to another machine by mistake would be an attack.
func onThisMachine(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q: %w", addr, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q: not a loopback address; only poolers on this machine may be targets", addr)
	}
	return nil
}
