// Package clients simulates the pooler's clients: classes of requests sent in an open loop, with sessions that read their
// own writes, client time-outs and retries, all drawn from a seed in advance.
package clients

import (
	"math"
	"math/rand/v2"
	"strconv"
)

// Read is the kind of a class's requests: a write, or the consistency of its reads. The names are the platform's.
type Read string

// The kinds of class.
const (
	ReadAny     Read = "eventual"
	ReadBounded Read = "lag_bound"
	ReadSession Read = "causal"
	Write       Read = "mutate"
)

// Class is a class of requests. Times are in milliseconds.
type Class struct {
	Name      string
	Share     float64 // share of all requests
	Read      Read
	Bound     float64 // staleness that ReadBounded allows
	Aim       float64 // time within which an answer has its full worth
	Deadline  float64
	Worth     float64
	LateWorth float64 // share of Worth after Aim
	Work      [2]float64
	KeyMs     float64 // time for which a group drops repeats of a write with the same idempotency key; 0 for no key
}

// Tenant is a customer with a share of the allowance.
type Tenant struct {
	Name  string
	Share float64 // share of Config.Allowance
	Usage float64 // demand as a multiple of its share
}

// Classes returns the four classes specified for the site.
func Classes() []Class {
	return []Class{
		{Name: "quadro-obra", Share: 0.26, Read: ReadBounded, Bound: 200, Aim: 200, Deadline: 800, Worth: 1, Work: [2]float64{26, 45}},
		{Name: "conferir-ponto", Share: 0.25, Read: ReadSession, Aim: 500, Deadline: 2000, Worth: 2, Work: [2]float64{65, 110}},
		{Name: "relatorio-mes", Share: 0.17, Read: ReadAny, Aim: 500, Deadline: 1200, Worth: 1, Work: [2]float64{65, 110}},
		{Name: "registrar-ponto", Share: 0.32, Read: Write, Aim: 250, Deadline: 2000, Worth: 3, LateWorth: 0.3, Work: [2]float64{26, 45}},
	}
}

// Config is the behaviour of the clients. Times are in milliseconds unless stated otherwise.
type Config struct {
	Seed             uint64
	Classes          []Class
	Groups           int
	Rate             float64 // requests per second, without retries
	Seconds          float64
	Sessions         int        // sessions of all groups
	Follows          float64    // share of the session reads that follow a write of their session...
	FollowMs         float64    // ...after this mean time
	Retries          int        // by the client itself, per request
	RetryMs          [2]float64 // wait before a retry if the refusal advises none
	Patience         [2]float64 // share of the class's deadline after which a client gives up an attempt
	Jumps            []Jump
	Skew             float64 // share of the tenants' requests that go to the first pooler...
	SwingMs          float64 // ...or to the first and the second alternately, for this long each; 0 for the first alone
	RoamShare        float64 // share of the requests that go to any pooler instead of their session's
	IdleMs           float64 // idle time after which a client closes its connection
	ClickHouse       bool    // use the ClickHouse interface
	LateAnswerWaitMs float64 // how long to wait for a late answer after the client gave up

	Tenants        []Tenant
	Allowance      float64 // requests per second that the tenants share, 0 for Rate
	OverShareWorth float64 // factor on the worth of requests beyond a tenant's share
}

// AllowanceOf returns a tenant's share in requests per second.
func (c *Config) AllowanceOf(t *Tenant) float64 {
	if c.Allowance > 0 {
		return c.Allowance * t.Share
	}
	return c.Rate * t.Share
}

// Jump is an interval, in ms from the start, in which the load is multiplied by Times.
type Jump struct{ From, To, Times float64 }

// Defaults returns the client behaviour specified for the site.
func Defaults() Config {
	return Config{Classes: Classes(), Sessions: 400, Follows: 0.7, FollowMs: 500, Retries: 3, RetryMs: [2]float64{150, 600},
		Patience: [2]float64{0.42, 1}, IdleMs: 5000, LateAnswerWaitMs: 3000}
}

// Request is a planned request.
type Request struct {
	No          int
	At          float64 // ms from the start
	Class       int
	Group       int
	Key         string
	Patience    float64   // ms after which the client gives up an attempt
	Follows     int       // No of the write that it follows, -1 for none
	RetryWaits  []float64 // before each retry
	Tag         uint64    // random; basis of the idempotency key and of the choice of the pooler
	Tenant      int       // index in Config.Tenants, -1 for none
	OverShare   bool      // beyond its tenant's share
	WriteNumber uint64    // number of its write, the same in all attempts if keyed
}

// Worth returns the worth of a request that is served in time; over is the factor beyond a tenant's share.
func (a *Request) Worth(c *Class, over float64) float64 {
	if a.OverShare {
		return c.Worth * over
	}
	return c.Worth
}

// Plan draws all requests in advance. The same configuration gives the same plan.
func Plan(cfg Config) (out []Request) {
	p := NewPlanner(cfg)
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		out = append(out, a)
	}
	return out
}

