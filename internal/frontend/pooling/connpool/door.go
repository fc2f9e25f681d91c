package connpool

// admissionQueue lets as many transactions of one kind in as there may be connections. The others wait before it, so that nobody
// takes their wait for a server's own time.
type admissionQueue struct {
	waitQueue
	admitted int
}

// Admit asks to be let in with a transaction of some kind: those that came before go first. Exit ends it, in either
// state.
func (p *Pool) Admit(w ID, kind string, now float64) []Action {
	admission := p.admissions[kind]
	if admission == nil {
		admission = &admissionQueue{}
		p.admissions[kind] = admission
	}
	if p.admitted[w] != nil || p.queued[w] != nil {
		return nil
	}
	p.sequence++
	x := &waiter{id: w, server: kind, since: now, sequence: p.sequence}
	admission.waiters = append(admission.waiters, x)
	admission.length++
	p.queued[w] = x
	p.admitQueued(admission)
	if p.queued[w] != nil && len(p.queued) > p.limits.MaxWaiting {
		p.rejectQueued(x)
	}
	return p.takeActions()
}

// Leave tells that a transaction is over, or that its client wants it no more.
func (p *Pool) Leave(w ID) []Action {
	if admission := p.admitted[w]; admission != nil {
		delete(p.admitted, w)
		admission.admitted--
		p.admitQueued(admission)
	} else if x := p.queued[w]; x != nil {
		x.removed = true
		p.admissions[x.server].length--
		delete(p.queued, w)
	}
	return p.takeActions()
}

func (p *Pool) admitQueued(admission *admissionQueue) {
	for w := admission.first(); w != nil && admission.admitted < p.limits.MaxConns+p.limits.Reserve; w = admission.first() {
		w.removed = true
		admission.length--
		admission.admitted++
		delete(p.queued, w.id)
		p.admitted[w.id] = admission
		p.emit(Action{Kind: Admit, Waiter: w.id})
	}
}

func (p *Pool) rejectQueued(w *waiter) {
	w.removed = true
	p.admissions[w.server].length--
	delete(p.queued, w.id)
	p.emit(Action{Kind: Reject, Waiter: w.id})
}

// QueuedTransactions is how many wait to be let in.
func (p *Pool) QueuedTransactions() int { return len(p.queued) }
