package rehearse

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/freeport"
	"beechgrade/internal/testkit/scenario"
)

// PoolingOptions configures a measurement of the pooling frontend.
type PoolingOptions struct {
	Daemon  string
	Out     string
	Clients int // number of clients that are connected at the same time
	Conns   int // connections to servers that the clients share
	Seconds float64
	Log     *slog.Logger
	Stage   func(name string)
}

// PoolingResult holds the measurements. Times are in milliseconds.
type PoolingResult struct {
	DirectP50     float64 `json:"direct_p50_ms"`
	DirectP99     float64 `json:"direct_p99_ms"`
	PooledP50     float64 `json:"pooled_p50_ms"`
	PooledP99     float64 `json:"pooled_p99_ms"`
	PerSecond     float64 `json:"statements_per_s"`
	CPUMicros     float64 `json:"daemon_cpu_us_per_statement"`
	PerCore       float64 `json:"statements_per_s_and_core"`
	IdleClients   int     `json:"idle_clients"`
	IdleBytes     float64 `json:"resident_bytes_per_idle_client"`
	ManyClients   int     `json:"many_clients"`
	ManyConns     int     `json:"many_clients_connections"`
	ManyServed    int64   `json:"many_clients_served"`
	ManyP99       float64 `json:"many_clients_p99_ms"`
	Executions    int     `json:"executions"`
	Preparations  int     `json:"preparations"`
	PreparedShare float64 `json:"preparations_per_execution"`
	WarmRuns      int     `json:"warm_executions"`
	WarmPrepared  int     `json:"warm_preparations"` // in the second half
	WarmShare     float64 `json:"warm_preparations_per_execution"`
	Syncs         int     `json:"settings_round_trips"`
	Transactions  int     `json:"transactions"`
	Waiting       int     `json:"takeover_waiting"`
	GapMs         float64 `json:"takeover_gap_ms"`
	RecoveredMs   float64 `json:"takeover_all_served_after_ms"`
	Mismatches    int     `json:"statements_under_other_settings"`
}

const benchSQL = "SELECT content FROM kv WHERE name = $1"

// MeasurePooling measures the pooling frontend, and compares it with direct connections to the fake servers.
func MeasurePooling(ctx context.Context, o PoolingOptions) (*PoolingResult, error) {
	s, err := scenario.Parse("pooling", []byte(`(rehearsal "pooling" (groups 3) (detect 400ms 500ms) (elect 400ms 500ms) (list 50ms 100ms) (roles 100ms 200ms) (cold 1s))`))
	if err != nil {
		return nil, err
	}
	cfg := s.Fleet
	cfg.Seed, cfg.MaxConnections = 1, 20000
	if err := os.MkdirAll(o.Out, 0o750); err != nil {
		return nil, err
	}
	at, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	r := &Run{script: s, opt: Options{Seed: 1, Out: o.Out, Daemon: o.Daemon, Log: o.Log}, clk: clock.System(), sockets: 2*o.Clients + 4096,
		operators: fmt.Sprintf(`(pooling (listen %q)
	(class "office" (needs primary) (deadline 60s)) (class "office-reads" (needs any) (deadline 60s))
	(pool (class "office") (reads "office-reads") (connections %d) (queue 100000) (wait 60s) (clients 0) (dials 16)))
`, at, o.Conns)}
	r.fleet = database.New(cfg, r.clk, o.Log)
	defer r.fleet.Close()
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	defer r.kill()
	p := &pooler{name: "pooler-0", dir: filepath.Join(o.Out, "pooler-0"), run: r}
	r.poolers = append(r.poolers, p)
	if err := p.launch(ctx); err != nil {
		return nil, err
	}
	b := &bench{r: r, p: p, o: o, addr: at, res: &PoolingResult{}}
	for _, stage := range []struct {
		name string
		run  func(context.Context) error
	}{{"latency", b.latency}, {"throughput", b.throughput}, {"idle clients", b.idleClients}, {"many clients", b.manyClients}, {"takeover", b.takeover}} {
		if o.Stage != nil {
			o.Stage(stage.name)
		}
		if err := stage.run(ctx); err != nil {
			return nil, fmt.Errorf("%s: %w", stage.name, err)
		}
	}
	b.res.Mismatches = len(r.fleet.Watched().Mismatches)
	return b.res, nil
}

type bench struct {
	r    *Run
	p    *pooler
	o    PoolingOptions
	addr string
	res  *PoolingResult
}

