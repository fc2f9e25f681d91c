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

// get is a request on a connection that is kept.
func get(id, sql string) string {
	return "GET /?" + url.Values{"query": {sql}, "query_id": {id}}.Encode() + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

// wantHTTP reads one answer: its status, its body and whether the connection stays.
func (p *peer) wantHTTP(want string) {
	p.t.Helper()
	res, err := http.ReadResponse(p.in, nil)
	if err != nil {
		p.t.Fatalf("no answer: %v, want %q", err, want)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		p.t.Fatalf("an answer that breaks off: %v, want %q", err, want)
	}
	text := string(b)
	if res.StatusCode != http.StatusOK {
		text = res.Header.Get("X-ClickHouse-Exception-Code")
	}
	if got := fmt.Sprintf("%d %s close=%v", res.StatusCode, text, res.Close); got != want {
		p.t.Fatalf("got %q, want %q", got, want)
	}
}

// wantEnd reads the connection's end, behind which nothing comes.
func (p *peer) wantEnd() {
	p.t.Helper()
	if b, err := p.in.ReadByte(); err != io.EOF {
		p.t.Fatalf("read %q, %v in place of the end", b, err)
	}
}

// stopping has the pooler end, and waits until it has begun to.
func (w *clickhouseWorld) stopping() {
	w.t.Helper()
	w.onLoop(func() { w.p.handleLifecycle(lifecycle.Terminate) })
}

// TestClickHouseStopAnswersWhatWasSent: at SIGTERM a client has a query under way, another sent behind it and a third in part; one has sent the head of a
// query and a part of its body. Each query has its answer, and the last one of each client says that the connection ends.
func TestClickHouseStopAnswersWhatWasSent(t *testing.T) {
	w := startClickHouse(t, 1, "")
	answer := make(chan struct{})
	w.servers[0].Answer(func(rw http.ResponseWriter, _ *http.Request, _ *clickhouseserver.Run, _ []byte) bool {
		<-answer
		_, _ = io.WriteString(rw, "v\n")
		return true
	})
	ahead, half := dial(t, w.addr), dial(t, w.addr)
	third := get("c", "SELECT 3")
	ahead.send([]byte(get("a", "SELECT 1") + get("b", "SELECT 2") + third[:20]))
	half.send([]byte("POST /?query_id=d HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nSELE"))
	w.wait("the first runs", func() bool { return len(w.runs("a")) == 1 })
	w.wait("the head has come", func() (is bool) {
		w.onLoop(func() { is = w.p.clickhouse.PartialRequests() == 1 })
		return is
	})
	w.stopping()
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

// TestClickHouseStopUnreadQuery: a query lies in the socket of a resting client when SIGTERM is carried out. It is answered.
func TestClickHouseStopUnreadQuery(t *testing.T) {
	w := startClickHouse(t, 1, "")
	c := dial(t, w.addr)
	c.send([]byte(get("a", "SELECT 1")))
	c.wantHTTP("200 1\n close=false")
	held, gate := make(chan struct{}), make(chan struct{})
	w.p.loop.Post(func() { close(held); <-gate })
	<-held
	w.p.loop.Post(func() { w.p.handleLifecycle(lifecycle.Terminate) }) // it comes before whatever is read of sockets
	c.send([]byte(get("b", "SELECT 2")))
	close(gate)
	c.wantHTTP("200 1\n close=true")
	c.wantEnd()
}

// TestClickHouseStopHalfSent: a client that does not send the rest of its query while the pooler ends is told so; it is not left without a word.
func TestClickHouseStopHalfSent(t *testing.T) {
	w := startClickHouse(t, 1, "")
	head, body := dial(t, w.addr), dial(t, w.addr)
	head.send([]byte("GET /?query=SELECT+1 HT"))
	body.send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nSELE"))
	w.wait("both have begun", func() (is bool) {
		w.onLoop(func() { is = w.p.clickhouse.PartialRequests() == 2 })
		return is
	})
	w.stopping()
	head.wantHTTP("503 202 close=true")
	body.wantHTTP("503 202 close=true")
}

// TestClickHouseLateBody: a client that does not get on with what it has begun to send hears why its connection ends.
func TestClickHouseLateBody(t *testing.T) {
	w := startClickHouse(t, 1, "(head 200ms)")
	c := dial(t, w.addr)
	c.send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nSELE"))
	c.wantHTTP("408 159 close=true")
}
