package consul

import (
	"fmt"
	"math"
	"net/http"
)

// Query is the next query to an agent.
type Query struct {
	Agent  int     // index into the agents
	Index  uint64  // of the last response; 0 has the agent answer at once
	WaitMs float64 // for which the agent may hold the answer back
}

// Response is the outcome of a query, but for the instances.
type Response struct {
	Status        int // 0 where there was none
	Index         uint64
	Leaderless    bool    // the agent knows no leader
	LastContactMs float64 // since the answering server last heard from its leader
	RetryAfterMs  float64 // that the agent asks for
	Err           error   // there was no response, or it could not be read
}

// Result says what to do with a response.
type Result struct {
	Accepted bool
	AgeMs    float64 // of the accepted instances
	Reason   string  // why it is not accepted, or something else worth a note; empty for nothing
}

// Bounds of the pauses between queries, in milliseconds.
const (
	minBackoffMs         = 200
	maxBackoffMs         = 30000
	maxBackoffDoublings  = 10
	deniedBackoffMs      = 5000
	minQueryIntervalMs   = 50  // between accepted responses: an index may run
	laggingPauseMs       = 500 // before the next query after a response that lags
	maxLaggingResponses  = 4   // an index that is behind so often counts as reset
	noIndexPauseMs       = 1000
	minPauseMs           = 100 // after a failed query that has waited
	immediateTimeoutMs   = 5000
	jitterBelowPart      = 0.2 // a bounded pause is drawn from this last part of its bound
	minJitter, jitterGap = 0.75, 0.5

	// What an agent has must reach the list within notificationDeadlineMs after the agent could be reached, whatever it answered
	// before; the next query takes responseTimeMs of that.
	notificationDeadlineMs = 6000
	responseTimeMs         = 500

	// What a silent query misses must reach the list within 2 s after its wait. A query is given up pollGraceMs after its wait; the pause
	// after it takes minPauseMs, late timers up to 150 ms, and the next response responseTimeMs. Agents add up to a sixteenth of the
	// wait, hence maxWaitMs: 625 ms of pollGraceMs are left to the response itself.
	pollGraceMs = 1250
	maxWaitMs   = 10000
)

// Watch decides how one service is watched over several agents: which agent to query when, and whether to accept the response.
// It does no I/O and has no clock.
type Watch struct {
	waitMs             float64
	maxStaleMs         float64
	random             func() float64
	agents             []agentState
	current            int // the agent to prefer
	index              uint64
	indexAgent         int // the agent that the index is of, -1 for none
	nextQueryAt        float64
	queriedAt          float64 // when the last query is, or was, due
	laggingResponses   int     // in a row
	untrustedResponses int     // in a row, not accepted since other agents may know better
	failures           int     // in a row, over all agents
	unreachable        bool
}

type agentState struct {
	failures     int
	backoffUntil float64
}

// NewWatch returns a watch over so many agents, with queries that wait for waitMs, or maxWaitMs if that is less. Responses of servers
// that last heard from their leader over maxStaleMs ago are not accepted while another agent may know better. random draws from 0 to 1.
func NewWatch(agents int, waitMs, maxStaleMs float64, random func() float64) *Watch {
	return &Watch{
		waitMs:     min(waitMs, maxWaitMs),
		maxStaleMs: maxStaleMs,
		random:     random,
		agents:     make([]agentState, agents),
		current:    int(random()*float64(agents)) % agents,
		indexAgent: -1,
	}
}

// Next returns the next query, and when it is due.
func (w *Watch) Next(now float64) (Query, float64) {
	best, bestAt := w.current, math.Inf(1)
	for i := range w.agents {
		candidate := (w.current + i) % len(w.agents)
		readyAt := max(w.agents[candidate].backoffUntil, w.nextQueryAt, now)
		if readyAt < bestAt {
			best, bestAt = candidate, readyAt
		}
	}
	w.current, w.queriedAt = best, bestAt
	return Query{Agent: best, Index: w.index, WaitMs: w.waitMs}, bestAt
}

// TimeoutMs is how long a response may take. It leaves time to query another agent, should this one be silent.
func (q Query) TimeoutMs() float64 {
	if q.Index == 0 {
		return immediateTimeoutMs
	}
	return q.WaitMs + pollGraceMs
}

