// Package lessor is the side of credit that voters have: whoever leads the log decides, with the books before it, what is lent to
// whom, and answers. Events in, actions out: no I/O, no clock, no goroutines.
//
// # What it decides
//
// Asks are gathered for a Beat, or as long as the last entry takes, and put to the log as one entry. An ask gets what waits at its pooler
// already, the first first; beyond that, what the pooler spends in the purse's Span, but never more than its part, by what is spent, of 1/Shrink of
// what the tenant has left. So loans shrink as funds do. What is less than one price where nothing waits comes back, and the last of it is
// lent whole. Where what waits finds nothing, those that hold most are called to give back
// half of what they hold, down to the last of it.
//
// # What it does not know
//
// The time. The end of an account is proposed once this voter's own clock has run Ends since the account's last Seq was applied here. A voter that
// has begun, or taken the books from a snapshot, counts from then. So however far clocks are apart, no end comes to the log before it has come
// to the purse; a new leader is as late with it as the log was with the entry.
//
// # What is lost
//
// What is here and not in the books may be lost with the leader: poolers ask again, with the same numbers, and the log takes each once.
package lessor

import (
	"bytes"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// Settings say how. Times are in ms.
type Settings struct {
	Beat    float64 // between two entries at least
	Again   float64 // an entry that is not heard of is given up after that
	Ends    float64 // from an account's last Seq here to its end
	Keep    float64 // what is stranded waits for somebody who knows, and then is spent
	Patient float64 // an ask may wait for what others were called for
	Recall  float64 // between two calls about an account
	Fresh   float64 // what a pooler told of what it spends counts for so long
	Shrink  float64
	Most    int // bytes of an entry
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{Beat: 25, Again: 1000, Ends: 11000, Keep: 24 * 3600e3, Patient: 150, Recall: 100, Fresh: 5000, Shrink: 4, Most: 850}
}

// Pay is a payment, as the operators' settings have it.
type Pay struct {
	Tenant string
	No     uint64
	Amount int64
}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Propose ActionKind = iota // Entry goes to the log
	Answer                    // Answers go to To
)

// Action is something a bank asks for.
type Action struct {
	Kind    ActionKind
	Entry   []byte
	To      ledger.Holder
	Answers []message.Answer
}

// Bank is a voter's.
type Bank struct {
	set    Settings
	books  *ledger.Ledger
	now    float64
	leads  bool
	asks   []pending
	byKey  map[ledger.Key]int // of asks
	pays   []Pay
	flight [][]byte
	sentAt float64
	queue  []due // accounts by when their last Seq was applied here
	ended  []due // those whose end is past
	demand map[string][]told
	called map[ledger.Key]float64
	out    []Action
}

type pending struct {
	message.Ask
	from  ledger.Holder
	since float64
}

type due struct {
	key ledger.Key
	seq uint32
	at  float64
}

type told struct {
	who  ledger.Holder
	rate int64
	at   float64
}

// New makes a voter's bank over its books.
func New(set Settings, books *ledger.Ledger, now float64) *Bank {
	b := &Bank{set: set, books: books, now: now, demand: map[string][]told{}, called: map[ledger.Key]float64{}, byKey: map[ledger.Key]int{}}
	b.Restored(now)
	return b
}

// Restored tells that the books are other ones: what is lent by them counts from now.
func (b *Bank) Restored(now float64) {
	b.now = max(b.now, now)
	b.queue, b.ended, b.flight = nil, nil, nil
	for _, k := range b.books.All() {
		a, _ := b.books.Account(k)
		if d := (due{k, a.Seq, b.now}); a.Expired {
			b.ended = append(b.ended, d)
		} else {
			b.queue = append(b.queue, d)
		}
	}
}

// Lead tells whether this voter leads.
func (b *Bank) Lead(now float64, leads bool) {
	b.now = max(b.now, now)
	if b.leads != leads {
		b.leads, b.flight, b.asks = leads, nil, nil
		clear(b.byKey)
		clear(b.demand)
	}
}

