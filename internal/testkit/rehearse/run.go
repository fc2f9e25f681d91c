// Package rehearse runs the daemon as processes against stand-in servers, clients and faults on loopback, as a scenario has them, and compares what
// the processes recorded with what the clients saw.
package rehearse

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
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

// Options say how a rehearsal is run.
type Options struct {
	Seed     uint64
	Out      string // folder, which must not hold a rehearsal yet
	Daemon   string // path of the daemon's program
	Log      *slog.Logger
	Progress func(done, all int)

	Operators string // more of the operators' settings; $POOLER stands for a pooler's name
	Rereads   []Reread

	Arrived func(server, pooler int, writes bool, at float64) // is told of each request that comes whole to a server; may be nil

	Killed func(pooler string) // is told once a pooler's process was killed, before it starts again

	Metrics       func(pooler, pid int, at float64, figures map[string]string) // is told what poolers' doors show, now and then; nil for no doors
	ReplaceTarget func(pooler int) int                                         // whom a kill-pooler or stall-pooler strikes in place of the one that it names; may be nil
	Started       func(at float64, doors []string)                             // is told, as clients begin to ask, where poolers' doors are, if there are Figures; may be nil

	Read func(at float64, c *clients.Class, pooler, server int) // is told of each attempt of a read that came whole to a server; may be nil

	ByzantineDaemon string                       // path of the daemon's program built with the tag liar...
	ByzantineModes  map[int]string               // ...and what some poolers, by number, lie about load ("none" or "all"), or of servers: see lies
	Received        func(server int, at float64) // is told of each request that came to a server
}

// Result is a rehearsal's outcome; it is written to result.json in its folder.
type Result struct {
	Rehearsal  string               `json:"rehearsal"`
	Seed       uint64               `json:"seed"`
	FromMs     float64              `json:"from_ms"`
	ToMs       float64              `json:"to_ms"`
	Score      *score.Score         `json:"score"`
	Rules      *checker.Verdict     `json:"rules"` // by what crossed the wires
	Facts      []database.Fact      `json:"facts"`
	Fleet      *Fleet               `json:"fleet,omitempty"`
	Pauses     []Pause              `json:"stood_still,omitempty"`
	Machine    cpupressure.Pressure `json:"machine"`
	Ran        []string             `json:"-"` // ids of the writes that ran
	Duplicates map[int]Duplicates   `json:"-"` // by group

	Pages  *PageCounts      `json:"pages,omitempty"`
	Served map[string]int64 `json:"served_for,omitempty"`   // by tenant, of what it paid...
	UpTo   map[string]int64 `json:"served_up_to,omitempty"` // ...and up to its last payment in the midst
}

// Duplicates is what servers of a group took, or had no room for: attempts, and how many of these were of a request of which one had been taken.
type Duplicates struct{ Taken, Repeated int }

// Pause is when a pooler's process stood still: what came meanwhile it takes for newly come.
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

// Run is a rehearsal that is under way.
type Run struct {
	script  *scenario.Script
	opt     Options
	clk     clock.Clock
	fleet   *database.Fleet
	poolers []*pooler

	operators string                // more of the operators' settings
	agents    []*consulserver.Agent // of Consul
	wires     *wires
	shared    *shared
	peers     *peerFleet // nil where the poolers are no peers
	sockets   int        // that a pooler may hold, where that is more than usual
}

