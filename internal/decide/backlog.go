package decide

import "math"

const (
	// longWaitFraction: a wait behind others is too long at this part of the shortest objective...
	longWaitFraction = 0.25
	// longWaitMinTurns: ...but no shorter than this part of an average request's time.
	longWaitMinTurns = 0.5
	// maxWaitMultiple is the greatest multiple of that wait that counts.
	maxWaitMultiple = 4.0
	// throttleGain is the growth of a backlog's throttle a second, for each multiple beyond one.
	throttleGain = 0.25
	// minThrottle bounds how far answers without a wait lower the throttle.
	minThrottle = -0.5
	// throttleMemorySeconds is the time in which a throttle fades by a factor of e.
	throttleMemorySeconds = 10.0
	// minBinCount bounds the requests of a bin of urgencies, which others are divided by.
	minBinCount = 1e-9
)

// backlog estimates, from the times of answers alone, how much waits at a group's primary or at its other
// members, and so which requests are admitted: a part exp(-throttle), the most urgent ones.
type backlog struct {
	throttle  float64 // as of updatedAt
	updatedAt Time

	cutoffBin  int     // the least urgent bin that is admitted, as of cutoffAt...
	cutoffPart float64 // ...and the part of it that is
	cutoffAt   Time
}

// backlogsOf returns the two to which a server belongs: its group's and that of all groups. Primaries are
// apart, as writes and reads wait differently.
func (r *Router) backlogsOf(server *server) [2]*backlog {
	index := 1
	if server == r.primary(server.group) {
		index = 0
	}
	return [2]*backlog{&server.group.backlogs[index], &r.memberBacklogs[index]}
}

// observeWait updates the throttles by how many seconds an answer had waited behind others.
func (r *Router) observeWait(server *server, wait float64) {
	turns := longWaitMinTurns * r.averageWork / r.serviceRate(server)
	long := max(longWaitFraction*r.shortestObjective.Seconds(), turns)
	for _, backlog := range r.backlogsOf(server) {
		age := (r.now - backlog.updatedAt).Seconds()
		excess := min(maxWaitMultiple, max(-1, wait/long-1))
		throttle := r.throttle(backlog) + throttleGain*excess*min(1, age)
		backlog.throttle = max(minThrottle, throttle)
		backlog.updatedAt = r.now
		backlog.cutoffAt = never
	}
}

// throttle returns a backlog's throttle now.
func (r *Router) throttle(backlog *backlog) float64 {
	return backlog.throttle * math.Exp((backlog.updatedAt-r.now).Seconds()/throttleMemorySeconds)
}

// admits reports whether a request is admitted at a server: its retry and its connection are, and it is
// urgent enough for the backlog there. One group's answers are few and vary by chance, so those of all
// groups count as much. With few other routers the load of this one says more, and the throttle counts for
// less.
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
	return bin > cutoff || bin == cutoff && request.admissionDraw < backlogs[0].cutoffPart
}

// updateCutoff computes the urgency from which requests are admitted, from those that came lately.
func (r *Router) updateCutoff(backlogs [2]*backlog) {
	backlog := backlogs[0]
	others := float64(r.settings.Peers - 1)
	throttle := max(0, r.throttle(backlog)+r.throttle(backlogs[1])) / 2
	admitted := math.Exp(-throttle * others / (others + fewRouters))
	remaining := 0.0
	for _, count := range r.urgencies {
		remaining += count * admitted
	}
	backlog.cutoffAt = r.now
	backlog.cutoffBin = urgencyBins
	for backlog.cutoffBin > 0 && remaining >= 0 {
		backlog.cutoffBin--
		backlog.cutoffPart = remaining / max(minBinCount, r.urgencies[backlog.cutoffBin])
		remaining -= r.urgencies[backlog.cutoffBin]
	}
}
