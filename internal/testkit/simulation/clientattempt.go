package simulation

import (
	"math"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/testkit/clients"
)

// requestSource draws the clients' requests and schedules each at its time.
type requestSource struct{ sim *Simulation }

// Fire implements model.Event.
func (d requestSource) Fire(uint64) {
	sim := d.sim
	a, ok := sim.planner.Next()
	if !ok {
		sim.allRequestsDrawn = true
		return
	}
	sim.openRequests++
	sim.requests++
	x := &clientRequest{sim: sim, Request: a}
	sim.sched.at(max(sim.sched.now, startTimeMs+a.At), x, 0)
	sim.sched.at(startTimeMs+sim.planner.DrawnUntil(), d, 0)
}

// clientRequest is a client's request with its retries.
type clientRequest struct {
	clients.Request
	sim         *Simulation
	attemptNo   int
	firstSentAt float64
}

// Fire implements model.Event: it starts the next attempt of the client.
func (a *clientRequest) Fire(uint64) {
	sim := a.sim
	v := &clientAttempt{
		sim:     sim,
		request: a,
		class:   &sim.script.Clients.Classes[a.Class],
		number:  a.attemptNo,
		id:      uint64(a.No)<<8 | uint64(a.attemptNo),
		sentAt:  sim.sched.now,
	}
	v.name = strconv.FormatUint(v.id, 16)
	sim.clientAttempts++
	if a.firstSentAt == 0 {
		a.firstSentAt = sim.sched.now
	}
	if v.class.Read == clients.Write {
		v.version = sim.sessions.Write(&a.Request, v.class)
		v.value = clients.Value(a.Key, v.version)
	}
	if v.class.Read == clients.ReadSession {
		v.minPosition = math.Ceil(sim.sessions.Committed(a.Key))
	}
	v.connect(sim.homePooler(a), 0)
}

// homePooler returns the index of the pooler that a request goes to first: its session's, unless the client configuration directs it to
// another.
func (sim *Simulation) homePooler(a *clientRequest) int {
	return sim.script.Clients.Home(&a.Request, len(sim.poolers))
}

// clientAttempt is a client's attempt of a request at a pooler. It implements platform.Client, and backend.Query for the attempts of the
// pooler.
type clientAttempt struct {
	sim         *Simulation
	request     *clientRequest
	class       *clients.Class
	pooler      *pooler
	incarnation uint32
	ref         slotmap.Ref
	number      int
	id          uint64
	name        string
	value       []byte // of a write
	version     uint64
	minPosition float64
	sentAt      float64
	submitted   bool // to the core
	answered    bool // the pooler has answered it, or its client has disconnected
	ended       bool
	kind        clients.Kind
	retryMs     float64
	answer      []byte
	extra       bool
	late        bool
	shard       *shardRead // set if this is the read of a shard for a page; nil for a client's own attempt

	sentOnce         bool // the pooler has sent an attempt for it
	acceptedAttempts int  // number of the pooler's attempts that servers accepted

	executedMs float64 // execution time at servers
}

// The kinds of a client attempt's events.
const (
	requestArrives = iota + 1
	answerArrives
	connectionBreaks
	deadlinePasses    // its client's deadline passes; the client waits LateAnswerWaitMs more for a late answer
	clientDisconnects // the end of that wait
	clientTriesNextPooler
)

// balancerDetectionMs is the time for which the clients' load balancer avoids a pooler that has refused a connection.
const balancerDetectionMs = 500

// connect sends the attempt to the first pooler, from the home pooler on, that the load balancer does not avoid. If that pooler is
// down, it refuses the connection and the next one is tried.
func (v *clientAttempt) connect(home, tried int) {
	sim := v.sim
	for ; tried < len(sim.poolers); tried++ {
		n := (home + tried) % len(sim.poolers)
		if k := len(sim.script.Sites); sim.script.PreferOwnSite && k > 0 { // the poolers of the home pooler's site first
			n = sim.nearest(home, tried, k)
		}
		if sim.sched.now < sim.avoidUntil[n] {
			continue
		}
		p := sim.poolers[n]
		if !p.up { // it refuses the connection at once
			sim.avoidUntil[n] = sim.sched.now + balancerDetectionMs
			sim.sched.After(sim.linkDelay()+sim.linkDelay(), v, uint64(clientTriesNextPooler)|uint64(home)<<8|uint64(tried+1)<<32)
			return
		}
		v.pooler, v.incarnation = p, p.incarnation
		sim.sched.After(sim.linkDelay(), v, requestArrives)
		sim.sched.at(v.sentAt+v.request.Patience, v, deadlinePasses)
		return
	}
	v.finish(clients.NotConnected)
}

// nearest returns the pooler to try after the given number of others: first those of the home pooler's site, then the rest.
func (sim *Simulation) nearest(home, tried, sites int) int {
	all := len(sim.poolers)
	own := (all - home%sites + sites - 1) / sites
	if tried < own {
		return (home/sites+tried)%own*sites + home%sites
	}
	n := tried - own
	for i := range all {
		if p := (home + i) % all; p%sites != home%sites {
			if n == 0 {
				return p
			}
			n--
		}
	}
	return home
}

