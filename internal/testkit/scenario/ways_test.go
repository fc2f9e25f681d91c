package scenario

import (
	"reflect"
	"testing"
)

// TestServerLinkFaultsRoundTrip checks that faults of links to servers, with poolers given by site, by number, as all or drawn, affect the same poolers
// after the scenario was written and read again.
func TestServerLinkFaultsRoundTrip(t *testing.T) {
	s, err := Parse("s", []byte(`(rehearsal "x" (poolers 5) (sites "a" "b") (at 1s (cut b member 0 1)) (at 2s (thin (4 0) everyone 0.4)) (at 3s (list-held all) (for 1s))
		(chaos 20 4s 9s cut thin list-held restart))`))
	if err != nil {
		t.Fatalf("parsing the scenario: %v", err)
	}
	if s, err = s.Draw(3); err != nil {
		t.Fatalf("drawing the faults with seed 3: %v", err)
	}
	if want := [][]int{{1, 3}, {4, 0}, {0, 1, 2, 3, 4}}; !reflect.DeepEqual([][]int{s.Faults[0].Poolers, s.Faults[1].Poolers, s.Faults[2].Poolers}, want) {
		t.Errorf("poolers that the first three faults affect: want %v, got those of %v", want, s.Faults[:3])
	}
	again, err := Parse("again", []byte(s.Text()))
	if err != nil {
		t.Fatalf("reading the written scenario again: %v\n%s", err, s.Text())
	}
	for i, f := range s.Faults {
		if g := again.Faults[i]; !reflect.DeepEqual(f.Poolers, g.Poolers) || f.Kind != g.Kind || f.Target != g.Target || f.Value != g.Value {
			t.Errorf("fault %d: %s of poolers %v at %v became %s of poolers %v at %v", i, f.Kind, f.Poolers, f.Target, g.Kind, g.Poolers, g.Target)
		}
	}
}
