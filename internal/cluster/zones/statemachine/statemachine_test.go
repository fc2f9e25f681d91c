package statemachine

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

func testPlan(number, version uint64, author string) *Plan {
	return &Plan{Number: number, Version: version, ZonesHash: 7, Author: author, Zones: []ZoneStatus{{State: health.Evacuated, RestMs: 30000}, {}}, Links: []LinkStatus{{From: 1, To: 0, ZoneStatus: ZoneStatus{State: health.Failing}}},
		Matrix: plan.Matrix{{0, 0.75}, {0, 1}}, Unserved: 0.25, MaxFill: 0.5}
}

// TestOnePlanForEachNumber: of the plans of two leaders one is accepted for each number, and none that ignores an order.
func TestOnePlanForEachNumber(t *testing.T) {
	machine := New()
	if !machine.Apply(1, EncodePlan(testPlan(1, 0, "a"))) || machine.Apply(2, EncodePlan(testPlan(1, 0, "b"))) || machine.Plan.Author != "a" {
		t.Fatal("the first plan with number 1 was rejected or replaced by a second one")
	}
	if !machine.Apply(3, EncodeOrder(&Order{Number: 5, Zone: 1, State: health.Evacuated, Until: 99000})) || machine.Apply(4, EncodePlan(testPlan(2, 0, "a"))) {
		t.Fatal("an order was rejected, or a plan made without the active order was accepted")
	}
	if machine.Apply(5, EncodeOrder(&Order{Number: 4, Zone: 1, State: health.Serving})) || machine.Apply(6, EncodeOrder(&Order{Number: 5, Zone: 1, Lifts: true})) {
		t.Error("an order was accepted whose number is not above the newest one")
	}
	if o, ok := machine.Order(1); !ok || o.State != health.Evacuated || o.Until != 99000 {
		t.Errorf("active order %+v, want evacuated until 99000", o)
	}
	if machine.Apply(7, EncodeOrderEnd(&Order{Number: 4, Zone: 1})) || !machine.Apply(8, EncodeOrderEnd(&Order{Number: 5, Zone: 1})) || machine.Apply(9, EncodeOrderEnd(&Order{Number: 5, Zone: 1})) {
		t.Error("an order did not end exactly once, by its number")
	}
	if _, ok := machine.Order(1); ok || machine.Version != 2 {
		t.Errorf("an order is active or the version is %d, want no order and version 2", machine.Version)
	}
	if !machine.Apply(10, EncodePlan(testPlan(2, 2, "b"))) || machine.Apply(10, EncodePlan(testPlan(3, 2, "b"))) {
		t.Error("the next plan was rejected, or an entry was applied twice")
	}
}

// TestReplicasAgree: two state machines that apply the same entries stay equal, also if one of them is restored from snapshots in between.
func TestReplicasAgree(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		reference, replica := New(), New()
		reference.Checks = invariant.Test(r)
		last := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(r, "entries") {
			var entry []byte
			order := &Order{Number: rapid.Uint64Range(1, 9).Draw(r, "no"), Zone: rapid.IntRange(0, 2).Draw(r, "zone"), Lifts: rapid.Bool().Draw(r, "lifts"), State: health.State(rapid.IntRange(0, 4).Draw(r, "state"))}
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				entry = EncodeOrder(order)
			case 1:
				entry = EncodeOrderEnd(order)
			case 2:
				entry = rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(r, "noise")
			default:
				entry = EncodePlan(testPlan(last+rapid.Uint64Range(0, 2).Draw(r, "ahead"), reference.Version-rapid.Uint64Range(0, min(1, reference.Version)).Draw(r, "late"), "x"))
			}
			if x, y := reference.Apply(uint64(i+1), entry), replica.Apply(uint64(i+1), entry); x != y {
				r.Fatalf("entry %d, %x: accepted by the reference %v, by the replica %v, want the same", i+1, entry, x, y)
			}
			if p := reference.Plan; p != nil && p.Number != last {
				if p.Number != last+1 {
					r.Fatalf("plan %d was accepted after plan %d, want the next number", p.Number, last)
				}
				last = p.Number
			}
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				restored := New()
				if err := restored.Restore(replica.Snapshot()); err != nil {
					r.Fatalf("restore from the replica's snapshot after entry %d: %v", i+1, err)
				}
				replica = restored
			}
			if !bytes.Equal(reference.Snapshot(), replica.Snapshot()) {
				r.Fatalf("after entry %d the snapshots of the two state machines differ", i+1)
			}
		}
	})
}

// TestPlansRoundTrip: a plan decodes as it was encoded, and one for the largest number of zones fits in an entry. A flipped bit makes a
// plan malformed or a different valid plan, and never causes a panic.
func TestPlansRoundTrip(t *testing.T) {
	original := testPlan(3, 1, "voter-one")
	decoded, err := DecodePlan(original.Append(nil))
	if err != nil || !decoded.SameTarget(original) || decoded.Number != 3 || decoded.Author != original.Author || decoded.Matrix[0][1] != 0.75 || decoded.MaxFill != 0.5 {
		t.Errorf("plan decoded as %+v, error %v; want %+v", decoded, err, original)
	}
	largest := &Plan{Number: 1 << 40, Author: "a-pooler-with-a-long-name-of-some-length", Matrix: plan.IdentityMatrix(MaxZones)}
	for z := range MaxZones {
		largest.Zones = append(largest.Zones, ZoneStatus{health.Returning, 240000})
		for k := 1; k < 6; k++ { // reads of each zone go to five others
			largest.Matrix[z][(z+k)%MaxZones] = 0.19
		}
		largest.Matrix[z][z] = 0.05
	}
	if n := len(EncodePlan(largest)); n > 800 {
		t.Errorf("the largest plan takes %d bytes, want at most 800", n)
	}
	deterministic.Check(t, func(r *rapid.T) {
		b := original.Append(nil)
		b[rapid.IntRange(0, len(b)-1).Draw(r, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
		if decoded, err := DecodePlan(b); err == nil {
			for _, row := range decoded.Matrix {
				sum := 0.0
				for _, share := range row {
					sum += share
				}
				if sum > 1.0001 {
					r.Fatalf("a row of a decoded plan sums to %v, want at most 1.0001: %v", sum, decoded.Matrix)
				}
			}
		}
	})
}
