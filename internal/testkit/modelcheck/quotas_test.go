package modelcheck

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/cluster/quota"
	"beechgrade/internal/testkit/deterministic"
)

// smallQuotaSettings returns settings in steps, for clocks that run an eighth too fast, exactly, and an eighth too slow.
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

// startQuotas returns the state of three poolers in which the limit is leased in full. configure may change the system before its start.
func startQuotas(t *testing.T, limit int, reserve float64, settings quota.Settings, configure func(s *QuotaSystem)) *QuotaSystem {
	t.Helper()
	s := NewQuotaSystem(3, limit, reserve, settings)
	if configure != nil {
		configure(s)
	}
	s.Start()
	for steps := 0; steps < 25 || sumOf(s.Allowances()) < float64(limit)-0.1; steps++ { // units that change holders are leased to nobody for a moment
		if err := s.Settle(1); err != nil || steps > 60 {
			t.Fatalf("error %v, allowances %v; want no error and all of %d leased", err, s.Allowances(), limit)
		}
	}
	return s
}

// TestQuotas guards against poolers that together use more than the limit, because units are leased to one while another still holds them. This
// can happen when losses, delays, duplicates, crashes, restarts, pauses, partitions, changes of demand or a lower limit let the owner and the
// holders of leases disagree; the test explores all cases within the bounds of the searches.
func TestQuotas(t *testing.T) {
	for name, test := range map[string]struct {
		faults       QuotaFaults
		limit        int
		reserve      float64
		depth        int
		isolated     int     // the owner is 1
		voteDuration float64 // if above 0, and then longer than a lease
		lateSteps    int
	}{
		"two losses":                      {faults: QuotaFaults{Lose: 2}, limit: 2, depth: 70},
		"delay, duplicate":                {faults: QuotaFaults{Delay: 1, Duplicate: 1}, limit: 2, depth: 70},
		"crash, restart":                  {faults: QuotaFaults{Crash: 1, Restart: 1}, limit: 2, depth: 80},
		"crash-restart, loss":             {faults: QuotaFaults{CrashRestart: 1, Lose: 1}, limit: 3, depth: 45},
		"crash-restart, delay":            {faults: QuotaFaults{CrashRestart: 1, Delay: 1}, limit: 2, depth: 45},
		"two crash-restarts":              {faults: QuotaFaults{CrashRestart: 2}, limit: 2, depth: 70},
		"partition, heal, delay":          {faults: QuotaFaults{Partition: 1, Heal: 1, Delay: 1}, limit: 2, depth: 45, isolated: 2},
		"partition, delay":                {faults: QuotaFaults{Partition: 1, Delay: 1}, limit: 2, depth: 70, isolated: 2, lateSteps: 5},
		"owner isolated, delay":           {faults: QuotaFaults{Partition: 1, Delay: 1}, limit: 2, depth: 70, isolated: 1, lateSteps: 8},
		"owner isolated, long votes":      {faults: QuotaFaults{Partition: 1, Heal: 1, Lose: 1}, limit: 2, depth: 60, isolated: 1, voteDuration: 8},
		"partition, heal, reserved units": {faults: QuotaFaults{Partition: 1, Heal: 1, Lose: 1}, limit: 3, reserve: 1, depth: 45},
		"pause, loss":                     {faults: QuotaFaults{Pause: 1, Lose: 1}, limit: 2, depth: 40, isolated: 1},
		"demand change, delay, loss":      {faults: QuotaFaults{ChangeDemand: 1, Delay: 1, Lose: 1}, limit: 2, depth: 25},
		"demand change, partition":        {faults: QuotaFaults{ChangeDemand: 1, Partition: 1, Heal: 1}, limit: 3, depth: 50},
		"halved limit, partition, delay":  {faults: QuotaFaults{HalveLimit: 1, Partition: 1, Delay: 1}, limit: 2, depth: 45, isolated: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings := smallQuotaSettings()
			settings.VoteDuration = max(settings.VoteDuration, test.voteDuration)
			s := startQuotas(t, test.limit, test.reserve, settings, func(s *QuotaSystem) { s.Isolated, s.LateSteps = test.isolated, max(s.LateSteps, test.lateSteps) })
			s.Unordered, s.QuotaFaults = test.faults.Pause == 0, test.faults // messages to a paused process arrive in the order of sending
			result := Run(s, Bounds{Depth: test.depth, States: 100000})
			if result.Err != nil {
				t.Errorf("search failed: %v\n%v", result.Err, result.Trace)
			}
			t.Logf("%d states, %d steps, depth %d, complete %v", result.States, result.Steps, result.Depth, result.Complete)
			if !result.Complete || result.States < 500 {
				t.Errorf("search visited %d states to depth %d, complete %v; want 500 or more states and a complete search", result.States, result.Depth, result.Complete)
			}
		})
	}
}

