// Package checker checks the rules against what crossed the wire. It observes what clients sent and received, what servers
// received and executed, and which endpoint lists poolers had; it knows nothing of a pooler's own state. Each breach carries
// the events that prove it. Its inputs come in the order of time; it does no I/O.
package checker

import (
	"cmp"
	"fmt"
	"slices"
)

// Rule is the text of a rule. The texts are part of the kit's output.
type Rule string

// The rules.
const (
	OneAnswer  Rule = "one final answer, in time"
	NotTwice   Rule = "nothing that may have run again beyond its class"
	DrainsKept Rule = "nothing new to a server after the grace of its drain or end"
	ColdSpared Rule = "no cold server pushed over"
	NotStale   Rule = "no read staler than its class allows"
	PrimaryRan Rule = "no write accepted by another than the primary"
	NoInvented Rule = "no value that no server made for the request"
	NotDenied  Rule = "no write to a server that has said that it is not the primary"
)

// Rules returns the rules that hold in every scenario.
func Rules() []Rule {
	return []Rule{OneAnswer, NotTwice, DrainsKept, ColdSpared, NotStale, PrimaryRan, NoInvented, NotDenied}
}

// Class is what the rules depend on in a class of requests.
type Class struct {
	Name           string
	Writes         bool
	NoRepeat       bool    // it must not be executed twice
	KeyMs          float64 // how long servers drop repeats of an idempotency key, from the first attempt that may have run; 0 for no keys
	Session        bool    // a read must see the session's own writes
	MaxStalenessMs float64 // maximum age of a read's data at the send, 0 for any
}

// Config has the limits of the rules. Times are in milliseconds.
type Config struct {
	Classes          []Class
	GraceMs          float64 // how long attempts may still be sent to a server after an endpoint list reports it as draining or removed
	SlackMs          float64 // added to each time limit
	MaxAttempts      int
	ColdMs           float64
	ColdShare        float64
	Cores            int
	OverloadFactor   float64 // a cold server fails if its work within OverloadWindowMs exceeds this multiple of its present capacity
	OverloadWindowMs float64
	Limits           []Limit   // limits of the whole fleet
	CountMs          float64   // by how much earlier or later than recorded a use may reach its pooler
	Overload         *Overload // nil if poolers do not share overload state
}

// Event is something that crossed the wire, as proof of a breach.
type Event struct {
	At      float64 `json:"at_ms"`
	What    string  `json:"what"`
	Pooler  int     `json:"pooler"`
	Server  int     `json:"server"`
	Attempt int     `json:"attempt"`
	Text    string  `json:"text,omitempty"`
}

// Breach is one breach of a rule.
type Breach struct {
	Rule   Rule    `json:"rule"`
	At     float64 `json:"at_ms"`
	ID     uint64  `json:"id,omitempty"`
	Text   string  `json:"text"`
	Proof  []Event `json:"proof"`
	Server int     `json:"server"`
	Late   bool    `json:"late,omitempty"` // only the time was exceeded
}

const (
	maxBreaches = 200
	maxProof    = 24
)

// Checker checks the rules on requests, attempts and servers. Its methods are called in the order of time, by one goroutine.
type Checker struct {
	cfg            Config
	requests       map[uint64]*clientRequest
	free           []*clientRequest
	listed         map[poolerServer]listing
	cold           map[int]*coldServer
	breaches       []Breach
	counts         map[Rule]int
	checked        map[Rule]uint64
	roleReports    map[poolerServer]roleReport // what servers last reported of their role to each pooler
	leaderAsOf     map[int]float64             // by server: position of its last report as primary, to any pooler
	RolesAreShared bool                        // poolers share the servers' reports
	pauses         map[int]pause               // by pooler: its last pause
	keyed          map[poolerKey][]keySend
	limits         []*limitState
	overload       *overloadState // nil if its rules are not checked
	activeFaults   int            // number of active faults
	dueOrder       []dueAnswer    // by deadline, approximately
	dueHead        int
}

// poolerKey is an idempotency key at a pooler, which cannot know the attempts of other poolers.
type poolerKey struct {
	pooler int
	key    uint64
}

// keySend is an attempt that was sent with an idempotency key.
type keySend struct {
	id       uint64
	attempt  int
	at       float64
	neverRan bool // it was certainly not executed
}

// maxKeyed bounds the number of remembered idempotency keys. closedAfterMs is how long a request is kept after its deadline.
const (
	maxKeyed      = 1 << 18
	closedAfterMs = 5000
)

type pause struct{ from, until float64 }

type dueAnswer struct {
	at float64
	id uint64
}

