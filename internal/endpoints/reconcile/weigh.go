package reconcile

import (
	"fmt"
	"slices"
)

// settle judges anew all servers of which something has changed, in the order of their ids, and then what that changes
// for others.
func (j *Judge) settle() {
	if len(j.dirty) == 0 {
		return
	}
	touched := map[int]*group{}
	for round := 0; len(j.dirty) > 0 && round < maxRounds; round++ {
		for _, id := range sorted(j.dirty) {
			s := j.dirty[id]
			delete(j.dirty, id)
			was := s.shown.Group
			j.weigh(s)
			for _, g := range []int{was, s.shown.Group} {
				if x := j.groups[g]; x != nil {
					touched[g] = x
				}
			}
		}
	}
	ids := make([]int, 0, len(touched))
	for id := range touched {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j.lead(touched[id])
	}
	for _, g := range ids {
		if len(j.groups[g].members) == 0 {
			delete(j.groups, g)
		}
	}
}

// maxRounds bounds how often what changed is judged anew at once; what is left waits for the next time.
const maxRounds = 4

// standing tells whether a source's word counts: it can be had, or could be not long ago.
func (j *Judge) standing(src *source) bool {
	return src.lostAt == 0 || j.set.Keep <= 0 || j.now < src.lostAt+j.set.Keep
}

// old tells whether a source calls its own news old.
func (j *Judge) old(src *source) bool { return j.set.OldAge > 0 && src.age > j.set.OldAge }

// counts tells whether a claim is taken: its source stands, or the server still answers.
func (j *Judge) counts(src *source, c *claim) bool { return j.standing(src) || j.answers(c.Address) }

// best is the claim that decides on a server, and whose it is: the first by rank that counts, one that is old only where
// there is no other. It tells whether there are some that count no more.
func (j *Judge) best(s *server) (best *claim, who *source, expired bool) {
	for pass := range 2 {
		for i, c := range s.claims {
			src := j.sources[i]
			if c == nil || j.old(src) != (pass == 1) {
				continue
			}
			if !j.counts(src, c) {
				expired = true
			} else if best == nil {
				best, who = c, src
			}
		}
	}
	return best, who, expired
}

// weigh makes a server's entry out of the claims on it.
func (j *Judge) weigh(s *server) {
	var drain string // why it drains
	var drainer string
	best, who, expired := j.best(s)
	for i, c := range s.claims {
		if c != nil && c.Health == Maintenance && !c.dropped && drain == "" && j.counts(j.sources[i], c) {
			drain, drainer = "in maintenance", j.sources[i].name
		}
	}
	if best == nil { // nobody's word stands
		why := "no source knows it any more"
		if expired {
			why = "its source was lost for too long, and it does not answer"
		}
		j.show(s, Entry{ID: s.name, State: Gone, Group: s.shown.Group, Address: s.shown.Address}, "", why)
		return
	}
	e := Entry{ID: s.name, Address: best.Address, Group: best.Group, Zone: best.Zone, Kind: best.Kind, Weight: best.Weight}
	for i, c := range s.claims {
		if c == nil {
			continue
		}
		if c.Started > e.Started && c.Started <= j.now+aheadMs && !c.dropped {
			e.Started = c.Started
		}
		if c != best && c.Address != best.Address && c.Address != "" && !c.dropped && !best.dropped {
			if text := best.Address + " and " + c.Address; s.conflict != text {
				s.conflict = text
				j.say(TwoAddresses, s, j.sources[i].name, "%s; %s's is taken", text, who.name)
			}
			if e.Address == "" {
				e.Address = c.Address
			}
		}
	}
	why, by := "", who.name
	switch s.doubted = false; {
	case best.dropped:
		e.State, why = Gone, "its source has dropped it"
	case drain != "":
		e.State, why, by = Draining, drain, drainer
	case best.Health == Critical && j.set.Critical != Ignore:
		e.State, why = j.critical(s, best)
	}
	if pin, ok := j.pins[s.id]; ok {
		e.State, why, by = pin, "the operators have it so", ""
	}
	if s.listed && e.Group != s.shown.Group && e.State != Gone {
		// A server does not change its group: whatever has that id there now is another. The old one goes first.
		old := s.shown
		old.State, old.Primary = Gone, false
		j.show(s, old, by, fmt.Sprintf("its source has moved it to group %d", e.Group))
	}
	j.show(s, e, by, why)
}

// aheadMs is how far a start may lie ahead of the clock here.
const aheadMs = 5000

// answers tells whether the process at an address has answered lately.
func (j *Judge) answers(addr string) bool {
	w := j.words[addr]
	return w != nil && j.now-w.at <= j.set.WordFor
}

// critical decides what a critical check means for a server.
func (j *Judge) critical(s *server, c *claim) (State, string) {
	if j.set.Critical == Doubt {
		if j.answers(c.Address) {
			s.doubted = true
			return Serving, ""
		}
		return Draining, "critical, and it has not answered lately"
	}
	n, bad := 0, 0
	for _, x := range j.servers {
		for _, o := range x.claims {
			if o != nil && !o.dropped && o.Group == c.Group {
				n++
				if o.Health == Critical {
					bad++
				}
				break
			}
		}
	}
	if j.set.MassPart > 0 && n > 1 && float64(bad) > j.set.MassPart*float64(n) {
		return Serving, ""
	}
	return Draining, "critical"
}

