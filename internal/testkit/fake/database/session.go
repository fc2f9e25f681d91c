package database

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/protocol/sqltext"

	"github.com/jackc/pgx/v5/pgproto3"
)

// session is an ordinary SQL session at a fake server.
type session struct {
	c         *conn
	be        *pgproto3.Backend
	pid       uint32
	key       uint32
	startup   map[string]string
	settings  map[string]string
	saved     map[string]string // settings at the begin of the transaction
	points    []point
	stmts     map[string]*prepared
	portals   map[string]*portal
	status    byte
	writes    []write // writes of the transaction, applied at its commit
	readOnly  bool
	implicit  bool
	skip      bool
	cancel    context.CancelFunc
	formats   []int16         // result formats of the portal that runs
	sql       string          // statement that runs and may be cancelled
	local     map[string]bool // settings that were changed by SET LOCAL
	committed float64         // log position of the last write that was committed, until it is reported
	losesNext bool            // the connection is reset in place of the next ReadyForQuery
	copyNext  bool            // the next output is sent twice
	locks     int             // advisory locks of the session
}

// point is a savepoint.
type point struct {
	name     string
	settings map[string]string
	writes   int
}

type write struct {
	key   string
	value []byte
}

// sqlError is an error with its SQLSTATE.
type sqlError struct{ code, text string }

func (e *sqlError) Error() string { return e.code + ": " + e.text }

func fail(code, format string, args ...any) error {
	return &sqlError{code, fmt.Sprintf(format, args...)}
}

// serveSession speaks the full protocol with an ordinary client, after its startup message.
func (c *conn) serveSession(params map[string]string) {
	s, f := c.s, c.s.f
	sess := &session{
		c:       c,
		startup: map[string]string{},
		stmts:   map[string]*prepared{},
		portals: map[string]*portal{},
		status:  'I',
	}
	sess.be = pgproto3.NewBackend(c.in, sess)
	for n, v := range params {
		if n != "user" && n != "database" {
			sess.startup[strings.ToLower(n)] = v
		}
	}
	sess.settings = sess.initial()
	f.mu.Lock()
	f.lastPID++
	sess.pid, sess.key = f.lastPID, f.world.Uint32()
	f.sessions[sess.pid] = sess
	f.watch.Sessions++
	f.watch.Open++
	f.watch.MostOpen = max(f.watch.MostOpen, f.watch.Open)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.sessions, sess.pid)
		f.watch.Open--
		f.watch.Locks -= sess.locks
		f.mu.Unlock()
	}()
	sess.be.Send(&pgproto3.AuthenticationOk{})
	for n, v := range map[string]string{
		"server_version":              "15.0",
		"server_encoding":             "UTF8",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
	} {
		sess.be.Send(&pgproto3.ParameterStatus{Name: n, Value: v})
	}
	for n, as := range reportedSettings {
		sess.be.Send(&pgproto3.ParameterStatus{Name: as, Value: sess.settings[n]})
	}
	sess.be.Send(&pgproto3.BackendKeyData{ProcessID: sess.pid, SecretKey: binary.BigEndian.AppendUint32(nil, sess.key)})
	sess.ready()
	if sess.be.Flush() != nil {
		return
	}
	for {
		m, err := sess.be.Receive()
		if err != nil {
			return
		}
		if s.isHung() {
			_, _ = io.Copy(io.Discard, sess.c.in) // until the connection is reset
			return
		}
		if _, end := m.(*pgproto3.Terminate); end || !sess.handle(m) {
			return
		}
	}
}

// Write implements io.Writer: it writes the session's output.
func (sess *session) Write(b []byte) (int, error) {
	if sess.copyNext {
		sess.copyNext = false
		_, err := sess.c.Write(slices.Concat(b, b))
		return len(b), err
	}
	return sess.c.Write(b)
}

func (sess *session) initial() map[string]string {
	out := map[string]string{}
	for n, v := range defaultSettings {
		out[n] = v
	}
	for n, v := range sess.startup {
		out[n] = v
	}
	return out
}

// ready completes an answer with the server's role and position, and ReadyForQuery.
func (sess *session) ready() {
	f, s := sess.c.s.f, sess.c.s
	f.mu.Lock()
	now := f.clk.Now()
	at, role := math.Floor(s.Position(now)), s.Role()
	if sess.committed > 0 {
		at = sess.committed
		sess.committed = 0
	}
	f.mu.Unlock()
	sess.be.Send(&pgproto3.ParameterStatus{Name: "role", Value: role})
	sess.be.Send(&pgproto3.ParameterStatus{Name: "applied_ms", Value: strconv.FormatInt(int64(at), 10)})
	sess.be.Send(&pgproto3.ReadyForQuery{TxStatus: sess.status})
}

