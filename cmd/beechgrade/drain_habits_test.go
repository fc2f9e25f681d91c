package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/protocol/pgwire"
)

// The bounds of a drain that users rely on, and the time that a request may be in transit when its connection ends.
const (
	drainBound   = 4 * time.Second        // from the drain until every connection has ended that is idle or keeps sending requests
	lateBound    = time.Second            // the same from its opening for a connection that is opened too late for drainBound
	crossingTime = 500 * time.Millisecond // a request older than this when its connection ends must have been read and answered
)

// scriptedClient is a client with a scripted behavior that records the answers.
type scriptedClient struct {
	t       *testing.T
	name    string
	conn    net.Conn
	ended   chan struct{} // closed when the connection has ended
	answers chan string   // the last answer, for a behavior that waits for it

	mu          sync.Mutex
	sent        []time.Time // commands without an answer, the oldest first
	answered    int
	fatal       bool // the connection ended with an error, which answers all open commands
	unanswered  int  // commands without an answer that are older than crossingTime
	lastSuccess time.Time
}

// clientMessages holds the messages that clients of a frontend send. Behaviors that need a nil member are left out.
type clientMessages struct {
	startup   []byte
	read      func() []byte
	hang, big func() []byte // a request without an answer, and one with a large answer
}

// platformMessages returns the messages of platform clients. id returns a new request ID each time.
func platformMessages(id func() string) clientMessages {
	return clientMessages{
		startup: pgwire.AppendStartup(nil, "backend", "store"),
		read:    func() []byte { return query(id(), "read", 9000) },
		hang:    func() []byte { return query("hang"+id(), "read", 19000) },
		big:     func() []byte { return query("big"+id(), "read", 9000) },
	}
}

// connect connects a client that sends its startup message, or first in place of it unless that is nil. It returns nil if the connection
// fails.
func connect(t *testing.T, name, addr string, startup, first []byte) *scriptedClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	c := &scriptedClient{t: t, name: name, conn: conn, ended: make(chan struct{}), answers: make(chan string, 1)}
	t.Cleanup(func() { _ = conn.Close() })
	if first == nil {
		first = startup
		c.sent = append(c.sent, time.Now())
	}
	_, _ = conn.Write(first)
	return c
}

// sendCommand sends a command that must be answered.
func (c *scriptedClient) sendCommand(message []byte) bool {
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	_, err := c.conn.Write(message)
	return err == nil
}

