// Package database fakes database servers and their discovery service on loopback. The servers run the model and speak the
// platform's subset of the PostgreSQL protocol, the full protocol of ordinary clients, and ClickHouse's HTTP interface. Everything runs
// in this process and listens on loopback addresses only.
package database

import (
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/testkit/fake/consulserver"
	"beechgrade/internal/testkit/model"
)

// Types of the model.
type (
	Config = model.Config
	Range  = model.Range
	Fact   = model.Fact
)

// Defaults returns the settings of the site's brief, for groups of the given sizes.
func Defaults(groups ...int) Config { return model.Defaults(groups...) }

// ErrServer is the error for an unknown server's name.
var ErrServer = model.ErrServer

// Watcher observes what crosses the fakes' connections, under the fleet's lock.
type Watcher interface {
	Arrived(server int, id string, at float64) (no int)                // a request was received completely; no is its number among those with its ID
	Rejected(id string, no int, how string, at float64)                // it was rejected without being executed
	Accepted(server int, started float64, id string, work, at float64) // it was accepted
	Finished(server int, id string, at float64)                        // it was accepted, and the server has finished with it
	Executed(server int, j *model.Job, value []byte, r model.Run)      // it was executed with this value as its result
	Probed(server int, at float64)                                     // the server received a health check
	Listed(server int, state string, at float64)                       // all watchers of the list have been sent this state of a server
}

// Fleet is a set of fake servers and their discovery service.
type Fleet struct {
	cfg Config
	clk clock.Clock
	log *slog.Logger

	mu            sync.Mutex // guards the model too
	world         *model.World
	servers       []*server
	timers        map[*time.Timer]bool
	closed        bool
	dir           directory
	catalog       *consulserver.Catalog // nil for none
	registeredIDs map[string]bool
	wg            sync.WaitGroup
	late          []Fact // requests sent to draining servers after the grace
	watcher       Watcher

	watch         Watch // counts of ordinary sessions
	before        func(server, sql string) bool
	reject        func(server, sql string) (code string)
	loseAnswer    func(server, sql string) bool
	copyAnswer    func(server, sql string) bool
	sessions      map[uint32]*session
	lastPID       uint32
	streamed      int
	perPooler     poolerEntrances
	schemaVersion int // version of the schema of the table kv; each ALTER increments it
	scatters      ScatterState
}

// server holds the sockets of one of the model's servers.
type server struct {
	*model.Server
	f               *Fleet
	addr            string
	listener        net.Listener
	poolerListeners []net.Listener // by pooler; empty if poolers share one address
	conns           map[*conn]bool
	drainListedAt   float64 // time by which all watchers of the list were sent its drain, 0 if they were not
}

// New returns a fleet that does not listen yet; see Start.
func New(cfg Config, clk clock.Clock, log *slog.Logger) *Fleet {
	f := &Fleet{
		cfg:      cfg,
		clk:      clk,
		log:      log,
		timers:   map[*time.Timer]bool{},
		sessions: map[uint32]*session{},
		watch:    Watch{ByText: map[string]int{}, Committed: map[string]int{}},
	}
	f.world = model.New(cfg, f, f)
	for _, s := range f.world.Servers {
		f.servers = append(f.servers, &server{Server: s, f: f, conns: map[*conn]bool{}})
	}
	return f
}

// Watch sets the watcher. It is called before Start.
func (f *Fleet) Watch(w Watcher) { f.watcher = w }

// Start makes all servers and discovery listen on loopback.
func (f *Fleet) Start() error {
	for _, s := range f.servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("server %s: %w", s.Name, err)
		}
		s.listener, s.addr = l, l.Addr().String()
		f.world.List.SetAddr(s.Name, s.addr)
		f.wg.Add(1)
		go s.accept(l, -1)
	}
	if err := f.listenPerPooler(); err != nil {
		return err
	}
	if f.catalog != nil {
		f.mu.Lock()
		f.register()
		f.mu.Unlock()
	}
	return f.dir.start(f)
}

// Close stops the servers, their connections and discovery, and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	for t := range f.timers {
		t.Stop()
	}
	var conns []*conn
	for _, s := range f.servers {
		if s.listener != nil {
			_ = s.listener.Close()
		}
		for _, l := range s.poolerListeners {
			_ = l.Close()
		}
		for c := range s.conns {
			conns = append(conns, c)
		}
	}
	f.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
	f.dir.close()
	f.wg.Wait()
}

// Now implements model.Clock.
func (f *Fleet) Now() float64 { return f.clk.Now() }

// After implements model.Clock. The event fires under the fleet's lock. The caller holds the lock.
func (f *Fleet) After(ms float64, e model.Event, arg uint64) {
	var t *time.Timer
	t = time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.timers, t)
		if !f.closed {
			e.Fire(arg)
		}
	})
	f.timers[t] = true
}

