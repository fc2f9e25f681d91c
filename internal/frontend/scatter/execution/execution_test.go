package execution

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/invariant"
	"beechgrade/internal/testkit/fake/sortedtable"
)

// storedRow is a row of a shard, which is present from one position of the shard's log up to another.
type storedRow struct {
	vals      sortedtable.Row // place, x, name, id
	from, end float64         // positions of the log
}

// history is a random sequence of events, generated from a seed: shards whose rows change, servers that fail, are unresponsive, slow or
// stale or send too many rows, and a client that reads all pages.
type history struct {
	t        testing.TB
	rng      *rand.Rand
	settings Settings
	order    merge.Order
	data     [][]*storedRow // by shard
	now      float64
	readOnly bool // nothing is written
	faulty   bool
	nextID   int64

	run          *Run
	pages        [][]deliveredRow
	attempts     []*fakeAttempt // current attempt, by shard
	minPositions []int64
	read         []float64 // by shard: the position at which rows of served pages were read
	readOnPage   []float64 // by shard: the position at which rows of the current page were read
	maxHeldBytes int       // peak of run.HeldBytes
	failures     int       // attempts that failed midway
}

type deliveredRow struct {
	shard int
	id    int64
	vals  sortedtable.Row
}

// fakeAttempt is the read of a shard at a server.
type fakeAttempt struct {
	shard, number int
	rows          []sortedtable.Row
	position      float64 // position at which the server reads
	sent          bool
	stopped       bool // reading has stopped
	failsAfter    int  // number of rows after which the attempt fails, -1 for never
	silent        bool // the server sends nothing
	done          bool
	minPosition   int64
	place         cursor.Place
	maxRows       int
}

var table = sortedtable.Table{"place", "x", "name", "id"}

const statementText = "SELECT place, x, name, id FROM t WHERE true /*after*/ /*order*/ /* scatter=t */"

func newHistory(t testing.TB, seed uint64) *history {
	rng := rand.New(rand.NewPCG(seed, 7))
	h := &history{t: t, rng: rng, now: 1e6, readOnly: rng.IntN(3) == 0, faulty: rng.IntN(3) > 0}
	n := 1 + rng.IntN(6)
	h.settings = Settings{Shards: n, WindowBytes: 1 + rng.IntN(400), MaxRowBytes: 200, UnresponsiveMs: 50, MaxRetries: 2 + rng.IntN(3), PositionWaitMs: 5, AnswerReserveMs: 20}
	if rng.IntN(3) == 0 {
		h.settings.MaxMissing = rng.IntN(n + 1)
	}
	cols := []merge.Column{{Name: "place", Type: merge.Int}, {Name: "x", Type: merge.Float}, {Name: "name", Type: merge.Text}}
	rng.Shuffle(len(cols), func(i, k int) { cols[i], cols[k] = cols[k], cols[i] })
	cols = cols[:1+rng.IntN(3)]
	for i := range cols {
		cols[i].Desc, cols[i].NullsFirst = rng.IntN(2) == 0, rng.IntN(2) == 0
	}
	h.order = merge.Order{Columns: append(cols, merge.Column{Name: "id", Type: merge.Int, Desc: rng.IntN(2) == 0}), OwnIndex: len(cols)}
	h.data = make([][]*storedRow, n)
	for i := range h.data {
		for range rng.IntN(25) {
			h.write(i)
		}
	}
	h.now += 100
	h.attempts, h.read, h.readOnPage = make([]*fakeAttempt, n), make([]float64, n), make([]float64, n)
	return h
}

func (h *history) write(i int) {
	pick := func(vals ...any) any { return vals[h.rng.IntN(len(vals))] }
	h.nextID++
	h.data[i] = append(h.data[i], &storedRow{from: h.now, end: math.Inf(1), vals: sortedtable.Row{pick(int64(1), int64(2), int64(-3), nil),
		pick(0.5, math.NaN(), math.Inf(-1), -2.0, nil), pick("", "a", "ab", "é", nil), h.nextID}})
}

