package consul

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"beechgrade/internal/endpoints/reconcile"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/fake/consulserver"
)

const testTimeout = 20 * time.Second

// recordingSink is a sink that records what it receives, and on which a test can wait.
type recordingSink struct {
	mu      sync.Mutex
	list    map[string]reconcile.Observation
	notes   []string
	lost    []string
	changed chan struct{}
}

func (sink *recordingSink) Observe(_ string, report *reconcile.Report) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, observation := range report.Observations {
		sink.list[observation.ID] = observation
	}
	for _, id := range report.Removed {
		delete(sink.list, id)
	}
	sink.signal()
}

func (sink *recordingSink) SourceLost(_, reason string) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.lost = append(sink.lost, reason)
	sink.signal()
}

func (sink *recordingSink) Note(_ string, kind reconcile.DecisionKind, reason string) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.notes = append(sink.notes, string(kind)+": "+reason)
	sink.signal()
}

func (sink *recordingSink) signal() {
	select {
	case sink.changed <- struct{}{}:
	default:
	}
}

// waitUntil waits until ok, called with the lock held, returns true. what describes the condition.
func (sink *recordingSink) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.After(testTimeout); ; {
		sink.mu.Lock()
		satisfied := ok()
		sink.mu.Unlock()
		if satisfied {
			return
		}
		select {
		case <-sink.changed:
		case <-end:
			sink.mu.Lock()
			defer sink.mu.Unlock()
			t.Fatalf("condition not met: %s; list %v, notes %q, lost %q", what, sink.list, sink.notes, sink.lost)
		}
	}
}

func (sink *recordingSink) hasNote(part string) func() bool {
	return func() bool { return strings.Contains(strings.Join(sink.notes, "\n"), part) }
}

// instance returns the i-th instance, a replica. Each group has three.
func instance(i int) consulserver.Instance {
	return consulserver.Instance{
		ID:      fmt.Sprint("db-", i),
		Node:    fmt.Sprint("n", i),
		Address: fmt.Sprint("10.0.0.", i),
		Port:    5432,
		Meta:    map[string]string{"group": fmt.Sprint(i / 3), "role": "replica"},
	}
}

// testSetup is a source that queries fake agents.
type testSetup struct {
	catalog *consulserver.Catalog
	agents  []*consulserver.Agent
	source  *Source
	*recordingSink
}

// startWatch starts agents that serve a catalogue of three instances, and a source that watches it. change may modify the options.
func startWatch(t *testing.T, agents int, change func(*Options)) *testSetup {
	t.Helper()
	sink := &recordingSink{list: map[string]reconcile.Observation{}, changed: make(chan struct{}, 1)}
	s := &testSetup{catalog: consulserver.NewCatalog(), recordingSink: sink}
	options := Options{
		Name:             "consul",
		Services:         []string{"db"},
		WaitMs:           30000,
		MaxStaleMs:       10000,
		MaxResponseBytes: 1 << 20,
		Mapping:          DefaultMapping(),
		Seed:             1,
	}
	for range agents {
		agent, err := consulserver.Start(s.catalog)
		if err != nil {
			t.Fatalf("start a Consul agent: %v", err)
		}
		t.Cleanup(agent.Stop)
		s.agents = append(s.agents, agent)
		options.Agents = append(options.Agents, agent.Address)
	}
	s.catalog.Change("db", []consulserver.Instance{instance(0), instance(1), instance(2)})
	if change != nil {
		change(&options)
	}
	s.source = New(options, func(f func()) { f() }, clock.System().Now, s.recordingSink, slog.New(slog.DiscardHandler))
	s.source.Start()
	t.Cleanup(s.source.Stop)
	return s
}

func (s *testSetup) setAllFaults(fault consulserver.Fault) {
	for _, agent := range s.agents {
		agent.SetFault(fault)
	}
}

func (s *testSetup) hasSize(n int) func() bool { return func() bool { return len(s.list) == n } }
