package snapshots

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/invariant"
	"beechgrade/internal/storage/store"
	"beechgrade/internal/testkit/deterministic"
	"beechgrade/internal/testkit/fake/faultyfs"
)

// value returns a record that was saved at a time, for Put.
func value(at float64, body string) func() (*Record, error) {
	return func() (*Record, error) { return &Record{SavedMs: at, Source: "f", Body: []byte(body)}, nil }
}

func panicOnBreach() *invariant.Checks {
	return invariant.New(func(b invariant.Breach) { panic(b.String()) })
}

// machineAt returns a machine of an unknown boot whose wall clock shows a time.
func machineAt(ms float64) clock.Machine { return clock.Machine{Wall: func() float64 { return ms }} }

// TestAgeIsIndependentOfWallClockSteps checks that within a boot a record's age follows the monotonic clock, whatever steps the wall clock
// makes, and that after a reboot it follows the wall clock.
func TestAgeIsIndependentOfWallClockSteps(t *testing.T) {
	for _, step := range []float64{-3600e3, -3e3, 0, 3e3, 3600e3} {
		d, now, monotonic := faultyfs.New(), 1e12, 5000.0
		machine := clock.Machine{Wall: func() float64 { return now }, Monotonic: func() float64 { return monotonic }, Boot: "b"}
		opt := Options{FS: d, MaxBytes: 1 << 20, MaxAgeMs: 1000, Log: slog.New(slog.DiscardHandler)}
		k, err := Start(opt)
		if err != nil {
			t.Fatalf("start the keeper: %v", err)
		}
		saved := NewRecord(machine, "from", []byte("body"))
		k.Put(List, func() (*Record, error) { return saved, nil })
		k.Stop()
		if k, err = Start(opt); err != nil {
			t.Fatalf("start the keeper again: %v", err)
		}
		now, monotonic = now+step+1000, monotonic+1000
		if r, err := k.Get(List, machine); err != nil || r == nil || r.Age(machine) != 1000 {
			t.Errorf("step of %v ms: got %+v, error %v; want a value of age 1000", step, r, err)
		}
		other := machine
		other.Boot = "c"
		if r, _ := k.Get(List, other); (r != nil) != (step <= 0 && step >= -maxClockSkewMs) {
			t.Errorf("step of %v ms, in another boot: got %+v, want a value: %v", step, r, r == nil)
		}
		monotonic++
		if _, err := k.Get(List, machine); !errors.Is(err, ErrTooOld) {
			t.Errorf("step of %v ms: error for a value that is too old is %v, want ErrTooOld", step, err)
		}
		k.Stop()
	}
}

// TestNextStartReadsTheLastValue checks that the next start reads the value that was stored last if it is within its maximum age, even if the
// clock was set back by up to maxClockSkewMs, but not by more.
func TestNextStartReadsTheLastValue(t *testing.T) {
	d := faultyfs.New()
	opt := Options{FS: d, MaxBytes: 1 << 20, MaxAgeMs: 1000, Log: slog.New(slog.DiscardHandler)}
	k, err := Start(opt)
	if err != nil {
		t.Fatalf("start the keeper: %v", err)
	}
	second, err := Start(opt) // of another process, which stores values once the first one has ended
	if err != nil {
		t.Fatalf("start the keeper of the second process: %v", err)
	}
	k.Put(List, value(1e6, "old"))
	k.Put(List, value(1e6, "a"))
	k.Put(Config, value(1e6, "b"))
	k.Stop()
	second.Stop()
	if r, err := second.Get(List, machineAt(1e6)); r != nil || err != nil {
		t.Errorf("the second process read %+v, error %v; want neither", r, err)
	}
	if k, err = Start(opt); err != nil {
		t.Fatalf("start the keeper again: %v", err)
	}
	defer k.Stop()
	for now, want := range map[float64]error{
		1e6:                      nil,
		1e6 + 1000:               nil,
		1e6 + 1001:               ErrTooOld,
		1e6 - maxClockSkewMs:     nil,
		1e6 - maxClockSkewMs - 1: ErrFromFuture,
	} {
		if r, err := k.Get(List, machineAt(now)); !errors.Is(err, want) || (r != nil) != (want == nil) || r != nil && string(r.Body) != "a" {
			t.Errorf("read at %v: got %+v, error %v; want error %v, and the value without one", now, r, err, want)
		}
	}
	if r, err := k.Get(EndpointList, machineAt(1e6)); r != nil || err != nil {
		t.Errorf("a kind that was never stored: got %+v, error %v; want neither", r, err)
	}
}

