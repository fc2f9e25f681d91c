// Package judge makes one list of servers out of what several sources say of them and what the servers say of
// themselves. It holds decisions only: no I/O, no clock, no goroutines. Times are in milliseconds on the pooler's clock.
package judge

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Health is what a source says of a server's health.
type Health uint8

// The healths, as Consul tells them apart.
const (
	Passing Health = iota
	Warning
	Critical
	Maintenance // of the service or its node: it drains
)

func (h Health) String() string {
	return [...]string{"passing", "warning", "critical", "maintenance"}[h]
}

// Role is a server's role, as a source or the server itself has it.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

func (r Role) String() string { return [...]string{"unknown", "primary", "replica"}[r] }

// Claim is what one source says of one server.
type Claim struct {
	ID      string
	Address string
	Group   int
	Zone    string
	Kind    string
	Weight  float64
	Started float64 // when its process last started, 0 for long ago or unknown
	Health  Health
	Role    Role
}

// Report is news from a source: all that it has, or what changed since its last.
type Report struct {
	Whole      bool
	Claims     []Claim
	Removed    []string
	Generation int64   // 0 where the source has none
	Age        float64 // how old the source itself calls its news
	More       bool    // the source has not said all that it has yet
}

// State is a server's state in the list that is made.
type State uint8

