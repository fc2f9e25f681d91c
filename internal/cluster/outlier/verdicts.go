package outlier

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// Verdicts is a process's side: as an observer, as a collector, and as one that heeds what collectors say.
type Verdicts struct {
	set     Settings
	self    ID
	now     float64
	peers   []Peer
	ring    []overload.Peer // the same, for hashing
	at      map[ID]*Peer
	zones   int // in which poolers stand
	byKey   map[uint32]*server
	byName  map[string]*server
	order   []*server // by key
	groups  map[int][]*server
	of      map[int][]ID // collectors, by block
	shunned map[ID]float64
	seq     uint32
	ticked  float64
	tellAt  float64
	fullAt  float64
	out     []Action

	checks *invariant.Checks // nil where nothing is checked
	every  int
	walks  int
}

// server is what is known of one.
type server struct {
	Server
	key    uint32
	own    own
	told   Item    // as last told, by what changes it: see news
	seen   []*seen // by observer
	fresh  bool    // something was filed since it was judged
	says   map[ID]*word
	said   Sum // as last published
	looked float64
	avoid  avoid
	learnt [2]float64 // positions that the module was told: of whatever role, and as the primary
	pushed float64
	down   bool // in this pooler's module
}

// seen is what an observer told of a server, in this process's time.
type seen struct {
	id                        ID
	seq, answeredSeq, saidSeq uint32
	at                        float64
	answered, since           float64 // since: its answers since then are all that there were
	n                         int
	first, last, work         float64
	said                      Said
	saidAt                    float64
	zone                      string
}

// New makes a process's side.
func New(set Settings, self ID, now float64) *Verdicts {
	return &Verdicts{set: set, self: self, now: now, at: map[ID]*Peer{}, byKey: map[uint32]*server{}, byName: map[string]*server{}, groups: map[int][]*server{}, of: map[int][]ID{},
		shunned: map[ID]float64{}, tellAt: now, fullAt: now}
}

// Handle takes one event at time now and appends what is to be done to out.
func (v *Verdicts) Handle(now float64, e Event, out []Action) []Action {
	if v.ticked > 0 && now-v.ticked > still { // it stood still: what was out may have its answer in a socket
		v.stood()
	}
	v.now, v.out = max(now, v.now), out
	switch e := e.(type) {
	case Tick:
		v.ticked = v.now
		v.tick()
	case Members:
		v.members(e)
	case Listed:
		v.listed(e.Servers)
	case Sent:
		if s := v.byName[e.Server]; s != nil {
			s.own.sent(v.now, e.Ref, e.Work)
		}
	case Ended:
		v.ended(&e)
	case Probed:
		v.probed(&e)
	case Downs:
		for _, s := range v.order {
			_, s.down = slices.BinarySearch(e.Servers, s.Name)
		}
	case Heard:
		v.heard(e.From, e.Message)
	}
	if v.checks.On() {
		v.checks.Walk(&v.walks, v.every, "verdicts: the walk", v.walk)
	}
	out, v.out = v.out, nil
	return out
}

// still is how long after its last tick a process stood still.
const still = 500

// stood has nothing count that was out while this process stood still, and what it heard before be as old as it is.
func (v *Verdicts) stood() {
	for _, s := range v.order {
		s.own.open = s.own.open[:0]
		s.own.n = 0
	}
}

func (v *Verdicts) members(e Members) {
	v.self = e.Self
	v.peers = slices.Clone(e.Peers[:min(len(e.Peers), MostPeers)])
	v.ring = v.ring[:0]
	clear(v.at)
	clear(v.of)
	zones := map[string]bool{}
	for i := range v.peers {
		p := &v.peers[i]
		v.at[p.ID] = p
		v.ring = append(v.ring, overload.Peer{ID: p.ID, Addr: p.Addr})
		zones[p.Zone] = true
	}
	v.zones = len(zones)
	v.fullAt = min(v.fullAt, v.now+v.set.Step) // somebody may be new
}

// collectors are those of a server's block.
func (v *Verdicts) collectors(s *server) []ID {
	block := s.Group / Block
	ids, ok := v.of[block]
	if !ok {
		ids = overload.First(uint64(block)*0x9e3779b97f4a7c15+1, v.set.Collectors, v.ring)
		v.of[block] = ids
	}
	return ids
}

