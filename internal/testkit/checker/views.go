package checker

import (
	"fmt"
	"slices"
)

// The rules of the fleet's view.
const (
	ViewComplete Rule = "a pooler that is dead or cut off is told failed by all who can reach one another"
	ViewAccurate Rule = "nobody who runs and is reached by most is called failed for long"
	ViewSettled  Rule = "views are equal and true a while after the last fault"
	ViewNoReturn Rule = "nobody comes back from the dead"
	ViewRash     Rule = "one that stood still, or hears nobody, accuses nobody"
	ViewSending  Rule = "no fewer are counted as may be sending than send"
)

// ViewRules are those of the fleet's view.
func ViewRules() []Rule {
	return []Rule{ViewComplete, ViewAccurate, ViewSettled, ViewNoReturn, ViewRash, ViewSending}
}

// ViewConfig has the bounds, in ms, by the formulas of the view's page for this fleet.
type ViewConfig struct {
	Detect   func(f int) float64 // where f cannot be reached
	SettleMs float64
	JoinMs   float64
	SpreadMs float64
	HoldMs   float64
	SelfMs   float64 // within it one that is cut off knows that it may be itself
}

// Views holds what poolers think of one another to what is true. It knows which processes run and which ways are cut, as whoever
// causes the faults does, and is told what each process says of each; nothing of how it came to that.
type Views struct {
	cfg      ViewConfig
	n        int
	procs    []*proc // by pooler, the one that runs, nil where none does
	byID     map[uint64]*proc
	cut      func(from, to int) bool
	changed  float64 // a fault struck or ended last
	parts    []int   // by pooler: of those that can reach one another, -1 where none runs
	partAt   []float64
	stood    []float64
	lossy    int // faults in force by which messages are lost
	counts   map[Rule]int
	checked  map[Rule]uint64
	breaches []Breach
	said     map[string]bool

	Exact bool      // Says is told at once: what is said first can be told from what is passed on
	woke  []float64 // when it last went on after standing still

	Detected []float64 // ms from a crash until an observer called it failed
	Settled  []float64 // ms from a change until all views were equal and true
	Wrong    int       // failures told of processes that ran
	Accused  int       // accusations of such
	unequal  bool
}

type proc struct {
	id     uint64
	pooler int
	up     bool
	began  float64
	ended  float64
	left   bool
	says   map[uint64]opinion // of others, by ID
	told   map[uint64]bool    // against whom it is being told
	count  int                // of those that may be sending
}

type opinion struct {
	state int // as view.State
	inc   uint32
	at    float64
}

// The states, as the view has them.
const (
	viewAlive = iota
	viewSuspect
	viewFailed
	viewLeft
)

// NewViews makes the checker of so many poolers; cut tells whether nothing gets from one to another.
func NewViews(cfg ViewConfig, n int, cut func(from, to int) bool) *Views {
	return &Views{cfg: cfg, n: n, cut: cut, procs: make([]*proc, n), byID: map[uint64]*proc{}, parts: make([]int, n), partAt: make([]float64, n), stood: make([]float64, n), woke: make([]float64, n),
		counts: map[Rule]int{}, checked: map[Rule]uint64{}, said: map[string]bool{}}
}

func (c *Views) breach(rule Rule, at float64, observer, subject *proc, text string) {
	c.counts[rule]++
	if key := fmt.Sprint(rule, observer.id, subject.id); !c.said[key] && len(c.breaches) < maxBreaches {
		c.said[key] = true
		c.breaches = append(c.breaches, Breach{Rule: rule, At: at, ID: subject.id, Server: subject.pooler, Text: text, Proof: []Event{
			{At: subject.began, What: "began", Pooler: subject.pooler, Server: -1}, {At: subject.ended, What: "ended", Pooler: subject.pooler, Server: -1},
			{At: c.changed, What: "last fault", Pooler: -1, Server: -1}, {At: at, What: text, Pooler: observer.pooler, Server: subject.pooler}}})
	}
}

// Began tells that a pooler's process has started.
func (c *Views) Began(at float64, pooler int, id uint64) {
	p := &proc{id: id, pooler: pooler, up: true, began: at, says: map[uint64]opinion{}, told: map[uint64]bool{}}
	c.procs[pooler], c.byID[id], c.woke[pooler] = p, p, 0
	c.Fault(at)
}

