package decide

// attemptsExhausted reports whether a request may not be sent again. One that may have run could otherwise
// apply twice.
func (r *Router) attemptsExhausted(request *request) bool {
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

// outsideKeyScope reports whether a server would not drop a repeat of a request that may have run: it is in
// another zone than the first attempt.
func (request *request) outsideKeyScope(server *server) bool {
	class := request.class
	dropsInZone := class.Idempotency == IdempotentWithKey && class.KeyScope == ScopeZone
	return request.mayHaveRun && dropsInZone && server.endpoint.Zone != request.mayHaveRunZone
}

// retryBudgetAllows reports whether a request's next attempt is a first one, or its group may send a
// duplicate.
func (r *Router) retryBudgetAllows(request *request) bool {
	request.awaitsRetryBudget = request.duplicates() && !r.retryBudgets.Allows(r.now, request.group.id)
	return !request.awaitsRetryBudget
}

// retryReason returns the reason of an attempt that has just been added.
func (request *request) retryReason() Reason {
	switch {
	case len(request.attempts) < 2:
		return ReasonNone
	case request.openAttempts > 1:
		return ReasonHedge
	}
	return ReasonRetry
}
