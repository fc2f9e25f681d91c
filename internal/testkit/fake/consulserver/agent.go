// Package consulserver is a stand-in for Consul agents on loopback: a catalogue of services that changes, and agents that answer
// the catalogue and health API from it with blocking queries, or lie about it as they are told to.
package consulserver

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Instance is a service's instance as it is registered.
type Instance struct {
	ID, Service string
	Node        string
	Address     string
	Port        int
	Tags        []string
	Meta        map[string]string
	Status      string // passing, warning or critical; passing where empty
	Maintenance bool   // of the service
	NodeDown    bool   // maintenance of its node
	Weight      int
}

// Catalog is what the servers behind the agents agree on.
type Catalog struct {
	mu       sync.Mutex
	services map[string]map[string]Instance
	index    map[string]uint64
	last     uint64
	wake     chan struct{} // closed at each change
}

// NewCatalog makes an empty catalogue.
func NewCatalog() *Catalog {
	return &Catalog{services: map[string]map[string]Instance{}, index: map[string]uint64{}, last: 10, wake: make(chan struct{})}
}

// Change has the catalogue changed: instances are registered, anew where they were, and ids deregistered.
func (c *Catalog) Change(service string, put []Instance, drop ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.services[service]
	if m == nil {
		m = map[string]Instance{}
		c.services[service] = m
	}
	for _, x := range put {
		x.Service = service
		m[x.ID] = x
	}
	for _, id := range drop {
		delete(m, id)
	}
	c.last++
	c.index[service] = c.last
	close(c.wake)
	c.wake = make(chan struct{})
}

// Reset has the index begin anew, as after a restore.
func (c *Catalog) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = 1
	for s := range c.index {
		c.last++
		c.index[s] = c.last
	}
	close(c.wake)
	c.wake = make(chan struct{})
}

func (c *Catalog) read(service string) (list []Instance, index uint64, wake chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.services[service])) {
		list = append(list, c.services[service][id])
	}
	return list, max(1, c.index[service]), c.wake
}

// Lie is how an agent answers otherwise than it should. The zero value is the truth.
type Lie struct {
	Status     int           // in place of 200
	RetryAfter int           // seconds, with Status
	Hang       bool          // it takes queries and answers none
	Cut        bool          // it ends in the midst of its list
	Empty      bool          // an empty list, with 200
	Huge       int64         // so many bytes of list
	Garbage    bool          // no JSON
	Leaderless bool          // it says that it knows no leader
	Contact    time.Duration // since its server heard of its leader
	Frozen     bool          // what it knew when this began
	NoIndex    bool
}

// Agent is one agent.
type Agent struct {
	Addr string

	catalog *Catalog
	server  *http.Server

	mu      sync.Mutex
	lie     Lie
	frozen  map[string][]Instance
	indexes map[string]uint64
	token   string // that queries must carry, empty for any
	changed chan struct{}
	queries int
	paths   []string
}

// Start starts an agent before a catalogue.
func Start(c *Catalog) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{Addr: l.Addr().String(), catalog: c, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", func(w http.ResponseWriter, r *http.Request) { a.answer(w, r, healthOf) })
	mux.HandleFunc("GET /v1/catalog/service/{name}", func(w http.ResponseWriter, r *http.Request) { a.answer(w, r, catalogOf) })
	mux.HandleFunc("GET /v1/status/leader", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `"127.0.0.1:8300"`) })
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Stop ends the agent and its connections.
func (a *Agent) Stop() { _ = a.server.Close() }

// Tell has the agent lie from now on; queries that wait are answered.
func (a *Agent) Tell(l Lie) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Frozen && !a.lie.Frozen {
		a.frozen, a.indexes = map[string][]Instance{}, map[string]uint64{}
		a.catalog.mu.Lock()
		names := slices.Collect(maps.Keys(a.catalog.services))
		a.catalog.mu.Unlock()
		for _, n := range names {
			a.frozen[n], a.indexes[n], _ = a.catalog.read(n)
		}
	}
	a.lie = l
	close(a.changed)
	a.changed = make(chan struct{})
}

// Need has the agent answer 403 to queries without this token.
func (a *Agent) Need(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.token = token
}

// Queries is how many it was asked, and what the last ones were.
func (a *Agent) Queries() (int, []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, slices.Clone(a.paths)
}