// Ended tells that it has ended, in order where it could say so.
func (c *Views) Ended(at float64, pooler int, inOrder bool) {
	if p := c.procs[pooler]; p != nil {
		p.up, p.ended, p.left = false, at, inOrder
		c.procs[pooler] = nil
		c.Fault(at)
	}
}

// Lossy tells that some ways lose messages from now on, or no longer do. While they do there is no bound on what is found out, only
// on what is found out wrongly.
func (c *Views) Lossy(on bool) {
	if c.lossy--; on {
		c.lossy += 2
	}
}

// Stood tells that a pooler's process stands still from now until then.
func (c *Views) Stood(at float64, pooler int, until float64) {
	c.stood[pooler], c.woke[pooler] = until, until
	c.Fault(at)
}

// Fault tells that something struck or ended: a way between two poolers, or a process.
func (c *Views) Fault(at float64) {
	c.changed, c.unequal = at, true
	old := slices.Clone(c.parts)
	c.part(at)
	for i := range c.parts {
		if !slices.Equal(members(old, i), members(c.parts, i)) {
			c.partAt[i] = at
		}
	}
}

func members(parts []int, i int) (out []int) {
	for k, p := range parts {
		if p == parts[i] && p >= 0 {
			out = append(out, k)
		}
	}
	return out
}

// part finds who can reach whom, directly or by way of others; a way that is cut in one direction is none.
func (c *Views) part(at float64) {
	for i := range c.parts {
		c.parts[i] = -1
	}
	runs := func(i int) bool { return c.procs[i] != nil && at >= c.stood[i] }
	next := 0
	for i := range c.parts {
		if c.parts[i] >= 0 || !runs(i) {
			continue
		}
		c.parts[i] = next
		for queue := []int{i}; len(queue) > 0; queue = queue[1:] {
			for k := range c.parts {
				if c.parts[k] < 0 && runs(k) && !c.cut(queue[0], k) && !c.cut(k, queue[0]) {
					c.parts[k] = next
					queue = append(queue, k)
				}
			}
		}
		next++
	}
}

// Says tells that a process has changed its mind on another.
func (c *Views) Says(at float64, observer int, subject uint64, state int, inc uint32) {
	c.wake(at)
	o, s := c.procs[observer], c.byID[subject]
	if o == nil || subject == o.id {
		return
	}
	was, known := o.says[subject]
	o.says[subject] = opinion{state: state, inc: inc, at: at}
	if s == nil { // it was heard of before it was seen
		return
	}
	switch {
	case state == viewFailed && !s.up && (!known || was.state < viewFailed):
		c.Detected = append(c.Detected, at-max(s.ended, o.began))
	case state == viewFailed && s.up && at >= c.stood[s.pooler] && c.parts[s.pooler] == c.parts[o.pooler]:
		c.Wrong++
	case state == viewSuspect && !o.told[s.id] && s.up && at >= c.stood[s.pooler] && c.parts[s.pooler] == c.parts[o.pooler]:
		c.Accused++
	}
	if c.Exact && (state == viewSuspect || state == viewFailed) && s.up && at >= c.stood[s.pooler] && !o.told[s.id] {
		c.checked[ViewRash]++
		lone := c.deaf(observer)
		if lone && at-c.partAt[observer] > c.cfg.SelfMs || c.woke[observer] > 0 && at-c.woke[observer] < rashMs && c.parts[observer] == c.parts[s.pooler] {
			c.breach(ViewRash, at, o, s, fmt.Sprintf("pooler %d accuses pooler %d, which runs, though it %s itself", observer, s.pooler, map[bool]string{true: "hears nobody", false: "stood still"}[lone]))
		}
	}
	c.checked[ViewNoReturn]++
	if known && was.state >= viewFailed && state < viewFailed && !s.up && (inc <= was.inc || at-s.ended > c.cfg.SettleMs && at-c.changed > c.cfg.SettleMs) {
		c.breach(ViewNoReturn, at, o, s, fmt.Sprintf("pooler %d's process, which ended %.0f ms ago, is taken for running again", s.pooler, at-s.ended))
	}
}

// rashMs is how long one that stood still is to accuse nobody, at least.
const rashMs = 1000

// deaf tells whether nothing gets to a pooler from any that runs.
func (c *Views) deaf(i int) bool {
	for k, p := range c.procs {
		if k != i && p != nil && !c.cut(k, i) {
			return false
		}
	}
	return true
}