func connect(ctx context.Context, addr, more string) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable%s", addr, more))
}

// direct returns the address of the primary of group 0, or an empty string if it is not listed.
func (b *bench) direct() string {
	for _, e := range b.r.fleet.List().Instances {
		if e.ID == b.r.fleet.Primary(0) {
			return e.HostPort
		}
	}
	return ""
}

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// runPrepared runs a prepared statement and returns how long it took, in microseconds.
func runPrepared(ctx context.Context, c *pgconn.PgConn) (int64, error) {
	began := time.Now()
	r := c.ExecPrepared(ctx, "s", [][]byte{[]byte("k")}, nil, nil).Read()
	return time.Since(began).Microseconds(), r.Err
}

// latency alternates between the direct and the pooled connection, so that changes in machine load affect both equally.
func (b *bench) latency(ctx context.Context) error {
	var conns []*pgconn.PgConn
	for _, addr := range []string{b.direct(), b.addr} {
		c, err := connect(ctx, addr, "")
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(ctx) }()
		if _, err := c.Exec(ctx, "INSERT INTO kv (name, content) VALUES ('k', 'v')").ReadAll(); err != nil {
			return err
		}
		if _, err := c.Prepare(ctx, "s", benchSQL, nil); err != nil {
			return err
		}
		conns = append(conns, c)
	}
	hist := []*hdrhistogram.Histogram{newHist(), newHist()}
	for i, until := 0, time.Now().Add(b.span(1)); time.Now().Before(until); i++ {
		us, err := runPrepared(ctx, conns[i%2])
		if err != nil {
			return err
		}
		_ = hist[i%2].RecordValue(max(1, us))
	}
	b.res.DirectP50, b.res.DirectP99 = quantile(hist[0], 50), quantile(hist[0], 99)
	b.res.PooledP50, b.res.PooledP99 = quantile(hist[1], 50), quantile(hist[1], 99)
	return nil
}

func (b *bench) span(part float64) time.Duration {
	return time.Duration(b.o.Seconds * part * float64(time.Second))
}

// throughput runs statements of 16 clients without a pause, and measures the CPU time of the daemon.
func (b *bench) throughput(ctx context.Context) error {
	var wg sync.WaitGroup
	var n atomic.Int64
	errs := make(chan error, 16)
	before, err := b.cpu()
	if err != nil {
		return err
	}
	began := time.Now()
	until := began.Add(b.span(1))
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := connect(ctx, b.addr, "")
			if err == nil {
				defer func() { _ = c.Close(ctx) }()
				_, err = c.Prepare(ctx, "s", benchSQL, nil)
			}
			for err == nil && time.Now().Before(until) {
				_, err = runPrepared(ctx, c)
				n.Add(1)
			}
			if err != nil {
				errs <- err
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	after, err := b.cpu()
	if err != nil {
		return err
	}
	b.res.PerSecond = float64(n.Load()) / time.Since(began).Seconds()
	b.res.CPUMicros = (after - before) * 1e6 / float64(n.Load())
	if b.res.CPUMicros > 0 {
		b.res.PerCore = 1e6 / b.res.CPUMicros
	}
	return nil
}

func (b *bench) pid() int {
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	if b.p.cmd == nil {
		return 0
	}
	return b.p.cmd.Process.Pid
}

// cpu returns the CPU time that the daemon has used so far, in seconds.
func (b *bench) cpu() (float64, error) {
	if x := cpuOf(b.pid()); x > 0 {
		return x, nil
	}
	return 0, errors.New("cannot read the CPU time of the daemon process")
}

func (b *bench) memory() (float64, error) {
	if x := residentOf(b.pid()); x > 0 {
		return x, nil
	}
	return 0, errors.New("cannot read the resident memory of the daemon process")
}

// connectMany connects n clients, at most 64 at the same time.
func (b *bench) connectMany(ctx context.Context, n int) ([]*pgconn.PgConn, error) {
	conns := make([]*pgconn.PgConn, n)
	errs := make(chan error, n)
	gate := make(chan struct{}, 64)
	for i := range conns {
		gate <- struct{}{}
		go func() {
			defer func() { <-gate }()
			c, err := connect(ctx, b.addr, fmt.Sprintf("&application_name=app%d", i%7))
			conns[i] = c
			errs <- err
		}()
	}
	for range conns {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return conns, nil
}

func closeAll(ctx context.Context, conns []*pgconn.PgConn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Close(ctx)
		}
	}
}

