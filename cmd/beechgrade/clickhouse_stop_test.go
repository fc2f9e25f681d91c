package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"

	"beechgrade/internal/lifecycle"
	"beechgrade/internal/testkit/fake/clickhouseserver"
)

// getRequest returns a GET request for a query, on a connection that is kept alive.
func getRequest(id, sql string) string {
	return "GET /?" + url.Values{"query": {sql}, "query_id": {id}}.Encode() + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

// wantHTTP reads one answer and compares its status, its body (or the exception code of an error) and whether the connection closes.
func (p *peer) wantHTTP(want string) {
	p.t.Helper()
	res, err := http.ReadResponse(p.in, nil)
	if err != nil {
		p.t.Fatalf("no answer: error is %v, want %q", err, want)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		p.t.Fatalf("incomplete answer: error is %v, want %q", err, want)
	}
	text := string(b)
	if res.StatusCode != http.StatusOK {
		text = res.Header.Get("X-ClickHouse-Exception-Code")
	}
	if got := fmt.Sprintf("%d %s close=%v", res.StatusCode, text, res.Close); got != want {
		p.t.Fatalf("answer is %q, want %q", got, want)
	}
}

// wantEnd expects the end of the connection and no further byte.
func (p *peer) wantEnd() {
	p.t.Helper()
	if b, err := p.in.ReadByte(); err != io.EOF {
		p.t.Fatalf("read after the answer: got %q, error %v, want the end of the connection", b, err)
	}
}

// terminate makes the pooler shut down, as SIGTERM does, and returns once the shutdown has begun.
func (w *clickhouseFixture) terminate() {
	w.t.Helper()
	w.onLoop(func() { w.p.handleLifecycle(lifecycle.Terminate) })
}

// TestClickHouseStopAnswersSentRequests checks that queries sent before SIGTERM are answered. One client has a query under way, a second
// one pipelined and a third partly sent; another client has sent a header and part of the body. The last answer to each client announces
// that the connection closes.
func TestClickHouseStopAnswersSentRequests(t *testing.T) {
	w := startClickHouse(t, 1, "")
	answer := make(chan struct{})
	w.servers[0].Answer(func(rw http.ResponseWriter, _ *http.Request, _ *clickhouseserver.Run, _ []byte) bool {
		<-answer
		_, _ = io.WriteString(rw, "v\n")
		return true
	})
	ahead, half := dial(t, w.addr), dial(t, w.addr)
	third := getRequest("c", "SELECT 3")
	ahead.send([]byte(getRequest("a", "SELECT 1") + getRequest("b", "SELECT 2") + third[:20]))
	half.send([]byte("POST /?query_id=d HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nSELE"))
	w.waitFor("the first query runs", func() bool { return len(w.runs("a")) == 1 })
	w.waitFor("the header has arrived", func() (is bool) {
		w.onLoop(func() { is = w.p.clickhouse.PartialRequests() == 1 })
		return is
	})
	w.terminate()
	half.send([]byte("CT 4"))
	close(answer)
	ahead.wantHTTP("200 v\n close=false")
	ahead.wantHTTP("200 v\n close=false")
	ahead.send([]byte(third[20:]))
	ahead.wantHTTP("200 v\n close=true")
	ahead.wantEnd()
	half.wantHTTP("200 v\n close=true")
	half.wantEnd()
}

// TestClickHouseStopUnreadQuery checks that a query is answered that lies unread in the socket of an idle client when SIGTERM is handled.
func TestClickHouseStopUnreadQuery(t *testing.T) {
	w := startClickHouse(t, 1, "")
	c := dial(t, w.addr)
	c.send([]byte(getRequest("a", "SELECT 1")))
	c.wantHTTP("200 1\n close=false")
	blocked, resume := make(chan struct{}), make(chan struct{})
	w.p.loop.Post(func() { close(blocked); <-resume })
	<-blocked
	w.p.loop.Post(func() { w.p.handleLifecycle(lifecycle.Terminate) }) // the loop runs this before it reads sockets
	c.send([]byte(getRequest("b", "SELECT 2")))
	close(resume)
	c.wantHTTP("200 1\n close=true")
	c.wantEnd()
}

// TestClickHouseStopPartlyReceivedQuery checks that a client that does not send the rest of its query while the pooler shuts down gets an
// error response before its connection closes.
func TestClickHouseStopPartlyReceivedQuery(t *testing.T) {
	w := startClickHouse(t, 1, "")
	head, body := dial(t, w.addr), dial(t, w.addr)
	head.send([]byte("GET /?query=SELECT+1 HT"))
	body.send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nSELE"))
	w.waitFor("both requests are partly read", func() (is bool) {
		w.onLoop(func() { is = w.p.clickhouse.PartialRequests() == 2 })
		return is
	})
	w.terminate()
	head.wantHTTP("503 202 close=true")
	body.wantHTTP("503 202 close=true")
}

// TestClickHouseBodyTimeout checks that a client that stops sending in the middle of a body receives the reason before its connection closes.
func TestClickHouseBodyTimeout(t *testing.T) {
	w := startClickHouse(t, 1, "(head 200ms)")
	c := dial(t, w.addr)
	c.send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nSELE"))
	c.wantHTTP("408 159 close=true")
}
