package consul

import (
	"fmt"
	"math"
	"net/http"
)

// Query is the next query to an agent.
type Query struct {
	Agent  int     // position in the list of agents
	Index  uint64  // X-Consul-Index of the last response; with 0 the agent answers at once
	WaitMs float64 // how long the agent may delay its answer to a blocking query
}

// Response is the outcome of a query, without the instances.
type Response struct {
	Status        int // HTTP status; 0 if there was no response
	Index         uint64
	Leaderless    bool    // the answering server knows no leader
	LastContactMs float64 // time since the answering server last heard from its leader
	RetryAfterMs  float64 // pause that the agent asks for
	Err           error   // why there was no response, or why it could not be read
}

// Result is the decision on a response.
type Result struct {
	Accepted bool    // the instances of the response are to be used
	AgeMs    float64 // of the accepted instances
	Reason   string  // why the response is rejected, or a remark on an accepted one; may be empty
}

// Bounds of the pauses between queries and of the queries themselves, in milliseconds.
const (
	minBackoffMs           = 200
	maxBackoffMs           = 30000
	maxBackoffDoublings    = 10
	deniedBackoffMs        = 5000      // minimum backoff after status 403
	minQueryIntervalMs     = 50        // after an accepted response, as an index may advance continuously
	laggingPauseMs         = 500       // after a response whose index is behind
	maxLaggingResponses    = 4         // number of responses in a row with a lower index that count as a reset of the index
	noIndexPauseMs         = 1000      // after a response without an index, or a stale one that was accepted
	minPauseBoundMs        = 100       // lowest upper bound of a pause, which applies after a query that timed out
	immediateTimeoutMs     = 5000      // of a query that does not block
	boundedJitterFraction  = 0.2       // a pause with an upper bound is drawn from this last fraction of the bound
	minJitter, jitterRange = 0.75, 0.5 // other pauses are multiplied by 0.75 to 1.25

	// An agent's current instances must reach the list within notificationDeadlineMs after the agent became reachable, whatever it
	// answered before. Of that time, responseTimeMs are reserved for the response to the next query.
	notificationDeadlineMs = 6000
	responseTimeMs         = 500

	// Changes that are missed by an unanswered query must reach the list within 2 s after its wait. A query times out pollGraceMs
	// after its wait; the pause after it takes up to minPauseBoundMs, late timers up to 150 ms, and the next response responseTimeMs.
	// Agents extend the wait by up to a sixteenth. maxWaitMs keeps that to 625 ms, so that 625 ms of pollGraceMs are left for the
	// response itself.
	pollGraceMs = 1250
	maxWaitMs   = 10000
)

// Watch decides how one service is watched over several agents: which agent to query and when, and whether to accept the response.
// It does no I/O and reads no clock.
type Watch struct {
	waitMs           float64
	maxStaleMs       float64
	random           func() float64
	agents           []agentState
	current          int     // position of the preferred agent
	index            uint64  // for the next query
	indexAgent       int     // position of the agent that sent the last accepted index, -1 for none
	nextQueryAt      float64 // earliest time of the next query, for all agents
	queriedAt        float64 // when the last query was due
	laggingResponses int     // responses in a row with a lower index
	staleResponses   int     // stale responses in a row that were rejected
	failures         int     // failed queries in a row, over all agents
	unreachable      bool    // BecameUnreachable has reported that no agent answers
}

type agentState struct {
	failures     int
	backoffUntil float64
}

// NewWatch returns a watch over the given number of agents. Its blocking queries wait for waitMs, or for maxWaitMs if that is less.
// Responses of servers that last heard from their leader over maxStaleMs ago are not accepted while another agent may have newer data.
// random returns a number from 0 to 1.
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

// TimeoutMs is how long a response may take. It leaves time to query another agent if this one does not answer.
func (q Query) TimeoutMs() float64 {
	if q.Index == 0 {
		return immediateTimeoutMs
	}
	return q.WaitMs + pollGraceMs
}

// HandleResponse decides on the response to a query, and updates the state from which Next makes the next query.
func (w *Watch) HandleResponse(now float64, query Query, response Response) Result {
	if response.Err != nil || response.Status != http.StatusOK {
		return w.handleFailure(now, query, response)
	}
	agent := &w.agents[query.Agent]
	stale := w.isStale(response)
	allOthersStale := w.staleResponses >= len(w.agents)-1
	if stale && !allOthersStale {
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
	w.staleResponses = 0
	if response.Index >= w.index {
		w.index = response.Index
	} else {
		w.laggingResponses++
		if w.laggingResponses < maxLaggingResponses && query.Agent != w.indexAgent {
			// This agent may lag behind the one that sent the index; its list would bring back removed instances.
			w.nextQueryAt = now + w.jitter(laggingPauseMs)
			return Result{Reason: fmt.Sprintf("its index is %d, after %d from another agent: it lags, or all began anew", response.Index, w.index)}
		}
		result.Reason = fmt.Sprintf("the index went back from %d to %d", w.index, response.Index)
		w.index = 0
	}
	w.laggingResponses, w.indexAgent = 0, query.Agent
	if response.Index == 0 { // the next query does not block, so there must be a pause
		w.index = 0
		w.nextQueryAt = now + w.jitter(noIndexPauseMs)
	}
	w.nextQueryAt = max(w.nextQueryAt, now+minQueryIntervalMs)
	return result
}

// isStale reports whether other agents may have newer data than a response.
func (w *Watch) isStale(response Response) bool {
	return response.Leaderless || w.maxStaleMs > 0 && response.LastContactMs > w.maxStaleMs
}

// rejectStale rejects a stale response, and switches to the next agent.
func (w *Watch) rejectStale(now float64, agent *agentState, response Response) Result {
	w.staleResponses++
	agent.backoffUntil = now + w.jitter(minBackoffMs)
	w.current = (w.current + 1) % len(w.agents)
	reason := "the agent knows no leader"
	if !response.Leaderless {
		reason = fmt.Sprintf("the agent's servers heard of their leader %.1f s ago", response.LastContactMs/msPerSecond)
	}
	return Result{Reason: reason + "; another is asked"}
}

// handleFailure lets an agent back off, and switches to the next one.
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
	maxPause := max(minPauseBoundMs, notificationDeadlineMs-responseTimeMs-elapsed)
	if query.Index > 0 && elapsed >= query.TimeoutMs() { // timed out without a response
		maxPause = minPauseBoundMs
	}
	agent.backoffUntil = now + min(max(w.jitter(pause), response.RetryAfterMs), w.jitterBelow(maxPause))
	w.current = (w.current + 1) % len(w.agents)
	return Result{Reason: reason}
}

// BecameUnreachable reports, once, that no agent answers: more queries in a row have failed than there are agents.
func (w *Watch) BecameUnreachable() bool {
	if w.unreachable || w.failures <= len(w.agents) {
		return false
	}
	w.unreachable = true
	return true
}

// ResetBackoff ends all pauses, so that the next query is due at once.
func (w *Watch) ResetBackoff() {
	clear(w.agents)
	w.nextQueryAt = 0
}

// jitterBelow draws a pause from the last fraction of its upper bound.
func (w *Watch) jitterBelow(ms float64) float64 {
	return ms * (1 - boundedJitterFraction + boundedJitterFraction*w.random())
}

// jitter spreads a pause around the given length.
func (w *Watch) jitter(ms float64) float64 { return ms * (minJitter + jitterRange*w.random()) }
