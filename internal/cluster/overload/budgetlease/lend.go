package budgetlease

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// ID names a process, Peer is one that can be reached.
type (
	ID   = overload.ID
	Peer = overload.Peer
)

// Settings say how it is lent. Times are in ms.
type Settings struct {
	Period float64 // between two gifts to a bank
	Again  float64 // before a bank is asked again
	Keep   float64 // that one keeps for itself
	Vault  float64 // that a bank keeps for a group
	Step   float64 // between two ticks
}

// Defaults are for a fleet within one region or a few.
func Defaults() Settings { return Settings{Period: 250, Again: 150, Keep: 1, Vault: 40, Step: 50} }

// Bounds of what is taken from outside.
const (
	Block      = overload.Block
	MostGroups = overload.MostGroups
	MostPeers  = overload.MostPeers
	mostAsked  = 64
)

// Wait bounds the time from lacking to having.
func (s *Settings) Wait(delay float64) float64 { return s.Again + s.Step + 2*delay }

// Talk bounds the datagrams that a pooler sends a second of so many groups, answers aside.
func (s *Settings) Talk(groups int) float64 {
	return math.Ceil(float64(groups)/Block) * (1000/s.Period + 1000/s.Again)
}

// Carry bounds what n poolers and a bank may have saved up of a group, each by itself depth.
func (s *Settings) Carry(n int, depth float64) float64 { return float64(n)*depth + s.Vault }

// Stock is what the decision module has of a group, and how many requests wait for want of it.
type Stock struct {
	Group     int
	Remaining float64
	Waiting   int
}

// Give moves what it names to who hears it; Want asks for it. An Amount is in 64ths, whole.
type (
	Give struct {
		Seq   uint32
		Items []Item
	}
	Want struct {
		Seq   uint32
		Items []Item
	}
	Item struct {
		Group  int
		Amount float64
	}
)

// Action is something that is to be done.
type Action struct {
	To     ID
	Addr   string
	Give   *Give
	Want   *Want
	Group  int // without either: the module has so much more of it, or less
	Amount float64
}

// Lend is one process's side.
type Lend struct {
	set    Settings
	self   ID
	now    float64
	peers  []Peer
	addr   map[ID]string
	banks  map[int]ID // by block
	vaults map[int]*vault
	seq    uint32
	given  map[ID]uint32 // the last gift heard of each
	asked  map[ID]uint32
	giveAt float64
	askAt  map[int]float64 // by block: not before
	checks *invariant.Checks
}

// vault is what a bank has of a group; in and out are all that came and went.
type vault struct{ left, in, out float64 }

// New makes a process's side.
func New(set Settings, self ID, now float64) *Lend {
	return &Lend{set: set, self: self, now: now, addr: map[ID]string{}, banks: map[int]ID{}, vaults: map[int]*vault{}, given: map[ID]uint32{},
		asked: map[ID]uint32{}, askAt: map[int]float64{}, giveAt: now + float64(self%1000)/1000*set.Period}
}

// Check has what must be true of it checked.
func (l *Lend) Check(c *invariant.Checks) { l.checks = c }

// Members brings those that can be reached.
func (l *Lend) Members(self ID, peers []Peer) {
	l.self, l.peers = self, peers[:min(len(peers), MostPeers)]
	clear(l.addr)
	clear(l.banks)
	for _, p := range l.peers {
		l.addr[p.ID] = p.Addr
	}
	for id := range l.given { // an ID is of one process, which does not come back with it once the view has let it go
		if len(l.given) > MostPeers && l.addr[id] == "" {
			delete(l.given, id)
			delete(l.asked, id)
		}
	}
}

// bank is the one of a block.
func (l *Lend) bank(block int) ID {
	id, ok := l.banks[block]
	if !ok {
		id = l.self
		if ids := overload.First(uint64(block)<<8|2, 1, l.peers); len(ids) > 0 {
			id = ids[0]
		}
		l.banks[block] = id
	}
	return id
}

func floor(x float64) float64 { return math.Floor(max(0, x)*grain) / grain }

func (l *Lend) vault(group int) *vault {
	v := l.vaults[group]
	if v == nil {
		if v = (&vault{}); len(l.vaults) < MostGroups {
			l.vaults[group] = v
		}
	}
	return v
}

