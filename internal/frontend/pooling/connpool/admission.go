package connpool

// admissionQueue admits as many transactions of one kind as there may be connections. Further transactions wait here, before they request
// a connection, so that their wait does not count as response time of a server.
type admissionQueue struct {
	waitQueue
	admitted int // number of admitted transactions that have not left
}

// Admit queues a transaction of some kind for admission, in the order of arrival. Leave must be called at the end of the transaction, even
// if it was not admitted.
func (p *Pool) Admit(id ID, kind string, now float64) []Action {
	admission := p.admissions[kind]
	if admission == nil {
		admission = &admissionQueue{}
		p.admissions[kind] = admission
	}
	if p.admitted[id] != nil || p.queued[id] != nil {
		return nil
	}
	p.sequence++
	w := &waiter{id: id, key: kind, since: now, sequence: p.sequence}
	admission.add(w)
	p.queued[id] = w
	p.admitQueued(admission)
	if p.queued[id] != nil && len(p.queued) > p.limits.MaxWaiting {
		p.rejectQueued(w)
	}
	return p.takeActions()
}

// Leave reports that an admitted transaction has ended, or that a queued one is withdrawn.
func (p *Pool) Leave(id ID) []Action {
	if admission := p.admitted[id]; admission != nil {
		delete(p.admitted, id)
		admission.admitted--
		p.admitQueued(admission)
	} else if w := p.queued[id]; w != nil {
		p.removeQueued(w)
	}
	return p.takeActions()
}

// admitAll admits the transactions of all kinds that the limits allow.
func (p *Pool) admitAll() {
	for _, admission := range p.admissions {
		p.admitQueued(admission)
	}
}

// admitQueued admits the transactions of one kind that the limits allow.
func (p *Pool) admitQueued(admission *admissionQueue) {
	for w := admission.first(); w != nil && admission.admitted < p.limits.MaxConns+p.limits.Reserve; w = admission.first() {
		p.removeQueued(w)
		admission.admitted++
		p.admitted[w.id] = admission
		p.emit(Action{Kind: Admit, Waiter: w.id})
	}
}

// removeQueued removes a transaction from those that wait for admission.
func (p *Pool) removeQueued(w *waiter) {
	w.removed = true
	p.admissions[w.key].length--
	delete(p.queued, w.id)
}

func (p *Pool) rejectQueued(w *waiter) {
	p.removeQueued(w)
	p.emit(Action{Kind: Reject, Waiter: w.id})
}

// QueuedTransactions returns how many transactions wait for admission.
func (p *Pool) QueuedTransactions() int { return len(p.queued) }
