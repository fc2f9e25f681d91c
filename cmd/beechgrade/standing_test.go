package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/protocol/pgwire"
)

// These tests check the bounds that the operators' permanent test sets for a pooler whose discovery is silent, and what a pooler that stops must
// still answer.

// inBothListModes runs a test where lists are requested, and where they are pushed.
func inBothListModes(t *testing.T, run func(t *testing.T, mode func(*config.Config))) {
	for name, requested := range map[string]bool{"requested": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, func(c *config.Config) { c.Settings.WatchList = requested })
		})
	}
}

// waitUntilAvoided sends reads until the only server is no longer used, and returns when that was.
func waitUntilAvoided(t testing.TB, pooler string, queries <-chan receivedQuery, by time.Time) time.Time {
	t.Helper()
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	c := client(t, pooler)
	for n := 0; ; n++ {
		c.send(query(fmt.Sprint("b", n), "read", 400))
		switch got := c.answer(); {
		case got == "EZ 53300":
			return time.Now()
		case got != "TDCZ v":
			t.Fatalf("read %d is answered %q, want \"TDCZ v\" or \"EZ 53300\"", n, got)
		case time.Now().After(by):
			t.Fatalf("the draining server is still sent reads at the end of the time limit, after %d reads", n+1)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// drainingList returns a list in which the server is draining.
func drainingList(gen int, addr string) []byte {
	b, _ := json.Marshal(map[string]any{"generation": gen, "reset": false, "instances": []map[string]any{{"instanceId": "s-1", "hostPort": addr, "lifecycle": "draining"}}})
	return b
}

// TestIndentedList: a list is accepted however it is indented, and however its bytes are split.
func TestIndentedList(t *testing.T) {
	t.Parallel()
	inBothListModes(t, func(t *testing.T, mode func(*config.Config)) {
		addr, queries := server(t)
		pooler, _, _ := startPooler(t, addr, func(w http.ResponseWriter, r *http.Request) {
			var b bytes.Buffer
			_ = json.Indent(&b, drainingList(5, addr), "", "  ")
			for _, part := range bytes.SplitAfter(append([]byte("\n"), append(b.Bytes(), '\n')...), []byte{'\n'}) {
				_, _ = w.Write(part)
				w.(http.Flusher).Flush()
			}
			<-r.Context().Done()
		}, mode)
		waitUntilAvoided(t, pooler, queries, time.Now().Add(2*time.Second))
	})
}

// TestUnresponsiveDiscovery: a watch falls silent at some point, and so does the watch that replaces it; just then a server begins to drain.
// The pooler is taken to know of it 6 s after that, so it must have received the list by then.
func TestUnresponsiveDiscovery(t *testing.T) {
	t.Parallel()
	flush := func(w http.ResponseWriter, s string) {
		_, _ = w.Write([]byte(s))
		w.(http.Flusher).Flush()
	}
	for name, begin := range map[string]func(w http.ResponseWriter){
		"at its start":      func(http.ResponseWriter) {},
		"after its headers": func(w http.ResponseWriter) { w.(http.Flusher).Flush() },
		"after a list": func(w http.ResponseWriter) {
			flush(w, "{\"generation\":4,\"reset\":false,\"instances\":[]}\n\n")
		},
		"in the midst of a list": func(w http.ResponseWriter) { flush(w, "\n{\"generation\":5,\"reset\":false,\"inst") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inBothListModes(t, func(t *testing.T, mode func(*config.Config)) {
				addr, queries := server(t)
				var calls atomic.Int32
				silent := make(chan time.Time, 1)
				pooler, _, _ := startPooler(t, addr, func(w http.ResponseWriter, r *http.Request) {
					switch calls.Add(1) {
					case 1:
						begin(w)
						silent <- time.Now()
					case 2: // silent from its start
					default:
						flush(w, string(drainingList(6, addr))+"\n")
					}
					<-r.Context().Done()
				}, mode, func(c *config.Config) { c.Settings.Peers = 100 }) // with many peers, calls to discovery are spread differently
				silentAt := <-silent
				if took := waitUntilAvoided(t, pooler, queries, silentAt.Add(6*time.Second)).Sub(silentAt); took < 4500*time.Millisecond {
					t.Errorf("the drain was applied after %v, but two silent watches take at least 4.5 s", took)
				}
			})
		})
	}
}

// TestStartDuringDiscoveryOutage: a process starts while discovery hangs. It serves at once by its configured list, and applies discovery's
// list once discovery is back.
func TestStartDuringDiscoveryOutage(t *testing.T) {
	t.Parallel()
	inBothListModes(t, func(t *testing.T, mode func(*config.Config)) {
		addr, queries := server(t)
		var back atomic.Bool
		pooler, _, _ := startPooler(t, addr, func(w http.ResponseWriter, r *http.Request) {
			if back.Load() {
				_, _ = w.Write(append(drainingList(5, addr), '\n'))
				w.(http.Flusher).Flush()
			}
			<-r.Context().Done()
		}, mode)
		began := time.Now()
		c := client(t, pooler)
		c.send(query("1", "read", 9000))
		next(t, queries).send(row("v"))
		c.want("TDCZ v")
		if took := time.Since(began); took > time.Second {
			t.Errorf("served %v after the start of a process without discovery, want at most 1 s", took)
		}
		back.Store(true)
		waitUntilAvoided(t, pooler, queries, time.Now().Add(4*time.Second))
	})
}

// TestDiscoveryReturns: discovery is down for a while; its connections are reset and new ones refused. Where lists are pushed, its list is
// binding as soon as it is back, so it must be received within the shortest grace period of a drain; where they are requested, it is binding
// once it was sent.
func TestDiscoveryReturns(t *testing.T) {
	t.Parallel()
	inBothListModes(t, func(t *testing.T, mode func(*config.Config)) {
		addr, queries := server(t)
		l := listen(t)
		at := l.Addr().String()
		opened := make(chan bool, 99)
		serve := func(l net.Listener, say []byte) *http.Server {
			s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write(say)
				w.(http.Flusher).Flush()
				opened <- true
				<-r.Context().Done()
			})}
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = s.Close() })
			return s
		}
		first := serve(l, []byte("\n"))
		var requested bool
		pooler, _, _ := startPooler(t, addr, nil, mode, func(c *config.Config) { c.DiscoveryAddress, requested = at, c.Settings.WatchList })
		<-opened
		_ = first.Close()
		time.Sleep(1500 * time.Millisecond)
		back, err := net.Listen("tcp", at)
		if err != nil {
			t.Skip("the port was taken meanwhile: ", err)
		}
		returned := time.Now()
		serve(back, append(drainingList(5, addr), '\n'))
		took := waitUntilAvoided(t, pooler, queries, returned.Add(3*time.Second)).Sub(returned)
		if most := 700 * time.Millisecond; !requested && took > most { // at most 160 ms between calls, and time for a busy machine
			t.Errorf("the drain was applied %v after discovery was back, want at most %v", took, most)
		}
	})
}