// The states.
const (
	Serving State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Entry is a line of the list that is made.
type Entry struct {
	ID      string
	Address string
	Group   int
	Zone    string
	Kind    string
	Weight  float64
	Started float64
	State   State
	Primary bool
}

// Word is what a server said of itself, in an answer or a probe's.
type Word struct {
	Role     Role
	Position float64 // 0 where it told none
}

// What says what a judgement is about.
type What string

// The judgements.
const (
	Added        What = "added"
	Drained      What = "drained"
	Restored     What = "serving again"
	Removed      What = "removed"
	Restarted    What = "restarted"
	Moved        What = "moved"
	HeldRemoval  What = "removal held back"
	Released     What = "removal accepted"
	Flapping     What = "flapping"
	Settled      What = "settled"
	TwoAddresses What = "two addresses"
	TwoIDs       What = "one address under two ids"
	TwoPrimaries What = "two primaries"
	NoPrimary    What = "no primary"
	NotBelieved  What = "not believed"
	WentBack     What = "went back"
	SourceLost   What = "source lost"
	SourceBack   What = "source back"
	Expired      What = "expired"
	Pinned       What = "pinned"
)

// Judgement is a decision with its reason.
type Judgement struct {
	At     float64
	What   What
	Server string // empty where it is of a source
	Group  int
	Source string // whose word it went by, or against; empty for none
	Why    string
}

// OnCritical says what a critical check means.
type OnCritical uint8

// The ways.
const (
	Doubt  OnCritical = iota // it is used if it has answered lately
	Drains                   // it is not used, unless most of its group is critical
	Ignore
)

// Settings are the judge's. The zero value of a time or number switches its rule off.
type Settings struct {
	Sources   []string // by rank: where they contradict each other, the first that has a word on it wins
	Keep      float64  // a source that is lost counts for so long, 0 for ever
	OldAge    float64  // news that their source calls older than this lose to others'
	MassPart  float64  // a source that drops this part of its servers within MassIn...
	MassLeast int      // ...and at least so many is not believed at first...
	MassIn    float64
	MassHold  float64 // ...but after so long; 0 for not without the operators' word
	FlapTimes int     // a server that comes and goes so often within FlapIn...
	FlapIn    float64
	FlapHold  float64 // ...is not used until it has kept still for so long
	WordFor   float64 // a server's own word counts above all sources' for so long
	Critical  OnCritical

	TrustRoles bool // take sources' roles over servers' own words; what is right has it off
}

// Defaults are what installations have where they say nothing.
func Defaults(sources ...string) Settings {
	return Settings{Sources: sources, OldAge: 10000, MassPart: 0.5, MassLeast: 3, MassIn: 30000, MassHold: 600000, FlapTimes: 6, FlapIn: 60000, FlapHold: 20000, WordFor: 30000}
}

// Pin is the operators' own word on a server.
type Pin struct {
	ID    string
	State State // Serving: it is not dropped or drained by any source
}

// Override is the operators' word, above all else.
type Override struct {
	AcceptRemovals bool // that are held back now
	Pins           []Pin
}

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
	reason   string  // why it is not used
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

// Heard takes a source's news. It tells whether the source must be asked for all that it has: its changes do not fit.
func (j *Judge) Heard(now float64, name string, r *Report) (askWhole bool) {
	j.now = max(now, j.now)
	src := j.byName[name]
	if src == nil {
		return false
	}
	if src.lostAt != 0 {
		if !j.standing(src) {
			j.unsay(src)
		}
		src.lostAt = 0
		j.say(SourceBack, nil, name, "it can be had again")
		j.touchAll(src)
	}
	if r.Generation != 0 && r.Generation < src.gen {
		if !r.Whole {
			j.say(WentBack, nil, name, "changes of generation %d after %d are not taken", r.Generation, src.gen)
			return true
		}
		j.say(WentBack, nil, name, "generation %d after %d: it began anew", r.Generation, src.gen)
	}
	if was := src.age > j.set.OldAge && j.set.OldAge > 0; was != (r.Age > j.set.OldAge && j.set.OldAge > 0) {
		j.touchAll(src)
	}
	src.gen, src.age = r.Generation, r.Age
	named := map[string]bool{}
	for i := range r.Claims {
		c := j.one(src, r.Claims, i, named)
		if c == nil {
			continue
		}
		delete(src.held, c.ID)
		old := src.claims[c.ID]
		x := &claim{Claim: *c}
		if old != nil {
			j.keepStart(src, old, x)
			if !old.dropped && old.Claim == x.Claim {
				old.backed = x.backed
				continue
			}
		}
		src.claims[c.ID] = x
		j.touch(c.ID).claims[src.rank] = x
	}
	drop := r.Removed
	if r.Whole && src.heard {
		for id, c := range src.claims {
			if !named[id] && !c.dropped {
				drop = append(drop, id)
			}
		}
		slices.Sort(drop)
	}
	src.heard = true
	j.drop(src, drop, r.Whole && len(named) == 0)
	j.settle()
	return false
}

// one is the claim on a server where its source has only one, and the likeliest of several: of the process that started
// last, else at the address that is known.
func (j *Judge) one(src *source, all []Claim, i int, named map[string]bool) *Claim {
	c := &all[i]
	if c.ID == "" || named[c.ID] {
		return nil
	}
	named[c.ID] = true
	best := c
	for k := i + 1; k < len(all); k++ {
		o := &all[k]
		if o.ID != c.ID || o.Address == best.Address {
			continue
		}
		known := ""
		if s := j.servers[c.ID]; s != nil {
			known = s.shown.Address
		}
		if o.Started > best.Started || o.Started == best.Started && o.Address == known {
			best = o
		}
		if s := j.touch(c.ID); s.conflict != c.Address+o.Address {
			s.conflict = c.Address + o.Address
			j.say(TwoAddresses, s, src.name, "%s and %s; %s is taken", c.Address, o.Address, best.Address)
		}
	}
	return best
}

// keepStart keeps the later start where a source tells an earlier one: a process does not start again in the past.
func (j *Judge) keepStart(src *source, old, c *claim) {
	if c.backed = old.backed; c.Started >= old.Started {
		return
	}
	if c.Started != old.backed {
		j.say(WentBack, j.servers[c.ID], src.name, "its start went from %.0f to %.0f; the later one stands", old.Started, c.Started)
	}
	c.backed, c.Started = c.Started, old.Started
}

// drop has a source drop servers, unless it drops too many, or all, to be believed.
func (j *Judge) drop(src *source, ids []string, all bool) {
	live := 0
	left := map[int]int{}
	for _, c := range src.claims {
		if !c.dropped && src.held[c.ID] == 0 {
			live++
			left[c.Group]++
		}
	}
	src.drops = slices.DeleteFunc(src.drops, func(at float64) bool { return j.now-at > j.set.MassIn })
	base := live + len(src.drops)
	ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		c := src.claims[id]
		return c == nil || c.dropped || src.held[id] != 0
	})
	n := len(src.drops) + len(ids)
	mass := j.set.MassPart > 0 && (n >= j.set.MassLeast && float64(n) >= j.set.MassPart*float64(base) || all && live > 1)
	for _, id := range ids {
		left[src.claims[id].Group]--
	}
	for _, id := range ids {
		c := src.claims[id]
		empty := j.set.MassPart > 0 && left[c.Group] == 0 && base > 1
		if mass || empty {
			src.held[id] = j.now
			why := fmt.Sprintf("%d of %d within %.0f s", n, base, j.set.MassIn/1000)
			if !mass {
				why = fmt.Sprintf("group %d would have no server left", c.Group)
			}
			j.say(HeldRemoval, j.servers[id], src.name, "%s", why)
		} else {
			src.drops = append(src.drops, j.now)
			j.dropped(src, c)
		}
	}
}

