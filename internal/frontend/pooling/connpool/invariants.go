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
		x.That(!s.barred || len(p.idle[name]) == 0 && p.queues[name] == nil, "pools: nothing idles or waits at a server that is barred", state)
		delete(conns, name)
	}
	x.That(len(conns) == 0 && dialing == p.dialing, "pools: connections by server agree", func() string { return fmt.Sprintf("%v more; %d coming up, counted %d", conns, dialing, p.dialing) })
	x.That(p.assigned || len(p.conns)+p.dialing <= p.limits.MaxConns+p.limits.Reserve, "pools: no more connections than may be", func() string {
		return fmt.Sprintf("%d and %d coming up of %+v", len(p.conns), p.dialing, p.limits)
	})
	waits := 0
	for name, queue := range p.queues {
		waits += queue.length
		x.That(queue.length > 0 && queue.length == queue.countWaiting(p.waiting), "pools: who waits is in line", func() string {
			return fmt.Sprintf("%s: %d in line, counted %d", name, queue.countWaiting(p.waiting), queue.length)
		})
	}
	x.That(waits == len(p.waiting), "pools: who waits is in line", func() string { return fmt.Sprintf("%d in lines, %d wait", waits, len(p.waiting)) })
	in, out := map[*admissionQueue]int{}, 0
	for _, admission := range p.admitted {
		in[admission]++
	}
	for kind, admission := range p.admissions {
		out += admission.length
		x.That(admission.admitted == in[admission] && admission.length == admission.countWaiting(p.queued), "pools: who is let in is counted", func() string {
			return fmt.Sprintf("%s: %d in, counted %d; %d before it, counted %d", kind, in[admission], admission.admitted, admission.countWaiting(p.queued), admission.length)
		})
	}
	x.That(out == len(p.queued), "pools: who is let in is counted", func() string { return fmt.Sprintf("%d before doors, %d wait", out, len(p.queued)) })
}

// countWaiting is how many of a line have not left it.
func (queue *waitQueue) countWaiting(waits map[ID]*waiter) (n int) {
	for _, w := range queue.waiters[queue.head:] {
		if w != nil && !w.removed && waits[w.id] == w {
			n++
		}
	}
	return n
}
