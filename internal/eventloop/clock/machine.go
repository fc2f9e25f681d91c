package clock

import (
	"os"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// Machine reads the clocks of a machine, for times that its processes exchange. Tests replace the functions, for instance by a wall
// clock that steps.
type Machine struct {
	Wall      func() float64 // Unix milliseconds; it may step by any amount
	Monotonic func() float64 // milliseconds since a time that all processes of this boot share; it never steps
	Boot      string         // identifies the boot, empty if unknown
}

// Instant is a time that another process of the same machine can compare with its own.
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

// ThisMachine returns the clocks of the machine that the process runs on.
func ThisMachine() Machine {
	return Machine{Wall: Wall, Monotonic: monotonic, Boot: bootID()}
}

func monotonic() float64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return float64(now.Sec)*1e3 + float64(now.Nsec)/nsPerMs
}

// Now returns the present instant.
func (m Machine) Now() Instant { return Instant{Boot: m.Boot, MonotonicMs: m.Monotonic()} }

// Since returns the milliseconds since an instant. known is false if the instant is of another boot, or if the boot of either is unknown.
func (m Machine) Since(instant Instant) (ms float64, known bool) {
	if m.Boot == "" || instant.Boot != m.Boot {
		return 0, false
	}
	return m.Monotonic() - instant.MonotonicMs, true
}
