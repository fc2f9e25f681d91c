package pooling

import (
	"bytes"
	"errors"
	"fmt"
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

// This file connects clients with package scatter, which reads over many groups. A client begins such a read by a simple query, or by
// the messages from Bind to Sync.

// boundRead is a scattered read between its Bind and its Sync.
type boundRead struct {
	statement  *sessionstate.Statement
	parameters []byte // the part of the Bind after the names
	describe   bool
	execute    bool
}

// page is a running scattered read, which returns one page of rows. It implements scatter.Reader.
type page struct {
	client   *client
	read     *scatter.PageRead // nil until the read has begun
	describe bool              // the client gets the description of the rows
}

// cursorParameter is the parameter with which the cursor of the next page is reported.
const cursorParameter = "scatter_cursor"

// scatterQuery begins a scattered read by a simple query, and reports whether the query is one.
func (c *client) scatterQuery(sql string) bool {
	query, ok, err := plan.Parse(sql)
	if !ok {
		return false
	}
	c.skipToSync = false
	if err == nil && query.CursorParam > 0 {
		err = fmt.Errorf("%w: a simple query has no parameters", plan.ErrComment)
	}
	c.scatter(query, err, nil, nil, true)
	return true
}

// scatterMessage handles a message of the extended protocol if it is for a scattered read, and reports whether it is.
func (c *client) scatterMessage(m pgwire.Message) (done bool, err error) {
	switch m.Type {
	case pgwire.Parse:
		return c.scatterParse(m)
	case pgwire.Bind:
		return c.scatterBind(m)
	}
	read := c.boundRead
	if read == nil {
		return false, nil
	}
	switch {
	case m.Type == pgwire.Describe && len(m.Body) > 1 && m.Body[0] == pgwire.PortalTarget:
		read.describe = true
	case m.Type == pgwire.Execute && !read.execute:
		read.execute = true
	case m.Type == pgwire.Flush:
	default:
		c.boundRead = nil
		c.fail(codeUnsupported, "behind the Bind of a scattered read come Describe, Execute once and Sync")
	}
	return true, nil
}

// isScattered reports whether a statement is a scattered read.
func isScattered(sql string) bool {
	if !plan.MayScatter(sql) {
		return false
	}
	_, ok, _ := plan.Parse(sql)
	return ok
}

// scatterParse prepares a scattered read in the pooler. A server prepares it only if the client describes the statement.
func (c *client) scatterParse(m pgwire.Message) (done bool, err error) {
	name, sql, types, err := pgwire.ParseMessage(m.Body)
	if err != nil || !c.atTransactionStart() || !isScattered(sql) {
		return false, err
	}
	var replaced *sessionstate.Statement // the unnamed statement so far
	if name == "" {
		replaced = c.state.Detach(name)
	}
	_, exists, err := c.state.Prepare(name, sql, types)
	c.reattach(&expectedAnswer{detached: replaced}, err != nil)
	switch {
	case err != nil:
		c.endWithError(codeLimitExceeded, err.Error())
	case exists:
		c.fail(codeDuplicateStatement, fmt.Sprintf("prepared statement %q already exists", name))
	default:
		c.output = pgwire.AppendWithoutBody(c.output, pgwire.ParseComplete)
	}
	return true, nil
}

// scatterBind binds a scattered read.
func (c *client) scatterBind(m pgwire.Message) (done bool, err error) {
	_, name, rest, err := pgwire.BindMessage(m.Body)
	if err != nil {
		return false, err
	}
	statement := c.state.Statement(name)
	if statement == nil || !isScattered(statement.SQL) {
		return false, nil
	}
	if !c.atTransactionStart() || c.boundRead != nil {
		c.fail(codeActiveTransaction, "a scattered read is a transaction of its own, one at a time")
		return true, nil
	}
	c.boundRead = &boundRead{statement: statement, parameters: bytes.Clone(rest)}
	c.output = pgwire.AppendWithoutBody(c.output, pgwire.BindComplete)
	return true, nil
}

// scatterSync begins the read that was bound.
func (c *client) scatterSync() {
	read := c.boundRead
	c.boundRead = nil
	c.extendedOpen = false
	if !read.execute {
		c.appendReady()
		return
	}
	query, _, err := plan.Parse(read.statement.SQL)
	c.scatter(query, err, read.statement.Types, read.parameters, read.describe)
}

// noParameterTypes is the part of a Parse that specifies parameter types, with none specified.
var noParameterTypes = []byte{0, 0}

// scatter begins a page, or answers with the error that prevents it.
func (c *client) scatter(query plan.Query, err error, types, params []byte, describe bool) {
	if err == nil && (!c.atTransactionStart() || c.sessionState != pgwire.StateIdle || c.begunTransaction != nil) {
		c.scatterFail(codeActiveTransaction, "a scattered read is a transaction of its own", "")
		return
	}
	if err == nil && c.hasUnknownSettings() {
		c.scatterFail(codeUnsupported, "a scattered read can't be given the settings of this session; DISCARD ALL ends them", "")
		return
	}
	if err == nil {
		err = c.beginPage(query, types, params, describe)
	}
	if err != nil {
		c.scatterFail(scatterCode(err), err.Error(), "")
	}
}

func (c *client) beginPage(query plan.Query, types, params []byte, describe bool) error {
	if types == nil {
		types = noParameterTypes
	}
	p := &page{client: c, describe: describe}
	c.page = p
	caller := scatter.Caller{
		Database:      c.pool.key.database,
		User:          c.pool.key.user,
		Settings:      c.state,
		Session:       sessionKey(c.pid),
		MinPositionMs: c.lastCommitMs,
	}
	read, err := c.frontend.options.Scatter.Begin(query, caller, types, params, p)
	if err != nil {
		c.page = nil
		return err
	}
	p.read = read
	return nil
}

// scatterCodes are the SQLSTATE codes of errors that prevent a scattered read.
var scatterCodes = map[string][]error{
	codeTooManyClients:  {scatter.ErrBusy},
	codeUndefinedObject: {scatter.ErrUnknownScatter, core.ErrUnknownClass, core.ErrUnknownTenant},
	codeSyntax:          {plan.ErrComment, plan.ErrPlaceholders},
	codeInvalidParameter: {scatter.ErrPageTooLong, scatter.ErrEncoding, cursor.ErrTruncated, cursor.ErrUnknownKey, cursor.ErrForged, cursor.ErrExpired, cursor.ErrStatement,
		cursor.ErrReader, cursor.ErrOrder, cursor.ErrShards},
	codeLimitExceeded:    {cursor.ErrKeyTooLong},
	codeDatatypeMismatch: {scatter.ErrColumns, merge.ErrValue},
}

// scatterCode returns the SQLSTATE of an error that prevents a scattered read.
func scatterCode(err error) string {
	for code, targets := range scatterCodes {
		for _, target := range targets {
			if errors.Is(err, target) {
				return code
			}
		}
	}
	return codeInternal
}

// scatterFail ends a scattered read with an error.
func (c *client) scatterFail(code, text, detail string) {
	c.page = nil
	c.output = pgwire.AppendError(c.output, "ERROR", code, text, detail)
	c.appendReady()
	c.scatterEnd()
}

// scatterEnd continues after a scattered read with the messages that the client has sent meanwhile.
func (c *client) scatterEnd() {
	c.flush()
	c.proceedSoon()
	if c.frontend.draining && !c.busy() {
		c.endWithError(codeShutdown, textShuttingDown)
	}
}

// abandonPage ends the page of a client that disconnects.
func (c *client) abandonPage() {
	p := c.page
	if p == nil {
		return
	}
	c.page = nil
	if p.read != nil {
		p.read.Abandon()
	}
}

// scatterCancel ends the page because its client has cancelled it.
func (c *client) scatterCancel() {
	if c.page.read == nil {
		return
	}
	c.page.read.Abandon()
	c.scatterFail(codeCancelled, textCancelled, "")
}

// Describe implements scatter.Reader.
func (p *page) Describe(row []byte) {
	if p.describe {
		p.client.output = append(p.client.output, row...)
	}
}

// Row implements scatter.Reader.
func (p *page) Row(row []byte) {
	c := p.client
	c.output = append(c.output, row...)
	if len(c.output) > resumeUnsent {
		c.flush()
	}
}

// Flush implements scatter.Reader.
func (p *page) Flush() {
	if !p.client.closed {
		p.client.flush()
	}
}

// Unsent implements scatter.Reader.
func (p *page) Unsent() int {
	c := p.client
	if c.closed || c.conn == nil {
		return 0
	}
	return c.conn.Unsent() + len(c.output)
}

// Page implements scatter.Reader.
func (p *page) Page(result *scatter.Page) {
	c := p.client
	if c.page != p {
		return
	}
	c.page = nil
	c.output = pgwire.AppendParameter(c.output, cursorParameter, result.Cursor)
	if len(result.Missing) > 0 {
		c.output = pgwire.AppendNotice(c.output, codeMissingPart, "shards are missing in this page: "+strings.Join(result.Missing, ", "), "")
	}
	c.output = pgwire.AppendComplete(c.output, "SELECT "+strconv.Itoa(result.Rows))
	c.appendReady()
	c.scatterEnd()
}

// Fail implements scatter.Reader.
func (p *page) Fail(run *execution.Run, err error) {
	c := p.client
	if c.page != p {
		return
	}
	code := scatterCode(err)
	if run.Verdict != execution.Rejected {
		c.scatterFail(code, err.Error(), "")
		return
	}
	if code == codeInternal {
		code = codeTooManyClients
	}
	c.scatterFail(code, err.Error(), retryDetail(run.RetryMs))
}
