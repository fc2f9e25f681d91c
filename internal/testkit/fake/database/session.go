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
	saved     map[string]string // as they were when the transaction began
	points    []point
	stmts     map[string]*prepared
	portals   map[string]*portal
	status    byte
	writes    []write // of the transaction
	readOnly  bool
	implicit  bool
	skip      bool
	cancel    context.CancelFunc
	forms     []int16         // of the results of the portal that runs
	sql       string          // that may be cancelled
	local     map[string]bool // settings of the transaction alone
	committed float64         // of the last write
}

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

// serveFull speaks the whole protocol to an ordinary client, from its startup message on.
func (c *conn) serveFull(params map[string]string) {
	s, f := c.s, c.s.f
	x := &session{
		c:       c,
		be:      pgproto3.NewBackend(c.in, c),
		startup: map[string]string{},
		stmts:   map[string]*prepared{},
		portals: map[string]*portal{},
		status:  'I',
	}
	for n, v := range params {
		if n != "user" && n != "database" {
			x.startup[strings.ToLower(n)] = v
		}
	}
	x.settings = x.initial()
	f.mu.Lock()
	f.lastPID++
	x.pid, x.key = f.lastPID, f.world.Uint32()
	f.fulls[x.pid] = x
	f.watch.Sessions++
	f.watch.Open++
	f.watch.MostOpen = max(f.watch.MostOpen, f.watch.Open)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.fulls, x.pid)
		f.watch.Open--
		f.mu.Unlock()
	}()
	x.be.Send(&pgproto3.AuthenticationOk{})
	for n, v := range map[string]string{
		"server_version":              "15.0",
		"server_encoding":             "UTF8",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
	} {
		x.be.Send(&pgproto3.ParameterStatus{Name: n, Value: v})
	}
	for n, as := range reportedSettings {
		x.be.Send(&pgproto3.ParameterStatus{Name: as, Value: x.settings[n]})
	}
	x.be.Send(&pgproto3.BackendKeyData{ProcessID: x.pid, SecretKey: binary.BigEndian.AppendUint32(nil, x.key)})
	x.ready()
	if x.be.Flush() != nil {
		return
	}
	for {
		m, err := x.be.Receive()
		if err != nil {
			return
		}
		if s.isHung() {
			_, _ = io.Copy(io.Discard, x.c.in) // until its connection is reset
			return
		}
		if _, end := m.(*pgproto3.Terminate); end || !x.handle(m) {
			return
		}
	}
}

func (x *session) initial() map[string]string {
	out := map[string]string{}
	for n, v := range defaultSettings {
		out[n] = v
	}
	for n, v := range x.startup {
		out[n] = v
	}
	return out
}

// ready ends an answer: role, position, ReadyForQuery.
func (x *session) ready() {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	now := f.clk.Now()
	at, role := math.Floor(s.Position(now)), s.Role()
	if x.committed > 0 {
		at = x.committed
		x.committed = 0
	}
	f.mu.Unlock()
	x.be.Send(&pgproto3.ParameterStatus{Name: "role", Value: role})
	x.be.Send(&pgproto3.ParameterStatus{Name: "applied_ms", Value: strconv.FormatInt(int64(at), 10)})
	x.be.Send(&pgproto3.ReadyForQuery{TxStatus: x.status})
}

