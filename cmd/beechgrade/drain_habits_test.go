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

// The bounds of a drain that users rely on, and how long a request may cross the end of its connection.
const (
	drainBound   = 4 * time.Second        // from the drain until a connection has ended that is idle or still asks
	lateBound    = time.Second            // the same for a connection that is opened later than that bound allows
	crossingTime = 500 * time.Millisecond // a request that is older when its connection ends has been read, and needs an answer
)

// caller is a client with a habit, which is free to send what it likes and records what it is answered.
type caller struct {
	t       *testing.T
	name    string
	conn    net.Conn
	ended   chan struct{} // closed when the connection has ended
	answers chan string   // the last answer, for a habit that waits for it

	mu        sync.Mutex
	sent      []time.Time // commands without an answer, the oldest first
	answered  int
	fatal     bool // the connection was ended by an error, which is the answer to all that is open
	lost      int  // commands without an answer that had time to be read
	lastServe time.Time
}

// dialect is what clients of a frontend send. What it lacks, none of its clients does.
type dialect struct {
	startup   []byte
	read      func() []byte
	hang, big func() []byte // requests whose answer does not come, and whose answer is big
}

// platformDialect is that of the platform's clients. id returns another id each time.
func platformDialect(id func() string) dialect {
	return dialect{
		startup: pgwire.AppendStartup(nil, "backend", "store"),
		read:    func() []byte { return query(id(), "read", 9000) },
		hang:    func() []byte { return query("hang"+id(), "read", 19000) },
		big:     func() []byte { return query("big"+id(), "read", 9000) },
	}
}

// connect connects a client that sends its startup message, or the given bytes in place of that.
func connect(t *testing.T, name, addr string, startup, first []byte) *caller {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	c := &caller{t: t, name: name, conn: conn, ended: make(chan struct{}), answers: make(chan string, 1)}
	t.Cleanup(func() { _ = conn.Close() })
	if first == nil {
		first = startup
		c.sent = append(c.sent, time.Now())
	}
	_, _ = conn.Write(first)
	return c
}

// command sends a command that is owed an answer.
func (c *caller) command(message []byte) bool {
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	_, err := c.conn.Write(message)
	return err == nil
}

// read reads answers until the connection ends.
func (c *caller) read() {
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
			c.take(code)
			code = ""
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fatal = code != ""
	for _, at := range c.sent {
		if !c.fatal && time.Since(at) > crossingTime {
			c.lost++
		}
	}
}

// take records an answer.
func (c *caller) take(code string) {
	c.mu.Lock()
	if len(c.sent) > 0 {
		c.sent = c.sent[1:]
	}
	c.answered++
	if code == "" {
		c.lastServe = time.Now()
	}
	c.mu.Unlock()
	select {
	case <-c.answers:
	default:
	}
	c.answers <- code
}

// again sends a command, waits for the answer and a while, and so on until the connection ends. ahead commands are open at any time.
func (c *caller) again(next func(n int) []byte, wait time.Duration, ahead int) {
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
		if !c.command(next(n)) {
			<-c.ended
			return
		}
	}
}

