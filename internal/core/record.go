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

// SetRecorder has the core record what it sees and does.
func (c *Core) SetRecorder(r *record.Recorder) { c.recorder = r }

// recorded is what a request keeps for its records.
type recorded struct {
	number         uint64
	class          int32
	group          int64
	startedAt      float64
	lastAttemptEnd record.Reason // how the attempt that ended last did
}

func (c *Core) recordRequest(req *request, incoming *platform.Request, class int) {
	if !c.recorder.On() {
		return
	}
	c.recordedRequests++
	now := c.loop.Now()
	req.recorded = recorded{number: c.recordedRequests, class: int32(class), group: int64(incoming.Group), startedAt: now}
	c.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_REQUEST, Request: c.recordedRequests, Class: int32(class), Group: int64(incoming.Group),
		Session: xxhash.Sum64String(incoming.Session), ID: xxhash.Sum64String(cmp.Or(incoming.ClientID, incoming.ID)), Left: incoming.Deadline - now, Repeat: incoming.IsRetry, Position: incoming.MinPosition})
}

func (c *Core) recordAttempt(req *request, no int, server decide.ServerID, outcome *backend.Outcome) {
	if !c.recorder.On() {
		return
	}
	now := c.loop.Now()
	req.recorded.lastAttemptEnd = record.ReasonEnded + record.Reason(outcome.Result)
	e := record.Event{At: now, Kind: recordpb.Kind_KIND_ATTEMPT, Request: req.recorded.number, Class: req.recorded.class, Group: req.recorded.group,
		Server: string(server), Attempt: int32(no), Result: uint8(outcome.Result), Role: uint8(outcome.Role), Took: now - req.attempts[no].startedAt}
	if outcome.HasPos {
		e.Position = outcome.Position
	}
	c.recorder.Put(&e)
}

func (c *Core) recordAnswer(req *request, final recordpb.Final, waitMs float64) {
	if !c.recorder.On() {
		return
	}
	e := record.Event{At: c.loop.Now(), Kind: recordpb.Kind_KIND_ANSWER, Request: req.recorded.number, Class: req.recorded.class, Group: req.recorded.group,
		Final: final, Attempt: int32(len(req.attempts)), Wait: waitMs, Took: c.loop.Now() - req.recorded.startedAt}
	switch {
	case final == recordpb.Final_FINAL_SERVED:
	case req.inFlight > 0:
		e.Reason = record.ReasonOut
	case req.recorded.lastAttemptEnd == record.ReasonNone:
		e.Reason = record.ReasonUnsent
	default:
		e.Reason = req.recorded.lastAttemptEnd
	}
	c.recorder.Put(&e)
}

func (c *Core) recordProbe(server string, outcome *backend.Outcome) {
	if !c.recorder.On() {
		return
	}
	e := record.Event{At: c.loop.Now(), Kind: recordpb.Kind_KIND_PROBE, Server: server, Result: uint8(outcome.Result), Role: uint8(outcome.Role)}
	if outcome.HasPos {
		e.Position = outcome.Position
	}
	if from, ok := c.healthChecksSentAt[server]; ok {
		e.Took = e.At - from
		delete(c.healthChecksSentAt, server)
	}
	c.recorder.Put(&e)
}

func (c *Core) recordList(list *discovery.List, kind decide.ListKind) {
	if !c.recorder.On() {
		return
	}
	now := c.loop.Now()
	c.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_LIST, Number: list.Generation, Whole: kind != decide.ListChanges,
		Result: uint8(kind)})
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		c.recorder.Put(&record.Event{At: now, Kind: recordpb.Kind_KIND_ENTRY, Server: instance.ID, Group: int64(instance.Cell),
			State: uint8(serverState(instance)), Primary: instance.Role == "primary", Number: instance.StartedAtMs, Text: instance.HostPort})
	}
}

// Gauge records the numbers of sessions, connections and requests, once a second.
func (c *Core) Gauge(sessions, conns int) {
	if c.recorder.On() {
		c.recorder.Put(&record.Event{At: c.loop.Now(), Kind: recordpb.Kind_KIND_GAUGE, Sessions: int64(sessions), Conns: int64(conns),
			Number: int64(c.requests.Len()), Wall: clock.Wall()})
	}
}

// Note records an event of the pooler itself.
func (c *Core) Note(kind record.Kind, text string) {
	if c.recorder.On() {
		c.recorder.Put(&record.Event{At: c.loop.Now(), Kind: kind, Text: text})
	}
}

// Recovered records what the opening of a durable store found, how long it took, and what was wrong with the store's end.
func (c *Core) Recovered(f record.Found, took float64, why string) {
	if c.recorder.On() {
		c.recorder.Put(&record.Event{At: c.loop.Now(), Kind: recordpb.Kind_KIND_RECOVERED, Took: took, Text: why, Found: &f})
	}
}

// RecordClasses returns the classes in the form of the records' headers.
func RecordClasses(names []string, classes []decide.Class) []*recordpb.Class {
	reads := map[decide.ReadKind]string{decide.ReadAny: "any", decide.ReadBounded: "bounded",
		decide.ReadSession: "session", decide.ReadFresh: "fresh", decide.Write: "write"}
	var out []*recordpb.Class
	for i, c := range classes {
		out = append(out, &recordpb.Class{Name: names[i], Worth: c.PriorityWeight, LateWorth: c.LateWeight, Read: reads[c.Read],
			AimUs: uint64(clock.ToMillis(c.LatencyObjective) * 1000), DeadlineUs: uint64(clock.ToMillis(c.Deadline) * 1000)})
	}
	return out
}

// serverState returns an entry's state.
func serverState(instance *discovery.Instance) decide.ServerState {
	switch instance.Lifecycle {
	case "draining":
		return decide.Draining
	case "removed":
		return decide.Removed
	}
	return decide.Serving
}
