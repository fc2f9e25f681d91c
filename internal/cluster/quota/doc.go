// Package quota decides how much of a fleet-wide limit each pooler may use. Every pooler runs one Quota; together they divide the limits
// by demand. It is a state machine: events go in, actions come out. It does no I/O, reads no clock and starts no goroutines.
//
// # Guarantee NeverOver
//
// A limit is divided into units (Limit.Partition). Reserved of these belong to each pooler unconditionally; the rest, the pool, is
// leased out by an owner: the first of the reachable processes by rendezvous hashing of the limit's name. Each pooler sends the owner a
// request about every RenewInterval. A request is a vote: for VoteDuration from its sending the pooler votes for no other owner and
// takes leases from no other. An owner leases units only while more than half of ExpectedPoolers have voted for it, so no two owners
// ever do at the same time, whatever each side of a partition believes. A process that has just started does not vote until any vote
// of its previous incarnation has expired.
//
// Uncertain times are counted on the safe side. A pooler counts its lease from when it sent the request, the owner counts the lease's
// end from when it answered. A pooler counts its vote from when it voted, the owner from the time, on its own clock, that the vote
// brings back. Clocks run at most ClockDrift off true time, so a process that waits for the span of another waits LocalWait of it.
//
// For each pooler the owner accounts for the most that the pooler can come to hold by any answer that it may still take: an answer that
// was lost, delayed or duplicated counts until the pooler reports which one it took last. An owner that has lost its majority starts
// again, with a higher epoch and no accounts. A new owner knows nothing of the pool: it leases what remains once old leases must have
// expired. But each pooler reports with its vote what it holds, and may keep that at once, as no other pooler can have been leased it.
//
// # Guarantee SoonEven
//
// Each pooler reports its demand to the owner and receives its share: its part of all reported demand, of the amount times the part
// of the fleet that reports. A share that falls does so at once; one that grows waits for RenewInterval, so that others have made room.
// There are no votes: each side of a partition has its own owner, which divides its side's part.
//
// # A pooler that receives nothing
//
// NeverOver: it keeps its lease until the lease ends, and then has its Reserved units. The Reserved units of all poolers and the pool
// make up the limit, so they may be used without asking, and the lease is in its owner's accounts until then. SoonEven: after
// StaleAfter it takes one part of as many poolers as may be sending, up or down, so it is not starved.
//
// # Bounds
//
// With L the amount, B the burst, n = ExpectedPoolers, d the longest delay of a message, and at most n processes at a time:
//
//	NeverOver: uses in any W seconds are at most L*W + B; concurrent uses at most L (whatever the links do);
//	under while cut off: the Reserved units remain, from LeaseDuration after the last answered request on;
//	a lease of a crashed pooler is leased again within LocalWait(LeaseDuration) + UseTimeout + TickInterval (Settings.ReclaimBound);
//	after an owner's crash all is leased again within Settings.TakeoverBound of when all processes know it; existing leases continue
//	    meanwhile where LeaseDuration is longer than the view's DetectionBound + Settings.ElectionBound;
//	a share follows demand within Settings.DemandBound while links work;
//	a lowered limit binds as soon as the last pooler knows it, except for what was leased by then: within Settings.ReclaimBound of that;
//	SoonEven: with working links at most L; after a fault at most 2*L, for Settings.OvershootBound; in a partition that is longer than
//	    the view's SendingTimeout, L plus the parts of those on the smaller sides.
package quota
