package lease

import "beechgrade/internal/invariant"

// Price is what a request of a class costs, in the operators' unit.
type Price struct {
	PerRequest   int64
	PerRow       int64 // for each row of the answer
	PerSecond    int64 // for each second of a server's work
	Max          int64 // reserved at admission and the maximum charge; PerRequest applies if it is higher
	ChargeFailed bool  // a failed request costs PerRequest
}

// reservation returns the amount reserved for a request with a number of parts.
func (p *Price) reservation(parts int) int64 {
	return max(p.PerRequest, p.Max) * int64(max(1, parts))
}

// Class contains the credit terms of a class of requests.
type Class struct {
	Price
	PriorityWeight float64
	Overdraft      int64 // how far below zero the tenant's balance may go for requests of the class
}

// Settings configure a Manager. Times are in ms.
type Settings struct {
	Duration          float64 // of a lease, counted from when the answered request was sent
	RenewInterval     float64 // between two requests about one account when no funds are needed
	UrgentInterval    float64 // between two requests about one account when funds are needed
	ExhaustedInterval float64 // between two requests about one account when the tenant's funds were exhausted
	GrantHorizon      float64 // how long the requested funds should last
	IdleTimeout       float64 // time without spending after which a tenant's funds are returned
	QueueTimeout      float64 // maximum time in the queue; 0 rejects requests instead of queueing them
	ClockDrift        float64 // fraction by which a clock may be fast or slow
	Grace             float64 // added to the time that a voter waits before it expires an account
	TickInterval      float64
	ThrottleBelow     float64 // fraction of the funds after the last payment below which a tenant is throttled; 0 disables throttling
	MinThrottledShare float64 // fraction of its demand that a throttled tenant may always spend
	PersistMarks      bool
	Classes           []Class
	PrepaidTenants    []string // other tenants pay nothing
	Checks            *invariant.Checks

	ExpireFromResponse bool // fault injection for tests: leases expire Duration after the response arrives
}

// Defaults returns settings for a fleet in one region or a few.
func Defaults() Settings {
	return Settings{
		Duration: 10000, RenewInterval: 1000, UrgentInterval: 100, ExhaustedInterval: 400, GrantHorizon: 2000, IdleTimeout: 5000,
		QueueTimeout: 250, ClockDrift: 0.001, Grace: 500, TickInterval: 50, MinThrottledShare: 0.25,
	}
}

// StretchForDrift returns how many ms to wait by the local clock so that at least ms have passed by the clock of another process.
func (s *Settings) StretchForDrift(ms float64) float64 {
	return ms * (1 + s.ClockDrift) / (1 - s.ClockDrift)
}

// ExpiryDelay returns how long, in ms, a voter waits after it applied an account's last report before it proposes to expire the account.
func (s *Settings) ExpiryDelay() float64 { return s.StretchForDrift(s.Duration) + s.Grace }

// PaymentPropagation returns an upper bound, in ms, on the time from when the log has a payment until a tenant whose funds were exhausted
// is admitted at a pooler that can reach the leader. It consists of the wait for the pooler's next request, the leader's batch interval,
// the commit time of the log, and the delay of the request and of the response.
func (s *Settings) PaymentPropagation(batch, commit, delay float64) float64 {
	return s.ExhaustedInterval + 2*s.TickInterval + batch + commit + 2*delay
}
