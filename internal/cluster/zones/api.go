package zones

import (
	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/invariant"
)

// Settings say how. Times are in ms.
type Settings struct {
	Zones          []string // names, the same in the same order at all poolers
	Zone           string   // this pooler's
	Name           string
	Voters         []string // names of poolers
	ReportInterval float64  // between two words of a pooler
	PlanLifetime   float64  // of a plan, from its last renewal on
	CrossingPrice  float64  // of crossing where the fleet has a plan, as a part of a request's worth
	CoresPerSize   float64  // of a server of size 1
	Orders         []Order  // as the settings have them
	Planner        planner.Settings
	MinPlan        uint64 // of the plan that this pooler followed before it was started
	Checks         *invariant.Checks

	FollowsAnyPlan bool // a mutant: any plan is followed
}

// Order is an operators' word on a zone. The highest number of a zone holds.
type Order struct {
	Number uint64
	Zone   string
	Lifts  bool // there is none any more
	State  health.State
	Until  float64 // Unix ms, 0 for until it is lifted
}

// Defaults are for a few zones of a region or two; the zones themselves, their delays and classes come from elsewhere.
func Defaults() Settings {
	return Settings{ReportInterval: 500, PlanLifetime: 6000, CrossingPrice: 0.3, CoresPerSize: 4, Planner: planner.Settings{Health: health.Defaults(), Plan: plan.Settings{SpareShare: 0.15, NearSpareShare: 0.1, CrossingPrice: 1}, ReportLifetime: 2000, Window: 1000, LoadMemory: 5000,
		StepInterval: 1000, OutwardShare: 0.34, ReturnShare: 0.1, RenewInterval: 2000, SettleTime: 1500, ProposalTimeout: 1500}}
}

// DecisionBound bounds the time from a failure until a pooler that is reached follows a plan that has it, while a leader stands; losses is of
// messages lost in a row.
func (s *Settings) DecisionBound(delay, disk float64, losses int) float64 {
	return s.Planner.Health.FailureTime + s.Planner.Window + 2*s.ReportInterval + s.Planner.StepInterval + 2*delay + (4*delay + 2*disk) + disk + float64(losses)*s.ReportInterval
}

// FallbackBound bounds the time from the last renewal that a voter applied until whoever hears of no other has fallen back.
func (s *Settings) FallbackBound(delay float64) float64 { return s.PlanLifetime + delay }

// MaxShiftsPerMinute bounds how often a zone is left or taken back in a minute.
func (s *Settings) MaxShiftsPerMinute() int { return s.Planner.Health.MaxShifts(60000) }

// FenceBound bounds for how long a pooler that keeps its plan's number may follow an older one after a newer.
func (s *Settings) FenceBound() float64 { return 0 }

// ZonesHash is a sum of the zones' names in their order.
func (s *Settings) ZonesHash() uint32 {
	h := xxhash.New()
	for _, z := range s.Zones {
		_, _ = h.WriteString(z)
		_, _ = h.Write([]byte{0})
	}
	return uint32(h.Sum64()) | 1
}

// Index is a zone's number, below 0 for one that is not named.
func (s *Settings) Index(zone string) int {
	for i, z := range s.Zones {
		if z == zone {
			return i
		}
	}
	return -1
}

// derived are the settings of what is below.
func (s *Settings) derived() (planner.Settings, follower.Settings) {
	c := s.Planner
	c.Name, c.ZonesHash, c.Zones = s.Name, s.ZonesHash(), len(s.Zones)
	st := &c.Health
	return c, follower.Settings{Zone: max(0, s.Index(s.Zone)), ZonesHash: s.ZonesHash(), PlanLifetime: s.PlanLifetime, CrossingPrice: s.CrossingPrice, MinAttempts: st.MinAttempts, FailingLossShare: st.FailingLossShare, FailureTime: st.FailureTime, MinPlan: s.MinPlan, FollowsAnyPlan: s.FollowsAnyPlan}
}
