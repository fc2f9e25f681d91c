package raftlog

import "beechgrade/internal/invariant"

// Settings configure a Log.
type Settings struct {
	Self            string   // this pooler's name
	Voters          []string // names of the voting poolers, the same at all poolers
	TickInterval    float64  // ms
	ElectionTicks   int      // ticks without a leader before a voter campaigns
	HeartbeatTicks  int
	SnapshotEntries int    // a snapshot is taken after this many entries
	SnapshotBytes   int    // ...or after this many bytes of entries
	KeepEntries     int    // retained from before a snapshot, for voters that are slightly behind
	MaxPendingBytes int    // of entries that wait for a majority
	MaxForwards     int    // proposals to other poolers that wait for an answer
	Seed            uint64 // for the disk's number and election timeouts; must differ at each start
	Checks          *invariant.Checks
}

// Defaults returns settings for voters within one region or a few.
func Defaults() Settings {
	return Settings{
		TickInterval: 50, ElectionTicks: 20, HeartbeatTicks: 2, SnapshotEntries: 10000, SnapshotBytes: 4 << 20,
		KeepEntries: 1000, MaxPendingBytes: 1 << 20, MaxForwards: 1024,
	}
}

// electionTimeout returns ElectionTicks in ms.
func (s *Settings) electionTimeout() float64 { return float64(s.ElectionTicks) * s.TickInterval }

// ElectionBound bounds the time in ms from a leader's crash to the next leader's first message, if no two voters campaign at the same time.
func (s *Settings) ElectionBound(delay, write float64) float64 {
	return float64(2*s.ElectionTicks+2)*s.TickInterval + 4*delay + 2*write
}

// SplitVoteBound bounds the probability that two voters campaign after a crash so close in time that neither wins.
func (s *Settings) SplitVoteBound(delay, write float64) float64 {
	return min(1, float64(len(s.Voters)-1)*(2*delay+write+s.TickInterval)/(float64(s.ElectionTicks)*s.TickInterval))
}

// ProposalBound bounds the time in ms from a proposal until it is applied where it was made, while there is a leader and losses messages
// are lost in a row.
func (s *Settings) ProposalBound(delay, write float64, losses int) float64 {
	return 4*delay + 2*write + float64(losses)*(float64(s.HeartbeatTicks+1)*s.TickInterval+2*delay)
}

// ForwardTimeout returns how long, in ms, a forwarded proposal waits for its answer.
func (s *Settings) ForwardTimeout() float64 { return float64(s.ElectionTicks+2) * s.TickInterval }

// MaxLogEntries bounds the retained entries, where meanwhile entries are proposed while a snapshot is made durable.
func (s *Settings) MaxLogEntries(meanwhile int) int {
	return s.KeepEntries + s.SnapshotEntries + meanwhile
}
