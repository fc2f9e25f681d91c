package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/protocol/pgwire"
)

// Tests of a process whose file descriptors are taken by idle clients.

// buildDaemon builds the program for a test and its subtests.
func buildDaemon(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "beechgrade")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("building the program: %v: %s", err, out)
	}
	return path
}

// daemon is a running process of the program.
type daemon struct {
	t     testing.TB
	cmd   *exec.Cmd
	addr  string
	ended chan struct{}

	mu  sync.Mutex
	log []string
}

// appendLog adds a line to the recorded log.
func (d *daemon) appendLog(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = append(d.log, line)
}

// logLines returns the lines of the process's log that contain the given text.
func (d *daemon) logLines(text string) (lines []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.log {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// logField returns the value of a field of a log line.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// admin waits for the process's admin endpoint and returns its address.
func (d *daemon) admin() string {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if lines := d.logLines(`msg="admin endpoint listening"`); len(lines) > 0 {
			return logField(lines[0], "listen")
		}
	}
	d.t.Fatalf("the process opened no admin endpoint within %v", testTimeout)
	return ""
}

// runDaemon starts the program with a configuration and the given limit of file descriptors (ulimit -n).
func runDaemon(t testing.TB, path string, config map[string]any, descriptors int, flags ...string) *daemon {
	t.Helper()
	return runDaemonUnder(t, "", path, config, descriptors, flags...)
}

// runDaemonUnder is runDaemon under another program, such as a tracer, which must keep the process ID.
func runDaemonUnder(t testing.TB, program, path string, config map[string]any, descriptors int, flags ...string) *daemon {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", append([]string{"-c", fmt.Sprintf("ulimit -n %d && exec %s \"$0\" \"$@\" serve", descriptors, program), path}, flags...)...)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	d := &daemon{t: t, cmd: cmd, ended: make(chan struct{})}
	serving := make(chan string, 1)
	go func() {
		defer close(d.ended)
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			d.appendLog(lines.Text())
			if _, rest, ok := strings.Cut(lines.Text(), `msg="serving clients"`); ok {
				serving <- strings.TrimPrefix(strings.Fields(rest)[1], "listen=")
			}
		}
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-d.ended
	})
	select {
	case d.addr = <-serving:
	case <-d.ended:
		t.Fatal("the process ended during startup")
	case <-time.After(testTimeout):
		t.Fatalf("the process does not serve clients within %v", testTimeout)
	}
	return d
}

// openDescriptors returns the number of file descriptors that the process holds.
func (d *daemon) openDescriptors() int {
	d.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal("the process is gone: ", err)
	}
	return len(entries)
}

// openIdleConnections opens connections without a request, one after the other, until stop is closed. Each stays open until the process
// closes it.
func (d *daemon) openIdleConnections(stop <-chan struct{}, opened *atomic.Int32) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", d.addr, time.Second)
		if err != nil {
			continue
		}
		_, _ = c.Write(pgwire.AppendStartup(nil, "backend", "store"))
		opened.Add(1)
		open.Add(2)
		gone := make(chan struct{})
		go func() {
			defer open.Done()
			_, _ = io.Copy(io.Discard, c)
			close(gone)
		}()
		go func() {
			defer open.Done()
			select {
			case <-stop:
			case <-gone:
			}
			_ = c.Close()
		}()
	}
}

// daemonConfig returns a configuration with one server and deadlines that are longer than a test.
func daemonConfig(server, discovery string, sockets int, asked bool) map[string]any {
	mode := map[bool]string{true: "ask", false: "push"}[asked]
	const long = 20e9
	return map[string]any{
		"name": "test", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"known": map[string]any{"generation": 4, "reset": true, "instances": []map[string]any{
			{"instanceId": "s-1", "hostPort": server, "lifecycle": "up", "weight": 1.0, "role": "primary"}}},
		"settings": map[string]any{
			"siblings": 300, "slot_no": 0, "tick_ns": 2e6, "my_zone": 0, "zones": []string{"room"}, "kinds": []string{"small"},
			"weights": "nominal", "membership_mode": mode,
			"allowed": map[string]any{"connect_timeout_ns": 250e6, "idle_close_ns": 30e9, "max_attempts": 8, "max_retry_after_ns": 2e9,
				"may_cancel": true, "may_duplicate": true, "probes": false, "retry_after": true},
			"family_info": map[string]any{"class_read": []string{"eventual", "mutate"}, "staleness_bound_ns": []int{0, 0},
				"shows_role": "trailing", "tells_position": true, "tokens": "brought", "when_behind": "none"},
			"invariants": map[string]any{"cold_from": 1, "cold_ns": 0, "drain_grace_ns": 250e6, "fall_multiple": 2.5, "tip_after_ns": 15e8},
			"prices":     map[string]any{"probe": 0.018},
			"telemetry":  map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": []map[string]any{
				{"name": "read", "effect": "retryable", "slo_ns": long, "deadline_ns": long, "points": 1, "late_worth": 0},
				{"name": "write", "effect": "fragile", "slo_ns": long, "deadline_ns": long, "points": 3, "late_worth": 0.3}},
		},
	}
}

