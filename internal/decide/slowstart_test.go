package decide

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartBound returns the greatest number of attempts that a server in slow start may get in one span: the allowed
// number plus a margin of two or three standard deviations and a constant, as random draws keep to it on average only.
func slowStartBound(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// slowStartFleet simulates many routers, which do not communicate, and one primary that restarts. The demand of their
// clients far exceeds what the primary may get.
type slowStartFleet struct {
	t        *testing.T
	settings Settings
	rng      *rand.Rand
	routers  []*Router
	now      Time
	events   fleetEvents
	sequence int
	sends    []slowStartSend // to the primary, in order
	requests int
	answer   func(f *slowStartFleet) (Result, time.Duration)
	started  Time          // start of the primary's present process
	ahead    time.Duration // how far the primary's clock is ahead of the routers'
}

// slowStartSend is an attempt sent to the process of the primary that started at started, and the number of attempts
// allowed in the span that ends at the send.
type slowStartSend struct {
	at, started Time
	allowed     float64
}

// fleetEvent is a function that is called at a time; events at the same time run in the order of sequence.
type fleetEvent struct {
	at       Time
	sequence int
	call     func()
}

// fleetEvents is a heap of events, the earliest first.
type fleetEvents []fleetEvent

func (events fleetEvents) Len() int { return len(events) }

func (events fleetEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(events[i].at, events[j].at), cmp.Compare(events[i].sequence, events[j].sequence)) < 0
}

func (events fleetEvents) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *fleetEvents) Push(x any) { *events = append(*events, x.(fleetEvent)) }

func (events *fleetEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func newSlowStartFleet(t *testing.T, routers int, seed uint64, change func(*Settings)) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{t: t, settings: testSettings(), rng: rand.New(rand.NewPCG(seed, 1)), now: start, started: start - time.Hour}
	f.settings.Peers, f.settings.MaxAttempts, f.settings.SlowStartTime = routers, 8, 18*time.Second
	if change != nil {
		change(&f.settings)
	}
	f.answer = (*slowStartFleet).served
	for i := range routers {
		f.routers = append(f.routers, nil)
		f.begin(i)
	}
	return f
}

// work returns the time that a single request takes at a warm server, which is also the initial estimate of routers.
func (f *slowStartFleet) work() time.Duration {
	return time.Duration(initialWorkFraction * float64(f.settings.Classes[classKeyedWrite].LatencyObjective))
}

// warmUpFactor returns the fraction of its capacity that the primary has.
func (f *slowStartFleet) warmUpFactor(at Time) float64 {
	age := (at - f.started).Seconds() / f.settings.SlowStartTime.Seconds()
	return f.settings.SlowStartFrom + (1-f.settings.SlowStartFrom)*min(1, age)
}

// served returns the outcome of an attempt that the primary answers.
func (f *slowStartFleet) served() (Result, time.Duration) {
	return OK, time.Duration(float64(f.work()) / f.warmUpFactor(f.now))
}

// begin starts or replaces router i. The new router gets the list and one report of each server, and no snapshot.
func (f *slowStartFleet) begin(i int) {
	r := New(f.settings, f.rng.Uint64())
	f.routers[i] = r
	entry := Endpoint{Server: "p", Primary: true}
	if f.started > start {
		entry.Started = f.started + f.ahead
	}
	f.handle(i, &EndpointList{Kind: ListRestored, Endpoints: []Endpoint{entry, {Server: "a"}, {Server: "b"}}})
	f.handle(i, &HealthCheckResult{Server: "p", Result: OK, Load: Report{Role: RolePrimary, HasPosition: true, Position: f.now}})
	f.handle(i, &HealthCheckResult{Server: "a", Result: OK, Load: Report{Role: RoleReplica, HasPosition: true, Position: f.now}})
	f.handle(i, &HealthCheckResult{Server: "b", Result: OK, Load: Report{Role: RoleReplica, HasPosition: true, Position: f.now}})
}

// at schedules a call.
func (f *slowStartFleet) at(when Time, call func()) {
	f.sequence++
	heap.Push(&f.events, fleetEvent{at: when, sequence: f.sequence, call: call})
}

// later delivers an event to router i after a delay, unless the router has been replaced by then.
func (f *slowStartFleet) later(after time.Duration, i int, ev Event) {
	r := f.routers[i]
	f.at(f.now+after, func() {
		if f.routers[i] == r {
			f.handle(i, ev)
		}
	})
}

