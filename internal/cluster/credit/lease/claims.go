package lease

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// settlementClaim is a final report to be made for a process that has ended. One without a tenant stands for the process itself: it
// has the log fence the process first, and close all its accounts last.
type settlementClaim struct {
	HighWaterMark
	nextRequestAt float64
	marksRead     bool // of a process: its marks were read after all its accounts had expired
}

func (c *settlementClaim) ofProcess() bool { return c.Key.Tenant == "" }

// claim begins to settle what processes that have ended left.
func (m *Manager) claim(holders []ledger.Holder) {
	for _, holder := range holders {
		key := ledger.Key{Holder: holder, Generation: math.MaxUint32}
		m.claims = append(m.claims, settlementClaim{HighWaterMark: HighWaterMark{Key: key}})
	}
}

// appendClaims appends the reports for other processes that are due; a process itself comes after all its accounts.
func (m *Manager) appendClaims(requests []message.Request) []message.Request {
	for i := range m.claims {
		claim := &m.claims[i]
		if m.now < claim.nextRequestAt || claim.ofProcess() && m.claimsAccountOf(claim.Key.Holder) {
			continue
		}
		claim.nextRequestAt = m.now + 2*m.settings.RenewInterval
		requests = append(requests, message.Request{Key: claim.Key, Spent: claim.Spent, Final: true, Recovered: true, MarksRead: claim.marksRead})
	}
	return requests
}

func (m *Manager) claimsAccountOf(holder ledger.Holder) bool {
	return slices.ContainsFunc(m.claims, func(claim settlementClaim) bool { return claim.Key.Holder == holder && !claim.ofProcess() })
}

// handleClaimResponse takes the log's state of what another process left.
func (m *Manager) handleClaimResponse(response *message.Response) {
	i := slices.IndexFunc(m.claims, func(claim settlementClaim) bool { return claim.Key == response.Key })
	if i < 0 {
		return
	}
	claim := m.claims[i]
	switch {
	case response.Closed:
		m.claims = slices.Delete(m.claims, i, i+1)
		if claim.ofProcess() {
			m.actions = append(m.actions, Action{Kind: EraseMarks, Holder: claim.Key.Holder})
		}
	case claim.ofProcess() && response.Expired && !claim.marksRead:
		m.actions = append(m.actions, Action{Kind: ReadMarks, Holder: claim.Key.Holder})
	}
}

// marksRead claims what the marks of a process that has ended have.
func (m *Manager) marksRead(event *MarksRead) {
	i := slices.IndexFunc(m.claims, func(claim settlementClaim) bool { return claim.ofProcess() && claim.Key.Holder == event.Holder })
	if i < 0 || m.claims[i].marksRead {
		return
	}
	m.claims[i].marksRead = true
	m.claims[i].nextRequestAt = 0
	for _, mark := range event.Marks {
		if mark.Key.Holder == event.Holder && mark.Key.Tenant != "" {
			m.claims = append(m.claims, settlementClaim{HighWaterMark: mark})
		}
	}
}
