package main

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	database "beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/fake/sortedtable"
	"beechgrade/internal/testkit/rehearse"
)

// scatterFleet is three processes of the program and three groups that each hold a part of a table.
type scatterFleet struct {
	*rehearse.Processes
	t    testing.TB
	all  []sortedtable.Row
	next atomic.Int64
}

const reportShards = `("a" 0) ("b" 1) ("c" 2)`

// reportSettings returns the settings of a process, except for those of its peers.
func reportSettings(pooled, key, shards, more string) string {
	return fmt.Sprintf(`(pooling (listen %q) (class "office" (needs primary) (aim 5s) (deadline 60s)) (class "reports" (needs session) (aim 5s) (deadline 60s))
	(pool (class "office") (reads "reports") (connections 4)))
 (scatter %s (read "visits" (class "reports") (shards %s) (order ("place" int8)) (own ("id" int8)) %s))
`, pooled, key, shards, more)
}

// startReports starts three processes; settings overrides a process's settings, if it is set.
func startReports(t testing.TB, more, script string, settings func(i int, pooled string) string) *scatterFleet {
	t.Helper()
	if settings == nil {
		settings = func(_ int, pooled string) string { return reportSettings(pooled, "", reportShards, more) }
	}
	x, err := rehearse.StartProcesses(context.Background(), daemon, t.TempDir(),
		`(rehearsal "reports" `+strings.Replace(fastTimings, "(groups 3 3)", "(groups 3 3 3)", 1)+` (poolers 3) (peers (probe 300ms) (timeout 100ms) (suspicion 900ms) (gossip 100ms) (exchange 2s) (reconnect 400ms) (hold 30s))`+script+`)`, settings)
	if x != nil {
		t.Cleanup(x.Close)
	}
	if err != nil {
		t.Fatalf("start three processes: %v", err)
	}
	r := &scatterFleet{Processes: x, t: t}
	x.Fleet.Scatter(&database.Table{Name: "visits", Columns: sortedtable.Table{"id", "place"}, Types: sortedtable.Row{int64(0), int64(0)}})
	t.Cleanup(func() {
		for i := range x.Addrs {
			if b, _ := os.ReadFile(x.Log(i)); strings.Contains(string(b), "invariant broken") || strings.Contains(string(b), "panic") {
				t.Errorf("pooler %d: a broken invariant or a panic in its log: %s", i, b[max(0, len(b)-3000):])
			}
		}
	})
	return r
}

// fill puts n rows into each group, with that number of different places.
func (r *scatterFleet) fill(n, places int) {
	for g := range 3 {
		for range n {
			r.put(g, places, true)
		}
	}
}

func (r *scatterFleet) put(group, places int, initial bool) int64 {
	id := r.next.Add(1)
	row := sortedtable.Row{id, id * 7919 % int64(places)}
	r.Fleet.Put("visits", group, row, initial)
	if initial {
		r.all = append(r.all, sortedtable.Row{row[0], row[1], int64(group)})
	}
	return id
}

// wantIDs returns the IDs in the expected order: by place, shard and ID.
func (r *scatterFleet) wantIDs() (ids []int64) {
	slices.SortFunc(r.all, func(a, b sortedtable.Row) int {
		for _, i := range []int{1, 2, 0} {
			if c := sortedtable.Compare(a[i], b[i]); c != 0 {
				return c
			}
		}
		return 0
	})
	for _, x := range r.all {
		ids = append(ids, x[0].(int64))
	}
	return ids
}

// page requests a page from a process.
func (r *scatterFleet) page(i, rows int, cursor string) (ids []int64, next string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://office@%s/obra?sslmode=disable", r.Addrs[i]))
	if err != nil {
		return nil, cursor, err
	}
	defer func() { _ = c.Close(ctx) }()
	return pageOf(ctx, c, rows, cursor)
}

func pageOf(ctx context.Context, c *pgconn.PgConn, rows int, cursor string) (ids []int64, next string, err error) {
	res, err := c.Exec(ctx, fmt.Sprintf("SELECT id, place FROM visits WHERE true /*after*/ /*order*/ /* scatter=visits,page=%d,cursor=%s */", rows, cursor)).ReadAll()
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

func sqlState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return fmt.Sprint(err)
}

