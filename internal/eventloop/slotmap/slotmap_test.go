package slotmap

import "testing"

// TestStaleRefFindsNothing: a callback that runs after its value was removed must not reach the value that uses the slot now.
func TestStaleRefFindsNothing(t *testing.T) {
	var tab Table[string]
	old := tab.Put("old")
	tab.Remove(old)
	tab.Remove(old)
	next := tab.Put("next")
	if next.Index != old.Index {
		t.Fatalf("ref after a removal is %v, want it to reuse the slot of %v", next, old)
	}
	if v, ok := tab.Get(old); ok {
		t.Errorf("the old ref finds %q", v)
	}
	tab.Remove(old)
	if v, ok := tab.Get(next); !ok || v != "next" || tab.Len() != 1 {
		t.Errorf("value of the reused slot: got %q, found %v, %d slots in use; want next, true, 1", v, ok, tab.Len())
	}
	if _, ok := tab.Get(Ref{}); ok {
		t.Error("the zero ref finds a value")
	}
}
