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

// maxQuery bounds a query's body.
const maxQuery = 1 << 20

// query is one that came over HTTP.
type query struct {
	r    *http.Request
	body []byte
}

// isHTTP reports whether a connection starts like one of the ClickHouse interface.
func isHTTP(start []byte) bool {
	switch string(start) {
	case "GET ", "POST", "HEAD", "PUT ":
		return true
	}
	return false
}

// serveHTTP speaks the ClickHouse HTTP interface, with the same model behind it as the other protocol.
func (c *conn) serveHTTP() {
	queries := make(chan query, 1)
	go func() { // so that the end is seen while a query is worked on
		defer close(c.gone)
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
	for range queries { // lets the reader end
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
		mute := s.DropsAnswers
		f.mu.Unlock()
		if mute {
			return nil, c.waitForReset()
		}
		return response(200, "", fmt.Sprintf("obra.kv:\tAbsolute delay: %d. Relative delay: 0.\n", lag)), true
	}
	v := q.r.URL.Query()
	sql := strings.TrimSpace(v.Get("query") + "\n" + string(q.body))
	st := &work{id: v.Get("query_id"), class: q.r.Header.Get(clients.ClassField), writes: strings.HasPrefix(sql, "INSERT")}
	_, rest, _ := strings.Cut(sql, "'")
	st.key, rest, _ = strings.Cut(rest, "'")
	if st.writes {
		_, rest, _ = strings.Cut(rest, "unhex('")
		text, _, _ := strings.Cut(rest, "'")
		b, err := hex.DecodeString(text)
		if err != nil {
			return response(400, "62", "Code: 62. DB::Exception: Syntax error"), true
		}
		st.value = b
	}
	x, ok := c.work(st)
	if !ok {
		return nil, false
	}
	switch x.Verdict {
	case model.PushedOver:
		return nil, false
	case model.Draining, model.QueueFull:
		return response(500, "202", "Code: 202. DB::Exception: Too many simultaneous queries."), true
	case model.NotPrimary, model.HandedOver:
		return response(500, "242", "Code: 242. DB::Exception: Table is in readonly mode."), true
	}
	return response(200, "", string(x.Value)), true
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
