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

const patience = 20 * time.Second

// recordingSink is a sink that a test can wait for.
type recordingSink struct {
	mu      sync.Mutex
	list    map[string]reconcile.Observation
	notes   []string
	lost    []string
	changed chan struct{}
}

func (sink *recordingSink) Observe(_ string, r *reconcile.Report) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	for _, c := range r.Observations {
		sink.list[c.ID] = c
	}
	for _, id := range r.Removed {
		delete(sink.list, id)
	}
	sink.signal()
}

func (sink *recordingSink) SourceLost(_, why string) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.lost = append(sink.lost, why)
	sink.signal()
}

func (sink *recordingSink) Note(_ string, w reconcile.DecisionKind, why string) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.notes = append(sink.notes, string(w)+": "+why)
	sink.signal()
}

func (sink *recordingSink) signal() {
	select {
	case sink.changed <- struct{}{}:
	default:
	}
}

// waitUntil waits until ok holds, which is called with the lock held.
func (sink *recordingSink) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.After(patience); ; {
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
			t.Fatalf("not so: %s; list %v, notes %q, lost %q", what, sink.list, sink.notes, sink.lost)
		}
	}
}

func (sink *recordingSink) hasNote(part string) func() bool {
	return func() bool { return strings.Contains(strings.Join(sink.notes, "\n"), part) }
}

// instance is a replica; three instances make a group.
func instance(i int) consulserver.Instance {
	return consulserver.Instance{
		ID:      fmt.Sprint("db-", i),
		Node:    fmt.Sprint("n", i),
		Address: fmt.Sprint("10.0.0.", i),
		Port:    5432,
		Meta:    map[string]string{"group": fmt.Sprint(i / 3), "role": "replica"},
	}
}

// testSetup is a source before fake agents.
type testSetup struct {
	catalog *consulserver.Catalog
	agents  []*consulserver.Agent
	src     *Source
	*recordingSink
}

// startWatch starts agents before a catalogue of three instances, and a source that watches them.
func startWatch(t *testing.T, agents int, change func(*Options)) *testSetup {
	t.Helper()
	sink := &recordingSink{list: map[string]reconcile.Observation{}, changed: make(chan struct{}, 1)}
	w := &testSetup{catalog: consulserver.NewCatalog(), recordingSink: sink}
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
		agent, err := consulserver.Start(w.catalog)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(agent.Stop)
		w.agents = append(w.agents, agent)
		options.Agents = append(options.Agents, agent.Address)
	}
	w.catalog.Change("db", []consulserver.Instance{instance(0), instance(1), instance(2)})
	if change != nil {
		change(&options)
	}
	w.src = New(options, func(f func()) { f() }, clock.System().Now, w.recordingSink, slog.New(slog.DiscardHandler))
	w.src.Start()
	t.Cleanup(w.src.Stop)
	return w
}

func (w *testSetup) setAllFaults(fault consulserver.Fault) {
	for _, agent := range w.agents {
		agent.SetFault(fault)
	}
}

func (w *testSetup) hasSize(n int) func() bool { return func() bool { return len(w.list) == n } }
