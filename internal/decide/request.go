package decide

import (
	"slices"
)

const (
	// minAverageGain is the least weight of one answer or hint in a class's average.
	minAverageGain = 0.02
	// maxRelativeWork bounds the work of a request with a hint, as a multiple of its class's average.
	maxRelativeWork = 10.0
	// clientRetryFactor reduces the weight of a client's retry: its objective counts from the client's first
	// attempt.
	clientRetryFactor = 0.2
	// minWeight is the least weight of a request, as weights are divisors.
	minWeight = 1e-6
	// finalAnswerTicks is how many ticks before its deadline a request gets its final answer.
	finalAnswerTicks = 2
)

// class is a class of requests with its learned averages.
type class struct {
	Class
	averageWork workSeconds // of a request, over answerCount answers
	answerCount float64
	averageHint float64 // average of the work hints, in seconds, over hintCount hints
	hintCount   float64

	// earliestAnswer caches the time to the earliest answer to an average request in the group
	// earliestAnswerGroup, as of earliestAnswerAt.
	earliestAnswer      Time
	earliestAnswerAt    Time
	earliestAnswerGroup *group
}

// learnHint updates the average of the work hints, and returns the work of a request with this hint as a
// multiple of the class's average.
func (c *class) learnHint(hint float64) float64 {
	c.averageHint += max(minAverageGain, 1/(c.hintCount+1)) * (hint - c.averageHint)
	c.hintCount++
	return min(maxRelativeWork, hint/c.averageHint)
}

// request is a client's request that has not had its final answer.
type request struct {
	id         RequestID
	class      *class
	classIndex int
	group      *group
	session    string
	onlyServer ServerID // the only server that can serve it, empty for any

	arrivedAt   Time
	objectiveAt Time // end of the latency objective
	deadline    Time
	giveUpAt    Time // an answer after this has no weight
	sendBy      Time // the request must not be sent at this time or later

	requiredPosition Time    // session reads: the position a server must have reached, on the servers' clock
	weight           float64 // its priority weight, reduced for client retries and beyond quotas
	relativeWork     float64 // its work as a multiple of the class's average, 1 without a hint
	admissionDraw    float64 // random number from 0 to 1, drawn once: decides admission in the cutoff bin
	sheddingRank     float64 // in the agreed order of shedding, as of its arrival

	attempts        []*attempt
	openAttempts    int
	reachedServer   bool // an attempt reached a server
	mayHaveRun      bool // an attempt may have run
	mayHaveRunSince Time // when the first such attempt was sent...
	mayHaveRunZone  int  // ...and into which zone

	healthChecks      int  // servers checked for it since the last outcome of its attempts
	awaitsRetryBudget bool // its next attempt is a duplicate, for which the group's retry budget is exhausted
	finished          bool // it had its final answer, was served or was abandoned
}

// attempt is one send of a request to a server.
type attempt struct {
	request       *request
	server        *server
	number        int
	sentAt        Time
	serviceAtSend float64 // the server's virtual service at sentAt
	ended         bool
	hedged        bool // the request was sent again because of this attempt, or the attempt was cancelled
	overtakenBy   int  // number of later attempts at the server that were answered before this one
	presumedLost  bool // it will probably never be answered, and does not count as load
	unmeasured    bool // in flight during a pause of this process: its duration is no measurement
}

// isServerEvidence reports whether an unanswered attempt is evidence about its server. An attempt that was
// overtaken or is presumed lost is not: the server answers others.
func (attempt *attempt) isServerEvidence() bool {
	return attempt.overtakenBy == 0 && !attempt.presumedLost
}

// onRequest handles a request that arrives: it is rejected, sent or queued.
func (r *Router) onRequest(event *Request) {
	if r.requests[event.ID] != nil || r.rejectsOnArrival(event) {
		return
	}
	request := r.newRequest(event)
	if !r.applyRateLimit(event, request) {
		return
	}
	if event.ClientRetry {
		request.weight *= clientRetryFactor
	}
	if hint := event.WorkHint.Seconds(); hint > 0 {
		request.relativeWork = request.class.learnHint(hint)
	}
	request.admissionDraw = r.rng.Float64()
	r.countRequests(1)
	r.countUrgency(request)
	r.requests[request.id] = request
	r.checkServers(request.group)
	if len(request.group.waiting) > 0 || !r.trySend(request) {
		request.group.waiting = append(request.group.waiting, request)
		r.sendWaiting(request.group)
	}
}

// rejectsOnArrival rejects a request that cannot be served or that the routers have agreed to shed, and
// reports whether it did.
func (r *Router) rejectsOnArrival(event *Request) bool {
	shedding := r.settings.Shedding[event.Group]
	unknownClass := uint(event.Class) >= uint(len(r.classes))
	if unknownClass || event.Deadline <= r.now {
		r.reject(event, shedding.RetryAfter(r.now, event), ReasonExpired)
		return true
	}
	if shedding.RejectsArrival(r.now, event) {
		r.reject(event, shedding.RetryAfter(r.now, event), ReasonShed)
		return true
	}
	if r.groups[event.Group] == nil && len(r.servers) > 0 { // rejected before a group record is made
		objective := r.classes[event.Class].LatencyObjective
		r.reject(event, min(r.settings.MaxRetryAfter, objective), ReasonNoServer)
		return true
	}
	return false
}

// reject gives the final answer to a request that is not admitted.
func (r *Router) reject(event *Request, retryAfter Time, reason Reason) {
	r.emit(Action{Kind: Reject, ID: event.ID, Wait: retryAfter, Reason: reason})
}