// read reads answers until the connection ends.
func (c *scriptedClient) read() {
	defer close(c.ended)
	code := ""
	for {
		var head [5]byte
		if _, err := io.ReadFull(c.conn, head[:]); err != nil {
			break
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c.conn, body); err != nil {
			break
		}
		switch head[0] {
		case 'E':
			code = pgwire.ErrorCode(body)
		case 'Z':
			c.recordAnswer(code)
			code = ""
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fatal = code != ""
	for _, at := range c.sent {
		if !c.fatal && time.Since(at) > crossingTime {
			c.unanswered++
		}
	}
}

// recordAnswer records an answer, with its SQLSTATE or "" for success.
func (c *scriptedClient) recordAnswer(code string) {
	c.mu.Lock()
	if len(c.sent) > 0 {
		c.sent = c.sent[1:]
	}
	c.answered++
	if code == "" {
		c.lastSuccess = time.Now()
	}
	c.mu.Unlock()
	select {
	case <-c.answers:
	default:
	}
	c.answers <- code
}

// requestRepeatedly sends commands until the connection ends: ahead commands at once, then the next one after each answer and a pause.
func (c *scriptedClient) requestRepeatedly(next func(n int) []byte, wait time.Duration, ahead int) {
	go c.read()
	for n := 0; ; n++ {
		if n >= ahead {
			select {
			case <-c.answers:
			case <-c.ended:
				return
			}
			select {
			case <-time.After(wait):
			case <-c.ended:
				return
			}
		}
		if !c.sendCommand(next(n)) {
			<-c.ended
			return
		}
	}
}

// sendPeriodically sends what next returns at the given interval until the connection ends; nil sends nothing.
func (c *scriptedClient) sendPeriodically(next func(n int) []byte, pause time.Duration) {
	for n := 0; ; n++ {
		if b := next(n); b != nil {
			_, _ = c.conn.Write(b)
		}
		select {
		case <-c.ended:
			return
		case <-time.After(pause):
		}
	}
}

// clientBehaviors returns scripted behaviors by name. Each connects a client and runs it in the background.
func clientBehaviors(messages clientMessages) map[string]func(t *testing.T, name, addr string) *scriptedClient {
	read := func(int) []byte { return messages.read() }
	statement := func(sql string) func(int) []byte {
		return func(int) []byte { return pgwire.AppendQuery(nil, sql) }
	}
	repeats := func(next func(int) []byte, wait time.Duration, ahead int) func(t *testing.T, name, addr string) *scriptedClient {
		return func(t *testing.T, name, addr string) *scriptedClient {
			c := connect(t, name, addr, messages.startup, nil)
			if c != nil {
				go c.requestRepeatedly(next, wait, ahead)
			}
			return c
		}
	}
	sendsFirst := func(b []byte, next func(n int) []byte, pause time.Duration) func(t *testing.T, name, addr string) *scriptedClient {
		return func(t *testing.T, name, addr string) *scriptedClient {
			c := connect(t, name, addr, messages.startup, b)
			if c != nil {
				go c.read()
				go c.sendPeriodically(next, pause)
			}
			return c
		}
	}
	nothing := func(int) []byte { return nil }
	startup, half := messages.startup, messages.read()
	long := pgwire.AppendQuery(nil, strings.Repeat(" ", 1<<20))
	all := map[string]func(t *testing.T, name, addr string) *scriptedClient{
		"asks at once":                   repeats(read, 0, 1),
		"asks after 5 ms":                repeats(read, 5*time.Millisecond, 1),
		"asks after 50 ms":               repeats(read, 50*time.Millisecond, 1),
		"asks after 200 ms":              repeats(read, 200*time.Millisecond, 1),
		"4 pipelined commands":           repeats(read, 0, 4),
		"empty queries":                  repeats(statement(""), 0, 1),
		"empty queries after 100 ms":     repeats(statement(""), 100*time.Millisecond, 1),
		"SET":                            repeats(statement("SET a = 1"), 20*time.Millisecond, 1),
		"statements that are not parsed": repeats(statement("SELECT x"), 20*time.Millisecond, 1),
		"Sync":                           repeats(func(int) []byte { return []byte{'S', 0, 0, 0, 4} }, 20*time.Millisecond, 1),
		"stays idle":                     sendsFirst(startup, nothing, time.Second),
		"sends nothing":                  sendsFirst([]byte{}, nothing, time.Second),
		"half a startup":                 sendsFirst(startup[:9], nothing, time.Second),
		"trickles its startup": sendsFirst(startup[:1], func(n int) []byte {
			if n+1 < len(startup)-1 {
				return startup[n+1 : n+2]
			}
			return nil
		}, 150*time.Millisecond),
		"half a request":               sendsFirst(append(startup[:len(startup):len(startup)], half[:9]...), nothing, time.Second),
		"a long message that trickles": sendsFirst(append(startup[:len(startup):len(startup)], long[:100]...), func(int) []byte { return []byte(" ") }, 20*time.Millisecond),
		"a long message that stops":    sendsFirst(append(startup[:len(startup):len(startup)], long[:1000]...), nothing, time.Second),
	}
	if messages.hang != nil {
		all["a request that hangs, with others behind it"] = func(t *testing.T, name, addr string) *scriptedClient {
			c := connect(t, name, addr, messages.startup, nil)
			if c == nil {
				return nil
			}
			go c.read()
			c.sendCommand(messages.hang())
			go func() {
				for {
					select {
					case <-c.ended:
						return
					case <-time.After(300 * time.Millisecond):
						c.sendCommand(messages.read())
					}
				}
			}()
			return c
		}
	}
	if messages.big != nil {
		all["reads nothing, keeps sending requests"] = func(t *testing.T, name, addr string) *scriptedClient {
			c := connect(t, name, addr, messages.startup, nil)
			if c == nil {
				return nil
			}
			_ = c.conn.(*net.TCPConn).SetReadBuffer(4096)
			go func() {
				defer c.read() // at last, to read what has been received
				for range 600 {
					if _, err := c.conn.Write(messages.big()); err != nil {
						return
					}
					time.Sleep(8 * time.Millisecond)
				}
			}()
			return c
		}
	}
	return all
}

// TestDrainEndsEveryClient checks that in a drain each connection ends within its bound, whatever the client does and whenever it connects,
// and that every command that was read is answered. A second drain, a reload or SIGTERM during the drain do not extend the bounds.
func TestDrainEndsEveryClient(t *testing.T) {
	path := buildDaemon(t)
	for name, duringDrain := range map[string]func(d *daemon, admin string){
		"a drain": func(*daemon, string) {},
		"drained again and again": func(d *daemon, admin string) {
			for range 8 {
				callAdmin(d.t, admin, "POST", "/-/drain")
				time.Sleep(400 * time.Millisecond)
			}
		},
		"SIGHUP":  func(d *daemon, _ string) { _ = d.cmd.Process.Signal(syscall.SIGHUP) },
		"SIGTERM": func(d *daemon, _ string) { _ = d.cmd.Process.Signal(syscall.SIGTERM) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testDrain(t, path, duringDrain)
		})
	}
}

// testDrain drains a process that has clients of all behaviors.
func testDrain(t *testing.T, path string, duringDrain func(d *daemon, admin string)) {
	srv, queries := server(t)
	held := make(chan receivedQuery, 1)
	go answerQueries(queries, held)
	config := daemonConfig(srv, "127.0.0.1:1", 1024, true)
	config["control"] = "127.0.0.1:0"
	d := runDaemon(t, path, config, 1024, "--verbose")
	admin := d.admin()
	for callAdmin(t, admin, "GET", "/-/ready") != "200 ready" {
		time.Sleep(time.Millisecond)
	}
	var number int64
	var numbers sync.Mutex
	id := func() string {
		numbers.Lock()
		defer numbers.Unlock()
		number++
		return strconv.FormatInt(number, 16)
	}
	messages := platformMessages(id)
	var clients []*scriptedClient
	connectAll := func(moment string) {
		for name, behavior := range clientBehaviors(messages) {
			if c := behavior(t, name+", "+moment, d.addr); c != nil {
				clients = append(clients, c)
			}
		}
	}
	waiting := connect(t, "waits", d.addr, messages.startup, nil) // its one request, from before the drain, keeps its deadline
	go waiting.read()
	waiting.sendCommand(query("hold", "read", 15000))
	hold := next(t, held)
	connectAll("before the drain")
	time.Sleep(100 * time.Millisecond)
	if got := callAdmin(t, admin, "POST", "/-/drain"); got != "200 draining" {
		t.Fatalf("POST /-/drain: got %q, want \"200 draining\"", got)
	}
	began := time.Now()
	go func() {
		time.Sleep(time.Second)
		duringDrain(d, admin)
	}()
	for _, ms := range []int{200, 1000, 1400, 1600, 2400, 3000, 3600} {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		connectAll(fmt.Sprint(ms, " ms after it"))
	}
	time.Sleep(time.Until(began.Add(drainBound)))
	for _, c := range clients {
		select {
		case <-c.ended:
		case <-time.After(time.Until(began.Add(testTimeout))):
			t.Errorf("%s: the connection does not end within %v of the drain", c.name, testTimeout)
			continue
		}
		c.mu.Lock()
		if c.unanswered > 0 {
			t.Errorf("%s: %d commands have no answer, want none; %d have one", c.name, c.unanswered, c.answered)
		}
		c.mu.Unlock()
	}
	checkConnectionEndTimes(t, d)
	if !strings.HasSuffix(t.Name(), "SIGTERM") { // SIGTERM shortens the time that all requests have
		hold.send(row("v"))
		select {
		case <-waiting.ended:
		case <-time.After(testTimeout):
			t.Errorf("the connection of the waiting client does not end within %v of its answer", testTimeout)
		}
		waiting.mu.Lock()
		defer waiting.mu.Unlock()
		if waiting.answered != 2 || waiting.fatal || waiting.lastSuccess.Before(began.Add(drainBound)) {
			t.Errorf("the waiting client has %d answers, the last successful one %v after the drain, want 2 and at least %v", waiting.answered, waiting.lastSuccess.Sub(began), drainBound)
		}
	}
}

// answerQueries answers queries, some with large answers. Those with id=hang get no answer, and those with id=hold are passed to held.
func answerQueries(queries <-chan receivedQuery, held chan<- receivedQuery) {
	big := row(strings.Repeat("v", 60000))
	for query := range queries {
		switch {
		case strings.Contains(query.sql, "id=hold"):
			held <- query
		case strings.Contains(query.sql, "id=hang"):
		case strings.Contains(query.sql, "id=big"):
			query.send(big)
		default:
			query.send(row("v"))
		}
	}
}

// checkConnectionEndTimes checks, by the times in the process's log, that each connection ended within its bound.
func checkConnectionEndTimes(t *testing.T, d *daemon) {
	t.Helper()
	life := d.logLines("now=draining")
	if len(life) != 1 {
		t.Fatalf("log lines of the start of a drain: got %d, want 1", len(life))
	}
	began := logTime(t, life[0])
	ends := d.logLines("client connection ended")
	if len(ends) < 100 {
		t.Errorf("connections that have ended: got %d, want at least 100 for a meaningful test", len(ends))
	}
	for _, line := range ends {
		age, err := strconv.ParseFloat(logField(line, "ms"), 64)
		if err != nil {
			t.Fatalf("log line without a duration in field ms: %v: %s", err, line)
		}
		ended := logTime(t, line)
		opened := ended.Add(-time.Duration(age * float64(time.Millisecond)))
		if bound := laterOf(began.Add(drainBound), opened.Add(lateBound)); ended.After(bound) {
			t.Errorf("connection ended %v after the start of the drain, want at most %v: %s", ended.Sub(began), bound.Sub(began), line)
		}
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// logTime returns the time of a log line.
func logTime(t *testing.T, line string) time.Time {
	t.Helper()
	at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.Fields(line)[0], "time="))
	if err != nil {
		t.Fatalf("log line without a time: %v: %s", err, line)
	}
	return at
}
