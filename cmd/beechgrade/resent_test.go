package main

import (
	"log/slog"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/protocol/pgwire"
)

// TestResentAfterAClose: a client's connection ends under its request, and the client sends that once more on a new connection, under the same id, while the
// attempt of the first is still out, as it cannot be called off. A read is served; a write that may have run fails, and is not sent a second time.
func TestResentAfterAClose(t *testing.T) {
	addr, queries := server(t)
	p := newPooler(testConfig(t, addr, nil, func(c *config.Config) { c.Settings.MayCancel = false }), slog.New(slog.DiscardHandler))
	pooler, _, _, _ := launch(t, p)
	again := func(class string) (first asked, c *peer) {
		c = client(t, pooler)
		c.send(query("1-"+class, class, 9000))
		first = next(t, queries)
		_ = c.Close()
		within(t, "the pooler knows that the client has gone", func() bool {
			gone := make(chan bool, 1)
			p.loop.Post(func() { gone <- p.platform.Sessions() == 0 })
			return <-gone
		})
		c = client(t, pooler)
		c.send(query("1-"+class, class, 9000))
		return first, c
	}
	first, c := again("read")
	second := next(t, queries)
	first.send(row("to nobody"))
	second.send(row("v"))
	c.want("TDCZ v")
	c.send(query("1-read", "read", 9000)) // it is open no more
	next(t, queries).send(row("w"))
	c.want("TDCZ w")
	_ = c.Close()
	first, c = again("write")
	c.want("EZ 58000")
	first.send(row("to nobody"))
	if len(queries) > 0 {
		t.Errorf("the server was asked %q", (<-queries).sql)
	}
}

// TestResentWhereItMayHaveRun: a client sends a write under its id once more when the first has ended and may have run. What must never
// run twice fails, and is not sent a second time; what servers know by a key is sent again under that key within its window, and not
// behind it. What is known not to have run is sent.
func TestResentWhereItMayHaveRun(t *testing.T) {
	const sent = "TDCZ v"
	for name, story := range map[string]struct {
		class string
		ends  func(p *pooler, c *peer, q asked)
		again string
	}{
		"called off": {"write", func(_ *pooler, c *peer, _ asked) { _ = c.Close() }, "EZ 58000"},
		"failed": {"write", func(_ *pooler, c *peer, q asked) {
			_ = q.Close()
			c.want("EZ 58000")
		}, "EZ 58000"},
		"answered as its client closed": {"write", func(p *pooler, c *peer, q asked) {
			stands, proceed := make(chan bool), make(chan bool)
			p.loop.Post(func() { close(stands); <-proceed })
			<-stands
			q.send(row("to nobody"))
			_ = c.Close()
			close(proceed)
		}, "EZ 58000"},
		"never ran": {"write", func(_ *pooler, c *peer, q asked) {
			q.send(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "53300", "full", "")))
			c.want("EZ 53300")
		}, sent},
		"within the key's window": {"keyed", func(_ *pooler, c *peer, _ asked) { _ = c.Close() }, sent},
		"behind the key's window": {"brief", func(_ *pooler, c *peer, _ asked) { _ = c.Close(); time.Sleep(30 * time.Millisecond) }, "EZ 53300"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, queries := server(t)
			p := newPooler(testConfig(t, addr, nil, func(c *config.Config) {
				set := c.Settings.Classes[1]
				set.Idempotency, set.KeyWindow = decide.IdempotentWithKey, time.Hour
				short := set
				short.KeyWindow = 20 * time.Millisecond
				c.Classes, c.Settings.Classes = append(c.Classes, "keyed", "brief"), append(c.Settings.Classes, set, short)
			}), slog.New(slog.DiscardHandler))
			pooler, _, _, _ := launch(t, p)
			write := func(wait string) []byte {
				return pgwire.AppendQuery(nil, "INSERT INTO kv (name, content) VALUES ('k', 'v') RETURNING content /* id=1,c="+story.class+",d="+wait+",cluster=0,k=key */")
			}
			c := client(t, pooler)
			c.send(write("400"))
			story.ends(p, c, next(t, queries))
			until(t, p, "the first has ended", func() bool { return p.core.OpenRequests() == 0 })
			c = client(t, pooler)
			c.send(write("9000"))
			answered := make(chan string, 1)
			go func() { answered <- c.answer() }()
			for {
				select {
				case got := <-answered:
					if got != story.again {
						t.Errorf("got %q, want %q", got, story.again)
					}
					return
				case q := <-queries:
					if q.sql == "(gone)" {
						break
					}
					if story.again != sent {
						t.Errorf("the server was asked again: %q", q.sql)
					}
					q.send(row("v"))
				}
			}
		})
	}
}
