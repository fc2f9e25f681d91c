// Package view is the membership protocol of the poolers: it decides which processes of the fleet are running. Each pooler keeps its own
// view; the views converge after joins, crashes and partitions. The protocol is of the SWIM family. It is a state machine: events go in,
// actions come out. It does no I/O, reads no clock and starts no goroutines.
//
// # Protocol
//
// Each process has a unique ID. The processes that are considered running form a ring, ordered by a hash of their IDs, and each one watches
// the WatchedPeers processes that follow it on the ring: it probes them once every ProbeInterval. A peer that answers neither directly
// within ProbeTimeout, nor through IndirectProbes other processes within another ProbeTimeout, becomes suspect. The suspicion spreads by
// gossip. The suspect, which receives it too, refutes it with a higher incarnation. A suspicion that is not refuted within SuspicionTimeout
// becomes a failure. Failed processes are probed for as long as Retention, at least one of them every ReconnectInterval, so the two sides
// of a partition find each other again without a seed.
//
// # A pooler that receives nothing
//
// A pooler that receives nothing suspects nobody. To suspect a peer, a process needs an answer of another process since the unanswered
// probe, and to mark the suspect failed, a recent one; otherwise it cannot distinguish a fault of its own links from one of the peer. A
// process that was paused does not suspect others for PauseGrace either. A pooler that receives nothing marks the peers that did not answer
// as unreachable in its own view only, and keeps probing the ring and the seeds. As the number of poolers that may be sending to servers it
// counts all that it knew for SendingTimeout, and never fewer than ExpectedPoolers. Limits are divided by this number, so too high a number
// is safe.
//
// # Bounds
//
// Let d be the longest delay of a message and TickInterval the resolution of timers. An update reaches all n processes that can reach one
// another within D(n) = GossipInterval*(ceil(log2 n)+2) + d, if no message is lost and ProbeTimeout is at least 2*d (else a healthy process
// seems unresponsive):
//
//	all processes know of a crash as a failure within
//	    R*(ProbeInterval + 2*ProbeTimeout + 2*d + 2*TickInterval) + SuspicionTimeout + TickInterval + D(n)
//	    where R = 1 for one crash, else 1 + ceil(r/WatchedPeers), with r the length of the longest run of crashed processes on the ring;
//	    if f of n processes crash at once, r <= ln(n*10^6)/ln(n/f), except in one case in a million (Settings.DetectionBound);
//	after the last fault all views are equal and correct within
//	    DetectionBound + 2*ReconnectInterval*ceil(f/(4*a)) + 3*D(n)   for f processes wrongly marked failed, probed by a running ones
//	    (Settings.ConvergenceBound): the last suspicion ends, by a failure or a refutation; the wrongly failed processes are probed and
//	    receive the record that marks them failed; their refutations spread;
//	if messages are lost, updates may have to wait for full exchanges: 1.5*ExchangeInterval*ceil(log2 n) more;
//	a wrong failure lasts at most ConvergenceBound from the time when most processes can reach the process;
//	a process that is cut off from all others detects within ProbeInterval + 2*ProbeTimeout + 2*TickInterval + d that it may itself be
//	    the cause, and suspects nobody from then on (Settings.IsolationBound);
//	all processes count a new process within 2*ReconnectInterval + D(n) of its reaching a seed (Settings.JoinBound).
//
// With a loss of p in each direction, a probe of a running process fails with probability (1-q^2)*(1-q^4)^IndirectProbes, q = 1-p, and
// causes a suspicion. It becomes a failure only if no refutation arrives within SuspicionTimeout, during which each process that knows
// of the suspicion sends it GossipFanout*SuspicionTimeout/GossipInterval times.
package view
