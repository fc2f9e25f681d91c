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
	Lease    lease.Settings
	Lessor   lessor.Settings
	Payments []lessor.Payment
	Voters   []string // names of poolers
	Name     string   // this one's
	Holder   ledger.Holder
}

// Log is where entries are proposed; Apply, Lead and Follow bring what comes of it.
type Log interface{ Propose(entry []byte) }

// Files keep marks, each process's in its own.
type Files interface {
	Write(no uint64, marks []lease.HighWaterMark)         // then Written is called with no
	Read(h ledger.Holder, do func([]lease.HighWaterMark)) // of a process that is no more
	Erase(h ledger.Holder)
}

// Events are told what becomes of requests that waited.
type Events interface {
	Admit(tag uint64, h lease.Reservation)
	Reject(tag uint64)
}

const (
	paymentsInterval       = 500 // ms between two hashes of payments, until they are all in the books
	paymentsMessageBytes   = 1000
	paymentMessagesPerTick = 8 // datagrams of payments in a tick
)

// Credit is a process's.
type Credit struct {
	settings Settings
	net      module.Transport
	log      Log
	files    Files
	events   Events

	leases          *lease.Manager
	ledger          *ledger.Ledger
	lessor          *lessor.Lessor // nil where this pooler does not vote
	self            view.ID
	voters          map[string]endpoint // by name
	holders         map[ledger.Holder]endpoint
	leader          string
	leaderContactAt float64 // from the leader
	nextVoter       int

	unconfirmed         []lessor.Payment
	paymentDigest       uint64
	nextPaymentsAt      float64
	leaderLacksPayments bool // the leader has other payments: ours are told
	paymentsSent        int
	actionBuffer        []lease.Action
	closing             bool
}

type endpoint struct {
	addr string
	id   view.ID
}

// New makes a process's credit. files may be nil, if marks are off.
func New(set Settings, net module.Transport, log Log, files Files, ev Events) *Credit {
	c := &Credit{settings: set, net: net, log: log, files: files, events: ev, voters: map[string]endpoint{}, holders: map[ledger.Holder]endpoint{}}
	c.leases = lease.New(set.Lease, set.Holder, net.Now())
	if slices.Contains(set.Voters, set.Name) {
		c.ledger = ledger.New()
		c.ledger.Checks = set.Lease.Checks
		c.lessor = lessor.New(set.Lessor, c.ledger, net.Now())
	}
	c.setPayments(set.Payments)
	return c
}

// setPayments takes payments as the settings have them.
func (c *Credit) setPayments(list []lessor.Payment) {
	c.unconfirmed = slices.Clone(list)
	c.paymentDigest, c.leaderLacksPayments, c.paymentsSent = PaymentDigest(list), false, 0
}

// PaymentDigest is the same for the same payments.
func PaymentDigest(list []lessor.Payment) (sum uint64) {
	for _, p := range list {
		b := binary.LittleEndian.AppendUint64([]byte(p.Tenant), p.Number)
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(p.Amount)))
	}
	return max(1, sum)
}

// UpdateSettings takes settings that have changed: prices, payments, who pays ahead.
func (c *Credit) UpdateSettings(set Settings) {
	set.Voters, set.Name, set.Holder = c.settings.Voters, c.settings.Name, c.settings.Holder
	c.settings = set
	c.handleLeaseEvent(lease.SettingsChanged{Settings: set.Lease})
	c.setPayments(set.Payments)
}

// Reserve asks to let a request in; Settle ends it.
func (c *Credit) Reserve(tenant string, class int, session uint64, parts int, tag uint64) (lease.Reservation, lease.Decision) {
	h, v := c.leases.Reserve(c.net.Now(), tenant, class, session, parts, tag)
	if v == lease.Queued {
		c.handleLeaseEvent(lease.Tick{}) // it asks at once
	}
	return h, v
}

// Settle ends a request that was let in, and tells what it cost.
func (c *Credit) Settle(h *lease.Reservation, d lease.Usage) int64 { return c.leases.Settle(h, d) }

// Cancel has a request wait no longer.
func (c *Credit) Cancel(tenant string, tag uint64) { c.leases.Cancel(tenant, tag) }

// Recover names processes that are no more and left files.
func (c *Credit) Recover(gone []ledger.Holder) { c.handleLeaseEvent(lease.Recover{Holders: gone}) }

// MarksPersisted tells that marks are safe.
func (c *Credit) MarksPersisted(no uint64) { c.handleLeaseEvent(lease.MarksPersisted{Write: no}) }

// Statuses tell how tenants stand here.
func (c *Credit) Statuses() []lease.Status { return c.leases.Statuses() }

// Ledger are this voter's, nil at others.
func (c *Credit) Ledger() *ledger.Ledger { return c.ledger }

