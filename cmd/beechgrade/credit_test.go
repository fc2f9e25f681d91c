package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/settings"
)

// newCreditPooler returns a pooler whose credit is set up but not started, with its files in dir, and a function that stops it.
func newCreditPooler(t testing.TB, dir string) (*pooler, func()) {
	t.Helper()
	text := `(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "` + dir + `")) (credit (price "read" (request 1)) (payment "t" 1 5) (files "` + dir + `"))`
	set, err := settings.Parse("x", []byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatalf("parsing the settings: %v", err)
	}
	p := newPooler(testConfig(t, "127.0.0.1:1", nil), slog.New(slog.DiscardHandler))
	if err := p.openPeers(peerSettings(t), settings.FleetLimits{}); err != nil {
		t.Fatalf("opening the cluster: %v", err)
	}
	stop := p.openRaftLog(set.RaftLog)
	end, err := p.openCredit(set.Credit)
	if err != nil {
		t.Fatalf("opening the credit: %v", err)
	}
	return p, func() { end(); stop() }
}

// TestCreditStopsWithoutStart checks that credit that was never started can be stopped: a pooler cannot start when its address is in use,
// and must exit all the same.
func TestCreditStopsWithoutStart(t *testing.T) {
	t.Parallel()
	_, stop := newCreditPooler(t, t.TempDir())
	done := make(chan struct{})
	go func() { stop(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("stopping credit that was not started has not returned after 10 s")
	}
}

// TestLeaseMarksAreInheritedOnce checks that lease marks are stored complete, that a process leaves the marks of a running process alone,
// and that it takes over those of a process that has ended exactly once.
func TestLeaseMarksAreInheritedOnce(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	one, stop := newCreditPooler(t, dir)
	gate := one.credit
	want := []lease.HighWaterMark{{Key: ledger.Key{Tenant: "t", Holder: gate.holder, Generation: 3}, Spent: 70}}
	gate.Write(1, want)
	stop()
	two, stopTwo := newCreditPooler(t, dir)
	defer stopTwo()
	if n := len(two.credit.locks); n != 1 {
		t.Fatalf("files of a running process that were taken over: got %d, want none", n-1)
	}
	_ = gate.locks[gate.holder].Close() // as when the process ends
	gone, err := two.credit.lockHolderFiles()
	if d := cmp.Diff([]ledger.Holder{gate.holder}, gone); d != "" || err != nil {
		t.Fatalf("holders of ended processes: error %v, -want +got:\n%s", err, d)
	}
	if gone, _ = two.credit.lockHolderFiles(); len(gone) > 0 {
		t.Errorf("holders whose files are taken over a second time: got %v, want none", gone)
	}
	b, err := os.ReadFile(gate.file(gate.holder, marksSuffix))
	if err != nil {
		t.Fatal(err)
	}
	var got []lease.HighWaterMark
	if err := jsoniter.Unmarshal(b, &got); err != nil {
		t.Fatalf("stored lease marks are no JSON list: %v", err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("stored lease marks, -want +got:\n%s", d)
	}
	two.credit.Erase(gate.holder)
	for range 100 {
		if all, _ := filepath.Glob(filepath.Join(dir, "*"+marksSuffix)); len(all) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the files of an ended process are not erased within 1 s")
}

// TestConcurrentStartsKeepTheirLocks checks that processes that continually look for files of ended processes never take over those of a
// process that is starting at the same moment. No starting process loses its lock, and none is taken for ended, neither during the starts
// nor by a process that checks once all have started.
func TestConcurrentStartsKeepTheirLocks(t *testing.T) {
	dir := t.TempDir()
	const processes, starters = 4, 200
	// A running process holds its files open. The garbage collector closes an unreferenced file, as the end of the process would, so all
	// gates stay referenced until the last check is over.
	var all []*creditGate
	process := func(h ledger.Holder) *creditGate {
		gate := &creditGate{set: settings.Credit{Dir: dir}, holder: h, locks: map[ledger.Holder]*os.File{}}
		all = append(all, gate)
		return gate
	}
	var looking, done sync.WaitGroup
	ended := make(chan struct{})
	for i := range processes {
		gate := process(ledger.Holder(1e6 + i))
		if _, err := gate.lockHolderFiles(); err != nil {
			t.Fatalf("process %d: locking its files: %v", gate.holder, err)
		}
		looking.Add(1)
		go func() {
			defer looking.Done()
			for {
				select {
				case <-ended:
					runtime.GC() // while others still look
					return
				default:
				}
				if gone, err := gate.lockHolderFiles(); err != nil || len(gone) > 0 {
					t.Errorf("running process %d takes processes %v for ended, error %v, want none", gate.holder, gone, err)
				}
			}
		}()
	}
	for i := range starters {
		gate := process(ledger.Holder(1 + i))
		done.Add(1)
		go func() {
			defer done.Done()
			if gone, err := gate.lockHolderFiles(); err != nil || len(gone) > 0 {
				t.Errorf("starting process %d takes processes %v for ended, error %v, want none", gate.holder, gone, err)
			}
		}()
	}
	done.Wait()
	close(ended)
	looking.Wait()
	if gone, err := process(2e6).lockHolderFiles(); err != nil || len(gone) > 0 {
		t.Errorf("after all have started, processes %v are taken for ended, error %v, want none", gone, err)
	}
	for _, gate := range all {
		if gate.locks[gate.holder] == nil || len(gate.locks) != 1 {
			t.Errorf("locks of process %d: got %d, want its own only", gate.holder, len(gate.locks))
		}
	}
	runtime.KeepAlive(all)
}
