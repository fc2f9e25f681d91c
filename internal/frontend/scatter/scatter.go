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
)

// Reader is the client of one page. After Page or Fail it is not called any more.
type Reader interface {
	// Describe passes the RowDescription, once, before the first row.
	Describe(message []byte)
	// Row passes a DataRow, which is valid during the call.
	Row(message []byte)
	// Flush sends the rows that were passed.
	Flush()
	// Unsent returns the bytes that the client has not read.
	Unsent() int
	// Page ends the page.
	Page(page *Page)
	// Fail ends a page that was not served; run.Verdict tells whether anything was sent.
	Fail(run *execution.Run, err error)
}

// Page is the result of a page that was served.
type Page struct {
	Rows    int
	Cursor  string   // of the next page, empty if there are no more rows
	Missing []string // shards that were left out
}

// Caller is the session that reads a page.
type Caller struct {
	Database      string
	User          string
	Settings      *sessionstate.Client
	Session       string
	MinPositionMs float64 // of the session's last write, in Unix ms
}

// Errors of a page that cannot begin.
var (
	ErrUnknownScatter = errors.New("there is no scatter of this name")
	ErrPageTooLong    = errors.New("the page has more rows than the settings allow")
	ErrEncoding       = errors.New("a scattered read takes clients with client_encoding UTF8 and DateStyle ISO only")
	ErrBusy           = errors.New("too many scattered reads at a time")
)

// ErrColumns is the error of rows whose columns are not those of the order.
var ErrColumns = errors.New("the rows do not have the columns that the settings say")

// PageRead is one page that is being read.
type PageRead struct {
	frontend   *Frontend
	spec       *Spec
	specIndex  int
	id         uint64
	settings   execution.Settings
	query      plan.Query
	caller     Caller
	paramTypes []byte             // as in Parse
	values     bindmessage.Values // of the client's parameters
	binding    cursor.Binding     // of the page's cursors
	deadline   float64
	reader     Reader

	run           *execution.Run
	parts         []*part // by shard
	pendingEvents []func(now float64) []execution.Action
	handling      bool // an event is being handled; others wait in pendingEvents
	ended         bool
	err           error // the cause of a failure, in place of run.Cause

	description []byte // RowDescription of the first shard that sent one
	rows        int    // that were delivered
	clientFull  bool   // the client does not read, and receives no rows
	key         []byte // reused for each row
}

// Begin begins a page. paramTypes is as in Parse, params as in Bind after its names. After an error nothing has begun.
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
	s := &PageRead{
		frontend:   f,
		spec:       spec,
		specIndex:  index,
		settings:   spec.ExecutionSettings(),
		query:      query,
		caller:     caller,
		paramTypes: paramTypes,
		values:     values,
		reader:     reader,
		parts:      make([]*part, len(spec.Shards)),
	}
	now := f.loop.Now()
	start, err := s.openCursor(now)
	if err != nil {
		return nil, err
	}
	if err := f.admit(spec, index, now); err != nil {
		return nil, err
	}
	s.deadline = now + spec.timeoutMs(query)
	f.lastID++
	s.id = f.lastID
	s.run = execution.New(&s.settings, pageRows, start.Places, start.MinPositions, s.deadline, f.options.Checks)
	f.running[s] = true
	f.perSpec[index]++
	f.shardsInFlight += len(spec.Shards)
	f.Counts.Pages++
	s.handle(s.run.Begin)
	f.startTicking(now)
	return s, nil
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

// readsText reports whether values are sent to the client in the form that the order of rows is read from.
func readsText(settings *sessionstate.Client) bool {
	encoding := strings.Trim(settings.Setting("client_encoding"), "'")
	if settings.Setting("client_encoding") != "" && !strings.EqualFold(encoding, "utf8") && !strings.EqualFold(encoding, "utf-8") {
		return false
	}
	dateStyle := settings.Setting("datestyle")
	return dateStyle == "" || strings.Contains(strings.ToLower(dateStyle), "iso")
}

// openCursor sets what the cursors of the page are bound to, and returns what the client's cursor has, which is empty for the first
// page.
func (s *PageRead) openCursor(now float64) (start cursor.Cursor, err error) {
	text := s.query.Cursor
	bound := []string{s.query.Statement, string(s.paramTypes)}
	for i, value := range s.values.Params {
		if i+1 == s.query.CursorParam {
			text = string(value)
			continue
		}
		bound = append(bound, strconv.Itoa(i), string(value), strconv.FormatBool(value == nil))
	}
	if s.query.CursorParam > len(s.values.Params) {
		return start, fmt.Errorf("%w: there is no parameter $%d", plan.ErrComment, s.query.CursorParam)
	}
	s.binding = cursor.Binding{
		Statement: DigestOf(bound...),
		Reader:    DigestOf(s.query.Tenant, s.spec.Class, s.caller.User, s.caller.Database),
		Order:     s.spec.orderDigest,
		Shards:    s.spec.shardsDigest,
	}
	if text == "" {
		return start, nil
	}
	opened, err := s.frontend.options.Ring.Open(text, now, &s.binding)
	if err == nil && len(opened.Places) != len(s.spec.Shards) {
		err = cursor.ErrShards
	}
	if err != nil {
		s.frontend.Counts.RejectedCursors++
		return start, err
	}
	return *opened, nil
}

