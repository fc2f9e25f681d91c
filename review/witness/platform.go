package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is an entry of the server list.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Role        string  `json:"role,omitempty"`
}

type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is the platform's discovery service.
type discovery struct {
	mu      sync.Mutex
	current list
	changed chan struct{}
}

// listenDiscovery starts discovery with a list.
func listenDiscovery(instances []instance) (address string, d *discovery, err error) {
	d = &discovery{current: list{Generation: 1, Reset: true, Instances: instances}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serve)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), d, nil
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	for {
		d.mu.Lock()
		b, changed := mustJSON(d.current), d.changed
		d.mu.Unlock()
		_, _ = w.Write(append(b, '\n'))
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for waiting := true; waiting; {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				_, _ = io.WriteString(w, "\n")
			}
		}
	}
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// configuration returns a pooler's configuration: settings of a small deployment.
func configuration(name, listen, discovery string, servers []instance) []byte {
	classes := []map[string]any{
		{"name": "quadro-obra", "effect": "retryable", "slo_ns": 200000000, "deadline_ns": 800000000, "points": 1, "late_worth": 0},
		{"name": "conferir-ponto", "effect": "retryable", "slo_ns": 500000000, "deadline_ns": 2000000000, "points": 2, "late_worth": 0},
		{"name": "relatorio-mes", "effect": "retryable", "slo_ns": 500000000, "deadline_ns": 1200000000, "points": 1, "late_worth": 0},
		{"name": "registrar-ponto", "effect": "fragile", "slo_ns": 250000000, "deadline_ns": 2000000000, "points": 3, "late_worth": 0.3},
	}
	return mustJSON(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  list{Generation: 1, Reset: true, Instances: servers},
		"settings": map[string]any{
			"siblings": 1, "slot_no": 0, "tick_ns": 2000000, "my_zone": 0, "zones": []string{"sala-recife"},
			"kinds": []string{"padrao-4"}, "weights": "rough", "membership_mode": "ask",
			"allowed": map[string]any{"connect_timeout_ns": 250000000, "idle_close_ns": 30000000000, "max_attempts": 8,
				"max_retry_after_ns": 2000000000, "may_cancel": true, "may_duplicate": true, "probes": true, "retry_after": false},
			"family_info": map[string]any{"class_read": []string{"lag_bound", "causal", "eventual", "mutate"},
				"staleness_bound_ns": []int{200000000, 0, 0, 0}, "shows_role": "trailing", "tells_position": true, "tokens": "brought",
				"when_behind": "none"},
			"invariants": map[string]any{"cold_from": 0.15, "cold_ns": 18000000000, "drain_grace_ns": 250000000, "fall_multiple": 2.5,
				"tip_after_ns": 1500000000, "ask_every_ns": 10000000000, "answer_slack_ns": 8000000},
			"prices": map[string]any{"probe": 0.018}, "telemetry": map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": classes,
		},
	})
}

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// process is a process of the project's own programs.
type process struct {
	cmd    *exec.Cmd
	name   string
	log    string
	ended  chan struct{}
	result error
}

// pooler is a pooler's process, with what it was started with.
type pooler struct {
	*process
	platform, pooling string // addresses
	config, settings  string // files
	tmp               string
}

// startPooler starts a pooler as the deploy file does, with the operators' settings of the case.
func (s *scene) startPooler(name, settings, discovery string, servers []instance) (*pooler, error) {
	p := &pooler{config: filepath.Join(s.dir, name+".json"), settings: filepath.Join(s.dir, name+".sexp"), tmp: filepath.Join(s.dir, name+".tmp")}
	var err error
	if p.platform, err = freeAddress(); err != nil {
		return nil, err
	}
	if p.pooling, err = freeAddress(); err != nil {
		return nil, err
	}
	settings = strings.ReplaceAll(settings, "POOLING", p.pooling)
	settings = strings.ReplaceAll(settings, "DIR", s.dir)
	if err := os.WriteFile(p.config, configuration(name, p.platform, discovery, servers), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(p.tmp, 0o700); err != nil {
		return nil, err
	}
	return p, s.restart(p, name)
}

// restart starts the process of a pooler, which must not run.
func (s *scene) restart(p *pooler, name string) error {
	env := append(os.Environ(), "EDGE_CONFIG="+p.config, "TMPDIR="+p.tmp)
	var err error
	if p.process, err = s.start(name, env, "bin/beechgrade", "--settings", p.settings, "serve"); err != nil {
		return err
	}
	ready := until(30*time.Second, func() bool { return p.hasEnded() || accepts(p.platform) && accepts(p.pooling) })
	if !ready || p.hasEnded() {
		return fmt.Errorf("%s is not ready; its log: %s", name, p.readLog())
	}
	s.note("%s serves", name)
	return nil
}

func accepts(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (s *scene) start(name string, env []string, command string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(command, args...), name: name, log: filepath.Join(s.dir, name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd.Env = env
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.result = p.cmd.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) readLog() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

func (s *scene) stopAll() {
	s.mu.Lock()
	processes := slices.Clone(s.processes)
	s.mu.Unlock()
	for _, p := range processes {
		if !p.hasEnded() {
			p.kill()
		}
	}
}
