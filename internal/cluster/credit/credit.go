// Package credit has tenants pay ahead for what all poolers together do for them. Every pooler has one of these, as a part of the fleet (package
// part): its purse (package purse), and at a voter of the log in common the books (package ledger) and the bank over them (package bank). All decisions
// are those packages'; here is what goes between poolers.
//
// # What it promises
//
// In the operators' unit, with n poolers at a time, S the most that one may hold of a tenant's funds, d the longest delay of a message
// and c the longest that the log takes for an entry:
//
//	overspent: 0. What requests are charged is never more than was paid, and for classes with an overdraft never more than that beside;
//	lent to a pooler: at most what it spends in Span, and 1/Shrink of what is left by its part, or what waits there: S is the larger;
//	stranded: at most S for each pooler that crashed or is cut off; of one that comes back, or whose files are found, until its accounts'
//	    ends and the last word, Ends + Renew + c + 2*d; of one whose files are lost for Keep, after which it is spent;
//	charged but not done: of a crashed process what was in flight, and the part by which its last mark was ahead (at most a quarter
//	    of its account, twice); where no files are kept, what it held;
//	who hears nobody spends what it holds until its accounts' ends, Lease from its last ask, by class also what it holds of the
//	    overdraft, and then nothing;
//	a payment opens everywhere within Settings.Opens of when the log has it.
//
// # What it is told and tells
//
// Asks go to the voter that leads, as far as is known; a voter that does not lead says who does. Every pooler tells which payments its
// settings have: first a hash of them all, and only where that differs from the leader's own, the payments. Who leads says which the
// books have.
package credit

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/credit/message"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// Settings say how.
type Settings struct {
	Purse  lease.Settings
	Bank   lessor.Settings
	Pays   []lessor.Pay
	Voters []string // names of poolers
	Name   string   // this one's
	Holder ledger.Holder
}

// Log is where entries are proposed; Apply, Lead and Follow bring what comes of it.
type Log interface{ Propose(entry []byte) }

// Files keep marks, each process's in its own.
type Files interface {
	Write(no uint64, marks []lease.Mark)         // then Written is called with no
	Read(h ledger.Holder, do func([]lease.Mark)) // of a process that is no more
	Erase(h ledger.Holder)
}

// Events are told what becomes of requests that waited.
type Events interface {
	Admit(tag uint64, h lease.Hold)
	Turn(tag uint64)
}

const (
	paysEvery = 500 // ms between two hashes of payments, until they are all in the books
	paysBytes = 1000
	paysPace  = 8 // datagrams of payments in a tick
)

// Credit is a process's.
type Credit struct {
	set    Settings
	net    module.Transport
	log    Log
	files  Files
	events Events

	purse  *lease.Purse
	books  *ledger.Ledger
	bank   *lessor.Bank // nil where this pooler does not vote
	self   view.ID
	addrs  map[string]place // by name
	back   map[ledger.Holder]place
	leader string
	heard  float64 // from the leader
	next   int

	unpaid []lessor.Pay
	digest uint64
	paidAt float64
	tells  bool // the leader has other payments: ours are told
	told   int
	acts   []lease.Action
	left   bool
}

type place struct {
	addr string
	id   view.ID
}

// New makes a process's credit. files may be nil, if marks are off.
func New(set Settings, net module.Transport, log Log, files Files, ev Events) *Credit {
	c := &Credit{set: set, net: net, log: log, files: files, events: ev, addrs: map[string]place{}, back: map[ledger.Holder]place{}}
	c.purse = lease.New(set.Purse, set.Holder, net.Now())
	if slices.Contains(set.Voters, set.Name) {
		c.books = ledger.New()
		c.books.Checks = set.Purse.Checks
		c.bank = lessor.New(set.Bank, c.books, net.Now())
	}
	c.pays(set.Pays)
	return c
}

// pays takes payments as the settings have them.
func (c *Credit) pays(list []lessor.Pay) {
	c.unpaid = slices.Clone(list)
	c.digest, c.tells, c.told = Digest(list), false, 0
}

// Digest is the same for the same payments.
func Digest(list []lessor.Pay) (sum uint64) {
	for _, p := range list {
		b := binary.LittleEndian.AppendUint64([]byte(p.Tenant), p.No)
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(p.Amount)))
	}
	return max(1, sum)
}

// Retune takes settings that have changed: prices, payments, who pays ahead.
func (c *Credit) Retune(set Settings) {
	set.Voters, set.Name, set.Holder = c.set.Voters, c.set.Name, c.set.Holder
	c.set = set
	c.pursed(lease.Retune{Settings: set.Purse})
	c.pays(set.Pays)
}

// Hold asks to let a request in; Settle ends it.
func (c *Credit) Hold(tenant string, class int, session uint64, parts int, tag uint64) (lease.Hold, lease.Verdict) {
	h, v := c.purse.Hold(c.net.Now(), tenant, class, session, parts, tag)
	if v == lease.Wait {
		c.pursed(lease.Tick{}) // it asks at once
	}
	return h, v
}