// Execute runs a rehearsal from its start to its end.
func Execute(ctx context.Context, s *scenario.Script, opt Options) (*Result, error) {
	s, err := s.Smaller()
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
		return nil, fmt.Errorf("the daemon: %w", err)
	}
	r := &Run{script: s, opt: opt, clk: clock.System()}
	cfg := s.Fleet
	cfg.Seed = opt.Seed
	r.wires, r.shared = newWires(s), r.newShared()
	r.wires.onReceived, r.wires.onArrived, r.wires.onRead = opt.Received, opt.Arrived, opt.Read
	r.fleet = database.New(cfg, r.clk, opt.Log)
	r.fleet.Watch(r.wires)
	if s.HasPoolerLinks() {
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

// launchAll starts all poolers, side by side.
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

func (r *Run) execute(ctx context.Context) (*Result, error) {
	var addrs []string
	for _, p := range r.poolers {
		if r.script.Clients.ClickHouse {
			addrs = append(addrs, p.clickhouseAddr)
			continue
		}
		addrs = append(addrs, p.addr)
	}
	var table *report
	if r.script.Pages != nil {
		table = r.shared.pagesTable()
	}
	cfg := r.script.Clients
	cfg.Seed = r.opt.Seed
	plan := clients.Plan(cfg)
	keeper, log, err := r.keep(cfg.Classes)
	if err != nil {
		return nil, err
	}
	res := &Result{Rehearsal: r.script.Name, Seed: r.opt.Seed, FromMs: r.clk.Now()}
	watch := cpupressure.Start()
	faulty, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	errs := make(chan error, len(r.script.Faults)+len(r.opt.Rereads))
	for _, x := range r.opt.Rereads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := r.reread(faulty, x); err != nil {
				errs <- err
			}
		}()
	}
	for _, f := range r.script.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := r.inject(faulty, f); err != nil {
				errs <- fmt.Errorf("%s: %w", f.Pos, err)
			}
		}()
	}
	looked := func() {}
	if r.peers != nil {
		looked = r.peers.begin(ctx)
	}
	shown := r.pollAdmin(ctx)
	if r.opt.Started != nil {
		var doors []string
		for _, p := range r.poolers {
			doors = append(doors, p.adminAddr)
		}
		r.opt.Started(res.FromMs, doors)
	}
	reported := func() {}
	if r.script.Pages != nil {
		reported = table.play(faulty)
	}
	clients.NewPlayer(cfg, r.clk, addrs, log).Run(ctx, plan, func(asked int) {
		if r.opt.Progress != nil {
			r.opt.Progress(asked, len(plan))
		}
	})
	stop()
	wg.Wait()
	reported()
	if r.peers != nil && ctx.Err() == nil {
		r.peers.settle(ctx, maxSettle)
	}
	shown()
	looked()
	res.ToMs, res.Machine = r.clk.Now(), watch.Stop()
	if err := errors.Join(log.close(), r.stop()); err != nil {
		return nil, err
	}
	select {
	case err := <-errs:
		return nil, err
	default:
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for _, id := range r.fleet.RepeatedWrites() {
		keeper.Add(score.Breach{Rule: "nothing unsafe twice", ID: id, Text: "a write ran more than once"})
	}
	for _, name := range r.fleet.PushedOver() {
		keeper.Add(score.Breach{Rule: "no cold server pushed over", Text: name + " fell"})
	}
	for _, f := range r.fleet.LateFacts() {
		keeper.Add(score.Breach{Rule: "drains kept", At: f.At, Text: f.Server + " " + f.What})
	}
	res.Score, res.Facts = keeper.Score(), r.fleet.Facts()
	res.Ran = r.fleet.ExecutedWrites()
	res.Duplicates = r.wires.duplicateCounts()
	res.Rules = r.wires.verdict(r.clk.Now())
	if r.shared.verdict(res.Rules); r.script.Pages != nil {
		res.Pages = &r.shared.Pages
	}
	res.Served, res.UpTo = r.shared.served(), r.shared.upTo
	if err := r.invariants(res.Rules); err != nil {
		return nil, err
	}
	for i, s := range r.wires.pauses {
		res.Pauses = append(res.Pauses, Pause{r.poolers[i].name, s[0], s[1]})
	}
	if r.peers != nil {
		res.Fleet = r.peers.result(res.Rules)
		if r.script.Limits != nil {
			res.Fleet.Uses = r.wires.limitUsages(r.script.WarmMs())
		}
	}
	for _, b := range res.Rules.Breaches {
		keeper.Add(score.Breach{Rule: string(b.Rule), At: b.At, ID: fmt.Sprintf("%016x", b.ID), Text: "by the wires: " + b.Text})
	}
	res.Score = keeper.Score()
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(res, "", "  ")
	if err != nil {
		return nil, err
	}
	return res, os.WriteFile(filepath.Join(r.opt.Out, ResultFile), b, 0o640)
}

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

// stop ends all poolers in order.
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

func (r *Run) kill() {
	for _, p := range r.poolers {
		p.stop(syscall.SIGKILL)
	}
}
