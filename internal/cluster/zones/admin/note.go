package admin

import (
	"slices"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Note is the content of a record: which zone a pooler prefers and why, and to which zones the reads that any member may serve went since
// the previous note. The JSON keys are fixed.
type Note struct {
	PlanNumber    uint64   `json:"plan,omitempty"`
	Author        string   `json:"by,omitempty"`
	Reason        string   `json:"why"`
	Zone          string   `json:"zone"` // this pooler's own
	PreferredZone string   `json:"near"` // the zone that it treats as local
	Zones         []string `json:"zones"`
	States        []string `json:"states,omitempty"` // of Zones according to the plan, in the same order
	Sent          []uint64 `json:"sent,omitempty"`   // attempts that ended, in the order of Zones; empty if there were none
}

// NewNote returns a note. sent are the counts of attempts by zone since the start, previous those at the previous note.
func NewNote(settings *zones.Settings, status follower.Status, plan *statemachine.Plan, sent, previous []uint64) *Note {
	n := &Note{Reason: status.Reason.String(), Zone: settings.Zone, PreferredZone: settings.Zones[status.Zone], Zones: settings.Zones}
	if plan != nil {
		n.PlanNumber, n.Author = plan.Number, plan.Author
		for _, zone := range plan.Zones {
			n.States = append(n.States, zone.State.String())
		}
	}
	anySent := false
	for zone := range sent {
		count := sent[zone] - previous[zone]
		n.Sent, anySent = append(n.Sent, count), anySent || count > 0
	}
	if !anySent {
		n.Sent = nil
	}
	return n
}

// SameDecision reports whether two notes of a pooler have the same reason, preferred zone and states of zones.
func (n *Note) SameDecision(other *Note) bool {
	return n.Reason == other.Reason && n.PreferredZone == other.PreferredZone && slices.Equal(n.States, other.States)
}

// Text returns the encoded note, empty if it cannot be encoded.
func (n *Note) Text() string {
	b, err := jsoniter.Marshal(n)
	if err != nil {
		return ""
	}
	return string(b)
}

// ParseNote decodes a note. ok is false for a text that is not a note.
func ParseNote(text string) (n Note, ok bool) {
	if jsoniter.UnmarshalFromString(text, &n) != nil || len(n.Zones) == 0 || len(n.Zones) > statemachine.MaxZones || !slices.Contains(n.Zones, n.Zone) {
		return n, false
	}
	return n, (len(n.Sent) == 0 || len(n.Sent) == len(n.Zones)) && (len(n.States) == 0 || len(n.States) == len(n.Zones))
}
