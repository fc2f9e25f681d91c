package incident

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// TestPools guards against pools whose waits, moves and ends are told otherwise than they were.
func TestPools(t *testing.T) {
	s := newStory("a")
	const name = "obra/tablet"
	hand := func(at float64, e record.Event) {
		e.Kind, e.Pool = recordpb.Kind_KIND_HAND, name
		s.tell(at, e)
	}
	gauge := func(at float64, used, waiting int32) {
		s.tell(at, record.Event{Kind: recordpb.Kind_KIND_POOL, Pool: name, Holds: record.PoolHolds{Clients: 40, Used: used, Waiting: waiting, Most: 2}})
	}
	for i := range 40 {
		s.tell(float64(i), record.Event{Kind: recordpb.Kind_KIND_SESSION_BEGIN, Pool: name, Session: uint64(i + 1)})
	}
	gauge(100, 1, 0)
	hand(200, record.Event{How: record.HandGiven, Server: "s-1", Session: 1, Took: 3})
	hand(300, record.Event{How: record.HandGiven, Server: "s-2", Session: 1, Took: 70, Other: true, Moved: true, Carried: true})
	for at := 1000.0; at <= 4000; at += 1000 { // all in use, and somebody waits
		gauge(at, 2, 7)
	}
	gauge(5000, 2, 0)
	hand(5100, record.Event{How: record.HandAgain, Session: 2})
	for i := range 3 {
		hand(5200+float64(i), record.Event{How: record.HandRefused, Session: 3})
	}
	for i := range 25 {
		s.tell(6000+float64(i), record.Event{Kind: recordpb.Kind_KIND_SESSION_END, Pool: name, Session: uint64(i + 1), Text: "57P01"})
	}
	s.tell(9000, record.Event{Kind: recordpb.Kind_KIND_SESSION_END, Pool: name, Session: 40}) // the client's own will
	s.Finish()
	v := s.View()
	want := []PoolView{{Name: name, Sessions: 40, Ended: 26, Ends: map[string]uint64{"57P01": 25}, Hands: 2, Changed: 1, Moved: 1, Carried: 1, Refused: 3, Again: 1,
		WaitMost: 70, WaitMostAt: t0 + 300, MostClients: 40, MostUsed: 2, MostWaiting: 7, Connections: 2, Cramped: []Stretch{{t0 + 1000, t0 + 5000}}}}
	if diff := cmp.Diff(want, v.Pools, cmpopts.IgnoreFields(PoolView{}, "WaitP50", "WaitP99")); diff != "" {
		t.Error(diff)
	}
	found := map[string]int{}
	for _, f := range v.Findings {
		found[f.Kind]++
	}
	if found["pool cramped"] != 1 || found["no connection"] != 1 || found["sessions ended"] != 1 {
		t.Errorf("findings: %v", found)
	}
	if x := v.Series.Pools[name]; len(x.Waiting) == 0 || len(x.Waiting) != len(v.Series.Classes[0].Asked) {
		t.Errorf("a series of %d stretches", len(x.Waiting))
	}
}
