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
	Zones  []string // names, the same in the same order at all poolers
	Zone   string   // this pooler's
	Name   string
	Voters []string // names of poolers
	Period float64  // between two words of a pooler
	Life   float64  // of a plan, from its last renewal on
	Price  float64  // of crossing where the fleet has a plan, as a part of a request's worth
	Cores  float64  // of a server of size 1
	Order  []Order  // as the settings have them
	Chief  planner.Settings
	Floor  uint64 // of the plan that this pooler followed before it was started
	Checks *invariant.Checks

	Forgets bool // a mutant: any plan is followed
}

// Order is an operators' word on a zone. The highest number of a zone holds.
type Order struct {
	No    uint64
	Zone  string
	Lifts bool // there is none any more
	State health.State
	Until float64 // Unix ms, 0 for until it is lifted
}

// Defaults are for a few zones of a region or two; the zones themselves, their delays and classes come from elsewhere.
func Defaults() Settings {
	return Settings{Period: 500, Life: 6000, Price: 0.3, Cores: 4, Chief: planner.Settings{State: health.Defaults(), Plan: plan.Settings{Spare: 0.15, Tight: 0.1, Price: 1}, Stale: 2000, Window: 1000, Memory: 5000,
		Step: 1000, Out: 0.34, Back: 0.1, Renew: 2000, Settle: 1500, Late: 1500}}
}

// Decide bounds the time from a failure until a pooler that is reached follows a plan that has it, while a leader stands; losses is of
// messages lost in a row.
func (s *Settings) Decide(delay, disk float64, losses int) float64 {
	return s.Chief.State.Fail + s.Chief.Window + 2*s.Period + s.Chief.Step + 2*delay + (4*delay + 2*disk) + disk + float64(losses)*s.Period
}

// Fallback bounds the time from the last renewal that a voter applied until whoever hears of no other has fallen back.
func (s *Settings) Fallback(delay float64) float64 { return s.Life + delay }

// Shifts bounds how often a zone is left or taken back in a minute.
func (s *Settings) Shifts() int { return s.Chief.State.Shifts(60000) }

// Fence bounds for how long a pooler that keeps its plan's number may follow an older one after a newer.
func (s *Settings) Fence() float64 { return 0 }

// Of is a sum of the zones' names in their order.
func (s *Settings) Of() uint32 {
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

// filled are the settings of what is below.
func (s *Settings) filled() (planner.Settings, follower.Settings) {
	c := s.Chief
	c.Name, c.Of, c.Zones = s.Name, s.Of(), len(s.Zones)
	st := &c.State
	return c, follower.Settings{Zone: max(0, s.Index(s.Zone)), Of: s.Of(), Life: s.Life, Price: s.Price, Least: st.Least, FailAt: st.FailAt, Fail: st.Fail, Floor: s.Floor, Forgets: s.Forgets}
}
