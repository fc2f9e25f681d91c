package statemachine

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/zones/health"
)

// wholeBook has something in each field.
func wholeBook() *StateMachine {
	machine := &StateMachine{Index: 300, Version: 2, Plan: &Plan{Number: 1, Since: 2, Version: 3, ZonesHash: 4, Author: "voter", Zones: []ZoneStatus{{State: health.Returning, RestMs: 5000}, {}},
		Links: []LinkStatus{{From: 1, To: 0, ZoneStatus: ZoneStatus{RestMs: 6000}}}, Matrix: [][]float64{{0.5, 0.5}, {0, 1}}, Unserved: 1.5, MaxFill: 0.25}}
	machine.orders[1], machine.active[1] = Order{Number: 7, Zone: 1, Lifts: true, State: health.Returning, Until: 8e5}, true
	machine.orders[3] = Order{Number: 6, Zone: 3}
	return machine
}

// TestBytes: the bytes of a snapshot with a plan and orders stay what poolers of other versions read.
func TestBytes(t *testing.T) {
	const want = "ac0202020701010480ea3001060300000000010102030405766f74657202040500000101000006dc0bfa010200f40301f4030101e807"
	b := wholeBook().Snapshot()
	if got := hex.EncodeToString(b); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	n := &StateMachine{}
	if err := n.Restore(b); err != nil || hex.EncodeToString(n.Snapshot()) != want {
		t.Errorf("restored as %x, %v", n.Snapshot(), err)
	}
	if n.Restore(append(b, 0)) == nil {
		t.Error("a byte after its end is taken")
	}
	p := wholeBook().Plan.Append(nil)
	for cut := range p {
		if x, err := DecodePlan(p[:cut]); err == nil {
			t.Errorf("a plan cut at %d is read as %+v", cut, x)
		}
	}
}
