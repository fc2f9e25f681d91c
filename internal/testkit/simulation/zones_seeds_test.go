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

// zoneFleet is a fleet for which random faults are drawn.
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

// neverCalm is the end time of faults after which reads may go on crossing zones: poolers near servers that lost requests or were slow
// regard these as slow until they send them requests again, which none does while other servers are healthy (docs/design/zones.md). The
// share of remote reads is not checked after such a fault.
const neverCalm = 1e6

// randomFaults returns two or three random faults as text of a scenario, the start and end time of each, and the faults for the log.
func (f *zoneFleet) randomFaults(seed uint64) (text string, faultTimes []float64, kinds []string) {
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
		at, duration, a := 6+20*r.Float64(), 3+8*r.Float64(), site()
		end := at + duration
		fault, k := "", r.IntN(10)
		switch k {
		case 0:
			fault = fmt.Sprintf("(power %q)", a)
		case 1:
			fault, end = fmt.Sprintf("(lose site %q %.2f)", a, 0.2+0.4*r.Float64()), neverCalm
		case 2:
			fault, end = fmt.Sprintf("(crowd site %q %.2f)", a, 0.05+0.4*r.Float64()), neverCalm
		case 3:
			fault, duration, end = fmt.Sprintf("(routes %q %q cut)", a, other(a)), 1+r.Float64(), at+10
			for k := range 3 { // a link that flaps
				fmt.Fprintf(&b, "(at %.0fms %s (for %.0fms))", (at+float64(k)*3)*1000, fault, duration*1000)
			}
		case 4:
			fault = fmt.Sprintf("(route %q %q cut)", a, other(a))
		case 5:
			in, out := region(r.IntN(3))
			fault = fmt.Sprintf("(routes (%s) (%s) cut)", in, out)
		case 6:
			fault = fmt.Sprintf("(kill-pooler %d)", r.IntN(3))
		case 7:
			fault, duration = fmt.Sprintf("(stall-pooler %d)", r.IntN(3)), min(duration, 5)
		case 8:
			fault = fmt.Sprintf("(load %.1f)", 1.5+0.5*r.Float64())
		case 9:
			fault = fmt.Sprintf("(die site %q)", a)
		}
		if k != 3 {
			fmt.Fprintf(&b, "(at %.0fms %s (for %.0fms))", at*1000, fault, duration*1000)
		}
		faultTimes, kinds = append(faultTimes, at*1000, end*1000), append(kinds, fault)
	}
	return b.String(), faultTimes, kinds
}

// extraReturnMs is the time by which the return of a zone may exceed the time that the checker allows for settling. A return takes MaxRest,
// 1/ReturnShare steps and RecoveryTime.
const extraReturnMs = 10000

// TestZonesUnderRandomFaults: random faults of zones, regions, links and voters break no rule. BEECHGRADE_ZONE_SEEDS is a range of seeds to run
// instead, as FROM-TO without TO. Every tenth seed runs with three regions of three zones.
func TestZonesUnderRandomFaults(t *testing.T) {
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
			text, faultTimes, kinds := f.randomFaults(seed)
			for i := 1; i < len(faultTimes); i += 2 {
				faultTimes[i] += extraReturnMs
			}
			z := runZones(t, seed, true, f.text+fmt.Sprintf("(seconds %.0f) ", f.seconds+45)+text, faultTimes, func(s *zones.Settings, _ *Options) {
				st := &s.Planner.Health
				st.MinRest, st.MaxRest, st.RecoveryTime, s.Planner.ReturnShare = 4000, 8000, 6000, 0.25
			})
			z.checkRules(t)
			if t.Failed() {
				t.Log(kinds)
			}
			plans, fallbacks := uint64(0), uint64(0)
			for p := range f.poolers {
				if x := z.Adapter(p); x != nil {
					plans, fallbacks = plans+x.Counts().Plans, fallbacks+x.Counts().Fallbacks
				}
			}
			if plans == 0 {
				t.Error("no pooler followed a plan")
			}
			t.Logf("%q: service %.3f, %d plans followed, %d fallbacks, %d plans and %.0f reads checked, %.3f of the reads remote", kinds, z.Score.Ratio, plans, fallbacks, z.rules.PlansChecked, z.rules.CalmReads(), z.remoteShare)
		})
	}
}
