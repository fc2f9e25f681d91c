package outlier

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/deterministic"
)

// collector is one that hears of evidence, whatever its order.
func collector(t rapid.TB, n int) *Detector {
	detector := New(Defaults(), 1, 1e6)
	detector.CheckInvariants(invariant.New(func(b invariant.Breach) { t.Fatalf("%s: %s", b.Name, b.State) }), 1)
	m := MembersChanged{Self: 1}
	for i := range n {
		m.Peers = append(m.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprint(i + 1), Zone: string(rune('a' + i%2))})
	}
	detector.settings.Collectors = n
	detector.Handle(1e6, m, nil)
	detector.Handle(1e6, ServersListed{Servers: []Server{{Name: "x", Start: 5}, {Name: "y"}}}, nil)
	return detector
}

func drawItem(t *rapid.T, detector *Detector) Observation {
	x := Observation{Key: detector.servers[rapid.IntRange(0, 1).Draw(t, "server")].key, Answered: float64(rapid.IntRange(-1, 3000).Draw(t, "answered"))}
	if x.Unanswered = rapid.IntRange(0, 6).Draw(t, "n"); x.Unanswered > 0 {
		x.LastUnanswered = float64(rapid.IntRange(0, 3000).Draw(t, "last"))
		x.FirstUnanswered, x.Work = x.LastUnanswered+float64(rapid.IntRange(0, 3000).Draw(t, "first")), float64(rapid.IntRange(1, 300).Draw(t, "work"))
	}
	if x.Report.Role = Role(rapid.IntRange(0, 2).Draw(t, "role")); x.Report.Role != RoleUnknown {
		x.Report.Position, x.ReportAge = 1e6-float64(rapid.IntRange(0, 3000).Draw(t, "position")), float64(rapid.IntRange(0, 3000).Draw(t, "age"))
	}
	return x
}

// TestAssessmentIsIndependentOfOrder: the same evidence, in any order and any number of times, leads to the same assessment.
func TestAssessmentIsIndependentOfOrder(t *testing.T) {
	bad, vouched := 0, 0
	deterministic.Check(t, func(t *rapid.T) {
		type told struct {
			from ID
			tell *Observations
		}
		one, other := collector(t, 5), collector(t, 5)
		var all []told
		for i := range rapid.IntRange(1, 12).Draw(t, "tells") {
			tell := &Observations{Sequence: uint32(i + 1)}
			for range rapid.IntRange(1, 2).Draw(t, "items") {
				if x := drawItem(t, one); len(tell.Items) == 0 || tell.Items[0].Key != x.Key {
					tell.Items = append(tell.Items, x)
				}
			}
			all = append(all, told{ID(rapid.IntRange(2, 5).Draw(t, "from")), tell})
		}
		for _, x := range all {
			one.Handle(1e6, Received{From: x.from, Message: x.tell}, nil)
		}
		again := append(slices.Clone(all), all[:rapid.IntRange(0, len(all)).Draw(t, "again")]...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		for _, x := range again {
			other.Handle(1e6, Received{From: x.from, Message: x.tell}, nil)
		}
		a, b := one.Assessments(), other.Assessments()
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v\n%+v", a, b)
		}
		for _, x := range a {
			if x.Unhealthy {
				bad++
			}
			if x.Report.Position > 0 {
				vouched++
			}
		}
	})
	if bad == 0 || vouched == 0 {
		t.Errorf("%d were judged bad, %d positions vouched for: it proves nothing", bad, vouched)
	}
}

