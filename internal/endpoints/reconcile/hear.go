package reconcile

import (
	"fmt"
	"slices"
)

// Heard takes a source's news. It tells whether the source must be asked for all that it has: its changes do not fit.
func (j *Judge) Heard(now float64, name string, r *Report) (askWhole bool) {
	j.now = max(now, j.now)
	src := j.byName[name]
	if src == nil {
		return false
	}
	if src.lostAt != 0 {
		if !j.standing(src) {
			j.unsay(src)
		}
		src.lostAt = 0
		j.say(SourceBack, nil, name, "it can be had again")
		j.touchAll(src)
	}
	if r.Generation != 0 && r.Generation < src.gen {
		if !r.Whole {
			j.say(WentBack, nil, name, "changes of generation %d after %d are not taken", r.Generation, src.gen)
			return true
		}
		j.say(WentBack, nil, name, "generation %d after %d: it began anew", r.Generation, src.gen)
	}
	if was := src.age > j.set.OldAge && j.set.OldAge > 0; was != (r.Age > j.set.OldAge && j.set.OldAge > 0) {
		j.touchAll(src)
	}
	src.gen, src.age = r.Generation, r.Age
	named := map[string]bool{}
	for i := range r.Claims {
		c := j.one(src, r.Claims, i, named)
		if c == nil {
			continue
		}
		delete(src.held, c.ID)
		old := src.claims[c.ID]
		x := &claim{Claim: *c}
		if old != nil {
			j.keepStart(src, old, x)
			if !old.dropped && old.Claim == x.Claim {
				old.backed = x.backed
				continue
			}
		}
		src.claims[c.ID] = x
		j.touch(c.ID).claims[src.rank] = x
	}
	drop := r.Removed
	if r.Whole && src.heard {
		for id, c := range src.claims {
			if !named[id] && !c.dropped {
				drop = append(drop, id)
			}
		}
		slices.Sort(drop)
	}
	src.heard = true
	j.drop(src, drop, r.Whole && len(named) == 0)
	j.settle()
	return false
}

// one is the claim on a server where its source has only one, and the likeliest of several: of the process that started
// last, else at the address that is known.
func (j *Judge) one(src *source, all []Claim, i int, named map[string]bool) *Claim {
	c := &all[i]
	if c.ID == "" || named[c.ID] {
		return nil
	}
	named[c.ID] = true
	best := c
	for k := i + 1; k < len(all); k++ {
		o := &all[k]
		if o.ID != c.ID || o.Address == best.Address {
			continue
		}
		known := ""
		if s := j.servers[c.ID]; s != nil {
			known = s.shown.Address
		}
		if o.Started > best.Started || o.Started == best.Started && o.Address == known {
			best = o
		}
		if s := j.touch(c.ID); s.conflict != c.Address+o.Address {
			s.conflict = c.Address + o.Address
			j.say(TwoAddresses, s, src.name, "%s and %s; %s is taken", c.Address, o.Address, best.Address)
		}
	}
	return best
}

// keepStart keeps the later start where a source tells an earlier one: a process does not start again in the past.
func (j *Judge) keepStart(src *source, old, c *claim) {
	if c.backed = old.backed; c.Started >= old.Started {
		return
	}
	if c.Started != old.backed {
		j.say(WentBack, j.servers[c.ID], src.name, "its start went from %.0f to %.0f; the later one stands", old.Started, c.Started)
	}
	c.backed, c.Started = c.Started, old.Started
}

// drop has a source drop servers, unless it drops too many, or all, to be believed.
func (j *Judge) drop(src *source, ids []string, all bool) {
	live := 0
	left := map[int]int{}
	for _, c := range src.claims {
		if !c.dropped && src.held[c.ID] == 0 {
			live++
			left[c.Group]++
		}
	}
	src.drops = slices.DeleteFunc(src.drops, func(at float64) bool { return j.now-at > j.set.MassIn })
	base := live + len(src.drops)
	ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		c := src.claims[id]
		return c == nil || c.dropped || src.held[id] != 0
	})
	n := len(src.drops) + len(ids)
	mass := j.set.MassPart > 0 && (n >= j.set.MassLeast && float64(n) >= j.set.MassPart*float64(base) || all && live > 1)
	for _, id := range ids {
		left[src.claims[id].Group]--
	}
	for _, id := range ids {
		c := src.claims[id]
		empty := j.set.MassPart > 0 && left[c.Group] == 0 && base > 1
		if mass || empty {
			src.held[id] = j.now
			why := fmt.Sprintf("%d of %d within %.0f s", n, base, j.set.MassIn/1000)
			if !mass {
				why = fmt.Sprintf("group %d would have no server left", c.Group)
			}
			j.say(HeldRemoval, j.servers[id], src.name, "%s", why)
		} else {
			src.drops = append(src.drops, j.now)
			j.dropped(src, c)
		}
	}
}

// Noted has a judgement of a source kept that this module has no part in.
func (j *Judge) Noted(now float64, name string, what What, why string) {
	j.now = max(now, j.now)
	j.say(what, nil, name, "%s", why)
}

func (j *Judge) dropped(src *source, c *claim) {
	c.dropped = true
	delete(src.held, c.ID)
	j.touch(c.ID)
}

// unsay forgets what a source dropped before it was lost for too long: others have had the word on that since.
func (j *Judge) unsay(src *source) {
	for id, c := range src.claims {
		if c.dropped {
			delete(src.claims, id)
			j.touch(id).claims[src.rank] = nil
		}
	}
}

// Lost tells that a source cannot be had. What it said stands for a while.
func (j *Judge) Lost(now float64, name, why string) {
	j.now = max(now, j.now)
	if src := j.byName[name]; src != nil && src.lostAt == 0 {
		src.lostAt = max(j.now, 1)
		keep := "until it is back"
		if j.set.Keep > 0 {
			keep = fmt.Sprintf("for %.0f s", j.set.Keep/1000)
		}
		j.say(SourceLost, nil, name, "%s; what it said last stands %s", why, keep)
	}
}

// Told takes a server's own word, by the id that the list has for it.
func (j *Judge) Told(now float64, id string, w Word) {
	j.now = max(now, j.now)
	s := j.named[id]
	if s == nil {
		return
	}
	x := j.words[s.shown.Address]
	if x == nil {
		x = &word{started: s.shown.Started}
		j.words[s.shown.Address] = x
	}
	x.at = j.now
	x.position = max(x.position, w.Position)
	if w.Role != RoleUnknown {
		if x.role != w.Role || j.now-x.roleAt > j.set.WordFor { // it changed, or counted no more
			j.dirty[s.id] = s
		}
		x.role, x.roleAt = w.Role, j.now
	}
	if s.want == Draining && j.set.Critical == Doubt && !s.doubted {
		j.dirty[s.id] = s // its answer may speak for it
	}
	if len(j.dirty) > 0 {
		j.settle()
	}
}
