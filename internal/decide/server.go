package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// removedServerMemory is how long a server that left the list and answers nothing is remembered.
const removedServerMemory = 30 * time.Second

// healthState is whether the router uses a server.
type healthState uint8

const (
	healthy  healthState = iota
	halfOpen             // gets a few requests at a time until it answers one
	ejected              // gets no request until a health check succeeds
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

// server is what the router knows of one server. Reports reach it late: each piece of evidence has its own
// time.
type server struct {
	id       ServerID
	endpoint Endpoint
	group    *group
	settings *Settings // the router's, as they are now

	draining      bool
	removedAt     Time // when it left the list, 0 while in it
	firstListedAt Time // when it was first listed, never for before this router began

	openAttempts []*attempt // in the order they were sent
	lostAttempts int        // how many of them are presumed lost
	answeredAt   Time       // last answer of an attempt
	requestShare float64    // part of this router's requests to the group that go there

	relativeRate     float64     // its service rate, as a part of its kind's
	virtualService   float64     // integral of one request's rate share over time, as of virtualServiceAt
	virtualServiceAt Time        //
	frozenShare      serviceRate // after a pick, what each request's share of the rate is assumed to be...
	frozenUntil      Time        // ...until then
	expectedWork     workSeconds // of the requests answered since the last refresh of the rates
	receivedService  float64     // that these received

	othersLoad     concurrency // requests of other routers in flight there, as of loadReportedAt
	loadReportedAt Time

	position           Time    // known position, on the servers' clock; never goes back
	positionAt         Time    // when it became known
	positionReportedAt Time    // last report of its position, new or not
	positionRate       float64 // advance of its position per second of the clock
	role               Role
	roleAt             Time // time of the evidence for role
	primaryConfirmedAt Time // when the last health check that confirmed it as the primary was sent

	health        healthState
	ejectedAt     Time // when it was last ejected
	failureAtLast float64
	failureAt     Time // the chance of a failed answer was failureAtLast then
	refusingSince Time // start of an unbroken run of refused or broken connections, 0 for none

	overloadedUntil Time
	recoveryRamp    retrybudget.SlowStart

	healthCheckSentAt    Time // the last one
	healthCheckPending   bool
	healthCheckRefusedAt Time // last health check that it refused
	healthCheckFailures  int  // in a row

	startedAt       Time        // when it started, about; never for long ago
	slowStartUsed   workSeconds // sent while it is cold, as a leaking account: no more than a span's counts
	slowStartUsedAt Time
	slowStartPart   float64 // this process's part of the budget at slowStartUsedAt
	slowStartDraw   float64 // drawn at slowStartDrawAt, divided by the seconds it is for; infinite once used
	slowStartDrawAt Time
}

// addServer adds a server of which nothing is known.
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
		slowStartUsed:        maxRate, // an earlier process may just have used the whole budget...
		slowStartUsedAt:      r.now,
		slowStartPart:        r.settings.SlowStartShare,
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

// dropServer removes a server, and its group if that is empty then. The caller removes it from serversByID.
func (r *Router) dropServer(dropped *server) {
	group := dropped.group
	group.members = slices.DeleteFunc(group.members, func(member *server) bool { return member == dropped })
	delete(r.servers, dropped.id)
	if len(group.members) == 0 && len(group.waiting) == 0 {
		r.dropGroup(group)
	}
}

// dropRemovedServers drops servers that left the list, have not answered for a while, and have no attempt
// in flight.
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

// markRemoved records that a server is not in the list any more.
func (server *server) markRemoved(now Time) { server.removedAt = max(now, 1) }

// available reports whether the list allows sends to the server. With DrainOnly a server that left the list
// may be used.
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
