package incident

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/cluster/zones/admin"
	"beechgrade/internal/record"
)

// TestZoneNotesBecomeSpans checks that notes become spans of zones' states and of the plans that poolers follow, which end with the
// pooler's process, and sums of where reads were sent. Notes by an older plan change no state, and notes that cannot be parsed are
// ignored.
func TestZoneNotesBecomeSpans(t *testing.T) {
	var z zones
	if z.view() != nil {
		t.Error("there is a view of zones without any note, want none")
	}
	names := []string{"a", "b"}
	for _, e := range []struct {
		by string
		at float64
		n  admin.Note
	}{
		{"p", 1, admin.Note{Reason: "none", Zone: "a", PreferredZone: "a", Zones: names, Sent: []uint64{3, 0}}},
		{"p", 2, admin.Note{PlanNumber: 7, Reason: "plan", Zone: "a", PreferredZone: "a", Zones: names, States: []string{"serving", "serving"}}},
		{"p", 3, admin.Note{
			PlanNumber:    9,
			Reason:        "plan",
			Zone:          "a",
			PreferredZone: "b",
			Zones:         names,
			States:        []string{"evacuated", "serving"},
			Sent:          []uint64{1, 4},
		}},
		{"q", 4, admin.Note{
			PlanNumber:    7,
			Reason:        "plan",
			Zone:          "b",
			PreferredZone: "b",
			Zones:         names,
			States:        []string{"serving", "serving"},
			Sent:          []uint64{0, 2},
		}},
		{"q", 5, admin.Note{PlanNumber: 9, Reason: "fallback", Zone: "b", PreferredZone: "b", Zones: names, States: []string{"evacuated", "serving"}}},
	} {
		z.event(e.by, &record.Event{At: e.at, Text: e.n.Text()})
	}
	for _, invalid := range []string{"", "{", `{"why":"plan","zone":"z","zones":["a","b"]}`, `{"zone":"a","zones":["a","b"],"sent":[1]}`, `{"zone":"a","zones":["a","b"],"states":["x"]}`} {
		z.event("r", &record.Event{At: 6, Text: invalid})
	}
	z.ended("p", 9)
	want := &ZonesView{Plans: 9, Far: 0.4,
		States: []ZoneState{{"a", "serving", 7, 2, 3}, {"a", "evacuated", 9, 3, 0}, {"b", "serving", 7, 2, 0}},
		Followed: []FollowedPlan{{"p", "a", "a", "none", 0, 1, 2}, {"p", "a", "a", "plan", 7, 2, 3}, {"p", "a", "b", "plan", 9, 3, 9},
			{"q", "b", "b", "plan", 7, 4, 5}, {"q", "b", "b", "fallback", 9, 5, 0}},
		Crossed: []Crossed{{"p", 1, 1, 3, 0}, {"p", 2, 3, 5, 4}, {"q", 4, 4, 2, 0}},
		Sent:    []ZoneSent{{"a", "a", 4}, {"a", "b", 4}, {"b", "b", 2}}}
	if diff := cmp.Diff(want, z.view()); diff != "" {
		t.Errorf("view of the zones (-want +got):\n%s", diff)
	}
}