// TestQuotaMutants guards against searches that cannot fail: each must find its mutant, and no error without it.
func TestQuotaMutants(t *testing.T) {
	for name, test := range map[string]struct {
		faults   QuotaFaults
		isolated int
		mutate   func(s *QuotaSystem)
	}{
		"an owner that does not wait until leases have expired": {QuotaFaults{Partition: 1}, 0, func(s *QuotaSystem) {
			s.ChangeSettings = func(i, _ int, settings *quota.Settings) {
				if i != 0 {
					settings.LeaseDuration = 0.5
				}
			}
		}},
		"a lease that never expires": {QuotaFaults{Partition: 1}, 0, func(s *QuotaSystem) {
			s.ChangeSettings = func(i, _ int, settings *quota.Settings) {
				if i == 0 {
					settings.LeaseDuration = 1e9
				}
			}
		}},
		"a lease that counts from the arrival of the answer": {QuotaFaults{Partition: 1, Delay: 1}, 2, func(s *QuotaSystem) {
			s.AlterMessage = func(_ int, recipient *quota.Quota, message *quota.Message) bool {
				if message.Kind == quota.LeaseAnswer {
					for _, item := range message.Items {
						recipient.RestartLease(item.LimitHash, item.Sequence)
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
					if s.Isolated = test.isolated; mutant {
						test.mutate(s)
					}
				})
				s.QuotaFaults = test.faults
				result := Run(s, Bounds{Depth: 100, States: 100000})
				if (result.Err != nil) != mutant {
					t.Errorf("mutant %v: got error %v in %d states, depth %d; want one only with the mutant\n%v", mutant, result.Err, result.States, result.Depth, result.Trace)
				}
				t.Logf("mutant %v: %v, %d states, depth %d", mutant, result.Err, result.States, result.Depth)
			}
		})
	}
}

// TestVotesForgottenByRestart guards against units that two owners lease at a time: two of three processes restart and forget their votes for an
// owner that is cut off from them and goes on leasing to itself. They must wait until their earlier votes have expired; a mutant that votes at
// once leases units that are still leased.
func TestVotesForgottenByRestart(t *testing.T) {
	for _, mutant := range []bool{false, true} {
		settings := smallQuotaSettings()
		settings.VoteDuration = 8
		s := startQuotas(t, 2, 0, settings, func(s *QuotaSystem) { s.VotesImmediately, s.Isolated = mutant, 2 })
		s.partitioned = true
		_ = s.updateMembers()
		if err := s.Settle(30); err != nil {
			t.Fatalf("mutant %v: 30 steps after the owner was cut off: %v", mutant, err)
		}
		s.Isolated = 1 // the owner
		_ = s.restart(0)
		_ = s.restart(2)
		if err := s.Settle(30); (err != nil) != mutant {
			t.Errorf("mutant %v: got error %v, want one only with the mutant", mutant, err)
		}
	}
}