// TestDiskFailuresAreReportedAndLeaveACompleteValue fails each operation of the disk once, and loses power at each: the next start reads a
// complete value that was stored, or none, and the failure is logged.
func TestDiskFailuresAreReportedAndLeaveACompleteValue(t *testing.T) {
	run := func(d *faultyfs.Disk) string {
		var log bytes.Buffer
		k, err := Start(Options{
			FS: d, MaxBytes: 1 << 20, MaxAgeMs: 1e9, Log: slog.New(slog.NewTextHandler(&log, nil)),
			Checks: panicOnBreach(), StoreChecks: panicOnBreach(), BatchesPerWalk: 1,
		})
		if err != nil {
			return err.Error()
		}
		for i := range 4 {
			k.save(Config, value(float64(i), strings.Repeat(fmt.Sprint(i), 300)))
		}
		k.Stop()
		return log.String()
	}
	undisturbed := faultyfs.New()
	run(undisturbed)
	ops, _ := undisturbed.Ops()
	for at := 1; at <= ops; at++ {
		for _, power := range []bool{false, true} {
			d := faultyfs.New()
			if d.FailAt, d.Err = at, errors.New("input/output error"); power {
				d.FailAt, d.CrashAt = 0, at
			}
			if logged := run(d); logged == "" {
				t.Errorf("operation %d failed, and nothing was logged", at)
			}
			restarted := d.Restart(rand.New(rand.NewPCG(uint64(at), 1)), true)
			k, err := Start(Options{FS: restarted, MaxBytes: 1 << 20, MaxAgeMs: 1e9, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatalf("operation %d: start the keeper again: %v", at, err)
			}
			if r, err := k.Get(Config, machineAt(0)); err != nil || r != nil && string(r.Body) != strings.Repeat(fmt.Sprint(r.SavedMs), 300) {
				t.Errorf("operation %d: read %+v, error %v; want a complete value or none", at, r, err)
			}
			k.Stop()
		}
	}
	if _, err := decode([]byte("no message")); !errors.Is(err, ErrMalformed) {
		t.Errorf("decode an invalid record: error %v, want ErrMalformed", err)
	}
}

// TestBrokenInvariantsAreReported breaks each invariant of the keeper in turn and expects its report. An intact state reports none.
func TestBrokenInvariantsAreReported(t *testing.T) {
	for want, breaks := range map[string]func(k *Keeper, r *Record){
		"": func(*Keeper, *Record) {},
		"snapshots: a stored value reads back unchanged": func(_ *Keeper, r *Record) { r.SavedMs++ },
		"snapshots: the store has no unknown keys": func(k *Keeper, _ *Record) {
			done := make(chan error, 1)
			k.store.Append([]store.Entry{{Key: "stray"}}, func(err error) { done <- err })
			<-done
		},
		"snapshots: at most one value of each kind is pending": func(k *Keeper, _ *Record) {
			for _, kind := range []string{"1", "2", "3", "4"} {
				k.waiting[kind] = nil
			}
		},
	} {
		s, _, err := store.Open(store.Options{FS: faultyfs.New()})
		if err != nil {
			t.Fatalf("open the store: %v", err)
		}
		k := &Keeper{options: Options{Checks: invariant.New(nil)}, store: s, waiting: map[string]func() (*Record, error){}, lastErrors: map[string]string{}}
		r := &Record{SavedMs: 1, Source: "f", Body: []byte("b")}
		k.save(Config, func() (*Record, error) { return r, nil })
		breaks(k, r)
		k.checkInvariants(Config, r)
		if broken := k.options.Checks.Breaches(); (len(broken) > 0) != (want != "") || want != "" && broken[0].Name != want {
			t.Errorf("breaches: %v, want %q first, or none if that is empty", broken, want)
		}
		_ = s.Close()
	}
}

// TestRandomFailuresLoseNoStoredValue puts values of all kinds, with a power failure at a random operation: each start reads the last value
// that was stored or a later one, complete, and every invariant holds.
func TestRandomFailuresLoseNoStoredValue(t *testing.T) {
	deterministic.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		d := faultyfs.New()
		oldest, newest := map[string]float64{}, map[string]float64{}
		n := 0.0
		for range rapid.IntRange(1, 4).Draw(rt, "lives") {
			checks, storeChecks := invariant.New(nil), invariant.New(nil)
			k, err := Start(Options{
				FS: d, MaxBytes: 1 << 20, MaxAgeMs: 1e9, Log: slog.New(slog.DiscardHandler), Checks: checks, StoreChecks: storeChecks, BatchesPerWalk: 1,
			})
			if err != nil {
				rt.Fatalf("start the keeper: %v", err)
			}
			for _, kind := range []string{Config, List, EndpointList} {
				r, err := k.Get(kind, machineAt(n))
				if err != nil {
					rt.Fatalf("read the value of kind %s: %v", kind, err)
				}
				got := 0.0
				if r != nil {
					got = r.SavedMs
					if string(r.Body) != strings.Repeat(kind, int(got)%90) {
						rt.Fatalf("%s: value %v has body %q", kind, got, r.Body)
					}
				}
				if got < oldest[kind] || got > newest[kind] {
					rt.Fatalf("%s: read value %v, want one from %v to %v", kind, got, oldest[kind], newest[kind])
				}
				oldest[kind], newest[kind] = got, got // a value that was lost must not reappear
			}
			ops, _ := d.Ops()
			d.CrashAt = ops + rapid.IntRange(1, 60).Draw(rt, "until")
			for range rapid.IntRange(0, 12).Draw(rt, "values") {
				n++
				kind := rapid.SampledFrom([]string{Config, List, EndpointList}).Draw(rt, "what")
				r := &Record{SavedMs: n, Body: []byte(strings.Repeat(kind, int(n)%90))}
				newest[kind] = n
				k.Put(kind, func() (*Record, error) { return r, nil })
			}
			k.Stop()
			if now, _ := d.Ops(); now < d.CrashAt { // no power failure: all values were stored
				for kind, at := range newest {
					oldest[kind] = at
				}
			}
			if broken := append(checks.Breaches(), storeChecks.Breaches()...); broken != nil {
				rt.Fatalf("breaches: %v, want none", broken)
			}
			d = d.Restart(rng, true)
		}
	})
}
