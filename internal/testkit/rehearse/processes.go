package rehearse

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/netfault"
	"beechgrade/internal/testkit/scenario"
)

// Processes are daemons' processes before stand-ins, without a script's clients: a test asks them itself.
type Processes struct {
	Fleet  *database.Fleet
	Addrs  []string // where each serves ordinary clients
	Key    string   // the peers' key's file
	run    *Run
	relays *netfault.Relays
	cut    *netfault.Fault
}

// StartProcesses starts as many as the script has poolers. operators says, for each, what its settings have beside (peers ...); pooled is the
// address at which it is to serve ordinary clients.
func StartProcesses(ctx context.Context, daemon, out, script string, operators func(i int, pooled string) string) (*Processes, error) {
	s, err := scenario.Parse("processes", []byte(script))
	if err != nil {
		return nil, err
	}
	s.Fleet.Seed, s.Fleet.MaxConnections = 5, 2000
	log := slog.New(slog.DiscardHandler)
	r := &Run{script: s, opt: Options{Seed: 5, Out: out, Daemon: daemon, Log: log}, clk: clock.System(), sockets: 4096}
	r.wires = newWires(s)
	r.fleet = database.New(s.Fleet, r.clk, log)
	x := &Processes{Fleet: r.fleet, run: r, cut: &netfault.Fault{Cut: true}}
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	if s.Peers != nil {
		if err := r.startPeers(); err != nil {
			return nil, err
		}
		x.relays, x.Key = r.peers.relays, r.peers.file
	}
	for i := range s.Poolers {
		at, err := freePort()
		if err != nil {
			return x, err
		}
		r.operators = operators(i, at)
		p := &pooler{index: i, name: fmt.Sprintf("pooler-%d", i), dir: filepath.Join(out, fmt.Sprintf("pooler-%d", i)), run: r}
		r.poolers, x.Addrs = append(r.poolers, p), append(x.Addrs, at)
		if err := p.launch(ctx); err != nil {
			said, _ := os.ReadFile(p.file("log.txt"))
			return x, fmt.Errorf("%w\n%s", err, said)
		}
	}
	return x, nil
}

// Kill ends a process at once.
func (x *Processes) Kill(i int) { x.run.poolers[i].stop(syscall.SIGKILL) }

// Restart starts a process that was killed, with other settings where they are not empty.
func (x *Processes) Restart(ctx context.Context, i int, operators string) error {
	p := x.run.poolers[i]
	if operators != "" {
		x.run.operators = operators
		if err := p.settings(); err != nil {
			return err
		}
	}
	return p.start(ctx)
}

// Part cuts all links between two processes, both ways, or heals them.
func (x *Processes) Part(a, b int, cut bool) {
	x.relays.Update(func(n *netfault.Net) {
		n.SetFault([]int{a}, []int{b}, x.cut, cut)
		n.SetFault([]int{b}, []int{a}, x.cut, cut)
	})
}

// Log is the file that a process logs to.
func (x *Processes) Log(i int) string { return x.run.poolers[i].file("log.txt") }

// Close ends everything.
func (x *Processes) Close() {
	x.run.kill()
	x.run.fleet.Close()
	if x.relays != nil {
		_ = x.relays.Close()
	}
}
