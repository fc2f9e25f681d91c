// Package discovery asks the platform's discovery for the endpoint list over HTTP: the full list, or a watch that sends its
// changes.
//
// A Client passes on what it receives (Events) and decides which lists are too old to be taken. It holds one watch and one call for
// the full list at most. A call that makes no progress for silenceTimeoutMs ends; a watch that was silent is reopened at once, and
// other failures are passed on, so that the caller decides when to ask again.
package discovery

import (
	"fmt"
	"log/slog"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
)

// Bounds of a call, in milliseconds.
const (
	// silenceTimeoutMs is how long a call may make no progress; a watch sends a line every 2 s. What a silent watch misses must reach
	// the list within 6 s of its falling silent: that is time for the next watch to be silent too, and for one more.
	silenceTimeoutMs = 2500
	connectTimeoutMs = 1000
)

// In push mode a watch that ends is reopened after a pause, which doubles while watches last for less than stableWatchMs.
const (
	minRetryPauseMs = 10
	maxRetryPauseMs = 160
	stableWatchMs   = 1000
)

// maxInstances bounds a list.
const maxInstances = 10000

// Instance is one server in a list, as the platform writes it.
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

// List is the full list of servers, or the changes since the last one.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is full
	Instances  []Instance `json:"instances"`

	// Restarted: discovery has started again, and generations count from this one on, though a higher one was received before.
	Restarted bool `json:"-"`
}

// Events receives lists, and failures of calls that the client does not repeat itself.
type Events interface {
	Listed(list *List)
	ListFailed()
}

// Client asks discovery. It belongs to the event loop.
type Client struct {
	loop             *eventloop.Loop
	log              *slog.Logger
	address          string
	events           Events
	newestGeneration int64 // received from this discovery
	incomplete       bool  // changes were received, but not the full list that they change
	watch            *httpCall
	fullFetch        *httpCall
	watchOpenedEarly bool // the open watch was opened by Restart; the caller's next Watch finds it

	pushMode     bool // a watch is kept open without the caller's asking
	retryPauseMs float64
	retryTimer   *timers.Timer
}

// New returns a client for a caller that has the list of the given generation.
func New(loop *eventloop.Loop, log *slog.Logger, address string, generation int64, events Events) *Client {
	return &Client{loop: loop, log: log, address: address, newestGeneration: generation, events: events}
}

// SetAddress has the client ask another discovery from now on. Calls to the old one are cancelled without a failure and repeated at
// the new one at once. The new one counts its own generations, so its list is asked for from the first.
func (c *Client) SetAddress(address string) {
	if address != c.address {
		c.address = address
		c.Restart(0)
	}
}

// Restart cancels what is open and asks for the full list. Lists count from the given generation on, whatever was received before.
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

// Adopt takes over from another process that received the given generation, and asks for the full list, as discovery may have started
// again since. restarted: the other process saw it do so.
func (c *Client) Adopt(generation int64, restarted bool) {
	watch := c.watch
	fullListPending := c.incomplete && watch != nil && !watch.listReceived && watch.generationAtStart > 0
	if !restarted && fullListPending {
		c.newestGeneration = max(c.newestGeneration, generation)
		return
	}
	c.Restart(generation)
}

// SetPushMode has a watch kept open from now on, or no longer. In push mode failures of watches are not passed on.
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

// scheduleWatch reopens the watch in push mode, after one that lasted for lastedMs.
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

// WatchEstablished reports whether a watch is open and was answered: the list is as new as can be.
func (c *Client) WatchEstablished() bool {
	return c.watch != nil && c.watch.response.status == statusOK
}

// Watch opens a watch from the last list on, in place of one that may be open.
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

// watchGeneration is the generation from which a watch has to send changes, 0 for the full list.
func (c *Client) watchGeneration() int64 {
	if c.incomplete {
		return 0
	}
	return c.newestGeneration
}

// Fetch asks for the full list once, unless it has been asked for.
func (c *Client) Fetch() {
	if c.fullFetch == nil {
		c.fullFetch = c.startCall("/v1/endpoints", false)
	}
}
