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
		idleMs       float64
		good, broken int
	}
	for name, c := range map[string]struct {
		observed []observation
		want     float64
	}{
		"all good":               {[]observation{{5, 100, 0}, {500, 100, 0}}, math.Inf(1)},
		"long idle ones break":   {[]observation{{5, 100, 0}, {30, 50, 0}, {120, 20, 10}, {500, 5, 5}}, 100},
		"too few observations":   {[]observation{{5, 100, 0}, {120, 5, 2}}, math.Inf(1)},
		"all classes break":      {[]observation{{5, 90, 10}, {30, 45, 5}, {120, 27, 3}}, math.Inf(1)},
		"shortest class breaks":  {[]observation{{5, 90, 10}, {120, 30, 0}}, math.Inf(1)},
		"a few among many":       {[]observation{{5, 100, 0}, {120, 200, 4}}, math.Inf(1)},
		"only the longest class": {[]observation{{5, 100, 0}, {5000, 0, 3}}, 1600},
	} {
		estimator := New()
		for _, observed := range c.observed {
			for range observed.good {
				estimator.Record(1000, observed.idleMs, false)
			}
			for range observed.broken {
				estimator.Record(1000, observed.idleMs, true)
			}
		}
		if diff := cmp.Diff(c.want, estimator.limit); diff != "" {
			t.Errorf("%s: limit of idle time (-want +got):\n%s", name, diff)
		}
		estimator.Record(1000+10*decayMs, 5, false)
		if !math.IsInf(estimator.limit, 1) {
			t.Errorf("%s: the limit is not lifted after the observations have faded", name)
		}
	}
}