// Told tells that a process is told something against another, by a message: what it then says is not its own finding.
func (c *Views) Told(observer int, subject uint64) {
	if o := c.procs[observer]; o != nil {
		o.told[subject] = true
	}
}

// Took ends what a process was told by one message.
func (c *Views) Took(observer int) {
	if o := c.procs[observer]; o != nil {
		clear(o.told)
	}
}

// Counts tells how many a pooler takes for those that may be sending.
func (c *Views) Counts(at float64, observer, sending int) {
	if o := c.procs[observer]; o != nil {
		o.count = sending
	}
}

// wake has those go on whose time of standing still is over.
func (c *Views) wake(at float64) {
	for i, until := range c.stood {
		if until > 0 && at >= until {
			c.stood[i] = 0
			c.Fault(at)
		}
	}
}

// Look holds all views to what is true now. It is called now and then.
func (c *Views) Look(at float64) {
	c.wake(at)
	sizes := map[int]int{}
	truly, up := 0, 0
	for i, p := range c.procs {
		if p != nil {
			up++
			sizes[c.parts[i]]++
			if at-p.began > c.cfg.JoinMs {
				truly++
			}
		}
	}
	equal := true
	for i, o := range c.procs {
		if o == nil || c.parts[i] < 0 {
			continue
		}
		if at-o.began > c.cfg.JoinMs {
			c.checked[ViewSending]++
			if o.count < truly && at-c.changed < c.cfg.HoldMs {
				c.breach(ViewSending, at, o, o, fmt.Sprintf("pooler %d counts %d that may be sending, and %d send", i, o.count, truly))
			}
		}
		for _, s := range c.byID {
			if s != o {
				equal = c.pair(at, o, s, sizes, up) && equal
			}
		}
	}
	calm := at - c.changed
	if equal && c.unequal {
		c.unequal = false
		c.Settled = append(c.Settled, calm)
	}
}

// Equal tells whether all views were equal and true when they were last looked at.
func (c *Views) Equal() bool { return !c.unequal }

// pair holds one process's word on another to what is true, and tells whether it is.
func (c *Views) pair(at float64, o, s *proc, sizes map[int]int, up int) bool {
	said, known := o.says[s.id]
	gone := known && said.state >= viewFailed
	with := s.up && c.procs[s.pooler] == s && c.parts[s.pooler] == c.parts[o.pooler]
	since := max(c.partAt[o.pooler], o.began)
	if with {
		since = max(since, s.began, c.partAt[s.pooler])
		if most := 2*sizes[c.parts[o.pooler]] > up; most {
			c.checked[ViewAccurate]++
			if gone && at-max(since, said.at) > c.cfg.SettleMs {
				c.breach(ViewAccurate, at, o, s, fmt.Sprintf("pooler %d calls pooler %d failed, which runs and can be reached", o.pooler, s.pooler))
			}
		}
		right := known && said.state == viewAlive
		if c.lossy == 0 && at-max(since, c.changed) > c.cfg.SettleMs {
			c.checked[ViewSettled]++
			if !right {
				c.breach(ViewSettled, at, o, s, fmt.Sprintf("pooler %d does not take pooler %d for running, %.0f ms after the last fault", o.pooler, s.pooler, at-c.changed))
			}
		}
		return right
	}
	if !known || gone {
		return true
	}
	since = max(since, s.ended)
	since = max(since, c.changed)
	if c.lossy > 0 {
		return false
	}
	if sizes[c.parts[o.pooler]] >= 2 {
		c.checked[ViewComplete]++
		if at-since > c.cfg.Detect(max(1, c.n-sizes[c.parts[o.pooler]])) {
			c.breach(ViewComplete, at, o, s, fmt.Sprintf("pooler %d has not called pooler %d failed %.0f ms after it could not be reached any more", o.pooler, s.pooler, at-since))
		}
		return false
	}
	return true // it hears nobody, and accuses nobody
}

// Verdict adds what was checked and found.
func (c *Views) Verdict(v *Verdict) {
	for r, n := range c.checked {
		v.Checked[r] += n
	}
	for r, n := range c.counts {
		v.Broken[r] += n
	}
	v.Breaches = append(v.Breaches, c.breaches...)
}
