package consul

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestSilentQueryLeavesTimeForAnother checks that after a silent query the next one is due early enough: half a second before
// what the silent one missed must be known, which is 2 s after its wait, or 6 s after its start without a wait. Half a second
// is also left to a response that the agent holds back for as long as it may.
func TestSilentQueryLeavesTimeForAnother(t *testing.T) {
	for _, agents := range []int{1, 2} {
		for _, index := range []uint64{0, 7} {
			for _, wait := range []float64{200, 5000, 20000, 60000, 600000} {
				for _, draw := range []float64{0, 0.5, 0.999} {
					w := NewWatch(agents, wait, 0, func() float64 { return draw })
					now := 1e6
					if index > 0 {
						query, at := w.Next(now)
						w.HandleResponse(at, query, Response{Status: 200, Index: index})
					}
					for range 9 {
						query, queriedAt := w.Next(now)
						deadline := queriedAt + 6000
						if index > 0 {
							deadline = queriedAt + query.WaitMs + 2000
							if query.WaitMs > wait || query.TimeoutMs() < query.WaitMs+query.WaitMs/16+500 {
								t.Fatalf("wait %v: queried for %v, given up after %v", wait, query.WaitMs, query.TimeoutMs())
							}
						}
						now = queriedAt + query.TimeoutMs()
						w.HandleResponse(now, query, Response{Err: errors.New("no answer")})
						if next, at := w.Next(now); at+500+timerDelay(query) > deadline || next.Index != index || agents > 1 && next.Agent == query.Agent {
							t.Fatalf("%d agents, index %d, wait %v: %+v is due %v ms before what was missed must be known", agents, index, wait, next, deadline-at)
						}
					}
				}
			}
		}
	}
}

// timerDelay is how late timers may be on a busy machine before the query after a silent poll has less than half a second. After a query that
// may not wait, the pause ends at a drawn time before that.
func timerDelay(q Query) float64 {
	if q.Index == 0 {
		return 0
	}
	return 150
}

// TestSilentQueryOnTheWireIsReplaced checks the same over HTTP, with the default wait: an agent that never answers is queried
// again within 1.5 s after the wait.
func TestSilentQueryOnTheWireIsReplaced(t *testing.T) {
	t.Parallel()
	type poll struct {
		wait time.Duration // of the query; 0 for an answer at once
		at   time.Time
	}
	polls := make(chan poll, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		polls <- poll{wait, time.Now()}
		if wait > 0 {
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Consul-Index", "7")
		_, _ = w.Write([]byte("[]"))
	}))
	t.Cleanup(agent.Close)
	startWatch(t, 0, func(o *Options) { o.Agents, o.WaitMs = []string{agent.Listener.Addr().String()}, 20000 })
	<-polls
	silent := <-polls
	if silent.wait == 0 {
		t.Fatal("the second query does not wait")
	}
	const answer = 500 * time.Millisecond
	select {
	case next := <-polls:
		t.Logf("queried with a wait of %v, again after %v", silent.wait, next.at.Sub(silent.at))
	case <-time.After(time.Until(silent.at.Add(silent.wait + 2*time.Second - answer))):
		t.Fatalf("not queried again within 1.5 s after a wait of %v", silent.wait)
	}
}

// TestNextQueryMeetsTheDeadline checks that the next query begins early enough after failures of all kinds, however often they
// come: what an agent has must be known 6 s after it could be reached.
func TestNextQueryMeetsTheDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		answer Response
		took   float64
	}{
		"refused at once":          {Response{Err: errors.New("refused")}, 1},
		"hung":                     {Response{Err: errors.New("no answer")}, Query{}.TimeoutMs()},
		"failed after a while":     {Response{Status: 500}, 2500},
		"denied":                   {Response{Status: 403}, 10},
		"asked to come back later": {Response{Status: 429, RetryAfterMs: 60000}, 10},
	} {
		for _, agents := range []int{1, 2} {
			for _, draw := range []float64{0, 0.5, 0.999} {
				w := NewWatch(agents, 60000, 0, func() float64 { return draw })
				now := 1e6
				for range 20 {
					query, queriedAt := w.Next(now)
					now = queriedAt + c.took
					w.HandleResponse(now, query, c.answer)
					if _, next := w.Next(now); next+500 > queriedAt+6000 {
						t.Fatalf("%s, %d agents: the next query begins %v ms after this one", name, agents, next-queriedAt)
					}
				}
			}
		}
	}
}
