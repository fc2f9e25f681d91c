package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/lab"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

// labCommand plays scenarios in virtual time, alone or as experiments.
func labCommand(asJSON func() cli.Flag) *cli.Command {
	seed := func() cli.Flag {
		return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "what is drawn follows from this `NUMBER`"}
	}
	mutant := func() cli.Flag {
		return &cli.StringFlag{Name: "mutant", Usage: "play a pooler that is broken on purpose, by its `NAME`; 'list' lists them"}
	}
	return &cli.Command{
		Name: "lab", Usage: "play scenarios in virtual time, at any size",
		Commands: []*cli.Command{
			{Name: "play", Usage: "play one scenario and judge it", ArgsUsage: "SCRIPT", Action: labPlay,
				Flags: []cli.Flag{seed(), mutant(), asJSON(), &cli.BoolFlag{Name: "meter", Usage: "take the decision module's time apart"}}},
			{Name: "run", Usage: "run an experiment; one that was broken off goes on", ArgsUsage: "EXPERIMENT", Action: labRun,
				Flags: []cli.Flag{&cli.StringFlag{Name: "out", Value: "experiment", Usage: "the `DIR` for its table and report"}, asJSON()}},
			{Name: "compare", Usage: "hold the cells of an experiment against its first, or those of a second run against the first's", ArgsUsage: "DIR [DIR]",
				Action: labCompare, Flags: []cli.Flag{asJSON()}},
			{Name: "agree", Usage: "play scenarios in virtual time and on sockets, and hold the two against each other", ArgsUsage: "SCRIPT...", Action: agree,
				Flags: []cli.Flag{seed(), &cli.IntFlag{Name: "at-once", Value: 1, Usage: "`NUMBER` of rehearsals on sockets at a time"},
					&cli.StringFlag{Name: "out", Value: "agreement", Usage: "the `DIR` for the rehearsals' folders"},
					&cli.StringFlag{Name: "daemon", Usage: "the daemon's program `FILE`; else the one beside this program"}, asJSON()}},
			{Name: "shrink", Usage: "find a smaller scenario that still fails", ArgsUsage: "SCRIPT", Action: labShrink,
				Flags: []cli.Flag{seed(), mutant(), &cli.StringFlag{Name: "rule", Usage: "that is to be broken, by its `NAME`; any without it"},
					&cli.FloatFlag{Name: "below", Usage: "the goal is to lie below this `FIGURE`, in place of a rule"},
					&cli.StringFlag{Name: "out", Aliases: []string{"o"}, Usage: "the `FILE` to write; else standard output"}}},
		},
	}
}

// mutantOf is the mutant that --mutant names, nil without the flag.
func mutantOf(c *cli.Command) (*simulation.Mutant, error) {
	name := c.String("mutant")
	if name == "" {
		return nil, nil
	}
	all := simulation.Mutants()
	for i := range all {
		if all[i].Name == name {
			return &all[i], nil
		}
	}
	var names []string
	for _, m := range all {
		names = append(names, fmt.Sprintf("%q breaks %q", m.Name, m.Breaks))
	}
	return nil, fmt.Errorf("there is no mutant %q; there are: %v", name, names)
}

// oneScript reads the script named by the only argument of a command.
func oneScript(c *cli.Command) (*scenario.Script, error) {
	if c.Args().Len() != 1 {
		return nil, errors.New("exactly one SCRIPT is required; see --help")
	}
	return scenario.Load(c.Args().First())
}

func labPlay(ctx context.Context, c *cli.Command) error {
	m, err := mutantOf(c)
	if err != nil {
		return err
	}
	s, err := oneScript(c)
	if err != nil {
		return err
	}
	shownPart := -1
	r, err := simulation.Run(ctx, s, simulation.Options{Seed: c.Uint64("seed"), Mutant: m, Meter: c.Bool("meter"), Progress: func(at, end float64) {
		if part := int(20 * at / end); part != shownPart && part <= 20 && !c.Bool("json") {
			shownPart = part
			fmt.Fprintf(os.Stderr, "\r%s: %3d%%", s.Name, 5*part)
		}
	}})
	if shownPart >= 0 {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = writeJSON(c.Root().Writer, r)
	} else {
		err = runText(c.Root().Writer, r)
	}
	if err != nil {
		return err
	}
	if !r.Verdict.OK() {
		return failed{fmt.Errorf("rules were broken: %v", r.Verdict.Broken)}
	}
	return nil
}

