package credit

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/credit/lessor"
)

// TestNearlyAllFundsAreUsedBeforeARejection measures how much of the funds is used before any request is rejected, which must be 98 percent.
func TestNearlyAllFundsAreUsedBeforeARejection(t *testing.T) {
	t.Parallel()
	for _, poolers := range []int{8, 100, 300} {
		for name, weight := range map[string]func(int) float64{"even": even, "skewed": byRank} {
			const funds, rate = 20000, 1000
			fleet := newFleet(t, poolers, pay(lessor.Payment{Tenant: "t", Number: 1, Amount: funds}))
			fleet.ample = funds * 9 / 10
			fleet.run(2000)
			fleet.load(rate, 30000, weight, nil)
			fleet.run(32000)
			fleet.check(funds)
			part := float64(fleet.chargedAtFirstRejection) / funds
			t.Logf("%d poolers, %s: %.4f of the funds used before the first rejection, %.4f in all", poolers, name, part, float64(fleet.charged)/funds)
			t.Logf("%.4f of requests were queued, %.4f of those of the first nine tenths of the funds",
				float64(fleet.queued)/float64(fleet.requests), float64(fleet.queuedEarly)/(0.9*funds))
			t.Logf("%d entries of %d bytes, %d messages of %d bytes",
				fleet.entries, fleet.bytes/max(1, fleet.entries), fleet.messages, fleet.messageBytes/max(1, fleet.messages))
			if part < 0.98 {
				t.Errorf("%d poolers, %s: %.4f of the funds used before the first rejection", poolers, name, part)
			}
		}
	}
}

// TestFundsForTenRequestsServeTen has 300 poolers that all need funds, which suffice for ten requests: ten are served.
func TestFundsForTenRequestsServeTen(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 300, pay(lessor.Payment{Tenant: "t", Number: 1, Amount: 10}))
	fleet.run(2000)
	fleet.load(300, 8000, even, nil)
	fleet.run(9000)
	fleet.check(10)
	if fleet.charged != 10 {
		t.Errorf("%d of the funds for ten requests were used", fleet.charged)
	}
}

// TestPaymentReadByOnePoolerOpensAll measures how long after one pooler has read a payment all poolers with demand admit the tenant again.
func TestPaymentReadByOnePoolerOpensAll(t *testing.T) {
	t.Parallel()
	for _, poolers := range []int{8, 100, 300} {
		fleet := newFleet(t, poolers, pay(lessor.Payment{Tenant: "t", Number: 1, Amount: 500}))
		fleet.run(2000)
		fleet.load(float64(10*poolers), 20000, even, nil)
		fleet.run(10000)
		fleet.check(500)
		reads := fleet.nodes[poolers-1] // one that does not vote, where there are others
		s := reads.credit.settings
		s.Payments = append(slices.Clone(s.Payments), lessor.Payment{Tenant: "t", Number: 2, Amount: 1_000_000})
		first := map[int]float64{}
		at := fleet.now
		clear(fleet.admittedAt)
		reads.credit.UpdateSettings(s)
		for len(first) < poolers && fleet.now < at+8000 {
			fleet.run(fleet.now + 10)
			for i, x := range fleet.admittedAt {
				if _, ok := first[i]; !ok && x > 0 {
					first[i] = x - at
				}
			}
		}
		delays := slices.Sorted(maps.Values(first))
		if len(delays) < poolers {
			t.Fatalf("%d of %d poolers admitted the tenant", len(delays), poolers)
		}
		p99 := delays[int(math.Ceil(0.99*float64(len(delays))))-1]
		t.Logf("%d poolers: median %.0f ms, p99 %.0f ms, last %.0f ms from one pooler's reading",
			poolers, delays[len(delays)/2], p99, delays[len(delays)-1])
		if p99 > 2000 {
			t.Errorf("%d poolers: p99 %.0f ms", poolers, p99)
		}
	}
}

// TestFilesOfCrashedPoolersReleaseTheirFunds crashes processes that hold funds, and lets others find their files: nothing stays stranded, and
// charged without having been served is only what was in flight and the distance of the high-water marks.
func TestFilesOfCrashedPoolersReleaseTheirFunds(t *testing.T) {
	t.Parallel()
	files := map[ledger.Holder][]lease.HighWaterMark{}
	fleet := newFleet(t, 8, func(s *Settings) {
		s.Payments = []lessor.Payment{{Tenant: "t", Number: 1, Amount: 100000}}
		s.Lease.PersistMarks = true
	})
	for _, n := range fleet.nodes {
		n.credit.files = &disk{fleet, n.credit.settings.Holder, func(no uint64) {
			if !n.dead {
				n.credit.MarksPersisted(no)
			}
		}, files}
	}
	fleet.run(2000)
	fleet.load(500, 12000, even, nil)
	fleet.run(8000)
	crash := []ledger.Holder{1003, 1004}
	most := int64(0)
	for i, h := range crash {
		fleet.nodes[3+i].dead = true
		most += int64(len(files[h])) * 500
	}
	fleet.run(9000)
	fleet.nodes[5].credit.Recover(crash)
	fleet.run(40000)
	b := fleet.nodes[0].credit.Ledger().Tenant("t")
	t.Logf("served %d, %+v", fleet.charged, b)
	if b.Stranded != 0 || files[1003] != nil || files[1004] != nil {
		t.Errorf("stranded %d, files %v", b.Stranded, files)
	}
	if over := b.Spent + b.Lent - fleet.charged; over < 0 || over > most {
		t.Errorf("%d are charged that were not served", over)
	}
}

