package decide

// The records that the router keeps, and functions that file or read them. No decision is made here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

// never is a time before all others: of what has not happened.
const never = Time(math.MinInt64 / 2)

// Router makes the decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	settings           Settings
	rng                *rand.Rand
	now                Time
	actions            []Action
	classes            []class
	buckets            []tokenBucket
	servers            map[ServerID]*server
	serversByID        []*server // by id
	groups             map[int]*group
	groupsByNumber     []*group // by number
	requests           map[RequestID]*request
	sessionCommits     map[string]Time // sessions' last commits, with Settings.TrackCommits
	forgottenCommit    Time            // the latest of the commits that were dropped
	shortestObjective  time.Duration
	openAttempts       int     // attempts in flight
	averageWork        float64 // average work of a request, over answers answers
	answerCount        float64
	lossRate           float64          // part of the attempts that are never answered
	primarySearchPause time.Duration    // pause between probes of a member while a write waits for a primary
	kindRates          map[int]float64  // warm rates, by kind of server
	typicalRates       map[int]float64  // by kind: the median rate of warm servers that have answered
	zoneLinks          map[int]zoneLink // by zone
	requestRate        float64          // own requests a second: sends over requestRateSpan seconds, both fading, up to requestRateAt
	recentRequests     float64
	requestRateSpan    float64
	requestRateAt      Time
	loadReported       bool // reports tell how many requests a server holds
	hasList            bool
	timerAt            Time // when the pending timer fires, never for none
	rateRefreshAt      Time
	resubscribeAt      Time
	subscribedAt       Time // time of the last subscription

	urgencies      [urgencyBins]float64 // recent requests by urgency, fading, up to urgenciesAt
	urgenciesAt    Time
	memberBacklogs [2]backlog           // at the primaries of all groups, and at the other members
	retryBudgets   retrybudget.Accounts // the copies and repeats that groups may still send

	subscriptionFailures int // subscriptions in a row that failed soon

	checker *checker // checks the invariants, nil without a checker
}

// healthState is whether the router uses a server.
type healthState uint8

const (
	healthy  healthState = iota
	halfOpen             // gets a few requests at a time until it answers one
	ejected              // gets no request until a probe succeeds
)

// server is what the router knows of one server. Reports reach it late: each piece of evidence has its own time.
type server struct {
	id                            ServerID
	endpoint                      Endpoint
	group                         *group
	openAttempts                  []*attempt // in the order they were sent
	lostAttempts                  int        // how many of them are taken for lost
	draining                      bool
	removedAt                     Time      // when it left the list, 0 while in it
	settings                      *Settings // the router's, as they are now
	relativeRate                  float64   // its rate as a part of its kind's
	requestShare                  float64   // part of this router's requests to the group that go there
	failureAtLast                 float64   // chance of a failed answer, as of failureAt
	failureAt                     Time
	virtualService                float64 // virtual service: the integral of one request's share of rate over time
	virtualServiceAt              Time
	frozenShare                   float64 // after a pick, what each request's share is taken to be...
	frozenUntil                   Time    // ...until then
	expectedWork, receivedService float64 // since the last refresh: average work of answered requests; service they took
	othersLoad                    float64 // requests of other routers in flight there, as of loadReportedAt
	position                      Time    // known position, on the servers' clock; never goes back
	positionAt                    Time
	positionReportedAt            Time    // last report of its position, new or not
	primaryConfirmedAt            Time    // when the probe that it answered last was sent
	positionRate                  float64 // advance of its position per second of the clock
	role                          Role
	roleAt                        Time // time of the evidence for role
	health                        healthState
	ejectedAt                     Time // when it was last taken out of use
	firstListedAt                 Time // when it was first listed, never for before this router began
	recoveryRamp                  retrybudget.Return
	answeredAt                    Time // last answer of an attempt
	healthCheckSentAt             Time // last probe sent
	healthCheckPending            bool
	healthCheckRefusedAt          Time // last probe that it refused
	healthCheckFailures           int  // probes that failed in a row
	loadReportedAt                Time // last report of its load
	overloadedUntil               Time
	startedAt                     Time    // when it started, about; never for long ago
	slowStartUsed                 float64 // work sent while it is cold, as a leaking account: no more than a span's counts
	slowStartUsedAt               Time
	slowStartPart                 float64 // the part of the budget that this process had at slowStartUsedAt
	slowStartDraw                 float64 // a random number drawn at slowStartDrawAt, divided by the seconds it stands for; decides whether a cold server gets a request; infinite once used
	slowStartDrawAt               Time
	refusingSince                 Time // start of an unbroken run of refused or broken connections, 0 for none
}

// group is a primary and its replicas, with the requests that wait for them.
type group struct {
	id           int
	members      []*server
	waiting      []*request
	openAttempts int        // attempts in flight at its members
	backlogs     [2]backlog // at its primary, and at the others
	clock        clockOffset
}

