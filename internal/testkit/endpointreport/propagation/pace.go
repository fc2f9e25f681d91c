// Package propagation measures how soon a change in Consul's catalogue is known to the decision module's list, and what the watch
// costs, against a stand-in agent in the same process.
package propagation

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"beechgrade/internal/endpoints"
	"beechgrade/internal/endpoints/consul"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/testkit/fake/consulserver"
)

// Result is a measurement. Processor times are of this whole process: the stand-in's part is in them.
type Result struct {
	Servers    int     `json:"servers"`
	Services   int     `json:"services"`
	Changes    int     `json:"changes"`
	P50Ms      float64 `json:"p50_ms"`
	P99Ms      float64 `json:"p99_ms"`
	MostMs     float64 `json:"most_ms"`
	FirstMs    float64 `json:"first_whole_list_ms"`
	IdleCPU    float64 `json:"idle_cpu_part"` // of a core, while nothing changes
	BusyCPU    float64 `json:"busy_cpu_part"` // while a tenth of the servers changes each second
	ReloadCPU  float64 `json:"reload_cpu_ms"` // of one whole reload
	HeapMB     float64 `json:"heap_mb"`       // that the watches and the judge keep
	Goroutines int     `json:"goroutines"`    // of the watches
	LoopMs     float64 `json:"loop_p99_ms"`   // that the loop's own part of one answer takes
	Read       int64   `json:"bytes_read"`
}

// loop is membership.Loop's on one goroutine, as the daemon's is.
type loop struct {
	clk   clock.Clock
	tasks chan func()
	took  *hdrhistogram.Histogram
}

func (l *loop) Now() float64 { return l.clk.Now() }

func (l *loop) At(ms float64, do func()) *timers.Timer {
	time.AfterFunc(time.Duration(max(0, ms-l.Now())*float64(time.Millisecond)), func() { l.Post(do) })
	return nil
}

func (l *loop) Post(f func()) { l.tasks <- f }

func (l *loop) run(ctx context.Context) {
	for {
		select {
		case f := <-l.tasks:
			began := time.Now()
			f()
			_ = l.took.RecordValue(max(1, time.Since(began).Microseconds()))
		case <-ctx.Done():
			return
		}
	}
}

// known notes when the list has what was changed.
type known struct {
	mu    sync.Mutex
	when  map[string]float64 // by server and weight
	count int
	clk   clock.Clock
	news  chan struct{}
}

func mark(id string, weight float64) string { return fmt.Sprintf("%s %.0f", id, weight) }

