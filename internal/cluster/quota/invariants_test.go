package quota

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// testCluster is a set of quotas whose messages may arrive in any order, twice, or never.
type testCluster struct {
	now      float64
	checks   *invariant.Checks
	settings Settings
	quotas   map[ID]*Quota
	ids      []ID // of the running processes
	nextID   ID
	queue    []*Message // not delivered yet
}

func newTestCluster(checks *invariant.Checks, burst, amount float64) *testCluster {
	cluster := &testCluster{now: 1e6, checks: checks, settings: Defaults(), quotas: map[ID]*Quota{}, nextID: 1}
	cluster.settings.ExpectedPoolers, cluster.settings.LeaseDuration, cluster.settings.VoteDuration, cluster.settings.UseTimeout =
		3, 3000, 1000, 1000
	cluster.settings.Limits = []Limit{{Name: "rate", Amount: 100, Burst: burst, Reserve: 0.1},
		{Name: "number", Kind: Concurrency, Amount: amount}, {Name: "even", Guarantee: SoonEven, Amount: 50, Burst: 10}}
	for range 3 {
		cluster.join()
	}
	return cluster
}

func (cluster *testCluster) join() {
	id := cluster.nextID
	cluster.nextID++
	cluster.quotas[id], cluster.ids = New(cluster.settings, id, cluster.now), append(cluster.ids, id)
	cluster.quotas[id].CheckInvariants(cluster.checks, 1)
	for _, receiver := range cluster.ids {
		cluster.setMembers(receiver, cluster.ids)
	}
}

// setMembers reports the processes that a process can reach.
func (cluster *testCluster) setMembers(receiver ID, ids []ID) {
	event := MembersChanged{SendingPoolers: len(ids)}
	for _, id := range ids {
		event.Peers = append(event.Peers, Peer{ID: id, Addr: fmt.Sprint(id)})
	}
	cluster.handle(receiver, event)
}

func (cluster *testCluster) handle(id ID, event Event) {
	if q := cluster.quotas[id]; q != nil {
		for _, a := range q.Handle(cluster.now, event, nil) {
			if a.Kind == Send {
				cluster.queue = append(cluster.queue, a.Message)
			}
		}
	}
}

func (cluster *testCluster) kill(id ID) {
	delete(cluster.quotas, id)
	cluster.ids = slices.DeleteFunc(slices.Clone(cluster.ids), func(other ID) bool { return other == id })
}

// TestInvariantsHold checks that the invariants hold whatever messages arrive in whatever order, and that all poolers together may use no
// more than a limit.
func TestInvariantsHold(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		cluster := newTestCluster(invariant.Test(t), rapid.Float64Range(1, 40).Draw(t, "burst"), rapid.Float64Range(1, 50).Draw(t, "amount"))
		anyProcess := func(t *rapid.T) ID { return rapid.SampledFrom(cluster.ids).Draw(t, "process") }
		advance := func(ms float64) {
			for end := cluster.now + ms; cluster.now < end; {
				cluster.now += 50
				for _, id := range cluster.ids {
					cluster.handle(id, Tick{})
				}
			}
		}
		deliver := func(i int) {
			message := cluster.queue[i]
			cluster.queue = slices.Delete(cluster.queue, i, i+1)
			cluster.handle(message.To, Received{message})
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { advance(rapid.Float64Range(50, 900).Draw(t, "ms")) },
			"deliver all": func(t *rapid.T) { // all messages are delivered for some time
				for range rapid.IntRange(1, 40).Draw(t, "steps") {
					for len(cluster.queue) > 0 {
						deliver(0)
					}
					advance(50)
				}
			},
			"deliver one": func(t *rapid.T) {
				if n := len(cluster.queue); n > 0 {
					deliver(rapid.IntRange(0, n-1).Draw(t, "message"))
				}
			},
			"duplicate": func(t *rapid.T) {
				if n := len(cluster.queue); n > 0 {
					cluster.queue = append(cluster.queue, cluster.queue[rapid.IntRange(0, n-1).Draw(t, "message")])
				}
			},
			"lose all": func(*rapid.T) { cluster.queue = nil },
			"demand": func(t *rapid.T) {
				drawn := rapid.SampledFrom(cluster.settings.Limits).Draw(t, "limit")
				demand, id := Demand{Limit: drawn.Name, Wanted: rapid.Float64Range(0, 200).Draw(t, "wanted")}, anyProcess(t)
				if limit := cluster.quotas[id].limitByName(drawn.Name); drawn.Kind == Concurrency && limit != nil { // at most the allowance is in use
					amount, _ := cluster.quotas[id].allowance(limit)
					demand.Used = amount * rapid.Float64Range(0, 1).Draw(t, "used")
				}
				cluster.handle(id, demand)
			},
			"change members": func(t *rapid.T) {
				cluster.setMembers(anyProcess(t), rapid.SliceOfDistinct(rapid.SampledFrom(cluster.ids), rapid.ID).Draw(t, "reachable"))
			},
			"restart": func(t *rapid.T) {
				cluster.kill(anyProcess(t))
				cluster.join()
			},
			"leave": func(t *rapid.T) {
				id := anyProcess(t)
				cluster.handle(id, Leave{})
				cluster.kill(id)
				cluster.join()
			},
			"pause all": func(t *rapid.T) { cluster.now += rapid.Float64Range(100, 5000).Draw(t, "ms") },
			"": func(t *rapid.T) {
				for _, limit := range cluster.settings.Limits[:2] {
					sum := 0.0
					for _, id := range cluster.ids {
						sum += cluster.quotas[id].Usable(limit.Name, cluster.now)
					}
					if sum > limit.Amount*(1+1e-9) {
						t.Errorf("limit %s: all poolers together may use %v, want at most %v", limit.Name, sum, limit.Amount)
					}
				}
			},
		})
	})
}

