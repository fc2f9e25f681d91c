package rehearse

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/simulation"
)

// trafficWatcher passes the observable traffic to the checker of the rules: requests and answers of clients, and what reaches the fake
// servers and the watchers of the endpoint list. It does not depend on the state of the poolers.
type trafficWatcher struct {
	mu               sync.Mutex
	check            *checker.Checker
	classes          map[string]int
	poolers          int
	attempts         map[string]int       // attempts seen at servers, by request
	pauses           map[int][][2]float64 // by pooler: all its pauses, each with its start and its end
	receivedByServer map[string]bool      // requests that a server has received
	groups           []int                // group of each server
	duplicates       map[int]Duplicates
	onReceived       func(server int, at float64) // may be nil
	senders          map[string]sender            // by request
	onArrived        func(server, pooler int, writes bool, at float64)
	onRead           func(at float64, c *clients.Class, pooler, server int)
}

// sender is the origin of a request: its pooler, and its class.
type sender struct {
	pooler int
	writes bool
	class  *clients.Class
}

func newTrafficWatcher(s *scenario.Script) *trafficWatcher {
	w := &trafficWatcher{
		check:            checker.New(rules(s)),
		classes:          map[string]int{},
		poolers:          s.Poolers,
		attempts:         map[string]int{},
		pauses:           map[int][][2]float64{},
		senders:          map[string]sender{},
		receivedByServer: map[string]bool{},
		duplicates:       map[int]Duplicates{},
	}
	for g, n := range s.Fleet.Groups {
		w.groups = append(w.groups, slices.Repeat([]int{g}, n)...)
	}
	for i, c := range s.Clients.Classes {
		w.classes[c.Name] = i
	}
	return w
}

func idOf(id string) uint64 { return xxhash.Sum64String(id) }

func valueOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// arrivalToleranceMs is the largest difference on a busy machine between the time at which a request reaches its pooler and the time
// that its client or the relays observe.
const arrivalToleranceMs = 100

// degradedTolerance is by how much the shares in the overload rules may be worse on a busy machine.
const degradedTolerance = 0.15

// lateAnswerToleranceMs is how long after its deadline an answer may arrive without a breach of a rule; it only earns no worth.
const lateAnswerToleranceMs = 500

func rules(s *scenario.Script) checker.Config {
	c := simulation.CheckerConfig(s)
	if c.CountMs = arrivalToleranceMs; c.Overload != nil {
		c.Overload.ProbeSlack, c.Overload.Tolerance = c.Overload.Probes, degradedTolerance // a reply that arrives after ProberTimeout makes the requester probe
	}
	return c
}

// faultChanged reports to the checker that faults began or ended.
func (w *trafficWatcher) faultChanged(at float64, begins int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.FaultChanged(at, begins)
}

// limitUsages returns the usage of the fleet-wide limits.
func (w *trafficWatcher) limitUsages(warmMs float64) []checker.LimitUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.check.LimitUsages(warmMs)
}

// BeforeSend implements clients.Watcher.
func (w *trafficWatcher) BeforeSend(t *clients.Attempt, untilMs, afterMs float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.senders[t.ID] = sender{t.Pooler, t.Class.Read == clients.Write, t.Class}
	w.check.Received(t.Sent, idOf(t.ID), w.classes[t.Class.Name], t.Pooler, untilMs, afterMs)
	if t.Class.KeyMs > 0 {
		w.check.Keyed(idOf(t.ID), idOf(t.Request.IdempotencyKey()))
	}
	w.check.LoadReceived(t.Sent, idOf(t.ID), w.classes[t.Class.Name], t.Request.Group, t.Tenant, t.No > 0)
	w.check.Tenant(t.Sent, idOf(t.ID), t.Tenant)
}

// Probed implements database.Watcher.
func (w *trafficWatcher) Probed(server int, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.HealthCheckSent(at, server)
}

// faultInjected reports a fault with its targets to the checker.
func (w *trafficWatcher) faultInjected(at float64, s *scenario.Script, f *scenario.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	groups, poolers := f.Affected(s)
	w.check.FaultInjected(at, f.EndAt(at), groups, poolers)
}

