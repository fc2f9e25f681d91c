package reconcile

import "math"

// Retire has all that a source said count no more: others have taken its place. What none of them knows is dropped as any
// other removal is: an empty answer in place of a saved list takes nothing away at first.
func (j *Judge) Retire(now float64, name string) {
	j.now = max(now, j.now)
	src := j.byName[name]
	if src == nil || len(src.claims) == 0 {
		return
	}
	var alone, shared []string
	for _, id := range sorted(src.claims) {
		known := false
		for i, c := range j.servers[id].claims {
			known = known || i != src.rank && c != nil && !c.dropped && j.standing(j.sources[i])
		}
		if known {
			shared = append(shared, id)
		} else {
			alone = append(alone, id)
		}
	}
	j.drop(src, alone, len(shared) == 0)
	for _, id := range shared {
		j.dropped(src, src.claims[id])
	}
	j.settle()
}

// Override takes the operators' word; it replaces what they said before.
func (j *Judge) Override(now float64, o Override) {
	j.now = max(now, j.now)
	for id := range j.pins {
		j.touch(id)
	}
	clear(j.pins)
	for _, p := range o.Pins {
		j.pins[p.ID] = p.State
		j.say(Pinned, j.touch(p.ID), "", "the operators have it %s", p.State)
	}
	if o.AcceptRemovals {
		j.release(math.Inf(1), "the operators said so")
	}
	j.settle()
}

// release accepts removals that were held back since before.
func (j *Judge) release(before float64, why string) {
	for _, src := range j.sources {
		for _, id := range sorted(src.held) {
			if src.held[id] < before {
				j.say(Released, j.servers[id], src.name, "%s", why)
				j.dropped(src, src.claims[id])
			}
		}
	}
}