// Apply is agreed's Machine's.
func (c *Credit) Apply(index uint64, entry []byte) {
	if c.lessor != nil {
		c.runLessorActions(c.lessor.Apply(c.net.Now(), index, entry, nil))
	}
}

// Snapshot is agreed's Machine's.
func (c *Credit) Snapshot() []byte { return c.ledger.Snapshot() }

// Restore is agreed's Machine's.
func (c *Credit) Restore(b []byte) error {
	err := c.ledger.Restore(b)
	c.lessor.LedgerRestored(c.net.Now())
	return err
}

// SetLeader tells a voter who leads, as far as it knows; empty for nobody.
func (c *Credit) SetLeader(name string) {
	if c.leader = name; c.lessor != nil {
		c.lessor.SetLeader(c.net.Now(), name != "" && name == c.settings.Name)
	}
}

// Kind is part.Part's.
func (c *Credit) Kind() view.Kind { return module.KindCredit }

// UpdateMembers is part.Part's.
func (c *Credit) UpdateMembers(self view.ID, all []view.Record, _ view.Counts) {
	c.self = self
	clear(c.voters)
	for _, r := range all {
		if r.State <= view.Suspect && slices.Contains(c.settings.Voters, r.Name) && r.ID > c.voters[r.Name].id { // of two processes the younger
			c.voters[r.Name] = endpoint{r.Addr, r.ID}
		}
	}
	for h, p := range c.holders {
		if !slices.ContainsFunc(all, func(r view.Record) bool { return r.ID == p.id }) {
			delete(c.holders, h)
		}
	}
	if c.lessor != nil {
		for _, r := range all {
			c.holders[uint64(r.ID)] = endpoint{r.Addr, r.ID}
		}
	}
}

// Tick is part.Part's.
func (c *Credit) Tick() {
	now := c.net.Now()
	if c.lessor != nil {
		c.runLessorActions(c.lessor.Tick(now, nil))
	}
	c.handleLeaseEvent(lease.Tick{})
	c.sendPayments(now)
}

// Leave is part.Part's. Where files are kept what is here may be spent on by requests that still come to this process; whoever finds
// the files tells the last words.
func (c *Credit) Leave() {
	if c.closing = true; !c.settings.Lease.PersistMarks {
		c.handleLeaseEvent(lease.Shutdown{})
	}
}

// Close tells last words: no more requests come.
func (c *Credit) Close() {
	c.closing = true
	c.handleLeaseEvent(lease.Shutdown{})
}

// sendPayments has those that this pooler's settings have, and that the books may not, be told.
func (c *Credit) sendPayments(now float64) {
	if len(c.unconfirmed) == 0 || now < c.nextPaymentsAt || c.closing {
		return
	}
	if c.ledger != nil {
		c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(p lessor.Payment) bool { return c.ledger.PaymentApplied(p.Tenant, p.Number) })
	}
	if c.lessor != nil && c.lessor.IsLeader() {
		c.nextPaymentsAt = now + paymentsInterval
		c.runLessorActions(c.lessor.AddPayments(now, c.unconfirmed, nil))
		return
	}
	if c.nextPaymentsAt = now + paymentsInterval; !c.leaderLacksPayments {
		c.sendToLeader(&Message{PaymentDigest: c.paymentDigest})
		return
	}
	for range paymentMessagesPerTick {
		m, size := &Message{}, 0
		for ; c.paymentsSent < len(c.unconfirmed) && size < paymentsMessageBytes; c.paymentsSent++ {
			m.Payments = append(m.Payments, c.unconfirmed[c.paymentsSent])
			size += 24 + len(c.unconfirmed[c.paymentsSent].Tenant)
		}
		if len(m.Payments) > 0 {
			c.sendToLeader(m)
		}
	}
	if c.paymentsSent >= len(c.unconfirmed) {
		c.paymentsSent = 0
		return
	}
	c.nextPaymentsAt = now
}