// TestAnswerFromBeforeRestart guards against an answer that arrives after its sender has restarted: an owner crashes while one of its answers is
// in progress, and restarts. The recipient must not accept that answer; with a mutant that restarts with its old ID it does, and uses units
// that another process has been leased meanwhile.
func TestAnswerFromBeforeRestart(t *testing.T) {
	for _, mutant := range []bool{false, true} {
		s := startQuotas(t, 2, 0, smallQuotaSettings(), func(s *QuotaSystem) { s.KeepsID = mutant })
		_ = s.changeDemand(2)
		if err := s.Settle(15); err != nil || s.Allowances()[2] != 2 {
			t.Fatalf("error %v, allowances %v; want 2 for process 2", err, s.Allowances())
		}
		_ = s.changeDemand(0)
		var late *quotaMessage
		for steps := 0; late == nil; steps++ {
			if steps > 20 {
				t.Fatal("process 0 was not leased the whole limit within 20 steps")
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
		for steps := range 12 {
			_ = s.advance()
			for len(s.messages) > 0 {
				msg := s.messages[0]
				s.messages = s.messages[1:]
				if msg.to != 0 || msg.message.Kind != quota.LeaseAnswer || !msg.message.Items[0].Vote { // answers to 0 that lease are lost
					_ = s.deliver(msg)
				}
			}
			if s.Allowances()[2] == 2 || steps == 11 {
				_ = s.deliver(*late)
				break
			}
		}
		if err := s.Check(); (err != nil) != mutant {
			t.Errorf("mutant %v: got error %v, want one only with the mutant; allowances %v", mutant, err, s.Allowances())
		}
	}
}

// TestQuotasRandomMoves guards against an exceeded limit after more faults than the searches have: it makes random moves far beyond their depth,
// with all faults again and again, for a rate limit and for a concurrency limit whose uses continue after their leases.
func TestQuotasRandomMoves(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		settings := smallQuotaSettings()
		settings.LeaseDuration = rapid.SampledFrom([]float64{3, 7, 12}).Draw(rt, "lease duration")
		settings.VoteDuration = rapid.SampledFrom([]float64{3, 5, 9}).Draw(rt, "vote duration")
		settings.UseTimeout = rapid.SampledFrom([]float64{1, 4}).Draw(rt, "use timeout")
		poolers := rapid.SampledFrom([]int{2, 3, 5}).Draw(rt, "poolers")
		s := NewQuotaSystem(poolers, rapid.IntRange(1, 9).Draw(rt, "limit"), rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "reserve"), settings)
		s.ConcurrencyLimit, s.Unordered, s.LateSteps = rapid.Bool().Draw(rt, "concurrency limit"), true, rapid.IntRange(2, 15).Draw(rt, "late steps")
		s.Start()
		if rapid.Bool().Draw(rt, "settle first") {
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
			for deliveries := 0; len(s.messages) > 0 && deliveries < 40; deliveries++ {
				moves := s.Moves()
				if len(moves) == 0 || moves[0].Name == "advance time" {
					break
				}
				// Most messages must arrive, or nothing is leased.
				i := 0
				if rapid.IntRange(0, 9).Draw(rt, "random message move if 0") == 0 {
					i = rapid.IntRange(0, len(moves)-1).Draw(rt, "message move")
				}
				next, _ := moves[i].Do()
				*s = *next.(*QuotaSystem)
				if err := s.Check(); err != nil {
					rt.Fatalf("after move %q of a message: %v", moves[i].Name, err)
				}
			}
			if s.ConcurrencyLimit {
				for range rapid.IntRange(0, 4).Draw(rt, "uses") {
					s.use(rapid.IntRange(0, poolers-1).Draw(rt, "process"), rapid.SampledFrom([]int{1, 1, 1, -1}).Draw(rt, "use"))
				}
			}
			if !s.partitioned {
				s.Isolated = rapid.IntRange(0, poolers-1).Draw(rt, "isolated")
			}
			moves := s.Moves()
			i := slices.IndexFunc(moves, func(move Move) bool { return move.Name == "advance time" })
			if i < 0 { // the remaining messages arrive in the next step
				_ = s.advance()
			} else {
				if rapid.IntRange(0, 3).Draw(rt, "random move if 0") == 0 {
					i = rapid.IntRange(0, len(moves)-1).Draw(rt, "move")
				}
				next, _ := moves[i].Do()
				*s = *next.(*QuotaSystem)
			}
			if err := s.Check(); err != nil {
				rt.Fatalf("after a move or a step of time: %v", err)
			}
		}
	})
}

// stepMs is the length of a step, in ms, of the systems of eightPoolers, whose settings are in steps.
const stepMs = 50

