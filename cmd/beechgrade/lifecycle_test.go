package main

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// operated runs a pooler with a door, once its list is heard.
func operated(t testing.TB, server string, before ...func(*pooler)) (addr, door string, stop chan<- os.Signal, done <-chan error) {
	addr, door, _, stop, done = operatedReload(t, server, before...)
	return addr, door, stop, done
}

// operatedReload is operated with a way to send SIGHUP.
func operatedReload(t testing.TB, server string, before ...func(*pooler)) (addr, door string, hup, stop chan<- os.Signal, done <-chan error) {
	watch := func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintln(w, `{"generation":5,"reset":false,"instances":[]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	p := newPooler(testConfig(t, server, watch, func(c *config.Config) { c.AdminAddress = "127.0.0.1:0" }), slog.New(slog.DiscardHandler))
	for _, f := range before {
		f(p)
	}
	addr, hup, stop, done = launch(t, p)
	at := make(chan string)
	p.loop.Post(func() { at <- p.adminAddr })
	door = <-at
	for sendToAdmin(t, door, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") != "200 ready" {
		time.Sleep(time.Millisecond)
	}
	return addr, door, hup, stop, done
}

// sendToAdmin puts bytes to a door and returns the answer's status and body; nothing for a door that just closes.
func sendToAdmin(t testing.TB, door, text string) string {
	t.Helper()
	c := dial(t, door)
	c.send([]byte(text))
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(r.Body)
	_ = c.Close()
	return strings.TrimSpace(fmt.Sprintf("%d %s", r.StatusCode, b))
}

func callAdmin(t testing.TB, door, method, path string) string {
	t.Helper()
	return sendToAdmin(t, door, method+" "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
}

// empty asks, as clients' side does, whether clients may come.
func empty(t testing.TB, pooler string) string {
	t.Helper()
	c := client(t, pooler)
	c.send(pgwire.AppendQuery(nil, ""))
	return c.answer()
}

// TestAdminAnswersEachCall: each call has its answer, what is no call is turned away, and callers that finish none keep nobody out.
func TestAdminAnswersEachCall(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	pooler, door, _, _ := operated(t, srv)
	for range 40 { // they connect, and some begin a call
		dial(t, door).send([]byte("GET /-/rea"))
		dial(t, door)
	}
	got := map[string]string{}
	for _, text := range []string{
		"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", "GET /-/ready?a=b HTTP/1.0\r\n\r\n", "POST /-/ready HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /-/drain HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /-/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi",
		"POST /-/resume HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "noise\r\n\r\n", "GET /-/ready HTTP/1.1\r\nX: " + strings.Repeat("x", 9000),
	} {
		name, _, _ := strings.Cut(text, "\r\n")
		if strings.Contains(text, "Host") {
			name += "+"
		}
		got[name], _, _ = strings.Cut(sendToAdmin(t, door, text), ":")
	}
	if diff := cmp.Diff(map[string]string{
		"GET /-/ready HTTP/1.1+": "200 ready", "GET /-/ready?a=b HTTP/1.0": "200 ready", "POST /-/ready HTTP/1.1+": "405 Method Not Allowed",
		"GET /-/drain HTTP/1.1+": "405 Method Not Allowed", "GET / HTTP/1.1+": "404 Not Found", "POST /-/drain HTTP/1.1+": "413 a call has no body",
		"POST /-/resume HTTP/1.1+": "413 a call has no body", "noise": "400 malformed HTTP request \"noise\"", "GET /-/ready HTTP/1.1": "431 Request Header Fields Too Large",
	}, got); diff != "" {
		t.Error(diff)
	}
	c := dial(t, door)
	for _, b := range []byte("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\nGET /-/drain") { // in single bytes, with a second call behind
		c.send([]byte{b})
	}
	if r, err := http.ReadResponse(c.in, nil); err != nil || r.StatusCode != 200 {
		t.Errorf("in single bytes: %v, %v", r, err)
	}
	if got := empty(t, pooler); got != "IZ" {
		t.Errorf("clients are told %q", got)
	}
	k := client(t, pooler) // clients notice nothing
	k.send(query("1", "read", 9000))
	next(t, queries).send(row("v"))
	k.want("TDCZ v")
}

// TestDrain: a drained pooler says no, closes connections as they fall idle and none that holds something taken, cuts off who
// never falls idle, lives on, and is back after a resume. Drained twice is drained once.
func TestDrain(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	pooler, door, stop, done := operated(t, srv)
	idle, busy, never, mute := client(t, pooler), client(t, pooler), client(t, pooler), dial(t, pooler)
	busy.send(query("1", "read", 19000))
	held := next(t, queries)
	if got := callAdmin(t, door, "POST", "/-/drain") + ", " + callAdmin(t, door, "POST", "/-/drain") + ", " + callAdmin(t, door, "GET", "/-/ready"); got != "200 draining, 200 draining, 200 draining" {
		t.Fatal(got)
	}
	began := time.Now()
	if got := empty(t, pooler); got != "EZ 57P03" {
		t.Errorf("the empty query is answered %q", got)
	}
	asked := make(chan string, 1)
	go func() { // a client that never stops: each answer finds its next query on the way
		for n := 0; ; n++ {
			never.send(append(query(fmt.Sprint("a", n), "read", 9000), query(fmt.Sprint("b", n), "read", 9000)...))
			if got := never.answer() + ", " + never.answer(); got != "TDCZ v, TDCZ v" {
				asked <- got
				return
			}
		}
	}()
	go func() {
		for q := range queries {
			if strings.Contains(q.sql, "id=") {
				time.Sleep(2 * time.Millisecond)
				q.send(row("v"))
			}
		}
	}()
	for name, c := range map[string]*peer{"idle": idle, "mute": mute} {
		if got := c.answer(); got != "$" {
			t.Errorf("the %s client was told %q", name, got)
		}
	}
	if got := <-asked; got != "EZ 57P03, EZ 57P03" && got != "TDCZ v, EZ 57P03" && got != "$, $" { // each command has an answer, or none was read
		t.Errorf("the client that never stops was told %q", got)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the client that never stops was told to go after %v", took)
	}
	held.send(row("v1"))
	busy.want("TDCZ v1")
	if got := busy.answer(); got != "$" {
		t.Errorf("behind its answer it was told %q", got)
	}
	if got := callAdmin(t, door, "POST", "/-/resume") + ", " + callAdmin(t, door, "POST", "/-/resume") + ", " + empty(t, pooler); got != "200 ready, 200 ready, IZ" {
		t.Error(got)
	}
	c := client(t, pooler)
	c.send(query("9", "read", 9000))
	c.want("TDCZ v")
	callAdmin(t, door, "POST", "/-/drain")
	stop <- syscall.SIGTERM // while drained: nobody is left, so the end is soon
	if got := c.answer(); got != "$" {
		t.Errorf("told %q", got)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestResumeInTheMiddle: a drain that is taken back before clients are closed leaves them alone, and one that is taken back later
// closes nobody any more.
func TestResumeInTheMiddle(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	pooler, door, _, _ := operated(t, srv)
	c := client(t, pooler)
	for range 3 {
		callAdmin(t, door, "POST", "/-/drain")
		callAdmin(t, door, "POST", "/-/resume")
	}
	time.Sleep(2 * closeIdleMs * time.Millisecond)
	c.send(query("1", "read", 9000))
	next(t, queries).send(row("v"))
	c.want("TDCZ v")
	callAdmin(t, door, "POST", "/-/drain")
	if got := c.answer(); got != "$" {
		t.Errorf("told %q", got)
	}
	callAdmin(t, door, "POST", "/-/resume")
	k := client(t, pooler)
	time.Sleep(refuseCommandsMs * time.Millisecond)
	k.send(query("2", "read", 9000))
	nextQuery(t, queries).send(row("w"))
	k.want("TDCZ w")
}

// TestNoAdminEndpointWithoutAnAddress: without the setting nothing listens for operators.
func TestNoAdminEndpointWithoutAnAddress(t *testing.T) {
	t.Parallel()
	srv, _ := server(t)
	p := newPooler(testConfig(t, srv, nil), slog.New(slog.DiscardHandler))
	launch(t, p)
	at := make(chan bool)
	p.loop.Post(func() { at <- p.admin == nil && p.adminAddr == "" })
	if !<-at {
		t.Error("there is a door")
	}
}

// TestInherited: two processes hold one listening socket. The one that is told to end takes nothing new, answers what it took,
// closes who falls idle and ends soon; no connection is refused meanwhile.
func TestInherited(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	ln := listen(t).(*net.TCPListener)
	share := func(p *pooler) { inheritSocket(t, p, ln) }
	addr, _, stop, done := operated(t, srv, share)
	if addr != ln.Addr().String() {
		t.Errorf("serves at %s", addr)
	}
	idle, busy := client(t, addr), client(t, addr)
	busy.send(query("1", "read", 19000))
	held := next(t, queries)
	_, door2, _, _ := operated(t, srv, share)
	began := time.Now()
	stop <- syscall.SIGTERM
	if got := idle.answer(); got != "$" {
		t.Errorf("the idle client was told %q", got)
	}
	for n := range 50 { // all of it is the new one's
		c := client(t, addr)
		c.send(query(fmt.Sprint("n", n), "read", 9000))
		next(t, queries).send(row("v2"))
		c.want("TDCZ v2")
	}
	held.send(row("v1"))
	busy.want("TDCZ v1")
	if err := <-done; err != nil {
		t.Errorf("ended with %v after %v", err, time.Since(began))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("ended after %v", took)
	}
	if got := empty(t, addr) + ", " + callAdmin(t, door2, "GET", "/-/ready"); got != "IZ, 200 ready" {
		t.Error(got)
	}
}

// TestComesAsItEnds: a client whose connection a process has just accepted when it is told to end has its first request answered: nobody
// closes in its face. Behind the answer its connection is closed.
func TestComesAsItEnds(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	ln := listen(t).(*net.TCPListener)
	accepted := make(chan int, 1)
	var old *pooler
	addr, _, stop, done := operated(t, srv, func(p *pooler) { old = p; inheritSocket(t, p, ln) })
	bare, started := dial(t, addr), client(t, addr)
	for n := 0; n < 2; time.Sleep(time.Millisecond) {
		old.loop.Post(func() { accepted <- old.platform.Sessions() })
		n = <-accepted
	}
	stop <- syscall.SIGTERM
	time.Sleep(20 * time.Millisecond)
	for n, c := range map[string]*peer{"bare": bare, "started": started} {
		if n == "bare" {
			c.send(append(pgwire.AppendStartup(nil, "backend", "store"), query("1", "read", 9000)...))
			c.want("RSSSSZ")
		} else {
			c.send(query("2", "read", 9000))
		}
		next(t, queries).send(row("v"))
		c.want("TDCZ v")
		c.want("$")
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestNoSocket: a descriptor that is no listening socket stops the start with one line.
func TestNoSocket(t *testing.T) {
	t.Parallel()
	f, err := os.CreateTemp(t.TempDir(), "x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []string{"x", "2", "-1", fmt.Sprint(fd)} {
		if _, err := inheritListener(func(string) string { return v }); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", v, err)
		}
	}
	if ln, err := inheritListener(func(string) string { return "" }); ln != nil || err != nil {
		t.Errorf("not set: %v, %v", ln, err)
	}
}
