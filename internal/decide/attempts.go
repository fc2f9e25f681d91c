package decide

import (
	"slices"
)

const (
	// slowAnswerFactor: an answer that took this many times its work met the load of other routers.
	slowAnswerFactor = 1.5
	// overloadedFactor: a server that refuses a request as overloaded takes this many latency objectives
	// for it.
	overloadedFactor = 2
	// earlyAnswers is added to the number of answers in the gain of averages, so that the first ones move
	// them less.
	earlyAnswers = 8
	// minMeasuredTime bounds the time of an answer, in seconds, that others are divided by.
	minMeasuredTime = 1e-9
	// likelyFailure is the chance of failure from which a server that fails a request gets none for a turn.
	likelyFailure = 0.5
)

// trySend sends a request if a server can take it now.
func (r *Router) trySend(request *request) bool {
	if r.attemptsExhausted(request) {
		return false
	}
	s := r.chooseServer(request)
	if s == nil || request.outsideKeyScope(s) {
		return false
	}
	share := r.cost(s, request).share
	r.addAttempt(s, &attempt{
		request:       request,
		server:        s,
		number:        len(request.attempts),
		sentAt:        r.now,
		serviceAtSend: s.virtualService,
	})
	s.frozenShare = share
	s.frozenUntil = r.now + freezeTime
	r.useSlowStart(s, request)
	s.countPick()
	r.emit(Action{
		Kind:        Send,
		ID:          request.id,
		Server:      s.id,
		WriteBefore: r.writeBefore(s, request),
		Reason:      request.retryReason(),
	})
	return true
}

// writeBefore returns the time from which an attempt must not be written any more.
func (r *Router) writeBefore(s *server, request *request) Time {
	before := request.sendBy - r.settings.Tick
	if request.class.Read == ReadBounded && r.settings.StaleReads == StaleReadsAnswered {
		// While the attempt waits for a connection, the server's proven position ages.
		proven := request.group.localTime(r.provenPosition(s, request))
		before = min(before, proven+request.class.MaxStaleness+1)
	}
	return before
}

// addAttempt records an attempt that is sent.
func (r *Router) addAttempt(s *server, attempt *attempt) {
	request := attempt.request
	r.retryBudgets.CountAttempt(r.now, request.group.id, len(request.attempts) == 0, request.duplicates())
	request.awaitsRetryBudget = false
	s.openAttempts = append(s.openAttempts, attempt)
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	r.openAttempts++
	s.group.openAttempts++
	s.recoveryRamp.ObserveConnections(len(s.openAttempts))
}

// removeAttempt removes an attempt that ended and returns it with the number of older ones still in flight
// there; nil if it is not known.
func (r *Router) removeAttempt(s *server, id RequestID, number int) (ended *attempt, older int) {
	index := slices.IndexFunc(s.openAttempts, func(attempt *attempt) bool {
		return attempt.request.id == id && attempt.number == number
	})
	if index < 0 {
		return nil, 0
	}
	ended = s.openAttempts[index]
	s.openAttempts = slices.Delete(s.openAttempts, index, index+1)
	if ended.presumedLost {
		s.lostAttempts--
	}
	ended.ended = true
	ended.request.openAttempts--
	r.openAttempts--
	s.group.openAttempts--
	return ended, index
}

// excludeOpenAttempts excludes all attempts in flight from measurement, and takes all servers as having
// just answered: after a pause of this router.
func (r *Router) excludeOpenAttempts() {
	for _, s := range r.serversByID {
		s.answeredAt = r.now
		for _, attempt := range s.openAttempts {
			attempt.unmeasured = true
		}
	}
}

// onOutcome handles the end of an attempt. A request without a final answer and without attempts waits again.
func (r *Router) onOutcome(event *Outcome) {
	s := r.servers[event.Server]
	if s == nil {
		return
	}
	r.advanceService(s)
	attempt, older := r.removeAttempt(s, event.ID, event.Attempt)
	if attempt == nil {
		return
	}
	request := attempt.request
	r.recordLoss(s, attempt, event.Result)
	if event.Result != Unreachable && event.Result != NotSent {
		request.reachedServer = true
	}
	r.applyOutcomeReports(s, attempt, event)
	r.applyResult(s, attempt, older, event)
	request.healthChecks = 0
	if mayHaveRun(event.Result) {
		request.markMayHaveRun(attempt, s)
	}
	if event.Final {
		r.dropRequest(request)
	}
	if event.Result != OK && request.idle() && !slices.Contains(request.group.waiting, request) {
		request.group.waiting = append(request.group.waiting, request)
	}
	r.sendWaiting(s.group)
}

// idle reports whether a request has no final answer and no attempt in flight.
func (request *request) idle() bool { return !request.finished && request.openAttempts == 0 }

// mayHaveRun reports whether an attempt that ended so may have run.
func mayHaveRun(result Result) bool {
	switch result {
	case Failed, TimedOut, Reset, Cancelled:
		return true
	}
	return false
}