// eightPoolers returns a system of eight poolers with the default settings, in steps of stepMs, that has leased its limit, and these settings.
func eightPoolers(t *testing.T, limit int, reserve float64) (*QuotaSystem, quota.Settings) {
	t.Helper()
	settings := quota.Defaults()
	for _, duration := range []*float64{&settings.LeaseDuration, &settings.VoteDuration, &settings.RenewInterval, &settings.UrgentInterval, &settings.UseTimeout, &settings.TickInterval} {
		*duration /= stepMs
	}
	s := NewQuotaSystem(8, limit, reserve, settings)
	s.Start()
	if err := s.Settle(int(settings.TakeoverBound(quota.Rate, 0)) + 20); err != nil {
		t.Fatalf("leasing the limit to eight poolers: %v", err)
	}
	return s, settings
}

// sumOf returns the sum of the values.
func sumOf(each []float64) (sum float64) {
	for _, value := range each {
		sum += value
	}
	return sum
}

// reservedShare returns how much of the limit is reserved for each pooler.
func reservedShare(s *QuotaSystem) float64 {
	limit := s.Settings.Limits[0]
	partition := limit.Partition(len(s.processes))
	return limit.Amount * float64(partition.Reserved) / float64(partition.Units)
}

// waitFor advances time until a condition holds, and fails the test if it does not hold within the bound, which is in steps.
func waitFor(t *testing.T, s *QuotaSystem, bound float64, description string, condition func() bool) {
	t.Helper()
	for steps := 0.0; !condition(); steps++ {
		if steps > bound {
			t.Fatalf("%s: not reached within %.0f ms; allowances %v", description, bound*stepMs, s.Allowances())
		}
		if err := s.Settle(1); err != nil {
			t.Fatalf("%s: a check failed after %.0f ms: %v", description, steps*stepMs, err)
		}
	}
}

// TestSharesFollowDemand guards against shares that follow the demand too late, because a request, a plan or a recall waits for a timer that it
// has just missed: a pooler's share must follow within DemandBound, each time that the demand moves to another pooler.
func TestSharesFollowDemand(t *testing.T) {
	s, settings := eightPoolers(t, 160, 0.1)
	for round := range 60 {
		who := (5*round + 3) % 8
		_ = s.Settle(17 + round%13) // at varying times between requests and plans
		_ = s.changeDemand(who)
		waitFor(t, s, settings.DemandBound(0), "the share of the pooler that has the demand", func() bool { return s.Allowances()[who] > 160*85/100 })
	}
}

// TestShareOfIsolatedPooler guards against a pooler that is cut off and keeps more or less than its reserved units once LeaseDuration has passed
// since its last answered request, and against units that are not reused: what it had must be leased to others within ReclaimBound of that
// request, plus ElectionBound, and it must have its share again after the partition.
func TestShareOfIsolatedPooler(t *testing.T) {
	s, settings := eightPoolers(t, 160, 0.1)
	_ = s.changeDemand(0)
	_ = s.Settle(int(settings.DemandBound(0)) + 1)
	reserved := reservedShare(s)
	s.Isolated, s.partitioned = 0, true
	_ = s.updateMembers()
	_ = s.changeDemand(1)
	waitFor(t, s, settings.LeaseDuration, "the isolated pooler has only its reserved units", func() bool { return s.Allowances()[0] == reserved })
	waitFor(t, s, settings.ReclaimBound(quota.Rate)-settings.LeaseDuration+settings.ElectionBound(0), "others are leased what it had", func() bool { return s.Allowances()[1] > 160*8/10 })
	for range 200 {
		if err := s.Settle(1); err != nil || s.Allowances()[0] != reserved {
			t.Fatalf("error %v, allowances %v; want %v for process 0", err, s.Allowances(), reserved)
		}
	}
	s.partitioned = false
	_ = s.updateMembers()
	_ = s.changeDemand(0)
	waitFor(t, s, settings.DemandBound(0)+1.5*settings.VoteDuration, "its share after the partition", func() bool { return s.Allowances()[0] > 160*8/10 })
}

