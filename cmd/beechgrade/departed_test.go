package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// Tests of clients that close their connection before their request has been sent to a server. The event loop is blocked meanwhile, so
// that it handles the event that releases the attempt before it sees the close. Only a check of the client's socket right before sending
// can then prevent the attempt.

// networkDelay is the time that bytes and closes on local connections are given to arrive. It is also how long such a client has been gone
// when the loop resumes; no attempt may begin then.
const networkDelay = 150 * time.Millisecond

// blockLoop blocks a pooler's event loop until resume is called.
func blockLoop(p *pooler) (resume func()) {
	stopped, resumed := make(chan struct{}), make(chan struct{})
	p.loop.Post(func() { close(stopped); <-resumed })
	<-stopped
	return func() { close(resumed) }
}

// serverWithDelayedHandshake is a scripted server like server that completes the handshake of its n-th connection once wait(n) returns.
func serverWithDelayedHandshake(t testing.TB, wait func(n int)) (addr string, queries <-chan receivedQuery) {
	l := listen(t)
	ch := make(chan receivedQuery, 100)
	serve := func(nc net.Conn, n int) {
		p := newPeer(t, nc)
		var size [4]byte
		if _, err := io.ReadFull(p.in, size[:]); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, p.in, int64(binary.BigEndian.Uint32(size[:]))-4)
		wait(n)
		p.send(pgwire.AppendStartupResponse(nil))
		for {
			typ, body := p.message()
			if typ == 0 {
				ch <- receivedQuery{p, "(gone)", n}
				return
			}
			sql, _ := pgwire.Text(body)
			ch <- receivedQuery{p, sql, n}
		}
	}
	go func() {
		for n := 1; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc, n)
		}
	}()
	return l.Addr().String(), ch
}

// departureScenario is the state of one test of a client that disconnects.
type departureScenario struct {
	t       testing.TB
	pooler  string
	queries <-chan receivedQuery
	client  *peer         // sends the request with id=gone and disconnects
	gate    chan struct{} // in gated scenarios, handshakes of server connections complete once it is closed
}

// sendRequest makes the client send its request.
func (d *departureScenario) sendRequest() { d.client.send(query("gone", "read", 9000)) }

// sendRequestAndWait makes the client send its request, and waits until the attempt has reached the server.
func (d *departureScenario) sendRequestAndWait() receivedQuery {
	d.sendRequest()
	return nextQuery(d.t, d.queries)
}

// waitForLoop waits until the loop has read everything that was sent to the pooler before.
func (d *departureScenario) waitForLoop() {
	d.t.Helper()
	bystander := client(d.t, d.pooler)
	bystander.send(pgwire.AppendQuery(nil, ""))
	bystander.want("IZ")
	_ = bystander.Close()
}

// errorAnswer returns a server's answer with the given SQLSTATE.
func errorAnswer(code string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, "no", ""))
}

