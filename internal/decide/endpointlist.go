package decide

import (
	"cmp"
	"time"
)

const (
	// listTimePerRouter is the time allotted to one router's call at the list's source, by which the calls
	// of all routers are spread.
	listTimePerRouter = 20 * time.Millisecond
	// resubscribeFraction is the fraction of Settings.ListStaleAfter that may pass without a subscription.
	resubscribeFraction = 0.6
	// minResubscribePause is the pause before a new subscription, to which a random part up to the same
	// length is added...
	minResubscribePause = 100 * time.Millisecond
	// maxResubscribePause: ...doubled up to this while subscriptions fail within this time.
	maxResubscribePause = time.Second
	// maxResubscribeDoublings bounds the doublings of the pause, so that it does not overflow.
	maxResubscribeDoublings = 9
	// maxListCallInterval is the longest time from the start of a call to the start of the next. A change
	// has to be known within 6 s, of which 1 s is for connecting and 0.5 s for the answer.
	maxListCallInterval = 9 * time.Second / 2
	// maxListCallSilence is the longest time without a message before a call counts as failed: a live call
	// has a message every 2 s.
	maxListCallSilence = 5 * time.Second / 2
)

// onEndpointList applies a change of the endpoint list, or the whole list.
func (r *Router) onEndpointList(event *EndpointList) {
	if event.Kind == ListFailed {
		r.onListFailed()
		return
	}
	named := map[ServerID]bool{}
	for i := range event.Endpoints {
		named[event.Endpoints[i].Server] = true
		r.applyEndpoint(&event.Endpoints[i], event.Kind)
	}
	if event.Kind != ListChanges {
		r.removeUnlisted(named)
	}
	r.hasList = true
	for _, group := range r.groupsByNumber {
		if len(group.waiting) > 0 {
			r.sendWaiting(group)
		}
	}
}

// applyEndpoint applies one entry of the endpoint list.
func (r *Router) applyEndpoint(endpoint *Endpoint, kind ListKind) {
	server := r.servers[endpoint.Server]
	if server == nil {
		if endpoint.State == Removed {
			return
		}
		server = r.addListedServer(endpoint, kind)
	}
	r.updateStart(server, endpoint, kind)
	if r.settings.ListShowsRole && endpoint.Primary && server.role == RoleUnknown {
		server.role = RolePrimary
		server.roleAt = never + 1 // any report is newer
	}
	if endpoint.State == Removed { // a server that was draining stays excluded, also with DrainOnly
		server.markRemoved(r.now)
		return
	}
	server.endpoint = *endpoint
	server.removedAt = 0
	server.draining = endpoint.State == Draining
	r.kindRates[endpoint.Kind] = cmp.Or(r.kindRates[endpoint.Kind], initialKindRate)
}

// addListedServer adds a server that appears in the list for the first time.
func (r *Router) addListedServer(endpoint *Endpoint, kind ListKind) *server {
	server := r.addServer(endpoint.Server, r.groupFor(endpoint.Group))
	server.requestShare = r.rng.Float64() // random, so that routers prefer different members at first
	if !r.hasList {
		return server
	}
	server.requestShare = 0
	if r.settings.MayCheckHealth {
		server.health = ejected // it may not exist: a health check has to succeed before any request
	}
	if kind == ListChanges {
		server.startedAt = max(server.startedAt, r.now) // a new server is cold, whatever start its entry has
	}
	return server
}

// removeUnlisted marks the servers that are missing from a whole list as removed.
func (r *Router) removeUnlisted(named map[ServerID]bool) {
	for _, server := range r.serversByID {
		if !named[server.id] && server.removedAt == 0 {
			server.markRemoved(r.now)
		}
	}
}

// updateStart applies the start time in a list entry. It is a time on the server's clock, which may differ
// from this router's by any amount. So a new start in a change of the list counts as having happened now.
// Only for the first entry of a server or in a whole list is the start used as stated, at most now.
func (r *Router) updateStart(server *server, endpoint *Endpoint, kind ListKind) {
	if endpoint.Started == server.endpoint.Started {
		return
	}
	known := server.endpoint.Server != ""
	if known && r.hasList && kind == ListChanges {
		server.startedAt = max(server.startedAt, r.now)
		return
	}
	server.startedAt = max(server.startedAt, min(r.now, cmp.Or(endpoint.Started, never)))
}

// onListFailed schedules a new subscription, after a pause that grows with failures in a row.
func (r *Router) onListFailed() {
	r.subscriptionFailures++
	if r.now-r.subscribedAt >= maxResubscribePause { // the subscription had worked for a while
		r.subscriptionFailures = 0
	}
	doublings := min(r.subscriptionFailures, maxResubscribeDoublings)
	r.scheduleSubscription(min(maxResubscribePause, minResubscribePause<<doublings))
}

// scheduleSubscription schedules a subscription after a pause, at a random time of this router's own, and
// before the list counts as stale.
func (r *Router) scheduleSubscription(pause time.Duration) {
	sinceLast := min(maxListCallSilence, r.now-r.subscribedAt)
	beforeStale := time.Duration(resubscribeFraction * float64(r.settings.ListStaleAfter))
	latest := min(maxListCallInterval-sinceLast, beforeStale)
	spread := listTimePerRouter * time.Duration(r.settings.Peers-1)
	last := min(2*pause+spread, latest)
	early := time.Duration(r.rng.Float64() * float64(max(0, last-pause)))
	r.resubscribeAt = r.now + last - early
}

// subscribeWhenDue subscribes to the endpoint list at the scheduled time.
func (r *Router) subscribeWhenDue() {
	if r.now < r.resubscribeAt {
		return
	}
	r.resubscribeAt = unlimited
	r.subscribedAt = r.now
	r.emit(Action{Kind: Subscribe})
}
