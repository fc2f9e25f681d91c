// Package overload decides which requests the poolers together reject when a group of servers receives more load than it can serve. It is
// a state machine: events go in, actions come out. It does no I/O, reads no clock and starts no goroutines. Its decisions reach the
// decision module of each pooler as a shedding policy.
//
// # Reports and decisions
//
// For each group with requests, each pooler counts the requests received (first attempts and clients' retries, by class and by tenant),
// the requests served, and the strain of serving them: the strain of an admitted request is 0 if it was served within half its latency
// objective, 1 if it was served later than the objective or not at all, and in proportion between these. Every ReportInterval the pooler
// reports these counts, as rates that decay over RateMemory, to the collectors of the group: the Collectors first processes of its view by
// rendezvous hashing. Groups are assigned to blocks of GroupsPerBlock; the groups of a block have the same collectors and are reported in
// one datagram. So a pooler sends Collectors datagrams an interval for each busy block, however many poolers there are.
//
// A collector adds up the recent reports. It maintains the budget: the work a second that may be admitted. A budget starts when strain
// exceeds three times StrainTarget, at the highest recent served rate. While there is strain the budget equals that rate, reduced where
// more requests are outstanding than DelayTarget of the objectives, down to three quarters of it. Without strain the budget grows, faster
// the longer this lasts, by GrowthRate a second at most, until it exceeds the demand. The highest served rate decays, faster where less is
// served though no more is admitted. The collector answers each report with the level.
//
// # What is shed
//
// All requests of a group are sorted into one order of cells: clients' retries before first attempts; among these, tenants' sessions
// beyond their quota before those within; among these, the class with the lowest priority for its work first. Classes that are not
// idempotent come last, in the same order among themselves. Within a cell a request's position is a hash of its session. Requests below
// the level are rejected at once. Hedged requests and retries by the pooler come before all cells: while a group's level is above 0 none
// of its requests gets a second attempt, unless the first one certainly never ran.
//
// Work is estimated by the poolers: each reports its estimate for each class, and collectors take the median. A tenant is beyond its quota
// by the part of its sessions, by another hash, that exceeds its share of the budget; shares that some tenants do not use are divided
// among the others.
//
// The hash covers the session and the number of the SessionPeriod, with a phase for each session. So a client that retries, at any pooler,
// gets the same decision while the level is unchanged, until its period is over, and no session is rejected forever.
//
// # Differing evidence and byzantine poolers
//
// A pooler applies the decision with the median level of those that it has from the collectors, the lower of two. A report echoes the
// collector's own time, and a decision echoes the number of its report, so both sides know an upper bound of its age by their own clocks
// alone; messages older than StaleAfter do not count. The state, budget and level, is part of the reports too: a collector starts from the
// median of these, so it may crash or be replaced without loss of the fleet's state; and a pooler that starts without state has the level
// with its first answer.
//
// The report of one process counts for no more than those of all others together, and strain and delay are computed without the process
// that adds most to them and without the one that lowers them most. A byzantine pooler's report of demand moves the level, but the strain
// that all other poolers report, or its absence, corrects the budget. The budget that a pooler reports is the median of the collectors',
// computed apart from the level: among equal levels a byzantine answer could be the median one. No budget, which is encoded as 0, counts
// as the highest one there, and in reports: otherwise a low budget from a byzantine pooler would be the median between a collector that
// sees overload and one that does not see it yet. A class of which next to nothing is served is no evidence of overload: its servers are
// down.
//
// # A pooler that receives nothing
//
// It keeps its level for HoldTime from the last decision, then lowers it linearly to 0 over FadeTime. From then on its decision module
// works as without this package and sheds by its own observations alone. That is safe, as any pooler can do that; it is less effective.
//
// # Bounds
//
// With d the longest delay of a message, working links and unchanged evidence:
//
//	two poolers with the same collectors decide differently only on sessions between their levels, and for at most
//	    DivergenceBound = ReportInterval + 2*TickInterval + 2*d after a level was changed;
//	a pooler that is cut off sheds by its last decision for HoldTime + FadeTime at most after its last answer (Settings.IsolationBound);
//	a load that jumps is admitted beyond the budget for at most ReactionBound = RateMemory + 2*ReportInterval + 2*TickInterval + 2*d;
//	while links fail: each side of a partition admits what the budget of its own collectors allows, and no more than it receives; each
//	    side's budget falls with the effect that the load of all sides has on the servers;
//	once no answer is late the budget grows by a factor within RecoveryBound of it, plus ReactionBound;
//	datagrams a second of one pooler: at most 2*Collectors*1000/ReportInterval for each busy block, on average over the fleet; with many
//	    classes, as often as a block takes datagrams (Settings.TrafficBound).
//
// # Limitations
//
// It does not know whether strain comes from too much load or from failing servers: where answers are lost at random the budget falls too.
// Nor does it know which of a group's servers is overloaded, beyond that its caller reports a group as two: requests that only its primary
// may serve, and all other requests. With one level for both, all reads would be shed before the first write, and replicas would be idle;
// with two, writes are shed though the reads at their primary are the cause.
package overload
