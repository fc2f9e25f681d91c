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
// Each group has a bank: the first process of the view by rendezvous hashing of the group's block of GroupsPerBlock groups. Every
// TransferInterval a pooler without waiting requests transfers its balance beyond OwnReserve to the bank. A pooler with waiting requests
// sends the bank a request, at most one in RequestInterval, and gets the bank's balance, up to the number of its waiting requests. A
// process that is no longer a bank, by its view, transfers its balance as a bank to the next one.
//
// A transfer is deducted before it is sent, and credited at most once where it arrives, by its sender's sequence number: a transfer that is
// lost or reordered is gone, and a duplicate does not count. So the sum of all budgets, balances and transfers in transit never grows by
// lending, however links and processes fail, and
//
//	retries of a group since the start <= AttemptShare * first attempts + Floor/Poolers * processes * (1 + time/Span)
//	    (retrybudget.Settings.MaxRetries)
//
// holds with lending as without it. In any period, the retries saved up before come on top: at most Settings.SavedBound.
//
// # A pooler that receives nothing
//
// It has the retries that it earns, and no others: it sends requests and transfers, and none is answered. Its transfers are lost: at most
// the retries that it earns beyond OwnReserve until its view knows that the bank has ended. That is safe: fewer retries are made than
// allowed.
//
// # Bounds
//
// With d the longest delay of a message, and working links:
//
//	a waiting request gets the bank's transfer within Settings.WaitBound(d), if the bank has a balance;
//	messages a second of one pooler: at most Settings.TrafficBound for its groups, and one answer to each request as a bank;
//	a bank holds at most MaxBankBalance for each group.
//
// # Limitations
//
// It does not know whether retries help. A group whose servers lose requests needs more retries than the share of its first attempts; they
// are denied here, as its other servers have limited capacity too.
package budgetlease
