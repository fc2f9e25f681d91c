package connpool

type waiter struct {
	id     ID
	server string
	since  float64
	seq    uint64
	gone   bool // it has left the line and is only not taken out yet
}

// line is those who wait for one server, in the order of their coming.
type line struct {
	list []*waiter
	head int
	n    int // that have not gone
}

func (l *line) first() *waiter {
	for l.head < len(l.list) && l.list[l.head].gone {
		l.list[l.head] = nil
		l.head++
	}
	if l.head == len(l.list) {
		l.list, l.head = l.list[:0], 0
		return nil
	}
	if l.head > 256 && l.head > len(l.list)/2 {
		l.list = l.list[:copy(l.list, l.list[l.head:])]
		l.head = 0
	}
	return l.list[l.head]
}

// shareMs is by how much longer those for another server must have waited, for a connection that comes free to make
// room for one of theirs.
const shareMs = 100

// Oldest is since when the one that waits longest does, 0 for nobody.
func (p *Pool) Oldest() float64 {
	if w := p.longest(""); w != nil {
		return w.since
	}
	return 0
}

// longest is who waits longest, for another server than the given one.
func (p *Pool) longest(but string) (found *waiter) {
	for name, l := range p.lines {
		if w := l.first(); w != nil && name != but && (found == nil || w.seq < found.seq) {
			found = w
		}
	}
	return found
}

// depart takes a waiter out.
func (p *Pool) depart(w *waiter) {
	w.gone = true
	delete(p.waits, w.id)
	if l := p.lines[w.server]; l != nil {
		if l.n--; l.n == 0 {
			delete(p.lines, w.server)
		}
	}
}

func (p *Pool) refuse(w *waiter) {
	p.depart(w)
	p.act(Action{Do: Refuse, Server: w.server, Waiter: w.id})
}
