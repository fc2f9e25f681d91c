package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/decide"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/eventloop/clock"
)

func state(at float64) *State {
	return &State{SavedMs: at, Descriptors: 7, ListSource: "127.0.0.1:8500", Classes: []string{"a"}, Kinds: []string{"k"},
		List: discovery.List{Generation: 4, Reset: true, Instances: []discovery.Instance{{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "up"}}},
		Snapshot: &decide.Snapshot{ClassWork: []float64{0.1}, KindRates: map[int]float64{0: 2}, AverageWork: 0.1,
			Servers: []decide.ServerSnapshot{{ID: "s-1", Role: decide.RolePrimary, RoleAt: 3 * time.Second, Position: time.Second}}}}
}

// TestDamagedStateIsRejected checks that a state that is truncated at any byte, has any byte changed, or is of another version is rejected.
func TestDamagedStateIsRejected(t *testing.T) {
	b, err := Encode(nil, state(5))
	if err != nil {
		t.Fatalf("encode the state: %v", err)
	}
	s, err := Decode(b)
	if diff := cmp.Diff(state(5), s); diff != "" || err != nil {
		t.Fatalf("decode the intact state: error %v (-want +got):\n%s", err, diff)
	}
	for i := range b {
		if _, err := Decode(b[:i]); err == nil {
			t.Errorf("decoded a state truncated to %d bytes", i)
		}
		c := append([]byte(nil), b...)
		c[i] ^= 1
		if _, err := Decode(c); err == nil {
			t.Errorf("decoded a state with byte %d changed", i)
		}
	}
	if _, err := Decode([]byte("beechgrade handover 2" + string(b[len(fileKind):]))); err == nil {
		t.Error("decoded a state of another version")
	}
}

// testMachine is a machine whose clocks are set by the test.
type testMachine struct{ wall, monotonic float64 }

func (m *testMachine) clocks() clock.Machine {
	return clock.Machine{Wall: func() float64 { return m.wall }, Monotonic: func() float64 { return m.monotonic }, Boot: "b"}
}

// saved returns a state that is saved now.
func (m *testMachine) saved() *State {
	s := state(m.wall)
	s.Saved = m.clocks().Now()
	return s
}

// advance advances both clocks.
func (m *testMachine) advance(ms float64) { m.wall, m.monotonic = m.wall+ms, m.monotonic+ms }

// TestOthersAreReadNewestFirst checks that a process reads the states of other processes, the newest first, and not its own. Old states are
// skipped, unreadable files do not prevent reading the others, and abandoned files are removed.
func TestOthersAreReadNewestFirst(t *testing.T) {
	dir, machine := t.TempDir(), &testMachine{wall: 1e12, monotonic: 5000}
	openDir := func() *Directory { return OpenDirectoryOn(machine.clocks(), dir) }
	me, a, b, old := openDir(), openDir(), openDir(), openDir()
	for _, write := range []struct {
		folder    *Directory
		advanceMs float64
	}{{old, 8100}, {a, 800}, {b, 100}, {me, 0}} {
		if err := write.folder.Write(machine.saved()); err != nil {
			t.Fatalf("write the state of a process: %v", err)
		}
		machine.advance(write.advanceMs)
	}
	broken := filepath.Join(dir, "handover-x.state")
	if err := os.WriteFile(broken, []byte("noise"), 0o600); err != nil {
		t.Fatalf("write the unreadable file: %v", err)
	}
	ages := func(ms float64, fails bool) (ages []float64) {
		t.Helper()
		got, err := me.Others(ms)
		if fails != (err != nil) {
			t.Errorf("read the states of other processes: error %v, want one: %v", err, fails)
		}
		for _, s := range got {
			ages = append(ages, s.AgeMs)
			want := state(s.SavedMs)
			want.Saved, want.AgeMs = s.Saved, s.AgeMs
			if diff := cmp.Diff(want, s); diff != "" {
				t.Errorf("state of another process (-want +got):\n%s", diff)
			}
		}
		return ages
	}
	if diff := cmp.Diff([]float64{100, 900}, ages(LiveMs, true)); diff != "" {
		t.Errorf("ages of the running processes' states (-want +got):\n%s", diff)
	}
	b.Remove()
	if diff := cmp.Diff([]float64{900, 9000}, ages(9500, true)); diff != "" {
		t.Errorf("ages of the states of at most 9500 ms (-want +got):\n%s", diff)
	}
	machine.advance(RemoveAfterMs + 1)
	if got := ages(1e9, false); len(got) > 0 {
		t.Errorf("ages of abandoned states that were read: %v, want none", got)
	}
	if remaining, _ := filepath.Glob(filepath.Join(dir, filePrefix+"*")); len(remaining) != 1 || remaining[0] != filepath.Join(dir, me.ownName) {
		t.Errorf("files left: %v, want the process's own alone", remaining)
	}
	if _, err := OpenDirectory(filepath.Join(dir, "none")).Others(LiveMs); err == nil {
		t.Error("no error for a directory that does not exist")
	}
}

