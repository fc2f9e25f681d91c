package idletimeout

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestWear guards against writing what must not run twice to connections that have rested too long, and against giving up
// good ones where connections break whatever their age.
func TestWear(t *testing.T) {
	type seen struct {
		rested     float64
		good, lost int
	}
	for name, c := range map[string]struct {
		seen []seen
		want float64
	}{
		"all good":          {[]seen{{5, 100, 0}, {500, 100, 0}}, math.Inf(1)},
		"old ones break":    {[]seen{{5, 100, 0}, {30, 50, 0}, {120, 20, 10}, {500, 5, 5}}, 100},
		"too few to tell":   {[]seen{{5, 100, 0}, {120, 5, 2}}, math.Inf(1)},
		"all ages break":    {[]seen{{5, 90, 10}, {30, 45, 5}, {120, 27, 3}}, math.Inf(1)},
		"young ones break":  {[]seen{{5, 90, 10}, {120, 30, 0}}, math.Inf(1)},
		"a few among many":  {[]seen{{5, 100, 0}, {120, 200, 4}}, math.Inf(1)},
		"the oldest of all": {[]seen{{5, 100, 0}, {5000, 0, 3}}, 1600},
	} {
		w := New()
		for _, s := range c.seen {
			for range s.good {
				w.Record(1000, s.rested, false)
			}
			for range s.lost {
				w.Record(1000, s.rested, true)
			}
		}
		if diff := cmp.Diff(c.want, w.limit); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		w.Record(1000+10*wearMemoryMs, 5, false)
		if !math.IsInf(w.limit, 1) {
			t.Errorf("%s: never forgotten", name)
		}
	}
}
