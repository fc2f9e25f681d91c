package quota

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// testCluster is a few quotas whose messages arrive in any order, twice, or never.
type testCluster struct {
	now   float64
	c     *invariant.Checks
	set   Settings
	q     map[ID]*Quota
	ids   []ID
	next  ID
	queue []*Message
}

func newTestCluster(c *invariant.Checks, burst, amount float64) *testCluster {
	d := &testCluster{now: 1e6, c: c, set: Defaults(), q: map[ID]*Quota{}, next: 1}
	d.set.ExpectedPoolers, d.set.LeaseDuration, d.set.VoteDuration, d.set.UseTimeout = 3, 3000, 1000, 1000
	d.set.Limits = []Limit{{Name: "rate", Amount: 100, Burst: burst, Reserve: 0.1},
		{Name: "number", Kind: Concurrency, Amount: amount}, {Name: "even", Guarantee: SoonEven, Amount: 50, Burst: 10}}
	for range 3 {
		d.join()
	}
	return d
}

func (d *testCluster) join() {
	id := d.next
	d.next++
	d.q[id], d.ids = New(d.set, id, d.now), append(d.ids, id)
	d.q[id].CheckInvariants(d.c, 1)
	for _, x := range d.ids {
		d.members(x, d.ids)
	}
}

func (d *testCluster) members(x ID, ids []ID) {
	m := MembersChanged{SendingPoolers: len(ids)}
	for _, id := range ids {
		m.Peers = append(m.Peers, Peer{ID: id, Addr: fmt.Sprint(id)})
	}
	d.do(x, m)
}

func (d *testCluster) do(id ID, event Event) {
	if q := d.q[id]; q != nil {
		for _, a := range q.Handle(d.now, event, nil) {
			if a.Kind == Send {
				d.queue = append(d.queue, a.Message)
			}
		}
	}
}

func (d *testCluster) kill(id ID) {
	delete(d.q, id)
	d.ids = slices.DeleteFunc(slices.Clone(d.ids), func(x ID) bool { return x == id })
}

// TestInvariantsHold: whatever arrives in whatever order, the invariants hold, and all poolers together may use no more than a limit.
func TestInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		d := newTestCluster(invariant.Test(t), rapid.Float64Range(1, 40).Draw(t, "burst"), rapid.Float64Range(1, 50).Draw(t, "amount"))
		who := func(t *rapid.T) ID { return rapid.SampledFrom(d.ids).Draw(t, "who") }
		pass := func(ms float64) {
			for end := d.now + ms; d.now < end; {
				d.now += 50
				for _, id := range d.ids {
					d.do(id, Tick{})
				}
			}
		}
		deliver := func(i int) {
			message := d.queue[i]
			d.queue = slices.Delete(d.queue, i, i+1)
			d.do(message.To, Received{message})
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { pass(rapid.Float64Range(50, 900).Draw(t, "ms")) },
			"well": func(t *rapid.T) { // all is delivered for a while
				for range rapid.IntRange(1, 40).Draw(t, "steps") {
					for len(d.queue) > 0 {
						deliver(0)
					}
					pass(50)
				}
			},
			"late": func(t *rapid.T) {
				if n := len(d.queue); n > 0 {
					deliver(rapid.IntRange(0, n-1).Draw(t, "message"))
				}
			},
			"twice": func(t *rapid.T) {
				if n := len(d.queue); n > 0 {
					d.queue = append(d.queue, d.queue[rapid.IntRange(0, n-1).Draw(t, "message")])
				}
			},
			"lost": func(*rapid.T) { d.queue = nil },
			"demand": func(t *rapid.T) {
				l := rapid.SampledFrom(d.set.Limits).Draw(t, "limit")
				q, id := Demand{Limit: l.Name, Wanted: rapid.Float64Range(0, 200).Draw(t, "want")}, who(t)
				if x := d.q[id].limitByName(l.Name); l.Kind == Concurrency && x != nil { // in use is what was allowed
					a, _ := d.q[id].allowance(x)
					q.Used = a * rapid.Float64Range(0, 1).Draw(t, "used")
				}
				d.do(id, q)
			},
			"cut": func(t *rapid.T) {
				d.members(who(t), rapid.SliceOfDistinct(rapid.SampledFrom(d.ids), rapid.ID).Draw(t, "hears"))
			},
			"restart": func(t *rapid.T) {
				d.kill(who(t))
				d.join()
			},
			"leave": func(t *rapid.T) {
				id := who(t)
				d.do(id, Leave{})
				d.kill(id)
				d.join()
			},
			"stop": func(t *rapid.T) { d.now += rapid.Float64Range(100, 5000).Draw(t, "ms") },
			"": func(t *rapid.T) {
				for _, l := range d.set.Limits[:2] {
					sum := 0.0
					for _, id := range d.ids {
						sum += d.q[id].Usable(l.Name, d.now)
					}
					if sum > l.Amount*(1+1e-9) {
						t.Errorf("%s: %v of %v may be used", l.Name, sum, l.Amount)
					}
				}
			},
		})
	})
}