// show puts an entry into the list, after holding back what flaps and what stands in it already under another id.
func (j *Judge) show(s *server, e Entry, by, why string) {
	if e.State != s.want {
		if s.listed || s.want != Gone || len(s.flips) > 0 {
			s.flips = append(s.flips, j.now)
		}
		s.want = e.State
	}
	s.flips = slices.DeleteFunc(s.flips, func(at float64) bool { return j.now-at > j.set.FlapIn })
	flaps := j.set.FlapTimes > 0 && len(s.flips) >= j.set.FlapTimes
	if pin, ok := j.pins[s.id]; ok && pin == Serving {
		flaps = false
	}
	switch {
	case flaps:
		if s.stillAt == 0 {
			j.say(Flapping, s, by, "%d changes within %.0f s; it is not used until it has kept still for %.0f s", len(s.flips), j.set.FlapIn/1000, j.set.FlapHold/1000)
		}
		s.stillAt = s.flips[len(s.flips)-1] + j.set.FlapHold
		fallthrough
	case s.stillAt != 0 && j.now < s.stillAt:
		if e.State == Serving && j.now < s.stillAt {
			e.State, why = Draining, "flapping"
		}
	}
	if s.stillAt != 0 && j.now >= s.stillAt {
		s.stillAt, s.flips = 0, nil
		j.say(Settled, s, by, "it has kept still")
	}
	if e.State != Gone && j.taken(s, &e) {
		e.State, why = Gone, "the process at "+e.Address+" is listed under another id"
	}
	if e.State == Gone && !s.listed {
		j.forget(s)
		return
	}
	if e.State == Gone && by != "" && j.inherit(s) {
		j.forget(s)
		return
	}
	if !s.listed {
		s.name = j.free(s)
		e.ID = s.name
	}
	e.Primary = s.shown.Primary && e.State == Serving && e.Address == s.shown.Address
	if s.listed && e == s.shown {
		return
	}
	j.explain(s, &e, by, why)
	j.file(s, &e)
	j.out = append(j.out, e)
	if e.State == Gone {
		j.forget(s)
	}
}

// explain says what a new entry changes.
func (j *Judge) explain(s *server, e *Entry, by, why string) {
	was := s.shown
	s.shown.Group = e.Group
	switch {
	case !s.listed:
		j.say(Added, s, by, "at %s, %s%s", e.Address, e.State, because(why))
	case e.State != was.State && e.State == Gone:
		j.say(Removed, s, by, "%s", why)
	case e.State != was.State && e.State == Draining:
		j.say(Drained, s, by, "%s", why)
	case e.State != was.State:
		j.say(Restored, s, by, "its source has it serving")
	}
	if s.listed && e.State != Gone {
		if e.Address != was.Address {
			j.say(Moved, s, by, "from %s to %s", was.Address, e.Address)
		}
		if e.Started > was.Started && was.Started > 0 {
			j.say(Restarted, s, by, "%.1f s ago", (j.now-e.Started)/1000)
		}
	}
	s.shown = was
}

