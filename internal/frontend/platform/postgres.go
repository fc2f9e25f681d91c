package platform

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"beechgrade/internal/eventloop"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/eventloop/timers"
	"beechgrade/internal/protocol/pgwire"
)

const (
	maxMessage = 1 << 18       // bytes: twice a value of 64 KiB in hex; a larger message is long...
	maxLong    = 8<<20 + 1<<16 // ...and may have up to a value of 4 MiB in hex
	maxAhead   = 1 << 19       // bytes that a client may send before they are handled; beyond that, commands are refused
	maxRefused = 1 << 12       // unanswered commands of one client, including refused ones
	maxQueue   = 16            // unanswered commands of one client
	maxUnsent  = 1 << 16       // bytes of answers that a client has not read; beyond that, its next command waits
	recheckMs  = 20            // between checks of whether a client has read its answers, and between samples of a parked one
	keepOutput = 1 << 14       // bytes of a buffer kept from one answer to the next
)

// SQLSTATE codes.
const (
	codeProtocol    = "08P01"
	codeRefused     = "53300"
	codeFailed      = "58000"
	codeClosed      = "57P03"
	codeSyntax      = "42601"
	codeUnsupported = "0A000"
)

var (
	errSentAway = errors.New("clients are being sent away")
	errHeld     = errors.New("clients hold too much")
	errAhead    = errors.New("too much is sent ahead of the answers")
)

// Postgres is the frontend for the PostgreSQL protocol. It belongs to the event loop: its methods must be called there.
type Postgres struct {
	loop       *eventloop.Loop
	log        *slog.Logger
	desk       Dispatcher
	budget     Budget
	sessions   slotmap.Table[*session]
	byUse      [uses]list.List // sessions by their use, the longest in that use first
	stage      DrainStage      // of sending clients away
	notReady   bool            // health checks fail
	heldBytes  int             // bytes of waiting input and output
	longBytes  int             // bytes reserved for long messages that are arriving or whose requests are open
	longQueue  []*session      // sessions that wait for memory for a long message, oldest first
	flows      int             // answers being streamed
	turnedAway int             // clients refused since the last sweep

	refusingSince   float64            // when the present stage of sending away passed RefuseCommands
	stageSince      float64            // when the present stage of sending away began
	walks           int                // of the invariants
	ended           [endReasons]uint64 // connections
	refusedForDrain uint64             // commands
}

// NewPostgres returns a frontend without clients.
func NewPostgres(eventLoop *eventloop.Loop, log *slog.Logger, desk Dispatcher, budget Budget) *Postgres {
	return &Postgres{loop: eventLoop, log: log, desk: desk, budget: budget}
}

// Accept returns the handler for a new connection.
func (postgres *Postgres) Accept() eventloop.Handler {
	now := postgres.loop.Now()
	session := &session{postgres: postgres, input: pgwire.NewReader(maxLong), since: now, opened: now, graceEnds: now + freshMs}
	session.ref = postgres.sessions.Put(session)
	return session
}

// Sessions returns the number of connected clients.
func (postgres *Postgres) Sessions() int { return postgres.sessions.Len() }

// Occupied returns the number of descriptors that count against the clients' limit. Up to maxClosing that are being closed do not
// count.
func (postgres *Postgres) Occupied() int {
	return postgres.sessions.Len() - min(postgres.byUse[leaving].Len(), maxClosing)
}

// HasOutstanding reports whether any client waits for an answer or has not read all of one.
func (postgres *Postgres) HasOutstanding() bool {
	owes := false
	postgres.sessions.Each(func(_ slotmap.Ref, session *session) {
		owes = owes || len(session.queue) > 0 || session.conn != nil && session.conn.Unsent() > 0
	})
	return owes
}

// SetReady sets whether the empty query, which clients use as a health check, succeeds.
func (postgres *Postgres) SetReady(ready bool) { postgres.notReady = !ready }

