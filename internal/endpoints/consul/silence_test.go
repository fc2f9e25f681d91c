package consul

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestSilentQueryLeavesTimeForAnother checks that after an unanswered query the next one is due at least 500 ms before the changes that
// were missed must be known: 2 s after the end of a blocking query's wait, or 6 s after the start of a query that does not block. It also
// checks that a query's timeout leaves 500 ms for the response after the wait and the sixteenth of it that an agent may add.
func TestSilentQueryLeavesTimeForAnother(t *testing.T) {
	for _, agents := range []int{1, 2} {
		for _, index := range []uint64{0, 7} {
			for _, waitMs := range []float64{200, 5000, 20000, 60000, 600000} {
				for _, draw := range []float64{0, 0.5, 0.999} {
					watch := NewWatch(agents, waitMs, 0, func() float64 { return draw })
					now := 1e6
					if index > 0 {
						query, at := watch.Next(now)
						watch.HandleResponse(at, query, Response{Status: 200, Index: index})
					}
					for range 9 {
						query, queriedAt := watch.Next(now)
						deadline := queriedAt + 6000
						if index > 0 {
							deadline = queriedAt + query.WaitMs + 2000
							if query.WaitMs > waitMs || query.TimeoutMs() < query.WaitMs+query.WaitMs/16+500 {
								t.Fatalf("wait %v ms: query waits for %v ms, times out after %v ms; want at most the given wait, and 500 ms left after 17/16 of the query's wait", waitMs, query.WaitMs, query.TimeoutMs())
							}
						}
						now = queriedAt + query.TimeoutMs()
						watch.HandleResponse(now, query, Response{Err: errors.New("no answer")})
						if next, at := watch.Next(now); at+500+timerDelay(query) > deadline || next.Index != index || agents > 1 && next.Agent == query.Agent {
							t.Fatalf("%d agents, index %d, wait %v ms: %+v is due %v ms before the missed changes must be known, want at least %v, the same index and another agent", agents, index, waitMs, next, deadline-at, 500+timerDelay(query))
						}
					}
				}
			}
		}
	}
}

// timerDelay is how late timers may fire on a busy machine while the query after an unanswered blocking one still has 500 ms. After a
// query that does not block it is 0, as the pause ends at a random time before its upper bound.
func timerDelay(query Query) float64 {
	if query.Index == 0 {
		return 0
	}
	return 150
}

// TestSilentQueryOnTheWireIsReplaced checks over HTTP, with the default wait, that an agent that never answers is queried again within
// 1.5 s after the wait.
func TestSilentQueryOnTheWireIsReplaced(t *testing.T) {
	t.Parallel()
	type poll struct {
		wait time.Duration // of the query; 0 if it does not block
		at   time.Time
	}
	polls := make(chan poll, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
		polls <- poll{wait, time.Now()}
		if wait > 0 {
			<-request.Context().Done()
			return
		}
		writer.Header().Set("X-Consul-Index", "7")
		_, _ = writer.Write([]byte("[]"))
	}))
	t.Cleanup(agent.Close)
	startWatch(t, 0, func(options *Options) {
		options.Agents, options.WaitMs = []string{agent.Listener.Addr().String()}, 20000
	})
	<-polls
	silent := <-polls
	if silent.wait == 0 {
		t.Fatal("the second query does not block")
	}
	const answer = 500 * time.Millisecond
	select {
	case next := <-polls:
		t.Logf("queried with a wait of %v, again after %v", silent.wait, next.at.Sub(silent.at))
	case <-time.After(time.Until(silent.at.Add(silent.wait + 2*time.Second - answer))):
		t.Fatalf("not queried again within 1.5 s after a wait of %v", silent.wait)
	}
}

// TestNextQueryMeetsTheDeadline checks that after any kind of failure, however often repeated, the next query begins early enough: an
// agent's instances must be known 6 s after the agent became reachable.
func TestNextQueryMeetsTheDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		response Response
		tookMs   float64
	}{
		"refused at once":      {Response{Err: errors.New("refused")}, 1},
		"timed out":            {Response{Err: errors.New("no answer")}, Query{}.TimeoutMs()},
		"failed after a while": {Response{Status: 500}, 2500},
		"denied":               {Response{Status: 403}, 10},
		"asked to retry later": {Response{Status: 429, RetryAfterMs: 60000}, 10},
	} {
		for _, agents := range []int{1, 2} {
			for _, draw := range []float64{0, 0.5, 0.999} {
				watch := NewWatch(agents, 60000, 0, func() float64 { return draw })
				now := 1e6
				for range 20 {
					query, queriedAt := watch.Next(now)
					now = queriedAt + c.tookMs
					watch.HandleResponse(now, query, c.response)
					if _, next := watch.Next(now); next+500 > queriedAt+6000 {
						t.Fatalf("%s, %d agents: the next query begins %v ms after this one, want at most 5500", name, agents, next-queriedAt)
					}
				}
			}
		}
	}
}
