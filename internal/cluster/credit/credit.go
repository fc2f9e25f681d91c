package credit

import (
	"slices"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
	"beechgrade/internal/cluster/module"
	"beechgrade/internal/cluster/view"
)

// Credit is the prepaid credit of one process. It is not safe for concurrent use: only the event loop may call it.
type Credit struct {
	settings  Settings
	transport module.Transport
	log       Log
	files     Files
	events    Events

	leases *lease.Manager
	ledger *ledger.Ledger // nil if this pooler does not vote
	lessor *lessor.Lessor // nil if this pooler does not vote

	self            view.ID
	voters          map[string]endpoint        // voters that can be reached, by name
	holders         map[ledger.Holder]endpoint // where responses are sent; members are also entered by their view.ID
	leader          string                     // last known leader, empty if none is known
	leaderContactAt float64                    // when the leader last responded or the next voter was tried, in ms
	nextVoter       int                        // index in settings.Voters of the voter tried last

	payments     payments
	actionBuffer []lease.Action
	closing      bool
}

// endpoint is the address and ID of another process.
type endpoint struct {
	addr string
	id   view.ID
}

// New returns the credit of a process. files may be nil if no marks are persisted.
func New(settings Settings, transport module.Transport, log Log, files Files, events Events) *Credit {
	c := &Credit{
		settings: settings, transport: transport, log: log, files: files, events: events,
		voters: map[string]endpoint{}, holders: map[ledger.Holder]endpoint{},
	}
	c.leases = lease.New(settings.Lease, settings.Holder, transport.Now())
	if slices.Contains(settings.Voters, settings.Name) {
		c.ledger = ledger.New()
		c.ledger.Checks = settings.Lease.Checks
		c.lessor = lessor.New(settings.Lessor, c.ledger, transport.Now())
	}
	c.payments.set(settings.Payments)
	return c
}

// UpdateSettings applies changed prices, payments and prepaid tenants. Voters, Name and Holder do not change.
func (c *Credit) UpdateSettings(settings Settings) {
	settings.Voters = c.settings.Voters
	settings.Name = c.settings.Name
	settings.Holder = c.settings.Holder
	c.settings = settings
	c.handleLeaseEvent(lease.SettingsChanged{Settings: settings.Lease})
	c.payments.set(settings.Payments)
}

// Reserve decides whether a request is admitted; see lease.Manager.Reserve.
func (c *Credit) Reserve(request lease.AdmissionRequest) (lease.Reservation, lease.Decision) {
	reservation, decision := c.leases.Reserve(c.transport.Now(), request)
	if decision == lease.Queued {
		c.handleLeaseEvent(lease.Tick{}) // requests funds without waiting for the next tick
	}
	return reservation, decision
}

// Settle ends a reservation and returns the charge.
func (c *Credit) Settle(reservation *lease.Reservation, usage lease.Usage) int64 {
	return c.leases.Settle(reservation, usage)
}

// Cancel removes a request from the queue.
func (c *Credit) Cancel(tenant string, tag uint64) { c.leases.Cancel(tenant, tag) }

// Recover settles the accounts of processes that have ended and left files.
func (c *Credit) Recover(holders []ledger.Holder) {
	c.handleLeaseEvent(lease.Recover{Holders: holders})
}

// MarksPersisted reports that the marks of a write, and of all earlier writes, are durable.
func (c *Credit) MarksPersisted(write uint64) {
	c.handleLeaseEvent(lease.MarksPersisted{Write: write})
}

// Statuses returns the state of each active tenant at this process.
func (c *Credit) Statuses() []lease.Status { return c.leases.Statuses() }

// Ledger returns this voter's ledger, or nil if this pooler does not vote.
func (c *Credit) Ledger() *ledger.Ledger { return c.ledger }