// writeSome advances the time, and adds and removes random rows.
func (h *history) writeSome() {
	h.now += h.rng.Float64() * 10
	if h.readOnly {
		return
	}
	for range h.rng.IntN(3) {
		i := h.rng.IntN(len(h.data))
		if h.write(i); h.rng.IntN(2) == 0 {
			if s := h.data[i][h.rng.IntN(len(h.data[i]))]; s.end > h.now {
				s.end = h.now
			}
		}
	}
}

// visible returns the rows of a shard as of a position.
func (h *history) visible(i int, at float64) (out []sortedtable.Row) {
	for _, s := range h.data[i] {
		if s.from <= at && s.end > at {
			out = append(out, s.vals)
		}
	}
	return out
}

func (h *history) perform(actions []Action) {
	for k := range actions {
		action := actions[k]
		switch attempt := h.attempts[action.Shard]; action.Kind {
		case Submit:
			if h.minPositions != nil && action.MinPosition < h.minPositions[action.Shard] {
				h.t.Fatalf("shard %d is read at position %d, before that of its cursor, %d", action.Shard, action.MinPosition, h.minPositions[action.Shard])
			}
			if at := max(h.read[action.Shard], h.readOnPage[action.Shard]); float64(action.MinPosition) < at {
				h.t.Fatalf("shard %d is read at position %d, but was read at %f before", action.Shard, action.MinPosition, at)
			}
			h.attempts[action.Shard] = &fakeAttempt{
				shard: action.Shard, number: action.Attempt, failsAfter: -1, minPosition: action.MinPosition, place: action.Place, maxRows: action.MaxRows,
			}
		case Send:
			h.runStatement(attempt)
		case StopReading:
			attempt.stopped = true
		case ResumeReading:
			attempt.stopped = false
		case Cancel:
			attempt.done = true
		case Deliver:
			last := &h.pages[len(h.pages)-1]
			var g deliveredRow
			if _, err := fmt.Sscan(string(action.Row), &g.shard, &g.id); err != nil {
				h.t.Fatalf("delivered row %q, want a shard and an ID: %v", action.Row, err)
			}
			for _, s := range h.data[g.shard] {
				if s.vals[3] == g.id {
					g.vals = s.vals
				}
			}
			*last = append(*last, g)
		}
	}
}

// runStatement computes the rows of an attempt at a server that is up to 30 ms behind, but has the attempt's minimum position.
func (h *history) runStatement(attempt *fakeAttempt) {
	attempt.sent, attempt.position = true, max(float64(attempt.minPosition), h.now-h.rng.Float64()*30)
	query, ok, err := plan.Parse(statementText)
	if err != nil || !ok {
		h.t.Fatalf("parsing the query: is a scatter query: %v, error %v", ok, err)
	}
	sql, vals, err := query.ShardStatement(&h.order, &attempt.place, attempt.shard, attempt.maxRows, 0)
	if err != nil {
		h.t.Fatalf("statement for shard %d: %v", attempt.shard, err)
	}
	q, err := sortedtable.Read(sql)
	if err != nil {
		h.t.Fatalf("reading statement %q: %v", sql, err)
	}
	if attempt.rows, err = q.Run(table, h.visible(attempt.shard, attempt.position), vals); err != nil {
		h.t.Fatalf("running statement %q: %v", sql, err)
	}
	if h.faulty {
		switch h.rng.IntN(8) {
		case 0:
			attempt.failsAfter = h.rng.IntN(len(attempt.rows) + 1)
		case 1:
			attempt.silent = true
		case 2: // sends up to 5 rows over the limit, in order
			for i := 0; i < 5 && len(attempt.rows) >= attempt.maxRows; i++ {
				attempt.rows = append(attempt.rows, sortedtable.Row{nil, nil, nil, int64(1e6 + i)})
			}
		}
	}
}

