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

// stored is a row of a shard, there from one position of its log to another.
type stored struct {
	vals      sortedtable.Row // place, x, name, id
	from, end float64
}

// history is one drawn from a seed: shards that change, servers that die, are silent, slow, endless or behind, and clients that page.
type history struct {
	t      testing.TB
	rng    *rand.Rand
	set    Settings
	order  merge.Order
	data   [][]*stored // by shard
	now    float64
	still  bool // nothing is written
	faulty bool
	nextID int64

	run   *Run
	pages [][]given
	tries []*try // by shard, the present one
	needs []int64
	read  []float64 // by shard: the position that rows were read at, of pages that were served
	now1  []float64 // ...and of this one
	held  int       // most
	broke int
}

type given struct {
	shard int
	id    int64
	vals  sortedtable.Row
}

// try is a shard's read at a server.
type try struct {
	shard, no int
	rows      []sortedtable.Row
	at        float64 // position that it was read at
	sent      bool
	stopped   bool
	dies      int // before this row, -1 for never
	silent    bool
	done      bool
	need      int64
	place     cursor.Place
	limit     int
}

var table = sortedtable.Table{"place", "x", "name", "id"}

const word = "SELECT place, x, name, id FROM t WHERE true /*after*/ /*order*/ /* scatter=t */"

func newHistory(t testing.TB, seed uint64) *history {
	rng := rand.New(rand.NewPCG(seed, 7))
	h := &history{t: t, rng: rng, now: 1e6, still: rng.IntN(3) == 0, faulty: rng.IntN(3) > 0}
	n := 1 + rng.IntN(6)
	h.set = Settings{Shards: n, WindowBytes: 1 + rng.IntN(400), MaxRowBytes: 200, UnresponsiveMs: 50, MaxRetries: 2 + rng.IntN(3), PositionWaitMs: 5, AnswerReserveMs: 20}
	if rng.IntN(3) == 0 {
		h.set.MaxMissing = rng.IntN(n + 1)
	}
	cols := []merge.Column{{Name: "place", Type: merge.Int}, {Name: "x", Type: merge.Float}, {Name: "name", Type: merge.Text}}
	rng.Shuffle(len(cols), func(i, k int) { cols[i], cols[k] = cols[k], cols[i] })
	cols = cols[:1+rng.IntN(3)]
	for i := range cols {
		cols[i].Desc, cols[i].NullsFirst = rng.IntN(2) == 0, rng.IntN(2) == 0
	}
	h.order = merge.Order{Columns: append(cols, merge.Column{Name: "id", Type: merge.Int, Desc: rng.IntN(2) == 0}), Own: len(cols)}
	h.data = make([][]*stored, n)
	for i := range h.data {
		for range rng.IntN(25) {
			h.write(i)
		}
	}
	h.now += 100
	h.tries, h.read, h.now1 = make([]*try, n), make([]float64, n), make([]float64, n)
	return h
}

func (h *history) write(i int) {
	pick := func(vals ...any) any { return vals[h.rng.IntN(len(vals))] }
	h.nextID++
	h.data[i] = append(h.data[i], &stored{from: h.now, end: math.Inf(1), vals: sortedtable.Row{pick(int64(1), int64(2), int64(-3), nil),
		pick(0.5, math.NaN(), math.Inf(-1), -2.0, nil), pick("", "a", "ab", "é", nil), h.nextID}})
}

