package statemachine

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/zones/health"
)

// filledStateMachine returns a state machine that has a value in each field.
func filledStateMachine() *StateMachine {
	machine := &StateMachine{Index: 300, Version: 2, Plan: &Plan{Number: 1, Since: 2, Version: 3, ZonesHash: 4, Author: "voter", Zones: []ZoneStatus{{State: health.Returning, RestMs: 5000}, {}},
		Links: []LinkStatus{{From: 1, To: 0, ZoneStatus: ZoneStatus{RestMs: 6000}}}, Matrix: [][]float64{{0.5, 0.5}, {0, 1}}, Unserved: 1.5, MaxFill: 0.25}}
	machine.orders[1], machine.active[1] = Order{Number: 7, Zone: 1, Lifts: true, State: health.Returning, Until: 8e5}, true
	machine.orders[3] = Order{Number: 6, Zone: 3}
	return machine
}

// TestSnapshotEncodingIsStable guards against a change of the encoding: poolers of other versions must be able to decode a snapshot with a
// plan and orders.
func TestSnapshotEncodingIsStable(t *testing.T) {
	const want = "ac0202020701010480ea3001060300000000010102030405766f74657202040500000101000006dc0bfa010200f40301f4030101e807"
	snapshot := filledStateMachine().Snapshot()
	if got := hex.EncodeToString(snapshot); got != want {
		t.Errorf("snapshot encoded as %s, want %s", got, want)
	}
	restored := &StateMachine{}
	if err := restored.Restore(snapshot); err != nil || hex.EncodeToString(restored.Snapshot()) != want {
		t.Errorf("snapshot of the restored state machine: got %x, error %v; want %s", restored.Snapshot(), err, want)
	}
	if restored.Restore(append(snapshot, 0)) == nil {
		t.Error("a snapshot with a byte after its end was restored")
	}
	encoded := filledStateMachine().Plan.Append(nil)
	for length := range encoded {
		if p, err := DecodePlan(encoded[:length]); err == nil {
			t.Errorf("a plan cut to %d bytes was decoded as %+v, want an error", length, p)
		}
	}
}
