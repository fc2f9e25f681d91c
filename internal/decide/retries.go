package decide

// mustNotBeSent reports whether a request must not be sent now or later: it has had all its attempts, a
// duplicate is not allowed, its key window ends (so that it could run twice), or it is shed.
func (r *Router) mustNotBeSent(request *request) bool {
	if len(request.attempts) >= r.settings.MaxAttempts {
		return true
	}
	if request.openAttempts > 0 && !r.settings.MayDuplicate {
		return true
	}
	if r.now+r.settings.Tick >= request.sendBy {
		return true
	}
	duplicates := request.mayHaveRun || request.openAttempts > 0
	shedding := r.settings.Shedding[request.group.id]
	return shedding.RejectsAttempt(request.classIndex, request.sheddingRank, duplicates)
}

// outsideKeyScope reports whether a server would run a request again that may have run, as its idempotency
// key holds in the zone of the first attempt only and the server is in another zone.
func (request *request) outsideKeyScope(server *server) bool {
	class := request.class
	dropsInZone := class.Idempotency == IdempotentWithKey && class.KeyScope == ScopeZone
	return request.mayHaveRun && dropsInZone && server.endpoint.Zone != request.mayHaveRunZone
}

// retryBudgetAllows reports whether a request's next attempt is no duplicate, or the retry budget of its
// group allows one.
func (r *Router) retryBudgetAllows(request *request) bool {
	request.awaitsRetryBudget = request.wouldDuplicate() && !r.retryBudgets.Allows(r.now, request.group.id)
	return !request.awaitsRetryBudget
}

// retryReason returns the reason of the request's latest attempt, ReasonNone for the first one.
func (request *request) retryReason() Reason {
	switch {
	case len(request.attempts) < 2:
		return ReasonNone
	case request.openAttempts > 1:
		return ReasonHedge
	}
	return ReasonRetry
}
