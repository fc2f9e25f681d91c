package lab

import (
	"bytes"
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

const base = `(rehearsal "small" (seconds 6) (poolers 2) (groups 2 2) (rate 60) (cold 3s) (detect 200ms 300ms) (elect 200ms 300ms) (at 2s (die primary 0) (for 1s)))`

const small = `(experiment "small" (scenario "s.sexp") (seeds 1 3) (axis "poolers" (value "one" (poolers 1)) (value "two")) (axis "rate" (value "60") (value "200" (rate 200))))`

func reader(files map[string]string) func(string) ([]byte, error) {
	return func(name string) ([]byte, error) {
		if text, ok := files[name]; ok {
			return []byte(text), nil
		}
		return nil, fs.ErrNotExist
	}
}

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	x, err := Parse("e.sexp", []byte(text), reader(map[string]string{"s.sexp": base}))
	if err != nil {
		t.Fatalf("parsing the experiment: %v", err)
	}
	return x
}

// TestParse checks the grid of an experiment, and the error and position for each experiment that is not accepted.
func TestParse(t *testing.T) {
	x := parse(t, small)
	var got []string
	for _, c := range x.Cells {
		got = append(got, c.Key())
	}
	if diff := cmp.Diff([]string{"one / 60", "one / 200", "two / 60", "two / 200"}, got); diff != "" {
		t.Errorf("cells of the experiment (-want +got):\n%s", diff)
	}
	if c := x.Cells[1].Script; c.Poolers != 1 || c.Clients.Rate != 200 || x.Cells[2].Script.Poolers != 2 || len(c.Faults) != 1 {
		t.Errorf("scenario of cell 1 is %+v, want 1 pooler, rate 200 and one fault, and 2 poolers in cell 2", c)
	}
	for in, want := range map[string]string{
		`(rehearsal "x")`:                      `e.sexp:1:1: expected one (experiment "NAME" ...)`,
		`(experiment "x")`:                     `e.sexp:1:1: (scenario "FILE") is missing`,
		`(experiment "x" (seeds 2))`:           `e.sexp:1:17: (seeds FIRST LAST) takes two numbers`,
		`(experiment "x" (scenario "t.sexp"))`: `e.sexp:1:27: file does not exist`,
		`(experiment "x" (scenario "s.sexp"))`: `e.sexp:1:1: (seeds FIRST LAST) is missing`,
		`(experiment "x" (scenario "s.sexp") (seeds 1 2) (axis "a" (value "v") (value "v")))`:             `e.sexp:1:78: there is a value "v" already`,
		`(experiment "x" (scenario "s.sexp") (seeds 1 2) (axis "a" (worth "v")))`:                         `e.sexp:1:59: expected (value "LABEL" FORM...)`,
		`(experiment "x" (scenario "s.sexp") (seeds 1 2) (axis "a" (value "v" (poolers 0))))`:             `cell "v": e.sexp:1:79: 0 is out of range; it may be from 1 to 1000`,
		`(experiment "x" (scenario "s.sexp") (seeds 1 2) (axis "a" (value "v" (at 3s (kill-pooler 7)))))`: `cell "v": e.sexp:1:70: there is no pooler 7; they are numbered from 0 to 1`,
		`(experiment "x" (scenario "s.sexp") (seeds 1 2) (axis "a" (value "v")) (axis "a" (value "w")))`:  `e.sexp:1:78: there is an axis "a" already`,
		`(experiment "x" (scenario "s.sexp") (seeds 5 1))`:                                                `e.sexp:1:46: 1 is out of range; it may be from 5 to 10004`,
	} {
		_, err := Parse("e.sexp", []byte(in), reader(map[string]string{"s.sexp": base}))
		if err == nil || err.Error() != want {
			t.Errorf("parsing %s: error is\n%v, want\n%s", in, err, want)
		}
	}
}

// TestExamples checks that every example experiment, and the scenario that it names, can be read.
func TestExamples(t *testing.T) {
	found, _ := filepath.Glob("../../../example/experiments/*.sexp")
	if len(found) == 0 {
		t.Error("there are no example experiments")
	}
	for _, f := range found {
		if _, err := Load(f); err != nil {
			t.Errorf("loading the example %s: %v", f, err)
		}
	}
}

