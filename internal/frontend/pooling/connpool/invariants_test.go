package connpool

import (
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreReported: a single change of a pool's state that violates an invariant must be reported. Of the pool's two open
// connections one is in use, and a third is being opened for a waiter.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for _, m := range []struct {
		name    string
		corrupt func(p *Pool)
	}{
		{"pools: idle connections are listed at their server", func(p *Pool) { p.idle["b"][0].state = used }},
		{"pools: an idle connection is listed once", func(p *Pool) { p.idle["b"] = append(p.idle["b"], p.idle["b"][0]) }},
		{"pools: connections are counted by server", func(p *Pool) { p.servers["a"].conns++ }},
		{"pools: connections are counted by server", func(p *Pool) { p.dialing++ }},
		{"pools: a draining server has no idle connections and no waiters", func(p *Pool) { p.servers["b"].draining = true }},
		{"pools: there are no more connections than allowed", func(p *Pool) { p.limits.MaxConns = 1 }},
		{"pools: each waiter is in a queue", func(p *Pool) { delete(p.waiting, 9) }},
		{"pools: admitted transactions are counted", func(p *Pool) { p.admissions["k"].admitted++ }},
	} {
		p := New(Limits{MaxConns: 3, MaxWaiting: 9})
		p.Admit(7, "k", 0)
		p.Request(7, "a", 0)
		p.Opened(1, "a", 0)
		p.Request(8, "b", 0)
		p.Opened(2, "b", 0)
		p.Release(2, 0)
		p.Request(9, "a", 0)
		c := invariant.New(nil)
		if p.Check(c); len(c.Breaches()) > 0 {
			t.Errorf("breaches before the change are %v, want none", c.Breaches())
		}
		m.corrupt(p)
		p.Check(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("breach of %q was not reported, only %v", m.name, c.Breaches())
		}
	}
}
