package main

import (
	"testing"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/rehearse"
)

// Eight processes, and faults between them and discovery: the sentences of the operators' standing test that are of many.

// TestFleetSilentList: all watches fall silent, and discovery hangs for 2 s; servers begin to drain in the silence. 6 s after it began
// no process sends them anything new, though none has been told by the watch that it had.
func TestFleetSilentList(t *testing.T) {
	t.Parallel()
	res := fleetAt(t, 150, fleetQuick+` (seconds 18) (at 4s (list-silent) (for 2s)) (at 4500ms (drain replica 0) (for 10s)) (at 5s (drain primary 1) (for 10s)) (at 7s (stall-pooler 3) (for 2s))`, checker.DrainsKept, checker.NotStale)
	told := 0
	for _, f := range res.Facts {
		if f.What == "drains" {
			told++
		}
	}
	if told != 2 {
		t.Errorf("%d servers drained", told)
	}
}

// TestFleetRestartsUnderClients: all 8 are restarted in order, a quarter at a time, while clients send on every connection that stays
// open and open new ones. Each request that a process has taken has its answer. A close may cross one that it has not read, which goes to
// another process then; by the poolers' records all that have no answer are such, and they are fewer than one in 200.
func TestFleetRestartsUnderClients(t *testing.T) {
	t.Parallel()
	out, res := fleetIn(t, 300, fleetQuick+` (retries 0) (roams 1) (class "conferir-ponto" (deadline 1s)) (seconds 22)
		(at 2s (restart-pooler 0)) (at 2s (restart-pooler 1)) (at 6s (restart-pooler 2)) (at 6s (restart-pooler 3))
		(at 10s (restart-pooler 4)) (at 10s (restart-pooler 5)) (at 14s (restart-pooler 6)) (at 14s (restart-pooler 7))`)
	all := &res.Score.Total
	t.Logf("%d tries: %d served, %d refused, %d failed, %d without an answer, %d broken, %d unmade", all.Tries, all.Served, all.Refused, all.Failed, all.Unanswered, all.Broken, all.Unmade)
	if lost := all.Unanswered + all.Broken + all.Unmade; lost*200 > all.Tries || all.Unanswered > 0 {
		t.Errorf("%d of %d had no answer", lost, all.Tries)
	}
	m, _, _, err := rehearse.Compare(out)
	if err != nil {
		t.Fatal(err)
	}
	if lost := all.Unanswered + all.Broken + all.Unmade; uint64(m.Untaken) != lost || m.InMissing+m.Unknown > 0 {
		t.Errorf("%d had no answer, %d of which nobody had taken; %d and %d are not known", lost, m.Untaken, m.InMissing, m.Unknown)
	}
}

// TestFleetRelease: a release: six of 8 processes are killed at once and come back empty, and with them all servers die and return cold. Each
// process knows only how many there are; together they push no server over.
func TestFleetRelease(t *testing.T) {
	t.Parallel()
	res := fleetAt(t, 200, fleetQuick+` (retries 2) (falls 2) (falls-in 1s) (cold-by 0.15) (seconds 16) (at 5s (die everyone) (for 1s))
		(at 5s (kill-pooler 0) (for 1200ms)) (at 5s (kill-pooler 1) (for 1200ms)) (at 5s (kill-pooler 2) (for 1200ms))
		(at 5s (kill-pooler 3) (for 1200ms)) (at 5s (kill-pooler 4) (for 1200ms)) (at 5s (kill-pooler 5) (for 1200ms))`, checker.ColdSpared)
	if n := res.Rules.Checked[checker.ColdSpared]; n < 50 {
		t.Errorf("%d requests came to cold servers", n)
	}
}
