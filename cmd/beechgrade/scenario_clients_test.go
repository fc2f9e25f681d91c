package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// TestRequestsEndWithTheirClient: when a client goes, its attempt is called off by closing the server's connection, which carries nothing
// after that.
func TestRequestsEndWithTheirClient(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := start(t, addr, nil)
	c := client(t, pooler)
	c.send(query("1", "read", 9000))
	next(t, queries)
	_ = c.Close()
	if q := next(t, queries); q.sql != "(gone)" || q.conn != 1 {
		t.Fatalf("after the client went: %q", q.sql)
	}
	c = client(t, pooler)
	c.send(query("2", "read", 9000))
	q := next(t, queries)
	q.send(row("v"))
	if c.want("TDCZ v"); q.conn != 2 {
		t.Errorf("on connection %d", q.conn)
	}
}

// TestBadInputEndsItsConnectionAlone: what breaks the protocol costs nobody else anything; what is only no request costs
// not even its connection.
func TestBadInputEndsItsConnectionAlone(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := start(t, addr, nil)
	c := client(t, pooler)
	for name, bad := range map[string][]byte{
		"too long": {'Q', 127, 0, 0, 0}, "no type known": {0, 0, 0, 0, 4}, "text without end": {'Q', 0, 0, 0, 5, 'x'}} {
		p := client(t, pooler)
		p.send(bad)
		if got := p.answer(); got != "E$ 08P01" {
			t.Errorf("%s: %q", name, got)
		}
	}
	for sql, want := range map[string]string{"SELECT 1": "EZ 42601", "SET a = 1": "CZ", ";": "IZ",
		"SELECT 1 /* id=1,c=other,d=5 */": "EZ 42601"} {
		c.send(pgwire.AppendQuery(nil, sql))
		c.want(want)
	}
	c.send(query("1", "read", 9000))
	next(t, queries).send(row("v"))
	c.want("TDCZ v")
}

// TestNoRequest: what is no request that could be asked has an error, and never reaches a server: the id of another client's
// open request, a write in a class of reads, a class or a group that there is not.
func TestNoRequest(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := start(t, addr, nil)
	c, other := client(t, pooler), client(t, pooler)
	c.send(query("1", "read", 9000))
	q := next(t, queries)
	other.send(query("1", "read", 9000))
	other.want("EZ 42601")
	for sql, want := range map[string]string{
		"INSERT INTO kv (name, content) VALUES ('k', '') RETURNING content /* id=2,c=read,d=9000,cluster=0 */": "EZ 42601",
		"SELECT content FROM kv WHERE name = 'k' /* id=3,c=reads,d=9000,cluster=0 */":                          "EZ 42601",
		"SELECT content FROM kv WHERE name = 'k' /* id=4,c=read,d=9000 */":                                     "EZ 42601",
		"SELECT content FROM kv WHERE name = 'k' /* id=5,c=read,d=9000,cluster=9 */":                           "EZ 53300"} {
		other.send(pgwire.AppendQuery(nil, sql))
		other.want(want)
	}
	if len(queries) > 0 {
		t.Errorf("the server was asked %q", (<-queries).sql)
	}
	q.send(row("v"))
	c.want("TDCZ v")
	other.send(query("1", "read", 9000)) // it is open no more
	next(t, queries).send(row("w"))
	other.want("TDCZ w")
}

// TestUnresponsiveClientsAreClosed: clients that connect and say nothing, or stop within a message, are closed soon, and make room at once for
// one that asks; neither costs a client with an open request anything.
func TestUnresponsiveClientsAreClosed(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := start(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 }) // eight for clients
	busy := client(t, pooler)
	busy.send(query("1", "read", 19000))
	q := next(t, queries)
	var silent []*peer
	for range 20 {
		silent = append(silent, dial(t, pooler))
	}
	c := client(t, pooler)
	c.send(query("2", "read", 9000))
	q2 := next(t, queries)
	q2.send(row("w"))
	c.want("TDCZ w")
	for _, p := range silent {
		if got := p.answer(); got != "$" {
			t.Errorf("a silent client was told %q", got)
		}
	}
	for name, part := range map[string][]byte{"startup": {0, 0, 0, 50, 0, 3}, "message": append(pgwire.AppendStartup(nil, "u", "d"), 'Q', 0, 0)} {
		p := dial(t, pooler)
		p.send(part)
		if got := strings.TrimPrefix(p.answer(), "RSSSSZ"); name == "startup" && got != "E$ 08P01" {
			t.Errorf("%s: told %q", name, got)
		} else if name == "message" {
			p.want("E$ 08P01")
		}
	}
	q.send(row("v"))
	busy.want("TDCZ v")
}

// TestRestedClientsMakeRoom: clients may open only so many connections, and some keep each for a while after one request. Where
// those that ask are many, the ones that rest longest are closed before there are too many, and nobody is turned away.
func TestRestedClientsMakeRoom(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := start(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 96 }) // room for 77 clients
	var clients []*peer
	ask := func(c *peer) {
		c.send(query(fmt.Sprint("ask", len(clients)), "read", 9000))
		q := next(t, queries)
		for q.sql == "(gone)" {
			q = next(t, queries)
		}
		q.send(row("v"))
		c.want("TDCZ v")
	}
	mute := client(t, pooler)
	for range 50 {
		clients = append(clients, client(t, pooler))
		ask(clients[len(clients)-1])
	}
	time.Sleep(2 * 20 * time.Millisecond) // so that they rest
	clients = append(clients, client(t, pooler))
	ask(clients[50])
	for _, c := range clients[:11] { // of 51, with 40 to stay
		c.want("$")
	}
	clients = append(clients, nil)
	ask(clients[11])
	ask(clients[50])
	ask(mute)
}

// TestRejectedClientsReadTheirError: a client for which there is no room is told so though it has sent its request already: a close with
// that unread would be a reset, which may overtake the word.
func TestRejectedClientsReadTheirError(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	pooler, _, _ := start(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 })
	for n := range 6 { // four of which have a connection to the server
		client(t, pooler).send(query(fmt.Sprint(n), "write", 19000)) // never answered
	}
	for range 20 {
		c := dial(t, pooler)
		c.send(append(pgwire.AppendStartup(nil, "backend", "store"), query("x", "read", 9000)...))
		c.want("E$ 53300")
		_ = c.Close()
	}
}

// TestRejectionHasARetryAfter: where the settings allow advice, a refusal has the module's wait in field D.
func TestRejectionHasARetryAfter(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	pooler, _, _ := start(t, addr, nil, func(c *config.Config) {
		c.InitialList.Instances[0].Cell, c.Settings.MaxRetryAfter = 9, 1500*time.Millisecond
	})
	c := client(t, pooler)
	c.send(query("1", "read", 400)) // nobody serves its group
	if typ, body := c.message(); typ != 'E' || !strings.Contains(string(body), "\x00D1500\x00") {
		t.Errorf("told %q %q", typ, body)
	}
}
