// Package discovery asks for the list of servers over HTTP: the whole of it, or a watch on its changes.
package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"net"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/timers"
)

// silenceTimeoutMs is how long a call may make no progress: a watch shows a sign of life every 2 s. A machine that
// vanished, or a connection forgotten on the way, closes nothing. What a silent watch misses counts as told 6 s after it
// fell silent: one is found so within 2.5 s, asked for anew at once, and if that is silent too, once more in time. A list may take
// as long from its first byte to its last; so may the head of an answer, from the start of its call.
const silenceTimeoutMs = 2500

var (
	errSilent    = errors.New("silent for too long")
	errStaleList = errors.New("a list older than what was told before")
)

// maxInstances bounds a list: more than that is no group of servers but a fault.
const maxInstances = 10000

// connectTimeoutMs bounds a connection's coming up.
const connectTimeoutMs = 1000

// Where lists are pushed, a watch that ends is asked for anew at once, as what the agent holds counts as told. After one
// that held for less than stableWatchMs the pause doubles, up to what leaves time to hear of a drain.
const (
	minRetryPauseMs = 10
	maxRetryPauseMs = 160
	stableWatchMs   = 1000
)

// Instance is one server in the list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Role        string  `json:"role"`
}

// List is one state of the list, or the changes since the last.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // it is whole
	Instances  []Instance `json:"instances"`

	Restarted bool `json:"-"` // discovery has begun anew: the generation counts from here on, though a higher one was told before
}

// Events is told of lists and of calls that failed or ended.
type Events interface {
	Listed(l *List)
	ListFailed()
}

// Client asks discovery. It holds one watch and one call for the whole list at most.
type Client struct {
	loop             *eventloop.Loop
	log              *slog.Logger
	address          string
	events           Events
	newestGeneration int64 // generation of the newest list from this discovery
	incomplete       bool  // changes were told, but not the whole list that they are changes of
	watch            *httpCall
	fullFetch        *httpCall // for the whole list
	watchOpenedEarly bool      // the watch that is open was not asked for yet, but by Move

	pushMode     bool          // a watch is held open without anybody's asking
	retryPauseMs float64       // before the next one
	retryTimer   *timers.Timer // that is due then
}

// New makes a client that has the list as of the given generation.
func New(l *eventloop.Loop, log *slog.Logger, address string, generation int64, events Events) *Client {
	return &Client{loop: l, log: log, address: address, newestGeneration: generation, events: events}
}

// SetAddress asks another address from now on. What is open at the old one is given up without a word, so that its end
// is nobody's failure, and asked for anew at once. The new one counts generations for itself: its list is asked for
// from the first.
func (c *Client) SetAddress(address string) {
	if address != c.address {
		c.address = address
		c.Restart(0)
	}
}

// Restart gives up what is open and asks for the whole list anew. Lists count from the given generation on, whichever were told before.
func (c *Client) Restart(generation int64) {
	c.newestGeneration, c.incomplete = generation, true
	if previous := c.fullFetch; previous != nil {
		previous.finish(nil)
		c.Fetch()
	}
	c.watchOpenedEarly = false
	c.Watch()
	c.watchOpenedEarly = true
}

// Adopt has lists count from a generation that another process was told of, and asks for the whole list, as discovery may have begun anew
// since. anew tells that the other process saw it do so.
func (c *Client) Adopt(generation int64, restarted bool) {
	if call := c.watch; !restarted && c.incomplete && call != nil && !call.listReceived && call.generationAtStart > 0 { // that is being asked for
		c.newestGeneration = max(c.newestGeneration, generation)
		return
	}
	c.Restart(generation)
}

// SetPushMode holds a watch open from now on, or no longer does: where lists are pushed, nobody asks for them, and their failures
// are nobody's.
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

// scheduleWatch asks for the next pushed watch.
func (c *Client) scheduleWatch(heldMs float64) {
	if c.retryPauseMs = min(maxRetryPauseMs, max(minRetryPauseMs, 2*c.retryPauseMs)); heldMs >= stableWatchMs {
		c.retryPauseMs = minRetryPauseMs
	}
	c.loop.StopTimer(c.retryTimer)
	c.retryTimer = c.loop.At(c.loop.Now()+c.retryPauseMs, func() {
		if c.pushMode && c.watch == nil {
			c.Watch()
		}
	})
}

// WatchEstablished tells whether a watch is open that was answered: what is held is as new as can be.
func (c *Client) WatchEstablished() bool { return c.watch != nil && c.watch.response.status == 200 }

// Watch asks for changes from the list that is held on, in place of a watch that may be open.
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

// watchGeneration is the generation that the list held is known to be of, 0 for none.
func (c *Client) watchGeneration() int64 {
	if c.incomplete {
		return 0
	}
	return c.newestGeneration
}

// Fetch asks for the whole list once, unless that is being asked for.
func (c *Client) Fetch() {
	if c.fullFetch == nil {
		c.fullFetch = c.startCall("/v1/endpoints", false)
	}
}

