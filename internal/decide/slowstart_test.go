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

// slowStartBound is the most calls that a server in slow start may get in one span: the allowance plus what
// chance may add to it.
func slowStartBound(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// slowStartFleet plays many routers, which share nothing, against one primary that restarts. Its clients want
// far more of the primary than it may get.
type slowStartFleet struct {
	t        *testing.T
	set      Settings
	rng      *rand.Rand
	routers  []*Router
	now      Time
	events   fleetEvents
	sequence int
	sends    []slowStartSend // to the primary, in order
	requests int
	answer   func(f *slowStartFleet) (Result, time.Duration)
	started  Time          // of the primary's present process
	ahead    time.Duration // the primary's clock is ahead of the routers'
}

// slowStartSend is a call that went out to a process of the primary, and how many that was allowed in the span then.
type slowStartSend struct {
	at, started Time
	allowed     float64
}

type fleetEvent struct {
	at       Time
	sequence int
	call     func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }

func (h fleetEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fleetEvents) Push(x any) { *h = append(*h, x.(fleetEvent)) }

func (h *fleetEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSlowStartFleet(t *testing.T, routers int, seed uint64, change func(*Settings)) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{t: t, set: testSettings(), rng: rand.New(rand.NewPCG(seed, 1)), now: start, started: start - time.Hour}
	f.set.Peers, f.set.MaxAttempts, f.set.SlowStartTime = routers, 8, 18*time.Second
	if change != nil {
		change(&f.set)
	}
	f.answer = (*slowStartFleet).served
	for i := range routers {
		f.routers = append(f.routers, nil)
		f.begin(i)
	}
	return f
}

// work is the time that a request takes at a warm server, alone: what routers take it for before they have delay.
func (f *slowStartFleet) work() time.Duration {
	return time.Duration(initialWorkFraction * float64(f.set.Classes[classKeyedWrite].LatencyObjective))
}

// warmUpFactor is the part of its capacity that the primary has.
func (f *slowStartFleet) warmUpFactor(at Time) float64 {
	age := (at - f.started).Seconds() / f.set.SlowStartTime.Seconds()
	return f.set.SlowStartFrom + (1-f.set.SlowStartFrom)*min(1, age)
}

func (f *slowStartFleet) served() (Result, time.Duration) {
	return OK, time.Duration(float64(f.work()) / f.warmUpFactor(f.now))
}

// begin starts a router that knows nothing but the list.
func (f *slowStartFleet) begin(i int) {
	r := New(f.set, f.rng.Uint64())
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

func (f *slowStartFleet) at(when Time, call func()) {
	f.sequence++
	heap.Push(&f.events, fleetEvent{at: when, sequence: f.sequence, call: call})
}

// later brings an event to a router, unless another has taken its place by then.
func (f *slowStartFleet) later(after time.Duration, i int, ev Event) {
	r := f.routers[i]
	f.at(f.now+after, func() {
		if f.routers[i] == r {
			f.handle(i, ev)
		}
	})
}

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
			no := len(r.requests[a.ID].attempts) - 1
			f.later(took, i, &Outcome{ID: a.ID, Attempt: no, Server: a.Server, Result: result, Final: result == OK})
		}
	}
}

// restart has the primary begin anew; each router hears of it up to so much later.
func (f *slowStartFleet) restart(when Time, delay time.Duration) {
	f.at(when, func() {
		f.started = f.now
		for i := range f.routers {
			f.later(time.Duration(f.rng.Float64()*float64(delay)), i,
				&EndpointList{Kind: ListChanges, Endpoints: []Endpoint{{Server: "p", Primary: true, Started: f.started + f.ahead}}})
		}
	})
}

// demand sends writes from then on: so many a second in all, one router in eight getting several times the mean.
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

func (f *slowStartFleet) run(until Time) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.call()
	}
	f.now = until
}

// allowed is how many calls of mean work the settings let the primary get in a span that ends then.
func (f *slowStartFleet) allowed(at Time) float64 {
	return f.set.SlowStartMultiple * f.warmUpFactor(at) * fullRateConcurrency * initialKindRate * f.set.SlowStartSpan.Seconds() / f.work().Seconds()
}