// handle works on one message; false where the connection ends.
func (x *session) handle(m pgproto3.FrontendMessage) bool {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	if x.c.dead { // it had come with others
		f.mu.Unlock()
		return false
	}
	if now := f.clk.Now(); s.drainTold != 0 && now-s.drainTold > f.cfg.GraceMs+wayMs {
		f.watch.DuringDrain++
	}
	f.mu.Unlock()
	if x.skip {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return true
		}
	}
	var err error
	switch m := m.(type) {
	case *pgproto3.Query:
		return x.simple(m.String)
	case *pgproto3.Parse:
		err = x.parse(m)
	case *pgproto3.Bind:
		p := x.stmts[m.PreparedStatement]
		if p == nil {
			err = fail("26000", "prepared statement %q does not exist", m.PreparedStatement)
			break
		}
		f.mu.Lock()
		changed := p.shape != f.shape && column(p.sql) != ""
		f.mu.Unlock()
		if changed {
			err = fail("0A000", "cached plan must not change result type")
			break
		}
		args := make([][]byte, len(m.Parameters))
		for i, a := range m.Parameters {
			args[i] = slices.Clone(a)
		}
		x.portals[m.DestinationPortal] = &portal{p.sql, args, slices.Clone(m.ResultFormatCodes)}
		x.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		err = x.describe(m)
	case *pgproto3.Execute:
		p := x.portals[m.Portal]
		if p == nil {
			err = fail("34000", "portal %q does not exist", m.Portal)
			break
		}
		var alive bool
		x.forms = p.forms
		alive, err = x.run(p.sql, p.args, false)
		if !alive {
			return false
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(x.stmts, m.Name)
		} else {
			delete(x.portals, m.Name)
		}
		x.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		x.skip = false
		x.endImplicit(nil)
		if x.status == 'I' { // no portal outlives its transaction
			clear(x.portals)
		}
		x.ready()
		return x.be.Flush() == nil
	case *pgproto3.Flush:
		return x.be.Flush() == nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		err = fail("0A000", "%T is not taken", m)
	}
	if err != nil {
		x.skip = true
		x.sendError(err)
		return x.be.Flush() == nil
	}
	return true
}

func (x *session) sendError(err error) {
	code, text := "XX000", err.Error()
	if e := (*sqlError)(nil); errors.As(err, &e) {
		code, text = e.code, e.text
	}
	x.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
	if x.status == 'T' {
		x.status = 'E'
	}
	if x.implicit {
		x.endImplicit(err)
	}
}

func (x *session) simple(sql string) bool {
	does := sqltext.Split(sql)
	if len(does) == 1 && does[0].Kind == sqltext.Empty {
		x.be.Send(&pgproto3.EmptyQueryResponse{})
		x.ready()
		return x.be.Flush() == nil
	}
	for _, d := range does {
		alive, err := x.run(sql[d.From:d.To]+wantOf(sql), nil, true)
		if !alive {
			return false
		}
		if err != nil {
			x.sendError(err)
			break
		}
	}
	x.endImplicit(nil)
	if x.status == 'I' {
		clear(x.portals)
	}
	x.ready()
	return x.be.Flush() == nil
}

// run works on one statement; false where its connection breaks in the midst of it.
func (x *session) run(sql string, args [][]byte, simple bool) (alive bool, err error) {
	f, s := x.c.s.f, x.c.s
	f.mu.Lock()
	if x.c.dead {
		f.mu.Unlock()
		return false, nil
	}
	f.watch.Statements++
	for _, w := range wantedSetting.FindAllStringSubmatch(sql, -1) {
		if have := x.settings[w[1]]; have != w[2] && len(f.watch.Mismatches) < 100 {
			f.watch.Mismatches = append(f.watch.Mismatches, fmt.Sprintf("%s: %s is %q, wanted %q", sql, w[1], have, w[2]))
		}
	}
	before := f.before
	f.mu.Unlock()
	if before != nil && !before(s.Name, sql) {
		x.c.reset()
		return false, nil
	}
	if x.c.isDead() {
		return false, nil
	}
	d := sqltext.Split(sql)[0]
	if set, ok := sqltext.SetConfig(wantedSetting.ReplaceAllString(sql, "")); ok {
		d = set
	}
	if x.status == 'E' && d.Kind != sqltext.Rollback && d.Kind != sqltext.Commit && d.Kind != sqltext.RollbackTo {
		return true, fail("25P02", "current transaction is aborted")
	}
	if x.status == 'I' && !x.implicit {
		x.begin()
		x.implicit = true
	}
	if t := x.table(sql); t != nil {
		return x.scattered(t, sql, args, x.forms, simple)
	}
	tag, rows, err := x.work(d, sql, args, simple)
	if errors.Is(err, errConnectionClosed) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	if rows != nil {
		if simple {
			x.be.Send(rowDescription(column(sql)))
		}
		for _, r := range rows {
			x.be.Send(&pgproto3.DataRow{Values: [][]byte{r}})
		}
	}
	if tag != "" {
		x.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return true, nil
}
