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

// pagedReports simulates clients that read reports over all groups in pages, and the table that the reports are read from.
type pagedReports struct {
	sim           *Simulation
	settings      *scenario.Pages
	class         *clients.Class
	classNo       int // index of the class
	rng           *rand.Rand
	check         *checker.PageChecker
	order         merge.Order
	query         plan.Query
	ring          *cursor.Ring
	rows          [][]*tableRow // by group
	lastID        int64
	lastRequestID uint64
	open          map[*pooler][]*pageRequest // pages in progress

	Counts PageCounts
}

// PageCounts counts the pages and reports of a run. Its field names are keys of the result.
type PageCounts struct {
	Pages, Reports, Rows, Refused, Failed, Broken, Again int
	ByPoolers                                            int // number of poolers that served at least one page
}

// tableRow is a row with the positions in its group's log at which it was inserted and deleted; deletedAt is 0 for a row that exists.
type tableRow struct {
	vals                  sortedtable.Row
	insertedAt, deletedAt float64
}

var pageTable = sortedtable.Table{"id", "place"}

const pageSQL = "SELECT id, place FROM visits WHERE true /*after*/ /*order*/ /* scatter=visits */"

func (sim *Simulation) newPagedReports() *pagedReports {
	s := sim.script.Pages
	g := &pagedReports{
		sim:      sim,
		settings: s,
		rng:      rand.New(rand.NewPCG(sim.options.Seed, 41)),
		check:    checker.NewPageChecker(s.Desc),
		ring:     cursor.NewRing(3600e3, 24*3600e3, []byte("the fleet's secret, whatever it is")),
		rows:     make([][]*tableRow, len(sim.world.Groups)),
		open:     map[*pooler][]*pageRequest{},
	}
	g.classNo = slices.IndexFunc(sim.script.Clients.Classes, func(c clients.Class) bool { return c.Name == s.Class })
	g.class = &sim.script.Clients.Classes[g.classNo]
	g.order = merge.Order{Columns: []merge.Column{{
		Name:       "place",
		Type:       merge.Int,
		Desc:       s.Desc,
		NullsFirst: s.Desc,
	}, {Name: "id", Type: merge.Int}}, OwnIndex: 1}
	g.query, _, _ = plan.Parse(pageSQL) // cannot fail: the statement is valid
	for i := range g.rows {
		for range s.Rows {
			g.write(i, 0)
		}
	}
	if s.Changes > 0 {
		sim.sched.afterFunc(g.rng.ExpFloat64()*1000/s.Changes, g.change)
	}
	servedBy := map[int]bool{}
	for i := range s.Readers {
		r := &reader{reports: g, no: i, servedBy: servedBy}
		sim.sched.afterFunc(g.rng.Float64()*s.ThinkMs, r.requestPage)
	}
	return g
}

// afterFunc calls do after a delay in ms.
func (s *scheduler) afterFunc(ms float64, do func()) { s.After(ms, model.Func(do), 0) }

// write adds a row to a group at a position of its log.
func (g *pagedReports) write(group int, position float64) {
	g.lastID++
	place := int64(g.rng.IntN(g.settings.SortValues))
	g.rows[group] = append(g.rows[group], &tableRow{vals: sortedtable.Row{g.lastID, place}, insertedAt: position})
	g.check.RowWritten(g.lastID, place, group, position)
}

// change inserts or deletes a row of a random group, if the group accepts writes, and schedules the next change.
func (g *pagedReports) change() {
	sim := g.sim
	if i := g.rng.IntN(len(g.rows)); sim.world.Groups[i].Writable() {
		at := sim.world.Groups[i].Write(sim.sched.now, "visits", nil)
		if k := g.rows[i][g.rng.IntN(len(g.rows[i]))]; g.rng.IntN(2) == 0 && k.deletedAt == 0 {
			k.deletedAt = at
			g.check.RowDeleted(k.vals[0].(int64), at)
		} else {
			g.write(i, at)
		}
	}
	if sim.sched.now < startTimeMs+sim.script.Clients.Seconds*1000 {
		sim.sched.afterFunc(g.rng.ExpFloat64()*1000/g.settings.Changes, g.change)
	}
}

// visible returns a group's rows as of a position.
func (g *pagedReports) visible(group int, position float64) (out []sortedtable.Row) {
	for _, k := range g.rows[group] {
		if k.insertedAt <= position && (k.deletedAt == 0 || k.deletedAt > position) {
			out = append(out, k.vals)
		}
	}
	return out
}

