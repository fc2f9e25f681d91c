package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	fleetview "beechgrade/internal/cluster/view"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

// viewRow holds the measurements of one fleet size and packet loss, over all seeds.
type viewRow struct {
	Poolers          int        `json:"poolers"`
	Loss             float64    `json:"loss"`
	CrashDetection   [3]float64 `json:"crash_told_ms"` // p50, p99, maximum
	Convergence      [3]float64 `json:"equal_after_heal_ms"`
	Crashes          int        `json:"crashes_told"`
	Heals            int        `json:"heals"`
	FalseAccusations float64    `json:"accused_wrongly_an_hour"` // by each pooler, in the run without faults other than the loss
	FalseFailures    int        `json:"failed_wrongly"`
	Packets          float64    `json:"datagrams_a_second"`
	Bytes            float64    `json:"bytes_a_second"`
	Streamed         float64    `json:"bytes_a_second_of_full_exchanges"`
	DetectionBound   float64    `json:"bound_crash_ms"`
	ConvergenceBound float64    `json:"bound_heal_ms"`
	Events           float64    `json:"events_a_second"`
	Breaches         int        `json:"breaches"`
}

// peersMeasureCommand measures failure detection, and how soon views converge after a partition.
func peersMeasureCommand(asJSON func() cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "measure", Usage: "time in virtual time how soon a crash is known to all, and how soon views are equal after a partition", Action: measurePeers,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "poolers", Value: []int{8, 50, 300}, Usage: "`NUMBER` of poolers, one for each measurement"},
			&cli.FloatSliceFlag{Name: "loss", Value: []float64{0, 0.05, 0.2}, Usage: "`PART` of the datagrams that is lost"},
			&cli.IntFlag{Name: "seeds", Value: 4, Usage: "`NUMBER` of runs of each"},
			asJSON(),
		},
	}
}

// viewScript is the scenario of a measurement under a packet loss: a crash at 40 s and a partition into two halves at 60 s, or neither
// of them if faultFree.
func viewScript(n int, loss float64, faultFree bool) string {
	var a, b strings.Builder
	for i := range n {
		if i < n/2 {
			fmt.Fprint(&a, " ", i)
		} else {
			fmt.Fprint(&b, " ", i)
		}
	}
	lossy := ""
	if loss > 0 {
		lossy = fmt.Sprintf("(at 1ms (between all all (lose %g)))", loss)
	}
	faults := fmt.Sprintf("(at 40s (kill-pooler %d)) (at 60s (between (%s) (%s) cut) (for 12s))", n-1, a.String(), b.String())
	if faultFree {
		faults = ""
	}
	return fmt.Sprintf(`(rehearsal "views" (seconds 110) (poolers %d) (groups 1) (rate 1) (peers) %s %s)`, n, lossy, faults)
}

func measurePeers(ctx context.Context, c *cli.Command) error {
	var rows []viewRow
	for _, n := range c.IntSlice("poolers") {
		if n < 4 || n > 1000 {
			return fmt.Errorf("--poolers %d: must be from 4 to 1000", n)
		}
		for _, loss := range c.FloatSlice("loss") {
			row, err := measureViews(ctx, n, loss, c.Int("seeds"))
			if err != nil {
				return err
			}
			rows = append(rows, row)
			if !c.Bool("json") {
				if err := writeViewRows(c.Root().Writer, rows[len(rows)-1:], len(rows) == 1); err != nil {
					return err
				}
			}
		}
	}
	if c.Bool("json") {
		return jsoniter.NewEncoder(c.Root().Writer).Encode(rows)
	}
	return nil
}

func measureViews(ctx context.Context, n int, loss float64, seeds int) (viewRow, error) {
	row := viewRow{Poolers: n, Loss: loss}
	var detectedMs, convergedMs []float64
	for seed := range uint64(seeds) {
		for _, faultFree := range []bool{false, true} {
			if faultFree && seed > 0 {
				continue
			}
			s, err := scenario.Parse("views", []byte(viewScript(n, loss, faultFree)))
			if err != nil {
				return row, err
			}
			r, err := simulation.Run(ctx, s, simulation.Options{Seed: seed})
			if err != nil {
				return row, err
			}
			for _, rule := range checker.ViewRules() {
				row.Breaches += r.Verdict.Broken[rule]
			}
			if faultFree {
				row.FalseAccusations = float64(r.Views.FalseAccusations) / float64(n) * 3600 / (r.VirtualMs / 1000)
				row.FalseFailures += r.Views.FalseFailures
				row.Packets, row.Bytes, row.Streamed = r.Views.Packets, r.Views.Bytes, r.Views.StreamedBytes
				continue
			}
			row.Events = float64(r.Events) / (r.WallMs / 1000)
			detectedMs = append(detectedMs, r.Views.DetectionTimes...)
			if k := len(r.Views.SettleTimes); k > 0 {
				convergedMs = append(convergedMs, r.Views.SettleTimes[k-1])
			}
		}
	}
	v := fleetview.Defaults()
	row.DetectionBound, row.ConvergenceBound = v.DetectionBound(n, 1, 1), v.ConvergenceBound(n, n/2, 1, loss > 0)
	row.CrashDetection, row.Convergence, row.Crashes, row.Heals = quantiles(detectedMs), quantiles(convergedMs), len(detectedMs), len(convergedMs)
	return row, nil
}

// quantiles are p50, p99 and the maximum; zeros if there are no values. It sorts x.
func quantiles(x []float64) (q [3]float64) {
	if len(x) == 0 {
		return q
	}
	slices.Sort(x)
	at := func(p float64) float64 { return x[min(len(x)-1, int(p*float64(len(x))))] }
	return [3]float64{at(0.5), at(0.99), x[len(x)-1]}
}

func writeViewRows(w io.Writer, rows []viewRow, head bool) error {
	t := tabwriter.NewWriter(w, 9, 0, 2, ' ', 0)
	if head {
		fmt.Fprintln(t, "poolers\tloss\tcrash told p50\tp99\tmost\tbound\tequal p50\tmost\tbound\taccused/h\tfailed\tdgrams/s\tbytes/s\texchanges B/s\tevents/s\tbreaches")
	}
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%g\t%.0f ms\t%.0f\t%.0f\t%.0f\t%.0f ms\t%.0f\t%.0f\t%.1f\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%d\n", r.Poolers, r.Loss, r.CrashDetection[0], r.CrashDetection[1], r.CrashDetection[2], r.DetectionBound, r.Convergence[0], r.Convergence[2], r.ConvergenceBound,
			r.FalseAccusations, r.FalseFailures, r.Packets, r.Bytes, r.Streamed, r.Events, r.Breaches)
	}
	return t.Flush()
}
