// Package message is what poolers and the voter that leads tell each other about credit.
package message

import "beechgrade/internal/cluster/credit/ledger"

// Request is a pooler's, about one account. Sums are since the account was opened.
type Request struct {
	Key       ledger.Key
	Sequence  uint32
	Spent     int64
	Returned  int64
	Requested int64 // more, for what will come
	Queued    int64 // of it, what waits already
	SpendRate int64 // spent a second, lately
	Final     bool  // nothing is spent any more: Spent is the last word
	Recovered bool  // Final: found in the files of a process that is no more; without a tenant: it has accounts
	MarksRead bool  // ...of which nothing was spent that was not told
}

// Response is the leader's, about one account.
type Response struct {
	Key                ledger.Key
	Sequence           uint32 // of the last Ask that the log has
	Granted            int64
	Closed             bool  // there is no such account, and never will be
	Expired            bool  // its end is past: it waits for the last word
	Available          int64 // of the tenant's funds, lent or not
	AvailableAtPayment int64 // the same after its last payment
	Recall             bool  // no answer: others need what is here beyond Keep
	Retain             int64
}

// MaxItems is how many of them a message may have.
const MaxItems = 64
