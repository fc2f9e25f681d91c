package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/score"
	"beechgrade/internal/testkit/simulation"
)

// agreement holds the results of one scenario, played in virtual time and on sockets.
type agreement struct {
	Scenario string       `json:"scenario"`
	Virtual  *score.Score `json:"virtual"`
	Sockets  *score.Score `json:"sockets"`

	VirtualRules map[checker.Rule]int `json:"virtual_rules_broken,omitempty"`
	SocketRules  map[checker.Rule]int `json:"socket_rules_broken,omitempty"`
	VirtualViews *simulation.Views    `json:"virtual_views,omitempty"`
	SocketViews  *rehearse.Fleet      `json:"socket_views,omitempty"`
}

// agree plays scenarios in virtual time and on sockets with the same seed, and compares the results.
func agree(ctx context.Context, c *cli.Command) error {
	paths := c.Args().Slice()
	if len(paths) == 0 || c.Int("at-once") < 1 {
		return errors.New("lab agree: at least one SCRIPT is required, and --at-once must be at least 1")
	}
	daemon, err := daemonOf(c)
	if err != nil {
		return err
	}
	out, seed := c.String("out"), c.Uint64("seed")
	rows, errs := make([]agreement, len(paths)), make([]error, len(paths))
	slots := make(chan struct{}, c.Int("at-once"))
	var wg sync.WaitGroup
	for i, path := range paths {
		s, err := scenario.Load(path)
		if err != nil {
			return err
		}
		if err := s.OnSockets(); err != nil {
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			v, err := simulation.Run(ctx, s.Clone(), simulation.Options{Seed: seed})
			if err != nil {
				errs[i] = err
				return
			}
			name := strings.TrimSuffix(filepath.Base(path), ".sexp")
			r, err := rehearse.Execute(ctx, s, rehearse.Options{Seed: seed, Out: filepath.Join(out, name), Daemon: daemon, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				errs[i] = fmt.Errorf("%s: %w", path, err)
				return
			}
			rows[i] = agreement{Scenario: name, Virtual: v.Score, Sockets: r.Score, VirtualRules: v.Verdict.Broken, SocketRules: r.Rules.Broken, VirtualViews: v.Views, SocketViews: r.Fleet}
			if !c.Bool("json") {
				fmt.Fprintf(os.Stderr, "%s\n", name)
			}
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if c.Bool("json") {
		err = writeJSON(c.Root().Writer, rows)
	} else {
		err = writeAgreements(c.Root().Writer, rows)
	}
	if err != nil {
		return err
	}
	for _, r := range rows {
		if len(r.VirtualRules) > 0 || r.Sockets.Broken > 0 {
			return failed{fmt.Errorf("%s: rules were broken: in virtual time %v, on sockets %v", r.Scenario, r.VirtualRules, r.Sockets.Breaches)}
		}
	}
	return nil
}

// writeAgreements writes a table of the scores, the mean absolute differences, and what the views of the fleet showed.
func writeAgreements(w io.Writer, rows []agreement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tservice: virtual\tsockets\tdifference\tworst 10 s: virtual\tsockets\tdifference\tgoal: virtual\tsockets\tdifference")
	var meanDiff [3]float64
	for _, r := range rows {
		v, s := r.Virtual, r.Sockets
		diff := [3]float64{s.Ratio - v.Ratio, s.Worst - v.Worst, s.Goal - v.Goal}
		for i := range meanDiff {
			meanDiff[i] += math.Abs(diff[i]) / float64(len(rows))
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%.3f\t%.3f\t%+.3f\t%.4f\t%.4f\t%+.4f\n", r.Scenario, v.Ratio, s.Ratio, diff[0], v.Worst, s.Worst, diff[1], v.Goal, s.Goal, diff[2])
	}
	fmt.Fprintf(t, "mean distance\t\t\t%.4f\t\t\t%.3f\t\t\t%.4f\n", meanDiff[0], meanDiff[1], meanDiff[2])
	for _, r := range rows {
		if v, s := r.VirtualViews, r.SocketViews; v != nil && s != nil {
			virtualDetected, socketsDetected := quantiles(v.DetectionTimes), quantiles(s.Views.DetectionTimes)
			virtualSettled, socketsSettled := quantiles(v.SettleTimes), quantiles(s.Views.SettleTimes)
			fmt.Fprintf(t, "\nviews of %s\tvirtual\tsockets\n", r.Scenario)
			fmt.Fprintf(t, "a crash told, p50 and most, ms\t%.0f, %.0f\t%.0f, %.0f\n", virtualDetected[0], virtualDetected[2], socketsDetected[0], socketsDetected[2])
			fmt.Fprintf(t, "views equal, most, ms\t%.0f\t%.0f\n", virtualSettled[2], socketsSettled[2])
			fmt.Fprintf(t, "called failed that ran\t%d\t%d\n", v.FalseFailures, s.Views.FalseFailures)
		}
	}
	return t.Flush()
}
