package main

import (
	"fmt"
	"math"
	"testing"
	"time"

	"beechgrade/internal/config"
)

// TestSlowStartBurst: poolers without a cluster send to one server in slow start, which answers at once. After an idle time each pooler gets
// a burst of requests. The server counts the calls N in every span: at most N + 3 root N + 3, where N, the number allowed, is under 30.
func TestSlowStartBurst(t *testing.T) {
	const (
		span     = 750 * time.Millisecond
		aim      = 400 * time.Millisecond
		coldFrom = 0.3
		multiple = 2.5
		cores    = 4
		clients  = 16 // of each pooler
		meanWork = 0.2 * float64(aim) / float64(time.Second)
	)
	allowed := multiple * coldFrom * cores * span.Seconds() / meanWork
	bound := allowed + 3*math.Sqrt(allowed) + 3 // under 30 calls
	for _, poolers := range []int{2, 24} {
		t.Run(fmt.Sprint(poolers), func(t *testing.T) {
			address, queries := server(t)
			calls := make(chan time.Time, 100000)
			go func() {
				for q := range queries {
					if q.sql != "(gone)" {
						calls <- time.Now()
						q.send(row("v"))
					}
				}
			}()
			var connected []*peer
			for i := range poolers {
				pooler, _, _ := startPooler(t, address, nil, func(c *config.Config) {
					c.Seed = uint64(i + 1)
					set := &c.Settings
					set.Peers, set.SlowStartMultiple, set.SlowStartSpan, set.SlowStartFrom, set.SlowStartTime = poolers, multiple, span, coldFrom, time.Hour
					for i := range set.Classes {
						set.Classes[i].LatencyObjective, set.Classes[i].LateWeight = aim, 0.5
					}
					c.InitialList.Instances[0].StartedAtMs = time.Now().Add(-time.Second).UnixMilli()
				})
				for range clients {
					connected = append(connected, client(t, pooler))
				}
			}
			time.Sleep(4 * span) // until every pooler has its full budget for a burst
			for n, c := range connected {
				c.send(query(fmt.Sprint(n), "read", 4000))
			}
			time.Sleep(4 * span)
			var at []time.Time
			for len(calls) > 0 {
				at = append(at, <-calls)
			}
			first, most := 0, 0
			for i := range at {
				for at[i].Sub(at[first]) >= span {
					first++
				}
				most = max(most, i-first+1)
			}
			t.Logf("%d calls, at most %d in a span; %.1f are allowed, the bound is %.1f", len(at), most, allowed, bound)
			if float64(most) > bound || most == 0 {
				t.Errorf("most calls in %v: got %d, want 1 to %.1f", span, most, bound)
			}
		})
	}
}
