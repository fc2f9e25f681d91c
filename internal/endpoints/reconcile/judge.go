// Package reconcile makes one list of servers out of what several sources say of them and what the servers say of
// themselves. It holds decisions only: no I/O, no clock, no goroutines. Times are in milliseconds on the pooler's clock.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
)

// Judge makes the list. It is not safe for concurrent use.
type Judge struct {
	set     Settings
	now     float64
	sources []*source
	byName  map[string]*source
	servers map[string]*server
	named   map[string]*server // by the ids that the list has for them
	words   map[string]*word   // by address: it is the process there that speaks
	addrs   map[string][]*server
	twins   map[string][]string // ids that are not listed, as their address is under another
	dirty   map[string]*server
	groups  map[int]*group
	out     []Entry
	said    []Judgement
	pins    map[string]State
}

type source struct {
	name   string
	rank   int
	claims map[string]*claim
	gen    int64
	heard  bool
	lostAt float64 // 0 while it can be had
	age    float64
	drops  []float64 // when it dropped servers, within MassIn
	held   map[string]float64
}

// claim is a source's word as it stands; one that the source has dropped is held back, or marked as dropped.
type claim struct {
	Claim
	dropped bool
	backed  float64 // an earlier start that was told since, and not taken
}

type word struct {
	role     Role
	roleAt   float64
	position float64
	at       float64 // it answered last
	started  float64 // of the process that spoke
}

type server struct {
	id       string
	name     string   // the list's id for it: its own, or that which its process had before
	claims   []*claim // by the source's rank, nil for none
	shown    Entry
	listed   bool // shown is in the list
	flips    []float64
	stillAt  float64 // it counts as flapping until then, 0 for not
	want     State   // what sources come to, before flapping
	doubted  bool    // it is critical and used for its answers
	conflict string  // two addresses that were told of
	role     Role    // as a source had it when that was last disbelieved
}

type group struct {
	id      int
	members map[string]*server
	said    What
}

// New makes a judge that has heard nothing.
func New(set Settings) *Judge {
	j := &Judge{set: set, byName: map[string]*source{}, servers: map[string]*server{}, named: map[string]*server{}, words: map[string]*word{}, addrs: map[string][]*server{}, twins: map[string][]string{}, dirty: map[string]*server{},
		groups: map[int]*group{}, pins: map[string]State{}}
	for i, n := range set.Sources {
		s := &source{name: n, rank: i, claims: map[string]*claim{}, held: map[string]float64{}}
		j.sources = append(j.sources, s)
		j.byName[n] = s
	}
	return j
}

func (j *Judge) say(what What, s *server, src, format string, args ...any) {
	g := Judgement{At: j.now, What: what, Source: src, Why: fmt.Sprintf(format, args...)}
	if s != nil {
		g.Server, g.Group = s.name, s.shown.Group
		for _, c := range s.claims {
			if g.Group == 0 && c != nil {
				g.Group = c.Group
			}
		}
	}
	j.said = append(j.said, g)
}

func (j *Judge) touch(id string) *server {
	s := j.servers[id]
	if s == nil {
		s = &server{id: id, name: id, claims: make([]*claim, len(j.sources)), want: Gone}
		j.servers[id] = s
	}
	j.dirty[id] = s
	return s
}

func (j *Judge) touchAll(src *source) {
	for id := range src.claims {
		j.touch(id)
	}
}

// Tick does what time alone brings about, and tells when it must be called next, 0 for never.
func (j *Judge) Tick(now float64) (next float64) {
	j.now = max(now, j.now)
	if j.set.MassHold > 0 {
		j.release(j.now-j.set.MassHold, fmt.Sprintf("it was so for %.0f s", j.set.MassHold/1000))
	}
	soon := func(at float64) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, src := range j.sources {
		if j.set.Keep > 0 && src.lostAt != 0 && j.now >= src.lostAt+j.set.Keep {
			j.touchAll(src)
		}
	}
	for id, s := range j.servers {
		if s.stillAt != 0 && j.now >= s.stillAt || s.doubted {
			j.dirty[id] = s
		}
		if !s.listed && s.stillAt == 0 && len(s.flips) > 0 && j.now-s.flips[len(s.flips)-1] > j.set.FlapIn {
			s.flips = nil
			j.forget(s)
		}
	}
	for a, w := range j.words {
		if j.addrs[a] == nil && j.now-w.at > max(10*j.set.WordFor, 60000) {
			delete(j.words, a)
		}
	}
	j.settle()
	for _, src := range j.sources {
		for _, at := range src.held {
			if j.set.MassHold > 0 {
				soon(at + j.set.MassHold + 1)
			}
		}
		if j.set.Keep > 0 && src.lostAt != 0 && len(src.claims) > 0 {
			soon(max(src.lostAt+j.set.Keep, j.now+1000))
		}
	}
	for _, s := range j.servers {
		if s.stillAt != 0 {
			soon(s.stillAt)
		}
		if s.doubted {
			soon(j.now + 1000)
		}
	}
	return next
}

// Take is what has changed of the list since it was last called, and the judgements.
func (j *Judge) Take() ([]Entry, []Judgement) {
	out, said := j.out, j.said
	j.out, j.said = nil, nil
	return out, said
}

// List is the whole list, by id.
func (j *Judge) List() []Entry {
	var out []Entry
	for _, s := range j.named {
		out = append(out, s.shown)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Entry is a server as the list has it.
func (j *Judge) Entry(id string) (Entry, bool) {
	if s := j.named[id]; s != nil {
		return s.shown, true
	}
	return Entry{}, false
}

// Len is how many servers the list has.
func (j *Judge) Len() int { return len(j.named) }

// Held is how many removals are held back.
func (j *Judge) Held() (n int) {
	for _, s := range j.sources {
		n += len(s.held)
	}
	return n
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
