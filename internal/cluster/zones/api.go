package zones

import (
	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/health"
	"beechgrade/internal/cluster/zones/plan"
	"beechgrade/internal/cluster/zones/planner"
	"beechgrade/internal/invariant"
)

// Settings configure a Coordinator. Times are in ms.
type Settings struct {
	Zones          []string // names, the same in the same order at all poolers
	Zone           string   // this pooler's own
	Name           string
	Voters         []string // names of poolers
	ReportInterval float64  // between two reports of a pooler
	PlanLifetime   float64  // from the last renewal of a plan until it expires
	CrossingPrice  float64  // of crossing zones once a plan was received, as a part of a request's priority
	CoresPerSize   float64  // cores of a server of size 1
	Orders         []Order  // operators' orders from the settings file
	Planner        planner.Settings
	MinPlan        uint64 // stored number of the plan that this pooler followed before it was restarted; 0 for none
	Checks         *invariant.Checks

	FollowsAnyPlan bool // fault injected by tests: older plans are followed too
}

// Order is an operators' order that sets a zone's state. For each zone the order with the highest number counts.
type Order struct {
	Number uint64
	Zone   string
	Lifts  bool // ends the previous order without setting a state
	State  health.State
	Until  float64 // Unix ms; 0 for an order that lasts until it is lifted
}

// Defaults returns settings for a few zones in one or two regions. The caller sets the zones, their delays and the classes.
func Defaults() Settings {
	return Settings{
		ReportInterval: 500,
		PlanLifetime:   6000,
		CrossingPrice:  0.3,
		CoresPerSize:   4,
		Planner: planner.Settings{
			Health:          health.Defaults(),
			Plan:            plan.Settings{SpareShare: 0.15, LocalSpareShare: 0.1, CrossingPrice: 1},
			ReportLifetime:  2000,
			Window:          1000,
			LoadMemory:      5000,
			StepInterval:    1000,
			OutwardShare:    0.34,
			ReturnShare:     0.1,
			RenewInterval:   2000,
			SettleTime:      1500,
			ProposalTimeout: 1500,
		},
	}
}

// DecisionBound bounds the time from a failure until a reachable pooler follows a plan that reflects it, with a stable leader. delay is the
// longest delay of a message in ms, disk that of a durable write in ms, losses the number of messages lost in a row.
func (s *Settings) DecisionBound(delay, disk float64, losses int) float64 {
	return s.Planner.Health.FailureTime + s.Planner.Window + 2*s.ReportInterval + s.Planner.StepInterval + 2*delay +
		(4*delay + 2*disk) + disk + float64(losses)*s.ReportInterval
}

// FallbackBound bounds the time from the last renewal that a voter applied until a pooler that receives no later one falls back.
func (s *Settings) FallbackBound(delay float64) float64 { return s.PlanLifetime + delay }

const msPerMinute = 60_000

// MaxShiftsPerMinute bounds how often a zone is abandoned or restored within a minute.
func (s *Settings) MaxShiftsPerMinute() int { return s.Planner.Health.MaxShifts(msPerMinute) }

// FenceBound bounds for how long a pooler that stores its plan's number may follow an older plan after a newer one.
func (s *Settings) FenceBound() float64 { return 0 }

// ZonesHash returns a hash, never 0, of the ordered zone names.
func (s *Settings) ZonesHash() uint32 {
	h := xxhash.New()
	for _, zone := range s.Zones {
		_, _ = h.WriteString(zone)
		_, _ = h.Write([]byte{0})
	}
	return uint32(h.Sum64()) | 1
}

// Index returns the index of a zone, -1 for an unknown one.
func (s *Settings) Index(zone string) int {
	for i, name := range s.Zones {
		if name == zone {
			return i
		}
	}
	return -1
}

// derived returns the settings of the planner and the follower.
func (s *Settings) derived() (planner.Settings, follower.Settings) {
	p := s.Planner
	p.Name, p.ZonesHash, p.Zones = s.Name, s.ZonesHash(), len(s.Zones)
	f := follower.Settings{
		Zone:             max(0, s.Index(s.Zone)),
		ZonesHash:        s.ZonesHash(),
		PlanLifetime:     s.PlanLifetime,
		CrossingPrice:    s.CrossingPrice,
		MinAttempts:      p.Health.MinAttempts,
		FailingLossShare: p.Health.FailingLossShare,
		FailureTime:      p.Health.FailureTime,
		MinPlan:          s.MinPlan,
		FollowsAnyPlan:   s.FollowsAnyPlan,
	}
	return p, f
}