// clientRequest is a request that is kept until closedAfterMs after its deadline.
type clientRequest struct {
	id           uint64
	key          uint64
	class        *Class
	received     float64
	due          float64
	minPosition  float64
	pooler       int
	answers      int
	abandoned    bool
	attempts     []attempt
	executions   []execution
	events       []Event
	limit        *limitState // nil if its tenant has none
	countedAsUse bool
	group        int
	tenant       string
	countsAsLoad bool // the overload rules count it
}

type attempt struct {
	at       float64
	server   int
	ended    bool
	neverRan bool // it was certainly not executed
}

// New returns a checker.
func New(cfg Config) *Checker {
	c := &Checker{
		cfg:         cfg,
		requests:    map[uint64]*clientRequest{},
		listed:      map[poolerServer]listing{},
		cold:        map[int]*coldServer{},
		roleReports: map[poolerServer]roleReport{},
		leaderAsOf:  map[int]float64{},
		counts:      map[Rule]int{},
		checked:     map[Rule]uint64{},
		pauses:      map[int]pause{},
		keyed:       map[poolerKey][]keySend{},
	}
	if cfg.Overload != nil {
		c.overload = &overloadState{Overload: *cfg.Overload, repeats: newRepeatCounts(len(cfg.Overload.Capacity))}
	}
	for _, l := range cfg.Limits {
		c.limits = append(c.limits, &limitState{
			Limit:          l,
			poolers:        map[int]*poolerUsage{},
			running:        map[runningQuery]float64{},
			usesBySecond:   map[int64]float64{},
			demandBySecond: map[int64]float64{},
		})
	}
	return c
}

func (c *Checker) breach(b Breach, proof []Event) {
	c.counts[b.Rule]++
	if len(c.breaches) < maxBreaches {
		b.Proof = slices.Clone(proof[max(0, len(proof)-maxProof):])
		c.breaches = append(c.breaches, b)
	}
}

func (request *clientRequest) record(e Event) {
	if len(request.events) < 4*maxProof {
		request.events = append(request.events, e)
	}
}

// Received records that a pooler has a client's complete request. A session's read must see at least minPosition.
func (c *Checker) Received(at float64, id uint64, class, pooler int, deadline, minPosition float64) {
	var request *clientRequest
	if n := len(c.free); n > 0 {
		request, c.free = c.free[n-1], c.free[:n-1]
		*request = clientRequest{attempts: request.attempts[:0], executions: request.executions[:0], events: request.events[:0]}
	} else {
		request = &clientRequest{}
	}
	request.id, request.class, request.received, request.due, request.minPosition, request.pooler = id, &c.cfg.Classes[class], at, deadline, minPosition, pooler
	c.requests[id] = request
	c.dueOrder = append(c.dueOrder, dueAnswer{deadline, id})
	request.record(Event{
		At:     at,
		What:   "asked",
		Pooler: pooler,
		Server: -1,
		Text:   fmt.Sprintf("%s, waits %.0f ms", request.class.Name, deadline-at),
	})
	c.expire(at)
}

// Keyed records the idempotency key of an open request, by which servers recognize repeats, also those that the client sends with
// another ID.
func (c *Checker) Keyed(id, key uint64) {
	if request := c.requests[id]; request != nil {
		request.key = key
	}
}

// checkKeyWindow checks that an attempt is sent within the window of its idempotency key.
func (c *Checker) checkKeyWindow(at float64, request *clientRequest, number, server int) {
	c.checked[NotTwice]++
	key := poolerKey{request.pooler, request.key}
	for _, s := range c.keyed[key] {
		if !s.neverRan && at > s.at+request.class.KeyMs+c.cfg.SlackMs {
			c.breach(Breach{
				Rule:   NotTwice,
				At:     at,
				ID:     request.id,
				Server: server,
				Text:   fmt.Sprintf("attempt %d is sent %.0f ms after one of its key that may have run; its servers drop repeats for %.0f ms", number, at-s.at, request.class.KeyMs),
			},
				append(slices.Clone(request.events), Event{At: s.at, What: "sent", Pooler: request.pooler, Server: server, Attempt: s.attempt}, Event{At: at, What: "sent", Pooler: request.pooler, Server: server, Attempt: number}))
			break
		}
	}
	if len(c.keyed) >= maxKeyed {
		clear(c.keyed)
	}
	c.keyed[key] = append(c.keyed[key], keySend{id: request.id, attempt: number, at: at})
}

// Answered records that a client received a complete answer. value is a hash of the data served, 0 for none.
func (c *Checker) Answered(at float64, id uint64, kind string, served bool, value uint64) {
	request := c.requests[id]
	if request == nil {
		c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Text: "an answer to what nobody asks, or long after its time"}, nil)
		return
	}
	c.checked[OneAnswer]++
	request.answers++
	request.record(Event{At: at, What: "answered", Pooler: request.pooler, Server: -1, Text: kind})
	switch {
	case request.answers > 1:
		c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Text: "a second answer"}, request.events)
	case at > c.latestAnswer(request)+c.cfg.SlackMs && !request.abandoned:
		c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Late: true, Text: fmt.Sprintf("the answer came %.0f ms late", at-request.due)}, request.events)
	}
	if c.overload != nil {
		if pause := c.pauses[request.pooler]; request.received <= pause.until && pause.from <= at {
			kind = "" // the request waited while the pooler was paused, so its answer says nothing about load
		}
		c.overload.recordAnswer(request, kind, served)
	}
	if served {
		c.checkServed(at, request, value)
	}
}

