package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// removedServerMemory is how long the record of a server that left the list and answers nothing is kept.
const removedServerMemory = 30 * time.Second

// healthState is whether the router sends requests to a server.
type healthState uint8

const (
	healthy  healthState = iota
	halfOpen             // gets a few requests at a time until it answers one
	ejected              // gets no request until a health check succeeds or a trial starts
)

// String returns the state's name.
func (state healthState) String() string {
	switch state {
	case healthy:
		return "healthy"
	case halfOpen:
		return "half-open"
	}
	return "ejected"
}

// server is the router's record of one server. Reports reach the router late, so each piece of evidence has a
// time of its own.
type server struct {
	id       ServerID
	endpoint Endpoint
	group    *group
	settings *Settings // the router's present settings

	draining      bool
	removedAt     Time // when it left the list, 0 while it is listed
	firstListedAt Time // when it was first listed, never if in the first list that this router received

	openAttempts []*attempt // in the order they were sent
	lostAttempts int        // number of open attempts that are presumed lost
	answeredAt   Time       // last answer to an attempt
	requestShare float64    // fraction of this router's requests to the group that go there

	relativeRate     float64 // its service rate relative to that of its kind
	virtualService   float64 // integral of one request's rate share over time, as of virtualServiceAt
	virtualServiceAt Time
	frozenShare      serviceRate // the rate that each request is assumed to get after a pick...
	frozenUntil      Time        // ...until this time
	expectedWork     workSeconds // of the requests answered since the last refresh of the rates
	receivedService  float64     // service that these requests received

	othersLoad     concurrency // requests of other routers in flight there, as of loadReportedAt
	loadReportedAt Time

	position           Time    // known position, on the servers' clock; never goes back
	positionAt         Time    // when position became known
	positionReportedAt Time    // last report of a position, whether it advanced or not
	positionRate       float64 // advance of the position per second of this router's clock
	role               Role
	roleAt             Time // time of the evidence for role
	primaryConfirmedAt Time // when the last health check that confirmed it as the primary was sent

	health        healthState
	ejectedAt     Time    // when it was last ejected
	failureAtLast float64 // chance that it fails a request, as of failureAt
	failureAt     Time
	refusingSince Time // start of an unbroken run of refused or broken connections, 0 for none

	overloadedUntil Time // it gets no request before this time
	recoveryRamp    retrybudget.SlowStart

	healthCheckSentAt    Time // when the last health check was sent
	healthCheckPending   bool // a health check is in flight
	healthCheckRefusedAt Time // last inconclusive health check
	healthCheckFailures  int  // failed health checks and trials in a row

	startedAt       Time        // approximate start time; never for long ago
	slowStartUsed   workSeconds // leaky bucket of the work sent while it is cold, as of slowStartUsedAt
	slowStartUsedAt Time
	slowStartShare  float64 // this process's share of the budget, as of slowStartUsedAt
	slowStartDraw   float64 // random number over the seconds since the last draw; infinite once used
	slowStartDrawAt Time
}

// addServer adds a record of a server of which nothing is known.
func (r *Router) addServer(id ServerID, group *group) *server {
	added := &server{
		id:                   id,
		group:                group,
		settings:             &r.settings,
		firstListedAt:        never,
		answeredAt:           never,
		relativeRate:         1,
		virtualServiceAt:     r.now,
		loadReportedAt:       never,
		position:             never,
		positionAt:           r.now,
		positionRate:         1,
		roleAt:               never,
		primaryConfirmedAt:   never,
		ejectedAt:            never,
		failureAt:            never,
		recoveryRamp:         retrybudget.NewSlowStart(),
		healthCheckSentAt:    never,
		healthCheckRefusedAt: never,
		startedAt:            never,
		slowStartUsed:        maxRate, // the previous process may just have used the whole budget...
		slowStartUsedAt:      r.now,
		slowStartShare:       r.settings.SlowStartShare,
		slowStartDraw:        math.Inf(1),
		slowStartDrawAt:      r.now,
	}
	if r.hasList { // ...unless the server is new itself
		added.firstListedAt = r.now
		added.slowStartUsed = 0
		added.slowStartDrawAt = r.now - r.settings.SlowStartSpan
	}
	r.servers[id] = added
	at, _ := slices.BinarySearchFunc(r.serversByID, id, func(other *server, id ServerID) int {
		return cmp.Compare(other.id, id)
	})
	r.serversByID = slices.Insert(r.serversByID, at, added)
	group.members = append(group.members, added)
	return added
}

// dropServer removes a server, and its group if the group is then empty. The caller removes the server from
// serversByID.
func (r *Router) dropServer(dropped *server) {
	group := dropped.group
	group.members = slices.DeleteFunc(group.members, func(member *server) bool { return member == dropped })
	delete(r.servers, dropped.id)
	if len(group.members) == 0 && len(group.waiting) == 0 {
		r.dropGroup(group)
	}
}

// dropRemovedServers drops the servers that left the list, have not answered for removedServerMemory, and
// have no attempt in flight.
func (r *Router) dropRemovedServers() {
	r.serversByID = slices.DeleteFunc(r.serversByID, func(server *server) bool {
		if server.removedAt == 0 || len(server.openAttempts) > 0 {
			return false
		}
		if r.now-max(server.removedAt, server.answeredAt) < removedServerMemory {
			return false
		}
		r.dropServer(server)
		return true
	})
}

// markRemoved records that a server left the list.
func (server *server) markRemoved(now Time) { server.removedAt = max(now, 1) }

// available reports whether the list allows sends to the server. With Settings.DrainOnly, a server that left
// the list is available.
func (server *server) available() bool {
	return !server.draining && (server.removedAt == 0 || server.settings.DrainOnly)
}

// usable reports whether requests may go to the server.
func (server *server) usable() bool { return server.available() && server.health != ejected }

// countedAttempts returns the number of attempts in flight there that count as load.
func (server *server) countedAttempts() int { return len(server.openAttempts) - server.lostAttempts }

// presumeAllLost marks all attempts in flight at the server as presumed lost.
func (server *server) presumeAllLost() {
	server.lostAttempts = len(server.openAttempts)
	for _, attempt := range server.openAttempts {
		attempt.presumedLost = true
	}
}
