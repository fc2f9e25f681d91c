package decide

import "math"

const (
	// longWaitFraction: a wait behind other requests is long from this fraction of the shortest objective...
	longWaitFraction = 0.25
	// longWaitMinRequestTimes: ...and at least this multiple of an average request's time.
	longWaitMinRequestTimes = 0.5
	// maxWaitMultiple bounds the excess of a wait over a long one, in long waits.
	maxWaitMultiple = 4.0
	// throttleGain is the growth of a backlog's throttle per second, for each long wait of excess.
	throttleGain = 0.25
	// minThrottle is the least throttle, which answers that did not wait lead to.
	minThrottle = -0.5
	// throttleMemorySeconds is the time in which a throttle decays by a factor of e.
	throttleMemorySeconds = 10.0
	// minBinCount is the least count of an urgency bin that is used as a divisor.
	minBinCount = 1e-9
)

// backlog estimates, from the times of answers alone, how many requests wait at a group's primary or at its
// other members. It thereby limits admission to the most urgent requests, a fraction exp(-throttle) of all.
type backlog struct {
	throttle  float64 // as of updatedAt
	updatedAt Time

	cutoffBin      int     // the least urgent bin that is admitted, as of cutoffAt...
	cutoffFraction float64 // ...and the fraction of that bin that is admitted
	cutoffAt       Time
}

// backlogsOf returns the two backlogs to which a server belongs: that of its group and that of all groups.
// Primaries are separate from other members, as writes and reads wait differently.
func (r *Router) backlogsOf(server *server) [2]*backlog {
	index := 1
	if server == r.primary(server.group) {
		index = 0
	}
	return [2]*backlog{&server.group.backlogs[index], &r.memberBacklogs[index]}
}

// observeWait updates a server's throttles by the seconds that an answered request waited behind others.
func (r *Router) observeWait(server *server, wait float64) {
	minLong := longWaitMinRequestTimes * r.averageWork / r.serviceRate(server)
	long := max(longWaitFraction*r.shortestObjective.Seconds(), minLong)
	for _, backlog := range r.backlogsOf(server) {
		age := (r.now - backlog.updatedAt).Seconds()
		excess := min(maxWaitMultiple, max(-1, wait/long-1))
		throttle := r.throttle(backlog) + throttleGain*excess*min(1, age)
		backlog.throttle = max(minThrottle, throttle)
		backlog.updatedAt = r.now
		backlog.cutoffAt = never
	}
}

// throttle returns a backlog's throttle, decayed up to now.
func (r *Router) throttle(backlog *backlog) float64 {
	return backlog.throttle * math.Exp((backlog.updatedAt-r.now).Seconds()/throttleMemorySeconds)
}

// admits reports whether a request is admitted at a server: the retry budget and the recovery ramp allow it,
// and it is urgent enough for the backlog there. One group's answers are few and vary by chance, so those of
// all groups count as much. With few other routers this router's own load is the better evidence, and the
// throttle counts for less.
func (r *Router) admits(server *server, request *request) bool {
	allowed := r.retryBudgetAllows(request) && r.recoveryRampAllows(server)
	backlogs := r.backlogsOf(server)
	if !allowed || backlogs[0].throttle+backlogs[1].throttle <= 0 {
		return allowed
	}
	if backlogs[0].cutoffAt != r.now {
		r.updateCutoff(backlogs)
	}
	bin := urgencyBin(r.urgency(request))
	cutoff := backlogs[0].cutoffBin
	return bin > cutoff || bin == cutoff && request.admissionDraw < backlogs[0].cutoffFraction
}

// updateCutoff computes the urgency from which requests are admitted, from the urgencies of recent requests.
func (r *Router) updateCutoff(backlogs [2]*backlog) {
	backlog := backlogs[0]
	others := float64(r.settings.Peers - 1)
	throttle := max(0, r.throttle(backlog)+r.throttle(backlogs[1])) / 2
	admitted := math.Exp(-throttle * others / (others + smallTierSize))
	remaining := 0.0
	for _, count := range r.urgencies {
		remaining += count * admitted
	}
	backlog.cutoffAt = r.now
	backlog.cutoffBin = urgencyBins
	for backlog.cutoffBin > 0 && remaining >= 0 {
		backlog.cutoffBin--
		backlog.cutoffFraction = remaining / max(minBinCount, r.urgencies[backlog.cutoffBin])
		remaining -= r.urgencies[backlog.cutoffBin]
	}
}