// session is a client's connection. It implements loop.Handler.
type session struct {
	postgres       *Postgres
	ref            slotmap.Ref
	conn           *eventloop.Conn
	input          pgwire.Reader
	arrived        arrivals // of the bytes in input
	unread         unread
	unreadTimer    *timers.Timer // until the next sample of the socket
	queue          []*answer
	started        bool
	asked          bool // it has sent at least one request
	skipToSync     bool // messages are skipped up to Sync, after an error in the extended protocol
	refuseNext     bool // the current command is one too many
	ended          bool // no more commands are accepted
	leaving        bool // nothing more is written, though output may not be flushed yet
	shut           bool // the write side is shut
	closed         bool
	recheckTimer   *timers.Timer
	output         []byte
	since          float64 // when it was accepted, or became idle, in the middle of a message, or leaving
	stuckSince     float64 // since when the client has read nothing of its output, 0 if none waits
	written        int     // bytes of output...
	taken          int     // ...and those of them that the socket had accepted at the last sweep
	heldBytes      int     // its part of postgres.heldBytes
	longBytes      int     // ...and of postgres.longBytes, for a long message that is arriving
	waitsForMemory bool    // it is in postgres.longQueue
	lastData       float64 // when it last sent something
	use            use
	element        *list.Element // in postgres.byUse

	opened          float64 // when it was accepted
	graceEnds       float64 // until when its first request is waited for while clients are sent away
	reason          endReason
	commands        int // handled
	refusedForDrain int // of commands
}

// idle reports whether nothing is read, owed or unsent on the connection.
func (session *session) idle() bool {
	return !session.closed && !session.ended && session.conn != nil && len(session.queue) == 0 && session.input.Pending() == 0 && session.conn.Unsent() == 0
}

// Opened implements loop.Handler.
func (session *session) Opened(conn *eventloop.Conn) {
	session.conn = conn
	if session.postgres.stage >= RefuseCommands {
		session.fatal(endedByDrain, codeClosed, errSentAway.Error())
	} else if !session.postgres.admit(session) {
		session.fatal(endedByRoom, codeRefused, "too many clients")
	}
	session.fileByUse()
}

// Data implements loop.Handler.
func (session *session) Data(data []byte) {
	if session.ended {
		return
	}
	now := session.postgres.loop.Now()
	if session.started && len(session.queue) == 0 && session.input.Pending() == 0 {
		session.since = now
	}
	session.input.Feed(data)
	session.lastData = now
	session.recordArrival(len(data))
	session.proceed()
	session.reserveLong()
	session.postgres.boundMemory()
}

// proceed handles the commands that have been received. A command does not wait for the answers to earlier ones, but its own
// answer does.
func (session *session) proceed() {
	defer session.fileByUse()
	for !session.closed && !session.ended {
		if session.refuseNext = session.full() && session.farAhead(); session.refuseNext && session.hopeless() {
			session.fatal(endedByMemory, codeProtocol, "too much sent ahead of the answers")
			return
		}
		if session.full() && !session.refuseNext {
			break
		}
		more, err := session.step()
		if err != nil {
			session.fatal(endedByProtocol, codeProtocol, err.Error())
			return
		}
		if !more {
			break
		}
	}
	if session.closed || session.ended {
		return
	}
	sendAway := session.postgres.stage >= CloseIdle
	if session.started && session.conn.Unsent() > maxUnsent && (session.input.Pending() > 0 || sendAway) {
		session.proceedIn(recheckMs)
	} else if sendAway && (session.started || session.postgres.stage >= EndPartial) {
		session.sendAway()
	}
}

// full reports whether the next command must wait, for earlier answers or for the client to read them.
func (session *session) full() bool {
	return len(session.queue) >= maxQueue || session.started && session.conn.Unsent() > maxUnsent
}

