package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/protocol/pgwire"
)

// shortest has clients wait for so long at most in each class.
func shortest(d time.Duration) func(*config.Config) {
	return func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = d, d
		}
	}
}

// ending is a client that a pooler finds in some state as it is told to end.
type ending struct {
	*peer
	name string
	want string // what it is told from then on, up to the end
}

// toldUpToTheEnd sums up all that a client is told, answer by answer, and tells whether the end was one, and no reset.
func toldUpToTheEnd(c *peer) string {
	var told []string
	types, says := "", ""
	for {
		if _, err := c.in.Peek(1); err == io.EOF {
			return strings.Join(append(told, types+"$"+says), ", ")
		} else if err != nil {
			return strings.Join(append(told, types+says, err.Error()), ", ")
		}
		typ, body := c.message()
		types += string(typ)
		switch typ {
		case 'D':
			value, _ := pgwire.Column(body)
			says = " " + string(value)
		case 'E':
			says = " " + pgwire.ErrorCode(body)
		case 'Z':
			told, types, says = append(told, types+says), "", ""
		}
	}
}

// TestStopAnswersEveryClient: a process is told to end, twice, while clients rest, have sent half a startup or half a request, have
// sent many commands ahead, or have just connected. Each request that was read has one answer, each connection an end that is no reset,
// and the process is gone before it may be killed.
func TestStopAnswersEveryClient(t *testing.T) {
	t.Parallel()
	const longest = 600 * time.Millisecond
	addr, queries := server(t)
	pooler, stop, done := startPooler(t, addr, nil, shortest(longest))
	held := make(chan receivedQuery, 100)
	go func() {
		for q := range queries {
			if strings.Contains(q.sql, "id=held") {
				held <- q
			} else if q.sql != "(gone)" {
				q.send(row("v"))
			}
		}
	}()
	var clients []ending
	add := func(name string, c *peer, want string) { clients = append(clients, ending{c, name, want}) }
	half, startup := query("half", "read", 500), pgwire.AppendStartup(nil, "backend", "store")
	for n := range 60 {
		c := client(t, pooler)
		c.send(query(fmt.Sprint("r", n), "read", 500))
		c.want("TDCZ v")
		add("resting", c, "$")
	}
	for range 10 {
		add("connected", dial(t, pooler), "$")
		add("started", client(t, pooler), "$")
		c := dial(t, pooler)
		c.send(startup[:9])
		add("half started", c, "E$ 57P03")
		c = client(t, pooler)
		c.send(half[:20])
		add("half a request", c, "E$ 57P03")
	}
	const ahead = 30
	for n := range 4 {
		c, all := client(t, pooler), query(fmt.Sprint("held", n), "read", 500)
		for range ahead - 1 {
			all = append(all, pgwire.AppendQuery(nil, "SET a = 1")...)
		}
		c.send(all)
		add("ahead", c, "TDCZ v"+strings.Repeat(", CZ", ahead-1)+", $")
		q := next(t, held)
		time.AfterFunc(200*time.Millisecond, func() { q.send(row("v")) })
	}
	began := time.Now()
	stop <- syscall.SIGTERM
	stop <- syscall.SIGTERM
	told := make(chan string, len(clients))
	for _, c := range clients {
		go func() {
			got := toldUpToTheEnd(c.peer)
			if got == c.want {
				got = ""
			} else {
				got = fmt.Sprintf("%s: told %q, want %q", c.name, got, c.want)
			}
			told <- got
		}()
	}
	wrong := map[string]int{}
	for range clients {
		if s := <-told; s != "" {
			wrong[s]++
		}
	}
	for s, n := range wrong {
		t.Errorf("%d times %s", n, s)
	}
	if err := <-done; err != nil || time.Since(began) > longest+700*time.Millisecond {
		t.Errorf("it ended after %v with %v", time.Since(began), err)
	}
}

// TestStopReadsWhatHasCome: bytes that complete a request lie unread in the socket at the moment in which the process closes what is left.
// They are read, and the request is refused.
func TestStopReadsWhatHasCome(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	p := newPooler(testConfig(t, addr, nil, shortest(600*time.Millisecond)), slog.New(slog.DiscardHandler))
	pooler, _, _, _ := launch(t, p)
	c, k, half := client(t, pooler), client(t, pooler), query("half", "read", 500)
	c.send(half[:20])
	for n := -1; n != 1; time.Sleep(time.Millisecond) { // until the half is read
		read := make(chan int)
		p.loop.Post(func() { read <- p.platform.PartialMessages() })
		n = <-read
	}
	stands, goes := make(chan bool), make(chan bool)
	p.loop.Post(func() { close(stands); <-goes; p.platform.SetDrainStage(platform.EndPartial) })
	<-stands
	c.send(half[20:])
	k.send(query("whole", "read", 500))
	close(goes)
	c.want("EZ 57P03")
	k.want("EZ 57P03")
	for _, c := range []*peer{c, k} {
		if got := toldUpToTheEnd(c); got != "$" {
			t.Errorf("behind that it is told %q", got)
		}
	}
}

// TestStopWhileStarting: a process is told to end before it has heard anything of discovery. It says at once that clients may come, serves
// those that do, and ends well.
func TestStopWhileStarting(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, stop, done := startPooler(t, addr, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, shortest(600*time.Millisecond))
	began := time.Now()
	if got := empty(t, pooler); got != "IZ" || time.Since(began) > time.Second {
		t.Errorf("the empty query is answered %q after %v", got, time.Since(began))
	}
	stop <- syscall.SIGTERM
	c := client(t, pooler)
	c.send(query("1", "read", 500))
	next(t, queries).send(row("v"))
	c.want("TDCZ v")
	if got := toldUpToTheEnd(c); got != "$" {
		t.Errorf("told %q", got)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
