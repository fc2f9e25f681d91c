package decide

import (
	"math"
	"math/rand/v2"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

const (
	// never is a time before all others: of what has not happened.
	never = Time(math.MinInt64 / 2)
	// unlimited is a time after all others.
	unlimited = Time(math.MaxInt64)
	// tickInterval is the period of the periodic work, well below any latency objective.
	tickInterval = 10 * time.Millisecond
	// longDelay is how late a timer is after a pause of this process, and how slow a failure that the link
	// may explain.
	longDelay = 100 * time.Millisecond
	// maxRememberedSessions is the number of sessions in a generation of remembered commits.
	maxRememberedSessions = 20000
)

// Quantities of the cost model. They are plain numbers, as the model multiplies and divides them.
type (
	workSeconds = float64 // work, as seconds of a server of rate 1
	serviceRate = float64 // work that a server does in a second for one request alone
	concurrency = float64 // requests in service at once at a server, estimated
)

// Router makes the decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	settings Settings
	rng      *rand.Rand
	now      Time
	actions  []Action

	classes         []class
	buckets         []tokenBucket // by tenant
	servers         map[ServerID]*server
	serversByID     []*server // in the order of their ids
	groups          map[int]*group
	groupsByNumber  []*group
	requests        map[RequestID]*request
	sessionCommits  map[string]Time // sessions' last commits, with Settings.TrackCommits
	forgottenCommit Time            // the latest of the commits that were dropped

	shortestObjective  time.Duration // the least latency objective of a class
	primarySearchPause time.Duration // between health checks of a member while a write waits for a primary

	openAttempts  int
	averageWork   workSeconds // of a request, over answerCount answers
	answerCount   float64
	lossRate      float64             // part of the attempts that are never answered
	kindRates     map[int]serviceRate // warm rates, by kind of server
	typicalRates  map[int]serviceRate // by kind: the median rate of warm servers that have answered
	zoneLinks     map[int]zoneLink    // by zone
	loadReported  bool                // reports contain the requests in flight at a server
	rateRefreshAt Time

	requestRate     float64 // own requests a second: recentRequests over requestRateSpan seconds
	recentRequests  float64 // fading, up to requestRateAt
	requestRateSpan float64 // seconds, fading alike
	requestRateAt   Time

	urgencies      [urgencyBins]float64 // recent requests by urgency, fading, up to urgenciesAt
	urgenciesAt    Time
	memberBacklogs [2]backlog          // at the primaries of all groups, and at the other members
	retryBudgets   retrybudget.Budgets // the hedged requests and retries that groups may still send

	timerAt              Time // when the pending timer fires, never for none
	hasList              bool
	resubscribeAt        Time
	subscribedAt         Time // time of the last subscription
	subscriptionFailures int  // subscriptions in a row that failed soon

	checker *checker // checks the invariants, nil without
}

// New makes a router. The seed is its only source of randomness.
func New(settings Settings, seed uint64) *Router {
	r := &Router{
		rng:             rand.New(rand.NewPCG(seed, 0)),
		servers:         map[ServerID]*server{},
		groups:          map[int]*group{},
		requests:        map[RequestID]*request{},
		kindRates:       map[int]serviceRate{},
		typicalRates:    map[int]serviceRate{},
		zoneLinks:       map[int]zoneLink{},
		forgottenCommit: never,
		timerAt:         never,
	}
	r.configure(settings)
	for i := range r.classes {
		r.averageWork += r.classes[i].averageWork / float64(len(r.classes))
	}
	return r
}

// Handle processes one event at time now, and appends the actions that it causes to actions.
func (r *Router) Handle(now Time, event Event, actions []Action) []Action {
	before := len(actions)
	r.now = max(now, r.now)
	r.actions = actions
	if r.rateRefreshAt == 0 {
		r.begin()
	}
	if r.timerAt != never && r.now-r.timerAt > longDelay {
		// A pause of this process is no evidence against servers: what was in flight has no measured time.
		r.timerAt = r.now
		r.excludeOpenAttempts()
	}
	r.dispatch(event)
	r.subscribeWhenDue()
	r.setTimer()
	r.checkEvent(event, before)
	return r.actions
}

// begin sets the times that count from the first event.
func (r *Router) begin() {
	r.requestRateAt = r.now
	r.rateRefreshAt = r.now + rateRefreshInterval
	r.subscribedAt = r.now
	r.resubscribeAt = unlimited
	if r.settings.WatchList {
		r.scheduleSubscription(0)
	}
}

// dispatch passes an event to the function that decides about it.
func (r *Router) dispatch(event Event) {
	switch event := event.(type) {
	case *Request:
		r.onRequest(event)
	case *Outcome:
		r.onOutcome(event)
	case *Abandoned:
		if request := r.requests[event.ID]; request != nil {
			r.dropRequest(request)
		}
	case *ShortenDeadline:
		if request := r.requests[event.ID]; request != nil {
			// giveUpAt stays: a class's estimated work may be longer than the time left.
			request.deadline = min(request.deadline, event.Deadline)
		}
	case *HealthCheckResult:
		r.onHealthCheckResult(event)
	case *EndpointList:
		r.onEndpointList(event)
	case *Reload:
		r.configure(event.Settings)
	case *Timer:
		r.timerAt = never
		r.onTick()
	}
}

// onTick does the periodic work of the groups that have requests.
func (r *Router) onTick() {
	if r.now >= r.rateRefreshAt {
		r.refreshRates()
	}
	for _, group := range r.groupsByNumber {
		if len(group.waiting) == 0 && group.openAttempts == 0 {
			continue
		}
		r.checkServers(group)
		r.hedgeStuckRequests(group)
		r.sendWaiting(group)
	}
}

// setTimer requests the next tick while there is anything to do.
func (r *Router) setTimer() {
	busy := len(r.requests) > 0 || r.openAttempts > 0 || r.resubscribeAt < unlimited
	if r.timerAt == never && busy {
		r.timerAt = r.now + tickInterval
		r.emit(Action{Kind: SetTimer, At: r.timerAt})
	}
}

// emit appends an action to those of the present event.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// fading returns the weight, from 1 down to 0, of evidence from a time, which counts for so long.
func (r *Router) fading(at Time, memory time.Duration) float64 {
	return max(0, 1-(r.now-at).Seconds()/memory.Seconds())
}

// toDuration converts seconds.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// rememberCommit stores a session's last commit. Memory is bounded by dropping all of them at once:
// sessions that were dropped then count as having committed at the latest of these times, which may send a
// read to the primary but never to old data.
func (r *Router) rememberCommit(session string, at Time) {
	if r.sessionCommits == nil || len(r.sessionCommits) >= maxRememberedSessions {
		for _, commit := range r.sessionCommits {
			r.forgottenCommit = max(r.forgottenCommit, commit)
		}
		r.sessionCommits = map[string]Time{}
	}
	r.sessionCommits[session] = max(at, r.sessionCommits[session])
}
