// Package credit lets tenants pay in advance for what all poolers together do for them. Each pooler has one Credit, a module of the
// cluster (package module) with a lease manager (package lease); at a voter of the replicated log it has the ledger (package ledger) and
// the lessor over it (package lessor) as well. Those decide; this package carries the messages between them.
//
// # Bounds
//
// In the operators' unit, with S the most that one pooler may hold of a tenant's funds, d the longest delay of a message and c the longest
// time that the log takes for an entry:
//
//   - Charged above what was paid: nothing; for classes with an overdraft never more than that beside.
//   - Lent to a pooler: what it spends in GrantHorizon, and at most 1/ShareDivisor of the available funds by its share, or what its queue
//     needs; S is the larger.
//   - Stranded: S for each pooler that crashed or is cut off. Of one that comes back, or whose files are found, until its accounts have
//     expired and the final report is in the log: ExpiryDelay + RenewInterval + c + 2*d. Of one whose files are lost for
//     StrandedRetention, after which it counts as spent.
//   - Charged, but not served: of a crashed process what was in flight, and the distance of its last high-water marks (twice a quarter of
//     its accounts at most); without files what it held.
//   - A pooler that hears nobody spends what it holds until Duration after its last answered request, for some classes also what it holds
//     of the overdraft, and then nothing.
//   - A payment opens everywhere within lease.Settings.PaymentPropagation of when the log has it.
//
// # Messages
//
// Requests go to the leader of the log, as far as it is known; a voter that does not lead answers with the leader's name. Each pooler also
// reports which payments its settings have: first a digest of all, and the payments only if the leader has others. The leader answers with
// those that the ledger has.
package credit

import (
	"cmp"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
)

// Settings configure a Credit.
type Settings struct {
	Lease    lease.Settings
	Lessor   lessor.Settings
	Payments []lessor.Payment
	Voters   []string // names of poolers
	Name     string   // of this pooler
	Holder   ledger.Holder
}

// Log is where entries are proposed. What comes of them arrives by Apply and SetLeader.
type Log interface{ Propose(entry []byte) }

// Files keep the high-water marks of each process.
type Files interface {
	Write(write uint64, marks []lease.HighWaterMark)                   // of this process; Credit.MarksPersisted answers
	Read(holder ledger.Holder, done func(marks []lease.HighWaterMark)) // of a process that has ended; done is called on the loop
	Erase(holder ledger.Holder)
}

// Events receives the decisions on queued requests, by their tags.
type Events interface {
	Admit(tag uint64, reservation lease.Reservation)
	Reject(tag uint64)
}

// ComparePayments orders payments by tenant and number.
func ComparePayments(a, b lessor.Payment) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Number, b.Number))
}
