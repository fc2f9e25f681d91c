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

// listCall is a call to a scripted discovery service. It sends keep-alive lines until the test ends it.
type listCall struct {
	path  string
	lines chan string
	end   chan struct{} // closed by the test to end the call
	gone  <-chan struct{}
}

// scriptedList starts a discovery service whose calls the test answers.
func scriptedList(t testing.TB) (addr string, calls <-chan *listCall) {
	ch := make(chan *listCall, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &listCall{path: r.URL.RequestURI(), lines: make(chan string), end: make(chan struct{}), gone: r.Context().Done()}
		ch <- c
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case l := <-c.lines:
				_, _ = fmt.Fprintln(w, l)
			case <-time.After(200 * time.Millisecond):
				_, _ = fmt.Fprintln(w)
			case <-c.end:
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
	case <-time.After(testTimeout):
		t.Fatalf("discovery received no call within %v", testTimeout)
		return nil
	}
}

// listOfStates returns a list of servers with the given lifecycle states.
func listOfStates(generation int64, lifecycles ...string) discovery.List {
	l := discovery.List{Generation: generation, Reset: true}
	for i, s := range lifecycles {
		l.Instances = append(l.Instances, discovery.Instance{ID: fmt.Sprint("s-", i+1), HostPort: "127.0.0.1:1", Lifecycle: s, Weight: 1})
	}
	return l
}

