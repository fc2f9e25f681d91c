package budgetlease

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"beechgrade/internal/cluster/overload"
	"beechgrade/internal/invariant"
)

// ID identifies a process, as in the view.
type ID = overload.ID

// Peer is a process that can be reached.
type Peer = overload.Peer

// Settings configure lending. Times are in ms, amounts in retries.
type Settings struct {
	TransferInterval float64 // between two transfers to a bank
	RequestInterval  float64 // between two requests to a bank
	OwnReserve       float64 // that a pooler keeps for itself
	MaxBankBalance   float64 // that a bank holds for a group
	TickInterval     float64 // between two ticks
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{TransferInterval: 250, RequestInterval: 150, OwnReserve: 1, MaxBankBalance: 40, TickInterval: 50}
}

// Bounds of what is taken from outside.
const (
	GroupsPerBlock = overload.GroupsPerBlock
	MaxGroups      = overload.MaxGroups
	MaxPeers       = overload.MaxPeers
	maxRequested   = 64
)

// WaitBound bounds the time that a request waits for a transfer, if the bank has any.
func (s *Settings) WaitBound(delay float64) float64 {
	return s.RequestInterval + s.TickInterval + 2*delay
}

// TrafficBound bounds the datagrams a second that a pooler sends for a number of groups, without answers.
func (s *Settings) TrafficBound(groups int) float64 {
	return math.Ceil(float64(groups)/GroupsPerBlock) * (1000/s.TransferInterval + 1000/s.RequestInterval)
}

// SavedBound bounds what n poolers, each up to depth, and a bank may have saved up for a group.
func (s *Settings) SavedBound(n int, depth float64) float64 {
	return float64(n)*depth + s.MaxBankBalance
}

// Balance is the budget that the decision module has for a group, and the number of requests that wait for more.
type Balance struct {
	Group     int
	Remaining float64
	Waiting   int
}

// Transfer is a message that moves retries to its receiver.
type Transfer struct {
	Sequence uint32
	Items    []Item
}

// TransferRequest is a message that asks a bank for a Transfer.
type TransferRequest struct {
	Sequence uint32
	Items    []Item
}

// Item is the part of a message about one group. An Amount is a whole number of unitsPerRetry-th parts.
type Item struct {
	Group  int
	Amount float64
}

// Action is something that a Lender asks its caller to do.
type Action struct {
	To       ID
	Addr     string
	Transfer *Transfer
	Request  *TransferRequest
	Group    int // without a message: the decision module has Amount more of it, or less
	Amount   float64
}

// Lender is one process's side: a pooler and, for some blocks, the bank. It is not safe for concurrent use.
type Lender struct {
	settings     Settings
	self         ID
	now          float64
	peers        []Peer
	addresses    map[ID]string
	banks        map[int]ID // by block
	balances     map[int]*bankBalance
	sequence     uint32
	lastTransfer map[ID]uint32 // sequence number of the last transfer, by sender
	lastRequest  map[ID]uint32
	nextTransfer float64
	nextRequest  map[int]float64 // by block: the earliest time
	checks       *invariant.Checks
}

// bankBalance is what a bank holds for a group, and the sums of what was deposited and withdrawn.
type bankBalance struct{ amount, deposited, withdrawn float64 }

// New returns the Lender of a process that knows nobody, at time now in ms.
func New(set Settings, self ID, now float64) *Lender {
	return &Lender{settings: set, self: self, now: now, addresses: map[ID]string{}, banks: map[int]ID{}, balances: map[int]*bankBalance{}, lastTransfer: map[ID]uint32{},
		lastRequest: map[ID]uint32{}, nextRequest: map[int]float64{}, nextTransfer: now + float64(self%1000)/1000*set.TransferInterval}
}

// CheckInvariants makes the Lender check its invariants.
func (l *Lender) CheckInvariants(c *invariant.Checks) { l.checks = c }

// UpdateMembers sets the processes that can be reached, this one included.
func (l *Lender) UpdateMembers(self ID, peers []Peer) {
	l.self, l.peers = self, peers[:min(len(peers), MaxPeers)]
	clear(l.addresses)
	clear(l.banks)
	for _, p := range l.peers {
		l.addresses[p.ID] = p.Addr
	}
	for id := range l.lastTransfer { // a process never returns with the same ID once the view has dropped it
		if len(l.lastTransfer) > MaxPeers && l.addresses[id] == "" {
			delete(l.lastTransfer, id)
			delete(l.lastRequest, id)
		}
	}
}

// bank returns the bank of a block.
func (l *Lender) bank(block int) ID {
	id, ok := l.banks[block]
	if !ok {
		id = l.self
		if ids := overload.RendezvousPeers(uint64(block)<<8|2, 1, l.peers); len(ids) > 0 {
			id = ids[0]
		}
		l.banks[block] = id
	}
	return id
}

