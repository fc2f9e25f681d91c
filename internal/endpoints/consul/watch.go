package consul

import (
	"fmt"
	"math"
)

// Query is what an agent is asked next. Times are in milliseconds.
type Query struct {
	Agent  int
	Index  uint64 // 0 for an answer at once
	WaitMs float64
}

// Response is what came of a query, but for the list in it.
type Response struct {
	Status        int // 0 where there was none
	Index         uint64
	Leaderless    bool    // the agent knows no leader
	LastContactMs float64 // since the answering server heard of its leader last
	RetryAfterMs  float64 // that the agent asks for
	Err           error   // it could not be had, or not be read whole
}

// Result says what is made of an answer.
type Result struct {
	Accepted bool
	AgeMs    float64 // of what is taken
	Reason   string  // it is not taken, or something else was noticed; empty for nothing
}

// Bounds of the pauses between queries.
const (
	minBackoffMs        = 200
	maxBackoffMs        = 30000
	deniedBackoffMs     = 5000
	minQueryIntervalMs  = 50  // between answers that are taken: an index may run
	laggingPauseMs      = 500 // before an agent that is behind is asked again
	maxLaggingResponses = 4   // so often an index may be behind until it counts as set back
	noIndexPauseMs      = 1000

	// What an agent has counts as told notificationDeadlineMs after it could be reached, whatever it answered to the call before. That call may have
	// been under way for a while then, and the next one takes responseTimeMs.
	notificationDeadlineMs = 6000
	responseTimeMs         = 500
	minPauseMs             = 100 // after a poll that has waited

	// What a silent poll missed counts as told 2 s after the wait that it asked for is over. It is given up pollGraceMs after its wait; of the
	// rest the pause takes minPauseMs, timers that are late 150 ms, and responseTimeMs is left to the next one. Consul adds up to a sixteenth of
	// the wait: no poll asks for more than maxWaitMs, so that 625 ms of pollGraceMs are left to an answer that is held back as long as may be.
	pollGraceMs = 1250
	maxWaitMs   = 10000
)

// Watch decides how one service is watched over several agents: whom to ask what and when, and what to make of the
// answer. It does no I/O and has no clock.
type Watch struct {
	waitMs             float64
	maxStaleMs         float64
	random             func() float64
	agents             []agentState
	current            int
	index              uint64
	indexAgent         int // the agent that the index is of
	nextQueryAt        float64
	queriedAt          float64 // the last query is, or was
	laggingResponses   int     // answers in a row whose index was behind
	untrustedResponses int     // answers in a row that were not taken as others may know better
	failures           int     // in a row, of any agent
	unreachable        bool
}

type agentState struct {
	failures     int
	backoffUntil float64 // it is left alone until then
}

// NewWatch makes a watch over so many agents, whose polls wait for waitMs, or maxWaitMs if that is less. random draws from 0 to 1.
func NewWatch(agents int, waitMs, maxStaleMs float64, random func() float64) *Watch {
	return &Watch{waitMs: min(waitMs, maxWaitMs), maxStaleMs: maxStaleMs, random: random, agents: make([]agentState, agents), current: int(random()*float64(agents)) % agents, indexAgent: -1}
}

// Next is what to ask next, and when.
func (w *Watch) Next(now float64) (Query, float64) {
	best, bestAt := w.current, math.Inf(1)
	for i := range w.agents {
		candidate := (w.current + i) % len(w.agents)
		if readyAt := max(w.agents[candidate].backoffUntil, w.nextQueryAt, now); readyAt < bestAt {
			best, bestAt = candidate, readyAt
		}
	}
	w.current, w.queriedAt = best, bestAt
	return Query{Agent: best, Index: w.index, WaitMs: w.waitMs}, bestAt
}

// TimeoutMs is how long an answer to a query may take. What a silent one misses counts as told 2 s after the wait that it asked for, or
// after 6 s where it may not wait, and by then another has to be asked and to have answered.
func (q Query) TimeoutMs() float64 {
	if q.Index == 0 {
		return 5000
	}
	return q.WaitMs + pollGraceMs
}

