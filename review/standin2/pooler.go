package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

const (
	readyWithin = 20 * time.Second
	retryPause  = 20 * time.Millisecond
)

// pooler is a process of the project's pooler.
type pooler struct {
	run             *run
	name            string
	listen, control string
	discovery       string
	tokens          string // family_info.tokens
	settings        string // the operators' settings; empty for those of the deployment
	command         *exec.Cmd
	exited          chan struct{}
}

// freeAddress returns an address of loopback that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// configuration is the pooler's file: the settings of a small deployment.
func (p *pooler) configuration() ([]byte, error) {
	class := func(name, effect string, objectiveMs, deadlineMs, points int, late float64) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "slo_ns": objectiveMs * 1e6, "deadline_ns": deadlineMs * 1e6, "points": points, "late_worth": late,
			"group": "all", "key_ttl_ns": 5e9, "streaming": false,
		}
	}
	b, err := json.Marshal(map[string]any{
		"name": p.name, "listen": p.listen, "discovery": p.discovery, "control": p.control, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"generation": 0, "reset": true, "instances": []any{}},
		"settings": map[string]any{
			"siblings": 1, "slot_no": 0, "tick_ns": 2e6, "my_zone": 0, "zones": []string{"room"}, "kinds": []string{"small"}, "weights": "rough",
			"membership_mode": "ask", "counted_by": "request",
			"allowed": map[string]any{
				"connect_timeout_ns": 250e6, "idle_close_ns": 30e9, "max_attempts": 8, "may_cancel": true, "may_duplicate": true,
				"probes": true, "retry_after": false, "most_held": 20000, "multiplex": 1,
			},
			"clients": map[string]any{"marks_retry": true},
			"family_info": map[string]any{
				"class_read":         []string{"lag_bound", "causal", "eventual", "mutate"},
				"staleness_bound_ns": []int{200e6, 0, 0, 0},
				"shows_role":         "trailing", "tells_position": true, "tokens": p.tokens, "when_behind": "none", "sync": false,
			},
			"invariants": map[string]any{
				"answer_slack_ns": 8e6, "ask_every_ns": 10e9, "cold_from": 0.15, "cold_ns": 18e9, "drain_grace_ns": 250e6, "fall_multiple": 2.5,
				"tip_after_ns": 1.5e9,
			},
			"prices":    map[string]any{"probe": 0.018},
			"telemetry": map[string]any{"source": "probe", "fields": []string{"x0", "x1"}},
			"request_classes": []any{
				class("quadro-obra", "retryable", 200, 800, 1, 0),
				class("conferir-ponto", "retryable", 500, 2000, 2, 0),
				class("relatorio-mes", "retryable", 500, 1200, 1, 0),
				class("registrar-ponto", "fragile", 250, 2000, 3, 0.3),
			},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return b, nil
}

// start starts the process by the deploy file's run command, and waits until it is ready.
func (p *pooler) start() error {
	var err error
	if p.control, err = freeAddress(); err != nil {
		return err
	}
	if p.listen == "" {
		if p.listen, err = freeAddress(); err != nil {
			return err
		}
	}
	text, err := p.configuration()
	if err != nil {
		return err
	}
	path := p.run.path(p.name + ".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	operators := "deploy/operators.sexp"
	if p.settings != "" {
		operators = p.run.path(p.name + ".sexp")
		if err := os.WriteFile(operators, []byte(p.settings), 0o600); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	temporary := p.run.path("tmp") // of all processes of the pooler
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return fmt.Errorf("temporary folder: %w", err)
	}
	log, err := os.Create(p.run.path(p.name + ".log"))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command("/bin/sh", "-c", "exec bin/beechgrade --settings "+operators+" serve")
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also where this process is killed
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), "EDGE_NAME="+p.name, "EDGE_LISTEN="+p.listen, "EDGE_DISCOVERY="+p.discovery, "EDGE_CONFIG="+path,
		"EDGE_CONTROL="+p.control, "TMPDIR="+temporary)
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	p.run.note("starts %s, process %d", p.name, p.command.Process.Pid)
	p.exited = make(chan struct{})
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	p.run.atEnd(p.kill)
	return p.awaitReady()
}

func (p *pooler) awaitReady() error {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(retryPause) {
		answer, err := http.Get("http://" + p.control + "/-/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			p.run.note("%s is ready", p.name)
			return nil
		}
	}
	text, _ := os.ReadFile(p.run.path(p.name + ".log"))
	return fmt.Errorf("%s is not ready in time: %s", p.name, text)
}

// running reports whether the process runs.
func (p *pooler) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (p *pooler) kill() {
	if p.running() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
}
