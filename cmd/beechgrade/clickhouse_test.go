package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/config"
)

// TestClickHouseRequestForms sends queries in each form of the HTTP interface and checks that answers and exceptions are passed on as the
// server gave them.
func TestClickHouseRequestForms(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "")
	for _, c := range []struct{ method, sql, body, status string }{
		{"GET", "SELECT 1", "", "200  1\n"},
		{"POST", "", "SELECT 1", "200  1\n"},
		{"POST", "INSERT INTO t FORMAT TSV", "1\t2\n", "200  1\n"},
		{"GET", "SELECT x /* FAIL 60 */", "", "404 60 Code: 60. DB::Exception: as asked"},
		{"POST", "DROP TABLE t /* FAIL 497 */", "", "500 497 Code: 497. DB::Exception: as asked"},
		{"GET", "", "", "200  Ok.\n"},
		{"HEAD", "SELECT 1", "", "200  "},
		{"DELETE", "SELECT 1", "", "501 1 Code: 1. DB::Exception: GET, HEAD, POST and PUT are taken. (UNSUPPORTED_METHOD) (beechgrade)\n"},
	} {
		status, code, text, err := w.query(c.method, c.sql, c.body, nil)
		if got := fmt.Sprintf("%d %s %s", status, code, text); err != nil || got != c.status {
			t.Errorf("%s %q: answer is %q, error %v, want %q", c.method, c.sql, got, err, c.status)
		}
	}
	for _, r := range w.runs("") {
		if r.User != "escritorio" || !r.Ended {
			t.Errorf("query at the server is %+v, want one of user escritorio that has ended", r)
		}
	}
	if n := len(w.runs("")); n != 6 {
		t.Errorf("the server received %d queries, want 6", n)
	}
}

// TestClickHousePipelined checks that pipelined requests are answered in order, that chunked bodies are passed on, and that a malformed
// request is answered with the reason and closes the connection.
func TestClickHousePipelined(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "(most-body 64k)")
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, "GET /?query=SELECT+1&query_id=a HTTP/1.1\r\nHost: h\r\n\r\nPOST /?query_id=b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nSELECT 2\r\n0\r\n\r\n"+
		"GET /ping HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
	in := bufio.NewReader(c)
	var got []string
	for range 4 {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer after %q: %v", got, err)
		}
		b, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatalf("body of the answer after %q: %v", got, err)
		}
		got = append(got, fmt.Sprintf("%d %s%.12s", res.StatusCode, res.Header.Get("X-ClickHouse-Query-Id"), b))
	}
	if diff := cmp.Diff([]string{"200 a1\n", "200 b1\n", "200 Ok.\n", "400 Code: 36. DB"}, got); diff != "" {
		t.Errorf("answers to the pipelined requests, -want +got:\n%s", diff)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the answer to a malformed request: error is %v, want the end of the connection", err)
	}
	if r := w.runs("b"); len(r) != 1 || r[0].Text != "SELECT 2" {
		t.Errorf("chunked query at the server: got %+v, want one with text SELECT 2", r)
	}
	if s, _, _, err := w.query("POST", "INSERT INTO t FORMAT TSV", strings.Repeat("x", 1<<17), nil); err == nil && s != 413 {
		t.Errorf("body longer than the limit: status is %d, want 413", s)
	}
}

// TestClickHouseStreams checks that a result far larger than the pooler's memory limit passes complete to a client that reads slowly, with
// few bytes buffered.
func TestClickHouseStreams(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "", func(c *config.Config) { c.Limits.MemoryMB = 16 })
	res, err := w.client.Get("http://" + w.addr + "/?" + url.Values{"query": {"SELECT /* ROWS 50000 */"}}.Encode())
	if err != nil {
		t.Fatal(err)
	}
	most := 0
	for n := int64(0); ; {
		k, err := io.CopyN(io.Discard, res.Body, 4<<20)
		n += k
		held := make(chan int, 1)
		w.p.loop.Post(func() { held <- w.p.clickhouse.Unsent() })
		most = max(most, <-held)
		if err != nil {
			if !errors.Is(err, io.EOF) || n != 50000<<10 {
				t.Errorf("result: got %d bytes, error %v, want %d bytes and the end", n, err, 50000<<10)
			}
			break
		}
		time.Sleep(5 * time.Millisecond) // the client reads slowly
	}
	if most > 4<<20 {
		t.Errorf("bytes buffered for one client: got %d, want at most %d", most, 4<<20)
	}
}
