package consul

import (
	"fmt"
	"math"
)

// Query is what an agent is asked next. Times are in milliseconds.
type Query struct {
	Agent int
	Index uint64 // 0 for an answer at once
	Wait  float64
}

// Answer is what came of a query, but for the list in it.
type Answer struct {
	Status     int // 0 where there was none
	Index      uint64
	Leaderless bool    // the agent knows no leader
	Contact    float64 // since the answering server heard of its leader last
	RetryAfter float64 // that the agent asks for
	Err        error   // it could not be had, or not be read whole
}

// Verdict says what is made of an answer.
type Verdict struct {
	Take bool
	Age  float64 // of what is taken
	Why  string  // it is not taken, or something else was noticed; empty for nothing
}

// Bounds of the pauses between queries.
const (
	firstPause   = 200
	mostPause    = 30000
	deniedPause  = 5000
	leastBetween = 50  // between answers that are taken: an index may run
	backPause    = 500 // before an agent that is behind is asked again
	backTimes    = 4   // so often an index may be behind until it counts as set back
	noIndexPause = 1000

	// What an agent has counts as told toldLate after it could be reached, whatever it answered to the call before. That call may have
	// been under way for a while then, and the next one takes answerTime.
	toldLate   = 6000
	answerTime = 500
	leastPause = 100 // after a poll that has waited

	// What a silent poll missed counts as told 2 s after the wait that it asked for is over. It is given up pollPatience after its wait; of the
	// rest the pause takes leastPause, timers that are late 150 ms, and answerTime is left to the next one. Consul adds up to a sixteenth of
	// the wait: no poll asks for more than mostWait, so that 625 ms of pollPatience are left to an answer that is held back as long as may be.
	pollPatience = 1250
	mostWait     = 10000
)

// Watch decides how one service is watched over several agents: whom to ask what and when, and what to make of the
// answer. It does no I/O and has no clock.
type Watch struct {
	wait     float64
	maxStale float64
	random   func() float64
	agents   []agentState
	at       int
	index    uint64
	from     int // the agent that the index is of
	next     float64
	asked    float64 // the last query is, or was
	behind   int     // answers in a row whose index was behind
	poor     int     // answers in a row that were not taken as others may know better
	fails    int     // in a row, of any agent
	lost     bool
}

type agentState struct {
	fails int
	until float64 // it is left alone until then
}

// NewWatch makes a watch over so many agents, whose polls wait for waitMs, or mostWait if that is less. random draws from 0 to 1.
func NewWatch(agents int, waitMs, maxStaleMs float64, random func() float64) *Watch {
	return &Watch{wait: min(waitMs, mostWait), maxStale: maxStaleMs, random: random, agents: make([]agentState, agents), at: int(random()*float64(agents)) % agents, from: -1}
}

// Next is what to ask next, and when.
func (w *Watch) Next(now float64) (Query, float64) {
	best, at := w.at, math.Inf(1)
	for i := range w.agents {
		k := (w.at + i) % len(w.agents)
		if t := max(w.agents[k].until, w.next, now); t < at {
			best, at = k, t
		}
	}
	w.at, w.asked = best, at
	return Query{Agent: best, Index: w.index, Wait: w.wait}, at
}

// Patience is how long an answer to a query may take. What a silent one misses counts as told 2 s after the wait that it asked for, or
// after 6 s where it may not wait, and by then another has to be asked and to have answered.
func (q Query) Patience() float64 {
	if q.Index == 0 {
		return 5000
	}
	return q.Wait + pollPatience
}

// Answered takes the answer to a query.
func (w *Watch) Answered(now float64, q Query, a Answer) Verdict {
	s := &w.agents[q.Agent]
	switch {
	case a.Err != nil || a.Status != 200:
		return w.failed(now, s, q, a)
	case (a.Leaderless || w.maxStale > 0 && a.Contact > w.maxStale) && w.poor < len(w.agents)-1:
		w.poor++
		why := "the agent knows no leader"
		if !a.Leaderless {
			why = fmt.Sprintf("the agent's servers heard of their leader %.1f s ago", a.Contact/1000)
		}
		s.until = now + w.jitter(firstPause)
		w.at++
		w.at %= len(w.agents)
		return Verdict{Why: why + "; another is asked"}
	}
	s.fails, s.until, w.fails, w.lost = 0, 0, 0, false
	v := Verdict{Take: true, Age: a.Contact}
	if w.poor >= len(w.agents)-1 && (a.Leaderless || w.maxStale > 0 && a.Contact > w.maxStale) {
		v.Why = "no agent knows better: it is taken, as old as it is"
		if a.Leaderless {
			v.Age = max(v.Age, w.maxStale+1)
		}
		w.next = now + w.jitter(noIndexPause)
	}
	w.poor = 0
	if a.Index < w.index {
		if w.behind++; w.behind < backTimes && q.Agent != w.from {
			// Another agent may lag; a list from before would bring back what has gone.
			w.next = now + w.jitter(backPause)
			return Verdict{Why: fmt.Sprintf("its index is %d, after %d from another agent: it lags, or all began anew", a.Index, w.index)}
		}
		v.Why = fmt.Sprintf("the index went back from %d to %d", w.index, a.Index)
		w.index = 0
		w.next = max(w.next, now+leastBetween)
	} else {
		w.index = a.Index
	}
	if w.behind, w.from = 0, q.Agent; a.Index == 0 {
		w.index = 0
		w.next = now + w.jitter(noIndexPause) // it does not block: it must not be asked without end
	}
	w.next = max(w.next, now+leastBetween)
	return v
}

// failed puts an agent off, and goes to the next.
func (w *Watch) failed(now float64, s *agentState, q Query, a Answer) Verdict {
	s.fails++
	w.fails++
	pause := min(mostPause, firstPause*math.Pow(2, float64(min(s.fails-1, 10))))
	why := fmt.Sprintf("status %d", a.Status)
	switch {
	case a.Err != nil:
		why = a.Err.Error()
	case a.Status == 403:
		why, pause = "status 403: its token may not read this", max(pause, deniedPause)
	}
	most := max(leastPause, toldLate-answerTime-(now-w.asked))
	if q.Index > 0 && now-w.asked >= q.Patience() { // silent: it was given up, however short its wait
		most = leastPause
	}
	s.until = now + min(max(w.jitter(pause), a.RetryAfter), w.under(most))
	w.at = (w.at + 1) % len(w.agents)
	return Verdict{Why: why}
}

// Lost tells, once, that no agent answered for as many queries as there are agents, and one more.
func (w *Watch) Lost() bool {
	if w.lost || w.fails <= len(w.agents) {
		return false
	}
	w.lost = true
	return true
}

// Again has all agents asked anew: what kept them from answering may be mended.
func (w *Watch) Again() {
	for i := range w.agents {
		w.agents[i] = agentState{}
	}
	w.next = 0
}

// under spreads a pause up to a bound, over its last fifth.
func (w *Watch) under(ms float64) float64 { return ms * (0.8 + 0.2*w.random()) }

// jitter spreads a pause from three quarters of it to five.
func (w *Watch) jitter(ms float64) float64 { return ms * (0.75 + 0.5*w.random()) }
