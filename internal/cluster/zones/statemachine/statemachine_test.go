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

func somePlan(no, version uint64, by string) *Plan {
	return &Plan{Number: no, Version: version, ZonesHash: 7, Author: by, Zones: []ZoneStatus{{State: health.Evacuated, RestMs: 30000}, {}}, Links: []LinkStatus{{From: 1, To: 0, ZoneStatus: ZoneStatus{State: health.Failing}}},
		Matrix: plan.Matrix{{0, 0.75}, {0, 1}}, Unserved: 0.25, MaxFill: 0.5}
}

// TestOnePlanForEachNumber: of the plans of two leaders one is taken for each number, and none that ignores an order.
func TestOnePlanForEachNumber(t *testing.T) {
	machine := New()
	if !machine.Apply(1, EncodePlan(somePlan(1, 0, "a"))) || machine.Apply(2, EncodePlan(somePlan(1, 0, "b"))) || machine.Plan.Author != "a" {
		t.Fatal("two plans of a number")
	}
	if !machine.Apply(3, EncodeOrder(&Order{Number: 5, Zone: 1, State: health.Evacuated, Until: 99000})) || machine.Apply(4, EncodePlan(somePlan(2, 0, "a"))) {
		t.Fatal("a plan made without an order that stands")
	}
	if machine.Apply(5, EncodeOrder(&Order{Number: 4, Zone: 1, State: health.Serving})) || machine.Apply(6, EncodeOrder(&Order{Number: 5, Zone: 1, Lifts: true})) {
		t.Error("an order that was overtaken is taken")
	}
	if o, ok := machine.Order(1); !ok || o.State != health.Evacuated || o.Until != 99000 {
		t.Errorf("%+v stands", o)
	}
	if machine.Apply(7, EncodeOrderEnd(&Order{Number: 4, Zone: 1})) || !machine.Apply(8, EncodeOrderEnd(&Order{Number: 5, Zone: 1})) || machine.Apply(9, EncodeOrderEnd(&Order{Number: 5, Zone: 1})) {
		t.Error("an order ends once, by its number")
	}
	if _, ok := machine.Order(1); ok || machine.Version != 2 {
		t.Errorf("an order stands, version %d", machine.Version)
	}
	if !machine.Apply(10, EncodePlan(somePlan(2, 2, "b"))) || machine.Apply(10, EncodePlan(somePlan(3, 2, "b"))) {
		t.Error("the next plan, once")
	}
}

// TestReplicasAgree: two state machines that apply the same entries, one of them restored from a snapshot now and then, stay equal.
func TestReplicasAgree(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		a, machine := New(), New()
		a.Checks = invariant.Test(r)
		last := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(r, "entries") {
			var e []byte
			o := &Order{Number: rapid.Uint64Range(1, 9).Draw(r, "no"), Zone: rapid.IntRange(0, 2).Draw(r, "zone"), Lifts: rapid.Bool().Draw(r, "lifts"), State: health.State(rapid.IntRange(0, 4).Draw(r, "state"))}
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				e = EncodeOrder(o)
			case 1:
				e = EncodeOrderEnd(o)
			case 2:
				e = rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(r, "noise")
			default:
				e = EncodePlan(somePlan(last+rapid.Uint64Range(0, 2).Draw(r, "ahead"), a.Version-rapid.Uint64Range(0, min(1, a.Version)).Draw(r, "late"), "x"))
			}
			if x, y := a.Apply(uint64(i+1), e), machine.Apply(uint64(i+1), e); x != y {
				r.Fatalf("one takes %x, the other does not", e)
			}
			if p := a.Plan; p != nil && p.Number != last {
				if p.Number != last+1 {
					r.Fatalf("plan %d after %d", p.Number, last)
				}
				last = p.Number
			}
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				c := New()
				if err := c.Restore(machine.Snapshot()); err != nil {
					r.Fatal(err)
				}
				machine = c
			}
			if !bytes.Equal(a.Snapshot(), machine.Snapshot()) {
				r.Fatal("two books differ")
			}
		}
	})
}

// TestPlansRoundTrip: a plan decodes as it was encoded, in one entry for the largest fleet; flipped bits make it malformed or another
// plan, never a panic.
func TestPlansRoundTrip(t *testing.T) {
	p := somePlan(3, 1, "voter-one")
	q, err := DecodePlan(p.Append(nil))
	if err != nil || !q.SameTarget(p) || q.Number != 3 || q.Author != p.Author || q.Matrix[0][1] != 0.75 || q.MaxFill != 0.5 {
		t.Errorf("%+v, %v", q, err)
	}
	big := &Plan{Number: 1 << 40, Author: "a-pooler-with-a-long-name-of-some-length", Matrix: plan.IdentityMatrix(MaxZones)}
	for z := range MaxZones {
		big.Zones = append(big.Zones, ZoneStatus{health.Returning, 240000})
		for k := 1; k < 6; k++ { // each goes to five others
			big.Matrix[z][(z+k)%MaxZones] = 0.19
		}
		big.Matrix[z][z] = 0.05
	}
	if n := len(EncodePlan(big)); n > 800 {
		t.Errorf("%d bytes", n)
	}
	deterministic.Check(t, func(r *rapid.T) {
		b := p.Append(nil)
		b[rapid.IntRange(0, len(b)-1).Draw(r, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
		if q, err := DecodePlan(b); err == nil {
			for _, row := range q.Matrix {
				sum := 0.0
				for _, x := range row {
					sum += x
				}
				if sum > 1.0001 {
					r.Fatalf("%v", q.Matrix)
				}
			}
		}
	})
}
