package quota

import "slices"

// onTold is the owner's side of an ask about a limit that is soon even.
func (q *Quota) onTold(l *limit, from ID, it *Item) {
	o := &l.o
	b := o.byID[from]
	if b == nil {
		if len(o.books) >= MostPeers {
			return
		}
		b = &book{id: from}
		o.byID[from] = b
		o.books = append(o.books, b)
	}
	if it.Seq <= b.seq {
		return
	}
	b.seq, b.want, b.at = it.Seq, it.Want, q.now
	o.books = slices.DeleteFunc(o.books, func(x *book) bool {
		if q.now-x.at < q.set.Stale() {
			return false
		}
		delete(o.byID, x.id)
		return true
	})
	n := float64(len(o.books))
	total := 0.0
	for _, x := range o.books {
		total += x.weight(len(o.books))
	}
	q.put(from, Answer, Item{Limit: l.key, Seq: it.Seq, Even: true, Share: n / max(n, float64(q.sending)) * b.weight(len(o.books)) / total})
}

// onShare takes a share: less at once, more once others have made room.
func (q *Quota) onShare(l *limit, from ID, it *Item) {
	a, ok := l.askOf(it.Seq)
	if !ok || from != l.best || it.Share > 1 {
		return
	}
	l.seen, l.sharedAt = it.Seq, a.at
	if it.Share <= l.share {
		l.share, l.riseAt = it.Share, 0
		return
	}
	if l.riseAt == 0 {
		l.riseAt = q.now + q.set.Renew + q.set.Soon
	}
	l.rise = it.Share
}

// turnEven lets a share grow, and gives it up where nobody has answered.
func (q *Quota) turnEven(l *limit) {
	if l.riseAt > 0 && q.now >= l.riseAt {
		l.share, l.riseAt = l.rise, 0
	}
	if q.now-l.sharedAt >= q.set.Stale() {
		l.share, l.riseAt = 1/float64(q.sending), 0
	}
}
