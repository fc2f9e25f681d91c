// Package message defines the requests and responses that poolers and the leader of the log exchange about accounts of prepaid credit.
// Package credit encodes and decodes them.
package message

import "beechgrade/internal/cluster/credit/ledger"

// MaxItems bounds the requests and responses of one message.
const MaxItems = 64

// Request is sent by a pooler about one account. Amounts are in the operators' unit. Spent and Returned are totals since the account was
// opened, so that requests may be lost, repeated or reordered.
type Request struct {
	Key       ledger.Key
	Sequence  uint32 // number of this request among those about the account
	Spent     int64
	Returned  int64
	Requested int64 // additional funds for the expected spending
	Queued    int64 // the part of Requested that queued requests need
	SpendRate int64 // amount spent per second
	Final     bool  // Spent is final: nothing more will be spent of the account
	Recovered bool  // a Final request from the files of an ended process; without a tenant it concerns that whole process
	MarksRead bool  // in a request about a whole process: everything in its files has been reported
}

// Response is sent by the leader about one account.
type Response struct {
	Key                ledger.Key
	Sequence           uint32 // number of the last Request that is in the log
	Granted            int64  // total since the account was opened
	Closed             bool   // the account does not exist and will not be opened again
	Expired            bool   // the account waits for its final report
	Available          int64  // the tenant's available funds, whether lent or not
	AvailableAtPayment int64  // Available after the tenant's last payment
	Recall             bool   // not an answer to a Request: other poolers need the free funds above Retain
	Retain             int64
}
