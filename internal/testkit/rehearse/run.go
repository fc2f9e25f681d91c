// Package rehearse runs daemons as processes on loopback against fake servers, clients and faults, as a scenario script describes,
// and compares what the poolers recorded with what the clients saw. It also measures the ClickHouse and the pooling frontend.
package rehearse

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/cpupressure"
	"beechgrade/internal/testkit/fake/consulserver"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/scenario"
	"beechgrade/internal/testkit/score"
)

const (
	readyWait    = 15 * time.Second
	stopWait     = 20 * time.Second
	portAttempts = 5

	maxSettle = 10 * time.Second
)

// Options say how a rehearsal is run. Functions may be nil; they are called from several goroutines.
type Options struct {
	Seed     uint64
	Out      string // folder, which must not hold a rehearsal yet
	Daemon   string // path of the daemon's program
	Log      *slog.Logger
	Progress func(done, all int)

	Operators string // additional operators' settings; $POOLER stands for a pooler's name
	Reloads   []Reload

	// Arrived is called with each request that a server received completely.
	Arrived func(server, pooler int, writes bool, at float64)
	// Read is called with each read attempt that a server received completely.
	Read func(at float64, c *clients.Class, pooler, server int)
	// Received is called with each request that reached a server.
	Received func(server int, at float64)
	// Killed is called when a pooler's process was killed, before it is started again.
	Killed func(pooler string)
	// Metrics is called with the metrics of the poolers' admin endpoints, several times a second. Poolers have no admin endpoints
	// where it is nil.
	Metrics func(pooler, pid int, at float64, metrics map[string]string)
	// Started is called when the clients start, with the addresses of the admin endpoints.
	Started func(at float64, adminAddrs []string)
	// ReplaceTarget returns the pooler that a kill-pooler or stall-pooler fault hits in place of the one that it names.
	ReplaceTarget func(pooler int) int

	ByzantineDaemon string         // path of the daemon's program built with the tag liar
	ByzantineModes  map[int]string // by pooler: what it misreports; such poolers run ByzantineDaemon
}

// Result is the outcome of a rehearsal. It is written to ResultFile in the folder of the rehearsal.
type Result struct {
	Rehearsal  string               `json:"rehearsal"`
	Seed       uint64               `json:"seed"`
	FromMs     float64              `json:"from_ms"`
	ToMs       float64              `json:"to_ms"`
	Score      *score.Score         `json:"score"`
	Rules      *checker.Verdict     `json:"rules"` // verdict on the traffic of clients and servers
	Facts      []database.Fact      `json:"facts"`
	Fleet      *Fleet               `json:"fleet,omitempty"`
	Pauses     []Pause              `json:"stood_still,omitempty"`
	Machine    cpupressure.Pressure `json:"machine"`
	Ran        []string             `json:"-"` // ids of the writes that ran
	Duplicates map[int]Duplicates   `json:"-"` // by group

	Pages  *PageCounts      `json:"pages,omitempty"`
	Served map[string]int64 `json:"served_for,omitempty"`   // by tenant: cost of its answers
	UpTo   map[string]int64 `json:"served_up_to,omitempty"` // by tenant: cost of its answers before its last payment during the rehearsal
}

// Duplicates counts what servers of a group received or rejected: attempts, and those among them whose request had been received
// before.
type Duplicates struct{ Taken, Repeated int }

// Pause is a span in which a pooler's process was stopped. What arrived meanwhile counts as received at its end.
type Pause struct {
	Pooler string  `json:"pooler"`
	From   float64 `json:"from_ms"`
	To     float64 `json:"to_ms"`
}

// Names within a rehearsal's folder.
const (
	RecordsDir   = "records"
	AttemptsFile = "tries.jsonl"
	ResultFile   = "result.json"
)

// Run is a rehearsal.
type Run struct {
	script  *scenario.Script
	opt     Options
	clk     clock.Clock
	fleet   *database.Fleet
	poolers []*pooler

	operators string                // additional operators' settings
	agents    []*consulserver.Agent // fake Consul agents
	traffic   *trafficWatcher
	shared    *shared
	peers     *peerFleet // nil if the poolers are not peers
	sockets   int        // maximum number of sockets of a pooler, if above the default
}