// Planner draws requests one by one.
type Planner struct {
	cfg   Config
	rng   *rand.Rand
	total float64 // sum of the classes' shares
	at    float64
	n     int
	last  map[int]*recent // by group

	tenants *rand.Rand // separate, so that tenants do not change the rest of a plan
	buckets []bucket   // by tenant
}

// bucket is a token bucket for a tenant's share. It holds at most the tokens of one second, and at least one.
type bucket struct{ tokens, at float64 }

// tenant draws a request's tenant, and sets whether the request is beyond the tenant's share.
func (p *Planner) tenant(a *Request) {
	if a.Tenant = -1; len(p.cfg.Tenants) == 0 {
		return
	}
	sum := 0.0
	for i := range p.cfg.Tenants {
		sum += p.cfg.Tenants[i].Share * p.cfg.Tenants[i].Usage
	}
	x, i := p.tenants.Float64()*sum, 0
	for ; i < len(p.cfg.Tenants)-1 && x >= p.cfg.Tenants[i].Share*p.cfg.Tenants[i].Usage; i++ {
		x -= p.cfg.Tenants[i].Share * p.cfg.Tenants[i].Usage
	}
	rate, b := p.cfg.AllowanceOf(&p.cfg.Tenants[i]), &p.buckets[i]
	b.tokens, b.at = min(max(1, rate), b.tokens+rate*(p.at-b.at)/1000), p.at
	if a.Tenant, a.OverShare = i, b.tokens < 1; !a.OverShare {
		b.tokens--
	}
}

// recent holds the latest writes of a group, which a session read may follow.
type recent struct {
	list [32]recentWrite
	n    int
}

type recentWrite struct {
	no  int
	at  float64
	key string
}

// NewPlanner returns a planner at the start of its plan.
func NewPlanner(cfg Config) *Planner {
	p := &Planner{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), last: map[int]*recent{},
		tenants: rand.New(rand.NewPCG(cfg.Seed, 4)), buckets: make([]bucket, len(cfg.Tenants))}
	for _, c := range cfg.Classes {
		p.total += c.Share
	}
	return p
}

func (p *Planner) uniform(r [2]float64) float64 { return r[0] + (r[1]-r[0])*p.rng.Float64() }

// Next draws the next request, and returns false at the plan's end. A read that follows a write may be due later than requests
// that are drawn after it, but never earlier than the time of its draw.
func (p *Planner) Next() (Request, bool) {
	cfg, rng := &p.cfg, p.rng
	rate := cfg.Rate
	for _, j := range cfg.Jumps {
		if p.at >= j.From && p.at < j.To {
			rate *= j.Times
		}
	}
	if p.at += rng.ExpFloat64() / rate * 1000; p.at >= cfg.Seconds*1000 || math.IsNaN(p.at) {
		return Request{}, false
	}
	x, pick := rng.Float64()*p.total, 0
	for pick = 0; pick < len(cfg.Classes)-1 && x >= cfg.Classes[pick].Share; pick++ {
		x -= cfg.Classes[pick].Share
	}
	c := &cfg.Classes[pick]
	a := Request{No: p.n, At: p.at, Class: pick, Group: rng.IntN(max(1, cfg.Groups)), Follows: -1, Tag: rng.Uint64(),
		Patience: c.Deadline * p.uniform(cfg.Patience)}
	if key := rng.Uint64(); c.Read == ReadAny {
		a.Key = hexKey(key)
	} else {
		a.Key = "foreman-" + strconv.Itoa(a.Group) + "-" + strconv.Itoa(rng.IntN(max(1, cfg.Sessions/max(1, cfg.Groups))))
	}
	if cfg.Retries > 0 {
		a.RetryWaits = make([]float64, cfg.Retries)
		for i := range a.RetryWaits {
			a.RetryWaits[i] = p.uniform(cfg.RetryMs)
		}
	}
	r := p.last[a.Group]
	if r == nil {
		r = &recent{}
		p.last[a.Group] = r
	}
	switch held := min(r.n, len(r.list)); {
	case c.Read == Write:
		r.list[r.n%len(r.list)] = recentWrite{a.No, a.At, a.Key}
		r.n++
	case c.Read == ReadSession && held > 0 && rng.Float64() < cfg.Follows:
		w := &r.list[rng.IntN(held)]
		a.Follows, a.Key = w.no, w.key
		a.At = max(a.At, w.at+rng.ExpFloat64()*cfg.FollowMs)
	}
	p.tenant(&a)
	p.n++
	return a, true
}

// DrawnUntil returns the time, in ms from the start, up to which all due requests have been drawn.
func (p *Planner) DrawnUntil() float64 { return p.at }

func hexKey(x uint64) string {
	var b [16]byte
	for i := range b {
		b[15-i] = "0123456789abcdef"[x&15]
		x >>= 4
	}
	return string(b[:])
}