// TestLimitOwnerCrashes guards against poolers that lose their leases because the owner has crashed: the others must keep them without a gap, and
// the whole limit must be leased again within TakeoverBound.
func TestLimitOwnerCrashes(t *testing.T) {
	s, settings := eightPoolers(t, 160, 0.1)
	owner := -1
	for i, process := range s.processes {
		if process.quota.Statuses()[0].IsOwner {
			owner = i
		}
	}
	if owner < 0 {
		t.Fatal("the limit has no owner")
	}
	held := s.Allowances()
	s.kill(owner)
	_ = s.updateMembers()
	had := sumOf(held) - held[owner]
	waitFor(t, s, settings.TakeoverBound(quota.Rate, 0), "the whole limit is leased again", func() bool {
		if now := sumOf(s.Allowances()); now < had*9/10 {
			t.Fatalf("allowances of the others fell to %g of %g: %v", now, had, s.Allowances())
		}
		return sumOf(s.Allowances()) >= 160-reservedShare(s)-1
	})
}

// TestShareOfRestartedPooler guards against a pooler that gets no share because it restarts while the limit is leased in full: it must get its
// share within the time for which it may not vote plus DemandBound and two renewal intervals.
func TestShareOfRestartedPooler(t *testing.T) {
	s, settings := eightPoolers(t, 160, 0.1)
	who := 5
	for s.processes[who].quota.Statuses()[0].IsOwner {
		who--
	}
	_ = s.restart(who)
	// The units of its last incarnation cannot be leased yet: the others give up some of theirs.
	waitFor(t, s, settings.LocalWait(settings.VoteDuration)+settings.DemandBound(0)+2*settings.RenewInterval, "the share of the restarted pooler", func() bool { return s.Allowances()[who] >= 160/8*8/10 && sumOf(s.Allowances()) <= 160 })
}

// TestLimitChanges guards against an exceeded limit while poolers know different limits, as they do while it is changed at one after the other. A
// lower limit must hold within ReclaimBound plus ElectionBound of the last change, and until then no more than the higher one may be used. A
// limit that is raised must be leased in full within the same time, reserved units included, and never be exceeded.
func TestLimitChanges(t *testing.T) {
	s, settings := eightPoolers(t, 15, 0.5) // with 16 each pooler has one reserved unit, with 15 none: the limit must hold while poolers know different ones
	limitsOf := func(to float64) []quota.Limit {
		limits := slices.Clone(s.Settings.Limits)
		limits[0].Amount, limits[0].Burst = to, to
		return limits
	}
	for _, change := range []struct{ to, most float64 }{{16, 16}, {8, 16}, {15, 15}} {
		s.maxUsed = int(change.most)
		for i := range s.processes {
			_ = s.handle(i, quota.LimitsChanged{Limits: limitsOf(change.to)})
			if err := s.Settle(3); err != nil {
				t.Fatalf("after the limit was set to %g at process %d: %v", change.to, i, err)
			}
		}
		if err := s.Settle(int(settings.ReclaimBound(quota.Rate) + settings.ElectionBound(0))); err != nil {
			t.Fatalf("after the limit was set to %g at all processes: %v", change.to, err)
		}
		if got := sumOf(s.Allowances()); got < change.to*0.98 {
			t.Errorf("allowances are %g of the limit of %g in sum, want at least 0.98 of it", got, change.to)
		}
		s.maxUsed = int(change.to)
	}
}