// Listed is discovery.Events'.
func (k *known) Listed(l *discovery.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clk.Now()
	for i := range l.Instances {
		k.when[mark(l.Instances[i].ID, l.Instances[i].Weight)] = now
	}
	k.count += len(l.Instances)
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// ListFailed is discovery.Events'.
func (k *known) ListFailed() {}

func (k *known) wait(ctx context.Context, least int) error {
	for {
		k.mu.Lock()
		n := k.count
		k.mu.Unlock()
		if n >= least {
			return nil
		}
		select {
		case <-k.news:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("%d of %d entries after 10 s", n, least)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func cpu() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Sec+u.Stime.Sec)*1000 + float64(u.Utime.Usec+u.Stime.Usec)/1000
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// Measure measures so many servers over so many services.
func Measure(ctx context.Context, servers, services int, seconds float64) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	catalog := consulserver.NewCatalog()
	a, err := consulserver.Start(catalog)
	if err != nil {
		return nil, err
	}
	defer a.Stop()
	name := func(i int) string { return fmt.Sprintf("obra-%d", i%services) }
	instance := func(i, weight int) consulserver.Instance {
		return consulserver.Instance{
			ID:      fmt.Sprintf("s-%d", i),
			Node:    fmt.Sprintf("n-%d", i),
			Address: fmt.Sprintf("10.0.%d.%d", i/250, i%250),
			Port:    5432,
			Weight:  weight,
			Meta:    map[string]string{"group": fmt.Sprint(i / 4), "role": "replica", "kind": "padrao-4"},
		}
	}
	put := func(ids []int, weight int) {
		by := map[string][]consulserver.Instance{}
		for _, i := range ids {
			by[name(i)] = append(by[name(i)], instance(i, weight))
		}
		for s, list := range by {
			catalog.Change(s, list)
		}
	}
	var all []int
	for i := range servers {
		all = append(all, i)
	}
	put(all, 1)
	clk := clock.System()
	k := &known{when: map[string]float64{}, clk: clk, news: make(chan struct{}, 1)}
	l := &loop{clk: clk, tasks: make(chan func(), 1024), took: hdrhistogram.New(1, 60_000_000, 3)}
	go l.run(ctx)
	was, goroutines := heap(), runtime.NumGoroutine()
	m := endpoints.New(l, slog.New(slog.DiscardHandler), endpoints.Options{Reconcile: reconcile.Defaults(endpoints.SourceConsul)}, k, &discovery.List{})
	m.InitialList()
	opt := consul.Options{
		Name:             endpoints.SourceConsul,
		Agents:           []string{a.Address},
		WaitMs:           20000,
		MaxStaleMs:       10000,
		MaxResponseBytes: 64 << 20,
		Mapping:          consul.DefaultMapping(),
		Seed:             1,
	}
	for i := range services {
		opt.Services = append(opt.Services, name(i))
	}
	src := consul.New(opt, l.Post, clk.Now, m, slog.New(slog.DiscardHandler))
	began := clk.Now()
	src.Start()
	defer src.Stop()
	if err := k.wait(ctx, servers); err != nil {
		return nil, err
	}
	r := &Result{Servers: servers, Services: services, FirstMs: clk.Now() - began}
	r.Goroutines = runtime.NumGoroutine() - goroutines
	r.HeapMB = heap() - was
	remaining := func(sec float64) {
		select {
		case <-time.After(time.Duration(sec * float64(time.Second))):
		case <-ctx.Done():
		}
	}
	from, at := cpu(), clk.Now()
	remaining(min(2, seconds))
	r.IdleCPU = (cpu() - from) / (clk.Now() - at)

	hist := hdrhistogram.New(1, 60_000_000, 3)
	from, at = cpu(), clk.Now()
	changed := map[string]float64{}
	for round := 0; clk.Now()-at < seconds*1000 && ctx.Err() == nil; round++ {
		one := max(1, servers/100) // ten times a second a hundredth: a tenth of them each second
		var ids []int
		for i := range one {
			ids = append(ids, (round*one+i)%servers)
		}
		weight := round + 2
		for _, i := range ids {
			changed[mark(fmt.Sprintf("s-%d", i), float64(weight))] = clk.Now()
		}
		put(ids, weight)
		remaining(0.1)
	}
	r.BusyCPU = (cpu() - from) / (clk.Now() - at)
	remaining(1)
	k.mu.Lock()
	for id, when := range changed {
		if heard, ok := k.when[id]; ok { // one that changed again before it was asked for is not heard by itself
			_ = hist.RecordValue(max(1, int64((heard-when)*1000)))
			r.Changes++
		}
	}
	n := k.count
	k.mu.Unlock()
	r.P50Ms, r.P99Ms, r.MostMs = float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000, float64(hist.Max())/1000

	from = cpu()
	put(all, 99999)
	if err := k.wait(ctx, n+servers); err != nil {
		return nil, err
	}
	r.ReloadCPU = cpu() - from
	r.LoopMs, r.Read = float64(l.took.ValueAtQuantile(99))/1000, src.BytesRead()
	return r, ctx.Err()
}

// Text writes results as a table.
func Text(w io.Writer, all []*Result) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "servers\tservices\tchanges\tknown after p50\tp99\tat most\tfirst list\tcpu idle\tcpu at 10%/s\tcpu of a reload\theap\tgoroutines\tloop p99")
	for _, r := range all {
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.0f ms\t%.2f%%\t%.1f%%\t%.0f ms\t%.1f MB\t%d\t%.2f ms\n", r.Servers, r.Services, r.Changes, r.P50Ms, r.P99Ms, r.MostMs, r.FirstMs,
			100*r.IdleCPU, 100*r.BusyCPU, r.ReloadCPU, r.HeapMB, r.Goroutines, r.LoopMs)
	}
	return t.Flush()
}
