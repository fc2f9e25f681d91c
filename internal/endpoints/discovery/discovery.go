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

// silentMs is how long a call may make no progress: a watch shows a sign of life every 2 s. A machine that
// vanished, or a connection forgotten on the way, closes nothing. What a silent watch misses counts as told 6 s after it
// fell silent: one is found so within 2.5 s, asked for anew at once, and if that is silent too, once more in time. A list may take
// as long from its first byte to its last; so may the head of an answer, from the start of its call.
const silentMs = 2500

var (
	errSilent = errors.New("silent for too long")
	errOlder  = errors.New("a list older than what was told before")
)

// maxInstances bounds a list: more than that is no group of servers but a fault.
const maxInstances = 10000

// connectMs bounds a connection's coming up.
const connectMs = 1000

// Where lists are pushed, a watch that ends is asked for anew at once, as what the agent holds counts as told. After one
// that held for less than heldMs the pause doubles, up to what leaves time to hear of a drain.
const (
	againMs     = 10
	againMostMs = 160
	heldMs      = 1000
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

	Anew bool `json:"-"` // discovery has begun anew: the generation counts from here on, though a higher one was told before
}

// Events is told of lists and of calls that failed or ended.
type Events interface {
	Listed(l *List)
	ListFailed()
}

// Client asks discovery. It holds one watch and one call for the whole list at most.
type Client struct {
	loop   *eventloop.Loop
	log    *slog.Logger
	addr   string
	events Events
	newest int64 // generation of the newest list from this discovery
	partly bool  // changes were told, but not the whole list that they are changes of
	watch  *call
	fetch  *call // for the whole list
	ahead  bool  // the watch that is open was not asked for yet, but by Move

	pushed bool          // a watch is held open without anybody's asking
	pause  float64       // before the next one
	again  *timers.Timer // that is due then
}

// New makes a client that has the list as of the given generation.
func New(l *eventloop.Loop, log *slog.Logger, addr string, gen int64, events Events) *Client {
	return &Client{loop: l, log: log, addr: addr, newest: gen, events: events}
}

// Move asks another address from now on. What is open at the old one is given up without a word, so that its end
// is nobody's failure, and asked for anew at once. The new one counts generations for itself: its list is asked for
// from the first.
func (c *Client) Move(addr string) {
	if addr != c.addr {
		c.addr = addr
		c.StartOver(0)
	}
}

// StartOver gives up what is open and asks for the whole list anew. Lists count from the given generation on, whichever were told before.
func (c *Client) StartOver(gen int64) {
	c.newest, c.partly = gen, true
	if old := c.fetch; old != nil {
		old.end(nil)
		c.Fetch()
	}
	c.ahead = false
	c.Watch()
	c.ahead = true
}

// Adopt has lists count from a generation that another process was told of, and asks for the whole list, as discovery may have begun anew
// since. anew tells that the other process saw it do so.
func (c *Client) Adopt(gen int64, anew bool) {
	if k := c.watch; !anew && c.partly && k != nil && !k.told && k.held > 0 { // that is being asked for
		c.newest = max(c.newest, gen)
		return
	}
	c.StartOver(gen)
}

// Push holds a watch open from now on, or no longer does: where lists are pushed, nobody asks for them, and their failures
// are nobody's.
func (c *Client) Push(on bool) {
	if on == c.pushed {
		return
	}
	c.pushed = on
	c.loop.StopTimer(c.again)
	if on && c.watch == nil {
		c.Watch()
	}
}

// repush asks for the next pushed watch.
func (c *Client) repush(held float64) {
	if c.pause = min(againMostMs, max(againMs, 2*c.pause)); held >= heldMs {
		c.pause = againMs
	}
	c.loop.StopTimer(c.again)
	c.again = c.loop.At(c.loop.Now()+c.pause, func() {
		if c.pushed && c.watch == nil {
			c.Watch()
		}
	})
}

// Holds tells whether a watch is open that was answered: what is held is as new as can be.
func (c *Client) Holds() bool { return c.watch != nil && c.watch.reply.status == 200 }

// Watch asks for changes from the list that is held on, in place of a watch that may be open.
func (c *Client) Watch() {
	if c.ahead && c.watch != nil {
		c.ahead = false
		return
	}
	if old := c.watch; old != nil {
		c.watch = nil
		old.end(nil)
	}
	c.watch = c.call(fmt.Sprintf("/v1/endpoints?watch=1&from=%d", c.from()), true)
}

// from is the generation that the list held is known to be of, 0 for none.
func (c *Client) from() int64 {
	if c.partly {
		return 0
	}
	return c.newest
}

// Fetch asks for the whole list once, unless that is being asked for.
func (c *Client) Fetch() {
	if c.fetch == nil {
		c.fetch = c.call("/v1/endpoints", false)
	}
}