// latestAnswer returns the deadline of a request's answer. If it falls within a pause of the pooler's machine, the answer is due
// at the end of the pause.
func (c *Checker) latestAnswer(request *clientRequest) float64 {
	if last := c.pauses[request.pooler]; request.received <= last.until && request.due >= last.from && request.due < last.until {
		return last.until
	}
	return request.due
}

// Paused records that a pooler's machine is paused until the given time.
func (c *Checker) Paused(at float64, pooler int, until float64) {
	from := at
	if last, ok := c.pauses[pooler]; ok && last.until >= at { // the pooler is already paused
		from, until = last.from, max(until, last.until)
	}
	c.pauses[pooler] = pause{from, until}
}

// checkServed checks that an execution of the request produced the answer's value, and that its data is recent enough.
func (c *Checker) checkServed(at float64, request *clientRequest, value uint64) {
	c.checked[NoInvented]++
	var source *execution
	for i := range request.executions {
		if r := &request.executions[i]; r.value == value && (source == nil || r.position > source.position) {
			source = r
		}
	}
	if source == nil {
		c.breach(Breach{Rule: NoInvented, At: at, ID: request.id, Server: -1, Text: "no server made this value for the request"}, request.events)
		return
	}
	need, what := 0.0, ""
	switch {
	case request.class.Writes:
		return
	case request.class.Session && request.minPosition > 0:
		need, what = request.minPosition, "its session's last commit"
	case request.class.MaxStalenessMs > 0:
		need, what = source.sent-request.class.MaxStalenessMs-c.cfg.SlackMs, "its bound at the send"
	default:
		return
	}
	c.checked[NotStale]++
	if source.position < need {
		c.breach(Breach{Rule: NotStale, At: at, ID: request.id, Server: source.server, Text: fmt.Sprintf("its data is of %.0f ms before %s", need-source.position, what)}, request.events)
	}
}

// Abandoned records that a request needs no answer: its client gave up, or its connection or pooler ended.
func (c *Checker) Abandoned(at float64, id uint64, reason string) {
	if request := c.requests[id]; request != nil {
		if request.answers == 0 && !request.abandoned && at > c.latestAnswer(request)+c.cfg.SlackMs {
			c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Late: true, Text: "no answer by its time"}, request.events)
		}
		request.abandoned = true
		request.record(Event{At: at, What: "gone", Pooler: request.pooler, Server: -1, Text: reason})
	}
}

// AttemptSent records the first byte of an attempt and checks the rules on attempts.
func (c *Checker) AttemptSent(at float64, id uint64, number, pooler, server int) {
	sent := Event{At: at, What: "sent", Pooler: pooler, Server: server, Attempt: number}
	c.checkDraining(id, &sent)
	request := c.requests[id]
	if request == nil {
		return
	}
	if request.limit != nil && !request.countedAsUse {
		request.countedAsUse = true
		c.recordUse(request, server)
	}
	if request.class.Writes {
		c.checkRole(id, &sent)
	}
	if request.class.KeyMs > 0 {
		c.checkKeyWindow(at, request, number, server)
	}
	if request.class.NoRepeat {
		c.checkNoRepeat(request, &sent)
	}
	if number > 0 {
		c.checkRepeat(at, request, server)
	}
	for len(request.attempts) <= number {
		request.attempts = append(request.attempts, attempt{neverRan: true, ended: true})
	}
	request.attempts[number] = attempt{at: at, server: server}
	request.record(sent)
	if number >= c.cfg.MaxAttempts {
		text := fmt.Sprintf("%d attempts; %d are allowed", number+1, c.cfg.MaxAttempts)
		c.breach(Breach{Rule: NotTwice, At: at, ID: id, Server: server, Text: text}, request.events)
	}
}

// checkDraining checks that the pooler had not been notified, longer ago than the grace, that the server is draining or removed.
func (c *Checker) checkDraining(id uint64, sent *Event) {
	c.checked[DrainsKept]++
	listed, ok := c.listed[poolerServer{sent.Pooler, sent.Server}]
	if !ok || listed.state == "up" || sent.At <= listed.at+c.cfg.GraceMs+c.cfg.SlackMs {
		return
	}
	text := fmt.Sprintf("sent %.0f ms after the list said %q", sent.At-listed.at, listed.state)
	notified := Event{At: listed.at, What: "list told", Pooler: sent.Pooler, Server: sent.Server, Text: listed.state}
	c.breach(Breach{Rule: DrainsKept, At: sent.At, ID: id, Server: sent.Server, Late: true, Text: text}, []Event{notified, *sent})
}

