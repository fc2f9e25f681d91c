package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// TestRequestsEndWithTheirClient: when a client disconnects, its attempt is cancelled by closing the server connection, which is not used
// again.
func TestRequestsEndWithTheirClient(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	c.send(query("1", "read", 9000))
	next(t, queries)
	_ = c.Close()
	if q := next(t, queries); q.sql != "(gone)" || q.conn != 1 {
		t.Fatalf("after the client disconnected the server got %q on connection %d, want connection 1 closed", q.sql, q.conn)
	}
	c = client(t, pooler)
	c.send(query("2", "read", 9000))
	q := next(t, queries)
	q.send(row("v"))
	if c.want("TDCZ v"); q.conn != 2 {
		t.Errorf("the second request came on connection %d, want 2", q.conn)
	}
}

// TestMalformedInputEndsOnlyItsConnection: a protocol violation affects no other client, and a statement that is not a valid request does
// not even end its own connection.
func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
	c := client(t, pooler)
	for name, bad := range map[string][]byte{
		"too long": {'Q', 127, 0, 0, 0}, "unknown type": {0, 0, 0, 0, 4}, "unterminated text": {'Q', 0, 0, 0, 5, 'x'}} {
		p := client(t, pooler)
		p.send(bad)
		if got := p.answer(); got != "E$ 08P01" {
			t.Errorf("malformed input, %s: got %q, want \"E$ 08P01\"", name, got)
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

// TestInvalidRequestsAreRejected: a request that cannot be sent gets an error and never reaches a server: one with the id of another
// client's open request, a write in a class of reads, or an unknown class or group.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil)
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
		t.Errorf("query at the server after the rejected requests: got %q, want none", (<-queries).sql)
	}
	q.send(row("v"))
	c.want("TDCZ v")
	other.send(query("1", "read", 9000)) // no longer open
	next(t, queries).send(row("w"))
	other.want("TDCZ w")
}

// TestUnresponsiveClientsAreClosed: clients that connect and send nothing, or stop within a message, are closed soon, and at once if a
// client with a request needs the room. Clients with an open request are not affected.
func TestUnresponsiveClientsAreClosed(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 }) // eight are for clients
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
			t.Errorf("a silent client got %q, want the end of its connection", got)
		}
	}
	for name, part := range map[string][]byte{"startup": {0, 0, 0, 50, 0, 3}, "message": append(pgwire.AppendStartup(nil, "u", "d"), 'Q', 0, 0)} {
		p := dial(t, pooler)
		p.send(part)
		if got := strings.TrimPrefix(p.answer(), "RSSSSZ"); name == "startup" && got != "E$ 08P01" {
			t.Errorf("partial %s: got %q, want \"E$ 08P01\"", name, got)
		} else if name == "message" {
			p.want("E$ 08P01")
		}
	}
	q.send(row("v"))
	busy.want("TDCZ v")
}

// TestIdleClientsAreClosedForNewOnes: the number of client connections is limited, and some clients keep theirs for a while after one
// request. If many clients ask, those that have been idle longest are closed before the limit is reached, and nobody is rejected.
func TestIdleClientsAreClosedForNewOnes(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 96 }) // room for 77 clients
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
	idleClient := client(t, pooler)
	for range 50 {
		clients = append(clients, client(t, pooler))
		ask(clients[len(clients)-1])
	}
	time.Sleep(2 * 20 * time.Millisecond) // so that they are idle
	clients = append(clients, client(t, pooler))
	ask(clients[50])
	for _, c := range clients[:11] { // of 51 clients 40 stay
		c.want("$")
	}
	clients = append(clients, nil)
	ask(clients[11])
	ask(clients[50])
	ask(idleClient)
}

// TestRejectedClientsReadTheirError: a client for which there is no room gets the error even though it has sent its request already. A
// close with the request unread would be a reset, which may overtake the error.
func TestRejectedClientsReadTheirError(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 })
	for n := range 6 { // four of them have a connection to the server
		client(t, pooler).send(query(fmt.Sprint(n), "write", 19000)) // never answered
	}
	for range 20 {
		c := dial(t, pooler)
		c.send(append(pgwire.AppendStartup(nil, "backend", "store"), query("x", "read", 9000)...))
		c.want("E$ 53300")
		_ = c.Close()
	}
}

// TestRejectionHasARetryAfter: if the settings allow retry advice, a rejection has the module's wait in field D.
func TestRejectionHasARetryAfter(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	pooler, _, _ := startPooler(t, addr, nil, func(c *config.Config) {
		c.InitialList.Instances[0].Cell, c.Settings.MaxRetryAfter = 9, 1500*time.Millisecond
	})
	c := client(t, pooler)
	c.send(query("1", "read", 400)) // no server serves its group
	if typ, body := c.message(); typ != 'E' || !strings.Contains(string(body), "\x00D1500\x00") {
		t.Errorf("rejection is %q %q, want an ErrorResponse with 1500 in field D", typ, body)
	}
}
