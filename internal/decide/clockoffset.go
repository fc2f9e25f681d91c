package decide

import (
	"math"
	"time"
)

const (
	// offsetTolerance is what delays and rounding explain; clocks are stepped by seconds.
	offsetTolerance = 500 * time.Millisecond
	// offsetMaxRoundTrip bounds the time of an answer that is evidence that the servers' clock is behind.
	offsetMaxRoundTrip = 250 * time.Millisecond
	// offsetConfirmTime is how long reports must agree that the servers' clock is behind,
	// offsetConfirmReports how many.
	offsetConfirmTime    = time.Second
	offsetConfirmReports = 3
	// offsetCheckInterval is the pause between health checks for such reports.
	offsetCheckInterval = offsetConfirmTime / 4
	// positionResolution is the unit to which a position is rounded down.
	positionResolution = time.Millisecond
)

// clockOffset estimates how far the clock of a group's servers is ahead of this router's, from reports of
// its primary: its position is the time of its report. Positions are stored as the servers state them, and
// the offset is used where one is compared with this router's clock.
//
// Too high an offset makes data look older than they are, which costs a detour to the primary. Too low a
// one lets a stale replica serve. So the estimate is raised at once, and lowered only after several reports
// that agree. A primary whose clock stands still does not agree with itself.
type clockOffset struct {
	ahead time.Duration // the estimate

	// Reports since agreeingSince place the servers' clock behind the estimate, within these bounds.
	lowerBound      time.Duration
	upperBound      time.Duration
	agreeingSince   Time
	agreeingReports int
}

// observe takes a position that a primary reported in answer to what was sent at that time, or never where
// that is not known.
func (clock *clockOffset) observe(now, sentAt, position Time) {
	lower := position - now
	upper := unlimited
	if sentAt != never && now-sentAt <= offsetMaxRoundTrip {
		upper = position - sentAt + positionResolution
	}
	switch {
	case lower > clock.ahead+offsetTolerance:
		clock.adopt(lower, upper)
	case upper >= clock.ahead-offsetTolerance:
		clock.agreeingReports = 0
	default:
		clock.considerLowering(now, lower, upper)
	}
}

// inDoubt reports whether reports agree that the servers' clock is behind, too few to be believed.
func (clock *clockOffset) inDoubt() bool { return clock.agreeingReports > 1 }

// considerLowering counts a report that places the servers' clock behind the estimate.
func (clock *clockOffset) considerLowering(now Time, lower, upper time.Duration) {
	if clock.agreeingReports == 0 || lower > clock.upperBound || upper < clock.lowerBound {
		clock.lowerBound = lower
		clock.upperBound = upper
		clock.agreeingSince = now
		clock.agreeingReports = 1
		return
	}
	clock.lowerBound = max(clock.lowerBound, lower)
	clock.upperBound = min(clock.upperBound, upper)
	clock.agreeingReports++
	if clock.agreeingReports >= offsetConfirmReports && now-clock.agreeingSince >= offsetConfirmTime {
		clock.adopt(clock.lowerBound, clock.upperBound)
	}
}

// adopt takes the upper bound as the estimate, where there is one.
func (clock *clockOffset) adopt(lower, upper time.Duration) {
	clock.ahead = lower
	clock.agreeingReports = 0
	if upper < math.MaxInt64 {
		clock.ahead = upper
	}
}

// observeClock takes a report for the offset of its group's clock.
func (r *Router) observeClock(server *server, report Report, sentAt Time) {
	if report.Role != RolePrimary || !report.HasPosition {
		return
	}
	clock := &server.group.clock
	before := clock.ahead
	clock.observe(r.now, sentAt, report.Position)
	if clock.ahead < before {
		r.correctStarts(server.group)
	}
}

// correctStarts dates the starts of a group's servers by the servers' clock, which is behind where it was
// assumed to be: one that seemed to have started long ago may just have done so.
func (r *Router) correctStarts(group *group) {
	for _, server := range group.members {
		if server.endpoint.Started != 0 {
			server.startedAt = max(server.startedAt, min(r.now, group.localTime(server.endpoint.Started)))
		}
	}
}

// localTime returns this router's time at which the clock of the group's servers showed a time.
func (group *group) localTime(servers Time) Time { return servers - group.clock.ahead }

// serverClockNow returns the present time on the clock of a group's servers.
func (r *Router) serverClockNow(group *group) Time { return r.now + group.clock.ahead }

// ToLocalTime returns the time on this router's clock at which a server's clock showed a time.
func (r *Router) ToLocalTime(id ServerID, servers Time) Time {
	if server := r.servers[id]; server != nil {
		return server.group.localTime(servers)
	}
	return servers
}