// Execute runs a rehearsal from its start to its end, and writes its result.
func Execute(ctx context.Context, s *scenario.Script, opt Options) (*Result, error) {
	s, err := s.ForSockets()
	if err != nil {
		return nil, err
	}
	if s, err = s.Draw(opt.Seed); err != nil {
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	if err := s.OnSockets(); err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(opt.Out, ResultFile)); err == nil {
		return nil, fmt.Errorf("%s: holds a rehearsal already", opt.Out)
	}
	if err := os.MkdirAll(filepath.Join(opt.Out, RecordsDir), 0o750); err != nil {
		return nil, err
	}
	if _, err := os.Stat(opt.Daemon); err != nil {
		return nil, fmt.Errorf("daemon program: %w", err)
	}
	r := &Run{script: s, opt: opt, clk: clock.System()}
	cfg := s.Fleet
	cfg.Seed = opt.Seed
	r.traffic, r.shared = newTrafficWatcher(s), r.newShared()
	r.traffic.onReceived, r.traffic.onArrived, r.traffic.onRead = opt.Received, opt.Arrived, opt.Read
	r.fleet = database.New(cfg, r.clk, opt.Log)
	r.fleet.Watch(r.traffic)
	if s.NeedsPoolerAddresses() {
		r.fleet.SetPoolerCount(s.Poolers)
	}
	defer r.fleet.Close()
	if s.Agents > 0 {
		if err := r.startAgents(); err != nil {
			return nil, err
		}
		defer r.stopAgents()
	}
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	if s.Peers != nil {
		if err := r.startPeers(); err != nil {
			return nil, err
		}
		defer func() { _ = r.peers.relays.Close() }()
	}
	defer r.kill()
	for i := range s.Poolers {
		p := &pooler{index: i, name: fmt.Sprintf("pooler-%d", i), run: r}
		p.dir = filepath.Join(opt.Out, p.name)
		r.poolers = append(r.poolers, p)
	}
	if err := r.launchAll(ctx); err != nil {
		return nil, err
	}
	return r.execute(ctx)
}

