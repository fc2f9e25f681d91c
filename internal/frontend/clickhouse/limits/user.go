package limits

import "math"

// decayMs is the time in which a user's counts of arrivals and rejections fall to 1/e, so that they are counts per second.
const decayMs = 1000

// user is the state of one user.
type user struct {
	name       string
	limits     Limits // of the settings
	running    int
	queue      []queuedQuery // the oldest first
	tokens     float64       // of the token bucket that bounds the rate
	refilledAt float64
	arrivals   float64 // queries that came; decays
	rejections float64 // queries that were rejected as TooMany; decays
	decayedAt  float64
}

type queuedQuery struct {
	id       ID
	deadline float64
}

// refill adds the tokens of the time that has passed, at the rate of the allowance or of the settings.
func (u *user) refill(now float64, allowance Allowance) {
	perSecond, burst := u.limits.PerSecond, max(1, u.limits.Burst)
	if allowance.BoundsRate {
		perSecond, burst = allowance.PerSecond, allowance.Burst
	}
	u.tokens = min(burst, u.tokens+max(0, now-u.refilledAt)*perSecond/1000)
	u.refilledAt = max(now, u.refilledAt)
}

// countArrivals lets the counts decay up to now, and adds arrivals.
func (u *user) countArrivals(now, arrivals float64) {
	decay := math.Exp(-max(0, now-u.decayedAt) / decayMs)
	u.arrivals = u.arrivals*decay + arrivals
	u.rejections *= decay
	u.decayedAt = max(now, u.decayedAt)
}
