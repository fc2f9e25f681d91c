package pooling

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"beechgrade/internal/core"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/protocol/pgwire"
)

// What a client reads over many groups goes to scatter; here is how it asks, by a simple query or by Bind to Sync, and how it hears.

// boundRead is a scattered read on its way from Bind to Sync.
type boundRead struct {
	text     *sessionstate.Statement
	rest     []byte
	describe bool
	execute  bool
}

// page is one that runs. It is scatter.Reader.
type page struct {
	c        *client
	s        *scatter.Scatter
	describe bool // the client wants its rows described
}

const cursorName = "scatter_cursor"

// scatterQuery takes a simple query, where it is of a scattered read.
func (c *client) scatterQuery(sql string) bool {
	a, ok, err := plan.Read(sql)
	if !ok {
		return false
	}
	c.skipToSync = false
	if err == nil && a.CursorParam > 0 {
		err = fmt.Errorf("%w: a simple query has no parameters", plan.ErrComment)
	}
	c.scatter(a, err, nil, nil, true)
	return true
}

// scatterMessage takes a message of the extended protocol, where it is of a scattered read.
func (c *client) scatterMessage(m pgwire.Message) (bool, error) {
	switch m.Type {
	case 'P':
		name, sql, types, err := pgwire.ParseMessage(m.Body)
		if err != nil || !plan.Is(sql) || !c.atTransactionStart() {
			return false, err
		}
		if _, ok, _ := plan.Read(sql); !ok {
			return false, nil
		}
		var old *sessionstate.Statement // that the unnamed one replaces
		if name == "" {
			old = c.state.Detach(name)
		}
		_, twice, err := c.state.Prepare(name, sql, types) // a server has it prepared when the client wants it described
		c.reattach(&expectedAnswer{closed: old}, err != nil)
		switch {
		case err != nil:
			c.endWithError("54000", err.Error())
		case twice:
			c.fail("42P05", fmt.Sprintf("prepared statement %q already exists", name))
		default:
			c.output = append(c.output, '1', 0, 0, 0, 4)
		}
		return true, nil
	case 'B':
		_, name, rest, err := pgwire.BindMessage(m.Body)
		if err != nil {
			return false, err
		}
		t := c.state.Statement(name)
		if t == nil || !plan.Is(t.SQL) {
			return false, nil
		}
		if _, ok, _ := plan.Read(t.SQL); !ok {
			return false, nil
		}
		if !c.atTransactionStart() || c.boundRead != nil {
			c.fail("25001", "a scattered read is a transaction of its own, one at a time")
			return true, nil
		}
		c.boundRead = &boundRead{text: t, rest: bytes.Clone(rest)}
		c.output = append(c.output, '2', 0, 0, 0, 4)
		return true, nil
	}
	if c.boundRead == nil {
		return false, nil
	}
	switch {
	case m.Type == 'D' && len(m.Body) > 1 && m.Body[0] == 'P':
		c.boundRead.describe = true
	case m.Type == 'E' && !c.boundRead.execute:
		c.boundRead.execute = true
	case m.Type == 'H':
	default:
		c.boundRead = nil
		c.fail("0A000", "behind the Bind of a scattered read come Describe, Execute once and Sync")
	}
	return true, nil
}

// scatterSync begins what was bound.
func (c *client) scatterSync() {
	b := c.boundRead
	c.boundRead, c.extendedOpen = nil, false
	if !b.execute {
		c.output = pgwire.AppendReadyInState(c.output, c.sessionState)
		return
	}
	a, _, err := plan.Read(b.text.SQL)
	c.scatter(a, err, b.text.Types, b.rest, b.describe)
}

// scatter begins a page, or says why not.
func (c *client) scatter(a plan.Asked, err error, types, params []byte, describe bool) {
	if err == nil && (!c.atTransactionStart() || c.sessionState != 'I' || c.begunTransaction != nil) {
		c.scatterFail("25001", "a scattered read is a transaction of its own", "")
		return
	}
	if types == nil {
		types = []byte{0, 0}
	}
	if err == nil {
		p := &page{c: c, describe: describe}
		c.page = p
		who := scatter.Who{Database: c.pool.key.database, User: c.pool.key.user, Settings: c.state, Session: sessionKey(c.pid), After: c.lastCommitMs}
		var s *scatter.Scatter
		if s, err = c.frontend.options.Scatter.Begin(a, who, types, params, p); err == nil {
			p.s = s
			return
		}
		c.page = nil
	}
	c.scatterFail(codeOf(err), err.Error(), "")
}

