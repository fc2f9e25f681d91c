package connpool

import (
	"slices"
	"testing"

	"beechgrade/internal/invariant"
)

// TestInvariantMutants: each statement about a pool is seen to break by one line of state. Two connections are up, one of them in use;
// one comes up, for whom one waits.
func TestInvariantMutants(t *testing.T) {
	for _, m := range []struct {
		name string
		poke func(p *Pool)
	}{
		{"pools: what idles is listed at its server", func(p *Pool) { p.idle["b"][0].state = used }},
		{"pools: a connection is given to one at a time", func(p *Pool) { p.idle["b"] = append(p.idle["b"], p.idle["b"][0]) }},
		{"pools: connections by server agree", func(p *Pool) { p.servers["a"].conns++ }},
		{"pools: connections by server agree", func(p *Pool) { p.dialing++ }},
		{"pools: nothing idles or waits at a server that is barred", func(p *Pool) { p.servers["b"].barred = true }},
		{"pools: no more connections than may be", func(p *Pool) { p.lim.Most = 1 }},
		{"pools: who waits is in line", func(p *Pool) { delete(p.waits, 9) }},
		{"pools: who is let in is counted", func(p *Pool) { p.doors["k"].in++ }},
	} {
		p := New(Limits{Most: 3, Queue: 9})
		p.Enter(7, "k", 0)
		p.Want(7, "a", 0)
		p.Up(1, "a", 0)
		p.Want(8, "b", 0)
		p.Up(2, "b", 0)
		p.Free(2, 0)
		p.Want(9, "a", 0)
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
