package quota

// Settings configure how limits are divided. Times are in ms.
type Settings struct {
	ExpectedPoolers int     // the largest number of processes at a time; an owner needs the votes of more than half of them
	LeaseDuration   float64 // from the sending of the request that the lease answers
	VoteDuration    float64 // from the sending of the vote
	RenewInterval   float64 // between two requests
	UrgentInterval  float64 // between two requests if something has changed
	UseTimeout      float64 // time for which a concurrent use may continue after the end of its lease or pooler
	ClockDrift      float64 // the fraction by which a clock may run too fast or too slow
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
	electionTicks  = 2 // ticks between two counts of votes
	staleIntervals = 4 // renewal intervals after which a share or a demand is stale
)

// LocalWait returns how long, in ms of its own clock, a process must wait until ms have passed on any other process's clock.
func (s *Settings) LocalWait(ms float64) float64 { return ms * (1 + s.ClockDrift) / (1 - s.ClockDrift) }

// remoteSpan returns the time on the own clock in which surely no more than ms pass on any other process's clock.
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

// ReclaimBound bounds the time, in ms, until the units of a crashed process can be leased again.
func (s *Settings) ReclaimBound(kind Kind) float64 { return s.leaseRetention(kind) + 2*s.TickInterval }

// ElectionBound bounds the time, in ms, from when all processes know that an owner has ended until a majority has voted for the next one.
func (s *Settings) ElectionBound(delay float64) float64 {
	return 1.5*s.VoteDuration + 3*(s.RenewInterval+s.TickInterval) + 4*delay
}

// TakeoverBound bounds the time, in ms, from when all processes know that an owner has ended until the whole pool can be leased.
func (s *Settings) TakeoverBound(kind Kind, delay float64) float64 {
	return s.ElectionBound(delay) + s.ReclaimBound(kind)
}

// DemandBound bounds the time, in ms, until leases have followed a change of demand, if all processes reach the owner and no message is
// lost. The steps are the request with the demand, a plan, the recalls to the holders with too many units, their requests, another plan,
// the recall to the holder with too few units, which may have been sent another one just before, its request and the answer.
func (s *Settings) DemandBound(delay float64) float64 {
	return 4*(s.UrgentInterval+s.TickInterval) + 3*s.TickInterval + 6*delay
}

// StaleAfter returns how long, in ms, a SoonEven share is used without an answer, and a reported demand counts without another request.
func (s *Settings) StaleAfter() float64 { return staleIntervals * s.RenewInterval }

// OvershootBound bounds how long, in ms, SoonEven shares may exceed the limit in sum after a fault, or after a change of the number of
// poolers that may be sending.
func (s *Settings) OvershootBound(delay float64) float64 {
	return s.StaleAfter() + 2*s.RenewInterval + 2*delay
}