// step performs one random event.
func (h *history) step() {
	if h.rng.IntN(6) == 0 {
		h.writeSome()
	}
	h.now += h.rng.Float64()
	if h.rng.IntN(10) == 0 {
		h.perform(h.run.SetClientReady(h.rng.IntN(3) > 0, h.now))
	}
	if h.rng.IntN(5) == 0 {
		h.now += 5
		h.perform(h.run.Tick(h.now))
	}
	if h.run.Verdict != Running {
		return
	}
	attempt := h.attempts[h.rng.IntN(len(h.attempts))]
	if attempt != nil && h.rng.IntN(8) == 0 { // late events of an attempt that was cancelled
		h.perform(h.run.Row(attempt.shard, attempt.number-1, []byte{255}, 1, []byte("0 0"), h.now))
		h.perform(h.run.RowsEnded(attempt.shard, attempt.number-1, h.now))
		h.perform(h.run.Failed(attempt.shard, attempt.number-1, "late", true, h.now))
	}
	switch {
	case attempt == nil || attempt.done || attempt.stopped:
	case !attempt.sent && h.run.shards[attempt.shard].phase == submitted:
		if h.faulty && h.rng.IntN(60) == 0 {
			attempt.done = true
			h.perform(h.run.Rejected(attempt.shard, attempt.number, 5, h.now))
			return
		}
		h.perform(h.run.Connected(attempt.shard, attempt.number, h.now))
	case !attempt.sent || attempt.silent:
	case attempt.failsAfter == 0:
		attempt.done = true
		h.failures++
		h.perform(h.run.Failed(attempt.shard, attempt.number, "it failed", true, h.now))
	case len(attempt.rows) > 0:
		r := attempt.rows[0]
		attempt.rows, attempt.failsAfter = attempt.rows[1:], attempt.failsAfter-1
		var key []byte
		ownOffset := 0
		for i := range h.order.Columns {
			if i == h.order.OwnIndex {
				ownOffset = len(key)
			}
			c := &h.order.Columns[i]
			key, _ = c.Append(key, sortedtable.Text(r[slices.Index(table, c.Name)]), false)
		}
		h.readOnPage[attempt.shard] = max(h.readOnPage[attempt.shard], attempt.position)
		h.perform(h.run.Row(attempt.shard, attempt.number, key, ownOffset, fmt.Appendf(nil, "%d %d", attempt.shard, r[3]), h.now))
	default:
		attempt.done = true
		h.readOnPage[attempt.shard] = max(h.readOnPage[attempt.shard], attempt.position)
		h.perform(h.run.RowsEnded(attempt.shard, attempt.number, h.now))
		if pos := int64(math.Ceil(attempt.position)); h.rng.IntN(4) > 0 && h.run.Verdict == Running {
			h.perform(h.run.PositionReported(attempt.shard, attempt.number, pos, h.now))
		}
	}
	h.maxHeldBytes = max(h.maxHeldBytes, h.run.HeldBytes())
}

// page reads the page that a cursor continues at, and returns the next cursor.
func (h *history) page(ring *cursor.Ring, text string, checks *invariant.Checks) (next string, more, ok bool) {
	var places []cursor.Place
	h.minPositions = nil
	if text != "" {
		c, err := ring.Open(text, h.now, &cursor.Binding{})
		if err != nil {
			h.t.Fatalf("opening the cursor of the page: %v", err)
		}
		places, h.minPositions = c.Places, c.MinPositions
	}
	h.run = New(&h.settings, 1+h.rng.IntN(9), places, h.minPositions, h.now+300, checks)
	h.pages, h.readOnPage = append(h.pages, nil), make([]float64, h.settings.Shards)
	h.perform(h.run.Begin(h.now))
	for h.run.Verdict == Running {
		h.step()
	}
	if h.maxHeldBytes > h.settings.MaxHeldBytes() {
		h.t.Fatalf("%d bytes held, want at most %d", h.maxHeldBytes, h.settings.MaxHeldBytes())
	}
	if h.run.Verdict != Served {
		h.pages = h.pages[:len(h.pages)-1] // the client reads the page again with the same cursor
		return text, true, false
	}
	for i, at := range h.readOnPage {
		h.read[i] = max(h.read[i], at)
	}
	if !h.run.More {
		return "", false, true
	}
	c := &cursor.Cursor{IssuedMs: h.now}
	c.Places, c.MinPositions = h.run.Places()
	next, err := ring.Seal(c, cursor.Nonce{byte(h.rng.IntN(256))})
	if err != nil {
		h.t.Fatalf("sealing the cursor of the next page: %v", err)
	}
	return next, true, true
}

