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

type journalPlay struct {
	*Result
	ran, unheard, missing, twice int
	listed                       int
	times                        *hdrhistogram.Histogram // of registrar-ponto, as served
	asked, served                int
}

// playJournal plays writes while poolers are killed, and holds what ran against what was heard and what is listed.
func playJournal(t *testing.T, seed uint64, seconds int, mode, faults string) *journalPlay {
	t.Helper()
	s, err := scenario.Parse("journal", []byte(fmt.Sprintf(journalScript, seconds, mode, faults)))
	if err != nil {
		t.Fatal(err)
	}
	x := &journalPlay{times: hdrhistogram.New(1, 60_000_000, 3)}
	ran, heard := map[string]int{}, map[string]bool{}
	x.Result, err = Run(context.Background(), s, Options{
		Seed:    seed,
		onWrite: func(id string) { ran[id]++ },
		OnAttemptEnded: func(y *clients.Attempt) {
			heard[y.ID] = y.Kind == clients.Served
			if y.Class.Name != "registrar-ponto" {
				return
			}
			if y.No == 0 {
				x.asked++
			}
			if y.Kind == clients.Served {
				x.served++
				_ = x.times.RecordValue(int64((y.Ended - y.First) * 1000))
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !x.Verdict.OK() {
		t.Errorf("seed %d, %s: %v", seed, mode, x.Verdict.Broken)
	}
	listed := map[string]bool{}
	var lines []string
	for _, a := range x.PendingAttempts {
		listed[a.ID] = true
		lines = append(lines, fmt.Sprint(a.ID, " ", a.Number, " ", a.StartedAt))
	}
	slices.Sort(lines)
	x.listed = len(lines)
	x.twice = len(lines) - len(slices.Compact(lines))
	for id := range ran {
		x.ran++
		if !heard[id] {
			if x.unheard++; !listed[id] {
				x.missing++
			}
		}
	}
	return x
}

// TestJournaledWritesSurviveKills: poolers are killed again and again under writes, on disks of any speed; each write that ran has an answer that was heard,
// or is listed, once; and no rule is broken. Alongside, what is missing came in the last moments before a kill.
func TestJournaledWritesSurviveKills(t *testing.T) {
	t.Parallel()
	unheard := 0
	for seed := range uint64(2) {
		for _, mode := range []string{"before (disk 0.1ms 2ms)", "before (disk 20ms 200ms)", "alongside (disk 0.1ms 2ms)", "alongside (disk 20ms 200ms)"} {
			x := playJournal(t, seed+1, 12, mode, journalFaults)
			t.Logf("seed %d, %s: %d writes ran, %d unheard, %d of them not listed; %d lines; %d disk writes; service %.4f", seed+1, mode, x.ran, x.unheard, x.missing, x.listed, x.JournalWrites, x.Score.Ratio)
			unheard += x.unheard
			if x.twice > 0 || x.ran < 200 || x.listed == 0 || x.missing > 0 && mode[0] == 'b' {
				t.Errorf("seed %d, %s: %d ran, %d unheard, %d not listed, %d listed twice", seed+1, mode, x.ran, x.unheard, x.missing, x.twice)
			}
		}
	}
	if unheard == 0 {
		t.Error("all that ran was heard of: nothing was put to the test")
	}
}

// TestJournalCost: what a journal costs registrar-ponto while nothing else goes wrong, paired by seed: alongside nothing, before about as long as the
// disk takes.
func TestJournalCost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		var off *journalPlay
		for _, x := range []struct {
			mode string
			most float64 // ms that the median may be later
		}{{"off", 0}, {"alongside (disk 0.1ms 2ms)", 1}, {"before (disk 0.1ms 2ms)", 6}, {"alongside (disk 5ms 20ms)", 1}, {"before (disk 5ms 20ms)", 60}} {
			got := playJournal(t, seed+1, 20, x.mode, "")
			if off == nil {
				off = got
			}
			p50, p99 := float64(got.times.ValueAtQuantile(50))/1000, float64(got.times.ValueAtQuantile(99))/1000
			t.Logf("seed %d, %s: registrar-ponto p50 %.2f ms, p99 %.2f; %d of %d served; service %.4f", seed+1, x.mode, p50, p99, got.served, got.asked, got.Score.Ratio)
			if later := p50 - float64(off.times.ValueAtQuantile(50))/1000; later > x.most || got.Score.Ratio < off.Score.Ratio-0.03 {
				t.Errorf("seed %d, %s: %.2f ms later, service %.4f beside %.4f", seed+1, x.mode, later, got.Score.Ratio, off.Score.Ratio)
			}
		}
	}
}
