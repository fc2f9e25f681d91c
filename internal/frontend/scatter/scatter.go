package scatter

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"beechgrade/internal/frontend/platform"
	"beechgrade/internal/frontend/pooling/sessionstate"
	"beechgrade/internal/frontend/scatter/bindmessage"
	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/execution"
	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/protocol/sqltext"
)

// Reader receives the rows and the result of one page. Page or Fail is the last call.
type Reader interface {
	// Describe passes the RowDescription. It is called once, before the first row.
	Describe(message []byte)
	// Row passes a DataRow, which is valid only during the call.
	Row(message []byte)
	// Flush sends the rows passed so far.
	Flush()
	// Unsent returns the number of bytes that the client has not read yet.
	Unsent() int
	// Page reports that the page was served.
	Page(page *Page)
	// Fail reports that the page was not served. run.Verdict says whether any statement was sent.
	Fail(run *execution.Run, err error)
}

// Page is the result of a page that was served.
type Page struct {
	Rows    int
	Cursor  string   // for the next page, empty if there are no more rows
	Missing []string // shards that were left out
}

// Caller describes the client session that reads a page.
type Caller struct {
	Database      string
	User          string
	Settings      *sessionstate.Client
	Session       string
	MinPositionMs float64 // log position of the session's last write, in Unix ms
}

// Errors that prevent a page from beginning.
var (
	ErrUnknownScatter = errors.New("there is no scatter of this name")
	ErrPageTooLong    = errors.New("the page has more rows than the settings allow")
	ErrEncoding       = errors.New("a scattered read takes clients with client_encoding UTF8 and DateStyle ISO only")
	ErrBusy           = errors.New("too many scattered reads at a time")
)

// ErrColumns is returned for rows whose columns do not fit the spec's order, or differ between shards.
var ErrColumns = errors.New("the rows do not have the columns that the settings say")

// PageRead is the execution of one page of a scattered read.
type PageRead struct {
	frontend   *Frontend
	spec       *Spec
	specIndex  int
	id         uint64
	settings   execution.Settings
	query      plan.Query
	caller     Caller
	paramTypes []byte             // types of the parameters, as in a Parse message
	values     bindmessage.Values // the client's parameters
	plain      bool               // the statement is known to leave nothing in a server's session
	binding    cursor.Binding     // that the cursors of the page must have
	deadline   float64
	reader     Reader

	run           *execution.Run
	parts         []*part // by shard
	pendingEvents []func(now float64) []execution.Action
	handling      bool // an event is being handled; further events are queued in pendingEvents
	ended         bool
	err           error // the cause of a failure; takes precedence over run.Cause

	description []byte // the first RowDescription received from a shard
	rows        int    // delivered to the client
	clientFull  bool   // delivery is paused, as the client does not read fast enough
	key         []byte // buffer of rowKey
}

// isPlainRead reports whether a statement is known to be a read that leaves nothing in a server's session.
func isPlainRead(statement string) bool {
	statements := sqltext.Split(statement)
	return len(statements) == 1 && statements[0].More == 0 && statements[0].Kind == sqltext.Read && statements[0].Sticky == 0
}