// compareRows compares rows in the order of the read, without using keys.
func (h *history) compareRows(a, b deliveredRow) int {
	for i, c := range h.order.Columns {
		if i == h.order.OwnIndex && a.shard != b.shard {
			return a.shard - b.shard
		}
		k := slices.Index(table, c.Name)
		x, y, n := a.vals[k], b.vals[k], 0
		switch {
		case x == nil && y == nil:
		case x == nil || y == nil:
			if n = 1; (x == nil) == c.NullsFirst {
				n = -1
			}
		default:
			if n = sortedtable.Compare(x, y); c.Desc {
				n = -n
			}
		}
		if n != 0 {
			return n
		}
	}
	return 0
}

// TestPagesOfFaultyShardsAreComplete: in each of 1,000 histories, the pages together have each row that was present throughout exactly
// once, no row twice and no row that never existed. Each page is in order, and so are all pages together if no shard was left out. If
// nothing was written either, they are exactly the sorted list of rows.
func TestPagesOfFaultyShardsAreComplete(t *testing.T) {
	t.Parallel()
	pages, rereads, failures, exact := 0, 0, 0, 0
	for seed := range uint64(1000) {
		h := newHistory(t, seed)
		checks := invariant.Test(t)
		ring := cursor.NewRing(3600e3, 3600e3, []byte("a secret"))
		began, text, more, anyMissing := h.now-31, "", true, false // the first page may be read as far behind as its class allows, here 30 ms
		for n := 0; more; n++ {
			var ok bool
			h.writeSome()
			if h.faulty && n > 40 {
				h.faulty = false // so that the read ends
			}
			if text, more, ok = h.page(ring, text, checks); !ok {
				rereads++
			} else {
				pages++
				anyMissing = anyMissing || len(h.run.Missing()) > 0
			}
			if n > 2000 {
				t.Fatalf("seed %d: the read did not end within 2000 pages", seed)
			}
		}
		count := map[int64]int{}
		var all []deliveredRow
		for _, p := range h.pages {
			if !slices.IsSortedFunc(p, h.compareRows) {
				t.Fatalf("seed %d: a page is not in order: %v", seed, p)
			}
			for _, g := range p {
				count[g.id]++
			}
			all = append(all, p...)
		}
		var want []deliveredRow
		for i := range h.data {
			for _, s := range h.data[i] {
				id := s.vals[3].(int64)
				throughout := s.from <= began && s.end > h.now
				if n := count[id]; n > 1 || throughout && n != 1 {
					t.Fatalf("seed %d: row %d of shard %d was delivered %d times, want at most once, and once if it was present throughout: %v", seed, id, i, n, throughout)
				}
				delete(count, id)
				want = append(want, deliveredRow{i, id, s.vals})
			}
		}
		if len(count) > 0 {
			t.Fatalf("seed %d: rows were delivered that never existed, by ID with their number: %v", seed, count)
		}
		if !anyMissing && !slices.IsSortedFunc(all, h.compareRows) {
			t.Fatalf("seed %d: the rows of all pages together are not in order", seed)
		}
		if slices.SortFunc(want, h.compareRows); h.readOnly && !anyMissing {
			exact++
			if len(all) != len(want) || slices.ContainsFunc(all, func(g deliveredRow) bool { w := want[0]; want = want[1:]; return w.id != g.id }) {
				t.Fatalf("seed %d: the %d rows of all pages are not exactly the sorted list of rows", seed, len(all))
			}
		}
		failures += h.failures
	}
	t.Logf("%d pages, %d read again, %d servers failed midway, %d histories gave exactly the sorted list", pages, rereads, failures, exact)
	if failures < 500 || exact < 100 || rereads < 100 {
		t.Errorf("%d failures, %d exact histories and %d pages read again are too few for the test to be meaningful, want 500, 100 and 100", failures, exact, rereads)
	}
}