// applyOutcomeReports takes the reports of an outcome. That a server is a replica counts at once; that it
// is the primary, as of its report.
func (r *Router) applyOutcomeReports(s *server, attempt *attempt, event *Outcome) {
	r.observeClock(s, event.Reported, attempt.sentAt)
	at := r.now
	if event.Reported.Role == RolePrimary {
		at = min(r.now, max(attempt.sentAt, s.group.localTime(event.Reported.Position)))
	}
	r.applyReport(s, event.Reported, at)
	r.observeClock(s, event.Load, never) // a load report is some time old
	r.applyReport(s, event.Load, s.group.localTime(event.Load.Position))
}

// applyResult takes the result of an attempt as evidence of its server; older attempts are still in flight
// there.
func (r *Router) applyResult(s *server, attempt *attempt, older int, event *Outcome) {
	switch event.Result {
	case OK:
		r.onSuccess(s, attempt, older, event)
	case Misdirected:
		r.onMisdirected(s, attempt, event)
	case Overloaded, Unreachable, Failed, Reset:
		r.onFailure(s, attempt, event.Result)
	}
}

// onSuccess handles a request's answer.
func (r *Router) onSuccess(s *server, attempt *attempt, older int, event *Outcome) {
	request := attempt.request
	if !attempt.unmeasured {
		r.measure(s, attempt)
	}
	r.observeSuccess(s)
	for _, overtaken := range s.openAttempts[:older] {
		overtaken.overtakenBy++
	}
	r.recordAnswer(s, attempt)
	if request.class.Read == Write && r.settings.TrackCommits {
		// Without a reported position, it is committed by now.
		r.rememberCommit(request.session, event.Reported.positionOr(r.serverClockNow(s.group)))
	}
}

// measure takes an answer's time as evidence of the server's load and rate, and of the work of the
// request's class.
func (r *Router) measure(s *server, attempt *attempt) {
	request := attempt.request
	took := (r.now - attempt.sentAt).Seconds()
	received := s.virtualService - attempt.serviceAtSend
	onLink := min(r.linkDelay(s), took/2)
	received *= 1 - onLink/max(took, minMeasuredTime)
	took -= onLink
	if r.observeLoad(s, fullRateConcurrency*(took*r.serviceRate(s)/request.expectedWork()-slowAnswerFactor)) {
		load := r.loadOf(s).likely
		received = min(received, took*rateShare(load)*r.warmUpFactor(s))
	}
	s.expectedWork += request.expectedWork()
	s.receivedService += received
	if r.warmUpFactor(s) == 1 { // a cold server's rate is known roughly
		r.observeWait(s, took-request.expectedWork()/r.warmRate(s))
		r.learnWork(s, request, received)
	}
}

// learnWork updates the average work of a class, and of all requests, by the service that an answer received.
func (r *Router) learnWork(s *server, request *request, received float64) {
	class := request.class
	class.answerCount++
	// The work that the service shows, scaled from the request to its class.
	observed := received * r.warmRate(s) * class.averageWork / request.expectedWork()
	learned := class.averageWork + averageGain(class.answerCount)*(observed-class.averageWork)
	class.averageWork = max(minClassWork, learned)
	r.averageWork += averageGain(r.answerCount) * (class.averageWork - r.averageWork)
	r.answerCount++
}

// averageGain returns the weight of one answer in an average over so many.
func averageGain(answers float64) float64 { return max(minAverageGain, 1/(answers+earlyAnswers)) }

// onMisdirected handles a refusal by a server that is not the primary, or too far behind.
func (r *Router) onMisdirected(s *server, attempt *attempt, event *Outcome) {
	r.recordAnswer(s, attempt)
	if attempt.request.primaryOnly() && event.Reported.Role != RolePrimary {
		s.role = RoleReplica
		s.roleAt = r.now
		return
	}
	s.positionRate /= 2 // it is further behind than estimated
}

// onFailure handles an attempt that was not answered, or refused by an overloaded server. It does not prove
// that the server is down: the server's cost rises for a while, and it gets nothing for a turn.
func (r *Router) onFailure(s *server, attempt *attempt, result Result) {
	switch result {
	case Unreachable:
		r.onUnreachable(s, r.now-attempt.sentAt)
	case Overloaded:
		r.recordAnswer(s, attempt)
		request := attempt.request
		objective := request.class.LatencyObjective.Seconds()
		met := overloadedFactor * fullRateConcurrency * objective * r.serviceRate(s) / request.expectedWork()
		r.observeLoad(s, met)
	}
	r.observeFailure(s)
	if result == Overloaded || result == Failed && s.failureAtLast > likelyFailure {
		s.overloadedUntil = r.now + toDuration(r.averageWork/r.serviceRate(s))
	}
}

// onUnreachable handles a connection that failed after so long. One that was not refused at once may have
// failed by the link: a health check shows whether the server lives.
func (r *Router) onUnreachable(s *server, took Time) {
	linkMayExplain := r.observeLink(s, took)
	if !linkMayExplain && took < longDelay {
		r.recordRefusal(s)
		return
	}
	r.checkHealth(s, ejectedCheckInterval)
}
