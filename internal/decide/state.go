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
	set          Settings
	rng          *rand.Rand
	now          Time
	out          []Action
	classes      []class
	tenants      []tenant
	servers      map[ServerID]*server
	order        []*server // by id
	groups       map[int]*group
	groupOrder   []*group // by number
	requests     map[RequestID]*request
	commits      map[string]Time // sessions' last commits, with Settings.TrackCommits
	forgotten    Time            // the latest of the commits that were dropped
	leastTarget  time.Duration
	open         int     // attempts in flight
	work         float64 // average work of a request, over answers answers
	answers      float64
	lossRate     float64         // part of the attempts that are never answered
	seekEach     time.Duration   // pause between probes of a member while a write waits for a primary
	pools        map[int]float64 // warm rates, by kind of server
	typicalRates map[int]float64 // by kind: the median rate of warm servers that have answered
	links        map[int]link    // by zone
	flow         float64         // own requests a second: sends over flowSpan seconds, both fading, up to flowAt
	sends        float64
	flowSpan     float64
	flowAt       Time
	loadReported bool // reports tell how many requests a server holds
	listed       bool
	wakeAt       Time // when the pending timer fires, never for none
	refreshAt    Time
	rewatchAt    Time
	watchedAt    Time // time of the last subscription

	urgencies   [urgencyBins]float64 // recent requests by urgency, fading, up to urgenciesAt
	urgenciesAt Time
	backlog     [2]backlog           // at the primaries of all groups, and at the other members
	repeats     retrybudget.Accounts // the copies and repeats that groups may still send

	watchFails int // subscriptions in a row that failed soon

	watch *watch // checks the invariants, nil without a checker
}

// health is whether the router uses a server.
type health uint8

const (
	healthy health = iota
	onTrial        // gets a few requests at a time until it answers one
	down           // gets no request until a probe succeeds
)

// server is what the router knows of one server. Reports reach it late: each piece of evidence has its own time.
type server struct {
	id             ServerID
	entry          Entry
	group          *group
	open           []*attempt // in the order they were sent
	lost           int        // how many of them are taken for lost
	draining       bool
	gone           Time      // when it left the list, 0 while in it
	set            *Settings // the router's, as they are now
	relativeRate   float64   // its rate as a part of its kind's
	share          float64   // part of this router's requests to the group that go there
	failure        float64   // chance of a failed answer, as of failedAt
	failedAt       Time
	service        float64 // virtual service: the integral of one request's share of rate over time
	serviceAt      Time
	frozenShare    float64 // after a pick, what each request's share is taken to be...
	frozenUntil    Time    // ...until then
	want, got      float64 // since the last refresh: average work of answered requests; service they took
	othersLoad     float64 // requests of other routers in flight there, as of reportedAt
	position       Time    // known position, on the servers' clock; never goes back
	positionAt     Time
	placedAt       Time    // last report of its position, new or not
	askedAt        Time    // when the probe that it answered last was sent
	pace           float64 // advance of its position per second of the clock
	role           Role
	roleAt         Time // time of the evidence for role
	health         health
	badAt          Time // when it was last taken out of use
	newAt          Time // when it was first listed, never for before this router began
	returning      retrybudget.Return
	answered       Time // last answer of an attempt
	probeAt        Time // last probe sent
	probing        bool
	probeRefusedAt Time // last probe that it refused
	probeFails     int  // probes that failed in a row
	reportedAt     Time // last report of its load
	fullUntil      Time
	coldFrom       Time    // when it started, about; never for long ago
	coldSpent      float64 // work sent while it is cold, as a leaking account: no more than a span's counts
	coldSpentAt    Time
	coldPart       float64 // the part of the budget that this process had at coldSpentAt
	drawn          float64 // a random number drawn at drawnAt, divided by the seconds it stands for; decides whether a cold server gets a request; infinite once used
	drawnAt        Time
	refusedSince   Time // start of an unbroken run of refused or broken connections, 0 for none
}

// group is a primary and its replicas, with the requests that wait for them.
type group struct {
	id      int
	members []*server
	held    []*request
	open    int        // attempts in flight at its members
	backlog [2]backlog // at its primary, and at the others
	clock   clockOffset
}

