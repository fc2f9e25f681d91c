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

// Who asks.
type Who struct {
	Database, User string
	Settings       *sessionstate.Client
	Session        string
	After          float64 // the session's last write, Unix ms
}

// Errors of what can't be begun.
var (
	ErrSpec     = errors.New("there is no scatter of this name")
	ErrPage     = errors.New("the page has more rows than the settings allow")
	ErrEncoding = errors.New("a scattered read takes clients with client_encoding UTF8 and DateStyle ISO only")
	ErrBusy     = errors.New("too many scattered reads at a time")
	ErrColumns  = errors.New("the rows do not have the columns that the settings say")
)

// Scatter is one page that is made.
type Scatter struct {
	f      *Front
	spec   *Spec
	no     int
	id     uint64
	set    execution.Settings
	asked  plan.Asked
	who    Who
	types  []byte
	bind   bindmessage.Values
	bound  cursor.Bound
	due    float64
	reader Reader
	run    *execution.Run
	parts  []*part
	events []func(now float64) []execution.Action
	busy   bool
	over   bool
	heard  []byte // the first shard's description
	rows   int
	full   bool // the client takes no more for now
	key    []byte
	err    error // that ends it, with the run's verdict
}

// Begin begins a page. types is as in Parse, params as in Bind behind its names; an error means that nothing was begun.
func (f *Front) Begin(a plan.Asked, who Who, types, params []byte, r Reader) (*Scatter, error) {
	no := f.spec(a.Scatter)
	if no < 0 {
		return nil, fmt.Errorf("%w: %q", ErrSpec, a.Scatter)
	}
	now, spec := f.loop.Now(), &f.opt.Specs[no]
	s := &Scatter{f: f, spec: spec, no: no, set: spec.Run(), asked: a, who: who, types: types, reader: r}
	var err error
	if s.bind, err = bindmessage.Read(params); err != nil {
		return nil, err
	}
	page := a.Page
	if page == 0 {
		page = spec.Page
	}
	if page > spec.MostPage {
		return nil, fmt.Errorf("%w: %d, %d may be", ErrPage, page, spec.MostPage)
	}
	if e := who.Settings.Setting("client_encoding"); e != "" && !strings.EqualFold(strings.Trim(e, "'"), "utf8") && !strings.EqualFold(strings.Trim(e, "'"), "utf-8") {
		return nil, ErrEncoding
	}
	if d := who.Settings.Setting("datestyle"); d != "" && !strings.Contains(strings.ToLower(d), "iso") {
		return nil, ErrEncoding
	}
	text, list := a.Cursor, []string{a.Body, string(types)}
	for i, p := range s.bind.Params {
		if i+1 == a.CursorParam {
			text = string(p)
			continue
		}
		list = append(list, strconv.Itoa(i), string(p), strconv.FormatBool(p == nil))
	}
	if a.CursorParam > len(s.bind.Params) {
		return nil, fmt.Errorf("%w: there is no parameter $%d", plan.ErrComment, a.CursorParam)
	}
	s.bound = cursor.Bound{Statement: Mark(list...), Reader: Mark(a.Tenant, spec.Class, who.User, who.Database), Order: spec.orderMark, Shards: spec.shardMark}
	var places []cursor.Place
	var needs []int64
	if text != "" {
		c, err := f.opt.Ring.Open(text, now, &s.bound)
		if err == nil && len(c.Places) != len(spec.Shards) {
			err = cursor.ErrShards
		}
		if err != nil {
			f.Counts.Cursors++
			return nil, err
		}
		places, needs = c.Places, c.Needs
	}
	if n := len(spec.Shards); f.perSpec[no] >= spec.AtOnce || f.told >= 0 && f.inFlight+n > f.told {
		f.turned.n = f.turned.now(now) + float64(n)
		f.Counts.Refused++
		return nil, ErrBusy
	}
	wait := spec.WaitMs
	if a.WaitMs > 0 {
		wait = min(wait, a.WaitMs)
	}
	s.due = now + wait
	f.seq++
	s.id = f.seq
	s.parts = make([]*part, len(spec.Shards))
	s.run = execution.New(&s.set, page, places, needs, s.due, f.opt.Checks)
	f.running[s] = true
	f.perSpec[no]++
	f.inFlight += len(spec.Shards)
	f.Counts.Pages++
	s.event(s.run.Begin)
	if !f.ticking {
		f.ticking = true
		f.loop.At(now+tickMs, f.tick)
	}
	return s, nil
}

// Leave ends a page whose client has gone.
func (s *Scatter) Leave() {
	s.reader = nobody{}
	s.event(func(float64) []execution.Action { return s.run.Leave() })
}

// Over tells whether the page has its end.
func (s *Scatter) Over() bool { return s.over }

// event has the run told of something, behind what it is being told.
func (s *Scatter) event(e func(now float64) []execution.Action) {
	if s.over {
		return
	}
	if s.events = append(s.events, e); s.busy {
		return
	}
	s.busy = true
	s.drain()
	s.busy = false
}

func (s *Scatter) drain() {
	for i := 0; i < len(s.events); i++ {
		s.do(s.events[i](s.f.loop.Now()))
	}
	clear(s.events)
	s.events = s.events[:0]
}

func (s *Scatter) do(actions []execution.Action) {
	for k := range actions {
		a := &actions[k]
		p := s.parts[a.Shard]
		switch a.Do {
		case execution.Ask:
			if a.Try > 1 {
				s.f.Counts.Again++
			}
			s.ask(*a)
		case execution.Send:
			p.sendAll()
		case execution.Stop:
			if p.link != nil {
				p.link.stop()
			}
		case execution.Go:
			if p.link != nil {
				p.link.resume()
			}
		case execution.Cancel:
			if p != nil {
				p.giveUp()
			}
		case execution.Give:
			s.rows++
			s.f.Counts.Rows++
			s.reader.Row(a.Row)
			if !s.full && s.reader.Unsent() > muchUnsent {
				s.full = true
				s.event(func(now float64) []execution.Action { return s.run.Room(false, now) })
			}
		case execution.Final:
			s.final()
		}
	}
}

// ask puts a shard's read to the decision module.
func (s *Scatter) ask(a execution.Action) {
	p := &part{s: s, a: a, open: true}
	s.parts[a.Shard] = p
	q := platform.Request{ID: fmt.Sprintf("scatter-%d-%d-%d", s.id, a.Shard, a.Try), Class: s.spec.Class, Tenant: s.asked.Tenant, PlatformProtocol: s.asked.Tenant != "",
		Group: s.spec.Shards[a.Shard].Group, Session: s.who.Session, MinPosition: max(float64(a.Need), s.who.After), Deadline: s.due, Query: p}
	ref, err := s.f.desk.Submit(q, p)
	switch {
	case err != nil:
		p.open = false
		s.err = err
		p.broke(err.Error(), false)
	case p.open && p.over:
		p.open = false
		s.f.desk.Abandon(ref)
	case p.open:
		p.ref = ref
	}
}

func (s *Scatter) tick() {
	if s.full && s.reader.Unsent() < littleLeft {
		s.full = false
		s.event(func(now float64) []execution.Action { return s.run.Room(true, now) })
	}
	s.event(s.run.Tick)
	for _, p := range s.parts {
		if p != nil && p.link != nil {
			p.link.early()
		}
	}
	if !s.over {
		s.reader.Flush()
	}
}