// HandleResponse takes the response to a query.
func (w *Watch) HandleResponse(now float64, query Query, response Response) Result {
	if response.Err != nil || response.Status != http.StatusOK {
		return w.handleFailure(now, query, response)
	}
	agent := &w.agents[query.Agent]
	stale := w.isStale(response)
	allUntrusted := w.untrustedResponses >= len(w.agents)-1
	if stale && !allUntrusted {
		return w.rejectStale(now, agent, response)
	}
	*agent = agentState{}
	w.failures, w.unreachable = 0, false
	result := Result{Accepted: true, AgeMs: response.LastContactMs}
	if stale {
		result.Reason = "no agent knows better: it is taken, as old as it is"
		if response.Leaderless {
			result.AgeMs = max(result.AgeMs, w.maxStaleMs+1)
		}
		w.nextQueryAt = now + w.jitter(noIndexPauseMs)
	}
	w.untrustedResponses = 0
	if response.Index >= w.index {
		w.index = response.Index
	} else {
		w.laggingResponses++
		if w.laggingResponses < maxLaggingResponses && query.Agent != w.indexAgent {
			// The other agent may lag; its list would bring back what was removed.
			w.nextQueryAt = now + w.jitter(laggingPauseMs)
			return Result{Reason: fmt.Sprintf("its index is %d, after %d from another agent: it lags, or all began anew", response.Index, w.index)}
		}
		result.Reason = fmt.Sprintf("the index went back from %d to %d", w.index, response.Index)
		w.index = 0
	}
	w.laggingResponses, w.indexAgent = 0, query.Agent
	if response.Index == 0 { // the next query will not block: there must be a pause
		w.index = 0
		w.nextQueryAt = now + w.jitter(noIndexPauseMs)
	}
	w.nextQueryAt = max(w.nextQueryAt, now+minQueryIntervalMs)
	return result
}

// isStale reports whether a response may be older than what other agents have.
func (w *Watch) isStale(response Response) bool {
	return response.Leaderless || w.maxStaleMs > 0 && response.LastContactMs > w.maxStaleMs
}

// rejectStale has another agent queried after a stale response.
func (w *Watch) rejectStale(now float64, agent *agentState, response Response) Result {
	w.untrustedResponses++
	agent.backoffUntil = now + w.jitter(minBackoffMs)
	w.current = (w.current + 1) % len(w.agents)
	reason := "the agent knows no leader"
	if !response.Leaderless {
		reason = fmt.Sprintf("the agent's servers heard of their leader %.1f s ago", response.LastContactMs/msPerSecond)
	}
	return Result{Reason: reason + "; another is asked"}
}

// handleFailure has an agent back off, and the next one queried.
func (w *Watch) handleFailure(now float64, query Query, response Response) Result {
	agent := &w.agents[query.Agent]
	agent.failures++
	w.failures++
	pause := min(maxBackoffMs, minBackoffMs*math.Pow(2, float64(min(agent.failures-1, maxBackoffDoublings))))
	reason := fmt.Sprintf("status %d", response.Status)
	switch {
	case response.Err != nil:
		reason = response.Err.Error()
	case response.Status == http.StatusForbidden:
		reason = "status 403: its token may not read this"
		pause = max(pause, deniedBackoffMs)
	}
	elapsed := now - w.queriedAt
	maxPause := max(minPauseMs, notificationDeadlineMs-responseTimeMs-elapsed)
	if query.Index > 0 && elapsed >= query.TimeoutMs() { // given up without a response
		maxPause = minPauseMs
	}
	agent.backoffUntil = now + min(max(w.jitter(pause), response.RetryAfterMs), w.jitterBelow(maxPause))
	w.current = (w.current + 1) % len(w.agents)
	return Result{Reason: reason}
}

// BecameUnreachable reports, once, that no agent has answered: as many queries as there are agents and one more have failed.
func (w *Watch) BecameUnreachable() bool {
	if w.unreachable || w.failures <= len(w.agents) {
		return false
	}
	w.unreachable = true
	return true
}

// ResetBackoff has all agents queried again at once.
func (w *Watch) ResetBackoff() {
	clear(w.agents)
	w.nextQueryAt = 0
}

// jitterBelow spreads a pause over the last part of its bound.
func (w *Watch) jitterBelow(ms float64) float64 {
	return ms * (1 - jitterBelowPart + jitterBelowPart*w.random())
}

// jitter spreads a pause around its length.
func (w *Watch) jitter(ms float64) float64 { return ms * (minJitter + jitterGap*w.random()) }
