// Package lessor is the voters' side of prepaid credit: the leader of the log decides, by its ledger, which pooler holds how much of a
// tenant's funds on lease, and responds to requests. It is a deterministic state machine: calls in, actions out, no I/O, clock or
// goroutines.
//
// # Decisions
//
// Requests are gathered for Settings.BatchInterval, or as long as the last entry takes, and proposed to the log as one entry. A request
// gets what its pooler's queue needs, in the order in which requests came; beyond that what the pooler spends in the lease manager's
// GrantHorizon, but never more than its share, by spend rate, of 1/ShareDivisor of the tenant's available funds. So grants shrink as the
// funds do. What is less than one price comes back where nothing is queued, and the last of the funds is granted as a whole. Where a
// queue's need finds nothing, those that hold most are asked to return half of what they hold.
//
// # Expiry
//
// Clocks are not compared. The expiry of an account is proposed once this voter's own clock has run ExpiryDelay since it applied the
// account's last report itself; a voter that has started, or has taken the ledger from a snapshot, counts from then. So no expiry comes
// to the log before it has come to the holder, and a new leader is as late with it as the log was with the entry.
//
// # Failures
//
// What is here and not in the log is lost with the leader: poolers send their requests again, with the same sequence numbers, and the
// ledger applies each once. A lessor that is not the leader, or cannot reach a majority, grants nothing.
package lessor

import (
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// Settings configure a Lessor. Times are in ms.
type Settings struct {
	BatchInterval     float64 // between two entries, at least
	ProposalTimeout   float64 // an entry that is not applied by then is given up
	ExpiryDelay       float64 // from an account's last report here to its expiry
	StrandedRetention float64 // stranded funds wait so long for a final report, and then count as spent
	RecallWait        float64 // a request may wait so long for funds that were recalled from others
	RecallInterval    float64 // between two recalls about an account
	DemandWindow      float64 // a pooler's report of its spend rate counts for so long
	ShareDivisor      float64 // of a tenant's available funds 1/ShareDivisor are shared by spend rate at a time
	MaxEntryBytes     int
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{
		BatchInterval: 25, ProposalTimeout: 1000, ExpiryDelay: 11000, StrandedRetention: 24 * 3600e3,
		RecallWait: 150, RecallInterval: 100, DemandWindow: 5000, ShareDivisor: 4, MaxEntryBytes: 850,
	}
}

// Payment is a payment of the operators' settings. A tenant's payments are told apart by their numbers.
type Payment struct {
	Tenant string
	Number uint64
	Amount int64
}

// ActionKind is what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Propose ActionKind = iota // Entry is to be proposed to the log
	Respond                   // Responses go to To
)

func (k ActionKind) String() string { return [...]string{"propose", "respond"}[min(k, Respond)] }

// Action is an output of the state machine.
type Action struct {
	Kind      ActionKind
	Entry     []byte
	To        ledger.Holder
	Responses []message.Response
}
