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
	frontend *Frontend
	ref      slotmap.Ref
	conn     *eventloop.Conn
	input    pgwire.Reader
	output   []byte
	pool     *pool
	state    *sessionstate.Client
	params   map[string]string // as the client was told
	pid      uint32
	secret   uint32
	since    float64
	started  bool
	closed   bool
	admin    bool

	transaction        *transaction // that is asked for, or whose first answer is due
	link               *link        // that is the client's now
	sessionState       byte         // as the client was told: I, T or E
	skipToSync         bool         // messages are dropped up to the next Sync
	extendedOpen       bool         // messages of the extended protocol went out since the last Sync
	failed             bool         // a statement failed since the last ReadyForQuery
	replaying          bool         // what is held is being sent
	wrote              bool         // the transaction did more than is known to be reading
	transactionStart   float64
	lastCommitMs       float64 // position of the session's last write, Unix ms
	portals            map[string]*sessionstate.Statement
	idleTimer          *timers.Timer      // in a transaction
	limitTimer         *timers.Timer      // of the transaction
	queued             *queuedTransaction // its transaction has not been let in yet
	admitted           bool               // it has been
	admissionMs        float64            // it waited for that
	session            uint64             // in records
	lastServer         string             // server of its transaction before
	endCode            string             // SQLSTATE with which the pooler ended it
	pausedLink         *link              // its server is not read, as this client does not read
	begunTransaction   *transaction       // the transaction that is open, where it has only begun
	beginMessages      []byte             // of it: what the client sent to begin
	unansweredMessages []byte             // of it: what the client sent since that is not answered yet
	deferredAnswers    []byte             // answers that only prepare or begin, held back while all may be asked elsewhere
	flushRequested     bool               // the client wants all answers at once
	resending          bool               // what is sent was sent to another server before
	inPartialMessage   bool               // the client has a message in part
	terminating        bool               // the client has taken its leave, with answers due
	readingPaused      bool               // the client is not read, as its server does not read
	boundRead          *boundRead         // a scattered read that is bound, and begins at the Sync
	page               *page              // ...that runs
	lingering          bool               // its connection is on its way to be closed
}

func newClient(f *Frontend) *client {
	c := &client{frontend: f, input: pgwire.NewReader(f.options.MaxMessage), sessionState: 'I', since: f.eventLoop.Now(), portals: map[string]*sessionstate.Statement{}}
	c.input.Stream(streamThreshold)
	return c
}

// Opened is loop's.
func (c *client) Opened(lc *eventloop.Conn) {
	c.conn = lc
	if c.frontend.options.Spare() < 0 {
		c.endWithError("53300", "too many clients")
	}
}

// Data is loop's.
func (c *client) Data(b []byte) {
	if c.closed {
		return
	}
	c.input.Feed(b)
	c.proceed()
	if !c.closed && c.input.Pending() > c.frontend.options.MaxMessage && c.started && c.mustWait() && c.conn.PauseReading() {
		c.readingPaused = true // what it sends ahead stays with it
	}
	if !c.closed && c.input.Pending() > 4*c.frontend.options.MaxMessage {
		c.endWithError("08P01", "too much sent ahead of the answers")
	}
}

// proceed takes the messages that are there, as far as it may.
func (c *client) proceed() {
	for !c.closed {
		if c.started && c.mustWait() {
			break
		}
		more, err := c.step()
		if err != nil {
			c.endWithError("08P01", err.Error())
			return
		}
		if !more {
			break
		}
	}
	c.flush()
	c.closeIfDraining()
}

// mustWait tells whether the client's next message has to wait: for a connection, or for a server that does not read.
func (c *client) mustWait() bool {
	return c.terminating || c.page != nil || c.queued != nil || c.transaction != nil && (!c.transaction.hasConnection || c.transaction.restarting) || c.link != nil && (c.link.ownQueries > 0 || c.link.awaitsParses || c.link.serverNotReading())
}

// answersOutstanding tells whether an answer is due to what the client sent.
func (c *client) answersOutstanding() bool {
	return c.page != nil || c.queued != nil || c.transaction != nil || c.link != nil && len(c.link.expected) > 0
}

// busy tells whether the client is in the midst of something.
func (c *client) busy() bool {
	return c.page != nil || c.boundRead != nil || c.queued != nil || c.transaction != nil || c.sessionState != 'I' || c.link != nil && len(c.link.expected) > 0 || c.extendedOpen
}

func (c *client) step() (bool, error) {
	if !c.started {
		return c.startup()
	}
	if typ, ok := c.input.Type(); ok && !c.input.InPartialMessage() && !strings.ContainsRune("QXSPBDECHFdcf", rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	m, ok, err := c.input.Next()
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
	b := c.output
	c.output = c.output[:0]
	c.send(b)
	if cap(b) > resumeUnsent {
		c.output = nil
	}
	if !c.closed && c.link != nil && c.pausedLink == nil && c.conn.Unsent() > pauseUnsent && c.link.pauseReading() {
		c.pausedLink = c.link
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
