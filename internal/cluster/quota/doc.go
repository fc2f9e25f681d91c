// Package quota decides how much of a fleet-wide limit each pooler may use. Every pooler runs one Quota; together they divide the limits
// according to demand. It is a state machine: events go in, actions come out. It does no I/O, reads no clock and starts no goroutines.
//
// # Guarantee NeverOver
//
// A limit is divided into units (Limit.Partition). Each pooler has Reserved units unconditionally; the remaining ones, the pool, are leased
// by an owner: the reachable process that rendezvous hashing of the limit's name selects. Each pooler sends the owner a request about every
// RenewInterval. A request is also a vote: for VoteDuration after sending it, the pooler votes for no other owner and accepts leases from
// no other. An owner leases units only while more than half of ExpectedPoolers have voted for it, so two owners never lease at the same
// time, even if each side of a partition selects one. A process that has just started does not vote until any vote of its previous
// incarnation has expired.
//
// Uncertain times are rounded to the safe side. A pooler counts the duration of its lease from the sending of the request, the owner from
// its answer. A pooler counts the duration of its vote from the sending, the owner from the time of its own clock that it gave in an
// earlier answer and that the vote returns. Clocks run at most ClockDrift too fast or too slow, so a process that waits for a span of
// another process's clock waits LocalWait of it.
//
// For each pooler the owner accounts for the most units that the pooler can hold by any answer that it may still accept: an answer that was
// lost, delayed or duplicated counts until the pooler reports which answer it accepted last. An owner that has lost its majority starts
// again, with a higher epoch and no accounts. A new owner does not know who holds units of the pool, so it leases the units that nobody
// reports only after all old leases must have expired. But each pooler reports with its vote the units that it holds, and keeps these
// without interruption, as they cannot be leased to another pooler.
//
// # Guarantee SoonEven
//
// Each pooler reports its demand to the owner and receives its share: the amount, times the part of the fleet that reports, times the
// pooler's part of all reported demand. A smaller share applies at once, a larger one only after RenewInterval + UrgentInterval, so that
// others have reduced theirs. There are no votes: each side of a partition has its own owner, which divides its side's part.
//
// # A pooler that receives nothing
//
// NeverOver: the pooler keeps its lease until the lease ends, and has its Reserved units afterwards. This is safe: the Reserved units of
// all poolers and the pool add up to the limit, and the owner accounts for the lease until it ends. SoonEven: after StaleAfter the pooler
// takes an equal share among the poolers that may be sending, whether that is more or less than before, so it is not starved.
//
// # Bounds
//
// With L the amount, B the burst, n = ExpectedPoolers, d the longest delay of a message, and at most n processes at a time:
//
//	NeverOver: uses in any W seconds are at most L*W + B, concurrent uses at most L, whatever faults the links have;
//	a pooler that is cut off keeps at least its Reserved units, and only these from LeaseDuration after its last answered request;
//	the units of a crashed pooler can be leased again within LocalWait(LeaseDuration + UseTimeout) + 2*TickInterval
//	    (Settings.ReclaimBound), where UseTimeout counts for concurrent uses only;
//	after an owner's crash the whole pool can be leased within Settings.TakeoverBound of when all processes know of the crash; existing
//	    leases continue in the meantime if LeaseDuration is longer than the view's DetectionBound + Settings.ElectionBound;
//	shares follow a change of demand within Settings.DemandBound while links work;
//	a lowered limit holds as soon as the last pooler knows it, except for units leased before; for these it holds within
//	    Settings.ReclaimBound of that;
//	SoonEven: with working links at most L; after a fault at most 2*L, for Settings.OvershootBound; in a partition that lasts longer than
//	    the view's SendingTimeout, L plus the parts of the poolers on the smaller sides.
package quota