func wholeUnits(x float64) float64 { return math.Floor(max(0, x)*unitsPerRetry) / unitsPerRetry }

func (l *Lender) balance(group int) *bankBalance {
	v := l.balances[group]
	if v == nil {
		if v = (&bankBalance{}); len(l.balances) < MaxGroups {
			l.balances[group] = v
		}
	}
	return v
}

func (l *Lender) deposit(group int, x float64) {
	v := l.balance(group)
	x = min(x, max(0, l.settings.MaxBankBalance-v.amount))
	v.amount, v.deposited = v.amount+x, v.deposited+x
}

// withdraw takes up to x and returns what it took.
func (l *Lender) withdraw(group int, x float64) float64 {
	v := l.balance(group)
	x = min(x, v.amount)
	v.amount, v.withdrawn = v.amount-x, v.withdrawn+x
	l.checks.That(v.amount >= 0 && v.withdrawn <= v.deposited+1e-6, "budgetlease: nothing is lent twice", func() string { return fmt.Sprintf("group %d: %+v", group, *v) })
	return x
}

// Tick reports that time has passed, and the budgets of the decision module.
func (l *Lender) Tick(now float64, all []Balance, out []Action) []Action {
	l.now = max(now, l.now)
	gives, wants := map[int][]Item{}, map[int][]Item{} // by block
	due := l.now >= l.nextTransfer
	if due {
		l.nextTransfer = l.now + l.settings.TransferInterval
	}
	for _, s := range all {
		block, mine := s.Group/GroupsPerBlock, l.bank(s.Group/GroupsPerBlock) == l.self
		lacks := min(maxRequested, float64(s.Waiting))
		switch more := wholeUnits(s.Remaining - l.settings.OwnReserve); {
		case s.Waiting > 0 && s.Remaining < lacks:
			more = lacks
			if x := l.withdraw(s.Group, wholeUnits(more)); x > 0 {
				out, more = append(out, Action{Group: s.Group, Amount: x}), more-x
			}
			if !mine && more > 0 && l.now >= l.nextRequest[block] {
				wants[block] = append(wants[block], Item{s.Group, more})
			}
		case due && s.Waiting == 0 && more > 0:
			out = append(out, Action{Group: s.Group, Amount: -more})
			if mine {
				l.deposit(s.Group, more)
			} else {
				gives[block] = append(gives[block], Item{s.Group, more})
			}
		}
	}
	if due {
		for group, v := range l.balances { // sorted below
			if v.amount > 0 && l.bank(group/GroupsPerBlock) != l.self {
				gives[group/GroupsPerBlock] = append(gives[group/GroupsPerBlock], Item{group, l.withdraw(group, v.amount)})
			}
		}
	}
	for _, block := range sortedBlocks(wants) {
		l.nextRequest[block] = l.now + l.settings.RequestInterval
		out = l.send(l.bank(block), nil, wants[block], out)
	}
	for _, block := range sortedBlocks(gives) {
		out = l.send(l.bank(block), mergeByGroup(gives[block]), nil, out)
	}
	return out
}

func sortedBlocks(m map[int][]Item) (out []int) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// mergeByGroup returns one item for each group, by number.
func mergeByGroup(items []Item) (out []Item) {
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

func (l *Lender) send(to ID, gives, wants []Item, out []Action) []Action {
	l.sequence++
	a := Action{To: to, Addr: l.addresses[to]}
	if gives != nil {
		a.Transfer = &Transfer{l.sequence, gives}
	} else {
		a.Request = &TransferRequest{l.sequence, wants}
	}
	return append(out, a)
}

// Receive handles a message: *Transfer or *TransferRequest.
func (l *Lender) Receive(now float64, from ID, m any, out []Action) []Action {
	l.now = max(now, l.now)
	if l.addresses[from] == "" || from == l.self {
		return out
	}
	switch m := m.(type) {
	case *Transfer:
		if m.Sequence <= l.lastTransfer[from] { // duplicated or reordered
			return out
		}
		l.lastTransfer[from] = m.Sequence
		for _, x := range m.Items {
			if l.bank(x.Group/GroupsPerBlock) == l.self {
				l.deposit(x.Group, x.Amount)
			} else {
				out = append(out, Action{Group: x.Group, Amount: x.Amount})
			}
		}
	case *TransferRequest:
		if m.Sequence <= l.lastRequest[from] {
			return out
		}
		l.lastRequest[from] = m.Sequence
		var gives []Item
		for _, x := range m.Items {
			if n := l.withdraw(x.Group, x.Amount); n > 0 {
				gives = append(gives, Item{x.Group, n})
			}
		}
		if gives != nil {
			out = l.send(from, gives, nil, out)
		}
	}
	return out
}