// attempt is a request on its way to a server.
type attempt struct {
	request       *request
	server        *server
	number        int
	sentAt        Time
	serviceAtSend float64 // the server's virtual service at the send
	ended         bool
	hedged        bool
	overtakenBy   int  // later attempts there that were answered before this one
	presumedLost  bool // it will probably never be answered, and does not count as load
	unmeasured    bool // in flight while this router was paused: its time measures nothing
}

// request is a client's request that is owed a final answer.
type request struct {
	id                RequestID
	class             *class
	classIndex        int     // the number of its class
	sheddingRank      float64 // in the agreed order of shedding, as of its arrival
	group             *group
	arrivedAt         Time
	deadline          Time
	objectiveAt       Time
	session           string
	onlyServer        ServerID // the one server that can serve it, empty for any
	requiredPosition  Time     // session reads: the position that a server must have reached
	weight            float64
	admissionDraw     float64 // from 0 to 1, drawn once; decides at the edge of admission
	relativeWork      float64 // its work as a multiple of the class's average, 1 without a hint
	giveUpAt          Time    // an answer after this is worth nothing
	attempts          []*attempt
	openAttempts      int
	sendBy            Time // it must not be sent from then on
	mayHaveRun        bool // an attempt may have run
	mayHaveRunSince   Time // when and into which zone the first such attempt was sent
	mayHaveRunZone    int
	reachedServer     bool // an attempt got to a server
	healthChecks      int  // servers probed for it since its last outcome
	finished          bool
	awaitsRetryBudget bool // it waits, as its group may send no copy or repeat now
}

// class is a class with what was learned of its work.
type class struct {
	Class
	averageWork float64 // average work, in seconds of a server of rate 1
	answerCount float64 // answers that it was learned from
	averageHint float64 // average hint of work, over hints hints
	hintCount   float64

	earliestAnswer      Time // the soonest answer to an average request in the group earliestAnswerGroup, as of earliestAnswerAt
	earliestAnswerAt    Time
	earliestAnswerGroup *group
}

// tokenBucket is a tenant's token bucket.
type tokenBucket struct {
	tokens    float64
	rate      float64 // tokens a second
	updatedAt Time
}

// kindEvidence is what one refresh of the rates reads off the warm servers of a kind.
type kindEvidence struct {
	expectedWork, receivedService float64   // average work of answered requests, and the service that they took
	rates                         []float64 // of those that answers have taught a rate of their own
}

// with adds a server, whose rate was such so far.
func (k kindEvidence) with(s *server, rate float64) kindEvidence {
	k.expectedWork, k.receivedService = k.expectedWork+s.expectedWork, k.receivedService+s.receivedService
	if s.relativeRate != 1 {
		k.rates = append(k.rates, rate)
	}
	return k
}

// typicalRate is the rate of a usual server of the same kind. A server's own estimate is too high where peers' load there is
// guessed too high, which one that most requests go to shows first: its answers seem fast for so loaded a server.
func (r *Router) typicalRate(s *server) float64 {
	return cmp.Or(r.typicalRates[s.endpoint.Kind], maxRate)
}

// median is the middle value, the lower one of two, or more than any rate where there is none. It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return maxRate
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func toDuration(x float64) Time { return Time(x * float64(time.Second)) }

// addServer adds a server of which nothing is known.
func (r *Router) addServer(id ServerID, grp *group) *server {
	s := &server{id: id, group: grp, settings: &r.settings, virtualServiceAt: r.now, position: never, positionRate: 1, relativeRate: 1, positionAt: r.now, roleAt: never, primaryConfirmedAt: never,
		loadReportedAt: never, failureAt: never, healthCheckSentAt: never, startedAt: never, answeredAt: never, ejectedAt: never, healthCheckRefusedAt: never, firstListedAt: never, recoveryRamp: retrybudget.NewReturn(),
		slowStartUsed: maxRate, slowStartUsedAt: r.now, slowStartPart: r.settings.SlowStartPart, slowStartDraw: math.Inf(1), slowStartDrawAt: r.now} // a process before this one may just have spent the whole budget...
	if r.hasList { // ...unless the server is new itself
		s.firstListedAt, s.slowStartUsed, s.slowStartDrawAt = r.now, 0, r.now-r.settings.SlowStartSpan
	}
	r.servers[id] = s
	at, _ := slices.BinarySearchFunc(r.serversByID, id, func(o *server, id ServerID) int { return cmp.Compare(o.id, id) })
	r.serversByID = slices.Insert(r.serversByID, at, s)
	grp.members = append(grp.members, s)
	return s
}