// HandleResponse takes the answer to a query.
func (w *Watch) HandleResponse(now float64, query Query, response Response) Result {
	agent := &w.agents[query.Agent]
	switch {
	case response.Err != nil || response.Status != 200:
		return w.handleFailure(now, agent, query, response)
	case (response.Leaderless || w.maxStaleMs > 0 && response.LastContactMs > w.maxStaleMs) && w.untrustedResponses < len(w.agents)-1:
		w.untrustedResponses++
		reason := "the agent knows no leader"
		if !response.Leaderless {
			reason = fmt.Sprintf("the agent's servers heard of their leader %.1f s ago", response.LastContactMs/1000)
		}
		agent.backoffUntil = now + w.jitter(minBackoffMs)
		w.current++
		w.current %= len(w.agents)
		return Result{Reason: reason + "; another is asked"}
	}
	agent.failures, agent.backoffUntil, w.failures, w.unreachable = 0, 0, 0, false
	result := Result{Accepted: true, AgeMs: response.LastContactMs}
	if w.untrustedResponses >= len(w.agents)-1 && (response.Leaderless || w.maxStaleMs > 0 && response.LastContactMs > w.maxStaleMs) {
		result.Reason = "no agent knows better: it is taken, as old as it is"
		if response.Leaderless {
			result.AgeMs = max(result.AgeMs, w.maxStaleMs+1)
		}
		w.nextQueryAt = now + w.jitter(noIndexPauseMs)
	}
	w.untrustedResponses = 0
	if response.Index < w.index {
		if w.laggingResponses++; w.laggingResponses < maxLaggingResponses && query.Agent != w.indexAgent {
			// Another agent may lag; a list from before would bring back what has gone.
			w.nextQueryAt = now + w.jitter(laggingPauseMs)
			return Result{Reason: fmt.Sprintf("its index is %d, after %d from another agent: it lags, or all began anew", response.Index, w.index)}
		}
		result.Reason = fmt.Sprintf("the index went back from %d to %d", w.index, response.Index)
		w.index = 0
		w.nextQueryAt = max(w.nextQueryAt, now+minQueryIntervalMs)
	} else {
		w.index = response.Index
	}
	if w.laggingResponses, w.indexAgent = 0, query.Agent; response.Index == 0 {
		w.index = 0
		w.nextQueryAt = now + w.jitter(noIndexPauseMs) // it does not block: it must not be asked without end
	}
	w.nextQueryAt = max(w.nextQueryAt, now+minQueryIntervalMs)
	return result
}

// handleFailure puts an agent off, and goes to the next.
func (w *Watch) handleFailure(now float64, agent *agentState, query Query, response Response) Result {
	agent.failures++
	w.failures++
	pause := min(maxBackoffMs, minBackoffMs*math.Pow(2, float64(min(agent.failures-1, 10))))
	reason := fmt.Sprintf("status %d", response.Status)
	switch {
	case response.Err != nil:
		reason = response.Err.Error()
	case response.Status == 403:
		reason, pause = "status 403: its token may not read this", max(pause, deniedBackoffMs)
	}
	maxPause := max(minPauseMs, notificationDeadlineMs-responseTimeMs-(now-w.queriedAt))
	if query.Index > 0 && now-w.queriedAt >= query.TimeoutMs() { // silent: it was given up, however short its wait
		maxPause = minPauseMs
	}
	agent.backoffUntil = now + min(max(w.jitter(pause), response.RetryAfterMs), w.jitterBelow(maxPause))
	w.current = (w.current + 1) % len(w.agents)
	return Result{Reason: reason}
}

// BecameUnreachable tells, once, that no agent answered for as many queries as there are agents, and one more.
func (w *Watch) BecameUnreachable() bool {
	if w.unreachable || w.failures <= len(w.agents) {
		return false
	}
	w.unreachable = true
	return true
}

// ResetBackoff has all agents asked anew: what kept them from answering may be mended.
func (w *Watch) ResetBackoff() {
	for i := range w.agents {
		w.agents[i] = agentState{}
	}
	w.nextQueryAt = 0
}

// jitterBelow spreads a pause up to a bound, over its last fifth.
func (w *Watch) jitterBelow(ms float64) float64 { return ms * (0.8 + 0.2*w.random()) }

// jitter spreads a pause from three quarters of it to five.
func (w *Watch) jitter(ms float64) float64 { return ms * (0.75 + 0.5*w.random()) }
