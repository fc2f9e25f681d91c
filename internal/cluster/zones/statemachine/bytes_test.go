package statemachine

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/zones/health"
)

// wholeBook has something in each field.
func wholeBook() *Book {
	b := &Book{Index: 300, Version: 2, Plan: &Plan{No: 1, Since: 2, Version: 3, Of: 4, By: "voter", Zones: []Mark{{State: health.Returning, Rest: 5000}, {}},
		Ways: []Way{{From: 1, To: 0, Mark: Mark{Rest: 6000}}}, Matrix: [][]float64{{0.5, 0.5}, {0, 1}}, Short: 1.5, Most: 0.25}}
	b.orders[1], b.stands[1] = Order{No: 7, Zone: 1, Lifts: true, State: health.Returning, Until: 8e5}, true
	b.orders[3] = Order{No: 6, Zone: 3}
	return b
}

// TestBytes: a snapshot's bytes, with a plan and orders, are what poolers of other versions read.
func TestBytes(t *testing.T) {
	const want = "ac0202020701010480ea3001060300000000010102030405766f74657202040500000101000006dc0bfa010200f40301f4030101e807"
	b := wholeBook().Snapshot()
	if got := hex.EncodeToString(b); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	n := &Book{}
	if err := n.Restore(b); err != nil || hex.EncodeToString(n.Snapshot()) != want {
		t.Errorf("restored as %x, %v", n.Snapshot(), err)
	}
	if n.Restore(append(b, 0)) == nil {
		t.Error("a byte after its end is taken")
	}
	p := wholeBook().Plan.Append(nil)
	for cut := range p {
		if x, err := ReadPlan(p[:cut]); err == nil {
			t.Errorf("a plan cut at %d is read as %+v", cut, x)
		}
	}
}
