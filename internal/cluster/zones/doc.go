// Package zones has the poolers decide together which zone's reads are served where: one plan for the whole fleet, near as long as near can
// carry it. Every pooler has one of these, as a part of the fleet (package part). Decisions are the packages' below; here is what goes between.
//
//   - plan: what part of each zone's reads goes where, from room, load, delay and price
//   - state: a zone, or a way between two, from serving to evacuated and back
//   - chief: the voter that leads makes plans of what all poolers see
//   - book: which plan is the one, and operators' orders; a machine on the log in common
//   - follow: what a pooler makes of a plan, and what it does without one
//
// # What it decides, and what not
//
// For each zone, the part of its reads that stays near and the parts that go to others; who of its poolers takes another zone for near; how
// dear it is to cross meanwhile. The decision module still picks the server of each request, by that price, load and health; writes and
// fresh reads go to the primary wherever it is, which is the database servers' own affair. No server is closed to anybody: what a plan
// leaves out is the last resort, not forbidden.
//
// # What it is told, and tells
//
// Every Period a pooler tells each voter what it saw: of each group's servers in each zone how many attempts ended and were lost, how many
// cores serve, and what its clients ask. A voter answers with the newest plan that it applied and how long ago that was. The log's leader
// proposes plans, renews the one in force every Renew, and tells all at once of one that is different. It does not know who leads
// for sure: what two propose, the log puts in an order, and the book voids one.
//
// # Who hears nobody
//
// A plan ends Life after a voter applied its last renewal. Voters without a majority apply none, so whoever hears only them, or nobody, falls back
// within Fallback: near first; crossing dear; where near fails by its own evidence, to where the last plan had sent it, and nowhere else. That is
// safe for who receives: no more comes than the last plan allowed, for which room was kept. Who never heard a plan does as if there were no zones.
//
// # Bounds
//
// With d the longest delay of a message, w of a durable write, k messages lost in a row, and a leader that stands:
//
//	from a failure until the plan has it        Decide(d, w, k)  = Fail + Window + 2*Period + Step + (2*d + Propose(d, w, 0)) + w + k*Period: losses
//	    must last; they are told, looked at, agreed, told back and kept; where no leader stands, Elect and Settle more;
//	from then until a dead zone is left         one step; one that fails by half in 1/Out steps of Step, Empty at most;
//	who is cut off falls back within            Fallback(d)      = Life + d of the last renewal that a voter applied;
//	    who stood still finds words that are older than they say: for it d counts until it goes on;
//	a zone is left or taken back in a minute    Shifts           times at most (state.Settings.Shifts);
//	an older plan after a newer one             Fence            = 0: by numbers in the process, by Floor over restarts. Who has no file for that
//	    may follow, when it was restarted, what a voter that lags applied less than Life ago;
//	a zone that receives is sent, by the plan, at most 1 - Spare of what its servers can do, in each group, at each step.
package zones
