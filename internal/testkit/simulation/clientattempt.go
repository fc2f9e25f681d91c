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
func (s requestSource) Fire(uint64) {
	sim := s.sim
	request, ok := sim.planner.Next()
	if !ok {
		sim.allRequestsDrawn = true
		return
	}
	sim.openRequests++
	sim.requests++
	r := &clientRequest{sim: sim, Request: request}
	sim.sched.at(max(sim.sched.now, startTimeMs+request.At), r, 0)
	sim.sched.at(startTimeMs+sim.planner.DrawnUntil(), s, 0)
}

// clientRequest is a client's request with its retries.
type clientRequest struct {
	clients.Request
	sim         *Simulation
	attemptNo   int
	firstSentAt float64
}

// Fire implements model.Event: it starts the next attempt of the client.
func (r *clientRequest) Fire(uint64) {
	sim := r.sim
	ca := &clientAttempt{
		sim:     sim,
		request: r,
		class:   &sim.script.Clients.Classes[r.Class],
		number:  r.attemptNo,
		id:      uint64(r.No)<<8 | uint64(r.attemptNo),
		sentAt:  sim.sched.now,
	}
	ca.name = strconv.FormatUint(ca.id, 16)
	sim.clientAttempts++
	if r.firstSentAt == 0 {
		r.firstSentAt = sim.sched.now
	}
	if ca.class.Read == clients.Write {
		ca.version = sim.sessions.Write(&r.Request, ca.class)
		ca.value = clients.Value(r.Key, ca.version)
	}
	if ca.class.Read == clients.ReadSession {
		ca.minPosition = math.Ceil(sim.sessions.Committed(r.Key))
	}
	ca.connect(sim.homePooler(r), 0)
}

// homePooler returns the index of the pooler that a request goes to first: its session's, unless the client configuration directs it to
// another.
func (sim *Simulation) homePooler(r *clientRequest) int {
	return sim.script.Clients.Home(&r.Request, len(sim.poolers))
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
func (ca *clientAttempt) connect(home, tried int) {
	sim := ca.sim
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
			sim.sched.After(sim.linkDelay()+sim.linkDelay(), ca, uint64(clientTriesNextPooler)|uint64(home)<<8|uint64(tried+1)<<32)
			return
		}
		ca.pooler, ca.incarnation = p, p.incarnation
		sim.sched.After(sim.linkDelay(), ca, requestArrives)
		sim.sched.at(ca.sentAt+ca.request.Patience, ca, deadlinePasses)
		return
	}
	ca.finish(clients.NotConnected)
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
func (ca *clientAttempt) Fire(arg uint64) {
	sim := ca.sim
	switch what := arg & 0xff; what {
	case clientTriesNextPooler:
		ca.connect(int(arg>>8&0xffffff), int(arg>>32))
	case requestArrives:
		if ca.pooler.incarnation != ca.incarnation || !ca.pooler.up {
			sim.sched.After(sim.linkDelay(), ca, connectionBreaks)
			return
		}
		ca.pooler.clientAttempts[ca] = true
		left := max(1, math.Floor(ca.sentAt+ca.request.Patience-sim.sched.now))
		due := sim.sched.now + left
		sim.check.Received(sim.sched.now, ca.id, ca.request.Class, ca.pooler.no, due, ca.minPosition)
		if sim.blackouts != nil {
			sim.blackouts.RequestReceived(ca.request.Group)
		}
		if ca.class.KeyMs > 0 {
			sim.check.Keyed(ca.id, ca.request.Tag)
		}
		sim.check.LoadReceived(sim.sched.now, ca.id, ca.request.Class, ca.request.Group, sim.script.Clients.TenantOf(&ca.request.Request), ca.number > 0)
		if sim.script.Limits != nil {
			sim.check.Tenant(sim.sched.now, ca.id, sim.script.Clients.TenantOf(&ca.request.Request))
		}
		ca.pooler.whenRunning(ca.incarnation, func() { ca.submit(due) })
	case answerArrives:
		if ca.ended {
			return
		}
		kind := string(ca.kind)
		sim.check.Answered(sim.sched.now, ca.id, kind, ca.kind == clients.Served, hashOf(ca.answer))
		ca.finish(ca.kind)
	case connectionBreaks:
		if !ca.ended {
			ca.finish(clients.Broken)
		}
	case deadlinePasses:
		if !ca.ended {
			ca.late = true
			sim.sched.After(sim.script.Clients.LateAnswerWaitMs, ca, clientDisconnects)
		}
	case clientDisconnects:
		if !ca.ended {
			sim.check.Abandoned(sim.sched.now, ca.id, "its client closed its connection, long after its time")
			if ca.submitted && ca.pooler.incarnation == ca.incarnation && !ca.answered {
				ca.answered = true
				ca.pooler.core.Abandon(ca.ref)
			}
			ca.finish(clients.Unanswered)
		}
	}
}

