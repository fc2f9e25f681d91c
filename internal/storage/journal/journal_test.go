package journal

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/decide"
	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// TestOnlyUnknownOutcomesStayPending checks which results leave an attempt pending, and that it stays pending until Clear.
func TestOnlyUnknownOutcomesStayPending(t *testing.T) {
	s, _, err := store.Open(store.Options{FS: faultyfs.New()})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	defer func() { _ = s.Close() }()
	done := make(chan error, 1)
	wait := func() {
		t.Helper()
		if err := <-done; err != nil {
			t.Fatalf("write to the journal: %v", err)
		}
	}
	j := New(s, 1e6)
	results := map[string]decide.Result{
		"failed": decide.Failed, "timed out": decide.TimedOut, "reset": decide.Reset, "cancelled": decide.Cancelled,
		"answered": decide.OK, "not sent": decide.NotSent,
	}
	for id, result := range results {
		entry := j.NewEntry(Attempt{ID: id, Server: "a", Number: 1})
		j.Record(entry, func(err error) { done <- err })
		wait()
		j.RecordOutcome(entry, result, func(err error) { done <- err })
		wait()
	}
	j.Record(j.NewEntry(Attempt{ID: "no outcome", Server: "a", Number: 1}), func(err error) { done <- err })
	wait()
	texts := map[string]string{}
	for _, attempt := range Pending(s) {
		texts[attempt.ID] = attempt.OutcomeText()
	}
	want := map[string]string{
		"failed": "an error", "timed out": "no answer in time", "reset": "its connection broke", "cancelled": "called off",
		"no outcome": "the pooler ended",
	}
	if diff := cmp.Diff(want, texts); diff != "" {
		t.Errorf("outcomes of pending attempts (-want +got):\n%s", diff)
	}
	next := New(s, 0) // as if the clock was set back
	for id := range results {
		_, isPending := want[id]
		if next.MayHaveRun(id) != isPending {
			t.Errorf("attempt %s: may have run is %v, want %v", id, next.MayHaveRun(id), isPending)
		}
	}
	Clear(s, func(err error) { done <- err })
	wait()
	if len(Pending(s)) != 0 || len(New(s, 0).earlier) != 0 {
		t.Errorf("pending after Clear: %v, want none", Pending(s))
	}
}