// clusterWithLeases returns a cluster in which units are leased, with the owner and its limit.
func clusterWithLeases(t *testing.T) (*testCluster, *Quota, *limitState) {
	t.Helper()
	cluster := newTestCluster(invariant.Test(t), 20, 20)
	for range 120 {
		cluster.now += 50
		for _, id := range cluster.ids {
			cluster.handle(id, Demand{Limit: "rate", Wanted: 30})
			cluster.handle(id, Tick{})
		}
		for len(cluster.queue) > 0 {
			message := cluster.queue[0]
			cluster.queue = cluster.queue[1:]
			cluster.handle(message.To, Received{message})
		}
	}
	for _, id := range cluster.ids {
		if limit := cluster.quotas[id].limitByName("rate"); limit.ownership.active && limit.leasedUnits > 0 {
			return cluster, cluster.quotas[id], limit
		}
	}
	t.Fatal("no process leases units as the owner")
	return nil, nil, nil
}

// TestInvariantsDetectBrokenState checks that each invariant is reported for a state that violates it.
func TestInvariantsDetectBrokenState(t *testing.T) {
	for name, corrupt := range map[string]func(*Quota, *limitState){
		"quota: all enqueued messages were sent":          func(q *Quota, _ *limitState) { q.outbox = append(q.outbox, &Message{}) },
		"quota: limits are indexed by their hash":         func(q *Quota, limit *limitState) { delete(q.byHash, limit.key) },
		"quota: a share is between 0 and the whole limit": func(q *Quota, _ *limitState) { q.limitByName("even").share = 1.5 },
		"quota: a lease is within the pool": func(_ *Quota, limit *limitState) {
			limit.leasedUnits, limit.unitsInUse = limit.partition.Pool+1, limit.partition.Pool+1
		},
		"quota: no lease is used after its end":              func(q *Quota, limit *limitState) { limit.leaseEnds = q.now },
		"quota: a lease ends at most LeaseDuration from now": func(q *Quota, limit *limitState) { limit.leaseEnds = q.now + q.settings.LeaseDuration + 1 },
		"quota: leased units count as in use":                func(_ *Quota, limit *limitState) { limit.unitsInUse = limit.leasedUnits - 1 },
		"quota: a vote ends at most VoteDuration from now":   func(q *Quota, limit *limitState) { limit.voteEnds = q.now + q.settings.VoteDuration + 1 },
		"quota: an allowance is within the limit":            func(_ *Quota, limit *limitState) { limit.Amount = -1 },
		"quota: requests are in order":                       func(_ *Quota, limit *limitState) { slices.Reverse(limit.requests) },
		"quota: no more is leased than the pool": func(q *Quota, limit *limitState) {
			limit.ownership.holders[0].confirmedUnits, limit.ownership.holders[0].confirmedEnds = limit.partition.Pool+1, q.now+1
		},
		"quota: unaccounted units are within the pool":           func(_ *Quota, limit *limitState) { limit.ownership.unaccounted = -1 },
		"quota: an ownership ends at most VoteDuration from now": func(q *Quota, limit *limitState) { limit.ownership.ends = q.now + q.settings.VoteDuration + 1 },
		"quota: holders are in order, each indexed once":         func(_ *Quota, limit *limitState) { slices.Reverse(limit.ownership.holders) },
		"quota: the numbers of a holder's account are in their ranges": func(q *Quota, limit *limitState) {
			limit.ownership.holders[0].voteEnds = q.now + q.settings.VoteDuration + 1
		},
		"quota: the accounts of expired holders are closed": func(q *Quota, limit *limitState) {
			peer := &holder{id: 999}
			limit.ownership.holders, limit.ownership.holderByID[999] = append(limit.ownership.holders, peer), peer
		},
	} {
		_, q, limit := clusterWithLeases(t)
		checks := invariant.New(nil)
		if q.checkState(checks); len(checks.Breaches()) > 0 {
			t.Fatalf("intact state: got breaches %v, want none", checks.Breaches())
		}
		corrupt(q, limit)
		q.checkState(checks)
		if !slices.ContainsFunc(checks.Breaches(), func(b invariant.Breach) bool { return b.Name == name }) {
			t.Fatalf("broken state: got breaches %v, want one of %q", checks.Breaches(), name)
		}
	}
}

// TestExpiredHoldersAreRemoved checks that the owner closes the accounts of ended processes, while processes restart repeatedly, each time
// with another ID.
func TestExpiredHoldersAreRemoved(t *testing.T) {
	cluster, q, limit := clusterWithLeases(t)
	for range 10 {
		for _, id := range cluster.ids {
			if id != q.self {
				cluster.kill(id)
				cluster.join()
				break
			}
		}
		for range 100 {
			cluster.now += 50
			for _, id := range cluster.ids {
				cluster.handle(id, Tick{})
			}
			for len(cluster.queue) > 0 {
				message := cluster.queue[0]
				cluster.queue = cluster.queue[1:]
				cluster.handle(message.To, Received{message})
			}
		}
		if n := len(limit.ownership.holders); n > 4 {
			t.Fatalf("the owner has accounts of %d holders while %d processes run, want at most 4", n, len(cluster.ids))
		}
	}
}
