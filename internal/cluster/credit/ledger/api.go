// Package ledger keeps what tenants have paid, which part of it is lent to poolers, and what is spent. It is a replicated state machine:
// every voter applies the same entries of the log in the same order and comes to the same ledger. It has no clock: no entry holds a time,
// and none changes its effect by when it is applied.
//
// # Invariant
//
// For each tenant, in whole numbers of the operators' unit:
//
//	paid = balance + lent + stranded + spent
//
// Lent is what poolers hold and have not reported as spent or returned. Stranded is the same of expired accounts: it counts as spent, since
// it may be, until somebody who knows reports. So nothing is lent that anybody else may still spend: the sum of all charges never exceeds
// what was paid and the stated overdraft, whatever clocks, links and processes do.
//
// # Accounts
//
// What a pooler holds of a tenant's funds is an account: the pooler's process, the tenant, the overdraft that it may draw on, and a
// generation that the process counts up. All that is reported of an account is a sum since it was opened: granted, returned, spent. So it
// does not matter how often or how late a report comes; its sequence number says which is newer. An account is opened once: a generation
// that is not above all that its process has opened before opens nothing.
//
// # Expiry
//
// Poolers stop using an account some time after their last request about it (package lease). The leader proposes its Expire once its own
// clock has run longer than that, and the drift of both, since it applied the account's last report itself; Expire names the report's
// sequence number, and does nothing where there has been another. From then on the account only shrinks. Its own process may report
// what it spent at any time (Close). Another process, which has found the account in the files of one that has ended, is believed only
// after Expire, as the process that wrote them may be asleep and wake up.
package ledger

// Holder is a process that holds accounts, by its number in the view.
type Holder = uint64

// Bounds of what is accepted.
const (
	MaxAmount    = int64(1) << 50 // of one entry
	MaxPaid      = int64(1) << 60 // of a tenant
	MaxTenants   = 100_000
	MaxAccounts  = 1_000_000
	MaxHolders   = 100_000
	MaxNameBytes = 64 // of a tenant
	MaxOps       = 1024
)

// Key names an account. It is stored as JSON within the leases' high-water marks.
type Key struct {
	Tenant     string `json:"Tenant"`
	Overdraft  int64  `json:"Depth"` // how far below zero the balance may go for it
	Holder     Holder `json:"Holder"`
	Generation uint32 `json:"Gen"`
}

// Account is what a pooler holds. Amounts are sums since it was opened.
type Account struct {
	Granted  int64
	Returned int64
	Spent    int64
	Sequence uint32 // of the last report
	Expired  bool
}

// Outstanding is what is neither spent nor returned.
func (a *Account) Outstanding() int64 { return a.Granted - a.Returned - a.Spent }

// Tenant is the state of a tenant's funds.
type Tenant struct {
	Paid               int64
	Balance            int64 // that can be lent
	Lent               int64
	Stranded           int64
	Spent              int64
	AvailableAtPayment int64 // Available after the last payment
	appliedPayments    []numberRange
}

// Available is what is neither spent nor stranded.
func (t *Tenant) Available() int64 { return t.Balance + t.Lent }

// Kind is what an Op does. Its numbers are stored.
type Kind uint8

// The kinds.
const (
	Payment        Kind = iota + 1 // adds Amount to the balance, once for each Number
	Grant                          // takes an account's report: Sequence, Spent and Returned; lends Amount, or what there is of it
	Close                          // closes an account with its final Spent
	Expire                         // expires an account, if Sequence is still its last
	WriteOff                       // closes an expired account: what is stranded in it counts as spent
	Fence                          // keeps a process that has ended from opening accounts; its own are left to expire
	CloseRemaining                 // as Fence, and closes its expired accounts: nothing else was spent of them
)

func (k Kind) String() string {
	names := [...]string{"none", "payment", "grant", "close", "expire", "write off", "fence", "close remaining"}
	if int(k) < len(names) {
		return names[k]
	}
	return "snapshot record"
}

// Op is one operation of an entry.
type Op struct {
	Kind      Kind
	Key       Key    // of a Payment the tenant alone, of Fence and CloseRemaining the holder
	Number    uint64 // of a Payment; with Recovered the process that reports
	Amount    int64
	Spent     int64
	Returned  int64
	Sequence  uint32
	Recovered bool // Close: reported by another process than the holder
}

// Result is what became of an Op.
type Result struct {
	Op
	Applied    bool    // it changed something, or had before
	Closed     bool    // there is no such account, and there never will be
	AllExpired bool    // Fence, CloseRemaining: all the process's accounts have expired
	Account    Account // as it is now
}
