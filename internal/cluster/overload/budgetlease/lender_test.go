package budgetlease

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// fleet is some poolers with what their modules have, and words that may be lost, doubled and late.
type fleet struct {
	now    float64
	all    []*Lender
	left   [][]float64 // by pooler and group
	lacks  [][]int
	mail   []letter
	earned float64
	used   float64
	dup    func() int // how often the next word arrives
}

type letter struct {
	from, to int
	m        any
}

func newFleet(n, groups int, c *invariant.Checks) *fleet {
	f := &fleet{now: 1e6, dup: func() int { return 1 }}
	for i := range n {
		l := New(Defaults(), ID(i+1), f.now)
		l.CheckInvariants(c)
		f.all = append(f.all, l)
		f.left, f.lacks = append(f.left, make([]float64, groups)), append(f.lacks, make([]int, groups))
	}
	for i := range n {
		f.sees(i, func(int) bool { return true })
	}
	return f
}

// sees has a pooler's view be these.
func (f *fleet) sees(i int, who func(k int) bool) {
	var peers []Peer
	for k := range f.all {
		if k == i || who(k) {
			peers = append(peers, Peer{ID: ID(k + 1), Addr: string(rune('a' + k))})
		}
	}
	f.all[i].UpdateMembers(ID(i+1), peers)
}

func (f *fleet) do(i int, acts []Action) {
	for _, a := range acts {
		var m any
		switch {
		case a.Transfer != nil:
			m, _ = Decode(a.Transfer.Append(nil))
		case a.Request != nil:
			m, _ = Decode(a.Request.Append(nil))
		default:
			f.left[i][a.Group] += a.Amount
			continue
		}
		for range f.dup() {
			f.mail = append(f.mail, letter{i, int(a.To) - 1, m})
		}
	}
}

func (f *fleet) earns(i, group int, x float64) {
	f.left[i][group] += x
	f.earned += x
}

// repeats uses one where there is one, as the decision module does.
func (f *fleet) repeats(i, group int) bool {
	if f.left[i][group] < 1 {
		f.lacks[i][group]++
		return false
	}
	f.left[i][group]--
	f.lacks[i][group] = max(0, f.lacks[i][group]-1)
	f.used++
	return true
}

func (f *fleet) tick(i int) {
	var s []Balance
	for g, x := range f.left[i] {
		s = append(s, Balance{g, x, f.lacks[i][g]})
	}
	f.do(i, f.all[i].Tick(f.now, s, nil))
}

func (f *fleet) hear(k int) {
	x := f.mail[k]
	f.mail = append(f.mail[:k:k], f.mail[k+1:]...)
	f.do(x.to, f.all[x.to].Receive(f.now, ID(x.from+1), x.m, nil))
}

func (f *fleet) step() {
	f.now += 50
	for i := range f.all {
		f.tick(i)
	}
	for len(f.mail) > 0 {
		f.hear(0)
	}
}

// held is all that modules and vaults have.
func (f *fleet) held() (x float64) {
	for i, l := range f.all {
		for _, y := range f.left[i] {
			x += y
		}
		for _, v := range l.balances {
			x += v.amount
		}
	}
	return x
}

// TestBudgetIsLentWhereItIsNeeded: what seven poolers earn and do not need, the eighth one uses soon: three times what it earns itself.
func TestBudgetIsLentWhereItIsNeeded(t *testing.T) {
	f := newFleet(8, 3, invariant.Test(t))
	asked, got, waits := 0, 0, 0
	for n := range 200 {
		for i := range f.all {
			f.earns(i, 1, 0.05)
		}
		if n >= 100 && n%5 == 0 { // 20 steps a second earn 8; it needs 4
			asked++
			f.lacks[3][1] = 1
		}
		if f.lacks[3][1] > 0 && f.repeats(3, 1) {
			got++
		} else if f.lacks[3][1] > 0 {
			waits++
			f.lacks[3][1] = 1
		}
		f.step()
	}
	most := float64(asked) * f.all[0].settings.WaitBound(0) / 50
	if got < asked-1 || float64(waits) > most {
		t.Errorf("of %d repeats %d were made, after %d steps of waiting, of at most %v", asked, got, waits, most)
	}
}

