package decide

import (
	"math"
	"slices"
)

const (
	// maxLossThreshold: an attempt that was overtaken is presumed lost once it has had this multiple of its
	// expected work as service...
	maxLossThreshold = 6.0
	// minLossThreshold: ...or a lower multiple, down to this one, where many attempts are lost.
	minLossThreshold = 3.0
	// minOvertakesForLoss is how many later attempts must have been answered before one is presumed lost.
	minOvertakesForLoss = 3
	// lossRateMemory is the memory of the fraction of attempts that is lost, in attempts.
	lossRateMemory = 300
	// uncertainLoss is the fraction of a loss that an attempt counts as if it was given up before
	// maxLossThreshold.
	uncertainLoss = 0.5
)

// hedgeStuckRequests sends a second attempt of each idempotent request whose only attempt is presumed lost
// or is at an ejected server. Where duplicates are not allowed, the attempt is cancelled instead, so that the
// request can be retried. Requests whose deadline is close get their final answer.
func (r *Router) hedgeStuckRequests(group *group) {
	for _, server := range group.members {
		for _, attempt := range slices.Clone(server.openAttempts) {
			if !attempt.request.finished && r.mustAnswerNow(attempt.request) {
				r.giveFinalAnswer(attempt.request, ReasonDeadline)
			}
			r.presumeLost(group, server, attempt)
			if r.needsHedge(server, attempt) {
				r.hedge(server, attempt)
			}
		}
	}
}

// presumeLost marks an attempt as presumed lost if later ones overtook it and it has had more service than it
// is likely to need.
func (r *Router) presumeLost(group *group, server *server, attempt *attempt) {
	if attempt.presumedLost || attempt.overtakenBy < minOvertakesForLoss {
		return
	}
	if r.serviceMultiple(server, attempt) > r.lossThreshold(group) {
		attempt.presumedLost = true
		server.lostAttempts++
	}
}

// needsHedge reports whether a request is stuck at a server, may be sent again, and can still be answered
// in time.
func (r *Router) needsHedge(server *server, attempt *attempt) bool {
	request := attempt.request
	stuck := server.health == ejected || attempt.presumedLost
	if !stuck || attempt.hedged || request.finished {
		return false
	}
	if request.class.Idempotency == NotIdempotent || request.openAttempts != 1 {
		return false
	}
	return r.now+r.earliestAnswer(request) <= request.giveUpAt
}

// hedge sends a stuck request again, or cancels its attempt where duplicates are not allowed.
func (r *Router) hedge(server *server, attempt *attempt) {
	request := attempt.request
	request.markMayHaveRun(attempt, server)
	if r.settings.MayDuplicate {
		attempt.hedged = r.trySend(request)
		return
	}
	if r.settings.MayCancel && r.chooseServer(request) != nil {
		attempt.hedged = true
		r.emit(Action{Kind: Cancel, ID: request.id, Attempt: attempt.number})
	}
}

// lossThreshold returns the service, as a multiple of the expected work, at which an overtaken attempt is
// more likely lost than slow: a fraction exp(-x) of attempts takes more than x times the expected work.
func (r *Router) lossThreshold(group *group) float64 {
	if len(group.waiting) > 0 { // hedges would take capacity from requests that wait
		return maxLossThreshold
	}
	return min(maxLossThreshold, max(minLossThreshold, -math.Log(r.lossRate)))
}

// recordLoss updates the loss rate by the end of an attempt. An attempt that was cancelled early may just
// have been slow.
func (r *Router) recordLoss(server *server, attempt *attempt, result Result) {
	gaveUp := result == Cancelled || result == TimedOut
	wasStuck := attempt.overtakenBy >= minOvertakesForLoss && attempt.presumedLost
	if isConnectionFailure(result) || gaveUp && !wasStuck {
		return
	}
	lost := 0.0
	if gaveUp {
		lost = uncertainLoss
		if r.serviceMultiple(server, attempt) > maxLossThreshold {
			lost = 1
		}
	}
	r.lossRate += (lost - r.lossRate) / lossRateMemory
}

// isConnectionFailure reports whether an attempt ended because there was no connection or the connection
// dropped, which is no evidence about lost answers.
func isConnectionFailure(result Result) bool {
	return result == Unreachable || result == NotSent || result == Reset
}
