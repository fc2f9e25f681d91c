package rehearse

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/clock"
	"beechgrade/internal/kit/check"
	"beechgrade/internal/kit/clients"
	"beechgrade/internal/kit/fleet"
	"beechgrade/internal/kit/machine"
	"beechgrade/internal/kit/scenario"
	"beechgrade/internal/kit/score"
	"beechgrade/internal/kit/standin/agent"
	"beechgrade/internal/kit/world"
	"beechgrade/internal/membership/discovery"
	"beechgrade/internal/operate"
)

const (
	readyWait = 15 * time.Second
	stopWait  = 20 * time.Second
	portTries = 5

	settleMost = 10 * time.Second
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

	Figures func(pooler, pid int, at float64, figures map[string]string) // is told what poolers' doors show, now and then; nil for no doors
	Instead func(pooler int) int                                         // whom a kill-pooler or stall-pooler strikes in place of the one that it names; may be nil
	Begins  func(at float64, doors []string)                             // is told, as clients begin to ask, where poolers' doors are, if there are Figures; may be nil

	Read func(at float64, c *clients.Class, pooler, server int) // is told of each attempt of a read that came whole to a server; may be nil

	Liar string                       // path of the daemon's program built with the tag liar...
	Lies map[int]string               // ...and what some poolers, by number, lie about load ("none" or "all"), or of servers: see lies
	Came func(server int, at float64) // is told of each request that came to a server
}

// Result is a rehearsal's outcome; it is written to result.json in its folder.
type Result struct {
	Rehearsal string         `json:"rehearsal"`
	Seed      uint64         `json:"seed"`
	FromMs    float64        `json:"from_ms"`
	ToMs      float64        `json:"to_ms"`
	Score     *score.Score   `json:"score"`
	Rules     *check.Verdict `json:"rules"` // by what crossed the wires
	Facts     []fleet.Fact   `json:"facts"`
	Fleet     *Fleet         `json:"fleet,omitempty"`
	Stood     []Stood        `json:"stood_still,omitempty"`
	Machine   machine.Busy   `json:"machine"`
	Ran       []string       `json:"-"` // ids of the writes that ran
	Twice     map[int]Twice  `json:"-"` // by group

	Pages  *PageCounts      `json:"pages,omitempty"`
	Served map[string]int64 `json:"served_for,omitempty"`   // by tenant, of what it paid...
	UpTo   map[string]int64 `json:"served_up_to,omitempty"` // ...and up to its last payment in the midst
}

// Twice is what servers of a group took, or had no room for: attempts, and how many of these were of a request of which one had been taken.
type Twice struct{ Taken, Again int }

// Stood is when a pooler's process stood still: what came meanwhile it takes for newly come.
type Stood struct {
	Pooler string  `json:"pooler"`
	From   float64 `json:"from_ms"`
	To     float64 `json:"to_ms"`
}

// Names within a rehearsal's folder.
const (
	RecordsDir = "records"
	TriesFile  = "tries.jsonl"
	ResultFile = "result.json"
)

// TryLine is a line of TriesFile.
type TryLine struct {
	ID     string       `json:"id"`
	Class  string       `json:"class"`
	No     int          `json:"no"`
	Pooler string       `json:"pooler,omitempty"`
	First  float64      `json:"first_ms"`
	Sent   float64      `json:"sent_ms"`
	Ended  float64      `json:"ended_ms"`
	Kind   clients.Kind `json:"kind"`
	Late   bool         `json:"late,omitempty"`
	Tenant string       `json:"tenant,omitempty"`
}

// pooler is a daemon's process.
type pooler struct {
	no   int
	name string
	addr string
	near string // where its ClickHouse front listens
	door string // where operators' calls come; empty for nowhere

	pooled string           // where it serves ordinary clients
	pays   []scenario.Fault // payments that it has read of since the start

	record string              // its records' folder
	limits operate.FleetLimits // of the whole fleet, as its settings have them
	more   *string             // in place of Options.Operators
	dir    string
	run    *Run

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
}

// Run is a rehearsal that is under way.
type Run struct {
	script  *scenario.Script
	opt     Options
	clk     clock.Clock
	fleet   *fleet.Fleet
	poolers []*pooler

	operators string         // more of the operators' settings
	agents    []*agent.Agent // of Consul
	wires     *wires
	shared    *shared
	peers     *fleetOf // nil where the poolers are no peers
	sockets   int      // that a pooler may hold, where that is more than usual
}