// reader is a client that reads one report after another. It requests each page from the next pooler.
type reader struct {
	reports   *pagedReports
	no, pages int
	cursor    string
	page      *pageRequest // in progress
	servedBy  map[int]bool
}

// requestPage requests the next page.
func (r *reader) requestPage() {
	g, sim := r.reports, r.reports.sim
	if sim.sched.now >= startTimeMs+sim.script.Clients.Seconds*1000 {
		return
	}
	r.pages++
	p := sim.poolers[(r.no*len(sim.poolers)/g.settings.Readers+r.pages)%len(sim.poolers)]
	if !p.up { // it refuses the connection at once
		sim.sched.afterFunc(sim.linkDelay()+sim.linkDelay(), r.requestPage)
		return
	}
	g.lastRequestID++
	s := &pageRequest{
		reports:     g,
		reader:      r,
		pooler:      p,
		incarnation: p.incarnation,
		id:          g.lastRequestID,
		sent:        sim.sched.now,
		due:         sim.sched.now + g.settings.TimeoutMs,
	}
	r.page = s
	sim.sched.afterFunc(sim.linkDelay(), func() {
		if p.incarnation != s.incarnation || !p.up {
			sim.sched.afterFunc(sim.linkDelay(), func() { s.answer(pageResult{connectionLost: true}) })
			return
		}
		g.open[p] = append(g.open[p], s)
		p.whenRunning(s.incarnation, s.begin)
	})
	sim.sched.afterFunc(g.settings.TimeoutMs+pageSlackMs, func() {
		if r.page != s {
			return
		}
		due := s.due                // the answer had to arrive by then
		if p.pausedUntil > s.sent { // unless the pooler's machine was paused
			due = sim.sched.now
		}
		g.check.PageEnded(sim.sched.now, due, r.no)
		s.abandon()
		s.answer(pageResult{connectionLost: true})
	})
}

// pageSlackMs is the tolerance for a page's deadline, for link delays and a tick of the pooler.
const pageSlackMs = 300

// pageResult is the answer to a reader's request for a page. If rows is nil, the page was not served.
type pageResult struct {
	rows           []int64
	cursor         string
	connectionLost bool
	rejected       bool
	retryMs        float64
}

// receive handles the result of a page and schedules the next request.
func (r *reader) receive(s *pageRequest, x pageResult) {
	g, sim := r.reports, r.reports.sim
	if r.page != s {
		return
	}
	r.page = nil
	sim.sched.mix(s.id, uint64(len(x.rows))<<1|uint64(s.pooler.no)<<32)
	wait := g.rng.ExpFloat64() * g.settings.ThinkMs
	switch {
	case x.connectionLost:
		g.Counts.Broken++
	case x.rejected:
		g.Counts.Refused++
		wait = max(wait, x.retryMs)
	case x.rows == nil:
		g.Counts.Failed++
	default:
		g.check.PageEnded(sim.sched.now, s.due+pageSlackMs, r.no)
		g.check.PageServed(sim.sched.now, r.no, x.rows, s.reads, x.cursor == "")
		if g.sim.funds != nil {
			g.sim.funds.pageServed(sim.sched.now, len(g.rows))
		}
		r.cursor, r.servedBy[s.pooler.no] = x.cursor, true
		g.Counts.Pages, g.Counts.Rows, g.Counts.ByPoolers = g.Counts.Pages+1, g.Counts.Rows+len(x.rows), len(r.servedBy)
		if x.cursor == "" {
			g.Counts.Reports++
		}
	}
	sim.sched.afterFunc(wait, r.requestPage)
}

// processEnded breaks the connections of the pages in progress at a pooler whose process has ended.
func (g *pagedReports) processEnded(p *pooler) {
	for _, s := range g.open[p] {
		s.done = true
		for _, x := range s.shardReads {
			if x != nil {
				x.ended = true
				g.sim.check.Abandoned(g.sim.sched.now, x.client.id, "its pooler ended")
			}
		}
		g.sim.sched.afterFunc(g.sim.linkDelay(), func() { s.reader.receive(s, pageResult{connectionLost: true}) })
	}
	delete(g.open, p)
}

// PageMutant changes the rows and the cursor of a page before the pooler answers its client.
type PageMutant func(rows []int64, c *cursor.Cursor) []int64

// PageMutants returns mutants with deliberate errors in pages.
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
			for i := range c.Places { // the cursor then is before that row
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
