package consul

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"beechgrade/internal/endpoints/reconcile"
)

// repeatedNoteMs is the minimum time between two notes with the same reason.
const repeatedNoteMs = 10000

// watcher watches one service, on a goroutine of its own.
type watcher struct {
	source           *Source
	service          string
	plan             *Watch
	retrySignal      chan struct{}
	lastObservations map[string]reconcile.Observation // by id, from the last accepted response
	lastUnusable     string                           // reason of the last note on unusable instances
	lastReason       string                           // reason of the last other note
	lastReasonAt     float64
}

// run sends queries until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for {
		now := w.source.now()
		query, queryAt := w.plan.Next(now)
		if wait := queryAt - now; wait > 0 {
			retry, ok := w.sleep(ctx, wait)
			if !ok {
				return
			}
			if retry {
				w.plan.ResetBackoff()
				continue
			}
		}
		instances, response := w.query(ctx, query)
		if ctx.Err() != nil {
			return
		}
		result := w.plan.HandleResponse(w.source.now(), query, response)
		w.note(query, result)
		if result.Accepted {
			w.reportChanges(instances, result.AgeMs)
		}
	}
}

// sleep waits for waitMs. retry is true if the wait was interrupted to retry at once; ok is false if ctx has ended.
func (w *watcher) sleep(ctx context.Context, waitMs float64) (retry, ok bool) {
	timer := time.NewTimer(milliseconds(waitMs))
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, true
	case <-w.retrySignal:
		return true, true
	case <-ctx.Done():
		return false, false
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// note logs and passes on the reason of a result, and passes on that no agent answers any more.
func (w *watcher) note(query Query, result Result) {
	s := w.source
	name, agent := s.options.Name, s.options.Agents[query.Agent]
	now := s.now()
	repeated := result.Reason == w.lastReason && now-w.lastReasonAt <= repeatedNoteMs
	if result.Reason != "" && !repeated {
		w.lastReason, w.lastReasonAt = result.Reason, now
		s.log.Info("problem with a Consul query", "service", w.service, "agent", agent, "reason", result.Reason)
		s.post(func() { s.sink.Note(name, reconcile.Rejected, w.service+" at "+agent+": "+result.Reason) })
	}
	if !w.plan.BecameUnreachable() {
		return
	}
	if s.setUnreachable(w.service) {
		s.post(func() { s.sink.SourceLost(name, result.Reason) })
	} else {
		s.post(func() { s.sink.Note(name, reconcile.SourceLost, "of "+w.service+": "+result.Reason) })
	}
}

// reportChanges compares the instances of a response with those of the last one, and reports the changes.
func (w *watcher) reportChanges(instances []Instance, ageMs float64) {
	s := w.source
	report := &reconcile.Report{AgeMs: ageMs, MoreToCome: s.setReported(w.service)}
	current := w.observations(instances, report)
	for id, observation := range current {
		if previous, ok := w.lastObservations[id]; !ok || previous != observation {
			report.Observations = append(report.Observations, observation)
		}
	}
	slices.SortFunc(report.Observations, func(a, b reconcile.Observation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.StartedAtMs, a.StartedAtMs))
	})
	for id := range w.lastObservations {
		if _, ok := current[id]; !ok {
			report.Removed = append(report.Removed, id)
		}
	}
	slices.Sort(report.Removed)
	w.lastObservations = current
	s.post(func() { s.sink.Observe(s.options.Name, report) })
}

// observations maps instances to observations of servers, by id. If several instances have the same id, the one that started last
// is used or, if they started at the same time, the one at the address used before. The others are added to the report as well, so that
// the reconciler sees the conflict.
func (w *watcher) observations(instances []Instance, report *reconcile.Report) map[string]reconcile.Observation {
	current := make(map[string]reconcile.Observation, len(instances))
	unusable, example := 0, ""
	for i := range instances {
		instance := &instances[i]
		observation, err := w.source.options.Mapping.Observation(instance)
		if err != nil {
			unusable++
			example = fmt.Sprintf("%s: %v", cmp.Or(instance.ID, instance.Node), err)
			continue
		}
		if other, ok := current[observation.ID]; ok && w.precedes(other, observation) {
			report.Observations = append(report.Observations, observation)
			continue
		}
		current[observation.ID] = observation
	}
	if unusable > 0 {
		w.noteUnusable(fmt.Sprintf("%s: %d of %d instances cannot be used, such as %s", w.service, unusable, len(instances), example))
	}
	return current
}

// precedes reports whether an observation takes precedence over one with the same id that is later in the response.
func (w *watcher) precedes(observation, later reconcile.Observation) bool {
	if observation.StartedAtMs != later.StartedAtMs {
		return observation.StartedAtMs > later.StartedAtMs
	}
	return w.lastObservations[later.ID].Address == observation.Address
}

// noteUnusable logs and passes on that instances cannot be used, unless the last such note had the same reason.
func (w *watcher) noteUnusable(reason string) {
	if reason == w.lastUnusable {
		return
	}
	w.lastUnusable = reason
	s := w.source
	s.log.Warn("Consul instances cannot be used", "reason", reason)
	s.post(func() { s.sink.Note(s.options.Name, reconcile.Rejected, reason) })
}
