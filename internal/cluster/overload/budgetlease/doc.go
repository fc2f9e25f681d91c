// Package budgetlease has poolers lend each other what a group of servers may be sent twice. Calls in, actions out: no I/O, no clock, no goroutines.
//
// # The rule that adds up without talking
//
// Each pooler's decision module earns, for each group, a part of its own first attempts, and its part of a floor; each copy, and each
// repeat of what may have run, costs one (account.Repeats). So the sum over all poolers is bounded though nobody has said a word.
// But who has one request in a second earns one repeat in ten seconds, and it is not always those who need one who have it.
//
// # What is lent
//
// Each group has a bank: the first process of the view by rendezvous hashing of its block of Block groups. Every Period a pooler that lacks
// nothing gives what it has beyond Keep to the bank. One that lacks asks the bank, again after Again at the soonest, and is given what the
// bank has, at most as many as it has requests that lack. A bank that is no bank any more by its view gives all it has to the next.
//
// A loan is taken off before it is sent and counted once where it arrives, by its sender's number: what is lost, or comes a second time or
// overtaken, is gone. So the sum of all purses, vaults and what is on its way never grows by lending, whatever links and processes do, and
//
//	repeats of a group, ever <= Part * first attempts + Floor/Siblings * processes * (1 + time/Span)    (account.Repeats.Most)
//
// holds with lending as without; in any stretch of time, what had been saved up comes on top: at most Settings.Carry.
//
// # What a pooler does that hears nobody
//
// It has what it earns, and nothing else: it asks, and gives, and neither is answered. What it gives is lost to all: at most what it earns beyond
// Keep until its view says that the bank is gone. That is safe: fewer repeats are made than might be.
//
// # Bounds
//
// With d the longest delay of a message, and links well:
//
//	a request that lacks has the bank's loan within Settings.Wait(d) of lacking, if the bank has one;
//	words a second of one pooler: at most Settings.Talk for its groups, and one answer for each question to a bank;
//	a vault holds at most Vault for each group.
//
// # What it does not know
//
// Whether repeats do any good. A group whose servers lose what they are sent needs more than a part of first attempts; that is refused it here,
// as its other servers, too, have only so much room.
package budgetlease
