package scatter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"beechgrade/internal/front"
	"beechgrade/internal/fronts/scatter/cursor"
	"beechgrade/internal/fronts/scatter/plan"
	"beechgrade/internal/fronts/scatter/run"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/pooling/carry"
)

// Reader is the client's side of one page.
type Reader interface {
	Describe(row []byte)        // RowDescription, once, before the first row
	Row(row []byte)             // DataRow, valid during the call
	Flush()                     // what came may go out
	Unsent() int                // bytes that the client has not taken
	Page(p *Page)               // the page's end
	Fail(f *run.Run, err error) // ...where it came to none
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
	Settings       *carry.Client
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
	set    run.Settings
	asked  plan.Asked
	who    Who
	types  []byte
	bind   bind
	bound  cursor.Bound
	due    float64
	reader Reader
	run    *run.Run
	parts  []*part
	events []func(now float64) []run.Action
	busy   bool
	over   bool
	heard  []byte // the first shard's description
	rows   int
	full   bool // the client takes no more for now
	key    []byte
	err    error // that ends it, with the run's verdict
}

// columns say where in a shard's rows the order's columns are.
type columns struct {
	at     []int  // column of the row, by the order's
	binary []bool // its form
	vals   [][]byte
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
	if s.bind, err = readBind(params); err != nil {
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
	for i, p := range s.bind.params {
		if i+1 == a.CursorParam {
			text = string(p)
			continue
		}
		list = append(list, strconv.Itoa(i), string(p), strconv.FormatBool(p == nil))
	}
	if a.CursorParam > len(s.bind.params) {
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
	s.run = run.New(&s.set, page, places, needs, s.due, f.opt.Checks)
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
	s.event(func(float64) []run.Action { return s.run.Leave() })
}

// Over tells whether the page has its end.
func (s *Scatter) Over() bool { return s.over }

// event has the run told of something, behind what it is being told.
func (s *Scatter) event(e func(now float64) []run.Action) {
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

// row takes a shard's row. It comes by no event of its own: that would be an allocation for each.
func (s *Scatter) row(l *link, p *part, m pgwire.Message) {
	if s.over || s.busy {
		if !s.over {
			s.f.log.Error("scatter: a row came within an event")
		}
		return
	}
	key, own, err := s.keyOf(&l.cols, m.Body)
	if err != nil {
		p.wrong(err)
		return
	}
	s.busy = true
	s.do(s.run.Row(p.a.Shard, p.a.Try, key, own, m.Raw, s.f.loop.Now()))
	s.drain()
	s.busy = false
	if s.f.opt.Checks.On() {
		set := s.spec.Held()
		s.f.opt.Checks.That(s.f.heldOf(s.no) <= set, "scatter: bytes held of all pages are within their bound",
			func() string { return fmt.Sprintf("%d of %d", s.f.heldOf(s.no), set) })
	}
}

func (f *Front) heldOf(no int) (n int) {
	for s := range f.running {
		if s.no == no {
			n += s.held()
		}
	}
	return n
}

// held is how many bytes of rows are held: by the merge, and of what was read ahead.
func (s *Scatter) held() int {
	n := s.run.Held()
	for _, p := range s.parts {
		if p != nil && p.link != nil {
			n += p.link.in.Pending()
		}
	}
	return n
}

// keyOf is a row's key.
func (s *Scatter) keyOf(c *columns, body []byte) (key []byte, own int, err error) {
	if len(body) < 2 || int(binary.BigEndian.Uint16(body)) != len(c.vals) {
		return nil, 0, ErrColumns
	}
	at := 2
	for i := range c.vals {
		if len(body)-at < 4 {
			return nil, 0, ErrColumns
		}
		n := int32(binary.BigEndian.Uint32(body[at:]))
		if at += 4; n < 0 {
			c.vals[i] = nil
			continue
		}
		if len(body)-at < int(n) {
			return nil, 0, ErrColumns
		}
		c.vals[i] = body[at : at+int(n)]
		at += int(n)
	}
	o := &s.spec.Order
	s.key = s.key[:0]
	for i := range o.Columns {
		if i == o.Own {
			own = len(s.key)
		}
		if s.key, err = o.Columns[i].Append(s.key, c.vals[c.at[i]], c.binary[i]); err != nil {
			return nil, 0, err
		}
	}
	return s.key, own, nil
}

// described takes a shard's description of its rows, and holds it to the order and to the other shards'.
func (s *Scatter) described(l *link, m pgwire.Message) error {
	cols, names, oids, err := readColumns(m.Body)
	if err != nil {
		return err
	}
	o := &s.spec.Order
	l.cols = columns{at: make([]int, len(o.Columns)), binary: make([]bool, len(o.Columns)), vals: make([][]byte, len(cols))}
	for i := range o.Columns {
		c := &o.Columns[i]
		k := slices.Index(names, c.Name)
		switch {
		case k < 0:
			return fmt.Errorf("%w: there is no column %q", ErrColumns, c.Name)
		case !c.Type.Is(oids[k]):
			return fmt.Errorf("%w: column %q is not of type %s", ErrColumns, c.Name, c.Type)
		}
		l.cols.at[i], l.cols.binary[i] = k, cols[k] == 1
	}
	if s.heard == nil {
		s.heard = slices.Clone(m.Raw)
		s.reader.Describe(s.heard)
		return nil
	}
	if c2, n2, o2, err := readColumns(s.heard[5:]); err != nil || !slices.Equal(cols, c2) || !slices.Equal(names, n2) || !slices.Equal(oids, o2) {
		return fmt.Errorf("%w: its columns are not those of the other shards", ErrColumns)
	}
	return nil
}

// readColumns reads a RowDescription: forms, names and types.
func readColumns(b []byte) (forms []uint16, names []string, oids []uint32, err error) {
	if len(b) < 2 {
		return nil, nil, nil, ErrColumns
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range n {
		name, rest, ok := bytes.Cut(b, []byte{0})
		if !ok || len(rest) < 18 {
			return nil, nil, nil, ErrColumns
		}
		names, oids = append(names, string(name)), append(oids, binary.BigEndian.Uint32(rest[6:]))
		forms, b = append(forms, binary.BigEndian.Uint16(rest[16:])), rest[18:]
	}
	return forms, names, oids, nil
}

func (s *Scatter) do(actions []run.Action) {
	for k := range actions {
		a := &actions[k]
		p := s.parts[a.Shard]
		switch a.Do {
		case run.Ask:
			if a.Try > 1 {
				s.f.Counts.Again++
			}
			s.ask(*a)
		case run.Send:
			p.sendAll()
		case run.Stop:
			if p.link != nil {
				p.link.stop()
			}
		case run.Go:
			if p.link != nil {
				p.link.resume()
			}
		case run.Cancel:
			if p != nil {
				p.giveUp()
			}
		case run.Give:
			s.rows++
			s.f.Counts.Rows++
			s.reader.Row(a.Row)
			if !s.full && s.reader.Unsent() > muchUnsent {
				s.full = true
				s.event(func(now float64) []run.Action { return s.run.Room(false, now) })
			}
		case run.Final:
			s.final()
		}
	}
}

// ask puts a shard's read to the decision module.
func (s *Scatter) ask(a run.Action) {
	p := &part{s: s, a: a, open: true}
	s.parts[a.Shard] = p
	q := front.Request{ID: fmt.Sprintf("scatter-%d-%d-%d", s.id, a.Shard, a.Try), Class: s.spec.Class, Tenant: s.asked.Tenant, Named: s.asked.Tenant != "",
		Group: s.spec.Shards[a.Shard].Group, Session: s.who.Session, After: max(float64(a.Need), s.who.After), Due: s.due, Query: p}
	ref, err := s.f.desk.Ask(q, p)
	switch {
	case err != nil:
		p.open = false
		s.err = err
		p.broke(err.Error(), false)
	case p.open && p.over:
		p.open = false
		s.f.desk.Gone(ref)
	case p.open:
		p.ref = ref
	}
}

func (s *Scatter) tick() {
	if s.full && s.reader.Unsent() < littleLeft {
		s.full = false
		s.event(func(now float64) []run.Action { return s.run.Room(true, now) })
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

// final gives the client its answer.
func (s *Scatter) final() {
	f := s.f
	s.over = true
	delete(f.running, s)
	f.perSpec[s.no]--
	f.inFlight -= len(s.spec.Shards)
	for _, p := range s.parts {
		if p != nil {
			p.giveUp()
		}
	}
	f.Counts.Missing += uint64(len(s.run.Missing()))
	switch s.run.Verdict {
	case run.Served:
		f.Counts.Served++
		page := &Page{Rows: s.rows}
		for _, i := range s.run.Missing() {
			page.Missing = append(page.Missing, s.spec.Shards[i].Name)
		}
		if s.run.More {
			c := &cursor.Cursor{Issued: math.Floor(f.loop.Now()), Bound: s.bound}
			c.Places, c.Needs = s.run.Places()
			var err error
			if page.Cursor, err = f.opt.Ring.Seal(c, f.nonce()); err != nil {
				s.reader.Fail(s.run, err)
				return
			}
		}
		s.reader.Page(page)
	case run.Refused:
		f.Counts.Refused++
		s.reader.Fail(s.run, s.cause())
	case run.Gone:
		f.Counts.Gone++
	default:
		f.Counts.Failed++
		s.reader.Fail(s.run, s.cause())
	}
}

// cause is why it came to nothing, with the shard's name.
func (s *Scatter) cause() error {
	if s.err != nil {
		return s.err
	}
	why := s.run.Why
	if n, rest, ok := strings.Cut(strings.TrimPrefix(why, "shard "), ": "); ok {
		if i, err := strconv.Atoi(n); err == nil && i < len(s.spec.Shards) {
			why = fmt.Sprintf("shard %q: %s", s.spec.Shards[i].Name, rest)
		}
	}
	return errors.New(why)
}

// bind is what a Bind has behind its names.
type bind struct {
	forms   []uint16
	params  [][]byte
	results []byte // the forms that are wished for, as they came
}

const mostParams = 1000

func readBind(b []byte) (x bind, err error) {
	if b == nil { // a simple query's
		return bind{results: []byte{0, 0}}, nil
	}
	bad := fmt.Errorf("%w: Bind", pgwire.ErrMalformed)
	number := func() int {
		if len(b) < 2 {
			err = bad
			return 0
		}
		n := int(binary.BigEndian.Uint16(b))
		b = b[2:]
		return n
	}
	n := number()
	if n > mostParams || len(b) < 2*n {
		return x, bad
	}
	for range n {
		x.forms = append(x.forms, uint16(number()))
	}
	n = number()
	if n > mostParams {
		return x, bad
	}
	for range n {
		if len(b) < 4 {
			return x, bad
		}
		size := int32(binary.BigEndian.Uint32(b))
		if b = b[4:]; size < 0 {
			x.params = append(x.params, nil)
			continue
		}
		if len(b) < int(size) {
			return x, bad
		}
		x.params, b = append(x.params, slices.Clone(b[:size])), b[size:]
	}
	if len(b) < 2 || len(b) != 2+2*int(binary.BigEndian.Uint16(b)) || len(x.forms) > 1 && len(x.forms) != len(x.params) {
		return x, bad
	}
	x.results = slices.Clone(b)
	return x, err
}

// with is the same with more values behind its own, as text.
func (x *bind) with(vals [][]byte) []byte {
	n := len(x.params) + len(vals)
	dst := binary.BigEndian.AppendUint16(nil, uint16(n))
	for i := range n {
		form := uint16(0)
		switch {
		case i >= len(x.params) || len(x.forms) == 0:
		case len(x.forms) == 1:
			form = x.forms[0]
		default:
			form = x.forms[i]
		}
		dst = binary.BigEndian.AppendUint16(dst, form)
	}
	dst = binary.BigEndian.AppendUint16(dst, uint16(n))
	for _, v := range append(slices.Clone(x.params), vals...) {
		if v == nil {
			dst = binary.BigEndian.AppendUint32(dst, math.MaxUint32)
			continue
		}
		dst = append(binary.BigEndian.AppendUint32(dst, uint32(len(v))), v...)
	}
	return append(dst, x.results...)
}

// nobody reads for a client that has gone.
type nobody struct{}

func (nobody) Describe([]byte)      {}
func (nobody) Row([]byte)           {}
func (nobody) Flush()               {}
func (nobody) Unsent() int          { return 0 }
func (nobody) Page(*Page)           {}
func (nobody) Fail(*run.Run, error) {}
