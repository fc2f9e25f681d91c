// Package clients plays the pooler's clients: classes of requests asked in open loop, with sessions that read what
// they wrote, impatience and retries, all drawn from a seed ahead of time.
package clients

import (
	"math"
	"math/rand/v2"
	"strconv"
)

// Read says what a class needs; the names are the platform's.
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
	Share     float64 // of all requests
	Read      Read
	Bound     float64 // for ReadBounded
	Aim       float64
	Deadline  float64
	Worth     float64
	LateWorth float64 // part of Worth after Aim
	Work      [2]float64
	KeyMs     float64 // a write has a key, by which its group drops repeats for so long; 0 for none
}

// Tenant is a customer with a share of what all may have.
type Tenant struct {
	Name  string
	Share float64 // of Config.Allowance
	Usage float64 // of its share that it asks for
}

// Classes are the four of the site's brief.
func Classes() []Class {
	return []Class{
		{Name: "quadro-obra", Share: 0.26, Read: ReadBounded, Bound: 200, Aim: 200, Deadline: 800, Worth: 1, Work: [2]float64{26, 45}},
		{Name: "conferir-ponto", Share: 0.25, Read: ReadSession, Aim: 500, Deadline: 2000, Worth: 2, Work: [2]float64{65, 110}},
		{Name: "relatorio-mes", Share: 0.17, Read: ReadAny, Aim: 500, Deadline: 1200, Worth: 1, Work: [2]float64{65, 110}},
		{Name: "registrar-ponto", Share: 0.32, Read: Write, Aim: 250, Deadline: 2000, Worth: 3, LateWorth: 0.3, Work: [2]float64{26, 45}},
	}
}

// Config says how clients behave.
type Config struct {
	Seed             uint64
	Classes          []Class
	Groups           int
	Rate             float64 // first tries a second
	Seconds          float64
	Sessions         int        // foremen, over all groups
	Follows          float64    // part of the session reads that come soon after a write of theirs...
	FollowMs         float64    // ...so long in the mean
	Retries          int        // by the client itself
	RetryMs          [2]float64 // wait before a retry, where the refusal advises none
	Patience         [2]float64 // part of the class's deadline after which a try is given up
	Jumps            []Jump
	Skew             float64 // part of the asks of tenants that goes to one pooler, the first...
	SwingMs          float64 // ...or to it and the second, for so long each in turn; 0 for the first alone
	RoamShare        float64 // part of the tries that go to any pooler, not to their session's
	IdleMs           float64 // after which a client closes its connection
	ClickHouse       bool    // they speak the ClickHouse interface
	LateAnswerWaitMs float64 // for so long a late answer is still listened for

	Tenants        []Tenant
	Allowance      float64 // requests a second that the tenants share, 0 for as many as are asked for
	OverShareWorth float64 // what is beyond a tenant's share is worth this part
}

// AllowanceOf is how many requests a second are within a tenant's share.
func (c *Config) AllowanceOf(t *Tenant) float64 {
	if c.Allowance > 0 {
		return c.Allowance * t.Share
	}
	return c.Rate * t.Share
}

// Jump is a time in which the load is a multiple of the usual.
type Jump struct{ From, To, Times float64 }

// Defaults are the habits of the brief.
func Defaults() Config {
	return Config{Classes: Classes(), Sessions: 400, Follows: 0.7, FollowMs: 500, Retries: 3, RetryMs: [2]float64{150, 600},
		Patience: [2]float64{0.42, 1}, IdleMs: 5000, LateAnswerWaitMs: 3000}
}

// Request is a first try that is to be made.
type Request struct {
	No          int
	At          float64 // ms from the start
	Class       int
	Group       int
	Key         string
	Patience    float64
	Follows     int       // it follows the write of this number by FollowMs, -1 for none
	RetryWaits  []float64 // before each retry
	Tag         uint64    // what a write writes
	Tenant      int       // -1 for none
	OverShare   bool      // it is beyond its tenant's share
	WriteNumber uint64    // a keyed write's number, the same for all its tries
}

// Worth is what the ask is worth in time.
func (a *Request) Worth(c *Class, over float64) float64 {
	if a.OverShare {
		return c.Worth * over
	}
	return c.Worth
}

// Plan draws all first tries ahead. The same configuration gives the same plan.
func Plan(cfg Config) (out []Request) {
	p := NewPlanner(cfg)
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		out = append(out, a)
	}
	return out
}

// Planner draws first tries one by one.
type Planner struct {
	cfg   Config
	rng   *rand.Rand
	total float64 // of the classes' shares
	at    float64
	n     int
	last  map[int]*recent // by group

	tenants *rand.Rand // apart, so that a plan is the same but for them
	buckets []bucket   // of the tenants' shares
}

// bucket holds what is left of a share, of a second at most.
type bucket struct{ left, at float64 }

// tenant draws whose an ask is, and whether it is within that tenant's share.
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
	b.left, b.at = min(max(1, rate), b.left+rate*(p.at-b.at)/1000), p.at
	if a.Tenant, a.OverShare = i, b.left < 1; !a.OverShare {
		b.left--
	}
}

// recent are writes that a read may follow.
type recent struct {
	list [32]wrote
	n    int
}

type wrote struct {
	no  int
	at  float64
	key string
}

// NewPlanner begins a plan.
func NewPlanner(cfg Config) *Planner {
	p := &Planner{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), last: map[int]*recent{},
		tenants: rand.New(rand.NewPCG(cfg.Seed, 4)), buckets: make([]bucket, len(cfg.Tenants))}
	for _, c := range cfg.Classes {
		p.total += c.Share
	}
	return p
}

func (p *Planner) between(r [2]float64) float64 { return r[0] + (r[1]-r[0])*p.rng.Float64() }

// Next draws the next first try, and false at the plan's end. A read that follows a write may be due later than those
// that are drawn after it, never earlier than At of the draw before.
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
		Patience: c.Deadline * p.between(cfg.Patience)}
	if key := rng.Uint64(); c.Read == ReadAny {
		a.Key = hexKey(key)
	} else {
		a.Key = "foreman-" + strconv.Itoa(a.Group) + "-" + strconv.Itoa(rng.IntN(max(1, cfg.Sessions/max(1, cfg.Groups))))
	}
	if cfg.Retries > 0 {
		a.RetryWaits = make([]float64, cfg.Retries)
		for i := range a.RetryWaits {
			a.RetryWaits[i] = p.between(cfg.RetryMs)
		}
	}
	r := p.last[a.Group]
	if r == nil {
		r = &recent{}
		p.last[a.Group] = r
	}
	switch held := min(r.n, len(r.list)); {
	case c.Read == Write:
		r.list[r.n%len(r.list)] = wrote{a.No, a.At, a.Key}
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

// DrawnUntil is the time up to which all first tries that are due have been drawn.
func (p *Planner) DrawnUntil() float64 { return p.at }

func hexKey(x uint64) string {
	var b [16]byte
	for i := range b {
		b[15-i] = "0123456789abcdef"[x&15]
		x >>= 4
	}
	return string(b[:])
}
