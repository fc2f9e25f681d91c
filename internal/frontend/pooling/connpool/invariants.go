package connpool

import (
	"fmt"
	"slices"

	"beechgrade/internal/invariant"
)

// Check makes the statements about a pool: connections counted by server agree with the lists, as do those who wait.
func (p *Pool) Check(x *invariant.Checks) {
	conns, idles := map[string]int{}, 0
	for id, c := range p.conns {
		conns[c.server]++
		in := slices.Contains(p.idle[c.server], c)
		x.That(c.id == id && in == (c.state == idle), "pools: what idles is listed at its server", func() string { return fmt.Sprintf("%+v, listed %v", *c, in) })
	}
	for name, l := range p.idle {
		idles += len(l)
		for i, c := range l {
			x.That(p.conns[c.id] == c && c.server == name && !slices.Contains(l[:i], c), "pools: a connection is given to one at a time", func() string { return fmt.Sprintf("%s: %+v", name, *c) })
		}
	}
	dialing := 0
	for name, s := range p.servers {
		dialing += s.dialing
		state := func() string {
			return fmt.Sprintf("%s: %+v; %d connections, %d idle", name, *s, conns[name], len(p.idle[name]))
		}
		x.That(s.conns == conns[name] && s.dialing >= 0, "pools: connections by server agree", state)
		x.That(!s.barred || len(p.idle[name]) == 0 && p.lines[name] == nil, "pools: nothing idles or waits at a server that is barred", state)
		delete(conns, name)
	}
	x.That(len(conns) == 0 && dialing == p.dialing, "pools: connections by server agree", func() string { return fmt.Sprintf("%v more; %d coming up, counted %d", conns, dialing, p.dialing) })
	x.That(p.told || len(p.conns)+p.dialing <= p.lim.Most+p.lim.Reserve, "pools: no more connections than may be", func() string {
		return fmt.Sprintf("%d and %d coming up of %+v", len(p.conns), p.dialing, p.lim)
	})
	waits := 0
	for name, l := range p.lines {
		waits += l.n
		x.That(l.n > 0 && l.n == l.there(p.waits), "pools: who waits is in line", func() string { return fmt.Sprintf("%s: %d in line, counted %d", name, l.there(p.waits), l.n) })
	}
	x.That(waits == len(p.waits), "pools: who waits is in line", func() string { return fmt.Sprintf("%d in lines, %d wait", waits, len(p.waits)) })
	in, out := map[*door]int{}, 0
	for _, d := range p.inside {
		in[d]++
	}
	for kind, d := range p.doors {
		out += d.n
		x.That(d.in == in[d] && d.n == d.there(p.outside), "pools: who is let in is counted", func() string {
			return fmt.Sprintf("%s: %d in, counted %d; %d before it, counted %d", kind, in[d], d.in, d.there(p.outside), d.n)
		})
	}
	x.That(out == len(p.outside), "pools: who is let in is counted", func() string { return fmt.Sprintf("%d before doors, %d wait", out, len(p.outside)) })
}

// there is how many of a line have not left it.
func (l *line) there(waits map[ID]*waiter) (n int) {
	for _, w := range l.list[l.head:] {
		if w != nil && !w.gone && waits[w.id] == w {
			n++
		}
	}
	return n
}