// Play runs a rehearsal from its start to its end.
func Play(ctx context.Context, s *scenario.Script, opt Options) (*Result, error) {
	s, err := s.Smaller()
	if err != nil {
		return nil, err
	}
	if s, err = s.Drawn(opt.Seed); err != nil {
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
	r.wires.came, r.wires.arrived, r.wires.read = opt.Came, opt.Arrived, opt.Read
	r.fleet = fleet.New(cfg, r.clk, opt.Log)
	r.fleet.Watch(r.wires)
	if s.Doors() {
		r.fleet.Doors(s.Poolers)
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
		p := &pooler{no: i, name: fmt.Sprintf("pooler-%d", i), run: r}
		p.dir = filepath.Join(opt.Out, p.name)
		r.poolers = append(r.poolers, p)
	}
	if err := r.launchAll(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
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

func (r *Run) play(ctx context.Context) (*Result, error) {
	var addrs []string
	for _, p := range r.poolers {
		if r.script.Clients.House {
			addrs = append(addrs, p.near)
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
	watch := machine.Begin()
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
			if err := r.strike(faulty, f); err != nil {
				errs <- fmt.Errorf("%s: %w", f.Pos, err)
			}
		}()
	}
	looked := func() {}
	if r.peers != nil {
		looked = r.peers.begin(ctx)
	}
	shown := r.doors(ctx)
	if r.opt.Begins != nil {
		var doors []string
		for _, p := range r.poolers {
			doors = append(doors, p.door)
		}
		r.opt.Begins(res.FromMs, doors)
	}
	reported := func() {}
	if r.script.Pages != nil {
		reported = table.play(faulty)
	}
	clients.NewPlayer(cfg, r.clk, addrs, log).Play(ctx, plan, func(asked int) {
		if r.opt.Progress != nil {
			r.opt.Progress(asked, len(plan))
		}
	})
	stop()
	wg.Wait()
	reported()
	if r.peers != nil && ctx.Err() == nil {
		r.peers.settle(ctx, settleMost)
	}
	shown()
	looked()
	res.ToMs, res.Machine = r.clk.Now(), watch.End()
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
	for _, id := range r.fleet.RanTwice() {
		keeper.Add(score.Breach{Rule: "nothing unsafe twice", ID: id, Text: "a write ran more than once"})
	}
	for _, name := range r.fleet.Fallen() {
		keeper.Add(score.Breach{Rule: "no cold server pushed over", Text: name + " fell"})
	}
	for _, f := range r.fleet.Late() {
		keeper.Add(score.Breach{Rule: "drains kept", At: f.At, Text: f.Server + " " + f.What})
	}
	res.Score, res.Facts = keeper.Score(), r.fleet.Facts()
	res.Ran = r.fleet.Ran()
	res.Twice = r.wires.twices()
	res.Rules = r.wires.verdict(r.clk.Now())
	if r.shared.verdict(res.Rules); r.script.Pages != nil {
		res.Pages = &r.shared.Pages
	}
	res.Served, res.UpTo = r.shared.served(), r.shared.upTo
	if err := r.invariants(res.Rules); err != nil {
		return nil, err
	}
	for i, s := range r.wires.stood {
		res.Stood = append(res.Stood, Stood{r.poolers[i].name, s[0], s[1]})
	}
	if r.peers != nil {
		res.Fleet = r.peers.result(res.Rules)
		if r.script.Limits != nil {
			res.Fleet.Uses = r.wires.uses(r.script.WarmMs())
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

// log scores tries and writes them down.
type log struct {
	*score.Keeper
	file *os.File
	out  *bufio.Writer
	run  *Run
	err  error
}

func (r *Run) keep(classes []clients.Class) (*score.Keeper, *log, error) {
	f, err := os.Create(filepath.Join(r.opt.Out, TriesFile))
	if err != nil {
		return nil, nil, err
	}
	k := score.New(r.opt.Seed, classes)
	k.Tenants(r.script.Clients.Tenants, r.script.Clients.Over)
	return k, &log{Keeper: k, file: f, out: bufio.NewWriter(f), run: r}, nil
}

// Tried is clients.Sink's.
func (l *log) Tried(t *clients.Try) {
	l.run.wires.tried(t)
	l.run.shared.tried(t)
	if t.Stood = l.run.wires.excused(t); t.Stood && t.Kind == clients.Silent {
		t.Kind = clients.Broken
	}
	l.Keeper.Tried(t)
	line := TryLine{ID: t.ID, Class: t.Class.Name, No: t.No, First: t.First, Sent: t.Sent, Ended: t.Ended, Kind: t.Kind, Late: t.Late, Tenant: t.Tenant}
	if t.Pooler >= 0 {
		line.Pooler = l.run.poolers[t.Pooler].name
	}
	b, err := jsoniter.Marshal(&line)
	if err == nil {
		_, err = l.out.Write(append(b, '\n'))
	}
	if l.err == nil {
		l.err = err
	}
}

// Trying is clients.Watcher's.
func (l *log) Trying(t *clients.Try, untilMs, afterMs float64) {
	l.run.wires.Trying(t, untilMs, afterMs)
}

func (l *log) close() error { return errors.Join(l.err, l.out.Flush(), l.file.Close()) }

// strike carries a fault out at its time, and ends it.
func (r *Run) strike(ctx context.Context, f scenario.Fault) error {
	if !pause(ctx, f.At) {
		return nil
	}
	if (f.What == "kill-pooler" || f.What == "stall-pooler") && r.opt.Instead != nil {
		f.Target.Group = r.opt.Instead(f.Target.Group)
	}
	if r.wires.struck(r.clk.Now(), r.script, &f); f.What == "load" {
		return nil
	}
	if f.Owner != "" {
		f = *f.Resolved(r.peers.lender)
	}
	r.opt.Log.Info("fault", "what", f.What, "whom", f.Target.String(), "for_ms", f.For)
	switch f.What {
	case "list-late":
		r.fleet.ListLate(f.Value)
		if f.For > 0 && pause(ctx, f.For) {
			r.fleet.ListLate(0)
		}
		return nil
	case "list-gone":
		r.listGone(true)
		if f.For > 0 && pause(ctx, f.For) {
			r.listGone(false)
		}
		return nil
	case "list-silent":
		r.fleet.ListSilent(true)
		if f.For > 0 && pause(ctx, f.For) {
			r.fleet.ListSilent(false)
		}
		return nil
	case "agent", "deregister-all", "wrong-roles":
		r.lie(f, true)
		if f.For > 0 && pause(ctx, f.For) {
			r.lie(f, false)
		}
		return nil
	case "links", "between":
		r.peers.strike(ctx, f)
		return nil
	case "limit":
		return r.changeLimit(f)
	case "pay":
		return r.pay(f)
	case "cut", "thin", "list-held":
		do := r.ways(f)
		do(true)
		if f.For > 0 && pause(ctx, f.For) {
			do(false)
		}
		return nil
	case "stall-pooler":
		r.poolers[f.Target.Group].stand(ctx, f.For)
		return nil
	case "kill-pooler":
		p := r.poolers[f.Target.Group]
		p.stop(syscall.SIGKILL)
		if r.opt.Killed != nil {
			r.opt.Killed(p.name)
		}
		if f.For > 0 && pause(ctx, f.For) {
			p.run.wires.fault(p.run.clk.Now(), 0)
			return p.start(ctx)
		}
		return nil
	case "restart-pooler":
		p := r.poolers[f.Target.Group]
		p.stop(syscall.SIGTERM)
		return p.start(ctx)
	}
	names := r.targets(f.Target)
	begin, end := r.acts(f)
	for _, n := range names {
		if err := begin(n); err != nil {
			return err
		}
	}
	if f.For > 0 && pause(ctx, f.For) {
		for _, n := range names {
			if err := end(n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Run) listGone(gone bool) {
	for _, a := range r.agents {
		a.Tell(agent.Lie{Status: map[bool]int{true: 500}[gone]})
	}
	_ = r.fleet.Act(func(w *world.World) error { w.ListGone(gone); return nil })
}

// acts are what a fault does to a server, and what ends it.
func (r *Run) acts(f scenario.Fault) (begin, end func(string) error) {
	on := func(do func(w *world.World, name string) error) func(string) error {
		return func(name string) error {
			return r.fleet.Act(func(w *world.World) error { return do(w, name) })
		}
	}
	b, e := f.Acts()
	return on(b), on(e)
}

func (r *Run) targets(t scenario.Target) (names []string) {
	_ = r.fleet.Act(func(w *world.World) error {
		for _, s := range t.Of(w) {
			names = append(names, s.Name)
		}
		return nil
	})
	return names
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

// launch gives the pooler an address and starts it for the first time.
func (p *pooler) launch(ctx context.Context) error {
	if err := os.MkdirAll(p.dir, 0o750); err != nil {
		return err
	}
	records, err := filepath.Abs(filepath.Join(p.run.opt.Out, RecordsDir, p.name))
	if err != nil {
		return err
	}
	if p.run.script.Clients.House {
		if p.near, err = freePort(); err != nil {
			return err
		}
	}
	if p.run.script.Pages != nil {
		if p.pooled, err = freePort(); err != nil {
			return err
		}
	}
	if p.run.opt.Figures != nil {
		if p.door, err = freePort(); err != nil {
			return err
		}
	}
	p.record = records
	if p.run.script.Limits != nil {
		p.limits = *p.run.script.Limits
	}
	if err := p.settings(); err != nil {
		return err
	}
	for try := 1; ; try++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		p.addr = l.Addr().String()
		_ = l.Close()
		if err = p.start(ctx); err == nil || try == portTries || ctx.Err() != nil {
			return err
		}
	}
}

// settings writes the operators' settings of a pooler.
func (p *pooler) settings() error {
	queue, peers := "", ""
	if p.run.script.Queue > 0 {
		queue = fmt.Sprintf(" (queue %d)", p.run.script.Queue)
	}
	if f := p.run.peers; f != nil {
		peers = f.settings(p.no)
		if p.limits.On {
			peers += p.limits.String()
		}
	}
	more := p.run.opt.Operators
	if p.more != nil {
		more = *p.more
	}
	shared, err := p.shared()
	if err != nil {
		return err
	}
	operators := withInvariants + shared + peers + fmt.Sprintf("(record (on) (dir %q) (pack %v)%s)\n", p.record, p.run.script.Pack, queue) + p.run.operators + p.run.script.Operators(p.near) + strings.ReplaceAll(more, "$POOLER", p.name)
	return os.WriteFile(p.file("operators.sexp"), []byte(operators), 0o640)
}

func (p *pooler) file(name string) string { return filepath.Join(p.dir, name) }

// start starts the process and waits until it serves.
func (p *pooler) start(ctx context.Context) error {
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(p.config(), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file("config.json"), b, 0o640); err != nil {
		return err
	}
	out, err := os.OpenFile(p.file("log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	daemon, lie := p.run.opt.Daemon, p.run.opt.Lies[p.no]
	if lie != "" {
		daemon = p.run.opt.Liar
	}
	cmd := exec.Command(daemon, "--settings", p.file("operators.sexp"), "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.file("config.json"), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "LIE="+lie)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	until := time.Now().Add(readyWait)
	for {
		if clients.Ready(p.addr) == nil {
			return nil
		}
		select {
		case err := <-done:
			done <- err
			return fmt.Errorf("%s ended at its start (%v); see %s", p.name, err, p.file("log.txt"))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(until) {
			return fmt.Errorf("%s does not serve after %s; see %s", p.name, readyWait, p.file("log.txt"))
		}
	}
}

// stop sends a signal and waits for the end.
func (p *pooler) stop(sig syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	p.run.wires.fault(p.run.clk.Now(), 0)
	if f := p.run.peers; f != nil && sig == syscall.SIGKILL {
		f.ended(p.no, false)
	} else if f != nil { // it goes on until it has answered all
		defer f.ended(p.no, true)
	}
	select {
	case <-done:
	case <-time.After(stopWait):
		_ = cmd.Process.Kill()
		<-done
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

// config is what the platform would tell the pooler.
func (p *pooler) config() map[string]any {
	r := p.run
	known := r.fleet.ListAt(p.no)
	if len(r.agents) > 0 { // it starts knowing nothing
		known = discovery.List{}
	}
	told := r.script.Told(p.no, p.name, p.addr, r.fleet.DiscoveryAt(p.no), r.opt.Seed^uint64(len(p.name)), r.sockets, known)
	if p.door != "" {
		told["control"] = p.door
	}
	return told
}
