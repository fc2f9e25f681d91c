// Package overload decides what the poolers together turn away when a group of servers is asked for more than it can do. Events in, actions
// out: no I/O, no clock, no goroutines. What it decides reaches the decision module of each pooler as a retuning (decide.Shed).
//
// # What it is told and tells
//
// Each pooler counts, for each group that is asked, what came (first tries, clients' retries, by class and by tenant), what was served, and
// how hard that was: the strain of a request that was let in is 0 if it was served within half its aim, 1 if it was served later than
// its aim or not at all, and between these in proportion. Every Period it tells these counts, as rates that fade over Memory, to
// the collectors of the group: the Collectors first processes of its view by rendezvous hashing. Groups go in blocks of Block; those of
// one block have the same collectors and go in one datagram. So a pooler sends Collectors datagrams a Period for each busy block, however
// many poolers there are.
//
// A collector adds up what it was told lately. It knows the budget: work a second that may be let in. It begins one where strain is over three
// times Target, at what was served at most lately. While there is strain the budget is that, less where more is out than Delay of the aims, down to
// three quarters; while there is none it grows, the longer the faster, by Back a second at most, until nobody wants more. What was served at most fades,
// faster where less is served though no more is let in. Its answer to each tell is the level.
//
// # Who sheds what
//
// All requests of a group stand on one order of cells: clients' retries before first tries; among these, tenants' sessions beyond their
// share before those within; among these, the least worth for its work first. Classes that must not run twice come last of all, in the
// same order among themselves. Within a cell a request stands by a hash of its session. What stands below the level is turned away, at once. Copies and
// own repeats stand before all cells: where a group's level is above 0 none of its requests has a second attempt, unless the
// first surely never ran.
//
// Work is as poolers learned it: each tells its guess of each class, and the collectors take the middle one. A tenant is beyond its share
// by the part of its sessions, by another hash, that goes beyond what sharing the budget out by shares leaves it; what some do not use
// is shared among the others.
//
// The hash has the session and the number of the Keep in it, each session with a phase of its own; so a client that comes again, at
// any pooler, meets the same verdict for as long as the level stands, until its Keep is over, and nobody is refused for ever by his name.
//
// # Evidence that differs, and lies
//
// A pooler goes by the answer with the middle level of those that it has from the collectors, the lower of two. A tell brings back the collector's
// own stamp, and an answer the number of its tell, so both sides know an upper bound of its age by their own clocks alone;
// what is older than Stale counts for nothing. The state, budget and level, is in the tells too: a collector begins from the middle of
// these, so it may crash or be another one without the fleet's state being lost; and a pooler that begins empty has the level with its first answer.
//
// A process's word counts for no more than that of all others together, and strain and delay are taken without the process that adds most to them
// and without the one that takes most from them. What a liar tells of demand moves the level, but strain and calm at all the
// others move the budget against it. The budget that a pooler passes on is the middle of the collectors', apart from the level: among equal levels a
// liar's answer could be the middle one. No budget, which is told as 0, counts as the highest one there, and in what poolers tell: else a low budget that
// one lies about stands between a collector that sees overload and one that does not yet. A class of which next to nothing is served is no evidence of overload: its servers are not there.
//
// # What a pooler does that hears nobody
//
// It keeps its level for Hold from the last answer, then lowers it evenly to nothing over Fall: from then on its decision module is as alone as
// without this package, and sheds what it sees. That is safe since alone is what every pooler can do; it is less good.
//
// # Bounds
//
// With d the longest delay of a message, links well and the evidence standing still:
//
//	two poolers that hear the same collectors differ in their verdicts only on sessions that stand between their levels, and for at
//	    most Differ = Period + 2*Step + 2*d after a level was changed;
//	one that is cut off sheds by what it knew for Hold + Fall at most after its last answer (Settings.Lonely);
//	a load that jumps on a group is let in beyond the budget for at most React = Memory + 2*Period + 2*Step + 2*d before the level answers;
//	most load on a group while links fail: each of the sides of a partition lets in what its own collectors' budget says, and no more than
//	    what comes; each side's budget falls by what all sides' load does to the servers;
//	once nobody is late the budget grows by a factor within Return of it, plus React;
//	datagrams a second of one pooler: at most 2*Collectors*1000/Period for each busy block, in the mean over the fleet; with
//	    many classes, as often as a block takes datagrams (Settings.Talk).
//
// # What it does not know
//
// Whether strain comes from too much load or from servers that fail: where answers are lost at random the budget falls too. Nor which of a group's
// servers is crowded, beyond that its embedder tells of a group as of two: what only its primary may do, and the rest. With one level for both,
// reads were all shed before the first write, and replicas stood idle. With two, writes are shed though the reads at their primary are the cause.
package overload