// handle passes an event to router i, and schedules the results of its actions.
func (f *slowStartFleet) handle(i int, ev Event) {
	r := f.routers[i]
	for _, a := range r.Handle(f.now, ev, nil) {
		switch a.Kind {
		case SetTimer:
			f.later(a.At-f.now, i, &Timer{})
		case HealthCheck:
			role := RoleReplica
			if a.Server == "p" {
				role = RolePrimary
			}
			f.later(ms, i, &HealthCheckResult{Server: a.Server, Result: OK, Load: Report{Role: role, HasPosition: true, Position: f.now}})
		case Send:
			result, took := OK, f.work()
			if a.Server == "p" {
				f.sends = append(f.sends, slowStartSend{f.now, f.started, f.allowed(f.now)})
				result, took = f.answer(f)
			}
			number := len(r.requests[a.ID].attempts) - 1
			f.later(took, i, &Outcome{ID: a.ID, Attempt: number, Server: a.Server, Result: result, Final: result == OK})
		}
	}
}

// restart restarts the primary; each router learns of it after a random time of at most delay.
func (f *slowStartFleet) restart(when Time, delay time.Duration) {
	f.at(when, func() {
		f.started = f.now
		for i := range f.routers {
			f.later(time.Duration(f.rng.Float64()*float64(delay)), i,
				&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", Primary: true, Started: f.started + f.ahead}}})
		}
	})
}

// demand sends writes to the routers, perSecond in all on average. Every eighth router gets several times the mean.
func (f *slowStartFleet) demand(from, to Time, perSecond float64) {
	weights, sum := make([]float64, len(f.routers)), 0.0
	for i := range weights {
		weights[i] = 0.3 + f.rng.Float64()
		if i%8 == 0 {
			weights[i] *= 5
		}
		sum += weights[i]
	}
	var next func()
	next = func() {
		x := f.rng.Float64() * sum
		i := 0
		for ; i < len(weights)-1 && x > weights[i]; i++ {
			x -= weights[i]
		}
		f.requests++
		f.handle(i, &Request{ID: RequestID(fmt.Sprint(f.requests)), Class: classKeyedWrite, Deadline: f.now + 3*time.Second})
		if when := f.now + toDuration(f.rng.ExpFloat64()/perSecond); when < to {
			f.at(when, next)
		}
	}
	f.at(from, next)
}

// run runs the scheduled events up to a time.
func (f *slowStartFleet) run(until Time) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.call()
	}
	f.now = until
}

// allowed returns the number of attempts of average work that the settings allow the primary in a span that ends at the
// given time.
func (f *slowStartFleet) allowed(at Time) float64 {
	return f.settings.SlowStartMultiple * f.warmUpFactor(at) * fullRateConcurrency * initialKindRate * f.settings.SlowStartSpan.Seconds() / f.work().Seconds()
}

// fullestSpan returns the number of attempts, and the number allowed, in the span that exceeds its bound most, over all
// processes of the primary. Sends before from do not count, as not all routers knew of the restart by then.
func (f *slowStartFleet) fullestSpan(from Time) (attempts int, allowed float64) {
	first, most := 0, math.Inf(-1)
	for i, last := range f.sends {
		if last.at < from {
			first = i + 1
			continue
		}
		for f.sends[first].at <= last.at-f.settings.SlowStartSpan || f.sends[first].started != last.started {
			first++
		}
		if over := float64(i-first+1) - slowStartBound(last.allowed); over > most {
			most, attempts, allowed = over, i-first+1, last.allowed
		}
	}
	return attempts, allowed
}

// slowStartCases are the numbers of routers, and of seeds for each, that the budget is checked with.
var slowStartCases = []struct {
	name    string
	routers int
	seeds   int
}{{"one", 1, 4}, {"two", 2, 4}, {"twenty-four", 24, 6}, {"thirty", 30, 6}, {"three hundred", 300, 3}}

// checkSlowStartBudget runs play for fleets of several sizes with several seeds each, and compares the fullest span of each
// run with the bound. play returns the time from which attempts count.
func checkSlowStartBudget(t *testing.T, change func(*Settings), play func(f *slowStartFleet) (counted Time)) {
	t.Helper()
	for _, c := range slowStartCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var ratios []float64
			total := 0
			for seed := range c.seeds {
				f := newSlowStartFleet(t, c.routers, uint64(seed+1), change)
				attempts, allowed := f.fullestSpan(play(f))
				ratios = append(ratios, float64(attempts)/allowed)
				total += len(f.sends)
				if bound := slowStartBound(allowed); float64(attempts) > bound {
					t.Errorf("seed %d: %d attempts in %v, %.1f are allowed, want at most %.1f", seed+1, attempts, f.settings.SlowStartSpan, allowed, bound)
				}
			}
			if total == 0 {
				t.Error("nothing was sent to the primary in any run")
			}
			slices.Sort(ratios)
			t.Logf("attempts in the fullest span, relative to the number allowed: %.2f to %.2f, median %.2f; %d sends in all", ratios[0],
				ratios[len(ratios)-1], ratios[len(ratios)/2], total)
		})
	}
}

