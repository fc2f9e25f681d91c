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
	Groups   [][]int // servers by their numbers
	Poolers  int
	WindowMs float64 // a server is avoided for long that is for so long...
	AfterMs  float64 // ...after it has been sound for so long
	OwnMs    float64 // so long a pooler may go by what it saw of a server itself
	FreshMs  float64 // what was seen of a server's last process, and said, may count for so long after the start of one with which nothing is wrong; 0 for as ever
	Part     float64 // of the poolers that may avoid it
	Least    int     // reads that poolers send to the others of its group meanwhile, so that it is said that they avoid it
	Wanted   int     // requests that a group is asked for meanwhile, so that it is said to be given up
}

// Sight is what befalls servers, ways and poolers now.
type Sight interface {
	Sound(server int) bool       // nothing befalls it
	Born(server int) float64     // when its process began, by what the list tells all soon; 0 for long ago, or where the list does not
	Runs(server int) bool        // its process runs, and can be reached by somebody
	Primary(server int) bool     // it leads its group
	Way(pooler, server int) bool // nothing befalls the way
	Pooler(no int) bool          // its process runs, and is no newcomer
}

// Blackouts holds who is asked to the rules. It is told of each send, and looks at what is true now and then; of what poolers think it
// knows nothing.
type Blackouts struct {
	cfg     BlackoutConfig
	group   map[int]int
	from    float64     // of the window
	well    [][]float64 // by pooler and server: nothing is wrong with it for this pooler since then; never is in the future
	burnt   [][]float64 // likewise: it had no answer of it last then, by its own asking
	reads   [][]int     // sends in the window
	lead    []int       // by group: who led it last, -1 for nobody
	asked   []int       // by group: requests for it in the window
	sent    []int       // by group: sends in the window
	replica []int       // likewise, reads that went to others than its primary
	rested  []bool      // by group: in the window there was a time without any member running
	born    []float64   // by server: when its process began
	sick    []float64   // by server: the last time that something was wrong with it while its process ran
	trial   []Trial     // by server: the last time that something was wrong with it while its process ran
	past    []Trial
	verdict Verdict
}

// Trial is what came to a server with which something was wrong while its process ran.
type Trial struct {
	Server int
	From   float64
	Until  float64 // 0 while it lasts
	Knew   float64 // a pooler first had no answer of it in time, 0 for not yet
	Before int     // sends in the window before
	Sends  []float64
}

const (
	never     = 1e300
	maxTrials = 1000
	leastAsks = 6 // poolers, or clumps, that ask elsewhere; fewer may do so by chance
	maxSends  = 100000
)

// NewBlackouts makes the checker.
func NewBlackouts(at float64, cfg BlackoutConfig) *Blackouts {
	b := &Blackouts{cfg: cfg, group: map[int]int{}, from: at, verdict: Verdict{Checked: map[Rule]uint64{}, Broken: map[Rule]int{}}}
	servers := 0
	for g, members := range cfg.Groups {
		for _, s := range members {
			b.group[s] = g
			servers = max(servers, s+1)
		}
	}
	for range cfg.Poolers {
		b.burnt = append(b.burnt, slices.Repeat([]float64{-never}, servers))
		b.well, b.reads = append(b.well, slices.Repeat([]float64{at}, servers)), append(b.reads, make([]int, servers))
	}
	n := len(cfg.Groups)
	b.lead, b.asked, b.sent, b.replica, b.rested = slices.Repeat([]int{-1}, n), make([]int, n), make([]int, n), make([]int, n), make([]bool, n)
	b.trial, b.born, b.sick = make([]Trial, servers), make([]float64, servers), slices.Repeat([]float64{-never}, servers)
	return b
}

// Wanted tells that a client's request for a group has come to a pooler.
func (b *Blackouts) Wanted(group int) {
	if group >= 0 && group < len(b.asked) {
		b.asked[group]++
	}
}

// Sent tells of a request's send.
func (b *Blackouts) Sent(at float64, pooler, server int, writes bool) {
	g, ok := b.group[server]
	if !ok || pooler < 0 || pooler >= len(b.reads) {
		return
	}
	b.sent[g]++
	if t := &b.trial[server]; t.From > 0 && len(t.Sends) < maxSends {
		t.Sends = append(t.Sends, at)
	}
	if writes {
		return
	}
	b.reads[pooler][server]++
	if server != b.lead[g] {
		b.replica[g]++
	}
}

// Unanswered tells that a pooler asked a server, by a request or a probe, and came to no answer: what it makes of that is its own evidence.
func (b *Blackouts) Unanswered(at float64, pooler, server int) {
	if pooler >= 0 && pooler < len(b.burnt) {
		b.burnt[pooler][server] = at
	}
	if t := &b.trial[server]; t.From > 0 && t.Knew == 0 {
		t.Knew = at
	}
}

