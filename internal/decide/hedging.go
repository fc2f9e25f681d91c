package decide

import (
	"math"
	"slices"
)

const (
	// maxPatience: an attempt that was overtaken is presumed lost after this multiple of its work...
	maxPatience = 6.0
	// minPatience: ...or down to this one, where many attempts are lost.
	minPatience = 3.0
	// overtakingForLoss is how many later attempts must have been answered before one is presumed lost.
	overtakingForLoss = 3
	// lossRateMemory is the memory of the part of attempts that is lost, in attempts.
	lossRateMemory = 300
	// uncertainLoss is how far an attempt counts as lost that was given up before maxPatience.
	uncertainLoss = 0.5
)

// hedgeStuckRequests sends a second attempt of each idempotent request whose only attempt is presumed lost
// or is at an ejected server. Where duplicates are not allowed, the attempt is cancelled, so that the
// request can be retried.
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

// presumeLost marks an attempt as lost that later ones overtook, and that had more service than it is
// likely to need.
func (r *Router) presumeLost(group *group, server *server, attempt *attempt) {
	if attempt.presumedLost || attempt.overtakenBy < overtakingForLoss {
		return
	}
	if r.serviceMultiple(server, attempt) > r.patience(group) {
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

// patience returns the service, as a multiple of its work, at which an attempt that was overtaken is more
// likely lost than slow: a part exp(-x) of the attempts takes x times its work.
func (r *Router) patience(group *group) float64 {
	if len(group.waiting) > 0 { // hedged requests would be at others' expense
		return maxPatience
	}
	return min(maxPatience, max(minPatience, -math.Log(r.lossRate)))
}

// recordLoss counts an attempt's end towards the part that is lost. One that was cancelled early may just
// be slow.
func (r *Router) recordLoss(server *server, attempt *attempt, result Result) {
	gaveUp := result == Cancelled || result == TimedOut
	wasStuck := attempt.overtakenBy >= overtakingForLoss && attempt.presumedLost
	if neverServed(result) || gaveUp && !wasStuck {
		return
	}
	lost := 0.0
	if gaveUp {
		lost = uncertainLoss
		if r.serviceMultiple(server, attempt) > maxPatience {
			lost = 1
		}
	}
	r.lossRate += (lost - r.lossRate) / lossRateMemory
}

// neverServed reports whether an attempt ended so by its connection, and shows nothing of lost answers.
func neverServed(result Result) bool {
	return result == Unreachable || result == NotSent || result == Reset
}
