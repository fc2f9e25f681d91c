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

// Stories of a process whose descriptors are taken by idle clients.

// buildDaemon builds the program, for a test and its parts.
func buildDaemon(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "beechgrade")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// daemon is a process of the program.
type daemon struct {
	t     testing.TB
	cmd   *exec.Cmd
	addr  string
	ended chan struct{}

	mu  sync.Mutex
	log []string
}

// keep adds a line to the process's log.
func (d *daemon) keep(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = append(d.log, line)
}

// logged returns the lines of the process's log that hold the given text.
func (d *daemon) logged(text string) (lines []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.log {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// field returns the value of a field of a log line.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// admin waits for the process's admin endpoint and returns its address.
func (d *daemon) admin() string {
	d.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if lines := d.logged(`msg="admin endpoint listening"`); len(lines) > 0 {
			return field(lines[0], "listen")
		}
	}
	d.t.Fatal("the process opens no admin endpoint")
	return ""
}

// runDaemon starts the program with a configuration, and with so many descriptors that the system lets it have.
func runDaemon(t testing.TB, path string, config map[string]any, descriptors int, flags ...string) *daemon {
	t.Helper()
	return runDaemonUnder(t, "", path, config, descriptors, flags...)
}

// runDaemonUnder is runDaemon under another program, such as a tracer, which must leave the process its number.
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
			d.keep(lines.Text())
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
		t.Fatal("the process ended at its start")
	case <-time.After(testTimeout):
		t.Fatal("the process does not serve")
	}
	return d
}

// held is how many descriptors the process holds.
func (d *daemon) held() int {
	d.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal("the process is gone: ", err)
	}
	return len(entries)
}

// crowd opens connections that put no request, one after the other, until it is told to stop. Each stays until the process closes it.
func (d *daemon) crowd(stop <-chan struct{}, opened *atomic.Int32) {
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

// daemonConfig is a configuration with one server, and with deadlines that are longer than a test.
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

// serveWatch answers watches at an address with one list each, until the function is called.
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
		for { // signs of life
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

// TestIdleClientsFillTheDescriptors: discovery is down; idle clients take all descriptors that they can have, and more keep coming; the
// one server hangs. Then discovery is back: the server drains, and there is
// a new one. That is heard within 6 s, and the new one is reached. The process keeps within its limit, whether the settings or the
// system give the lower one.
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
	addrOld, atOld := server(t)
	addrNew, atNew := server(t)
	l := listen(t)
	at := l.Addr().String()
	_ = l.Close()
	opened := make(chan bool, 1)
	down := serveWatch(t, at, []byte("\n"), opened)
	d := runDaemon(t, path, daemonConfig(addrOld, at, sockets, asks), descriptors)
	select {
	case <-opened:
	case <-time.After(testTimeout):
		t.Fatal("no watch is opened")
	}
	down()
	limit := min(sockets, descriptors)
	var held atomic.Int32
	go func() { // the old server hangs
		for range atOld {
			held.Add(1)
		}
	}()
	client(t, d.addr).send(query("hang", "write", 19000))
	for end := time.Now().Add(testTimeout); held.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request has come to the server")
		}
	}
	stop := make(chan struct{})
	var crowd atomic.Int32
	var crowds sync.WaitGroup
	for range 4 {
		crowds.Add(1)
		go func() { defer crowds.Done(); d.crowd(stop, &crowd) }()
	}
	defer func() { close(stop); crowds.Wait() }()
	for end := time.Now().Add(testTimeout); int(crowd.Load()) < 2*limit; time.Sleep(time.Millisecond) {
		if n := d.held(); n > limit {
			t.Fatalf("%d descriptors are held, of %d", n, limit)
		}
		if time.Now().After(end) {
			t.Fatalf("%d idle clients came", crowd.Load())
		}
	}
	go func() {
		for q := range atNew {
			if q.sql != "(gone)" {
				q.send(row("new"))
			}
		}
	}()
	list := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"lifecycle":"draining","role":"primary","weight":1},`+
		`{"instanceId":"s-2","hostPort":%q,"lifecycle":"up","role":"replica","weight":1}]}`+"\n", addrOld, addrNew)
	serveWatch(t, at, []byte(list), opened)
	returned := time.Now()
	for n := 0; ; n++ {
		if n := d.held(); n > limit {
			t.Fatalf("%d descriptors are held, of %d", n, limit)
		}
		if served(d, n) {
			break
		}
		if took := time.Since(returned); took > 6*time.Second {
			t.Fatalf("the new server is not reached %v after discovery is back", took)
		}
	}
	t.Logf("reached %v after discovery is back; %d idle clients came, %d descriptors are held of %d", time.Since(returned), crowd.Load(), d.held(), limit)
}

// served puts one read on a connection of its own, and tells whether the new server answered it.
func served(d *daemon, n int) bool {
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

// TestServersAreReachedThroughIdleClients: the connections to servers that clients leave room for are all at a server that hangs. For a
// request to another server an idle client makes room.
func TestServersAreReachedThroughIdleClients(t *testing.T) {
	addrOld, atOld := server(t)
	addrNew, atNew := server(t)
	tell := make(chan struct{})
	pooler, _, _ := startPooler(t, addrOld, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-tell:
			list := fmt.Sprintf(`{"generation":5,"reset":false,"instances":[{"instanceId":"s-1","hostPort":%q,"lifecycle":"draining","role":"primary"},`+
				`{"instanceId":"s-2","hostPort":%q,"lifecycle":"up","weight":1,"role":"replica"}]}`+"\n", addrOld, addrNew)
			_, _ = w.Write([]byte(list))
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
		}
		<-r.Context().Done()
	}, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 }) // two of ten are kept for servers
	for n := range 2 {
		client(t, pooler).send(query(fmt.Sprint("hang", n), "write", 19000))
		next(t, atOld)
	}
	for range 20 { // eight have room
		client(t, pooler)
	}
	close(tell)
	go func() {
		for q := range atNew {
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
				t.Fatal("the new server is not reached")
			}
		default:
			t.Fatalf("told %q", got)
		}
	}
}

// TestClientsOfAllFrontsShareTheDescriptors: clients of one front leave what those of the others hold.
func TestClientsOfAllFrontsShareTheDescriptors(t *testing.T) {
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, ""))
	sockets := func(n int) { // as the settings would have it from now on
		done := make(chan struct{})
		w.pool.loop.Post(func() { w.pool.cfg.Limits.Sockets = n; close(done) })
		<-done
	}
	sockets(reservedDescriptors + 60)
	for range 30 {
		w.connect("")
	}
	for range 60 { // idle clients of the first front
		client(t, w.pool.loop.Addr())
	}
	held := make(chan [3]int, 1)
	w.pool.loop.Post(func() {
		held <- [3]int{w.pool.platform.Occupied(), w.pool.pooling.Sessions() + w.pool.pooling.Conns(), w.pool.platform.Sessions()}
	})
	n := <-held
	if n[0]+n[1] > 60 || n[0] < 10 || n[1] < 30 {
		t.Errorf("the first front's clients hold %d, the second front %d, of 60", n[0], n[1])
	}
	if closing := n[2] - n[0]; closing > 8 { // these come out of the descriptors that are set aside
		t.Errorf("%d connections that are closing go beyond the budget", closing)
	}
}