// launchAll starts all poolers at the same time.
func (r *Run) launchAll(ctx context.Context) error {
	errs := make([]error, len(r.poolers))
	var wg sync.WaitGroup
	for i, p := range r.poolers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = p.launch(ctx)
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// execute has the clients make their requests while faults are injected, stops the poolers, and writes the result.
func (r *Run) execute(ctx context.Context) (*Result, error) {
	var table *report
	if r.script.Pages != nil {
		table = r.shared.createPagesTable()
	}
	cfg := r.script.Clients
	cfg.Seed = r.opt.Seed
	plan := clients.Plan(cfg)
	scorer, log, err := r.openAttemptLog(cfg.Classes)
	if err != nil {
		return nil, err
	}
	res := &Result{Rehearsal: r.script.Name, Seed: r.opt.Seed, FromMs: r.clk.Now()}
	watch := cpupressure.Start()
	faults := r.startFaults(ctx)
	stopSampling := r.startSampling(ctx, res.FromMs)
	waitForPages := func() {}
	if table != nil {
		waitForPages = table.play(faults.ctx)
	}
	clients.NewPlayer(cfg, r.clk, r.clientAddrs(), log).Run(ctx, plan, func(asked int) {
		if r.opt.Progress != nil {
			r.opt.Progress(asked, len(plan))
		}
	})
	faults.stop()
	waitForPages()
	if r.peers != nil && ctx.Err() == nil {
		r.peers.settle(ctx, maxSettle)
	}
	stopSampling()
	res.ToMs, res.Machine = r.clk.Now(), watch.Stop()
	if err := errors.Join(log.close(), r.stop()); err != nil {
		return nil, err
	}
	if err := cmp.Or(faults.err(), ctx.Err()); err != nil {
		return nil, err
	}
	if err := r.collect(res, scorer); err != nil {
		return nil, err
	}
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(res, "", "  ")
	if err != nil {
		return nil, err
	}
	return res, os.WriteFile(filepath.Join(r.opt.Out, ResultFile), b, 0o640)
}

// clientAddrs returns the addresses of the poolers that the clients use.
func (r *Run) clientAddrs() (addrs []string) {
	for _, p := range r.poolers {
		if r.script.Clients.ClickHouse {
			addrs = append(addrs, p.clickhouseAddr)
		} else {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// faultTasks are the goroutines that inject the script's faults and reload the poolers' settings.
type faultTasks struct {
	ctx    context.Context // ends with stop
	cancel context.CancelFunc
	wg     sync.WaitGroup
	errs   chan error // of all tasks, buffered for each of them
}

// startFaults starts a task for each fault and each reload. Its caller calls stop.
func (r *Run) startFaults(ctx context.Context) *faultTasks {
	ctx, cancel := context.WithCancel(ctx)
	tasks := &faultTasks{ctx: ctx, cancel: cancel, errs: make(chan error, len(r.script.Faults)+len(r.opt.Reloads))}
	for _, reload := range r.opt.Reloads {
		tasks.start(func() error { return r.reload(ctx, reload) })
	}
	for _, fault := range r.script.Faults {
		tasks.start(func() error {
			if err := r.inject(ctx, fault); err != nil {
				return fmt.Errorf("%s: %w", fault.Pos, err)
			}
			return nil
		})
	}
	return tasks
}

// start runs a task in a goroutine.
func (t *faultTasks) start(task func() error) {
	t.wg.Go(func() {
		if err := task(); err != nil {
			t.errs <- err
		}
	})
}

// stop ends the tasks and waits for them.
func (t *faultTasks) stop() {
	t.cancel()
	t.wg.Wait()
}

// err returns the first error of a task, or nil if there is none.
func (t *faultTasks) err() error {
	select {
	case err := <-t.errs:
		return err
	default:
		return nil
	}
}

// startSampling samples the peers' views and the poolers' metrics until the function that it returns is called, and reports the
// start to Options.Started.
func (r *Run) startSampling(ctx context.Context, fromMs float64) (stop func()) {
	stopPeers := func() {}
	if r.peers != nil {
		stopPeers = r.peers.begin(ctx)
	}
	stopAdmin := r.pollAdmin(ctx)
	if r.opt.Started != nil {
		var addrs []string
		for _, p := range r.poolers {
			addrs = append(addrs, p.adminAddr)
		}
		r.opt.Started(fromMs, addrs)
	}
	return func() {
		stopAdmin()
		stopPeers()
	}
}

// collect completes the result with what the servers, the checker and the peers observed. The poolers have stopped.
func (r *Run) collect(res *Result, scorer *score.Scorer) error {
	r.addServerBreaches(scorer)
	res.Facts = r.fleet.Facts()
	res.Ran = r.fleet.ExecutedWrites()
	res.Duplicates = r.traffic.duplicateCounts()
	res.Rules = r.traffic.verdict(r.clk.Now())
	r.shared.verdict(res.Rules)
	if r.script.Pages != nil {
		res.Pages = &r.shared.Pages
	}
	res.Served, res.UpTo = r.shared.served(), r.shared.servedBeforePayment
	if err := r.invariants(res.Rules); err != nil {
		return err
	}
	res.Pauses = r.pauses()
	if r.peers != nil {
		res.Fleet = r.peers.result(res.Rules)
		if r.script.Limits != nil {
			res.Fleet.Uses = r.traffic.limitUsages(r.script.WarmUpMs())
		}
	}
	for _, b := range res.Rules.Breaches {
		scorer.Add(score.Breach{Rule: string(b.Rule), At: b.At, ID: fmt.Sprintf("%016x", b.ID), Text: "by the wires: " + b.Text})
	}
	res.Score = scorer.Score()
	return nil
}

// pauses returns all pauses of the poolers, by pooler and then by start.
func (r *Run) pauses() (all []Pause) {
	for _, i := range slices.Sorted(maps.Keys(r.traffic.pauses)) {
		for _, s := range r.traffic.pauses[i] {
			all = append(all, Pause{r.poolers[i].name, s[0], s[1]})
		}
	}
	return all
}

// addServerBreaches adds the breaches of rules that the servers observed.
func (r *Run) addServerBreaches(scorer *score.Scorer) {
	for _, id := range r.fleet.RepeatedWrites() {
		scorer.Add(score.Breach{Rule: "nothing unsafe twice", ID: id, Text: "a write ran more than once"})
	}
	for _, name := range r.fleet.PushedOver() {
		scorer.Add(score.Breach{Rule: "no cold server pushed over", Text: name + " fell"})
	}
	for _, fact := range r.fleet.LateFacts() {
		scorer.Add(score.Breach{Rule: "drains kept", At: fact.At, Text: fact.Server + " " + fact.What})
	}
}

// pause waits for a time in milliseconds. It returns false if the context ends first.
func pause(ctx context.Context, ms float64) bool {
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stop stops all poolers gracefully.
func (r *Run) stop() error {
	var wg sync.WaitGroup
	for _, p := range r.poolers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.stop(syscall.SIGTERM)
		}()
	}
	wg.Wait()
	return nil
}

// kill kills all poolers.
func (r *Run) kill() {
	for _, p := range r.poolers {
		p.stop(syscall.SIGKILL)
	}
}
