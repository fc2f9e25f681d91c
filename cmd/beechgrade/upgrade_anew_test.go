package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle/handover"
)

// listCall is a call to a scripted discovery. It shows signs of life until the test ends it.
type listCall struct {
	path string
	say  chan string
	over chan struct{} // closed by the test to end the call
	gone <-chan struct{}
}

// scriptedList is a discovery whose calls the test answers.
func scriptedList(t testing.TB) (addr string, calls <-chan *listCall) {
	ch := make(chan *listCall, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &listCall{path: r.URL.RequestURI(), say: make(chan string), over: make(chan struct{}), gone: r.Context().Done()}
		ch <- c
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case l := <-c.say:
				_, _ = fmt.Fprintln(w, l)
			case <-time.After(200 * time.Millisecond):
				_, _ = fmt.Fprintln(w)
			case <-c.over:
				return
			case <-c.gone:
				return
			}
		}
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String(), ch
}

// nextCall waits for the next call to discovery.
func nextCall(t testing.TB, calls <-chan *listCall) *listCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(patience):
		t.Fatal("discovery is not asked")
		return nil
	}
}

// states is a list of servers by their states, as discovery or another process tells it.
func states(generation int64, lifecycles ...string) discovery.List {
	l := discovery.List{Generation: generation, Reset: true}
	for i, s := range lifecycles {
		l.Instances = append(l.Instances, discovery.Instance{ID: fmt.Sprint("s-", i+1), HostPort: "127.0.0.1:1", Lifecycle: s, Weight: 1})
	}
	return l
}

