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
	return &Plan{No: no, Version: version, Of: 7, By: by, Zones: []Mark{{State: health.Evacuated, Rest: 30000}, {}}, Ways: []Way{{From: 1, To: 0, Mark: Mark{State: health.Failing}}},
		Matrix: plan.Matrix{{0, 0.75}, {0, 1}}, Short: 0.25, Most: 0.5}
}

// TestOneWins: of plans made by two who both lead one for each number is taken, and none that does not know of an order.
func TestOneWins(t *testing.T) {
	b := New()
	if !b.Apply(1, EncodePlan(somePlan(1, 0, "a"))) || b.Apply(2, EncodePlan(somePlan(1, 0, "b"))) || b.Plan.By != "a" {
		t.Fatal("two plans of a number")
	}
	if !b.Apply(3, EncodeOrder(&Order{No: 5, Zone: 1, State: health.Evacuated, Until: 99000})) || b.Apply(4, EncodePlan(somePlan(2, 0, "a"))) {
		t.Fatal("a plan made without an order that stands")
	}
	if b.Apply(5, EncodeOrder(&Order{No: 4, Zone: 1, State: health.Serving})) || b.Apply(6, EncodeOrder(&Order{No: 5, Zone: 1, Lifts: true})) {
		t.Error("an order that was overtaken is taken")
	}
	if o, ok := b.Order(1); !ok || o.State != health.Evacuated || o.Until != 99000 {
		t.Errorf("%+v stands", o)
	}
	if b.Apply(7, EncodeEnd(&Order{No: 4, Zone: 1})) || !b.Apply(8, EncodeEnd(&Order{No: 5, Zone: 1})) || b.Apply(9, EncodeEnd(&Order{No: 5, Zone: 1})) {
		t.Error("an order ends once, by its number")
	}
	if _, ok := b.Order(1); ok || b.Version != 2 {
		t.Errorf("an order stands, version %d", b.Version)
	}
	if !b.Apply(10, EncodePlan(somePlan(2, 2, "b"))) || b.Apply(10, EncodePlan(somePlan(3, 2, "b"))) {
		t.Error("the next plan, once")
	}
}

// TestBooksAgree applies drawn entries at two books, one of which is put back from a snapshot now and then: they stay the same, and
// numbers of plans go up by one.
func TestBooksAgree(t *testing.T) {
	deterministic.Check(t, func(r *rapid.T) {
		a, b := New(), New()
		a.Checks = invariant.Test(r)
		last := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(r, "entries") {
			var e []byte
			o := &Order{No: rapid.Uint64Range(1, 9).Draw(r, "no"), Zone: rapid.IntRange(0, 2).Draw(r, "zone"), Lifts: rapid.Bool().Draw(r, "lifts"), State: health.State(rapid.IntRange(0, 4).Draw(r, "state"))}
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				e = EncodeOrder(o)
			case 1:
				e = EncodeEnd(o)
			case 2:
				e = rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(r, "noise")
			default:
				e = EncodePlan(somePlan(last+rapid.Uint64Range(0, 2).Draw(r, "ahead"), a.Version-rapid.Uint64Range(0, min(1, a.Version)).Draw(r, "late"), "x"))
			}
			if x, y := a.Apply(uint64(i+1), e), b.Apply(uint64(i+1), e); x != y {
				r.Fatalf("one takes %x, the other does not", e)
			}
			if p := a.Plan; p != nil && p.No != last {
				if p.No != last+1 {
					r.Fatalf("plan %d after %d", p.No, last)
				}
				last = p.No
			}
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				c := New()
				if err := c.Restore(b.Snapshot()); err != nil {
					r.Fatal(err)
				}
				b = c
			}
			if !bytes.Equal(a.Snapshot(), b.Snapshot()) {
				r.Fatal("two books differ")
			}
		}
	})
}

// TestForms: a plan comes back as it was, in one entry for the largest fleet; bits that flip spoil it or make another plan, never a panic.
func TestForms(t *testing.T) {
	p := somePlan(3, 1, "voter-one")
	q, err := ReadPlan(p.Append(nil))
	if err != nil || !q.Same(p) || q.No != 3 || q.By != p.By || q.Matrix[0][1] != 0.75 || q.Most != 0.5 {
		t.Errorf("%+v, %v", q, err)
	}
	big := &Plan{No: 1 << 40, By: "a-pooler-with-a-long-name-of-some-length", Matrix: plan.Near(MostZones)}
	for z := range MostZones {
		big.Zones = append(big.Zones, Mark{health.Returning, 240000})
		for k := 1; k < 6; k++ { // each goes to five others
			big.Matrix[z][(z+k)%MostZones] = 0.19
		}
		big.Matrix[z][z] = 0.05
	}
	if n := len(EncodePlan(big)); n > 800 {
		t.Errorf("%d bytes", n)
	}
	deterministic.Check(t, func(r *rapid.T) {
		b := p.Append(nil)
		b[rapid.IntRange(0, len(b)-1).Draw(r, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(r, "bit")
		if q, err := ReadPlan(b); err == nil {
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