func (b *bench) idleClients(ctx context.Context) error {
	before, err := b.memory()
	if err != nil {
		return err
	}
	conns, err := b.connectMany(ctx, b.o.Clients)
	if err != nil {
		return err
	}
	defer closeAll(ctx, conns)
	time.Sleep(time.Second)
	after, err := b.memory()
	if err != nil {
		return err
	}
	b.res.IdleClients, b.res.IdleBytes = len(conns), (after-before)/float64(len(conns))
	return nil
}

// manyClients runs statements of many clients over few connections; the clients differ in their session settings.
func (b *bench) manyClients(ctx context.Context) error {
	conns, err := b.connectMany(ctx, b.o.Clients)
	if err != nil {
		return err
	}
	defer closeAll(ctx, conns)
	before := b.r.fleet.Watched()
	var wg sync.WaitGroup
	var mu sync.Mutex
	h := newHist()
	errs := make(chan error, len(conns))
	until := time.Now().Add(b.span(2))
	half := make(chan [2]int, 1)
	go func() { // statements are prepared on all connections by the second half
		time.Sleep(b.span(1))
		mu.Lock()
		n := int(h.TotalCount())
		mu.Unlock()
		half <- [2]int{b.r.fleet.Watched().Preparations, n}
	}()
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sql := fmt.Sprintf("%s /* want application_name=app%d */", benchSQL, i%7)
			if _, err := c.Prepare(ctx, "s", sql, nil); err != nil {
				errs <- err
				return
			}
			for time.Now().Before(until) {
				us, err := runPrepared(ctx, c)
				if err != nil {
					errs <- err
					return
				}
				mu.Lock()
				_ = h.RecordValue(min(max(1, us), 59_000_000))
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	now := b.r.fleet.Watched()
	r := b.res
	r.ManyClients, r.ManyServed, r.ManyP99, r.ManyConns = len(conns), h.TotalCount(), quantile(h, 99), now.MostOpen
	r.Executions, r.Preparations = int(r.ManyServed), now.Preparations-before.Preparations // statements that transfer settings are not counted as executions
	warm := <-half
	r.WarmPrepared, r.WarmRuns = now.Preparations-warm[0], int(r.ManyServed)-warm[1]
	r.WarmShare = float64(r.WarmPrepared) / float64(max(1, r.WarmRuns))
	r.PreparedShare = float64(r.Preparations) / float64(max(1, r.Executions))
	return b.stats(ctx)
}

// stats reads the counts of SHOW STATS from the daemon.
func (b *bench) stats(ctx context.Context) error {
	c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://kit@%s/beechgrade?sslmode=disable", b.addr))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	rs, err := c.Exec(ctx, "SHOW STATS").ReadAll()
	if err != nil || len(rs) != 1 || len(rs[0].Rows) != 1 {
		return fmt.Errorf("SHOW STATS: %d results: %w", len(rs), err)
	}
	row := rs[0].Rows[0]
	b.res.Transactions, _ = strconv.Atoi(string(row[0]))
	b.res.Syncs, _ = strconv.Atoi(string(row[3]))
	return nil
}

// takeover kills the primary while up to 1000 clients wait to write, and measures the time until all of them have written.
func (b *bench) takeover(ctx context.Context) error {
	n := min(1000, b.o.Clients)
	conns, err := b.connectMany(ctx, n)
	if err != nil {
		return err
	}
	defer closeAll(ctx, conns)
	old := b.r.fleet.Primary(0)
	if err := b.r.fleet.Kill(old); err != nil {
		return err
	}
	began := time.Now()
	var wg sync.WaitGroup
	var first atomic.Int64
	errs := make(chan error, n)
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(began) < time.Minute {
				_, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('t%d', 'v')", i)).ReadAll()
				if err == nil {
					first.CompareAndSwap(0, int64(time.Since(began)))
					return
				}
				if c.IsClosed() {
					if c, err = connect(ctx, b.addr, ""); err != nil {
						errs <- err
						return
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
			errs <- errors.New("a client was not served within a minute")
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	end := b.r.clk.Now()
	b.res.Waiting, b.res.GapMs = n, float64(first.Load())/1e6
	for _, f := range b.r.fleet.Facts() {
		if f.What == "is the primary" {
			b.res.RecoveredMs = max(0, end-f.At)
		}
	}
	return nil
}
