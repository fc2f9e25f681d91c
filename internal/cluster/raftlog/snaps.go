package raftlog

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// snaps are snapshots on their way, in parts: one to each voter, one to this.
type snaps struct {
	going  []*going
	coming coming
	parts  uint64
}

type going struct {
	m    *message
	to   string
	seq  uint64
	ref  uint64
	next int
}

type coming struct {
	from, seq, next, count uint64
	data                   []byte
}

const mostParts = (MostSnapshot+(1<<20))/MostChunk + 1

// split sends a message that is too large for a datagram.
func (l *Log) split(m *message) {
	l.going = slices.DeleteFunc(l.going, func(g *going) bool { return g.m.to == m.to })
	l.parts++
	g := &going{m: m, to: l.nameOf(m.to), seq: l.parts}
	l.going = append(l.going, g)
	l.part(g)
}

// part sends the next part.
func (l *Log) part(g *going) {
	addr := l.addr[g.to]
	if addr == "" {
		l.arrived(g, false)
		return
	}
	l.ref++
	g.ref = l.ref
	lo, hi := g.next*MostChunk, min((g.next+1)*MostChunk, len(g.m.data))
	m := &message{verb: verbPart, group: g.m.group, from: g.m.from, to: g.m.to, ref: g.seq, part: uint64(g.next), count: g.count(), data: g.m.data[lo:hi]}
	l.out = append(l.out, Action{Kind: Send, To: g.to, Addr: addr, Message: m.append(nil), Stream: true, Ref: g.ref})
}

func (g *going) count() uint64 { return uint64(max(1, (len(g.m.data)+MostChunk-1)/MostChunk)) }

// sentPart goes on once a part has arrived.
func (l *Log) sentPart(e Sent) {
	i := slices.IndexFunc(l.going, func(g *going) bool { return g.ref == e.Ref })
	if i < 0 {
		return
	}
	g := l.going[i]
	if g.next++; !e.OK || uint64(g.next) == g.count() {
		l.arrived(g, e.OK)
		return
	}
	l.part(g)
}

func (l *Log) arrived(g *going, ok bool) {
	l.going = slices.DeleteFunc(l.going, func(x *going) bool { return x == g })
	status := raft.SnapshotFailure
	if ok {
		status = raft.SnapshotFinish
	}
	if l.node != nil {
		l.node.ReportSnapshot(g.m.to, status)
	}
}

// join puts parts together; nil until the last has come.
func (l *Log) join(m *message) []byte {
	c := &l.coming
	if m.part == 0 && m.count <= mostParts {
		*c = coming{from: m.from, seq: m.ref, count: m.count}
	}
	if c.from != m.from || c.seq != m.ref || c.next != m.part || c.count != m.count || m.count == 0 {
		return nil
	}
	c.data = append(c.data, m.data...)
	if c.next++; c.next < c.count {
		return nil
	}
	data := c.data
	*c = coming{}
	return data
}
