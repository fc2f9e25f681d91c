package clock

import (
	"os"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// Machine reads a machine's clocks, for what several processes on it tell each other. Tests hand in one whose wall clock steps.
type Machine struct {
	Wall      func() float64 // Unix milliseconds; it may step by any amount
	Monotonic func() float64 // milliseconds since some moment that all processes of this boot share; it never steps
	Boot      string         // names the boot, empty where it is unknown
}

// Instant is a time that another process of the machine can compare with its own.
type Instant struct {
	Boot        string  `json:"boot"`
	MonotonicMs float64 `json:"monotonic_ms"`
}

var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})

// ThisMachine reads the clocks of the machine that the process runs on.
func ThisMachine() Machine {
	return Machine{Wall: Wall, Monotonic: monotonic, Boot: bootID()}
}

func monotonic() float64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return float64(now.Sec)*1e3 + float64(now.Nsec)/1e6
}

// Now returns the present moment.
func (m Machine) Now() Instant { return Instant{Boot: m.Boot, MonotonicMs: m.Monotonic()} }

// Since returns the milliseconds since a moment, and false where it is of another boot, or of one that is unknown.
func (m Machine) Since(moment Instant) (ms float64, known bool) {
	if m.Boot == "" || moment.Boot != m.Boot {
		return 0, false
	}
	return m.Monotonic() - moment.MonotonicMs, true
}
