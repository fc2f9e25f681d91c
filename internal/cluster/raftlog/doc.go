// Package raftlog decides, with other poolers, on one sequence of entries: a replicated log by the Raft of go.etcd.io/raft/v3. It is a
// deterministic state machine: events in, actions out, no I/O, clock or goroutines; the answer of a disk is an event like a message.
//
// # What it decides
//
// It decides which entry is the n-th, for all and for good. What an entry means is decided by its user's Machine, which is the same at each
// voter, as each applies the same entries in the same order. The log does not know who proposed an entry, nor whether it has it already: a
// proposal whose answer was lost is made again, so entries carry their user's ids, and the Machine takes each id once.
//
// # Voters
//
// The settings name three or five voters, the same at all poolers. Each has a disk with a random number that was drawn when the disk was
// new; in the log a voter is its name with that number (Member), so a name with another disk is another voter. The group is founded once all
// of these names have told one another, each after the other's disk was new, that they belong to none. From then on a name that comes with
// an empty disk neither votes nor counts until the others have agreed, as an entry, that it takes its former self's place. What that one
// promised is void, as it is no voter any more; so nobody votes twice in a term. While such a change is under way the old disk counts too:
// of three voters, a second disk lost before it is done stops the group for good. Poolers that do not vote propose by way of those that do,
// and learn what came of it by their user's own messages.
//
// # Inputs and outputs
//
// Events bring the time, messages, the voters' addresses, what the disk holds and what has become durable there. Actions ask for messages
// and writes, and hand over what is committed (Apply, ApplySnapshot). A vote, and the acknowledgement of an entry, are sent only after
// StoreCompleted; an entry is applied once a majority has it durable, this voter included.
//
// # Without a majority
//
// A voter that reaches no majority applies nothing more and promises nothing new. A leader that no majority has answered for ElectionTicks
// steps down; a proposal to it may wait, be dropped, or come to nothing without notice. That is safe, as only what a majority has on disk
// counts, and of two majorities one voter is in both. A voter asks whether it could be elected before it raises the term (PreVote), so one
// that was cut off disturbs nobody when it is back. A leader is not voted out before it has been silent for ElectionTicks; but a former
// leader that was suspended may take itself for the leader until it receives a message or counts ticks: BecameLeader is a hint, Apply is not.
//
// # Bounds
//
// With T = TickInterval, E = ElectionTicks, H = HeartbeatTicks, d the longest delay of a message, w that of a durable write, n voters, and a
// majority that runs:
//
//   - A crashed leader is followed by another within 2*E*T + 4*d + 2*w + 2*T, if no two voters stand at once (Settings.ElectionBound); that
//     happens with a chance of at most (n-1)*(2*d+w+T)/(E*T) (Settings.SplitVoteBound), and costs as much again each time.
//   - A proposal is applied where it was made within 4*d + 2*w, while a leader stands (Settings.ProposalBound): to the leader, to the others,
//     back, and on; each message lost in a row costs H*T + 2*d more.
//   - A leader that is cut off steps down within 2*E*T of running.
//   - A proposal forwarded to another pooler that does not answer is dropped after E*T + 2*T, and another voter is tried.
//   - The log has at most KeepEntries + SnapshotEntries + what is proposed meanwhile entries (Settings.MaxLogEntries), and SnapshotBytes
//     bytes more than KeepEntries of them; MaxPendingBytes wait for a majority, what is beyond is dropped.
//   - A start reads the snapshot and at most MaxLogEntries entries.
package raftlog