func because(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

// file keeps an entry, and what is found by its address and group.
func (j *Judge) file(s *server, e *Entry) {
	if s.listed {
		if s.shown.Address != e.Address || e.State == Gone {
			j.unfile(s)
		}
		if g := j.groups[s.shown.Group]; g != nil && (g.id != e.Group || e.State == Gone) {
			delete(g.members, s.id)
		}
	}
	if w := j.words[e.Address]; w != nil && e.Started > w.started { // another process: it has said nothing yet
		*w = word{started: e.Started}
	}
	s.listed, s.shown = e.State != Gone, *e
	if !s.listed {
		if j.named[e.ID] == s {
			delete(j.named, e.ID)
		}
		return
	}
	j.named[e.ID] = s
	if !slices.Contains(j.addrs[e.Address], s) {
		j.addrs[e.Address] = append(j.addrs[e.Address], s)
	}
	g := j.groups[e.Group]
	if g == nil {
		g = &group{id: e.Group, members: map[string]*server{}}
		j.groups[e.Group] = g
	}
	g.members[s.id] = s
}

func (j *Judge) unfile(s *server) {
	if j.named[s.shown.ID] == s {
		delete(j.named, s.shown.ID)
	}
	a := s.shown.Address
	j.addrs[a] = slices.DeleteFunc(j.addrs[a], func(o *server) bool { return o == s })
	if len(j.addrs[a]) == 0 {
		delete(j.addrs, a)
		for _, id := range j.twins[a] {
			if j.servers[id] != nil {
				j.touch(id)
			}
		}
		delete(j.twins, a)
	}
}

// inherit has another id stand for a server that its source has dropped, where the same process is registered under that:
// in the list it keeps its name, and whoever reads it learns nothing anew.
func (j *Judge) inherit(s *server) bool {
	was := s.shown
	heirs := append(sorted(j.dirty), j.twins[was.Address]...)
	for _, id := range heirs {
		o := j.servers[id]
		if o == nil || o == s || o.listed {
			continue
		}
		c, src, _ := j.best(o) // another's claim would not keep it where it is
		if c == nil || c.dropped || !j.standing(src) || c.Address != was.Address || c.Group != was.Group || c.Started > was.Started {
			continue
		}
		j.say(TwoIDs, s, "", "its process at %s is registered as %s now; it keeps its name here", was.Address, o.id)
		j.unfile(s)
		delete(j.groups[was.Group].members, s.id)
		s.listed, s.shown, s.name = false, Entry{Group: was.Group}, s.id
		o.name, o.want = was.ID, was.State
		j.file(o, &was)
		j.touch(o.id)
		return true
	}
	return false
}

// free is a name for a server that is new in the list: its id, unless another has inherited that.
func (j *Judge) free(s *server) string {
	name := s.id
	for n := 2; j.named[name] != nil && j.named[name] != s; n++ {
		name = fmt.Sprintf("%s#%d", s.id, n)
	}
	return name
}

// taken tells whether the process at an entry's address is in the list under another id, and stays there: it was there
// first, and no later start is told under this one.
func (j *Judge) taken(s *server, e *Entry) bool {
	for _, o := range slices.Clone(j.addrs[e.Address]) {
		if o == s || e.Address == "" {
			continue
		}
		if e.Started <= o.shown.Started {
			if slices.Contains(j.twins[e.Address], s.id) {
				return true // that has been said
			}
			j.twins[e.Address] = append(j.twins[e.Address], s.id)
			j.say(TwoIDs, s, "", "%s has it as %s, since before", e.Address, o.id)
			return true
		}
		gone := o.shown
		gone.State, gone.Primary = Gone, false
		j.say(TwoIDs, o, "", "%s is %s by a later start", e.Address, s.id)
		o.want = Gone
		j.file(o, &gone)
		j.out = append(j.out, gone)
	}
	return false
}

// forget unfiles a server that every source has dropped. What a lost source said is kept: it may come back with changes only.
func (j *Judge) forget(s *server) {
	for _, c := range s.claims {
		if c != nil && !c.dropped {
			return
		}
	}
	if len(s.flips) > 0 {
		return // whether it flaps is still to be seen
	}
	for i, c := range s.claims {
		if c != nil {
			delete(j.sources[i].claims, s.id)
			delete(j.sources[i].held, s.id)
		}
	}
	delete(j.servers, s.id)
}

// lead decides which of a group's servers the list calls its primary: who says so itself, and only where nobody does, whom
// a source names that has not said otherwise.
func (j *Judge) lead(g *group) {
	var says, named []*server
	for _, id := range sorted(g.members) {
		s := g.members[id]
		if s.shown.State != Serving {
			continue
		}
		if w := j.word(s); w == Primary {
			says = append(says, s)
		}
		if role, src := j.claimed(s); role == Primary {
			if j.word(s) == Replica && !j.set.TrustRoles {
				if s.role != role {
					j.say(NotBelieved, s, src, "it is called the primary, and itself says that it is a replica")
				}
				s.role = role
				continue
			}
			named = append(named, s)
		} else {
			s.role = role
		}
	}
	lead, what := says, What("")
	if len(says) == 0 || j.set.TrustRoles && len(named) > 0 {
		lead = named
	}
	switch {
	case len(lead) > 1:
		what = TwoPrimaries
	case len(lead) == 0 && len(g.members) > 0:
		what = NoPrimary
	}
	if what != g.said && what != "" {
		text := "nobody says that it is, and no source names one that has not denied it"
		if what == TwoPrimaries {
			text = fmt.Sprintf("%s and %s; the list calls neither one", lead[0].id, lead[1].id)
		}
		j.said = append(j.said, Judgement{At: j.now, What: what, Group: g.id, Why: text})
	}
	g.said = what
	for _, id := range sorted(g.members) {
		s := g.members[id]
		if is := len(lead) == 1 && lead[0] == s; is != s.shown.Primary {
			s.shown.Primary = is
			j.out = append(j.out, s.shown)
		}
	}
}

// word is a server's own word on its role, if it is recent.
func (j *Judge) word(s *server) Role {
	if w := j.words[s.shown.Address]; w != nil && j.now-w.roleAt <= j.set.WordFor {
		return w.role
	}
	return RoleUnknown
}

// claimed is the role that the sources give a server, and whose word that is.
func (j *Judge) claimed(s *server) (Role, string) {
	for pass := range 2 {
		for i, c := range s.claims {
			if c != nil && !c.dropped && c.Role != RoleUnknown && j.standing(j.sources[i]) && j.old(j.sources[i]) == (pass == 1) {
				return c.Role, j.sources[i].name
			}
		}
	}
	return RoleUnknown, ""
}
