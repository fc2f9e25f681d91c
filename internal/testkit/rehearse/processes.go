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
	"beechgrade/internal/testkit/freeport"
	"beechgrade/internal/testkit/netfault"
	"beechgrade/internal/testkit/scenario"
)

// Processes are daemon processes in front of fake servers, without the clients of a script: a test sends the requests itself.
type Processes struct {
	Fleet  *database.Fleet
	Addrs  []string // listen addresses of the pooling frontends
	Key    string   // path of the file with the peers' key
	run    *Run
	relays *netfault.Relays
	cut    *netfault.Fault
}

// StartProcesses starts as many processes as the script has poolers. operators returns the settings of each besides (peers ...);
// pooled is the listen address of its pooling frontend.
func StartProcesses(ctx context.Context, daemon, out, script string, operators func(i int, pooled string) string) (*Processes, error) {
	s, err := scenario.Parse("processes", []byte(script))
	if err != nil {
		return nil, err
	}
	s.Fleet.Seed, s.Fleet.MaxConnections = 5, 2000
	log := slog.New(slog.DiscardHandler)
	r := &Run{script: s, opt: Options{Seed: 5, Out: out, Daemon: daemon, Log: log}, clk: clock.System(), sockets: 4096}
	r.traffic = newTrafficWatcher(s)
	r.fleet = database.New(s.Fleet, r.clk, log)
	x := &Processes{Fleet: r.fleet, run: r, cut: &netfault.Fault{Cut: true}}
	if err := r.fleet.Start(); err != nil {
		return nil, err
	}
	if s.Peers != nil {
		if err := r.startPeers(); err != nil {
			return nil, err
		}
		x.relays, x.Key = r.peers.relays, r.peers.keyFile
	}
	for i := range s.Poolers {
		at, err := freeport.Address()
		if err != nil {
			return x, err
		}
		r.operators = operators(i, at)
		p := &pooler{index: i, name: fmt.Sprintf("pooler-%d", i), dir: filepath.Join(out, fmt.Sprintf("pooler-%d", i)), run: r}
		r.poolers, x.Addrs = append(r.poolers, p), append(x.Addrs, at)
		if err := p.launch(ctx); err != nil {
			logText, _ := os.ReadFile(p.file("log.txt"))
			return x, fmt.Errorf("%w\n%s", err, logText)
		}
	}
	return x, nil
}

// Kill ends a process at once.
func (x *Processes) Kill(i int) { x.run.poolers[i].stop(syscall.SIGKILL) }

// Restart starts a killed process, with the given settings unless they are empty.
func (x *Processes) Restart(ctx context.Context, i int, operators string) error {
	p := x.run.poolers[i]
	if operators != "" {
		x.run.operators = operators
		if err := p.writeSettings(); err != nil {
			return err
		}
	}
	return p.start(ctx)
}

// SetLinksCut cuts all links between two processes, both ways, or restores them.
func (x *Processes) SetLinksCut(a, b int, cut bool) {
	x.relays.Update(func(n *netfault.Net) {
		n.SetFault([]int{a}, []int{b}, x.cut, cut)
		n.SetFault([]int{b}, []int{a}, x.cut, cut)
	})
}

// Log returns the path of the log file of a process.
func (x *Processes) Log(i int) string { return x.run.poolers[i].file("log.txt") }

// Close kills all processes and stops the fake servers and the relays.
func (x *Processes) Close() {
	x.run.kill()
	x.run.fleet.Close()
	if x.relays != nil {
		_ = x.relays.Close()
	}
}