// meanwhile has rows come and go.
func (h *history) meanwhile() {
	h.now += h.rng.Float64() * 10
	if h.still {
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

// visible are a shard's rows as of a position.
func (h *history) visible(i int, at float64) (out []sortedtable.Row) {
	for _, s := range h.data[i] {
		if s.from <= at && s.end > at {
			out = append(out, s.vals)
		}
	}
	return out
}

func (h *history) do(actions []Action) {
	for k := range actions {
		a := actions[k]
		switch x := h.tries[a.Shard]; a.Kind {
		case Submit:
			if h.needs != nil && a.MinPosition < h.needs[a.Shard] {
				h.t.Fatalf("shard %d is asked at %d, before its cursor's %d", a.Shard, a.MinPosition, h.needs[a.Shard])
			}
			if at := max(h.read[a.Shard], h.now1[a.Shard]); float64(a.MinPosition) < at {
				h.t.Fatalf("shard %d is asked at %d, and was read at %f", a.Shard, a.MinPosition, at)
			}
			h.tries[a.Shard] = &try{shard: a.Shard, no: a.Attempt, dies: -1, need: a.MinPosition, place: a.Place, limit: a.MaxRows}
		case Send:
			h.sendTo(x)
		case StopReading:
			x.stopped = true
		case ResumeReading:
			x.stopped = false
		case Cancel:
			x.done = true
		case Deliver:
			last := &h.pages[len(h.pages)-1]
			var g given
			if _, err := fmt.Sscan(string(a.Row), &g.shard, &g.id); err != nil {
				h.t.Fatal(err)
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

// sendTo has a server work on a try's statement: one that is behind by up to a while, but never behind its need.
func (h *history) sendTo(x *try) {
	x.sent, x.at = true, max(float64(x.need), h.now-h.rng.Float64()*30)
	asked, ok, err := plan.Parse(word)
	if err != nil || !ok {
		h.t.Fatal(err)
	}
	sql, vals, err := asked.ShardStatement(&h.order, &x.place, x.shard, x.limit, 0)
	if err != nil {
		h.t.Fatal(err)
	}
	q, err := sortedtable.Read(sql)
	if err != nil {
		h.t.Fatal(err)
	}
	if x.rows, err = q.Run(table, h.visible(x.shard, x.at), vals); err != nil {
		h.t.Fatal(err)
	}
	if h.faulty {
		switch h.rng.IntN(8) {
		case 0:
			x.dies = h.rng.IntN(len(x.rows) + 1)
		case 1:
			x.silent = true
		case 2: // endless: what it sends beyond the limit is in order, and in the way
			for i := 0; i < 5 && len(x.rows) >= x.limit; i++ {
				x.rows = append(x.rows, sortedtable.Row{nil, nil, nil, int64(1e6 + i)})
			}
		}
	}
}

// step has one thing happen.
func (h *history) step() {
	if h.rng.IntN(6) == 0 {
		h.meanwhile()
	}
	h.now += h.rng.Float64()
	if h.rng.IntN(10) == 0 {
		h.do(h.run.SetClientReady(h.rng.IntN(3) > 0, h.now))
	}
	if h.rng.IntN(5) == 0 {
		h.now += 5
		h.do(h.run.Tick(h.now))
	}
	if h.run.Verdict != Running {
		return
	}
	x := h.tries[h.rng.IntN(len(h.tries))]
	if x != nil && h.rng.IntN(8) == 0 { // of a try that was given up
		h.do(h.run.Row(x.shard, x.no-1, []byte{255}, 1, []byte("0 0"), h.now))
		h.do(h.run.RowsEnded(x.shard, x.no-1, h.now))
		h.do(h.run.Failed(x.shard, x.no-1, "late", true, h.now))
	}
	switch {
	case x == nil || x.done || x.stopped:
	case !x.sent && h.run.shards[x.shard].phase == submitted:
		if h.faulty && h.rng.IntN(60) == 0 {
			x.done = true
			h.do(h.run.Rejected(x.shard, x.no, 5, h.now))
			return
		}
		h.do(h.run.Connected(x.shard, x.no, h.now))
	case !x.sent || x.silent:
	case x.dies == 0:
		x.done = true
		h.broke++
		h.do(h.run.Failed(x.shard, x.no, "it died", true, h.now))
	case len(x.rows) > 0:
		r := x.rows[0]
		x.rows, x.dies = x.rows[1:], x.dies-1
		var key []byte
		own := 0
		for i := range h.order.Columns {
			if i == h.order.Own {
				own = len(key)
			}
			c := &h.order.Columns[i]
			key, _ = c.Append(key, sortedtable.Text(r[slices.Index(table, c.Name)]), false)
		}
		h.now1[x.shard] = max(h.now1[x.shard], x.at)
		h.do(h.run.Row(x.shard, x.no, key, own, fmt.Appendf(nil, "%d %d", x.shard, r[3]), h.now))
	default:
		x.done = true
		h.now1[x.shard] = max(h.now1[x.shard], x.at)
		h.do(h.run.RowsEnded(x.shard, x.no, h.now))
		if pos := int64(math.Ceil(x.at)); h.rng.IntN(4) > 0 && h.run.Verdict == Running {
			h.do(h.run.PositionReported(x.shard, x.no, pos, h.now))
		}
	}
	h.held = max(h.held, h.run.HeldBytes())
}

// page plays one page with a cursor's text and returns the next one.
func (h *history) page(ring *cursor.Ring, text string, checks *invariant.Checks) (next string, more, ok bool) {
	var places []cursor.Place
	h.needs = nil
	if text != "" {
		c, err := ring.Open(text, h.now, &cursor.Binding{})
		if err != nil {
			h.t.Fatal(err)
		}
		places, h.needs = c.Places, c.MinPositions
	}
	h.run = New(&h.set, 1+h.rng.IntN(9), places, h.needs, h.now+300, checks)
	h.pages, h.now1 = append(h.pages, nil), make([]float64, h.set.Shards)
	h.do(h.run.Begin(h.now))
	for h.run.Verdict == Running {
		h.step()
	}
	if h.held > h.set.MaxHeldBytes() {
		h.t.Fatalf("%d bytes held, over %d", h.held, h.set.MaxHeldBytes())
	}
	if h.run.Verdict != Served {
		h.pages = h.pages[:len(h.pages)-1] // the client asks again with the cursor it has
		return text, true, false
	}
	for i, at := range h.now1 {
		h.read[i] = max(h.read[i], at)
	}
	if !h.run.More {
		return "", false, true
	}
	c := &cursor.Cursor{IssuedMs: h.now}
	c.Places, c.MinPositions = h.run.Places()
	next, err := ring.Seal(c, cursor.Nonce{byte(h.rng.IntN(256))})
	if err != nil {
		h.t.Fatal(err)
	}
	return next, true, true
}

// before is the order of rows, said without keys.
func (h *history) before(a, b given) int {
	for i, c := range h.order.Columns {
		if i == h.order.Own && a.shard != b.shard {
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

// TestPagesOfFaultyShardsAreComplete: over 1,000 drawn histories, the pages' union is the model's sorted list: each row that was there throughout exactly once, no
// row twice, none that never was; in order, and where nothing was written and nothing left out, the very list.
func TestPagesOfFaultyShardsAreComplete(t *testing.T) {
	t.Parallel()
	pages, again, broke, exact := 0, 0, 0, 0
	for seed := range uint64(1000) {
		h := newHistory(t, seed)
		checks := invariant.Test(t)
		ring := cursor.NewRing(3600e3, 3600e3, []byte("a secret"))
		began, text, more, left := h.now-31, "", true, false // a first page may be read as far behind as its class allows, here 30 ms
		for n := 0; more; n++ {
			var ok bool
			h.meanwhile()
			if h.faulty && n > 40 {
				h.faulty = false // it gets well in the end
			}
			if text, more, ok = h.page(ring, text, checks); !ok {
				again++
			} else {
				pages++
				left = left || len(h.run.Missing()) > 0
			}
			if n > 2000 {
				t.Fatalf("seed %d: it has no end", seed)
			}
		}
		count := map[int64]int{}
		var all []given
		for _, p := range h.pages {
			if !slices.IsSortedFunc(p, h.before) {
				t.Fatalf("seed %d: a page is not in order: %v", seed, p)
			}
			for _, g := range p {
				count[g.id]++
			}
			all = append(all, p...)
		}
		var want []given
		for i := range h.data {
			for _, s := range h.data[i] {
				id := s.vals[3].(int64)
				there := s.from <= began && s.end > h.now
				if n := count[id]; n > 1 || there && n != 1 {
					t.Fatalf("seed %d: row %d of shard %d was given %d times; there throughout: %v", seed, id, i, n, there)
				}
				delete(count, id)
				want = append(want, given{i, id, s.vals})
			}
		}
		if len(count) > 0 {
			t.Fatalf("seed %d: rows %v never were", seed, count)
		}
		if !left && !slices.IsSortedFunc(all, h.before) {
			t.Fatalf("seed %d: pages are not in order", seed)
		}
		if slices.SortFunc(want, h.before); h.still && !left {
			exact++
			if len(all) != len(want) || slices.ContainsFunc(all, func(g given) bool { w := want[0]; want = want[1:]; return w.id != g.id }) {
				t.Fatalf("seed %d: not the sorted list", seed)
			}
		}
		broke += h.broke
	}
	t.Logf("%d pages, %d asked again, %d servers died midway, %d histories were the very list", pages, again, broke, exact)
	if broke < 500 || exact < 100 || again < 100 {
		t.Error("too little befell them for this to say much")
	}
}

// TestRetryContinuesBehindLastRow: a shard that dies midway is asked again from behind its last row, for what is left, at no earlier position; and one whose rows are not
// in order, or too long, is not asked again.
func TestRetryContinuesBehindLastRow(t *testing.T) {
	set := Settings{Shards: 2, WindowBytes: 1000, MaxRowBytes: 100, MaxRetries: 1, PositionWaitMs: 5, AnswerReserveMs: 10}
	begin := func() *Run {
		r := New(&set, 5, nil, nil, 1000, invariant.Test(t))
		r.Begin(0)
		r.Connected(0, 1, 1)
		r.Connected(1, 1, 1)
		r.Row(0, 1, []byte{2, 1, 1}, 2, []byte("one"), 2)
		r.Row(0, 1, []byte{2, 2, 2}, 2, []byte("two"), 3.5)
		return r
	}
	want := []Action{{Kind: Cancel}, {Kind: Submit, Attempt: 2, Place: cursor.Place{Key: []byte{2, 2, 2}, OwnOffset: 2}, MinPosition: 4, MaxRows: 3}}
	r := begin()
	if diff := cmp.Diff(want, r.Failed(0, 1, "it died", true, 4)); diff != "" {
		t.Error(diff)
	}
	r.Connected(0, 2, 5)
	if r.Failed(0, 2, "it died", true, 6); r.Verdict != Failed {
		t.Errorf("dead twice: %v", r.Verdict)
	}
	for what, key := range map[string][]byte{"out of order": {2, 1, 9}, "too long": make([]byte, 101)} {
		if r := begin(); len(r.Row(0, 1, key, 1, nil, 4)) == 0 || r.Verdict != Failed {
			t.Errorf("%s: %v", what, r.Verdict)
		}
	}
}

// TestRejectedBeforeAnythingIsSent: where one shard is refused, nothing is sent to any, and who was granted is given up.
func TestRejectedBeforeAnythingIsSent(t *testing.T) {
	set := Settings{Shards: 3, WindowBytes: 1000, MaxRowBytes: 100, MaxRetries: 3}
	r := New(&set, 5, nil, nil, 1000, invariant.Test(t))
	r.Begin(0)
	var all []Action
	all = append(all, r.Connected(0, 1, 1)...)
	all = append(all, r.Connected(2, 1, 1)...)
	all = append(all, r.Rejected(1, 1, 40, 2)...)
	want := []Action{{Kind: Cancel, Shard: 1}, {Kind: Cancel}, {Kind: Cancel, Shard: 2}, {Kind: Finish}}
	if diff := cmp.Diff(want, all); diff != "" || r.Verdict != Rejected || r.RetryMs != 40 {
		t.Errorf("%v, %g: %s", r.Verdict, r.RetryMs, diff)
	}
	if late := r.Connected(1, 1, 3); len(late) > 0 {
		t.Errorf("behind the final answer: %v", late)
	}
}
