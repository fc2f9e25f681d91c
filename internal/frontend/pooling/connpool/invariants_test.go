package connpool

import (
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreReported: each statement about a pool is seen to break by one line of state. Two connections are up, one of them in use;
// one comes up, for whom one waits.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for _, m := range []struct {
		name string
		poke func(p *Pool)
	}{
		{"pools: what idles is listed at its server", func(p *Pool) { p.idle["b"][0].state = used }},
		{"pools: a connection is given to one at a time", func(p *Pool) { p.idle["b"] = append(p.idle["b"], p.idle["b"][0]) }},
		{"pools: connections by server agree", func(p *Pool) { p.servers["a"].conns++ }},
		{"pools: connections by server agree", func(p *Pool) { p.dialing++ }},
		{"pools: nothing idles or waits at a server that is barred", func(p *Pool) { p.servers["b"].barred = true }},
		{"pools: no more connections than may be", func(p *Pool) { p.limits.MaxConns = 1 }},
		{"pools: who waits is in line", func(p *Pool) { delete(p.waiting, 9) }},
		{"pools: who is let in is counted", func(p *Pool) { p.admissions["k"].admitted++ }},
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
			t.Errorf("without: %v", c.Breaches())
		}
		m.poke(p)
		p.Check(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not seen: %v", m.name, c.Breaches())
		}
	}
}
