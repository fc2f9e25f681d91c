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

// startWithAdmin starts a pooler with an admin endpoint and waits until it is ready.
func startWithAdmin(t testing.TB, server string, before ...func(*pooler)) (addr, admin string, stop chan<- os.Signal, done <-chan error) {
	addr, admin, _, stop, done = startWithAdminAndReload(t, server, before...)
	return addr, admin, stop, done
}

// startWithAdminAndReload is startWithAdmin, and also returns the channel that takes SIGHUP.
func startWithAdminAndReload(t testing.TB, server string, before ...func(*pooler)) (addr, admin string, hup, stop chan<- os.Signal, done <-chan error) {
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
	admin = <-at
	for sendToAdmin(t, admin, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") != "200 ready" {
		time.Sleep(time.Millisecond)
	}
	return addr, admin, hup, stop, done
}

// sendToAdmin sends bytes to the admin endpoint and returns the answer's status and body, or "" if the connection closes without an answer.
func sendToAdmin(t testing.TB, admin, text string) string {
	t.Helper()
	c := dial(t, admin)
	c.send([]byte(text))
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(r.Body)
	_ = c.Close()
	return strings.TrimSpace(fmt.Sprintf("%d %s", r.StatusCode, b))
}

// callAdmin calls the admin endpoint and returns the answer's status and body.
func callAdmin(t testing.TB, admin, method, path string) string {
	t.Helper()
	return sendToAdmin(t, admin, method+" "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
}

// emptyQueryAnswer sends an empty query, with which clients check whether a pooler accepts them, and returns the answer.
func emptyQueryAnswer(t testing.TB, pooler string) string {
	t.Helper()
	c := client(t, pooler)
	c.send(pgwire.AppendQuery(nil, ""))
	return c.answer()
}

// TestAdminAnswersEachCall checks that each admin call is answered, that malformed calls are rejected, and that connections without a
// complete call do not keep others out.
func TestAdminAnswersEachCall(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	pooler, admin, _, _ := startWithAdmin(t, srv)
	for range 40 { // some begin a call, others only connect
		dial(t, admin).send([]byte("GET /-/rea"))
		dial(t, admin)
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
		got[name], _, _ = strings.Cut(sendToAdmin(t, admin, text), ":")
	}
	if diff := cmp.Diff(map[string]string{
		"GET /-/ready HTTP/1.1+": "200 ready", "GET /-/ready?a=b HTTP/1.0": "200 ready", "POST /-/ready HTTP/1.1+": "405 Method Not Allowed",
		"GET /-/drain HTTP/1.1+": "405 Method Not Allowed", "GET / HTTP/1.1+": "404 Not Found", "POST /-/drain HTTP/1.1+": "413 a call has no body",
		"POST /-/resume HTTP/1.1+": "413 a call has no body", "noise": "400 malformed HTTP request \"noise\"", "GET /-/ready HTTP/1.1": "431 Request Header Fields Too Large",
	}, got); diff != "" {
		t.Errorf("answers to admin calls, -want +got:\n%s", diff)
	}
	c := dial(t, admin)
	for _, b := range []byte("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\nGET /-/drain") { // in single bytes, followed by the start of a second call
		c.send([]byte{b})
	}
	if r, err := http.ReadResponse(c.in, nil); err != nil || r.StatusCode != 200 {
		t.Errorf("call in single bytes: got %v, error %v, want status 200", r, err)
	}
	if got := emptyQueryAnswer(t, pooler); got != "IZ" {
		t.Errorf("an empty query is answered %q, want IZ", got)
	}
	other := client(t, pooler) // clients are served as before
	other.send(query("1", "read", 9000))
	next(t, queries).send(row("v"))
	other.want("TDCZ v")
}

// TestDrain checks that a draining pooler refuses new requests, closes connections once they are idle but none with an open request, ends
// those that never become idle, keeps running, and serves again after a resume. A second drain changes nothing.
func TestDrain(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	pooler, admin, stop, done := startWithAdmin(t, srv)
	idle, busy, neverIdle, silent := client(t, pooler), client(t, pooler), client(t, pooler), dial(t, pooler)
	busy.send(query("1", "read", 19000))
	held := next(t, queries)
	if got := callAdmin(t, admin, "POST", "/-/drain") + ", " + callAdmin(t, admin, "POST", "/-/drain") + ", " + callAdmin(t, admin, "GET", "/-/ready"); got != "200 draining, 200 draining, 200 draining" {
		t.Fatalf("two drains and a readiness check: got %q, want \"200 draining\" for each", got)
	}
	began := time.Now()
	if got := emptyQueryAnswer(t, pooler); got != "EZ 57P03" {
		t.Errorf("empty query during the drain is answered %q, want SQLSTATE 57P03", got)
	}
	lastAnswer := make(chan string, 1)
	go func() { // a client that is never idle: its next query is in transit before each answer
		for n := 0; ; n++ {
			neverIdle.send(append(query(fmt.Sprint("a", n), "read", 9000), query(fmt.Sprint("b", n), "read", 9000)...))
			if got := neverIdle.answer() + ", " + neverIdle.answer(); got != "TDCZ v, TDCZ v" {
				lastAnswer <- got
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
	for name, c := range map[string]*peer{"idle": idle, "silent": silent} {
		if got := c.answer(); got != "$" {
			t.Errorf("the %s client gets %q, want its connection closed", name, got)
		}
	}
	if got := <-lastAnswer; got != "EZ 57P03, EZ 57P03" && got != "TDCZ v, EZ 57P03" && got != "$, $" { // each command was answered, or none was read
		t.Errorf("the client that is never idle gets %q, want its last command refused with 57P03 or its connection closed", got)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the client that is never idle was refused after %v, want at most 3 s", took)
	}
	held.send(row("v1"))
	busy.want("TDCZ v1")
	if got := busy.answer(); got != "$" {
		t.Errorf("after its answer the busy client gets %q, want its connection closed", got)
	}
	if got := callAdmin(t, admin, "POST", "/-/resume") + ", " + callAdmin(t, admin, "POST", "/-/resume") + ", " + emptyQueryAnswer(t, pooler); got != "200 ready, 200 ready, IZ" {
		t.Errorf("two resumes and an empty query: got %q, want \"200 ready\" for each and IZ", got)
	}
	c := client(t, pooler)
	c.send(query("9", "read", 9000))
	c.want("TDCZ v")
	callAdmin(t, admin, "POST", "/-/drain")
	stop <- syscall.SIGTERM // while drained: no request is open, so the process ends soon
	if got := c.answer(); got != "$" {
		t.Errorf("the client of the drained process gets %q at SIGTERM, want its connection closed", got)
	}
	if err := <-done; err != nil {
		t.Errorf("the drained process ended with error %v", err)
	}
}

// TestResumeDuringDrain checks that a resume before the drain closes connections keeps them open, and that after a later resume no further
// connection is closed.
func TestResumeDuringDrain(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	pooler, admin, _, _ := startWithAdmin(t, srv)
	c := client(t, pooler)
	for range 3 {
		callAdmin(t, admin, "POST", "/-/drain")
		callAdmin(t, admin, "POST", "/-/resume")
	}
	time.Sleep(2 * closeIdleMs * time.Millisecond)
	c.send(query("1", "read", 9000))
	next(t, queries).send(row("v"))
	c.want("TDCZ v")
	callAdmin(t, admin, "POST", "/-/drain")
	if got := c.answer(); got != "$" {
		t.Errorf("the client gets %q after the drain, want its connection closed", got)
	}
	callAdmin(t, admin, "POST", "/-/resume")
	other := client(t, pooler)
	time.Sleep(refuseCommandsMs * time.Millisecond)
	other.send(query("2", "read", 9000))
	nextQuery(t, queries).send(row("w"))
	other.want("TDCZ w")
}

// TestNoAdminEndpointWithoutAnAddress checks that without an admin address no admin endpoint listens.
func TestNoAdminEndpointWithoutAnAddress(t *testing.T) {
	t.Parallel()
	srv, _ := server(t)
	p := newPooler(testConfig(t, srv, nil), slog.New(slog.DiscardHandler))
	launch(t, p)
	at := make(chan bool)
	p.loop.Post(func() { at <- p.admin == nil && p.adminAddr == "" })
	if !<-at {
		t.Error("an admin endpoint listens although no address is configured")
	}
}

// TestInheritedListenerHandover checks the handover between two processes that share a listening socket. The one that is stopped accepts no
// new connection, answers its open requests, closes idle connections and exits soon. No connection is refused meanwhile.
func TestInheritedListenerHandover(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	ln := listen(t).(*net.TCPListener)
	share := func(p *pooler) { inheritSocket(t, p, ln) }
	addr, _, stop, done := startWithAdmin(t, srv, share)
	if addr != ln.Addr().String() {
		t.Errorf("the process serves at %s, want the inherited %s", addr, ln.Addr())
	}
	idle, busy := client(t, addr), client(t, addr)
	busy.send(query("1", "read", 19000))
	held := next(t, queries)
	_, admin2, _, _ := startWithAdmin(t, srv, share)
	began := time.Now()
	stop <- syscall.SIGTERM
	if got := idle.answer(); got != "$" {
		t.Errorf("the idle client gets %q, want its connection closed", got)
	}
	for n := range 50 { // the new process serves all of them
		c := client(t, addr)
		c.send(query(fmt.Sprint("n", n), "read", 9000))
		next(t, queries).send(row("v2"))
		c.want("TDCZ v2")
	}
	held.send(row("v1"))
	busy.want("TDCZ v1")
	if err := <-done; err != nil {
		t.Errorf("the old process ended with error %v after %v", err, time.Since(began))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the old process ended after %v, want at most 2 s", took)
	}
	if got := emptyQueryAnswer(t, addr) + ", " + callAdmin(t, admin2, "GET", "/-/ready"); got != "IZ, 200 ready" {
		t.Errorf("empty query and readiness at the new process: got %q, want \"IZ, 200 ready\"", got)
	}
}

// TestClientAcceptedAtStopIsServed checks that a client whose connection was accepted just before the process is stopped gets its first
// request answered. The connection closes only after the answer.
func TestClientAcceptedAtStopIsServed(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	ln := listen(t).(*net.TCPListener)
	accepted := make(chan int, 1)
	var old *pooler
	addr, _, stop, done := startWithAdmin(t, srv, func(p *pooler) { old = p; inheritSocket(t, p, ln) })
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
		t.Errorf("the old process ended with error %v", err)
	}
}

// TestInvalidInheritedDescriptor checks that an inherited descriptor that is not a listening socket prevents the start with a one-line error.
func TestInvalidInheritedDescriptor(t *testing.T) {
	t.Parallel()
	f, err := os.CreateTemp(t.TempDir(), "x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatalf("duplicating the descriptor: %v", err)
	}
	for _, v := range []string{"x", "2", "-1", fmt.Sprint(fd)} {
		if _, err := inheritListener(func(string) string { return v }); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("descriptor %q: error is %v, want one of one line", v, err)
		}
	}
	if ln, err := inheritListener(func(string) string { return "" }); ln != nil || err != nil {
		t.Errorf("no inherited descriptor: got listener %v, error %v, want neither", ln, err)
	}
}
