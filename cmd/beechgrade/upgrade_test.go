package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle"
	"beechgrade/internal/lifecycle/handover"
)

// upgrade is a socket that processes share, the folder between them, and a discovery whose watches say what is put into lines;
// mute ones say nothing.
type upgrade struct {
	t     testing.TB
	ln    *net.TCPListener
	dir   string
	at    string
	lines chan string
	mute  atomic.Bool
	known int64 // generation of the list that a process is configured with

	other   *handover.Directory
	stalled <-chan struct{} // processes that begin while it is set write nothing until it is closed
}

// stalledFolder is one whose disk takes nothing until it is let go; what is there can be read.
type stalledFolder struct {
	stateFolder
	stalled <-chan struct{}
}

func (f stalledFolder) Write(s *handover.State) error {
	<-f.stalled
	return f.stateFolder.Write(s)
}

func newUpgrade(t testing.TB) *upgrade {
	u := &upgrade{t: t, ln: listen(t).(*net.TCPListener), dir: t.TempDir(), lines: make(chan string, 9)}
	dir := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lines := u.lines
		if u.mute.Load() {
			lines = nil
		}
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case l := <-lines:
				_, _ = fmt.Fprintln(w, l)
			case <-time.After(200 * time.Millisecond):
				_, _ = fmt.Fprintln(w) // a sign of life
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { dir.CloseClientConnections(); dir.Close() })
	u.at = dir.Listener.Addr().String()
	return u
}

// give has a pooler inherit a listening socket.
func give(t testing.TB, p *pooler, ln *net.TCPListener) {
	t.Helper()
	f, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	if p.inheritedListener, err = inheritListener(func(string) string { return fmt.Sprint(fd) }); err != nil {
		t.Fatal(err)
	}
}

// process runs one more pooler on the socket; it is ready when this returns.
func (u *upgrade) process(known ...discovery.Instance) *pooler {
	u.t.Helper()
	p := newPooler(testConfig(u.t, "127.0.0.1:1", nil, func(c *config.Config) {
		c.DiscoveryAddress, c.InitialList.Instances, c.InitialList.Generation = u.at, known, u.known
	}), slog.New(slog.DiscardHandler))
	give(u.t, p, u.ln)
	p.inheritState(u.dir)
	if u.stalled != nil {
		p.folder = stalledFolder{p.folder, u.stalled}
	}
	var ended <-chan error
	u.t.Cleanup(func() { // behind launch's own, which tells it to end: it writes into the folder until it has
		select {
		case <-ended:
		case <-time.After(patience):
			u.t.Errorf("it does not end in %v", patience)
		}
	})
	_, _, _, ended = launch(u.t, p)
	u.until("ready", p, func() bool { return p.lifecycle.IsServing() })
	return p
}

// until waits until something holds on a process's loop.
func (u *upgrade) until(what string, p *pooler, holds func() bool) {
	u.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(2 * time.Millisecond) {
		got := make(chan bool, 1)
		p.loop.Post(func() { got <- holds() })
		if <-got {
			return
		}
		if time.Now().After(end) {
			u.t.Fatalf("it did not come in %v to: %s", patience, what)
		}
	}
}

// TestNextKnowsWhatThisOneKnew: a process that starts beside another goes on from its list, roles and rates, though discovery tells
// it nothing and its own file is older.
func TestNextKnowsWhatThisOneKnew(t *testing.T) {
	t.Parallel()
	srv, queries := server(t)
	u := newUpgrade(t)
	one := u.process()
	u.lines <- fmt.Sprintf(`{"generation":7,"reset":true,"instances":[{"instanceId":"s-9","hostPort":%q,"lifecycle":"up","weight":1}]}`, srv)
	u.until("the list is there", one, func() bool { return one.list.generation == 7 })
	c := client(t, u.ln.Addr().String())
	c.send(query("1", "read", 9000))
	next(t, queries).send(row("v")) // which tells that it is the primary
	c.want("TDCZ v")
	u.mute.Store(true)
	var was *handover.State
	for end := time.Now().Add(patience); was == nil || len(was.Snapshot.Servers) == 0 || was.Snapshot.Servers[0].Role != decide.RolePrimary; time.Sleep(2 * time.Millisecond) {
		if others, _ := handover.OpenDirectory(u.dir).Others(handover.UsefulMs); len(others) > 0 {
			was = others[0]
		}
		if time.Now().After(end) {
			t.Fatalf("nothing is handed over in %v", patience)
		}
	}
	two := u.process()
	u.until("they know of each other", two, func() bool { return two.otherProcesses == 1 })
	u.until("they know of each other", one, func() bool { return one.otherProcesses == 1 })
	one.loop.Post(func() { one.handleLifecycle(lifecycle.Terminate) })
	u.until("the other one has ended", two, func() bool { return two.otherProcesses == 0 })
	c = client(t, u.ln.Addr().String())
	c.send(query("2", "write", 9000))
	nextQuery(t, queries).send(row("w"))
	c.want("TDCZ w")
}

