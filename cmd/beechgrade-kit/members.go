package main

import (
	"context"
	"fmt"
	"math"
	"os"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/endpointreport"
	"beechgrade/internal/testkit/endpointreport/propagation"
	"beechgrade/internal/testkit/report"
)

// membersCommand shows what each source of the server list reported, and measures how fast a change propagates.
func membersCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "members", Usage: "tell from records which source of the server list said what, and what was made of it", ArgsUsage: "DIR...", Action: showMembers,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Usage: "of this `SERVER` alone"},
			&cli.BoolFlag{Name: "why", Usage: "each judgement with its reason"},
			asJSON(),
		},
		Commands: []*cli.Command{{
			Name: "measure", Usage: "time a change's way from a stand-in for Consul to the list, and what the watch costs", Action: measureMembers,
			Flags: []cli.Flag{
				&cli.IntSliceFlag{Name: "servers", Value: []int{10, 200, 2000}, Usage: "`NUMBER` of servers, one for each measurement"},
				&cli.IntFlag{Name: "services", Value: 8, Usage: "`NUMBER` of services that they are spread over"},
				&cli.FloatFlag{Name: "seconds", Value: 5, Usage: "for each"},
				asJSON(),
			},
		}},
	}
}

func showMembers(_ context.Context, c *cli.Command) error {
	set, err := openRecords(c)
	if err != nil {
		return err
	}
	m := endpointreport.New(c.String("server"))
	if err := set.Read(m); err != nil {
		return err
	}
	v := m.View()
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, v)
	}
	return report.Members(c.Root().Writer, v, c.Bool("why"))
}

const maxMeasuredServers = 20000 // servers in one measurement

func measureMembers(ctx context.Context, c *cli.Command) error {
	var all []*propagation.Result
	for _, n := range c.IntSlice("servers") {
		seconds := c.Float("seconds")
		if n < 1 || n > maxMeasuredServers || c.Int("services") < 1 || c.Int("services") > 500 || !(seconds > 0 && seconds <= 600) || math.IsNaN(seconds) {
			return fmt.Errorf("--servers must be from 1 to %d, --services from 1 to 500, and --seconds above 0 and at most 600", maxMeasuredServers)
		}
		if !c.Bool("json") {
			fmt.Fprintf(os.Stderr, "%d servers ...\n", n)
		}
		r, err := propagation.Measure(ctx, n, min(n, c.Int("services")), seconds)
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, all)
	}
	return propagation.Text(c.Root().Writer, all)
}
