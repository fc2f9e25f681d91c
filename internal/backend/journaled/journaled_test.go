package journaled

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/backend"
	"beechgrade/internal/core"
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// fixture is a Servers with a fake core and fake connections, which record the calls that they receive. The callbacks of the store run
// when runCallbacks is called.
type fixture struct {
	t       *testing.T
	disk    *faultyfs.Disk
	store   *store.Store
	servers *Servers
	heap    timers.Heap
	now     float64
	posted  chan func()
	calls   []string
}

func (r *fixture) Now() float64                           { return r.now }
func (r *fixture) At(ms float64, do func()) *timers.Timer { return r.heap.Add(ms, do) }
func (r *fixture) StopTimer(t *timers.Timer)              { r.heap.Stop(t) }
func (r *fixture) ClientID(ref slotmap.Ref) string        { return fmt.Sprint("id-", ref.Index) }
func (r *fixture) record(format string, args ...any) {
	r.calls = append(r.calls, fmt.Sprintf(format, args...))
}
func (r *fixture) SetAddress(id, addr string)                  {}
func (r *fixture) CloseIdle(id string)                         { r.record("idle %s", id) }
func (r *fixture) Forget(id string)                            { r.record("forget %s", id) }
func (r *fixture) Retain(map[string]bool)                      {}
func (r *fixture) Recall(string, func(backend.AttemptID) bool) {}
func (r *fixture) CheckHealth(id string)                       {}
func (r *fixture) Cancel(ref slotmap.Ref)                      { r.record("cancel %d", ref.Index) }
func (r *fixture) AttemptEnded(t backend.AttemptID, o backend.Outcome) {
	r.record("ended %d %d", t.Request.Index, o.Result)
	r.servers.Ended(t, o.Result)
}
func (r *fixture) Start(id string, _ backend.Query, _ float64, on backend.SendConditions, t backend.AttemptID) slotmap.Ref {
	r.record("start %s %d %v", id, t.Request.Index, on.AtMostOnce)
	return slotmap.Ref{Index: 100 + t.Request.Index, Gen: 1}
}

func newFixture(t *testing.T, d *faultyfs.Disk, mode journal.Mode) *fixture {
	r := &fixture{t: t, disk: d, now: 1e6, posted: make(chan func(), 100)}
	s, _, err := store.Open(store.Options{FS: d, Post: func(f func()) { r.posted <- f }})
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	r.store = s
	r.servers = New(r, slog.New(slog.NewTextHandler(io.Discard, nil)), r, s, mode)
	r.servers.Wrap(r)
	return r
}

// runCallbacks runs the next n callbacks of the store.
func (r *fixture) runCallbacks(n int) {
	for range n {
		(<-r.posted)()
	}
}

func (r *fixture) expect(want ...string) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.calls); diff != "" {
		r.t.Fatalf("calls of the servers and the core (-want +got):\n%s", diff)
	}
	r.calls = nil
}

func attemptID(n uint32) backend.AttemptID {
	return backend.AttemptID{Request: slotmap.Ref{Index: n, Gen: 1}}
}

func (r *fixture) pending() (out []string) {
	for _, a := range journal.Pending(r.store) {
		out = append(out, fmt.Sprintf("%s %s %s", a.Server, a.ID, a.OutcomeText()))
	}
	return out
}

var _ core.Servers = (*Servers)(nil)

