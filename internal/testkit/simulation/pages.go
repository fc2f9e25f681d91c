package simulation

import (
	"math/rand/v2"
	"slices"

	"beechgrade/internal/frontend/scatter/cursor"
	"beechgrade/internal/frontend/scatter/merge"
	"beechgrade/internal/frontend/scatter/plan"
	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/fake/sortedtable"
	"beechgrade/internal/testkit/model"
	"beechgrade/internal/testkit/scenario"
)

// paging is reports over all groups that are read in pages throughout, and the table that they are of.
type paging struct {
	e     *Emulation
	set   *scenario.Pages
	class *clients.Class
	no    int // the class's
	rng   *rand.Rand
	check *checker.PageChecker
	order merge.Order
	word  plan.Query
	ring  *cursor.Ring
	rows  [][]*kept // by group
	last  int64
	seq   uint64
	open  map[*pooler][]*paged // pages that are made

	Counts PageCounts
}

// PageCounts are figures of the reports.
type PageCounts struct {
	Pages, Reports, Rows, Refused, Failed, Broken, Again int
	ByPoolers                                            int // poolers that gave one at least
}

// kept is a row, there from one position of its group's log to another, 0 for ever.
type kept struct {
	vals      sortedtable.Row
	from, end float64
}

var pageTable = sortedtable.Table{"id", "place"}

const pageSQL = "SELECT id, place FROM visits WHERE true /*after*/ /*order*/ /* scatter=visits */"

func (e *Emulation) newPaging() *paging {
	s := e.script.Pages
	g := &paging{e: e, set: s, rng: rand.New(rand.NewPCG(e.opt.Seed, 41)), check: checker.NewPageChecker(s.Desc), ring: cursor.NewRing(3600e3, 24*3600e3, []byte("the fleet's secret, whatever it is")),
		rows: make([][]*kept, len(e.world.Groups)), open: map[*pooler][]*paged{}}
	g.no = slices.IndexFunc(e.script.Clients.Classes, func(c clients.Class) bool { return c.Name == s.Class })
	g.class = &e.script.Clients.Classes[g.no]
	g.order = merge.Order{Columns: []merge.Column{{Name: "place", Type: merge.Int, Desc: s.Desc, NullsFirst: s.Desc}, {Name: "id", Type: merge.Int}}, Own: 1}
	g.word, _, _ = plan.Parse(pageSQL) // it is whole
	for i := range g.rows {
		for range s.Rows {
			g.write(i, 0)
		}
	}
	if s.Changes > 0 {
		e.s.after(g.rng.ExpFloat64()*1000/s.Changes, g.change)
	}
	given := map[int]bool{}
	for i := range s.Readers {
		r := &reader{g: g, no: i, given: given}
		e.s.after(g.rng.Float64()*s.Think, r.ask)
	}
	return g
}

// after has something done after so many ms.
func (s *sched) after(ms float64, do func()) { s.After(ms, model.Func(do), 0) }

// write puts a row into a group, as of a position of its log.
func (g *paging) write(group int, from float64) {
	g.last++
	place := int64(g.rng.IntN(g.set.Places))
	g.rows[group] = append(g.rows[group], &kept{vals: sortedtable.Row{g.last, place}, from: from})
	g.check.RowWritten(g.last, place, group, from)
}

// change writes a row or deletes one, in a group that takes writes, and goes on.
func (g *paging) change() {
	e := g.e
	if i := g.rng.IntN(len(g.rows)); e.world.Groups[i].Writable() {
		at := e.world.Groups[i].Write(e.s.now, "visits", nil)
		if k := g.rows[i][g.rng.IntN(len(g.rows[i]))]; g.rng.IntN(2) == 0 && k.end == 0 {
			k.end = at
			g.check.RowDeleted(k.vals[0].(int64), at)
		} else {
			g.write(i, at)
		}
	}
	if e.s.now < startMs+e.script.Clients.Seconds*1000 {
		e.s.after(g.rng.ExpFloat64()*1000/g.set.Changes, g.change)
	}
}

// visible are a group's rows as of a position.
func (g *paging) visible(group int, at float64) (out []sortedtable.Row) {
	for _, k := range g.rows[group] {
		if k.from <= at && (k.end == 0 || k.end > at) {
			out = append(out, k.vals)
		}
	}
	return out
}

// reader is a client that reads one report after another, each page at the next pooler.
type reader struct {
	g      *paging
	no, n  int
	cursor string
	page   *paged // that it waits for
	given  map[int]bool
}

