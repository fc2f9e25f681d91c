// Package clock is the program's one source of time. Every reading is float64 milliseconds on one
// scale: Unix time as it was read at the start, carried on by the monotonic clock, so that it never
// steps. Positions and start times from the outside are mapped by FromUnix; where the machines' clocks
// differ, internal/decide learns by how much.
package clock

import (
	"math"
	"time"
)

// Clock tells the time in milliseconds. Tests set it with Manual.
type Clock interface{ Now() float64 }

type system struct {
	began  time.Time
	unixMs float64
}

// System reads the machine's clocks.
func System() Clock {
	now := time.Now()
	return &system{began: now, unixMs: float64(now.UnixNano()) / 1e6}
}

func (s *system) Now() float64 {
	return s.unixMs + float64(time.Since(s.began))/1e6
}

// Wall reads the machine's clock anew, in Unix milliseconds. It may step, and is for telling that it did, nothing else.
func Wall() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// Manual is a clock that stands where it is set.
type Manual struct{ Ms float64 }

// Now returns the time that was set.
func (m *Manual) Now() float64 { return m.Ms }

// FromUnix maps Unix milliseconds, as the wire has them, onto the clock's scale.
func FromUnix(ms int64) float64 { return float64(ms) }

// mostAheadMs is a day: no clock is stepped further.
const mostAheadMs = 24 * 60 * 60 * 1000

// Plausible reports whether a time that a server stated, as FromUnix maps it, can be one of its clock, which may differ from this one.
func Plausible(ms, now float64) bool { return ms > 0 && ms <= now+mostAheadMs }

// ToDuration converts milliseconds to the decision module's unit, exactly to the nanosecond for whole
// milliseconds: a position and the commit it must reach compare equal only then.
func ToDuration(ms float64) time.Duration {
	whole, part := math.Modf(ms)
	return time.Duration(whole)*time.Millisecond + time.Duration(part*float64(time.Millisecond))
}

// ToMillis converts the decision module's unit to milliseconds.
func ToMillis(d time.Duration) float64 {
	return float64(d/time.Millisecond) + float64(d%time.Millisecond)/float64(time.Millisecond)
}
