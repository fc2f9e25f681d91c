// Package ledger records what tenants have paid, which part of it is lent to poolers, and what is spent. It is a replicated state machine:
// every voter applies the same entries of the log in the same order and arrives at the same ledger. It has no clock: entries contain no
// times, and their effect does not depend on when they are applied.
//
// # Invariant
//
// For each tenant, in whole numbers of the operators' unit:
//
//	paid = balance + lent + stranded + spent
//
// Lent funds are those that poolers hold and have not reported as spent or returned. Stranded funds are the same for expired accounts: they
// may have been spent, and therefore cannot be lent again until a final report arrives. No funds are lent that another process may still
// spend, so the sum of all charges never exceeds the payments and the configured overdraft, whatever faults occur in clocks, links and
// processes.
//
// # Accounts
//
// An account is the part of a tenant's funds that a pooler holds. Its key consists of the pooler's process, the tenant, the overdraft that
// the account may use, and a generation that the process increments. All amounts that are reported about an account (granted, returned and
// spent) are totals since it was opened, so reports may be repeated or delayed; their sequence numbers show which is newer. An account
// is opened only once: a grant opens an account only if its generation is higher than all that its process opened before.
//
// # Expiry
//
// Poolers stop using an account some time after their last request about it (package lease). The leader proposes its Expire once its own
// clock has run for that time, plus the drift of both clocks, since the leader itself applied the account's last report. Expire names the
// sequence number of that report, and has no effect if there has been a later one. After Expire the account can only shrink. Its own
// process may report the final spending at any time (Close). Another process that has found the account in the files of an ended process
// may do so only after Expire, because the process that wrote the files may only be suspended and resume later.
package ledger

// Holder identifies a process that holds accounts. A restarted pooler is another process, with another number.
type Holder = uint64

// Limits on what the ledger accepts. Amounts are in the operators' unit.
const (
	MaxAmount    = int64(1) << 50 // amount of one operation
	MaxPaid      = int64(1) << 60 // sum of a tenant's payments
	MaxTenants   = 100_000
	MaxAccounts  = 1_000_000
	MaxHolders   = 100_000
	MaxNameBytes = 64   // length of a tenant's name
	MaxOps       = 1024 // operations in one entry
)

// Key identifies an account. It is stored as JSON in the high-water marks of leases.
type Key struct {
	Tenant     string `json:"Tenant"`
	Overdraft  int64  `json:"Depth"` // how far below zero the balance may go for this account
	Holder     Holder `json:"Holder"`
	Generation uint32 `json:"Gen"`
}

// Account is the part of a tenant's funds that a pooler holds. Amounts are totals since it was opened.
type Account struct {
	Granted  int64
	Returned int64
	Spent    int64
	Sequence uint32 // number of the last report
	Expired  bool
}

// Outstanding returns the granted amount that is neither spent nor returned.
func (a *Account) Outstanding() int64 { return a.Granted - a.Returned - a.Spent }

// Tenant is the state of a tenant's funds.
type Tenant struct {
	Paid               int64
	Balance            int64 // funds that can be lent
	Lent               int64
	Stranded           int64
	Spent              int64
	AvailableAtPayment int64 // result of Available after the last payment
	appliedPayments    []numberRange
}

// Available returns the funds that are neither spent nor stranded.
func (t *Tenant) Available() int64 { return t.Balance + t.Lent }

// Kind is the kind of an Op. The numeric values are stored and must not change.
type Kind uint8

// The kinds.
const (
	Payment        Kind = iota + 1 // adds Amount to the balance, once for each Number
	Grant                          // applies an account's report (Sequence, Spent, Returned) and lends up to Amount of the available balance
	Close                          // closes an account with its final Spent
	Expire                         // expires an account if Sequence is still that of its last report
	WriteOff                       // closes an expired account and counts its stranded funds as spent
	Fence                          // prevents an ended process from opening accounts; its open accounts are left to expire
	CloseRemaining                 // does the same as Fence, and closes the expired accounts of the process with their reported spending
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
	Key       Key    // a Payment has only the tenant; Fence and CloseRemaining have only the holder
	Number    uint64 // number of a Payment; with Recovered, the process that reports
	Amount    int64
	Spent     int64
	Returned  int64
	Sequence  uint32
	Recovered bool // the operation is reported by another process than the holder
}

// Result is the outcome of an Op.
type Result struct {
	Op
	Applied    bool    // the operation took effect, now or when it was applied before
	Closed     bool    // the account does not exist and will not be opened again
	AllExpired bool    // for Fence and CloseRemaining: all accounts of the process have expired
	Account    Account // state of the account after the operation
}
