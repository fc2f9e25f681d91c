// Package load is an open-loop load generator for poolers. It sends each request at its due time, whether or not earlier
// requests were answered, so that a pooler that stalls still gets the full load. Response times are measured from the due time,
// not from when the request could be sent.
package load

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Request is a request to send.
type Request struct {
	AtMs    float64 // due time, from the start of the run
	Class   string
	Group   int
	Session uint64
	Writes  bool
}

// Source returns requests in the order of their due times, and false after the last one.
type Source interface{ Next() (Request, bool) }

// Shape is the distribution of the gaps between arrivals.
type Shape string

// The shapes.
const (
	Constant Shape = "constant"
	Poisson  Shape = "poisson"
)

// Mix is a class with its share of the requests.
type Mix struct {
	Class  string
	Share  float64
	Writes bool
}

// Pattern describes generated load: a rate that changes linearly from one value to another, and a mix of classes.
type Pattern struct {
	Shape    Shape
	From, To float64 // requests a second, at the start and at the end
	Seconds  float64
	Mix      []Mix
	Groups   int
	Sessions int
	Seed     uint64
}

// pattern is a source of generated requests.
type pattern struct {
	Pattern
	rng   *rand.Rand
	at    float64 // due time of the last request, ms
	total float64 // of the shares of Mix
}

// Source returns a source of the pattern's requests. The same pattern gives the same requests.
func (p Pattern) Source() Source {
	s := &pattern{Pattern: p, rng: rand.New(rand.NewPCG(p.Seed, 11))}
	for _, m := range p.Mix {
		s.total += m.Share
	}
	return s
}

// Next implements Source.
func (p *pattern) Next() (Request, bool) {
	rate := p.From + (p.To-p.From)*min(1, p.at/(p.Seconds*1000))
	gap := 1000 / max(rate, 1e-6)
	if p.Shape == Poisson {
		gap *= p.rng.ExpFloat64()
	}
	if p.at += gap; p.at >= p.Seconds*1000 || math.IsNaN(p.at) || len(p.Mix) == 0 {
		return Request{}, false
	}
	request := Request{AtMs: p.at, Group: p.rng.IntN(max(1, p.Groups)), Session: uint64(p.rng.IntN(max(1, p.Sessions)))}
	x := p.rng.Float64() * p.total
	m := p.Mix[len(p.Mix)-1]
	for _, o := range p.Mix {
		if x < o.Share {
			m = o
			break
		}
		x -= o.Share
	}
	request.Class, request.Writes = m.Class, m.Writes
	return request, true
}

// Outcome is how a request ended.
type Outcome string

// The outcomes of requests.
const (
	Served     Outcome = "served"
	Refused    Outcome = "refused"
	Failed     Outcome = "failed"
	Unanswered Outcome = "no answer"
	Broken     Outcome = "broken"
	Dropped    Outcome = "not sent" // more requests were in flight than allowed
)

// Target sends requests and returns their outcomes. It must be safe for concurrent use.
type Target interface {
	Send(ctx context.Context, request Request) Outcome
}

// Options bound a run.
type Options struct {
	MaxInFlight        int // requests in flight; further requests are not sent, and counted as such
	Progress           func(Snapshot)
	SnapshotIntervalMs float64
}

// Snapshot is the state of a run at a time.
type Snapshot struct {
	AtMs      float64            `json:"at_ms"`
	Due       uint64             `json:"due"`
	Outcomes  map[Outcome]uint64 `json:"ends"`
	PerSecond float64            `json:"served_a_second"` // since the last snapshot
	P50       float64            `json:"p50_ms"`
	P99       float64            `json:"p99_ms"`
	InFlight  int                `json:"out"`
}

// ClassResult is the result of a class. Times are in milliseconds from the due time of a request.
type ClassResult struct {
	Class    string             `json:"class"`
	Due      uint64             `json:"due"`
	Outcomes map[Outcome]uint64 `json:"ends"`
	P50      float64            `json:"p50_ms"`
	P90      float64            `json:"p90_ms"`
	P99      float64            `json:"p99_ms"`
	P999     float64            `json:"p99_9_ms"`
	Most     float64            `json:"most_ms"`

	Distribution []Bucket `json:"spread"`
	hist         *hdrhistogram.Histogram
}

// Bucket is the number of answers that took at most a time.
type Bucket struct {
	UpToMs float64 `json:"up_to_ms"`
	Count  int64   `json:"count"`
}

// Result is the result of a run.
type Result struct {
	Seconds   float64       `json:"seconds"`
	Due       uint64        `json:"due"`
	PerSecond float64       `json:"served_a_second"`
	Behind    float64       `json:"most_behind_ms"` // the most by which this program was late to send a request
	Classes   []ClassResult `json:"classes"`
	Course    []Snapshot    `json:"course"`
}

// Served returns the number of requests served.
func (r *Result) Served() (n uint64) {
	for _, c := range r.Classes {
		n += c.Outcomes[Served]
	}
	return n
}

// runner counts the requests of a run. The histograms hold the response times of served ones.
type runner struct {
	mu       sync.Mutex
	classes  map[string]*ClassResult
	all      *hdrhistogram.Histogram // of all classes
	recent   *hdrhistogram.Histogram // since the last snapshot
	outcomes map[Outcome]uint64
	due      uint64
	inFlight int
	behind   float64 // the most by which a request was handled after its due time, ms
	served   uint64  // requests served at the last snapshot
}

