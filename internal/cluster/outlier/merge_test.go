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

// newCollector returns a collector of servers x and y in a fleet of n poolers.
func newCollector(t rapid.TB, n int) *Detector {
	detector := New(Defaults(), 1, 1e6)
	detector.CheckInvariants(invariant.New(func(b invariant.Breach) { t.Fatalf("invariant %q does not hold: %s", b.Name, b.State) }), 1)
	members := MembersChanged{Self: 1}
	for i := range n {
		members.Peers = append(members.Peers, Peer{ID: ID(i + 1), Addr: fmt.Sprint(i + 1), Zone: string(rune('a' + i%2))})
	}
	detector.settings.Collectors = n
	detector.Handle(1e6, members, nil)
	detector.Handle(1e6, ServersListed{Servers: []Server{{Name: "x", Start: 5}, {Name: "y"}}}, nil)
	return detector
}

// drawObservation draws an observation of one of the collector's servers.
func drawObservation(t *rapid.T, detector *Detector) Observation {
	item := Observation{Key: detector.servers[rapid.IntRange(0, 1).Draw(t, "server")].key, Answered: float64(rapid.IntRange(-1, 3000).Draw(t, "answered"))}
	if item.Unanswered = rapid.IntRange(0, 6).Draw(t, "unanswered"); item.Unanswered > 0 {
		item.LastUnanswered = float64(rapid.IntRange(0, 3000).Draw(t, "last"))
		item.FirstUnanswered, item.Work = item.LastUnanswered+float64(rapid.IntRange(0, 3000).Draw(t, "first")), float64(rapid.IntRange(1, 300).Draw(t, "work"))
	}
	if item.Report.Role = Role(rapid.IntRange(0, 2).Draw(t, "role")); item.Report.Role != RoleUnknown {
		item.Report.Position, item.ReportAge = 1e6-float64(rapid.IntRange(0, 3000).Draw(t, "position")), float64(rapid.IntRange(0, 3000).Draw(t, "age"))
	}
	return item
}

// TestAssessmentIsIndependentOfOrder: the same evidence, in any order and any number of times, leads to the same assessment.
func TestAssessmentIsIndependentOfOrder(t *testing.T) {
	unhealthy, vouched := 0, 0
	deterministic.Check(t, func(t *rapid.T) {
		type sent struct {
			from         ID
			observations *Observations
		}
		inOrder, shuffled := newCollector(t, 5), newCollector(t, 5)
		var all []sent
		for i := range rapid.IntRange(1, 12).Draw(t, "messages") {
			observations := &Observations{Sequence: uint32(i + 1)}
			for range rapid.IntRange(1, 2).Draw(t, "items") {
				if item := drawObservation(t, inOrder); len(observations.Items) == 0 || observations.Items[0].Key != item.Key {
					observations.Items = append(observations.Items, item)
				}
			}
			all = append(all, sent{ID(rapid.IntRange(2, 5).Draw(t, "from")), observations})
		}
		for _, m := range all {
			inOrder.Handle(1e6, Received{From: m.from, Message: m.observations}, nil)
		}
		repeated := append(slices.Clone(all), all[:rapid.IntRange(0, len(all)).Draw(t, "repeated")]...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(repeated), func(i, j int) { repeated[i], repeated[j] = repeated[j], repeated[i] })
		for _, m := range repeated {
			shuffled.Handle(1e6, Received{From: m.from, Message: m.observations}, nil)
		}
		want, got := inOrder.Assessments(), shuffled.Assessments()
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("in order of sending the assessments are\n%+v, in another order\n%+v", want, got)
		}
		for _, assessment := range want {
			if assessment.Unhealthy {
				unhealthy++
			}
			if assessment.Report.Position > 0 {
				vouched++
			}
		}
	})
	if unhealthy == 0 || vouched == 0 {
		t.Errorf("%d assessments call a server unhealthy and %d have a position: the test needs some of each", unhealthy, vouched)
	}
}