// Begin begins a page. paramTypes has the format of a Parse message, and params is the part of a Bind message after the names, nil for a
// simple query. If Begin returns an error, no page was begun.
func (f *Frontend) Begin(query plan.Query, caller Caller, paramTypes, params []byte, reader Reader) (*PageRead, error) {
	index := f.specIndex(query.Scatter)
	if index < 0 {
		return nil, fmt.Errorf("%w: %q", ErrUnknownScatter, query.Scatter)
	}
	spec := &f.options.Specs[index]
	values, err := bindmessage.Parse(params)
	if err != nil {
		return nil, err
	}
	pageRows, err := spec.pageRows(query)
	if err != nil {
		return nil, err
	}
	if !readsText(caller.Settings) {
		return nil, ErrEncoding
	}
	r := &PageRead{
		frontend:   f,
		spec:       spec,
		specIndex:  index,
		settings:   spec.ExecutionSettings(),
		query:      query,
		caller:     caller,
		paramTypes: paramTypes,
		values:     values,
		plain:      isPlainRead(query.Statement),
		reader:     reader,
		parts:      make([]*part, len(spec.Shards)),
	}
	now := f.loop.Now()
	start, err := r.openCursor(now)
	if err != nil {
		return nil, err
	}
	if err := f.admit(spec, index, now); err != nil {
		return nil, err
	}
	r.deadline = now + spec.timeoutMs(query)
	f.lastID++
	r.id = f.lastID
	r.run = execution.New(&r.settings, pageRows, start.Places, start.MinPositions, r.deadline, f.options.Checks)
	f.running[r] = true
	f.runningPerSpec[index]++
	f.shardsInFlight += len(spec.Shards)
	f.Counts.Pages++
	r.handle(r.run.Begin)
	f.startTicking(now)
	return r, nil
}

// pageRows returns the number of rows of a page.
func (s *Spec) pageRows(query plan.Query) (int, error) {
	rows := query.Rows
	if rows == 0 {
		rows = s.DefaultRows
	}
	if rows > s.MaxRows {
		return 0, fmt.Errorf("%w: %d, %d may be", ErrPageTooLong, rows, s.MaxRows)
	}
	return rows, nil
}

func (s *Spec) timeoutMs(query plan.Query) float64 {
	if query.TimeoutMs > 0 {
		return min(s.TimeoutMs, query.TimeoutMs)
	}
	return s.TimeoutMs
}

// readsText reports whether the client's settings have servers send values in the text form that sort keys are parsed from.
func readsText(settings *sessionstate.Client) bool {
	encoding := strings.Trim(settings.Setting("client_encoding"), "'")
	if settings.Setting("client_encoding") != "" && !strings.EqualFold(encoding, "utf8") && !strings.EqualFold(encoding, "utf-8") {
		return false
	}
	dateStyle := settings.Setting("datestyle")
	return dateStyle == "" || strings.Contains(strings.ToLower(dateStyle), "iso")
}

// openCursor computes the binding of the page's cursors, and returns the contents of the client's cursor, which are empty for the first
// page.
func (r *PageRead) openCursor(now float64) (start cursor.Cursor, err error) {
	text := r.query.Cursor
	bound := []string{r.query.Statement, string(r.paramTypes)}
	for i, value := range r.values.Params {
		if i+1 == r.query.CursorParam {
			text = string(value)
			continue
		}
		bound = append(bound, strconv.Itoa(i), string(value), strconv.FormatBool(value == nil))
	}
	if r.query.CursorParam > len(r.values.Params) {
		return start, fmt.Errorf("%w: there is no parameter $%d", plan.ErrComment, r.query.CursorParam)
	}
	r.binding = cursor.Binding{
		Statement: DigestOf(bound...),
		Reader:    DigestOf(r.query.Tenant, r.spec.Class, r.caller.User, r.caller.Database),
		Order:     r.spec.orderDigest,
		Shards:    r.spec.shardsDigest,
	}
	if text == "" {
		return start, nil
	}
	opened, err := r.frontend.options.Ring.Open(text, now, &r.binding)
	if err == nil && len(opened.Places) != len(r.spec.Shards) {
		err = cursor.ErrShards
	}
	if err != nil {
		r.frontend.Counts.RejectedCursors++
		return start, err
	}
	return *opened, nil
}

// admit returns ErrBusy if a page of the spec would exceed a limit.
func (f *Frontend) admit(spec *Spec, index int, now float64) error {
	shards := len(spec.Shards)
	exceedsLimit := f.maxShards >= 0 && f.shardsInFlight+shards > f.maxShards
	if f.runningPerSpec[index] < spec.MaxConcurrent && !exceedsLimit {
		return nil
	}
	f.rejectedShards.count = f.rejectedShards.decayTo(now) + float64(shards)
	f.Counts.Rejected++
	return ErrBusy
}