// sendToLeader tells whoever leads.
func (c *Credit) sendToLeader(m *Message) {
	m.Holder = c.settings.Holder
	if c.leader == c.settings.Name && c.lessor != nil {
		c.handleAsLeader(c.settings.Holder, m)
		return
	}
	p, ok := c.voters[c.leader]
	if now := c.net.Now(); !ok || c.lessor == nil && now-c.leaderContactAt > 2*c.settings.Lease.RenewInterval { // whoever votes may know
		c.leaderContactAt = now
		for range c.settings.Voters {
			c.nextVoter = (c.nextVoter + 1) % len(c.settings.Voters)
			if p, ok = c.voters[c.settings.Voters[c.nextVoter]]; ok && c.settings.Voters[c.nextVoter] != c.settings.Name {
				if c.lessor == nil {
					c.leader = c.settings.Voters[c.nextVoter]
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
			if slices.Contains(c.settings.Voters, m.Leader) && c.lessor == nil {
				c.leader = m.Leader
			}
			return
		}
		c.leaderContactAt = now
		c.handleReply(m)
	case c.lessor == nil:
	case !c.lessor.IsLeader():
		if p := c.endpointOf(from); p.addr != "" && c.leader != "" && c.leader != c.settings.Name {
			c.net.Send(p.addr, p.id, module.KindCredit, &Message{Reply: true, Holder: m.Holder, Leader: c.leader})
		}
	default:
		c.holders[m.Holder] = c.endpointOf(from)
		c.handleAsLeader(m.Holder, m)
	}
}

func (c *Credit) endpointOf(id view.ID) endpoint { return c.holders[uint64(id)] }

// handleAsLeader does what a pooler asks of who leads.
func (c *Credit) handleAsLeader(who ledger.Holder, m *Message) {
	now := c.net.Now()
	if len(m.Requests) > 0 {
		c.runLessorActions(c.lessor.HandleRequests(now, who, m.Requests, nil))
	}
	if m.PaymentDigest > 0 {
		r := &Message{Reply: true, PaymentDigest: c.paymentDigest}
		if all := !slices.ContainsFunc(c.unconfirmed, func(p lessor.Payment) bool { return !c.ledger.PaymentApplied(p.Tenant, p.Number) }); all || m.PaymentDigest != c.paymentDigest {
			c.sendToHolder(who, r)
		}
	}
	if len(m.Payments) > 0 {
		r := &Message{Reply: true}
		for _, p := range m.Payments {
			if c.ledger.PaymentApplied(p.Tenant, p.Number) {
				r.Payments = append(r.Payments, p)
			}
		}
		c.sendToHolder(who, r)
		c.runLessorActions(c.lessor.AddPayments(now, m.Payments, nil))
	}
}

// sendToHolder tells a pooler.
func (c *Credit) sendToHolder(who ledger.Holder, m *Message) {
	if m.Holder = who; who == c.settings.Holder {
		c.handleReply(m)
	} else if p := c.holders[who]; p.addr != "" {
		c.net.Send(p.addr, p.id, module.KindCredit, m)
	}
}

// handleReply takes the leader's word.
func (c *Credit) handleReply(m *Message) {
	if len(m.Responses) > 0 {
		c.handleLeaseEvent(lease.ResponsesReceived{Responses: m.Responses})
	}
	switch {
	case m.PaymentDigest == 0:
	case m.PaymentDigest == c.paymentDigest:
		c.unconfirmed = nil
	case !c.leaderLacksPayments:
		c.leaderLacksPayments, c.nextPaymentsAt = true, 0
	}
	if len(m.Payments) > 0 {
		n := len(c.unconfirmed)
		c.unconfirmed = slices.DeleteFunc(c.unconfirmed, func(p lessor.Payment) bool { return slices.Contains(m.Payments, p) })
		c.paymentsSent = max(0, min(c.paymentsSent-(n-len(c.unconfirmed)), len(c.unconfirmed)))
	}
}

func (c *Credit) runLessorActions(acts []lessor.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lessor.Propose:
			c.log.Propose(a.Entry)
		case lessor.Respond:
			for _, x := range splitByDatagram(a.Responses, func(x *message.Response) int { return 64 + len(x.Key.Tenant) }) {
				c.sendToHolder(a.To, &Message{Reply: true, Responses: x})
			}
		}
	}
}

func (c *Credit) handleLeaseEvent(e lease.Event) {
	acts := c.leases.Handle(c.net.Now(), e, c.actionBuffer[:0])
	c.actionBuffer = nil // who is told may tell again
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case lease.SendRequests:
			for _, x := range splitByDatagram(a.Requests, func(x *message.Request) int { return 80 + len(x.Key.Tenant) }) {
				c.sendToLeader(&Message{Requests: x})
			}
		case lease.Admit:
			c.events.Admit(a.Tag, a.Reservation)
		case lease.Reject:
			c.events.Reject(a.Tag)
		case lease.PersistMarks:
			c.files.Write(a.Write, a.Marks)
		case lease.ReadMarks:
			h := a.Holder
			c.files.Read(h, func(m []lease.HighWaterMark) { c.handleLeaseEvent(lease.MarksRead{Holder: h, Marks: m}) })
		case lease.EraseMarks:
			c.files.Erase(a.Holder)
		}
	}
	clear(acts)
	c.actionBuffer = acts
}

// splitByDatagram cuts a list so that each part fits a datagram.
func splitByDatagram[T any](list []T, size func(*T) int) (out [][]T) {
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

// ComparePayments has payments in the order of tenants and numbers.
func ComparePayments(a, b lessor.Payment) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Number, b.Number))
}
