// Package fair has stories that play in real time come to the same verdict on a machine that has other work, too.
//
// A story that fails while the machine had little time for it says nothing: its limits of time are for a machine that has some. So it is played
// again, with none of the others beside it. It fails at once where what went wrong hangs on no time at all (Wrong), and where the machine had time.
// A last try is taken as it is, unless most of the processors' time was stolen from the machine meanwhile: then the story is skipped, and says so.
package fair

import (
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"beechgrade/internal/kit/machine"
)

// Limits on the machine's lateness beyond which a story that failed says nothing.
const (
	waitedMost = 0.3
	stolenMost = 0.05
	tries      = 3
	stolenBare = 0.4 // beyond which no limit of time says anything, however often it is played
)

// playing is held by all that play, and by one alone where it plays again.
var playing sync.RWMutex

// Story is a test that plays beside others.
func Story(t *testing.T, story func(t testing.TB)) {
	t.Helper()
	t.Parallel()
	judge(t, story, func() func() machine.Busy {
		w := machine.Begin()
		return w.End
	})
}

func judge(t testing.TB, story func(t testing.TB), watch func() (end func() machine.Busy)) {
	t.Helper()
	for no := 1; ; no++ {
		x := &trial{TB: t}
		var busy machine.Busy
		func() {
			if no == 1 {
				playing.RLock()
				defer playing.RUnlock()
			} else {
				playing.Lock()
				defer playing.Unlock()
			}
			end := watch()
			x.run(story)
			busy = end()
		}()
		again := x.failed.Load() && !x.wrong.Load() && no < tries && (busy.Waited > waitedMost || busy.Stolen > stolenMost)
		for _, line := range x.lines {
			t.Log(line)
		}
		if again {
			t.Logf("the machine had threads wait for %.3f of their time, and %.3f was stolen from it: once more, alone", busy.Waited, busy.Stolen)
			continue
		}
		if x.failed.Load() && !x.wrong.Load() && busy.Stolen > stolenBare {
			t.Skipf("%.3f of the processors' time was stolen in each of %d tries: no verdict", busy.Stolen, no)
		}
		if x.failed.Load() {
			t.Fatalf("failed; the machine had threads wait for %.3f of their time, and %.3f was stolen from it", busy.Waited, busy.Stolen)
		}
		if x.skipped {
			t.SkipNow()
		}
		return
	}
}

// trial is a story's test for one try: it keeps what the story says of itself.
type trial struct {
	testing.TB
	failed, wrong atomic.Bool
	skipped       bool

	mu    sync.Mutex
	lines []string
	after []func()
}

// run plays the story to its end, and cleans up behind it.
func (x *trial) run(story func(t testing.TB)) {
	done := make(chan any, 1)
	go func() {
		defer func() {
			p := recover()
			x.clean()
			done <- p
		}()
		story(x)
	}()
	if p := <-done; p != nil {
		panic(p)
	}
}

func (x *trial) clean() {
	for _, do := range slices.Backward(x.after) {
		do()
	}
}

func (x *trial) say(s string) {
	_, file, line, ok := runtime.Caller(2)
	if ok {
		s = fmt.Sprintf("%s:%d: %s", filepath.Base(file), line, s)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lines = append(x.lines, s)
}

func (x *trial) Cleanup(do func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.after = append(x.after, do)
}

func (x *trial) Helper()                           {}
func (x *trial) Log(args ...any)                   { x.say(fmt.Sprint(args...)) }
func (x *trial) Logf(format string, args ...any)   { x.say(fmt.Sprintf(format, args...)) }
func (x *trial) Fail()                             { x.failed.Store(true) }
func (x *trial) Failed() bool                      { return x.failed.Load() }
func (x *trial) Skipped() bool                     { return x.skipped }
func (x *trial) Error(args ...any)                 { x.say(fmt.Sprint(args...)); x.Fail() }
func (x *trial) Errorf(format string, args ...any) { x.say(fmt.Sprintf(format, args...)); x.Fail() }
func (x *trial) FailNow()                          { x.Fail(); runtime.Goexit() }
func (x *trial) Fatal(args ...any)                 { x.say(fmt.Sprint(args...)); x.FailNow() }
func (x *trial) Fatalf(format string, args ...any) {
	x.say(fmt.Sprintf(format, args...))
	x.FailNow()
}
func (x *trial) SkipNow()         { x.skipped = true; runtime.Goexit() }
func (x *trial) Skip(args ...any) { x.say(fmt.Sprint(args...)); x.SkipNow() }
func (x *trial) Skipf(format string, args ...any) {
	x.say(fmt.Sprintf(format, args...))
	x.SkipNow()
}

// Wrong is an error that hangs on no time: the story fails with it however busy the machine.
func Wrong(t testing.TB, format string, args ...any) {
	t.Helper()
	if x, ok := t.(*trial); ok {
		x.wrong.Store(true)
	}
	t.Errorf(format, args...)
}