// checkRole checks that a write is not sent to a server that lately reported that it is a replica.
func (c *Checker) checkRole(id uint64, sent *Event) {
	report, ok := c.roleReports[poolerServer{sent.Pooler, sent.Server}]
	if !ok {
		return
	}
	c.checked[NotDenied]++
	promoted := c.RolesAreShared && c.leaderAsOf[sent.Server] > report.asOf // another pooler has since received its report as primary
	if report.primary || promoted || sent.At-report.at > roleReportMs {
		return
	}
	text := fmt.Sprintf("a write is sent to a server that said %.0f ms before that it is a replica", sent.At-report.at)
	reported := Event{At: report.at, What: "said that it is a replica", Pooler: sent.Pooler, Server: sent.Server}
	c.breach(Breach{Rule: NotDenied, At: sent.At, ID: id, Server: sent.Server, Text: text}, []Event{reported, *sent})
}

// checkNoRepeat checks that no earlier attempt of a request that must not be repeated may have run.
func (c *Checker) checkNoRepeat(request *clientRequest, sent *Event) {
	c.checked[NotTwice]++
	for i := range request.attempts {
		if request.attempts[i].neverRan {
			continue
		}
		request.record(*sent)
		text := fmt.Sprintf("attempt %d is sent though attempt %d may have run, or may yet", sent.Attempt, i)
		c.breach(Breach{Rule: NotTwice, At: sent.At, ID: request.id, Server: sent.Server, Text: text}, request.events)
		return
	}
}

// AttemptEnded records how an attempt ended. neverRan means that it was certainly not executed: the server rejected it untouched,
// or its last byte was not written.
func (c *Checker) AttemptEnded(at float64, id uint64, number int, outcome string, neverRan bool) {
	request := c.requests[id]
	if request == nil || number >= len(request.attempts) {
		return
	}
	request.attempts[number].ended, request.attempts[number].neverRan = true, neverRan
	if sends := c.keyed[poolerKey{request.pooler, request.key}]; request.class.KeyMs > 0 {
		for i := range sends {
			if s := &sends[i]; s.id == id && s.attempt == number {
				s.neverRan = neverRan
			}
		}
	}
	request.record(Event{At: at, What: "ended", Pooler: request.pooler, Server: request.attempts[number].server, Attempt: number, Text: outcome})
}

// expire closes requests whose deadline is long past.
func (c *Checker) expire(now float64) {
	for c.dueHead < len(c.dueOrder) && now > c.dueOrder[c.dueHead].at+closedAfterMs {
		c.closeRequest(c.dueOrder[c.dueHead].id)
		c.dueHead++
	}
	if c.dueHead > 4096 && c.dueHead > len(c.dueOrder)/2 {
		c.dueOrder = c.dueOrder[:copy(c.dueOrder, c.dueOrder[c.dueHead:])]
		c.dueHead = 0
	}
}

func (c *Checker) closeRequest(id uint64) {
	request := c.requests[id]
	if request == nil {
		return
	}
	delete(c.requests, id)
	if request.answers == 0 && !request.abandoned {
		c.breach(Breach{Rule: OneAnswer, At: request.due, ID: id, Server: -1, Text: "no answer"}, request.events)
	}
	if cap(request.events) <= 4*maxProof {
		c.free = append(c.free, request)
	}
}

// Finish ends the check: requests that were due by now and have no answer are breaches.
func (c *Checker) Finish(now float64) {
	ids := make([]uint64, 0, len(c.requests))
	for id, request := range c.requests {
		if request.due+c.cfg.SlackMs <= now || request.answers > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.closeRequest(id)
	}
}

// Verdict has the number of checks and the breaches of each rule.
type Verdict struct {
	Checked  map[Rule]uint64 `json:"checked"` // number of checks of each rule
	Broken   map[Rule]int    `json:"broken"`
	Breaches []Breach        `json:"breaches"`
}

// OK reports whether no rule was broken.
func (v *Verdict) OK() bool { return len(v.Broken) == 0 }

// Verdict returns the verdict so far. Breaches are in the order of time.
func (c *Checker) Verdict() *Verdict {
	c.checkLimits()
	c.checkShares()
	c.checkOverload()
	v := &Verdict{Checked: map[Rule]uint64{}, Broken: map[Rule]int{}, Breaches: slices.Clone(c.breaches)}
	for r, n := range c.checked {
		v.Checked[r] = n
	}
	for r, n := range c.counts {
		v.Broken[r] = n
	}
	slices.SortStableFunc(v.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return v
}