const mostAsks = 100_000

// Heard takes what a pooler asks.
func (b *Bank) Heard(now float64, from ledger.Holder, asks []message.Ask, out []Action) []Action {
	b.now, b.out = max(b.now, now), out
	for i := range asks {
		if !b.leads || len(b.asks) >= mostAsks || !asks[i].Heir && (asks[i].Key.Holder != from || asks[i].Key.Tenant == "") {
			continue
		}
		p := pending{asks[i], from, b.now}
		if k, ok := b.byKey[p.Key]; !ok {
			b.byKey[p.Key] = len(b.asks)
			b.asks = append(b.asks, p)
		} else if o := &b.asks[k]; p.Seq >= o.Seq || p.Final {
			p.since = o.since
			*o = p
		}
	}
	return b.beat()
}

// Pay takes payments that somebody's settings have.
func (b *Bank) Pay(now float64, pays []Pay, out []Action) []Action {
	b.now, b.out = max(b.now, now), out
	for _, p := range pays {
		if b.leads && !b.books.Taken(p.Tenant, p.No) && len(b.pays) < mostAsks && !slices.Contains(b.pays, p) {
			b.pays = append(b.pays, p)
		}
	}
	return b.beat()
}

// Tick tells that time has gone on.
func (b *Bank) Tick(now float64, out []Action) []Action {
	b.now, b.out = max(b.now, now), out
	return b.beat()
}

// Apply has the books take an entry of the log, and answers those whom it is about.
func (b *Bank) Apply(now float64, index uint64, entry []byte, out []Action) []Action {
	b.now, b.out = max(b.now, now), out
	for _, r := range b.books.Apply(index, entry) {
		switch {
		case r.Kind == ledger.Lend && r.Done:
			b.queue = append(b.queue, due{r.Key, r.Account.Seq, b.now})
		case r.Kind == ledger.Expire && r.Done:
			b.ended = append(b.ended, due{r.Key, r.Account.Seq, b.now})
		}
		if r.Kind == ledger.Payment {
			b.pays = slices.DeleteFunc(b.pays, func(p Pay) bool { return p.Tenant == r.Key.Tenant && p.No == r.No })
		}
		if b.leads && (r.Kind == ledger.Lend || r.Kind == ledger.Final || r.Kind >= ledger.Bar) {
			to := r.Key.Holder
			if r.Heir {
				to = r.No // who told
			}
			w := b.word(r.Key, r.Closed)
			w.Ended = w.Ended || r.Ended
			b.answer(to, w)
		}
	}
	if len(b.queue) > 2*b.sizeOf()+1024 {
		b.queue = slices.DeleteFunc(b.queue, func(d due) bool { return !b.current(d) })
	}
	b.flight = slices.DeleteFunc(b.flight, func(e []byte) bool { return bytes.Equal(e, entry) })
	return b.beat()
}

func (b *Bank) sizeOf() int {
	_, n := b.books.Size()
	return n
}

func (b *Bank) current(d due) bool {
	a, ok := b.books.Account(d.key)
	return ok && a.Seq == d.seq && !a.Expired
}

// word is what the books say about an account.
func (b *Bank) word(k ledger.Key, closed bool) message.Answer {
	a, _ := b.books.Account(k)
	t := b.books.Tenant(k.Tenant)
	return message.Answer{Key: k, Seq: a.Seq, Granted: a.Granted, Closed: closed, Ended: a.Expired, Left: t.Left(), Full: t.Full}
}

func (b *Bank) answer(to ledger.Holder, a message.Answer) {
	for i := len(b.out) - 1; i >= 0; i-- {
		if x := &b.out[i]; x.Kind == Answer && x.To == to && len(x.Answers) < message.MostItems {
			x.Answers = append(x.Answers, a)
			return
		}
	}
	b.out = append(b.out, Action{Kind: Answer, To: to, Answers: []message.Answer{a}})
}