// FuzzDecode decodes arbitrary bytes: the result is a complete state or an error.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(nil, state(5))
	f.Add(b)
	f.Add(b[:30])
	f.Add([]byte(fileKind + " 00000000 2\n{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Decode(b); err == nil && s.Snapshot == nil {
			t.Error("a state without a snapshot")
		}
	})
}

// TestWallClockStepsHideNoProcess steps the wall clock in either direction: a running process stays visible, its file is not removed, and a process
// that has ended does not count as running.
func TestWallClockStepsHideNoProcess(t *testing.T) {
	for _, step := range []float64{-3600e3, -3e3, 3e3, 3600e3} {
		dir, machine := t.TempDir(), &testMachine{wall: 1e12, monotonic: 5000}
		writer, reader := OpenDirectoryOn(machine.clocks(), dir), OpenDirectoryOn(machine.clocks(), dir)
		if err := writer.Write(machine.saved()); err != nil {
			t.Fatalf("write the state: %v", err)
		}
		for range 3 {
			machine.wall += step
			if others, err := reader.Others(LiveMs); err != nil || len(others) != 1 || others[0].AgeMs != 0 {
				t.Errorf("step of %v ms: read the states of %d processes, error %v; want one of age 0", step, len(others), err)
			}
		}
		if _, err := os.Stat(filepath.Join(dir, writer.ownName)); err != nil {
			t.Errorf("step of %v ms: file of the running process: %v", step, err)
		}
		machine.monotonic += LiveMs + 1
		if others, _ := reader.Others(LiveMs); len(others) > 0 {
			t.Errorf("step of %v ms: read the state of a process that has ended", step)
		}
	}
}

// TestStateOfAnOlderVersionIsAgedByWallTime checks that the age of a state from a version that writes only the wall time is taken from that.
func TestStateOfAnOlderVersionIsAgedByWallTime(t *testing.T) {
	dir, machine := t.TempDir(), &testMachine{wall: 1e12, monotonic: 5000}
	for at, count := range map[float64]int{1e12 - 100: 1, 1e12 - LiveMs - 1: 0, 1e12 + LiveMs + 1: 0} {
		text, err := Encode(nil, state(at))
		if err != nil {
			t.Fatalf("encode the state: %v", err)
		}
		if err := os.WriteFile(filepath.Join(dir, filePrefix+"older"+fileSuffix), text, 0o600); err != nil {
			t.Fatalf("write the state of the older version: %v", err)
		}
		if others, err := OpenDirectoryOn(machine.clocks(), dir).Others(LiveMs); err != nil || len(others) != count {
			t.Errorf("saved at %.0f: read %d states, error %v; want %d", at, len(others), err, count)
		}
	}
}

// TestStateOfAnotherBootIsNotRead checks that a state from before the machine's last boot is not read.
func TestStateOfAnotherBootIsNotRead(t *testing.T) {
	dir, machine := t.TempDir(), &testMachine{wall: 1e12, monotonic: 5000}
	if err := OpenDirectoryOn(machine.clocks(), dir).Write(machine.saved()); err != nil {
		t.Fatalf("write the state: %v", err)
	}
	clocks := machine.clocks()
	clocks.Boot = "c"
	if others, err := OpenDirectoryOn(clocks, dir).Others(UsefulMs); err != nil || len(others) > 0 {
		t.Errorf("states from another boot: read %d, error %v; want none", len(others), err)
	}
}