// encodeList returns a list in discovery's JSON.
func encodeList(l discovery.List) string {
	var parts []string
	for _, i := range l.Instances {
		parts = append(parts, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"lifecycle":%q,"weight":1}`, i.ID, i.HostPort, i.Lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, l.Generation, l.Reset, strings.Join(parts, ","))
}

// sendList sends a list on a call.
func (c *listCall) sendList(t testing.TB, l discovery.List) {
	t.Helper()
	select {
	case c.lines <- encodeList(l):
	case <-c.gone:
		t.Fatalf("the call %s ended before it was sent the list", c.path)
	}
}

// otherProcess keeps writing the handover file of another process on the socket.
type otherProcess struct {
	u     *upgrade
	mu    sync.Mutex
	state handover.State
}

func newOtherProcess(u *upgrade) *otherProcess {
	o := &otherProcess{u: u, state: handover.State{ListSource: u.discoveryAddr, Snapshot: &decide.Snapshot{}}}
	folder, done, quit := handover.OpenDirectory(u.dir), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			o.mu.Lock()
			s := o.state
			o.mu.Unlock()
			s.SavedMs = clock.Wall()
			if s.Descriptors > 0 {
				if err := folder.Write(&s); err != nil {
					u.t.Errorf("writing the state of the other process: %v", err)
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

// announce has the other process hand over a list from now on, and waits until a process on the socket has read it.
func (o *otherProcess) announce(p *pooler, l discovery.List, restarts int) {
	o.u.t.Helper()
	o.mu.Lock()
	o.state.Descriptors++
	o.state.List, o.state.ListRestarts = l, restarts
	held := o.state.Descriptors
	o.mu.Unlock()
	o.u.waitUntilOnLoop("the file of the other process is read", p, func() bool { return p.othersDescriptors == held })
}

// waitForList waits until a process has a list.
func (u *upgrade) waitForList(p *pooler, l discovery.List) {
	u.t.Helper()
	u.waitUntilOnLoop(fmt.Sprint("the process has the list ", l), p, func() bool { return fmt.Sprint(p.list.complete()) == fmt.Sprint(l) })
}

// startBesideOtherProcess starts a process beside a scripted one. Discovery has sent it generation 48 on the returned watch.
func startBesideOtherProcess(t testing.TB) (u *upgrade, p *pooler, other *otherProcess, watch *listCall, calls <-chan *listCall) {
	u = newUpgrade(t)
	u.discoveryAddr, calls = scriptedList(t)
	first := make(chan *listCall, 1)
	go func() {
		c := <-calls
		c.lines <- encodeList(listOfStates(48, "up", "up"))
		first <- c
	}()
	p = u.process()
	watch = <-first
	u.waitForList(p, listOfStates(48, "up", "up"))
	return u, p, newOtherProcess(u), watch, calls
}

// TestDiscoveryRestartBesideOtherProcess: discovery restarts with lower generations while the file of another process has a higher one,
// which this process had taken over. Discovery's list is applied, and the other process's list is ignored until that process has seen the
// restart too.
func TestDiscoveryRestartBesideOtherProcess(t *testing.T) {
	t.Parallel()
	u, p, other, _, calls := startBesideOtherProcess(t)
	other.announce(p, listOfStates(50, "up", "up", "up"), 0)
	u.waitForList(p, listOfStates(50, "up", "up", "up"))
	watch := nextCall(t, calls) // discovery has restarted
	watch.sendList(t, listOfStates(3, "draining", "up", "up"))
	u.waitForList(p, listOfStates(3, "draining", "up", "up"))
	other.announce(p, listOfStates(51, "up", "up", "up"), 0)
	u.waitForList(p, listOfStates(3, "draining", "up", "up"))
	other.announce(p, listOfStates(5, "draining", "draining", "up"), 1)
	u.waitForList(p, listOfStates(5, "draining", "draining", "up"))
	watch = nextCall(t, calls)
	watch.sendList(t, listOfStates(5, "draining", "draining", "up"))
	watch.sendList(t, listOfStates(6, "draining", "draining", "draining"))
	u.waitForList(p, listOfStates(6, "draining", "draining", "draining"))
	u.checkHandedOver(p, 1)
}

// TestOtherProcessSawDiscoveryRestart: another process has seen discovery restart. Its list is applied at once despite its lower generation.
// A drain that only this process knows of continues until discovery itself says otherwise, and the whole list is requested from discovery.
func TestOtherProcessSawDiscoveryRestart(t *testing.T) {
	t.Parallel()
	u, p, other, watch, calls := startBesideOtherProcess(t)
	watch.sendList(t, listOfStates(50, "up", "draining"))
	u.waitForList(p, listOfStates(50, "up", "draining"))
	other.announce(p, listOfStates(3, "draining", "up"), 1)
	u.waitForList(p, listOfStates(3, "draining", "draining"))
	select {
	case <-watch.gone: // its lists would be from before the restart
	case <-time.After(testTimeout):
		t.Fatalf("the watch from before the restart is still open after %v", testTimeout)
	}
	if watch = nextCall(t, calls); !strings.HasSuffix(watch.path, "from=0") {
		t.Errorf("call to discovery is %q, want one from generation 0", watch.path)
	}
	watch.sendList(t, listOfStates(4, "draining", "up"))
	u.waitForList(p, listOfStates(4, "draining", "up"))
	u.checkHandedOver(p, 1)
}

// TestOtherProcessHasListFromBeforeRestart: a process that started after discovery's restart, and knows of a drain, reads a higher
// generation from a process that has not noticed the restart. The drain stays in force, and discovery's next list is applied.
func TestOtherProcessHasListFromBeforeRestart(t *testing.T) {
	t.Parallel()
	u, p, other, watch, calls := startBesideOtherProcess(t)
	watch.sendList(t, listOfStates(49, "draining", "up"))
	u.waitForList(p, listOfStates(49, "draining", "up"))
	other.announce(p, listOfStates(90, "up", "up"), 0)
	u.waitForList(p, listOfStates(90, "draining", "up"))
	watch = nextCall(t, calls)
	watch.sendList(t, listOfStates(49, "draining", "draining"))
	u.waitForList(p, listOfStates(49, "draining", "draining"))
	u.checkHandedOver(p, 1)
}

// TestConfiguredListIsNotHandedOver: a process that has received nothing from discovery yet hands over no list, whatever generation its
// configuration has.
func TestConfiguredListIsNotHandedOver(t *testing.T) {
	t.Parallel()
	u, p, _, watch, _ := startBesideOtherProcess(t)
	u.listGeneration = 90
	two := u.process(listOfStates(90, "up").Instances...)
	u.waitUntilOnLoop("the file is read", p, func() bool { return p.otherProcesses == 1 })
	u.checkHandedOver(two, 0)
	watch.sendList(t, listOfStates(49, "draining", "up"))
	u.waitForList(p, listOfStates(49, "draining", "up"))
}

// checkHandedOver checks how many restarts of discovery a process hands over, and that it hands over only a list that it received.
func (u *upgrade) checkHandedOver(p *pooler, restarts int) {
	u.t.Helper()
	states := make(chan *handover.State, 1)
	p.loop.Post(func() { states <- p.state() })
	if s := <-states; s.ListRestarts != restarts || s.List.Generation != 0 && !p.list.received || s.List.Generation > 89 {
		u.t.Errorf("handed-over list: got generation %d and %d restarts, want %d restarts and only a list received from discovery", s.List.Generation, s.ListRestarts, restarts)
	}
}