// admit returns ErrBusy if the page would exceed a limit.
func (f *Frontend) admit(spec *Spec, index int, now float64) error {
	shards := len(spec.Shards)
	exceedsLimit := f.maxShards >= 0 && f.shardsInFlight+shards > f.maxShards
	if f.perSpec[index] < spec.MaxConcurrent && !exceedsLimit {
		return nil
	}
	f.rejectedShards.count = f.rejectedShards.decayTo(now) + float64(shards)
	f.Counts.Rejected++
	return ErrBusy
}

// Abandon ends a page whose client has disconnected.
func (s *PageRead) Abandon() {
	s.reader = discardReader{}
	s.handle(func(float64) []execution.Action { return s.run.Abandon() })
}

// Ended reports whether the page has ended.
func (s *PageRead) Ended() bool { return s.ended }

// handle passes an event to the run and performs its actions. An event that occurs meanwhile is handled after it.
func (s *PageRead) handle(event func(now float64) []execution.Action) {
	if s.ended {
		return
	}
	s.pendingEvents = append(s.pendingEvents, event)
	if s.handling {
		return
	}
	s.handling = true
	s.handlePending()
	s.handling = false
}

func (s *PageRead) handlePending() {
	for i := 0; i < len(s.pendingEvents); i++ { // events may be added meanwhile
		s.perform(s.pendingEvents[i](s.frontend.loop.Now()))
	}
	clear(s.pendingEvents)
	s.pendingEvents = s.pendingEvents[:0]
}

func (s *PageRead) perform(actions []execution.Action) {
	for i := range actions {
		action := &actions[i]
		p := s.parts[action.Shard]
		switch action.Kind {
		case execution.Submit:
			s.submit(*action)
		case execution.Send:
			p.sendAll()
		case execution.StopReading:
			if p.link != nil {
				p.link.stopRows()
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
			s.deliver(action.Row)
		case execution.Finish:
			s.finish()
		}
	}
}

// submit submits a shard's read to the dispatcher.
func (s *PageRead) submit(action execution.Action) {
	if action.Attempt > 1 {
		s.frontend.Counts.Retried++
	}
	p := &part{scatter: s, action: action, submitted: true}
	s.parts[action.Shard] = p
	ref, err := s.frontend.dispatcher.Submit(platform.Request{
		ID:               fmt.Sprintf("scatter-%d-%d-%d", s.id, action.Shard, action.Attempt),
		Class:            s.spec.Class,
		Tenant:           s.query.Tenant,
		PlatformProtocol: s.query.Tenant != "",
		Group:            s.spec.Shards[action.Shard].Group,
		Session:          s.caller.Session,
		MinPosition:      max(float64(action.MinPosition), s.caller.MinPositionMs),
		Deadline:         s.deadline,
		Query:            p,
	}, p)
	switch {
	case err != nil:
		p.submitted = false
		s.err = err
		p.reportFailure(err.Error(), false)
	case p.submitted && p.ended: // it was cancelled meanwhile
		p.submitted = false
		s.frontend.dispatcher.Abandon(ref)
	case p.submitted:
		p.ref = ref
	}
}

// deliver passes a row to the client.
func (s *PageRead) deliver(row []byte) {
	s.rows++
	s.frontend.Counts.Rows++
	s.reader.Row(row)
	if !s.clientFull && s.reader.Unsent() > highWaterBytes {
		s.setClientFull(true)
	}
}

func (s *PageRead) setClientFull(full bool) {
	s.clientFull = full
	s.handle(func(now float64) []execution.Action { return s.run.SetClientReady(!full, now) })
}

func (s *PageRead) tick() {
	if s.clientFull && s.reader.Unsent() < lowWaterBytes {
		s.setClientFull(false)
	}
	s.handle(s.run.Tick)
	for _, p := range s.parts {
		if p != nil && p.link != nil {
			p.link.endLongAttempt()
		}
	}
	if !s.ended {
		s.reader.Flush()
	}
}

// heldBytes returns the bytes of rows that are held: by the merge, and read ahead on the connections.
func (s *PageRead) heldBytes() int {
	n := s.run.HeldBytes()
	for _, p := range s.parts {
		if p != nil && p.link != nil {
			n += p.link.input.Pending()
		}
	}
	return n
}
