package decide

import (
	"slices"
)

const (
	// slowAnswerFactor: an answer that took more than this multiple of its expected time is evidence of load
	// from other routers.
	slowAnswerFactor = 1.5
	// overloadedFactor: a server that refuses a request as overloaded is taken to need this many latency
	// objectives for it.
	overloadedFactor = 2
	// earlyAnswers is added to the number of answers in the gain of averages, so that the first answers
	// move an average less.
	earlyAnswers = 8
	// minMeasuredTime is the least time of an answer, in seconds, that is used as a divisor.
	minMeasuredTime = 1e-9
	// likelyFailure is the chance of failure above which a server that fails a request gets no other one
	// for the time of an average request.
	likelyFailure = 0.5
)

// trySend sends a request if a server can take it now, and reports whether it did.
func (r *Router) trySend(request *request) bool {
	if r.mustNotBeSent(request) {
		return false
	}
	server := r.chooseServer(request)
	if server == nil || request.outsideKeyScope(server) {
		return false
	}
	share := r.cost(server, request).share
	r.addAttempt(server, &attempt{
		request:       request,
		server:        server,
		number:        len(request.attempts),
		sentAt:        r.now,
		serviceAtSend: server.virtualService,
	})
	server.frozenShare = share
	server.frozenUntil = r.now + freezeTime
	r.chargeSlowStart(server, request)
	server.updateRequestShares()
	r.emit(Action{
		Kind:        Send,
		ID:          request.id,
		Server:      server.id,
		WriteBefore: r.writeBefore(server, request),
		Reason:      request.retryReason(),
	})
	return true
}

// writeBefore returns the time from which an attempt must not be written to a connection any more.
func (r *Router) writeBefore(server *server, request *request) Time {
	before := request.sendBy - r.settings.Tick
	if request.class.Read == ReadBounded && r.settings.StaleReads == StaleReadsAnswered {
		// While the attempt waits for a connection, the server's proven position ages.
		proven := request.group.localTime(r.provenPosition(server, request))
		before = min(before, proven+request.class.MaxStaleness+1)
	}
	return before
}

// addAttempt records an attempt that is sent.
func (r *Router) addAttempt(server *server, attempt *attempt) {
	request := attempt.request
	r.retryBudgets.CountAttempt(r.now, request.group.id, len(request.attempts) == 0, request.wouldDuplicate())
	request.awaitsRetryBudget = false
	server.openAttempts = append(server.openAttempts, attempt)
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	r.openAttempts++
	server.group.openAttempts++
	server.recoveryRamp.ObserveConnections(len(server.openAttempts))
}

// removeAttempt removes an attempt that ended and returns it, nil if it is not known, with the number of
// older attempts still in flight at the server.
func (r *Router) removeAttempt(server *server, id RequestID, number int) (ended *attempt, older int) {
	index := slices.IndexFunc(server.openAttempts, func(attempt *attempt) bool {
		return attempt.request.id == id && attempt.number == number
	})
	if index < 0 {
		return nil, 0
	}
	ended = server.openAttempts[index]
	server.openAttempts = slices.Delete(server.openAttempts, index, index+1)
	if ended.presumedLost {
		server.lostAttempts--
	}
	ended.ended = true
	ended.request.openAttempts--
	r.openAttempts--
	server.group.openAttempts--
	return ended, index
}

// excludeOpenAttempts is called after a pause of this process. It excludes all attempts in flight from
// measurement, and counts all servers as having just answered.
func (r *Router) excludeOpenAttempts() {
	for _, server := range r.serversByID {
		server.answeredAt = r.now
		for _, attempt := range server.openAttempts {
			attempt.unmeasured = true
		}
	}
}

// onOutcome handles the end of an attempt. If the request has neither a final answer nor another attempt in
// flight, it waits again.
func (r *Router) onOutcome(event *Outcome) {
	server := r.servers[event.Server]
	if server == nil {
		return
	}
	r.advanceService(server)
	attempt, older := r.removeAttempt(server, event.ID, event.Attempt)
	if attempt == nil {
		return
	}
	request := attempt.request
	r.recordLoss(server, attempt, event.Result)
	if event.Result != Unreachable && event.Result != NotSent {
		request.reachedServer = true
	}
	r.applyOutcomeReports(server, attempt.sentAt, event.Reported, event.Load)
	r.applyResult(server, attempt, older, event)
	request.healthChecks = 0
	if mayHaveRun(event.Result) {
		request.markMayHaveRun(attempt, server)
	}
	if event.Final {
		r.dropRequest(request)
	}
	if event.Result != OK && request.idle() && !slices.Contains(request.group.waiting, request) {
		request.group.waiting = append(request.group.waiting, request)
	}
	r.sendWaiting(server.group)
}

// idle reports whether a request has no final answer and no attempt in flight.
func (request *request) idle() bool { return !request.finished && request.openAttempts == 0 }

// mayHaveRun reports whether an attempt with this result may have run.
func mayHaveRun(result Result) bool {
	switch result {
	case Failed, TimedOut, Reset, Cancelled:
		return true
	}
	return false
}

// applyOutcomeReports applies the reports of an outcome. The role of replica takes effect as of now, the role
// of primary as of the time of the report.
func (r *Router) applyOutcomeReports(server *server, sentAt Time, reported, load Report) {
	r.observeClock(server, reported, sentAt)
	at := r.now
	if reported.Role == RolePrimary {
		at = min(r.now, max(sentAt, server.group.localTime(reported.Position)))
	}
	r.applyReport(server, reported, at)
	r.observeClock(server, load, never) // it is not known when a load report was made
	r.applyReport(server, load, server.group.localTime(load.Position))
}

