package simulation

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/scenario"
)

const journalScript = `(rehearsal "journal" (seconds %d) (poolers 2) (groups 3 3) (rate 400) (retries 0) (cold 5s) (journal %s)
	(class "registrar-ponto" (share 0.5)) %s)`

const journalFaults = `(at 4s (die primary 0) (for 3s)) (at 1s (kill-pooler 0) (for 60ms) (every 200ms))`

// journalRun is the result of a run with a journal. Its counts are of writes.
type journalRun struct {
	*Result
	executed         int
	unanswered       int // executed, but not answered as served
	missing          int // unanswered and not listed as pending
	duplicates       int // listed twice
	listed           int
	latencies        *hdrhistogram.Histogram // of registrar-ponto, in µs
	requests, served int
}

// runJournal runs the scenario with a mode of the journal and with faults, and compares the writes that servers executed with the answers
// that clients received and with the attempts that the journal lists as pending.
func runJournal(t *testing.T, seed uint64, seconds int, mode, faults string) *journalRun {
	t.Helper()
	s, err := scenario.Parse("journal", []byte(fmt.Sprintf(journalScript, seconds, mode, faults)))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	run := &journalRun{latencies: hdrhistogram.New(1, 60_000_000, 3)}
	executed, servedIDs := map[string]int{}, map[string]bool{}
	run.Result, err = Run(context.Background(), s, Options{
		Seed:    seed,
		onWrite: func(id string) { executed[id]++ },
		OnAttemptEnded: func(a *clients.Attempt) {
			servedIDs[a.ID] = a.Kind == clients.Served
			if a.Class.Name != "registrar-ponto" {
				return
			}
			if a.No == 0 {
				run.requests++
			}
			if a.Kind == clients.Served {
				run.served++
				_ = run.latencies.RecordValue(int64((a.Ended - a.First) * 1000))
			}
		},
	})
	if err != nil {
		t.Fatalf("seed %d, %s: running the scenario: %v", seed, mode, err)
	}
	if !run.Verdict.OK() {
		t.Errorf("seed %d, %s: broken rules: %v; want none", seed, mode, run.Verdict.Broken)
	}
	listed := map[string]bool{}
	var entries []string
	for _, a := range run.PendingAttempts {
		listed[a.ID] = true
		entries = append(entries, fmt.Sprint(a.ID, " ", a.Number, " ", a.StartedAt))
	}
	slices.Sort(entries)
	run.listed = len(entries)
	run.duplicates = len(entries) - len(slices.Compact(entries))
	for id := range executed {
		run.executed++
		if !servedIDs[id] {
			if run.unanswered++; !listed[id] {
				run.missing++
			}
		}
	}
	return run
}

// TestJournaledWritesSurviveKills: poolers are killed again and again during writes, with fast and slow disks. In mode "before" each executed
// write has been answered or is listed as pending, once; in mode "alongside" the writes from just before a kill may be missing.
func TestJournaledWritesSurviveKills(t *testing.T) {
	t.Parallel()
	unanswered := 0
	for seed := range uint64(2) {
		for _, mode := range []string{"before (disk 0.1ms 2ms)", "before (disk 20ms 200ms)", "alongside (disk 0.1ms 2ms)", "alongside (disk 20ms 200ms)"} {
			run := runJournal(t, seed+1, 12, mode, journalFaults)
			t.Logf("seed %d, %s: %d writes executed, %d unanswered, %d of them not listed; %d listed; %d disk writes; service %.4f", seed+1, mode, run.executed, run.unanswered, run.missing, run.listed, run.JournalWrites, run.Score.Ratio)
			unanswered += run.unanswered
			if run.duplicates > 0 || run.executed < 200 || run.listed == 0 || run.missing > 0 && mode[0] == 'b' {
				t.Errorf("seed %d, %s: %d executed, %d unanswered, %d of them not listed, %d listed twice, %d listed; want at least 200 executed, some listed, none twice, and with mode before all unanswered ones listed", seed+1, mode, run.executed, run.unanswered, run.missing, run.duplicates, run.listed)
			}
		}
	}
	if unanswered == 0 {
		t.Error("all executed writes were answered; want some that the journal has to list")
	}
}

// TestJournalLatency bounds the latency that a journal adds to registrar-ponto without faults, paired by seed: next to none in mode
// "alongside", and about the duration of a disk write in mode "before".
func TestJournalLatency(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		var off *journalRun
		for _, test := range []struct {
			mode     string
			maxExtra float64 // ms, of the median
		}{{"off", 0}, {"alongside (disk 0.1ms 2ms)", 1}, {"before (disk 0.1ms 2ms)", 6}, {"alongside (disk 5ms 20ms)", 1}, {"before (disk 5ms 20ms)", 60}} {
			got := runJournal(t, seed+1, 20, test.mode, "")
			if off == nil {
				off = got
			}
			p50, p99 := float64(got.latencies.ValueAtQuantile(50))/1000, float64(got.latencies.ValueAtQuantile(99))/1000
			t.Logf("seed %d, %s: registrar-ponto p50 %.2f ms, p99 %.2f; %d of %d served; service %.4f", seed+1, test.mode, p50, p99, got.served, got.requests, got.Score.Ratio)
			if extra := p50 - float64(off.latencies.ValueAtQuantile(50))/1000; extra > test.maxExtra || got.Score.Ratio < off.Score.Ratio-0.03 {
				t.Errorf("seed %d, %s: median %.2f ms later than without a journal, at most %g allowed; service %.4f, %.4f without", seed+1, test.mode, extra, test.maxExtra, got.Score.Ratio, off.Score.Ratio)
			}
		}
	}
}
