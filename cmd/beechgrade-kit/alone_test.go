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

// standaloneDaemon is one daemon that a test starts and kills, with simulated servers and simulated discovery.
type standaloneDaemon struct {
	t      testing.TB
	dir    string
	addr   string
	fleet  *database.Fleet
	config map[string]any
	cmd    *exec.Cmd
}

// newStandaloneDaemon starts the servers of a script and writes a configuration for it. The configuration has no endpoint list, so the
// daemon has none when it starts.
func newStandaloneDaemon(t testing.TB, script string) *standaloneDaemon {
	t.Helper()
	s, err := scenario.Parse("alone", []byte(script))
	if err != nil {
		t.Fatalf("parse the scenario: %v", err)
	}
	s.Fleet.Seed, s.Fleet.MaxConnections = 5, 2000
	d := &standaloneDaemon{t: t, dir: t.TempDir(), fleet: database.New(s.Fleet, clock.System(), slog.New(slog.DiscardHandler))}
	if err := d.fleet.Start(); err != nil {
		t.Fatalf("start the simulated servers: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.addr = l.Addr().String()
	_ = l.Close()
	d.config = s.PoolerSettings(0, "alone", d.addr, d.fleet.Discovery(), 7, 1024, discovery.List{})
	t.Cleanup(func() { d.kill(); d.fleet.Close() })
	d.writeConfig()
	return d
}

// writeConfig writes the daemon's configuration file.
func (d *standaloneDaemon) writeConfig() {
	b, err := json.Marshal(d.config)
	if err == nil {
		err = os.WriteFile(d.file("config.json"), b, 0o600)
	}
	if err != nil {
		d.t.Fatalf("write the daemon's configuration: %v", err)
	}
}

// file returns the path of a file in the daemon's folder.
func (d *standaloneDaemon) file(name string) string { return filepath.Join(d.dir, name) }

// start starts the daemon with these settings and waits until it serves. If it exits first, the error has its log.
func (d *standaloneDaemon) start(operators string) error {
	d.t.Helper()
	if err := os.WriteFile(d.file("operators.sexp"), []byte("(invariants (every 20))\n"+operators), 0o600); err != nil {
		d.t.Fatal(err)
	}
	out, err := os.Create(d.file("log.txt"))
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(daemon, "--settings", d.file("operators.sexp"), "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+d.file("config.json"), "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY=")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		d.t.Fatalf("start the daemon: %v", err)
	}
	d.cmd = cmd
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if clients.Ready(d.addr) == nil {
			return nil
		}
		select {
		case err := <-ended:
			d.cmd = nil
			return fmt.Errorf("%w: %s", err, d.log())
		case <-time.After(10 * time.Millisecond):
		}
	}
	d.t.Fatalf("the daemon does not serve within 20 s: %s", d.log())
	return nil
}

// kill kills the daemon and waits until its port is closed.
func (d *standaloneDaemon) kill() {
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
		for clients.Ready(d.addr) == nil {
			time.Sleep(time.Millisecond)
		}
		d.cmd = nil
	}
}

// log returns the daemon's log since its last start.
func (d *standaloneDaemon) log() string {
	b, _ := os.ReadFile(d.file("log.txt"))
	return string(b)
}

// waitForLog waits until the log contains a text.
func (d *standaloneDaemon) waitForLog(text string) {
	d.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(d.log(), text); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("%q is not in the log within 10 s:\n%s", text, d.log())
		}
	}
}

// connect opens a client connection.
func (d *standaloneDaemon) connect() (*pgconn.PgConn, error) {
	return pgconn.Connect(context.Background(), fmt.Sprintf("postgres://tablet@%s/obra?sslmode=disable", d.addr))
}

// query executes one statement and returns the first value of its answer.
func query(c *pgconn.PgConn, sql string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := c.Exec(ctx, sql).ReadAll()
	if err != nil || len(res) == 0 || len(res[0].Rows) == 0 {
		return "", err
	}
	return string(res[0].Rows[0][0]), nil
}

func readStatement(key, class, id string) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=2000,cluster=0 */", key, id, class)
}

func writeStatement(key, class, id, value string) string {
	return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x%x') RETURNING content /* id=%s,c=%s,d=2000,cluster=0 */`, key, value, id, class)
}
