package simulation

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/zones"
)

// TestZonesFigures prints the service of runs with each pooler for itself, with plans, and with plans of an oracle, paired by seed. It runs
// only if BEECHGRADE_ZONE_FIGURES is set.
func TestZonesFigures(t *testing.T) {
	t.Parallel()
	seeds, err := strconv.ParseUint(os.Getenv("BEECHGRADE_ZONE_FIGURES"), 10, 64)
	if err != nil {
		t.Skip("BEECHGRADE_ZONE_FIGURES is not set to a number of seeds")
	}
	rates := strings.Fields(os.Getenv("BEECHGRADE_ZONE_RATES"))
	if len(rates) == 0 {
		rates = []string{"100", "250"}
	}
	fleet, modes := `(sites "a" "b" "c") (cross 1ms 2ms) (poolers 12) (groups 3 3)`, []string{"off", "on", "oracle", "oracle-cheap", "on-cheap"}
	if os.Getenv("BEECHGRADE_ZONE_FLEET") == "large" {
		fleet, modes = `(sites "a" "b" "c" "d" "e" "f" "g" "h" "i") (regions 3 3 3) (cross 1ms 2ms) (far 8ms 12ms) (poolers 90) (groups-of 20 9)`, []string{"off", "on", "oracle"}
	}
	for _, f := range []struct{ name, text string }{
		{"none", ""},
		{"power", `(at 15s (power "a") (for 20s))`},
		{"half alive", `(at 15s (lose site "a" 0.35) (for 30s))`},
		{"cut off", `(at 15s (routes "a" ("b" "c") cut) (for 20s))`},
		{"slow", `(at 15s (crowd site "a" 0.15) (for 30s))`},
		{"flaps", `(at 15s (routes "a" "b" cut) (for 3s) (every 9s))`},
	} {
		if only := os.Getenv("BEECHGRADE_ZONE_ONLY"); only != "" && !strings.Contains(only, f.name) {
			continue
		}
		for _, rate := range rates {
			t.Run(f.name+" "+rate, func(t *testing.T) {
				t.Parallel()
				var out strings.Builder
				for seed := range seeds {
					for _, mode := range modes {
						s := parse(t, fmt.Sprintf(`(rehearsal "zones" (peers) (near yes) (pushed yes) (cross-price 0.01) (cold 10s) (retries 1) %s (rate %s) (seconds 60) %s)`, fleet, rate, f.text))
						opt := Options{Seed: seed + 1}
						var z *ZonePlanning
						switch mode {
						case "on", "on-cheap":
							z = &ZonePlanning{
								Log:         &SharedLog{Settings: raftlog.Defaults(), Voters: 3, Seed: seed, DiskWriteMs: [2]float64{0.1, 2}},
								Settings:    zones.Defaults(),
								PlanWriteMs: 1,
							}
							if mode == "on-cheap" {
								z.Settings.CrossingPrice = 0.01
							}
							opt.Modules = []ModuleMaker{z.Join}
						case "oracle", "oracle-cheap":
							o := &ZoneOracle{
								Plan:          zones.Defaults().Planner.Plan,
								CrossingPrice: zones.Defaults().CrossingPrice,
								IntervalMs:    250,
								MaxLossRate:   0.05,
							}
							if mode == "oracle-cheap" {
								o.CrossingPrice = 0.01
							}
							opt.Modules = []ModuleMaker{o.Join}
						}
						r := runScenario(t, s, opt)
						fmt.Printf("%s %s %d %s %.4f %.3f %.0f s\n", f.name, rate, seed+1, mode, r.Score.Ratio, float64(r.RemoteReads)/float64(max(1, r.AnyMemberReads)), r.WallMs/1000)
						least := 1.0
						for _, c := range r.Score.Classes {
							least = min(least, c.Ratio)
						}
						fmt.Fprintf(&out, "\n%-10s %s seed %d %-12s service %.4f worst %.4f class %.4f goal %.4f cross %.3f", f.name, rate, seed+1, mode, r.Score.Ratio, r.Score.Worst, least, r.Score.Goal, float64(r.RemoteReads)/float64(max(1, r.AnyMemberReads)))
					}
				}
				t.Log(out.String())
			})
		}
	}
}