// runText writes the result of a run in virtual time as text.
func runText(w io.Writer, r *simulation.Result) error {
	s := r.Score
	fmt.Fprintf(w, "%s, seed %d: service %.4f, worst 10 s %.3f, worst class %s; goal %.4f\n", r.Scenario, r.Seed, s.Ratio, s.Worst, s.WorstClass, s.Goal)
	fmt.Fprintf(w, "%d poolers, %d servers in %d groups; %.1f s in %.1f s, %d events (%.0f a second), %.0f MB; %s\n\n", r.Poolers, r.Servers, r.Groups, r.VirtualMs/1000, r.WallMs/1000,
		r.Events, float64(r.Events)/(r.WallMs/1000), r.HeapMB, r.Hash)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\tservice\tasked\ttries\tserved\tlate\trefused\tfailed\tno answer\tbroken\tunmade")
	for _, c := range append(s.Classes[:len(s.Classes):len(s.Classes)], s.Total) {
		fmt.Fprintf(t, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Ratio, c.Asked, c.Tries, c.Served, c.Late, c.Refused, c.Failed, c.Unanswered, c.Broken, c.Unmade)
	}
	for _, c := range s.Tenants {
		fmt.Fprintf(t, "%s, in its share\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Ratio, c.Asked, c.Tries, c.Served, c.Late, c.Refused, c.Failed, c.Unanswered, c.Broken, c.Unmade)
	}
	if r.CrossSiteAttempts > 0 {
		fmt.Fprintf(t, "\nattempts across sites\t%d of %d\n", r.CrossSiteAttempts, r.Attempts)
	}
	fmt.Fprintf(t, "\nrule\tput to the test\tbroken\n")
	for _, rule := range checker.Rules() {
		fmt.Fprintf(t, "%s\t%d\t%d\n", rule, r.Verdict.Checked[rule], r.Verdict.Broken[rule])
	}
	if r.Views != nil {
		for _, rule := range slices.Concat(checker.ViewRules(), checker.BlackoutRules()) {
			fmt.Fprintf(t, "%s\t%d\t%d\n", rule, r.Verdict.Checked[rule], r.Verdict.Broken[rule])
		}
	}
	if r.Pages != nil {
		for _, rule := range checker.PageRules() {
			fmt.Fprintf(t, "%s\t%d\t%d\n", rule, r.Verdict.Checked[rule], r.Verdict.Broken[rule])
		}
	}
	if r.Funds != nil {
		fmt.Fprintf(t, "%s\t%d\t%d\n", checker.WithinCredit, r.Verdict.Checked[checker.WithinCredit], r.Verdict.Broken[checker.WithinCredit])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if p := r.Pages; p != nil {
		fmt.Fprintf(w, "\npages: %d with %d rows, %d reports whole, by %d poolers; %d refused, %d failed, %d broken off; %d shards asked again\n", p.Pages, p.Rows, p.Reports, p.ByPoolers,
			p.Refused, p.Failed, p.Broken, p.Again)
	}
	for _, f := range r.Funds {
		fmt.Fprintf(w, "tenant %s: paid %d, served for %d (%d tries, %d refused); in the books balance %d, lent %d, spent %d, stranded %d\n", f.Tenant, f.Paid, f.ServedCost, f.Attempts, f.Rejected,
			f.Balance, f.Lent, f.Spent, f.Stranded)
	}
	if v := r.Views; v != nil {
		fmt.Fprintf(w, "\nviews: %.1f datagrams and %.0f bytes a second of each pooler; %d accused wrongly, %d called failed that ran\n", v.Packets, v.Bytes, v.FalseAccusations, v.FalseFailures)
		if v.ModuleMessages > 0 {
			fmt.Fprintf(w, "parts: %.1f datagrams and %.0f bytes a second of each pooler\n", v.ModuleMessages, v.ModuleBytes)
		}
	}
	ejectionsText(w, r)
	if r.ModuleMs > 0 {
		fmt.Fprintf(w, "\ndecision module: %.1f us a try, %.0f%% of the run\n", 1000*r.ModuleMs/float64(max(1, r.ClientAttempts)), 100*r.ModuleMs/r.WallMs)
	}
	for i, b := range r.Verdict.Breaches {
		if i == 5 {
			fmt.Fprintf(w, "  ... %d more\n", len(r.Verdict.Breaches)-5)
			break
		}
		fmt.Fprintf(w, "\n%s: %s (request %x)\n", b.Rule, b.Text, b.ID)
		for _, e := range b.Proof {
			fmt.Fprintf(w, "  %+10.1f ms  %-10s pooler %d server %d attempt %d  %s\n", e.At-b.At, e.What, e.Pooler, e.Server, e.Attempt, e.Text)
		}
	}
	return nil
}

// ejectionsText writes how quickly ejections spread between the poolers.
func ejectionsText(w io.Writer, r *simulation.Result) {
	if len(r.Ejections) == 0 {
		return
	}
	sum, longest, byHalf := 0.0, 0.0, 0
	for _, h := range r.Ejections {
		sum, longest = sum+h.LastEjected-h.FirstEjected, max(longest, h.LastEjected-h.FirstEjected)
		if 2*h.Poolers >= r.Poolers {
			byHalf++
		}
	}
	fmt.Fprintf(w, "\nverdicts: %d, of them %d heeded by half of all poolers at least; from the first who heeded to the last %.1f ms, at most %.1f\n", len(r.Ejections), byHalf, sum/float64(len(r.Ejections)), longest)
}

func labRun(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("lab run: exactly one EXPERIMENT is required; see --help")
	}
	x, err := lab.Load(c.Args().First())
	if err != nil {
		return err
	}
	dir := c.String("out")
	lines, err := lab.Run(ctx, x, dir, func(done, all int) {
		if !c.Bool("json") {
			fmt.Fprintf(os.Stderr, "\r%s: %d of %d runs", x.Name, done, all)
		}
	})
	if !c.Bool("json") {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
	if err != nil {
		return err
	}
	report := filepath.Join(dir, "report.html")
	f, err := os.Create(report)
	if err != nil {
		return err
	}
	if err := errors.Join(lab.HTML(f, x, lines), f.Close()); err != nil {
		return err
	}
	return printTable(c, lines, nil, report)
}

// printTable writes a table with its comparisons, and fails where a rule was broken.
func printTable(c *cli.Command, lines, second []lab.Line, report string) error {
	var compared []*lab.Comparison
	var err error
	switch {
	case second != nil:
		compared, err = lab.CompareRuns(lines, second)
	case len(lab.ByCell(lines)) > 1:
		compared, err = lab.CompareAll(lines)
	}
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if c.Bool("json") {
		err = writeJSON(w, map[string]any{"lines": lines, "compared": compared, "report": report})
	} else {
		if err = lab.Text(w, lines, compared); err == nil && report != "" {
			_, err = fmt.Fprintf(w, "\n%s\n", report)
		}
	}
	if err != nil {
		return err
	}
	if slices.ContainsFunc(append(slices.Clone(lines), second...), func(l lab.Line) bool { return len(l.Broken) > 0 }) {
		return failed{errors.New("rules were broken; the report names the runs")}
	}
	return nil
}

func labCompare(_ context.Context, c *cli.Command) error {
	if n := c.Args().Len(); n < 1 || n > 2 {
		return errors.New("lab compare: the DIR of one experiment is required, or those of two")
	}
	lines, err := lab.Read(c.Args().First())
	if err != nil {
		return err
	}
	var second []lab.Line
	if c.Args().Len() == 2 {
		if second, err = lab.Read(c.Args().Get(1)); err != nil {
			return err
		}
	}
	return printTable(c, lines, second, "")
}

func labShrink(ctx context.Context, c *cli.Command) error {
	m, err := mutantOf(c)
	if err != nil {
		return err
	}
	s, err := oneScript(c)
	if err != nil {
		return err
	}
	fails := lab.BreaksRule(checker.Rule(c.String("rule")))
	if rule := checker.Rule(c.String("rule")); rule != "" && !slices.Contains(checker.Rules(), rule) {
		return fmt.Errorf("--rule %q is unknown; known rules: %q", rule, checker.Rules())
	}
	if goal := c.Float("below"); goal > 0 && !math.IsNaN(goal) {
		fails = lab.GoalBelow(goal)
	}
	shrunk, err := lab.Shrink(ctx, s, simulation.Options{Seed: c.Uint64("seed"), Mutant: m}, fails, func(runs int, s *scenario.Script) {
		fmt.Fprintf(os.Stderr, "\r%d runs: %.1f s, %d faults, %d groups, %d poolers  ", runs, s.Clients.Seconds, len(s.Faults), len(s.Fleet.Groups), s.Poolers)
	})
	fmt.Fprint(os.Stderr, "\r\033[K")
	if err != nil {
		return err
	}
	if shrunk == nil {
		return failed{errors.New("the scenario does not fail with this seed")}
	}
	if path := c.String("out"); path != "" {
		return os.WriteFile(path, []byte(shrunk.Script.Text()), 0o640)
	}
	_, err = io.WriteString(c.Root().Writer, shrunk.Script.Text())
	return err
}
