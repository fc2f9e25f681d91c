package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"beechgrade/internal/config"
	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/database"
	"beechgrade/internal/testkit/fake/sortedtable"
)

// BenchmarkScatter reads pages of 20,000 rows over 1 shard (one stream), 4, 16 and 64 shards, and reports rows per second. Fake servers,
// pooler and client run in one process.
func BenchmarkScatter(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const rows = 20000
			fc := database.Defaults(make([]int, n)...)
			for i := range fc.Groups {
				fc.Groups[i] = 1
			}
			f := database.New(fc, clock.System(), slog.New(slog.DiscardHandler))
			if err := f.Start(); err != nil {
				b.Fatalf("starting the fake servers: %v", err)
			}
			b.Cleanup(f.Close)
			f.Scatter(&database.Table{Name: "visits", Columns: sortedtable.Table{"id", "place"}, Types: sortedtable.Row{int64(0), int64(0)}})
			var shards strings.Builder
			for g := range n {
				fmt.Fprintf(&shards, "(\"s%02d\" %d)", g, g)
				for k := range rows / n {
					f.Put("visits", g, sortedtable.Row{int64(k*n + g), int64(k)}, true)
				}
			}
			key := filepath.Join(b.TempDir(), "key")
			if err := os.WriteFile(key, []byte("a key for cursors in tests\n"), 0o600); err != nil {
				b.Fatal(err)
			}
			set, err := settings.Parse("bench", fmt.Appendf(nil, `(pooling (listen "127.0.0.1:0") (class "o" (needs primary)) (class "r" (needs session)) (pool (class "o")))
				(scatter (key %q) (read "visits" (class "r") (shards %s) (order ("place" int8)) (own ("id" int8)) (whole) (most-page 100000) (wait 60s)))`, key, shards.String()), os.Getenv)
			if err != nil {
				b.Fatalf("parsing the settings: %v", err)
			}
			cfg := testConfig(b, "", nil, func(c *config.Config) {
				c.DiscoveryAddress, c.InitialList, c.Limits.Sockets = f.Discovery(), f.List(), 8000
			})
			set.Pooling.AddClasses(cfg)
			p := newPooler(cfg, slog.New(slog.DiscardHandler))
			if err := p.openScatter(set.Scatter, set.Cluster); err != nil {
				b.Fatalf("opening the scatter frontend: %v", err)
			}
			p.openPooling(set.Pooling)
			launch(b, p)
			at := make(chan string, 1)
			p.loop.Post(func() { at <- p.poolingAddr })
			ctx := context.Background()
			c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://office@%s/obra?sslmode=disable", <-at))
			if err != nil {
				b.Fatalf("connecting a client: %v", err)
			}
			first, held, got := 0.0, 0, 0
			for b.Loop() {
				began := time.Now()
				res := c.Exec(ctx, "SELECT id, place FROM visits WHERE true /*after*/ /*order*/ /* scatter=visits,page=20000 */")
				for res.NextResult() {
					r := res.ResultReader()
					for k := 0; r.NextRow(); k++ {
						if k == 0 {
							first += float64(time.Since(began).Microseconds()) / 1000
						}
						if got++; k == rows/2 {
							ask := make(chan int, 1)
							p.loop.Post(func() { ask <- p.scatter.HeldBytes() })
							held = max(held, <-ask)
						}
					}
				}
				if err := res.Close(); err != nil {
					b.Fatalf("page of %d rows: %v", rows, err)
				}
			}
			b.ReportMetric(float64(got)/b.Elapsed().Seconds(), "rows/s")
			b.ReportMetric(first/float64(b.N), "first-row-ms")
			b.ReportMetric(float64(held)/1024, "held-KB")
		})
	}
}