// Down implements model.Watcher: it resets the server's connections and cancels the statements that run there. The lock is held, so that
// nobody observes the end of the process before all connections are reset, and nothing sent later can be answered. The resets run
// concurrently, since each Close waits for the reader or writer of its connection to return, for which no lock is needed.
func (f *Fleet) Down(s *model.Server) {
	x := f.servers[s.No]
	var resets sync.WaitGroup
	for c := range x.conns {
		c.dead = true
		resets.Go(c.reset)
	}
	x.conns = map[*conn]bool{}
	for _, session := range f.sessions {
		if session.c.dead && session.cancel != nil {
			session.cancel()
			session.cancel = nil
		}
	}
	resets.Wait()
}

// FactRecorded implements model.Watcher.
func (f *Fleet) FactRecorded(x Fact) {
	f.log.Info("fake fleet: fact recorded", "server", x.Server, "what", x.What)
}

// Listed implements model.Watcher.
func (f *Fleet) Listed(e *model.Entry, at float64) {
	s := f.servers[e.Server.No]
	// The end of a drain counts as soon as the list has it: a pooler that reconnects to a list that was unavailable receives it then.
	hasWatchers := !f.world.List.Unavailable && len(f.dir.watchers) > 0 && !f.perPooler.anyListHeld()
	switch {
	case e.Lifecycle == "up":
		s.drainListedAt = 0
	case e.Lifecycle == "draining" && hasWatchers:
		at = f.dir.notifiedBy(at)
		s.drainListedAt = at
	}
	if f.watcher != nil && (hasWatchers && e.Lifecycle == "draining" || e.Lifecycle == "up") {
		f.watcher.Listed(s.No, e.Lifecycle, at)
	}
	f.dir.wakeAll()
}

// ListDown implements model.Watcher.
func (f *Fleet) ListDown(bool) { f.dir.wakeAll() }

// Registered implements model.Watcher.
func (f *Fleet) Registered() { f.register() }

// Executed implements model.Watcher.
func (f *Fleet) Executed(s *model.Server, j *model.Job, r model.Run) {
	if f.watcher != nil {
		value := j.Value
		if !j.Writes {
			value = s.Read(j.Key)
		}
		f.watcher.Executed(s.No, j, value, r)
	}
}

// Discovery returns the address of the fake discovery.
func (f *Fleet) Discovery() string { return f.dir.addr }

// List returns the present list of discovery.
func (f *Fleet) List() discovery.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.world.List.Snapshot()
}

// Servers returns the servers' names, group by group.
func (f *Fleet) Servers() []string {
	var out []string
	for _, s := range f.servers {
		out = append(out, s.Name)
	}
	return out
}

// ExecutedWrites returns the IDs of the executed writes.
func (f *Fleet) ExecutedWrites() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.world.ExecutedWrites()
}

// Primary returns the name of a group's primary, empty for none.
func (f *Fleet) Primary(group int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.world.Primary(group); p != nil {
		return p.Name
	}
	return ""
}

// Facts returns the recorded facts in order.
func (f *Fleet) Facts() []Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.world.Facts()
}

// RepeatedWrites returns the IDs of writes that were executed more than once.
func (f *Fleet) RepeatedWrites() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.world.RepeatedWrites()
}

// PushedOver returns the names of cold servers that failed under overload.
func (f *Fleet) PushedOver() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.world.PushedOver()
}

// LateFacts returns the requests that reached a draining server after all watchers of the list had been sent the drain, and the
// grace and 50 ms of network delay had passed.
func (f *Fleet) LateFacts() []Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.late)
}

// Update changes the model, under the fleet's lock.
func (f *Fleet) Update(do func(w *model.World) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return do(f.world)
}

// Kill ends a server's process: its connections are reset, and so are new ones.
func (f *Fleet) Kill(name string) error {
	return f.Update(func(w *model.World) error { return w.Kill(name) })
}

// Revive restarts a dead server, with a cold cache and at the log position at which it ended.
func (f *Fleet) Revive(name string) error {
	return f.Update(func(w *model.World) error { return w.Revive(name) })
}

// SlowReplication multiplies the time that a replica needs to apply an entry.
func (f *Fleet) SlowReplication(name string, times float64) error {
	return f.Update(func(w *model.World) error { return w.SlowReplication(name, times) })
}

// Drain makes a server finish its jobs and reject new ones; a primary hands over.
func (f *Fleet) Drain(name string) error {
	return f.Update(func(w *model.World) error { return w.Drain(name) })
}

// Undrain ends Drain.
func (f *Fleet) Undrain(name string) error {
	return f.Update(func(w *model.World) error { return w.Undrain(name) })
}

// DelayList adds a delay in ms to changes of the list.
func (f *Fleet) DelayList(ms float64) {
	_ = f.Update(func(w *model.World) error { w.DelayList(ms); return nil })
}
