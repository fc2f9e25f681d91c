package checker

import (
	"fmt"
	"slices"
)

// The rules on avoided servers. They are checked by what reaches the servers, in tests that know the faults of servers and links.
const (
	NoBlackout Rule = "no server that answers most who ask is avoided by many for long on words alone"
	LastAsked  Rule = "no group is given up by all while it is asked for"
)

// BlackoutRules returns the rules on avoided servers.
func BlackoutRules() []Rule { return []Rule{NoBlackout, LastAsked} }

// BlackoutConfig has the limits of the rules. Times are in ms.
type BlackoutConfig struct {
	Groups           [][]int // servers by their numbers
	Poolers          int
	WindowMs         float64 // a server counts as avoided if a pooler avoids it for this long...
	HealthyMs        float64 // ...after it was healthy for this long
	OwnEvidenceMs    float64 // how long a pooler may rely on its own observation of a server
	RestartGraceMs   float64 // how long reports on a server's previous process may count after a healthy one has started; 0 for no limit
	MaxAvoidingShare float64 // share of the poolers that may avoid a server
	MinReads         int     // reads to other members of the group without which a pooler does not count as avoiding it
	MinRequests      int     // requests for a group without which it does not count as abandoned
}

// GroundTruth reports the true state of servers, links and poolers at present.
type GroundTruth interface {
	ServerHealthy(server int) bool       // no fault affects it
	ServerStartedAt(server int) float64  // when its process started, if the endpoint list reports it soon; 0 for long ago or unreported
	ServerReachable(server int) bool     // its process runs, and at least one pooler can reach it
	IsPrimary(server int) bool           // it leads its group
	LinkHealthy(pooler, server int) bool // no fault affects the link
	PoolerRunning(pooler int) bool       // its process runs and is not paused
}

// BlackoutChecker checks that poolers avoid servers only for a reason. It observes each attempt and samples the true state from time to time; it
// knows nothing of the poolers' own view.
type BlackoutChecker struct {
	cfg            BlackoutConfig
	groupOf        map[int]int
	windowStart    float64      // start of the window in ms
	healthySince   [][]float64  // by pooler and server: since when the server works for this pooler; never if it does not
	lastUnanswered [][]float64  // by pooler and server: when an attempt or health check of its own was last unanswered
	reads          [][]int      // by pooler and server: reads sent in the window
	primary        []int        // by group: its last primary, -1 for none
	received       []int        // by group: requests for it in the window
	sent           []int        // by group: sends in the window
	replicaReads   []int        // by group: reads sent to replicas
	hadNoMember    []bool       // by group: at some time in the window no member ran
	startedAt      []float64    // by server: when its process started
	lastImpaired   []float64    // by server: when it last had a fault while its process ran
	current        []Impairment // by server: its present impairment, From is 0 for none
	finished       []Impairment
	verdict        Verdict
}

// Impairment is a span in which a server had a fault while its process ran, with the attempts sent to it.
type Impairment struct {
	Server            int
	From              float64
	Until             float64   // 0 while it lasts
	FirstUnansweredAt float64   // when an attempt was first unanswered, 0 for not yet
	SendsBefore       int       // sends in the window before
	Sends             []float64 // times of the attempts sent to it, at most maxSends
}

const (
	never          = 1e300
	maxImpairments = 1000
	minSenders     = 6 // minimum number of poolers, or sets of poolers, with enough reads; fewer may avoid a server by chance
	maxSends       = 100000
)

