package rehearse

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/fake/clickhouseserver"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/freeport"
	"beechgrade/internal/testkit/scenario"
)

// ClickHouseOptions configures a measurement of the ClickHouse frontend.
type ClickHouseOptions struct {
	Daemon    string
	Kit       string // path of the kit's program, which runs the reverse proxy in a separate process
	Out       string
	Seconds   float64 // duration of each stage that is bounded by time
	Gigabytes float64 // size of a long answer or request body
	Idle      int     // number of idle clients
	Log       *slog.Logger
	Stage     func(name string)
}

// ClickHouseResult holds the measurements of one path to a server. Times are in milliseconds, rates are per second.
type ClickHouseResult struct {
	Path      string  `json:"way"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	PerSecond float64 `json:"queries_per_s"`          // with 16 clients
	CPUMicros float64 `json:"cpu_us_per_query"`       // of the process on the path; 0 for the direct path
	PerCore   float64 `json:"queries_per_s_and_core"` // derived from CPUMicros
	DownMB    float64 `json:"answer_mb_per_s"`        // rate of a long answer
	DownCPU   float64 `json:"answer_cpu_s_per_gb"`
	UpMB      float64 `json:"body_mb_per_s"` // rate of a long request body
	UpCPU     float64 `json:"body_cpu_s_per_gb"`
	PeakMB    float64 `json:"peak_resident_mb"`        // of the process, over all stages
	IdleBytes float64 `json:"bytes_for_each_idle"`     // resident memory of the process per idle client
	Broken    int64   `json:"answers_not_as_expected"` // in all stages
}

const (
	clickhouseClients = 16
	warmUp            = 3 * time.Second
)

// measuredPath is a path to the fake server, with the process on it.
type measuredPath struct {
	ClickHouseResult
	addr string
	pid  int
	hist *hdrhistogram.Histogram
}

// MeasureClickHouse measures the ClickHouse frontend, and compares it with direct connections to the fake server and with the
// reverse proxy of the standard library.
func MeasureClickHouse(ctx context.Context, options ClickHouseOptions) ([]ClickHouseResult, error) {
	s, err := clickhouseserver.Start("h0")
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	s.DisableRecording()
	if err := os.MkdirAll(options.Out, 0o750); err != nil {
		return nil, err
	}
	list, err := filepath.Abs(filepath.Join(options.Out, "list.json"))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(list, fmt.Appendf(nil, `{"instances":[{"instanceId":"h0","hostPort":%q,"cell":9,"lifecycle":"up","weight":1}]}`, s.Addr), 0o640); err != nil {
		return nil, err
	}
	clickhouseAddr, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	script, err := scenario.Parse("clickhouse", []byte(`(rehearsal "clickhouse" (groups 1) (cold 1s))`))
	if err != nil {
		return nil, err
	}
	r := &Run{
		script:    script,
		opt:       Options{Seed: 1, Out: options.Out, Daemon: options.Daemon, Log: options.Log},
		clk:       clock.System(),
		sockets:   2*options.Idle + 4096,
		operators: fmt.Sprintf("(clickhouse (listen %q) (group 9) (deadline 600s) (upload 600s))\n(membership (static %q))\n", clickhouseAddr, list),
	}
	r.fleet = database.New(script.Fleet, r.clk, options.Log)
	defer r.fleet.Close()
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	defer r.kill()
	p := &pooler{name: "pooler-0", dir: filepath.Join(options.Out, "pooler-0"), run: r}
	r.poolers = append(r.poolers, p)
	if err := p.launch(ctx); err != nil {
		return nil, err
	}
	proxy, stop, err := startProxy(options.Kit, s.Addr)
	if err != nil {
		return nil, err
	}
	defer stop()
	paths := []*measuredPath{{ClickHouseResult: ClickHouseResult{Path: "direct"}, addr: s.Addr}, {
		ClickHouseResult: ClickHouseResult{Path: "pooler"},
		addr:             clickhouseAddr,
		pid:              p.cmd.Process.Pid,
	}, proxy}
	for began, c := time.Now(), clickhouseClient(); time.Since(began) < warmUp; { // a server that is new in the list is treated as cold at first
		_ = smallQuery(c, clickhouseAddr)
	}
	for _, stage := range []struct {
		name string
		run  func(context.Context, ClickHouseOptions, []*measuredPath) error
	}{{"latency", measureLatency}, {"throughput", measureThroughput}, {"idle clients", measureIdleMemory}, {"long answers", measureDownload}, {"long bodies", measureUpload}} {
		if options.Stage != nil {
			options.Stage(stage.name)
		}
		if err := stage.run(ctx, options, paths); err != nil {
			return nil, fmt.Errorf("%s: %w", stage.name, err)
		}
	}
	var out []ClickHouseResult
	for _, path := range paths {
		path.PeakMB = peakOf(path.pid)
		out = append(out, path.ClickHouseResult)
	}
	return out, nil
}

// ReverseProxy runs the standard library's reverse proxy on a free loopback port. It forwards to the given address, and writes the
// address it listens on to out.
func ReverseProxy(to string, out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, l.Addr())
	h := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	h.Transport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l)
}

func startProxy(kit, to string) (*measuredPath, func(), error) {
	cmd := exec.Command(kit, "clickhouse", "reverse-proxy", to)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	stop := func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		stop()
		return nil, nil, fmt.Errorf("reverse proxy did not report its listen address: %w", err)
	}
	return &measuredPath{
		ClickHouseResult: ClickHouseResult{Path: "reverse proxy"},
		addr:             strings.TrimSpace(addr),
		pid:              cmd.Process.Pid,
	}, stop, nil
}

func clickhouseClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: clickhouseClients}}
}

// smallQuery sends one small query, and reports whether the answer was the expected one.
func smallQuery(c *http.Client, addr string) bool {
	res, err := c.Get("http://" + addr + "/?query=SELECT+1")
	if err != nil {
		return false
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return err == nil && res.StatusCode == 200 && string(b) == "1\n"
}

// measureLatency alternates between the paths, so that changes in machine load affect all of them equally.
func measureLatency(ctx context.Context, options ClickHouseOptions, paths []*measuredPath) error {
	c := clickhouseClient()
	defer c.CloseIdleConnections()
	for _, path := range paths {
		path.hist = newHist()
	}
	for i, until := 0, time.Now().Add(time.Duration(options.Seconds*float64(time.Second))); time.Now().Before(until) && ctx.Err() == nil; i++ {
		path := paths[i%len(paths)]
		began := time.Now()
		if !smallQuery(c, path.addr) {
			path.Broken++
			continue
		}
		_ = path.hist.RecordValue(max(1, time.Since(began).Microseconds()))
	}
	for _, path := range paths {
		path.P50, path.P99 = quantile(path.hist, 50), quantile(path.hist, 99)
	}
	return ctx.Err()
}

func measureThroughput(ctx context.Context, options ClickHouseOptions, paths []*measuredPath) error {
	for _, path := range paths {
		before := cpuOf(path.pid)
		var n, broken atomic.Int64
		var wg sync.WaitGroup
		began := time.Now()
		until := began.Add(time.Duration(options.Seconds * float64(time.Second)))
		c := clickhouseClient()
		for range clickhouseClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(until) && ctx.Err() == nil {
					if !smallQuery(c, path.addr) {
						broken.Add(1)
					}
					n.Add(1)
				}
			}()
		}
		wg.Wait()
		c.CloseIdleConnections()
		path.PerSecond, path.Broken = float64(n.Load())/time.Since(began).Seconds(), path.Broken+broken.Load()
		if path.pid != 0 {
			path.CPUMicros = (cpuOf(path.pid) - before) * 1e6 / float64(max(1, n.Load()))
			path.PerCore = 1e6 / max(path.CPUMicros, 1e-9)
		}
	}
	return ctx.Err()
}

func measureIdleMemory(_ context.Context, options ClickHouseOptions, paths []*measuredPath) error {
	for _, path := range paths {
		if path.pid == 0 {
			continue
		}
		before := residentOf(path.pid)
		var conns []net.Conn
		for range options.Idle {
			c, err := net.Dial("tcp", path.addr)
			if err != nil {
				return err
			}
			conns = append(conns, c)
			if _, err := io.WriteString(c, "GET /?query=SELECT+1 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return err
			}
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				return err
			}
		}
		path.IdleBytes = (residentOf(path.pid) - before) / float64(max(1, options.Idle))
		for _, c := range conns {
			_ = c.Close()
		}
	}
	return nil
}

const rowBytes = 1 << 10 // size of a row of the fake server

func measureDownload(ctx context.Context, options ClickHouseOptions, paths []*measuredPath) error {
	rows := int64(options.Gigabytes * (1 << 30) / rowBytes)
	for _, path := range paths {
		before, began := cpuOf(path.pid), time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+path.addr+"/?"+url.Values{"query": {fmt.Sprintf("SELECT /* ROWS %d */", rows)}}.Encode(), nil)
		if err != nil {
			return err
		}
		res, err := clickhouseClient().Do(req)
		if err != nil {
			return err
		}
		n, err := io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil || n != rows*rowBytes {
			return fmt.Errorf("%s: %d bytes of %d: %w", path.Path, n, rows*rowBytes, errors.Join(err))
		}
		path.DownMB = float64(n) / 1e6 / time.Since(began).Seconds()
		path.DownCPU = (cpuOf(path.pid) - before) / (float64(n) / 1e9)
	}
	return nil
}

// zeros is a request body with the given number of remaining bytes.
type zeros struct{ remaining int64 }

func (z *zeros) Read(p []byte) (int, error) {
	if z.remaining == 0 {
		return 0, io.EOF
	}
	n := int(min(z.remaining, int64(len(p))))
	z.remaining -= int64(n)
	return n, nil
}

func measureUpload(ctx context.Context, options ClickHouseOptions, paths []*measuredPath) error {
	size := int64(options.Gigabytes * (1 << 30))
	for _, path := range paths {
		before, began := cpuOf(path.pid), time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+path.addr+"/?query=INSERT+INTO+t", &zeros{size})
		if err != nil {
			return err
		}
		req.ContentLength = size
		res, err := clickhouseClient().Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode != 200 {
			return fmt.Errorf("%s: %s", path.Path, res.Status)
		}
		path.UpMB = float64(size) / 1e6 / time.Since(began).Seconds()
		path.UpCPU = (cpuOf(path.pid) - before) / (float64(size) / 1e9)
	}
	return nil
}

// cpuOf returns the CPU time that a process has used so far in seconds, or 0 if it cannot be read.
func cpuOf(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, remaining, ok := strings.Cut(string(text), ") ")
	f := strings.Fields(remaining)
	if pid == 0 || err != nil || !ok || len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100 // Linux reports these times in ticks of 10 ms
}

// statusOf returns a field of /proc/PID/status in bytes, or 0 if it cannot be read.
func statusOf(pid int, name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if pid == 0 || err != nil {
		return 0
	}
	_, remaining, _ := strings.Cut(string(text), name+":")
	f := strings.Fields(remaining)
	if len(f) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(f[0], 64)
	return kb * 1024
}

func residentOf(pid int) float64 { return statusOf(pid, "VmRSS") }

func peakOf(pid int) float64 { return statusOf(pid, "VmHWM") / (1 << 20) }
