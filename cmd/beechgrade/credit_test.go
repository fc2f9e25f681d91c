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

// creditOf is a pooler's credit that has not begun, with its files in a folder.
func creditOf(t testing.TB, dir string) (*pooler, func()) {
	t.Helper()
	text := `(peers (listen "127.0.0.1:1") (key "k")) (agreed (voters "a" "b" "c") (dir "` + dir + `")) (credit (price "read" (request 1)) (payment "t" 1 5) (files "` + dir + `"))`
	set, err := settings.Parse("x", []byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	p := newPooler(testConfig(t, "127.0.0.1:1", nil), slog.New(slog.DiscardHandler))
	if err := p.openPeers(peerSettings(t), settings.FleetLimits{}); err != nil {
		t.Fatal(err)
	}
	stop := p.openRaftLog(set.RaftLog)
	end, err := p.openCredit(set.Credit)
	if err != nil {
		t.Fatal(err)
	}
	return p, func() { end(); stop() }
}

// TestCreditEndsWithoutAStart: a pooler that could not begin, as its address is taken, ends all the same.
func TestCreditEndsWithoutAStart(t *testing.T) {
	t.Parallel()
	_, stop := creditOf(t, t.TempDir())
	done := make(chan struct{})
	go func() { stop(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("it hangs: not done in 10 s")
	}
}

// TestLeaseMarksAreInheritedOnce: marks are written whole; those of a process that is there are left alone, of one that is gone they are found once.
func TestLeaseMarksAreInheritedOnce(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	one, stop := creditOf(t, dir)
	x := one.credit
	want := []lease.HighWaterMark{{Key: ledger.Key{Tenant: "t", Holder: x.holder, Generation: 3}, Spent: 70}}
	x.Write(1, want)
	stop()
	two, stopTwo := creditOf(t, dir)
	defer stopTwo()
	if n := len(two.credit.locks); n != 1 {
		t.Fatalf("took over %d files while their process is there", n-1)
	}
	_ = x.locks[x.holder].Close() // as the process's end does
	gone, err := two.credit.lockHolderFiles()
	if d := cmp.Diff([]ledger.Holder{x.holder}, gone); d != "" || err != nil {
		t.Fatal(d, err)
	}
	if gone, _ = two.credit.lockHolderFiles(); len(gone) > 0 {
		t.Error("found twice:", gone)
	}
	b, err := os.ReadFile(x.file(x.holder, marksSuffix))
	if err != nil {
		t.Fatal(err)
	}
	var got []lease.HighWaterMark
	if err := jsoniter.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	two.credit.Erase(x.holder)
	for range 100 {
		if all, _ := filepath.Glob(filepath.Join(dir, "*"+marksSuffix)); len(all) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("files that have served are left")
}

// TestLockedBeforeItIsFound: processes look for the files of those that are no more, all the time, as others begin beside them. None that
// begins loses its own lock to them, and none is taken for one that is no more, neither then nor by one that looks once all have begun.
func TestLockedBeforeItIsFound(t *testing.T) {
	dir := t.TempDir()
	const processes, beginners = 4, 200
	// A process that is there holds its files. A file that nothing refers to any more is closed by the garbage collector, as by the
	// process's end, so all are held until the last look is over.
	var all []*creditGate
	process := func(h ledger.Holder) *creditGate {
		x := &creditGate{set: settings.Credit{Dir: dir}, holder: h, locks: map[ledger.Holder]*os.File{}}
		all = append(all, x)
		return x
	}
	var looking, done sync.WaitGroup
	ended := make(chan struct{})
	for i := range processes {
		x := process(ledger.Holder(1e6 + i))
		if _, err := x.lockHolderFiles(); err != nil {
			t.Fatal(err)
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
				if gone, err := x.lockHolderFiles(); err != nil || len(gone) > 0 {
					t.Errorf("%v are taken for gone: %v", gone, err)
				}
			}
		}()
	}
	for i := range beginners {
		x := process(ledger.Holder(1 + i))
		done.Add(1)
		go func() {
			defer done.Done()
			if gone, err := x.lockHolderFiles(); err != nil || len(gone) > 0 {
				t.Errorf("%v are taken for gone: %v", gone, err)
			}
		}()
	}
	done.Wait()
	close(ended)
	looking.Wait()
	if gone, err := process(2e6).lockHolderFiles(); err != nil || len(gone) > 0 {
		t.Errorf("%v are taken for gone once all have begun: %v", gone, err)
	}
	for _, x := range all {
		if x.locks[x.holder] == nil || len(x.locks) != 1 {
			t.Errorf("process %d holds %d locks", x.holder, len(x.locks))
		}
	}
	runtime.KeepAlive(all)
}