// worst is the fullest span of any process of the server since it restarted first: its calls, and what was allowed.
// Sends before from do not count, as their routers did not know of the restart.
func (f *slowStartFleet) worst(from Time) (calls int, allowed float64) {
	first, most := 0, math.Inf(-1)
	for i, last := range f.sends {
		if last.at < from {
			first = i + 1
			continue
		}
		for f.sends[first].at <= last.at-f.set.SlowStartSpan || f.sends[first].started != last.started {
			first++
		}
		if over := float64(i-first+1) - slowStartBound(last.allowed); over > most {
			most, calls, allowed = over, i-first+1, last.allowed
		}
	}
	return calls, allowed
}

// slowStartCases are what a fleet is tried with.
var slowStartCases = []struct {
	name    string
	routers int
	seeds   int
}{{"one", 1, 4}, {"two", 2, 4}, {"twenty-four", 24, 6}, {"thirty", 30, 6}, {"three hundred", 300, 3}}

// checkSlowStartBudget plays a fleet with many seeds, and compares the fullest span of each with the bound.
func checkSlowStartBudget(t *testing.T, change func(*Settings), play func(f *slowStartFleet) (counted Time)) {
	t.Helper()
	for _, c := range slowStartCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var parts []float64
			total := 0
			for seed := range c.seeds {
				f := newSlowStartFleet(t, c.routers, uint64(seed+1), change)
				calls, allowed := f.worst(play(f))
				parts = append(parts, float64(calls)/allowed)
				total += len(f.sends)
				if bound := slowStartBound(allowed); float64(calls) > bound {
					t.Errorf("seed %d: %d calls in %v, allowed are %.1f, at most %.1f", seed+1, calls, f.set.SlowStartSpan, allowed, bound)
				}
			}
			if total == 0 {
				t.Error("nothing was sent")
			}
			slices.Sort(parts)
			t.Logf("calls in the fullest span, as parts of what is allowed: %.2f to %.2f, median %.2f; %d sends in all", parts[0],
				parts[len(parts)-1], parts[len(parts)/2], total)
		})
	}
}

const restartAt = start + 10*time.Second

// TestSlowStartBurst: there is little demand, then the primary restarts and all clients send at once.
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

// TestSlowStartBySteppedClocks: the wall clock of the server, or that of the routers, has been stepped: the start that
// the list reports lies ahead of the routers' clock, or long before it.
func TestSlowStartBySteppedClocks(t *testing.T) {
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

// TestSlowStartRetries: the server refuses most of what it gets, and all of it is sent again.
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

// TestSlowStartRestarts: all routers are replaced, by ones without a snapshot, again and again while the server is
// cold. What a router sent before counts in the same span.
func TestSlowStartRestarts(t *testing.T) {
	checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
		f.demand(start+7*time.Second, start+18*time.Second, 200)
		f.restart(restartAt, 0)
		f.at(restartAt, func() { // it answers at once, so that nothing but its budget holds a router back
			f.answer = func(*slowStartFleet) (Result, time.Duration) { return OK, ms }
		})
		for step := range 12 {
			f.at(restartAt+time.Second+Time(step)*f.set.SlowStartSpan/3, func() {
				for i := range f.routers {
					f.begin(i)
				}
			})
		}
		f.run(start + 18*time.Second)
		return restartAt
	})
}

// TestSlowStartAnew: routers learn of the start at different times, and during the slow start the server starts once
// more.
func TestSlowStartAnew(t *testing.T) {
	const delay = 300 * ms
	checkSlowStartBudget(t, nil, func(f *slowStartFleet) Time {
		f.demand(start+7*time.Second, start+18*time.Second, 200)
		f.restart(restartAt, delay)
		f.restart(restartAt+4*time.Second, 0)
		f.run(start + 18*time.Second)
		return restartAt + delay
	})
}

// TestSlowStartSparse: where each router has a request now and then, a server in slow start still gets a good part of
// its budget. There may be more demand than the budget, but not by many routers at a time.
func TestSlowStartSparse(t *testing.T) {
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
		allowed += f.allowed((from+to)/2) * float64(to-from) / float64(f.set.SlowStartSpan)
	}
	t.Logf("%.2f of what is allowed", got/allowed)
	if got < 0.65*allowed { // 0.60 where a draw is good for a quarter of a span alone
		t.Errorf("%.0f calls, %.0f are allowed", got, allowed)
	}
}