// newRequest returns a new record of a request.
func (r *Router) newRequest(event *Request) *request {
	class := &r.classes[event.Class]
	request := &request{
		id:               event.ID,
		class:            class,
		classIndex:       event.Class,
		group:            r.groupFor(event.Group),
		session:          event.Session,
		onlyServer:       event.OnlyServer,
		arrivedAt:        r.now,
		objectiveAt:      min(event.Deadline, r.now+class.LatencyObjective),
		deadline:         event.Deadline,
		sendBy:           unlimited,
		requiredPosition: r.positionAfterCommit(event, class),
		weight:           max(class.PriorityWeight, minWeight),
		relativeWork:     1,
		sheddingRank:     r.settings.Shedding[event.Group].Rank(r.now, event),
	}
	request.giveUpAt = request.objectiveAt
	if class.LateWeight > 0 {
		request.giveUpAt = request.deadline
	}
	if event.MayHaveRunSince > 0 && class.Idempotency == IdempotentWithKey { // one with its key may have run
		request.mayHaveRun = true
		request.mayHaveRunSince = event.MayHaveRunSince
		request.sendBy = event.MayHaveRunSince + class.KeyWindow
	}
	return request
}

// positionAfterCommit returns the position that a server must have reached for a session to read its own
// writes.
func (r *Router) positionAfterCommit(event *Request, class *class) Time {
	switch {
	case class.Read != ReadSession:
		return never
	case r.settings.TrackCommits:
		if commit, ok := r.sessionCommits[event.Session]; ok {
			return commit
		}
		return r.forgottenCommit
	case event.SinceCommit != 0:
		return r.now - event.SinceCommit
	}
	return never
}

// expectedWork returns the request's expected work: the average of its class, scaled by its hint.
func (request *request) expectedWork() workSeconds {
	return request.class.averageWork * request.relativeWork
}

// primaryOnly reports whether only the group's primary may serve the request.
func (request *request) primaryOnly() bool {
	return request.class.Read == Write || request.class.Read == ReadFresh
}

// wasSentTo reports whether the request was sent to a server before.
func (request *request) wasSentTo(server *server) bool {
	return slices.ContainsFunc(request.attempts, func(attempt *attempt) bool {
		return attempt.server == server
	})
}

// wouldDuplicate reports whether the request's next attempt would be a hedge, or follow one that may have
// run.
func (request *request) wouldDuplicate() bool {
	return len(request.attempts) > 0 && (request.mayHaveRun || request.openAttempts > 0)
}

// markMayHaveRun records that an attempt may have run.
func (request *request) markMayHaveRun(attempt *attempt, server *server) {
	if request.mayHaveRun && attempt.sentAt >= request.mayHaveRunSince {
		return
	}
	request.mayHaveRun = true
	request.mayHaveRunSince = attempt.sentAt
	request.mayHaveRunZone = server.endpoint.Zone
	request.sendBy = attempt.sentAt + request.class.KeyWindow
}

// mustAnswerNow reports whether a request must get its final answer now. A request that has reached no server
// gets it after half the time to its deadline, so that its client can still retry.
func (r *Router) mustAnswerNow(request *request) bool {
	end := request.deadline
	if !request.reachedServer && request.openAttempts == 0 {
		end = request.arrivedAt + (request.deadline-request.arrivedAt)/2
	}
	return r.now+tickInterval+finalAnswerTicks*r.settings.Tick >= end
}

// giveUpReason returns why a request cannot be sent any more, or ReasonNone if it can.
func (r *Router) giveUpReason(request *request) Reason {
	switch {
	case r.mustAnswerNow(request):
		return ReasonDeadline
	case r.mustNotBeSent(request):
		return ReasonMaxAttempts
	case r.now+r.earliestAnswer(request) > request.giveUpAt:
		return ReasonTooLate
	}
	return ReasonNone
}

// earliestAnswer returns the least expected time to an answer: that at the usable server of the group
// which is fastest under its present load.
func (r *Router) earliestAnswer(request *request) Time {
	class := request.class
	if class.earliestAnswerAt != r.now || class.earliestAnswerGroup != request.group {
		earliest := never
		for _, member := range request.group.members {
			load := r.loadOf(member)
			answer := toDuration(class.averageWork / (r.serviceRate(member) * rateShare(load.evident)))
			if member.usable() && (earliest == never || answer < earliest) {
				earliest = answer
			}
		}
		class.earliestAnswer = max(0, earliest)
		class.earliestAnswerAt = r.now
		class.earliestAnswerGroup = request.group
	}
	return toDuration(class.earliestAnswer.Seconds() * request.relativeWork)
}

// giveFinalAnswer ends a request. It is rejected, with the longest retry-after time, if a retry by the client
// is harmless, and failed otherwise.
func (r *Router) giveFinalAnswer(request *request, reason Reason) {
	answer := Action{Kind: Fail, ID: request.id, Reason: reason}
	if request.mayBeRetried() {
		answer.Kind = Reject
		answer.Wait = r.settings.MaxRetryAfter
	}
	r.emit(answer)
	r.dropRequest(request)
}

// mayBeRetried reports whether a retry by the client cannot run the request twice.
func (request *request) mayBeRetried() bool {
	class := request.class
	notRun := !request.mayHaveRun && request.openAttempts == 0
	keyedEverywhere := class.Idempotency == IdempotentWithKey && class.KeyScope == ScopeAll
	return class.Idempotency == Idempotent || notRun || keyedEverywhere
}

// dropRequest removes a request and cancels its attempts in flight, so that servers do not work on abandoned
// requests.
func (r *Router) dropRequest(request *request) {
	request.finished = true
	delete(r.requests, request.id)
	for _, attempt := range request.attempts {
		if r.settings.MayCancel && !attempt.ended {
			r.emit(Action{Kind: Cancel, ID: request.id, Attempt: attempt.number})
		}
	}
}