// attemptEnded reports the end of an attempt to the checker.
func (w *trafficWatcher) attemptEnded(t *clients.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch t.Kind {
	case clients.Served, clients.Refused, clients.Failed:
		at := t.Ended
		if t.Late && !w.pausedDuring(t) && t.AnsweredAt > t.Ended+lateAnswerToleranceMs {
			at = t.AnsweredAt
		}
		w.check.Answered(at, idOf(t.ID), string(t.Kind), t.Kind == clients.Served, valueOf(t.Value))
		if t.Extra {
			w.check.Answered(at, idOf(t.ID), "more behind it", false, 0)
		}
	case clients.Broken, clients.Unanswered:
		w.check.Abandoned(t.Ended, idOf(t.ID), string(t.Kind))
	}
	delete(w.attempts, t.ID)
	delete(w.receivedByServer, t.ID)
}

// Arrived implements database.Watcher.
func (w *trafficWatcher) Arrived(server int, id string, at float64) (no int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	no = w.attempts[id]
	if w.attempts[id] = no + 1; w.onReceived != nil {
		w.onReceived(server, at)
	}
	if a, ok := w.senders[id]; ok && w.onArrived != nil {
		w.onArrived(server, a.pooler, a.writes, at)
	}
	if a, ok := w.senders[id]; ok && w.onRead != nil && !a.writes {
		w.onRead(at, a.class, a.pooler, server)
	}
	w.check.AttemptSent(at, idOf(id), no, -1, server)
	return no
}

// Rejected implements database.Watcher.
func (w *trafficWatcher) Rejected(id string, no int, how string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.AttemptEnded(at, idOf(id), no, how, true)
}

// Accepted implements database.Watcher.
func (w *trafficWatcher) Accepted(server int, started float64, id string, work, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.ServerReceived(at, server, started, idOf(id), work)
	w.check.QueryStarted(at, idOf(id), server)
	x := w.duplicates[w.groups[server]]
	if x.Taken++; w.receivedByServer[id] {
		x.Repeated++
	}
	w.receivedByServer[id], w.duplicates[w.groups[server]] = true, x
}

// Finished implements database.Watcher.
func (w *trafficWatcher) Finished(server int, id string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.QueryEnded(at, idOf(id), server)
}

// Executed implements database.Watcher.
func (w *trafficWatcher) Executed(server int, j *model.Job, value []byte, r model.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.RepeatDropped {
		w.check.RepeatDropped(r.At, server, idOf(j.ID), valueOf(value), r.Position)
		return
	}
	w.check.Executed(r.At, server, idOf(j.ID), j.Writes, r.Primary, valueOf(value), r.Position)
}

// processPaused reports that a pooler's process is paused.
func (w *trafficWatcher) processPaused(at float64, pooler int, until float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.Paused(at, pooler, until)
	w.pauses[pooler] = append(w.pauses[pooler], [2]float64{at, until})
}

// wasPaused reports whether a pooler's process was paused during an attempt.
func (w *trafficWatcher) wasPaused(t *clients.Attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pausedDuring(t)
}

// pausedDuring considers all pauses, since an attempt ends long after its client gave up, when its pooler may be paused again.
func (w *trafficWatcher) pausedDuring(t *clients.Attempt) bool {
	return slices.ContainsFunc(w.pauses[t.Pooler], func(s [2]float64) bool { return t.Sent < s[1] && max(t.Ended, t.AnsweredAt) > s[0] })
}

// Listed implements database.Watcher. All watchers of the list are notified at once, and the servers do not see which pooler sends a
// request, hence pooler -1.
func (w *trafficWatcher) Listed(server int, state string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.Listed(at, -1, server, state)
}

// verdict finishes the check and returns its result.
func (w *trafficWatcher) verdict(now float64) *checker.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check.Finish(now)
	return w.check.Verdict()
}

func (w *trafficWatcher) duplicateCounts() map[int]Duplicates {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.duplicates)
}
