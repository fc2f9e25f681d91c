// Package checker holds what crossed the wire to the rules. It knows nothing of what a pooler thought: it is told what
// clients asked and heard, what servers were sent and ran, and what the list had told whom. Each breach carries the
// events that prove it.
package checker

import (
	"cmp"
	"fmt"
	"slices"
)

// Rule is a rule that can be broken.
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

// Rules are all of them.
func Rules() []Rule {
	return []Rule{OneAnswer, NotTwice, DrainsKept, ColdSpared, NotStale, PrimaryRan, NoInvented, NotDenied}
}

// Class is what the rules go by of a class of requests.
type Class struct {
	Name    string
	Writes  bool
	Once    bool    // it must not run twice
	KeyMs   float64 // its servers drop repeats by its key for so long, from the first send that may have run; 0 for no keys
	Session bool    // a read must hold the session's own writes
	BoundMs float64 // a read's data is no older at the send, 0 for any
}

// Config says what the rules' figures are. Times are in milliseconds.
type Config struct {
	Classes     []Class
	GraceMs     float64 // for sends, from the list's word that a server drains or is gone
	SlackMs     float64 // by which every limit of time is longer
	MaxAttempts int
	ColdMs      float64
	ColdBy      float64
	Cores       int
	Falls       float64 // times its capacity of the moment, in FallsMs, that push a cold server over
	FallsMs     float64
	Limits      []Limit   // that hold for the whole fleet
	CountMs     float64   // by which a use may come to its pooler later, or sooner, than it is told
	Overload    *Overload // nil where it is not handled together
}

// Event is something that crossed the wire, as evidence.
type Event struct {
	At      float64 `json:"at_ms"`
	What    string  `json:"what"`
	Pooler  int     `json:"pooler"`
	Server  int     `json:"server"`
	Attempt int     `json:"attempt"`
	Text    string  `json:"text,omitempty"`
}

// Breach is a rule that was broken.
type Breach struct {
	Rule   Rule    `json:"rule"`
	At     float64 `json:"at_ms"`
	ID     uint64  `json:"id,omitempty"`
	Text   string  `json:"text"`
	Proof  []Event `json:"proof"`
	Server int     `json:"server"`
	Late   bool    `json:"late,omitempty"` // nothing is wrong but the time: what was due came, or ended, too late
}

const (
	maxBreaches = 200
	maxProof    = 24
)

// Checker is told what happens, in the order of time. It is not safe for concurrent use.
type Checker struct {
	cfg      Config
	open     map[uint64]*request
	free     []*request
	listed   map[where]listing
	cold     map[int]*coldness
	breaches []Breach
	counts   map[Rule]int
	checked  map[Rule]uint64
	words    map[where]word    // what servers told poolers of their role last
	leads    map[int]float64   // as of when servers told anybody last that they lead
	Share    bool              // poolers tell one another what servers said
	still    map[int]stillness // poolers' machines that stood still last
	keyed    map[keyAt][]keySend
	limits   []*limitUse
	over     *overload // nil where its rules are not checked
	inForce  int       // faults
	order    []due     // by when an answer is due, about
	head     int
}

// keyAt is a key at a pooler: what a pooler sent it is held to, and what another did it cannot know.
type keyAt struct {
	pooler int
	key    uint64
}

type keySend struct {
	id    uint64
	no    int
	at    float64
	never bool
}

const maxKeyed = 1 << 18

type stillness struct{ from, until float64 }

type due struct {
	at float64
	id uint64
}

// request is one that is open, or was a short while ago.
type request struct {
	id       uint64
	key      uint64
	class    *Class
	asked    float64
	due      float64
	after    float64
	pooler   int
	answers  int
	gone     bool
	attempts []attempt
	ran      []ran
	events   []Event
	limit    *limitUse // nil where none is of its tenant
	used     bool
	group    int
	tenant   string
	loads    bool // it counts as load
}