// Noted has a judgement of a source kept that this module has no part in.
func (j *Judge) Noted(now float64, name string, what What, why string) {
	j.now = max(now, j.now)
	j.say(what, nil, name, "%s", why)
}

// Retire has all that a source said count no more: others have taken its place. What none of them knows is dropped as any
// other removal is: an empty answer in place of a saved list takes nothing away at first.
func (j *Judge) Retire(now float64, name string) {
	j.now = max(now, j.now)
	src := j.byName[name]
	if src == nil || len(src.claims) == 0 {
		return
	}
	var alone, shared []string
	for _, id := range sorted(src.claims) {
		known := false
		for i, c := range j.servers[id].claims {
			known = known || i != src.rank && c != nil && !c.dropped && j.standing(j.sources[i])
		}
		if known {
			shared = append(shared, id)
		} else {
			alone = append(alone, id)
		}
	}
	j.drop(src, alone, len(shared) == 0)
	for _, id := range shared {
		j.dropped(src, src.claims[id])
	}
	j.settle()
}

func (j *Judge) dropped(src *source, c *claim) {
	c.dropped = true
	delete(src.held, c.ID)
	j.touch(c.ID)
}

// unsay forgets what a source dropped before it was lost for too long: others have had the word on that since.
func (j *Judge) unsay(src *source) {
	for id, c := range src.claims {
		if c.dropped {
			delete(src.claims, id)
			j.touch(id).claims[src.rank] = nil
		}
	}
}

func (j *Judge) touchAll(src *source) {
	for id := range src.claims {
		j.touch(id)
	}
}

// Lost tells that a source cannot be had. What it said stands for a while.
func (j *Judge) Lost(now float64, name, why string) {
	j.now = max(now, j.now)
	if src := j.byName[name]; src != nil && src.lostAt == 0 {
		src.lostAt = max(j.now, 1)
		keep := "until it is back"
		if j.set.Keep > 0 {
			keep = fmt.Sprintf("for %.0f s", j.set.Keep/1000)
		}
		j.say(SourceLost, nil, name, "%s; what it said last stands %s", why, keep)
	}
}

// Told takes a server's own word, by the id that the list has for it.
func (j *Judge) Told(now float64, id string, w Word) {
	j.now = max(now, j.now)
	s := j.named[id]
	if s == nil {
		return
	}
	x := j.words[s.shown.Address]
	if x == nil {
		x = &word{started: s.shown.Started}
		j.words[s.shown.Address] = x
	}
	x.at = j.now
	x.position = max(x.position, w.Position)
	if w.Role != RoleUnknown {
		if x.role != w.Role || j.now-x.roleAt > j.set.WordFor { // it changed, or counted no more
			j.dirty[s.id] = s
		}
		x.role, x.roleAt = w.Role, j.now
	}
	if s.want == Draining && j.set.Critical == Doubt && !s.doubted {
		j.dirty[s.id] = s // its answer may speak for it
	}
	if len(j.dirty) > 0 {
		j.settle()
	}
}

// Override takes the operators' word; it replaces what they said before.
func (j *Judge) Override(now float64, o Override) {
	j.now = max(now, j.now)
	for id := range j.pins {
		j.touch(id)
	}
	clear(j.pins)
	for _, p := range o.Pins {
		j.pins[p.ID] = p.State
		j.say(Pinned, j.touch(p.ID), "", "the operators have it %s", p.State)
	}
	if o.AcceptRemovals {
		j.release(math.Inf(1), "the operators said so")
	}
	j.settle()
}

// release accepts removals that were held back since before.
func (j *Judge) release(before float64, why string) {
	for _, src := range j.sources {
		for _, id := range sorted(src.held) {
			if src.held[id] < before {
				j.say(Released, j.servers[id], src.name, "%s", why)
				j.dropped(src, src.claims[id])
			}
		}
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
