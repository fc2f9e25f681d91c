package modelcheck

import (
	"fmt"
	"testing"

	"beechgrade/internal/cluster/outlier"
)

// evidence returns the state before messages about one server of a group of four: two observers get no answer from it, one of them gets an
// answer later; three collectors assess it unhealthy, and with withRecovery one of them healthy later.
func evidence(t *testing.T, fault outlier.Fault, withRecovery bool) *Evidence {
	t.Helper()
	system := &Evidence{Settings: outlier.Defaults(), Members: outlier.MembersChanged{Self: 1}, Duplicates: 1}
	system.Settings.Fault = fault
	for i := range 5 {
		system.Members.Peers = append(system.Members.Peers, outlier.Peer{ID: outlier.ID(i + 1), Addr: fmt.Sprint(i), Zone: "z"})
	}
	system.Settings.Collectors = 5
	for i := range 4 {
		system.Servers = append(system.Servers, outlier.Server{Name: fmt.Sprint("s", i)})
	}
	detector := outlier.New(system.Settings, 1, eventTime)
	detector.Handle(eventTime, system.Members, nil)
	detector.Handle(eventTime, outlier.ServersListed{Servers: system.Servers}, nil)
	key := detector.Assessments()[0].Key
	addObservation := func(from outlier.ID, seq uint32, observation outlier.Observation) {
		observation.Key = key
		system.Messages = append(system.Messages, outlier.Received{From: from, Message: &outlier.Observations{Sequence: seq, Items: []outlier.Observation{observation}}})
	}
	addAssessment := func(from outlier.ID, seq uint32, unhealthy bool) {
		system.Messages = append(system.Messages, outlier.Received{From: from, Message: &outlier.Assessments{Sequence: seq, Items: []outlier.Assessment{{
			Key:             key,
			Unhealthy:       unhealthy,
			AllZones:        unhealthy,
			FirstUnanswered: 3000,
			LastUnanswered:  100,
			Answered:        -1,
		}}}})
	}
	report := outlier.ServerReport{Role: outlier.RoleReplica, Position: eventTime - 500}
	addObservation(2, 1, outlier.Observation{
		Answered:        5000,
		Unanswered:      3,
		FirstUnanswered: 3000,
		LastUnanswered:  400,
		Work:            80,
		Report:          report,
		ReportAge:       300,
	})
	addObservation(3, 1, outlier.Observation{
		Answered:        -1,
		Unanswered:      2,
		FirstUnanswered: 2500,
		LastUnanswered:  300,
		Work:            80,
		Report:          report,
		ReportAge:       200,
	})
	addObservation(3, 2, outlier.Observation{Answered: 100, Work: 80})
	addAssessment(2, 9, true)
	addAssessment(3, 7, true)
	addAssessment(4, 8, true)
	if withRecovery {
		addAssessment(4, 9, false)
	}
	return system.Start()
}

// TestEvidence guards against an outlier detector whose outcome depends on the order in which messages arrive, or on a message that arrives
// twice, so that poolers with the same messages eject different servers; and against the ejection of a server on the reports of a single
// observer, whose own link may be the fault.
func TestEvidence(t *testing.T) {
	for _, withRecovery := range []bool{false, true} {
		system := evidence(t, outlier.NoFault, withRecovery)
		result := Run(system, Bounds{Depth: 2 * len(system.Messages), States: 1 << 16})
		if result.Err != nil || !result.Complete {
			t.Errorf("search failed or is incomplete: %v after %v; complete %v, %d states", result.Err, result.Trace, result.Complete, result.States)
		}
		if ejections := len(system.after([]int{3, 4, 5}).detector.Ejections()); ejections != 1 {
			t.Errorf("assessments of three collectors lead to %d ejections, want 1: otherwise the search does not cover an ejection", ejections)
		}
	}
	if result := Run(evidence(t, outlier.SingleObserver, true), Bounds{Depth: 14, States: 1 << 16}); result.Err == nil {
		t.Error("mutant not found: an ejection on the reports of a single observer")
	}
}
