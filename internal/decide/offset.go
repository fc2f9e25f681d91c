package decide

import (
	"math"
	"time"
)

const (
	// offsetSlack is what delays and rounding explain; clocks are stepped by seconds.
	offsetSlack = 500 * time.Millisecond
	// offsetWay bounds the time of an answer that is evidence that the servers' clock is behind.
	offsetWay = 250 * time.Millisecond
	// offsetConfirm is how long reports must agree that the servers' clock is behind, offsetReports how many.
	offsetConfirm = time.Second
	offsetReports = 3
	// offsetProbe is the pause between probes for such reports.
	offsetProbe = offsetConfirm / 4
)

// clockOffset estimates how far the clock of a group's servers is ahead of this router's, from reports of
// its primary: its position is the time of its report. Positions are kept as the servers state them, and the
// offset is used where one is compared with this router's clock.
//
// Too high an offset makes data look older than they are, which costs a detour to the primary. Too low a one
// lets a stale replica serve. So the estimate is raised at once, and lowered only after several reports that
// agree. A primary that stands still does not agree with itself.
type clockOffset struct {
	ahead   time.Duration // the estimate
	low     time.Duration // the bounds on which the reports since agree...
	high    time.Duration
	since   Time // ...that place the servers' clock behind the estimate
	reports int
}

// observe takes a position that a primary reported in answer to what was sent at that time, or never where
// that is not known.
func (c *clockOffset) observe(now, sent, position Time) {
	low, high := position-now, time.Duration(math.MaxInt64)
	if sent != never && now-sent <= offsetWay {
		high = position - sent + time.Millisecond // a position is rounded down
	}
	switch {
	case low > c.ahead+offsetSlack:
		c.adopt(low, high)
	case high >= c.ahead-offsetSlack:
		c.reports = 0
	default:
		c.lower(now, low, high)
	}
}

// inDoubt tells whether reports agree that the servers' clock is behind, too few to be believed.
func (c *clockOffset) inDoubt() bool { return c.reports > 1 }

// lower counts a report that places the servers' clock behind the estimate.
func (c *clockOffset) lower(now Time, low, high time.Duration) {
	if c.reports == 0 || low > c.high || high < c.low {
		c.low, c.high, c.since, c.reports = low, high, now, 1
		return
	}
	c.low, c.high = max(c.low, low), min(c.high, high)
	c.reports++
	if c.reports >= offsetReports && now-c.since >= offsetConfirm {
		c.adopt(c.low, c.high)
	}
}

// adopt takes the upper bound, where there is one.
func (c *clockOffset) adopt(low, high time.Duration) {
	c.ahead, c.reports = low, 0
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
		if s.entry.Started != 0 {
			s.coldFrom = max(s.coldFrom, min(r.now, s.entry.Started-grp.clock.ahead))
		}
	}
}

// onClock returns this router's time at which a group's servers' clock showed a time.
func (grp *group) onClock(servers Time) Time { return servers - grp.clock.ahead }

// serversNow returns the time on the clock of a group's servers.
func (r *Router) serversNow(grp *group) Time { return r.now + grp.clock.ahead }

// OnClock returns the time on this router's clock at which a server's clock showed a time.
func (r *Router) OnClock(id ServerID, servers Time) Time {
	if s := r.servers[id]; s != nil {
		return s.group.onClock(servers)
	}
	return servers
}