// TestLateAnswerOfFormerOwner guards against units that two owners lease: an owner's answer is delayed while all processes turn to another owner,
// which learns from them what they hold and leases the rest at once. The recipient must not accept the late answer any more.
func TestLateAnswerOfFormerOwner(t *testing.T) {
	s := startQuotas(t, 2, 0, smallQuotaSettings(), nil)
	_ = s.changeDemand(0)
	if err := s.Settle(15); err != nil || s.Allowances()[0] != 2 {
		t.Fatalf("error %v, allowances %v; want 2 for process 0", err, s.Allowances())
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
	for steps := 0; late == nil; steps++ {
		if steps > 20 {
			t.Fatal("process 2 was not leased the whole limit within 20 steps")
		}
		step(func(msg quotaMessage) bool {
			if lends(msg) && msg.message.Items[0].Units == 2 {
				late = &msg
			}
			return late == nil
		})
	}
	s.Draining = 2 // the owner drains: all turn to the next one
	_ = s.updateMembers()
	_ = s.changeDemand(0)
	delivered := false
	for range 8 { // a lease lasts 7 steps, and longer by a slow clock
		step(func(msg quotaMessage) bool { return !lends(msg) }) // the new owner's answers to 2 are lost
		if s.Allowances()[0] == 2 {
			delivered = true
			_ = s.deliver(*late)
			break
		}
	}
	if err := s.Check(); err != nil || !delivered {
		t.Errorf("error %v, late answer delivered: %v, want true; allowances %v", err, delivered, s.Allowances())
	}
}

// TestUsesContinueAfterSmallerLease guards against units that are leased to others while they are still used: a pooler with two uses gets no
// answer for a while, then one that leases it nothing, and is cut off before it can report that the uses continue. They may last for UseTimeout
// after that answer's lease, and until then their units must not be leased to others.
func TestUsesContinueAfterSmallerLease(t *testing.T) {
	settings := smallQuotaSettings()
	settings.UseTimeout, settings.VoteDuration = 6, 12
	s := startQuotas(t, 2, 0, settings, func(s *QuotaSystem) { s.ConcurrencyLimit, s.Isolated = true, 2 })
	_ = s.changeDemand(2)
	if err := s.Settle(20); err != nil || s.Allowances()[2] != 2 {
		t.Fatalf("error %v, allowances %v; want 2 for process 2", err, s.Allowances())
	}
	s.use(2, 1)
	s.use(2, 1)
	_ = s.changeDemand(0)
	for steps := 0; ; steps++ { // answers to 2 are lost for a while, until one arrives that leases nothing
		leasesNothing := false
		_ = s.advance()
		for len(s.messages) > 0 && !leasesNothing {
			msg := s.messages[0]
			s.messages = s.messages[1:]
			if msg.to != 2 || msg.message.Kind != quota.LeaseAnswer {
				_ = s.deliver(msg)
			} else if leasesNothing = steps > 4 && msg.message.Items[0].Vote && msg.message.Items[0].Units == 0; leasesNothing {
				_ = s.deliver(msg)
			}
		}
		if leasesNothing {
			break
		}
		if steps > 20 {
			t.Fatal("process 2 got no answer that leases nothing within 20 steps")
		}
	}
	s.messages, s.partitioned = nil, true
	_ = s.updateMembers()
	used := false
	for range 40 {
		if err := s.Settle(1); err != nil {
			t.Fatalf("a step after process 2 was cut off: %v", err)
		}
		s.use(0, 1)
		s.use(0, 1)
		if err := s.Check(); err != nil {
			t.Fatalf("after process 0 used its units: %v", err)
		}
		used = used || s.processes[0].used == 2
	}
	if !used {
		t.Error("the units in use were never leased to process 0 after their timeout")
	}
}

// TestLimitRemovedAndRestored guards against leases that outlive a removed limit and count again when it is restored. The limit is removed at one
// pooler after the other, and restored in the same way: no pooler may use it while it is removed there, it must never be exceeded, and in the
// end it must be leased in full.
func TestLimitRemovedAndRestored(t *testing.T) {
	s, settings := eightPoolers(t, 160, 0.1)
	for _, limits := range [][]quota.Limit{nil, s.Settings.Limits} {
		for i, process := range s.processes {
			_ = s.handle(i, quota.LimitsChanged{Limits: limits})
			_ = s.handle(i, s.demand(i))
			if allowance := process.quota.Usable(QuotaName, s.clock(i)); limits == nil && allowance != 0 {
				t.Errorf("allowance of a removed limit is %g, want 0", allowance)
			}
			if err := s.Settle(7); err != nil {
				t.Fatalf("after the limits were set to %v at process %d: %v", limits, i, err)
			}
		}
	}
	waitFor(t, s, settings.TakeoverBound(quota.Rate, 0)+settings.VoteDuration, "the restored limit is leased in full", func() bool { return sumOf(s.Allowances()) > 159 })
}
