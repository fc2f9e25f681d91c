package decide

import (
	"math"
	"time"
)

const (
	// offsetTolerance is the greatest difference that delays and rounding explain; clock steps are seconds.
	offsetTolerance = 500 * time.Millisecond
	// offsetMaxRoundTrip bounds the round trip of an answer that bounds the offset from above.
	offsetMaxRoundTrip = 250 * time.Millisecond
	// The estimate is lowered once offsetConfirmReports reports over at least offsetConfirmTime agree on it.
	offsetConfirmTime    = time.Second
	offsetConfirmReports = 3
	// offsetCheckInterval is the pause between health checks that collect such reports.
	offsetCheckInterval = offsetConfirmTime / 4
	// positionResolution is the unit to which a reported position is rounded down.
	positionResolution = time.Millisecond
)

// clockOffset estimates how far the clock of a group's servers is ahead of this router's, from reports of
// its primary, whose position is the time of the report. Positions are stored as the servers state them;
// the offset is applied where a position is compared with this router's clock.
//
// With too high an offset, data looks older than it is, and reads go to the primary without need. With too
// low a one, a stale replica may serve reads. So the estimate is raised at once, and lowered only after
// several reports that agree. Reports of a primary whose clock stands still do not agree with each other.
type clockOffset struct {
	ahead time.Duration // the estimate

	// agreeingReports reports since agreeingSince place the offset below the estimate, within these bounds.
	lowerBound      time.Duration
	upperBound      time.Duration
	agreeingSince   Time
	agreeingReports int
}

// observe updates the estimate by a position that a primary reported. sentAt is when the request that the
// primary answered was sent, or never if that is not known.
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

// inDoubt reports whether several reports agree on a lower offset, but not yet enough to adopt it.
func (clock *clockOffset) inDoubt() bool { return clock.agreeingReports > 1 }

// considerLowering counts a report that places the offset below the estimate, and adopts the lower offset
// after enough reports that agree.
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

// adopt sets the estimate to the upper bound, or to the lower one where there is no upper bound.
func (clock *clockOffset) adopt(lower, upper time.Duration) {
	clock.ahead = lower
	clock.agreeingReports = 0
	if upper < math.MaxInt64 {
		clock.ahead = upper
	}
}

// observeClock updates the clock offset of a server's group by a report of its primary.
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

// correctStarts recomputes the start times of a group's servers after the clock offset was lowered: a server
// that seemed to have started long ago may have started just now.
func (r *Router) correctStarts(group *group) {
	for _, server := range group.members {
		if server.endpoint.Started != 0 {
			server.startedAt = max(server.startedAt, min(r.now, group.localTime(server.endpoint.Started)))
		}
	}
}

// localTime converts a time on the clock of the group's servers to this router's clock.
func (group *group) localTime(servers Time) Time { return servers - group.clock.ahead }

// serverClockNow returns the present time on the clock of a group's servers.
func (r *Router) serverClockNow(group *group) Time { return r.now + group.clock.ahead }

// ToLocalTime converts a time on a server's clock to this router's clock.
func (r *Router) ToLocalTime(id ServerID, servers Time) Time {
	if server := r.servers[id]; server != nil {
		return server.group.localTime(servers)
	}
	return servers
}