// text is a list as discovery writes it.
func text(l discovery.List) string {
	var parts []string
	for _, i := range l.Instances {
		parts = append(parts, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"lifecycle":%q,"weight":1}`, i.ID, i.HostPort, i.Lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, l.Generation, l.Reset, strings.Join(parts, ","))
}

// tell has discovery say a list on a call.
func (c *listCall) tell(t testing.TB, l discovery.List) {
	t.Helper()
	select {
	case c.say <- text(l):
	case <-c.gone:
		t.Fatalf("the call %s has gone", c.path)
	}
}

// otherProcess writes the file of another process on the socket, and goes on doing so.
type otherProcess struct {
	u  *upgrade
	mu sync.Mutex
	s  handover.State
}

func newOtherProcess(u *upgrade) *otherProcess {
	o := &otherProcess{u: u, s: handover.State{ListSource: u.at, Snapshot: &decide.Snapshot{}}}
	folder, done, quit := handover.OpenDirectory(u.dir), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			o.mu.Lock()
			s := o.s
			o.mu.Unlock()
			s.SavedMs = clock.Wall()
			if s.Descriptors > 0 {
				if err := folder.Write(&s); err != nil {
					u.t.Error(err)
				}
			}
			select {
			case <-quit:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	u.t.Cleanup(func() { close(quit); <-done })
	return o
}

// names has the other process name a list from now on, and waits until a process on the socket has read that.
func (o *otherProcess) names(p *pooler, l discovery.List, anew int) {
	o.u.t.Helper()
	o.mu.Lock()
	o.s.Descriptors++
	o.s.List, o.s.ListRestarts = l, anew
	held := o.s.Descriptors
	o.mu.Unlock()
	o.u.until("the other's file is read", p, func() bool { return p.othersDescriptors == held })
}

// holds waits until a process holds a list.
func (u *upgrade) holds(p *pooler, l discovery.List) {
	u.t.Helper()
	u.until(fmt.Sprint("it holds ", l), p, func() bool { return fmt.Sprint(p.list.complete()) == fmt.Sprint(l) })
}

// beside is a process that discovery told generation 48, on the call that is returned, beside another one that is scripted.
func beside(t testing.TB) (u *upgrade, p *pooler, other *otherProcess, watch *listCall, calls <-chan *listCall) {
	u = newUpgrade(t)
	u.at, calls = scriptedList(t)
	first := make(chan *listCall, 1)
	go func() {
		c := <-calls
		c.say <- text(states(48, "up", "up"))
		first <- c
	}()
	p = u.process()
	watch = <-first
	u.holds(p, states(48, "up", "up"))
	return u, p, newOtherProcess(u), watch, calls
}

// TestDiscoveryBeganAnewBesideAnother: discovery restarts with lower generations while another process's file names a higher one, which
// this process had taken. Its list is taken, and the other's is not any more, until the other has seen the restart too.
func TestDiscoveryBeganAnewBesideAnother(t *testing.T) {
	t.Parallel()
	u, p, other, _, calls := beside(t)
	other.names(p, states(50, "up", "up", "up"), 0)
	u.holds(p, states(50, "up", "up", "up"))
	watch := nextCall(t, calls) // discovery has restarted
	watch.tell(t, states(3, "draining", "up", "up"))
	u.holds(p, states(3, "draining", "up", "up"))
	other.names(p, states(51, "up", "up", "up"), 0)
	u.holds(p, states(3, "draining", "up", "up"))
	other.names(p, states(5, "draining", "draining", "up"), 1)
	u.holds(p, states(5, "draining", "draining", "up"))
	watch = nextCall(t, calls)
	watch.tell(t, states(5, "draining", "draining", "up"))
	watch.tell(t, states(6, "draining", "draining", "draining"))
	u.holds(p, states(6, "draining", "draining", "draining"))
	u.told(p, 1)
}

// TestAnotherSawDiscoveryBeginAnew: another process has seen discovery restart. Its list binds at once, though of a lower generation;
// a drain that this process alone was told of goes on until discovery itself says otherwise, and discovery is asked for the whole list.
func TestAnotherSawDiscoveryBeginAnew(t *testing.T) {
	t.Parallel()
	u, p, other, watch, calls := beside(t)
	watch.tell(t, states(50, "up", "draining"))
	u.holds(p, states(50, "up", "draining"))
	other.names(p, states(3, "draining", "up"), 1)
	u.holds(p, states(3, "draining", "draining"))
	select {
	case <-watch.gone: // its lists would be of before
	case <-time.After(patience):
		t.Fatal("the watch of before is open still")
	}
	if watch = nextCall(t, calls); !strings.HasSuffix(watch.path, "from=0") {
		t.Errorf("asked %q", watch.path)
	}
	watch.tell(t, states(4, "draining", "up"))
	u.holds(p, states(4, "draining", "up"))
	u.told(p, 1)
}

// TestAnotherNamesWhatWasBeforeTheRestart: a process that began after discovery's restart, and was told of a drain, reads a higher generation
// of a process that has not noticed. The drain binds, and what discovery says next counts.
func TestAnotherNamesWhatWasBeforeTheRestart(t *testing.T) {
	t.Parallel()
	u, p, other, watch, calls := beside(t)
	watch.tell(t, states(49, "draining", "up"))
	u.holds(p, states(49, "draining", "up"))
	other.names(p, states(90, "up", "up"), 0)
	u.holds(p, states(90, "draining", "up"))
	watch = nextCall(t, calls)
	watch.tell(t, states(49, "draining", "draining"))
	u.holds(p, states(49, "draining", "draining"))
	u.told(p, 1)
}

// TestUnheardGenerationIsNotNamed: a process that has not heard discovery yet names no list to the other one, whatever generation its
// configuration has.
func TestUnheardGenerationIsNotNamed(t *testing.T) {
	t.Parallel()
	u, p, _, watch, _ := beside(t)
	u.known = 90
	two := u.process(states(90, "up").Instances...)
	u.until("the file is read", p, func() bool { return p.otherProcesses == 1 })
	u.told(two, 0)
	watch.tell(t, states(49, "draining", "up"))
	u.holds(p, states(49, "draining", "up"))
}

// told checks how often discovery has begun anew by what a process tells of it, and that only a list that was heard is told.
func (u *upgrade) told(p *pooler, anew int) {
	u.t.Helper()
	states := make(chan *handover.State, 1)
	p.loop.Post(func() { states <- p.state() })
	if s := <-states; s.ListRestarts != anew || s.List.Generation != 0 && !p.list.received || s.List.Generation > 89 {
		u.t.Errorf("it tells generation %d, begun anew %d times", s.List.Generation, s.ListRestarts)
	}
}
