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

// pagedReports are reports over all groups that clients read in pages, with their table.
type pagedReports struct {
	sim   *Simulation
	set   *scenario.Pages
	class *clients.Class
	no    int // number of the class
	rng   *rand.Rand
	check *checker.PageChecker
	order merge.Order
	word  plan.Query
	ring  *cursor.Ring
	rows  [][]*tableRow // by group
	last  int64
	seq   uint64
	open  map[*pooler][]*pageRequest // pages in progress

	Counts PageCounts
}

// PageCounts has counts of the reports. Its field names are the keys in the result.
type PageCounts struct {
	Pages, Reports, Rows, Refused, Failed, Broken, Again int
	ByPoolers                                            int // poolers that served at least one page
}

// tableRow is a row with the positions of its insertion and deletion in its group's log, 0 for never.
type tableRow struct {
	vals      sortedtable.Row
	from, end float64
}

var pageTable = sortedtable.Table{"id", "place"}

const pageSQL = "SELECT id, place FROM visits WHERE true /*after*/ /*order*/ /* scatter=visits */"

func (sim *Simulation) newPaging() *pagedReports {
	s := sim.script.Pages
	g := &pagedReports{
		sim:   sim,
		set:   s,
		rng:   rand.New(rand.NewPCG(sim.options.Seed, 41)),
		check: checker.NewPageChecker(s.Desc),
		ring:  cursor.NewRing(3600e3, 24*3600e3, []byte("the fleet's secret, whatever it is")),
		rows:  make([][]*tableRow, len(sim.world.Groups)),
		open:  map[*pooler][]*pageRequest{},
	}
	g.no = slices.IndexFunc(sim.script.Clients.Classes, func(c clients.Class) bool { return c.Name == s.Class })
	g.class = &sim.script.Clients.Classes[g.no]
	g.order = merge.Order{Columns: []merge.Column{{
		Name:       "place",
		Type:       merge.Int,
		Desc:       s.Desc,
		NullsFirst: s.Desc,
	}, {Name: "id", Type: merge.Int}}, OwnIndex: 1}
	g.word, _, _ = plan.Parse(pageSQL) // the statement is complete
	for i := range g.rows {
		for range s.Rows {
			g.write(i, 0)
		}
	}
	if s.Changes > 0 {
		sim.sched.after(g.rng.ExpFloat64()*1000/s.Changes, g.change)
	}
	given := map[int]bool{}
	for i := range s.Readers {
		r := &reader{reports: g, no: i, given: given}
		sim.sched.after(g.rng.Float64()*s.ThinkMs, r.requestPage)
	}
	return g
}

// after calls do after a delay in ms.
func (s *sched) after(ms float64, do func()) { s.After(ms, model.Func(do), 0) }

// write adds a row to a group at a position of its log.
func (g *pagedReports) write(group int, from float64) {
	g.last++
	place := int64(g.rng.IntN(g.set.SortValues))
	g.rows[group] = append(g.rows[group], &tableRow{vals: sortedtable.Row{g.last, place}, from: from})
	g.check.RowWritten(g.last, place, group, from)
}

// change writes or deletes a row in a group that accepts writes, and schedules the next change.
func (g *pagedReports) change() {
	sim := g.sim
	if i := g.rng.IntN(len(g.rows)); sim.world.Groups[i].Writable() {
		at := sim.world.Groups[i].Write(sim.sched.now, "visits", nil)
		if k := g.rows[i][g.rng.IntN(len(g.rows[i]))]; g.rng.IntN(2) == 0 && k.end == 0 {
			k.end = at
			g.check.RowDeleted(k.vals[0].(int64), at)
		} else {
			g.write(i, at)
		}
	}
	if sim.sched.now < startMs+sim.script.Clients.Seconds*1000 {
		sim.sched.after(g.rng.ExpFloat64()*1000/g.set.Changes, g.change)
	}
}

// visible returns a group's rows as of a position.
func (g *pagedReports) visible(group int, at float64) (out []sortedtable.Row) {
	for _, k := range g.rows[group] {
		if k.from <= at && (k.end == 0 || k.end > at) {
			out = append(out, k.vals)
		}
	}
	return out
}

