package limits

import "math"

// decayMs is the time in which a user's counts of arrivals and rejections decay to 1/e. At 1000 ms, they approximate counts per second.
const decayMs = 1000

// user is the state of one user.
type user struct {
	name       string
	limits     Limits // from the settings
	running    int
	queue      []queuedQuery // oldest first
	tokens     float64       // in the token bucket that bounds the rate
	refilledAt float64
	arrivals   float64 // decaying count of queries that arrived
	rejections float64 // decaying count of queries that were rejected as TooMany
	decayedAt  float64
}

type queuedQuery struct {
	id       ID
	deadline float64
}

// refill adds the tokens for the time since the last refill, at the rate in the allowance or the settings.
func (u *user) refill(now float64, allowance Allowance) {
	perSecond, burst := u.limits.PerSecond, max(1, u.limits.Burst)
	if allowance.BoundsRate {
		perSecond, burst = allowance.PerSecond, allowance.Burst
	}
	u.tokens = min(burst, u.tokens+max(0, now-u.refilledAt)*perSecond/1000)
	u.refilledAt = max(now, u.refilledAt)
}

// countArrivals decays the counts up to now and then adds arrivals.
func (u *user) countArrivals(now, arrivals float64) {
	decay := math.Exp(-max(0, now-u.decayedAt) / decayMs)
	u.arrivals = u.arrivals*decay + arrivals
	u.rejections *= decay
	u.decayedAt = max(now, u.decayedAt)
}