// TestScatterFleetPoolerCrashes guards against lost or repeated rows when poolers crash: pages alternate between three processes, two of
// which cannot reach each other. One is killed between pages and one during a page. The remaining one continues with the cursor, and the
// pages must be the sorted list.
func TestScatterFleetPoolerCrashes(t *testing.T) {
	t.Parallel()
	reports := startReports(t, "(whole)", "", nil)
	reports.fill(100, 9)
	reports.SetLinksCut(0, 1, true)
	var got []int64
	alive, cursor, pages := []int{0, 1, 2}, "", 0
	for {
		i := alive[pages%len(alive)]
		pages++
		if pages == 6 {
			reports.Kill(1)
			alive = []int{0, 2}
			i = 0
		}
		if pages == 12 { // kill a pooler during a page
			reports.Fleet.OnStatement(func(string, string) database.ReadBehavior { return database.ReadBehavior{Each: 20 * time.Millisecond} })
			failed := make(chan error, 1)
			go func() {
				_, _, err := reports.page(0, 30, cursor)
				failed <- err
			}()
			for running := 0; running < 3; _, running, _, _ = reports.Fleet.Reads() {
				time.Sleep(time.Millisecond)
			}
			reports.Kill(0)
			if err := <-failed; err == nil {
				t.Error("a pooler that was killed during a page returned it whole")
			}
			reports.Fleet.OnStatement(nil)
			alive, i = []int{2}, 2
		}
		ids, next, err := reports.page(i, 10, cursor)
		if err != nil {
			t.Fatalf("page %d at process %d: %v", pages, i, err)
		}
		got, cursor = append(got, ids...), next
		if cursor == "" {
			break
		}
	}
	if diff := cmp.Diff(reports.wantIDs(), got); diff != "" {
		t.Errorf("%d rows in %d pages differ from the sorted list (-want +got):\n%s", len(got), pages, diff)
	}
}

// TestScatterFleetTakeover guards against lost or repeated rows in a takeover: rows are written and deleted while pages are read, replicas lag, and a primary is
// killed during a page. Rows that exist throughout must come exactly once, none twice, and no page may be read at an older position than the
// page before.
func TestScatterFleetTakeover(t *testing.T) {
	t.Parallel()
	reports := startReports(t, "(whole) (silent 400ms) (again 8)", "", nil)
	reports.fill(120, 9)
	for g := range 3 {
		_ = reports.Fleet.SlowReplication(fmt.Sprintf("s-%d-1", g), 20)
	}
	reports.Fleet.OnStatement(func(string, string) database.ReadBehavior { return database.ReadBehavior{Each: time.Millisecond} })
	stop, done := make(chan struct{}), make(chan struct{})
	written, deleted := map[int64]bool{}, map[int64]bool{}
	go func() { // at groups 0 and 2, which keep their primaries
		defer close(done)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			g := n % 2 * 2
			written[reports.put(g, 9, false)] = true
			if n%3 == 0 {
				id := int64(g*120 + n%120 + 1)
				deleted[id] = true
				reports.Fleet.Remove("visits", g, func(x sortedtable.Row) bool { return x[0] == id })
			}
		}
	}()
	count := map[int64]int{}
	cursor, retries, before := "", 0, map[int]float64{}
	for n := 0; ; n++ {
		from, _, _, _ := reports.Fleet.Reads()
		if n == 4 {
			go func() {
				time.Sleep(8 * time.Millisecond)
				_ = reports.Fleet.Kill("s-1-0")
			}()
		}
		ids, next, err := reports.page(n%3, 20, cursor)
		if err != nil {
			if retries++; retries > 10 {
				t.Fatalf("page %d: more than 10 pages failed, the last with: %v", n, err)
			}
			continue
		}
		for running := 1; running > 0; _, running, _, _ = reports.Fleet.Reads() {
			time.Sleep(time.Millisecond)
		}
		to, _, _, _ := reports.Fleet.Reads()
		now := map[int]float64{}
		for _, x := range to[len(from):] {
			if x.Position < before[x.Group] {
				t.Errorf("page %d: %s was read at %.0f, group %d before at %.0f; want no older position", n, x.Server, x.Position, x.Group, before[x.Group])
			}
			now[x.Group] = max(now[x.Group], x.Position)
		}
		before = now
		for _, id := range ids {
			count[id]++
		}
		if cursor = next; cursor == "" || n > 400 {
			break
		}
		if n == 30 {
			close(stop)
			<-done
		}
	}
	select {
	case <-stop:
	default:
		close(stop)
		<-done
	}
	for _, x := range reports.all {
		id := x[0].(int64)
		if n := count[id]; n > 1 || n == 0 && !deleted[id] {
			t.Errorf("row %d was returned %d times; deleted: %v; want once, or at most once if deleted", id, n, deleted[id])
		}
		delete(count, id)
	}
	for id, n := range count {
		if n > 1 || !written[id] {
			t.Errorf("row %d was returned %d times; written: %v; want written rows only, at most once each", id, n, written[id])
		}
	}
	if len(written) < 10 || len(deleted) < 3 {
		t.Errorf("%d rows written, %d deleted; want at least 10 and 3", len(written), len(deleted))
	}
	reads, _, _, _ := reports.Fleet.Reads()
	replicas := 0
	for _, x := range reads {
		if !strings.HasSuffix(x.Server, "-0") {
			replicas++
		}
	}
	t.Logf("%d reads, %d not at the first primaries, %d pages retried", len(reads), replicas, retries)
	if replicas == 0 {
		t.Error("all reads were at the first primaries, want some at other servers")
	}
}

