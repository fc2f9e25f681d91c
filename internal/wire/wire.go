// Package wire is the codec of the simulator's wire: batches of events in, lines of actions out.
// It holds no decision; positions become times on the clock here, once.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"beechgrade/internal/decide"
)

// Kind says what an Item of a batch is.
type Kind uint8

// The kinds.
const (
	Start   Kind = iota // a fresh instance: Settings and Seed are set
	Stop                // the instance was killed
	Deliver             // Event is for the instance
)

// Item is one event of a batch for one instance.
type Item struct {
	Front    int
	Kind     Kind
	Seed     uint64
	Settings decide.Settings
	Event    decide.Event
}

// Batch is what arrived at one time.
type Batch struct {
	Now   decide.Time
	Items []Item
}

// slots is how many numbered lists the wire has.
const slots = 16

// Decoder reads batches. Numbered lists and each instance's zero of positions live here, because
// they belong to the process and not to a router.
type Decoder struct {
	in    *bufio.Reader
	line  int
	lists [slots][]decide.Entry
	zero  map[int]time.Duration
	long  []byte
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), zero: map[int]time.Duration{}}
}

// readLine returns the next line without its end; it is valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	d.long = d.long[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.long = append(d.long, part...)
			continue
		}
		if err != nil {
			if err == io.EOF && len(part)+len(d.long) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		d.line++
		if len(d.long) > 0 {
			d.long = append(d.long, part...)
			part = d.long
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte{'\r'}), nil
	}
}

func (d *Decoder) wrap(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("wire: line %d: %w", d.line, err)
}

// Next reads one batch. It returns io.EOF when the input ends between batches.
func (d *Decoder) Next() (*Batch, error) {
	first, err := d.readLine()
	for err == nil && len(first) == 0 {
		first, err = d.readLine()
	}
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, d.wrap(err)
	}
	f := newFields(first)
	if f.name != "SYNC" {
		return nil, d.wrap(fmt.Errorf("want SYNC, got %q", f.name))
	}
	b := &Batch{}
	seen := false
	for f.next() {
		if f.key == "wall_ns" {
			b.Now, seen = f.duration(), true
		}
	}
	if !seen {
		f.fail("wall_ns")
	}
	if f.err != nil {
		return nil, d.wrap(f.err)
	}
	for {
		line, err := d.readLine()
		if err != nil {
			return nil, d.wrap(err)
		}
		if len(line) == 0 {
			continue
		}
		f := newFields(line)
		if f.name == "COMMIT" {
			return b, nil
		}
		if err := d.item(b, f); err != nil {
			return nil, d.wrap(err)
		}
	}
}

func (d *Decoder) item(b *Batch, f *fields) error {
	it := Item{Front: -1, Kind: Deliver}
	switch f.name {
	case "CENSUS":
		return d.census(f)
	case "PROVISION":
		it.Kind = Start
		pairs := map[string]string{}
		for f.next() {
			switch f.key {
			case "front":
				it.Front = f.integer()
			case "prng":
				it.Seed = uint64(f.int64())
			default:
				pairs[f.key] = string(f.val)
			}
		}
		if f.err == nil {
			var zero time.Duration
			var err error
			if it.Settings, zero, err = Settings(pairs); err != nil {
				return fmt.Errorf("PROVISION: %w", err)
			}
			d.zero[it.Front] = zero
		}
	case "CRASH_NOW":
		it.Kind = Stop
		for f.next() {
			if f.key == "front" {
				it.Front = f.integer()
			}
		}
		delete(d.zero, it.Front)
	case "MEMBERS":
		l := &decide.List{}
		slot, how := -1, ""
		for f.next() {
			switch f.key {
			case "front":
				it.Front = f.integer()
			case "how":
				how = string(f.val)
			case "slot":
				slot = f.integer()
			}
		}
		kind, ok := listKinds[how]
		if !ok {
			return fmt.Errorf("MEMBERS: unknown how %q", how)
		}
		l.Kind = kind
		if kind != decide.ListFailed {
			if slot < 0 || slot >= slots {
				return fmt.Errorf("MEMBERS: slot %d out of range", slot)
			}
			l.Entries = d.lists[slot]
		}
		it.Event = l
	case "ASK":
		it.Front, it.Event = decodeRequest(f)
	case "SETTLED":
		it.Front, it.Event = d.decodeOutcome(f)
	case "EXPIRED":
		e := &decide.Expired{}
		for f.next() {
			switch f.key {
			case "front":
				it.Front = f.integer()
			case "request_id":
				e.ID = decide.RequestID(f.val)
			}
		}
		it.Event = e
	case "TIMEOUT_FIRED":
		e := &decide.Timer{}
		for f.next() {
			switch f.key {
			case "front":
				it.Front = f.integer()
			case "tag":
				e.Tag = f.int64()
			}
		}
		it.Event = e
	case "ECHO":
		e := &decide.ProbeResult{Result: decide.TimedOut}
		var stats []byte
		for f.next() {
			switch f.key {
			case "front":
				it.Front = f.integer()
			case "store":
				e.Store = decide.StoreID(f.val)
			case "disposition":
				e.Result = result(f.val)
			case "server_stats":
				stats = f.val
			}
		}
		e.Load = report(stats, d.zero[it.Front], f)
		it.Event = e
	default:
		return nil // a message that this adapter has no use for
	}
	if f.err == nil && it.Front < 0 {
		return fmt.Errorf("%s: front missing or negative", f.name)
	}
	if f.err == nil {
		b.Items = append(b.Items, it)
	}
	return f.err
}