// NewBlackoutChecker returns a checker whose first window starts now.
func NewBlackoutChecker(at float64, cfg BlackoutConfig) *BlackoutChecker {
	b := &BlackoutChecker{
		cfg:         cfg,
		groupOf:     map[int]int{},
		windowStart: at,
		verdict:     Verdict{Checked: map[Rule]uint64{}, Broken: map[Rule]int{}},
	}
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

// RequestReceived records that a pooler received a client's request for a group.
func (b *BlackoutChecker) RequestReceived(group int) {
	if group >= 0 && group < len(b.received) {
		b.received[group]++
	}
}

// AttemptSent records an attempt.
func (b *BlackoutChecker) AttemptSent(at float64, pooler, server int, writes bool) {
	g, ok := b.groupOf[server]
	if !ok || pooler < 0 || pooler >= len(b.reads) {
		return
	}
	b.sent[g]++
	if current := &b.current[server]; current.From > 0 && len(current.Sends) < maxSends {
		current.Sends = append(current.Sends, at)
	}
	if writes {
		return
	}
	b.reads[pooler][server]++
	if server != b.primary[g] {
		b.replicaReads[g]++
	}
}

// Unanswered records that a pooler's attempt or health check got no answer, which is evidence of its own.
func (b *BlackoutChecker) Unanswered(at float64, pooler, server int) {
	if pooler >= 0 && pooler < len(b.lastUnanswered) {
		b.lastUnanswered[pooler][server] = at
	}
	if current := &b.current[server]; current.From > 0 && current.FirstUnansweredAt == 0 {
		current.FirstUnansweredAt = at
	}
}

// Sample records the true state and checks the rules if the window has ended.
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
				switch faulty := !running || !truth.ServerHealthy(s) || !truth.LinkHealthy(p, s); {
				case faulty:
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

// trackImpairment starts or ends the span in which a running server has a fault.
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

// Impairments returns the finished impairments in the order of their ends.
func (b *BlackoutChecker) Impairments() []Impairment { return b.finished }

// FirstUnansweredAt returns when an attempt at an impaired server was first unanswered; 0 if none was, or if it is healthy.
func (b *BlackoutChecker) FirstUnansweredAt(server int) float64 {
	return b.current[server].FirstUnansweredAt
}

// checkWindow checks the rules for a group in the window that ends.
func (b *BlackoutChecker) checkWindow(at float64, group int) {
	members, primary := b.cfg.Groups[group], b.primary[group]
	if b.received[group] >= b.cfg.MinRequests && !b.hadNoMember[group] {
		b.verdict.Checked[LastAsked]++
		if b.sent[group] == 0 {
			text := fmt.Sprintf("group %d was asked for %d times in %.0f ms, and none of its servers was sent anything",
				group, b.received[group], at-b.windowStart)
			b.breach(LastAsked, at, primary, text, nil)
		}
	}
	for _, server := range members {
		if server != primary {
			b.checkAvoidance(at, group, server)
		}
	}
}

// checkAvoidance checks that not too many poolers avoid a replica that was healthy for them throughout the window.
func (b *BlackoutChecker) checkAvoidance(at float64, group, server int) {
	senders, avoiding, judged, unbiased := 0, 0, 0, 0
	var proof []Event
	readsToOthers, readsToServer := 0, 0 // summed over poolers that send little, until they have MinReads
	for pooler := range b.reads {
		if !b.healthyInWindow(pooler, server) {
			continue
		}
		judged++
		if b.hasOwnEvidence(pooler, server) {
			continue
		}
		unbiased++
		readsToOthers += b.readsToOthers(pooler, group, server)
		readsToServer += b.reads[pooler][server]
		if readsToOthers+readsToServer < b.cfg.MinReads {
			continue
		}
		if senders++; readsToServer == 0 {
			avoiding++
			if len(proof) < maxProof {
				text := fmt.Sprintf("%d reads to others of the group", readsToOthers)
				proof = append(proof, Event{At: at, What: "sends to others only", Pooler: pooler, Server: server, Text: text})
			}
		}
		readsToOthers, readsToServer = 0, 0
	}
	if 2*judged <= len(b.reads) || 2*unbiased <= judged || senders < minSenders {
		return // the server does not answer most poolers, most rely on their own observation, or there are too few reads
	}
	b.verdict.Checked[NoBlackout]++
	if float64(avoiding) > b.cfg.MaxAvoidingShare*float64(senders) {
		text := fmt.Sprintf("server %d answers, and of %d poolers, or clumps of these, %d sent it nothing for %.0f ms",
			server, senders, avoiding, at-b.windowStart)
		b.breach(NoBlackout, at, server, text, proof)
	}
}

// healthyInWindow reports whether a server was healthy for a pooler for long enough before the window that it must not be avoided.
func (b *BlackoutChecker) healthyInWindow(pooler, server int) bool {
	if b.replacedCleanly(pooler, server) {
		return b.windowStart >= b.startedAt[server]+b.cfg.RestartGraceMs
	}
	return b.healthySince[pooler][server] <= b.windowStart-b.cfg.HealthyMs
}

// hasOwnEvidence reports whether a pooler may avoid a server because the server's current process lately left an attempt or health
// check of that pooler unanswered.
func (b *BlackoutChecker) hasOwnEvidence(pooler, server int) bool {
	unanswered := b.lastUnanswered[pooler][server]
	if unanswered <= b.windowStart-b.cfg.OwnEvidenceMs {
		return false
	}
	ofOldProcess := unanswered <= b.startedAt[server]+b.cfg.RestartGraceMs
	return !b.replacedCleanly(pooler, server) || !ofOldProcess
}

// readsToOthers returns the pooler's reads in the window to the group's other replicas.
func (b *BlackoutChecker) readsToOthers(pooler, group, server int) int {
	sum := 0
	for _, other := range b.cfg.Groups[group] {
		if other != b.primary[group] && other != server {
			sum += b.reads[pooler][other]
		}
	}
	return sum
}

// replacedCleanly reports whether a new process of the server runs that has had no fault for this pooler, so that faults of the old one
// do not count.
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

// Verdict adds the number of checks and the breaches to v.
func (b *BlackoutChecker) Verdict(v *Verdict) {
	for r, n := range b.verdict.Checked {
		v.Checked[r] += n
	}
	for r, n := range b.verdict.Broken {
		v.Broken[r] += n
	}
	v.Breaches = append(v.Breaches, b.verdict.Breaches...)
}
