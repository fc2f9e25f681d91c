package main

import (
	"context"
	"errors"
	"fmt"
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
		Name: "load", Usage: "ask poolers on this machine in open loop, and time the answers from when they were due", Action: fire,
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

const maxLoadRate, maxLoadSeconds = 200000, 3600

// fire runs the load tool.
func fire(ctx context.Context, c *cli.Command) error {
	classes := clients.Classes()
	if c.String("clickhouse") != "" {
		classes = clients.ClickHouseClasses()
	}
	p := load.Pattern{Shape: load.Shape(c.String("shape")), From: c.Float("rate"), To: c.Float("to"), Seconds: c.Float("seconds"), Groups: c.Int("groups"),
		Sessions: c.Int("sessions"), Seed: c.Uint64("seed")}
	if p.To == 0 {
		p.To = p.From
	}
	for _, k := range classes {
		p.Mix = append(p.Mix, load.Mix{Class: k.Name, Share: k.Share, Writes: k.Read == clients.Write})
	}
	switch {
	case p.Shape != load.Constant && p.Shape != load.Poisson:
		return fmt.Errorf("--shape %q: constant or poisson", p.Shape)
	case !(p.From > 0 && p.To > 0 && max(p.From, p.To) <= maxLoadRate):
		return fmt.Errorf("--rate and --to: above 0 and at most %d", maxLoadRate)
	case !(p.Seconds > 0 && p.Seconds <= maxLoadSeconds):
		return fmt.Errorf("--seconds: above 0 and at most %d", maxLoadSeconds)
	}
	addrs := slices.Concat(c.StringSlice("target"), hostOf(c.String("pooling")), hostOf(c.String("clickhouse")))
	if given := min(1, len(c.StringSlice("target"))) + len(hostOf(c.String("pooling"))) + len(hostOf(c.String("clickhouse"))); given != 1 {
		return errors.New("--target, --pooling or --clickhouse is due, one of them")
	}
	for _, a := range addrs {
		if err := onThisMachine(a); err != nil {
			return err
		}
	}
	src := p.Source()
	if dirs := c.StringSlice("replay"); len(dirs) > 0 {
		set, err := records.Open(false, dirs...)
		if err != nil {
			return err
		}
		if src, err = load.Replay(set, c.Float("speed")); err != nil {
			return err
		}
	}
	var target interface {
		load.Target
		Close()
	} = &load.Platform{Addrs: c.StringSlice("target"), Classes: classes, Seed: p.Seed}
	if at := c.String("pooling"); at != "" {
		target = &load.Pooling{URL: at, Read: c.String("read"), Write: c.String("write"), TimeoutMs: 5000}
	}
	if at := c.String("clickhouse"); at != "" {
		target = &load.House{URL: at, Read: "SELECT content FROM kv WHERE name = '?'", Write: "INSERT INTO kv (name, content) VALUES ('?', unhex('00'))", TimeoutMs: 5000}
	}
	defer target.Close()
	o := load.Options{Out: c.Int("out-most"), EveryMs: 1000}
	if !c.Bool("json") && !c.Bool("live") {
		o.Progress = func(s load.Snapshot) {
			fmt.Fprintf(os.Stderr, "\r%4.0f s  %8d due  %8.0f served/s  %6d out  p50 %7.1f ms  p99 %7.1f ms ", s.AtMs/1000, s.Due, s.PerSecond, s.Out, s.P50, s.P99)
		}
	}
	var r *load.Result
	var err error
	if c.Bool("live") {
		run, stop := context.WithCancel(ctx)
		defer stop()
		title := strings.Join(addrs, " ")
		if failed := live.Run(ctx, live.New(title, p.Seconds, stop), func(progress func(load.Snapshot)) {
			o.Progress = progress
			r, err = load.Run(run, src, target, o)
		}); failed != nil {
			return failed
		}
	} else {
		r, err = load.Run(ctx, src, target, o)
	}
	if o.Progress != nil && !c.Bool("live") {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if path := c.String("report"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		if err := errors.Join(load.HTML(f, r, "Load"), f.Close()); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		err = writeJSON(c.Root().Writer, r)
	} else {
		err = load.Text(c.Root().Writer, r)
	}
	if err == nil && r.Served() == 0 {
		return failed{errors.New("nothing was served")}
	}
	return err
}

// hostOf is the address within a URL, none for none.
func hostOf(text string) []string {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil {
		return []string{text} // which is then refused
	}
	return []string{u.Host}
}

// onThisMachine refuses every address but those of this machine: a load tool aimed wrongly is an attack.
func onThisMachine(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q: %w", addr, err)
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q: only poolers on this machine are asked, at a loopback address", addr)
	}
	return nil
}