// attempt is a request on its way to a server.
type attempt struct {
	req     *request
	server  *server
	number  int
	sent    Time
	service float64 // the server's virtual service at the send
	over    bool
	rescued bool
	passed  int  // later attempts there that were answered before this one
	lost    bool // it will probably never be answered, and does not count as load
	blurred bool // in flight while this router was paused: its time measures nothing
}

// request is a client's request that is owed a final answer.
type request struct {
	id         RequestID
	class      *class
	classIndex int     // the number of its class
	place      float64 // in the agreed order of shedding, as of its arrival
	group      *group
	arrived    Time
	deadline   Time
	target     Time
	session    string
	only       ServerID // the one server that can serve it, empty for any
	need       Time     // session reads: the position that a server must have reached
	value      float64
	draw       float64 // from 0 to 1, drawn once; decides at the edge of admission
	size       float64 // its work as a multiple of the class's average, 1 without a hint
	giveUpAt   Time    // an answer after this is worth nothing
	attempts   []*attempt
	open       int
	sendBy     Time // it must not be sent from then on
	ran        bool // an attempt may have run
	ranAt      Time // when and into which zone the first such attempt was sent
	ranZone    int
	reached    bool // an attempt got to a server
	probes     int  // servers probed for it since its last outcome
	finished   bool
	starved    bool // it waits, as its group may send no copy or repeat now
}

// class is a class with what was learned of its work.
type class struct {
	Class
	work  float64 // average work, in seconds of a server of rate 1
	n     float64 // answers that it was learned from
	hint  float64 // average hint of work, over hints hints
	hints float64

	soonest    Time // the soonest answer to an average request in the group soonestFor, as of soonestAt
	soonestAt  Time
	soonestFor *group
}

// tenant is a tenant's token bucket.
type tenant struct {
	tokens float64
	rate   float64 // tokens a second
	at     Time
}

// kindEvidence is what one refresh of the rates reads off the warm servers of a kind.
type kindEvidence struct {
	want, got float64   // average work of answered requests, and the service that they took
	rates     []float64 // of those that answers have taught a rate of their own
}

// with adds a server, whose rate was such so far.
func (k kindEvidence) with(s *server, rate float64) kindEvidence {
	k.want, k.got = k.want+s.want, k.got+s.got
	if s.relativeRate != 1 {
		k.rates = append(k.rates, rate)
	}
	return k
}

// typicalRate is the rate of a usual server of the same kind. A server's own estimate is too high where peers' load there is
// guessed too high, which one that most requests go to shows first: its answers seem fast for so loaded a server.
func (r *Router) typicalRate(s *server) float64 {
	return cmp.Or(r.typicalRates[s.entry.Kind], rateMost)
}

// median is the middle value, the lower one of two, or more than any rate where there is none. It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return rateMost
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (r *Router) act(a Action) { r.out = append(r.out, a) }

func seconds(x float64) Time { return Time(x * float64(time.Second)) }

// newServer adds a server of which nothing is known.
func (r *Router) newServer(id ServerID, grp *group) *server {
	s := &server{id: id, group: grp, set: &r.set, serviceAt: r.now, position: never, pace: 1, relativeRate: 1, positionAt: r.now, roleAt: never, askedAt: never,
		reportedAt: never, failedAt: never, probeAt: never, coldFrom: never, answered: never, badAt: never, probeRefusedAt: never, newAt: never, returning: retrybudget.NewReturn(),
		coldSpent: rateMost, coldSpentAt: r.now, coldPart: r.set.ColdPart, drawn: math.Inf(1), drawnAt: r.now} // a process before this one may just have spent the whole budget...
	if r.listed { // ...unless the server is new itself
		s.newAt, s.coldSpent, s.drawnAt = r.now, 0, r.now-r.set.FallSpan
	}
	r.servers[id] = s
	at, _ := slices.BinarySearchFunc(r.order, id, func(o *server, id ServerID) int { return cmp.Compare(o.id, id) })
	r.order = slices.Insert(r.order, at, s)
	grp.members = append(grp.members, s)
	return s
}