const keptPaths = 50

func (a *Agent) answer(w http.ResponseWriter, r *http.Request, form func(*Instance) any) {
	q := r.URL.Query()
	name := r.PathValue("name")
	from, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait <= 0 || wait > 10*time.Minute {
		wait = 5 * time.Minute
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	a.mu.Lock()
	a.queries++
	a.paths = append(a.paths[max(0, len(a.paths)-keptPaths+1):], r.URL.RequestURI())
	a.mu.Unlock()
	for {
		a.mu.Lock()
		lie, token, changed := a.lie, a.token, a.changed
		list, index, wake := a.catalog.read(name)
		if lie.Frozen {
			list, index, wake = a.frozen[name], max(1, a.indexes[name]), nil
		}
		a.mu.Unlock()
		switch {
		case lie.Hang:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case token != "" && r.Header.Get("X-Consul-Token") != token:
			http.Error(w, "Permission denied: token lacks permission 'service:read'", http.StatusForbidden)
			return
		case lie.Status != 0:
			if lie.RetryAfter > 0 {
				w.Header().Set("Retry-After", strconv.Itoa(lie.RetryAfter))
			}
			http.Error(w, "No cluster leader", lie.Status)
			return
		}
		plain := !lie.Empty && !lie.Cut && !lie.Garbage && lie.Huge == 0
		if from > 0 && index == from && plain {
			select {
			case <-wake:
				continue
			case <-changed:
				continue
			case <-end.C:
			case <-r.Context().Done():
				return
			}
		}
		a.write(w, list, index, lie, form)
		return
	}
}

func (a *Agent) write(w http.ResponseWriter, list []Instance, index uint64, lie Lie, form func(*Instance) any) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if !lie.NoIndex {
		h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(!lie.Leaderless))
	h.Set("X-Consul-LastContact", strconv.FormatInt(lie.Contact.Milliseconds(), 10))
	if lie.Empty {
		list = nil
	}
	out := make([]any, 0, len(list))
	for i := range list {
		out = append(out, form(&list[i]))
	}
	b, err := jsoniter.Marshal(out)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case lie.Garbage:
		_, _ = io.WriteString(w, "<html>gateway</html>")
	case lie.Huge > 0:
		_, _ = io.WriteString(w, "[")
		filler := []byte(`{"Node":{"Node":"` + strings.Repeat("x", 1<<16) + `"}},`)
		for n := int64(0); n < lie.Huge; n += int64(len(filler)) {
			if _, err := w.Write(filler); err != nil {
				return
			}
		}
	case lie.Cut:
		h.Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = w.Write(b[:len(b)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(b)
	}
}

type object = map[string]any

func healthOf(x *Instance) any {
	status := x.Status
	if status == "" {
		status = "passing"
	}
	checks := []object{{"Node": x.Node, "CheckID": "serfHealth", "Status": "passing"},
		{"Node": x.Node, "CheckID": "service:" + x.ID, "Status": status, "ServiceID": x.ID, "ServiceName": x.Service}}
	if x.Maintenance {
		checks = append(checks, object{"Node": x.Node, "CheckID": "_service_maintenance:" + x.ID, "Status": "critical", "ServiceID": x.ID})
	}
	if x.NodeDown {
		checks = append(checks, object{"Node": x.Node, "CheckID": "_node_maintenance", "Status": "critical"})
	}
	return object{
		"Node":    object{"ID": "", "Node": x.Node, "Address": x.Address, "Datacenter": "dc1", "Meta": object{}},
		"Service": object{"ID": x.ID, "Service": x.Service, "Tags": x.Tags, "Address": x.Address, "Port": x.Port, "Meta": x.Meta, "Weights": object{"Passing": max(1, x.Weight), "Warning": 1}},
		"Checks":  checks}
}

func catalogOf(x *Instance) any {
	return object{"Node": x.Node, "Address": x.Address, "Datacenter": "dc1", "NodeMeta": object{}, "ServiceID": x.ID, "ServiceName": x.Service, "ServiceAddress": x.Address,
		"ServicePort": x.Port, "ServiceTags": x.Tags, "ServiceMeta": x.Meta, "ServiceWeights": object{"Passing": max(1, x.Weight), "Warning": 1}}
}