func decodeRequest(f *fields) (int, *decide.Request) {
	front, options, work := -1, 0, time.Duration(0)
	e := &decide.Request{Class: -1, Group: -1}
	for f.next() {
		switch f.key {
		case "front":
			front = f.integer()
		case "request_id":
			e.ID = decide.RequestID(f.val)
		case "party":
			e.Tenant = f.integer()
		case "due_ns":
			e.Due = f.duration()
		case "shard":
			e.Group = f.integer()
		case "session":
			e.Session = string(f.val)
		case "token_ms":
			e.SinceOwn = max(0, time.Duration(f.float()*float64(time.Millisecond)))
		case "expected_ns":
			work = f.duration()
		case "options":
			options = f.integer()
		case "cls":
			e.Class = f.integer()
		}
	}
	if options&1 != 0 {
		e.Work = work
	}
	e.Repeat = options&2 != 0
	if e.ID == "" {
		f.fail("request_id")
	}
	return front, e
}

func (d *Decoder) decodeOutcome(f *fields) (int, *decide.Outcome) {
	front, note := -1, int64(0)
	e := &decide.Outcome{Result: decide.Failed}
	var stats []byte
	for f.next() {
		switch f.key {
		case "front":
			front = f.integer()
		case "request_id":
			e.ID = decide.RequestID(f.val)
		case "try":
			e.Attempt = f.integer()
		case "disposition":
			e.Result = result(f.val)
		case "no_more":
			e.Final = f.boolean()
		case "store":
			e.Store = decide.StoreID(f.val)
		case "note":
			note = f.int64()
		case "server_stats":
			stats = f.val
		}
	}
	zero := d.zero[front]
	switch note & 3 {
	case 1:
		e.Told.Role = decide.RolePrimary
	case 2:
		e.Told.Role = decide.RoleReplica
	}
	if note >= 4 {
		e.Told.Position, e.Told.HasPosition = zero+time.Duration(note/4)*time.Millisecond, true
	}
	e.Load = report(stats, zero, f)
	return front, e
}

func (d *Decoder) census(f *fields) error {
	slot, records := -1, 0
	for f.next() {
		switch f.key {
		case "slot":
			slot = f.integer()
		case "records":
			records = f.integer()
		}
	}
	if f.err != nil {
		return f.err
	}
	if slot < 0 || slot >= slots || records < 0 {
		return fmt.Errorf("CENSUS: slot %d or records %d out of range", slot, records)
	}
	var list []decide.Entry // fresh: events of this batch may still hold the old one
	for range records {
		line, err := d.readLine()
		if err != nil {
			return err
		}
		g := newFields(line)
		if g.name != "ENTRY" {
			return fmt.Errorf("want ENTRY, got %q", g.name)
		}
		e := decide.Entry{Size: 1}
		for g.next() {
			switch g.key {
			case "online_since_ns":
				e.Started = g.duration()
			case "shard":
				e.Group = g.integer()
			case "shape":
				e.Kind = g.integer()
			case "availability":
				s, ok := states[string(g.val)]
				if !ok {
					return fmt.Errorf("ENTRY: unknown availability %q", g.val)
				}
				e.State = s
			case "weight":
				e.Size = g.float()
			case "hall":
				e.Zone = g.integer()
			case "store":
				e.Store = decide.StoreID(g.val)
			case "is_primary":
				e.Primary = g.float() == 1
			}
		}
		if g.err != nil {
			return g.err
		}
		if e.Store == "" {
			return errors.New("ENTRY: store missing")
		}
		list = append(list, e)
	}
	d.lists[slot] = list
	return nil
}

var listKinds = map[string]decide.ListKind{
	"update": decide.ListChanges, "replace": decide.ListFull,
	"restored": decide.ListRestored, "unavailable": decide.ListFailed,
}

var states = map[string]decide.StoreState{
	"SERVING": decide.Serving, "DRAINING": decide.Draining, "DELETED": decide.Gone,
}

// result reads a disposition. A word not known here becomes an error that may have run: the reading
// that promises least.
func result(v []byte) decide.Result {
	switch string(v) {
	case "done":
		return decide.OK
	case "busy":
		return decide.Full
	case "etimedout":
		return decide.TimedOut
	case "econnrefused":
		return decide.Unreachable
	case "econnreset":
		return decide.Reset
	case "ecanceled":
		return decide.Cancelled
	case "skipped":
		return decide.Skipped
	case "enoent":
		return decide.Missed
	}
	return decide.Failed
}

