package outlier

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// stalls are the longest that one event kept the loop, in each round; of a round that the machine was busy in it says nothing.
type stalls struct {
	longest time.Duration
	all     []time.Duration
}

func (s *stalls) time(do func()) {
	began := time.Now()
	do()
	s.longest = max(s.longest, time.Since(began))
}

func (s *stalls) round() {
	s.all = append(s.all, s.longest)
	s.longest = 0
}

// report is of the round in the middle, and of the one that nine in ten are below.
func (s *stalls) report(b *testing.B) {
	slices.Sort(s.all)
	b.ReportMetric(float64(s.all[len(s.all)/2].Microseconds())/1000, "stall-ms")
	b.ReportMetric(float64(s.all[len(s.all)*9/10].Microseconds())/1000, "stall-p90-ms")
}

// BenchmarkCollector is a collector of 100 servers before 300 poolers, each of which tells of ten every Period: a tick's time, with all that it is told since
// the last, what it holds, and the longest that one event of a round keeps the loop.
func BenchmarkCollector(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	detector := New(Defaults(), 1, 1e6)
	m := MembersChanged{Self: 1}
	for i := range 300 {
		m.Peers = append(m.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprintf("10.0.0.%d:7400", i), Zone: string(rune('a' + i%3))})
	}
	detector.Handle(1e6, m, nil)
	var l ServersListed
	for i := range 100 {
		l.Servers = append(l.Servers, Server{Name: fmt.Sprintf("db-%d", i), Group: i / 4 % GroupsPerBlock})
	}
	detector.Handle(1e6, l, nil)
	detector.settings.Collectors = 300
	detector.updateMembers(m)
	now, at, seq := 1e6, 0, uint32(0)
	var out []Action
	var stalls stalls
	handle := func(e Event) { stalls.time(func() { out = detector.Handle(now, e, out[:0]) }) }
	round := func() {
		defer stalls.round()
		seq++
		for i := 2; i <= 300; i++ {
			t := &Observations{Sequence: seq}
			for k := range 10 {
				server := detector.servers[(at+k)%100]
				t.Items = append(t.Items, Observation{Key: server.key, Answered: 20, Report: ServerReport{RoleReplica, now - 40}, ReportAge: 20})
			}
			at += 10
			handle(Received{From: ID(i), Message: t})
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

// BenchmarkHeed is a pooler that collects nothing and hears three collectors tell of 100 servers, all of whose positions moved, once every Period: the time for
// all that comes in one, and the longest that one event of it keeps the loop.
func BenchmarkHeed(b *testing.B) {
	detector := New(Defaults(), 1, 1e6)
	m := MembersChanged{Self: 1}
	for i := range 300 {
		m.Peers = append(m.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprint(i), Zone: string(rune('a' + i%3))})
	}
	var l ServersListed
	for i := range 100 {
		l.Servers = append(l.Servers, Server{Name: fmt.Sprintf("db-%d", i), Group: i / 4})
	}
	detector.Handle(1e6, m, nil)
	detector.Handle(1e6, l, nil)
	now, seq := 1e6, uint32(0)
	var stalls stalls
	var out []Action
	round := func() {
		defer stalls.round()
		seq++
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
					e := Received{From: from[block], Message: &Assessments{Sequence: seq, Items: part}}
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
