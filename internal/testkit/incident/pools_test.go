package incident

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
	"beechgrade/internal/testkit/records"
)

// TestPoolCountsAndFindings guards against wrong counts of a pool's waits, server changes and ended sessions, and missing findings.
func TestPoolCountsAndFindings(t *testing.T) {
	s := newRecording("a")
	const name = "obra/tablet"
	assignment := func(at float64, e record.Event) {
		e.Kind, e.Pool = recordpb.Kind_KIND_HAND, name
		s.event(at, e)
	}
	gauge := func(at float64, used, waiting int32) {
		s.event(at, record.Event{
			Kind:      recordpb.Kind_KIND_POOL,
			Pool:      name,
			PoolState: record.PoolState{Clients: 40, Used: used, Waiting: waiting, MaxConnections: 2},
		})
	}
	for i := range 40 {
		s.event(float64(i), record.Event{Kind: recordpb.Kind_KIND_SESSION_BEGIN, Pool: name, Session: uint64(i + 1)})
	}
	gauge(100, 1, 0)
	assignment(200, record.Event{Assignment: record.AssignmentGranted, Server: "s-1", Session: 1, DurationMs: 3})
	assignment(300, record.Event{
		Assignment:       record.AssignmentGranted,
		Server:           "s-2",
		Session:          1,
		DurationMs:       70,
		FromOtherClient:  true,
		ServerChanged:    true,
		SettingsRestored: true,
	})
	for at := 1000.0; at <= 4000; at += 1000 { // all connections in use while clients wait
		gauge(at, 2, 7)
	}
	gauge(5000, 2, 0)
	assignment(5100, record.Event{Assignment: record.AssignmentRestarted, Session: 2})
	for i := range 3 {
		assignment(5200+float64(i), record.Event{Assignment: record.AssignmentRejected, Session: 3})
	}
	for i := range 25 {
		s.event(6000+float64(i), record.Event{Kind: recordpb.Kind_KIND_SESSION_END, Pool: name, Session: uint64(i + 1), Text: "57P01"})
	}
	s.event(9000, record.Event{Kind: recordpb.Kind_KIND_SESSION_END, Pool: name, Session: 40}) // ended by the client
	s.Finish()
	v := s.View()
	want := []PoolView{{
		Name:        name,
		Sessions:    40,
		Ended:       26,
		Ends:        map[string]uint64{"57P01": 25},
		Hands:       2,
		Changed:     1,
		Moved:       1,
		Carried:     1,
		Refused:     3,
		Again:       1,
		WaitMost:    70,
		WaitMostAt:  t0 + 300,
		MostClients: 40,
		MostUsed:    2,
		MostWaiting: 7,
		Connections: 2,
		Saturated:   []TimeSpan{{t0 + 1000, t0 + 5000}},
	}}
	if diff := cmp.Diff(want, v.Pools, cmpopts.IgnoreFields(PoolView{}, "WaitP50", "WaitP99")); diff != "" {
		t.Errorf("counts of the pool (-want +got):\n%s", diff)
	}
	found := map[string]int{}
	for _, f := range v.Findings {
		found[f.Kind]++
	}
	if found["pool cramped"] != 1 || found["no connection"] != 1 || found["sessions ended"] != 1 {
		t.Errorf("findings by kind are %v, want one each of pool cramped, no connection and sessions ended", found)
	}
	if x := v.Series.Pools[name]; len(x.Waiting) == 0 || len(x.Waiting) != len(v.Series.Classes[0].Asked) {
		t.Errorf("the pool's series has %d cells, want as many as a class's, and some", len(x.Waiting))
	}
}

// TestPoolMostClients guards against a maximum of clients that is missed because it was reached between two gauges, and against
// one that is higher than the number of clients ever was.
func TestPoolMostClients(t *testing.T) {
	const name = "obra/tablet"
	sessions := func(s *recording, kind recordpb.Kind, count int) {
		for i := range count {
			s.event(0, record.Event{Kind: kind, Pool: name, Session: uint64(i + 1)})
		}
	}
	begin := func(s *recording, count int) { sessions(s, recordpb.Kind_KIND_SESSION_BEGIN, count) }
	end := func(s *recording, count int) { sessions(s, recordpb.Kind_KIND_SESSION_END, count) }
	gauge := func(s *recording, clients int32) {
		s.event(0, record.Event{Kind: recordpb.Kind_KIND_POOL, Pool: name, PoolState: record.PoolState{Clients: clients}})
	}
	for what, c := range map[string]struct {
		events func(s *recording)
		want   int64
	}{
		"no gauge":                       {func(s *recording) { begin(s, 2); end(s, 1) }, 2},
		"the last gauge before the most": {func(s *recording) { begin(s, 1); gauge(s, 1); begin(s, 1); end(s, 2) }, 2},
		"between two gauges":             {func(s *recording) { begin(s, 1); gauge(s, 1); begin(s, 4); end(s, 3); gauge(s, 2) }, 5},
		"one after the other": {func(s *recording) {
			begin(s, 1)
			end(s, 1)
			gauge(s, 0)
			begin(s, 1)
			end(s, 1)
			begin(s, 1)
		}, 1},
		"the gauge knows of earlier ones": {func(s *recording) { gauge(s, 7); begin(s, 2); end(s, 3); begin(s, 1) }, 9},
		"the ends of earlier ones":        {func(s *recording) { end(s, 3); begin(s, 2) }, 2},
		"at two poolers": {func(s *recording) {
			begin(s, 2)
			s.begin("b", t0)
			begin(s, 3)
		}, 3},
		"ends were lost": {func(s *recording) {
			begin(s, 5)
			s.event(0, record.Event{Kind: recordpb.Kind_KIND_LOST, Lost: 5, LostFrom: t0, LostTo: t0})
			begin(s, 4)
		}, 5},
		"segments are missing": {func(s *recording) {
			begin(s, 5)
			s.Fault(records.Fault{Kind: records.Missing, Pooler: "a"})
			begin(s, 4)
		}, 5},
		"segments of another pooler are missing": {func(s *recording) {
			begin(s, 5)
			s.Fault(records.Fault{Kind: records.Missing, Pooler: "b"})
			begin(s, 4)
		}, 9},
		"a gauge after a loss": {func(s *recording) {
			begin(s, 5)
			s.event(0, record.Event{Kind: recordpb.Kind_KIND_LOST, Lost: 1, LostFrom: t0, LostTo: t0})
			gauge(s, 4)
			begin(s, 3)
		}, 7},
	} {
		t.Run(what, func(t *testing.T) {
			s := newRecording("a")
			c.events(s)
			s.Finish()
			if v := s.View(); len(v.Pools) != 1 || v.Pools[0].MostClients != c.want {
				t.Errorf("pools are %+v, want one with a maximum of %d clients", v.Pools, c.want)
			}
		})
	}
}

// TestOtherPoolsMostClients guards against reporting the clients of many pools as clients of one.
func TestOtherPoolsMostClients(t *testing.T) {
	s := newRecording("a")
	for i := range maxPools + 5 {
		s.event(0, record.Event{Kind: recordpb.Kind_KIND_SESSION_BEGIN, Pool: fmt.Sprint("obra/", i), Session: uint64(i + 1)})
	}
	s.event(0, record.Event{Kind: recordpb.Kind_KIND_POOL, Pool: "obra/none", PoolState: record.PoolState{Clients: 1}})
	s.Finish()
	for _, p := range s.View().Pools {
		if p.MostClients != 1 {
			t.Errorf("pool %s has a maximum of %d clients, want 1", p.Name, p.MostClients)
		}
	}
}
