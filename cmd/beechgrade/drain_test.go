package main

import (
	"fmt"
	"testing"

	"beechgrade/internal/protocol/pgwire"
)

// TestRefusedClientIsClosedInDrain is a regression test: 4 s after the start of a drain, a pooler still held a client connection.
//
// From 1.5 s after the start of a drain, new commands are refused. A client connected, its first request was refused, and it immediately
// retried on the same connection. A connection without a request is spared for 250 ms, because its first request is probably in transit. A
// refused request did not count as a request, and each refusal restarted the 250 ms, so the connection never counted as idle. In the
// incident, 200 requests were accepted and 51 refused in the second of the first refusals, then 280 and 138, 276 and 127, 271 and 142 in
// the next three, while the answered ones stayed at 130 to 150 per second. Before the fix, one connection of this test took 1,000 refusals
// in a row and stayed open.
func TestRefusedClientIsClosedInDrain(t *testing.T) {
	srv, queries := server(t)
	go func() {
		for query := range queries {
			query.send(row("v"))
		}
	}()
	config := daemonConfig(srv, "127.0.0.1:1", 256, true)
	config["control"] = "127.0.0.1:0"
	d := runDaemon(t, buildDaemon(t), config, 256)
	admin := d.admin()
	for callAdmin(t, admin, "GET", "/-/ready") != "200 ready" {
	}
	if got := callAdmin(t, admin, "POST", "/-/drain"); got != "200 draining" {
		t.Fatalf("POST /-/drain: got %q, want \"200 draining\"", got)
	}
	const maxRefusals = 1000
	refused := firstRefusal(t, d.addr)
	if refused == nil {
		return
	}
	for n := range maxRefusals {
		refused.send(query(fmt.Sprint("again", n), "read", 9000))
		switch got := refused.answer(); got {
		case "EZ 57P03":
		case "$", "!": // the connection was closed while the request was in transit
			return
		default:
			t.Fatalf("request %d after the first refusal is answered %q, want SQLSTATE 57P03", n, got)
		}
	}
	t.Fatalf("the draining pooler has refused %d requests in a row on one connection and still holds it open", maxRefusals)
}

// firstRefusal opens one connection after the other, with one request each, until a request is refused. It returns that connection, or nil
// if the pooler closed it with the refusal.
func firstRefusal(t *testing.T, addr string) *peer {
	for n := 0; ; n++ {
		c := dial(t, addr)
		c.send(append(pgwire.AppendStartup(nil, "backend", "store"), query(fmt.Sprint("first", n), "read", 9000)...))
		got := c.answer()
		if got == "RSSSSZ" {
			got = c.answer()
		}
		switch got {
		case "EZ 57P03":
			return c
		case "E$ 57P03":
			return nil
		case "TDCZ v":
			_ = c.Close()
		default:
			t.Fatalf("first request on connection %d is answered %q, want \"TDCZ v\" or SQLSTATE 57P03", n, got)
		}
	}
}
