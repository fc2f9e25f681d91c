package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/config"
	"beechgrade/internal/endpoints/discovery"
	"beechgrade/internal/settings"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// clickhouseFixture runs a pooler in front of fake ClickHouse servers. The endpoint list is a file.
type clickhouseFixture struct {
	t        testing.TB
	p        *pooler
	addr     string
	hup      chan<- os.Signal
	listFile string
	servers  []*clickhouseserver.Server
	client   *http.Client
}

const clickhouseGroup = 9

// startClickHouse starts n fake servers and a pooler in front of them, with more settings of the ClickHouse frontend, and waits until the
// pooler has the endpoint list.
func startClickHouse(t testing.TB, n int, more string, change ...func(*config.Config)) *clickhouseFixture {
	return startClickHouseAs(t, n, more, nil, change...)
}

// startClickHouseAs is startClickHouse, and calls setUp on the servers before the pooler knows them.
func startClickHouseAs(t testing.TB, n int, more string, setUp func([]*clickhouseserver.Server), change ...func(*config.Config)) *clickhouseFixture {
	return startClickHouseOn(t, n, more, setUp, func(*pooler) {}, change...)
}

// startClickHouseOn is startClickHouseAs, and calls add on the pooler before it runs.
func startClickHouseOn(t testing.TB, n int, more string, setUp func([]*clickhouseserver.Server), add func(*pooler), change ...func(*config.Config)) *clickhouseFixture {
	t.Helper()
	w := &clickhouseFixture{t: t, listFile: filepath.Join(t.TempDir(), "list.json"), client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: testTimeout}}
	t.Cleanup(w.client.CloseIdleConnections)
	for i := range n {
		s, err := clickhouseserver.Start(fmt.Sprint("h", i))
		if err != nil {
			t.Fatalf("starting fake server %d: %v", i, err)
		}
		t.Cleanup(s.Stop)
		w.servers = append(w.servers, s)
	}
	if setUp != nil {
		setUp(w.servers)
	}
	w.writeList()
	if !strings.HasPrefix(more, "(deadline") {
		more = "(deadline 15s) (aim 5s) " + more
	}
	set, err := settings.Parse("test", []byte(fmt.Sprintf(`(clickhouse (listen "127.0.0.1:0") (group %d) %s) (membership (static %q))`, clickhouseGroup, more, w.listFile)), os.Getenv)
	if err != nil {
		t.Fatalf("parsing the settings: %v", err)
	}
	cfg := testConfig(t, "", nil, append([]func(*config.Config){func(c *config.Config) {
		c.InitialList, c.Settings.DrainGrace = discovery.List{}, 250*time.Millisecond
		c.ConnectTimeoutMs = 2000
	}}, change...)...)
	set.ClickHouse.AddClasses(cfg)
	w.p = newPooler(cfg, testLog())
	w.p.openClickHouse(set.ClickHouse)
	w.p.openSources(set.Endpoints)
	add(w.p)
	first := *cfg
	w.p.load = func() (*config.Config, error) { return &first, nil }
	_, w.hup, _, _ = launch(t, w.p)
	at := make(chan string, 1)
	w.p.loop.Post(func() { at <- w.p.clickhouseAddr })
	w.addr = <-at
	w.waitForSummary(fmt.Sprintf("%d servers, 0 removals held back", n))
	return w
}

// writeList writes the endpoint list. The servers named in drain are listed as draining, the others as up.
func (w *clickhouseFixture) writeList(drain ...string) {
	var parts []string
	for _, s := range w.servers {
		state := "up"
		for _, d := range drain {
			if d == s.Name {
				state = "draining"
			}
		}
		parts = append(parts, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"cell":%d,"lifecycle":%q,"weight":1}`, s.Name, s.Addr, clickhouseGroup, state))
	}
	if err := os.WriteFile(w.listFile, []byte(`{"instances":[`+strings.Join(parts, ",")+`]}`), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// waitForSummary waits until the summary of the endpoint list is the given text.
func (w *clickhouseFixture) waitForSummary(sum string) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(2 * time.Millisecond) {
		got := make(chan string, 1)
		w.p.loop.Post(func() { got <- w.p.sources.members.Summary() })
		summary := <-got
		if summary == sum {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("summary of the endpoint list is %q, want %q", summary, sum)
		}
	}
}

// query sends one query and returns the status, exception code and body of its answer.
func (w *clickhouseFixture) query(method, sql, body string, more url.Values) (status int, code, text string, err error) {
	v := url.Values{}
	if sql != "" {
		v.Set("query", sql)
	}
	for k := range more {
		v.Set(k, more.Get(k))
	}
	req, err := http.NewRequest(method, "http://"+w.addr+"/?"+v.Encode(), strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	req.SetBasicAuth("escritorio", "secret")
	res, err := w.client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	b, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("X-ClickHouse-Exception-Code"), string(b), err
}

// runs returns the executions at all servers: those of one query ID, or of all queries for an empty ID.
func (w *clickhouseFixture) runs(id string) (out []clickhouseserver.Run) {
	for _, s := range w.servers {
		for _, r := range s.Runs() {
			if id == "" || r.ID == id {
				out = append(out, r)
			}
		}
	}
	return out
}

// withQueryID returns the URL parameter that sets a query's ID.
func withQueryID(s string) url.Values { return url.Values{"query_id": {s}} }

// waitFor waits until ok returns true.
func (w *clickhouseFixture) waitFor(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
	}
}
