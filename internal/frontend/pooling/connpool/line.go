package connpool

type waiter struct {
	id       ID
	server   string
	since    float64
	sequence uint64
	removed  bool // it has left the line and is only not taken out yet
}

// waitQueue is those who wait for one server, in the order of their coming.
type waitQueue struct {
	waiters []*waiter
	head    int
	length  int // that have not gone
}

func (queue *waitQueue) first() *waiter {
	for queue.head < len(queue.waiters) && queue.waiters[queue.head].removed {
		queue.waiters[queue.head] = nil
		queue.head++
	}
	if queue.head == len(queue.waiters) {
		queue.waiters, queue.head = queue.waiters[:0], 0
		return nil
	}
	if queue.head > 256 && queue.head > len(queue.waiters)/2 {
		queue.waiters = queue.waiters[:copy(queue.waiters, queue.waiters[queue.head:])]
		queue.head = 0
	}
	return queue.waiters[queue.head]
}

// fairnessMs is by how much longer those for another server must have waited, for a connection that comes free to make
// room for one of theirs.
const fairnessMs = 100

// OldestWait is since when the one that waits longest does, 0 for nobody.
func (p *Pool) OldestWait() float64 {
	if w := p.longestWaiting(""); w != nil {
		return w.since
	}
	return 0
}

// longestWaiting is who waits longest, for another server than the given one.
func (p *Pool) longestWaiting(but string) (found *waiter) {
	for name, queue := range p.queues {
		if w := queue.first(); w != nil && name != but && (found == nil || w.sequence < found.sequence) {
			found = w
		}
	}
	return found
}

// dequeue takes a waiter out.
func (p *Pool) dequeue(w *waiter) {
	w.removed = true
	delete(p.waiting, w.id)
	if queue := p.queues[w.server]; queue != nil {
		if queue.length--; queue.length == 0 {
			delete(p.queues, w.server)
		}
	}
}

func (p *Pool) rejectWaiter(w *waiter) {
	p.dequeue(w)
	p.emit(Action{Kind: Reject, Server: w.server, Waiter: w.id})
}
