package incident

import (
	"cmp"
	"slices"

	"beechgrade/internal/cluster/zones/admin"
	"beechgrade/internal/record"
)

// ZonesView holds the zones' states by the plans, the plan that each pooler followed, and where reads were sent.
type ZonesView struct {
	Plans    uint64         `json:"newest_plan"`
	States   []ZoneState    `json:"states"`  // by the newest plans that any pooler followed
	Followed []FollowedPlan `json:"goes_by"` // what each pooler followed
	Crossed  []Crossed      `json:"crossed"` // by pooler
	Sent     []ZoneSent     `json:"sent"`    // over all poolers, of reads that any member may serve
	Far      float64        `json:"part_that_crossed"`
	More     uint64         `json:"not_listed"`
}

// ZoneState is a span in which a zone was in a state by the plans.
type ZoneState struct {
	Zone  string  `json:"zone"`
	State string  `json:"state"`
	Plan  uint64  `json:"plan"` // the first with that state
	From  float64 `json:"from_ms"`
	To    float64 `json:"to_ms"` // 0: until the end of the records
}

// FollowedPlan is a span in which a pooler followed a plan, or its fallback.
type FollowedPlan struct {
	By   string  `json:"by"`
	Zone string  `json:"zone"` // its own
	Near string  `json:"near"` // the zone that it preferred
	Why  string  `json:"why"`  // none, plan, fallback or spilling
	Plan uint64  `json:"plan"` // the first in the span
	From float64 `json:"from_ms"`
	To   float64 `json:"to_ms"` // 0: until the end of the records
}

// Crossed counts a pooler's reads in a span, and how many of these were sent to other zones.
type Crossed struct {
	By   string  `json:"by"`
	From float64 `json:"from_ms"`
	To   float64 `json:"to_ms"`
	Sent uint64  `json:"sent"`
	Far  uint64  `json:"far"`
}

// ZoneSent counts the reads that the poolers of zone From sent to the servers of zone To.
type ZoneSent struct {
	From string `json:"from"`
	To   string `json:"to"`
	Sent uint64 `json:"sent"`
}

// maxZoneSpans bounds the spans of each kind that are kept; later ones are counted only.
const maxZoneSpans = 20000

// zones collects the notes of poolers that plan zones together.
type zones struct {
	started     bool // a note was taken
	newest      uint64
	states      []ZoneState
	followed    []FollowedPlan
	crossed     []Crossed
	sent        map[[2]string]uint64
	state       map[string]int     // by zone: index of its latest state plus 1
	currentPlan map[string]int     // by pooler: index of its latest span plus 1
	lastNoteAt  map[string]float64 // by pooler: time of its latest note
	more        uint64
}

// event takes a pooler's note. A text that cannot be parsed is ignored.
func (z *zones) event(pooler string, e *record.Event) {
	n, ok := admin.ParseNote(e.Text)
	if !ok {
		return
	}
	if !z.started {
		z.started, z.sent, z.state, z.currentPlan, z.lastNoteAt = true, map[[2]string]uint64{}, map[string]int{}, map[string]int{}, map[string]float64{}
	}
	if n.PlanNumber > z.newest || n.PlanNumber == z.newest && len(z.states) == 0 {
		z.newest = n.PlanNumber
		for i, state := range n.States {
			z.onZoneState(n.Zones[i], state, n.PlanNumber, e.At)
		}
	}
	if i := z.currentPlan[pooler]; i == 0 || z.followed[i-1].Why != n.Reason || z.followed[i-1].Near != n.PreferredZone {
		if i > 0 {
			z.followed[i-1].To = e.At
		}
		if delete(z.currentPlan, pooler); len(z.followed) < maxZoneSpans {
			z.followed = append(z.followed, FollowedPlan{By: pooler, Zone: n.Zone, Near: n.PreferredZone, Why: n.Reason, Plan: n.PlanNumber, From: e.At})
			z.currentPlan[pooler] = len(z.followed)
		} else {
			z.more++
		}
	}
	x := Crossed{By: pooler, From: e.At, To: e.At}
	if previousAt, ok := z.lastNoteAt[pooler]; ok {
		x.From = previousAt
	}
	z.lastNoteAt[pooler] = e.At
	for i, sent := range n.Sent {
		if sent > 0 {
			z.sent[[2]string{n.Zone, n.Zones[i]}] += sent
		}
		if x.Sent += sent; n.Zones[i] != n.Zone {
			x.Far += sent
		}
	}
	switch {
	case x.Sent == 0:
	case len(z.crossed) < maxZoneSpans:
		z.crossed = append(z.crossed, x)
	default:
		z.more++
	}
}

// onZoneState takes the state of a zone by a newer plan. A state that did not change continues its span.
func (z *zones) onZoneState(zone, state string, plan uint64, at float64) {
	if i := z.state[zone]; i > 0 {
		if z.states[i-1].State == state {
			return
		}
		z.states[i-1].To = at
	}
	if delete(z.state, zone); len(z.states) == maxZoneSpans {
		z.more++
		return
	}
	z.states = append(z.states, ZoneState{Zone: zone, State: state, Plan: plan, From: at})
	z.state[zone] = len(z.states)
}

// ended ends the spans of a pooler whose process ended.
func (z *zones) ended(pooler string, at float64) {
	if i := z.currentPlan[pooler]; i > 0 {
		z.followed[i-1].To = at
	}
	delete(z.currentPlan, pooler)
	delete(z.lastNoteAt, pooler)
}

// view returns what was collected, or nil where no note was taken.
func (z *zones) view() *ZonesView {
	if !z.started {
		return nil
	}
	v := &ZonesView{
		Plans:    z.newest,
		States:   slices.Clone(z.states),
		Followed: slices.Clone(z.followed),
		Crossed:  slices.Clone(z.crossed),
		More:     z.more,
	}
	slices.SortStableFunc(v.States, func(a, b ZoneState) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.From, b.From)) })
	slices.SortStableFunc(v.Followed, func(a, b FollowedPlan) int { return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.From, b.From)) })
	slices.SortStableFunc(v.Crossed, func(a, b Crossed) int { return cmp.Or(cmp.Compare(a.By, b.By), cmp.Compare(a.From, b.From)) })
	all, far := uint64(0), uint64(0)
	for k, n := range z.sent {
		v.Sent = append(v.Sent, ZoneSent{k[0], k[1], n})
		if all += n; k[0] != k[1] {
			far += n
		}
	}
	slices.SortFunc(v.Sent, func(a, b ZoneSent) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	v.Far = float64(far) / float64(max(1, all))
	return v
}
