package decide

import (
	"math"
	"math/rand/v2"
	"time"

	"beechgrade/internal/cluster/overload/retrybudget"
)

const (
	// never is before all times, and stands for events that have not happened.
	never = Time(math.MinInt64 / 2)
	// unlimited is after all times, and stands for no limit.
	unlimited = Time(math.MaxInt64)
	// tickInterval is the period of the periodic work, well below any latency objective.
	tickInterval = 10 * time.Millisecond
	// longDelay: a timer that is later than this shows a pause of this process, and a failure that took at
	// least this long may be caused by the link.
	longDelay = 100 * time.Millisecond
	// maxRememberedSessions bounds the sessions whose last commits are remembered.
	maxRememberedSessions = 20000
)

// Quantities of the cost model. They are aliases of float64, as the model multiplies and divides them.
type (
	workSeconds = float64 // work, in seconds of a server of rate 1
	serviceRate = float64 // work per second that a server does for a single request
	concurrency = float64 // estimated number of requests in service at a server at once
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
	sessionCommits  map[string]Time // last commit by session, with Settings.TrackCommits
	forgottenCommit Time            // the latest commit that was dropped from sessionCommits

	shortestObjective  time.Duration // the least latency objective of a class
	primarySearchPause time.Duration // least pause between checks of a member in the search for a primary

	openAttempts  int
	averageWork   workSeconds // of a request, over answerCount answers
	answerCount   float64
	lossRate      float64             // fraction of attempts that are never answered
	kindRates     map[int]serviceRate // warm rates, by kind of server
	typicalRates  map[int]serviceRate // by kind: the median rate of warm servers that have answered
	zoneLinks     map[int]zoneLink    // by zone
	loadReported  bool                // servers report their requests in flight
	rateRefreshAt Time                // time of the next refresh of the rates

	requestRate     float64 // this router's requests per second: recentRequests over requestRateSpan seconds
	recentRequests  float64 // decaying count, as of requestRateAt
	requestRateSpan float64 // seconds, decaying alike
	requestRateAt   Time

	urgencies      [urgencyBins]float64 // decaying counts of requests by urgency, as of urgenciesAt
	urgenciesAt    Time
	memberBacklogs [2]backlog          // at the primaries of all groups, and at all other members
	retryBudgets   retrybudget.Budgets // the hedged requests and retries that groups may still send

	timerAt              Time // when the pending timer fires, never for none
	hasList              bool // the endpoint list was received at least once
	resubscribeAt        Time // time of the next subscription, unlimited for none
	subscribedAt         Time // time of the last subscription
	subscriptionFailures int  // subscriptions in a row that failed within maxResubscribePause

	checker *checker // checks the invariants, nil if they are not checked
}

// New returns a router. The seed is its only source of randomness.
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

// Handle processes one event at time now, and returns actions with the actions that the event causes
// appended.
func (r *Router) Handle(now Time, event Event, actions []Action) []Action {
	before := len(actions)
	r.now = max(now, r.now)
	r.actions = actions
	if r.rateRefreshAt == 0 {
		r.begin()
	}
	if r.timerAt != never && r.now-r.timerAt > longDelay {
		// A pause of this process is no evidence against servers: attempts in flight are not measured.
		r.timerAt = r.now
		r.excludeOpenAttempts()
	}
	r.dispatch(event)
	r.subscribeWhenDue()
	r.setTimer()
	r.checkEvent(event, before)
	return r.actions
}

// begin initializes the times that count from the first event.
func (r *Router) begin() {
	r.requestRateAt = r.now
	r.rateRefreshAt = r.now + rateRefreshInterval
	r.subscribedAt = r.now
	r.resubscribeAt = unlimited
	if r.settings.WatchList {
		r.scheduleSubscription(0)
	}
}

// dispatch passes an event to its handler.
func (r *Router) dispatch(event Event) {
	switch event := event.(type) {
	case *Request:
		r.onRequest(event)
	case *Outcome:
		r.onOutcome(event)
	case *AnswerEnded:
		r.onAnswerEnded(event)
	case *Abandoned:
		if request := r.requests[event.ID]; request != nil {
			r.dropRequest(request)
		}
	case *ShortenDeadline:
		if request := r.requests[event.ID]; request != nil {
			// giveUpAt stays: a class's estimated work may be longer than the remaining time.
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

// onTick does the periodic work, of groups only where they have requests or attempts in flight.
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

// setTimer requests the next tick while there are open requests or attempts, or a subscription is due.
func (r *Router) setTimer() {
	busy := len(r.requests) > 0 || r.openAttempts > 0 || r.resubscribeAt < unlimited
	if r.timerAt == never && busy {
		r.timerAt = r.now + tickInterval
		r.emit(Action{Kind: SetTimer, At: r.timerAt})
	}
}

// emit appends an action to those of the current event.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// evidenceWeight returns the weight of evidence from a past time. It falls linearly from 1 to 0 over memory.
func (r *Router) evidenceWeight(at Time, memory time.Duration) float64 {
	return max(0, 1-(r.now-at).Seconds()/memory.Seconds())
}

// toDuration converts seconds to a Duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// rememberCommit stores a session's last commit. When maxRememberedSessions are stored, all are dropped at
// once, to bound memory. Dropped sessions then count as having committed at the latest of the dropped
// commits, which may send a read to the primary without need but never to data that is too old.
func (r *Router) rememberCommit(session string, at Time) {
	if r.sessionCommits == nil || len(r.sessionCommits) >= maxRememberedSessions {
		for _, commit := range r.sessionCommits {
			r.forgottenCommit = max(r.forgottenCommit, commit)
		}
		r.sessionCommits = map[string]Time{}
	}
	r.sessionCommits[session] = max(at, r.sessionCommits[session])
}
