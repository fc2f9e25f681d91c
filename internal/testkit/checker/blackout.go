package checker

import (
	"fmt"
	"slices"
)

// The rules of who is asked. They are held at the servers, by whoever knows what befalls servers and ways.
const (
	NoBlackout Rule = "no server that answers most who ask is avoided by many for long on words alone"
	LastAsked  Rule = "no group is given up by all while it is asked for"
)

// BlackoutRules are those of who is asked.
func BlackoutRules() []Rule { return []Rule{NoBlackout, LastAsked} }

// BlackoutConfig says what the rules' figures are. Times are in ms.
type BlackoutConfig struct {
	Groups           [][]int // servers by their numbers
	Poolers          int
	WindowMs         float64 // a server is avoided for long that is for so long...
	HealthyMs        float64 // ...after it has been sound for so long
	OwnEvidenceMs    float64 // so long a pooler may go by what it saw of a server itself
	RestartGraceMs   float64 // what was seen of a server's last process, and said, may count for so long after the start of one with which nothing is wrong; 0 for as ever
	MaxAvoidingShare float64 // of the poolers that may avoid it
	MinReads         int     // reads that poolers send to the others of its group meanwhile, so that it is said that they avoid it
	MinRequests      int     // requests that a group is asked for meanwhile, so that it is said to be given up
}

// GroundTruth is what befalls servers, ways and poolers now.
type GroundTruth interface {
	ServerHealthy(server int) bool       // nothing befalls it
	ServerStartedAt(server int) float64  // when its process began, by what the list tells all soon; 0 for long ago, or where the list does not
	ServerReachable(server int) bool     // its process runs, and can be reached by somebody
	IsPrimary(server int) bool           // it leads its group
	LinkHealthy(pooler, server int) bool // nothing befalls the way
	PoolerRunning(no int) bool           // its process runs, and is no newcomer
}

// BlackoutChecker holds who is asked to the rules. It is told of each send, and looks at what is true now and then; of what poolers think it
// knows nothing.
type BlackoutChecker struct {
	cfg            BlackoutConfig
	groupOf        map[int]int
	windowStart    float64      // of the window
	healthySince   [][]float64  // by pooler and server: nothing is wrong with it for this pooler since then; never is in the future
	lastUnanswered [][]float64  // likewise: it had no answer of it last then, by its own asking
	reads          [][]int      // sends in the window
	primary        []int        // by group: who led it last, -1 for nobody
	received       []int        // by group: requests for it in the window
	sent           []int        // by group: sends in the window
	replicaReads   []int        // likewise, reads that went to others than its primary
	hadNoMember    []bool       // by group: in the window there was a time without any member running
	startedAt      []float64    // by server: when its process began
	lastImpaired   []float64    // by server: the last time that something was wrong with it while its process ran
	current        []Impairment // by server: the last time that something was wrong with it while its process ran
	finished       []Impairment
	verdict        Verdict
}

// Impairment is what came to a server with which something was wrong while its process ran.
type Impairment struct {
	Server            int
	From              float64
	Until             float64 // 0 while it lasts
	FirstUnansweredAt float64 // a pooler first had no answer of it in time, 0 for not yet
	SendsBefore       int     // sends in the window before
	Sends             []float64
}

const (
	never          = 1e300
	maxImpairments = 1000
	minSenders     = 6 // poolers, or clumps, that ask elsewhere; fewer may do so by chance
	maxSends       = 100000
)

// NewBlackoutChecker makes the checker.
func NewBlackoutChecker(at float64, cfg BlackoutConfig) *BlackoutChecker {
	b := &BlackoutChecker{cfg: cfg, groupOf: map[int]int{}, windowStart: at, verdict: Verdict{Checked: map[Rule]uint64{}, Broken: map[Rule]int{}}}
	servers := 0
	for g, members := range cfg.Groups {
		for _, s := range members {
			b.groupOf[s] = g
			servers = max(servers, s+1)
		}
	}
	for range cfg.Poolers {
		b.lastUnanswered = append(b.lastUnanswered, slices.Repeat([]float64{-never}, servers))
		b.healthySince, b.reads = append(b.healthySince, slices.Repeat([]float64{at}, servers)), append(b.reads, make([]int, servers))
	}
	n := len(cfg.Groups)
	b.primary, b.received, b.sent, b.replicaReads, b.hadNoMember = slices.Repeat([]int{-1}, n), make([]int, n), make([]int, n), make([]int, n), make([]bool, n)
	b.current, b.startedAt, b.lastImpaired = make([]Impairment, servers), make([]float64, servers), slices.Repeat([]float64{-never}, servers)
	return b
}

