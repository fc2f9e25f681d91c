// Package budgetlease lets poolers lend each other the retries that they may send to a group of servers. It is a state machine: calls go
// in, actions come out. It does no I/O, reads no clock and starts no goroutines.
//
// # The limit that needs no messages
//
// For each group the decision module of a pooler earns a fraction of a retry with each of its own first attempts, and its part of a floor;
// each hedged request, and each retry of an attempt that may have run, takes one retry (package retrybudget). So the sum over all poolers
// is bounded without any message. But a pooler with one request a second earns one retry in ten seconds, and the poolers that need retries
// are not always those that have earned them.
//
// # Lending
//
// Each block of GroupsPerBlock groups has an owner: the process that rendezvous hashing of the block selects from the view. The owner holds
// a balance for each group of the block. Every TransferInterval a pooler without waiting requests transfers its budget beyond OwnReserve to
// the owner. A pooler with waiting requests sends the owner a request, at most one in RequestInterval, and gets the owner's balance, up to
// the number of its waiting requests. A process that by its view no longer owns a block transfers the block's balances to the new owner.
//
// A transfer is deducted before it is sent, and credited at most once where it arrives, by its sender's sequence number: a transfer that is
// lost or reordered is gone, and a duplicate does not count. So the sum of all budgets, owners' balances and transfers in transit never
// grows by lending, however links and processes fail, and
//
//	retries of a group since the start <= AttemptShare * first attempts + Floor/Poolers * processes * (1 + time/Span)
//	    (retrybudget.Settings.MaxRetries)
//
// holds with lending as without it. In any period, the retries saved up before come on top: at most Settings.SavedBound.
//
// # A pooler that receives nothing
//
// It has the retries that it earns, and no others: it sends requests and transfers, and none is answered. Its transfers are lost: at most
// the retries that it earns beyond OwnReserve until its view knows that the owner has ended. That is safe: fewer retries are made than
// allowed.
//
// # Bounds
//
// With d the longest delay of a message, and working links:
//
//	a waiting request gets the owner's transfer within Settings.WaitBound(d), if the owner has a balance;
//	messages a second of one pooler: at most Settings.TrafficBound for its groups, and one answer to each request to it as an owner;
//	an owner holds at most MaxOwnerBalance for each group.
//
// # Limitations
//
// It does not know whether retries help. A group whose servers lose requests needs more retries than the share of its first attempts; they
// are denied here, as its other servers have limited capacity too.
package budgetlease