// dropServer removes a server, and its group if that is empty then. The caller removes it from the order.
func (r *Router) dropServer(s *server) {
	grp := s.group
	grp.members = slices.DeleteFunc(grp.members, func(o *server) bool { return o == s })
	delete(r.servers, s.id)
	if len(grp.members) == 0 && len(grp.waiting) == 0 {
		delete(r.groups, grp.id)
		r.groupsByNumber = slices.DeleteFunc(r.groupsByNumber, func(o *group) bool { return o == grp })
	}
}

// groupFor returns a group, which it adds if there is none.
func (r *Router) groupFor(id int) *group {
	grp := r.groups[id]
	if grp == nil {
		grp = &group{id: id}
		r.groups[id] = grp
		at, _ := slices.BinarySearchFunc(r.groupsByNumber, id, func(o *group, id int) int { return cmp.Compare(o.id, id) })
		r.groupsByNumber = slices.Insert(r.groupsByNumber, at, grp)
	}
	return grp
}

// addAttempt records an attempt that is sent.
func (r *Router) addAttempt(s *server, a *attempt) {
	r.retryBudgets.Sent(r.now, a.request.group.id, len(a.request.attempts) == 0, a.request.duplicates())
	a.request.awaitsRetryBudget = false
	s.openAttempts = append(s.openAttempts, a)
	a.request.attempts = append(a.request.attempts, a)
	a.request.openAttempts++
	r.openAttempts++
	s.group.openAttempts++
	s.recoveryRamp.Has(len(s.openAttempts))
}

// wasSentTo reports whether a request was sent to a server before.
func (req *request) wasSentTo(s *server) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.server == s })
}

// presumeAllLost marks all attempts in flight at a server as lost.
func (s *server) presumeAllLost() {
	s.lostAttempts = len(s.openAttempts)
	for _, a := range s.openAttempts {
		a.presumedLost = true
	}
}

// excludeOpenAttempts excludes all attempts in flight from measurement, and takes all servers as having just answered: after a pause of this router.
func (r *Router) excludeOpenAttempts() {
	for _, s := range r.serversByID {
		s.answeredAt = r.now
		for _, a := range s.openAttempts {
			a.unmeasured = true
		}
	}
}

// removeAttempt removes an attempt that ended and returns it with the number of older ones still in flight; nil if it is not known.
func (r *Router) removeAttempt(s *server, id RequestID, no int) (*attempt, int) {
	i := slices.IndexFunc(s.openAttempts, func(a *attempt) bool { return a.request.id == id && a.number == no })
	if i < 0 {
		return nil, 0
	}
	a := s.openAttempts[i]
	s.openAttempts = slices.Delete(s.openAttempts, i, i+1)
	if a.presumedLost {
		s.lostAttempts--
	}
	a.ended = true
	a.request.openAttempts--
	r.openAttempts--
	s.group.openAttempts--
	return a, i
}

// zoneLink is the delay to a zone, as seen last.
type zoneLink struct {
	delay      float64
	observedAt Time
}

// New makes a router. The seed is its only source of randomness.
func New(set Settings, seed uint64) *Router {
	r := &Router{rng: rand.New(rand.NewPCG(seed, 0)), servers: map[ServerID]*server{}, groups: map[int]*group{},
		requests: map[RequestID]*request{}, kindRates: map[int]float64{}, typicalRates: map[int]float64{}, zoneLinks: map[int]zoneLink{},
		forgottenCommit: never, timerAt: never}
	r.configure(set)
	for _, c := range r.classes {
		r.averageWork += c.averageWork / float64(len(r.classes))
	}
	return r
}

// classesFor returns the classes of new settings. Without a difference these are the ones in use, so that requests in flight go on teaching them.
func (r *Router) classesFor(set []Class) []class {
	if slices.Equal(set, r.settings.Classes) {
		return r.classes
	}
	out := make([]class, len(set))
	for i, n := 0, copy(out, r.classes); i < len(out); i++ {
		if i >= n {
			out[i].averageWork = max(1e-3, initialWorkFraction*set[i].LatencyObjective.Seconds())
		}
	}
	return out
}

// fading is the weight, from 1 down to 0, of evidence from that time.
func (r *Router) fading(at Time, memory time.Duration) float64 {
	return max(0, 1-(r.now-at).Seconds()/memory.Seconds())
}

// expectedWork is the request's expected work: its class's average, scaled by its hint.
func (req *request) expectedWork() float64 { return req.class.averageWork * req.relativeWork }

// rememberCommit stores a session's last commit. Memory is bounded by dropping all of them at once: sessions that were dropped then count as
// having committed at the latest of these times, which may send a read to the primary but never to old data.
func (r *Router) rememberCommit(session string, at Time) {
	if r.sessionCommits == nil || len(r.sessionCommits) >= maxRememberedSessions {
		for _, t := range r.sessionCommits {
			r.forgottenCommit = max(r.forgottenCommit, t)
		}
		r.sessionCommits = map[string]Time{}
	}
	r.sessionCommits[session] = max(at, r.sessionCommits[session])
}

