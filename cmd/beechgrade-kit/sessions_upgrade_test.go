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

// process is one of a daemon's processes on a socket that the test holds.
type process struct {
	*exec.Cmd
	log   string
	ended chan error
}

func (p *process) said() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// onSocket starts one more process on a socket; it serves when this returns.
func (a *alone) onSocket(socket *os.File, operators string, no int) *process {
	a.t.Helper()
	if err := os.WriteFile(a.file("operators.sexp"), []byte("(invariants (every 20))\n"+operators), 0o600); err != nil {
		a.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(daemon, "--settings", a.file("operators.sexp"), "serve"), log: a.file(fmt.Sprint("log-", no)), ended: make(chan error, 1)}
	out, err := os.Create(p.log)
	if err != nil {
		a.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	p.Env = append(os.Environ(), "EDGE_CONFIG="+a.file("config.json"), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=", "EDGE_SOCKET_FD=3", "TMPDIR=")
	p.ExtraFiles, p.Stdout, p.Stderr = []*os.File{socket}, out, out
	if err := p.Start(); err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { _ = p.Process.Kill() })
	go func() { p.ended <- p.Wait() }()
	for until := time.Now().Add(20 * time.Second); !strings.Contains(p.said(), "now=ready"); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.ended:
			a.t.Fatalf("process %d ended: %v\n%s", no, err, p.said())
		default:
		}
		if time.Now().After(until) {
			a.t.Fatalf("process %d does not serve in 20 s:\n%s", no, p.said())
		}
	}
	return p
}

// TestSessionsUpgraded: replicas are far behind, and a process takes the place of another on one socket, twice, under load: each session is
// served by both, in turns and at once, and none reads less than its own last write that was answered, while there are two and after.
// Counted at the clients.
func TestSessionsUpgraded(t *testing.T) {
	for _, mode := range []string{"before", "alongside"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			settings := func(a *alone) string { return fmt.Sprintf("(sessions (dir %q) (mode %s))", a.file("sessions"), mode) }
			stale, checked, writes, last := sessionsUpgraded(t, settings)
			t.Logf("%d writes, %d reads, %d of them stale", writes, checked, stale)
			if checked < 30 || writes < 50 || stale > 0 {
				t.Errorf("%d reads of %d were stale; %d writes", stale, checked, writes)
			}
			if said := last.said(); !strings.Contains(said, "merged the commits of another process that has ended") || strings.Contains(said, "invariant broken") {
				t.Error(said)
			}
		})
	}
}

func sessionsUpgraded(t *testing.T, settings func(a *alone) string) (stale, checked, writes int, last *process) {
	const sessions, lag = 8, 60
	a := newAlone(t, sessionsScript)
	a.told["settings"].(map[string]any)["family_info"].(map[string]any)["tokens"] = "kept"
	a.configure()
	if err := a.fleet.Update(func(w *model.World) error {
		for _, s := range w.Servers {
			if err := w.SlowReplication(s.Name, lag); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	set := settings(a)
	now := a.onSocket(socket, set, 0)
	t.Cleanup(func() {
		if t.Failed() {
			for n := range 3 {
				b, _ := os.ReadFile(a.file(fmt.Sprint("log-", n)))
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
			var open [2]*pgconn.PgConn // to whichever process took them
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
					if c, err := a.client(); err == nil {
						open[i] = c
					} else {
						continue
					}
				}
				key := fmt.Sprint("s", s)
				asked++
				if _, err := ask(open[i], writing(key, "registrar-ponto", fmt.Sprint("q", id), fmt.Sprint(asked))); err != nil {
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
				v, err := ask(open[i], reading(key, "conferir-ponto", fmt.Sprint("q", id+1)))
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
		next := a.onSocket(socket, set, n+1)
		time.Sleep(900 * time.Millisecond) // both serve
		_ = now.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-now.ended:
			if err != nil {
				t.Errorf("process %d: %v\n%s", n, err, now.said())
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("it does not end in 20 s: %s", now.said())
		}
		now = next
	}
	time.Sleep(600 * time.Millisecond)
	close(quit)
	wg.Wait()
	return stale, checked, writes, now
}
