package main

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/protocol/pgwire"
)

// answerByClock has a scripted server answer by a clock that is ahead of this machine's clock, with data of the age old.
func answerByClock(queries <-chan receivedQuery, role string, ahead, age time.Duration) {
	isPrimary := 0
	if role == "primary" {
		isPrimary = 1
	}
	for query := range queries {
		ms := time.Now().Add(ahead - age).UnixMilli()
		value := role
		if query.sql == "SHOW load" {
			value = fmt.Sprintf("x0=%d.%03d,x1=%d", ms/1000, ms%1000, isPrimary)
		} else if age > time.Second {
			value = "stale"
		}
		b := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte(value)), "SELECT 1")
		b = pgwire.AppendParameter(b, "role", role)
		query.send(pgwire.AppendReady(pgwire.AppendParameter(b, "applied_ms", fmt.Sprint(ms))))
	}
}

// TestReadsWithServerClockOffset: a process that started while its machine's clock was stepped differs from its servers for as long as it
// runs. Its reads with a staleness bound are still served, also by replicas once the offset is known, and never by a replica whose data are
// older than the bound.
func TestReadsWithServerClockOffset(t *testing.T) {
	for _, ahead := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second, 0} {
		t.Run(ahead.String(), func(t *testing.T) {
			t.Parallel()
			addrPrimary, atPrimary := server(t)
			addrFresh, atFresh := server(t)
			addrStale, atStale := server(t)
			go answerByClock(atPrimary, "primary", ahead, 0)
			go answerByClock(atFresh, "replica", ahead, 20*time.Millisecond)
			go answerByClock(atStale, "replica", ahead, 5*time.Second)
			p := newPooler(testConfig(t, addrPrimary, nil, func(c *config.Config) {
				for i, addr := range []string{addrFresh, addrStale} {
					c.InitialList.Instances = append(c.InitialList.Instances, discovery.Instance{ID: fmt.Sprint("replica-", i), HostPort: addr, Lifecycle: "up", Weight: 1, Role: "replica"})
				}
				c.Settings.MayCheckHealth = true
				c.Classes = append(c.Classes, "young")
				c.Settings.Classes = append(c.Settings.Classes, decide.Class{LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 1, Read: decide.ReadBounded, MaxStaleness: 800 * time.Millisecond})
			}), slog.New(slog.DiscardHandler))
			pooler, _, _, _ := launch(t, p)
			c := client(t, pooler)
			got := map[string]int{}
			for n := 0; n < 400 && got["TDCZ replica"] < 20; n++ {
				c.send(query(fmt.Sprint(n), "young", 9000))
				answer := c.answer()
				if got[answer]++; strings.Contains(answer, "stale") {
					t.Fatalf("read %d is served by a replica that is 5 s behind", n)
				}
				time.Sleep(10 * time.Millisecond) // the reads take some seconds, as the offset is confirmed over one second
			}
			if got["TDCZ replica"] == 0 || len(got) > 2 {
				t.Errorf("answers are %v, want some of the up-to-date replica, and only answers of it and the primary", got)
			}
			t.Log(got)
		})
	}
}
