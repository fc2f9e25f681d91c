// Package overload decides what the poolers together reject when a group of servers is asked for more than it can do. It is a state
// machine: events go in, actions come out. It does no I/O, reads no clock and starts no goroutines. What it decides reaches the decision
// module of each pooler as a shedding policy.
//
// # Reports and decisions
//
// Each pooler counts, for each group with requests, what was received (first attempts and clients' retries, by class and by tenant), what
// was served, and under how much strain: the strain of an admitted request is 0 if it was served within half its latency objective, 1 if
// it was served later than the objective or not at all, and in proportion between these. Every ReportInterval it reports these counts, as
// rates that fade over RateMemory, to the collectors of the group: the Collectors first processes of its view by rendezvous hashing.
// Groups go in blocks of GroupsPerBlock; those of a block have the same collectors and go in one datagram. So a pooler sends Collectors
// datagrams an interval for each busy block, however many poolers there are.
//
// A collector adds up what it received lately. It keeps the budget: the work a second that may be admitted. A budget starts where strain
// is over three times StrainTarget, at the most that was served lately. While there is strain the budget is that, less where more is
// outstanding than DelayTarget of the objectives, down to three quarters; without strain it grows, the longer the faster, by GrowthRate a
// second at most, until nobody wants more. The most that was served fades, faster where less is served though no more is admitted. Its
// answer to each report is the level.
//
// # What is shed
//
// All requests of a group stand in one order of cells: clients' retries before first attempts; among these, tenants' sessions beyond their
// quota before those within; among these, the lowest priority for its work first. Classes that are not idempotent come last, in the same
// order among themselves. Within a cell a request stands by a hash of its session. What stands below the level is rejected at once. Hedged
// requests and retries of the pooler stand before all cells: while a group's level is above 0 none of its requests gets a second attempt,
// unless the first one surely never ran.
//
// Work is as the poolers learned it: each reports its estimate for each class, and collectors take the median. A tenant is beyond its quota
// by the part of its sessions, by another hash, that exceeds its share of the budget; what some tenants do not use is divided among the
// others.
//
// The hash covers the session and the number of the SessionPeriod, with a phase for each session. So a client that comes again, at any
// pooler, meets the same decision while the level stands, until its period is over, and no session is rejected forever.
//
// # Differing evidence and byzantine poolers
//
// A pooler applies the decision with the median level of those that it has from the collectors, the lower of two. A report brings back the
// collector's own time, and a decision the number of its report, so both sides know an upper bound of its age by their own clocks alone;
// what is older than StaleAfter does not count. The state, budget and level, is part of the reports too: a collector starts from the median
// of these, so it may crash or be replaced without loss of the fleet's state; and a pooler that starts empty has the level with its first
// answer.
//
// The report of one process counts for no more than those of all others together, and strain and delay are taken without the process that
// adds most to them and without the one that takes most from them. What a byzantine pooler reports of demand moves the level, but strain
// and calm at all the others move the budget against it. The budget that a pooler reports is the median of the collectors', apart from the
// level: among equal levels a byzantine answer could be the median one. No budget, which is encoded as 0, counts as the highest one there,
// and in reports: otherwise a low budget from a byzantine pooler would stand between a collector that sees overload and one that does not
// yet. A class of which next to nothing is served is no evidence of overload: its servers are not there.
//
// # A pooler that receives nothing
//
// It keeps its level for HoldTime from the last decision, then lowers it evenly to nothing over FadeTime. From then on its decision module
// is as alone as without this package, and sheds what it observes itself. That is safe, as any pooler can do that; it is less good.
//
// # Bounds
//
// With d the longest delay of a message, working links and unchanged evidence:
//
//	two poolers with the same collectors decide differently only on sessions between their levels, and for at most
//	    DivergenceBound = ReportInterval + 2*TickInterval + 2*d after a level was changed;
//	a pooler that is cut off sheds by what it knew for HoldTime + FadeTime at most after its last answer (Settings.IsolationBound);
//	a load that jumps is admitted beyond the budget for at most ReactionBound = RateMemory + 2*ReportInterval + 2*TickInterval + 2*d;
//	while links fail: each side of a partition admits what the budget of its own collectors says, and no more than it receives; each
//	    side's budget falls by what the load of all sides does to the servers;
//	once nobody is late the budget grows by a factor within RecoveryBound of it, plus ReactionBound;
//	datagrams a second of one pooler: at most 2*Collectors*1000/ReportInterval for each busy block, on average over the fleet; with many
//	    classes, as often as a block takes datagrams (Settings.TrafficBound).
//
// # Limitations
//
// It does not know whether strain comes from too much load or from failing servers: where answers are lost at random the budget falls too.
// Nor does it know which of a group's servers is overloaded, beyond that its caller reports a group as two: what only its primary may do,
// and all other requests. With one level for both, reads would all be shed before the first write, and replicas would be idle; with two, writes are
// shed though the reads at their primary are the cause.
package overload
