package checker

import (
	"fmt"
	"slices"
)

// The rules on the fleet's view.
const (
	ViewComplete Rule = "a pooler that is dead or cut off is told failed by all who can reach one another"
	ViewAccurate Rule = "nobody who runs and is reached by most is called failed for long"
	ViewSettled  Rule = "views are equal and true a while after the last fault"
	ViewNoReturn Rule = "nobody comes back from the dead"
	ViewRash     Rule = "one that stood still, or hears nobody, accuses nobody"
	ViewSending  Rule = "no fewer are counted as may be sending than send"
)

// ViewRules returns the rules on the fleet's view.
func ViewRules() []Rule {
	return []Rule{ViewComplete, ViewAccurate, ViewSettled, ViewNoReturn, ViewRash, ViewSending}
}

// ViewConfig has the bounds in ms, by the formulas of the view's page for this fleet.
type ViewConfig struct {
	DetectMs     func(f int) float64 // within which a failure is detected if f poolers cannot be reached
	SettleMs     float64
	JoinMs       float64
	SpreadMs     float64
	CountHoldMs  float64
	SelfDetectMs float64 // within which an isolated pooler suspects itself
}

// ViewChecker compares the poolers' views of one another with the true state. It knows which processes run and which links are cut
// from the injected faults, and each process's reported states; nothing of how a process decides.
type ViewChecker struct {
	cfg           ViewConfig
	poolers       int
	processes     []*process // by pooler: its running process, nil for none
	byID          map[uint64]*process
	cut           func(from, to int) bool
	lastFault     float64 // last start or end of a fault
	partitions    []int   // by pooler: number of the partition, -1 if it does not run
	partitionedAt []float64
	pausedUntil   []float64
	lossyFaults   int // number of active faults that lose messages
	counts        map[Rule]int
	checked       map[Rule]uint64
	breaches      []Breach
	reported      map[string]bool

	Exact     bool      // reports come without delay, so that first-hand accusations can be distinguished from relayed ones
	resumedAt []float64 // by pooler: end of its last pause

	DetectionTimes   []float64 // ms from a crash until an observer reported the failure
	SettleTimes      []float64 // ms from a change until all views were equal and correct
	FalseFailures    int       // failures reported of running processes
	FalseAccusations int       // suspicions of running processes
	diverged         bool
}

type process struct {
	id             uint64
	pooler         int
	running        bool
	started        float64
	ended          float64
	leftGracefully bool
	reportedStates map[uint64]reportedState // by ID of the reported process
	accusations    map[uint64]bool          // IDs of the processes that the message being processed accuses
	sendingCount   int                      // number of poolers that it counts as possibly sending
}

type reportedState struct {
	state       int // a view.State
	incarnation uint32
	at          float64
}

// The values of view.State.
const (
	viewAlive = iota
	viewSuspect
	viewFailed
	viewLeft
)

// NewViewChecker returns a checker of n poolers; cut reports whether no message gets from one pooler to another.
func NewViewChecker(cfg ViewConfig, n int, cut func(from, to int) bool) *ViewChecker {
	return &ViewChecker{
		cfg:           cfg,
		poolers:       n,
		cut:           cut,
		processes:     make([]*process, n),
		byID:          map[uint64]*process{},
		partitions:    make([]int, n),
		partitionedAt: make([]float64, n),
		pausedUntil:   make([]float64, n),
		resumedAt:     make([]float64, n),
		counts:        map[Rule]int{},
		checked:       map[Rule]uint64{},
		reported:      map[string]bool{},
	}
}

func (c *ViewChecker) breach(rule Rule, at float64, observer, subject *process, text string) {
	c.counts[rule]++
	if key := fmt.Sprint(rule, observer.id, subject.id); !c.reported[key] && len(c.breaches) < maxBreaches {
		c.reported[key] = true
		c.breaches = append(c.breaches, Breach{
			Rule:   rule,
			At:     at,
			ID:     subject.id,
			Server: subject.pooler,
			Text:   text,
			Proof: []Event{
				{
					At:     subject.started,
					What:   "began",
					Pooler: subject.pooler,
					Server: -1,
				}, {At: subject.ended, What: "ended", Pooler: subject.pooler, Server: -1},
				{
					At:     c.lastFault,
					What:   "last fault",
					Pooler: -1,
					Server: -1,
				}, {At: at, What: text, Pooler: observer.pooler, Server: subject.pooler}},
		})
	}
}

