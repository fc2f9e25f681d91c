package pooling

import (
	"slices"
	"testing"

	"beechgrade/internal/frontend/pooling/connpool"
	"beechgrade/internal/invariant"
)

// TestBrokenInvariantsAreReported: a single change of the frontend's state that violates an invariant must be reported. Its pool has one
// connection, which is in use.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for _, m := range []struct {
		name    string
		corrupt func(f *Frontend, l *link, a *attempt)
	}{
		{"pooling: closed connections are removed", func(_ *Frontend, l *link, _ *attempt) { l.closed = true }},
		{"pooling: a pool counts the connections that there are", func(f *Frontend, l *link, _ *attempt) { f.links.Remove(l.ref) }},
		{"pooling: a pool counts the connections that there are", func(_ *Frontend, l *link, _ *attempt) { l.ready = false }},
		{"pooling: nothing follows an unanswered Query or Sync", func(_ *Frontend, l *link, _ *attempt) {
			l.expected = []expectedAnswer{{kind: answersSync}, {kind: answersParse}}
		}},
		{"pooling: ended attempts are removed", func(_ *Frontend, _ *link, a *attempt) { a.ended = true }},
	} {
		p := &pool{conns: connpool.New(connpool.Limits{MaxConns: 2, MaxWaiting: 2})}
		f, l, a := &Frontend{pools: []*pool{p}}, &link{pool: p, serverID: "s", ready: true}, &attempt{}
		l.ref, a.ref = f.links.Put(l), f.attempts.Put(a)
		p.conns.Request(connpool.ID(packRef(a.ref)), "s", 0)
		p.conns.Opened(l.id(), "s", 0)
		c := invariant.New(nil)
		if f.checkAll(c); len(c.Breaches()) > 0 {
			t.Errorf("breaches before the change are %v, want none", c.Breaches())
		}
		m.corrupt(f, l, a)
		f.checkAll(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == m.name }) {
			t.Errorf("breach of %q was not reported, only %v", m.name, c.Breaches())
		}
	}
}