// Apply applies a committed entry of the log. It implements raftlog.Machine.
func (c *Credit) Apply(index uint64, entry []byte) {
	if c.lessor != nil {
		c.runLessorActions(c.lessor.Apply(c.transport.Now(), index, entry, nil))
	}
}

// Snapshot encodes the ledger. It implements raftlog.Machine.
func (c *Credit) Snapshot() []byte { return c.ledger.Snapshot() }

// Restore replaces the ledger by that of a snapshot. It implements raftlog.Machine.
func (c *Credit) Restore(snapshot []byte) error {
	err := c.ledger.Restore(snapshot)
	c.lessor.LedgerRestored(c.transport.Now())
	return err
}

// SetLeader sets the name of the pooler that leads the log, as this voter knows it; an empty name means that there is no known leader.
func (c *Credit) SetLeader(name string) {
	c.leader = name
	if c.lessor != nil {
		c.lessor.SetLeader(c.transport.Now(), name != "" && name == c.settings.Name)
	}
}

// Close sends the final reports. No requests may follow.
func (c *Credit) Close() {
	c.closing = true
	c.handleLeaseEvent(lease.Shutdown{})
}

// handleAsLeader handles the requests and payments in a message that a pooler sent to the leader.
func (c *Credit) handleAsLeader(holder ledger.Holder, m *Message) {
	now := c.transport.Now()
	if len(m.Requests) > 0 {
		c.runLessorActions(c.lessor.HandleRequests(now, holder, m.Requests, nil))
	}
	if m.PaymentDigest > 0 {
		if m.PaymentDigest != c.payments.digest || c.allPaymentsApplied() {
			c.sendToHolder(holder, &Message{Reply: true, PaymentDigest: c.payments.digest})
		}
	}
	if len(m.Payments) > 0 {
		c.sendToHolder(holder, &Message{Reply: true, Payments: c.appliedOf(m.Payments)})
		c.runLessorActions(c.lessor.AddPayments(now, m.Payments, nil))
	}
}

// handleReply handles a reply from the leader.
func (c *Credit) handleReply(m *Message) {
	if len(m.Responses) > 0 {
		c.handleLeaseEvent(lease.ResponsesReceived{Responses: m.Responses})
	}
	if m.PaymentDigest != 0 {
		c.payments.handleDigest(m.PaymentDigest)
	}
	if len(m.Payments) > 0 {
		c.payments.confirm(m.Payments)
	}
}

func (c *Credit) runLessorActions(actions []lessor.Action) {
	for _, action := range actions {
		switch action.Kind {
		case lessor.Propose:
			c.log.Propose(action.Entry)
		case lessor.Respond:
			for _, responses := range splitByDatagram(action.Responses, responseBytes) {
				c.sendToHolder(action.To, &Message{Reply: true, Responses: responses})
			}
		}
	}
}

func (c *Credit) handleLeaseEvent(event lease.Event) {
	actions := c.leases.Handle(c.transport.Now(), event, c.actionBuffer[:0])
	c.actionBuffer = nil // running an action may call handleLeaseEvent again
	for i := range actions {
		c.runLeaseAction(&actions[i])
	}
	clear(actions)
	c.actionBuffer = actions
}

func (c *Credit) runLeaseAction(action *lease.Action) {
	switch action.Kind {
	case lease.SendRequests:
		for _, requests := range splitByDatagram(action.Requests, requestBytes) {
			c.sendToLeader(&Message{Requests: requests})
		}
	case lease.Admit:
		c.events.Admit(action.Tag, action.Reservation)
	case lease.Reject:
		c.events.Reject(action.Tag)
	case lease.PersistMarks:
		c.files.Write(action.Write, action.Marks)
	case lease.ReadMarks:
		holder := action.Holder
		c.files.Read(holder, func(marks []lease.HighWaterMark) {
			c.handleLeaseEvent(lease.MarksRead{Holder: holder, Marks: marks})
		})
	case lease.EraseMarks:
		c.files.Erase(action.Holder)
	}
}