// ProcessStarted records the start of a pooler's process.
func (c *ViewChecker) ProcessStarted(at float64, pooler int, id uint64) {
	p := &process{id: id, pooler: pooler, running: true, started: at, reportedStates: map[uint64]reportedState{}, accusations: map[uint64]bool{}}
	c.processes[pooler], c.byID[id], c.resumedAt[pooler] = p, p, 0
	c.FaultChanged(at)
}

// ProcessEnded records the end of a pooler's process; gracefully means that it announced its leaving.
func (c *ViewChecker) ProcessEnded(at float64, pooler int, gracefully bool) {
	if p := c.processes[pooler]; p != nil {
		p.running, p.ended, p.leftGracefully = false, at, gracefully
		c.processes[pooler] = nil
		c.FaultChanged(at)
	}
}

// SetLossy records that some links start or stop losing messages. Meanwhile there is no bound on detection, only
// on false detection.
func (c *ViewChecker) SetLossy(on bool) {
	if c.lossyFaults--; on {
		c.lossyFaults += 2
	}
}

// Paused records that a pooler's process is paused until the given time.
func (c *ViewChecker) Paused(at float64, pooler int, until float64) {
	c.pausedUntil[pooler], c.resumedAt[pooler] = until, until
	c.FaultChanged(at)
}

// FaultChanged records the start or end of a fault of a link or process.
func (c *ViewChecker) FaultChanged(at float64) {
	c.lastFault, c.diverged = at, true
	old := slices.Clone(c.partitions)
	c.updatePartitions(at)
	for i := range c.partitions {
		if !slices.Equal(partitionMembers(old, i), partitionMembers(c.partitions, i)) {
			c.partitionedAt[i] = at
		}
	}
}

func partitionMembers(parts []int, i int) (out []int) {
	for k, p := range parts {
		if p == parts[i] && p >= 0 {
			out = append(out, k)
		}
	}
	return out
}

// updatePartitions computes which poolers can reach one another, directly or through others. A link must work in both directions.
func (c *ViewChecker) updatePartitions(at float64) {
	for i := range c.partitions {
		c.partitions[i] = -1
	}
	runs := func(i int) bool { return c.processes[i] != nil && at >= c.pausedUntil[i] }
	next := 0
	for i := range c.partitions {
		if c.partitions[i] >= 0 || !runs(i) {
			continue
		}
		c.partitions[i] = next
		for queue := []int{i}; len(queue) > 0; queue = queue[1:] {
			for k := range c.partitions {
				if c.partitions[k] < 0 && runs(k) && !c.cut(queue[0], k) && !c.cut(k, queue[0]) {
					c.partitions[k] = next
					queue = append(queue, k)
				}
			}
		}
		next++
	}
}

// ReportState records that a process's state of another process has changed.
func (c *ViewChecker) ReportState(at float64, observer int, subject uint64, state int, incarnation uint32) {
	c.resumePaused(at)
	from, about := c.processes[observer], c.byID[subject]
	if from == nil || subject == from.id {
		return
	}
	previous, known := from.reportedStates[subject]
	from.reportedStates[subject] = reportedState{state: state, incarnation: incarnation, at: at}
	if about == nil { // reported before ProcessStarted was called for the subject
		return
	}
	change := viewChange{at: at, observer: from, subject: about, state: state, incarnation: incarnation, previous: previous, known: known}
	c.countDetection(&change)
	c.checkAccusation(&change)
	c.checkReturn(&change)
}

// viewChange is a change of one process's state of another.
type viewChange struct {
	at                float64
	observer, subject *process
	state             int
	incarnation       uint32
	previous          reportedState // meaningful if known
	known             bool
}