// call is one HTTP call; it is the loop's Handler.
type call struct {
	client *Client
	path   string
	watch  bool
	from   float64 // asked for then...
	held   int64   // ...when this was the newest generation
	conn   *eventloop.Conn
	reply  reply
	timer  *timers.Timer
	told   bool  // a list has come on it...
	last   int64 // ...of this generation last
	over   bool
}

func (c *Client) call(path string, watch bool) *call {
	k := &call{client: c, path: path, watch: watch, from: c.loop.Now(), held: c.newest}
	k.alive()
	c.loop.Dial(c.addr, connectMs, k, k.end)
	return k
}

// alive puts off the time at which the call counts as dead.
func (k *call) alive() {
	l := k.client.loop
	l.StopTimer(k.timer)
	k.timer = l.At(l.Now()+silentMs, func() { k.end(errSilent) })
}

// silent tells whether a call ended as nothing came: on it, or in answer to the wish for a connection.
func silent(err error) bool {
	var ne net.Error
	return errors.Is(err, errSilent) || errors.As(err, &ne) && ne.Timeout()
}

// end ends the call; an error, or the end of a watch, is told as a failure.
func (k *call) end(err error) {
	if k.over {
		return
	}
	k.over = true
	c := k.client
	if c.fetch == k {
		c.fetch = nil
	}
	c.loop.StopTimer(k.timer)
	if k.conn != nil {
		k.conn.Close()
	}
	wanted := !k.watch || c.watch == k
	if c.watch == k {
		c.watch = nil
	}
	if err != nil && !k.watch { // the watch that is open does not stand in for the whole list
		c.ahead = false
	}
	if err != nil && wanted {
		c.log.Info("discovery", "call", k.path, "err", err)
		switch {
		case c.pushed && k.watch:
			c.repush(c.loop.Now() - k.from)
			return
		case k.watch && silent(err): // it is broken, and what it misses counts before a turn of one's own may come
			c.ahead = false
			c.Watch()
			return
		}
		c.events.ListFailed()
	}
}

// Opened is loop's.
func (k *call) Opened(conn *eventloop.Conn) {
	k.conn = conn
	if k.over {
		conn.Close()
		return
	}
	_ = conn.Write([]byte("GET " + k.path + " HTTP/1.1\r\nHost: " + k.client.addr +
		"\r\nAccept: application/json\r\n\r\n"))
}

// Data is loop's.
func (k *call) Data(b []byte) {
	if k.over {
		return
	}
	before := k.progress()
	err := k.reply.feed(b, k.line)
	if !k.over && k.progress() != before {
		k.alive()
	}
	switch {
	case err != nil:
		k.end(err)
	case k.reply.inBody && k.reply.status != 200:
		k.end(fmt.Errorf("status %d", k.reply.status))
	case k.told && !k.watch: // what may come behind the list is of no interest
		k.end(nil)
	case k.reply.ended && k.watch:
		k.end(errors.New("the watch ended"))
	case k.reply.ended:
		k.end(errors.New("no list in the answer"))
	}
}

// progress grows with each step that the answer makes. Single bytes are none, lest an answer that trickles keeps its call open for ever;
// empty lines are signs of life on a watch alone.
func (k *call) progress() int {
	if k.watch {
		return k.reply.steps + k.reply.lines
	}
	return k.reply.steps
}

// line reads one list.
func (k *call) line(b []byte) error {
	if k.over || k.reply.status != 200 {
		return nil
	}
	var l List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if len(l.Instances) > maxInstances || l.Generation < 0 {
		return fmt.Errorf("list: generation %d with %d instances", l.Generation, len(l.Instances))
	}
	return k.take(&l)
}

// take tells of a list, unless it is older than what was told before. Calls are handled in turn, so an answer may be.
func (k *call) take(l *List) error {
	c, first := k.client, !k.told
	switch {
	case !first && l.Generation < k.last, !k.watch && l.Generation < c.newest:
		return fmt.Errorf("generation %d after %d: %w", l.Generation, max(k.last, c.newest), errOlder)
	case k.watch && first && l.Generation < k.held: // discovery has begun anew, and this is how it stands
		c.newest, c.partly, l.Anew = l.Generation, true, true
	}
	k.told, k.last = true, l.Generation
	if l.Generation < c.newest { // the whole list has been told since these changes
		return nil
	}
	c.newest = l.Generation
	c.partly = c.partly && !l.Reset
	if c.partly { // changes since what? The list that is held is another's
		c.Fetch()
	}
	c.events.Listed(l)
	return nil
}

// Closed is loop's.
func (k *call) Closed(err error) {
	k.conn = nil
	if err == nil {
		err = errors.New("connection closed")
	}
	k.end(err)
}
