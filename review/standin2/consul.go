package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	consulService = "ponto"
	longestWait   = 5 * time.Second // of a blocking query
)

// consul is a stand-in of a Consul agent, with one service. Each instance is passing.
type consul struct {
	mu        sync.Mutex
	index     int
	instances map[string]*server // by service id
}

// register changes the instances: removed, then added, as one change.
func (c *consul) register(removed string, added string, s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	delete(c.instances, removed)
	if s != nil {
		c.instances[added] = s
	}
}

// state returns the index and the instances as Consul's health API has them.
func (c *consul) state() (index int, entries []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries = []any{}
	for id, s := range c.instances {
		host, port, _ := net.SplitHostPort(s.listener.Addr().String())
		number, _ := strconv.Atoi(port)
		entries = append(entries, map[string]any{
			"Node": map[string]any{"Node": "node-" + id, "Address": host, "Datacenter": "dc1"},
			"Service": map[string]any{
				"ID": id, "Service": consulService, "Address": host, "Port": number, "Tags": []string{}, "Meta": map[string]string{"group": "0", "role": s.role},
				"Weights": map[string]int{"Passing": 1, "Warning": 1},
			},
			"Checks": []any{map[string]any{"Node": "node-" + id, "CheckID": "service:" + id, "Status": "passing", "ServiceID": id}},
		})
	}
	return c.index, entries
}

// startConsul serves the agent's API, and returns the address.
func (r *run) startConsul(instances map[string]*server) (c *consul, address string, err error) {
	c = &consul{index: 10, instances: instances}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("consul: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/"+consulService, func(w http.ResponseWriter, request *http.Request) {
		known, _ := strconv.Atoi(request.URL.Query().Get("index"))
		index, entries := c.state()
		for began := time.Now(); index == known && time.Since(began) < longestWait; index, entries = c.state() {
			time.Sleep(retryPause)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Consul-Index", strconv.Itoa(index))
		w.Header().Set("X-Consul-KnownLeader", "true")
		w.Header().Set("X-Consul-LastContact", "0")
		_ = json.NewEncoder(w).Encode(entries)
	})
	service := &http.Server{Handler: mux, ReadHeaderTimeout: heartbeat}
	r.atEnd(func() { _ = service.Close() })
	go func() { _ = service.Serve(listener) }()
	return c, listener.Addr().String(), nil
}

const (
	copyAgeMs  = 7000            // of the copy from which a new server starts
	catchUp    = 2               // times as fast as time a new server applies the log
	deadFor    = time.Second     // until the new machine runs
	readsFor   = 4 * time.Second // after it does
	readsPause = 20 * time.Millisecond

	readClients = 8
	readWorkMs  = 30 // of a statement
	warmUpFor   = 1200 * time.Millisecond
	toldWithin  = 600 * time.Millisecond // the pooler has heard of the change by then
)

// replaceCase: a replica's machine is replaced by a new one, which is registered in Consul under an id of its own at the same address.
func replaceCase(r *run) error {
	servers, _, err := r.group(2)
	if err != nil {
		return err
	}
	replaced := servers[2]
	agent, address, err := r.startConsul(map[string]*server{"db-0": servers[0], "db-1": servers[1], "db-2": replaced})
	if err != nil {
		return err
	}
	p := &pooler{run: r, name: "n1", discovery: "127.0.0.1:1", tokens: "brought"}
	p.settings = fmt.Sprintf("(membership (consul (agents %q) (services %q)))\n", address, consulService)
	if err := p.start(); err != nil {
		return err
	}
	for _, s := range servers {
		s.workMs = readWorkMs
	}
	if _, err := r.readAll(p, "relatorio-mes", 0, warmUpFor); err != nil {
		return err
	}
	writer, err := connect(p.listen, "backend", "store")
	if err != nil {
		return err
	}
	defer writer.close()
	insert := `INSERT INTO kv (name, content) VALUES ('ana', '\x61') RETURNING content`
	written, err := r.ask("ana", writer, platformStatement(insert, "write", "registrar-ponto"))
	if err != nil || written.code != "" {
		return fmt.Errorf("the write was not served: %s %w", written, err)
	}
	committed := nowMs() + 1
	if _, err := r.readAll(p, "relatorio-mes", 0, warmUpFor); err != nil {
		return err
	}
	if r.trouble {
		r.note("%s dies", replaced.id)
		replaced.die()
		time.Sleep(deadFor)
		fresh, err := r.replace(replaced)
		if err != nil {
			return err
		}
		agent.register("db-2", "db-3", fresh)
		r.note("db-3 runs at the address of db-2, from a copy that is %d ms old; db-2 is not in Consul any more", copyAgeMs)
	}
	if _, err := r.readAll(p, "relatorio-mes", 0, toldWithin); err != nil {
		return err
	}
	r.note("the reads that count begin: the change in Consul was told %v ago", toldWithin)
	answers, err := r.readAll(p, "conferir-ponto", committed, readsFor)
	if err != nil {
		return err
	}
	r.note("reads served: %d with the write, %d without it: stale", answers["a"], answers[""])
	switch {
	case answers[""] > 0:
		return errBroken
	case answers["a"] == 0:
		return errors.New("no read was served")
	}
	return nil
}

// readAll has several clients read one after the other for a time, and counts their answers.
func (r *run) readAll(p *pooler, class string, after int64, duration time.Duration) (answers map[string]int, err error) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	answers = map[string]int{}
	for i := range readClients {
		clients.Go(func() {
			clientErr := r.readFor(p, fmt.Sprintf("%s%d", class, i), class, after, duration, func(value string) {
				mu.Lock()
				defer mu.Unlock()
				answers[value]++
			})
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, clientErr)
		})
	}
	clients.Wait()
	return answers, err
}

// readFor reads for a time, on one connection.
func (r *run) readFor(p *pooler, who, class string, after int64, duration time.Duration, count func(value string)) error {
	c, err := connect(p.listen, "backend", "store")
	if err != nil {
		return err
	}
	defer c.close()
	for began := time.Now(); time.Since(began) < duration; time.Sleep(readsPause) {
		sql := fmt.Sprintf("SELECT content FROM kv WHERE name = 'ana' /* id=%s-%d,c=%s,d=1500,cluster=0,after=%d */", who, time.Now().UnixNano(), class, after)
		a, err := r.ask(who, c, sql)
		if err != nil {
			return err
		}
		if a.code == "" {
			count(string(a.value))
		}
	}
	return nil
}

// die ends the server's process: its connections are reset, and new ones are refused.
func (s *server) die() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// replace starts a new machine at the address of a server that has died.
func (r *run) replace(old *server) (*server, error) {
	listener, err := net.Listen("tcp", old.listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return r.serveAt(listener, &server{id: "db-3", role: replica, copiedAt: nowMs(), workMs: old.workMs, table: old.table}), nil
}