// codeOf is the SQLSTATE of what kept a scattered read from beginning.
func codeOf(err error) string {
	for code, list := range map[string][]error{
		"53300": {scatter.ErrBusy},
		"42704": {scatter.ErrSpec, core.ErrUnknownClass, core.ErrUnknownTenant},
		"42601": {plan.ErrComment, plan.ErrMarks},
		"22023": {scatter.ErrPage, scatter.ErrEncoding, cursor.ErrCut, cursor.ErrKey, cursor.ErrForged, cursor.ErrOld, cursor.ErrStatement, cursor.ErrReader, cursor.ErrOrder,
			cursor.ErrShards},
		"54000": {cursor.ErrLong},
		"42804": {scatter.ErrColumns, merge.ErrValue},
	} {
		for _, e := range list {
			if errors.Is(err, e) {
				return code
			}
		}
	}
	return "58000"
}

// scatterFail ends a scattered read with an error.
func (c *client) scatterFail(code, text, detail string) {
	c.page = nil
	c.output = pgwire.AppendReadyInState(pgwire.AppendError(c.output, "ERROR", code, text, detail), c.sessionState)
	c.scatterEnd()
}

// scatterEnd goes on with what the client sent meanwhile.
func (c *client) scatterEnd() {
	c.flush()
	c.proceedSoon()
	if c.frontend.draining && !c.busy() {
		c.endWithError("57P01", "the pooler is shutting down")
	}
}

func (c *client) scatterGone() {
	if p := c.page; p != nil {
		c.page = nil
		if p.s != nil {
			p.s.Leave()
		}
	}
}

// scatterCancel ends a page at the client's wish.
func (c *client) scatterCancel() {
	if p := c.page; p.s != nil {
		p.s.Leave()
		c.scatterFail("57014", "canceling statement due to user request", "")
	}
}

// Describe is scatter.Reader's.
func (p *page) Describe(row []byte) {
	if p.describe {
		p.c.output = append(p.c.output, row...)
	}
}

// Row is scatter.Reader's.
func (p *page) Row(row []byte) {
	c := p.c
	if c.output = append(c.output, row...); len(c.output) > resumeUnsent {
		c.flush()
	}
}

// Flush is scatter.Reader's.
func (p *page) Flush() {
	if !p.c.closed {
		p.c.flush()
	}
}

// Unsent is scatter.Reader's.
func (p *page) Unsent() int {
	if p.c.closed || p.c.conn == nil {
		return 0
	}
	return p.c.conn.Unsent() + len(p.c.output)
}

// Page is scatter.Reader's.
func (p *page) Page(x *scatter.Page) {
	c := p.c
	if c.page != p {
		return
	}
	c.page = nil
	c.output = pgwire.AppendParameter(c.output, cursorName, x.Cursor)
	if len(x.Missing) > 0 {
		c.output = pgwire.AppendNotice(c.output, "01000", "shards are missing in this page: "+strings.Join(x.Missing, ", "), "")
	}
	c.output = pgwire.AppendComplete(c.output, "SELECT "+strconv.Itoa(x.Rows))
	c.output = pgwire.AppendReadyInState(c.output, c.sessionState)
	c.scatterEnd()
}

// Fail is scatter.Reader's.
func (p *page) Fail(r *execution.Run, err error) {
	c := p.c
	if c.page != p {
		return
	}
	if r.Verdict == execution.Refused {
		detail := ""
		if r.RetryMs > 0 {
			detail = strconv.Itoa(int(math.Ceil(r.RetryMs)))
		}
		code := codeOf(err)
		if code == "58000" {
			code = "53300"
		}
		c.scatterFail(code, err.Error(), detail)
		return
	}
	c.scatterFail(codeOf(err), err.Error(), "")
}
