package sizes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/freeport"
	"beechgrade/internal/testkit/scenario"
)

const (
	clientConnections = 24 // each sends one request at a time
	readyWait         = 10 * time.Second
	sampleEvery       = 100 * time.Millisecond
	stopWait          = 15 * time.Second
	maxDescriptors    = 8192
	writeShare        = 0.2
)

// Needs are the resources that a pooler used, and the requests that it was sent.
type Needs struct {
	Servers     int     `json:"servers"`
	CPU         float64 `json:"cpu_seconds"`
	MemoryMB    float64 `json:"peak_memory_mb"`
	Descriptors int     `json:"descriptors"`
	Connections int64   `json:"connections"`
	ListBytes   int64   `json:"list_bytes"`
	Asked       int64   `json:"asked"`
	Served      int64   `json:"served"`
}

// Share returns the share of the requests that was served.
func (needs *Needs) Share() float64 { return float64(needs.Served) / max(1, float64(needs.Asked)) }

// Options configures a measurement.
type Options struct {
	Daemon  string  // path of the daemon's program
	Folder  string  // for the daemon's files
	Rate    float64 // requests per second
	Seconds float64
}

// Measure runs one daemon in front of the given number of fake servers.
func Measure(ctx context.Context, servers int, options Options) (*Needs, error) {
	fleet, err := newFakeFleet(servers)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	daemon, err := startDaemon(fleet, servers, options)
	if err != nil {
		return nil, err
	}
	needs := &Needs{Servers: servers}
	sampled := make(chan int)
	stop := make(chan struct{})
	go func() { sampled <- peakDescriptors(daemon.command.Process.Pid, stop) }()
	end := time.Now().Add(time.Duration(options.Seconds * float64(time.Second)))
	go fleet.changeUntil(end)
	generateLoad(ctx, daemon.address, fleet.groups(), options.Rate, end, needs)
	close(stop)
	needs.Descriptors = <-sampled
	if err := daemon.stop(); err != nil {
		return nil, err
	}
	usage := daemon.command.ProcessState.SysUsage().(*syscall.Rusage)
	needs.CPU = seconds(usage.Utime) + seconds(usage.Stime)
	needs.MemoryMB = float64(usage.Maxrss) / 1024
	needs.Connections, needs.ListBytes = fleet.connections.Load(), fleet.listBytes.Load()
	return needs, nil
}

func seconds(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }

func (s *fakeFleet) groups() int { return (len(s.listeners) + groupSize - 1) / groupSize }

// process is a running daemon.
type process struct {
	command *exec.Cmd
	address string
	ended   chan error
}

// startDaemon starts a daemon and waits until it is ready.
func startDaemon(fleet *fakeFleet, servers int, options Options) (*process, error) {
	script, err := scenario.Parse("sizes", []byte(`(rehearsal "sizes" (seconds 30) (poolers 1) (groups 3))`))
	if err != nil {
		return nil, err
	}
	address, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	reported, err := json.Marshal(script.PoolerSettings(0, "sizes", address, fleet.address, 1, maxDescriptors, fleet.known()))
	if err != nil {
		return nil, err
	}
	config, settings := filepath.Join(options.Folder, fmt.Sprintf("config-%d.json", servers)), filepath.Join(options.Folder, "operators.sexp")
	if err := os.WriteFile(config, reported, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(settings, nil, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(options.Folder, fmt.Sprintf("log-%d.txt", servers)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &process{command: exec.Command(options.Daemon, "--settings", settings, "serve"), address: address, ended: make(chan error, 1)}
	p.command.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { p.ended <- p.command.Wait() }()
	for end := time.Now().Add(readyWait); clients.Ready(address) != nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			_ = p.command.Process.Kill()
			return nil, fmt.Errorf("daemon was not ready within %v: see %s", readyWait, log.Name())
		}
	}
	return p, nil
}

func (p *process) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.ended:
		return err
	case <-time.After(stopWait):
		_ = p.command.Process.Kill()
		return fmt.Errorf("daemon did not exit within %v of SIGTERM and was killed", stopWait)
	}
}

// peakDescriptors samples the number of open descriptors of a process until stop is closed, and returns the largest.
func peakDescriptors(pid int, stop <-chan struct{}) (most int) {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			most = max(most, len(entries))
		}
		select {
		case <-stop:
			return most
		case <-time.After(sampleEvery):
		}
	}
}

// generateLoad sends requests at a rate per second, spread over all groups, and counts them in needs.
func generateLoad(ctx context.Context, address string, groups int, rate float64, end time.Time, needs *Needs) {
	var asked, served atomic.Int64
	var all sync.WaitGroup
	pause := time.Duration(float64(clientConnections) / rate * float64(time.Second))
	for n := range clientConnections {
		all.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			var conn *clients.Conn
			time.Sleep(time.Duration(random.Float64() * float64(pause)))
			for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pause) {
				asked.Add(1)
				if conn == nil {
					conn, _ = clients.Dial(address)
				}
				if conn == nil {
					continue
				}
				answer, err := conn.Query(statement(random, groups), 3*time.Second)
				if err != nil {
					_ = conn.Close()
					conn = nil
					continue
				}
				if answer.Code == "" {
					served.Add(1)
				}
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	all.Wait()
	needs.Asked, needs.Served = asked.Load(), served.Load()
}

// statement returns a random read or write for a random group.
func statement(random *rand.Rand, groups int) string {
	group, id := random.IntN(groups), random.Uint64()
	if random.Float64() < writeShare {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('k', '\x00') RETURNING content /* id=%x,c=registrar-ponto,d=2000,cluster=%d */`, id, group)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%x,c=quadro-obra,d=800,cluster=%d */", id, group)
}
