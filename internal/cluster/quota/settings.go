package quota

// Settings configure how limits are divided. Times are in ms.
type Settings struct {
	ExpectedPoolers int     // the most processes at a time; more than half of them make an owner
	LeaseDuration   float64 // from the request that a lease answers
	VoteDuration    float64 // from a vote
	RenewInterval   float64 // between two requests
	UrgentInterval  float64 // between two requests where something has changed
	UseTimeout      float64 // a concurrent use may go on for so long after its lease, or its pooler, has ended
	ClockDrift      float64 // the part of a span by which a clock may be off
	TickInterval    float64 // the resolution of timers
	Limits          []Limit
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{
		LeaseDuration:  10000,
		VoteDuration:   3000,
		RenewInterval:  500,
		UrgentInterval: 100,
		UseTimeout:     5000,
		ClockDrift:     0.001,
		TickInterval:   50,
	}
}

const (
	electionTicks  = 2 // ticks between two counts of the votes
	staleIntervals = 4 // renewal intervals after which a share or a demand is stale
)

// LocalWait returns how long a process must wait, by its own clock, until a span on another's clock is over.
func (s *Settings) LocalWait(ms float64) float64 { return ms * (1 + s.ClockDrift) / (1 - s.ClockDrift) }

// remoteSpan returns how much of a span on another's clock has surely not passed after as much on the own clock.
func (s *Settings) remoteSpan(ms float64) float64 {
	return ms * (1 - s.ClockDrift) / (1 + s.ClockDrift)
}

// leaseRetention returns how long an owner accounts for a lease.
func (s *Settings) leaseRetention(kind Kind) float64 {
	if kind == Concurrency {
		return s.LocalWait(s.LeaseDuration + s.UseTimeout)
	}
	return s.LocalWait(s.LeaseDuration)
}

// ReclaimBound bounds the time until the units of a process that crashed can be leased again.
func (s *Settings) ReclaimBound(kind Kind) float64 { return s.leaseRetention(kind) + 2*s.TickInterval }

// ElectionBound bounds the time from when all processes know that an owner has ended until a majority has voted for the next one.
func (s *Settings) ElectionBound(delay float64) float64 {
	return 1.5*s.VoteDuration + 3*(s.RenewInterval+s.TickInterval) + 4*delay
}

// TakeoverBound bounds the time from when all processes know that an owner has ended until the whole pool can be leased.
func (s *Settings) TakeoverBound(kind Kind, delay float64) float64 {
	return s.ElectionBound(delay) + s.ReclaimBound(kind)
}

// DemandBound bounds the time until shares have followed demand, where the owner is reachable for all and nothing is lost: the request
// with the demand, the plan, the recall to those who have too much, their requests, the plan, the recall to the one who has too little,
// which may have been sent one just before, its request and the answer.
func (s *Settings) DemandBound(delay float64) float64 {
	return 4*(s.UrgentInterval+s.TickInterval) + 3*s.TickInterval + 6*delay
}

// StaleAfter returns for how long a SoonEven share is used without an answer, and a demand counts without a request.
func (s *Settings) StaleAfter() float64 { return staleIntervals * s.RenewInterval }

// OvershootBound bounds how long SoonEven shares may add up to too much after a fault, or a change of those that may be sending.
func (s *Settings) OvershootBound(delay float64) float64 {
	return s.StaleAfter() + 2*s.RenewInterval + 2*delay
}