type attempt struct {
	at     float64
	server int
	ended  bool
	never  bool // it is known not to have run
}

// New makes a checker.
func New(cfg Config) *Checker {
	c := &Checker{cfg: cfg, open: map[uint64]*request{}, listed: map[where]listing{}, cold: map[int]*coldness{}, words: map[where]word{}, leads: map[int]float64{}, counts: map[Rule]int{}, checked: map[Rule]uint64{}, still: map[int]stillness{}, keyed: map[keyAt][]keySend{}}
	if cfg.Overload != nil {
		c.over = &overload{Overload: *cfg.Overload, twice: newRepeats(len(cfg.Overload.Capacity))}
	}
	for _, l := range cfg.Limits {
		c.limits = append(c.limits, &limitUse{Limit: l, poolers: map[int]*poolerUse{}, runs: map[run]float64{}, seconds: map[int64]float64{}, wanted: map[int64]float64{}})
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

func (q *request) note(e Event) {
	if len(q.events) < 4*maxProof {
		q.events = append(q.events, e)
	}
}

// Asked tells that a client's request is whole at its pooler's. after is the position that a session's read must see.
func (c *Checker) Asked(at float64, id uint64, class, pooler int, until, after float64) {
	var q *request
	if n := len(c.free); n > 0 {
		q, c.free = c.free[n-1], c.free[:n-1]
		*q = request{attempts: q.attempts[:0], ran: q.ran[:0], events: q.events[:0]}
	} else {
		q = &request{}
	}
	q.id, q.class, q.asked, q.due, q.after, q.pooler = id, &c.cfg.Classes[class], at, until, after, pooler
	c.open[id] = q
	c.order = append(c.order, due{until, id})
	q.note(Event{At: at, What: "asked", Pooler: pooler, Server: -1, Text: fmt.Sprintf("%s, waits %.0f ms", q.class.Name, until-at)})
	c.sweep(at)
}

// Keyed tells that an open request has a key, by which its servers know repeats, those that its client asks under other ids
// included.
func (c *Checker) Keyed(id, key uint64) {
	if q := c.open[id]; q != nil {
		q.key = key
	}
}

// again holds a send to the window of its key.
func (c *Checker) again(at float64, q *request, no, server int) {
	c.checked[NotTwice]++
	k := keyAt{q.pooler, q.key}
	for _, s := range c.keyed[k] {
		if !s.never && at > s.at+q.class.KeyMs+c.cfg.SlackMs {
			c.breach(Breach{Rule: NotTwice, At: at, ID: q.id, Server: server, Text: fmt.Sprintf("attempt %d is sent %.0f ms after one of its key that may have run; its servers drop repeats for %.0f ms", no, at-s.at, q.class.KeyMs)},
				append(slices.Clone(q.events), Event{At: s.at, What: "sent", Pooler: q.pooler, Server: server, Attempt: s.no}, Event{At: at, What: "sent", Pooler: q.pooler, Server: server, Attempt: no}))
			break
		}
	}
	if len(c.keyed) >= maxKeyed {
		clear(c.keyed)
	}
	c.keyed[k] = append(c.keyed[k], keySend{id: q.id, no: no, at: at})
}

// Answered tells that an answer's last byte has come to its client. value is a hash of what was served, 0 for none.
func (c *Checker) Answered(at float64, id uint64, kind string, served bool, value uint64) {
	q := c.open[id]
	if q == nil {
		c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Text: "an answer to what nobody asks, or long after its time"}, nil)
		return
	}
	c.checked[OneAnswer]++
	q.answers++
	q.note(Event{At: at, What: "answered", Pooler: q.pooler, Server: -1, Text: kind})
	switch {
	case q.answers > 1:
		c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Text: "a second answer"}, q.events)
	case at > c.latest(q)+c.cfg.SlackMs && !q.gone:
		c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Late: true, Text: fmt.Sprintf("the answer came %.0f ms late", at-q.due)}, q.events)
	}
	if c.over != nil {
		if s := c.still[q.pooler]; q.asked <= s.until && s.from <= at { // it waited there while the pooler stood still: no word on load
			kind = ""
		}
		c.over.heard(q, kind, served)
	}
	if served {
		c.served(at, q, value)
	}
}