// runs reports whether a process runs and is not paused.
func (c *ViewChecker) runs(at float64, p *process) bool {
	return p.running && at >= c.pausedUntil[p.pooler]
}

// connected reports whether two processes' poolers are in the same partition.
func (c *ViewChecker) connected(a, b *process) bool {
	return c.partitions[a.pooler] == c.partitions[b.pooler]
}

// countDetection records the time of a true detection, or counts a false one.
func (c *ViewChecker) countDetection(change *viewChange) {
	observer, subject := change.observer, change.subject
	if change.state == viewFailed && !subject.running && (!change.known || change.previous.state < viewFailed) {
		c.DetectionTimes = append(c.DetectionTimes, change.at-max(subject.ended, observer.started))
		return
	}
	if !c.runs(change.at, subject) || !c.connected(subject, observer) {
		return
	}
	switch {
	case change.state == viewFailed:
		c.FalseFailures++
	case change.state == viewSuspect && !observer.accusations[subject.id]:
		c.FalseAccusations++
	}
}

// checkAccusation checks that no pooler accuses a running one, by its own finding, while it is isolated or shortly after a pause.
func (c *ViewChecker) checkAccusation(change *viewChange) {
	at, observer, subject := change.at, change.observer, change.subject
	accuses := change.state == viewSuspect || change.state == viewFailed
	if !c.Exact || !accuses || !c.runs(at, subject) || observer.accusations[subject.id] {
		return
	}
	c.checked[ViewRash]++
	cause := "stood still"
	isolated := c.isolated(observer.pooler)
	if isolated {
		cause = "hears nobody"
	}
	knowsIsolation := isolated && at-c.partitionedAt[observer.pooler] > c.cfg.SelfDetectMs
	if knowsIsolation || c.resumedLately(at, observer.pooler) && c.connected(observer, subject) {
		c.breach(ViewRash, at, observer, subject,
			fmt.Sprintf("pooler %d accuses pooler %d, which runs, though it %s itself", observer.pooler, subject.pooler, cause))
	}
}

// resumedLately reports whether a pooler's pause ended within noAccusationMs.
func (c *ViewChecker) resumedLately(at float64, pooler int) bool {
	return c.resumedAt[pooler] > 0 && at-c.resumedAt[pooler] < noAccusationMs
}

// checkReturn checks that an ended process, once reported as failed, is not reported as running again: never in an incarnation that
// failed before, and not at all once views have settled.
func (c *ViewChecker) checkReturn(change *viewChange) {
	at, subject := change.at, change.subject
	c.checked[ViewNoReturn]++
	returned := change.known && change.previous.state >= viewFailed && change.state < viewFailed
	if !returned || subject.running {
		return
	}
	settled := at-subject.ended > c.cfg.SettleMs && at-c.lastFault > c.cfg.SettleMs
	if change.incarnation <= change.previous.incarnation || settled {
		c.breach(ViewNoReturn, at, change.observer, subject,
			fmt.Sprintf("pooler %d's process, which ended %.0f ms ago, is taken for running again", subject.pooler, at-subject.ended))
	}
}

// noAccusationMs is the least time after a pause in which a pooler must accuse nobody.
const noAccusationMs = 1000

// isolated reports whether no message gets to a pooler from any running one.
func (c *ViewChecker) isolated(i int) bool {
	for k, p := range c.processes {
		if k != i && p != nil && !c.cut(k, i) {
			return false
		}
	}
	return true
}

// AccusationReceived records that a process received an accusation in a message: what it reports next is not its own finding.
func (c *ViewChecker) AccusationReceived(observer int, subject uint64) {
	if o := c.processes[observer]; o != nil {
		o.accusations[subject] = true
	}
}

// MessageProcessed ends the accusations of one message.
func (c *ViewChecker) MessageProcessed(observer int) {
	if o := c.processes[observer]; o != nil {
		clear(o.accusations)
	}
}

// ReportCount records how many poolers a pooler counts as sending.
func (c *ViewChecker) ReportCount(at float64, observer, sending int) {
	if o := c.processes[observer]; o != nil {
		o.sendingCount = sending
	}
}