// clusterWithLeases returns a cluster in which units are leased, with the owner and its limit.
func clusterWithLeases(t *testing.T) (*testCluster, *Quota, *limitState) {
	t.Helper()
	d := newTestCluster(invariant.Test(t), 20, 20)
	for range 120 {
		d.now += 50
		for _, id := range d.ids {
			d.do(id, Demand{Limit: "rate", Wanted: 30})
			d.do(id, Tick{})
		}
		for len(d.queue) > 0 {
			message := d.queue[0]
			d.queue = d.queue[1:]
			d.do(message.To, Received{message})
		}
	}
	for _, id := range d.ids {
		if limit := d.q[id].limitByName("rate"); limit.ownership.active && limit.leasedUnits > 0 {
			return d, d.q[id], limit
		}
	}
	t.Fatal("nobody owns")
	return nil, nil, nil
}

// TestInvariantsDetectBrokenState: each invariant fails for a state in which one line was broken.
func TestInvariantsDetectBrokenState(t *testing.T) {
	for name, poke := range map[string]func(*Quota, *limitState){
		"quota: all enqueued messages were sent": func(q *Quota, _ *limitState) { q.outbox = append(q.outbox, &Message{}) },
		"quota: limits are filed":                func(q *Quota, limit *limitState) { delete(q.byHash, limit.key) },
		"quota: a share is a part of the limit":  func(q *Quota, _ *limitState) { q.limitByName("even").share = 1.5 },
		"quota: a lease is within the pool": func(_ *Quota, limit *limitState) {
			limit.leasedUnits, limit.unitsInUse = limit.partition.Pool+1, limit.partition.Pool+1
		},
		"quota: no lease outlives its end":        func(q *Quota, limit *limitState) { limit.leaseEnds = q.now },
		"quota: a lease counts from its request":  func(q *Quota, limit *limitState) { limit.leaseEnds = q.now + q.settings.LeaseDuration + 1 },
		"quota: leased units count as in use":     func(_ *Quota, limit *limitState) { limit.unitsInUse = limit.leasedUnits - 1 },
		"quota: a vote counts from its request":   func(q *Quota, limit *limitState) { limit.voteEnds = q.now + q.settings.VoteDuration + 1 },
		"quota: an allowance is within the limit": func(_ *Quota, limit *limitState) { limit.Amount = -1 },
		"quota: requests are in order":            func(_ *Quota, limit *limitState) { slices.Reverse(limit.requests) },
		"quota: no more is leased than the pool": func(q *Quota, limit *limitState) {
			limit.ownership.holders[0].confirmedUnits, limit.ownership.holders[0].confirmedEnds = limit.partition.Pool+1, q.now+1
		},
		"quota: unaccounted units are within the pool": func(_ *Quota, limit *limitState) { limit.ownership.unaccounted = -1 },
		"quota: an ownership ends with its votes":      func(q *Quota, limit *limitState) { limit.ownership.ends = q.now + q.settings.VoteDuration + 1 },
		"quota: holders are in order, each filed once": func(_ *Quota, limit *limitState) { slices.Reverse(limit.ownership.holders) },
		"quota: a holder's numbers are in their ranges": func(q *Quota, limit *limitState) {
			limit.ownership.holders[0].voteEnds = q.now + q.settings.VoteDuration + 1
		},
		"quota: no account is kept of an expired holder": func(q *Quota, limit *limitState) {
			peer := &holder{id: 999}
			limit.ownership.holders, limit.ownership.holderByID[999] = append(limit.ownership.holders, peer), peer
		},
	} {
		_, q, limit := clusterWithLeases(t)
		c := invariant.New(nil)
		if q.checkState(c); len(c.Breaches()) > 0 {
			t.Fatalf("without: %v", c.Breaches())
		}
		poke(q, limit)
		q.checkState(c)
		if !slices.ContainsFunc(c.Breaches(), func(b invariant.Breach) bool { return b.Name == name }) {
			t.Fatalf("%q is not seen: %v", name, c.Breaches())
		}
	}
}

// TestExpiredHoldersAreRemoved: the owner closes the accounts of processes that restart again and again, each time with another ID.
func TestExpiredHoldersAreRemoved(t *testing.T) {
	d, q, limit := clusterWithLeases(t)
	for range 10 {
		for _, id := range d.ids {
			if id != q.self {
				d.kill(id)
				d.join()
				break
			}
		}
		for range 100 {
			d.now += 50
			for _, id := range d.ids {
				d.do(id, Tick{})
			}
			for len(d.queue) > 0 {
				message := d.queue[0]
				d.queue = d.queue[1:]
				d.do(message.To, Received{message})
			}
		}
		if n := len(limit.ownership.holders); n > 4 {
			t.Fatalf("%d accounts of %d processes", n, len(d.ids))
		}
	}
}
