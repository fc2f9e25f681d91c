// Package lessor is the voters' side of prepaid credit. The lessor of the voter that leads the log decides, based on its ledger, how much
// of a tenant's funds each pooler holds on lease, and responds to the poolers' requests. It is a deterministic state machine: its methods
// return actions, and it has no I/O, clock or goroutines.
//
// # Decisions
//
// Requests are collected for Settings.BatchInterval, and longer if the previous batch is not applied yet, and proposed to the log together.
// In the order of their arrival, requests get what their pooler's queue needs. Beyond that, a request gets what its pooler spends in the
// lease manager's GrantHorizon, limited to the pooler's share, by spend rate, of 1/ShareDivisor of the tenant's available funds. Grants
// therefore shrink as the funds do. Poolers without queued requests return remainders of exhausted funds that are less than one price, and
// the last of the funds is granted to one pooler as a whole. If there are not enough funds for queued requests, the poolers that hold most
// are asked to return half of what they hold.
//
// # Expiry
//
// Clocks of different processes are not compared. A voter proposes the expiry of an account once its own clock has run for ExpiryDelay since
// the voter itself applied the account's last report, or since it started or restored the ledger from a snapshot, if that was later. The
// account has therefore expired at its holder before its expiry is in the log. A new leader proposes it later than the old leader would
// have, by as much as it applied the report later.
//
// # Failures
//
// State that is not in the log is lost with the leader. Poolers then repeat their requests with the same sequence numbers, and the ledger
// applies each request once. A lessor that is not the leader, or cannot reach a majority, grants nothing.
package lessor

import (
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/message"
)

// Settings configure a Lessor. Times are in ms.
type Settings struct {
	BatchInterval     float64 // minimum time between two batches
	ProposalTimeout   float64 // time after which a proposed entry that is not applied counts as lost
	ExpiryDelay       float64 // time from when an account's last report is applied here until its expiry is proposed
	StrandedRetention float64 // time that stranded funds wait for a final report before they count as spent
	RecallWait        float64 // maximum time that a request waits for funds recalled from other poolers
	RecallInterval    float64 // minimum time between two recalls from one account
	DemandWindow      float64 // time for which a pooler's report of its spend rate is valid
	ShareDivisor      float64 // 1/ShareDivisor of a tenant's available funds is shared by spend rate at a time
	MaxEntryBytes     int
}

// Defaults returns settings for a fleet in one region or a few.
func Defaults() Settings {
	return Settings{
		BatchInterval: 25, ProposalTimeout: 1000, ExpiryDelay: 11000, StrandedRetention: 24 * 3600e3,
		RecallWait: 150, RecallInterval: 100, DemandWindow: 5000, ShareDivisor: 4, MaxEntryBytes: 850,
	}
}

// Payment is a payment in the operators' settings. Its number identifies it among the tenant's payments.
type Payment struct {
	Tenant string
	Number uint64
	Amount int64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions.
const (
	Propose ActionKind = iota // propose Entry to the log
	Respond                   // send Responses to To
)

func (k ActionKind) String() string { return [...]string{"propose", "respond"}[min(k, Respond)] }

// Action is an output of the state machine.
type Action struct {
	Kind      ActionKind
	Entry     []byte
	To        ledger.Holder
	Responses []message.Response
}