// onAnswerEnded handles the end of an answer whose attempt ended before: what the server reported, the commit
// of a write, and whether the answer failed. The server may have been dropped since: it has no open attempt.
func (r *Router) onAnswerEnded(event *AnswerEnded) {
	server := r.servers[event.Server]
	if server != nil {
		r.applyOutcomeReports(server, event.SentAt, event.Reported, event.Load)
	}
	if event.Session != "" && event.Result == OK {
		r.rememberCommit(event.Session, event.Reported.positionOr(r.latestCommitTime(server)))
	}
	if server == nil {
		return
	}
	if event.Result != OK && event.Result != Cancelled {
		r.observeFailure(server)
	}
	r.sendWaiting(server.group)
}

// latestCommitTime returns the latest time at which a server can have committed by now, on the servers'
// clock; server is nil for one that was dropped.
func (r *Router) latestCommitTime(server *server) Time {
	if server != nil {
		return r.serverClockNow(server.group)
	}
	latest := r.now
	for _, group := range r.groupsByNumber {
		latest = max(latest, r.serverClockNow(group))
	}
	return latest
}

// applyResult updates a server by the result of an attempt; older is the number of earlier attempts still in
// flight there.
func (r *Router) applyResult(server *server, attempt *attempt, older int, event *Outcome) {
	switch event.Result {
	case OK:
		r.onSuccess(server, attempt, older, event)
	case Misdirected:
		r.onMisdirected(server, attempt, event)
	case Overloaded, Unreachable, Failed, Reset:
		r.onFailure(server, attempt, event.Result)
	}
}

// onSuccess handles the answer to an attempt.
func (r *Router) onSuccess(server *server, attempt *attempt, older int, event *Outcome) {
	request := attempt.request
	if !attempt.unmeasured {
		r.measure(server, attempt)
	}
	r.observeSuccess(server)
	for _, overtaken := range server.openAttempts[:older] {
		overtaken.overtakenBy++
	}
	r.recordAnswer(server, attempt)
	if request.class.Read == Write && r.settings.TrackCommits {
		// Without a reported position, the write counts as committed now, the latest possible time.
		r.rememberCommit(request.session, event.Reported.positionOr(r.latestCommitTime(server)))
	}
}

// measure updates the estimates of the server's load and rate, and of the work of the request's class, by the
// time that an answer took.
func (r *Router) measure(server *server, attempt *attempt) {
	request := attempt.request
	took := (r.now - attempt.sentAt).Seconds()
	received := server.virtualService - attempt.serviceAtSend
	linkTime := min(r.linkDelay(server), took/2)
	received *= 1 - linkTime/max(took, minMeasuredTime)
	took -= linkTime
	implied := fullRateConcurrency * (took*r.serviceRate(server)/request.expectedWork() - slowAnswerFactor)
	if r.observeLoad(server, implied) {
		load := r.loadOf(server).likely
		received = min(received, took*rateShare(load)*r.warmUpFactor(server))
	}
	server.expectedWork += request.expectedWork()
	server.receivedService += received
	if r.warmUpFactor(server) == 1 { // a cold server's rate is known only roughly
		r.observeWait(server, took-request.expectedWork()/r.warmRate(server))
		r.learnWork(server, request, received)
	}
}

// learnWork updates the average work of a class, and of all requests, by the service that an answer received.
func (r *Router) learnWork(server *server, request *request, received float64) {
	class := request.class
	class.answerCount++
	// The work that the received service amounts to, scaled from the request to its class.
	observed := received * r.warmRate(server) * class.averageWork / request.expectedWork()
	learned := class.averageWork + averageGain(class.answerCount)*(observed-class.averageWork)
	class.averageWork = max(minClassWork, learned)
	r.averageWork += averageGain(r.answerCount) * (class.averageWork - r.averageWork)
	r.answerCount++
}

// averageGain returns the weight of one answer in an average over the given number of answers.
func averageGain(answers float64) float64 { return max(minAverageGain, 1/(answers+earlyAnswers)) }

// onMisdirected handles a refusal by a server that is not the primary, or whose data is too old.
func (r *Router) onMisdirected(server *server, attempt *attempt, event *Outcome) {
	r.recordAnswer(server, attempt)
	if attempt.request.primaryOnly() && event.Reported.Role != RolePrimary {
		server.role = RoleReplica
		server.roleAt = r.now
		return
	}
	server.positionRate /= 2 // the server is further behind than estimated
}

// onFailure handles an attempt that failed or was refused by an overloaded server. This does not prove that
// the server is down: the server's cost rises for a while, and after a refusal or likely failure it gets
// no request for the time of an average one.
func (r *Router) onFailure(server *server, attempt *attempt, result Result) {
	switch result {
	case Unreachable:
		r.onUnreachable(server, r.now-attempt.sentAt)
	case Overloaded:
		r.recordAnswer(server, attempt)
		request := attempt.request
		objective := request.class.LatencyObjective.Seconds()
		rate := r.serviceRate(server)
		implied := overloadedFactor * fullRateConcurrency * objective * rate / request.expectedWork()
		r.observeLoad(server, implied)
	}
	r.observeFailure(server)
	if result == Overloaded || result == Failed && server.failureAtLast > likelyFailure {
		server.overloadedUntil = r.now + toDuration(r.averageWork/r.serviceRate(server))
	}
}

// onUnreachable handles a connection that failed after the given time. If it was not refused at once, the
// link may be the cause: a health check shows whether the server is alive.
func (r *Router) onUnreachable(server *server, took Time) {
	linkMayExplain := r.observeLink(server, took)
	if !linkMayExplain && took < longDelay {
		r.recordRefusal(server)
		return
	}
	r.checkHealth(server, ejectedCheckInterval)
}