// TestInterruptedExperimentResumes checks that an experiment whose table was cut off at any byte, also within a line, resumes and ends with
// the same table.
func TestInterruptedExperimentResumes(t *testing.T) {
	x, dir := parse(t, small), t.TempDir()
	complete, err := Run(context.Background(), x, dir, nil)
	if err != nil || len(complete) != 12 {
		t.Fatalf("experiment from its start: %d runs, want 12; error %v", len(complete), err)
	}
	path := filepath.Join(dir, ResultsFile)
	all, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the table of runs: %v", err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 8 {
		cut := rng.IntN(len(all) + 1)
		if err := os.WriteFile(path, all[:cut], 0o640); err != nil {
			t.Fatalf("writing the table cut at byte %d: %v", cut, err)
		}
		again, err := Run(context.Background(), x, dir, nil)
		if err != nil {
			t.Fatalf("resuming from the table cut at byte %d: %v", cut, err)
		}
		if diff := cmp.Diff(complete, again); diff != "" {
			t.Fatalf("runs after the table was cut at byte %d (-complete +resumed):\n%s", cut, diff)
		}
		if lines, err := Read(dir); err != nil || len(lines) != 12 {
			t.Fatalf("cut at byte %d: the file holds %d runs, want 12; error %v", cut, len(lines), err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := os.Remove(path); err != nil {
		t.Fatalf("removing the table of runs: %v", err)
	}
	if _, err := Run(ctx, x, dir, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("run with a cancelled context: error is %v, want context.Canceled", err)
	}
	if again, err := Run(context.Background(), x, dir, nil); err != nil || cmp.Diff(complete, again) != "" {
		t.Errorf("run after a cancelled one: error is %v, or it differs from the complete one", err)
	}
	var b bytes.Buffer
	if err := HTML(&b, x, complete); err != nil || strings.Contains(b.String(), "NaN") || !strings.Contains(b.String(), "goal by rate") {
		t.Errorf("the report: error is %v, or it shows NaN, or lacks the goal by rate", err)
	}
}

// lines returns runs of a cell with these goals, one for each seed from 0.
func lines(cell string, goals ...float64) (out []Line) {
	for i, g := range goals {
		out = append(out, Line{Cell: cell, Labels: []string{cell}, Seed: uint64(i), Goal: g})
	}
	return out
}

// TestCompare checks that Compare finds small consistent differences, and none where there is only noise.
func TestCompare(t *testing.T) {
	noise := []float64{0.80, 0.60, 0.90, 0.70, 0.50, 0.85, 0.65, 0.75}
	var up, both []float64
	for i, x := range noise {
		up = append(up, x+0.01+0.001*float64(i%3)) // far less than the differences between seeds
		both = append(both, x+0.02*float64(1-2*(i%2)))
	}
	for name, c := range map[string]struct {
		variant []float64
		want    string
	}{
		"consistently higher": {up, "better"},
		"higher and lower":    {both, "no difference seen"},
		"the same":            {noise, "no difference seen"},
		"one pair":            {up[:1], "no difference seen"},
	} {
		x, err := Compare("a", "b", lines("a", noise...), lines("b", c.variant...))
		if err != nil {
			t.Fatalf("%s: comparing the cells: %v", name, err)
		}
		if e := x.Effects[0]; e.Verdict != c.want || e.Pairs != len(c.variant) {
			t.Errorf("%s: effect is %+v, want %q of %d pairs", name, e, c.want, len(c.variant))
		}
	}
	back, _ := Compare("b", "a", lines("b", up...), lines("a", noise...))
	if back.Effects[0].Verdict != "worse" {
		t.Errorf("baseline and variant swapped: effect is %+v, want worse", back.Effects[0])
	}
	if _, err := Compare("a", "b", lines("a", 1), []Line{{Seed: 9}}); !errors.Is(err, ErrNoCommonSeeds) {
		t.Errorf("cells without a common seed: error is %v, want ErrNoCommonSeeds", err)
	}
}

// TestShrink checks that a scenario with irrelevant faults, poolers and groups is shrunk to the relevant ones, and that running the
// written result again gives the same run.
func TestShrink(t *testing.T) {
	s, err := scenario.Parse("big", []byte(`(rehearsal "big" (seconds 16) (poolers 4) (groups 3 3 3 3) (rate 160) (list 200ms 400ms)
		(at 1s (lag replica 1 5) (for 3s)) (at 2s (load 2) (for 1s)) (at 3s (drain primary 0) (for 6s)) (at 5s (crowd replica 2 0.5) (for 3s)) (at 9s (list-late 1s) (for 2s)))`))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	var mutant *simulation.Mutant
	all := simulation.Mutants()
	for i := range all {
		if all[i].Breaks == checker.DrainsKept {
			mutant = &all[i]
		}
	}
	opt := simulation.Options{Seed: 1, Mutant: mutant}
	z, err := Shrink(context.Background(), s, opt, BreaksRule(checker.DrainsKept), nil)
	if err != nil || z == nil {
		t.Fatalf("shrinking a scenario that breaks the rule: got %v, error %v", z, err)
	}
	if f := z.Script.Faults; len(f) != 1 || f[0].Kind != "drain" || z.Script.Clients.Seconds > 8 || len(z.Script.Fleet.Groups) > 2 || z.Script.Poolers > 2 {
		t.Errorf("shrunk to %s; want one drain, and at most 8 s, 2 groups and 2 poolers", z.Script.Text())
	}
	again, err := scenario.Parse("shrunk", []byte(z.Script.Text()))
	if err != nil {
		t.Fatalf("parsing the shrunk scenario: %v", err)
	}
	r, err := simulation.Run(context.Background(), again, opt)
	if err != nil || r.Hash != z.Result.Hash {
		t.Errorf("the written scenario gives another run than the shrunk one, or fails with error %v:\n%s", err, z.Script.Text())
	}
	if z, err := Shrink(context.Background(), s, simulation.Options{Seed: 1}, BreaksRule(""), nil); z != nil || err != nil {
		t.Errorf("a scenario that does not fail was shrunk: %v", err)
	}
}
