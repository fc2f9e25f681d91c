package decide

import (
	"cmp"
	"time"
)

func (r *Router) onList(ev *List) {
	if ev.Kind == ListFailed {
		if r.watchFails++; r.now-r.watchedAt >= watchPause { // it had held
			r.watchFails = 0
		}
		r.rewatch(min(watchPause, watchSoon<<min(r.watchFails, 9)))
		return
	}
	named := map[ServerID]bool{}
	for _, entry := range ev.Entries {
		named[entry.Server] = true
		s := r.servers[entry.Server]
		if s == nil {
			if entry.State == Gone {
				continue
			}
			s = r.newServer(entry.Server, r.groupOf(entry.Group))
			if s.share = r.rng.Float64(); r.listed { // each router begins at another member
				s.share = 0
				if r.set.MayProbe {
					s.health = down // it may not exist: a probe comes before any request
				}
				if ev.Kind == ListChanges {
					s.coldFrom = max(s.coldFrom, r.now) // a new machine starts cold, whatever its entry says
				}
			}
		}
		r.hearStart(s, &entry, ev.Kind)
		if r.set.ListShowsRole && entry.Primary && s.role == RoleUnknown {
			s.role, s.roleAt = RolePrimary, never+1
		}
		if entry.State == Gone { // one seen draining stays barred
			s.gone = max(r.now, 1)
			continue
		}
		s.entry, s.gone, s.draining = entry, 0, entry.State == Draining
		r.pools[entry.Kind] = cmp.Or(r.pools[entry.Kind], startRate)
	}
	for _, s := range r.order {
		if ev.Kind != ListChanges && !named[s.id] && s.gone == 0 {
			s.gone = max(r.now, 1)
		}
	}
	r.listed = true
	for _, grp := range r.groupOrder {
		if len(grp.held) > 0 {
			r.drainQueue(grp)
		}
	}
}

// hearStart takes the start that an entry reports. It is a time of the server's clock, which may differ from
// this one's by any amount. So a start of which a watch tells counts from now, as it has just happened; only
// where nothing was known before is it taken as reported, and none lies ahead.
func (r *Router) hearStart(s *server, entry *Entry, kind ListKind) {
	if entry.Started == s.entry.Started {
		return
	}
	known := s.entry.Server != ""
	if known && r.listed && kind == ListChanges {
		s.coldFrom = max(s.coldFrom, r.now)
		return
	}
	s.coldFrom = max(s.coldFrom, min(r.now, cmp.Or(entry.Started, never)))
}

// rewatch subscribes after a pause, each router at its own time, before missed changes count as known.
func (r *Router) rewatch(pause time.Duration) {
	most := min(callsApart-min(callSilent, r.now-r.watchedAt), Time(watchPart*float64(r.set.AskEvery)))
	last := min(2*pause+watchEach*time.Duration(r.set.Peers-1), most)
	r.rewatchAt = r.now + last - time.Duration(r.rng.Float64()*float64(max(0, last-pause)))
}
