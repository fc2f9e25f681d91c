package incident

import (
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

type chainKey struct {
	class   int
	group   int64
	session uint64
}

// chain is what a client asked once, with the tries that followed.
type chain struct {
	key    chainKey
	class  *class
	group  *group
	first  float64
	last   float64 // its last try's end
	open   int     // tries without an answer
	mask   uint16
	final  recordpb.Final
	reason record.Reason
	lost   bool // a try's answer is unknown
	done   bool
	queued bool
	tries  int
}

// earlier finds the chain that a client's repeat belongs to: the oldest that has no answer it could live with.
func (m *Model) earlier(key chainKey, at float64) *chain {
	var other *chain
	for _, c := range m.chains[key] {
		switch {
		case c.done || at-c.last > retryMs && c.open == 0:
		case c.open == 0:
			return c
		case other == nil:
			other = c
		}
	}
	return other
}

func (m *Model) file(c *chain) {
	if m.nChains >= maxChains {
		m.retryLost++
		return
	}
	m.nChains++
	m.chains[c.key] = append(m.chains[c.key], c)
}

func (m *Model) unfile(c *chain) {
	list := m.chains[c.key]
	i := slices.Index(list, c)
	if i < 0 {
		return
	}
	m.nChains--
	if len(list) == 1 {
		delete(m.chains, c.key)
		return
	}
	m.chains[c.key] = slices.Delete(list, i, i+1)
}

// served books the worth of an answer.
func (m *Model) served(ch *chain, at float64) {
	if ch.done {
		return
	}
	ch.done = true
	c, took := ch.class, at-ch.first
	got := c.Worth
	if took > c.AimMs {
		got = c.Worth * c.LateWorth
		c.Late++
	} else {
		c.InTime++
		c.WorthInTime += got
	}
	c.WorthGot += got
	if math.Abs(took-c.AimMs) <= borderMs {
		c.Border++
		c.WorthBorder += c.Worth * (1 - c.LateWorth)
	}
	m.cell(c, ch.first).got += float32(got)
	c.window.Add(ch.first, 0, got)
	m.service.Add(ch.first, 0, got)
	if got < c.Worth {
		ch.final = recordpb.Final_FINAL_SERVED
		m.blame(ch, c.Worth-got, at)
	}
	m.unfile(ch)
}

// wait keeps a chain whose try was not served until its client has had the time to ask again.
func (m *Model) wait(ch *chain) {
	if !ch.done && !ch.queued {
		ch.queued = true
		m.waiting.push(ch)
	}
}

// giveUp books a request whose answer is not in the records.
func (m *Model) giveUp(x *run, q *request, at float64) {
	q.class.Unknown++
	m.cell(q.class, q.at).unknown++
	m.unknowns++
	if len(m.unknown) < maxUnknown {
		m.unknown = append(m.unknown, Unknown{At: q.at, Pooler: x.Pooler, Class: q.class.Name, Group: q.group.id, ID: fmt.Sprintf("%016x", q.id)})
	}
	q.chain.open--
	q.chain.mask |= q.mask
	q.chain.lost = true
	q.chain.last = max(q.chain.last, at)
	m.wait(q.chain)
}

// sweep closes what nothing more can come of.
func (m *Model) sweep() {
	m.sweptAt = m.to
	for ch := m.waiting.first(); ch != nil && (ch.done || m.to-ch.last > retryMs); ch = m.waiting.first() {
		m.waiting.pop()
		ch.queued = false
		if ch.done || ch.open > 0 {
			continue
		}
		m.abandon(ch)
	}
	for _, x := range m.runs {
		for n, q := range x.open {
			if m.to-q.until > forgetMs {
				delete(x.open, n)
				m.giveUp(x, q, m.to)
			}
		}
	}
	for _, s := range m.servers {
		s.settle(m)
	}
}

// abandon books a chain that was never served.
func (m *Model) abandon(ch *chain) {
	if ch.done {
		return
	}
	ch.done = true
	m.unfile(ch)
	m.blame(ch, ch.class.Worth, ch.last)
}

// blame books lost worth under the cause that the records show.
func (m *Model) blame(ch *chain, worth float64, end float64) {
	name := ch.group.cause(ch, end)
	c := m.causes[name]
	if c == nil {
		c = &Cause{Name: name, ByClass: map[string]float64{}}
		m.causes[name] = c
	}
	c.Requests++
	c.Worth += worth
	c.ByClass[ch.class.Name] += worth
	ch.group.lose(ch.first, end, worth)
}

// queue holds chains in the order of their ends, about.
type queue struct {
	list []*chain
	head int
}

func (q *queue) push(c *chain) { q.list = append(q.list, c) }

func (q *queue) first() *chain {
	if q.head == len(q.list) {
		return nil
	}
	return q.list[q.head]
}

func (q *queue) pop() {
	q.list[q.head] = nil
	if q.head++; q.head > 1024 && q.head > len(q.list)/2 {
		q.list = q.list[:copy(q.list, q.list[q.head:])]
		q.head = 0
	}
}
