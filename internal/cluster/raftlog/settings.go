package raftlog

import "beechgrade/internal/invariant"

// Settings configure a Log.
type Settings struct {
	Self            string   // this pooler's name
	Voters          []string // names of poolers, the same at all
	TickInterval    float64  // ms
	ElectionTicks   int      // without a leader, before a voter stands for election
	HeartbeatTicks  int
	SnapshotEntries int    // a snapshot is taken after so many entries
	SnapshotBytes   int    // ...or after so many bytes of them
	KeepEntries     int    // before a snapshot, for voters that are a little behind
	MaxPendingBytes int    // that wait for a majority
	MaxForwards     int    // proposals to other poolers that wait for an answer
	Seed            uint64 // of the disk's number and of election timeouts; another one at each start
	Checks          *invariant.Checks
}

// Defaults are for voters within one region or a few.
func Defaults() Settings {
	return Settings{
		TickInterval: 50, ElectionTicks: 20, HeartbeatTicks: 2, SnapshotEntries: 10000, SnapshotBytes: 4 << 20,
		KeepEntries: 1000, MaxPendingBytes: 1 << 20, MaxForwards: 1024,
	}
}

// electionTimeout is ElectionTicks in ms.
func (s *Settings) electionTimeout() float64 { return float64(s.ElectionTicks) * s.TickInterval }

// ElectionBound bounds the time in ms from a leader's crash to another's first message, if no two voters stand at once.
func (s *Settings) ElectionBound(delay, write float64) float64 {
	return float64(2*s.ElectionTicks+2)*s.TickInterval + 4*delay + 2*write
}

// SplitVoteBound bounds the chance that two of the voters that stand after a crash do so too close in time for one to win.
func (s *Settings) SplitVoteBound(delay, write float64) float64 {
	return min(1, float64(len(s.Voters)-1)*(2*delay+write+s.TickInterval)/(float64(s.ElectionTicks)*s.TickInterval))
}

// ProposalBound bounds the time in ms from a proposal until it is applied where it was made, while a leader stands and so many messages are
// lost in a row.
func (s *Settings) ProposalBound(delay, write float64, losses int) float64 {
	return 4*delay + 2*write + float64(losses)*(float64(s.HeartbeatTicks+1)*s.TickInterval+2*delay)
}

// ForwardTimeout is how long in ms the answer to a forwarded proposal is waited for.
func (s *Settings) ForwardTimeout() float64 { return float64(s.ElectionTicks+2) * s.TickInterval }

// MaxLogEntries bounds the entries that are kept, where so many are proposed while a snapshot is made durable.
func (s *Settings) MaxLogEntries(meanwhile int) int {
	return s.KeepEntries + s.SnapshotEntries + meanwhile
}
