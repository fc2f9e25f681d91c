package modelcheck

import (
	"os"
	"reflect"
	"testing"
	"time"
)

// TestDurable guards against a store that loses acknowledged records, or finds records that were not submitted, because a crash of the
// process or a loss of power interrupts a write or a compaction between two syncs. It explores all orders of the steps of the writer and of
// a concurrent compaction, a crash after each step, and all contents that the disk may have then. The search must find each mutant of the
// protocol.
func TestDurable(t *testing.T) {
	t.Parallel()
	bounds := DurableBounds{Records: 3, Segments: 3, Compactions: 1, Crashes: 2}
	if os.Getenv("EXPLORE_LONG") != "" {
		bounds = DurableBounds{Records: 4, Segments: 5, Compactions: 2, Crashes: 2}
	}
	startedAt := time.Now()
	result := Run(NewDurable(bounds), Bounds{Depth: 200, States: 20_000_000})
	t.Logf("%+v: %d states, %d steps, depth %d, complete %v, %v", bounds, result.States, result.Steps, result.Depth, result.Complete, time.Since(startedAt))
	if result.Err != nil || !result.Complete || result.States < 1000 {
		t.Fatalf("search failed, is incomplete or visited fewer than 1000 states: %v after %q; complete %v, %d states", result.Err, result.Trace, result.Complete, result.States)
	}
	mutants := reflect.TypeFor[DurableMutants]()
	for i := range mutants.NumField() {
		mutated := bounds
		reflect.ValueOf(&mutated.Mutants).Elem().Field(i).SetBool(true)
		found := Run(NewDurable(mutated), Bounds{Depth: 200, States: 5_000_000})
		if found.Err == nil {
			t.Errorf("mutant %s: not found in %d states", mutants.Field(i).Name, found.States)
			continue
		}
		t.Logf("mutant %s: %v after %q", mutants.Field(i).Name, found.Err, found.Trace)
	}
}
