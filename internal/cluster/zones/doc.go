// Package zones coordinates zone failover: the poolers agree on one plan for the whole fleet that says in which zones the reads of each
// zone are served. Reads stay local as long as the local zone has the capacity. Every pooler runs a Coordinator, as a cluster module
// (package module). The decisions are made in the packages below; this package exchanges the messages between them.
//
//   - plan: computes which part of each zone's reads goes to which zone, from capacity, load, delay and price
//   - health: the state of a zone, or of the link between two zones, from serving to evacuated and back
//   - planner: makes plans at the leading voter, from what all poolers observe
//   - statemachine: the state machine of the replicated log, with the plan in force and the operators' orders
//   - follower: what a pooler does with a plan, and without one
//   - admin: the status shown to operators, and the parsing of their orders
//   - adapter: connects a Coordinator to a pooler's core
//
// # Scope
//
// A plan determines, for each zone, the part of its reads that stays local and the parts that go to other zones; which of its poolers
// treat another zone as local; and the price of crossing zones meanwhile. The decision module still picks the server of each request, by
// that price, load and health. Writes and fresh reads go to the primary in whichever zone it is; plans do not cover them. A plan never
// forbids a server: servers that it sends nothing to remain a last resort.
//
// # Inputs and outputs
//
// Every ReportInterval a pooler reports to each voter what it observed: for each group's servers in each zone, how many attempts ended, how
// many of them were lost, and how many cores serve; and the load that its clients send. A voter answers with the newest plan that it
// applied and the time since then. The log's leader proposes plans, renews the plan in force every RenewInterval, and sends a plan with a
// new target to all poolers immediately. A voter may believe that it leads when it no longer does: the log orders the proposals of two
// leaders, and the state machine rejects one of them.
//
// # Fallback without renewals
//
// A plan expires PlanLifetime after a voter applied its last renewal. Voters without a majority apply no renewals, so a pooler that
// reaches only such voters, or none, falls back within FallbackBound: it prefers its local zone at a high price of crossing; if its own
// attempts in the local zone fail, it prefers the zone that the last plan assigned to it, and no other. This is safe for the receiving
// zone: it gets no more than the last plan allowed, for which capacity was kept. A pooler that never received a plan acts as if there were
// no zones.
//
// # Bounds
//
// With d the longest delay of a message, w of a durable write, k messages lost in a row, and a stable leader:
//
//	from a failure until the plan reflects it     DecisionBound(d, w, k) = FailureTime + Window + 2*ReportInterval + StepInterval +
//	    (2*d + Propose(d, w, 0)) + w + k*ReportInterval: losses must last; they are reported, assessed, agreed, sent back and stored;
//	    without a leader, ElectionBound and SettleTime are added;
//	from then until a failed zone is abandoned    one step for a zone without servers; 1/OutwardShare steps of StepInterval, but at most
//	    EvacuationTime, for a zone that fails partly;
//	a pooler that is cut off falls back within    FallbackBound(d) = PlanLifetime + d of the last renewal that a voter applied;
//	    a process that was paused finds messages that are older than they state: for such a process d ends when it runs again;
//	a zone is abandoned or restored in a minute   at most MaxShiftsPerMinute times (health.Settings.MaxShifts);
//	an older plan is followed after a newer one   for FenceBound = 0: plan numbers prevent it within a process, MinPlan across restarts. A
//	    pooler that does not store the number may follow, after a restart, a plan that a lagging voter applied less than PlanLifetime ago;
//	load that a plan sends to a receiving zone    at most 1 - SpareShare of the capacity of its servers, in each group, at each step.
package zones