// TestRetryContinuesAfterLastRow: a shard that fails midway is retried after its last row, for the remaining rows, at no earlier position.
// A shard whose rows are out of order or too long is not retried.
func TestRetryContinuesAfterLastRow(t *testing.T) {
	settings := Settings{Shards: 2, WindowBytes: 1000, MaxRowBytes: 100, MaxRetries: 1, PositionWaitMs: 5, AnswerReserveMs: 10}
	begin := func() *Run {
		r := New(&settings, 5, nil, nil, 1000, invariant.Test(t))
		r.Begin(0)
		r.Connected(0, 1, 1)
		r.Connected(1, 1, 1)
		r.Row(0, 1, []byte{2, 1, 1}, 2, []byte("one"), 2)
		r.Row(0, 1, []byte{2, 2, 2}, 2, []byte("two"), 3.5)
		return r
	}
	want := []Action{{Kind: Cancel}, {Kind: Submit, Attempt: 2, Place: cursor.Place{Key: []byte{2, 2, 2}, OwnOffset: 2}, MinPosition: 4, MaxRows: 3}}
	r := begin()
	if diff := cmp.Diff(want, r.Failed(0, 1, "it failed", true, 4)); diff != "" {
		t.Errorf("actions after the first failure (-want +got):\n%s", diff)
	}
	r.Connected(0, 2, 5)
	if r.Failed(0, 2, "it failed", true, 6); r.Verdict != Failed {
		t.Errorf("verdict after the second failure is %v, want %v", r.Verdict, Failed)
	}
	for what, key := range map[string][]byte{"out of order": {2, 1, 9}, "too long": make([]byte, 101)} {
		if r := begin(); len(r.Row(0, 1, key, 1, nil, 4)) == 0 || r.Verdict != Failed {
			t.Errorf("after a row that is %s: verdict is %v, want %v and some actions", what, r.Verdict, Failed)
		}
	}
}

// TestRejectedBeforeAnythingIsSent: if one shard is rejected before statements are sent, none is sent, and all reads are cancelled.
func TestRejectedBeforeAnythingIsSent(t *testing.T) {
	settings := Settings{Shards: 3, WindowBytes: 1000, MaxRowBytes: 100, MaxRetries: 3}
	r := New(&settings, 5, nil, nil, 1000, invariant.Test(t))
	r.Begin(0)
	var all []Action
	all = append(all, r.Connected(0, 1, 1)...)
	all = append(all, r.Connected(2, 1, 1)...)
	all = append(all, r.Rejected(1, 1, 40, 2)...)
	want := []Action{{Kind: Cancel, Shard: 1}, {Kind: Cancel}, {Kind: Cancel, Shard: 2}, {Kind: Finish}}
	if diff := cmp.Diff(want, all); diff != "" || r.Verdict != Rejected || r.RetryMs != 40 {
		t.Errorf("verdict is %v, want %v; retry after %g ms, want 40; actions (-want +got):\n%s", r.Verdict, Rejected, r.RetryMs, diff)
	}
	if late := r.Connected(1, 1, 3); len(late) > 0 {
		t.Errorf("actions after the final answer are %v, want none", late)
	}
}
