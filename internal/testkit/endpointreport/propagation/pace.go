// Package propagation measures the delay from a change in Consul's catalog to the endpoint list of the decision module, and the cost
// of the watches, with a fake Consul agent in the same process.
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

// Result is a measurement. Processor times are those of the whole process, including the fake agent.
type Result struct {
	Servers    int     `json:"servers"`
	Services   int     `json:"services"`
	Changes    int     `json:"changes"`
	P50Ms      float64 `json:"p50_ms"`
	P99Ms      float64 `json:"p99_ms"`
	MostMs     float64 `json:"most_ms"`
	FirstMs    float64 `json:"first_whole_list_ms"`
	IdleCPU    float64 `json:"idle_cpu_part"` // share of a core while nothing changes
	BusyCPU    float64 `json:"busy_cpu_part"` // share of a core while a tenth of the servers changes each second
	ReloadCPU  float64 `json:"reload_cpu_ms"` // processor time of a reload of all servers
	HeapMB     float64 `json:"heap_mb"`       // used by the watches and the decision module
	Goroutines int     `json:"goroutines"`    // started by the watches
	LoopMs     float64 `json:"loop_p99_ms"`   // time to process one task on the loop
	Read       int64   `json:"bytes_read"`
}

// loop is an event loop for endpoints.New. It runs its tasks on one goroutine, as the daemon's loop does.
type loop struct {
	clk       clock.Clock
	tasks     chan func()
	taskTimes *hdrhistogram.Histogram // of the tasks, µs
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
			startedAt := time.Now()
			f()
			_ = l.taskTimes.RecordValue(max(1, time.Since(startedAt).Microseconds()))
		case <-ctx.Done():
			return
		}
	}
}

// listObserver records when changes appear in the endpoint list.
type listObserver struct {
	mu         sync.Mutex
	reportedAt map[string]float64 // time of the latest report, by server and weight
	count      int                // reported entries
	clk        clock.Clock
	reported   chan struct{}
}

// versionKey returns the key of a server's entry with a weight; each change has a new weight.
func versionKey(id string, weight float64) string { return fmt.Sprintf("%s %.0f", id, weight) }

// Listed implements discovery.Events.
func (k *listObserver) Listed(l *discovery.List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clk.Now()
	for i := range l.Instances {
		k.reportedAt[versionKey(l.Instances[i].ID, l.Instances[i].Weight)] = now
	}
	k.count += len(l.Instances)
	select {
	case k.reported <- struct{}{}:
	default:
	}
}

// ListFailed implements discovery.Events.
func (k *listObserver) ListFailed() {}

// wait waits until at least this many entries were reported, and fails if there is no report for 10 s.
func (k *listObserver) wait(ctx context.Context, least int) error {
	for {
		k.mu.Lock()
		n := k.count
		k.mu.Unlock()
		if n >= least {
			return nil
		}
		select {
		case <-k.reported:
		case <-time.After(10 * time.Second):
			return fmt.Errorf("endpoint list: %d of %d entries reported, and no further one within 10 s", n, least)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// cpu returns the processor time of this process in ms.
func cpu() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Sec+u.Stime.Sec)*1000 + float64(u.Utime.Usec+u.Stime.Usec)/1000
}

// heap returns the size of the live heap in MB.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// Measure measures a catalog of servers that are spread over services, with changes for the given number of seconds.
func Measure(ctx context.Context, servers, services int, seconds float64) (*Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	catalog := consulserver.NewCatalog()
	agent, err := consulserver.Start(catalog)
	if err != nil {
		return nil, err
	}
	defer agent.Stop()
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
	k := &listObserver{reportedAt: map[string]float64{}, clk: clk, reported: make(chan struct{}, 1)}
	l := &loop{clk: clk, tasks: make(chan func(), 1024), taskTimes: hdrhistogram.New(1, 60_000_000, 3)}
	go l.run(ctx)
	heapBefore, goroutines := heap(), runtime.NumGoroutine()
	m := endpoints.New(l, slog.New(slog.DiscardHandler), endpoints.Options{Reconcile: reconcile.Defaults(endpoints.SourceConsul)}, k, &discovery.List{})
	m.InitialList()
	opt := consul.Options{
		Name:             endpoints.SourceConsul,
		Agents:           []string{agent.Address},
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
	startedAt := clk.Now()
	src.Start()
	defer src.Stop()
	if err := k.wait(ctx, servers); err != nil {
		return nil, err
	}
	r := &Result{Servers: servers, Services: services, FirstMs: clk.Now() - startedAt}
	r.Goroutines = runtime.NumGoroutine() - goroutines
	r.HeapMB = heap() - heapBefore
	sleep := func(sec float64) {
		select {
		case <-time.After(time.Duration(sec * float64(time.Second))):
		case <-ctx.Done():
		}
	}
	from, at := cpu(), clk.Now()
	sleep(min(2, seconds))
	r.IdleCPU = (cpu() - from) / (clk.Now() - at)

	hist := hdrhistogram.New(1, 60_000_000, 3)
	from, at = cpu(), clk.Now()
	changed := map[string]float64{}
	for round := 0; clk.Now()-at < seconds*1000 && ctx.Err() == nil; round++ {
		changesPerRound := max(1, servers/100) // a hundredth ten times a second, which is a tenth each second
		var ids []int
		for i := range changesPerRound {
			ids = append(ids, (round*changesPerRound+i)%servers)
		}
		weight := round + 2
		for _, i := range ids {
			changed[versionKey(fmt.Sprintf("s-%d", i), float64(weight))] = clk.Now()
		}
		put(ids, weight)
		sleep(0.1)
	}
	r.BusyCPU = (cpu() - from) / (clk.Now() - at)
	sleep(1)
	k.mu.Lock()
	for id, changedAt := range changed {
		if reportedAt, ok := k.reportedAt[id]; ok { // a change that was superseded before the next query is not reported separately
			_ = hist.RecordValue(max(1, int64((reportedAt-changedAt)*1000)))
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
	r.LoopMs, r.Read = float64(l.taskTimes.ValueAtQuantile(99))/1000, src.BytesRead()
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
