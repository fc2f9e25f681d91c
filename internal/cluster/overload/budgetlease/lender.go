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
	TransferInterval float64 // between two transfers to an owner
	RequestInterval  float64 // between two requests to an owner
	OwnReserve       float64 // amount of a group that a pooler does not transfer
	MaxOwnerBalance  float64 // largest amount of a group that an owner holds
	TickInterval     float64 // between two ticks
}

// Defaults returns settings for a fleet within one region or a few.
func Defaults() Settings {
	return Settings{TransferInterval: 250, RequestInterval: 150, OwnReserve: 1, MaxOwnerBalance: 40, TickInterval: 50}
}

// Limits of received data and of state.
const (
	GroupsPerBlock = overload.GroupsPerBlock
	MaxGroups      = overload.MaxGroups
	MaxPeers       = overload.MaxPeers
	maxRequested   = 64 // retries in an item of a request
)

// WaitBound bounds the time that a request waits for a transfer, if the owner has a balance.
func (s *Settings) WaitBound(delay float64) float64 {
	return s.RequestInterval + s.TickInterval + 2*delay
}

// TrafficBound bounds the datagrams a second that a pooler sends for a number of groups, without its answers as an owner.
func (s *Settings) TrafficBound(groups int) float64 {
	return math.Ceil(float64(groups)/GroupsPerBlock) * (1000/s.TransferInterval + 1000/s.RequestInterval)
}

// SavedBound bounds the retries that n poolers, each up to depth, and an owner may have saved up for a group.
func (s *Settings) SavedBound(n int, depth float64) float64 {
	return float64(n)*depth + s.MaxOwnerBalance
}

// Balance is the retry budget of a group in the decision module, and the number of requests that wait for a larger one.
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

// TransferRequest is a message that asks an owner for a Transfer.
type TransferRequest struct {
	Sequence uint32
	Items    []Item
}

// Item is the part of a message about one group. An Amount is a whole number of unitsPerRetry-th parts.
type Item struct {
	Group  int
	Amount float64
}

// Action is an output of a Lender, which its caller carries out.
type Action struct {
	To       ID
	Addr     string
	Transfer *Transfer
	Request  *TransferRequest
	Group    int // without a message: the group whose budget in the decision module changes by Amount
	Amount   float64
}

// Lender is the lending state of one process, which is a pooler and, for some blocks, the owner. It is not safe for concurrent use.
type Lender struct {
	settings     Settings
	self         ID
	now          float64
	peers        []Peer
	addresses    map[ID]string
	owners       map[int]ID            // by block
	balances     map[int]*ownerBalance // by group
	sequence     uint32
	lastTransfer map[ID]uint32 // sequence number of the last transfer, by sender
	lastRequest  map[ID]uint32 // sequence number of the last request, by sender
	nextTransfer float64
	nextRequest  map[int]float64 // earliest time of the next request, by block
	checks       *invariant.Checks
}

// ownerBalance is the amount that an owner holds for a group, and the sums of deposits and withdrawals.
type ownerBalance struct{ amount, deposited, withdrawn float64 }

// New returns the Lender of a process that knows no other process, at time now in ms.
func New(settings Settings, self ID, now float64) *Lender {
	return &Lender{settings: settings, self: self, now: now, addresses: map[ID]string{}, owners: map[int]ID{}, balances: map[int]*ownerBalance{}, lastTransfer: map[ID]uint32{},
		lastRequest: map[ID]uint32{}, nextRequest: map[int]float64{}, nextTransfer: now + float64(self%1000)/1000*settings.TransferInterval}
}

// CheckInvariants makes the Lender check its invariants.
func (l *Lender) CheckInvariants(checks *invariant.Checks) { l.checks = checks }

// UpdateMembers sets the processes that can be reached, this one included.
func (l *Lender) UpdateMembers(self ID, peers []Peer) {
	l.self, l.peers = self, peers[:min(len(peers), MaxPeers)]
	clear(l.addresses)
	clear(l.owners)
	for _, peer := range l.peers {
		l.addresses[peer.ID] = peer.Addr
	}
	for id := range l.lastTransfer { // a process never returns with the same ID once the view has dropped it
		if len(l.lastTransfer) > MaxPeers && l.addresses[id] == "" {
			delete(l.lastTransfer, id)
			delete(l.lastRequest, id)
		}
	}
}

// owner returns the owner of a block.
func (l *Lender) owner(block int) ID {
	id, ok := l.owners[block]
	if !ok {
		id = l.self
		if ids := overload.RendezvousPeers(uint64(block)<<8|2, 1, l.peers); len(ids) > 0 {
			id = ids[0]
		}
		l.owners[block] = id
	}
	return id
}

// wholeUnits rounds an amount down to whole units of messages.
func wholeUnits(x float64) float64 { return math.Floor(max(0, x)*unitsPerRetry) / unitsPerRetry }