// latest is by when a request's answer is due. A machine that stands still answers nobody: what was due meanwhile is due
// when it goes on.
func (c *Checker) latest(q *request) float64 {
	if s := c.still[q.pooler]; q.asked <= s.until && q.due >= s.from && q.due < s.until {
		return s.until
	}
	return q.due
}

// Still tells that a pooler's machine stands still from now until then.
func (c *Checker) Still(at float64, pooler int, until float64) {
	from := at
	if s, ok := c.still[pooler]; ok && s.until >= at { // it stood still already
		from, until = s.from, max(until, s.until)
	}
	c.still[pooler] = stillness{from, until}
}

// served holds what was served to what ran.
func (c *Checker) served(at float64, q *request, value uint64) {
	c.checked[NoInvented]++
	var from *ran
	for i := range q.ran {
		if r := &q.ran[i]; r.value == value && (from == nil || r.position > from.position) {
			from = r
		}
	}
	if from == nil {
		c.breach(Breach{Rule: NoInvented, At: at, ID: q.id, Server: -1, Text: "no server made this value for the request"}, q.events)
		return
	}
	need, what := 0.0, ""
	switch {
	case q.class.Writes:
		return
	case q.class.Session && q.after > 0:
		need, what = q.after, "its session's last commit"
	case q.class.BoundMs > 0:
		need, what = from.sent-q.class.BoundMs-c.cfg.SlackMs, "its bound at the send"
	default:
		return
	}
	c.checked[NotStale]++
	if from.position < need {
		c.breach(Breach{Rule: NotStale, At: at, ID: q.id, Server: from.server, Text: fmt.Sprintf("its data is of %.0f ms before %s", need-from.position, what)}, q.events)
	}
}

// Gone tells that a client has given its request up, or that its connection, or its pooler, is no more.
func (c *Checker) Gone(at float64, id uint64, why string) {
	if q := c.open[id]; q != nil {
		if q.answers == 0 && !q.gone && at > c.latest(q)+c.cfg.SlackMs {
			c.breach(Breach{Rule: OneAnswer, At: at, ID: id, Server: -1, Late: true, Text: "no answer by its time"}, q.events)
		}
		q.gone = true
		q.note(Event{At: at, What: "gone", Pooler: q.pooler, Server: -1, Text: why})
	}
}