// serveWatch answers discovery watches at an address with one list each until stop is called.
func serveWatch(t testing.TB, at string, list []byte, opened chan<- bool) (stop func()) {
	t.Helper()
	var l net.Listener
	for end := time.Now().Add(testTimeout); l == nil; {
		var err error
		if l, err = net.Listen("tcp", at); err != nil && time.Now().After(end) {
			t.Fatal(err)
		}
	}
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(list)
		w.(http.Flusher).Flush()
		select {
		case opened <- true:
		default:
		}
		for { // keep-alive lines
			select {
			case <-r.Context().Done():
				return
			case <-time.After(500 * time.Millisecond):
				_, _ = w.Write([]byte("\n"))
				w.(http.Flusher).Flush()
			}
		}
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return func() { _ = s.Close() }
}

// TestIdleClientsFillTheDescriptors checks that idle clients cannot keep a process from discovery and from new servers. Discovery is down,
// the only server hangs, and idle clients take all descriptors that they can get while more keep connecting. Then discovery returns with
// the old server draining and a new one, which must be reached within 6 s. The process stays within the lower of its settings' and the
// system's descriptor limit.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	path := buildDaemon(t)
	for name, c := range map[string]struct{ sockets, descriptors int }{
		"settings": {128, 1024}, "system": {1024, 160}, "both": {200, 200},
	} {
		for _, asked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, asked %v", name, asked), func(t *testing.T) {
				testIdleClientsFillTheDescriptors(t, path, c.sockets, c.descriptors, asked)
			})
		}
	}
}

