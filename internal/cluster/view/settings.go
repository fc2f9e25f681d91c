package view

import "math"

// Settings configure a view. Times are in ms.
type Settings struct {
	ProbeInterval     float64  // between two probes of a peer by a process that watches it
	ProbeTimeout      float64  // for a direct answer, and again for an indirect answer
	WatchedPeers      int      // peers that each process watches
	IndirectProbes    int      // processes that are asked to probe a peer that does not answer directly
	Confirmations     int      // unless 0, another process must have answered lately before a peer is suspected; 0 is for fleets of two only
	PauseGrace        float64  // time for which a process that was paused suspects nobody
	SuspicionTimeout  float64  // from a suspicion to a failure
	GossipInterval    float64  // between rounds of gossip
	GossipFanout      int      // processes that a round goes to
	ExchangeInterval  float64  // between full exchanges with a random process
	ReconnectInterval float64  // between probes of failed processes, and between attempts to reach a seed
	Retention         float64  // time for which a failed process is probed and remembered
	SendingTimeout    float64  // time for which a process that cannot be reached may still be sending to servers
	TickInterval      float64  // the resolution of timers
	MaxRecordBytes    int      // of records in a datagram
	ExpectedPoolers   int      // 0 if unknown
	SeedAddresses     []string // addresses at which a new process tries to reach others
	RandomSeed        uint64
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{
		ProbeInterval:     1000,
		ProbeTimeout:      250,
		WatchedPeers:      3,
		IndirectProbes:    3,
		Confirmations:     1,
		PauseGrace:        1500,
		SuspicionTimeout:  3000,
		GossipInterval:    200,
		GossipFanout:      3,
		ExchangeInterval:  10000,
		ReconnectInterval: 1000,
		Retention:         3600e3,
		SendingTimeout:    60e3,
		TickInterval:      50,
		MaxRecordBytes:    1100,
	}
}

// rareCases is the reciprocal of the probability that DetectionBound is exceeded.
const rareCases = 1e6

// gossipRounds returns the number of gossip rounds after which an update has reached n processes.
func gossipRounds(n int) float64 { return math.Ceil(math.Log2(float64(max(2, n)))) }

// PropagationBound bounds, in ms, the time until an update has reached all n processes that can reach one another, with messages that
// take at most delay ms.
func (s *Settings) PropagationBound(n int, delay float64) float64 {
	return s.GossipInterval*(gossipRounds(n)+2) + delay
}

// DetectionBound bounds, in ms, the time from the crash of f of n processes at once until all others mark them failed.
func (s *Settings) DetectionBound(n, f int, delay float64) float64 {
	run := 1.0
	if f > 1 {
		longestRun := math.Ceil(math.Log(float64(n)*rareCases) / math.Log(float64(n)/float64(f)))
		run = math.Min(float64(f), longestRun)
	}
	rounds := math.Ceil(run / float64(s.WatchedPeers))
	if f > 1 { // the processes that are asked for indirect probes may have crashed too
		rounds++
	}
	return rounds*(s.ProbeInterval+2*s.ProbeTimeout+2*delay+2*s.TickInterval) + s.SuspicionTimeout + s.TickInterval +
		s.PropagationBound(n, delay)
}

// ConvergenceBound bounds, in ms, the time from the last fault until all views of n processes are equal and correct, where f processes
// were wrongly marked failed. lossy is true if messages were lost.
func (s *Settings) ConvergenceBound(n, f int, delay float64, lossy bool) float64 {
	reconnectRounds := math.Ceil(float64(f) / float64(maxReconnects*max(1, n-f)))
	ms := s.DetectionBound(n, f, delay) + 2*s.ReconnectInterval*reconnectRounds + 3*s.PropagationBound(n, delay)
	if lossy {
		ms += 1.5 * s.ExchangeInterval * gossipRounds(n)
	}
	return ms
}

// JoinBound bounds, in ms, the time from when a new process can reach a seed until all n processes count it.
func (s *Settings) JoinBound(n int, delay float64) float64 {
	return 2*s.ReconnectInterval + 2*delay + 2*s.TickInterval + s.PropagationBound(n, delay)
}

// IsolationBound returns how long, in ms, a process that is cut off from all may mistake that for failures of others.
func (s *Settings) IsolationBound(delay float64) float64 {
	return s.ProbeInterval + 2*s.ProbeTimeout + 2*s.TickInterval + delay
}
