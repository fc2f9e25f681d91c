package decide

import (
	"cmp"
	"time"
)

func (r *Router) onEndpointList(ev *EndpointList) {
	if ev.Kind == ListFailed {
		if r.subscriptionFailures++; r.now-r.subscribedAt >= maxResubscribePause { // it had held
			r.subscriptionFailures = 0
		}
		r.scheduleSubscription(min(maxResubscribePause, minResubscribePause<<min(r.subscriptionFailures, 9)))
		return
	}
	named := map[ServerID]bool{}
	for _, entry := range ev.Endpoints {
		named[entry.Server] = true
		s := r.servers[entry.Server]
		if s == nil {
			if entry.State == Removed {
				continue
			}
			s = r.addServer(entry.Server, r.groupFor(entry.Group))
			if s.requestShare = r.rng.Float64(); r.hasList { // each router begins at another member
				s.requestShare = 0
				if r.settings.MayCheckHealth {
					s.health = ejected // it may not exist: a probe comes before any request
				}
				if ev.Kind == ListChanges {
					s.startedAt = max(s.startedAt, r.now) // a new machine starts cold, whatever its entry says
				}
			}
		}
		r.updateStart(s, &entry, ev.Kind)
		if r.settings.ListShowsRole && entry.Primary && s.role == RoleUnknown {
			s.role, s.roleAt = RolePrimary, never+1
		}
		if entry.State == Removed { // one seen draining stays barred
			s.removedAt = max(r.now, 1)
			continue
		}
		s.endpoint, s.removedAt, s.draining = entry, 0, entry.State == Draining
		r.kindRates[entry.Kind] = cmp.Or(r.kindRates[entry.Kind], initialKindRate)
	}
	for _, s := range r.serversByID {
		if ev.Kind != ListChanges && !named[s.id] && s.removedAt == 0 {
			s.removedAt = max(r.now, 1)
		}
	}
	r.hasList = true
	for _, grp := range r.groupsByNumber {
		if len(grp.waiting) > 0 {
			r.sendWaiting(grp)
		}
	}
}

// updateStart takes the start that an entry reports. It is a time of the server's clock, which may differ from
// this one's by any amount. So a start of which a watch tells counts from now, as it has just happened; only
// where nothing was known before is it taken as reported, and none lies ahead.
func (r *Router) updateStart(s *server, entry *Endpoint, kind ListKind) {
	if entry.Started == s.endpoint.Started {
		return
	}
	known := s.endpoint.Server != ""
	if known && r.hasList && kind == ListChanges {
		s.startedAt = max(s.startedAt, r.now)
		return
	}
	s.startedAt = max(s.startedAt, min(r.now, cmp.Or(entry.Started, never)))
}

// scheduleSubscription subscribes after a pause, each router at its own time, before missed changes count as known.
func (r *Router) scheduleSubscription(pause time.Duration) {
	most := min(maxListCallInterval-min(maxListCallSilence, r.now-r.subscribedAt), Time(resubscribeFraction*float64(r.settings.ListStaleAfter)))
	last := min(2*pause+listTimePerRouter*time.Duration(r.settings.Peers-1), most)
	r.resubscribeAt = r.now + last - time.Duration(r.rng.Float64()*float64(max(0, last-pause)))
}
