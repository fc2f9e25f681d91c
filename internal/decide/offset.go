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
	// offsetConfirmTime is how long reports must agree that the servers' clock is behind, offsetConfirmReports how many.
	offsetConfirmTime    = time.Second
	offsetConfirmReports = 3
	// offsetCheckInterval is the pause between probes for such reports.
	offsetCheckInterval = offsetConfirmTime / 4
)

// clockOffset estimates how far the clock of a group's servers is ahead of this router's, from reports of
// its primary: its position is the time of its report. Positions are kept as the servers state them, and the
// offset is used where one is compared with this router's clock.
//
// Too high an offset makes data look older than they are, which costs a detour to the primary. Too low a one
// lets a stale replica serve. So the estimate is raised at once, and lowered only after several reports that
// agree. A primary that stands still does not agree with itself.
type clockOffset struct {
	ahead           time.Duration // the estimate
	lowerBound      time.Duration // the bounds on which the reports since agree...
	upperBound      time.Duration
	agreeingSince   Time // ...that place the servers' clock behind the estimate
	agreeingReports int
}

// observe takes a position that a primary reported in answer to what was sent at that time, or never where
// that is not known.
func (c *clockOffset) observe(now, sent, position Time) {
	low, high := position-now, time.Duration(math.MaxInt64)
	if sent != never && now-sent <= offsetMaxRoundTrip {
		high = position - sent + time.Millisecond // a position is rounded down
	}
	switch {
	case low > c.ahead+offsetTolerance:
		c.adopt(low, high)
	case high >= c.ahead-offsetTolerance:
		c.agreeingReports = 0
	default:
		c.considerLowering(now, low, high)
	}
}

// inDoubt tells whether reports agree that the servers' clock is behind, too few to be believed.
func (c *clockOffset) inDoubt() bool { return c.agreeingReports > 1 }

// considerLowering counts a report that places the servers' clock behind the estimate.
func (c *clockOffset) considerLowering(now Time, low, high time.Duration) {
	if c.agreeingReports == 0 || low > c.upperBound || high < c.lowerBound {
		c.lowerBound, c.upperBound, c.agreeingSince, c.agreeingReports = low, high, now, 1
		return
	}
	c.lowerBound, c.upperBound = max(c.lowerBound, low), min(c.upperBound, high)
	c.agreeingReports++
	if c.agreeingReports >= offsetConfirmReports && now-c.agreeingSince >= offsetConfirmTime {
		c.adopt(c.lowerBound, c.upperBound)
	}
}

// adopt takes the upper bound, where there is one.
func (c *clockOffset) adopt(low, high time.Duration) {
	c.ahead, c.agreeingReports = low, 0
	if high < math.MaxInt64 {
		c.ahead = high
	}
}

// observeClock takes a report for the offset of its group's clock.
func (r *Router) observeClock(s *server, report Report, sent Time) {
	if report.Role != RolePrimary || !report.HasPosition {
		return
	}
	clock := &s.group.clock
	before := clock.ahead
	if clock.observe(r.now, sent, report.Position); clock.ahead < before {
		r.correctStarts(s.group)
	}
}

// correctStarts dates the starts of a group's servers by the servers' clock, which is behind where it was
// taken to be: one that seemed to have started long ago may just have done so.
func (r *Router) correctStarts(grp *group) {
	for _, s := range grp.members {
		if s.endpoint.Started != 0 {
			s.startedAt = max(s.startedAt, min(r.now, s.endpoint.Started-grp.clock.ahead))
		}
	}
}

// localTime returns this router's time at which a group's servers' clock showed a time.
func (grp *group) localTime(servers Time) Time { return servers - grp.clock.ahead }

// serverClockNow returns the time on the clock of a group's servers.
func (r *Router) serverClockNow(grp *group) Time { return r.now + grp.clock.ahead }

// ToLocalTime returns the time on this router's clock at which a server's clock showed a time.
func (r *Router) ToLocalTime(id ServerID, servers Time) Time {
	if s := r.servers[id]; s != nil {
		return s.group.localTime(servers)
	}
	return servers
}
