package lease

import (
	"math"
	"slices"

	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// settlementClaim is a final report to be made on behalf of an ended process. A claim without a tenant concerns the whole process: the log
// fences the process at the first report, and closes all its remaining accounts at the last.
type settlementClaim struct {
	HighWaterMark
	nextRequestAt float64
	marksRead     bool // for a claim of a whole process: its marks were read, after all its accounts had expired
}

func (c *settlementClaim) isProcessWide() bool { return c.Key.Tenant == "" }

// claim begins to settle the accounts of ended processes.
func (m *Manager) claim(holders []ledger.Holder) {
	for _, holder := range holders {
		key := ledger.Key{Holder: holder, Generation: math.MaxUint32}
		m.claims = append(m.claims, settlementClaim{HighWaterMark: HighWaterMark{Key: key}})
	}
}

// appendClaims appends the due reports on behalf of ended processes. The report about a whole process is held back while claims for its
// accounts are open.
func (m *Manager) appendClaims(requests []message.Request) []message.Request {
	for i := range m.claims {
		claim := &m.claims[i]
		if m.now < claim.nextRequestAt || claim.isProcessWide() && m.claimsAccountOf(claim.Key.Holder) {
			continue
		}
		claim.nextRequestAt = m.now + 2*m.settings.RenewInterval
		requests = append(requests, message.Request{Key: claim.Key, Spent: claim.Spent, Final: true, Recovered: true, MarksRead: claim.marksRead})
	}
	return requests
}

func (m *Manager) claimsAccountOf(holder ledger.Holder) bool {
	return slices.ContainsFunc(m.claims, func(claim settlementClaim) bool { return claim.Key.Holder == holder && !claim.isProcessWide() })
}

// handleClaimResponse handles the leader's response about an account of an ended process, or about that whole process.
func (m *Manager) handleClaimResponse(response *message.Response) {
	i := slices.IndexFunc(m.claims, func(claim settlementClaim) bool { return claim.Key == response.Key })
	if i < 0 {
		return
	}
	claim := m.claims[i]
	switch {
	case response.Closed:
		m.claims = slices.Delete(m.claims, i, i+1)
		if claim.isProcessWide() {
			m.actions = append(m.actions, Action{Kind: EraseMarks, Holder: claim.Key.Holder})
		}
	case claim.isProcessWide() && response.Expired && !claim.marksRead:
		m.actions = append(m.actions, Action{Kind: ReadMarks, Holder: claim.Key.Holder})
	}
}

// marksRead adds claims for the accounts in the marks of an ended process.
func (m *Manager) marksRead(event *MarksRead) {
	i := slices.IndexFunc(m.claims, func(claim settlementClaim) bool { return claim.isProcessWide() && claim.Key.Holder == event.Holder })
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