func testIdleClientsFillTheDescriptors(t *testing.T, path string, sockets, descriptors int, asks bool) {
	oldAddr, oldQueries := server(t)
	newAddr, newQueries := server(t)
	l := listen(t)
	at := l.Addr().String()
	_ = l.Close()
	opened := make(chan bool, 1)
	down := serveWatch(t, at, []byte("\n"), opened)
	d := runDaemon(t, path, daemonConfig(oldAddr, at, sockets, asks), descriptors)
	select {
	case <-opened:
	case <-time.After(testTimeout):
		t.Fatalf("the process opened no discovery watch within %v", testTimeout)
	}
	down()
	limit := min(sockets, descriptors)
	var held atomic.Int32
	go func() { // the old server hangs
		for range oldQueries {
			held.Add(1)
		}
	}()
	client(t, d.addr).send(query("hang", "write", 19000))
	for end := time.Now().Add(testTimeout); held.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no request has reached the server within %v", testTimeout)
		}
	}
	stop := make(chan struct{})
	var idleClients atomic.Int32
	var openers sync.WaitGroup
	for range 4 {
		openers.Add(1)
		go func() { defer openers.Done(); d.openIdleConnections(stop, &idleClients) }()
	}
	defer func() { close(stop); openers.Wait() }()
	for end := time.Now().Add(testTimeout); int(idleClients.Load()) < 2*limit; time.Sleep(time.Millisecond) {
		if n := d.openDescriptors(); n > limit {
			t.Fatalf("descriptors of the process while idle clients connect: got %d, want at most %d", n, limit)
		}
		if time.Now().After(end) {
			t.Fatalf("idle clients that connected within %v: got %d, want %d", testTimeout, idleClients.Load(), 2*limit)
		}
	}
	go func() {
		for q := range newQueries {
			if q.sql != "(gone)" {
				q.send(row("new"))
			}
		}
	}()
	list := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"lifecycle":"draining","role":"primary","weight":1},`+
		`{"instanceId":"s-2","hostPort":%q,"lifecycle":"up","role":"replica","weight":1}]}`+"\n", oldAddr, newAddr)
	serveWatch(t, at, []byte(list), opened)
	returned := time.Now()
	for n := 0; ; n++ {
		if n := d.openDescriptors(); n > limit {
			t.Fatalf("descriptors of the process after discovery has returned: got %d, want at most %d", n, limit)
		}
		if servedByNewServer(d, n) {
			break
		}
		if took := time.Since(returned); took > 6*time.Second {
			t.Fatalf("the new server is not reached %v after discovery has returned, want at most 6 s", took)
		}
	}
	t.Logf("reached %v after discovery had returned; %d idle clients connected; %d descriptors held, limit %d", time.Since(returned), idleClients.Load(), d.openDescriptors(), limit)
}

// servedByNewServer sends one read on its own connection and reports whether the new server answered it.
func servedByNewServer(d *daemon, n int) bool {
	nc, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = nc.Close() }()
	c := &peer{d.t, nc, bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	c.send(append(pgwire.AppendStartup(nil, "backend", "store"), query(fmt.Sprint("r", n), "read", 400)...))
	return strings.HasSuffix(c.answer()+c.answer(), "TDCZ new")
}

// TestServersAreReachedThroughIdleClients checks that an idle client is closed to free a descriptor for a server connection. The
// descriptors that clients leave for servers are all used by connections to a server that hangs, and a request needs another server.
func TestServersAreReachedThroughIdleClients(t *testing.T) {
	oldAddr, oldQueries := server(t)
	newAddr, newQueries := server(t)
	sendList := make(chan struct{})
	pooler, _, _ := startPooler(t, oldAddr, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-sendList:
			list := fmt.Sprintf(`{"generation":5,"reset":false,"instances":[{"instanceId":"s-1","hostPort":%q,"lifecycle":"draining","role":"primary"},`+
				`{"instanceId":"s-2","hostPort":%q,"lifecycle":"up","weight":1,"role":"replica"}]}`+"\n", oldAddr, newAddr)
			_, _ = w.Write([]byte(list))
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
		}
		<-r.Context().Done()
	}, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 }) // two of these ten descriptors are reserved for servers
	for n := range 2 {
		client(t, pooler).send(query(fmt.Sprint("hang", n), "write", 19000))
		next(t, oldQueries)
	}
	for range 20 { // there is room for eight
		client(t, pooler)
	}
	close(sendList)
	go func() {
		for q := range newQueries {
			if q.sql != "(gone)" {
				q.send(row("new"))
			}
		}
	}()
	for n := 0; ; n++ {
		reader := client(t, pooler)
		reader.send(query(fmt.Sprint("r", n), "read", 400))
		switch got := reader.answer(); got {
		case "TDCZ new":
			return
		case "EZ 53300", "EZ 58000":
			if n == 20 {
				t.Fatalf("the new server is not reached by any of %d reads; the last answer is %q", n+1, got)
			}
		default:
			t.Fatalf("read %d is answered %q, want \"TDCZ new\" or SQLSTATE 53300 or 58000", n, got)
		}
	}
}

// TestClientsOfAllFrontsShareTheDescriptors checks that clients of one frontend get only the descriptors that clients of the others leave.
func TestClientsOfAllFrontsShareTheDescriptors(t *testing.T) {
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, ""))
	sockets := func(n int) { // changes the limit as a reload of the settings would
		done := make(chan struct{})
		w.pool.loop.Post(func() { w.pool.cfg.Limits.Sockets = n; close(done) })
		<-done
	}
	sockets(reservedDescriptors + 60)
	for range 30 {
		w.connect("")
	}
	for range 60 { // idle clients of the platform frontend
		client(t, w.pool.loop.Addr())
	}
	held := make(chan [3]int, 1)
	w.pool.loop.Post(func() {
		held <- [3]int{w.pool.platform.Occupied(), w.pool.pooling.Sessions() + w.pool.pooling.Conns(), w.pool.platform.Sessions()}
	})
	n := <-held
	if n[0]+n[1] > 60 || n[0] < 10 || n[1] < 30 {
		t.Errorf("descriptors: got %d of platform clients and %d of the pooling frontend, want at least 10 and 30, and at most 60 in total", n[0], n[1])
	}
	if closing := n[2] - n[0]; closing > 8 { // these use the reserved descriptors
		t.Errorf("connections that are closing outside the budget: got %d, want at most 8", closing)
	}
}