// resumePaused ends the pauses that are over.
func (c *ViewChecker) resumePaused(at float64) {
	for i, until := range c.pausedUntil {
		if until > 0 && at >= until {
			c.pausedUntil[i] = 0
			c.FaultChanged(at)
		}
	}
}

// Sample compares all views with the true state. It is called periodically.
func (c *ViewChecker) Sample(at float64) {
	c.resumePaused(at)
	sizes := map[int]int{}
	senders, running := 0, 0
	for i, p := range c.processes {
		if p != nil {
			running++
			sizes[c.partitions[i]]++
			if at-p.started > c.cfg.JoinMs {
				senders++
			}
		}
	}
	equal := true
	for i, o := range c.processes {
		if o == nil || c.partitions[i] < 0 {
			continue
		}
		if at-o.started > c.cfg.JoinMs {
			c.checked[ViewSending]++
			if o.sendingCount < senders && at-c.lastFault < c.cfg.CountHoldMs {
				c.breach(ViewSending, at, o, o, fmt.Sprintf("pooler %d counts %d that may be sending, and %d send", i, o.sendingCount, senders))
			}
		}
		for _, s := range c.byID {
			if s != o {
				equal = c.checkPair(at, o, s, sizes, running) && equal
			}
		}
	}
	sinceFault := at - c.lastFault
	if equal && c.diverged {
		c.diverged = false
		c.SettleTimes = append(c.SettleTimes, sinceFault)
	}
}

// Equal reports whether all views were equal and correct at the last sample.
func (c *ViewChecker) Equal() bool { return !c.diverged }

// checkPair compares one process's state of another with the true state, and reports whether it is correct.
func (c *ViewChecker) checkPair(at float64, observer, subject *process, sizes map[int]int, running int) bool {
	reported, known := observer.reportedStates[subject.id]
	reportsFailed := known && reported.state >= viewFailed
	samePartition := subject.running && c.processes[subject.pooler] == subject && c.partitions[subject.pooler] == c.partitions[observer.pooler]
	since := max(c.partitionedAt[observer.pooler], observer.started)
	if samePartition {
		since = max(since, subject.started, c.partitionedAt[subject.pooler])
		if most := 2*sizes[c.partitions[observer.pooler]] > running; most {
			c.checked[ViewAccurate]++
			if reportsFailed && at-max(since, reported.at) > c.cfg.SettleMs {
				c.breach(ViewAccurate, at, observer, subject, fmt.Sprintf("pooler %d calls pooler %d failed, which runs and can be reached", observer.pooler, subject.pooler))
			}
		}
		correct := known && reported.state == viewAlive
		if c.lossyFaults == 0 && at-max(since, c.lastFault) > c.cfg.SettleMs {
			c.checked[ViewSettled]++
			if !correct {
				c.breach(ViewSettled, at, observer, subject, fmt.Sprintf("pooler %d does not take pooler %d for running, %.0f ms after the last fault", observer.pooler, subject.pooler, at-c.lastFault))
			}
		}
		return correct
	}
	if !known || reportsFailed {
		return true
	}
	since = max(since, subject.ended)
	since = max(since, c.lastFault)
	if c.lossyFaults > 0 {
		return false
	}
	if sizes[c.partitions[observer.pooler]] >= 2 {
		c.checked[ViewComplete]++
		if at-since > c.cfg.DetectMs(max(1, c.poolers-sizes[c.partitions[observer.pooler]])) {
			c.breach(ViewComplete, at, observer, subject, fmt.Sprintf("pooler %d has not called pooler %d failed %.0f ms after it could not be reached any more", observer.pooler, subject.pooler, at-since))
		}
		return false
	}
	return true // an isolated observer accuses nobody
}

// Verdict adds the number of checks and the breaches to v.
func (c *ViewChecker) Verdict(v *Verdict) {
	for r, n := range c.checked {
		v.Checked[r] += n
	}
	for r, n := range c.counts {
		v.Broken[r] += n
	}
	v.Breaches = append(v.Breaches, c.breaches...)
}
