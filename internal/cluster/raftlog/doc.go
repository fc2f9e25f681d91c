// Package raftlog decides, with other poolers, on one sequence of entries: a log in common, by the Raft of go.etcd.io/raft/v3. Events
// in, actions out: no I/O, no clock, no goroutines; a disk's answer is an event like a message.
//
// # What it decides, and what not
//
// It decides which entry is the n-th, for all and for good. What an entry means its user's Machine decides, the same at each voter,
// as each applies the same entries in the same order. It does not know who proposed an entry, nor whether it was there before: a
// proposal whose answer was lost is made again, so entries carry their user's ids, and the Machine takes each id once.
//
// # Who votes
//
// Three or five poolers, named by the settings, the same at all. Each has a disk with a number drawn when the disk was new; in the
// log a voter is its name with that number (Member), so a name with another disk is another voter. The group begins once all of
// these names have told one another, each after the other's disk was new, that they have nothing. From then on a name that comes
// with an empty disk neither votes nor counts until the others have agreed, as an entry, that it takes its old self's place: what
// its old self promised is not forgotten but void, as that voter is no more. So nobody votes twice in a term. While such a change goes
// on the old disk counts too: of three, a second one lost before it is done stops the group for good. Poolers that do not
// vote propose by way of those that do (Forward) and learn what came of it by their user's own messages.
//
// # What is told and asked
//
// It is told the time, messages, addresses of voters, what its disk holds and what has become durable there. It asks for messages
// and writes, and hands over what is agreed (Apply, ApplySnapshot). A vote, and the word that an entry is had, go out after Stored
// alone; an entry is applied once more than half have it durable, this voter too.
//
// # What one does that hears no majority
//
// It applies nothing more and promises nothing new. A leader that has not been answered by a majority for Election ticks gives
// that up; a proposal to it may wait, be Dropped or come to nothing without a word. That is safe, as only what more than half have
// on their disks counts, and of two majorities one voter is in both. It asks whether it could be elected before it raises the term
// (PreVote), so one that was cut off disturbs nobody when it is back. A standing leader is not voted out before Election ticks of its
// silence; but an old one that was stopped may call itself leader until it hears or counts ticks: Leads is a hint, Apply is not.
//
// # Bounds
//
// With T = Tick, E = Election ticks, H = Heartbeat ticks, d the longest delay of a message, w of a durable write, and a majority that runs:
//
//	a crashed leader is followed by another within   2*E*T + 4*d + 2*w + 2*T, where no two stand at once (Settings.Elect); with
//	    n voters that happens with at most (n-1)*(2*d+w+T)/(E*T) and costs as much again each time;
//	a proposal at a pooler is applied there within    4*d + 2*w of a leader that stands (Settings.Propose): to the leader, to the
//	    others, back, and on; where a message is lost, a heartbeat finds it: H*T + 2*d more for each loss in a row;
//	a leader that is cut off stops calling itself one within 2*E*T of running;
//	no answer to a Forward within E*T + 2*T: Dropped, and another voter is tried;
//	the log has at most   Keep + Every + what is proposed meanwhile   entries, Every at most SnapshotBytes bytes more than Keep
//	    (Settings.MaxLogEntries); MaxPendingBytes bytes wait for a majority, what is beyond is Dropped;
//	a start reads the snapshot and at most MaxLogEntries entries.
package raftlog