// handle processes one message; false if the connection ends.
func (sess *session) handle(m pgproto3.FrontendMessage) bool {
	f, s := sess.c.s.f, sess.c.s
	f.mu.Lock()
	if sess.c.dead { // the message was received before the process ended
		f.mu.Unlock()
		return false
	}
	if now := f.clk.Now(); s.drainListedAt != 0 && now-s.drainListedAt > f.cfg.GraceMs+networkDelayMs {
		f.watch.DuringDrain++
	}
	f.mu.Unlock()
	if sess.skip {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return true
		}
	}
	var err error
	switch m := m.(type) {
	case *pgproto3.Query:
		return sess.simple(m.String)
	case *pgproto3.Parse:
		err = sess.parse(m)
	case *pgproto3.Bind:
		p := sess.stmts[m.PreparedStatement]
		if p == nil {
			err = fail("26000", "prepared statement %q does not exist", m.PreparedStatement)
			break
		}
		f.mu.Lock()
		changed := p.schemaVersion != f.schemaVersion && column(p.sql) != ""
		f.mu.Unlock()
		if changed {
			err = fail("0A000", "cached plan must not change result type")
			break
		}
		args := make([][]byte, len(m.Parameters))
		for i, a := range m.Parameters {
			args[i] = slices.Clone(a)
		}
		sess.portals[m.DestinationPortal] = &portal{p.sql, args, slices.Clone(m.ResultFormatCodes)}
		sess.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		err = sess.describe(m)
	case *pgproto3.Execute:
		p := sess.portals[m.Portal]
		if p == nil {
			err = fail("34000", "portal %q does not exist", m.Portal)
			break
		}
		var alive bool
		sess.formats = p.formats
		alive, err = sess.run(p.sql, p.args, false)
		if !alive {
			return false
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(sess.stmts, m.Name)
		} else {
			delete(sess.portals, m.Name)
		}
		sess.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		sess.skip = false
		sess.endImplicit(nil)
		if sess.status == 'I' { // no portal outlives its transaction
			clear(sess.portals)
		}
		return sess.finish()
	case *pgproto3.Flush:
		return sess.be.Flush() == nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		err = fail("0A000", "%T is not taken", m)
	}
	if err != nil {
		sess.skip = true
		sess.sendError(err)
		return sess.be.Flush() == nil
	}
	return true
}

func (sess *session) sendError(err error) {
	code, text := "XX000", err.Error()
	if e := (*sqlError)(nil); errors.As(err, &e) {
		code, text = e.code, e.text
	}
	sess.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
	if sess.status == 'T' {
		sess.status = 'E'
	}
	if sess.implicit {
		sess.endImplicit(err)
	}
}

func (sess *session) simple(sql string) bool {
	statements, ok := sqltext.SplitEach(sql)
	if !ok {
		sess.sendError(fail("42601", "unterminated quotation or comment"))
		return sess.finish()
	}
	if len(statements) == 1 && statements[0].Kind == sqltext.Empty {
		sess.be.Send(&pgproto3.EmptyQueryResponse{})
		sess.ready()
		return sess.be.Flush() == nil
	}
	wanted := wantedSettings(sql)
	for _, d := range statements {
		alive, err := sess.run(sql[d.From:d.To]+wanted, nil, true)
		if !alive {
			return false
		}
		if err != nil {
			sess.sendError(err)
			break
		}
	}
	sess.endImplicit(nil)
	if sess.status == 'I' {
		clear(sess.portals)
	}
	return sess.finish()
}

// finish completes an answer and sends it, or resets the connection if the answer is to be lost. It returns false if the connection has ended.
func (sess *session) finish() bool {
	if sess.losesNext {
		sess.c.reset()
		return false
	}
	sess.ready()
	return sess.be.Flush() == nil
}

// run executes one statement; alive is false if the connection breaks during it.
func (sess *session) run(sql string, args [][]byte, simple bool) (alive bool, err error) {
	f, s := sess.c.s.f, sess.c.s
	f.mu.Lock()
	if sess.c.dead {
		f.mu.Unlock()
		return false, nil
	}
	f.watch.Statements++
	for _, w := range wantedSetting.FindAllStringSubmatch(sql, -1) {
		if have := sess.settings[w[1]]; have != w[2] && len(f.watch.Mismatches) < 100 {
			f.watch.Mismatches = append(f.watch.Mismatches, fmt.Sprintf("%s: %s is %q, wanted %q", sql, w[1], have, w[2]))
		}
	}
	before, reject, loseAnswer, copyAnswer := f.before, f.reject, f.loseAnswer, f.copyAnswer
	f.mu.Unlock()
	if before != nil && !before(s.Name, sql) {
		sess.c.reset()
		return false, nil
	}
	if reject != nil {
		if code := reject(s.Name, sql); code != "" {
			return true, fail(code, "rejected by the test")
		}
	}
	if loseAnswer != nil && loseAnswer(s.Name, sql) {
		sess.losesNext = true
	}
	if copyAnswer != nil && copyAnswer(s.Name, sql) {
		sess.copyNext = true
	}
	if sess.c.isDead() {
		return false, nil
	}
	d := sqltext.Split(sql)[0]
	if set, ok := sqltext.SetConfig(wantedSetting.ReplaceAllString(sql, "")); ok {
		d = set
	}
	if sess.status == 'E' && d.Kind != sqltext.Rollback && d.Kind != sqltext.Commit && d.Kind != sqltext.RollbackTo {
		return true, fail("25P02", "current transaction is aborted")
	}
	if sess.status == 'I' && !sess.implicit {
		sess.begin()
		sess.implicit = true
	}
	if t := sess.table(sql); t != nil {
		return sess.scattered(t, sql, args, sess.formats, simple)
	}
	tag, rows, err := sess.work(d, sql, args, simple)
	if errors.Is(err, errConnectionClosed) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	if rows != nil {
		if simple {
			sess.be.Send(rowDescription(column(sql)))
		}
		for _, r := range rows {
			sess.be.Send(&pgproto3.DataRow{Values: [][]byte{r}})
		}
	}
	if tag != "" {
		sess.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return true, nil
}
