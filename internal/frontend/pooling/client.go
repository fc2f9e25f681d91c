package pooling

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/protocol/pgwire"
)

// client is a client's connection; it is the loop's Handler.
type client struct {
	f       *Front
	ref     slotmap.Ref
	conn    *eventloop.Conn
	in      pgwire.Reader
	out     []byte
	pool    *pool
	carry   *sessionstate.Client
	params  map[string]string // as the client was told
	pid     uint32
	secret  uint32
	since   float64
	started bool
	closed  bool
	admin   bool

	txn     *txn  // that is asked for, or whose first answer is due
	link    *link // that is the client's now
	status  byte  // as the client was told: I, T or E
	skip    bool  // messages are dropped up to the next Sync
	open    bool  // messages of the extended protocol went out since the last Sync
	failed  bool  // a statement failed since the last ReadyForQuery
	again   bool  // what is held is being sent
	wrote   bool  // the transaction did more than is known to be reading
	began   float64
	after   float64 // position of the session's last write, Unix ms
	portals map[string]*sessionstate.Text
	idle    *timers.Timer // in a transaction
	limit   *timers.Timer // of the transaction
	outside *outside      // its transaction has not been let in yet
	inside  bool          // it has been
	doorMs  float64       // it waited for that
	session uint64        // in records
	last    string        // server of its transaction before
	ended   string        // SQLSTATE with which the pooler ended it
	paused  *link         // its server is not read, as this client does not read
	opened  *txn          // the transaction that is open, where it has only begun
	opening []byte        // of it: what the client sent to begin
	leg     []byte        // of it: what the client sent since that is not answered yet
	pre     []byte        // answers that only prepare or begin, held back while all may be asked elsewhere
	hurry   bool          // the client wants all answers at once
	redo    bool          // what is sent was sent to another server before
	midst   bool          // the client has a message in part
	leaving bool          // the client has taken its leave, with answers due
	parked  bool          // the client is not read, as its server does not read
	bound   *bound        // a scattered read that is bound, and begins at the Sync
	page    *page         // ...that runs
	lingers bool          // its connection is on its way to be closed
}

func newClient(f *Front) *client {
	c := &client{f: f, in: pgwire.NewReader(f.opt.MaxMessage), status: 'I', since: f.loop.Now(), portals: map[string]*sessionstate.Text{}}
	c.in.Stream(inParts)
	return c
}

// Opened is loop's.
func (c *client) Opened(lc *eventloop.Conn) {
	c.conn = lc
	if c.f.opt.Spare() < 0 {
		c.fatal("53300", "too many clients")
	}
}

// Data is loop's.
func (c *client) Data(b []byte) {
	if c.closed {
		return
	}
	c.in.Feed(b)
	c.proceed()
	if !c.closed && c.in.Pending() > c.f.opt.MaxMessage && c.started && c.waiting() && c.conn.PauseReading() {
		c.parked = true // what it sends ahead stays with it
	}
	if !c.closed && c.in.Pending() > 4*c.f.opt.MaxMessage {
		c.fatal("08P01", "too much sent ahead of the answers")
	}
}

// proceed takes the messages that are there, as far as it may.
func (c *client) proceed() {
	for !c.closed {
		if c.started && c.waiting() {
			break
		}
		more, err := c.step()
		if err != nil {
			c.fatal("08P01", err.Error())
			return
		}
		if !more {
			break
		}
	}
	c.flush()
	c.shed()
}

// waiting tells whether the client's next message has to wait: for a connection, or for a server that does not read.
func (c *client) waiting() bool {
	return c.leaving || c.page != nil || c.outside != nil || c.txn != nil && (!c.txn.on || c.txn.mute) || c.link != nil && (c.link.syncing > 0 || c.link.bound || c.link.stuffed())
}

// owed tells whether an answer is due to what the client sent.
func (c *client) owed() bool {
	return c.page != nil || c.outside != nil || c.txn != nil || c.link != nil && len(c.link.queue) > 0
}

// busy tells whether the client is in the midst of something.
func (c *client) busy() bool {
	return c.page != nil || c.bound != nil || c.outside != nil || c.txn != nil || c.status != 'I' || c.link != nil && len(c.link.queue) > 0 || c.open
}

func (c *client) step() (bool, error) {
	if !c.started {
		return c.startup()
	}
	if typ, ok := c.in.Type(); ok && !c.in.InPartialMessage() && !strings.ContainsRune("QXSPBDECHFdcf", rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	m, ok, err := c.in.Next()
	if err != nil || !ok {
		return false, err
	}
	return true, c.message(m)
}

func (c *client) send(b []byte) {
	if !c.closed && c.conn != nil && len(b) > 0 {
		_ = c.conn.Write(b) // a failed write closes the connection
	}
}

// flush writes what has gathered.
func (c *client) flush() {
	b := c.out
	c.out = c.out[:0]
	c.send(b)
	if cap(b) > littleLeft {
		c.out = nil
	}
	if !c.closed && c.link != nil && c.paused == nil && c.conn.Unsent() > muchUnsent && c.link.park() {
		c.paused = c.link
	}
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// number reads a big-endian number.
func number(b []byte) uint32 { return binary.BigEndian.Uint32(b) }