// newHist returns a histogram of 1 µs to 10 min with three significant digits.
func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// maxCourse bounds the snapshots that a result keeps.
const maxCourse = 3600

// Run sends all requests of a source, each at its due time, and waits until all have ended.
func Run(ctx context.Context, src Source, t Target, o Options) (*Result, error) {
	if o.MaxInFlight < 1 {
		return nil, fmt.Errorf("the limit of requests in flight must be at least 1, got %d", o.MaxInFlight)
	}
	r := &runner{classes: map[string]*ClassResult{}, all: newHist(), recent: newHist(), outcomes: map[Outcome]uint64{}}
	began := time.Now()
	since := func() float64 { return float64(time.Since(began).Microseconds()) / 1000 }
	res := &Result{}
	ticking, stop := context.WithCancel(ctx)
	defer stop()
	var ticks sync.WaitGroup
	if o.SnapshotIntervalMs > 0 {
		ticks.Add(1)
		go func() {
			defer ticks.Done()
			tick := time.NewTicker(time.Duration(o.SnapshotIntervalMs * float64(time.Millisecond)))
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					s := r.snapshot(since(), o.SnapshotIntervalMs)
					if len(res.Course) < maxCourse {
						res.Course = append(res.Course, s)
					}
					if o.Progress != nil {
						o.Progress(s)
					}
				case <-ticking.Done():
					return
				}
			}
		}()
	}
	var wg sync.WaitGroup
	for request, ok := src.Next(); ok && ctx.Err() == nil; request, ok = src.Next() {
		if wait := request.AtMs - since(); wait > 0 {
			timer := time.NewTimer(time.Duration(wait * float64(time.Millisecond)))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
			}
		}
		if ctx.Err() != nil {
			break
		}
		if !r.begin(request, since(), o.MaxInFlight) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.end(request, t.Send(ctx, request), since())
		}()
	}
	wg.Wait()
	stop()
	ticks.Wait()
	res.Seconds = since() / 1000
	r.result(res)
	return res, ctx.Err()
}

// class returns the result of a class, which its first request adds.
func (r *runner) class(name string) *ClassResult {
	c := r.classes[name]
	if c == nil {
		c = &ClassResult{Class: name, Outcomes: map[Outcome]uint64{}, hist: newHist()}
		r.classes[name] = c
	}
	return c
}

// begin counts a request that is due, and reports whether it may be sent.
func (r *runner) begin(request Request, now float64, maxInFlight int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.class(request.Class)
	r.due++
	c.Due++
	r.behind = max(r.behind, now-request.AtMs)
	if r.inFlight >= maxInFlight {
		c.Outcomes[Dropped]++
		r.outcomes[Dropped]++
		return false
	}
	r.inFlight++
	return true
}

// end counts a request that ended.
func (r *runner) end(request Request, outcome Outcome, now float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	c := r.class(request.Class)
	c.Outcomes[outcome]++
	r.outcomes[outcome]++
	if outcome == Served {
		us := int64(min(max(1, (now-request.AtMs)*1000), 600_000_000))
		_ = c.hist.RecordValue(us)
		_ = r.all.RecordValue(us)
		_ = r.recent.RecordValue(us)
	}
}

// snapshot returns the state of the run, and resets the statistics that cover the time since the last snapshot.
func (r *runner) snapshot(at, everyMs float64) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{AtMs: at, Due: r.due, Outcomes: map[Outcome]uint64{}, InFlight: r.inFlight, P50: quantile(r.recent, 50), P99: quantile(r.recent, 99),
		PerSecond: float64(r.outcomes[Served]-r.served) / everyMs * 1000}
	for k, n := range r.outcomes {
		s.Outcomes[k] = n
	}
	r.served = r.outcomes[Served]
	r.recent.Reset()
	return s
}

// quantile returns a percentile in ms.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// result completes a result with the counts and response times, by class and of all classes.
func (r *runner) result(res *Result) {
	res.Due, res.Behind = r.due, r.behind
	all := &ClassResult{Class: "all", Due: r.due, Outcomes: r.outcomes, hist: r.all}
	var list []*ClassResult
	for _, c := range r.classes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *ClassResult) int { return cmp.Compare(a.Class, b.Class) })
	for _, c := range append(list, all) {
		c.P50, c.P90, c.P99, c.P999 = quantile(c.hist, 50), quantile(c.hist, 90), quantile(c.hist, 99), quantile(c.hist, 99.9)
		c.Most = float64(c.hist.Max()) / 1000
		for _, b := range c.hist.CumulativeDistribution() {
			if len(c.Distribution) == 0 || float64(b.ValueAt)/1000 > c.Distribution[len(c.Distribution)-1].UpToMs {
				c.Distribution = append(c.Distribution, Bucket{float64(b.ValueAt) / 1000, b.Count})
			}
		}
		if c != all {
			res.Classes = append(res.Classes, *c)
		}
	}
	res.PerSecond = float64(r.outcomes[Served]) / max(res.Seconds, 1e-9)
	res.Classes = append(res.Classes, *all)
}
