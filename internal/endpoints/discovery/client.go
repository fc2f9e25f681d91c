// Package discovery requests the endpoint list from the platform's discovery over HTTP: the full list, or a watch that sends its
// changes.
//
// A Client passes on the lists that it receives (Events), and rejects those that are outdated. It keeps at most one watch and one
// fetch of the full list open. A call that makes no progress for silenceTimeoutMs is ended. A watch that timed out is reopened at
// once; other failures are passed on, so that the caller decides when to try again.
package discovery

import (
	"fmt"
	"log/slog"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
)

// Bounds of a call, in milliseconds.
const (
	// silenceTimeoutMs is how long a call may make no progress; a watch sends a line every 2 s. Changes that a silent watch misses
	// must reach the list within 6 s after it fell silent: that leaves time for the next watch to be silent too, and for a third.
	silenceTimeoutMs = 2500
	connectTimeoutMs = 1000
)

// In push mode a watch that ends is reopened after a pause, which doubles as long as watches last for less than stableWatchMs.
const (
	minRetryPauseMs = 10
	maxRetryPauseMs = 160
	stableWatchMs   = 1000
)

// maxInstances is the largest number of instances in a list.
const maxInstances = 10000

// Instance is one server in a list, in the platform's format.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"` // the group
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Role        string  `json:"role"`
}

// List is the full list of servers, or the changes since the previous list.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is full
	Instances  []Instance `json:"instances"`

	// Restarted is set if discovery has restarted: generations count up from this one, although a higher one was received before.
	Restarted bool `json:"-"`
}

// Events receives the lists, and the failures of calls that the client does not repeat itself.
type Events interface {
	Listed(list *List)
	ListFailed()
}

// Client requests lists from discovery. Its methods are called on the event loop.
type Client struct {
	loop             *eventloop.Loop
	log              *slog.Logger
	address          string
	events           Events
	newestGeneration int64 // highest generation received from this discovery since its last restart
	incomplete       bool  // the full list that further changes apply to has not been received
	watch            *httpCall
	fullFetch        *httpCall
	watchOpenedEarly bool // the open watch was opened by Restart; the caller's next call of Watch uses it

	pushMode     bool // the client keeps a watch open by itself
	retryPauseMs float64
	retryTimer   *timers.Timer
}

// New returns a client for a caller that holds the list of the given generation.
func New(loop *eventloop.Loop, log *slog.Logger, address string, generation int64, events Events) *Client {
	return &Client{loop: loop, log: log, address: address, newestGeneration: generation, events: events}
}

// SetAddress switches the client to another discovery. Open calls to the old one are cancelled without reporting a failure, and
// repeated at the new one at once. The new one counts generations of its own, so its full list is requested.
func (c *Client) SetAddress(address string) {
	if address != c.address {
		c.address = address
		c.Restart(0)
	}
}

// Restart cancels the open calls and requests the full list. Later lists are compared with the given generation, whatever was received
// before.
func (c *Client) Restart(generation int64) {
	c.newestGeneration = generation
	c.incomplete = true
	if previous := c.fullFetch; previous != nil {
		previous.finish(nil)
		c.Fetch()
	}
	c.watchOpenedEarly = false
	c.Watch()
	c.watchOpenedEarly = true
}

// Adopt takes over from another process that received the given generation, and requests the full list, as discovery may have
// restarted since. restarted is set if the other process has seen it restart.
func (c *Client) Adopt(generation int64, restarted bool) {
	watch := c.watch
	fullListPending := c.incomplete && watch != nil && !watch.listReceived && watch.generationAtStart > 0
	if !restarted && fullListPending {
		c.newestGeneration = max(c.newestGeneration, generation)
		return
	}
	c.Restart(generation)
}

// SetPushMode switches push mode on or off. In push mode the client keeps a watch open by itself, and does not report failures of
// watches.
func (c *Client) SetPushMode(on bool) {
	if on == c.pushMode {
		return
	}
	c.pushMode = on
	c.loop.StopTimer(c.retryTimer)
	if on && c.watch == nil {
		c.Watch()
	}
}

// scheduleWatch schedules the next watch in push mode, after one that lasted for lastedMs.
func (c *Client) scheduleWatch(lastedMs float64) {
	c.retryPauseMs = min(maxRetryPauseMs, max(minRetryPauseMs, 2*c.retryPauseMs))
	if lastedMs >= stableWatchMs {
		c.retryPauseMs = minRetryPauseMs
	}
	c.loop.StopTimer(c.retryTimer)
	c.retryTimer = c.loop.At(c.loop.Now()+c.retryPauseMs, func() {
		if c.pushMode && c.watch == nil {
			c.Watch()
		}
	})
}

// WatchEstablished reports whether a watch is open and its response has begun, so that the list is up to date.
func (c *Client) WatchEstablished() bool {
	return c.watch != nil && c.watch.response.status == statusOK
}

// Watch opens a watch for the changes after the last list. It replaces a watch that is open.
func (c *Client) Watch() {
	if c.watchOpenedEarly && c.watch != nil {
		c.watchOpenedEarly = false
		return
	}
	if previous := c.watch; previous != nil {
		c.watch = nil
		previous.finish(nil)
	}
	c.watch = c.startCall(fmt.Sprintf("/v1/endpoints?watch=1&from=%d", c.watchGeneration()), true)
}

// watchGeneration is the generation after which a watch is to send changes; 0 requests the full list.
func (c *Client) watchGeneration() int64 {
	if c.incomplete {
		return 0
	}
	return c.newestGeneration
}

// Fetch requests the full list, unless a request for it is open.
func (c *Client) Fetch() {
	if c.fullFetch == nil {
		c.fullFetch = c.startCall("/v1/endpoints", false)
	}
}
