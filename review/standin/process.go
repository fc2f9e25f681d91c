package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// background is the context of what ends with the process only.
var background = context.Background()

// record is the text file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File // nil once it is closed
	begin time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

// line adds a line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), text)
	}
}

// close closes the file; later lines are dropped.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
	r.file = nil
}

// pooler is a process of the pooler.
type pooler struct {
	cmd     *exec.Cmd
	listen  string
	control string
	exited  chan error
}

// poolerOptions say how a pooler is started.
type poolerOptions struct {
	name      string
	discovery string
	settings  string       // file of the operators' settings; empty for that of the deploy file
	change    func(c tree) // changes the configuration
	listener  *os.File     // the clients' socket, inherited; nil for none
	listen    string       // address of that socket
}

// tree is a JSON object.
type tree = map[string]any

// at returns the object under a key, which it adds if it is missing.
func at(object tree, keys ...string) tree {
	for _, key := range keys {
		next, ok := object[key].(tree)
		if !ok {
			next = tree{}
			object[key] = next
		}
		object = next
	}
	return object
}

// freeAddress returns a loopback address that was free just now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// startPooler starts a pooler with the run command of the deploy file and waits until it is ready. It is ended with the case.
func (e *env) startPooler(o poolerOptions) (*pooler, error) {
	p := &pooler{listen: o.listen, exited: make(chan error, 1)}
	var err error
	if p.listen == "" {
		if p.listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if p.control, err = freeAddress(); err != nil {
		return nil, err
	}
	configFile, err := e.writeConfig(p, o)
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := runPattern.FindSubmatch(deploy)
	if found == nil {
		return nil, fmt.Errorf("no run command in the deploy file")
	}
	command := string(found[1])
	if o.settings != "" {
		command = strings.ReplaceAll(command, "deploy/operators.sexp", o.settings)
	}
	log, err := os.Create(filepath.Join(e.folder, o.name+".log"))
	if err != nil {
		return nil, err
	}
	p.cmd = exec.CommandContext(background, "/bin/sh", "-c", command)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+configFile, "TMPDIR="+e.folder)
	if o.listener != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		p.cmd.ExtraFiles = []*os.File{null, null, o.listener} // the socket is descriptor 5
		p.cmd.Env = append(p.cmd.Env, "EDGE_SOCKET_FD=5")
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.exited <- p.cmd.Wait() }()
	e.started.add(p)
	e.record.line("pooler %s started: %s", o.name, strings.ReplaceAll(command, e.folder, "FOLDER"))
	for range 300 {
		if p.ready() {
			e.record.line("pooler %s is ready", o.name)
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("pooler %s is not ready within 6 s", o.name)
}

// writeConfig writes the pooler's configuration, made from that of the example.
func (e *env) writeConfig(p *pooler, o poolerOptions) (string, error) {
	text, err := os.ReadFile("example/config.json")
	if err != nil {
		return "", err
	}
	c := tree{}
	if err := json.Unmarshal(text, &c); err != nil {
		return "", err
	}
	c["name"], c["listen"], c["control"], c["discovery"] = "n1", p.listen, p.control, o.discovery
	c["seed"] = fmt.Sprintf("%016x", rand.Uint64()) // new with each start
	if o.change != nil {
		o.change(c)
	}
	if text, err = json.MarshalIndent(c, "", "  "); err != nil {
		return "", err
	}
	file := filepath.Join(e.folder, o.name+".json")
	return file, os.WriteFile(file, text, 0o600)
}

// ready asks the admin endpoint whether the pooler can serve.
func (p *pooler) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.control + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// terminate sends SIGTERM.
func (p *pooler) terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// poolers are the processes that a case has started.
type poolers struct {
	mu    sync.Mutex
	all   []*pooler
	ended bool // kill was called
}

func (s *poolers) add(p *pooler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, p)
	if s.ended { // the case goes on after its time is over
		p.kill()
	}
}

// kill ends the processes.
func (s *poolers) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, p := range s.all {
		p.kill()
	}
}

// kill ends the process, and waits until it has ended.
func (p *pooler) kill() {
	_ = p.cmd.Process.Kill()
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
	}
}