// farAhead reports whether too much input is waiting, from this client or from all, so that the next command is refused in its
// turn.
func (session *session) farAhead() bool {
	return !session.waitsForMemory && (session.input.Pending() > maxAhead+session.longBytes || session.postgres.heldBytes > session.postgres.heldLimit())
}

// hopeless reports whether too many answers are waiting already, or the client reads none.
func (session *session) hopeless() bool {
	return len(session.queue) >= maxRefused || session.conn.Unsent() > maxAhead
}

// proceedIn schedules proceed, in place of what was scheduled before.
func (session *session) proceedIn(ms float64) {
	eventLoop := session.postgres.loop
	eventLoop.StopTimer(session.recheckTimer)
	session.recheckTimer = eventLoop.At(eventLoop.Now()+ms, session.proceed)
}

// step handles the next message; more reports whether there may be another.
func (session *session) step() (more bool, err error) {
	if !session.started {
		return session.startup()
	}
	// Checked by the first byte, as the rest of something that is no message may take long to arrive.
	if typ, ok := session.input.Type(); ok && !strings.ContainsRune("QXSPBDECHF", rune(typ)) {
		return false, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	message, ok, err := session.input.Next()
	if err != nil || !ok {
		return false, err
	}
	session.commands++
	at := session.arrived.take(len(message.Raw))
	long := session.longBytes
	session.longBytes = 0
	switch message.Type {
	case 'Q':
		sql, err := pgwire.OwnedText(message)
		if err != nil {
			session.postgres.freeLong(long)
			return false, err
		}
		session.query(sql, at, long)
		return true, nil
	case 'X':
		session.end(nil)
	case 'S': // Sync
		session.skipToSync = false
		session.answer(pgwire.AppendReady(session.output[:0]))
	default: // the extended protocol
		if session.skipToSync {
			break
		}
		session.skipToSync = message.Type != 'F'
		session.output = pgwire.AppendError(session.output[:0], "ERROR", codeUnsupported, "only simple queries are taken", "")
		if message.Type == 'F' {
			session.output = pgwire.AppendReady(session.output)
		}
		session.answer(session.output)
	}
	session.postgres.freeLong(long)
	return true, nil
}

// reserveLong reserves memory for a long message that has begun to arrive. If there is not enough, the rest of the message stays
// unread until there is.
func (session *session) reserveLong() {
	postgres, need := session.postgres, session.input.NextLength()
	if session.closed || session.ended || !session.started || session.longBytes > 0 || need <= maxMessage || need > maxLong+1 {
		return
	}
	if postgres.longBytes == 0 || postgres.longBytes+need <= postgres.budget.Memory()/longPart {
		session.longBytes, postgres.longBytes = need, postgres.longBytes+need
		session.input.Grow(need)
		return
	}
	if !session.waitsForMemory {
		session.waitsForMemory, postgres.longQueue = true, append(postgres.longQueue, session)
		if !session.conn.ReadingPaused() {
			session.unread.looked = postgres.loop.EarliestArrival()
		}
	}
	session.parkWhileWaiting()
}

// freeLong releases memory of a long message, and gives it to the sessions that wait for some.
func (postgres *Postgres) freeLong(long int) {
	if long == 0 {
		return
	}
	postgres.longBytes -= long
	for len(postgres.longQueue) > 0 && postgres.longBytes < postgres.budget.Memory()/longPart {
		first := postgres.longQueue[0]
		postgres.longQueue = postgres.longQueue[1:]
		if first.waitsForMemory = false; first.closed {
			continue
		}
		if first.reserveLong(); first.waitsForMemory { // still not enough: it is first in the queue again
			postgres.longQueue = append([]*session{first}, postgres.longQueue[:len(postgres.longQueue)-1]...)
			return
		}
		first.lastData = postgres.loop.Now()
		first.seeUnread()
		first.unread.resume(first.lastData)
		first.conn.ResumeReading()
	}
}

// startup handles the next message of the startup.
func (session *session) startup() (bool, error) {
	before := session.input.Pending()
	kind, ok, err := session.input.Startup()
	if err != nil || !ok {
		return false, err
	}
	session.arrived.take(before - session.input.Pending())
	switch kind {
	case pgwire.StartupEncrypt:
		session.send([]byte{'N'})
	case pgwire.StartupCancel:
		session.leave()
	default:
		session.started, session.since = true, session.postgres.loop.Now()
		session.graceEnds = session.since + freshMs
		session.send(pgwire.AppendWelcome(session.output[:0]))
	}
	return true, nil
}

// query handles a statement whose last byte arrived at the given time; long is the memory that it holds as a long message.
func (session *session) query(sql string, at float64, long int) {
	defer func() { session.postgres.freeLong(long) }()
	command, _, _ := strings.Cut(strings.TrimLeft(strings.TrimRight(sql, "; \t\r\n"), " \t\r\n"), " ")
	switch strings.ToUpper(command) {
	case "":
		if session.postgres.notReady {
			session.answerError(codeClosed, errSentAway)
			return
		}
		session.answer(pgwire.AppendReady(pgwire.AppendEmpty(session.output[:0])))
		return
	case "SET", "RESET", "DISCARD": // accepted without effect, as by the servers
		session.answer(pgwire.AppendReady(pgwire.AppendComplete(session.output[:0], strings.ToUpper(command))))
		return
	}
	if session.postgres.stage >= RefuseCommands {
		session.postgres.refusedForDrain++
		session.refusedForDrain++
		session.asked = true
		session.answerError(codeClosed, errSentAway)
		return
	}
	if session.refuseNext {
		session.answerError(codeRefused, errAhead)
		return
	}
	statement, err := pgwire.ParseStatement(sql)
	if err != nil {
		session.answerError(codeSyntax, err)
		return
	}
	request := Request{ID: statement.RequestID, Class: statement.Class, Tenant: statement.Tenant, IdempotencyKey: statement.IdempotencyKey, PlatformProtocol: true, Writes: statement.Writes, Group: statement.Group, Session: statement.SessionKey, Deadline: at + statement.WaitMs,
		IsRetry: statement.IsRetry, Query: &statement}
	if statement.AfterCommitMs > 0 {
		request.MinPosition = clock.FromUnix(statement.AfterCommitMs)
	}
	size := len(sql) - min(len(sql), long)
	if session.postgres.heldBytes+size > session.postgres.heldLimit()*3/4 { // the rest is reserved for statements that are still arriving
		session.answerError(codeRefused, errHeld)
		return
	}
	answer := session.begin(size)
	answer.open, answer.longBytes, long = true, long, 0
	ref, err := session.postgres.desk.Submit(request, answer)
	switch {
	case err != nil:
		answer.open = false
		answer.finish(pgwire.AppendReady(pgwire.AppendError(session.output[:0], "ERROR", codeSyntax, err.Error(), "")))
	case answer.open && session.closed:
		session.postgres.desk.Abandon(ref)
	case answer.open:
		answer.ref = ref
	}
	session.asked = session.asked || err == nil
}

// send writes data, and keeps its buffer for the next answer unless it is large.
func (session *session) send(data []byte) {
	if session.output = data; cap(data) > keepOutput {
		session.output = nil
	}
	if !session.closed && len(data) > 0 {
		session.written += len(data)
		_ = session.conn.Write(data) // a failed write closes the connection
	}
}

// pass writes data from a buffer that belongs to someone else.
func (session *session) pass(data []byte) {
	session.written += len(data)
	_ = session.conn.Write(data)
	session.countHeld()
}

// answer answers a command that is not a request.
func (session *session) answer(message []byte) { session.begin(0).finish(message) }

// answerError answers a command that is not a request with an error.
func (session *session) answerError(code string, err error) {
	session.answer(pgwire.AppendReady(pgwire.AppendError(session.output[:0], "ERROR", code, err.Error(), "")))
}