// reader is a client that reads one report after another, each page at the next pooler.
type reader struct {
	reports *pagedReports
	no, n   int
	cursor  string
	page    *pageRequest // in progress
	given   map[int]bool
}

// requestPage requests the next page.
func (r *reader) requestPage() {
	g, sim := r.reports, r.reports.sim
	if sim.sched.now >= startMs+sim.script.Clients.Seconds*1000 {
		return
	}
	r.n++
	p := sim.poolers[(r.no*len(sim.poolers)/g.set.Readers+r.n)%len(sim.poolers)]
	if !p.up { // refused at once
		sim.sched.after(sim.linkDelay()+sim.linkDelay(), r.requestPage)
		return
	}
	g.seq++
	s := &pageRequest{
		reports: g,
		reader:  r,
		pooler:  p,
		life:    p.incarnation,
		id:      g.seq,
		sent:    sim.sched.now,
		due:     sim.sched.now + g.set.TimeoutMs,
	}
	r.page = s
	sim.sched.after(sim.linkDelay(), func() {
		if p.incarnation != s.life || !p.up {
			sim.sched.after(sim.linkDelay(), func() { s.answer(pageEnd{broken: true}) })
			return
		}
		g.open[p] = append(g.open[p], s)
		p.whenRunning(s.life, s.begin)
	})
	sim.sched.after(g.set.TimeoutMs+pageSlackMs, func() {
		if r.page != s {
			return
		}
		due := s.due                // there was no answer by then
		if p.pausedUntil > s.sent { // its machine was paused
			due = sim.sched.now
		}
		g.check.PageEnded(sim.sched.now, due, r.no)
		s.abandon()
		s.answer(pageEnd{broken: true})
	})
}

const pageSlackMs = 300 // link delays and a pooler's tick

// pageEnd is the answer to a reader.
type pageEnd struct {
	rows    []int64
	cursor  string
	broken  bool
	refused bool
	wait    float64
}

// receive handles the end of a page.
func (r *reader) receive(s *pageRequest, x pageEnd) {
	g, sim := r.reports, r.reports.sim
	if r.page != s {
		return
	}
	r.page = nil
	sim.sched.mix(s.id, uint64(len(x.rows))<<1|uint64(s.pooler.no)<<32)
	wait := g.rng.ExpFloat64() * g.set.ThinkMs
	switch {
	case x.broken:
		g.Counts.Broken++
	case x.refused:
		g.Counts.Refused++
		wait = max(wait, x.wait)
	case x.rows == nil:
		g.Counts.Failed++
	default:
		g.check.PageEnded(sim.sched.now, s.due+pageSlackMs, r.no)
		g.check.PageServed(sim.sched.now, r.no, x.rows, s.reads, x.cursor == "")
		if g.sim.funds != nil {
			g.sim.funds.pageServed(sim.sched.now, len(g.rows))
		}
		r.cursor, r.given[s.pooler.no] = x.cursor, true
		g.Counts.Pages, g.Counts.Rows, g.Counts.ByPoolers = g.Counts.Pages+1, g.Counts.Rows+len(x.rows), len(r.given)
		if x.cursor == "" {
			g.Counts.Reports++
		}
	}
	sim.sched.after(wait, r.requestPage)
}

// killed breaks the pages of a pooler whose process ended.
func (g *pagedReports) killed(p *pooler) {
	for _, s := range g.open[p] {
		s.over = true
		for _, x := range s.parts {
			if x != nil {
				x.ended = true
				g.sim.check.Abandoned(g.sim.sched.now, x.client.id, "its pooler ended")
			}
		}
		g.sim.sched.after(g.sim.linkDelay(), func() { s.reader.receive(s, pageEnd{broken: true}) })
	}
	delete(g.open, p)
}

// PageMutant alters a page before its client has it.
type PageMutant func(rows []int64, c *cursor.Cursor) []int64

// PageMutants returns poolers with deliberate errors in pages.
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
			for i := range c.Places { // as if the cursor were before that row
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

// openPages returns the number of a pooler's pages in progress.
func (g *pagedReports) openPages(p *pooler) int {
	if g == nil {
		return 0
	}
	return len(g.open[p])
}
