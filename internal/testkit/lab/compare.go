package lab

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Metric is a number by which runs are compared. Higher is better unless LowerIsBetter is set.
type Metric struct {
	Name          string
	Of            func(l *Line) float64
	LowerIsBetter bool
}

// Metrics returns the metrics that are compared.
func Metrics() []Metric {
	return []Metric{
		{"goal", func(l *Line) float64 { return l.Goal }, false},
		{"service", func(l *Line) float64 { return l.Service }, false},
		{"worst 10 s", func(l *Line) float64 { return l.WorstWindow }, false},
		{"worst class", func(l *Line) float64 { return l.WorstClass }, false},
		{"p99 ms", func(l *Line) float64 { return l.P99 }, true},
		{"attempts a try", func(l *Line) float64 { return ratioOf(l.Attempts, l.Tries) }, true},
		{"probes a try", func(l *Line) float64 { return ratioOf(l.Probes, l.Tries) }, true},
		{"refused a try", func(l *Line) float64 { return ratioOf(l.Refused, l.Tries) }, true},
		{"rules broken", func(l *Line) float64 { return float64(l.breaches()) }, true},
	}
}

// ratioOf returns a/b, 0 if b is 0.
func ratioOf(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// breaches returns how often the run broke rules.
func (l *Line) breaches() (n int) {
	for _, x := range l.Broken {
		n += x
	}
	return n
}

// Effect is the change of a metric from the baseline to a variant, over runs paired by seed.
type Effect struct {
	Metric   string  `json:"metric"`
	Base     float64 `json:"baseline"`
	Variant  float64 `json:"variant"`
	Mean     float64 `json:"difference"`
	Low      float64 `json:"low"`  // of the 95% confidence interval of the mean difference
	High     float64 `json:"high"` // by bootstrap
	Pairs    int     `json:"pairs"`
	Verdict  string  `json:"verdict"`
	Unpaired int     `json:"unpaired,omitempty"`
}

// Comparison has the effects of a variant against its baseline.
type Comparison struct {
	Baseline string   `json:"baseline"`
	Variant  string   `json:"variant"`
	Effects  []Effect `json:"effects"`
}

const (
	resamples     = 4000 // of the bootstrap
	minDifference = 1e-9 // smaller differences count as none
)

// ErrNoCommonSeeds is returned if two sets of runs have no seeds in common.
var ErrNoCommonSeeds = errors.New("no seeds in common")

// Compare compares a variant's runs with the baseline's, paired by seed. It is deterministic.
func Compare(baseName, variantName string, base, variant []Line) (*Comparison, error) {
	c := &Comparison{Baseline: baseName, Variant: variantName}
	bySeed := map[uint64]*Line{}
	for i := range base {
		bySeed[base[i].Seed] = &base[i]
	}
	for _, m := range Metrics() {
		var a, b, diff []float64
		unpaired := 0
		for i := range variant {
			o := bySeed[variant[i].Seed]
			if o == nil {
				unpaired++
				continue
			}
			x, y := m.Of(o), m.Of(&variant[i])
			a, b, diff = append(a, x), append(b, y), append(diff, y-x)
		}
		if len(diff) == 0 {
			return nil, fmt.Errorf("%q and %q: %w", baseName, variantName, ErrNoCommonSeeds)
		}
		e := Effect{
			Metric:   m.Name,
			Base:     stat.Mean(a, nil),
			Variant:  stat.Mean(b, nil),
			Mean:     stat.Mean(diff, nil),
			Pairs:    len(diff),
			Unpaired: unpaired,
		}
		if e.Verdict = "no difference seen"; len(diff) > 1 { // one pair gives no interval
			e.Low, e.High = interval(diff)
			e.Verdict = verdict(e, m.LowerIsBetter)
		}
		c.Effects = append(c.Effects, e)
	}
	return c, nil
}

// interval returns the 95% confidence interval of a mean by the percentile bootstrap. It needs at least two values.
func interval(diff []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(uint64(len(diff)), 5))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range diff {
			sum += diff[rng.IntN(len(diff))]
		}
		means[i] = sum / float64(len(diff))
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}

// verdict judges an effect by whether its confidence interval excludes 0.
func verdict(e Effect, lowerIsBetter bool) string {
	switch {
	case e.Low > minDifference && !lowerIsBetter, e.High < -minDifference && lowerIsBetter:
		return "better"
	case e.High < -minDifference && !lowerIsBetter, e.Low > minDifference && lowerIsBetter:
		return "worse"
	}
	return "no difference seen"
}

// CompareAll compares each cell with the first one, the baseline.
func CompareAll(lines []Line) (out []*Comparison, err error) {
	cells := ByCell(lines)
	for _, c := range cells[min(1, len(cells)):] {
		x, err := Compare(cells[0].Name, c.Name, cells[0].Lines, c.Lines)
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	return out, nil
}

// CompareRuns compares the cells of one experiment with those of the same name in another, such as one run with a changed program.
func CompareRuns(base, variant []Line) (out []*Comparison, err error) {
	baseLines := map[string][]Line{}
	for _, c := range ByCell(base) {
		baseLines[c.Name] = c.Lines
	}
	for _, c := range ByCell(variant) {
		if baseLines[c.Name] == nil {
			continue
		}
		x, err := Compare(c.Name, c.Name, baseLines[c.Name], c.Lines)
		if err != nil {
			return nil, err
		}
		out = append(out, x)
	}
	if len(out) == 0 {
		return nil, errors.New("the two experiments have no cell in common")
	}
	return out, nil
}

// CellLines are the runs of one cell.
type CellLines struct {
	Name  string
	Lines []Line
}

// ByCell groups a table's lines by cell, in the order of each cell's first line, and sorts the lines of a cell by seed.
func ByCell(lines []Line) (out []CellLines) {
	at := map[string]int{}
	for _, l := range lines {
		i, ok := at[l.Cell]
		if !ok {
			i = len(out)
			at[l.Cell] = i
			out = append(out, CellLines{Name: l.Cell})
		}
		out[i].Lines = append(out[i].Lines, l)
	}
	for i := range out {
		slices.SortFunc(out[i].Lines, func(a, b Line) int { return cmp.Compare(a.Seed, b.Seed) })
	}
	return out
}

// Mean returns a metric's mean over runs, with its 95% confidence interval.
func Mean(m Metric, lines []Line) (mean, low, high float64) {
	var xs []float64
	for i := range lines {
		xs = append(xs, m.Of(&lines[i]))
	}
	if len(xs) == 0 {
		return 0, 0, 0
	}
	mean = stat.Mean(xs, nil)
	if len(xs) == 1 {
		return mean, mean, mean
	}
	low, high = interval(xs)
	return mean, low, high
}
