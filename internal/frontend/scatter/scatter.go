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

// Reader is the client's side of one page.
type Reader interface {
	Describe(row []byte)              // RowDescription, once, before the first row
	Row(row []byte)                   // DataRow, valid during the call
	Flush()                           // what came may go out
	Unsent() int                      // bytes that the client has not taken
	Page(p *Page)                     // the page's end
	Fail(f *execution.Run, err error) // ...where it came to none
}

// Page is what stands at the end of one.
type Page struct {
	Rows    int
	Cursor  string   // empty where there are no more rows
	Missing []string // shards that were left out
}

// Caller asks.
type Caller struct {
	Database, User string
	Settings       *sessionstate.Client
	Session        string
	MinPositionMs  float64 // the session's last write, Unix ms
}

// Errors of what can't be begun.
var (
	ErrUnknownScatter = errors.New("there is no scatter of this name")
	ErrPageTooLong    = errors.New("the page has more rows than the settings allow")
	ErrEncoding       = errors.New("a scattered read takes clients with client_encoding UTF8 and DateStyle ISO only")
	ErrBusy           = errors.New("too many scattered reads at a time")
	ErrColumns        = errors.New("the rows do not have the columns that the settings say")
)

// Scatter is one page that is made.
type Scatter struct {
	frontend      *Frontend
	spec          *Spec
	specIndex     int
	id            uint64
	settings      execution.Settings
	query         plan.Query
	caller        Caller
	paramTypes    []byte
	values        bindmessage.Values
	binding       cursor.Binding
	deadline      float64
	reader        Reader
	run           *execution.Run
	parts         []*part
	pendingEvents []func(now float64) []execution.Action
	handling      bool
	ended         bool
	description   []byte // the first shard's description
	rows          int
	clientFull    bool // the client takes no more for now
	key           []byte
	err           error // that ends it, with the run's verdict
}

// Begin begins a page. types is as in Parse, params as in Bind behind its names; an error means that nothing was begun.
func (f *Frontend) Begin(a plan.Query, who Caller, types, params []byte, r Reader) (*Scatter, error) {
	no := f.specIndex(a.Scatter)
	if no < 0 {
		return nil, fmt.Errorf("%w: %q", ErrUnknownScatter, a.Scatter)
	}
	now, spec := f.loop.Now(), &f.options.Specs[no]
	s := &Scatter{frontend: f, spec: spec, specIndex: no, settings: spec.ExecutionSettings(), query: a, caller: who, paramTypes: types, reader: r}
	var err error
	if s.values, err = bindmessage.Parse(params); err != nil {
		return nil, err
	}
	page := a.Rows
	if page == 0 {
		page = spec.DefaultRows
	}
	if page > spec.MaxRows {
		return nil, fmt.Errorf("%w: %d, %d may be", ErrPageTooLong, page, spec.MaxRows)
	}
	if e := who.Settings.Setting("client_encoding"); e != "" && !strings.EqualFold(strings.Trim(e, "'"), "utf8") && !strings.EqualFold(strings.Trim(e, "'"), "utf-8") {
		return nil, ErrEncoding
	}
	if d := who.Settings.Setting("datestyle"); d != "" && !strings.Contains(strings.ToLower(d), "iso") {
		return nil, ErrEncoding
	}
	text, list := a.Cursor, []string{a.Statement, string(types)}
	for i, p := range s.values.Params {
		if i+1 == a.CursorParam {
			text = string(p)
			continue
		}
		list = append(list, strconv.Itoa(i), string(p), strconv.FormatBool(p == nil))
	}
	if a.CursorParam > len(s.values.Params) {
		return nil, fmt.Errorf("%w: there is no parameter $%d", plan.ErrComment, a.CursorParam)
	}
	s.binding = cursor.Binding{Statement: DigestOf(list...), Reader: DigestOf(a.Tenant, spec.Class, who.User, who.Database), Order: spec.orderDigest, Shards: spec.shardsDigest}
	var places []cursor.Place
	var needs []int64
	if text != "" {
		c, err := f.options.Ring.Open(text, now, &s.binding)
		if err == nil && len(c.Places) != len(spec.Shards) {
			err = cursor.ErrShards
		}
		if err != nil {
			f.Counts.RejectedCursors++
			return nil, err
		}
		places, needs = c.Places, c.MinPositions
	}
	if n := len(spec.Shards); f.perSpec[no] >= spec.MaxConcurrent || f.maxShards >= 0 && f.shardsInFlight+n > f.maxShards {
		f.rejectedShards.count = f.rejectedShards.decayTo(now) + float64(n)
		f.Counts.Rejected++
		return nil, ErrBusy
	}
	wait := spec.TimeoutMs
	if a.TimeoutMs > 0 {
		wait = min(wait, a.TimeoutMs)
	}
	s.deadline = now + wait
	f.lastID++
	s.id = f.lastID
	s.parts = make([]*part, len(spec.Shards))
	s.run = execution.New(&s.settings, page, places, needs, s.deadline, f.options.Checks)
	f.running[s] = true
	f.perSpec[no]++
	f.shardsInFlight += len(spec.Shards)
	f.Counts.Pages++
	s.handle(s.run.Begin)
	if !f.ticking {
		f.ticking = true
		f.loop.At(now+tickMs, f.tick)
	}
	return s, nil
}