// Look takes what is true now, and holds a window that is over to the rules.
func (b *Blackouts) Look(at float64, see Sight) {
	for g, members := range b.cfg.Groups {
		lead, runs := -1, false
		for _, s := range members {
			if see.Primary(s) {
				lead = s
			}
			runs = runs || see.Runs(s)
			if b.born[s] = see.Born(s); see.Runs(s) && !see.Sound(s) {
				b.sick[s] = at
			}
			b.try(at, s, see)
		}
		changed := lead != b.lead[g]
		b.lead[g], b.rested[g] = lead, b.rested[g] || !runs
		for p, well := range b.well {
			up := see.Pooler(p)
			for _, s := range members {
				switch bad := !up || !see.Sound(s) || !see.Way(p, s); {
				case bad:
					well[s] = never
				case changed || well[s] == never:
					well[s] = at
				}
			}
		}
	}
	if at < b.from+b.cfg.WindowMs {
		return
	}
	for g := range b.cfg.Groups {
		b.hold(at, g)
	}
	b.from = at
	for p := range b.reads {
		clear(b.reads[p])
	}
	clear(b.asked)
	clear(b.sent)
	clear(b.replica)
	clear(b.rested)
}

// try begins and ends a time in which something is wrong with a server that runs.
func (b *Blackouts) try(at float64, s int, see Sight) {
	t := &b.trial[s]
	switch sound := see.Sound(s); {
	case t.From == 0 && !sound && see.Runs(s):
		*t = Trial{Server: s, From: at}
		for _, reads := range b.reads {
			t.Before += reads[s]
		}
	case t.From > 0 && (sound || !see.Runs(s)):
		if t.Until = at; len(b.past) < maxTrials {
			b.past = append(b.past, *t)
		}
		*t = Trial{}
	}
}

// Trials are the times in which something was wrong with a server that ran, in the order of their ends.
func (b *Blackouts) Trials() []Trial { return b.past }

// Knew is when a pooler first had no answer of a server with which something is wrong; 0 for not yet, or where nothing is.
func (b *Blackouts) Knew(server int) float64 { return b.trial[server].Knew }

// hold holds a window to the rules.
func (b *Blackouts) hold(at float64, g int) {
	members, lead := b.cfg.Groups[g], b.lead[g]
	if b.asked[g] >= b.cfg.Wanted && !b.rested[g] {
		b.verdict.Checked[LastAsked]++
		if b.sent[g] == 0 {
			b.breach(LastAsked, at, lead, fmt.Sprintf("group %d was asked for %d times in %.0f ms, and none of its servers was sent anything", g, b.asked[g], at-b.from), nil)
		}
	}
	for _, s := range members {
		if s == lead {
			continue
		}
		asks, avoids, for_, free := 0, 0, 0, 0
		var proof []Event
		others, mine := 0, 0 // of a clump of poolers that send little
		for p := range b.reads {
			anew := b.anew(p, s)
			if anew && b.from < b.born[s]+b.cfg.FreshMs || !anew && b.well[p][s] > b.from-b.cfg.AfterMs {
				continue
			}
			if for_++; b.burnt[p][s] > b.from-b.cfg.OwnMs && !(anew && b.burnt[p][s] <= b.born[s]+b.cfg.FreshMs) {
				continue // it goes by what it saw itself
			}
			free++
			for _, o := range members {
				if o != lead && o != s {
					others += b.reads[p][o]
				}
			}
			mine += b.reads[p][s]
			if others+mine < b.cfg.Least {
				continue
			}
			if asks++; mine == 0 {
				avoids++
				if len(proof) < maxProof {
					proof = append(proof, Event{At: at, What: "sends to others only", Pooler: p, Server: s, Text: fmt.Sprintf("%d reads to others of the group", others)})
				}
			}
			others, mine = 0, 0
		}
		if 2*for_ <= len(b.reads) || 2*free <= for_ || asks < leastAsks {
			continue // it does not answer most, or most go by what they saw themselves, or next to nothing is asked
		}
		b.verdict.Checked[NoBlackout]++
		if float64(avoids) > b.cfg.Part*float64(asks) {
			b.breach(NoBlackout, at, s, fmt.Sprintf("server %d answers, and of %d poolers, or clumps of these, %d sent it nothing for %.0f ms", s, asks, avoids, at-b.from), proof)
		}
	}
}

// anew tells whether a server is another process than before, and nothing was wrong with that for a pooler since it began: what befell the old one
// says nothing of it.
func (b *Blackouts) anew(p, s int) bool {
	return b.cfg.FreshMs > 0 && b.born[s] > 0 && b.sick[s] < b.born[s] && b.well[p][s] <= b.born[s]+b.cfg.FreshMs
}

func (b *Blackouts) breach(r Rule, at float64, server int, text string, proof []Event) {
	b.verdict.Broken[r]++
	if len(b.verdict.Breaches) < maxBreaches {
		proof = append([]Event{{At: b.from, What: "from here on", Pooler: -1, Server: server}}, proof...)
		b.verdict.Breaches = append(b.verdict.Breaches, Breach{Rule: r, At: at, Text: text, Proof: proof, Server: server})
	}
}

// Verdict adds what was checked and found.
func (b *Blackouts) Verdict(v *Verdict) {
	for r, n := range b.verdict.Checked {
		v.Checked[r] += n
	}
	for r, n := range b.verdict.Broken {
		v.Broken[r] += n
	}
	v.Breaches = append(v.Breaches, b.verdict.Breaches...)
}
