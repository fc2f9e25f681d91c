package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"beechgrade/internal/lifecycle"
)

// scriptedHTTPClient is a client of the ClickHouse frontend with a scripted behavior.
type scriptedHTTPClient struct {
	name  string
	conn  net.Conn
	ended chan struct{}

	mu         sync.Mutex
	sent       []time.Time // times of complete requests without an answer, the oldest first
	answered   int
	unanswered int
}

// connectHTTP connects a client that sends the given bytes; nil if the connection fails.
func connectHTTP(t *testing.T, name, addr, first string) *scriptedHTTPClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &scriptedHTTPClient{name: name, conn: conn, ended: make(chan struct{})}
	_, _ = io.WriteString(conn, first)
	return c
}

// read reads answers until the connection ends, and sends what next returns after each.
func (c *scriptedHTTPClient) read(next func() string) {
	defer close(c.ended)
	in := bufio.NewReader(c.conn)
	for {
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			break
		}
		c.mu.Lock()
		if c.answered++; len(c.sent) > 0 {
			c.sent = c.sent[1:]
		}
		c.mu.Unlock()
		if request := next(); request != "" {
			c.sendRequest(request)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.sent {
		if time.Since(at) > crossingTime {
			c.unanswered++
		}
	}
}

// sendRequest sends a complete request.
func (c *scriptedHTTPClient) sendRequest(request string) {
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	_, _ = io.WriteString(c.conn, request)
}

// sendPeriodically sends the piece at the given interval until the connection ends.
func (c *scriptedHTTPClient) sendPeriodically(piece string, pause time.Duration) {
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(pause):
			_, _ = io.WriteString(c.conn, piece)
		}
	}
}

// httpClientBehaviors returns scripted behaviors by name. Each connects a client and runs it in the background.
func httpClientBehaviors() map[string]func(t *testing.T, name, addr string) *scriptedHTTPClient {
	const get, ping = "GET /?query=SELECT+1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n"
	const partialBody = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nSELECT"
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	requestsRepeatedly := func(request string, pause time.Duration, ahead int) func(t *testing.T, name, addr string) *scriptedHTTPClient {
		return func(t *testing.T, name, addr string) *scriptedHTTPClient {
			c := connectHTTP(t, name, addr, "")
			if c == nil {
				return nil
			}
			go c.read(func() string {
				time.Sleep(pause)
				return request
			})
			for range ahead {
				c.sendRequest(request)
			}
			return c
		}
	}
	sendsFirst := func(first, piece string, pause time.Duration) func(t *testing.T, name, addr string) *scriptedHTTPClient {
		return func(t *testing.T, name, addr string) *scriptedHTTPClient {
			c := connectHTTP(t, name, addr, first)
			if c == nil {
				return nil
			}
			go c.read(func() string { return "" })
			if piece != "" {
				go c.sendPeriodically(piece, pause)
			}
			return c
		}
	}
	return map[string]func(t *testing.T, name, addr string) *scriptedHTTPClient{
		"asks at once":           requestsRepeatedly(get, 0, 1),
		"asks after 50 ms":       requestsRepeatedly(get, 50*time.Millisecond, 1),
		"asks after 200 ms":      requestsRepeatedly(get, 200*time.Millisecond, 1),
		"4 pipelined requests":   requestsRepeatedly(get, 0, 4),
		"pings":                  requestsRepeatedly(ping, 20*time.Millisecond, 1),
		"unknown path":           requestsRepeatedly(strings.Replace(ping, "ping", "nothing", 1), 20*time.Millisecond, 1),
		"sends nothing":          sendsFirst("", "", 0),
		"half a header":          sendsFirst(get[:20], "", 0),
		"a header that trickles": sendsFirst(get[:20], "x", 20*time.Millisecond),
		"empty lines":            sendsFirst("", "\r\n", 20*time.Millisecond),
		"half a body":            sendsFirst(partialBody, "", 0),
		"a body that trickles":   sendsFirst(partialBody, " ", 20*time.Millisecond),
		"chunks that do not end": sendsFirst(chunked, "1\r\n \r\n", 20*time.Millisecond),
		"half a chunk":           sendsFirst(chunked+"ff\r\nSELECT", "", 0),
	}
}

// TestDrainEndsEveryHTTPClient checks that in a drain the connections of ClickHouse clients end within the same bound as those of platform
// clients, whatever the clients do, and that each request that was read is answered.
func TestDrainEndsEveryHTTPClient(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "")
	waitUntil(t, "the pooler is ready", func() bool {
		state := make(chan lifecycle.State)
		w.p.loop.Post(func() { state <- w.p.lifecycle.State() })
		return <-state == lifecycle.Ready
	})
	var clients []*scriptedHTTPClient
	connectAll := func(moment string) {
		for name, behavior := range httpClientBehaviors() {
			if c := behavior(t, name+", "+moment, w.addr); c != nil {
				clients = append(clients, c)
			}
		}
	}
	connectAll("before the drain")
	time.Sleep(100 * time.Millisecond)
	drained := make(chan bool)
	w.p.loop.Post(func() { drained <- w.p.handleLifecycle(lifecycle.Drain) })
	if !<-drained {
		t.Fatal("the pooler refused to drain")
	}
	began := time.Now()
	for _, ms := range []int{200, 1000, 1600, 2400, 3000} {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		connectAll((time.Duration(ms) * time.Millisecond).String() + " after it")
	}
	for _, c := range clients {
		select {
		case <-c.ended:
		case <-time.After(time.Until(began.Add(drainBound + lateBound/2))): // a client that connected at 3 s is spared for its first second
			t.Errorf("%s: its connection has not ended after %v", c.name, time.Since(began).Round(time.Millisecond))
			continue
		}
		c.mu.Lock()
		if c.unanswered > 0 {
			t.Errorf("%s: %d requests have no answer, want none; %d have one", c.name, c.unanswered, c.answered)
		}
		c.mu.Unlock()
	}
}