// TestMessagesRoundTrip: messages decode as they were encoded, up to rounding; a position never as a newer one. Malformed messages are
// errors.
func TestMessagesRoundTrip(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		detector := collector(t, 3)
		tell := &Observations{Sequence: rapid.Uint32().Draw(t, "seq"), Items: []Observation{drawItem(t, detector), drawItem(t, detector)}}
		got, err := Decode(tell.Append(nil))
		if err != nil || !reflect.DeepEqual(got, tell) {
			t.Fatalf("%v: %+v of %+v", err, got, tell)
		}
		word := &Assessments{Sequence: 7, Items: []Assessment{{Key: 9, Answered: -1, Unhealthy: true, Zones: []uint32{4, 5}, FirstUnanswered: 20, LastUnanswered: 10.5, Observers: []ID{1, 1 << 60}, Report: ServerReport{RolePrimary, 1.7e12 + 0.5}, ReportAge: 3},
			{Key: 10, Answered: 4, Report: ServerReport{RoleUnknown, 1.7e12 + 0.1234567}}}}
		b := word.Append(nil)
		back, err := Decode(b)
		if err != nil || back.(*Assessments).Items[1].Report.Position > word.Items[1].Report.Position {
			t.Fatalf("%v: %+v", err, back)
		}
		back.(*Assessments).Items[1].Report = word.Items[1].Report
		if !reflect.DeepEqual(back, word) {
			t.Fatalf("%+v of %+v", back, word)
		}
		torn := b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		if x, err := Decode(torn); err == nil && len(x.(*Assessments).Items) > 1 {
			t.Fatalf("%+v of what was cut", x)
		}
		if _, err := Decode(append([]byte{byte(rapid.IntRange(0, 2).Draw(t, "verb"))}, rapid.SliceOf(rapid.Byte()).Draw(t, "noise")...)); err == nil {
			return
		}
	})
	if _, err := Decode([]byte{9}); err == nil {
		t.Error("another verb is read")
	}
}

// TestInvariantsDetectBrokenState: each invariant fails for a state that was broken.
func TestInvariantsDetectBrokenState(t *testing.T) {
	for name, spoil := range map[string]func(detector *Detector, server *serverState){
		"outlier: servers are filed":      func(detector *Detector, server *serverState) { detector.byName["z"] = server },
		"outlier: a server is filed once": func(detector *Detector, server *serverState) { detector.byKey[server.key] = &serverState{} },
		"outlier: no more of a group is ejected than MaxEjected": func(detector *Detector, server *serverState) {
			detector.servers[0].ejection.active, detector.servers[1].ejection.active = true, true
		},
		"outlier: open attempts are bounded": func(detector *Detector, server *serverState) {
			server.own.openAttempts = make([]openAttempt, maxOpenAttempts+1)
		},
		"outlier: unanswered attempts were sent after any answered one": func(detector *Detector, server *serverState) {
			server.own.unanswered, server.own.lastUnanswered, server.own.answeredSentAt = 1, 5, 9
		},
		"outlier: an ejection has an end": func(detector *Detector, server *serverState) { server.ejection = ejection{active: true, until: inf} },
		"outlier: the first unanswered attempt precedes the last": func(detector *Detector, server *serverState) {
			server.observers = []*observer{{unanswered: 1, firstUnanswered: 9, lastUnanswered: 5}}
		},
		"outlier: no evidence is from the future": func(detector *Detector, server *serverState) { server.observers = []*observer{{answeredAt: 2e6}} },
	} {
		detector := collector(t, 3)
		var got []string
		c := invariant.New(func(b invariant.Breach) { got = append(got, b.Name) })
		if detector.checkState(c); len(got) > 0 {
			t.Fatalf("%v of what is whole", got)
		}
		if spoil(detector, detector.servers[0]); true {
			detector.checkState(c)
		}
		if !slices.Contains(got, name) {
			t.Errorf("%q is not seen: %v", name, got)
		}
	}
}

// TestMessageSizesAreBounded: messages stay within the stated sizes, and none is longer than a datagram.
func TestMessageSizesAreBounded(t *testing.T) {
	item := Observation{Key: 1 << 31, Answered: 1e6, Unanswered: 200, FirstUnanswered: 1e6, LastUnanswered: 1e6, Work: 1e6, Report: ServerReport{RolePrimary, 1.7e12}, ReportAge: 1e6}
	sum := Assessment{Key: 1 << 31, Unhealthy: true, Zones: []uint32{1}, FirstUnanswered: 1e6, LastUnanswered: 1e6, Observers: []ID{1, 2}, Answered: 1e6, Report: ServerReport{RolePrimary, 1.7e12}, ReportAge: 1e6}
	one, two := len((&Observations{Items: []Observation{item, item}}).Append(nil))-len((&Observations{Items: []Observation{item}}).Append(nil)),
		len((&Assessments{Items: []Assessment{sum, sum}}).Append(nil))-len((&Assessments{Items: []Assessment{sum}}).Append(nil))
	if one > item.wireBytes() || two > sum.wireBytes() {
		t.Errorf("a server takes %d bytes of a tell, of %d, and %d of a word, of %d", one, item.wireBytes(), two, sum.wireBytes())
	}
	if sum.Unhealthy = false; len((&Assessments{Items: []Assessment{sum}}).Append(nil))-12 > sum.wireBytes() {
		t.Error("one that is not bad takes more than its size")
	}
}
