package rehearse

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/testkit/checker"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/fake/sortedtable"
)

const (
	pageToleranceMs    = 3000 // tolerance for late pages on a busy machine
	pageDialMs         = 2000
	invalidCursorState = "22023" // SQLSTATE of a rejected cursor
)

// report is the table of the reports and the clients that read them.
type report struct {
	*shared
	rng     *rand.Rand
	lastID  int64
	liveIDs [][]int64 // IDs of the rows that exist, by group
}

// createPagesTable creates the table and its initial rows.
func (sh *shared) createPagesTable() *report {
	s := sh.run.script
	r := &report{shared: sh, rng: rand.New(rand.NewPCG(sh.run.opt.Seed, 41)), liveIDs: make([][]int64, len(s.Fleet.Groups))}
	sh.run.fleet.Scatter(&database.Table{
		Name:    "visits",
		Columns: sortedtable.Table{"id", "place"},
		Types:   sortedtable.Row{int64(0), int64(0)},
	})
	for g := range r.liveIDs {
		for range s.Pages.Rows {
			r.write(g, true)
		}
	}
	return r
}

func (r *report) write(group int, initial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	place := int64(r.rng.IntN(r.run.script.Pages.SortValues))
	from := r.run.fleet.Put("visits", group, sortedtable.Row{r.lastID, place}, initial)
	r.pages.RowWritten(r.lastID, place, group, from)
	r.liveIDs[group] = append(r.liveIDs[group], r.lastID)
}

// remove deletes a random row of a group.
func (r *report) remove(group int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.liveIDs[group])
	if n == 0 {
		return
	}
	k := r.rng.IntN(n)
	id := r.liveIDs[group][k]
	r.liveIDs[group] = slices.Delete(r.liveIDs[group], k, k+1)
	r.pages.RowDeleted(id, r.run.fleet.Remove("visits", group, func(row sortedtable.Row) bool { return row[0] == id }))
}

// play inserts and deletes rows and reads reports until the context ends.
func (r *report) play(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	s := r.run.script.Pages
	if s.Changes > 0 {
		wg.Go(func() {
			for n := 0; pause(ctx, 1000/s.Changes); n++ {
				if g := n % len(r.liveIDs); r.run.fleet.Primary(g) == "" {
					continue
				} else if n/len(r.liveIDs)%2 == 0 {
					r.write(g, false)
				} else {
					r.remove(g)
				}
			}
		})
	}
	for i := range s.Readers {
		wg.Go(func() { r.read(ctx, i) })
	}
	return wg.Wait
}

// read runs one client, which reads reports and requests each page from the next pooler.
func (r *report) read(ctx context.Context, no int) {
	s, cursor := r.run.script.Pages, ""
	for n := no; pause(ctx, s.ThinkMs); n++ {
		p := r.run.poolers[n%len(r.run.poolers)]
		if p.pid() == 0 {
			continue
		}
		sent := r.run.clk.Now()
		if cursor == "" {
			r.mu.Lock()
			r.pages.ReportStarted(no)
			r.mu.Unlock()
		}
		ids, next, err := r.fetchPage(no, p, cursor)
		now := r.run.clk.Now()
		if r.pageEnded(no, sent, now, ids, next, err) {
			cursor = next
		}
		if err != nil {
			pause(ctx, 4*s.ThinkMs)
		}
	}
}

// pageEnded reports the end of a page to the checker, and returns whether it was served.
func (r *report) pageEnded(no int, sent, now float64, ids []int64, next string, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.run.script.Pages
	var pe *pgconn.PgError
	switch {
	case err == nil:
		r.Pages.Pages, r.Pages.Rows = r.Pages.Pages+1, r.Pages.Rows+len(ids)
		if next == "" {
			r.Pages.Reports++
		}
		r.pages.PageEnded(now, sent+s.TimeoutMs+pageToleranceMs, no)
		r.pages.PageServed(now, no, ids, r.serverReads(no, sent, now), next == "")
		if r.credit != nil {
			for range r.liveIDs {
				r.credit.AttemptEnded(now, s.Tenant, s.Class, true, false)
			}
		}
		return true
	case errors.As(err, &pe) && pe.Code == invalidCursorState: // every pooler of the fleet must accept this cursor
		r.pages.PageEnded(now, 0, no)
		r.Pages.Failed++
	case errors.As(err, &pe) && strings.HasPrefix(pe.Code, "53"):
		r.Pages.Refused++
	case pe != nil:
		r.run.opt.Log.Info("report page failed", "err", err)
		r.Pages.Failed++
	default:
		r.Pages.Broken++
	}
	return false
}

// serverReads returns the reads that servers performed for a page, between its request and its end.
func (r *report) serverReads(no int, sent, now float64) (out []checker.PageRead) {
	all, _, _, _ := r.run.fleet.Reads()
	all = slices.DeleteFunc(all, func(x database.Read) bool {
		return x.At < sent || x.At > now || !strings.Contains(x.SQL, readerTag(no))
	})
	slices.SortStableFunc(all, func(a, b database.Read) int { return cmp.Compare(a.At, b.At) })
	for _, x := range all {
		out = append(out, checker.PageRead{Group: x.Group, Position: x.Position})
	}
	return out
}

func readerTag(no int) string { return fmt.Sprintf("'reader %d'", no) }

// fetchPage requests a page from a pooler.
func (r *report) fetchPage(no int, p *pooler, cursor string) (ids []int64, next string, err error) {
	s := r.run.script.Pages
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration((s.TimeoutMs+pageToleranceMs)*float64(time.Millisecond)))
	defer cancel()
	c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://office@%s/obra?sslmode=disable&connect_timeout=%d", p.poolingAddr, pageDialMs/1000))
	if err != nil {
		return nil, cursor, err
	}
	defer func() { _ = c.Close(ctx) }()
	tenant := ""
	if s.Tenant != "" {
		tenant = ",t=" + s.Tenant
	}
	res, err := c.Exec(ctx, fmt.Sprintf("SELECT id, place FROM visits WHERE %s <> '' /*after*/ /*order*/ /* scatter=visits,page=%d,d=%.0f%s,cursor=%s */", readerTag(no), s.Page, s.TimeoutMs, tenant, cursor)).ReadAll()
	if err != nil {
		return nil, cursor, err
	}
	for _, x := range res[0].Rows {
		var id int64
		_, _ = fmt.Sscan(string(x[0]), &id)
		ids = append(ids, id)
	}
	return ids, c.ParameterStatus("scatter_cursor"), nil
}
