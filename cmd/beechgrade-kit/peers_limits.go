package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

// limitRow holds the measurements of one value of a limit's setting "manner", for one pattern of demand and one state of the fleet, over
// all seeds: means, except that MaxOver is the maximum and Breaches the sum.
type limitRow struct {
	Poolers  int     `json:"poolers"`
	Demand   string  `json:"demand"`
	State    string  `json:"state"`
	Manner   string  `json:"manner"`
	PartUsed float64 `json:"part_used"` // of the limit, the mean over the seeds
	MaxOver  float64 `json:"most_over_the_burst"`
	Messages float64 `json:"messages_a_second"`
	Bytes    float64 `json:"bytes_a_second"`
	P99      float64 `json:"served_p99_ms"`
	Breaches int     `json:"breaches"`
}

var (
	limitDemands = []struct{ name, text string }{{"even", ""}, {"skewed", "(skew 0.9)"}, {"swinging", "(skew 0.9) (swing 5s)"}}
	limitManners = []string{"fixed", "soon-even", "never-over"}
	limitStates  = []string{"calm", "partition", "owner killed"}
)

// peersLimitsCommand measures how well the manners of dividing a fleet-wide limit use it.
func peersLimitsCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "limits", Usage: "measure in virtual time how much of a limit of the whole fleet is used, and how far over, by each manner", Action: measureLimits,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "poolers", Value: []int{8, 100, 300}, Usage: "`NUMBER` of poolers, one for each measurement"},
			&cli.IntFlag{Name: "seeds", Value: 2, Usage: "`NUMBER` of runs of each"},
			&cli.IntFlag{Name: "at-a-time", Value: 4, Usage: "`NUMBER` of runs at a time"},
			asJSON(),
		},
	}
}

// limitScript is the scenario of a measurement: a tenant sends about twice its limit of 200 requests per second.
func limitScript(n int, demand, state, manner string) string {
	fault := ""
	switch state {
	case "partition":
		var a, b strings.Builder
		for i := range n {
			if i < n*3/8 {
				fmt.Fprint(&a, " ", i)
			} else {
				fmt.Fprint(&b, " ", i)
			}
		}
		fault = fmt.Sprintf("(at 30s (between (%s) (%s) cut) (for 15s))", a.String(), b.String())
	case "owner killed":
		fault = `(at 30s (kill-pooler owner "a") (for 15s))`
	}
	return fmt.Sprintf(`(rehearsal "limits" (seconds 60) (poolers %d) (rate 500) (groups 3 3 3 3) (retries 0) (tenant "a" (share 0.8)) (tenant "b" (share 0.2)) (peers) %s %s
		(fleet-limits (limit "a" (of tenant "a") (rate 200) (burst 200) (manner %s))))`, n, demand, fault, manner)
}

func measureLimits(ctx context.Context, c *cli.Command) error {
	var rows []*limitRow
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs error
	slots := make(chan struct{}, max(1, c.Int("at-a-time")))
	for _, n := range c.IntSlice("poolers") {
		if n < 4 || n > 1000 {
			return fmt.Errorf("--poolers %d: must be from 4 to 1000", n)
		}
		for _, d := range limitDemands {
			for _, state := range limitStates {
				for _, manner := range limitManners {
					row := &limitRow{Poolers: n, Demand: d.name, State: state, Manner: manner}
					rows = append(rows, row)
					for seed := range c.Int("seeds") {
						wg.Add(1)
						go func() {
							defer wg.Done()
							slots <- struct{}{}
							defer func() { <-slots }()
							r, err := runLimit(ctx, limitScript(n, d.text, state, manner), uint64(seed+1))
							mu.Lock()
							defer mu.Unlock()
							if errs = errors.Join(errs, err); err != nil {
								return
							}
							weight, use := 1/float64(c.Int("seeds")), r.Limits.Usages[0]
							row.PartUsed += use.UsedShare * weight
							row.MaxOver = max(row.MaxOver, use.MaxOverBurst)
							row.Messages, row.Bytes, row.P99 = row.Messages+r.Limits.Messages*weight, row.Bytes+r.Limits.Bytes*weight, row.P99+r.P99*weight
							row.Breaches += r.Verdict.Broken[checker.FleetLimit]
						}()
					}
				}
			}
		}
	}
	if wg.Wait(); errs != nil {
		return errs
	}
	if c.Bool("json") {
		return jsoniter.NewEncoder(c.Root().Writer).Encode(rows)
	}
	return printLimits(c.Root().Writer, rows)
}

func runLimit(ctx context.Context, text string, seed uint64) (*simulation.Result, error) {
	s, err := scenario.Parse("limits", []byte(text))
	if err != nil {
		return nil, err
	}
	return simulation.Run(ctx, s, simulation.Options{Seed: seed})
}

func printLimits(out io.Writer, rows []*limitRow) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "poolers\tdemand\tstate\tmanner\tpart used\tmost over\tmessages/s\tbytes/s\tp99 ms\tbreaches")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%.3f\t%.1f\t%.1f\t%.0f\t%.0f\t%d\n", r.Poolers, r.Demand, r.State, r.Manner, r.PartUsed, r.MaxOver, r.Messages, r.Bytes, r.P99, r.Breaches)
	}
	return w.Flush()
}
