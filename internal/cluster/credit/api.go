// Package credit implements prepaid credit: tenants pay in advance for the work that all poolers together do for them. Each pooler has
// one Credit, which is a module of the cluster (package module) and contains a lease manager (package lease). On a voter of the replicated
// log it also contains the ledger (package ledger) and the lessor that grants from it (package lessor). Those packages make the decisions;
// this one carries messages between them.
//
// # Bounds
//
// Amounts are in the operators' unit. S is the largest amount of a tenant's funds that one pooler may hold, d the longest delay of a
// message, and c the longest time that the log takes to commit an entry.
//
//   - Charged in excess of payments: nothing. Classes with an overdraft may exceed the payments by at most the overdraft.
//   - Lent to one pooler: what it spends in GrantHorizon, limited to its share of 1/ShareDivisor of the available funds, or what its
//     queue needs. S is the larger of the two.
//   - Stranded: S for each pooler that has crashed or is unreachable. If the pooler returns, or its files are found, the funds are stranded
//     until its accounts have expired and the final report is in the log: ExpiryDelay + RenewInterval + c + 2*d. If its files are lost,
//     they are stranded for StrandedRetention and then count as spent.
//   - Charged but not served after a crash: the requests that were in flight, and the gap between the last high-water marks and the
//     actual spending (at most twice a quarter of each account). Without files, everything that the process held.
//   - A pooler that cannot reach the leader spends what it holds, for some classes including the overdraft that it holds, until Duration
//     after it sent its last answered request. After that it spends nothing.
//   - A payment takes effect at every pooler within lease.Settings.PaymentPropagation after the log has committed it.
//
// # Messages
//
// Requests go to the last known leader of the log; a voter that does not lead answers with the leader's name. Each pooler also reports the
// payments in its settings: first a digest of all of them, and the payments themselves only if the leader's digest differs. The leader
// answers with the payments that are in the ledger.
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
	Voters   []string // names of the poolers that vote in the log
	Name     string   // name of this pooler
	Holder   ledger.Holder
}

// Log accepts proposals for the replicated log. Committed entries and leader changes come back through Credit.Apply and Credit.SetLeader.
type Log interface{ Propose(entry []byte) }

// Files stores the high-water marks of each process.
type Files interface {
	Write(write uint64, marks []lease.HighWaterMark)                   // stores this process's marks and then calls Credit.MarksPersisted
	Read(holder ledger.Holder, done func(marks []lease.HighWaterMark)) // reads the marks of an ended process; done is called on the loop
	Erase(holder ledger.Holder)
}

// Events receives the decisions on queued requests, which are identified by their tags.
type Events interface {
	Admit(tag uint64, reservation lease.Reservation)
	Reject(tag uint64)
}

// ComparePayments orders payments by tenant and number.
func ComparePayments(a, b lessor.Payment) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Number, b.Number))
}