// balance returns this process's balance as the owner of a group and creates it for an unknown one. Beyond MaxGroups groups it is not stored.
func (l *Lender) balance(group int) *ownerBalance {
	b := l.balances[group]
	if b == nil {
		if b = (&ownerBalance{}); len(l.balances) < MaxGroups {
			l.balances[group] = b
		}
	}
	return b
}

// deposit adds an amount to a balance, up to MaxOwnerBalance.
func (l *Lender) deposit(group int, amount float64) {
	b := l.balance(group)
	amount = min(amount, max(0, l.settings.MaxOwnerBalance-b.amount))
	b.amount, b.deposited = b.amount+amount, b.deposited+amount
}

// withdraw takes up to an amount from a balance and returns the amount taken.
func (l *Lender) withdraw(group int, amount float64) float64 {
	b := l.balance(group)
	amount = min(amount, b.amount)
	b.amount, b.withdrawn = b.amount-amount, b.withdrawn+amount
	l.checks.That(b.amount >= 0 && b.withdrawn <= b.deposited+1e-6, "budgetlease: nothing is lent twice", func() string { return fmt.Sprintf("group %d: %+v", group, *b) })
	return amount
}

// Tick reports that time has passed, and the budgets of the decision module.
func (l *Lender) Tick(now float64, balances []Balance, out []Action) []Action {
	l.now = max(now, l.now)
	transfers, requests := map[int][]Item{}, map[int][]Item{} // by block
	due := l.now >= l.nextTransfer
	if due {
		l.nextTransfer = l.now + l.settings.TransferInterval
	}
	for _, balance := range balances {
		block, isOwner := balance.Group/GroupsPerBlock, l.owner(balance.Group/GroupsPerBlock) == l.self
		needed := min(maxRequested, float64(balance.Waiting))
		switch amount := wholeUnits(balance.Remaining - l.settings.OwnReserve); {
		case balance.Waiting > 0 && balance.Remaining < needed:
			amount = needed
			if withdrawn := l.withdraw(balance.Group, wholeUnits(amount)); withdrawn > 0 {
				out, amount = append(out, Action{Group: balance.Group, Amount: withdrawn}), amount-withdrawn
			}
			if !isOwner && amount > 0 && l.now >= l.nextRequest[block] {
				requests[block] = append(requests[block], Item{balance.Group, amount})
			}
		case due && balance.Waiting == 0 && amount > 0:
			out = append(out, Action{Group: balance.Group, Amount: -amount})
			if isOwner {
				l.deposit(balance.Group, amount)
			} else {
				transfers[block] = append(transfers[block], Item{balance.Group, amount})
			}
		}
	}
	if due { // the balances of blocks whose owner is another process now
		for group, b := range l.balances { // sorted below
			if b.amount > 0 && l.owner(group/GroupsPerBlock) != l.self {
				transfers[group/GroupsPerBlock] = append(transfers[group/GroupsPerBlock], Item{group, l.withdraw(group, b.amount)})
			}
		}
	}
	for _, block := range sortedBlocks(requests) {
		l.nextRequest[block] = l.now + l.settings.RequestInterval
		out = l.send(l.owner(block), nil, requests[block], out)
	}
	for _, block := range sortedBlocks(transfers) {
		out = l.send(l.owner(block), mergeByGroup(transfers[block]), nil, out)
	}
	return out
}

func sortedBlocks(items map[int][]Item) (out []int) {
	for block := range items {
		out = append(out, block)
	}
	slices.Sort(out)
	return out
}

// mergeByGroup returns one item for each group with the sum of its amounts, sorted by group.
func mergeByGroup(items []Item) (out []Item) {
	slices.SortFunc(items, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Amount, b.Amount)) })
	for _, item := range items {
		if n := len(out); n > 0 && out[n-1].Group == item.Group {
			out[n-1].Amount += item.Amount
			continue
		}
		out = append(out, item)
	}
	return out
}

// send emits a Transfer, or a TransferRequest if transfer is nil.
func (l *Lender) send(to ID, transfer, request []Item, out []Action) []Action {
	l.sequence++
	action := Action{To: to, Addr: l.addresses[to]}
	if transfer != nil {
		action.Transfer = &Transfer{l.sequence, transfer}
	} else {
		action.Request = &TransferRequest{l.sequence, request}
	}
	return append(out, action)
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
		for _, item := range m.Items {
			if l.owner(item.Group/GroupsPerBlock) == l.self {
				l.deposit(item.Group, item.Amount)
			} else {
				out = append(out, Action{Group: item.Group, Amount: item.Amount})
			}
		}
	case *TransferRequest:
		if m.Sequence <= l.lastRequest[from] {
			return out
		}
		l.lastRequest[from] = m.Sequence
		var transfer []Item
		for _, item := range m.Items {
			if amount := l.withdraw(item.Group, item.Amount); amount > 0 {
				transfer = append(transfer, Item{item.Group, amount})
			}
		}
		if transfer != nil {
			out = l.send(from, transfer, nil, out)
		}
	}
	return out
}
