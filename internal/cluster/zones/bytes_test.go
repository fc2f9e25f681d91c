package zones

import (
	"encoding/hex"
	"testing"

	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/cluster/zones/statemachine"
)

// TestMessageEncodingIsStable guards against a change of the wire format: poolers of other versions must be able to decode the messages.
func TestMessageEncodingIsStable(t *testing.T) {
	plan := &statemachine.Plan{Number: 1, Since: 2, Version: 3, ZonesHash: 4, Author: "voter", Zones: []statemachine.ZoneStatus{{State: health.Returning, RestMs: 5000}, {}}, Matrix: [][]float64{{0.5, 0.5}, {0, 1}}, Unserved: 1.5, MaxFill: 0.25}
	for name, c := range map[string]struct {
		message interface{ Append([]byte) []byte }
		want    string
	}{
		"observations": {&Report{PlanNumber: 300, Report: planner.Report{Zone: 1, Part: 2, Cells: []planner.Cell{{Group: 7, Zone: 1, Attempts: 1.5, Lost: 0.25, Cores: 4, FullCores: 8, FixedCores: 0.5, AgeMs: 30}, {Group: 1 << 30}},
			Demands: []planner.Demand{{Group: 7, Class: 3, Load: 0.125}}}}, "01ac0201020207019601199003a006321e8080808004000000000000000107037d"},
		"a plan":          {&PlanUpdate{PlanNumber: 300, AgeMs: 12, Plan: plan}, "02ac020c0102030405766f746572020405000000dc0bfa010200f40301f4030101e807"},
		"a plan's number": {&PlanUpdate{PlanNumber: 300, AgeMs: 12}, "02ac020c"},
	} {
		b := c.message.Append(nil)
		if got := hex.EncodeToString(b); got != c.want {
			t.Errorf("%s: encoded as %s, want %s", name, got, c.want)
		}
		if got, err := Decode(b); err != nil || hex.EncodeToString(got.(interface{ Append([]byte) []byte }).Append(nil)) != hex.EncodeToString(b) {
			t.Errorf("%s: decoded as %+v, error %v; want the message that was encoded", name, got, err)
		}
	}
}
