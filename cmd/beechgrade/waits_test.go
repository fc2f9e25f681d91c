package main

import (
	"fmt"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
)

// keyedWrite is a query of the class write with a key, by which servers know a repeat.
func keyedWrite(id, key string, wait int) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', 'v') RETURNING content /* id=%s,k=%s,c=write,d=%d,cluster=0 */", id, key, wait))
}

// TestAttemptsThatWaitInVainEnd: the time of a write runs out while its attempt waits for a connection that does not come up. What its client is told hangs on
// what has gone out before: with nothing, or only what did not run, trying again is harmless; else nothing is promised.
func TestAttemptsThatWaitInVainEnd(t *testing.T) {
	keys := func(c *config.Config) {
		w := &c.Settings.Classes[1]
		w.Idempotency, w.KeyScope, w.KeyWindow = decide.IdempotentWithKey, decide.ScopeGroup, patience
	}
	brief := func(c *config.Config) { // a request takes a fifth of a second, as far as is known
		c.Settings.Classes[0].LatencyObjective, c.Settings.Classes[1].LatencyObjective, c.Settings.Classes[1].LateWeight = time.Second, time.Second, 0.5
	}
	breaks := func(q asked) { _ = q.Close() }
	for name, story := range map[string]struct {
		change func(*config.Config)
		ask    []byte
		first  func(asked) // what becomes of the attempt on the one connection that comes up; nil where none does
		before []byte      // another client's request, that has that one
		want   string
	}{
		"no connection comes up":                  {nil, query("1", "write", 500), nil, nil, "EZ 53300"},
		"none comes up for one with a key":        {keys, keyedWrite("1", "a", 500), nil, nil, "EZ 53300"},
		"an attempt was turned away":              {nil, query("1", "write", 3000), func(q asked) { q.send(failure("53300")); breaks(q) }, nil, "EZ 53300"},
		"an attempt with a key broke":             {keys, keyedWrite("1", "a", 3000), breaks, nil, "EZ 58000"},
		"another's with that key broke":           {keys, keyedWrite("2", "a", 3000), breaks, keyedWrite("1", "a", 1500), "EZ 58000"},
		"another's with another key broke":        {keys, keyedWrite("2", "b", 3000), breaks, keyedWrite("1", "a", 1500), "EZ 53300"},
		"one that must not run twice, that broke": {nil, query("1", "write", 3000), breaks, nil, "EZ 58000"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			never := make(chan struct{})
			t.Cleanup(func() { close(never) })
			addr, queries := welcomed(t, func(n int) {
				if n > 1 || story.first == nil {
					<-never
				}
			})
			change := []func(*config.Config){brief}
			if story.change != nil {
				change = append(change, story.change)
			}
			pooler, _, _ := start(t, addr, nil, change...)
			if story.before != nil {
				other := client(t, pooler)
				other.send(story.before)
				story.first(nextQuery(t, queries))
				other.want("EZ 58000")
			}
			c := client(t, pooler)
			c.send(story.ask)
			if story.first != nil && story.before == nil {
				story.first(nextQuery(t, queries))
			}
			c.want(story.want)
		})
	}
}
