package budgetlease

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// fleet simulates poolers with the budgets of their decision modules. Messages may be lost, duplicated and delayed.
type fleet struct {
	now       float64
	all       []*Lender
	remaining [][]float64 // budgets, by pooler and group
	waiting   [][]int     // requests that wait for a budget, by pooler and group
	messages  []message   // in transit
	earned    float64     // retries of all poolers
	used      float64     // retries of all poolers
	copies    func() int  // how often the next message arrives
}

// message is a message in transit.
type message struct {
	from, to int
	content  any
}

func newFleet(n, groups int, checks *invariant.Checks) *fleet {
	f := &fleet{now: 1e6, copies: func() int { return 1 }}
	for i := range n {
		l := New(Defaults(), ID(i+1), f.now)
		l.CheckInvariants(checks)
		f.all = append(f.all, l)
		f.remaining, f.waiting = append(f.remaining, make([]float64, groups)), append(f.waiting, make([]int, groups))
	}
	for i := range n {
		f.setView(i, func(int) bool { return true })
	}
	return f
}

// setView sets the view of a pooler to itself and those for which reaches is true.
func (f *fleet) setView(i int, reaches func(k int) bool) {
	var peers []Peer
	for k := range f.all {
		if k == i || reaches(k) {
			peers = append(peers, Peer{ID: ID(k + 1), Addr: string(rune('a' + k))})
		}
	}
	f.all[i].UpdateMembers(ID(i+1), peers)
}

// perform carries out the actions of a pooler.
func (f *fleet) perform(i int, actions []Action) {
	for _, a := range actions {
		var content any
		switch {
		case a.Transfer != nil:
			content, _ = Decode(a.Transfer.Append(nil))
		case a.Request != nil:
			content, _ = Decode(a.Request.Append(nil))
		default:
			f.remaining[i][a.Group] += a.Amount
			continue
		}
		for range f.copies() {
			f.messages = append(f.messages, message{i, int(a.To) - 1, content})
		}
	}
}

// earn adds an amount to a pooler's budget.
func (f *fleet) earn(i, group int, amount float64) {
	f.remaining[i][group] += amount
	f.earned += amount
}

// retry takes a retry from a pooler's budget, as the decision module does, and reports whether there was one.
func (f *fleet) retry(i, group int) bool {
	if f.remaining[i][group] < 1 {
		f.waiting[i][group]++
		return false
	}
	f.remaining[i][group]--
	f.waiting[i][group] = max(0, f.waiting[i][group]-1)
	f.used++
	return true
}

func (f *fleet) tick(i int) {
	var balances []Balance
	for group, remaining := range f.remaining[i] {
		balances = append(balances, Balance{group, remaining, f.waiting[i][group]})
	}
	f.perform(i, f.all[i].Tick(f.now, balances, nil))
}

// deliver delivers the message with index k.
func (f *fleet) deliver(k int) {
	m := f.messages[k]
	f.messages = append(f.messages[:k:k], f.messages[k+1:]...)
	f.perform(m.to, f.all[m.to].Receive(f.now, ID(m.from+1), m.content, nil))
}

// step lets 50 ms pass: all poolers get a tick, and all messages arrive.
func (f *fleet) step() {
	f.now += 50
	for i := range f.all {
		f.tick(i)
	}
	for len(f.messages) > 0 {
		f.deliver(0)
	}
}

// saved returns the sum of the budgets of all decision modules and the balances of all owners.
func (f *fleet) saved() (sum float64) {
	for i, l := range f.all {
		for _, remaining := range f.remaining[i] {
			sum += remaining
		}
		for _, balance := range l.balances {
			sum += balance.amount
		}
	}
	return sum
}

// TestBudgetIsLentWhereItIsNeeded: eight poolers earn one retry a second each, and only one of them needs retries, four a second. It gets
// the retries of the others within WaitBound.
func TestBudgetIsLentWhereItIsNeeded(t *testing.T) {
	f := newFleet(8, 3, invariant.Test(t))
	needed, made, waitingSteps := 0, 0, 0
	for n := range 200 {
		for i := range f.all {
			f.earn(i, 1, 0.05)
		}
		if n >= 100 && n%5 == 0 { // in 20 steps, a second, the poolers earn 8 retries and pooler 3 needs 4
			needed++
			f.waiting[3][1] = 1
		}
		if f.waiting[3][1] > 0 && f.retry(3, 1) {
			made++
		} else if f.waiting[3][1] > 0 {
			waitingSteps++
			f.waiting[3][1] = 1
		}
		f.step()
	}
	limit := float64(needed) * f.all[0].settings.WaitBound(0) / 50
	if made < needed-1 || float64(waitingSteps) > limit {
		t.Errorf("of %d retries %d were made, after %d steps of waiting in all, want all but one after at most %v steps", needed, made, waitingSteps, limit)
	}
}

