package core

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/backend"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/record"
	"beechgrade/internal/record/recordpb"
)

// recorder writes records of the core's events, if records are enabled.
type recorder struct {
	loop               Loop
	records            *record.Recorder // nil if records are disabled
	requests           uint64           // number of the last recorded request
	healthChecksSentAt map[string]float64
}

// recordedRequest is the state that a request keeps for its records.
type recordedRequest struct {
	number         uint64
	class          int32
	group          int64
	startedAt      float64
	lastAttemptEnd record.Reason
}

// SetRecorder sets the recorder of the core's events.
func (c *Core) SetRecorder(records *record.Recorder) { c.recorder.records = records }

// enabled reports whether records are enabled.
func (r *recorder) enabled() bool { return r.records.Enabled() }

// request records the arrival of a request.
func (r *recorder) request(req *request, incoming *platform.Request) {
	if !r.enabled() {
		return
	}
	r.requests++
	now := r.loop.Now()
	req.recorded = recordedRequest{number: r.requests, class: int32(req.class), group: int64(incoming.Group), startedAt: now}
	r.records.Put(&record.Event{
		At:          now,
		Kind:        recordpb.Kind_KIND_REQUEST,
		Request:     r.requests,
		Class:       int32(req.class),
		Group:       int64(incoming.Group),
		Session:     xxhash.Sum64String(incoming.Session),
		ID:          xxhash.Sum64String(cmp.Or(incoming.ClientID, incoming.ID)),
		RemainingMs: incoming.Deadline - now,
		Repeat:      incoming.IsRetry,
		Position:    incoming.MinPosition,
	})
}

// attempt records the end of an attempt.
func (r *recorder) attempt(req *request, number int, outcome *backend.Outcome) {
	if !r.enabled() {
		return
	}
	now := r.loop.Now()
	a := &req.attempts[number]
	req.recorded.lastAttemptEnd = record.ReasonEnded + record.Reason(outcome.Result)
	event := record.Event{
		At:         now,
		Kind:       recordpb.Kind_KIND_ATTEMPT,
		Request:    req.recorded.number,
		Class:      req.recorded.class,
		Group:      req.recorded.group,
		Server:     string(a.server),
		Attempt:    int32(number),
		Result:     uint8(outcome.Result),
		Role:       uint8(outcome.Role),
		DurationMs: now - a.startedAt,
	}
	if outcome.HasPosition {
		event.Position = outcome.Position
	}
	r.records.Put(&event)
}

// answer records the final answer to a request. waitMs is the retry delay that the answer contains.
func (r *recorder) answer(req *request, final recordpb.Final, waitMs float64) {
	if !r.enabled() {
		return
	}
	now := r.loop.Now()
	event := record.Event{
		At:         now,
		Kind:       recordpb.Kind_KIND_ANSWER,
		Request:    req.recorded.number,
		Class:      req.recorded.class,
		Group:      req.recorded.group,
		Final:      final,
		Attempt:    int32(len(req.attempts)),
		WaitMs:     waitMs,
		DurationMs: now - req.recorded.startedAt,
	}
	switch {
	case final == recordpb.Final_FINAL_SERVED:
	case req.inFlight > 0:
		event.Reason = record.ReasonNoResponse
	case req.recorded.lastAttemptEnd == record.ReasonNone:
		event.Reason = record.ReasonNotSent
	default:
		event.Reason = req.recorded.lastAttemptEnd
	}
	r.records.Put(&event)
}

// healthCheckSent stores the time at which a health check is sent.
func (r *recorder) healthCheckSent(server string) {
	if r.enabled() {
		r.healthChecksSentAt[server] = r.loop.Now()
	}
}

// healthCheck records the end of a health check.
func (r *recorder) healthCheck(server string, outcome *backend.Outcome) {
	if !r.enabled() {
		return
	}
	event := record.Event{
		At:     r.loop.Now(),
		Kind:   recordpb.Kind_KIND_PROBE,
		Server: server,
		Result: uint8(outcome.Result),
		Role:   uint8(outcome.Role),
	}
	if outcome.HasPosition {
		event.Position = outcome.Position
	}
	if sentAt, ok := r.healthChecksSentAt[server]; ok {
		event.DurationMs = event.At - sentAt
		delete(r.healthChecksSentAt, server)
	}
	r.records.Put(&event)
}

// list records an endpoint list, or changes of it.
func (r *recorder) list(list *discovery.List, kind decide.ListKind) {
	if !r.enabled() {
		return
	}
	now := r.loop.Now()
	r.records.Put(&record.Event{
		At:     now,
		Kind:   recordpb.Kind_KIND_LIST,
		Number: list.Generation,
		Full:   kind != decide.ListChanges,
		Result: uint8(kind),
	})
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		r.records.Put(&record.Event{
			At:      now,
			Kind:    recordpb.Kind_KIND_ENTRY,
			Server:  instance.ID,
			Group:   int64(instance.Cell),
			State:   uint8(serverState(instance)),
			Primary: instance.Role == primaryRole,
			Number:  instance.StartedAtMs,
			Text:    instance.HostPort,
		})
	}
}

// RecordGauge records the numbers of sessions, connections and open requests. It is called once a second.
func (c *Core) RecordGauge(sessions, conns int) {
	if c.recorder.enabled() {
		c.recorder.records.Put(&record.Event{
			At:          c.loop.Now(),
			Kind:        recordpb.Kind_KIND_GAUGE,
			Sessions:    int64(sessions),
			Connections: int64(conns),
			Number:      int64(c.requests.Len()),
			WallClockMs: clock.Wall(),
		})
	}
}

// RecordEvent records an event of the pooler itself.
func (c *Core) RecordEvent(kind record.Kind, text string) {
	if c.recorder.enabled() {
		c.recorder.records.Put(&record.Event{At: c.loop.Now(), Kind: kind, Text: text})
	}
}

// RecordRecovery records what the opening of a durable store found, how long it took, and what was wrong with the store's end.
func (c *Core) RecordRecovery(found record.StoreRecovery, tookMs float64, reason string) {
	if c.recorder.enabled() {
		c.recorder.records.Put(&record.Event{
			At: c.loop.Now(), Kind: recordpb.Kind_KIND_RECOVERED, DurationMs: tookMs, Text: reason, Recovery: &found,
		})
	}
}

// RecordClasses converts the classes for the headers of records.
func RecordClasses(names []string, classes []decide.Class) []*recordpb.Class {
	reads := map[decide.ReadKind]string{
		decide.ReadAny:     "any",
		decide.ReadBounded: "bounded",
		decide.ReadSession: "session",
		decide.ReadFresh:   "fresh",
		decide.Write:       "write",
	}
	var out []*recordpb.Class
	for i, class := range classes {
		out = append(out, &recordpb.Class{
			Name:       names[i],
			Worth:      class.PriorityWeight,
			LateWorth:  class.LateWeight,
			Read:       reads[class.Read],
			AimUs:      uint64(clock.ToMillis(class.LatencyObjective) * usPerMs),
			DeadlineUs: uint64(clock.ToMillis(class.Deadline) * usPerMs),
		})
	}
	return out
}

const usPerMs = 1000