// TestLoadGrowsWithActiveTenantsOnly has 10,000 tenants that paid, a hundred of which send requests: accounts and messages grow with those
// that send.
func TestLoadGrowsWithActiveTenantsOnly(t *testing.T) {
	t.Parallel()
	fleet := newFleet(t, 30, func(s *Settings) {
		s.Lease.PrepaidTenants, s.Lease.Checks = nil, nil
		for i := range 10000 {
			name := fmt.Sprintf("t%d", i)
			s.Lease.PrepaidTenants = append(s.Lease.PrepaidTenants, name)
			s.Payments = append(s.Payments, lessor.Payment{Tenant: name, Number: 1, Amount: 1000})
		}
	})
	fleet.run(6000)
	entries, bytes := fleet.entries, fleet.bytes
	for i, n := range fleet.nodes {
		var next func()
		next = func() {
			fleet.request(n, fmt.Sprintf("t%d", fleet.rng.IntN(100)*97), 0)
			fleet.at(fleet.rng.ExpFloat64()*30, next)
		}
		fleet.at(float64(i), next)
	}
	fleet.run(16000)
	tenants, accounts := fleet.nodes[0].credit.Ledger().Size()
	t.Logf("%d requests, %d queued, %d rejected; %d tenants, %d accounts", fleet.requests, fleet.queued, fleet.rejected, tenants, accounts)
	t.Logf("%.1f entries and %.0f bytes a second, snapshot of %d bytes",
		float64(fleet.entries-entries)/10, float64(fleet.bytes-bytes)/10, len(fleet.nodes[0].credit.Snapshot()))
	if tenants != 10000 || accounts > 100*30*2 || fleet.rejected > 0 {
		t.Errorf("%d tenants, %d accounts, %d rejected", tenants, accounts, fleet.rejected)
	}
}

// TestNeverChargedMoreThanPaid draws fleets with lost messages, partitions, changes of leader, crashes and suspended poolers: never is more
// charged than was paid.
func TestNeverChargedMoreThanPaid(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		funds := int64(2000 + rng.IntN(4000))
		fleet := newFleet(t, 12, pay(lessor.Payment{Tenant: "t", Number: 1, Amount: funds}))
		fleet.rng = rand.New(rand.NewPCG(seed, 4))
		fleet.run(1000)
		fleet.load(600, 14000, even, func(i int) bool { return fleet.now > fleet.nodes[i].suspendedUntil })
		fleet.at(2000, func() { fleet.lossRate = 0.2 })
		fleet.at(5000, func() { fleet.lossRate = 0; fleet.partitioned = func(a, b int) bool { return (a < 6) != (b < 6) } })
		fleet.at(9000, func() { fleet.partitioned = nil })
		for range 4 {
			fleet.at(1000+rng.Float64()*9000, func() { fleet.lead(rng.IntN(3)) })
			x := fleet.nodes[3+rng.IntN(9)]
			fleet.at(1000+rng.Float64()*9000, func() { x.dead = x.number%3 == 0 })
		}
		fleet.run(40000)
		fleet.check(funds)
		if b := fleet.nodes[fleet.leader].credit.Ledger().Tenant("t"); b.Spent+b.Stranded+b.Lent < fleet.charged || b.Paid != funds {
			t.Errorf("seed %d: charged %d, ledger %+v", seed, fleet.charged, b)
		}
	}
}

// TestLastOfFundsIsUsed checks that with funds for ten requests, and demand for more at poolers in any order, all ten are served. Grants of
// shares had scattered the last price over the poolers, each with less than one price: all rejected, and requested more without a queue, for
// which nothing is recalled, as long as clients kept sending.
func TestLastOfFundsIsUsed(t *testing.T) {
	const price, funds, poolers = 10, 100, 8
	for seed := range uint64(200) {
		fleet := newFleet(t, poolers, func(s *Settings) {
			s.Lease.Classes = []lease.Class{{Price: lease.Price{PerRequest: price}, PriorityWeight: 1}}
			s.Payments = []lessor.Payment{{Tenant: "t", Number: 1, Amount: funds}}
		})
		fleet.rng = rand.New(rand.NewPCG(seed, 11))
		fleet.run(2000)
		fleet.load(54, 8000, even, nil)
		fleet.run(9000)
		fleet.check(funds)
		if fleet.charged != funds {
			t.Errorf("seed %d: %d of %d are used", seed, fleet.charged, funds)
		}
	}
}
