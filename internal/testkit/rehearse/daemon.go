package rehearse

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/freeport"
	"beechgrade/internal/testkit/scenario"
)

// pooler is a daemon process.
type pooler struct {
	index          int
	name           string
	addr           string
	clickhouseAddr string // listen address of its ClickHouse frontend
	adminAddr      string // listen address of its admin endpoint; empty if it has none

	poolingAddr string           // listen address of its pooling frontend
	payments    []scenario.Fault // payments that its settings have gained since the start

	record            string               // folder of its records
	limits            settings.FleetLimits // fleet-wide limits in its settings
	operatorsOverride *string              // replaces Options.Operators unless nil
	dir               string
	run               *Run

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
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
	if p.run.script.Clients.ClickHouse {
		if p.clickhouseAddr, err = freeport.Address(); err != nil {
			return err
		}
	}
	if p.run.script.Pages != nil {
		if p.poolingAddr, err = freeport.Address(); err != nil {
			return err
		}
	}
	if p.run.opt.Metrics != nil {
		if p.adminAddr, err = freeport.Address(); err != nil {
			return err
		}
	}
	p.record = records
	if p.run.script.Limits != nil {
		p.limits = *p.run.script.Limits
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		if p.addr, err = freeport.Address(); err != nil {
			return err
		}
		if err = p.start(ctx); err == nil || attempt == portAttempts || ctx.Err() != nil {
			return err
		}
	}
}

// writeSettings writes the operators' settings file of the pooler.
func (p *pooler) writeSettings() error {
	queue, peers := "", ""
	if p.run.script.Queue > 0 {
		queue = fmt.Sprintf(" (queue %d)", p.run.script.Queue)
	}
	if f := p.run.peers; f != nil {
		peers = f.settings(p.index)
		if p.limits.Enabled {
			peers += p.limits.String()
		}
	}
	extra := p.run.opt.Operators
	if p.operatorsOverride != nil {
		extra = *p.operatorsOverride
	}
	shared, err := p.sharedSettings()
	if err != nil {
		return err
	}
	operators := invariantSettings + shared + peers + fmt.Sprintf("(record (on) (dir %q) (pack %v)%s)\n", p.record, p.run.script.Pack, queue) + p.run.operators + p.run.script.OperatorSettings(p.clickhouseAddr) + strings.ReplaceAll(extra, "$POOLER", p.name)
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
	earlier, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	daemon, byzantineMode := p.run.opt.Daemon, p.run.opt.ByzantineModes[p.index]
	if byzantineMode != "" {
		daemon = p.run.opt.ByzantineDaemon
	}
	cmd := exec.Command(daemon, "--settings", p.file("operators.sexp"), "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.file("config.json"), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "LIE="+byzantineMode)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	deadline := time.Now().Add(readyWait)
	for {
		if p.hasServed(earlier) && clients.Ready(p.addr) == nil {
			return nil
		}
		select {
		case err := <-done:
			done <- err
			return fmt.Errorf("%s exited before it was ready (%v); see %s", p.name, err, p.file("log.txt"))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s was not ready within %s; see %s", p.name, readyWait, p.file("log.txt"))
		}
	}
}

// hasServed reports whether the process has logged, beyond the given offset, that it serves clients. Without that, another process may answer at
// its address, which was free when it was chosen.
func (p *pooler) hasServed(offset int64) bool {
	text, err := os.ReadFile(p.file("log.txt"))
	return err == nil && bytes.Contains(text[min(offset, int64(len(text))):], []byte(`msg="serving clients"`))
}

// stop signals the process and waits until it has ended; it kills the process after stopWait.
func (p *pooler) stop(sig syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	if p.run.traffic != nil { // nil in a measurement without checked traffic
		p.run.traffic.faultChanged(p.run.clk.Now(), 0)
	}
	if f := p.run.peers; f != nil && sig == syscall.SIGKILL {
		f.ended(p.index, false)
	} else if f != nil { // a pooler that shuts down gracefully goes on until it has answered all requests
		defer f.ended(p.index, true)
	}
	select {
	case <-done:
	case <-time.After(stopWait):
		_ = cmd.Process.Kill()
		<-done
	}
}

// config returns the configuration that the platform would give the pooler.
func (p *pooler) config() map[string]any {
	r := p.run
	known := r.fleet.ListAt(p.index)
	if len(r.agents) > 0 { // with Consul, the pooler starts without a known list
		known = discovery.List{}
	}
	config := r.script.PoolerSettings(p.index, p.name, p.addr, r.fleet.DiscoveryAt(p.index), r.opt.Seed^uint64(p.index+1)<<32, r.sockets, known)
	if p.adminAddr != "" {
		config["control"] = p.adminAddr
	}
	return config
}
