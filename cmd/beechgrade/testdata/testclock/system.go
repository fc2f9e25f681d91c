// Package clock is compiled into the daemons of tests with this file in place of internal/eventloop/clock/system.go (go build -overlay). Its clock
// is that of a machine on which the process gets a small share of a processor.
package clock

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Variables of the environment. Without either, the clock is that of the machine.
const (
	shareVariable = "BEECHGRADE_TEST_SHARE"         // of a processor that the process gets; it sleeps for the rest at each reading
	stepVariable  = "BEECHGRADE_TEST_CLOCK_STEP_MS" // that each reading takes
)

// minSleep is the least that the process sleeps at once; the clock is ahead by what is less.
const minSleep = time.Millisecond

type system struct {
	mu     sync.Mutex
	began  time.Time
	unixMs float64       // the Unix time at began
	share  float64       // 0 for the whole processor
	step   time.Duration // that each reading takes
	used   time.Duration // processor time of the process at the last reading
	owed   time.Duration // that the process has to sleep for it
}

// System returns a clock as the environment asks for it.
func System() Clock {
	now := time.Now()
	s := &system{began: now, unixMs: float64(now.UnixNano()) / nsPerMs, used: cpuTime(unix.CLOCK_PROCESS_CPUTIME_ID)}
	s.share, _ = strconv.ParseFloat(os.Getenv(shareVariable), 64)
	stepMs, _ := strconv.ParseFloat(os.Getenv(stepVariable), 64)
	s.step = time.Duration(stepMs * nsPerMs)
	return s
}

// Now returns the present time in milliseconds.
func (s *system) Now() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owed += s.step
	if s.share > 0 {
		s.chargeProcessorTime()
	}
	if s.owed >= minSleep {
		s.sleep()
	}
	return s.unixMs + float64(time.Since(s.began)+s.owed)/nsPerMs
}

// chargeProcessorTime adds the time during which the process would not have run.
func (s *system) chargeProcessorTime() {
	used := cpuTime(unix.CLOCK_PROCESS_CPUTIME_ID)
	s.owed += time.Duration(float64(used-s.used) * (1/s.share - 1))
	s.used = used
}

// sleep sleeps for what is owed. The processor time that it takes itself is not charged. The runtime does not know of the call, as it would start
// threads for a processor that it takes for free.
func (s *system) sleep() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := cpuTime(unix.CLOCK_THREAD_CPUTIME_ID)
	for s.owed >= minSleep { // a signal of the runtime ends the call early
		from := time.Now()
		pause := unix.NsecToTimespec(int64(s.owed))
		_, _, _ = unix.RawSyscall(unix.SYS_NANOSLEEP, uintptr(unsafe.Pointer(&pause)), 0, 0)
		s.owed -= time.Since(from)
	}
	s.used += cpuTime(unix.CLOCK_THREAD_CPUTIME_ID) - before
}

// cpuTime returns the processor time that the process or the thread has used.
func cpuTime(of int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(of, &t); err != nil {
		panic("clock of the test: " + err.Error())
	}
	return time.Duration(t.Nano())
}
