package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/health"
)

// requiredByZones are the forms that (zones ...) needs.
const requiredByZones = `(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "d"))`

// TestZonesSettings checks the values and errors of (zones ...).
func TestZonesSettings(t *testing.T) {
	text := requiredByZones + ` (zones (names "a" "b") (delay "a" "b" 3ms) (spare 0.3) (order 7 "b" evacuated (until "2026-01-31T12:00:00Z")))`
	settings, err := Parse("x", []byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatalf("parse (zones ...): %v", err)
	}
	z := &settings.Zones
	if !z.Enabled || z.Planner.Plan.Delay[1][0] != 3 || z.Planner.Plan.SpareShare != 0.3 {
		t.Errorf("parsed as %+v, want it enabled, with a delay of 3 ms from b to a and a spare share of 0.3", z)
	}
	order := zones.Order{Number: 7, Zone: "b", State: health.Evacuated, Until: 1769860800000}
	if diff := cmp.Diff([]zones.Order{order}, z.Orders); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	for text, want := range map[string]string{
		`(zones (names "a" "b"))`:                                                "needs (peers ...) and (agreed ...)",
		requiredByZones + `(zones (names "a"))`:                                  "from 2 to",
		requiredByZones + `(zones (names "a" "b") (delay "a" "c" 1ms))`:          "two zones in (names",
		requiredByZones + `(zones (names "a" "b") (order 1 "c" serving))`:        "is not in (names",
		requiredByZones + `(zones (names "a" "b") (order 1 "a" away))`:           "expected one of",
		requiredByZones + `(zones (names "a" "b") (life 1s))`:                    "two times (renew ...)",
		requiredByZones + `(zones (names "a" "b") (order 1 "a" lifted (for 1)))`: "expected (until",
	} {
		if _, err := Parse("x", []byte(text), func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}