// ask asks for the next page.
func (r *reader) ask() {
	g, e := r.g, r.g.e
	if e.s.now >= startMs+e.script.Clients.Seconds*1000 {
		return
	}
	r.n++
	p := e.poolers[(r.no*len(e.poolers)/g.set.Readers+r.n)%len(e.poolers)]
	if !p.up { // refused at once
		e.s.after(e.way()+e.way(), r.ask)
		return
	}
	g.seq++
	s := &paged{g: g, r: r, p: p, life: p.life, id: g.seq, sent: e.s.now, due: e.s.now + g.set.Wait}
	r.page = s
	e.s.after(e.way(), func() {
		if p.life != s.life || !p.up {
			e.s.after(e.way(), func() { s.tell(pageEnd{broken: true}) })
			return
		}
		g.open[p] = append(g.open[p], s)
		p.whenRunning(s.life, s.begin)
	})
	e.s.after(g.set.Wait+pageSlackMs, func() {
		if r.page != s {
			return
		}
		due := s.due          // there was no end by then
		if p.still > s.sent { // its machine stands still, or did
			due = e.s.now
		}
		g.check.PageEnded(e.s.now, due, r.no)
		s.leave()
		s.tell(pageEnd{broken: true})
	})
}

const pageSlackMs = 300 // ways, and a pooler's tick

// pageEnd is what a reader is told.
type pageEnd struct {
	rows    []int64
	cursor  string
	broken  bool
	refused bool
	wait    float64
}

// hear takes a page's end.
func (r *reader) hear(s *paged, x pageEnd) {
	g, e := r.g, r.g.e
	if r.page != s {
		return
	}
	r.page = nil
	e.s.mix(s.id, uint64(len(x.rows))<<1|uint64(s.p.no)<<32)
	wait := g.rng.ExpFloat64() * g.set.Think
	switch {
	case x.broken:
		g.Counts.Broken++
	case x.refused:
		g.Counts.Refused++
		wait = max(wait, x.wait)
	case x.rows == nil:
		g.Counts.Failed++
	default:
		g.check.PageEnded(e.s.now, s.due+pageSlackMs, r.no)
		g.check.PageServed(e.s.now, r.no, x.rows, s.reads, x.cursor == "")
		if g.e.funds != nil {
			g.e.funds.paged(e.s.now, len(g.rows))
		}
		r.cursor, r.given[s.p.no] = x.cursor, true
		g.Counts.Pages, g.Counts.Rows, g.Counts.ByPoolers = g.Counts.Pages+1, g.Counts.Rows+len(x.rows), len(r.given)
		if x.cursor == "" {
			g.Counts.Reports++
		}
	}
	e.s.after(wait, r.ask)
}

// killed breaks the pages that a pooler made.
func (g *paging) killed(p *pooler) {
	for _, s := range g.open[p] {
		s.over = true
		for _, x := range s.parts {
			if x != nil {
				x.over = true
				g.e.check.Abandoned(g.e.s.now, x.v.id, "its pooler ended")
			}
		}
		g.e.s.after(g.e.way(), func() { s.r.hear(s, pageEnd{broken: true}) })
	}
	delete(g.open, p)
}

// PageMutant is what is done with a page before its client has it, by a pooler that is broken on purpose.
type PageMutant func(rows []int64, c *cursor.Cursor) []int64

// PageMutants are poolers whose pages are broken on purpose.
func PageMutants() []Mutant {
	return []Mutant{
		{Name: "forgets a cursor's positions", Breaks: checker.PagesAhead, Pages: func(rows []int64, c *cursor.Cursor) []int64 {
			clear(c.MinPositions)
			return rows
		}},
		{Name: "leaves a page's last row out", Breaks: checker.PagesOnce, Pages: func(rows []int64, c *cursor.Cursor) []int64 {
			return rows[:max(0, len(rows)-1)]
		}},
		{Name: "gives a page's last row again", Breaks: checker.PagesOnce, Pages: func(rows []int64, c *cursor.Cursor) []int64 {
			for i := range c.Places { // as if it stood right before that row
				p := &c.Places[i]
				if n := len(p.Key); n > 0 {
					p.Key = slices.Clone(p.Key)
					p.Key[n-1]--
				}
			}
			return rows
		}},
	}
}

// made is how many pages a pooler makes.
func (g *paging) made(p *pooler) int {
	if g == nil {
		return 0
	}
	return len(g.open[p])
}
