package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/testkit/model"
)

// process is one of several processes of a daemon that listen on a socket which the test holds.
type process struct {
	*exec.Cmd
	log   string
	ended chan error
}

// logText returns the process's log.
func (p *process) logText() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// startOnSocket starts another process on the socket and waits until it serves.
func (d *standaloneDaemon) startOnSocket(socket *os.File, operators string, no int) *process {
	d.t.Helper()
	if err := os.WriteFile(d.file("operators.sexp"), []byte("(invariants (every 20))\n"+operators), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(daemon, "--settings", d.file("operators.sexp"), "serve"), log: d.file(fmt.Sprint("log-", no)), ended: make(chan error, 1)}
	out, err := os.Create(p.log)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	p.Env = append(os.Environ(), "EDGE_CONFIG="+d.file("config.json"), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_SOCKET_FD=3", "TMPDIR=")
	p.ExtraFiles, p.Stdout, p.Stderr = []*os.File{socket}, out, out
	if err := p.Start(); err != nil {
		d.t.Fatalf("start process %d: %v", no, err)
	}
	d.t.Cleanup(func() { _ = p.Process.Kill() })
	go func() { p.ended <- p.Wait() }()
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(p.logText(), "now=ready"); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.ended:
			d.t.Fatalf("process %d ended: %v\n%s", no, err, p.logText())
		default:
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("process %d does not serve within 20 s:\n%s", no, p.logText())
		}
	}
	return p
}

// TestSessionsDuringUpgrade guards against stale reads in an upgrade: replicas lag far behind, and under load one process replaces another
// on the same socket, twice. Both processes serve each session, alternately and at once. No session may read less than its last answered
// write, during the overlap and after it, as its client counts.
func TestSessionsDuringUpgrade(t *testing.T) {
	for _, mode := range []string{"before", "alongside"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			settings := func(d *standaloneDaemon) string {
				return fmt.Sprintf("(sessions (dir %q) (mode %s))", d.file("sessions"), mode)
			}
			stale, checked, writes, last := sessionsUpgraded(t, settings)
			t.Logf("%d writes, %d reads, %d of them stale", writes, checked, stale)
			if checked < 30 || writes < 50 || stale > 0 {
				t.Errorf("%d reads of %d were stale; %d writes; want 0 of at least 30, and at least 50 writes", stale, checked, writes)
			}
			if logText := last.logText(); !strings.Contains(logText, "merged the commits of another process that has ended") || strings.Contains(logText, "invariant broken") {
				t.Errorf("log of the last process: want merged commits of an ended process, and no broken invariant, in\n%s", logText)
			}
		})
	}
}

func sessionsUpgraded(t *testing.T, settings func(d *standaloneDaemon) string) (stale, checked, writes int, last *process) {
	const sessions, lag = 8, 60
	instance := newStandaloneDaemon(t, sessionsScript)
	instance.config["settings"].(map[string]any)["family_info"].(map[string]any)["tokens"] = "kept"
	instance.writeConfig()
	if err := instance.fleet.Update(func(w *model.World) error {
		for _, s := range w.Servers {
			if err := w.SlowReplication(s.Name, lag); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatalf("slow the replication of all servers: %v", err)
	}
	l, err := net.Listen("tcp", instance.addr)
	if err != nil {
		t.Fatalf("listen on the daemon's address: %v", err)
	}
	defer func() { _ = l.Close() }()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatalf("get the file of the listening socket: %v", err)
	}
	defer func() { _ = socket.Close() }()
	operators := settings(instance)
	current := instance.startOnSocket(socket, operators, 0)
	t.Cleanup(func() {
		if t.Failed() {
			for n := range 3 {
				b, _ := os.ReadFile(instance.file(fmt.Sprint("log-", n)))
				t.Logf("log %d:\n%s", n, b)
			}
		}
	})
	var mu sync.Mutex
	no := 0
	quit := make(chan struct{})
	var wg sync.WaitGroup
	for s := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(uint64(s), 1))
			var open [2]*pgconn.PgConn // each is to whichever process accepted it
			answered, asked := 0, 0
			for {
				select {
				case <-quit:
					return
				default:
				}
				time.Sleep(4 * time.Millisecond)
				mu.Lock()
				no += 2
				id := no
				mu.Unlock()
				i := rng.IntN(2)
				if open[i] == nil || rng.IntN(4) == 0 {
					if c, err := instance.connect(); err == nil {
						open[i] = c
					} else {
						continue
					}
				}
				key := fmt.Sprint("s", s)
				asked++
				if _, err := query(open[i], writeStatement(key, "registrar-ponto", fmt.Sprint("q", id), fmt.Sprint(asked))); err != nil {
					open[i] = nil
					continue
				}
				answered = asked
				mu.Lock()
				writes++
				mu.Unlock()
				if i = 1 - i; open[i] == nil {
					continue
				}
				v, err := query(open[i], readStatement(key, "conferir-ponto", fmt.Sprint("q", id+1)))
				if err != nil {
					open[i] = nil
					continue
				}
				n, _ := strconv.Atoi(v)
				mu.Lock()
				checked++
				if n < answered {
					stale++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(400 * time.Millisecond)
	for n := range 2 {
		next := instance.startOnSocket(socket, operators, n+1)
		time.Sleep(900 * time.Millisecond) // both serve
		_ = current.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-current.ended:
			if err != nil {
				t.Errorf("process %d: got error %v at its end, want none\n%s", n, err, current.logText())
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("process %d does not end within 20 s of SIGTERM: %s", n, current.logText())
		}
		current = next
	}
	time.Sleep(600 * time.Millisecond)
	close(quit)
	wg.Wait()
	return stale, checked, writes, current
}