// TestNeverMoreThanEarned: whatever is lost, duplicated, delayed or reordered, and whatever the views are, no more is held and used than
// was earned.
func TestNeverMoreThanEarned(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		const n, groups = 4, 2
		f := newFleet(n, groups, invariant.Test(t))
		f.dup = func() int { return rapid.IntRange(0, 2).Draw(rt, "copies") }
		who := func(name string) int { return rapid.IntRange(0, n-1).Draw(rt, name) }
		acts := map[string]func(*rapid.T){
			"earn":   func(*rapid.T) { f.earns(who("who"), 0, rapid.Float64Range(0, 3).Draw(rt, "x")) },
			"repeat": func(*rapid.T) { f.repeats(who("who"), rapid.IntRange(0, groups-1).Draw(rt, "group")) },
			"tick":   func(*rapid.T) { f.now += 100; f.tick(who("who")) },
			"view": func(*rapid.T) {
				odd := rapid.IntRange(0, 1<<n-1).Draw(rt, "seen")
				f.sees(who("who"), func(k int) bool { return odd>>k&1 == 1 })
			},
			"hear": func(t *rapid.T) {
				if len(f.mail) == 0 {
					t.Skip()
				}
				f.hear(rapid.IntRange(0, len(f.mail)-1).Draw(rt, "which"))
			},
			"": func(t *rapid.T) {
				if sum := f.held() + f.used; sum > f.earned+1e-6 {
					t.Fatalf("%v are held and used of %v earned", sum, f.earned)
				}
			},
		}
		rt.Repeat(acts)
	})
}

// TestIsolatedPoolerUsesItsOwnBudget: a pooler that reaches nobody uses what it earns, and no more.
func TestIsolatedPoolerUsesItsOwnBudget(t *testing.T) {
	f := newFleet(5, 1, invariant.Test(t))
	f.dup = func() int { return 0 }
	made := 0
	for range 200 {
		for i := range f.all {
			f.earns(i, 0, 0.05)
		}
		if f.repeats(2, 0) {
			made++
		}
		f.step()
	}
	if made < 9 || made > 10 {
		t.Errorf("%d repeats were made of 10 earned", made)
	}
}

// TestInvariantDetectsDoubleLending: a bank that forgets that it has lent breaks an invariant.
func TestInvariantDetectsDoubleLending(t *testing.T) {
	c := invariant.New(nil)
	l := New(Defaults(), 1, 0)
	l.CheckInvariants(c)
	l.deposit(0, 5)
	l.withdraw(0, 5)
	l.balances[0].amount = 5
	l.withdraw(0, 5)
	if len(c.Breaches()) != 1 {
		t.Errorf("caught %v", c.Breaches())
	}
}

// TestMessagesRoundTrip: messages decode as they were encoded, the longest within a datagram; malformed ones are errors, and no panic.
func TestMessagesRoundTrip(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Item {
			return Item{rapid.IntRange(0, math.MaxInt32).Draw(rt, "group"), float64(rapid.IntRange(0, maxItemUnits).Draw(rt, "amount")) / unitsPerRetry}
		}), 1, GroupsPerBlock).Draw(rt, "items")
		g := &Transfer{rapid.Uint32().Draw(rt, "seq"), items}
		b := g.Append(nil)
		m, err := Decode(b)
		if diff := cmp.Diff(any(g), any(m)); err != nil || diff != "" || len(b) > 100 {
			rt.Fatalf("%d bytes: %v %s", len(b), err, diff)
		}
		if m, err := Decode(b[:rapid.IntRange(0, len(b)-1).Draw(rt, "cut")]); err == nil {
			rt.Fatalf("a part of it read as %+v", m)
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(rt, "noise"))
	})
}
