package decide

import (
	"cmp"
	"math"
	"time"
)

const (
	tickInterval              = 10 * time.Millisecond  // of the periodic work: a few ticks, well under any target
	rateRefreshInterval       = time.Second            // interval of rate corrections; memory of others' load
	longDelay                 = 100 * time.Millisecond // a timer this late: a pause of ours; a failure: perhaps the link
	freezeTime                = time.Second            // shares are held this long after a pick
	initialWorkFraction       = 0.2                    // work of a class without answers, as part of its target
	initialKindRate           = 1.0                    // rate of a kind without answers: the unit of work
	fullRateConcurrency       = 4.0                    // requests served at full rate each: cores of a small server
	minAverageGain            = 0.02                   // weight of one answer in a class's average: memory of 50
	maxRelativeWork           = 10.0                   // most that a work hint counts against its class's average
	rateTrustAnswers          = 4.0                    // answers' worth of trust in the old rate at each refresh
	maxRate                   = 1e3                    // bound of any rate and of its inverse
	maxRateStep               = 2.0                    // greatest factor by which a rate moves in one refresh
	minRemainingFraction      = 0.3                    // least remaining work, as part of the request's
	capacityFraction          = 0.25                   // full: an average request takes this part of the least target
	fewRouters                = 8                      // with so few routers, each knows most of a server's load
	slowAnswerFactor          = 1.5                    // an answer that took this many times its work met others' load
	minTenantBurst            = 4.0                    // requests: least depth of a tenant's bucket
	idleCapacityFraction      = 0.8                    // ...or, with none of ours there, this part of the time left
	idleReadCapacityFraction  = 0.5                    // ...and a read this part of the least target at most
	unresponsiveGaps          = 8.0                    // silent: no answer for this many mean gaps...
	unresponsiveTurns         = 3.0                    // ...and this many mean request times
	requestRateMemory         = 5 * time.Second        // memory of this router's own flow of requests
	requestShareMemory        = 4.0                    // memory of where a group's requests went, in rounds of its members
	maxHealthChecksPerRequest = 2                      // servers probed for one read: the best two tell most of it
	healthCheckWaitTicks      = 4                      // ticks that a read waits for its probes
	othersEvidenceFraction    = 0.5                    // an estimate counts at most as this part of ours, per router
	halfOpenAttempts          = 3                      // requests at once on trial: one may get lost and prove nothing
	maxPatience               = 6.0                    // lost: an attempt has had this many times its work...
	minPatience               = 3.0                    // ...or down to this where many are lost...
	overtakingForLoss         = 3                      // ...and this many later ones were answered before it
	lossRateMemory            = 300                    // attempts: memory of the part that is lost
	clientRetryFactor         = 0.2                    // a repeat's target runs from its first attempt: mostly over
	ejectedCheckInterval      = 200 * time.Millisecond // between probes of a server that is down
	checksBeforeBackoff       = 4                      // failed probes before the pause grows
	maxCheckBackoffDoublings  = 4                      // doublings of that pause at most
	failureMemory             = 4 * time.Second        // fading of a server's chance of failure
	linkDelayMemory           = 10 * time.Second       // fading of the delay of a link
	listTimePerRouter         = 20 * time.Millisecond  // time of the list for one router's call, to spread them all
	slowStartMargin           = 0.8                    // part of the slow-start budget to use, as estimates are rough
	slowStartDrawsPerSpan     = 4                      // draws in the span of the fall rule, where a request is rarer
	resubscribeFraction       = 0.6                    // part of Settings.ListStaleAfter that may pass without a subscription
	minResubscribePause       = 100 * time.Millisecond // before a new subscription, plus jitter of the same...
	maxResubscribePause       = time.Second            // ...doubled up to this while subscriptions fail within as long
	maxListCallInterval       = 9 * time.Second / 2    // start to start: known in 6 s, less 1 to connect, 0.5 to answer
	maxListCallSilence        = 5 * time.Second / 2    // silence of a failed call at most: a live one says so every 2 s
	restartOutage             = time.Second            // refusing for this long means that the process restarted
	maxRememberedSessions     = 20000                  // sessions in a generation of remembered commits
	removedServerMemory       = 30 * time.Second       // before a server that left the list is forgotten
	longWaitFraction          = 0.25                   // too long a wait behind others: this part of the least target...
	longWaitMinTurns          = 0.5                    // ...but no less than this part of an average request's time
	maxWaitMultiple           = 4.0                    // greatest multiple of that wait that counts
	throttleGain              = 0.25                   // growth of shut a second, for each multiple beyond one
	minThrottle               = -0.5                   // least shut: how far a well server's credit goes
	throttleMemorySeconds     = 10.0                   // seconds: memory of shut
	finalAnswerTicks          = 2                      // ticks before its end at which a request gets its answer
)

// configure takes new settings. Classes keep their numbers and averages; one without a target has gone.
func (r *Router) configure(set Settings) {
	for i := range r.buckets { // by the allowances until now
		r.refillBucket(i)
	}
	r.buckets = append(r.buckets, make([]tokenBucket, len(set.Tenants))...)[:len(set.Tenants)]
	r.settings, r.classes, r.shortestObjective = set, r.classesFor(set.Classes), 0
	if r.settings.Peers, r.settings.Processes = max(1, set.Peers), max(1, set.Processes); !set.SlowStartAssigned {
		r.settings.SlowStartPart = 1 / float64(r.settings.Peers)
	}
	r.settings.MaxAttempts, r.settings.ListStaleAfter = max(1, set.MaxAttempts), cmp.Or(set.ListStaleAfter, math.MaxInt64)
	for i, c := range set.Classes {
		c.KeyWindow = [...]time.Duration{Idempotent: math.MaxInt64 / 2, IdempotentWithKey: c.KeyWindow, NotIdempotent: 0}[c.Idempotency]
		if r.classes[i].Class = c; c.LatencyObjective > 0 && (r.shortestObjective == 0 || c.LatencyObjective < r.shortestObjective) {
			r.shortestObjective = c.LatencyObjective
		}
	}
	r.primarySearchPause = max(r.shortestObjective/2, tickInterval)
	r.retryBudgets.Tune(r.now, set.RetryBudget, r.settings.Peers, r.settings.Processes)
}

// Handle takes one event at time now, and appends the actions that follow from it to out.
func (r *Router) Handle(now Time, ev Event, out []Action) []Action {
	r.now, r.actions = max(now, r.now), out
	if r.rateRefreshAt == 0 {
		r.requestRateAt, r.rateRefreshAt, r.subscribedAt, r.resubscribeAt = r.now, r.now+rateRefreshInterval, r.now, math.MaxInt64
		if r.settings.WatchList {
			r.scheduleSubscription(0)
		}
	}
	if r.timerAt != never && r.now-r.timerAt > longDelay {
		// A pause of this router must not count against servers: what was in flight has no measured time.
		r.timerAt = r.now
		r.excludeOpenAttempts()
	}
	r.dispatch(ev)
	if r.now >= r.resubscribeAt {
		r.resubscribeAt, r.subscribedAt = math.MaxInt64, r.now
		r.emit(Action{Kind: Subscribe})
	}
	if r.timerAt == never && (len(r.requests) > 0 || r.openAttempts > 0 || r.resubscribeAt < math.MaxInt64) {
		r.timerAt = r.now + tickInterval
		r.emit(Action{Kind: SetTimer, At: r.timerAt})
	}
	r.checkEvent(ev, len(out))
	return r.actions
}