// submit submits the request to the pooler's core.
func (ca *clientAttempt) submit(due float64) {
	r := ca.request
	q := platform.Request{
		ID:          ca.name,
		Class:       ca.class.Name,
		Group:       r.Group,
		Session:     r.Key,
		Deadline:    due,
		MinPosition: ca.minPosition,
		IsRetry:     ca.number > 0,
		Writes:      ca.class.Read == clients.Write && !ca.sim.script.Clients.ClickHouse,
		Query:       ca,
		Tenant:      ca.sim.script.Clients.TenantOf(&r.Request),
	}
	if ca.class.KeyMs > 0 {
		q.IdempotencyKey = r.IdempotencyKey()
	}
	ref, err := ca.pooler.core.Submit(q, ca)
	if err != nil {
		ca.Failed()
		return
	}
	ca.ref, ca.submitted = ref, true
}

// AppendQuery implements backend.Query. The model's jobs have no text.
func (ca *clientAttempt) AppendQuery(dst []byte, _ int) []byte { return dst }

// Served implements platform.Client.
func (ca *clientAttempt) Served(answer []byte) {
	ca.answer = append([]byte(nil), answer...)
	ca.finishWith(clients.Served, 0)
}

// Rejected implements platform.Client.
func (ca *clientAttempt) Rejected(retryMs float64) { ca.finishWith(clients.Refused, retryMs) }

// Failed implements platform.Client.
func (ca *clientAttempt) Failed() { ca.finishWith(clients.Failed, 0) }

func (ca *clientAttempt) finishWith(kind clients.Kind, wait float64) {
	sim := ca.sim
	if m := sim.options.Mutant; m != nil && m.Answer != nil && !m.Answer(sim, ca, kind) {
		return
	}
	ca.answered = true
	delete(ca.pooler.clientAttempts, ca)
	ca.kind, ca.retryMs = kind, wait
	sim.sched.After(sim.linkDelay(), ca, answerArrives)
}

// finish ends an attempt of a client. It schedules the client's next attempt unless the request was served or has no retry left.
func (ca *clientAttempt) finish(kind clients.Kind) {
	sim, r := ca.sim, ca.request
	ca.ended = true
	if ca.pooler != nil {
		delete(ca.pooler.clientAttempts, ca)
	}
	t := &clients.Attempt{
		Request:     &r.Request,
		Class:       ca.class,
		No:          ca.number,
		ID:          ca.name,
		Pooler:      -1,
		First:       r.firstSentAt,
		Sent:        ca.sentAt,
		Ended:       sim.sched.now,
		Kind:        kind,
		Late:        ca.late,
		Extra:       ca.extra,
		Value:       ca.answer,
		WriteNumber: ca.version,
		After:       ca.minPosition,
	}
	if ca.pooler != nil {
		t.Pooler = ca.pooler.no
	}
	if kind == clients.Served {
		sim.sessions.Served(t)
		sim.latencies.add(t.Ended - r.firstSentAt)
	}
	sim.sched.mix(ca.id, uint64(len(kind))<<32|uint64(t.Pooler+1))
	sim.scores.AttemptEnded(t)
	sim.coreTime.attemptEnded(ca, t)
	if sim.funds != nil {
		sim.funds.attemptEnded(t)
	}
	if sim.options.OnAttemptEnded != nil {
		t.Tenant = sim.script.Clients.TenantOf(&r.Request)
		sim.options.OnAttemptEnded(t)
	}
	if kind == clients.Served || ca.number == len(r.RetryWaits) {
		if kind != clients.Served {
			sim.lostWeight[string(kind)] += ca.class.Worth
		} else if t.Ended-r.firstSentAt > ca.class.Aim {
			sim.lostWeight["late"] += ca.class.Worth * (1 - ca.class.LateWorth)
		}
		sim.openRequests--
		return
	}
	r.attemptNo++
	wait := ca.retryMs
	if kind != clients.Refused || wait <= 0 {
		wait = r.RetryWaits[ca.number]
	}
	sim.sched.After(wait, r, 0)
}

// latencies is a histogram of the latencies of served requests, in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() *latencies { return &latencies{hdrhistogram.New(1, 600_000_000, 2)} }

func (t *latencies) add(ms float64) { _ = t.h.RecordValue(int64(min(max(1, ms*1000), 600_000_000))) }

func (t *latencies) quantile(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
