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

// httpCaller is a client of the ClickHouse frontend with a habit.
type httpCaller struct {
	name  string
	conn  net.Conn
	ended chan struct{}

	mu       sync.Mutex
	sent     []time.Time // whole requests without an answer
	answered int
	lost     int
}

// connectHTTP connects a client that sends some bytes.
func connectHTTP(t *testing.T, name, addr, first string) *httpCaller {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &httpCaller{name: name, conn: conn, ended: make(chan struct{})}
	_, _ = io.WriteString(conn, first)
	return c
}

// read reads answers until the connection ends, and sends what next returns behind each.
func (c *httpCaller) read(next func() string) {
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
			c.ask(request)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.sent {
		if time.Since(at) > crossingTime {
			c.lost++
		}
	}
}

// ask sends a whole request.
func (c *httpCaller) ask(request string) {
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	_, _ = io.WriteString(c.conn, request)
}

// trickle sends a text in pieces with a pause, until the connection ends.
func (c *httpCaller) trickle(piece string, pause time.Duration) {
	for {
		select {
		case <-c.ended:
			return
		case <-time.After(pause):
			_, _ = io.WriteString(c.conn, piece)
		}
	}
}

// httpHabits are what clients do from their connection on.
func httpHabits() map[string]func(t *testing.T, name, addr string) *httpCaller {
	const get, ping = "GET /?query=SELECT+1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n"
	const begun = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nSELECT"
	const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	asks := func(request string, pause time.Duration, ahead int) func(t *testing.T, name, addr string) *httpCaller {
		return func(t *testing.T, name, addr string) *httpCaller {
			c := connectHTTP(t, name, addr, "")
			if c == nil {
				return nil
			}
			go c.read(func() string {
				time.Sleep(pause)
				return request
			})
			for range ahead {
				c.ask(request)
			}
			return c
		}
	}
	begins := func(first, piece string, pause time.Duration) func(t *testing.T, name, addr string) *httpCaller {
		return func(t *testing.T, name, addr string) *httpCaller {
			c := connectHTTP(t, name, addr, first)
			if c == nil {
				return nil
			}
			go c.read(func() string { return "" })
			if piece != "" {
				go c.trickle(piece, pause)
			}
			return c
		}
	}
	return map[string]func(t *testing.T, name, addr string) *httpCaller{
		"asks at once":           asks(get, 0, 1),
		"asks after 50 ms":       asks(get, 50*time.Millisecond, 1),
		"asks after 200 ms":      asks(get, 200*time.Millisecond, 1),
		"4 ahead":                asks(get, 0, 4),
		"pings":                  asks(ping, 20*time.Millisecond, 1),
		"what is not found":      asks(strings.Replace(ping, "ping", "nothing", 1), 20*time.Millisecond, 1),
		"says nothing":           begins("", "", 0),
		"half a head":            begins(get[:20], "", 0),
		"a head that trickles":   begins(get[:20], "x", 20*time.Millisecond),
		"empty lines":            begins("", "\r\n", 20*time.Millisecond),
		"half a body":            begins(begun, "", 0),
		"a body that trickles":   begins(begun, " ", 20*time.Millisecond),
		"chunks that do not end": begins(chunked, "1\r\n \r\n", 20*time.Millisecond),
		"half a chunk":           begins(chunked+"ff\r\nSELECT", "", 0),
	}
}

// TestDrainEndsEveryHTTPClient: clients of the ClickHouse frontend end by the same bound as the platform's, whatever they do, and each request that was
// read has its answer.
func TestDrainEndsEveryHTTPClient(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "")
	waitUntil(t, "it serves", func() bool {
		state := make(chan lifecycle.State)
		w.p.loop.Post(func() { state <- w.p.lifecycle.State() })
		return <-state == lifecycle.Ready
	})
	var callers []*httpCaller
	come := func(moment string) {
		for name, habit := range httpHabits() {
			if c := habit(t, name+", "+moment, w.addr); c != nil {
				callers = append(callers, c)
			}
		}
	}
	come("before the drain")
	time.Sleep(100 * time.Millisecond)
	drained := make(chan bool)
	w.p.loop.Post(func() { drained <- w.p.handleLifecycle(lifecycle.Drain) })
	if !<-drained {
		t.Fatal("it does not drain")
	}
	began := time.Now()
	for _, ms := range []int{200, 1000, 1600, 2400, 3000} {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		come((time.Duration(ms) * time.Millisecond).String() + " after it")
	}
	for _, c := range callers {
		select {
		case <-c.ended:
		case <-time.After(time.Until(began.Add(drainBound + lateBound/2))): // a client that came at 3 s has its first second
			t.Errorf("%s: its connection has not ended after %v", c.name, time.Since(began).Round(time.Millisecond))
			continue
		}
		c.mu.Lock()
		if c.lost > 0 {
			t.Errorf("%s: %d requests have no answer, %d have one", c.name, c.lost, c.answered)
		}
		c.mu.Unlock()
	}
}