// Sent tells of the first byte of an attempt.
func (c *Checker) Sent(at float64, id uint64, no, pooler, server int) {
	c.checked[DrainsKept]++
	if l, ok := c.listed[where{pooler, server}]; ok && l.state != "up" && at > l.at+c.cfg.GraceMs+c.cfg.SlackMs {
		c.breach(Breach{Rule: DrainsKept, At: at, ID: id, Server: server, Late: true, Text: fmt.Sprintf("sent %.0f ms after the list said %q", at-l.at, l.state)},
			[]Event{{At: l.at, What: "list told", Pooler: pooler, Server: server, Text: l.state}, {At: at, What: "sent", Pooler: pooler, Server: server, Attempt: no}})
	}
	q := c.open[id]
	if q == nil {
		return
	}
	if q.limit != nil && !q.used {
		q.used = true
		c.use(q, server)
	}
	if q.class.Writes {
		x, ok := c.words[where{pooler, server}]
		since := c.Share && c.leads[server] > x.asOf // it may have heard by others that the server leads since
		if ok {
			c.checked[NotDenied]++
		}
		if ok && !x.primary && !since && at-x.at <= wordMs {
			c.breach(Breach{Rule: NotDenied, At: at, ID: id, Server: server, Text: fmt.Sprintf("a write is sent to a server that said %.0f ms before that it is a replica", at-x.at)},
				[]Event{{At: x.at, What: "said that it is a replica", Pooler: pooler, Server: server}, {At: at, What: "sent", Pooler: pooler, Server: server, Attempt: no}})
		}
	}
	if q.class.KeyMs > 0 {
		c.again(at, q, no, server)
	}
	if q.class.Once {
		c.checked[NotTwice]++
		for i := range q.attempts {
			if a := &q.attempts[i]; !a.never {
				q.note(Event{At: at, What: "sent", Pooler: pooler, Server: server, Attempt: no})
				c.breach(Breach{Rule: NotTwice, At: at, ID: id, Server: server, Text: fmt.Sprintf("attempt %d is sent though attempt %d may have run, or may yet", no, i)}, q.events)
				break
			}
		}
	}
	if no > 0 {
		c.sentAgain(at, q, server)
	}
	for len(q.attempts) <= no {
		q.attempts = append(q.attempts, attempt{never: true, ended: true})
	}
	q.attempts[no] = attempt{at: at, server: server}
	q.note(Event{At: at, What: "sent", Pooler: pooler, Server: server, Attempt: no})
	if no >= c.cfg.MaxAttempts {
		c.breach(Breach{Rule: NotTwice, At: at, ID: id, Server: server, Text: fmt.Sprintf("%d attempts; %d are allowed", no+1, c.cfg.MaxAttempts)}, q.events)
	}
}

// Ended tells how an attempt ended on its wire. never says that it is known not to have run: it was turned away untouched,
// or its last byte was never written.
func (c *Checker) Ended(at float64, id uint64, no int, how string, never bool) {
	q := c.open[id]
	if q == nil || no >= len(q.attempts) {
		return
	}
	q.attempts[no].ended, q.attempts[no].never = true, never
	if sends := c.keyed[keyAt{q.pooler, q.key}]; q.class.KeyMs > 0 {
		for i := range sends {
			if s := &sends[i]; s.id == id && s.no == no {
				s.never = never
			}
		}
	}
	q.note(Event{At: at, What: "ended", Pooler: q.pooler, Server: q.attempts[no].server, Attempt: no, Text: how})
}

// sweep ends what is long past.
func (c *Checker) sweep(now float64) {
	const keepMs = 5000
	for c.head < len(c.order) && now > c.order[c.head].at+keepMs {
		c.end(c.order[c.head].id)
		c.head++
	}
	if c.head > 4096 && c.head > len(c.order)/2 {
		c.order = c.order[:copy(c.order, c.order[c.head:])]
		c.head = 0
	}
}

func (c *Checker) end(id uint64) {
	q := c.open[id]
	if q == nil {
		return
	}
	delete(c.open, id)
	if q.answers == 0 && !q.gone {
		c.breach(Breach{Rule: OneAnswer, At: q.due, ID: id, Server: -1, Text: "no answer"}, q.events)
	}
	if cap(q.events) <= 4*maxProof {
		c.free = append(c.free, q)
	}
}

// Finish ends the check: what was due by now and has no answer never will.
func (c *Checker) Finish(now float64) {
	ids := make([]uint64, 0, len(c.open))
	for id, q := range c.open {
		if q.due+c.cfg.SlackMs <= now || q.answers > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.end(id)
	}
}

// Verdict is what was checked and what was found.
type Verdict struct {
	Checked  map[Rule]uint64 `json:"checked"` // how often each rule was put to the test
	Broken   map[Rule]int    `json:"broken"`
	Breaches []Breach        `json:"breaches"`
}

// OK tells whether no rule was broken.
func (v *Verdict) OK() bool { return len(v.Broken) == 0 }

// Verdict is the verdict so far.
func (c *Checker) Verdict() *Verdict {
	c.hold()
	c.shares()
	c.overloaded()
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
