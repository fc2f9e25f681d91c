// Package message is what poolers and the voter that leads tell each other about credit.
package message

import "beechgrade/internal/cluster/credit/ledger"

// Ask is a pooler's, about one account. Sums are since the account was opened.
type Ask struct {
	Key      ledger.Key
	Seq      uint32
	Spent    int64
	Returned int64
	Want     int64 // more, for what will come
	Need     int64 // of it, what waits already
	Rate     int64 // spent a second, lately
	Final    bool  // nothing is spent any more: Spent is the last word
	Heir     bool  // Final: found in the files of a process that is no more; without a tenant: it has accounts
	Rest     bool  // ...of which nothing was spent that was not told
}

// Answer is the leader's, about one account.
type Answer struct {
	Key     ledger.Key
	Seq     uint32 // of the last Ask that the log has
	Granted int64
	Closed  bool  // there is no such account, and never will be
	Ended   bool  // its end is past: it waits for the last word
	Left    int64 // of the tenant's funds, lent or not
	Full    int64 // the same after its last payment
	Call    bool  // no answer: others need what is here beyond Keep
	Keep    int64
}

// MostItems is how many of them a message may have.
const MostItems = 64
