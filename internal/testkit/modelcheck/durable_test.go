package modelcheck

import (
	"os"
	"reflect"
	"testing"
	"time"
)

// TestDurable: every order of the steps of the store's writer and of a compaction beside it, with the process ending and the power going
// out after each, in all ways that the disk may come back: a start holds all that was told of, and nothing that was not asked for. Each way
// in which the protocol could be wrong is found.
func TestDurable(t *testing.T) {
	t.Parallel()
	b := DurableBounds{Records: 3, Segments: 3, Compactions: 1, Crashes: 2}
	if os.Getenv("EXPLORE_LONG") != "" {
		b = DurableBounds{Records: 4, Segments: 5, Compactions: 2, Crashes: 2}
	}
	began := time.Now()
	r := Run(NewDurable(b), Bounds{Depth: 200, States: 20_000_000})
	t.Logf("%+v: %d states, %d steps, depth %d, whole %v, %v", b, r.States, r.Steps, r.Depth, r.Complete, time.Since(began))
	if r.Err != nil || !r.Complete || r.States < 1000 {
		t.Fatalf("%v by %q", r.Err, r.Trace)
	}
	ways := reflect.TypeFor[DurableMutants]()
	for i := range ways.NumField() {
		wrong := b
		reflect.ValueOf(&wrong.Mutants).Elem().Field(i).SetBool(true)
		r := Run(NewDurable(wrong), Bounds{Depth: 200, States: 5_000_000})
		if r.Err == nil {
			t.Errorf("%s: nothing was found in %d states", ways.Field(i).Name, r.States)
			continue
		}
		t.Logf("%s: %v, by %q", ways.Field(i).Name, r.Err, r.Trace)
	}
}