// TestScatterFleetEqualSortKeys guards against lost or repeated rows among equal keys: 10,000 rows with one key over all shards, in pages
// of 7, ten at a process and then ten at the next.
func TestScatterFleetEqualSortKeys(t *testing.T) {
	t.Parallel()
	reports := startReports(t, "(whole)", "", nil)
	reports.fill(3334, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var conns []*pgconn.PgConn
	for _, at := range reports.Addrs {
		c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://office@%s/obra?sslmode=disable", at))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close(ctx) }()
		conns = append(conns, c)
	}
	var got []int64
	cursor, longest, began := "", 0, time.Now()
	for n := 0; n == 0 || cursor != ""; n++ {
		ids, next, err := pageOf(ctx, conns[n/10%3], 7, cursor)
		if err != nil {
			t.Fatalf("page %d: %v", n, err)
		}
		got, cursor, longest = append(got, ids...), next, max(longest, len(next))
	}
	if diff := cmp.Diff(reports.wantIDs(), got); diff != "" {
		t.Errorf("%d rows differ from the sorted list (-want +got):\n%s", len(got), diff)
	}
	t.Logf("%d rows in pages of 7: %s; a cursor has %d characters at most", len(got), time.Since(began).Round(time.Millisecond), longest)
}

// TestScatterFleetShardListChange guards against cursors that are used with another list of shards: a shard is removed and added again
// between pages. A process with another list must refuse the cursor, one with the same list continues.
func TestScatterFleetShardListChange(t *testing.T) {
	t.Parallel()
	reports := startReports(t, "(whole)", "", nil)
	reports.fill(30, 3)
	first, cursor, err := reports.page(1, 20, "")
	if err != nil {
		t.Fatalf("first page: %v", err)
	}
	restart := func(shards string) {
		reports.Kill(1)
		if err := reports.Restart(context.Background(), 1, reportSettings(reports.Addrs[1], "", shards, "(whole)")); err != nil {
			t.Fatalf("restart process 1 with shards %s: %v", shards, err)
		}
	}
	restart(`("a" 0) ("b" 1)`)
	if _, _, err := reports.page(1, 20, cursor); sqlState(err) != "22023" || !strings.Contains(err.Error(), "other shards") {
		t.Errorf("cursor at a process with one shard fewer: got error %v, want 22023 with \"other shards\"", err)
	}
	second, next, err := reports.page(0, 20, cursor)
	if err != nil {
		t.Errorf("cursor at a process with the same shards: %v", err)
	}
	restart(reportShards)
	rest, next, err := reports.page(1, 1000, next)
	if err != nil || next != "" {
		t.Errorf("last page: got cursor %q and error %v, want neither", next, err)
	}
	if diff := cmp.Diff(reports.wantIDs(), slices.Concat(first, second, rest)); diff != "" {
		t.Errorf("rows of all pages (-want +got):\n%s", diff)
	}
}

// TestScatterFleetCursorKeyRotation guards against forged cursors and against refused ones during a key rotation: three processes, of which
// neighbours are one key apart. A cursor is accepted one key later, and refused two keys later or by a process that does not have its key
// yet. A cursor with a flipped bit in any byte is refused.
func TestScatterFleetCursorKeyRotation(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	reports := startReports(t, "", "", func(i int, pooled string) string {
		file := filepath.Join(dir, fmt.Sprint("key", i))
		text := fmt.Sprintf("the key of generation %d\n", i)
		if i > 0 {
			text += fmt.Sprintf("the key of generation %d\n", i-1)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return reportSettings(pooled, fmt.Sprintf("(key %q)", file), reportShards, "(whole)")
	})
	reports.fill(20, 3)
	for from := range 3 {
		_, cursor, err := reports.page(from, 10, "")
		if err != nil {
			t.Fatalf("first page at process %d: %v", from, err)
		}
		for to := range 3 {
			_, _, err := reports.page(to, 10, cursor)
			if taken := to == from || to == from+1; taken != (err == nil) || !taken && (sqlState(err) != "22023" || !strings.Contains(err.Error(), "key is not taken")) {
				t.Errorf("cursor of process %d at process %d: got error %v, want it taken: %v", from, to, err, taken)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://office@%s/obra?sslmode=disable", reports.Addrs[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close(ctx) }()
	_, cursor, err := pageOf(ctx, c, 10, "")
	b, err2 := base64.RawURLEncoding.DecodeString(cursor)
	if err := errors.Join(err, err2); err != nil {
		t.Fatalf("first page and the bytes of its cursor: %v", err)
	}
	before, _, _, _ := reports.Fleet.Reads()
	for i := range b {
		x := slices.Clone(b)
		x[i] ^= 1 << (i % 8)
		if _, _, err := pageOf(ctx, c, 10, base64.RawURLEncoding.EncodeToString(x)); sqlState(err) != "22023" {
			t.Errorf("cursor with byte %d changed: got error %v, want 22023", i, err)
		}
	}
	if after, _, _, _ := reports.Fleet.Reads(); len(after) != len(before) {
		t.Errorf("servers were queried %d times for invalid cursors, want 0", len(after)-len(before))
	}
	if _, _, err := pageOf(ctx, c, 10, cursor); err != nil {
		t.Errorf("the unchanged cursor: got error %v, want none", err)
	}
}

// TestScatterFleetLimit guards against more concurrent shard queries than the fleet limit allows, as the servers count them; a page beyond it is refused as a whole.
func TestScatterFleetLimit(t *testing.T) {
	t.Parallel()
	const most = 9
	reports := startReports(t, "", "", func(_ int, pooled string) string {
		return reportSettings(pooled, "", reportShards, "(whole)") + fmt.Sprintf(`(fleet-limits (lease 2s) (promise 2s) (renew 400ms) (soon 100ms) (limit "shards" (of shards) (at-once %d) (reserve 0)))`, most)
	})
	reports.fill(40, 3)
	reports.Fleet.OnStatement(func(string, string) database.ReadBehavior { return database.ReadBehavior{Each: 3 * time.Millisecond} })
	var wg sync.WaitGroup
	var served, refused, other atomic.Int64
	end := time.Now().Add(8 * time.Second)
	for n := range 12 {
		wg.Go(func() {
			for time.Now().Before(end) {
				switch _, _, err := reports.page(n%3, 20, ""); {
				case err == nil:
					served.Add(1)
				case sqlState(err) == "53300":
					refused.Add(1)
					time.Sleep(20 * time.Millisecond)
				default:
					other.Add(1)
					t.Logf("%v", err)
				}
			}
		})
	}
	wg.Wait()
	_, _, at, _ := reports.Fleet.Reads()
	t.Logf("%d pages served, %d refused, %d statements at once at most", served.Load(), refused.Load(), at)
	if at > most || served.Load() < 20 || refused.Load() == 0 || other.Load() > 0 {
		t.Errorf("%d statements at once, limit %d; %d pages served, %d refused, %d failed otherwise; want at least 20 served and 1 refused, and no other failure", at, most, served.Load(), refused.Load(), other.Load())
	}
}
