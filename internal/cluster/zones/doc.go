// Package zones lets the poolers decide together which zone's reads are served where: one plan for the whole fleet, local as long as the
// local zone has the capacity. Every pooler runs a Coordinator, as a cluster module (package module). The decisions are made in the
// packages below; this one exchanges the messages between them.
//
//   - plan: which part of each zone's reads goes where, from capacity, load, delay and price
//   - health: the state of a zone, or of the link between two, from serving to evacuated and back
//   - planner: the leading voter makes plans from what all poolers observe
//   - statemachine: which plan is in force, and the operators' orders; the state machine of the replicated log
//   - follower: what a pooler does with a plan, and without one
//   - admin: what operators see, and how their orders are parsed
//
// # Scope
//
// It decides, for each zone, the part of its reads that stays local and the parts that go to others; which of its poolers take another
// zone for local; and the price of crossing zones meanwhile. The decision module still picks the server of each request, by that price,
// load and health. Writes and fresh reads go to the primary wherever it is, which is a matter of the database servers. No server is
// closed to anybody: what a plan leaves out is the last resort, not forbidden.
//
// # Inputs and outputs
//
// Every ReportInterval a pooler reports to each voter what it observed: for each group's servers in each zone how many attempts ended and
// were lost, how many cores serve, and what its clients demand. A voter answers with the newest plan that it applied and the age of that.
// The log's leader proposes plans, renews the one in force every RenewInterval, and sends a different one to all at once. It cannot be
// sure that it still leads: the log orders what two leaders propose, and the state machine rejects one of them.
//
// # A pooler that receives nothing
//
// A plan expires PlanLifetime after a voter applied its last renewal. Voters without a majority apply none, so a pooler that reaches
// only those, or nobody, falls back within FallbackBound: local first; crossing is expensive; and where its own attempts in the local
// zone fail, to where the last plan had sent it, and nowhere else. That is safe for the receiving zone: no more arrives than the last
// plan allowed, for which capacity was kept. A pooler that never received a plan acts as if there were no zones.
//
// # Bounds
//
// With d the longest delay of a message, w of a durable write, k messages lost in a row, and a stable leader:
//
//	from a failure until the plan reflects it     DecisionBound(d, w, k) = FailureTime + Window + 2*ReportInterval + StepInterval +
//	    (2*d + Propose(d, w, 0)) + w + k*ReportInterval: losses must last; they are reported, assessed, agreed, sent back and stored;
//	    without a leader, ElectionBound and SettleTime more;
//	from then until a dead zone is abandoned      one step; one that fails by half in 1/OutwardShare steps of StepInterval, EvacuationTime
//	    at most;
//	a pooler that is cut off falls back within    FallbackBound(d) = PlanLifetime + d of the last renewal that a voter applied;
//	    a process that was paused finds messages that are older than they state: for it d counts until it runs again;
//	a zone is abandoned or restored in a minute   MaxShiftsPerMinute times at most (health.Settings.MaxShifts);
//	an older plan after a newer one               FenceBound = 0: by numbers in the process, by MinPlan over restarts. A pooler that has no
//	    file for that may follow, after a restart, what a lagging voter applied less than PlanLifetime ago;
//	a zone that receives is sent, by the plan, at most 1 - SpareShare of what its servers can do, in each group, at each step.
package zones
