package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"beechgrade/internal/cluster/zones"
)

// zoneFleet is one that faults are drawn for.
type zoneFleet struct {
	text    string
	sites   []string
	poolers int
	seconds float64
}

var (
	fourZones = zoneFleet{`(sites "a" "b" "c" "d") (regions 2 2) (cross 1ms 2ms) (far 5ms 8ms) (poolers 8) (groups-of 2 4) (rate 40) `, []string{"a", "b", "c", "d"}, 8, 40}
	nineZones = zoneFleet{`(sites "a" "b" "c" "d" "e" "f" "g" "h" "i") (regions 3 3 3) (cross 1ms 2ms) (far 8ms 12ms) (poolers 90) (groups-of 20 9) (rate 300) `,
		[]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, 90, 40}
)

// never is the end of what leaves reads crossing: poolers near servers that lost requests, or were slow, take these for slow until they ask them
// again, which nobody does while others are well (docs/design/zones.md). Calm is not held there.
const never = 1e6

// drawn draws two or three faults of zones, and tells when the fleet changes.
func (f *zoneFleet) drawn(seed uint64) (text string, changes []float64, kinds []string) {
	r := rand.New(rand.NewPCG(seed, 47))
	site := func() string { return f.sites[r.IntN(len(f.sites))] }
	other := func(a string) string {
		for {
			if b := site(); b != a {
				return b
			}
		}
	}
	region := func(n int) (in, out string) {
		each := len(f.sites) / 2
		if len(f.sites) == 9 {
			each = 3
		}
		from := n % (len(f.sites) / each) * each
		for i, s := range f.sites {
			if i >= from && i < from+each {
				in += fmt.Sprintf(" %q", s)
			} else {
				out += fmt.Sprintf(" %q", s)
			}
		}
		return in, out
	}
	var b strings.Builder
	for range 2 + r.IntN(2) {
		at, last, a := 6+20*r.Float64(), 3+8*r.Float64(), site()
		end := at + last
		what, k := "", r.IntN(10)
		switch k {
		case 0:
			what = fmt.Sprintf("(power %q)", a)
		case 1:
			what, end = fmt.Sprintf("(lose site %q %.2f)", a, 0.2+0.4*r.Float64()), never
		case 2:
			what, end = fmt.Sprintf("(crowd site %q %.2f)", a, 0.05+0.4*r.Float64()), never
		case 3:
			what, last, end = fmt.Sprintf("(routes %q %q cut)", a, other(a)), 1+r.Float64(), at+10
			for k := range 3 { // it flaps
				fmt.Fprintf(&b, "(at %.0fms %s (for %.0fms))", (at+float64(k)*3)*1000, what, last*1000)
			}
		case 4:
			what = fmt.Sprintf("(route %q %q cut)", a, other(a))
		case 5:
			in, out := region(r.IntN(3))
			what = fmt.Sprintf("(routes (%s) (%s) cut)", in, out)
		case 6:
			what = fmt.Sprintf("(kill-pooler %d)", r.IntN(3))
		case 7:
			what, last = fmt.Sprintf("(stall-pooler %d)", r.IntN(3)), min(last, 5)
		case 8:
			what = fmt.Sprintf("(load %.1f)", 1.5+0.5*r.Float64())
		case 9:
			what = fmt.Sprintf("(die site %q)", a)
		}
		if k != 3 {
			fmt.Fprintf(&b, "(at %.0fms %s (for %.0fms))", at*1000, what, last*1000)
		}
		changes, kinds = append(changes, at*1000, end*1000), append(kinds, what)
	}
	return b.String(), changes, kinds
}

// returnMs is how long a zone's way back may take longer than a fleet is given to settle: MostRest, 1/Back steps and Warm, less that.
const returnMs = 10000

// TestZonesDrawn: what befalls zones, regions, ways and voters is drawn from seeds; no rule is broken. BEECHGRADE_ZONE_SEEDS has many more, from the
// first to below the second, each tenth of them on three regions of three zones.
func TestZonesDrawn(t *testing.T) {
	t.Parallel()
	from, to := uint64(0), uint64(6)
	if a, b, ok := strings.Cut(os.Getenv("BEECHGRADE_ZONE_SEEDS"), "-"); ok {
		from, _ = strconv.ParseUint(a, 10, 64)
		to, _ = strconv.ParseUint(b, 10, 64)
	}
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := &fourZones
			if seed%10 == 9 {
				f = &nineZones
			}
			text, changes, kinds := f.drawn(seed)
			for i := 1; i < len(changes); i += 2 {
				changes[i] += returnMs
			}
			z := zoned(t, seed, true, f.text+fmt.Sprintf("(seconds %.0f) ", f.seconds+45)+text, changes, func(s *zones.Settings, _ *Options) {
				st := &s.Planner.Health
				st.MinRest, st.MaxRest, st.RecoveryTime, s.Planner.ReturnShare = 4000, 8000, 6000, 0.25
			})
			z.hold(t)
			if t.Failed() {
				t.Log(kinds)
			}
			plans, backs := uint64(0), uint64(0)
			for p := range f.poolers {
				if x := z.Adapter(p); x != nil {
					plans, backs = plans+x.Counts().Plans, backs+x.Counts().Fallbacks
				}
			}
			if plans == 0 {
				t.Error("nobody followed a plan")
			}
			t.Logf("%q: service %.3f, %d plans followed, %d fell back, %d plans and %.0f reads held, %.3f crossed", kinds, z.Score.Ratio, plans, backs, z.rules.PlansChecked, z.rules.CalmReads(), z.far)
		})
	}
}
