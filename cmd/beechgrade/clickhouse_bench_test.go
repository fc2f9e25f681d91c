package main

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// BenchmarkClickHouse measures a query sent to the fake server directly, through the pooler, and through the standard library's reverse
// proxy.
func BenchmarkClickHouse(b *testing.B) {
	s, err := clickhouseserver.Start("h")
	if err != nil {
		b.Fatalf("starting the fake server: %v", err)
	}
	defer s.Stop()
	set, err := settings.Parse("test", []byte(fmt.Sprintf(`(clickhouse (listen "127.0.0.1:0") (group %d))`, clickhouseGroup)), os.Getenv)
	if err != nil {
		b.Fatalf("parsing the settings: %v", err)
	}
	cfg := &config.Config{Name: "bench", ListenAddress: "127.0.0.1:0", DiscoveryAddress: "127.0.0.1:1", Limits: config.Limits{MemoryMB: 192, Sockets: 4096}, ConnectTimeoutMs: 5000, ServerIdleTimeoutMs: 30000,
		InitialList: discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "h", HostPort: s.Addr, Cell: clickhouseGroup, Lifecycle: "up", Weight: 1}}}}
	cfg.Settings.Peers, cfg.Settings.Tick, cfg.Settings.MaxAttempts, cfg.Settings.MayCancel = 1, 2*time.Millisecond, 8, true
	set.ClickHouse.AddClasses(cfg)
	p := newPooler(cfg, slog.New(slog.DiscardHandler))
	p.openClickHouse(set.ClickHouse)
	ready := make(chan string, 1)
	p.loop.Ready = func() { ready <- p.clickhouseAddr }
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- p.run(stop, make(chan os.Signal)) }()
	at := <-ready
	defer func() { stop <- syscall.SIGTERM; <-ended }()
	proxy := httptest.NewServer(httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.Addr}))
	defer proxy.Close()
	for _, c := range []struct{ name, addr string }{{"direct", s.Addr}, {"pooler", at}, {"reverse proxy", proxy.Listener.Addr().String()}} {
		for _, sql := range []string{"SELECT 1", "SELECT /* ROWS 65536 */"} {
			b.Run(c.name+"/"+sql, func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
				defer client.CloseIdleConnections()
				for b.Loop() {
					res, err := client.Get("http://" + c.addr + "/?" + url.Values{"query": {sql}}.Encode())
					if err != nil {
						b.Fatalf("query %q: %v", sql, err)
					}
					n, err := io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					if err != nil || res.StatusCode != 200 {
						b.Fatalf("query %q: status is %s, error %v, want 200", sql, res.Status, err)
					}
					b.SetBytes(n)
				}
			})
		}
	}
}
