package outlier

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// stalls records the longest time that one event blocked the event loop in each round. Rounds during which the machine was busy otherwise
// are not comparable, so percentiles are reported.
type stalls struct {
	longest time.Duration   // in the current round
	all     []time.Duration // by round
}

// time measures an event.
func (s *stalls) time(do func()) {
	start := time.Now()
	do()
	s.longest = max(s.longest, time.Since(start))
}

// round ends a round.
func (s *stalls) round() {
	s.all = append(s.all, s.longest)
	s.longest = 0
}

// report reports the median and the 90th percentile of all rounds.
func (s *stalls) report(b *testing.B) {
	slices.Sort(s.all)
	b.ReportMetric(float64(s.all[len(s.all)/2].Microseconds())/1000, "stall-ms")
	b.ReportMetric(float64(s.all[len(s.all)*9/10].Microseconds())/1000, "stall-p90-ms")
}

// BenchmarkCollector measures a collector of 100 servers and 300 poolers, each of which reports ten servers in every ReportInterval: the
// time of a tick with all observations since the last one, the heap in use, and the longest time that one event blocks the event loop.
func BenchmarkCollector(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	detector := New(Defaults(), 1, 1e6)
	members := MembersChanged{Self: 1}
	for i := range 300 {
		members.Peers = append(members.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprintf("10.0.0.%d:7400", i), Zone: string(rune('a' + i%3))})
	}
	detector.Handle(1e6, members, nil)
	var list ServersListed
	for i := range 100 {
		list.Servers = append(list.Servers, Server{Name: fmt.Sprintf("db-%d", i), Group: i / 4 % GroupsPerBlock})
	}
	detector.Handle(1e6, list, nil)
	detector.settings.Collectors = 300
	detector.updateMembers(members)
	now, next, sequence := 1e6, 0, uint32(0)
	var out []Action
	var stalls stalls
	handle := func(e Event) { stalls.time(func() { out = detector.Handle(now, e, out[:0]) }) }
	round := func() {
		defer stalls.round()
		sequence++
		for i := 2; i <= 300; i++ {
			observations := &Observations{Sequence: sequence}
			for k := range 10 {
				server := detector.servers[(next+k)%100]
				observations.Items = append(observations.Items, Observation{Key: server.key, Answered: 20, Report: ServerReport{RoleReplica, now - 40}, ReportAge: 20})
			}
			next += 10
			handle(Received{From: ID(i), Message: observations})
		}
		now += detector.settings.ReportInterval
		handle(Tick{})
		clear(out)
	}
	for range 30 {
		round()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	stalls.all = nil
	b.ResetTimer()
	for range b.N {
		round()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	stalls.report(b)
	runtime.KeepAlive(detector)
}

// BenchmarkApplyAssessments measures a pooler that is no collector and applies the assessments of three collectors about 100 servers, all
// of whose positions changed, in every ReportInterval: the time for all assessments of an interval, and the longest time that one event
// blocks the event loop.
func BenchmarkApplyAssessments(b *testing.B) {
	detector := New(Defaults(), 1, 1e6)
	members := MembersChanged{Self: 1}
	for i := range 300 {
		members.Peers = append(members.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprint(i), Zone: string(rune('a' + i%3))})
	}
	var list ServersListed
	for i := range 100 {
		list.Servers = append(list.Servers, Server{Name: fmt.Sprintf("db-%d", i), Group: i / 4})
	}
	detector.Handle(1e6, members, nil)
	detector.Handle(1e6, list, nil)
	now, sequence := 1e6, uint32(0)
	var stalls stalls
	var out []Action
	round := func() {
		defer stalls.round()
		sequence++
		now += detector.settings.ReportInterval
		for n := range 3 {
			var items [2][]Assessment
			var from [2]ID
			for i, server := range detector.servers {
				block := min(1, server.Group/GroupsPerBlock)
				from[block] = detector.collectors(server)[n]
				items[block] = append(items[block], Assessment{Key: server.key, Answered: 20, Report: ServerReport{RoleReplica, now - 40 - float64(i%7)}, ReportAge: 20})
			}
			for block := range items {
				split(items[block], (*Assessment).wireBytes, func(part []Assessment) {
					e := Received{From: from[block], Message: &Assessments{Sequence: sequence, Items: part}}
					stalls.time(func() { out = detector.Handle(now, e, out[:0]) })
				})
			}
		}
		stalls.time(func() { out = detector.Handle(now, Tick{}, out[:0]) })
		clear(out)
	}
	for range 30 {
		round()
	}
	stalls.all = nil
	b.ResetTimer()
	for range b.N {
		round()
	}
	stalls.report(b)
}
