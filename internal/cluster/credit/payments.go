package credit

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/credit/lessor"
)

const (
	paymentsInterval       = 500  // ms between two reports of payments, until all are in the ledger
	paymentsMessageBytes   = 1000 // approximate size of the payments in one message
	paymentMessagesPerTick = 8
)

// payments tracks which payments of this pooler's settings are not yet known to be in the ledger.
type payments struct {
	unconfirmed  []lessor.Payment
	digest       uint64 // digest of all payments in the settings
	nextReportAt float64
	sendAll      bool // the leader's digest differs, so the payments themselves are sent
	sent         int  // how many of unconfirmed were sent in the current round
}

// PaymentDigest returns a digest of payments that does not depend on their order and is never 0.
func PaymentDigest(list []lessor.Payment) uint64 {
	sum := uint64(0)
	for _, payment := range list {
		b := binary.LittleEndian.AppendUint64([]byte(payment.Tenant), payment.Number)
		sum += xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(payment.Amount)))
	}
	return max(1, sum)
}

// set replaces the payments by those of new settings.
func (p *payments) set(list []lessor.Payment) {
	p.unconfirmed = slices.Clone(list)
	p.digest = PaymentDigest(list)
	p.sendAll = false
	p.sent = 0
}

// handleDigest handles the digest of the leader's payments. If it equals this pooler's, all payments are in the ledger; otherwise the
// payments themselves are sent.
func (p *payments) handleDigest(digest uint64) {
	switch {
	case digest == p.digest:
		p.unconfirmed = nil
	case !p.sendAll:
		p.sendAll = true
		p.nextReportAt = 0
	}
}

// confirm drops payments that are in the ledger, as the leader reports.
func (p *payments) confirm(list []lessor.Payment) {
	before := len(p.unconfirmed)
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, func(payment lessor.Payment) bool { return slices.Contains(list, payment) })
	dropped := before - len(p.unconfirmed)
	p.sent = max(0, min(p.sent-dropped, len(p.unconfirmed)))
}

// nextMessage returns the next payments to send, about paymentsMessageBytes of them.
func (p *payments) nextMessage() []lessor.Payment {
	var list []lessor.Payment
	for size := 0; p.sent < len(p.unconfirmed) && size < paymentsMessageBytes; p.sent++ {
		payment := p.unconfirmed[p.sent]
		list = append(list, payment)
		size += paymentOverhead + len(payment.Tenant)
	}
	return list
}

// reportPayments reports to the leader the payments of this pooler's settings that may not be in the ledger yet.
func (c *Credit) reportPayments(now float64) {
	if len(c.payments.unconfirmed) == 0 || now < c.payments.nextReportAt || c.closing {
		return
	}
	if c.ledger != nil {
		c.payments.unconfirmed = slices.DeleteFunc(c.payments.unconfirmed, c.isApplied)
	}
	c.payments.nextReportAt = now + paymentsInterval
	switch {
	case c.lessor != nil && c.lessor.IsLeader():
		c.runLessorActions(c.lessor.AddPayments(now, c.payments.unconfirmed, nil))
	case c.payments.sendAll:
		c.sendPayments(now)
	default:
		c.sendToLeader(&Message{PaymentDigest: c.payments.digest})
	}
}

// sendPayments sends up to paymentMessagesPerTick messages of payments, and continues at the next tick until all were sent.
func (c *Credit) sendPayments(now float64) {
	for range paymentMessagesPerTick {
		if list := c.payments.nextMessage(); len(list) > 0 {
			c.sendToLeader(&Message{Payments: list})
		}
	}
	if c.payments.sent >= len(c.payments.unconfirmed) {
		c.payments.sent = 0
		return
	}
	c.payments.nextReportAt = now
}

func (c *Credit) isApplied(payment lessor.Payment) bool {
	return c.ledger.PaymentApplied(payment.Tenant, payment.Number)
}

func (c *Credit) allPaymentsApplied() bool {
	return !slices.ContainsFunc(c.payments.unconfirmed, func(payment lessor.Payment) bool { return !c.isApplied(payment) })
}

// appliedOf returns those payments of a list that are in the ledger.
func (c *Credit) appliedOf(list []lessor.Payment) []lessor.Payment {
	var applied []lessor.Payment
	for _, payment := range list {
		if c.isApplied(payment) {
			applied = append(applied, payment)
		}
	}
	return applied
}