// Fire implements model.Event.
func (v *clientAttempt) Fire(arg uint64) {
	sim := v.sim
	switch what := arg & 0xff; what {
	case clientTriesNextPooler:
		v.connect(int(arg>>8&0xffffff), int(arg>>32))
	case requestArrives:
		if v.pooler.incarnation != v.incarnation || !v.pooler.up {
			sim.sched.After(sim.linkDelay(), v, connectionBreaks)
			return
		}
		v.pooler.clientAttempts[v] = true
		left := max(1, math.Floor(v.sentAt+v.request.Patience-sim.sched.now))
		due := sim.sched.now + left
		sim.check.Received(sim.sched.now, v.id, v.request.Class, v.pooler.no, due, v.minPosition)
		if sim.blackouts != nil {
			sim.blackouts.RequestReceived(v.request.Group)
		}
		if v.class.KeyMs > 0 {
			sim.check.Keyed(v.id, v.request.Tag)
		}
		sim.check.LoadReceived(sim.sched.now, v.id, v.request.Class, v.request.Group, sim.script.Clients.TenantOf(&v.request.Request), v.number > 0)
		if sim.script.Limits != nil {
			sim.check.Tenant(sim.sched.now, v.id, sim.script.Clients.TenantOf(&v.request.Request))
		}
		v.pooler.whenRunning(v.incarnation, func() { v.submit(due) })
	case answerArrives:
		if v.ended {
			return
		}
		kind := string(v.kind)
		sim.check.Answered(sim.sched.now, v.id, kind, v.kind == clients.Served, hashOf(v.answer))
		v.finish(v.kind)
	case connectionBreaks:
		if !v.ended {
			v.finish(clients.Broken)
		}
	case deadlinePasses:
		if !v.ended {
			v.late = true
			sim.sched.After(sim.script.Clients.LateAnswerWaitMs, v, clientDisconnects)
		}
	case clientDisconnects:
		if !v.ended {
			sim.check.Abandoned(sim.sched.now, v.id, "its client closed its connection, long after its time")
			if v.submitted && v.pooler.incarnation == v.incarnation && !v.answered {
				v.answered = true
				v.pooler.core.Abandon(v.ref)
			}
			v.finish(clients.Unanswered)
		}
	}
}

// submit submits the request to the pooler's core.
func (v *clientAttempt) submit(due float64) {
	a := v.request
	q := platform.Request{
		ID:          v.name,
		Class:       v.class.Name,
		Group:       a.Group,
		Session:     a.Key,
		Deadline:    due,
		MinPosition: v.minPosition,
		IsRetry:     v.number > 0,
		Writes:      v.class.Read == clients.Write && !v.sim.script.Clients.ClickHouse,
		Query:       v,
		Tenant:      v.sim.script.Clients.TenantOf(&a.Request),
	}
	if v.class.KeyMs > 0 {
		q.IdempotencyKey = a.IdempotencyKey()
	}
	ref, err := v.pooler.core.Submit(q, v)
	if err != nil {
		v.Failed()
		return
	}
	v.ref, v.submitted = ref, true
}

// AppendQuery implements backend.Query. The model's jobs have no text.
func (v *clientAttempt) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served implements platform.Client.
func (v *clientAttempt) Served(answer []byte) {
	v.answer = append([]byte(nil), answer...)
	v.finishWith(clients.Served, 0)
}

// Rejected implements platform.Client.
func (v *clientAttempt) Rejected(retryMs float64) { v.finishWith(clients.Refused, retryMs) }

// Failed implements platform.Client.
func (v *clientAttempt) Failed() { v.finishWith(clients.Failed, 0) }

func (v *clientAttempt) finishWith(kind clients.Kind, wait float64) {
	sim := v.sim
	if m := sim.options.Mutant; m != nil && m.Answer != nil && !m.Answer(sim, v, kind) {
		return
	}
	v.answered = true
	delete(v.pooler.clientAttempts, v)
	v.kind, v.retryMs = kind, wait
	sim.sched.After(sim.linkDelay(), v, answerArrives)
}

// finish ends an attempt of a client. It schedules the client's next attempt unless the request was served or has no retry left.
func (v *clientAttempt) finish(kind clients.Kind) {
	sim, a := v.sim, v.request
	v.ended = true
	if v.pooler != nil {
		delete(v.pooler.clientAttempts, v)
	}
	t := &clients.Attempt{
		Request:     &a.Request,
		Class:       v.class,
		No:          v.number,
		ID:          v.name,
		Pooler:      -1,
		First:       a.firstSentAt,
		Sent:        v.sentAt,
		Ended:       sim.sched.now,
		Kind:        kind,
		Late:        v.late,
		Extra:       v.extra,
		Value:       v.answer,
		WriteNumber: v.version,
		After:       v.minPosition,
	}
	if v.pooler != nil {
		t.Pooler = v.pooler.no
	}
	if kind == clients.Served {
		sim.sessions.Served(t)
		sim.latencies.add(t.Ended - a.firstSentAt)
	}
	sim.sched.mix(v.id, uint64(len(kind))<<32|uint64(t.Pooler+1))
	sim.scores.AttemptEnded(t)
	sim.coreTime.attemptEnded(v, t)
	if sim.funds != nil {
		sim.funds.attemptEnded(t)
	}
	if sim.options.OnAttemptEnded != nil {
		t.Tenant = sim.script.Clients.TenantOf(&a.Request)
		sim.options.OnAttemptEnded(t)
	}
	if kind == clients.Served || v.number == len(a.RetryWaits) {
		if kind != clients.Served {
			sim.lostWeight[string(kind)] += v.class.Worth
		} else if t.Ended-a.firstSentAt > v.class.Aim {
			sim.lostWeight["late"] += v.class.Worth * (1 - v.class.LateWorth)
		}
		sim.openRequests--
		return
	}
	a.attemptNo++
	wait := v.retryMs
	if kind != clients.Refused || wait <= 0 {
		wait = a.RetryWaits[v.number]
	}
	sim.sched.After(wait, a, 0)
}

// latencies is a histogram of the latencies of served requests, in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() *latencies { return &latencies{hdrhistogram.New(1, 600_000_000, 2)} }

func (t *latencies) add(ms float64) { _ = t.h.RecordValue(int64(min(max(1, ms*1000), 600_000_000))) }

func (t *latencies) quantile(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
