package pooling

import (
	"fmt"
	"slices"
	"strings"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/frontend/closing"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/memory"
	"beechgrade/internal/protocol/pgwire"
)

// clientMessageTypes are the types of the messages that clients send after the startup.
const clientMessageTypes = "QXSPBDECHFdcf"

// client is a client's connection. It implements eventloop.Handler.
type client struct {
	frontend    *Frontend
	ref         slotmap.Ref
	conn        *eventloop.Conn // nil until it is open
	pool        *pool           // nil until the startup is complete, and in the admin database
	state       *sessionstate.Client
	params      map[string]string // as reported to the client
	pid         uint32            // of its cancel key
	secret      uint32            // of its cancel key
	connectedAt float64           // when it connected
	started     bool              // the startup is complete
	admin       bool              // the client uses the admin database

	// Input and output.
	input            pgwire.Reader
	output           []byte // not written yet
	held             memory.Client
	lastDataAt       float64 // when the client last sent something
	inPartialMessage bool    // the client has received only a part of a message
	readingPaused    bool    // reading from the client is paused, because it has sent too much ahead of the answers
	pausedLink       *link   // a server connection whose reading is paused, because this client does not read
	skipToSync       bool    // messages are skipped up to the next Sync

	// The current transaction.
	sessionState     byte               // as reported to the client
	queued           *queuedTransaction // the transaction that waits for admission, nil for none
	admitted         bool               // the client's transaction was admitted
	admissionMs      float64            // how long the transaction waited for admission
	transaction      *transaction       // submitted, without a complete first answer; nil for none
	link             *link              // the client's server connection
	transactionStart float64
	extendedOpen     bool // messages of the extended protocol were sent since the last Sync
	wrote            bool // the transaction ran a statement that may have written
	failed           bool // a statement failed since the last ReadyForQuery
	portals          map[string]*sessionstate.Statement
	idleTimer        *timers.Timer // bounds the time that the client is idle in a transaction
	limitTimer       *timers.Timer // bounds the transaction

	// A transaction that has only begun, and can restart at another server; restart.go has the rules.
	begunTransaction   *transaction
	beginMessages      []byte // the messages that began the transaction
	unansweredMessages []byte // messages sent after those, and not answered yet
	deferredAnswers    []byte // answers to messages that only prepare or begin, held back while the transaction can restart
	flushRequested     bool   // the client has asked for all answers
	replaying          bool   // kept messages are being sent
	resending          bool   // the kept messages were sent to another server before

	// A scattered read; scatter.go has the rules.
	boundRead *boundRead // bound, begins at the Sync; nil for none
	page      *page      // running; nil for none

	lastCommitMs float64 // position of the session's last write, Unix milliseconds
	sessionHash  uint64  // identifies the session in records
	lastServer   string  // of the previous transaction

	// The end of the connection.
	terminating  bool          // the client has sent Terminate, with answers outstanding
	closed       bool          // removed from the frontend
	lingering    bool          // the connection is being closed
	closingEntry closing.Entry // while it is
	endCode      string        // SQLSTATE with which the pooler ended the connection
}

func newClient(f *Frontend) *client {
	c := &client{
		frontend:     f,
		input:        pgwire.NewReader(f.options.MaxMessage),
		sessionState: pgwire.StateIdle,
		connectedAt:  f.now(),
		portals:      map[string]*sessionstate.Statement{},
	}
	c.input.Stream(streamThreshold)
	return c
}

// Opened implements eventloop.Handler.
func (c *client) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.limitReads()
	if !c.frontend.closing.FreeDescriptors(c.frontend.options.SpareDescriptors) || !c.frontend.account.MakeRoom(memory.RefuseConnections, releasableFor) {
		c.endWithError(codeTooManyClients, "too many clients")
	}
}

