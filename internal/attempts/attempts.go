// Package attempts has the types by which those who send attempts to servers and those who observe them speak of an attempt. It has no logic.
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
	Position    float64 // on the clock, valid if HasPosition
	HasPosition bool
}