// beat puts what has gathered to the log, when it is time.
func (b *Bank) beat() []Action {
	if !b.leads || b.now < b.sentAt+b.set.Beat || len(b.flight) > 0 && b.now < b.sentAt+b.set.Again {
		return b.out
	}
	ops := b.ends(nil)
	for i, p := range b.pays {
		if i == ledger.MostOps/4 {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.Payment, Key: ledger.Key{Tenant: p.Tenant}, No: p.No, Amount: p.Amount})
	}
	ops = b.lend(ops)
	if len(ops) == 0 {
		return b.out
	}
	b.flight, b.sentAt = nil, b.now
	var entry []byte
	put := func() {
		b.flight = append(b.flight, entry)
		b.out = append(b.out, Action{Kind: Propose, Entry: entry})
		entry = nil
	}
	for i := range ops {
		op := ledger.Encode(ops[i : i+1])
		if entry != nil && len(entry)+len(op) > b.set.Most {
			put()
		}
		entry = append(entry, op...)
	}
	put()
	return b.out
}

// ends are of accounts of which nothing can be spent any more.
func (b *Bank) ends(ops []ledger.Op) []ledger.Op {
	n := 0
	for ; n < len(b.queue) && len(ops) < ledger.MostOps/4; n++ {
		d := b.queue[n]
		if !b.current(d) {
			continue
		}
		if b.now < d.at+b.set.Ends {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.Expire, Key: d.key, Seq: d.seq})
		b.queue = append(b.queue, due{d.key, d.seq, b.now - b.set.Ends + b.set.Again}) // again, if this is lost
	}
	b.queue = b.queue[n:]
	for n = 0; n < len(b.ended) && len(ops) < ledger.MostOps/4; n++ {
		d := b.ended[n]
		if _, ok := b.books.Account(d.key); !ok {
			continue
		}
		if b.now < d.at+b.set.Keep {
			break
		}
		ops = append(ops, ledger.Op{Kind: ledger.Fold, Key: d.key})
		b.ended = append(b.ended, due{d.key, d.seq, b.now - b.set.Keep + b.set.Again})
	}
	b.ended = b.ended[n:]
	return ops
}

// lend decides what those who asked get.
func (b *Bank) lend(ops []ledger.Op) []ledger.Op {
	spare := map[string]int64{} // balance, as it will be
	unmet := map[string]int64{}
	var order []string
	for i := range b.asks { // what is given back in the same entry can be lent by it
		p := &b.asks[i]
		if _, ok := spare[p.Key.Tenant]; !ok {
			spare[p.Key.Tenant] = b.books.Tenant(p.Key.Tenant).Balance
			order = append(order, p.Key.Tenant)
		}
		if a, ok := b.books.Account(p.Key); ok && !a.Expired && p.Seq > a.Seq {
			spare[p.Key.Tenant] += max(0, min(p.Returned, a.Granted-max(a.Spent, p.Spent))-a.Returned)
		}
		b.spends(p)
	}
	var rest []pending
	for i := range b.asks {
		p := &b.asks[i]
		if len(ops) >= ledger.MostOps {
			rest = append(rest, *p)
			continue
		}
		if p.Final {
			op := ledger.Op{Kind: ledger.Final, Key: p.Key, Spent: p.Spent, Heir: p.Heir}
			if p.Heir {
				op.No = p.from
			}
			if p.Key.Tenant == "" {
				op.Kind = ledger.Bar
				if p.Rest {
					op.Kind = ledger.Rest
				}
			}
			ops = append(ops, op)
			continue
		}
		name := p.Key.Tenant
		a, known := b.books.Account(p.Key)
		if known && (a.Expired || p.Seq <= a.Seq) {
			b.answer(p.from, b.word(p.Key, false))
			continue
		}
		can := max(0, spare[name]+p.Key.Depth)
		n := min(can, p.Want, max(p.Need, b.beyondNeed(p, &a, can)))
		n = max(0, n)
		if n < p.Need {
			unmet[name] += p.Need - n
			if b.now < p.since+b.set.Patient && b.others(p) && p.Returned == a.Returned {
				rest = append(rest, *p)
				continue
			}
		}
		if !known && n == 0 {
			b.answer(p.from, b.word(p.Key, false))
			continue
		}
		spare[name] -= n
		ops = append(ops, ledger.Op{Kind: ledger.Lend, Key: p.Key, Seq: p.Seq, Spent: p.Spent, Returned: p.Returned, Amount: n})
	}
	b.asks = rest
	clear(b.byKey)
	for i := range rest {
		b.byKey[rest[i].Key] = i
	}
	for _, name := range order {
		if unmet[name] > 0 {
			b.call(name, unmet[name])
		}
	}
	return ops
}