// Settle ends a request that was let in, and tells what it cost.
func (c *Credit) Settle(h *lease.Hold, d lease.Done) int64 { return c.purse.Settle(h, d) }

// Cancel has a request wait no longer.
func (c *Credit) Cancel(tenant string, tag uint64) { c.purse.Cancel(tenant, tag) }

// Inherit names processes that are no more and left files.
func (c *Credit) Inherit(gone []ledger.Holder) { c.pursed(lease.Inherit{Gone: gone}) }

// Written tells that marks are safe.
func (c *Credit) Written(no uint64) { c.pursed(lease.Marked{No: no}) }

// Standings tell how tenants stand here.
func (c *Credit) Standings() []lease.Standing { return c.purse.Standings() }

// Books are this voter's, nil at others.
func (c *Credit) Books() *ledger.Ledger { return c.books }

// Apply is agreed's Machine's.
func (c *Credit) Apply(index uint64, entry []byte) {
	if c.bank != nil {
		c.banked(c.bank.Apply(c.net.Now(), index, entry, nil))
	}
}

// Snapshot is agreed's Machine's.
func (c *Credit) Snapshot() []byte { return c.books.Snapshot() }

// Restore is agreed's Machine's.
func (c *Credit) Restore(b []byte) error {
	err := c.books.Restore(b)
	c.bank.Restored(c.net.Now())
	return err
}

// Lead tells a voter who leads, as far as it knows; empty for nobody.
func (c *Credit) Lead(name string) {
	if c.leader = name; c.bank != nil {
		c.bank.Lead(c.net.Now(), name != "" && name == c.set.Name)
	}
}

// Kind is part.Part's.
func (c *Credit) Kind() view.Kind { return module.KindCredit }

// UpdateMembers is part.Part's.
func (c *Credit) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	c.self = self
	clear(c.addrs)
	for _, r := range all {
		if r.State <= view.Suspect && slices.Contains(c.set.Voters, r.Name) && r.ID > c.addrs[r.Name].id { // of two processes the younger
			c.addrs[r.Name] = place{r.Addr, r.ID}
		}
	}
	for h, p := range c.back {
		if !slices.ContainsFunc(all, func(r view.Record) bool { return r.ID == p.id }) {
			delete(c.back, h)
		}
	}
	if c.bank != nil {
		for _, r := range all {
			c.back[uint64(r.ID)] = place{r.Addr, r.ID}
		}
	}
}

// Tick is part.Part's.
func (c *Credit) Tick() {
	now := c.net.Now()
	if c.bank != nil {
		c.banked(c.bank.Tick(now, nil))
	}
	c.pursed(lease.Tick{})
	c.payments(now)
}

// Leave is part.Part's. Where files are kept what is here may be spent on by requests that still come to this process; whoever finds
// the files tells the last words.
func (c *Credit) Leave() {
	if c.left = true; !c.set.Purse.Marks {
		c.pursed(lease.Leave{})
	}
}

// Close tells last words: no more requests come.
func (c *Credit) Close() {
	c.left = true
	c.pursed(lease.Leave{})
}

// payments has those that this pooler's settings have, and that the books may not, be told.
func (c *Credit) payments(now float64) {
	if len(c.unpaid) == 0 || now < c.paidAt || c.left {
		return
	}
	if c.books != nil {
		c.unpaid = slices.DeleteFunc(c.unpaid, func(p lessor.Pay) bool { return c.books.Taken(p.Tenant, p.No) })
	}
	if c.bank != nil && c.bank.Leads() {
		c.paidAt = now + paysEvery
		c.banked(c.bank.Pay(now, c.unpaid, nil))
		return
	}
	if c.paidAt = now + paysEvery; !c.tells {
		c.tell(&Message{Digest: c.digest})
		return
	}
	for range paysPace {
		m, size := &Message{}, 0
		for ; c.told < len(c.unpaid) && size < paysBytes; c.told++ {
			m.Pays = append(m.Pays, c.unpaid[c.told])
			size += 24 + len(c.unpaid[c.told].Tenant)
		}
		if len(m.Pays) > 0 {
			c.tell(m)
		}
	}
	if c.told >= len(c.unpaid) {
		c.told = 0
		return
	}
	c.paidAt = now
}

// tell tells whoever leads.
func (c *Credit) tell(m *Message) {
	m.Who = c.set.Holder
	if c.leader == c.set.Name && c.bank != nil {
		c.lead(c.set.Holder, m)
		return
	}
	p, ok := c.addrs[c.leader]
	if now := c.net.Now(); !ok || c.bank == nil && now-c.heard > 2*c.set.Purse.Renew { // whoever votes may know
		c.heard = now
		for range c.set.Voters {
			c.next = (c.next + 1) % len(c.set.Voters)
			if p, ok = c.addrs[c.set.Voters[c.next]]; ok && c.set.Voters[c.next] != c.set.Name {
				if c.bank == nil {
					c.leader = c.set.Voters[c.next]
				}
				break
			}
			ok = false
		}
	}
	if ok {
		c.net.Send(p.addr, p.id, module.KindCredit, m)
	}
}