func (v *Verdicts) listed(all []Server) {
	named := map[string]bool{}
	for _, x := range all {
		if named[x.Name] || len(named) >= MostServers {
			continue
		}
		if o := v.byKey[v.keyOf(x)]; o != nil && o.Name != x.Name { // it shares its key: it goes without
			continue
		}
		named[x.Name] = true
		s := v.byName[x.Name]
		if s == nil || s.Start != x.Start && v.set.Broken != KeepsOld || s.Group != x.Group {
			if s != nil && s.avoid.on {
				v.release(s, false)
			}
			down := s != nil && s.down
			if s != nil {
				delete(v.byKey, s.key)
			}
			s = &server{Server: x, key: v.keyOf(x), says: map[ID]*word{}, down: down}
			s.own.clear()
			v.byName[x.Name], v.byKey[s.key] = s, s
		}
		s.Start = x.Start
	}
	v.order, v.groups = v.order[:0], map[int][]*server{}
	for name, s := range v.byName { // sorted below
		if !named[name] {
			delete(v.byName, name)
			delete(v.byKey, s.key)
			continue
		}
		v.order = append(v.order, s)
	}
	slices.SortFunc(v.order, func(a, b *server) int { return cmp.Compare(a.key, b.key) })
	for _, s := range v.order {
		v.groups[s.Group] = append(v.groups[s.Group], s)
	}
	for _, s := range v.order { // a group that has lost a member spares fewer
		if s.avoid.on {
			v.weigh(s)
		}
	}
}

// keyOf names a server's process.
func (v *Verdicts) keyOf(x Server) uint32 {
	if v.set.Broken == KeepsOld {
		x.Start = 0
	}
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s %.0f", x.Name, x.Start)))
}

func (v *Verdicts) tick() {
	for _, s := range v.order {
		v.weigh(s)
	}
	if v.now < v.tellAt {
		return
	}
	v.tellAt = v.now + v.set.Period
	full := v.now >= v.fullAt
	if full {
		v.fullAt = v.now + v.set.Refresh
		v.prune()
	}
	v.tellNews(full)
	v.publish(full)
}

// prune forgets what counts for nothing any more.
func (v *Verdicts) prune() {
	for id, until := range v.shunned { // each on its own
		if v.now >= until {
			delete(v.shunned, id)
		}
	}
	for _, s := range v.order {
		s.seen = slices.DeleteFunc(s.seen, func(x *seen) bool { return v.now-x.at > 2*v.set.Lapse || v.at[x.id] == nil })
		s.fresh = true
		for id, w := range s.says {
			if v.now-w.at > v.set.Lapse || v.at[id] == nil {
				delete(s.says, id)
			}
		}
	}
}

func (v *Verdicts) heard(from ID, m any) {
	if v.at[from] == nil || from == v.self {
		return
	}
	switch m := m.(type) {
	case *Tell:
		for i := range m.Items {
			if s := v.byKey[m.Items[i].Key]; s != nil {
				v.file(s, from, m.Seq, &m.Items[i], v.set.Delay)
			}
		}
	case *Word:
		for i := range m.Items {
			if s := v.byKey[m.Items[i].Key]; s != nil {
				v.hear(s, from, m.Seq, &m.Items[i])
			}
		}
	}
}

// split sends items in as many messages as it takes.
func split[T any](items []T, size func(*T) int, send func([]T)) {
	for len(items) > 0 {
		n, all := 0, 0
		for n < len(items) && (n == 0 || all+size(&items[n]) <= mostPacket) {
			all += size(&items[n])
			n++
		}
		send(items[:n:n])
		items = items[n:]
	}
}

// Avoids tells whether a probe's success at a server is no reason to send requests there: others find that it takes none, and it is not this
// pooler's turn to try.
func (v *Verdicts) Avoids(name string) bool {
	s := v.byName[name]
	return s != nil && s.avoid.on && !s.avoid.turn
}

func (s *server) standing() Standing {
	return Standing{Server: s.Name, Reason: s.avoid.why, ReportedBy: s.avoid.by, UntilMs: s.avoid.until}
}

// Standings tell what is avoided by others' word.
func (v *Verdicts) Standings() (out []Standing) {
	for _, s := range v.order {
		if s.avoid.on {
			out = append(out, s.standing())
		}
	}
	slices.SortFunc(out, func(a, b Standing) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Lonely counts the servers that this pooler gets no answer from and others do: where there are many, it is its own links.
func (v *Verdicts) Lonely() (n int) {
	for _, s := range v.order {
		if s.own.n > 0 && s.down && !s.avoid.on {
			for _, w := range s.says {
				if !w.bad && w.answered > s.own.last {
					n++
					break
				}
			}
		}
	}
	return n
}