// httpCall is one HTTP call; it is the loop's Handler.
type httpCall struct {
	client            *Client
	path              string
	isWatch           bool
	startedAt         float64 // asked for then...
	generationAtStart int64   // ...when this was the newest generation
	conn              *eventloop.Conn
	response          response
	timeout           *timers.Timer
	listReceived      bool  // a list has come on it...
	lastGeneration    int64 // ...of this generation last
	ended             bool
}

func (c *Client) startCall(path string, watch bool) *httpCall {
	call := &httpCall{client: c, path: path, isWatch: watch, startedAt: c.loop.Now(), generationAtStart: c.newestGeneration}
	call.resetTimeout()
	c.loop.Dial(c.address, connectTimeoutMs, call, call.finish)
	return call
}

// resetTimeout puts off the time at which the call counts as dead.
func (call *httpCall) resetTimeout() {
	loop := call.client.loop
	loop.StopTimer(call.timeout)
	call.timeout = loop.At(loop.Now()+silenceTimeoutMs, func() { call.finish(errSilent) })
}

// isTimeout tells whether a call ended as nothing came: on it, or in answer to the wish for a connection.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.Is(err, errSilent) || errors.As(err, &netError) && netError.Timeout()
}

// finish ends the call; an error, or the end of a watch, is told as a failure.
func (call *httpCall) finish(err error) {
	if call.ended {
		return
	}
	call.ended = true
	client := call.client
	if client.fullFetch == call {
		client.fullFetch = nil
	}
	client.loop.StopTimer(call.timeout)
	if call.conn != nil {
		call.conn.Close()
	}
	wanted := !call.isWatch || client.watch == call
	if client.watch == call {
		client.watch = nil
	}
	if err != nil && !call.isWatch { // the watch that is open does not stand in for the whole list
		client.watchOpenedEarly = false
	}
	if err != nil && wanted {
		client.log.Info("discovery", "call", call.path, "err", err)
		switch {
		case client.pushMode && call.isWatch:
			client.scheduleWatch(client.loop.Now() - call.startedAt)
			return
		case call.isWatch && isTimeout(err): // it is broken, and what it misses counts before a turn of one's own may come
			client.watchOpenedEarly = false
			client.Watch()
			return
		}
		client.events.ListFailed()
	}
}

// Opened is loop's.
func (call *httpCall) Opened(conn *eventloop.Conn) {
	call.conn = conn
	if call.ended {
		conn.Close()
		return
	}
	_ = conn.Write([]byte("GET " + call.path + " HTTP/1.1\r\nHost: " + call.client.address +
		"\r\nAccept: application/json\r\n\r\n"))
}

// Data is loop's.
func (call *httpCall) Data(b []byte) {
	if call.ended {
		return
	}
	before := call.progress()
	err := call.response.feed(b, call.decodeList)
	if !call.ended && call.progress() != before {
		call.resetTimeout()
	}
	switch {
	case err != nil:
		call.finish(err)
	case call.response.inBody && call.response.status != 200:
		call.finish(fmt.Errorf("status %d", call.response.status))
	case call.listReceived && !call.isWatch: // what may come behind the list is of no interest
		call.finish(nil)
	case call.response.ended && call.isWatch:
		call.finish(errors.New("the watch ended"))
	case call.response.ended:
		call.finish(errors.New("no list in the answer"))
	}
}

// progress grows with each step that the answer makes. Single bytes are none, lest an answer that trickles keeps its call open for ever;
// empty lines are signs of life on a watch alone.
func (call *httpCall) progress() int {
	if call.isWatch {
		return call.response.steps + call.response.lineBreaks
	}
	return call.response.steps
}

// decodeList reads one list.
func (call *httpCall) decodeList(object []byte) error {
	if call.ended || call.response.status != 200 {
		return nil
	}
	var list List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(object, &list); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if len(list.Instances) > maxInstances || list.Generation < 0 {
		return fmt.Errorf("list: generation %d with %d instances", list.Generation, len(list.Instances))
	}
	return call.acceptList(&list)
}

// acceptList tells of a list, unless it is older than what was told before. Calls are handled in turn, so an answer may be.
func (call *httpCall) acceptList(list *List) error {
	client, isFirst := call.client, !call.listReceived
	switch {
	case !isFirst && list.Generation < call.lastGeneration, !call.isWatch && list.Generation < client.newestGeneration:
		return fmt.Errorf("generation %d after %d: %w", list.Generation, max(call.lastGeneration, client.newestGeneration), errStaleList)
	case call.isWatch && isFirst && list.Generation < call.generationAtStart: // discovery has begun anew, and this is how it stands
		client.newestGeneration, client.incomplete, list.Restarted = list.Generation, true, true
	}
	call.listReceived, call.lastGeneration = true, list.Generation
	if list.Generation < client.newestGeneration { // the whole list has been told since these changes
		return nil
	}
	client.newestGeneration = list.Generation
	client.incomplete = client.incomplete && !list.Reset
	if client.incomplete { // changes since what? The list that is held is another's
		client.Fetch()
	}
	client.events.Listed(list)
	return nil
}

// Closed is loop's.
func (call *httpCall) Closed(err error) {
	call.conn = nil
	if err == nil {
		err = errors.New("connection closed")
	}
	call.finish(err)
}
