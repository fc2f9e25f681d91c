// Package consulserver fakes Consul agents on loopback: a catalogue of services that changes, and agents that serve the
// catalogue and health APIs from it, with blocking queries. A Fault makes an agent answer wrongly.
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

// Fault describes how an agent answers wrongly. The zero value is no fault.
type Fault struct {
	Status        int           // HTTP status in place of 200, 0 for none
	RetryAfter    int           // seconds, sent with Status
	Hang          bool          // queries are never answered
	Truncated     bool          // the connection closes in the middle of the list
	Empty         bool          // an empty list, with 200
	OversizeBytes int64         // size of an oversized list, which is never completed; 0 for none
	Garbage       bool          // an HTML body in place of JSON
	Leaderless    bool          // X-Consul-KnownLeader is false
	LastContact   time.Duration // sent as X-Consul-LastContact
	Frozen        bool          // answers come from the catalogue as of the time the fault was set
	NoIndex       bool          // X-Consul-Index is missing
}

// Agent is one agent. It is safe for concurrent use.
type Agent struct {
	Address string

	catalog *Catalog
	server  *http.Server

	mu            sync.Mutex
	fault         Fault
	frozen        map[string][]Instance
	frozenIndexes map[string]uint64
	requiredToken string        // token that queries must carry, empty for none
	changed       chan struct{} // closed when the fault changes
	queries       int
	paths         []string
}

// Start starts an agent that serves a catalogue.
func Start(c *Catalog) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("consul agent: listen on loopback: %w", err)
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

// Stop closes the agent's listener and its connections.
func (a *Agent) Stop() { _ = a.server.Close() }

// SetFault replaces the fault. Queries that are held back are evaluated again under the new fault.
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

// RequireToken makes the agent answer 403 to queries without this token.
func (a *Agent) RequireToken(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requiredToken = token
}

// Queries returns the number of queries so far, and the paths of the last 50 of them.
func (a *Agent) Queries() (int, []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, slices.Clone(a.paths)
}

const (
	maxPaths    = 50
	defaultWait = 5 * time.Minute // of a blocking query
	maxWait     = 10 * time.Minute
	fillerBytes = 1 << 16
)

// answerState holds what an answer is built from, and the channels that signal a change of it.
type answerState struct {
	fault          Fault
	token          string
	instances      []Instance
	index          uint64
	faultChanged   <-chan struct{}
	catalogChanged <-chan struct{} // nil for never
}

func (a *Agent) state(service string) answerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := answerState{fault: a.fault, token: a.requiredToken, faultChanged: a.changed}
	state.instances, state.index, state.catalogChanged = a.catalog.read(service)
	if a.fault.Frozen {
		state.instances, state.index, state.catalogChanged = a.frozen[service], max(1, a.frozenIndexes[service]), nil
	}
	return state
}

// isBlocking reports whether a query with this index is held back until the catalogue changes.
func (s *answerState) isBlocking(knownIndex uint64) bool {
	hasList := !s.fault.Empty && !s.fault.Truncated && !s.fault.Garbage && s.fault.OversizeBytes == 0
	return hasList && knownIndex > 0 && s.index == knownIndex
}

func (a *Agent) countQuery(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries++
	a.paths = append(a.paths[max(0, len(a.paths)-maxPaths+1):], r.URL.RequestURI())
}

// queryWait returns the time for which a query may be held back.
func queryWait(r *http.Request) time.Duration {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 || wait > maxWait {
		return defaultWait
	}
	return wait
}

// handle answers a query at once, or at the next change or the end of its wait.
func (a *Agent) handle(w http.ResponseWriter, r *http.Request, encode func(*Instance) any) {
	knownIndex, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64) // 0 if the query has no index
	end := time.NewTimer(queryWait(r))
	defer end.Stop()
	a.countQuery(r)
	for {
		state := a.state(r.PathValue("name"))
		if state.fault.Hang {
			select {
			case <-state.faultChanged:
				continue
			case <-r.Context().Done():
				return
			}
		}
		if state.reject(w, r) {
			return
		}
		if state.isBlocking(knownIndex) {
			select {
			case <-state.catalogChanged:
				continue
			case <-state.faultChanged:
				continue
			case <-end.C:
			case <-r.Context().Done():
				return
			}
		}
		state.respond(w, encode)
		return
	}
}

// reject answers a query with an error if its token is wrong or the fault has a status, and reports whether it did.
func (s *answerState) reject(w http.ResponseWriter, r *http.Request) bool {
	if s.token != "" && r.Header.Get("X-Consul-Token") != s.token {
		http.Error(w, "Permission denied: token lacks permission 'service:read'", http.StatusForbidden)
		return true
	}
	if s.fault.Status == 0 {
		return false
	}
	if s.fault.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s.fault.RetryAfter))
	}
	http.Error(w, "No cluster leader", s.fault.Status)
	return true
}

// respond writes the list, or the faulty body in its place.
func (s *answerState) respond(w http.ResponseWriter, encode func(*Instance) any) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if !s.fault.NoIndex {
		header.Set("X-Consul-Index", strconv.FormatUint(s.index, 10))
	}
	header.Set("X-Consul-KnownLeader", strconv.FormatBool(!s.fault.Leaderless))
	header.Set("X-Consul-LastContact", strconv.FormatInt(s.fault.LastContact.Milliseconds(), 10))
	encoded := make([]any, 0, len(s.instances))
	if !s.fault.Empty {
		for i := range s.instances {
			encoded = append(encoded, encode(&s.instances[i]))
		}
	}
	body, err := jsoniter.Marshal(encoded)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	case s.fault.Garbage:
		_, _ = io.WriteString(w, "<html>gateway</html>")
	case s.fault.OversizeBytes > 0:
		writeOversize(w, s.fault.OversizeBytes)
	case s.fault.Truncated:
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(body)
	}
}

// writeOversize writes the beginning of a list until at least size bytes are sent.
func writeOversize(w io.Writer, size int64) {
	_, _ = io.WriteString(w, "[")
	filler := []byte(`{"Node":{"Node":"` + strings.Repeat("x", fillerBytes) + `"}},`)
	for written := int64(0); written < size; written += int64(len(filler)) {
		if _, err := w.Write(filler); err != nil {
			return
		}
	}
}
