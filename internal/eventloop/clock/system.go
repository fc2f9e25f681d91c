package clock

import "time"

type system struct {
	began  time.Time
	unixMs float64 // the Unix time at began
}

// System returns a clock that reads the clock of the machine.
func System() Clock {
	now := time.Now()
	return &system{began: now, unixMs: float64(now.UnixNano()) / nsPerMs}
}

// Now returns the present time in milliseconds.
func (s *system) Now() float64 {
	return s.unixMs + float64(time.Since(s.began))/nsPerMs
}