// TestPushedListBindsFromStart: where lists are pushed, the agent's list is binding from the start of a process, whatever list the process
// was configured with. It must be received within the grace period of a drain.
func TestPushedListBindsFromStart(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	began := time.Now()
	pooler, _, _ := startPooler(t, addr, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(append(drainingList(5, addr), '\n'))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}, func(c *config.Config) { c.Settings.WatchList = false })
	if took := waitUntilAvoided(t, pooler, queries, began.Add(2*time.Second)).Sub(began); took > time.Second { // for a busy machine; otherwise it takes a few ms
		t.Errorf("the drain was applied %v after the start, want at most 1 s", took)
	}
}

// TestReloadToAnUnresponsiveDiscovery: the discovery service of a new configuration hangs at first. Its list is binding 4 s after SIGHUP.
func TestReloadToAnUnresponsiveDiscovery(t *testing.T) {
	t.Parallel()
	inBothListModes(t, func(t *testing.T, mode func(*config.Config)) {
		addr, queries := server(t)
		var calls atomic.Int32
		moved := listen(t)
		s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				_, _ = w.Write(bytes.Replace(append(drainingList(2, addr), '\n'), []byte(`"reset":false`), []byte(`"reset":true`), 1))
				w.(http.Flusher).Flush()
			}
			<-r.Context().Done()
		})}
		go func() { _ = s.Serve(moved) }()
		t.Cleanup(func() { _ = s.Close() })
		pooler, hup, _, _ := startPoolerWithReload(t, addr, nil, func(c config.Config) (*config.Config, error) {
			c.DiscoveryAddress = moved.Addr().String()
			return &c, nil
		}, mode)
		c := client(t, pooler)
		c.send(query("1", "read", 9000))
		next(t, queries).send(row("v"))
		c.want("TDCZ v")
		reloadedAt := time.Now()
		hup <- syscall.SIGHUP
		waitUntilAvoided(t, pooler, queries, reloadedAt.Add(4*time.Second))
	})
}