// RequestReceived tells that a client's request for a group has come to a pooler.
func (b *BlackoutChecker) RequestReceived(group int) {
	if group >= 0 && group < len(b.received) {
		b.received[group]++
	}
}

// AttemptSent tells of a request's send.
func (b *BlackoutChecker) AttemptSent(at float64, pooler, server int, writes bool) {
	g, ok := b.groupOf[server]
	if !ok || pooler < 0 || pooler >= len(b.reads) {
		return
	}
	b.sent[g]++
	if t := &b.current[server]; t.From > 0 && len(t.Sends) < maxSends {
		t.Sends = append(t.Sends, at)
	}
	if writes {
		return
	}
	b.reads[pooler][server]++
	if server != b.primary[g] {
		b.replicaReads[g]++
	}
}

// Unanswered tells that a pooler asked a server, by a request or a probe, and came to no answer: what it makes of that is its own evidence.
func (b *BlackoutChecker) Unanswered(at float64, pooler, server int) {
	if pooler >= 0 && pooler < len(b.lastUnanswered) {
		b.lastUnanswered[pooler][server] = at
	}
	if t := &b.current[server]; t.From > 0 && t.FirstUnansweredAt == 0 {
		t.FirstUnansweredAt = at
	}
}

// Sample takes what is true now, and holds a window that is over to the rules.
func (b *BlackoutChecker) Sample(at float64, truth GroundTruth) {
	for g, members := range b.cfg.Groups {
		primary, reachable := -1, false
		for _, s := range members {
			if truth.IsPrimary(s) {
				primary = s
			}
			reachable = reachable || truth.ServerReachable(s)
			if b.startedAt[s] = truth.ServerStartedAt(s); truth.ServerReachable(s) && !truth.ServerHealthy(s) {
				b.lastImpaired[s] = at
			}
			b.trackImpairment(at, s, truth)
		}
		changed := primary != b.primary[g]
		b.primary[g], b.hadNoMember[g] = primary, b.hadNoMember[g] || !reachable
		for p, healthySince := range b.healthySince {
			running := truth.PoolerRunning(p)
			for _, s := range members {
				switch bad := !running || !truth.ServerHealthy(s) || !truth.LinkHealthy(p, s); {
				case bad:
					healthySince[s] = never
				case changed || healthySince[s] == never:
					healthySince[s] = at
				}
			}
		}
	}
	if at < b.windowStart+b.cfg.WindowMs {
		return
	}
	for g := range b.cfg.Groups {
		b.checkWindow(at, g)
	}
	b.windowStart = at
	for p := range b.reads {
		clear(b.reads[p])
	}
	clear(b.received)
	clear(b.sent)
	clear(b.replicaReads)
	clear(b.hadNoMember)
}

// trackImpairment begins and ends a time in which something is wrong with a server that runs.
func (b *BlackoutChecker) trackImpairment(at float64, server int, truth GroundTruth) {
	current := &b.current[server]
	switch healthy := truth.ServerHealthy(server); {
	case current.From == 0 && !healthy && truth.ServerReachable(server):
		*current = Impairment{Server: server, From: at}
		for _, reads := range b.reads {
			current.SendsBefore += reads[server]
		}
	case current.From > 0 && (healthy || !truth.ServerReachable(server)):
		if current.Until = at; len(b.finished) < maxImpairments {
			b.finished = append(b.finished, *current)
		}
		*current = Impairment{}
	}
}

// Impairments are the times in which something was wrong with a server that ran, in the order of their ends.
func (b *BlackoutChecker) Impairments() []Impairment { return b.finished }

