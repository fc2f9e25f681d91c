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
	reports := &pagedReports{
		sim:      sim,
		settings: s,
		rng:      rand.New(rand.NewPCG(sim.options.Seed, 41)),
		check:    checker.NewPageChecker(s.Desc),
		ring:     cursor.NewRing(3600e3, 24*3600e3, []byte("the fleet's secret, whatever it is")),
		rows:     make([][]*tableRow, len(sim.world.Groups)),
		open:     map[*pooler][]*pageRequest{},
	}
	reports.classNo = slices.IndexFunc(sim.script.Clients.Classes, func(c clients.Class) bool { return c.Name == s.Class })
	reports.class = &sim.script.Clients.Classes[reports.classNo]
	reports.order = merge.Order{Columns: []merge.Column{{
		Name:       "place",
		Type:       merge.Int,
		Desc:       s.Desc,
		NullsFirst: s.Desc,
	}, {Name: "id", Type: merge.Int}}, OwnIndex: 1}
	reports.query, _, _ = plan.Parse(pageSQL) // cannot fail: the statement is valid
	for i := range reports.rows {
		for range s.Rows {
			reports.write(i, 0)
		}
	}
	if s.Changes > 0 {
		sim.sched.afterFunc(reports.rng.ExpFloat64()*1000/s.Changes, reports.change)
	}
	servedBy := map[int]bool{}
	for i := range s.Readers {
		r := &reader{reports: reports, no: i, servedBy: servedBy}
		sim.sched.afterFunc(reports.rng.Float64()*s.ThinkMs, r.requestPage)
	}
	return reports
}

// afterFunc calls do after a delay in ms.
func (s *scheduler) afterFunc(ms float64, do func()) { s.After(ms, model.Func(do), 0) }

// write adds a row to a group at a position of its log.
func (reports *pagedReports) write(group int, position float64) {
	reports.lastID++
	place := int64(reports.rng.IntN(reports.settings.SortValues))
	reports.rows[group] = append(reports.rows[group], &tableRow{vals: sortedtable.Row{reports.lastID, place}, insertedAt: position})
	reports.check.RowWritten(reports.lastID, place, group, position)
}

// change inserts or deletes a row of a random group, if the group accepts writes, and schedules the next change.
func (reports *pagedReports) change() {
	sim := reports.sim
	if i := reports.rng.IntN(len(reports.rows)); sim.world.Groups[i].Writable() {
		at := sim.world.Groups[i].Write(sim.sched.now, "visits", nil)
		if row := reports.rows[i][reports.rng.IntN(len(reports.rows[i]))]; reports.rng.IntN(2) == 0 && row.deletedAt == 0 {
			row.deletedAt = at
			reports.check.RowDeleted(row.vals[0].(int64), at)
		} else {
			reports.write(i, at)
		}
	}
	if sim.sched.now < startTimeMs+sim.script.Clients.Seconds*1000 {
		sim.sched.afterFunc(reports.rng.ExpFloat64()*1000/reports.settings.Changes, reports.change)
	}
}

// visible returns a group's rows as of a position.
func (reports *pagedReports) visible(group int, position float64) (out []sortedtable.Row) {
	for _, row := range reports.rows[group] {
		if row.insertedAt <= position && (row.deletedAt == 0 || row.deletedAt > position) {
			out = append(out, row.vals)
		}
	}
	return out
}

// reader is a client that reads one report after another. It requests each page from the next pooler.
type reader struct {
	reports   *pagedReports
	no, pages int
	cursor    string       // of the next page; empty before a report's first page
	page      *pageRequest // in progress
	servedBy  map[int]bool // poolers that have served a page to any reader
}

// requestPage requests the next page.
func (r *reader) requestPage() {
	reports, sim := r.reports, r.reports.sim
	if sim.sched.now >= startTimeMs+sim.script.Clients.Seconds*1000 {
		return
	}
	r.pages++
	p := sim.poolers[(r.no*len(sim.poolers)/reports.settings.Readers+r.pages)%len(sim.poolers)]
	if !p.up { // it refuses the connection at once
		sim.sched.afterFunc(sim.linkDelay()+sim.linkDelay(), r.requestPage)
		return
	}
	reports.lastRequestID++
	page := &pageRequest{
		reports:     reports,
		reader:      r,
		pooler:      p,
		incarnation: p.incarnation,
		id:          reports.lastRequestID,
		sent:        sim.sched.now,
		due:         sim.sched.now + reports.settings.TimeoutMs,
	}
	r.page = page
	sim.sched.afterFunc(sim.linkDelay(), func() {
		if p.incarnation != page.incarnation || !p.up {
			sim.sched.afterFunc(sim.linkDelay(), func() { page.answer(pageResult{connectionLost: true}) })
			return
		}
		reports.open[p] = append(reports.open[p], page)
		p.whenRunning(page.incarnation, page.begin)
	})
	sim.sched.afterFunc(reports.settings.TimeoutMs+pageSlackMs, func() {
		if r.page != page {
			return
		}
		due := page.due                // the answer had to arrive by then
		if p.pausedUntil > page.sent { // unless the pooler's machine was paused
			due = sim.sched.now
		}
		reports.check.PageEnded(sim.sched.now, due, r.no)
		page.abandon()
		page.answer(pageResult{connectionLost: true})
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
func (r *reader) receive(page *pageRequest, result pageResult) {
	reports, sim := r.reports, r.reports.sim
	if r.page != page {
		return
	}
	r.page = nil
	sim.sched.mix(page.id, uint64(len(result.rows))<<1|uint64(page.pooler.no)<<32)
	wait := reports.rng.ExpFloat64() * reports.settings.ThinkMs
	switch {
	case result.connectionLost:
		reports.Counts.Broken++
	case result.rejected:
		reports.Counts.Refused++
		wait = max(wait, result.retryMs)
	case result.rows == nil:
		reports.Counts.Failed++
	default:
		reports.check.PageEnded(sim.sched.now, page.due+pageSlackMs, r.no)
		reports.check.PageServed(sim.sched.now, r.no, result.rows, page.reads, result.cursor == "")
		if reports.sim.funds != nil {
			reports.sim.funds.pageServed(sim.sched.now, len(reports.rows))
		}
		r.cursor, r.servedBy[page.pooler.no] = result.cursor, true
		reports.Counts.Pages, reports.Counts.Rows, reports.Counts.ByPoolers = reports.Counts.Pages+1, reports.Counts.Rows+len(result.rows), len(r.servedBy)
		if result.cursor == "" {
			reports.Counts.Reports++
		}
	}
	sim.sched.afterFunc(wait, r.requestPage)
}

// processEnded breaks the connections of the pages in progress at a pooler whose process has ended.
func (reports *pagedReports) processEnded(p *pooler) {
	for _, page := range reports.open[p] {
		page.done = true
		for _, shard := range page.shardReads {
			if shard != nil {
				shard.ended = true
				reports.sim.check.Abandoned(reports.sim.sched.now, shard.client.id, "its pooler ended")
			}
		}
		reports.sim.sched.afterFunc(reports.sim.linkDelay(), func() { page.reader.receive(page, pageResult{connectionLost: true}) })
	}
	delete(reports.open, p)
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
func (reports *pagedReports) openPages(p *pooler) int {
	if reports == nil {
		return 0
	}
	return len(reports.open[p])
}
