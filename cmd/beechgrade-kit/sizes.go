package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/sizes"
)

// sizesCommand measures what a pooler needs in front of different numbers of servers.
func sizesCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "sizes", Usage: "measure what a pooler needs before fleets of different sizes, and hold it to the bounds", Action: measureSizes,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "servers", Value: []int{200, 1000, 3200}, Usage: "`NUMBER` of database servers, one for each measurement; the first is the usual size"},
			&cli.FloatFlag{Name: "rate", Value: 60, Usage: "requests a second"},
			&cli.FloatFlag{Name: "seconds", Value: 25, Usage: "for each size"},
			&cli.StringFlag{Name: "out", Value: "sizes", Usage: "the `DIR` for logs"},
			&cli.StringFlag{Name: "daemon", Usage: "the daemon's program `FILE`; else the one beside this program"},
			asJSON(),
		},
	}
}

func measureSizes(ctx context.Context, c *cli.Command) error {
	daemon, err := daemonOf(c)
	if err != nil {
		return err
	}
	folder := c.String("out")
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return err
	}
	var all []*sizes.Needs
	for _, servers := range c.IntSlice("servers") {
		needs, err := sizes.Measure(ctx, servers, sizes.Options{Daemon: daemon, Folder: folder, Rate: c.Float("rate"), Seconds: c.Float("seconds")})
		if err != nil {
			return failed{err}
		}
		all = append(all, needs)
	}
	if c.Bool("json") {
		return jsoniter.NewEncoder(c.Root().Writer).Encode(all)
	}
	return printSizes(c, all)
}

// printSizes writes the table. It fails if a measurement exceeds its bound.
func printSizes(c *cli.Command, all []*sizes.Needs) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(w, "servers")
	for _, needs := range all {
		_, _ = fmt.Fprintf(w, "\t%d\tat most", needs.Servers)
	}
	_, _ = fmt.Fprintln(w)
	exceeded := 0
	for _, bound := range sizes.Bounds() {
		_, _ = fmt.Fprint(w, bound.Name)
		for _, needs := range all {
			mark := ""
			if !bound.Holds(all[0], needs) {
				mark = " BROKEN"
				exceeded++
			}
			_, _ = fmt.Fprintf(w, "\t%.2f\t%.2f%s", bound.Of(needs), bound.Limit(all[0], needs), mark)
		}
		_, _ = fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if exceeded > 0 {
		return failed{fmt.Errorf("%d bounds are not kept", exceeded)}
	}
	return nil
}
