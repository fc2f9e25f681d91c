// Package clients plays the pooler's clients: classes of requests asked in open loop, with sessions that read what
// they wrote, impatience and retries, all drawn from a seed ahead of time.
package clients

import (
	"fmt"
	"math"
	"math/rand/v2"
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
	Seed      uint64
	Classes   []Class
	Groups    int
	Rate      float64 // first tries a second
	Seconds   float64
	Sessions  int        // foremen, over all groups
	Follows   float64    // part of the session reads that come soon after a write of theirs...
	FollowMs  float64    // ...so long in the mean
	Retries   int        // by the client itself
	RetryMs   [2]float64 // wait before a retry, where the refusal advises none
	Patience  [2]float64 // part of the class's deadline after which a try is given up
	Jumps     []Jump
	IdleMs    float64 // after which a client closes its connection
	LateAfter float64 // for so long a late answer is still listened for
}

// Jump is a time in which the load is a multiple of the usual.
type Jump struct{ From, To, Times float64 }

// Defaults are the habits of the brief.
func Defaults() Config {
	return Config{Classes: Classes(), Sessions: 400, Follows: 0.7, FollowMs: 500, Retries: 3, RetryMs: [2]float64{150, 600},
		Patience: [2]float64{0.42, 1}, IdleMs: 5000, LateAfter: 3000}
}

// Ask is a first try that is to be made.
type Ask struct {
	No       int
	At       float64 // ms from the start
	Class    int
	Group    int
	Key      string
	Patience float64
	Follows  int       // it follows the write of this number by FollowMs, -1 for none
	Waits    []float64 // before each retry
	Tag      uint64    // what a write writes
}

// Plan draws all first tries ahead, in order. The same configuration gives the same plan.
func Plan(cfg Config) []Ask {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	between := func(r [2]float64) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }
	var total float64
	for _, c := range cfg.Classes {
		total += c.Share
	}
	var out []Ask
	last := map[int][]int{} // by group: numbers of writes that a read may follow
	for at := 0.0; ; {
		rate := cfg.Rate
		for _, j := range cfg.Jumps {
			if at >= j.From && at < j.To {
				rate *= j.Times
			}
		}
		if at += rng.ExpFloat64() / rate * 1000; at >= cfg.Seconds*1000 || math.IsNaN(at) {
			break
		}
		x, pick := rng.Float64()*total, 0
		for pick = 0; pick < len(cfg.Classes)-1 && x >= cfg.Classes[pick].Share; pick++ {
			x -= cfg.Classes[pick].Share
		}
		c := &cfg.Classes[pick]
		a := Ask{No: len(out), At: at, Class: pick, Group: rng.IntN(max(1, cfg.Groups)), Follows: -1, Tag: rng.Uint64(),
			Patience: c.Deadline * between(cfg.Patience)}
		a.Key = fmt.Sprintf("%016x", rng.Uint64())
		if c.Read != ReadAny {
			a.Key = fmt.Sprintf("foreman-%d-%d", a.Group, rng.IntN(max(1, cfg.Sessions/max(1, cfg.Groups))))
		}
		for range cfg.Retries {
			a.Waits = append(a.Waits, between(cfg.RetryMs))
		}
		switch recent := last[a.Group]; {
		case c.Read == Write:
			last[a.Group] = append(recent[max(0, len(recent)-31):], a.No)
		case c.Read == ReadSession && len(recent) > 0 && rng.Float64() < cfg.Follows:
			a.Follows = recent[rng.IntN(len(recent))]
			w := &out[a.Follows]
			a.Key = w.Key
			a.At = max(a.At, w.At+rng.ExpFloat64()*cfg.FollowMs)
		}
		out = append(out, a)
	}
	return out
}