// Data implements eventloop.Handler.
func (c *client) Data(b []byte) {
	if c.closed {
		return
	}
	c.input.Borrow(b)
	c.lastDataAt = c.frontend.now()
	c.proceed()
	c.input.Retain(0)
	c.chargeMemory()
	maxMessage := c.frontend.options.MaxMessage
	if !c.closed {
		c.limitReads()
	}
	if c.closed || c.input.Pending() <= maxMessage {
		return
	}
	if c.started && c.mustWait() && c.conn.PauseReading() {
		c.readingPaused = true // further input stays in the client's send buffer
	}
	if c.input.Pending() > maxPipelinedParts*maxMessage {
		c.endWithError(codeProtocol, "too much sent ahead of the answers")
	}
}

// proceed handles received messages until one must wait or is incomplete.
func (c *client) proceed() {
	for !c.closed {
		if c.started && c.mustWait() {
			break
		}
		if c.frontend.eventLoop.TurnOver() {
			c.conn.ContinueLater(c.proceed)
			break
		}
		more, err := c.step()
		if err != nil {
			c.endWithError(codeProtocol, err.Error())
			return
		}
		if !more {
			break
		}
	}
	c.flush()
	c.closeIfDraining()
}

// mustWait reports whether the client's next message must wait: for a scattered read, for a server connection, for the answer to a Query or a
// Sync, or for a server that does not accept more.
func (c *client) mustWait() bool {
	switch {
	case c.terminating, c.page != nil, c.queued != nil:
		return true
	case c.transaction != nil && (!c.transaction.hasConnection || c.transaction.restarting):
		return true
	}
	if c.link == nil {
		return false
	}
	return c.link.mustWait() || c.link.awaitsReady() && !c.mayCopy()
}

// answersOutstanding reports whether the client has sent a message that is not answered yet.
func (c *client) answersOutstanding() bool {
	if c.page != nil || c.queued != nil || c.transaction != nil {
		return true
	}
	return c.linkBusy()
}

// busy reports whether the client is in a transaction, or waits for an answer.
func (c *client) busy() bool {
	return c.answersOutstanding() || c.boundRead != nil || c.sessionState != pgwire.StateIdle || c.extendedOpen
}

// linkBusy reports whether answers are expected on the client's server connection.
func (c *client) linkBusy() bool { return c.link != nil && len(c.link.expected) > 0 }

// step handles the next message; more is true if another one may follow.
func (c *client) step() (more bool, err error) {
	if !c.started {
		return c.startup()
	}
	typ, ok := c.input.Type()
	if ok && !c.input.InPartialMessage() && !strings.ContainsRune(clientMessageTypes, rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	message, ok, err := c.input.Next()
	if err != nil || !ok {
		return false, err
	}
	return true, c.message(message)
}

func (c *client) send(b []byte) {
	if !c.closed && c.conn != nil && len(b) > 0 {
		_ = c.conn.Write(b) // a failed write closes the connection
	}
}

// unsent returns the number of bytes written that the client has not accepted.
func (c *client) unsent() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.Unsent()
}

// flush writes the output, and pauses reading from the server while the client does not read.
func (c *client) flush() {
	output := c.output
	c.output = c.output[:0]
	c.send(output)
	if cap(output) > resumeUnsent {
		c.output = nil
	}
	if c.closed || c.link == nil || c.pausedLink != nil {
		return
	}
	if c.conn.Unsent() > c.frontend.window() && c.link.pauseReading() {
		c.pausedLink = c.link
	}
}

// fail answers with an error; the client's further messages are skipped up to Sync.
func (c *client) fail(code, text string) {
	c.skipToSync = true
	c.output = pgwire.AppendError(c.output, "ERROR", code, text, "")
}

// failCommand answers a message with an error. A simple query has no Sync, so nothing is skipped after it.
func (c *client) failCommand(messageType byte, code, text string) {
	c.fail(code, text)
	if messageType == pgwire.Query {
		c.skipToSync = false
		c.appendReady()
	}
}

// appendReady outputs ReadyForQuery with the current transaction status of the session.
func (c *client) appendReady() { c.output = pgwire.AppendReadyInState(c.output, c.sessionState) }

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
