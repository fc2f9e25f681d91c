// Package outlier decides what poolers make of each other's evidence about servers. Events in, actions out: no I/O, no clock, no goroutines.
// It tells the decision module nothing but what that knows already: that a store is down (Recall), that one is reached again (a probe's
// result), and roles and positions as of when servers told them (Recall). The module still decides everything.
//
// # Who tells whom
//
// Each pooler keeps, for each server's process (its name and its start, which evidence is filed under together), what it saw itself: when a
// request was answered last; how many that were sent after any answered one have none, from when to when; what the server said of its role and
// position. What is new goes, every Period, to the Collectors first processes of the view by rendezvous hashing of the server's block of
// groups, and what stands every Refresh. A server that answers though it is called bad, and one that says that it leads where another was
// known to, are told at once.
//
// A collector keeps the newest of each kind by each observer and judges by all of it together, whatever the order that it came in. It tells all poolers
// at once of a verdict or a leader that changed, and every Period of positions. A pooler heeds what most of the collectors say (two of three).
//
// # Judgement
//
// A server is bad if Observers at least have requests at it that were sent after the last answer that anybody had, and for longer than 3 times
// the work of one and 8 times that shared among those that wait, four at most: what the decision module of a single pooler goes by, over the evidence
// of all. Where poolers stand in several zones that takes observers of two of them; or else the server is bad for a zone: for those of one whose
// observers are silent, whatever others get from it. So one pooler's bad links, or a zone that is cut off, take a server from nobody else.
//
// A pooler does not heed a verdict on a server that answered what it sent after all that is held against it began. Words take away Blind of a
// group's members at most, and never the last that its own module has not taken out; what is beyond stays. A verdict ends Lapse after
// the last request that went unanswered. While it stands, Trying of all poolers (one of four, two at least and Testers at most), by turns drawn
// from hashes, may send a few requests there as the module does on trial: the first answer ends it for all.
//
// One observer whose words all others contradict counts for nothing for Shun: it alone has answers where three others of its zone have none for
// as long as a verdict takes; or it has four without an answer where three others had theirs meanwhile. A collector that lies is outvoted.
//
// # Positions and roles
//
// A position and a primary's word are on the servers' own scale of time, on which every pooler compares them anyway: no other pooler's clock is in
// them, and they are true for ever (a replica has everything up to there; a primary led then). So they are handed on as they are, rounded down, and
// what they prove ages by itself. They count if Vouch observers at least said as much, by the lower of these, and most collectors say so; none is
// taken from the time to come. Where one observer alone says that another leads, the collectors look themselves, and are observers then.
// Ages of other evidence are measured by each clock alone: from the event to its telling by the observer's, since its coming by the hearer's;
// the way, Delay at most, is added where older is safer. Assumed: clocks run at the same rate within a part in a thousand over Lapse.
//
// # What a pooler does that hears nobody
//
// It heeds what it heard for 3 Refresh at most, and is then as without this package. A process that stood still for half a second forgets what it
// had out then: its answers may lie in a socket. A younger process begins empty; leaders, verdicts and positions come with the next Refresh.
//
// # Bounds
//
// With d the longest delay of a message, none lost:
//
//	from when evidence suffices until the last pooler heeds it           Spread = Period + 2*Step + 2*d
//	servers of a group that words of others take away                    Blinded = min(floor(Blind*members), members-1)
//	a server that answers is avoided by word no longer than              Lasting = Turn + each + answer + Spread, where the testers of a turn
//	    together ask it once every `each`; and Lapse at most without a tester
//	poolers that send to a server which is bad by word, after its first Turn  Trying = min(Testers, max(2, floor(poolers/4))), while views are
//	    equal, and twice that where one turn ends and the next begins
//	one that hears nobody goes by what it heard no longer than           Lonely = 3*Refresh + Step
//	one that hears the others again, or for the first time, heeds what they heed within  Caught = Refresh + Spread: after a partition, a halt, a start
//	a server's other process is avoided by words of the old one          not at all, by those whose list names it
//	where all begin anew but one that had no answer of a deaf server, all avoid it within  2*work + Spread (and a step) of the first request that
//	    another sends there: that one's evidence counts, and is one of Observers
//	messages in a Refresh after a partition                              twice those in one before
//	bytes a second of a pooler, in the mean                              Talk
//
// # What it does not know
//
// Why a server is silent: one that is crowded for longer than a verdict takes, at all poolers, is avoided as a deaf one. One that loses a part of its
// requests is none: its answers contradict the verdict. Whether a list that names no starts speaks of the same process.
package outlier
