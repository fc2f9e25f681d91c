package checker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// The rules on reports that are read in pages.
const (
	PagesOnce  Rule = "the pages together are the sorted list, each row exactly once"
	PagesAhead Rule = "no page is read at a server that is behind the page before"
	PagesEnd   Rule = "a page has one end, in time"
)

// PageRules returns the rules on reports that are read in pages.
func PageRules() []Rule { return []Rule{PagesOnce, PagesAhead, PagesEnd} }

// PageChecker compares reports with the rows that the groups had. It knows each row's first and last position in its group's log, the
// rows that clients received, and the positions at which servers read; it does not read cursors.
type PageChecker struct {
	Descending bool // reports are sorted by descending place
	rows       map[int64]*pageRow
	reports    map[int]*report
	checked    map[Rule]uint64
	breaches   []Breach
	counts     map[Rule]int

	Served, Ended, Rows int // pages, complete reports, rows
	Rejected, Failed    int
}

// pageRow is a row with the log positions of its insertion (0 if it was there from the beginning) and deletion (0 for never).
type pageRow struct {
	id, place        int64
	group            int
	written, deleted float64
}

// PageRead is a server's read for a shard's part of a page. The reads of a page are in the order of time.
type PageRead struct {
	Group    int
	Position float64
}

// report is a report in progress.
type report struct {
	firstRead map[int]float64 // by group: lowest position at which the first page was read
	lastRead  map[int]float64 // by group: highest position of any page's last read
	rows      []*pageRow      // received so far
	started   float64
}

// NewPageChecker returns a checker of reports in ascending or descending order.
func NewPageChecker(descending bool) *PageChecker {
	return &PageChecker{
		Descending: descending,
		rows:       map[int64]*pageRow{},
		reports:    map[int]*report{},
		checked:    map[Rule]uint64{},
		counts:     map[Rule]int{},
	}
}

func (p *PageChecker) breach(rule Rule, at float64, format string, args ...any) {
	if p.counts[rule]++; len(p.breaches) < maxBreaches {
		p.breaches = append(p.breaches, Breach{Rule: rule, At: at, Server: -1, Text: fmt.Sprintf(format, args...)})
	}
}

// RowWritten records a row written at a position of its group's log; 0 for one that was there from the beginning.
func (p *PageChecker) RowWritten(id, place int64, group int, from float64) {
	p.rows[id] = &pageRow{id: id, place: place, group: group, written: from}
}

// RowDeleted records a row's deletion at a position of its group's log.
func (p *PageChecker) RowDeleted(id int64, at float64) {
	if r := p.rows[id]; r != nil {
		r.deleted = at
	}
}

// compare is the order of a report: by place, by group (shards are listed in that order), then by row ID.
func (p *PageChecker) compare(left, right *pageRow) int {
	c := cmp.Compare(left.place, right.place)
	if p.Descending {
		c = -c
	}
	return cmp.Or(c, cmp.Compare(left.group, right.group), cmp.Compare(left.id, right.id))
}

// PageServed records a complete page, the servers' reads for it, and whether it is the last of its report.
func (p *PageChecker) PageServed(at float64, reader int, ids []int64, reads []PageRead, last bool) {
	p.Served++
	p.Rows += len(ids)
	r := p.reports[reader]
	if r == nil {
		r = &report{firstRead: map[int]float64{}, lastRead: map[int]float64{}, started: at}
		p.reports[reader] = r
	}
	p.checked[PagesAhead]++
	pageReads, firstPage := map[int]float64{}, len(r.lastRead) == 0
	for _, read := range reads {
		if before, ok := r.lastRead[read.Group]; ok && read.Position < before {
			p.breach(PagesAhead, at, "report of reader %d: group %d is read as of %.0f, for the page before it was as of %.0f", reader, read.Group, read.Position, before)
		}
		if least, ok := r.firstRead[read.Group]; firstPage && (!ok || read.Position < least) {
			r.firstRead[read.Group] = read.Position
		}
		pageReads[read.Group] = read.Position // the group's last read counts; earlier ones were interrupted
	}
	for g, position := range pageReads {
		r.lastRead[g] = max(r.lastRead[g], position)
	}
	for _, id := range ids {
		p.checked[PagesOnce]++
		x := p.rows[id]
		if x == nil {
			p.breach(PagesOnce, at, "report of reader %d: row %d never was", reader, id)
			continue
		}
		if n := len(r.rows); n > 0 && p.compare(r.rows[n-1], x) >= 0 {
			p.breach(PagesOnce, at, "report of reader %d: row %d of place %d, group %d comes behind row %d of place %d, group %d", reader, x.id, x.place, x.group,
				r.rows[n-1].id, r.rows[n-1].place, r.rows[n-1].group)
		}
		if x.written > r.lastRead[x.group] || x.deleted > 0 && x.deleted <= r.firstRead[x.group] {
			p.breach(PagesOnce, at, "report of reader %d: row %d was there from %.0f to %.0f, and group %d was read as of %.0f to %.0f", reader, id, x.written, x.deleted, x.group,
				r.firstRead[x.group], r.lastRead[x.group])
		}
		r.rows = append(r.rows, x)
	}
	if last {
		p.Ended++
		p.checkMissingRows(at, reader, r, nil)
		delete(p.reports, reader)
	}
}

// checkMissingRows checks that the report contains each row that existed at all of its reads, up to the row upTo or, if it is nil, to the end.
func (p *PageChecker) checkMissingRows(at float64, reader int, r *report, upTo *pageRow) {
	returned := map[int64]bool{}
	for _, x := range r.rows {
		returned[x.id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(p.rows)) {
		x := p.rows[id]
		if upTo != nil && p.compare(x, upTo) > 0 {
			continue
		}
		from, read := r.firstRead[x.group]
		if throughout := read && x.written <= from && (x.deleted == 0 || x.deleted > r.lastRead[x.group]); throughout && !returned[id] {
			p.breach(PagesOnce, at, "report of reader %d: row %d of place %d, group %d, there throughout (%.0f to %.0f, read as of %.0f to %.0f), was not given", reader, id, x.place, x.group,
				x.written, x.deleted, from, r.lastRead[x.group])
		}
	}
}

// ReportStarted records that a reader starts a new report.
func (p *PageChecker) ReportStarted(reader int) { delete(p.reports, reader) }

// PageEnded records the end of a page's request, of any kind, and its deadline.
func (p *PageChecker) PageEnded(at, due float64, reader int) {
	if p.checked[PagesEnd]++; at > due {
		p.breach(PagesEnd, at, "report of reader %d: a page's end came %.0f ms late", reader, at-due)
	}
}

// PageFailed counts a page that was rejected or failed.
func (p *PageChecker) PageFailed(rejected bool) {
	if p.Failed++; rejected {
		p.Failed--
		p.Rejected++
	}
}

// Verdict adds the number of checks and the breaches to v; reports in progress are checked up to their last row.
func (p *PageChecker) Verdict(at float64, v *Verdict) {
	for _, reader := range slices.Sorted(maps.Keys(p.reports)) {
		if r := p.reports[reader]; len(r.rows) > 0 {
			p.checkMissingRows(at, reader, r, r.rows[len(r.rows)-1])
		}
	}
	for rule, n := range p.checked {
		v.Checked[rule] += n
	}
	for rule, n := range p.counts {
		v.Broken[rule] += n
	}
	v.Breaches = append(v.Breaches, p.breaches...)
}
