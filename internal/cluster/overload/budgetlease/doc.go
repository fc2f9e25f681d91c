// Package budgetlease lets poolers lend each other the retries that they may send to a group of servers. It is a state machine: calls go in,
// actions come out. It does no I/O, reads no clock and starts no goroutines.
//
// # The limit that needs no messages
//
// For each group the decision module of a pooler earns a part of a retry with each of its own first attempts, and its part of a floor; each
// hedged request, and each retry of an attempt that may have run, takes one (package retrybudget). So the sum over all poolers is bounded
// without any message. But a pooler with one request a second earns one retry in ten seconds, and those that need retries are not always
// those that have them.
//
// # Lending
//
// Each group has a bank: the first process of the view by rendezvous hashing of the group's block of GroupsPerBlock groups. Every TransferInterval a
// pooler without waiting requests transfers what it has beyond OwnReserve to the bank. A pooler with waiting requests asks the bank, again
// after RequestInterval at the earliest, and gets what the bank has, up to the number of its waiting requests. A process that is a bank no
// longer, by its view, transfers all it has to the next one.
//
// A transfer is taken off before it is sent, and counted once where it arrives, by its sender's sequence number: what is lost, duplicated
// or reordered is gone. So the sum of all budgets, balances and transfers in transit never grows by lending, whatever links and processes
// do, and
//
//	retries of a group since the start <= AttemptShare * first attempts + Floor/Siblings * processes * (1 + time/Span)
//	    (retrybudget.Settings.MaxRetries)
//
// holds with lending as without; in any stretch of time, what had been saved up comes on top: at most Settings.SavedBound.
//
// # A pooler that receives nothing
//
// It has what it earns, and nothing else: it sends requests and transfers, and none is answered. What it transfers is lost: at most what it
// earns beyond OwnReserve until its view knows that the bank has ended. That is safe: fewer retries are made than might be.
//
// # Bounds
//
// With d the longest delay of a message, and working links:
//
//	a waiting request has the bank's transfer within Settings.WaitBound(d), if the bank has any;
//	messages a second of one pooler: at most Settings.TrafficBound for its groups, and one answer to each request as a bank;
//	a bank holds at most MaxBankBalance for each group.
//
// # Limitations
//
// It does not know whether retries help. A group whose servers lose what they are sent needs more than a part of its first attempts; that
// is denied here, as its other servers have limited capacity too.
package budgetlease
