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
	mu        sync.Mutex
	services  map[string]map[string]Instance
	indexes   map[string]uint64
	lastIndex uint64
	changed   chan struct{} // closed at each change
}

// NewCatalog makes an empty catalogue.
func NewCatalog() *Catalog {
	return &Catalog{services: map[string]map[string]Instance{}, indexes: map[string]uint64{}, lastIndex: 10, changed: make(chan struct{})}
}

// Change has the catalogue changed: instances are registered, anew where they were, and ids deregistered.
func (c *Catalog) Change(service string, put []Instance, removed ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	instances := c.services[service]
	if instances == nil {
		instances = map[string]Instance{}
		c.services[service] = instances
	}
	for _, instance := range put {
		instance.Service = service
		instances[instance.ID] = instance
	}
	for _, id := range removed {
		delete(instances, id)
	}
	c.lastIndex++
	c.indexes[service] = c.lastIndex
	close(c.changed)
	c.changed = make(chan struct{})
}

// ResetIndex has the index begin anew, as after a restore.
func (c *Catalog) ResetIndex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastIndex = 1
	for service := range c.indexes {
		c.lastIndex++
		c.indexes[service] = c.lastIndex
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Catalog) read(service string) (list []Instance, index uint64, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.services[service])) {
		list = append(list, c.services[service][id])
	}
	return list, max(1, c.indexes[service]), c.changed
}

// Fault is how an agent answers otherwise than it should. The zero value is the truth.
type Fault struct {
	Status        int           // in place of 200
	RetryAfter    int           // seconds, with Status
	Hang          bool          // it takes queries and answers none
	Truncated     bool          // it ends in the midst of its list
	Empty         bool          // an empty list, with 200
	OversizeBytes int64         // so many bytes of list
	Garbage       bool          // no JSON
	Leaderless    bool          // it says that it knows no leader
	LastContact   time.Duration // since its server heard of its leader
	Frozen        bool          // what it knew when this began
	NoIndex       bool
}

// Agent is one agent.
type Agent struct {
	Address string

	catalog *Catalog
	server  *http.Server

	mu            sync.Mutex
	fault         Fault
	frozen        map[string][]Instance
	frozenIndexes map[string]uint64
	requiredToken string // that queries must carry, empty for any
	changed       chan struct{}
	queries       int
	paths         []string
}

// Start starts an agent before a catalogue.
func Start(c *Catalog) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{Address: l.Addr().String(), catalog: c, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", func(w http.ResponseWriter, r *http.Request) { a.handle(w, r, encodeHealth) })
	mux.HandleFunc("GET /v1/catalog/service/{name}", func(w http.ResponseWriter, r *http.Request) { a.handle(w, r, encodeCatalog) })
	mux.HandleFunc("GET /v1/status/leader", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `"127.0.0.1:8300"`) })
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Stop ends the agent and its connections.
func (a *Agent) Stop() { _ = a.server.Close() }

// SetFault has the agent lie from now on; queries that wait are answered.
func (a *Agent) SetFault(fault Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fault.Frozen && !a.fault.Frozen {
		a.frozen, a.frozenIndexes = map[string][]Instance{}, map[string]uint64{}
		a.catalog.mu.Lock()
		names := slices.Collect(maps.Keys(a.catalog.services))
		a.catalog.mu.Unlock()
		for _, name := range names {
			a.frozen[name], a.frozenIndexes[name], _ = a.catalog.read(name)
		}
	}
	a.fault = fault
	close(a.changed)
	a.changed = make(chan struct{})
}

// RequireToken has the agent answer 403 to queries without this token.
func (a *Agent) RequireToken(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requiredToken = token
}

// Queries is how many it was asked, and what the last ones were.
func (a *Agent) Queries() (int, []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, slices.Clone(a.paths)
}

const maxPaths = 50

