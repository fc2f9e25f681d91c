// Package message has what poolers and the leader of the log tell each other about accounts of prepaid credit. Its codec is that of
// package credit.
package message

import "beechgrade/internal/cluster/credit/ledger"

// MaxItems bounds the requests and responses of one message.
const MaxItems = 64

// Request is a pooler's, about one account. Amounts are in the operators' unit; Spent and Returned are sums since the account was
// opened, so that a request may be lost, repeated or overtaken.
type Request struct {
	Key       ledger.Key
	Sequence  uint32 // counts the requests about the account
	Spent     int64
	Returned  int64
	Requested int64 // more, for what will come
	Queued    int64 // the part of Requested that queued requests need
	SpendRate int64 // a second
	Final     bool  // nothing more is spent: Spent is final
	Recovered bool  // Final, and read from the files of a process that has ended; without a tenant it stands for that process
	MarksRead bool  // of such a process: all that its files have is reported
}

// Response is the leader's, about one account.
type Response struct {
	Key                ledger.Key
	Sequence           uint32 // of the last Request that the log has
	Granted            int64  // since the account was opened
	Closed             bool   // there is no such account, and there never will be
	Expired            bool   // the account waits for its final report
	Available          int64  // of the tenant's funds, lent or not
	AvailableAtPayment int64  // the same after the tenant's last payment
	Recall             bool   // it answers no Request: others need what is free here beyond Retain
	Retain             int64
}