// TestMessagesRoundTrip: messages decode as they were encoded, up to rounding; a position never as a newer one. Malformed messages are
// errors.
func TestMessagesRoundTrip(t *testing.T) {
	deterministic.Check(t, func(t *rapid.T) {
		detector := newCollector(t, 3)
		observations := &Observations{Sequence: rapid.Uint32().Draw(t, "seq"), Items: []Observation{drawObservation(t, detector), drawObservation(t, detector)}}
		got, err := Decode(observations.Append(nil))
		if err != nil || !reflect.DeepEqual(got, observations) {
			t.Fatalf("observations decoded as %+v, error %v; want %+v", got, err, observations)
		}
		assessments := &Assessments{Sequence: 7, Items: []Assessment{{Key: 9, Answered: -1, Unhealthy: true, Zones: []uint32{4, 5}, FirstUnanswered: 20, LastUnanswered: 10.5, Observers: []ID{1, 1 << 60}, Report: ServerReport{RolePrimary, 1.7e12 + 0.5}, ReportAge: 3},
			{Key: 10, Answered: 4, Report: ServerReport{RoleUnknown, 1.7e12 + 0.1234567}}}}
		b := assessments.Append(nil)
		decoded, err := Decode(b)
		if err != nil || decoded.(*Assessments).Items[1].Report.Position > assessments.Items[1].Report.Position {
			t.Fatalf("assessments decoded as %+v, error %v; want no position newer than in %+v", decoded, err, assessments)
		}
		decoded.(*Assessments).Items[1].Report = assessments.Items[1].Report
		if !reflect.DeepEqual(decoded, assessments) {
			t.Fatalf("assessments decoded as %+v, want %+v", decoded, assessments)
		}
		truncated := b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
		if x, err := Decode(truncated); err == nil && len(x.(*Assessments).Items) > 1 {
			t.Fatalf("a truncated message is decoded as %+v, want an error or fewer items", x)
		}
		if _, err := Decode(append([]byte{byte(rapid.IntRange(0, 2).Draw(t, "kind"))}, rapid.SliceOf(rapid.Byte()).Draw(t, "noise")...)); err == nil {
			return
		}
	})
	if _, err := Decode([]byte{9}); err == nil {
		t.Error("a message of an unknown kind is decoded without an error")
	}
}

// TestInvariantsDetectBrokenState: each invariant reports a state in which it was broken on purpose.
func TestInvariantsDetectBrokenState(t *testing.T) {
	for name, breakState := range map[string]func(detector *Detector, server *serverState){
		"outlier: servers are indexed by name and by key": func(detector *Detector, server *serverState) { detector.byName["z"] = server },
		"outlier: a server is indexed once":               func(detector *Detector, server *serverState) { detector.byKey[server.key] = &serverState{} },
		"outlier: no more servers of a group are ejected than MaxEjected": func(detector *Detector, server *serverState) {
			detector.servers[0].ejection.active, detector.servers[1].ejection.active = true, true
		},
		"outlier: open attempts are bounded": func(detector *Detector, server *serverState) {
			server.own.openAttempts = make([]openAttempt, maxOpenAttempts+1)
		},
		"outlier: unanswered attempts were sent after the last answered one": func(detector *Detector, server *serverState) {
			server.own.unanswered, server.own.lastUnanswered, server.own.answeredSentAt = 1, 5, 9
		},
		"outlier: an ejection has an end": func(detector *Detector, server *serverState) { server.ejection = ejection{active: true, until: inf} },
		"outlier: the first unanswered attempt precedes the last": func(detector *Detector, server *serverState) {
			server.observers = []*observer{{unanswered: 1, firstUnanswered: 9, lastUnanswered: 5}}
		},
		"outlier: no evidence is from the future": func(detector *Detector, server *serverState) { server.observers = []*observer{{answeredAt: 2e6}} },
	} {
		detector := newCollector(t, 3)
		var got []string
		checks := invariant.New(func(b invariant.Breach) { got = append(got, b.Name) })
		if detector.checkState(checks); len(got) > 0 {
			t.Fatalf("intact state: got breaches %v, want none", got)
		}
		if breakState(detector, detector.servers[0]); true {
			detector.checkState(checks)
		}
		if !slices.Contains(got, name) {
			t.Errorf("broken state: got breaches %v, want one of %q", got, name)
		}
	}
}

// TestMessageSizesAreBounded: the items of messages take no more bytes than wireBytes returns.
func TestMessageSizesAreBounded(t *testing.T) {
	item := Observation{Key: 1 << 31, Answered: 1e6, Unanswered: 200, FirstUnanswered: 1e6, LastUnanswered: 1e6, Work: 1e6, Report: ServerReport{RolePrimary, 1.7e12}, ReportAge: 1e6}
	assessment := Assessment{Key: 1 << 31, Unhealthy: true, Zones: []uint32{1}, FirstUnanswered: 1e6, LastUnanswered: 1e6, Observers: []ID{1, 2}, Answered: 1e6, Report: ServerReport{RolePrimary, 1.7e12}, ReportAge: 1e6}
	observationSize, assessmentSize := len((&Observations{Items: []Observation{item, item}}).Append(nil))-len((&Observations{Items: []Observation{item}}).Append(nil)),
		len((&Assessments{Items: []Assessment{assessment, assessment}}).Append(nil))-len((&Assessments{Items: []Assessment{assessment}}).Append(nil))
	if observationSize > item.wireBytes() || assessmentSize > assessment.wireBytes() {
		t.Errorf("an observation takes %d bytes, want at most %d; an assessment takes %d, want at most %d", observationSize, item.wireBytes(), assessmentSize, assessment.wireBytes())
	}
	if assessment.Unhealthy = false; len((&Assessments{Items: []Assessment{assessment}}).Append(nil))-12 > assessment.wireBytes() {
		t.Error("the assessment of a healthy server takes more bytes than wireBytes returns")
	}
}