func (a *Agent) handle(w http.ResponseWriter, r *http.Request, encode func(*Instance) any) {
	parameters := r.URL.Query()
	name := r.PathValue("name")
	knownIndex, _ := strconv.ParseUint(parameters.Get("index"), 10, 64)
	wait, err := time.ParseDuration(parameters.Get("wait"))
	if err != nil || wait <= 0 || wait > 10*time.Minute {
		wait = 5 * time.Minute
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	a.mu.Lock()
	a.queries++
	a.paths = append(a.paths[max(0, len(a.paths)-maxPaths+1):], r.URL.RequestURI())
	a.mu.Unlock()
	for {
		a.mu.Lock()
		fault, token, changed := a.fault, a.requiredToken, a.changed
		list, index, wake := a.catalog.read(name)
		if fault.Frozen {
			list, index, wake = a.frozen[name], max(1, a.frozenIndexes[name]), nil
		}
		a.mu.Unlock()
		switch {
		case fault.Hang:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case token != "" && r.Header.Get("X-Consul-Token") != token:
			http.Error(w, "Permission denied: token lacks permission 'service:read'", http.StatusForbidden)
			return
		case fault.Status != 0:
			if fault.RetryAfter > 0 {
				w.Header().Set("Retry-After", strconv.Itoa(fault.RetryAfter))
			}
			http.Error(w, "No cluster leader", fault.Status)
			return
		}
		plain := !fault.Empty && !fault.Truncated && !fault.Garbage && fault.OversizeBytes == 0
		if knownIndex > 0 && index == knownIndex && plain {
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
		a.respond(w, list, index, fault, encode)
		return
	}
}

func (a *Agent) respond(w http.ResponseWriter, list []Instance, index uint64, fault Fault, encode func(*Instance) any) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if !fault.NoIndex {
		header.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	header.Set("X-Consul-KnownLeader", strconv.FormatBool(!fault.Leaderless))
	header.Set("X-Consul-LastContact", strconv.FormatInt(fault.LastContact.Milliseconds(), 10))
	if fault.Empty {
		list = nil
	}
	out := make([]any, 0, len(list))
	for i := range list {
		out = append(out, encode(&list[i]))
	}
	body, err := jsoniter.Marshal(out)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case fault.Garbage:
		_, _ = io.WriteString(w, "<html>gateway</html>")
	case fault.OversizeBytes > 0:
		_, _ = io.WriteString(w, "[")
		filler := []byte(`{"Node":{"Node":"` + strings.Repeat("x", 1<<16) + `"}},`)
		for n := int64(0); n < fault.OversizeBytes; n += int64(len(filler)) {
			if _, err := w.Write(filler); err != nil {
				return
			}
		}
	case fault.Truncated:
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(body)
	}
}

type object = map[string]any

func encodeHealth(instance *Instance) any {
	status := instance.Status
	if status == "" {
		status = "passing"
	}
	checks := []object{{"Node": instance.Node, "CheckID": "serfHealth", "Status": "passing"},
		{"Node": instance.Node, "CheckID": "service:" + instance.ID, "Status": status, "ServiceID": instance.ID, "ServiceName": instance.Service}}
	if instance.Maintenance {
		checks = append(checks, object{"Node": instance.Node, "CheckID": "_service_maintenance:" + instance.ID, "Status": "critical", "ServiceID": instance.ID})
	}
	if instance.NodeDown {
		checks = append(checks, object{"Node": instance.Node, "CheckID": "_node_maintenance", "Status": "critical"})
	}
	return object{
		"Node":    object{"ID": "", "Node": instance.Node, "Address": instance.Address, "Datacenter": "dc1", "Meta": object{}},
		"Service": object{"ID": instance.ID, "Service": instance.Service, "Tags": instance.Tags, "Address": instance.Address, "Port": instance.Port, "Meta": instance.Meta, "Weights": object{"Passing": max(1, instance.Weight), "Warning": 1}},
		"Checks":  checks}
}

func encodeCatalog(instance *Instance) any {
	return object{"Node": instance.Node, "Address": instance.Address, "Datacenter": "dc1", "NodeMeta": object{}, "ServiceID": instance.ID, "ServiceName": instance.Service, "ServiceAddress": instance.Address,
		"ServicePort": instance.Port, "ServiceTags": instance.Tags, "ServiceMeta": instance.Meta, "ServiceWeights": object{"Passing": max(1, instance.Weight), "Warning": 1}}
}
