// Package raftlog is a log that is replicated among the poolers by Raft (go.etcd.io/raft/v3). It is a deterministic state machine: events
// go in, actions come out. It does no I/O, reads no clock and starts no goroutines; the completion of a disk write is an event, like a
// message.
//
// # What it decides
//
// The log decides, permanently, which entry is the n-th. The meaning of an entry is up to the user's Machine, whose state is the same at
// each voter because all voters apply the same entries in the same order. The log does not record who proposed an entry and does not detect
// duplicates: a proposal whose answer was lost is made again, so entries carry IDs of their user, and the Machine applies each ID once.
//
// # Voters
//
// The settings name three or five voters, the same at all poolers. Each has a disk with a random number, drawn when the disk was empty. In
// the log a voter is identified by its name together with that number (Member), so the same name with another disk is another voter. The
// group is founded once each voter of the settings has reported to all others, after their disks got their numbers, that it belongs to no group.
// Afterwards a voter that starts with an empty disk neither votes nor counts until the others have committed an entry that gives it the
// place of the former member of its name. That member's promises are void, as it is no voter any more, so nobody votes twice in a term.
// During such a change the old disk still counts towards the majority: with three voters, the loss of a second disk before the change is
// complete stops the group for good. Poolers that do not vote forward their proposals to voters, and learn the outcome from their user's
// own messages.
//
// # Inputs and outputs
//
// Events carry the time, messages, the voters' addresses, the contents of the disk and the completion of writes. Actions request messages
// and writes, and deliver what is committed (Apply, ApplySnapshot). A vote and the acknowledgement of an entry are sent only after
// StoreCompleted. An entry is applied once a majority has stored it durably, this voter included.
//
// # Without a majority
//
// A voter that reaches no majority applies nothing more and grants nothing new. A leader that has had no answer of a majority for
// ElectionTicks steps down; a proposal made to it may wait, be dropped, or be lost without notice. That is safe, as only entries on the
// disks of a majority count, and any two majorities have a voter in common. A voter asks whether it could be elected before it raises the
// term (PreVote), so a voter that was cut off does not disturb the others when it returns. A leader is not voted out before it has been
// silent for ElectionTicks. A former leader that was suspended may consider itself the leader until it receives a message or counts ticks:
// BecameLeader is a hint, Apply is not.
//
// # Bounds
//
// With T = TickInterval, E = ElectionTicks, H = HeartbeatTicks, d the longest delay of a message, w that of a durable write, n voters, and
// a majority that runs:
//
//   - A crashed leader is followed by another within 2*E*T + 4*d + 2*w + 2*T, if no two voters campaign at the same time
//     (Settings.ElectionBound). The probability that they do is at most (n-1)*(2*d+w+T)/(E*T) (Settings.SplitVoteBound), and each time costs
//     as much again.
//   - While there is a leader, a proposal is applied where it was made within 4*d + 2*w (Settings.ProposalBound): to the leader, to the
//     others, back, and on. Each message lost in a row costs H*T + 2*d more.
//   - A leader that is cut off steps down within 2*E*T of running.
//   - A proposal forwarded to another pooler that does not answer is dropped after E*T + 2*T, and another voter is tried.
//   - The log has at most KeepEntries + SnapshotEntries entries and those proposed while a snapshot is stored (Settings.MaxLogEntries), and
//     at most SnapshotBytes more bytes than KeepEntries of them. At most MaxPendingBytes wait for a majority; proposals beyond are dropped.
//   - A start reads the snapshot and at most MaxLogEntries entries.
package raftlog
