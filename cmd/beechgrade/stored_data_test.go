package main

import (
	"crypto/sha256"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/cluster/credit/lease"
	"beechgrade/internal/cluster/credit/ledger"
	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/snapshot"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/lifecycle/handover"
	"beechgrade/internal/settings"
	"beechgrade/internal/storage/journal"
	"beechgrade/internal/storage/sessiontoken"
	"beechgrade/internal/storage/snapshots"
	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/golden"
)

// storedData copies the data that version 756537a wrote to its disk, so that a test may open it for writing.
func storedData(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "stored-756537a"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// openStored opens a durable store among the stored data.
func openStored(t testing.TB, dir, name string) *store.Store {
	t.Helper()
	s, recovery, err := store.Open(store.Options{FS: store.Dir(filepath.Join(dir, name)), MaxBytes: 64 << 20, SegmentBytes: 4 << 20})
	if err != nil {
		t.Fatalf("opening the stored data in %s: %v", name, err)
	}
	if recovery.DroppedBytes > 0 {
		t.Errorf("stored data in %s: got %d dropped bytes (%s), want none", name, recovery.DroppedBytes, recovery.Reason)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// asJSON returns a value as JSON, whose keys are those of the stored data.
func asJSON(t testing.TB, value any) string {
	t.Helper()
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestStoredHandoverIsReadable reads a state that a process of the earlier version handed over.
func TestStoredHandoverIsReadable(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join(storedData(t), "handover.state"))
	if err != nil {
		t.Fatal(err)
	}
	state, err := handover.Decode(text)
	if err != nil {
		t.Fatalf("decoding the stored handover state: %v", err)
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-handover.json"), asJSON(t, state))
}

// TestStoredEndpointsAreReadable reads a saved list of servers.
func TestStoredEndpointsAreReadable(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join(storedData(t), "members"))
	if err != nil {
		t.Fatal(err)
	}
	file, err := snapshot.Parse(text)
	if err != nil {
		t.Fatalf("parsing the stored list of servers: %v", err)
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-endpoints.json"), asJSON(t, file))
}

// TestStoredSnapshotsAreReadable reads the last good configuration and list.
func TestStoredSnapshotsAreReadable(t *testing.T) {
	t.Parallel()
	s := openStored(t, storedData(t), "kept")
	_ = s.Close()
	keeper, err := snapshots.Start(snapshots.Options{FS: store.Dir(filepath.Join(storedData(t), "kept")), MaxBytes: 64 << 20, MaxAgeMs: 1e15, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatalf("opening the stored snapshots: %v", err)
	}
	defer keeper.Stop()
	var out strings.Builder
	for _, what := range []string{snapshots.Config, snapshots.List} {
		record, err := keeper.Get(what, clock.ThisMachine())
		if err != nil || record == nil {
			t.Fatalf("stored snapshot %s: got %v, error %v, want a record", what, record, err)
		}
		fmt.Fprintf(&out, "%s from %s, saved at %.0f: %s\n", what, record.Source, record.SavedMs, record.Body)
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-snapshots.txt"), out.String())
}

// TestStoredSessionsAreReadable reads sessions' last commits.
func TestStoredSessionsAreReadable(t *testing.T) {
	t.Parallel()
	s := openStored(t, storedData(t), "sessions")
	keeper, err := sessiontoken.New(s, sessiontoken.BeforeAnswer, clock.ToDuration(18e11), func(f func()) { f() }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("opening the stored sessions: %v", err)
	}
	var out strings.Builder
	for _, commit := range keeper.Snapshot().Commits {
		fmt.Fprintf(&out, "%s %d\n", commit.Session, commit.At)
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-sessions.txt"), out.String())
}

// TestStoredCreditIsReadable reads what a process had spent of its leases when it ended.
func TestStoredCreditIsReadable(t *testing.T) {
	t.Parallel()
	gate := &creditGate{set: settings.Credit{Dir: filepath.Join(storedData(t), "credit")}, holder: 7, locks: map[ledger.Holder]*os.File{}}
	gone, err := gate.lockHolderFiles()
	if err != nil {
		t.Fatalf("locking the stored credit files: %v", err)
	}
	if diff := cmp.Diff([]ledger.Holder{0x2a}, gone); diff != "" {
		t.Fatalf("holders whose process has ended, -want +got:\n%s", diff)
	}
	text, err := os.ReadFile(gate.file(gone[0], marksSuffix))
	if err != nil {
		t.Fatal(err)
	}
	var list []lease.HighWaterMark
	if err := jsoniter.Unmarshal(text, &list); err != nil {
		t.Fatalf("stored credit is no JSON list: %v", err)
	}
	want := []lease.HighWaterMark{{Key: ledger.Key{Tenant: "t", Overdraft: 5, Holder: 0x2a, Generation: 3}, Spent: 70}}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Errorf("stored high-water marks of credit, -want +got:\n%s", diff)
	}
	if again, err := jsoniter.Marshal(list); err != nil || string(again) != string(text) {
		t.Errorf("high-water marks written again: got %s, error %v, want %s as in the file", again, err, text)
	}
}

// TestStoredPlanNumberIsReadable reads the number of the plan for zones that was followed last.
func TestStoredPlanNumberIsReadable(t *testing.T) {
	t.Parallel()
	z := &zoneFailover{set: settings.Zones{Dir: filepath.Join(storedData(t), "zones")}, pooler: &pooler{cfg: &config.Config{Name: "test"}}}
	if number, err := z.loadLastNumber(); number != 12 || err != nil {
		t.Errorf("stored number of the last plan: got %d, error %v, want 12", number, err)
	}
}

// TestStoredJournalIsReadable reads the attempts that may have run when a process was killed.
func TestStoredJournalIsReadable(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	for _, attempt := range journal.Pending(openStored(t, storedData(t), "journal")) {
		fmt.Fprintf(&out, "%s at %s, attempt %d, %.3f: ended as %d\n", attempt.ID, attempt.Server, attempt.Number, attempt.StartedAt, attempt.Outcome)
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-journal.txt"), out.String())
}

// TestStoredRaftLogIsReadable restores the log in common from a voter's disk.
func TestStoredRaftLogIsReadable(t *testing.T) {
	t.Parallel()
	s := openStored(t, storedData(t), "agreed")
	var records []raftlog.Record
	s.Range("", "", func(key string, value []byte) bool {
		records = append(records, raftlog.Record{Key: key, Value: value})
		return true
	})
	settings := raftlog.Defaults()
	settings.Self, settings.Voters = "pooler-0", []string{"pooler-0", "pooler-1", "pooler-2"}
	log := raftlog.New(settings, 0)
	var out strings.Builder
	for _, action := range log.Handle(0, raftlog.StorageLoaded{Records: records}, nil) {
		if len(action.Entry) > 0 || len(action.Data) > 0 {
			fmt.Fprintf(&out, "index %d: entry %x, snapshot %x\n", action.Index, sha256.Sum256(action.Entry), sha256.Sum256(action.Data))
		}
	}
	status := log.Status()
	fmt.Fprintf(&out, "%d records; term %d, commit %d, first %d, last %d\n", len(records), status.Term, status.CommitIndex, status.FirstIndex, status.LastIndex)
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-raft-log.txt"), out.String())
}