// Receive is part.Part's.
func (c *Credit) Receive(from view.ID, x any) {
	m := x.(*Message)
	now := c.net.Now()
	switch {
	case m.Reply:
		if m.Leader != "" {
			if slices.Contains(c.set.Voters, m.Leader) && c.bank == nil {
				c.leader = m.Leader
			}
			return
		}
		c.heard = now
		c.reply(m)
	case c.bank == nil:
	case !c.bank.Leads():
		if p := c.placeOf(from); p.addr != "" && c.leader != "" && c.leader != c.set.Name {
			c.net.Send(p.addr, p.id, module.KindCredit, &Message{Reply: true, Who: m.Who, Leader: c.leader})
		}
	default:
		c.back[m.Who] = c.placeOf(from)
		c.lead(m.Who, m)
	}
}

func (c *Credit) placeOf(id view.ID) place { return c.back[uint64(id)] }

// lead does what a pooler asks of who leads.
func (c *Credit) lead(who ledger.Holder, m *Message) {
	now := c.net.Now()
	if len(m.Asks) > 0 {
		c.banked(c.bank.Heard(now, who, m.Asks, nil))
	}
	if m.Digest > 0 {
		r := &Message{Reply: true, Digest: c.digest}
		if all := !slices.ContainsFunc(c.unpaid, func(p lessor.Pay) bool { return !c.books.Taken(p.Tenant, p.No) }); all || m.Digest != c.digest {
			c.reach(who, r)
		}
	}
	if len(m.Pays) > 0 {
		r := &Message{Reply: true}
		for _, p := range m.Pays {
			if c.books.Taken(p.Tenant, p.No) {
				r.Pays = append(r.Pays, p)
			}
		}
		c.reach(who, r)
		c.banked(c.bank.Pay(now, m.Pays, nil))
	}
}

// reach tells a pooler.
func (c *Credit) reach(who ledger.Holder, m *Message) {
	if m.Who = who; who == c.set.Holder {
		c.reply(m)
	} else if p := c.back[who]; p.addr != "" {
		c.net.Send(p.addr, p.id, module.KindCredit, m)
	}
}

// reply takes the leader's word.
func (c *Credit) reply(m *Message) {
	if len(m.Answers) > 0 {
		c.pursed(lease.Heard{Answers: m.Answers})
	}
	switch {
	case m.Digest == 0:
	case m.Digest == c.digest:
		c.unpaid = nil
	case !c.tells:
		c.tells, c.paidAt = true, 0
	}
	if len(m.Pays) > 0 {
		n := len(c.unpaid)
		c.unpaid = slices.DeleteFunc(c.unpaid, func(p lessor.Pay) bool { return slices.Contains(m.Pays, p) })
		c.told = max(0, min(c.told-(n-len(c.unpaid)), len(c.unpaid)))
	}
}

func (c *Credit) banked(acts []lessor.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lessor.Propose:
			c.log.Propose(a.Entry)
		case lessor.Answer:
			for _, x := range packed(a.Answers, func(x *message.Answer) int { return 64 + len(x.Key.Tenant) }) {
				c.reach(a.To, &Message{Reply: true, Answers: x})
			}
		}
	}
}

func (c *Credit) pursed(e lease.Event) {
	acts := c.purse.Handle(c.net.Now(), e, c.acts[:0])
	c.acts = nil // who is told may tell again
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case lease.Tell:
			for _, x := range packed(a.Asks, func(x *message.Ask) int { return 80 + len(x.Key.Tenant) }) {
				c.tell(&Message{Asks: x})
			}
		case lease.Admit:
			c.events.Admit(a.Tag, a.Hold)
		case lease.Turn:
			c.events.Turn(a.Tag)
		case lease.Write:
			c.files.Write(a.No, a.Marks)
		case lease.Read:
			h := a.Holder
			c.files.Read(h, func(m []lease.Mark) { c.pursed(lease.Found{Holder: h, Marks: m}) })
		case lease.Erase:
			c.files.Erase(a.Holder)
		}
	}
	clear(acts)
	c.acts = acts
}

// packed cuts a list so that each part fits a datagram.
func packed[T any](list []T, size func(*T) int) (out [][]T) {
	n := 0
	for i := range list {
		s := size(&list[i])
		if n += s; len(out) == 0 || n > module.MaxBodyBytes-60 {
			out, n = append(out, nil), s
		}
		out[len(out)-1] = append(out[len(out)-1], list[i])
	}
	return out
}

// ByNumber has payments in the order of tenants and numbers.
func ByNumber(a, b lessor.Pay) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.No, b.No))
}
