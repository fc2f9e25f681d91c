package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// post calls the admin endpoint.
func (p *pooler) post(path string) (int, error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+p.control+path, "", nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// drainLimit is the time after which a drained pooler may hold no client's connection that is idle or has asked in the last 2 s.
const drainLimit = 4 * time.Second

// habit is what a client does for as long as its connection is open.
type habit struct {
	name string
	step func(c *client, i int) error // one step, called again until the connection ends
}

// holds counts how many of the habits' connections are still open drainLimit after a drain begins.
func (e *env) holds(p *pooler, connectTo func() (*client, error), habits []habit) (held []string, err error) {
	var mu sync.Mutex
	open := map[string]bool{}
	var all []*client
	for _, h := range habits {
		c, err := connectTo()
		if err != nil {
			return nil, err
		}
		all = append(all, c)
		open[h.name] = true
		ended := func() {
			mu.Lock()
			defer mu.Unlock()
			if open[h.name] {
				delete(open, h.name)
				e.record.line("%s: the connection has ended", h.name)
			}
		}
		go func() {
			for i := 0; h.step(c, i) == nil; i++ {
				time.Sleep(time.Millisecond)
			}
			ended()
		}()
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := c.conn.Read(buffer); err != nil {
					ended()
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		status, err := p.post("/-/drain")
		e.record.line("POST /-/drain: %d, error %v", status, err)
		if err != nil {
			return nil, err
		}
	}
	time.Sleep(drainLimit)
	mu.Lock()
	for name := range open {
		held = append(held, name)
	}
	mu.Unlock()
	for _, c := range all {
		_ = c.conn.Close()
	}
	return held, nil
}

// drainPlatform: clients of many habits, and a drain of the pooler.
func drainPlatform(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 2, lag: func() time.Duration { return 0 }, work: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	p, err := e.startPooler(poolerOptions{name: "p1", discovery: f.discovery})
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	read := func() string {
		return fmt.Sprintf("SELECT content FROM kv WHERE name = 'x' /* id=%016x,c=report,d=1200,cluster=0 */", lastID.Add(1))
	}
	every := func(pause time.Duration, statements func() []string) func(c *client, i int) error {
		return func(c *client, _ int) error {
			time.Sleep(pause)
			return c.send(statements()...)
		}
	}
	one := func() []string { return []string{read()} }
	many := func() []string { return strings.Split(strings.Repeat(read()+"\n", 8), "\n")[:8] }
	held, err := e.holds(p, func() (*client, error) { return connect(p.listen, "backend", "store") }, []habit{
		{"idle", func(*client, int) error { time.Sleep(time.Second); return nil }},
		{"a read every 5 ms", every(5*time.Millisecond, one)},
		{"a read every 100 ms", every(100*time.Millisecond, one)},
		{"a read every 900 ms", every(900*time.Millisecond, one)},
		{"the same id eight times every 50 ms", every(50*time.Millisecond, many)},
		{"empty queries", every(20*time.Millisecond, func() []string { return []string{""} })},
		{"SET", every(20*time.Millisecond, func() []string { return []string{"SET x TO 1"} })},
		{"what cannot be read", every(20*time.Millisecond, func() []string { return []string{"nonsense"} })},
		{"Sync", func(c *client, _ int) error {
			time.Sleep(20 * time.Millisecond)
			_, err := c.conn.Write([]byte("S\x00\x00\x00\x04"))
			return err
		}},
		{"a byte every 200 ms", func(c *client, i int) error {
			time.Sleep(200 * time.Millisecond)
			text := appendStrings(nil, 'Q', read()+strings.Repeat(" ", 100))
			_, err := c.conn.Write(text[i%len(text) : i%len(text)+1])
			return err
		}},
	})
	if !e.trouble {
		return false, err
	}
	e.record.line("4 s after the drain began these are held: %q", held)
	return len(held) > 0, err
}

// drainPooled: a client of the pooling front goes on with its transaction, another one rests in its own, and a drain of the pooler.
func drainPooled(e *env) (broken bool, err error) {
	f, err := newFleet(e.record, options{replicas: 0, work: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	addr, err := e.startPooling(f, 10)
	if err != nil {
		return false, err
	}
	held, err := e.holds(e.started.all[0], func() (*client, error) { return connect(addr, "office", "obra") }, []habit{
		{"idle", func(*client, int) error { time.Sleep(time.Second); return nil }},
		{"a read every 100 ms", func(c *client, _ int) error {
			time.Sleep(100 * time.Millisecond)
			return c.send("SELECT content FROM kv WHERE name = 'warm'")
		}},
		{"a transaction with a read every 500 ms", func(c *client, i int) error {
			if i == 0 {
				return c.send("BEGIN")
			}
			time.Sleep(500 * time.Millisecond)
			return c.send("SELECT content FROM kv WHERE name = 'warm'")
		}},
		{"idle in a transaction", func(c *client, i int) error {
			if i == 0 {
				return c.send("BEGIN")
			}
			time.Sleep(time.Second)
			return nil
		}},
	})
	if !e.trouble {
		return false, err
	}
	e.record.line("4 s after the drain began these are held: %q", held)
	return len(held) > 0, err
}
