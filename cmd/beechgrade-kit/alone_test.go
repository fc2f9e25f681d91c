package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/clients"
	database "beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/scenario"
)

// alone is one daemon, started and killed by a test, before stand-ins for servers and discovery.
type alone struct {
	t     testing.TB
	dir   string
	addr  string
	fleet *database.Fleet
	told  map[string]any // its configuration
	cmd   *exec.Cmd
}

// newAlone has servers and a configuration of a script; the daemon knows no list at its start.
func newAlone(t testing.TB, script string) *alone {
	t.Helper()
	s, err := scenario.Parse("alone", []byte(script))
	if err != nil {
		t.Fatal(err)
	}
	s.Fleet.Seed, s.Fleet.MaxConnections = 5, 2000
	a := &alone{t: t, dir: t.TempDir(), fleet: database.New(s.Fleet, clock.System(), slog.New(slog.DiscardHandler))}
	if err := a.fleet.Start(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.addr = l.Addr().String()
	_ = l.Close()
	a.told = s.PoolerSettings(0, "alone", a.addr, a.fleet.Discovery(), 7, 1024, discovery.List{})
	t.Cleanup(func() { a.kill(); a.fleet.Close() })
	a.configure()
	return a
}

// configure writes the daemon's configuration.
func (a *alone) configure() {
	b, err := json.Marshal(a.told)
	if err == nil {
		err = os.WriteFile(a.file("config.json"), b, 0o600)
	}
	if err != nil {
		a.t.Fatal(err)
	}
}

func (a *alone) file(name string) string { return filepath.Join(a.dir, name) }

// start starts the daemon with these settings, and tells why it does not serve, where it does not.
func (a *alone) start(operators string) error {
	a.t.Helper()
	if err := os.WriteFile(a.file("operators.sexp"), []byte("(invariants (every 20))\n"+operators), 0o600); err != nil {
		a.t.Fatal(err)
	}
	out, err := os.Create(a.file("log.txt"))
	if err != nil {
		a.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(daemon, "--settings", a.file("operators.sexp"), "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+a.file("config.json"), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		a.t.Fatal(err)
	}
	a.cmd = cmd
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
		if clients.Ready(a.addr) == nil {
			return nil
		}
		select {
		case err := <-ended:
			a.cmd = nil
			return fmt.Errorf("%w: %s", err, a.log())
		case <-time.After(10 * time.Millisecond):
		}
	}
	a.t.Fatalf("it does not serve in 20 s: %s", a.log())
	return nil
}

// kill ends the daemon at once.
func (a *alone) kill() {
	if a.cmd != nil {
		_ = a.cmd.Process.Kill()
		for clients.Ready(a.addr) == nil {
			time.Sleep(time.Millisecond)
		}
		a.cmd = nil
	}
}

// log is what the daemon has logged since its start.
func (a *alone) log() string {
	b, _ := os.ReadFile(a.file("log.txt"))
	return string(b)
}

// logged waits until it has logged that.
func (a *alone) logged(what string) {
	a.t.Helper()
	for until := time.Now().Add(10 * time.Second); !strings.Contains(a.log(), what); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			a.t.Fatalf("%q is not in the log in 10 s:\n%s", what, a.log())
		}
	}
}

// client connects.
func (a *alone) client() (*pgconn.PgConn, error) {
	return pgconn.Connect(context.Background(), fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable", a.addr))
}

// ask puts one statement, and gives the value of its answer.
func ask(c *pgconn.PgConn, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := c.Exec(ctx, sql).ReadAll()
	if err != nil || len(res) == 0 || len(res[0].Rows) == 0 {
		return "", err
	}
	return string(res[0].Rows[0][0]), nil
}

func reading(key, class, id string) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=2000,cluster=0 */", key, id, class)
}

func writing(key, class, id, value string) string {
	return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%x') RETURNING content /* id=%s,c=%s,d=2000,cluster=0 */`, key, value, id, class)
}