// departureScenarios are the states in which a request can wait. prepare brings the request there and returns a function that releases its
// next attempt.
var departureScenarios = map[string]struct {
	change       func(*config.Config)
	gated        bool          // handshakes of server connections complete once the gate is open...
	ungatedConns int           // ...except for this many first connections
	blockedFor   time.Duration // how long the loop is blocked before the client disconnects, if longer than networkDelay
	prepare      func(d *departureScenario) (release func())
}{
	"as its request arrives": {prepare: func(d *departureScenario) func() {
		other := client(d.t, d.pooler)
		other.send(query("other", "read", 9000))
		nextQuery(d.t, d.queries).send(row("v")) // this leaves an idle connection
		other.want("TDCZ v")
		return d.sendRequest
	}},
	"while a connection comes up": {gated: true, prepare: func(d *departureScenario) func() {
		d.sendRequest()
		d.waitForLoop()
		return func() { close(d.gate) }
	}},
	"while it waits for one that is in use": {gated: true, ungatedConns: 1, prepare: func(d *departureScenario) func() {
		other := client(d.t, d.pooler)
		other.send(query("other", "read", 9000))
		held := nextQuery(d.t, d.queries)
		d.sendRequest()
		d.waitForLoop()
		return func() { held.send(row("v")) }
	}},
	"between attempts, after an error": {prepare: func(d *departureScenario) func() {
		held := d.sendRequestAndWait()
		return func() { held.send(errorAnswer("XX000")) }
	}},
	"between attempts, after a reset": {prepare: func(d *departureScenario) func() {
		held := d.sendRequestAndWait()
		return func() { _ = held.Conn.(*net.TCPConn).SetLinger(0); _ = held.Close() }
	}},
	"while its server is full": {change: func(c *config.Config) {
		c.Settings.Classes[0].LatencyObjective, c.Settings.Classes[0].LateWeight = 100*time.Millisecond, 0.5 // with these, a server that is full gets no request for two seconds
	}, blockedFor: 3 * time.Second, prepare: func(d *departureScenario) func() {
		bystander := client(d.t, d.pooler)
		d.sendRequestAndWait().send(errorAnswer("53300"))
		d.waitForLoop()
		return func() { bystander.send(pgwire.AppendQuery(nil, "")) } // after this callback the timer of the decision module runs
	}},
	"while a probe is out for the role": {change: func(c *config.Config) {
		c.InitialList.Instances[0].Role, c.Settings.MayCheckHealth = "replica", true
	}, prepare: func(d *departureScenario) func() {
		d.client.send(query("gone", "write", 9000))
		probe := next(d.t, d.queries)
		if probe.sql != "SHOW load" {
			d.t.Fatalf("the first query is %q, want the probe SHOW load", probe.sql)
		}
		return func() { probe.send(row(fmt.Sprintf("x0=%d.25,x1=1", time.Now().Unix()-1))) }
	}},
}

// TestRequestOfDisconnectedClientIsNotSent checks that a request whose client has disconnected is not sent to a server and ends, although
// the loop handles the event that releases its next attempt before it sees the close. It covers each state in which a request can wait.
func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	for name, scenario := range departureScenarios {
		for how, leave := range map[string]func(*peer){
			"closed": func(p *peer) { _ = p.Close() },
			"reset":  func(p *peer) { _ = p.Conn.(*net.TCPConn).SetLinger(0); _ = p.Close() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				gate := make(chan struct{})
				addr, queries := serverWithDelayedHandshake(t, func(n int) {
					if scenario.gated && n > scenario.ungatedConns {
						<-gate
					}
				})
				var change []func(*config.Config)
				if scenario.change != nil {
					change = append(change, scenario.change)
				}
				p := newPooler(testConfig(t, addr, nil, change...), slog.New(slog.DiscardHandler))
				pooler, _, _, _ := launch(t, p)
				d := &departureScenario{t: t, pooler: pooler, queries: queries, client: client(t, pooler), gate: gate}
				release := scenario.prepare(d)
				resume := blockLoop(p)
				time.Sleep(networkDelay) // everything sent before has arrived
				before := countReceivedAttempts(queries, "gone")
				release()
				time.Sleep(max(networkDelay, scenario.blockedFor)) // the release has reached the pooler's socket
				leave(d.client)
				time.Sleep(networkDelay)
				resume()
				last := client(t, pooler)
				last.send(query("last", "read", 9000))
				for end := time.Now().Add(testTimeout); ; {
					q := nextQuery(t, queries)
					if strings.Contains(q.sql, "id=gone,") {
						t.Fatalf("the server got %q, %v after its client had disconnected; %d attempts came before", q.sql, networkDelay, before)
					}
					if q.sql == "SHOW load" {
						q.send(row(fmt.Sprintf("x0=%d.25,x1=1", time.Now().Unix()-1)))
					} else {
						q.send(row("v"))
					}
					if strings.Contains(q.sql, "id=last,") || time.Now().After(end) {
						break
					}
				}
				last.want("TDCZ v")
				open := make(chan int)
				p.loop.Post(func() { open <- p.core.OpenRequests() })
				if n := <-open; n != 0 {
					t.Errorf("open requests: got %d, want none", n)
				}
			})
		}
	}
}

// countReceivedAttempts takes the queries that a server has received so far and counts the attempts of one request.
func countReceivedAttempts(queries <-chan receivedQuery, id string) (n int) {
	for {
		select {
		case q := <-queries:
			if strings.Contains(q.sql, "id="+id+",") {
				n++
			}
		default:
			return n
		}
	}
}
