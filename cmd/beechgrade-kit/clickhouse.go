package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/rehearse"
)

// clickhouseCommand measures the ClickHouse frontend.
func clickhouseCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "clickhouse", Usage: "measure the ClickHouse front beside a stand-in reached directly and through a reverse proxy",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "seconds", Value: 5, Usage: "for each part, `NUMBER`"},
			&cli.FloatFlag{Name: "gigabytes", Value: 1, Usage: "of a long answer and a long body, `NUMBER`"},
			&cli.IntFlag{Name: "idle", Value: 1000, Usage: "`NUMBER` of clients that only stay connected"},
			&cli.StringFlag{Name: "out", Value: "clickhouse", Usage: "the `DIR` for logs"},
			&cli.StringFlag{Name: "daemon", Usage: "the daemon's program `FILE`; else the one beside this program"},
			asJSON(),
		},
		Action: measureClickHouse,
		// The measurement runs this command as the reverse proxy, in a process of its own.
		Commands: []*cli.Command{{Name: "reverse-proxy", Hidden: true, ArgsUsage: "ADDRESS", Action: func(_ context.Context, c *cli.Command) error {
			target := c.Args().First()
			if err := onThisMachine(target); err != nil {
				return err
			}
			return rehearse.ReverseProxy(target, os.Stdout)
		}}},
	}
}

func measureClickHouse(ctx context.Context, c *cli.Command) error {
	if s, g, n := c.Float("seconds"), c.Float("gigabytes"), c.Int("idle"); !(s > 0 && s <= 600 && g > 0 && g <= 100) || n < 0 || n > 20000 {
		return errors.New("clickhouse: --seconds must be above 0 and at most 600, --gigabytes above 0 and at most 100, and --idle from 0 to 20000")
	}
	daemon, err := daemonOf(c)
	if err != nil {
		return err
	}
	kit, err := os.Executable()
	if err != nil {
		return err
	}
	paths, err := rehearse.MeasureClickHouse(ctx, rehearse.ClickHouseOptions{Daemon: daemon, Kit: kit, Out: c.String("out"), Seconds: c.Float("seconds"), Gigabytes: c.Float("gigabytes"), Idle: c.Int("idle"),
		Log: slog.New(slog.DiscardHandler), Stage: func(name string) { fmt.Fprintf(os.Stderr, "\r\033[K%s ...", name) }})
	fmt.Fprint(os.Stderr, "\r\033[K")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, paths)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "way\tp50 ms\tp99 ms\tqueries/s\tCPU us a query\tqueries/s and core\tanswer MB/s\tCPU s/GB\tbody MB/s\tCPU s/GB\tpeak MB\tbytes an idle client\tnot as expected")
	for _, x := range paths {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.0f\t%.1f\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.1f\t%.0f\t%d\n", x.Path, x.P50, x.P99, x.PerSecond, x.CPUMicros, x.PerCore, x.DownMB, x.DownCPU, x.UpMB, x.UpCPU, x.PeakMB, x.IdleBytes, x.Broken)
	}
	return w.Flush()
}