// TestAttemptIsSentOnceItIsDurable checks that a write is sent once its journal entry is durable, and never if it is cancelled, reaches its
// deadline, or its server drains before that. A read is sent at once. Attempts without a known outcome stay pending, also for the next
// process.
func TestAttemptIsSentOnceItIsDurable(t *testing.T) {
	r := newFixture(t, faultyfs.New(), journal.BeforeSend)
	r.servers.Start("a", nil, 2e6, backend.SendConditions{}, attemptID(1))
	r.expect("start a 1 false")
	ref := r.servers.Start("a", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(2))
	r.expect()
	if got := r.pending(); len(got) > 1 {
		t.Errorf("attempts pending before the entry is durable: %q, want at most one", got)
	}
	r.runCallbacks(1)
	r.expect("start a 2 true")
	r.servers.Cancel(ref)
	r.expect("cancel 102")
	r.AttemptEnded(attemptID(2), backend.Outcome{Result: decide.Reset})
	r.runCallbacks(1)
	r.calls = nil
	cancelled := r.servers.Start("a", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(3))
	r.servers.Cancel(cancelled)
	r.runCallbacks(2)
	r.expect("ended 3 7")
	r.servers.Start("b", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(4))
	r.servers.CloseIdle("b")
	r.runCallbacks(2)
	r.expect("ended 4 7", "idle b")
	r.servers.Start("b", nil, 1.5e6, backend.SendConditions{AtMostOnce: true}, attemptID(5))
	r.now = 1.6e6
	r.heap.Run(r.now)
	r.runCallbacks(2)
	r.expect("ended 5 7")
	r.servers.Start("a", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(6))
	r.runCallbacks(1)
	r.AttemptEnded(attemptID(6), backend.Outcome{Result: decide.OK})
	r.runCallbacks(1)
	r.servers.Start("c", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(7))
	r.runCallbacks(1)
	if diff := cmp.Diff([]string{"a id-2 its connection broke", "c id-7 the pooler ended"}, r.pending()); diff != "" {
		t.Errorf("attempts pending at the end (-want +got):\n%s", diff)
	}
	_ = r.store.Close()
	next := newFixture(t, r.disk, journal.BeforeSend)
	if !next.servers.MayHaveRun("id-2") || !next.servers.MayHaveRun("id-7") || next.servers.MayHaveRun("id-6") || next.servers.MayHaveRun("id-3") {
		t.Errorf("after a restart only id-2 and id-7 may have run; attempts pending: %q", next.pending())
	}
	next.servers.Start("d", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(2)) // although the clock is as before, no key of the journal is used again
	next.runCallbacks(1)
	if got := next.pending(); len(got) != 3 {
		t.Errorf("attempts pending after one more at the restarted pooler: %q, want 3", got)
	}
	done := make(chan error, 1)
	journal.Clear(next.store, func(err error) { done <- err })
	next.runCallbacks(1)
	if err := <-done; err != nil || len(next.pending()) != 0 {
		t.Errorf("clear the journal: error %v, attempts pending %q, want none", err, next.pending())
	}
	_ = next.store.Close()
}

// TestAttemptIsNotSentIfTheDiskFails checks that in mode BeforeSend an attempt that cannot be recorded is not sent; in mode Alongside it is.
func TestAttemptIsNotSentIfTheDiskFails(t *testing.T) {
	for mode, want := range map[journal.Mode][]string{journal.BeforeSend: {"ended 1 7"}, journal.Alongside: {"start a 1 true"}} {
		d := faultyfs.New()
		r := newFixture(t, d, mode)
		ops, _ := d.Ops()
		d.FailAt, d.Err = ops+2, fmt.Errorf("input/output error")
		r.servers.Start("a", nil, 2e6, backend.SendConditions{AtMostOnce: true}, attemptID(1))
		r.runCallbacks(1)
		r.expect(want...)
		_ = r.store.Close()
	}
}

// TestClockSetBackOverwritesNoAttempt sets the clock back from one start to the next: no entry is overwritten, each attempt stays pending,
// and each id may have run.
func TestClockSetBackOverwritesNoAttempt(t *testing.T) {
	d := faultyfs.New()
	for i, now := range []float64{1e6, 5e5, 5e5, 10, 0} {
		r := newFixture(t, d, journal.BeforeSend)
		r.now = now
		r.servers = New(r, slog.New(slog.NewTextHandler(io.Discard, nil)), r, r.store, journal.BeforeSend)
		r.servers.Wrap(r)
		for k := range uint32(i) {
			if !r.servers.MayHaveRun(fmt.Sprint("id-", k+1)) {
				t.Errorf("start %d at %v: id-%d may have run, but is not reported as such", i, now, k+1)
			}
		}
		r.servers.Start("a", nil, 2e6, backend.SendConditions{AtMostOnce: true}, backend.AttemptID{Request: slotmap.Ref{Index: uint32(i + 1)}})
		r.runCallbacks(1)
		if n := len(journal.Pending(r.store)); n != i+1 {
			t.Errorf("start %d at %v: %d attempts are pending, want %d", i, now, n, i+1)
		}
		if err := r.store.Close(); err != nil {
			t.Fatalf("start %d at %v: close the store: %v", i, now, err)
		}
	}
}