// others tells whether anybody else has something of what an ask needs.
func (b *Bank) others(p *pending) bool {
	a, _ := b.books.Account(p.Key)
	return b.books.Tenant(p.Key.Tenant).Lent > a.Open()
}

// spends keeps what a pooler says that it spends of a tenant's funds.
func (b *Bank) spends(p *pending) {
	if p.Heir {
		return
	}
	list := b.demand[p.Key.Tenant]
	if len(list) > 0 && list[0].at < b.now-b.set.Fresh {
		list = slices.DeleteFunc(list, func(x told) bool { return x.at < b.now-b.set.Fresh })
	}
	i := slices.IndexFunc(list, func(x told) bool { return x.who == p.from })
	if i < 0 {
		list = append(list, told{who: p.from})
		i = len(list) - 1
	}
	list[i].rate, list[i].at = p.Rate, b.now
	if p.Final && len(list) == 1 {
		delete(b.demand, p.Key.Tenant)
		return
	}
	b.demand[p.Key.Tenant] = list
}

// beyondNeed is the most that a pooler may get beside what waits. Where a part of what is left is less than one unit and nobody holds any of
// it, one gets all that it wants: smaller parts would be of use to nobody.
func (b *Bank) beyondNeed(p *pending, a *ledger.Account, can int64) int64 {
	holds := max(0, a.Granted-max(a.Returned, p.Returned)-max(a.Spent, p.Spent))
	part := b.part(p)
	if part == 0 && holds == 0 && p.Want <= can && !b.others(p) {
		return p.Want
	}
	return part - holds
}

// part is the most that a pooler may hold of what its tenant has left, beside what waits.
func (b *Bank) part(p *pending) int64 {
	t := b.books.Tenant(p.Key.Tenant)
	all := int64(0)
	for _, x := range b.demand[p.Key.Tenant] {
		all += max(1, x.rate)
	}
	return int64(float64(max(0, t.Left()+p.Key.Depth)) / b.set.Shrink * float64(max(1, p.Rate)) / float64(max(1, all)))
}

// call has those who hold most give back half, until so much comes in.
func (b *Bank) call(tenant string, n int64) {
	type holds struct {
		key  ledger.Key
		open int64
	}
	var all []holds
	for _, k := range b.books.Accounts(tenant) {
		i, asks := b.byKey[k]
		needs := asks && b.asks[i].Need > 0
		if a, _ := b.books.Account(k); !needs && !a.Expired && a.Open() > 0 {
			all = append(all, holds{k, a.Open()})
		}
	}
	slices.SortStableFunc(all, func(x, y holds) int { return int(max(-1, min(1, y.open-x.open))) })
	for _, x := range all {
		if n <= 0 {
			return
		}
		if at, ok := b.called[x.key]; ok && b.now < at+b.set.Recall {
			n -= x.open - x.open/2
			continue
		}
		if len(b.called) > mostAsks {
			clear(b.called)
		}
		b.called[x.key] = b.now
		w := b.word(x.key, false)
		w.Call, w.Keep = true, x.open/2
		b.answer(x.key.Holder, w)
		n -= x.open - x.open/2
	}
}