// drop removes a server, and its group if that is empty then. The caller removes it from the order.
func (r *Router) drop(s *server) {
	grp := s.group
	grp.members = slices.DeleteFunc(grp.members, func(o *server) bool { return o == s })
	delete(r.servers, s.id)
	if len(grp.members) == 0 && len(grp.held) == 0 {
		delete(r.groups, grp.id)
		r.groupOrder = slices.DeleteFunc(r.groupOrder, func(o *group) bool { return o == grp })
	}
}

// groupOf returns a group, which it adds if there is none.
func (r *Router) groupOf(id int) *group {
	grp := r.groups[id]
	if grp == nil {
		grp = &group{id: id}
		r.groups[id] = grp
		at, _ := slices.BinarySearchFunc(r.groupOrder, id, func(o *group, id int) int { return cmp.Compare(o.id, id) })
		r.groupOrder = slices.Insert(r.groupOrder, at, grp)
	}
	return grp
}

// addAttempt records an attempt that is sent.
func (r *Router) addAttempt(s *server, a *attempt) {
	r.repeats.Sent(r.now, a.req.group.id, len(a.req.attempts) == 0, a.req.again())
	a.req.starved = false
	s.open = append(s.open, a)
	a.req.attempts = append(a.req.attempts, a)
	a.req.open++
	r.open++
	s.group.open++
	s.returning.Has(len(s.open))
}

// tried reports whether a request was sent to a server before.
func (req *request) tried(s *server) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.server == s })
}

// loseOpen marks all attempts in flight at a server as lost.
func (s *server) loseOpen() {
	s.lost = len(s.open)
	for _, a := range s.open {
		a.lost = true
	}
}

// blurOpen excludes all attempts in flight from measurement, and takes all servers as having just answered: after a pause of this router.
func (r *Router) blurOpen() {
	for _, s := range r.order {
		s.answered = r.now
		for _, a := range s.open {
			a.blurred = true
		}
	}
}

// removeAttempt removes an attempt that ended and returns it with the number of older ones still in flight; nil if it is not known.
func (r *Router) removeAttempt(s *server, id RequestID, no int) (*attempt, int) {
	i := slices.IndexFunc(s.open, func(a *attempt) bool { return a.req.id == id && a.number == no })
	if i < 0 {
		return nil, 0
	}
	a := s.open[i]
	s.open = slices.Delete(s.open, i, i+1)
	if a.lost {
		s.lost--
	}
	a.over = true
	a.req.open--
	r.open--
	s.group.open--
	return a, i
}

// link is the delay to a zone, as seen last.
type link struct {
	delay float64
	at    Time
}

// New makes a router. The seed is its only source of randomness.
func New(set Settings, seed uint64) *Router {
	r := &Router{rng: rand.New(rand.NewPCG(seed, 0)), servers: map[ServerID]*server{}, groups: map[int]*group{},
		requests: map[RequestID]*request{}, pools: map[int]float64{}, typicalRates: map[int]float64{}, links: map[int]link{},
		forgotten: never, wakeAt: never}
	r.configure(set)
	for _, c := range r.classes {
		r.work += c.work / float64(len(r.classes))
	}
	return r
}

// classesFor returns the classes of new settings. Without a difference these are the ones in use, so that requests in flight go on teaching them.
func (r *Router) classesFor(set []Class) []class {
	if slices.Equal(set, r.set.Classes) {
		return r.classes
	}
	out := make([]class, len(set))
	for i, n := 0, copy(out, r.classes); i < len(out); i++ {
		if i >= n {
			out[i].work = max(1e-3, startWork*set[i].Target.Seconds())
		}
	}
	return out
}

// fading is the weight, from 1 down to 0, of evidence from that time.
func (r *Router) fading(at Time, memory time.Duration) float64 {
	return max(0, 1-(r.now-at).Seconds()/memory.Seconds())
}

// work is the request's expected work: its class's average, scaled by its hint.
func (req *request) work() float64 { return req.class.work * req.size }

