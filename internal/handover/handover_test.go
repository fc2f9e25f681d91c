package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/decide"
	"beechgrade/internal/membership/discovery"
)

func state(at float64) *State {
	return &State{SavedMs: at, Held: 7, From: "127.0.0.1:8500", Classes: []string{"a"}, Kinds: []string{"k"},
		List: discovery.List{Generation: 4, Reset: true, Instances: []discovery.Instance{{ID: "s-1", HostPort: "127.0.0.1:1", Lifecycle: "up"}}},
		Memory: &decide.Memory{Work: []float64{0.1}, Rates: map[int]float64{0: 2}, Mean: 0.1,
			Servers: []decide.ServerMemory{{ID: "s-1", Role: decide.RolePrimary, RoleAt: 3 * time.Second, Position: time.Second}}}}
}

// TestWholeOrNot: a file that is cut short anywhere, or has any byte changed, is as good as none.
func TestWholeOrNot(t *testing.T) {
	b, err := Append(nil, state(5))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(b)
	if diff := cmp.Diff(state(5), s); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
	for i := range b {
		if _, err := Parse(b[:i]); err == nil {
			t.Errorf("read though cut after %d bytes", i)
		}
		c := append([]byte(nil), b...)
		c[i] ^= 1
		if _, err := Parse(c); err == nil {
			t.Errorf("read though byte %d is another", i)
		}
	}
	if _, err := Parse([]byte("beechgrade handover 2" + string(b[len(kind):]))); err == nil {
		t.Error("read though of another version")
	}
}

// TestFolder: a process hears the others, the newest first, and not itself; what is old is not heard, what is broken does not keep
// the rest from being heard, and what is long dead is removed.
func TestFolder(t *testing.T) {
	dir, now := t.TempDir(), float64(time.Now().UnixMilli())
	me, a, b, old := In(dir), In(dir), In(dir), In(dir)
	for f, at := range map[*Folder]float64{me: now, a: now - 900, b: now - 100, old: now - 9000} {
		if err := f.Write(state(at)); err != nil {
			t.Fatal(err)
		}
	}
	broken, dead := filepath.Join(dir, "handover-x.state"), filepath.Join(dir, "handover-y.state")
	for _, path := range []string{broken, dead} {
		if err := os.WriteFile(path, []byte("noise"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	long := time.Now().Add(-time.Hour)
	if err := os.Chtimes(dead, long, long); err != nil {
		t.Fatal(err)
	}
	got, err := me.Others(now, FreshMs)
	if diff := cmp.Diff([]*State{state(now - 100), state(now - 900)}, got); diff != "" || err == nil {
		t.Error(diff, err)
	}
	if _, err := os.Stat(dead); !os.IsNotExist(err) {
		t.Errorf("the dead one's file: %v", err)
	}
	b.Remove()
	if got, _ := me.Others(now, KnownMs); len(got) != 1 {
		t.Errorf("%d are heard", len(got))
	}
	if _, err := In(filepath.Join(dir, "none")).Others(now, FreshMs); err == nil {
		t.Error("a folder that is not there is read")
	}
}

// FuzzParse: whatever a file holds, it is a whole state or none.
func FuzzParse(f *testing.F) {
	b, _ := Append(nil, state(5))
	f.Add(b)
	f.Add(b[:30])
	f.Add([]byte(kind + " 00000000 2\n{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse(b); err == nil && s.Memory == nil {
			t.Error("a state without a memory")
		}
	})
}

// TestSteppedWallClock: a wall clock that steps between one process's writing and another's reading hides no live process and removes no file
// of one.
func TestSteppedWallClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		dir := t.TempDir()
		writer, reader, now := In(dir), In(dir), float64(time.Now().UnixMilli())
		if err := writer.Write(state(now)); err != nil {
			t.Fatal(err)
		}
		others, err := reader.Others(now+float64(step.Milliseconds()), FreshMs)
		if err != nil || len(others) != 1 {
			t.Errorf("step of %v: %d processes are heard, %v", step, len(others), err)
		}
		if _, err := os.Stat(filepath.Join(dir, writer.own)); err != nil {
			t.Errorf("step of %v: %v", step, err)
		}
	}
}
