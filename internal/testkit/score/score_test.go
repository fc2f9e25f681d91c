package score

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/testkit/clients"
)

// TestScore guards against a score that is higher than the service that clients received, and against violations that are not
// reported.
func TestScore(t *testing.T) {
	classes := []clients.Class{{Name: "w", Worth: 3, LateWorth: 0.3, Aim: 100}}
	scorer := New(1, classes)
	try := func(no int, kind clients.Kind, first, sent, ended float64, change ...func(*clients.Attempt)) {
		x := &clients.Attempt{
			Request: &clients.Request{Patience: 500},
			Class:   &classes[0],
			No:      no,
			First:   1.7e12 + first,
			Sent:    1.7e12 + sent,
			Ended:   1.7e12 + ended,
			Kind:    kind,
		}
		for _, f := range change {
			f(x)
		}
		scorer.AttemptEnded(x)
	}
	try(0, clients.Served, 0, 0, 100)
	try(0, clients.Refused, 0, 0, 20)
	try(1, clients.Served, 0, 60, 101) // late, counted from its first attempt
	try(0, clients.Served, 0, 0, 10, func(x *clients.Attempt) { x.Stale = true })
	try(0, clients.Served, 0, 0, 10, func(x *clients.Attempt) { x.Foreign = true })
	try(0, clients.Served, 0, 0, 10, func(x *clients.Attempt) { x.Extra = true })
	try(0, clients.Served, 0, 0, 600, func(x *clients.Attempt) { x.Late = true })
	try(0, clients.Served, 0, 0, 500, func(x *clients.Attempt) { x.Late, x.AnsweredAt = true, 1.7e12+1001 })
	try(0, clients.Served, 0, 0, 500, func(x *clients.Attempt) { x.Late, x.PoolerStalled, x.AnsweredAt = true, true, 1.7e12+1001 })
	try(0, clients.Unanswered, 0, 0, 500)
	try(0, clients.Broken, 0, 0, 5)
	s := scorer.Score()
	var rules []string
	for _, b := range s.Breaches {
		rules = append(rules, b.Rule)
	}
	if diff := cmp.Diff([]string{"no stale read", "no invented value", "one final answer", "in time", "one final answer", "in time"}, rules); diff != "" {
		t.Errorf("rules of the breaches (-want +got):\n%s", diff)
	}
	want := Class{
		Name:        "w",
		Asked:       10,
		Tries:       11,
		Served:      8,
		Refused:     1,
		Unanswered:  1,
		Broken:      1,
		InTime:      2,
		Late:        4,
		WorthAsked:  30,
		WorthInTime: 6,
		WorthGot:    9.6,
		Ratio:       0.32,
	}
	got := s.Classes[0]
	got.WorthGot, got.Ratio = float64(int(got.WorthGot*1000+0.5))/1000, float64(int(got.Ratio*1e6+0.5))/1e6
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("score of the class (-want +got):\n%s", diff)
	}
}