func (l *Lend) put(group int, x float64) {
	v := l.vault(group)
	x = min(x, max(0, l.set.Vault-v.left))
	v.left, v.in = v.left+x, v.in+x
}

// take takes so much at most.
func (l *Lend) take(group int, x float64) float64 {
	v := l.vault(group)
	x = min(x, v.left)
	v.left, v.out = v.left-x, v.out+x
	l.checks.That(v.left >= 0 && v.out <= v.in+1e-6, "lend: nothing is lent twice", func() string { return fmt.Sprintf("group %d: %+v", group, *v) })
	return x
}

// Tick tells that time has passed, and what the module has.
func (l *Lend) Tick(now float64, all []Stock, out []Action) []Action {
	l.now = max(now, l.now)
	gives, wants := map[int][]Item{}, map[int][]Item{} // by block
	due := l.now >= l.giveAt
	if due {
		l.giveAt = l.now + l.set.Period
	}
	for _, s := range all {
		block, mine := s.Group/Block, l.bank(s.Group/Block) == l.self
		lacks := min(mostAsked, float64(s.Waiting))
		switch more := floor(s.Remaining - l.set.Keep); {
		case s.Waiting > 0 && s.Remaining < lacks:
			more = lacks
			if x := l.take(s.Group, floor(more)); x > 0 {
				out, more = append(out, Action{Group: s.Group, Amount: x}), more-x
			}
			if !mine && more > 0 && l.now >= l.askAt[block] {
				wants[block] = append(wants[block], Item{s.Group, more})
			}
		case due && s.Waiting == 0 && more > 0:
			out = append(out, Action{Group: s.Group, Amount: -more})
			if mine {
				l.put(s.Group, more)
			} else {
				gives[block] = append(gives[block], Item{s.Group, more})
			}
		}
	}
	if due {
		for group, v := range l.vaults { // sorted below
			if v.left > 0 && l.bank(group/Block) != l.self {
				gives[group/Block] = append(gives[group/Block], Item{group, l.take(group, v.left)})
			}
		}
	}
	for _, block := range keys(wants) {
		l.askAt[block] = l.now + l.set.Again
		out = l.send(l.bank(block), nil, wants[block], out)
	}
	for _, block := range keys(gives) {
		out = l.send(l.bank(block), merged(gives[block]), nil, out)
	}
	return out
}

func keys(m map[int][]Item) (out []int) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// merged has each group once, by number.
func merged(items []Item) (out []Item) {
	slices.SortFunc(items, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Amount, b.Amount)) })
	for _, x := range items {
		if n := len(out); n > 0 && out[n-1].Group == x.Group {
			out[n-1].Amount += x.Amount
			continue
		}
		out = append(out, x)
	}
	return out
}

func (l *Lend) send(to ID, gives, wants []Item, out []Action) []Action {
	l.seq++
	a := Action{To: to, Addr: l.addr[to]}
	if gives != nil {
		a.Give = &Give{l.seq, gives}
	} else {
		a.Want = &Want{l.seq, wants}
	}
	return append(out, a)
}

// Heard takes a message.
func (l *Lend) Heard(now float64, from ID, m any, out []Action) []Action {
	l.now = max(now, l.now)
	if l.addr[from] == "" || from == l.self {
		return out
	}
	switch m := m.(type) {
	case *Give:
		if m.Seq <= l.given[from] { // it came before, or was overtaken
			return out
		}
		l.given[from] = m.Seq
		for _, x := range m.Items {
			if l.bank(x.Group/Block) == l.self {
				l.put(x.Group, x.Amount)
			} else {
				out = append(out, Action{Group: x.Group, Amount: x.Amount})
			}
		}
	case *Want:
		if m.Seq <= l.asked[from] {
			return out
		}
		l.asked[from] = m.Seq
		var gives []Item
		for _, x := range m.Items {
			if n := l.take(x.Group, x.Amount); n > 0 {
				gives = append(gives, Item{x.Group, n})
			}
		}
		if gives != nil {
			out = l.send(from, gives, nil, out)
		}
	}
	return out
}