// FirstUnansweredAt is when a pooler first had no answer of a server with which something is wrong; 0 for not yet, or where nothing is.
func (b *BlackoutChecker) FirstUnansweredAt(server int) float64 {
	return b.current[server].FirstUnansweredAt
}

// checkWindow holds a window to the rules.
func (b *BlackoutChecker) checkWindow(at float64, group int) {
	members, primary := b.cfg.Groups[group], b.primary[group]
	if b.received[group] >= b.cfg.MinRequests && !b.hadNoMember[group] {
		b.verdict.Checked[LastAsked]++
		if b.sent[group] == 0 {
			b.breach(LastAsked, at, primary, fmt.Sprintf("group %d was asked for %d times in %.0f ms, and none of its servers was sent anything", group, b.received[group], at-b.windowStart), nil)
		}
	}
	for _, server := range members {
		if server == primary {
			continue
		}
		senders, avoiding, judged, unbiased := 0, 0, 0, 0
		var proof []Event
		readsToOthers, readsToServer := 0, 0 // of a clump of poolers that send little
		for pooler := range b.reads {
			replaced := b.replacedCleanly(pooler, server)
			if replaced && b.windowStart < b.startedAt[server]+b.cfg.RestartGraceMs || !replaced && b.healthySince[pooler][server] > b.windowStart-b.cfg.HealthyMs {
				continue
			}
			if judged++; b.lastUnanswered[pooler][server] > b.windowStart-b.cfg.OwnEvidenceMs && !(replaced && b.lastUnanswered[pooler][server] <= b.startedAt[server]+b.cfg.RestartGraceMs) {
				continue // it goes by what it saw itself
			}
			unbiased++
			for _, other := range members {
				if other != primary && other != server {
					readsToOthers += b.reads[pooler][other]
				}
			}
			readsToServer += b.reads[pooler][server]
			if readsToOthers+readsToServer < b.cfg.MinReads {
				continue
			}
			if senders++; readsToServer == 0 {
				avoiding++
				if len(proof) < maxProof {
					proof = append(proof, Event{At: at, What: "sends to others only", Pooler: pooler, Server: server, Text: fmt.Sprintf("%d reads to others of the group", readsToOthers)})
				}
			}
			readsToOthers, readsToServer = 0, 0
		}
		if 2*judged <= len(b.reads) || 2*unbiased <= judged || senders < minSenders {
			continue // it does not answer most, or most go by what they saw themselves, or next to nothing is asked
		}
		b.verdict.Checked[NoBlackout]++
		if float64(avoiding) > b.cfg.MaxAvoidingShare*float64(senders) {
			b.breach(NoBlackout, at, server, fmt.Sprintf("server %d answers, and of %d poolers, or clumps of these, %d sent it nothing for %.0f ms", server, senders, avoiding, at-b.windowStart), proof)
		}
	}
}

// replacedCleanly tells whether a server is another process than before, and nothing was wrong with that for a pooler since it began: what befell the old one
// says nothing of it.
func (b *BlackoutChecker) replacedCleanly(pooler, server int) bool {
	return b.cfg.RestartGraceMs > 0 && b.startedAt[server] > 0 && b.lastImpaired[server] < b.startedAt[server] && b.healthySince[pooler][server] <= b.startedAt[server]+b.cfg.RestartGraceMs
}

func (b *BlackoutChecker) breach(r Rule, at float64, server int, text string, proof []Event) {
	b.verdict.Broken[r]++
	if len(b.verdict.Breaches) < maxBreaches {
		proof = append([]Event{{At: b.windowStart, What: "from here on", Pooler: -1, Server: server}}, proof...)
		b.verdict.Breaches = append(b.verdict.Breaches, Breach{Rule: r, At: at, Text: text, Proof: proof, Server: server})
	}
}

// Verdict adds what was checked and found.
func (b *BlackoutChecker) Verdict(v *Verdict) {
	for r, n := range b.verdict.Checked {
		v.Checked[r] += n
	}
	for r, n := range b.verdict.Broken {
		v.Broken[r] += n
	}
	v.Breaches = append(v.Breaches, b.verdict.Breaches...)
}
