package connpool

// waiter is a request for a connection, or a transaction that waits for admission.
type waiter struct {
	id       ID
	key      string // the server, or the kind of transaction
	since    float64
	sequence uint64 // orders waiters by their arrival
	removed  bool   // logically removed; the queue drops it later
}

// compactAfter is the number of removed waiters at the head beyond which a queue is compacted, if they are also more than half of it.
const compactAfter = 256

// waitQueue is a queue of waiters, oldest first.
type waitQueue struct {
	waiters []*waiter
	head    int // the waiters before this index were removed
	length  int // waiters that were not removed
}

func (queue *waitQueue) add(w *waiter) {
	queue.waiters = append(queue.waiters, w)
	queue.length++
}

// first returns the oldest waiter, nil if there is none.
func (queue *waitQueue) first() *waiter {
	for queue.head < len(queue.waiters) && queue.waiters[queue.head].removed {
		queue.waiters[queue.head] = nil
		queue.head++
	}
	if queue.head == len(queue.waiters) {
		queue.waiters = queue.waiters[:0]
		queue.head = 0
		return nil
	}
	if queue.head > compactAfter && queue.head > len(queue.waiters)/2 {
		queue.waiters = queue.waiters[:copy(queue.waiters, queue.waiters[queue.head:])]
		queue.head = 0
	}
	return queue.waiters[queue.head]
}

// fairnessMs is how much longer a waiter must have waited than those for another server, before a connection to that other server is
// closed in its favour.
const fairnessMs = 100

// OldestWait returns the time at which the longest wait for a connection began, 0 if nobody waits.
func (p *Pool) OldestWait() float64 {
	if w := p.longestWaiting(""); w != nil {
		return w.since
	}
	return 0
}

// longestWaiting returns the waiter that has waited longest for a server other than the given one, nil if there is none.
func (p *Pool) longestWaiting(except string) (longest *waiter) {
	for name, queue := range p.queues {
		if w := queue.first(); w != nil && name != except && (longest == nil || w.sequence < longest.sequence) {
			longest = w
		}
	}
	return longest
}

// dequeue removes a waiter for a connection.
func (p *Pool) dequeue(w *waiter) {
	w.removed = true
	delete(p.waiting, w.id)
	queue := p.queues[w.key]
	if queue == nil {
		return
	}
	queue.length--
	if queue.length == 0 {
		delete(p.queues, w.key)
	}
}

func (p *Pool) rejectWaiter(w *waiter) {
	p.dequeue(w)
	p.emit(Action{Kind: Reject, Server: w.key, Waiter: w.id})
}