// TestStopUnderLoad: after SIGTERM clients send requests on every open connection, one after the other, and open new connections for a
// while. Every request that was read gets its answer, and the process exits before it may be killed. A close may cross a request that was
// not read; no answer may be truncated or late. A client that sends its next request at once after each answer may never be seen idle, so
// at the very end (from endPartialAfterMs after the longest deadline on) its requests are rejected, and only the end of its connection
// follows that.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	addr, queries := server(t)
	const longest = time.Second
	pooler, stop, done := startPooler(t, addr, nil, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = longest, longest
		}
	})
	go func() {
		for q := range queries {
			if strings.Contains(q.sql, "hang") { // never answered
				continue
			}
			go func() {
				time.Sleep(3 * time.Millisecond)
				q.send(row("v"))
			}()
		}
	}()
	var mu sync.Mutex
	counts, late, ids := map[string]int{}, 0, 0
	var stoppedAt time.Time // when SIGTERM was sent
	early, afterRejection := 0, 0
	var wg sync.WaitGroup
	sendRequests := func(k int) {
		defer wg.Done()
		nc, err := net.Dial("tcp", pooler)
		if err != nil {
			return
		}
		c := newPeer(t, nc)
		c.send(pgwire.AppendStartup(nil, "backend", "store"))
		if c.answer() != "RSSSSZ" {
			return
		}
		for rejected := false; ; {
			mu.Lock()
			ids++
			id := fmt.Sprint("h", ids)
			if ids%50 == 0 {
				id += "hang"
			}
			mu.Unlock()
			began := time.Now()
			c.send(query(id, map[bool]string{true: "write", false: "read"}[k%3 == 0], 800))
			got := c.answer()
			mu.Lock()
			counts[got]++
			if got == rejectionAtStop {
				if stoppedAt.IsZero() || time.Since(stoppedAt) < longest+endPartialAfterMs*time.Millisecond {
					early++
				}
				rejected = true
			} else if rejected && got != "$" {
				afterRejection++
			}
			if took := time.Since(began); took > 800*time.Millisecond+500*time.Millisecond && got != "$" {
				late++
			}
			mu.Unlock()
			if strings.Contains(got, "$") {
				return
			}
		}
	}
	for k := range 30 {
		wg.Add(1)
		go sendRequests(k)
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	stoppedAt = time.Now()
	mu.Unlock()
	stop <- syscall.SIGTERM
	for k := range 10 { // clients keep connecting for a while
		time.Sleep(30 * time.Millisecond)
		wg.Add(1)
		go sendRequests(k)
	}
	select {
	case err := <-done:
		took := time.Since(stoppedAt)
		if err != nil || took < longest {
			t.Errorf("the process ended after %v with error %v, want no error and at least %v", took, err, longest)
		}
		if took > longest+700*time.Millisecond {
			t.Errorf("the process ended after %v, want at most %v", took, longest+700*time.Millisecond)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the process did not end in %v", testTimeout)
	}
	wg.Wait()
	sum := 0
	for got, n := range counts {
		switch got {
		case "TDCZ v", "EZ 53300", "EZ 58000", rejectionAtStop:
			sum += n
		case "$":
		default:
			t.Errorf("%d requests got the unexpected answer %q", n, got)
		}
	}
	if early > 0 || afterRejection > 0 {
		t.Errorf("%d requests were rejected before the end, and %d got another answer after a rejection, want none: %v", early, afterRejection, counts)
	}
	if counts["TDCZ v"] < sum*9/10 || counts["$"] != 40 {
		t.Errorf("answers are %v, want at least 9 of 10 served and 40 ends of connections", counts)
	}
	if sum < 1000 {
		t.Errorf("answers in total: got %d, want at least 1000: %v", sum, counts)
	}
	if late > 0 {
		t.Errorf("answers over half a second after their deadline: got %d, want none", late)
	}
}

// rejectionAtStop is the answer to requests that arrive at the very end.
const rejectionAtStop = "EZ 57P03"

// TestStopAnswersFollowUpRequests: requests that hang are ended at the moment when the process accepts nothing more, and by then their
// clients have sent another request, as clients do that send without a pause. The loop handles both in one turn, as on a machine where it
// was blocked for a while. Every request is answered: the first with its own outcome, the second with a rejection, and only then is the
// connection closed.
func TestStopAnswersFollowUpRequests(t *testing.T) {
	t.Parallel()
	const longest, many = 600 * time.Millisecond, 4 // a server that has not answered any request yet is sent no more
	addr, queries := server(t)
	p := newPooler(testConfig(t, addr, nil, withDeadline(longest)), slog.New(slog.DiscardHandler))
	pooler, _, stop, done := launch(t, p)
	go func() {
		for range queries { // none is answered
		}
	}()
	stop <- syscall.SIGTERM
	began := time.Now()
	var clients []*peer
	for n := range many {
		c := client(t, pooler)
		clients = append(clients, c)
		time.AfterFunc(time.Until(began.Add(longest-50*time.Millisecond)), func() { c.send(query(fmt.Sprint("hang", n), "read", 550)) }) // its deadline is after the end of the process
	}
	time.Sleep(time.Until(began.Add(longest + (endPartialAfterMs-200)*time.Millisecond)))
	blocked, resume := make(chan bool), make(chan bool)
	open := 0
	p.loop.Post(func() { open = p.core.OpenRequests(); close(blocked); <-resume })
	<-blocked
	for n, c := range clients {
		c.send(query(fmt.Sprint("next", n), "read", 500))
	}
	time.Sleep(time.Until(began.Add(longest + (endPartialAfterMs+20)*time.Millisecond)))
	close(resume)
	answers := map[string]int{}
	for _, c := range clients {
		answers[answersUntilEOF(c)]++
	}
	if open != many {
		t.Fatalf("open requests while the loop is blocked: got %d, want %d", open, many) // it was blocked too late
	}
	if answers["EZ 58000, EZ 57P03, $"]+answers["EZ 53300, EZ 57P03, $"] != many {
		t.Errorf("answers are %v, want %d times an error and then a rejection", answers, many)
	}
	if err := <-done; err != nil {
		t.Errorf("the process ended with error %v", err)
	}
}

// TestDelayedAnswerIsNotFresh: while a pooler's loop is blocked, the answer of a primary arrives, and a read whose data may be 200 ms old;
// then another server takes over. When the loop continues, that answer is 1.5 s old and must not count as fresh: the read is sent to no
// server until a health check has been answered.
func TestDelayedAnswerIsNotFresh(t *testing.T) {
	t.Parallel()
	addrP, atP := server(t)
	addrA, atA := server(t)
	p := newPooler(testConfig(t, addrP, nil, func(c *config.Config) {
		c.InitialList.Instances = append(c.InitialList.Instances, discovery.Instance{ID: "s-2", HostPort: addrA, Lifecycle: "up", Weight: 1, Role: "replica"})
		c.Settings.MayCheckHealth = true
		c.Classes = append(c.Classes, "young")
		c.Settings.Classes = append(c.Settings.Classes, decide.Class{LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 1, Read: decide.ReadBounded, MaxStaleness: 200 * time.Millisecond})
	}), slog.New(slog.DiscardHandler))
	pooler, _, _, _ := launch(t, p)
	w, r := client(t, pooler), client(t, pooler)
	w.send(query("w", "write", 9000))
	held := next(t, atP)
	for held.sql == "SHOW load" {
		held = next(t, atP)
	}
	blocked, resume := make(chan struct{}), make(chan struct{})
	p.loop.Post(func() { close(blocked); <-resume })
	<-blocked
	answeredAt := time.Now().UnixMilli()
	value := pgwire.AppendParameter(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("w")), "SELECT 1"), "role", "primary")
	held.send(pgwire.AppendReady(pgwire.AppendParameter(value, "applied_ms", fmt.Sprint(answeredAt))))
	time.Sleep(50 * time.Millisecond)
	r.send(query("r", "young", 9000))
	time.Sleep(1450 * time.Millisecond)
	close(resume)
	w.want("TDCZ w")
	load := func(primary int) []byte {
		return row(fmt.Sprintf("x0=%d.%03d,x1=%d", time.Now().Unix(), time.Now().UnixMilli()%1000, primary))
	}
	go func() {
		for q := range atP {
			if q.sql == "SHOW load" {
				q.send(load(0))
			} else if strings.Contains(q.sql, "id=r,") {
				q.send(row("old"))
			}
		}
	}()
	go func() {
		for q := range atA {
			if q.sql == "SHOW load" {
				q.send(load(1))
			} else {
				q.send(row("new"))
			}
		}
	}()
	r.want("TDCZ new")
}