const restartAt = start + 10*time.Second

// TestSlowStartBurst: demand is low, then the primary restarts and all clients send at once.
func TestSlowStartBurst(t *testing.T) {
	checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
		f.demand(start, start+20*time.Second, 20)
		f.restart(restartAt, 0)
		f.demand(restartAt+time.Second, restartAt+2*time.Second, 1000)
		f.demand(restartAt+6*time.Second, restartAt+7*time.Second, 1000)
		f.run(start + 18*time.Second)
		return restartAt
	})
}

// TestSlowStartWithSteppedClocks: the wall clock of the server or of the routers was stepped, so that the start time in
// the list is ahead of the routers' clock, or long before it.
func TestSlowStartWithSteppedClocks(t *testing.T) {
	for _, ahead := range []time.Duration{0, -time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
				f.ahead = ahead
				f.demand(start, start+20*time.Second, 20)
				f.restart(restartAt, 0)
				f.demand(restartAt+time.Second, restartAt+2*time.Second, 1000)
				f.demand(restartAt+6*time.Second, restartAt+7*time.Second, 1000)
				f.run(start + 18*time.Second)
				return restartAt
			})
		})
	}
}

// TestSlowStartRetries: the server refuses or fails most requests, which are all sent again.
func TestSlowStartRetries(t *testing.T) {
	checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
		f.demand(start+7*time.Second, start+18*time.Second, 200)
		f.restart(restartAt, 0)
		f.at(restartAt, func() {
			f.answer = func(f *slowStartFleet) (Result, time.Duration) {
				if f.rng.Float64() < 0.9 {
					return []Result{Overloaded, Failed, Misdirected}[f.rng.IntN(3)], 2 * ms
				}
				return f.served()
			}
		})
		f.run(start + 18*time.Second)
		return restartAt
	})
}

// TestSlowStartRouterRestarts: all routers are replaced repeatedly, by routers without a snapshot, while the server is
// cold. What the replaced routers sent counts in the same span.
func TestSlowStartRouterRestarts(t *testing.T) {
	checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
		f.demand(start+7*time.Second, start+18*time.Second, 200)
		f.restart(restartAt, 0)
		f.at(restartAt, func() { // the server answers at once, so that only the budget limits the routers
			f.answer = func(*slowStartFleet) (Result, time.Duration) { return OK, ms }
		})
		for step := range 12 {
			f.at(restartAt+time.Second+Time(step)*f.settings.SlowStartSpan/3, func() {
				for i := range f.routers {
					f.begin(i)
				}
			})
		}
		f.run(start + 18*time.Second)
		return restartAt
	})
}

// TestSlowStartSecondRestart: routers learn of the server's restart at different times, and the server restarts again
// during its slow start.
func TestSlowStartSecondRestart(t *testing.T) {
	const delay = 300 * ms
	checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
		f.demand(start+7*time.Second, start+18*time.Second, 200)
		f.restart(restartAt, delay)
		f.restart(restartAt+4*time.Second, 0)
		f.run(start + 18*time.Second)
		return restartAt + delay
	})
}

// TestSlowStartSparseDemandUsesTheBudget: where each router has a request only now and then, a server in slow start still
// gets a good fraction of its budget. The total demand exceeds the budget, but few routers have a request at a time.
func TestSlowStartSparseDemandUsesTheBudget(t *testing.T) {
	const from, to = restartAt + 2*time.Second, restartAt + 8*time.Second
	got, allowed := 0.0, 0.0
	for seed := range uint64(3) {
		f := newSlowStartFleet(t, 300, seed+1, nil)
		f.demand(start, start+20*time.Second, 150)
		f.restart(restartAt, 0)
		f.run(to)
		for _, send := range f.sends {
			if send.at >= from {
				got++
			}
		}
		allowed += f.allowed((from+to)/2) * float64(to-from) / float64(f.settings.SlowStartSpan)
	}
	t.Logf("attempts relative to the number allowed: %.2f", got/allowed)
	if got < 0.65*allowed { // 0.60 if a draw counts for a quarter of a span only
		t.Errorf("%.0f attempts of %.0f allowed, want at least 0.65 of them", got, allowed)
	}
}
