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

// Stories of clients that close their connection before their request has gone out to a server. The loop stands still meanwhile, so
// that it finds what lets the attempt go before it finds the close: a look at the client's socket is all that can hold it back.

// lateBy is for how long such a client has been gone when the loop goes on; an attempt that begins then is forbidden.
const lateBy = 150 * time.Millisecond

// standstill stops a pooler's loop until the function is called.
func standstill(p *pooler) (resume func()) {
	stopped, resumed := make(chan struct{}), make(chan struct{})
	p.loop.Post(func() { close(stopped); <-resumed })
	<-stopped
	return func() { close(resumed) }
}

// welcomed is a scripted server like server, that welcomes its n-th connection when the function says.
func welcomed(t testing.TB, wait func(n int)) (addr string, queries <-chan receivedQuery) {
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

// departure is a story's way to the moment at which its client leaves.
type departure struct {
	t       testing.TB
	pooler  string
	queries <-chan receivedQuery
	client  *peer         // it asks for id=gone, and leaves
	gate    chan struct{} // servers' connections are welcomed once it is closed, where the story has it so
}

// begin has the client ask.
func (d *departure) begin() { d.client.send(query("gone", "read", 9000)) }

// begun has the client ask, and waits until its attempt has come to the server.
func (d *departure) begun() receivedQuery {
	d.begin()
	return nextQuery(d.t, d.queries)
}

// settle waits until the loop has come to all that was sent to it before.
func (d *departure) settle() {
	d.t.Helper()
	bystander := client(d.t, d.pooler)
	bystander.send(pgwire.AppendQuery(nil, ""))
	bystander.want("IZ")
	_ = bystander.Close()
}

// failure is a server's error.
func failure(code string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, "no", ""))
}

// departures are the ways: each brings the request to where it waits, and returns what lets its next attempt go.
var departures = map[string]struct {
	change  func(*config.Config)
	gated   bool          // connections are welcomed once the gate is open...
	gatedBy int           // ...all but so many
	waits   time.Duration // for so long, rather than lateBy, the loop stands still before the client leaves
	until   func(d *departure) (release func())
}{
	"as its request arrives": {until: func(d *departure) func() {
		other := client(d.t, d.pooler)
		other.send(query("other", "read", 9000))
		nextQuery(d.t, d.queries).send(row("v")) // and so there is a connection that idles
		other.want("TDCZ v")
		return d.begin
	}},
	"while a connection comes up": {gated: true, until: func(d *departure) func() {
		d.begin()
		d.settle()
		return func() { close(d.gate) }
	}},
	"while it waits for one that is in use": {gated: true, gatedBy: 1, until: func(d *departure) func() {
		other := client(d.t, d.pooler)
		other.send(query("other", "read", 9000))
		held := nextQuery(d.t, d.queries)
		d.begin()
		d.settle()
		return func() { held.send(row("v")) }
	}},
	"between attempts, after an error": {until: func(d *departure) func() {
		held := d.begun()
		return func() { held.send(failure("XX000")) }
	}},
	"between attempts, after a reset": {until: func(d *departure) func() {
		held := d.begun()
		return func() { _ = held.Conn.(*net.TCPConn).SetLinger(0); _ = held.Close() }
	}},
	"while its server is full": {change: func(c *config.Config) {
		c.Settings.Classes[0].LatencyObjective, c.Settings.Classes[0].LateWeight = 100*time.Millisecond, 0.5 // it is left alone for two seconds
	}, waits: 3 * time.Second, until: func(d *departure) func() {
		bystander := client(d.t, d.pooler)
		d.begun().send(failure("53300"))
		d.settle()
		return func() { bystander.send(pgwire.AppendQuery(nil, "")) } // behind its callback the module's timer runs
	}},
	"while a probe is out for the role": {change: func(c *config.Config) {
		c.InitialList.Instances[0].Role, c.Settings.MayCheckHealth = "replica", true
	}, until: func(d *departure) func() {
		d.client.send(query("gone", "write", 9000))
		probe := next(d.t, d.queries)
		if probe.sql != "SHOW load" {
			d.t.Fatalf("asked %q", probe.sql)
		}
		return func() { probe.send(row(fmt.Sprintf("x0=%d.25,x1=1", time.Now().Unix()-1))) }
	}},
}

// TestDepartedClient: a client closes its connection while its request waits, in each place where one can wait; the loop hears of what
// lets the attempt go first. Nothing of that request arrives at a server from then on, and the request has ended.
func TestDepartedClient(t *testing.T) {
	for name, story := range departures {
		for how, leave := range map[string]func(*peer){
			"closed": func(p *peer) { _ = p.Close() },
			"reset":  func(p *peer) { _ = p.Conn.(*net.TCPConn).SetLinger(0); _ = p.Close() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				gate := make(chan struct{})
				addr, queries := welcomed(t, func(n int) {
					if story.gated && n > story.gatedBy {
						<-gate
					}
				})
				var change []func(*config.Config)
				if story.change != nil {
					change = append(change, story.change)
				}
				p := newPooler(testConfig(t, addr, nil, change...), slog.New(slog.DiscardHandler))
				pooler, _, _, _ := launch(t, p)
				d := &departure{t: t, pooler: pooler, queries: queries, client: client(t, pooler), gate: gate}
				release := story.until(d)
				resume := standstill(p)
				time.Sleep(lateBy) // what was sent before has arrived
				before := attemptsOf(queries, "gone")
				release()
				time.Sleep(max(lateBy, story.waits)) // it has reached the pooler's socket
				leave(d.client)
				time.Sleep(lateBy)
				resume()
				last := client(t, pooler)
				last.send(query("last", "read", 9000))
				for end := time.Now().Add(testTimeout); ; {
					q := nextQuery(t, queries)
					if strings.Contains(q.sql, "id=gone,") {
						t.Fatalf("asked %q, its client had gone %v before; %d came earlier", q.sql, lateBy, before)
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
					t.Errorf("%d requests are open still", n)
				}
			})
		}
	}
}

// attemptsOf drains what has come to a server so far and counts a request's attempts.
func attemptsOf(queries <-chan receivedQuery, id string) (n int) {
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
