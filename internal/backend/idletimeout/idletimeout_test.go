package idletimeout

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLimitFollowsBrokenConnections: the limit must keep queries that must not run twice from connections that were idle too long, but
// must not rule out good ones where connections break whatever their idle time.
func TestLimitFollowsBrokenConnections(t *testing.T) {
	type observation struct {
		idleMs     float64
		good, lost int
	}
	for name, c := range map[string]struct {
		observed []observation
		want     float64
	}{
		"all good":             {[]observation{{5, 100, 0}, {500, 100, 0}}, math.Inf(1)},
		"old ones break":       {[]observation{{5, 100, 0}, {30, 50, 0}, {120, 20, 10}, {500, 5, 5}}, 100},
		"too few observations": {[]observation{{5, 100, 0}, {120, 5, 2}}, math.Inf(1)},
		"all ages break":       {[]observation{{5, 90, 10}, {30, 45, 5}, {120, 27, 3}}, math.Inf(1)},
		"young ones break":     {[]observation{{5, 90, 10}, {120, 30, 0}}, math.Inf(1)},
		"a few among many":     {[]observation{{5, 100, 0}, {120, 200, 4}}, math.Inf(1)},
		"the oldest of all":    {[]observation{{5, 100, 0}, {5000, 0, 3}}, 1600},
	} {
		w := New()
		for _, s := range c.observed {
			for range s.good {
				w.Record(1000, s.idleMs, false)
			}
			for range s.lost {
				w.Record(1000, s.idleMs, true)
			}
		}
		if diff := cmp.Diff(c.want, w.limit); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		w.Record(1000+10*decayMs, 5, false)
		if !math.IsInf(w.limit, 1) {
			t.Errorf("%s: never forgotten", name)
		}
	}
}
