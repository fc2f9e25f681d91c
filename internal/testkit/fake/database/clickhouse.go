package database

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"beechgrade/internal/testkit/clients"
	"beechgrade/internal/testkit/model"
)

// maxQuery is the limit of a query's body, in bytes.
const maxQuery = 1 << 20

// query is a query that was received over HTTP.
type query struct {
	r    *http.Request
	body []byte
}

// isHTTP reports whether the first bytes of a connection are those of an HTTP request.
func isHTTP(start []byte) bool {
	switch string(start) {
	case "GET ", "POST", "HEAD", "PUT ":
		return true
	}
	return false
}

// serveHTTP serves the ClickHouse HTTP interface, from the same model as the PostgreSQL protocol.
func (c *conn) serveHTTP() {
	queries := make(chan query, 1)
	go func() { // reads ahead, so that a close of the connection is noticed while a query runs
		defer close(c.peerClosed)
		defer close(queries)
		for {
			r, err := http.ReadRequest(c.in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(io.LimitReader(r.Body, maxQuery))
			if err != nil {
				return
			}
			select {
			case queries <- query{r, body}:
			case <-time.After(time.Minute):
				return
			}
		}
	}()
	for q := range queries {
		if c.s.isHung() {
			c.waitForReset()
			break
		}
		b, ok := c.serveClickHouse(q)
		if !ok {
			break
		}
		if _, err := c.Write(b); err != nil {
			break
		}
	}
	_ = c.Close()
	for range queries { // drains the channel, so that the reading goroutine ends
	}
}

// serveClickHouse answers one query.
func (c *conn) serveClickHouse(q query) ([]byte, bool) {
	s, f := c.s, c.s.f
	switch q.r.URL.Path {
	case "/ping":
		return response(200, "", "Ok.\n"), true
	case "/replicas_status":
		f.mu.Lock()
		now := f.clk.Now()
		lag := int(max(0, now-s.Position(now)) / 1000)
		dropsAnswers := s.DropsAnswers
		f.mu.Unlock()
		if dropsAnswers {
			return nil, c.waitForReset()
		}
		return response(200, "", fmt.Sprintf("obra.kv:\tAbsolute delay: %d. Relative delay: 0.\n", lag)), true
	}
	v := q.r.URL.Query()
	sql := strings.TrimSpace(v.Get("query") + "\n" + string(q.body))
	job := &work{id: v.Get("query_id"), class: q.r.Header.Get(clients.ClassField), writes: strings.HasPrefix(sql, "INSERT")}
	_, rest, _ := strings.Cut(sql, "'")
	job.key, rest, _ = strings.Cut(rest, "'")
	if job.writes {
		_, rest, _ = strings.Cut(rest, "unhex('")
		text, _, _ := strings.Cut(rest, "'")
		b, err := hex.DecodeString(text)
		if err != nil {
			return response(400, "62", "Code: 62. DB::Exception: Syntax error"), true
		}
		job.value = b
	}
	reply, ok := c.work(job)
	if !ok {
		return nil, false
	}
	switch reply.Verdict {
	case model.PushedOver:
		return nil, false
	case model.Draining, model.QueueFull:
		return response(500, "202", "Code: 202. DB::Exception: Too many simultaneous queries."), true
	case model.NotPrimary, model.HandedOver:
		return response(500, "242", "Code: 242. DB::Exception: Table is in readonly mode."), true
	}
	return response(200, "", string(reply.Value)), true
}

func response(status int, code, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if code != "" {
		fmt.Fprintf(&b, "X-ClickHouse-Exception-Code: %s\r\n", code)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}