// remember stores a session's last commit. Memory is bounded by dropping all of them at once: sessions that were dropped then count as
// having committed at the latest of these times, which may send a read to the primary but never to old data.
func (r *Router) remember(session string, at Time) {
	if r.commits == nil || len(r.commits) >= maxSessions {
		for _, t := range r.commits {
			r.forgotten = max(r.forgotten, t)
		}
		r.commits = map[string]Time{}
	}
	r.commits[session] = max(at, r.commits[session])
}

// urgencyBins is the number of bins of a quarter of an octave; the middle one begins at 1.
const urgencyBins = 96

// countFlow counts n more requests and updates this router's rate of them, over a fading memory.
func (r *Router) countFlow(n float64) {
	dt := (r.now - r.flowAt).Seconds()
	keep := math.Exp(-dt / flowMemory.Seconds())
	r.sends, r.flowSpan, r.flowAt = r.sends*keep+n, r.flowSpan*keep+dt, r.now
	r.flow = r.sends / max(r.flowSpan, 1)
}

// forgetGone drops servers that left the list, have not answered for a while, and have no attempt in flight.
func (r *Router) forgetGone() {
	r.order = slices.DeleteFunc(r.order, func(s *server) bool {
		if s.gone == 0 || r.now-max(s.gone, s.answered) < goneMemory || len(s.open) > 0 {
			return false
		}
		r.drop(s)
		return true
	})
}

// position returns the reported position, or a default without one.
func (report *Report) position(or Time) Time {
	if report.HasPosition {
		return report.Position
	}
	return or
}

// countUrgency counts a request by its urgency.
func (r *Router) countUrgency(req *request) {
	keep := math.Exp(-(r.now - r.urgenciesAt).Seconds() / flowMemory.Seconds())
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
	shut  float64 // a part exp(-shut) of the requests is admitted
	at    Time
	bin   int     // the least urgent bin that is admitted, as of cutAt...
	part  float64 // ...and the part of it that is
	cutAt Time
}

// advance brings a server's virtual service up to now. It must be called before the server's load changes.
func (r *Router) advance(s *server) {
	if dt := (r.now - s.serviceAt).Seconds(); dt > 0 {
		n, _ := r.load(s)
		s.service += dt * share(n) * r.warmth(s)
	}
	s.serviceAt = r.now
}

// serviceOf is the service that an attempt has had, as a multiple of its expected work.
func (r *Router) serviceOf(s *server, a *attempt) float64 {
	return (s.service - a.service) * r.base(s) / a.req.work()
}

// backlogs are the two to which a server belongs: its group's and that of all groups. Primaries are apart, as writes and reads wait differently.
func (r *Router) backlogs(s *server) [2]*backlog {
	i := 1
	if s == r.primary(s.group) {
		i = 0
	}
	return [2]*backlog{&s.group.backlog[i], &r.backlog[i]}
}

// dispatch passes an event to the function that decides about it.
func (r *Router) dispatch(ev Event) {
	switch e := ev.(type) {
	case *Request:
		r.onRequest(e)
	case *Outcome:
		r.onOutcome(e)
	case *Expired:
		if req := r.requests[e.ID]; req != nil {
			r.forget(req)
		}
	case *Hasten:
		if req := r.requests[e.ID]; req != nil {
			req.deadline = min(req.deadline, e.By) // giveUpAt stays: a class's estimated work may be longer than the time left
		}
	case *ProbeResult:
		r.onProbe(e)
	case *List:
		r.onList(e)
	case *Reload:
		r.configure(e.Settings)
	case *Timer:
		r.wakeAt = never
		r.onTick()
	}
}

// onTick does the periodic work of the groups that have any.
func (r *Router) onTick() {
	if r.now >= r.refreshAt {
		r.refresh()
	}
	for _, grp := range r.groupOrder {
		if len(grp.held) == 0 && grp.open == 0 {
			continue
		}
		r.tend(grp)
		r.rescue(grp)
		r.drainQueue(grp)
	}
}

// again reports whether a request's next attempt would be a copy, or repeat one that may have run.
func (req *request) again() bool { return len(req.attempts) > 0 && (req.ran || req.open > 0) }
