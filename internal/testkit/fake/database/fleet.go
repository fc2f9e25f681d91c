// Package database fakes database servers on loopback: the model behind sockets that speak the platform's
// protocol and that of ordinary clients, and a stand-in for discovery. Everything is of this process and listens on
// 127.0.0.1 only.
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

// What the model calls its parts.
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
	Arrived(server int, id string, at float64) (no int)            // a request has come whole; no is its number among those of its id
	Turned(id string, no int, how string, at float64)              // it was turned away untouched
	Took(server int, started float64, id string, work, at float64) // it was taken in
	Over(server int, id string, at float64)                        // it was taken in, and the server has nothing more to do with it
	Ran(server int, j *model.Job, value []byte, r model.Run)       // it ran, and made this value
	Probed(server int, at float64)                                 // it was asked how it is
	Listed(server int, state string, at float64)                   // all that watch have been told this of a server
}

// Fleet is the servers and their discovery.
type Fleet struct {
	cfg Config
	clk clock.Clock
	log *slog.Logger

	mu      sync.Mutex // the model's too
	world   *model.World
	servers []*server
	timers  map[*time.Timer]bool
	closed  bool
	dir     directory
	catalog *consulserver.Catalog // nil for none
	known   map[string]bool
	wg      sync.WaitGroup
	late    []Fact // sends to servers that drain
	watcher Watcher

	watch    Watch // of ordinary sessions
	before   func(server, sql string) bool
	fulls    map[uint32]*session
	lastPID  uint32
	streamed int
	doors    poolerEntrances
	shape    int // of the one table; each ALTER changes it
	scatters ScatterState
}

// server is the sockets of one of the model's servers.
type server struct {
	*model.Server
	f         *Fleet
	addr      string
	listener  net.Listener
	doors     []net.Listener // one for each pooler, where they have some
	conns     map[*conn]bool
	drainTold float64 // discovery had told all that watch of its drain by then, 0 for not so
}

// New makes a fleet; Start has it listen.
func New(cfg Config, clk clock.Clock, log *slog.Logger) *Fleet {
	f := &Fleet{
		cfg:    cfg,
		clk:    clk,
		log:    log,
		timers: map[*time.Timer]bool{},
		fulls:  map[uint32]*session{},
		watch:  Watch{ByText: map[string]int{}},
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

// Close ends everything.
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
		for _, l := range s.doors {
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

// After implements model.Clock: the event comes under the fleet's lock. The lock is held.
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

// Down implements model.Watcher: the server's connections break, and what was worked on there ends. The lock is held, so nobody hears of the
// death before all of them are reset: what is sent from then on can't be answered. They are reset beside each other, since each Close
// waits until who reads or writes there has let go, which takes no lock.
func (f *Fleet) Down(s *model.Server) {
	x := f.servers[s.No]
	var resets sync.WaitGroup
	for c := range x.conns {
		c.dead = true
		resets.Go(c.reset)
	}
	x.conns = map[*conn]bool{}
	for _, session := range f.fulls {
		if session.c.dead && session.cancel != nil {
			session.cancel()
			session.cancel = nil
		}
	}
	resets.Wait()
}

// FactRecorded implements model.Watcher.
func (f *Fleet) FactRecorded(x Fact) { f.log.Info("fleet", "server", x.Server, "what", x.What) }

// Listed implements model.Watcher.
func (f *Fleet) Listed(e *model.Entry, at float64) {
	s := f.servers[e.Server.No]
	// That a drain is over counts as soon as the list has it: whoever comes back to a list that nobody could be told of is told.
	heard := !f.world.List.Unavailable && len(f.dir.watchers) > 0 && !f.doors.anyListHeld()
	switch {
	case e.Lifecycle == "up":
		s.drainTold = 0
	case e.Lifecycle == "draining" && heard:
		at = f.dir.notifiedBy(at)
		s.drainTold = at
	}
	if f.watcher != nil && (heard && e.Lifecycle == "draining" || e.Lifecycle == "up") {
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
		f.watcher.Ran(s.No, j, value, r)
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

// LateFacts are the requests that came to a server after discovery had told all who watch that it drains, and the
// grace and 50 ms for the way had passed.
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

// Kill ends a server's process: its connections are reset, new ones too.
func (f *Fleet) Kill(name string) error {
	return f.Update(func(w *model.World) error { return w.Kill(name) })
}

// Revive starts a dead server again: cold, and from where it stood.
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

// DelayList adds a delay to the list, in ms.
func (f *Fleet) DelayList(ms float64) {
	_ = f.Update(func(w *model.World) error { w.DelayList(ms); return nil })
}