// Abandon ends a page whose client has gone.
func (s *Scatter) Abandon() {
	s.reader = discardReader{}
	s.handle(func(float64) []execution.Action { return s.run.Abandon() })
}

// Ended tells whether the page has its end.
func (s *Scatter) Ended() bool { return s.ended }

// handle has the run told of something, behind what it is being told.
func (s *Scatter) handle(e func(now float64) []execution.Action) {
	if s.ended {
		return
	}
	if s.pendingEvents = append(s.pendingEvents, e); s.handling {
		return
	}
	s.handling = true
	s.handlePending()
	s.handling = false
}

func (s *Scatter) handlePending() {
	for i := 0; i < len(s.pendingEvents); i++ {
		s.perform(s.pendingEvents[i](s.frontend.loop.Now()))
	}
	clear(s.pendingEvents)
	s.pendingEvents = s.pendingEvents[:0]
}

func (s *Scatter) perform(actions []execution.Action) {
	for k := range actions {
		a := &actions[k]
		p := s.parts[a.Shard]
		switch a.Kind {
		case execution.Submit:
			if a.Attempt > 1 {
				s.frontend.Counts.Retried++
			}
			s.submit(*a)
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
			s.rows++
			s.frontend.Counts.Rows++
			s.reader.Row(a.Row)
			if !s.clientFull && s.reader.Unsent() > highWaterBytes {
				s.clientFull = true
				s.handle(func(now float64) []execution.Action { return s.run.SetClientReady(false, now) })
			}
		case execution.Finish:
			s.finish()
		}
	}
}

// submit puts a shard's read to the decision module.
func (s *Scatter) submit(a execution.Action) {
	p := &part{scatter: s, action: a, submitted: true}
	s.parts[a.Shard] = p
	q := platform.Request{ID: fmt.Sprintf("scatter-%d-%d-%d", s.id, a.Shard, a.Attempt), Class: s.spec.Class, Tenant: s.query.Tenant, PlatformProtocol: s.query.Tenant != "",
		Group: s.spec.Shards[a.Shard].Group, Session: s.caller.Session, MinPosition: max(float64(a.MinPosition), s.caller.MinPositionMs), Deadline: s.deadline, Query: p}
	ref, err := s.frontend.dispatcher.Submit(q, p)
	switch {
	case err != nil:
		p.submitted = false
		s.err = err
		p.reportFailure(err.Error(), false)
	case p.submitted && p.ended:
		p.submitted = false
		s.frontend.dispatcher.Abandon(ref)
	case p.submitted:
		p.ref = ref
	}
}

func (s *Scatter) tick() {
	if s.clientFull && s.reader.Unsent() < lowWaterBytes {
		s.clientFull = false
		s.handle(func(now float64) []execution.Action { return s.run.SetClientReady(true, now) })
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