// TestDrainHeardByOne: what discovery told one process binds the other too, and older news do not undo it.
func TestDrainHeardByOne(t *testing.T) {
	t.Parallel()
	u := newUpgrade(t)
	s := discovery.Instance{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "up", Weight: 1}
	one := u.process(s)
	u.mute.Store(true)
	two := u.process(s)
	u.lines <- `{"generation":8,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"draining","weight":1}]}`
	drained := func(p *pooler) func() bool {
		return func() bool { return p.list.entries["s-1"].Lifecycle == "draining" }
	}
	u.until("the one hears", one, drained(one))
	u.until("the other hears", two, drained(two))
	two.loop.Post(func() {
		listObserver{two, two.core}.Listed(&discovery.List{Generation: 6, Instances: []discovery.Instance{s}})
	})
	u.until("it still holds", two, drained(two))
}

// TestDrainHeardWhileWritesStall: a process whose own state cannot be written hears what another one writes.
func TestDrainHeardWhileWritesStall(t *testing.T) {
	t.Parallel()
	u := newUpgrade(t)
	stalled := make(chan struct{})
	u.stalled = stalled
	u.mute.Store(true)
	p := u.process(discovery.Instance{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "up", Weight: 1})
	t.Cleanup(func() { close(stalled) }) // before the process is waited for
	u.until("it hears what another one writes", p, func() bool {
		u.write(drainedSince(u, 0))
		return p.list.generation == 8 && p.list.entries["s-1"].Lifecycle == "draining"
	})
}

// TestLateStateIsNews: a state that took 3 s to write brings the list that it holds; its process does not count as one that runs.
func TestLateStateIsNews(t *testing.T) {
	t.Parallel()
	u := newUpgrade(t)
	u.mute.Store(true)
	p := u.process(discovery.Instance{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "up", Weight: 1})
	u.until("it hears what came late", p, func() bool {
		u.write(drainedSince(u, 3000))
		if p.otherProcesses != 0 {
			t.Errorf("it counts as %d that run", p.otherProcesses)
		}
		return p.list.generation == 8 && p.list.entries["s-1"].Lifecycle == "draining"
	})
}

// drainedSince is the state of another process that knew of a drain, as of so many ms ago.
func drainedSince(u *upgrade, ms float64) *handover.State {
	return &handover.State{SavedMs: clock.Wall() - ms, ListSource: u.at, Snapshot: &decide.Snapshot{}, List: discovery.List{Generation: 8, Reset: true,
		Instances: []discovery.Instance{{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "draining", Weight: 1}}}}
}

// write has another process's state stand in the folder.
func (u *upgrade) write(s *handover.State) {
	if u.other == nil {
		u.other = handover.OpenDirectory(u.dir)
	}
	if err := u.other.Write(s); err != nil {
		u.t.Error(err)
	}
}

// TestKilledInTheOverlap: a process that is killed takes nothing away by itself; once its file is old the other has all limits
// again. What a file says that is broken is passed over.
func TestKilledInTheOverlap(t *testing.T) {
	t.Parallel()
	u := newUpgrade(t)
	two := u.process()
	if err := handover.OpenDirectory(u.dir).Write(&handover.State{SavedMs: clock.Wall(), Descriptors: 400, Snapshot: &decide.Snapshot{}}); err != nil {
		t.Fatal(err)
	}
	u.until("limits are shared", two, func() bool { return two.otherProcesses == 1 && two.sockets() == 624 && two.memory() == 96<<20 })
	if err := os.WriteFile(filepath.Join(u.dir, "handover-broken.state"), []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	u.until("all limits are its own", two, func() bool { return two.otherProcesses == 0 && two.sockets() == 1024 && two.memory() == 192<<20 })
}
