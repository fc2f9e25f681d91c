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

// withDeadline sets the deadline and the latency objective of each class to d.
func withDeadline(d time.Duration) func(*config.Config) {
	return func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = d, d
		}
	}
}

// clientAtStop is a client in some state when its pooler receives SIGTERM.
type clientAtStop struct {
	*peer
	name string
	want string // the answers that it gets from then on, up to the end of the connection
}

// answersUntilEOF returns a summary of all answers that a client gets until its connection ends. It ends in "$" for an orderly close, and
// in the error for a reset.
func answersUntilEOF(c *peer) string {
	var answers []string
	types, detail := "", ""
	for {
		if _, err := c.in.Peek(1); err == io.EOF {
			return strings.Join(append(answers, types+"$"+detail), ", ")
		} else if err != nil {
			return strings.Join(append(answers, types+detail, err.Error()), ", ")
		}
		typ, body := c.message()
		types += string(typ)
		switch typ {
		case 'D':
			value, _ := pgwire.Column(body)
			detail = " " + string(value)
		case 'E':
			detail = " " + pgwire.ErrorCode(body)
		case 'Z':
			answers, types, detail = append(answers, types+detail), "", ""
		}
	}
}

// TestStopAnswersEveryClient sends a process SIGTERM twice while clients are idle, have sent half a startup message or half a request, have
// pipelined many commands, or have just connected. Each request that was read must be answered once, each connection must end without a
// reset, and the process must exit before the deadline after which it may be killed.
func TestStopAnswersEveryClient(t *testing.T) {
	t.Parallel()
	const longest = 600 * time.Millisecond
	addr, queries := server(t)
	pooler, stop, done := startPooler(t, addr, nil, withDeadline(longest))
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
	var clients []clientAtStop
	add := func(name string, c *peer, want string) { clients = append(clients, clientAtStop{c, name, want}) }
	half, startup := query("half", "read", 500), pgwire.AppendStartup(nil, "backend", "store")
	for n := range 60 {
		c := client(t, pooler)
		c.send(query(fmt.Sprint("r", n), "read", 500))
		c.want("TDCZ v")
		add("idle", c, "$")
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
		add("pipelining", c, "TDCZ v"+strings.Repeat(", CZ", ahead-1)+", $")
		q := next(t, held)
		time.AfterFunc(200*time.Millisecond, func() { q.send(row("v")) })
	}
	began := time.Now()
	stop <- syscall.SIGTERM
	stop <- syscall.SIGTERM
	mismatches := make(chan string, len(clients))
	for _, c := range clients {
		go func() {
			got := answersUntilEOF(c.peer)
			if got == c.want {
				got = ""
			} else {
				got = fmt.Sprintf("%s: answers %q, want %q", c.name, got, c.want)
			}
			mismatches <- got
		}()
	}
	wrong := map[string]int{}
	for range clients {
		if s := <-mismatches; s != "" {
			wrong[s]++
		}
	}
	for s, n := range wrong {
		t.Errorf("%d times: %s", n, s)
	}
	if err := <-done; err != nil || time.Since(began) > longest+700*time.Millisecond {
		t.Errorf("the process ended after %v with error %v, want no error and at most %v", time.Since(began), err, longest+700*time.Millisecond)
	}
}

// TestStopAnswersUnreadRequests checks that a request is read and refused whose last bytes lie unread in the socket when the process closes
// its remaining connections.
func TestStopAnswersUnreadRequests(t *testing.T) {
	t.Parallel()
	addr, _ := server(t)
	p := newPooler(testConfig(t, addr, nil, withDeadline(600*time.Millisecond)), slog.New(slog.DiscardHandler))
	pooler, _, _, _ := launch(t, p)
	c, other, half := client(t, pooler), client(t, pooler), query("half", "read", 500)
	c.send(half[:20])
	for n := -1; n != 1; time.Sleep(time.Millisecond) { // until the half request is read
		read := make(chan int)
		p.loop.Post(func() { read <- p.platform.PartialMessages() })
		n = <-read
	}
	blocked, resume := make(chan bool), make(chan bool)
	p.loop.Post(func() { close(blocked); <-resume; p.platform.SetDrainStage(platform.EndPartial) })
	<-blocked
	c.send(half[20:])
	other.send(query("whole", "read", 500))
	close(resume)
	c.want("EZ 57P03")
	other.want("EZ 57P03")
	for _, c := range []*peer{c, other} {
		if got := answersUntilEOF(c); got != "$" {
			t.Errorf("after the refusal the client gets %q, want an orderly close", got)
		}
	}
}

// TestStopWhileStarting checks that a process that is stopped before it has had any answer from discovery accepts clients at once, serves
// them, and exits without an error.
func TestStopWhileStarting(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	pooler, stop, done := startPooler(t, addr, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, withDeadline(600*time.Millisecond))
	began := time.Now()
	if got := emptyQueryAnswer(t, pooler); got != "IZ" || time.Since(began) > time.Second {
		t.Errorf("empty query at the start is answered %q after %v, want IZ within 1 s", got, time.Since(began))
	}
	stop <- syscall.SIGTERM
	c := client(t, pooler)
	c.send(query("1", "read", 500))
	next(t, queries).send(row("v"))
	c.want("TDCZ v")
	if got := answersUntilEOF(c); got != "$" {
		t.Errorf("after its answer the client gets %q, want an orderly close", got)
	}
	if err := <-done; err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}