// Abandon ends a page whose client has disconnected or cancelled it.
func (r *PageRead) Abandon() {
	r.reader = discardReader{}
	r.handle(func(float64) []execution.Action { return r.run.Abandon() })
}

// Ended reports whether the page has ended.
func (r *PageRead) Ended() bool { return r.ended }

// handle passes an event to the run and performs the resulting actions. Events that occur while another one is being handled are queued.
func (r *PageRead) handle(event func(now float64) []execution.Action) {
	if r.ended {
		return
	}
	r.pendingEvents = append(r.pendingEvents, event)
	if r.handling {
		return
	}
	r.handling = true
	r.handlePending()
	r.handling = false
}

func (r *PageRead) handlePending() {
	for i := 0; i < len(r.pendingEvents); i++ { // the length grows if actions cause further events
		r.perform(r.pendingEvents[i](r.frontend.loop.Now()))
	}
	clear(r.pendingEvents)
	r.pendingEvents = r.pendingEvents[:0]
}

func (r *PageRead) perform(actions []execution.Action) {
	for i := range actions {
		action := &actions[i]
		p := r.parts[action.Shard]
		switch action.Kind {
		case execution.Submit:
			r.submit(*action)
		case execution.Send:
			p.sendAll()
		case execution.StopReading:
			if p.link != nil {
				p.link.pauseRows()
			}
		case execution.ResumeReading:
			if p.link != nil {
				p.link.resumeRows()
			}
		case execution.Cancel:
			if p != nil {
				p.abandon()
			}
		case execution.Deliver:
			r.deliver(action.Row)
		case execution.Finish:
			r.finish()
		}
	}
}

// submit submits a shard's read to the dispatcher.
func (r *PageRead) submit(action execution.Action) {
	if action.Attempt > 1 {
		r.frontend.Counts.Retried++
	}
	p := &part{page: r, action: action, submitted: true}
	r.parts[action.Shard] = p
	ref, err := r.frontend.dispatcher.Submit(platform.Request{
		ID:               fmt.Sprintf("scatter-%d-%d-%d", r.id, action.Shard, action.Attempt),
		Class:            r.spec.Class,
		Tenant:           r.query.Tenant,
		PlatformProtocol: r.query.Tenant != "",
		Group:            r.spec.Shards[action.Shard].Group,
		Session:          r.caller.Session,
		MinPosition:      max(float64(action.MinPosition), r.caller.MinPositionMs),
		Deadline:         r.deadline,
		Query:            p,
	}, p)
	switch {
	case err != nil:
		p.submitted = false
		r.err = err
		p.reportFailure(err.Error(), false)
	case p.submitted && p.ended: // the run cancelled the read during the call of Submit
		p.submitted = false
		r.frontend.dispatcher.Abandon(ref)
	case p.submitted:
		p.ref = ref
	}
}

// deliver passes a row to the client.
func (r *PageRead) deliver(row []byte) {
	r.rows++
	r.frontend.Counts.Rows++
	r.reader.Row(row)
	if !r.clientFull && r.reader.Unsent() > highWaterBytes {
		r.setClientFull(true)
	}
}

func (r *PageRead) setClientFull(full bool) {
	r.clientFull = full
	r.handle(func(now float64) []execution.Action { return r.run.SetClientReady(!full, now) })
}

func (r *PageRead) tick() {
	if r.clientFull && r.reader.Unsent() < lowWaterBytes {
		r.setClientFull(false)
	}
	r.handle(r.run.Tick)
	for _, p := range r.parts {
		if p != nil && p.link != nil {
			p.link.endLongAttempt()
		}
	}
	if !r.ended {
		r.reader.Flush()
	}
}

// heldBytes returns the number of bytes of rows held for the page: in the merge, and read ahead on the connections.
func (r *PageRead) heldBytes() int {
	n := r.run.HeldBytes()
	for _, p := range r.parts {
		if p != nil && p.link != nil {
			n += p.link.input.Pending()
		}
	}
	return n
}
