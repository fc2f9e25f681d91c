// Package view is the membership protocol of the poolers: it decides which processes of the fleet are running. Each pooler keeps a view
// of its own; the views converge after joins, crashes and partitions. It is a state machine of the SWIM family: events go in, actions
// come out. It does no I/O, reads no clock and starts no goroutines.
//
// # Protocol
//
// Each process has a unique ID. The processes that are believed to run stand on a ring, ordered by a hash of their IDs, and each one
// watches the WatchedPeers that follow it: it probes them once every ProbeInterval. A peer that answers neither directly within
// ProbeTimeout, nor through IndirectProbes other processes within another ProbeTimeout, becomes suspect. The suspicion spreads by
// gossip. The suspect, which receives it too, refutes it with a higher incarnation. A suspicion that is not refuted within
// SuspicionTimeout becomes a failure. A failed process is probed again for as long as Retention, one of them every
// ReconnectInterval, so the two sides of a partition find each other again without a seed.
//
// # A pooler that receives nothing
//
// It suspects nobody. A suspicion and a failure both require that some other process has answered this one since; otherwise this
// process cannot tell its own end of the links from theirs. A process that was paused itself does not suspect others either. It marks
// peers that did not answer as unreachable, for itself alone, and goes on probing the ring and the seeds. For the number of poolers
// that may be sending to servers it counts all that it knew for SendingTimeout, and never fewer than ExpectedPoolers: too many is the
// safe side, as limits are divided by this number.
//
// # Bounds
//
// Let d be the longest delay of a message and TickInterval the resolution of timers. News reaches all n processes that can reach one
// another within D(n) = GossipInterval*(ceil(log2 n)+2) + d (no loss, and ProbeTimeout at least 2*d, else a healthy process seems
// unresponsive):
//
//	a crash is known as a failure by all within
//	    R*(ProbeInterval + 2*ProbeTimeout + 2*d + 2*TickInterval) + SuspicionTimeout + TickInterval + D(n)
//	where R = 1 for one crash, else 1 + ceil(r/WatchedPeers) for a longest run of r crashed processes on the ring; of f that crash at
//	once among n, r <= ln(n*10^6)/ln(n/f), except in one case in a million (Settings.DetectionBound);
//	after the last fault all views are equal and correct within
//	    DetectionBound + 2*ReconnectInterval*ceil(f/(4*a)) + 3*D(n)   for f processes wrongly marked failed, probed by a running ones
//	    (Settings.ConvergenceBound): the last suspect has failed or not; a lost process is found, and receives the suspicion; its
//	    refutation comes back;
//	where messages are lost, news may wait for full exchanges: 1.5*ExchangeInterval*ceil(log2 n) more;
//	a wrong failure lasts at most ConvergenceBound from when most processes can reach the process;
//	a process that is cut off from all knows within ProbeInterval + 2*ProbeTimeout + 2*TickInterval + d that it may itself be the
//	    cause, and suspects nobody from then on (Settings.IsolationBound);
//	a new process is counted by all within 2*ReconnectInterval + D(n) of reaching a seed (Settings.JoinBound).
//
// With a loss of p in each direction, a probe of a running process fails with probability (1-q^2)*(1-q^4)^IndirectProbes, q = 1-p, and
// causes a suspicion. It becomes a failure only if no refutation arrives within SuspicionTimeout, during which each process that knows
// of it sends it GossipFanout*SuspicionTimeout/GossipInterval times.
package view
