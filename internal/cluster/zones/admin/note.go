package admin

import (
	"slices"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/cluster/zones"
	"beechgrade/internal/cluster/zones/follower"
	"beechgrade/internal/cluster/zones/statemachine"
)

// Note is a record of what a pooler does by zones, and where the reads that any member may serve went since the note before. The JSON keys
// are fixed.
type Note struct {
	PlanNumber    uint64   `json:"plan,omitempty"`
	Author        string   `json:"by,omitempty"`
	Reason        string   `json:"why"`
	Zone          string   `json:"zone"` // this pooler's
	PreferredZone string   `json:"near"`
	Zones         []string `json:"zones"`
	States        []string `json:"states,omitempty"` // of Zones by the plan, in their order
	Sent          []uint64 `json:"sent,omitempty"`   // attempts that ended, by Zones; nothing for none
}

// NewNote makes a note. sent are the counts of attempts by zone since the start, was those at the note before.
func NewNote(set *zones.Settings, s follower.Status, p *statemachine.Plan, sent, was []uint64) *Note {
	n := &Note{Reason: s.Reason.String(), Zone: set.Zone, PreferredZone: set.Zones[s.Zone], Zones: set.Zones}
	if p != nil {
		n.PlanNumber, n.Author = p.Number, p.Author
		for _, m := range p.Zones {
			n.States = append(n.States, m.State.String())
		}
	}
	any := false
	for z := range sent {
		x := sent[z] - was[z]
		n.Sent, any = append(n.Sent, x), any || x > 0
	}
	if !any {
		n.Sent = nil
	}
	return n
}

// SameDecision reports whether two notes differ in the plan's number and the counts only.
func (n *Note) SameDecision(o *Note) bool {
	return n.Reason == o.Reason && n.PreferredZone == o.PreferredZone && slices.Equal(n.States, o.States)
}

// Text encodes a note; empty for one that cannot be encoded.
func (n *Note) Text() string {
	b, err := jsoniter.Marshal(n)
	if err != nil {
		return ""
	}
	return string(b)
}

// ParseNote decodes a note. ok is false for a text that is none.
func ParseNote(text string) (n Note, ok bool) {
	if jsoniter.UnmarshalFromString(text, &n) != nil || len(n.Zones) == 0 || len(n.Zones) > statemachine.MaxZones || !slices.Contains(n.Zones, n.Zone) {
		return n, false
	}
	return n, (len(n.Sent) == 0 || len(n.Sent) == len(n.Zones)) && (len(n.States) == 0 || len(n.States) == len(n.Zones))
}