// report reads a load report; positions become times on the clock.
func report(v []byte, zero time.Duration, f *fields) decide.Report {
	var r decide.Report
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = bytes.Cut(v, []byte{','})
		key, val, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			continue
		}
		switch string(key) {
		case "x0":
			// Rounded down to whole milliseconds: a printed figure may have been rounded up.
			ms := int64(f.parse(val) * 1000)
			r.Position, r.HasPosition = zero+time.Duration(ms)*time.Millisecond, true
		case "x1":
			r.Role = decide.RoleReplica
			if f.parse(val) == 1 {
				r.Role = decide.RolePrimary
			}
		case "busy_reqs":
			r.Held, r.HasHeld = f.parse(val), true
		}
	}
	return r
}

// fields walks the parts of a line without allocating.
type fields struct {
	name string
	rest []byte
	key  string
	val  []byte
	err  error
}

func newFields(line []byte) *fields {
	name, rest, _ := bytes.Cut(line, []byte{'\t'})
	return &fields{name: string(name), rest: rest}
}

func (f *fields) next() bool {
	if f.err != nil || len(f.rest) == 0 {
		return false
	}
	var part []byte
	part, f.rest, _ = bytes.Cut(f.rest, []byte{'\t'})
	key, val, ok := bytes.Cut(part, []byte{'='})
	if !ok {
		f.err = fmt.Errorf("%s: part %q has no '='", f.name, part)
		return false
	}
	f.key, f.val = string(key), val
	return true
}

func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: bad or missing %s %q", f.name, what, f.val)
	}
}

func (f *fields) int64() int64 {
	v, err := strconv.ParseInt(string(f.val), 10, 64)
	if err != nil {
		u, uerr := strconv.ParseUint(string(f.val), 10, 64)
		if uerr != nil {
			f.fail(f.key)
		}
		return int64(u)
	}
	return v
}

func (f *fields) integer() int { return int(f.int64()) }

func (f *fields) duration() time.Duration { return time.Duration(f.int64()) }

func (f *fields) float() float64 { return f.parse(f.val) }

func (f *fields) parse(v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil {
		f.fail(f.key)
	}
	return x
}

func (f *fields) boolean() bool { return string(f.val) == "1" || string(f.val) == "true" }

// Reply gathers the answer to one batch.
type Reply struct{ buf []byte }

// Bytes ends the reply and returns it; Reset makes it ready for the next.
func (r *Reply) Bytes() []byte { return append(r.buf, "READY\n"...) }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = r.buf[:0] }

// Fault reports that an instance's decision code failed.
func (r *Reply) Fault(front int, text string) { r.text("BAIL_OUT", front, text) }

// Add encodes one action of an instance.
func (r *Reply) Add(front int, a *decide.Action) {
	switch a.Kind {
	case decide.Send:
		r.begin("PASS_ON", front)
		r.str("request_id", string(a.ID))
		r.str("store", string(a.Store))
		r.num("timeout_ns", int64(a.Wait))
	case decide.Cancel:
		r.begin("REVOKE", front)
		r.str("request_id", string(a.ID))
		r.int("try", int64(a.Attempt))
	case decide.Refuse:
		r.begin("NOT_NOW", front)
		r.str("request_id", string(a.ID))
		r.num("pause_ns", int64(a.Wait))
	case decide.Fail:
		r.begin("ERROR", front)
		r.str("request_id", string(a.ID))
	case decide.Probe:
		r.begin("PROBE", front)
		r.str("store", string(a.Store))
	case decide.SetTimer:
		r.begin("WAKE_AT", front)
		r.int("instant_ns", int64(a.At))
		r.int("tag", a.Tag)
	case decide.Subscribe:
		r.begin("WATCH", front)
		r.int("enable", 1)
	case decide.FetchList:
		r.begin("LIST_ALL", front)
	case decide.Log:
		r.text("TRACE", front, a.Text)
		return
	default:
		return
	}
	r.buf = append(r.buf, '\n')
}

func (r *Reply) begin(name string, front int) {
	r.buf = append(r.buf, name...)
	r.int("front", int64(front))
}

func (r *Reply) str(key, val string) {
	r.buf = append(r.buf, '\t')
	r.buf = append(r.buf, key...)
	r.buf = append(r.buf, '=')
	r.buf = append(r.buf, val...)
}

func (r *Reply) int(key string, val int64) {
	r.str(key, "")
	r.buf = strconv.AppendInt(r.buf, val, 10)
}

// num leaves a zero out, as the wire does.
func (r *Reply) num(key string, val int64) {
	if val != 0 {
		r.int(key, val)
	}
}

func (r *Reply) text(name string, front int, text string) {
	r.begin(name, front)
	r.str("msg", strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text))
	r.buf = append(r.buf, '\n')
}