// every sends what next returns again and again with a pause, until the connection ends.
func (c *caller) every(next func(n int) []byte, pause time.Duration) {
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

// habits are what clients do from their connection on.
func habits(speaks dialect) map[string]func(t *testing.T, name, addr string) *caller {
	read := func(int) []byte { return speaks.read() }
	statement := func(sql string) func(int) []byte {
		return func(int) []byte { return pgwire.AppendQuery(nil, sql) }
	}
	loop := func(next func(int) []byte, wait time.Duration, ahead int) func(t *testing.T, name, addr string) *caller {
		return func(t *testing.T, name, addr string) *caller {
			c := connect(t, name, addr, speaks.startup, nil)
			if c != nil {
				go c.again(next, wait, ahead)
			}
			return c
		}
	}
	first := func(b []byte, next func(n int) []byte, pause time.Duration) func(t *testing.T, name, addr string) *caller {
		return func(t *testing.T, name, addr string) *caller {
			c := connect(t, name, addr, speaks.startup, b)
			if c != nil {
				go c.read()
				go c.every(next, pause)
			}
			return c
		}
	}
	nothing := func(int) []byte { return nil }
	startup, half := speaks.startup, speaks.read()
	long := pgwire.AppendQuery(nil, strings.Repeat(" ", 1<<20))
	all := map[string]func(t *testing.T, name, addr string) *caller{
		"asks at once":                   loop(read, 0, 1),
		"asks after 5 ms":                loop(read, 5*time.Millisecond, 1),
		"asks after 50 ms":               loop(read, 50*time.Millisecond, 1),
		"asks after 200 ms":              loop(read, 200*time.Millisecond, 1),
		"4 ahead":                        loop(read, 0, 4),
		"empty queries":                  loop(statement(""), 0, 1),
		"empty queries after 100 ms":     loop(statement(""), 100*time.Millisecond, 1),
		"SET":                            loop(statement("SET a = 1"), 20*time.Millisecond, 1),
		"statements that are not parsed": loop(statement("SELECT x"), 20*time.Millisecond, 1),
		"Sync":                           loop(func(int) []byte { return []byte{'S', 0, 0, 0, 4} }, 20*time.Millisecond, 1),
		"rests":                          first(startup, nothing, time.Second),
		"says nothing":                   first([]byte{}, nothing, time.Second),
		"half a startup":                 first(startup[:9], nothing, time.Second),
		"trickles its startup": first(startup[:1], func(n int) []byte {
			if n+1 < len(startup)-1 {
				return startup[n+1 : n+2]
			}
			return nil
		}, 150*time.Millisecond),
		"half a request":               first(append(startup[:len(startup):len(startup)], half[:9]...), nothing, time.Second),
		"a long message that trickles": first(append(startup[:len(startup):len(startup)], long[:100]...), func(int) []byte { return []byte(" ") }, 20*time.Millisecond),
		"a long message that stops":    first(append(startup[:len(startup):len(startup)], long[:1000]...), nothing, time.Second),
	}
	if speaks.hang != nil {
		all["a request that hangs, with others behind it"] = func(t *testing.T, name, addr string) *caller {
			c := connect(t, name, addr, speaks.startup, nil)
			if c == nil {
				return nil
			}
			go c.read()
			c.command(speaks.hang())
			go func() {
				for {
					select {
					case <-c.ended:
						return
					case <-time.After(300 * time.Millisecond):
						c.command(speaks.read())
					}
				}
			}()
			return c
		}
	}
	if speaks.big != nil {
		all["reads nothing, asks on"] = func(t *testing.T, name, addr string) *caller {
			c := connect(t, name, addr, speaks.startup, nil)
			if c == nil {
				return nil
			}
			_ = c.conn.(*net.TCPConn).SetReadBuffer(4096)
			go func() {
				defer c.read() // at last, to see what there is
				for range 600 {
					if _, err := c.conn.Write(speaks.big()); err != nil {
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

// TestDrainEndsEveryClient: whatever a client does, and whenever it comes, its connection ends by the bound, and every command that was
// read has its answer. A second drain, a reload or the end of the process in the drain move no bound.
func TestDrainEndsEveryClient(t *testing.T) {
	path := buildDaemon(t)
	for name, inBetween := range map[string]func(d *daemon, admin string){
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
			playDrain(t, path, inBetween)
		})
	}
}

// playDrain drains a process under clients of all habits.
func playDrain(t *testing.T, path string, inBetween func(d *daemon, admin string)) {
	srv, queries := server(t)
	held := make(chan receivedQuery, 1)
	go answerAll(queries, held)
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
	speaks := platformDialect(id)
	var callers []*caller
	come := func(moment string) {
		for name, habit := range habits(speaks) {
			if c := habit(t, name+", "+moment, d.addr); c != nil {
				callers = append(callers, c)
			}
		}
	}
	waiting := connect(t, "waits", d.addr, speaks.startup, nil) // asks once, before the drain: it keeps its time
	go waiting.read()
	waiting.command(query("hold", "read", 15000))
	hold := next(t, held)
	come("before the drain")
	time.Sleep(100 * time.Millisecond)
	if got := callAdmin(t, admin, "POST", "/-/drain"); got != "200 draining" {
		t.Fatal(got)
	}
	began := time.Now()
	go func() {
		time.Sleep(time.Second)
		inBetween(d, admin)
	}()
	for _, ms := range []int{200, 1000, 1400, 1600, 2400, 3000, 3600} {
		time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond)))
		come(fmt.Sprint(ms, " ms after it"))
	}
	time.Sleep(time.Until(began.Add(drainBound)))
	for _, c := range callers {
		select {
		case <-c.ended:
		case <-time.After(time.Until(began.Add(testTimeout))):
			t.Errorf("%s: its connection does not end", c.name)
			continue
		}
		c.mu.Lock()
		if c.lost > 0 {
			t.Errorf("%s: %d commands have no answer, %d have one", c.name, c.lost, c.answered)
		}
		c.mu.Unlock()
	}
	checkEnds(t, d)
	if !strings.HasSuffix(t.Name(), "SIGTERM") { // which moves the time of all answers forward
		hold.send(row("v"))
		select {
		case <-waiting.ended:
		case <-time.After(testTimeout):
			t.Error("the client that only waits is not sent away behind its answer")
		}
		waiting.mu.Lock()
		defer waiting.mu.Unlock()
		if waiting.answered != 2 || waiting.fatal || waiting.lastServe.Before(began.Add(drainBound)) {
			t.Errorf("the client that only waits has %d answers, the last served one at %v", waiting.answered, waiting.lastServe.Sub(began))
		}
	}
}

// answerAll answers each query but those that are to hang, and the one that is held; some answers are big.
func answerAll(queries <-chan receivedQuery, held chan<- receivedQuery) {
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

// checkEnds checks by the process's own clock when it ended its connections.
func checkEnds(t *testing.T, d *daemon) {
	t.Helper()
	life := d.logged("now=draining")
	if len(life) != 1 {
		t.Fatalf("%d lines of a drain's begin", len(life))
	}
	began := logTime(t, life[0])
	ends := d.logged("client connection ended")
	if len(ends) < 100 {
		t.Errorf("%d connections have ended: the test shows little", len(ends))
	}
	for _, line := range ends {
		age, err := strconv.ParseFloat(field(line, "ms"), 64)
		if err != nil {
			t.Fatal(line)
		}
		ended := logTime(t, line)
		opened := ended.Add(-time.Duration(age * float64(time.Millisecond)))
		if bound := later(began.Add(drainBound), opened.Add(lateBound)); ended.After(bound) {
			t.Errorf("ended %v after the drain: %s", ended.Sub(began), line)
		}
	}
}

func later(a, b time.Time) time.Time {
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
		t.Fatal(err)
	}
	return at
}