// TestNeverMoreThanEarned: whichever messages are lost, duplicated, delayed or reordered, and whatever the views are, the retries saved and
// used are no more than those earned.
func TestNeverMoreThanEarned(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		const n, groups = 4, 2
		f := newFleet(n, groups, invariant.Test(t))
		f.copies = func() int { return rapid.IntRange(0, 2).Draw(rt, "copies") }
		pooler := func(name string) int { return rapid.IntRange(0, n-1).Draw(rt, name) }
		actions := map[string]func(*rapid.T){
			"earn":  func(*rapid.T) { f.earn(pooler("pooler"), 0, rapid.Float64Range(0, 3).Draw(rt, "amount")) },
			"retry": func(*rapid.T) { f.retry(pooler("pooler"), rapid.IntRange(0, groups-1).Draw(rt, "group")) },
			"tick":  func(*rapid.T) { f.now += 100; f.tick(pooler("pooler")) },
			"view": func(*rapid.T) {
				reached := rapid.IntRange(0, 1<<n-1).Draw(rt, "reached") // a bit for each pooler
				f.setView(pooler("pooler"), func(k int) bool { return reached>>k&1 == 1 })
			},
			"deliver": func(t *rapid.T) {
				if len(f.messages) == 0 {
					t.Skip()
				}
				f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(rt, "message"))
			},
			"": func(t *rapid.T) {
				if sum := f.saved() + f.used; sum > f.earned+1e-6 {
					t.Fatalf("%v retries are saved or used, of %v earned", sum, f.earned)
				}
			},
		}
		rt.Repeat(actions)
	})
}

// TestIsolatedPoolerUsesItsOwnBudget: a pooler that reaches no other pooler uses the retries that it earns, and no more.
func TestIsolatedPoolerUsesItsOwnBudget(t *testing.T) {
	f := newFleet(5, 1, invariant.Test(t))
	f.copies = func() int { return 0 }
	made := 0
	for range 200 {
		for i := range f.all {
			f.earn(i, 0, 0.05)
		}
		if f.retry(2, 0) {
			made++
		}
		f.step()
	}
	if made < 9 || made > 10 {
		t.Errorf("%d retries were made of 10 earned, want 9 or 10", made)
	}
}

// TestInvariantDetectsDoubleLending: an owner that lends the same balance twice breaks an invariant.
func TestInvariantDetectsDoubleLending(t *testing.T) {
	checks := invariant.New(nil)
	l := New(Defaults(), 1, 0)
	l.CheckInvariants(checks)
	l.deposit(0, 5)
	l.withdraw(0, 5)
	l.balances[0].amount = 5
	l.withdraw(0, 5)
	if len(checks.Breaches()) != 1 {
		t.Errorf("breaches are %v, want one", checks.Breaches())
	}
}

// TestMessagesRoundTrip: messages decode as they were encoded, and none is longer than 100 bytes; malformed ones are errors, not panics.
func TestMessagesRoundTrip(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Item {
			return Item{rapid.IntRange(0, math.MaxInt32).Draw(rt, "group"), float64(rapid.IntRange(0, maxItemUnits).Draw(rt, "amount")) / unitsPerRetry}
		}), 1, GroupsPerBlock).Draw(rt, "items")
		transfer := &Transfer{rapid.Uint32().Draw(rt, "seq"), items}
		b := transfer.Append(nil)
		m, err := Decode(b)
		if diff := cmp.Diff(any(transfer), any(m)); err != nil || diff != "" || len(b) > 100 {
			rt.Fatalf("transfer of %d bytes, want at most 100; decoded with error %v, difference (-want +got):\n%s", len(b), err, diff)
		}
		if m, err := Decode(b[:rapid.IntRange(0, len(b)-1).Draw(rt, "cut")]); err == nil {
			rt.Fatalf("a truncated message is decoded as %+v, want an error", m)
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(rt, "noise"))
	})
}
