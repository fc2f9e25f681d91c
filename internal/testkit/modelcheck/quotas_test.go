package modelcheck

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/testkit/deterministic"
)

// smallQuota has clocks that run an eighth too fast, right and an eighth too slow.
func smallQuotaSettings() quota.Settings {
	return quota.Settings{
		LeaseDuration:  7,
		VoteDuration:   3,
		RenewInterval:  0.8,
		UrgentInterval: 0.8,
		UseTimeout:     1,
		ClockDrift:     0.125,
		TickInterval:   1,
	}
}

// quotas is three poolers with a limit that is lent.
func startQuotas(t *testing.T, limit int, reserve float64, set quota.Settings, configure func(s *QuotaSystem)) *QuotaSystem {
	t.Helper()
	s := NewQuotaSystem(3, limit, reserve, set)
	if configure != nil {
		configure(s)
	}
	s.Start()
	for k := 0; k < 25 || sumOf(s.Allowances()) < float64(limit)-0.1; k++ { // what takes turns is nobody's for a moment
		if err := s.Settle(1); err != nil || k > 60 {
			t.Fatalf("%v; %v of %d are lent", err, s.Allowances(), limit)
		}
	}
	return s
}

// TestQuotas: whatever is lost, late or doubled, whoever crashes, begins again, stands still or is cut off, however demand swings and the
// limit falls, within the search's bounds: never more than the limit may be used at a time.
func TestQuotas(t *testing.T) {
	for name, x := range map[string]struct {
		faults       QuotaFaults
		limit        int
		reserve      float64
		depth        int
		isolated     int     // the owner is 1
		voteDuration float64 // where it is longer than a lease
		lateSteps    int
	}{
		"two lost":                 {faults: QuotaFaults{Lose: 2}, limit: 2, depth: 70},
		"late, doubled":            {faults: QuotaFaults{Delay: 1, Duplicate: 1}, limit: 2, depth: 70},
		"crash, restart":           {faults: QuotaFaults{Crash: 1, Restart: 1}, limit: 2, depth: 80},
		"killed, lost":             {faults: QuotaFaults{CrashRestart: 1, Lose: 1}, limit: 3, depth: 45},
		"killed, late":             {faults: QuotaFaults{CrashRestart: 1, Delay: 1}, limit: 2, depth: 45},
		"two killed":               {faults: QuotaFaults{CrashRestart: 2}, limit: 2, depth: 70},
		"parted, healed, late":     {faults: QuotaFaults{Partition: 1, Heal: 1, Delay: 1}, limit: 2, depth: 45, isolated: 2},
		"parted, late":             {faults: QuotaFaults{Partition: 1, Delay: 1}, limit: 2, depth: 70, isolated: 2, lateSteps: 5},
		"owner parted, late":       {faults: QuotaFaults{Partition: 1, Delay: 1}, limit: 2, depth: 70, isolated: 1, lateSteps: 8},
		"owner parted, promises":   {faults: QuotaFaults{Partition: 1, Heal: 1, Lose: 1}, limit: 2, depth: 60, isolated: 1, voteDuration: 8},
		"parted, healed, floors":   {faults: QuotaFaults{Partition: 1, Heal: 1, Lose: 1}, limit: 3, reserve: 1, depth: 45},
		"stopped, lost":            {faults: QuotaFaults{Pause: 1, Lose: 1}, limit: 2, depth: 40, isolated: 1},
		"swings, late, lost":       {faults: QuotaFaults{ChangeDemand: 1, Delay: 1, Lose: 1}, limit: 2, depth: 25},
		"demand swings, parted":    {faults: QuotaFaults{ChangeDemand: 1, Partition: 1, Heal: 1}, limit: 3, depth: 50},
		"halved, parted, one late": {faults: QuotaFaults{HalveLimit: 1, Partition: 1, Delay: 1}, limit: 2, depth: 45, isolated: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := smallQuotaSettings()
			set.VoteDuration = max(set.VoteDuration, x.voteDuration)
			s := startQuotas(t, x.limit, x.reserve, set, func(s *QuotaSystem) { s.Isolated, s.LateSteps = x.isolated, max(s.LateSteps, x.lateSteps) })
			s.Unordered, s.QuotaFaults = x.faults.Pause == 0, x.faults // what has come for one that stands still arrives in its order
			r := Run(s, Bounds{Depth: x.depth, States: 100000})
			if r.Err != nil {
				t.Errorf("%v\n%v", r.Err, r.Trace)
			}
			t.Logf("%d states, %d steps, up to %d deep, whole %v", r.States, r.Steps, r.Depth, r.Complete)
			if !r.Complete || r.States < 500 {
				t.Errorf("%d states, up to %d deep, whole %v", r.States, r.Depth, r.Complete)
			}
		})
	}
}

