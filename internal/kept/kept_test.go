package kept

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"beechgrade/internal/kit/standin/faulty"
)

func value(at float64, body string) func() (*Record, error) {
	return func() (*Record, error) { return &Record{SavedMs: at, From: "f", Body: []byte(body)}, nil }
}

// TestFound: what was kept last is found by the next start, within its age, by a clock that went back a little too; not by one that
// went back far, whose word on the age is worth nothing.
func TestFound(t *testing.T) {
	d := faulty.New()
	opt := Options{FS: d, MostBytes: 1 << 20, AgeMs: 1000, Log: slog.New(slog.DiscardHandler)}
	k, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Start(opt) // of another process, which keeps on once this one has ended
	if err != nil {
		t.Fatal(err)
	}
	k.Put(List, value(1e6, "old"))
	k.Put(List, value(1e6, "a"))
	k.Put(Config, value(1e6, "b"))
	k.Stop()
	second.Stop()
	if r, err := second.Found(List, 1e6); r != nil || err != nil {
		t.Errorf("the second process read %+v, %v", r, err)
	}
	if k, err = Start(opt); err != nil {
		t.Fatal(err)
	}
	defer k.Stop()
	for now, want := range map[float64]error{1e6: nil, 1e6 + 1000: nil, 1e6 + 1001: ErrOld, 1e6 - aheadMs: nil, 1e6 - aheadMs - 1: ErrAhead} {
		if r, err := k.Found(List, now); !errors.Is(err, want) || (r != nil) != (want == nil) || r != nil && string(r.Body) != "a" {
			t.Errorf("at %v: %+v, %v", now, r, err)
		}
	}
	if r, err := k.Found(Members, 1e6); r != nil || err != nil {
		t.Errorf("never kept: %+v, %v", r, err)
	}
}

// TestDisk: each operation of the disk fails once, and the power goes out at each: the next start finds a value that was kept, whole,
// or none; somebody is told of a failure.
func TestDisk(t *testing.T) {
	play := func(d *faulty.Disk) string {
		var log bytes.Buffer
		k, err := Start(Options{FS: d, MostBytes: 1 << 20, AgeMs: 1e9, Log: slog.New(slog.NewTextHandler(&log, nil))})
		if err != nil {
			return err.Error()
		}
		for i := range 4 {
			k.keep(Config, value(float64(i), strings.Repeat(fmt.Sprint(i), 300)))
		}
		k.Stop()
		return log.String()
	}
	whole := faulty.New()
	play(whole)
	ops, _ := whole.Ops()
	for at := 1; at <= ops; at++ {
		for _, power := range []bool{false, true} {
			d := faulty.New()
			if d.FailAt, d.Err = at, errors.New("input/output error"); power {
				d.FailAt, d.CrashAt = 0, at
			}
			if said := play(d); said == "" {
				t.Errorf("operation %d failed, and nobody was told", at)
			}
			k, err := Start(Options{FS: d.Restart(rand.New(rand.NewPCG(uint64(at), 1)), true), MostBytes: 1 << 20, AgeMs: 1e9, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatalf("operation %d: %v", at, err)
			}
			if r, err := k.Found(Config, 0); err != nil || r != nil && string(r.Body) != strings.Repeat(fmt.Sprint(r.SavedMs), 300) {
				t.Errorf("operation %d: %+v %v", at, r, err)
			}
			k.Stop()
		}
	}
	if _, err := decode([]byte("no message")); !errors.Is(err, ErrForeign) {
		t.Error(err)
	}
}
