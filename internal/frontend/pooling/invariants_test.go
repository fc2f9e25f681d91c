package pooling

import (
	"slices"
	"testing"

	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/invariant"
)

// TestInvariantMutants: each statement about the front is seen to break by one line of state. Its pool has one connection, in use.
func TestInvariantMutants(t *testing.T) {
	for _, m := range []struct {
		name string
		poke func(f *Front, l *link, a *attempt)
	}{
		{"pooling: nothing is kept of what is closed", func(_ *Front, l *link, _ *attempt) { l.closed = true }},
		{"pooling: a pool has the connections that there are", func(f *Front, l *link, _ *attempt) { f.links.Remove(l.ref) }},
		{"pooling: a pool has the connections that there are", func(_ *Front, l *link, _ *attempt) { l.up = false }},
		{"pooling: nothing is kept of an attempt that has ended", func(_ *Front, _ *link, a *attempt) { a.ended = true }},
	} {
		p := &pool{share: connpool.New(connpool.Limits{Most: 2, Queue: 2})}
		f, l, a := &Front{pools: []*pool{p}}, &link{pool: p, store: "s", up: true}, &attempt{}
		l.ref, a.ref = f.links.Put(l), f.attempts.Put(a)
		p.share.Want(connpool.ID(refNumber(a.ref)), "s", 0)
		p.share.Up(l.id(), "s", 0)
		c := invariant.New(nil)
		if f.walk(c); len(c.Breaches()) > 0 {
			t.Errorf("without: %v", c.Breaches())
		}
		m.poke(f, l, a)
		f.walk(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("%q is not seen: %v", m.name, c.Breaches())
		}
	}
}