// TestQuotaMutants: each is found by a search that finds nothing without it.
func TestQuotaMutants(t *testing.T) {
	for name, x := range map[string]struct {
		faults   QuotaFaults
		isolated int
		mutate   func(s *QuotaSystem)
	}{
		"an owner that lends without waiting": {QuotaFaults{Partition: 1}, 0, func(s *QuotaSystem) {
			s.ChangeSettings = func(i, _ int, set *quota.Settings) {
				if i != 0 {
					set.LeaseDuration = 0.5
				}
			}
		}},
		"a lease without an end": {QuotaFaults{Partition: 1}, 0, func(s *QuotaSystem) {
			s.ChangeSettings = func(i, _ int, set *quota.Settings) {
				if i == 0 {
					set.LeaseDuration = 1e9
				}
			}
		}},
		"an end that counts from the answer": {QuotaFaults{Partition: 1, Delay: 1}, 2, func(s *QuotaSystem) {
			s.AlterMessage = func(_ int, q *quota.Quota, m *quota.Message) bool {
				if m.Kind == quota.LeaseAnswer {
					for _, it := range m.Items {
						q.RestartLease(it.LimitHash, it.Sequence)
					}
				}
				return false
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, mutant := range []bool{false, true} {
				s := startQuotas(t, 2, 0, smallQuotaSettings(), func(s *QuotaSystem) {
					if s.Isolated = x.isolated; mutant {
						x.mutate(s)
					}
				})
				s.QuotaFaults = x.faults
				r := Run(s, Bounds{Depth: 100, States: 100000})
				if (r.Err != nil) != mutant {
					t.Errorf("mutant %v: %v in %d states, %d deep\n%v", mutant, r.Err, r.States, r.Depth, r.Trace)
				}
				t.Logf("mutant %v: %v, %d states, %d deep", mutant, r.Err, r.States, r.Depth)
			}
		})
	}
}

// TestForgottenPromise: two of three lose what they have promised to an owner, which goes on lending to itself, cut off from them. They
// wait out what they may have promised; a mutant that votes at once lends what is lent.
func TestForgottenPromise(t *testing.T) {
	for _, mutant := range []bool{false, true} {
		set := smallQuotaSettings()
		set.VoteDuration = 8
		s := startQuotas(t, 2, 0, set, func(s *QuotaSystem) { s.VotesImmediately, s.Isolated = mutant, 2 })
		s.partitioned = true
		_ = s.updateMembers()
		if err := s.Settle(30); err != nil {
			t.Fatal(err)
		}
		s.Isolated = 1 // the owner
		_ = s.restart(0)
		_ = s.restart(2)
		if err := s.Settle(30); (err != nil) != mutant {
			t.Errorf("mutant %v: %v", mutant, err)
		}
	}
}

// TestForgottenEpoch: an owner is killed while an answer of its is on the way, and begins again. Who gets that answer does not take it
// from the new process; from a mutant that has its old name and epoch it does, and holds what the other was lent meanwhile.
func TestForgottenEpoch(t *testing.T) {
	for _, mutant := range []bool{false, true} {
		s := startQuotas(t, 2, 0, smallQuotaSettings(), func(s *QuotaSystem) { s.KeepsID = mutant })
		_ = s.changeDemand(2)
		if err := s.Settle(15); err != nil || s.Allowances()[2] != 2 {
			t.Fatal(err, s.Allowances())
		}
		_ = s.changeDemand(0)
		var late *quotaMessage
		for k := 0; late == nil; k++ {
			if k > 20 {
				t.Fatal("0 was not lent all")
			}
			_ = s.advance()
			for len(s.messages) > 0 && late == nil {
				msg := s.messages[0]
				s.messages = s.messages[1:]
				if msg.to == 0 && msg.message.Kind == quota.LeaseAnswer && msg.message.Items[0].Units == 2 {
					late = &msg
					continue
				}
				_ = s.deliver(msg)
			}
		}
		_ = s.restart(1)
		_ = s.changeDemand(2)
		for k := range 12 {
			_ = s.advance()
			for len(s.messages) > 0 {
				msg := s.messages[0]
				s.messages = s.messages[1:]
				if msg.to != 0 || msg.message.Kind != quota.LeaseAnswer || !msg.message.Items[0].Vote { // those to 0 that lend are lost
					_ = s.deliver(msg)
				}
			}
			if s.Allowances()[2] == 2 || k == 11 {
				_ = s.deliver(*late)
				break
			}
		}
		if err := s.Check(); (err != nil) != mutant {
			t.Errorf("mutant %v: %v, %v", mutant, err, s.Allowances())
		}
	}
}

// TestQuotaModel goes far beyond the searches' depth, with everything that may go wrong over and over, for a rate and for a number at
// once whose uses go on after their leases: at no moment more than the limit.
func TestQuotaModel(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		set := smallQuotaSettings()
		set.LeaseDuration = rapid.SampledFrom([]float64{3, 7, 12}).Draw(rt, "lease")
		set.VoteDuration = rapid.SampledFrom([]float64{3, 5, 9}).Draw(rt, "promise")
		set.UseTimeout = rapid.SampledFrom([]float64{1, 4}).Draw(rt, "linger")
		n := rapid.SampledFrom([]int{2, 3, 5}).Draw(rt, "poolers")
		s := NewQuotaSystem(n, rapid.IntRange(1, 9).Draw(rt, "limit"), rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "reserve"), set)
		s.ConcurrencyLimit, s.Unordered, s.LateSteps = rapid.Bool().Draw(rt, "number"), true, rapid.IntRange(2, 15).Draw(rt, "late")
		s.Start()
		if rapid.Bool().Draw(rt, "settled") {
			_ = s.Settle(25)
		}
		s.QuotaFaults = QuotaFaults{
			Lose:         1000,
			Duplicate:    1000,
			Delay:        1000,
			Crash:        1000,
			Restart:      1000,
			CrashRestart: 1000,
			Pause:        1000,
			Partition:    1000,
			Heal:         1000,
			ChangeDemand: 1000,
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			for k := 0; len(s.messages) > 0 && k < 40; k++ {
				moves := s.Moves()
				if len(moves) == 0 || moves[0].Name == "advance time" {
					break
				}
				// Most messages arrive: else nothing is lent.
				i := 0
				if rapid.IntRange(0, 9).Draw(rt, "well") == 0 {
					i = rapid.IntRange(0, len(moves)-1).Draw(rt, "way")
				}
				next, _ := moves[i].Do()
				*s = *next.(*QuotaSystem)
				if err := s.Check(); err != nil {
					rt.Fatal(err)
				}
			}
			if s.ConcurrencyLimit {
				for range rapid.IntRange(0, 4).Draw(rt, "uses") {
					s.use(rapid.IntRange(0, n-1).Draw(rt, "who"), rapid.SampledFrom([]int{1, 1, 1, -1}).Draw(rt, "use"))
				}
			}
			if !s.partitioned {
				s.Isolated = rapid.IntRange(0, n-1).Draw(rt, "alone")
			}
			moves := s.Moves()
			i := slices.IndexFunc(moves, func(m Move) bool { return m.Name == "advance time" })
			if i < 0 { // the rest arrives in the next step
				_ = s.advance()
			} else {
				if rapid.IntRange(0, 3).Draw(rt, "calm") == 0 {
					i = rapid.IntRange(0, len(moves)-1).Draw(rt, "move")
				}
				next, _ := moves[i].Do()
				*s = *next.(*QuotaSystem)
			}
			if err := s.Check(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// grain is a step of the fleets below, in ms, and of all their settings.
const stepMs = 50

// eight are poolers with the settings that the program has by default, in steps of grain.
func eightPoolers(t *testing.T, limit int, reserve float64) (*QuotaSystem, quota.Settings) {
	t.Helper()
	set := quota.Defaults()
	for _, x := range []*float64{&set.LeaseDuration, &set.VoteDuration, &set.RenewInterval, &set.UrgentInterval, &set.UseTimeout, &set.TickInterval} {
		*x /= stepMs
	}
	s := NewQuotaSystem(8, limit, reserve, set)
	s.Start()
	if err := s.Settle(int(set.TakeoverBound(quota.Rate, 0)) + 20); err != nil {
		t.Fatal(err)
	}
	return s, set
}

func sumOf(each []float64) (n float64) {
	for _, x := range each {
		n += x
	}
	return n
}

// floorOf is a pooler's floor.
func reservedShare(s *QuotaSystem) float64 {
	l := s.Settings.Limits[0]
	c := l.Partition(len(s.nodes))
	return l.Amount * float64(c.Reserved) / float64(c.Units)
}

// within lets time pass until something is so, which must be by a bound.
func waitFor(t *testing.T, s *QuotaSystem, bound float64, what string, condition func() bool) {
	t.Helper()
	for k := 0.0; !condition(); k++ {
		if k > bound {
			t.Fatalf("%s: not within %.0f ms: %v", what, bound*stepMs, s.Allowances())
		}
		if err := s.Settle(1); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLimitFollows: a share follows demand within Follow, and back.
func TestLimitFollows(t *testing.T) {
	s, set := eightPoolers(t, 160, 0.1)
	for k := range 60 {
		who := (5*k + 3) % 8
		_ = s.Settle(17 + k%13) // whenever it comes between asks and plans
		_ = s.changeDemand(who)
		waitFor(t, s, set.DemandBound(0), "demand at one", func() bool { return s.Allowances()[who] > 160*85/100 })
	}
}

// TestLimitCutOff: one that is cut off has no more than its floor from Lease after its last answered ask on, and no less; what it had is
// lent to others within Free of that, and it has its share again once it is back.
func TestLimitCutOff(t *testing.T) {
	s, set := eightPoolers(t, 160, 0.1)
	_ = s.changeDemand(0)
	_ = s.Settle(int(set.DemandBound(0)) + 1)
	reserved := reservedShare(s)
	s.Isolated, s.partitioned = 0, true
	_ = s.updateMembers()
	_ = s.changeDemand(1)
	waitFor(t, s, set.LeaseDuration, "the floor of one that is cut off", func() bool { return s.Allowances()[0] == reserved })
	waitFor(t, s, set.ReclaimBound(quota.Rate)-set.LeaseDuration+set.ElectionBound(0), "others have what it had", func() bool { return s.Allowances()[1] > 160*8/10 })
	for range 200 {
		if err := s.Settle(1); err != nil || s.Allowances()[0] != reserved {
			t.Fatal(err, s.Allowances())
		}
	}
	s.partitioned = false
	_ = s.updateMembers()
	_ = s.changeDemand(0)
	waitFor(t, s, set.DemandBound(0)+1.5*set.VoteDuration, "its share once it is back", func() bool { return s.Allowances()[0] > 160*8/10 })
}

// TestLimitOwnerCrashes: what the others hold of a crashed owner's goes on without a gap, and the whole is lent again within TakeOver.
func TestLimitOwnerCrashes(t *testing.T) {
	s, set := eightPoolers(t, 160, 0.1)
	owner := -1
	for i, x := range s.nodes {
		if x.quota.Statuses()[0].IsOwner {
			owner = i
		}
	}
	if owner < 0 {
		t.Fatal("nobody owns the limit")
	}
	held := s.Allowances()
	s.kill(owner)
	_ = s.updateMembers()
	had := sumOf(held) - held[owner]
	waitFor(t, s, set.TakeoverBound(quota.Rate, 0), "the whole is lent again", func() bool {
		if now := sumOf(s.Allowances()); now < had*9/10 {
			t.Fatalf("%g of %g are left: %v", now, had, s.Allowances())
		}
		return sumOf(s.Allowances()) >= 160-reservedShare(s)-1
	})
}

// TestLimitJoins: one that begins while the limit is all out gets its part within the time that it may not vote, and Follow.
func TestLimitJoins(t *testing.T) {
	s, set := eightPoolers(t, 160, 0.1)
	who := 5
	for s.nodes[who].quota.Statuses()[0].IsOwner {
		who--
	}
	_ = s.restart(who)
	// What its last life held is nobody's yet: the others make room.
	waitFor(t, s, set.LocalWait(set.VoteDuration)+set.DemandBound(0)+2*set.RenewInterval, "a newcomer's part", func() bool { return s.Allowances()[who] >= 160/8*8/10 && sumOf(s.Allowances()) <= 160 })
}

// TestLimitChanges: a limit that is lowered at one pooler after the other binds within Free of the last, and never is more used than the
// higher one allows; one that is raised is lent in full within Free too, floors included, and until then no more than it.
func TestLimitChanges(t *testing.T) {
	s, set := eightPoolers(t, 15, 0.5) // with 16 each has a floor of one, with 15 of none: more must not be used while some know the one, some the other
	limitsOf := func(to float64) []quota.Limit {
		l := slices.Clone(s.Settings.Limits)
		l[0].Amount, l[0].Burst = to, to
		return l
	}
	for _, x := range []struct{ to, most float64 }{{16, 16}, {8, 16}, {15, 15}} {
		s.maxUsed = int(x.most)
		for i := range s.nodes {
			_ = s.handle(i, quota.LimitsChanged{Limits: limitsOf(x.to)})
			if err := s.Settle(3); err != nil {
				t.Fatalf("to %g at %d: %v", x.to, i, err)
			}
		}
		if err := s.Settle(int(set.ReclaimBound(quota.Rate) + set.ElectionBound(0))); err != nil {
			t.Fatal(err)
		}
		if got := sumOf(s.Allowances()); got < x.to*0.98 {
			t.Errorf("%g of %g", got, x.to)
		}
		s.maxUsed = int(x.to)
	}
}

// TestOldOwnersAnswer: an owner's answer is late while all turn to another owner, which hears from all what they hold and lends the rest at
// once. Who gets the late answer does not take it any more.
func TestOldOwnersAnswer(t *testing.T) {
	s := startQuotas(t, 2, 0, smallQuotaSettings(), nil)
	_ = s.changeDemand(0)
	if err := s.Settle(15); err != nil || s.Allowances()[0] != 2 {
		t.Fatal(err, s.Allowances())
	}
	_ = s.changeDemand(2)
	var late *quotaMessage
	step := func(keep func(msg quotaMessage) bool) {
		_ = s.advance()
		for len(s.messages) > 0 {
			msg := s.messages[0]
			s.messages = s.messages[1:]
			if keep(msg) {
				_ = s.deliver(msg)
			}
		}
	}
	lends := func(msg quotaMessage) bool {
		return msg.to == 2 && msg.message.Kind == quota.LeaseAnswer && msg.message.Items[0].Vote
	}
	for k := 0; late == nil; k++ {
		if k > 20 {
			t.Fatal("2 was not lent all")
		}
		step(func(msg quotaMessage) bool {
			if lends(msg) && msg.message.Items[0].Units == 2 {
				late = &msg
			}
			return late == nil
		})
	}
	s.Draining = 2 // the owner drains: all turn to the next
	_ = s.updateMembers()
	_ = s.changeDemand(0)
	delivered := false
	for range 8 { // of a lease of 7 steps, by a clock that is slow
		step(func(msg quotaMessage) bool { return !lends(msg) }) // the new one's answers to 2 are lost
		if s.Allowances()[0] == 2 {
			delivered = true
			_ = s.deliver(*late)
			break
		}
	}
	if err := s.Check(); err != nil || !delivered {
		t.Error(err, delivered, s.Allowances())
	}
}

// TestUsesOutliveASmallerAnswer: a pooler that has two in use hears nothing for a while, then that it is lent none any more, and is cut off
// before it can say that they go on. They may, for as long after that answer's lease as uses do; nobody else is lent them until then.
func TestUsesOutliveASmallerAnswer(t *testing.T) {
	set := smallQuotaSettings()
	set.UseTimeout, set.VoteDuration = 6, 12
	s := startQuotas(t, 2, 0, set, func(s *QuotaSystem) { s.ConcurrencyLimit, s.Isolated = true, 2 })
	_ = s.changeDemand(2)
	if err := s.Settle(20); err != nil || s.Allowances()[2] != 2 {
		t.Fatal(err, s.Allowances())
	}
	s.use(2, 1)
	s.use(2, 1)
	_ = s.changeDemand(0)
	for k := 0; ; k++ { // answers to 2 are lost for a while, until one comes that lends nothing
		lent := false
		_ = s.advance()
		for len(s.messages) > 0 && !lent {
			msg := s.messages[0]
			s.messages = s.messages[1:]
			if msg.to != 2 || msg.message.Kind != quota.LeaseAnswer {
				_ = s.deliver(msg)
			} else if lent = k > 4 && msg.message.Items[0].Vote && msg.message.Items[0].Units == 0; lent {
				_ = s.deliver(msg)
			}
		}
		if lent {
			break
		}
		if k > 20 {
			t.Fatal("2 was not lent less")
		}
	}
	s.messages, s.partitioned = nil, true
	_ = s.updateMembers()
	used := false
	for range 40 {
		if err := s.Settle(1); err != nil {
			t.Fatal(err)
		}
		s.use(0, 1)
		s.use(0, 1)
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		used = used || s.nodes[0].used == 2
	}
	if !used {
		t.Error("the others were never lent them")
	}
}

// TestLimitTakenAway: a limit is taken away at one pooler after the other, and put back in the same way: none uses it where it does not know
// it, never is more used than it allows, and in the end all of it is lent again.
func TestLimitTakenAway(t *testing.T) {
	s, set := eightPoolers(t, 160, 0.1)
	for _, limits := range [][]quota.Limit{nil, s.Settings.Limits} {
		for i, x := range s.nodes {
			_ = s.handle(i, quota.LimitsChanged{Limits: limits})
			_ = s.handle(i, s.demand(i))
			if n := x.quota.Usable(QuotaName, s.clock(i)); limits == nil && n != 0 {
				t.Errorf("%g of a limit that is not there", n)
			}
			if err := s.Settle(7); err != nil {
				t.Fatal(err)
			}
		}
	}
	waitFor(t, s, set.TakeoverBound(quota.Rate, 0)+set.VoteDuration, "the limit is back", func() bool { return sumOf(s.Allowances()) > 159 })
}
