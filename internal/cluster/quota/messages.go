package quota

// enqueue adds an item to an enqueued message to a process, or to a new one.
func (q *Quota) enqueue(to ID, kind MessageKind, item Item) {
	for _, message := range q.outbox {
		if message.To == to && message.Kind == kind && len(message.Items) < MaxItems {
			message.Items = append(message.Items, item)
			return
		}
	}
	q.outbox = append(q.outbox, &Message{Kind: kind, From: q.self, To: to, Items: []Item{item}})
}

// flush sends the enqueued messages. Messages to this process are handled at once, which may enqueue further ones.
func (q *Quota) flush() {
	for len(q.outbox) > 0 {
		message := q.outbox[0]
		q.outbox = q.outbox[1:]
		if message.To == q.self {
			q.handleMessage(message)
		} else if addr := q.addresses[message.To]; addr != "" {
			q.actions = append(q.actions, Action{Kind: Send, Addr: addr, Message: message})
		}
	}
	q.outbox = nil
}

// handleMessage handles the items for limits that this process has with the same guarantee.
func (q *Quota) handleMessage(message *Message) {
	if message.To != q.self || message.Kind > LeaseRecall || len(message.Items) > MaxItems {
		return
	}
	for i := range message.Items {
		item := &message.Items[i]
		limit := q.byHash[item.LimitHash]
		if limit == nil || !item.valid() {
			continue
		}
		switch {
		case limit.Guarantee == NeverOver && !item.SoonEven:
			q.handleLeaseItem(limit, message, item)
		case limit.Guarantee == SoonEven && item.SoonEven:
			q.handleShareItem(limit, message, item)
		}
	}
}

func (q *Quota) handleLeaseItem(limit *limitState, message *Message, item *Item) {
	switch message.Kind {
	case LeaseRequest:
		q.handleLeaseRequest(limit, message.From, item)
	case LeaseAnswer:
		q.handleLeaseAnswer(limit, message.From, item)
	case LeaseRecall:
		if message.From == limit.votedFor && item.Epoch == limit.votedEpoch {
			limit.reduceTo(item.Units)
			limit.urgent = true
		}
	}
}

func (q *Quota) handleShareItem(limit *limitState, message *Message, item *Item) {
	switch message.Kind {
	case LeaseRequest:
		q.handleShareRequest(limit, message.From, item)
	case LeaseAnswer:
		q.handleShareAnswer(limit, message.From, item)
	}
}
