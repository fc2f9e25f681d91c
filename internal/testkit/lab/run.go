package lab

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"

	jsoniter "github.com/json-iterator/go"
	"golang.org/x/sys/unix"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/simulation"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// ResultsFile is the name of the table within an experiment's folder: a line for each run.
const ResultsFile = "results.jsonl"

// maxLine bounds a line of the table.
const maxLine = 1 << 22

// Line is the result of one run.
type Line struct {
	Cell   string   `json:"cell"`
	Labels []string `json:"labels"`
	Seed   uint64   `json:"seed"`
	Hash   string   `json:"hash"`

	Goal        float64              `json:"goal"`
	Service     float64              `json:"service"`
	WorstWindow float64              `json:"worst_10s"`
	WorstClass  float64              `json:"worst_class"`
	Broken      map[checker.Rule]int `json:"rules_broken,omitempty"`
	Breach      *checker.Breach      `json:"first_breach,omitempty"`
	Asked       uint64               `json:"asked"`
	Tries       uint64               `json:"tries"`
	Attempts    uint64               `json:"attempts"`
	Probes      uint64               `json:"probes"`
	Refused     uint64               `json:"refused"`
	Failed      uint64               `json:"failed"`
	Events      uint64               `json:"events"`
	P50         float64              `json:"p50_ms"`
	P99         float64              `json:"p99_ms"`
	Lost        map[string]float64   `json:"lost"`
	Worth       float64              `json:"worth_asked"`

	Pages *simulation.PageCounts `json:"pages,omitempty"`
	Funds []simulation.Account   `json:"funds,omitempty"`
}

// LineOf summarizes a run.
func LineOf(c *Cell, r *simulation.Result) Line {
	l := Line{
		Cell:        c.Key(),
		Labels:      c.Labels,
		Seed:        r.Seed,
		Hash:        r.Hash,
		Goal:        r.Score.Goal,
		Service:     r.Score.Ratio,
		WorstWindow: r.Score.Worst,
		WorstClass:  1,
		Broken:      r.Verdict.Broken,
		Asked:       r.Requests,
		Tries:       r.ClientAttempts,
		Attempts:    r.Attempts,
		Probes:      r.HealthChecks,
		Refused:     r.Score.Total.Refused,
		Failed:      r.Score.Total.Failed,
		Events:      r.Events,
		P50:         r.P50,
		P99:         r.P99,
		Lost:        r.LostWeight,
		Worth:       r.Score.Total.WorthAsked,
		Pages:       r.Pages,
		Funds:       r.Funds,
	}
	for _, x := range r.Score.Classes {
		l.WorstClass = min(l.WorstClass, x.Ratio)
	}
	if len(l.Broken) == 0 {
		l.Broken = nil // as after reading the line back
	}
	if len(r.Verdict.Breaches) > 0 {
		l.Breach = &r.Verdict.Breaches[0]
	}
	return l
}

// ErrLocked is returned if another process runs an experiment in the same folder.
var ErrLocked = errors.New("another process runs an experiment in this folder")

// Run executes the runs of an experiment that its table lacks, on all cores, and returns the complete table. If the process is killed, only the runs
// in progress are lost.
func Run(ctx context.Context, x *Experiment, dir string, progress func(done, all int)) ([]Line, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, ResultsFile), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	lines, complete, err := readLines(f)
	if err != nil {
		return nil, err
	}
	if err := f.Truncate(complete); err != nil { // drops a line that a kill cut off
		return nil, err
	}
	if _, err := f.Seek(complete, io.SeekStart); err != nil {
		return nil, err
	}
	type job struct {
		cell *Cell
		seed uint64
	}
	recorded := map[string]bool{}
	key := func(cell string, seed uint64) string { return fmt.Sprintf("%s\x00%d", cell, seed) }
	for _, l := range lines {
		recorded[key(l.Cell, l.Seed)] = true
	}
	var jobs []job
	for i := range x.Cells {
		for _, seed := range x.Seeds {
			if c := &x.Cells[i]; !recorded[key(c.Key(), seed)] {
				jobs = append(jobs, job{c, seed})
			}
		}
	}
	all := len(x.Cells) * len(x.Seeds)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	feed := make(chan job)
	go func() {
		defer close(feed)
		for _, j := range jobs {
			select {
			case feed <- j:
			case <-ctx.Done():
				return
			}
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for range max(1, min(runtime.GOMAXPROCS(0), len(jobs))) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range feed {
				r, err := simulation.Run(ctx, j.cell.Script, simulation.Options{Seed: j.seed})
				mu.Lock()
				if err == nil {
					l := LineOf(j.cell, r)
					if err = appendLine(f, &l); err == nil {
						lines = append(lines, l)
					}
				}
				if err != nil && failed == nil {
					failed = err
					stop()
				}
				if progress != nil && failed == nil {
					progress(all-len(jobs)+len(lines)-len(recorded), all)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return x.table(lines), nil
}

// table returns the lines of the experiment's own cells and seeds, in the experiment's order and without duplicates.
func (x *Experiment) table(lines []Line) []Line {
	order := map[string]int{}
	for i := range x.Cells {
		order[x.Cells[i].Key()] = i
	}
	var out []Line
	for _, l := range lines {
		if _, ok := order[l.Cell]; ok && slices.Contains(x.Seeds, l.Seed) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(order[a.Cell], order[b.Cell]), cmp.Compare(a.Seed, b.Seed))
	})
	return slices.CompactFunc(out, func(a, b Line) bool { return a.Cell == b.Cell && a.Seed == b.Seed })
}

// appendLine writes a line and syncs the file, so that a finished run is not lost.
func appendLine(f *os.File, l *Line) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err := f.Write(append(b, '\n')); err != nil {
		return err
	}
	return f.Sync()
}

// readLines reads a table up to its first incomplete or invalid line, and returns the length in bytes of what it read.
func readLines(r io.Reader) (lines []Line, complete int64, err error) {
	in := bufio.NewReaderSize(r, 1<<16)
	for {
		b, err := in.ReadBytes('\n')
		if err != nil || len(b) > maxLine {
			if err == io.EOF || err == nil {
				return lines, complete, nil
			}
			return nil, 0, err
		}
		var l Line
		if json.Unmarshal(bytes.TrimSpace(b), &l) != nil {
			return lines, complete, nil // this run and those after it are repeated
		}
		complete += int64(len(b))
		lines = append(lines, l)
	}
}

// Read reads the table in an experiment's folder.
func Read(dir string) ([]Line, error) {
	f, err := os.Open(filepath.Join(dir, ResultsFile))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines, _, err := readLines(f)
	return lines, err
}
