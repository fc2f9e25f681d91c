// Package clock is the program's only source of time. Each reading is a float64 in milliseconds on one scale: Unix time as it was
// read at the start of the process, continued by the monotonic clock, so that it never steps. FromUnix maps positions and start
// times of other processes onto that scale. By how much the clocks of machines differ is estimated in internal/decide.
package clock

import (
	"math"
	"time"
)

const (
	nsPerMs    = 1e6
	maxAheadMs = 24 * 60 * 60 * 1000 // a day; no clock of a machine is expected to be further ahead
)

// Clock returns the present time in milliseconds.
type Clock interface{ Now() float64 }

// Wall reads the machine's wall clock, in Unix milliseconds. It may step, and is to be used only to detect that.
func Wall() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// Manual is a clock for tests, which returns the time that it is set to.
type Manual struct{ Ms float64 }

// Now returns the time that was set, in milliseconds.
func (m *Manual) Now() float64 { return m.Ms }

// FromUnix maps Unix milliseconds, as they are on the wire, onto the clock's scale.
func FromUnix(ms int64) float64 { return float64(ms) }

// Plausible reports whether a time that a server reported, mapped by FromUnix, can be a reading of its clock, which may be ahead of
// this machine's by up to a day.
func Plausible(ms, now float64) bool { return ms > 0 && ms <= now+maxAheadMs }

// ToDuration converts milliseconds to a duration, exactly to the nanosecond for whole milliseconds: internal/decide compares
// positions with commits for equality.
func ToDuration(ms float64) time.Duration {
	whole, part := math.Modf(ms)
	return time.Duration(whole)*time.Millisecond + time.Duration(part*float64(time.Millisecond))
}

// ToMillis converts a duration to milliseconds.
func ToMillis(d time.Duration) float64 {
	return float64(d/time.Millisecond) + float64(d%time.Millisecond)/float64(time.Millisecond)
}
