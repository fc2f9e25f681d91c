package lease

import "beechgrade/internal/invariant"

// Price is what a request of a class costs, in the operators' unit.
type Price struct {
	PerRequest   int64
	PerRow       int64 // each row of an answer
	PerSecond    int64 // each second of a server's work
	Max          int64 // reserved, and charged at most; PerRequest where that is more
	ChargeFailed bool  // a failed request costs PerRequest
}

// reservation is what is reserved for a request with so many parts.
func (p *Price) reservation(parts int) int64 {
	return max(p.PerRequest, p.Max) * int64(max(1, parts))
}

// Class is the credit terms of a class of requests.
type Class struct {
	Price
	PriorityWeight float64
	Overdraft      int64 // how far below zero the tenant's balance may go for it
}

// Settings configure a Manager. Times are in ms.
type Settings struct {
	Duration          float64 // of a lease, from the sending of the request that is answered
	RenewInterval     float64 // between two requests about one account where nothing is needed
	UrgentInterval    float64 // the same where funds are needed
	ExhaustedInterval float64 // the same where the tenant's funds were exhausted
	GrantHorizon      float64 // how long the requested funds should last
	IdleTimeout       float64 // a tenant that spends nothing for so long returns what it holds
	QueueTimeout      float64 // a request is queued for at most; 0 rejects instead
	ClockDrift        float64 // fraction by which a clock may be fast or slow
	Grace             float64 // added to what a voter waits before it expires an account
	TickInterval      float64
	ThrottleBelow     float64 // fraction of the funds after the last payment, below which a tenant is throttled; 0 for never
	MinThrottledShare float64 // fraction of its demand that a throttled tenant may always spend
	PersistMarks      bool
	Classes           []Class
	PrepaidTenants    []string // others pay nothing
	Checks            *invariant.Checks

	ExpireFromResponse bool // a fault for tests: leases expire Duration after the response's arrival
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{
		Duration: 10000, RenewInterval: 1000, UrgentInterval: 100, ExhaustedInterval: 400, GrantHorizon: 2000, IdleTimeout: 5000,
		QueueTimeout: 250, ClockDrift: 0.001, Grace: 500, TickInterval: 50, MinThrottledShare: 0.25,
	}
}

// StretchForDrift returns how long to wait by the local clock until a span of another's clock is certainly over.
func (s *Settings) StretchForDrift(ms float64) float64 {
	return ms * (1 + s.ClockDrift) / (1 - s.ClockDrift)
}

// ExpiryDelay returns how long a voter waits, from when it applied an account's last report, before it proposes to expire the account.
func (s *Settings) ExpiryDelay() float64 { return s.StretchForDrift(s.Duration) + s.Grace }

// PaymentPropagation bounds the time from when the log has a payment until a tenant whose funds were exhausted is admitted at a pooler
// that reaches the leader: the pooler's next request, the leader's batch, the log's round (commit), and the response.
func (s *Settings) PaymentPropagation(batch, commit, delay float64) float64 {
	return s.ExhaustedInterval + 2*s.TickInterval + batch + commit + 2*delay
}
