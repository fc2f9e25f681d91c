package main

import (
	"fmt"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
)

// keyedWrite returns a query of the class write with an idempotency key.
func keyedWrite(id, key string, wait int) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', 'v') RETURNING content /* id=%s,k=%s,c=write,d=%d,cluster=0 */", id, key, wait))
}

// TestWriteTimesOutWaitingForConnection: the deadline of a write passes while its attempt waits for a connection that does not come up. The
// client's error depends on earlier attempts: if none was sent, or only ones that did not run, a retry is safe; otherwise the outcome is
// unknown.
func TestWriteTimesOutWaitingForConnection(t *testing.T) {
	keys := func(c *config.Config) {
		w := &c.Settings.Classes[1]
		w.Idempotency, w.KeyScope, w.KeyWindow = decide.IdempotentWithKey, decide.ScopeGroup, testTimeout
	}
	shortObjective := func(c *config.Config) { // the estimated time of a request is a fifth of a second
		c.Settings.Classes[0].LatencyObjective, c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].LateWeight = time.Second, time.Second, 0.5
	}
	breaks := func(q receivedQuery) { _ = q.Close() }
	for name, tc := range map[string]struct {
		change func(*config.Config)
		ask    []byte
		first  func(receivedQuery) // the outcome of the attempt on the only connection that comes up; nil if none does
		before []byte              // another client's request, which is sent on that connection
		want   string
	}{
		"no connection comes up":                          {nil, query("1", "write", 500), nil, nil, "EZ 53300"},
		"no connection comes up for a keyed write":        {keys, keyedWrite("1", "a", 500), nil, nil, "EZ 53300"},
		"an attempt was rejected":                         {nil, query("1", "write", 3000), func(q receivedQuery) { q.send(errorAnswer("53300")); breaks(q) }, nil, "EZ 53300"},
		"an attempt with a key broke":                     {keys, keyedWrite("1", "a", 3000), breaks, nil, "EZ 58000"},
		"another client's attempt with that key broke":    {keys, keyedWrite("2", "a", 3000), breaks, keyedWrite("1", "a", 1500), "EZ 58000"},
		"another client's attempt with another key broke": {keys, keyedWrite("2", "b", 3000), breaks, keyedWrite("1", "a", 1500), "EZ 53300"},
		"an attempt that must not run twice broke":        {nil, query("1", "write", 3000), breaks, nil, "EZ 58000"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			never := make(chan struct{})
			t.Cleanup(func() { close(never) })
			addr, queries := serverWithDelayedHandshake(t, func(n int) {
				if n > 1 || tc.first == nil {
					<-never
				}
			})
			change := []func(*config.Config){shortObjective}
			if tc.change != nil {
				change = append(change, tc.change)
			}
			pooler, _, _ := startPooler(t, addr, nil, change...)
			if tc.before != nil {
				other := client(t, pooler)
				other.send(tc.before)
				tc.first(nextQuery(t, queries))
				other.want("EZ 58000")
			}
			c := client(t, pooler)
			c.send(tc.ask)
			if tc.first != nil && tc.before == nil {
				tc.first(nextQuery(t, queries))
			}
			c.want(tc.want)
		})
	}
}
