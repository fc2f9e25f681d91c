// Package attempts has the types that describe an attempt to the code that sends attempts and to the code that observes them. It has no
// logic.
package attempts

import (
	"beechgrade/internal/decide"
	"beechgrade/internal/eventloop/slotmap"
)

// ID identifies the request and the attempt that an outcome belongs to.
type ID struct {
	Request slotmap.Ref
	Number  int // of the attempt within its request, from 0
}

// Report is what a server reported about itself.
type Report struct {
	Role        decide.Role
	Position    float64 // milliseconds on the servers' clock: every commit up to then is applied; valid if HasPosition
	HasPosition bool
}