// urgencyBins is the number of bins of a quarter of an octave; the middle one begins at 1.
const urgencyBins = 96

// countRequests counts n more requests and updates this router's rate of them, over a fading memory.
func (r *Router) countRequests(n float64) {
	dt := (r.now - r.requestRateAt).Seconds()
	keep := math.Exp(-dt / requestRateMemory.Seconds())
	r.recentRequests, r.requestRateSpan, r.requestRateAt = r.recentRequests*keep+n, r.requestRateSpan*keep+dt, r.now
	r.requestRate = r.recentRequests / max(r.requestRateSpan, 1)
}

// dropRemovedServers drops servers that left the list, have not answered for a while, and have no attempt in flight.
func (r *Router) dropRemovedServers() {
	r.serversByID = slices.DeleteFunc(r.serversByID, func(s *server) bool {
		if s.removedAt == 0 || r.now-max(s.removedAt, s.answeredAt) < removedServerMemory || len(s.openAttempts) > 0 {
			return false
		}
		r.dropServer(s)
		return true
	})
}

// positionOr returns the reported position, or a default without one.
func (report *Report) positionOr(or Time) Time {
	if report.HasPosition {
		return report.Position
	}
	return or
}

// countUrgency counts a request by its urgency.
func (r *Router) countUrgency(req *request) {
	keep := math.Exp(-(r.now - r.urgenciesAt).Seconds() / requestRateMemory.Seconds())
	for i := range r.urgencies {
		r.urgencies[i] *= keep
	}
	r.urgencies[urgencyBin(r.urgency(req))]++
	r.urgenciesAt = r.now
}

// urgencyBin is the bin of an urgency.
func urgencyBin(u float64) int { return int(min(urgencyBins-1, max(0, urgencyBins/2+4*math.Log2(u)))) }

// backlog estimates, from the times of answers alone, how much waits at a group's primary or at its other members.
type backlog struct {
	throttle   float64 // a part exp(-shut) of the requests is admitted
	updatedAt  Time
	cutoffBin  int     // the least urgent bin that is admitted, as of cutoffAt...
	cutoffPart float64 // ...and the part of it that is
	cutoffAt   Time
}

// advanceService brings a server's virtual service up to now. It must be called before the server's load changes.
func (r *Router) advanceService(s *server) {
	if dt := (r.now - s.virtualServiceAt).Seconds(); dt > 0 {
		n, _ := r.load(s)
		s.virtualService += dt * rateShare(n) * r.warmUpFactor(s)
	}
	s.virtualServiceAt = r.now
}

// serviceMultiple is the service that an attempt has had, as a multiple of its expected work.
func (r *Router) serviceMultiple(s *server, a *attempt) float64 {
	return (s.virtualService - a.serviceAtSend) * r.warmRate(s) / a.request.expectedWork()
}

// backlogsOf are the two to which a server belongs: its group's and that of all groups. Primaries are apart, as writes and reads wait differently.
func (r *Router) backlogsOf(s *server) [2]*backlog {
	i := 1
	if s == r.primary(s.group) {
		i = 0
	}
	return [2]*backlog{&s.group.backlogs[i], &r.memberBacklogs[i]}
}

// dispatch passes an event to the function that decides about it.
func (r *Router) dispatch(ev Event) {
	switch e := ev.(type) {
	case *Request:
		r.onRequest(e)
	case *Outcome:
		r.onOutcome(e)
	case *Abandoned:
		if req := r.requests[e.ID]; req != nil {
			r.dropRequest(req)
		}
	case *ShortenDeadline:
		if req := r.requests[e.ID]; req != nil {
			req.deadline = min(req.deadline, e.By) // giveUpAt stays: a class's estimated work may be longer than the time left
		}
	case *HealthCheckResult:
		r.onHealthCheckResult(e)
	case *EndpointList:
		r.onEndpointList(e)
	case *Reload:
		r.configure(e.Settings)
	case *Timer:
		r.timerAt = never
		r.onTick()
	}
}

// onTick does the periodic work of the groups that have any.
func (r *Router) onTick() {
	if r.now >= r.rateRefreshAt {
		r.refreshRates()
	}
	for _, grp := range r.groupsByNumber {
		if len(grp.waiting) == 0 && grp.openAttempts == 0 {
			continue
		}
		r.checkServers(grp)
		r.hedgeStuckRequests(grp)
		r.sendWaiting(grp)
	}
}

// duplicates reports whether a request's next attempt would be a copy, or repeat one that may have run.
func (req *request) duplicates() bool {
	return len(req.attempts) > 0 && (req.mayHaveRun || req.openAttempts > 0)
}
