package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"beechgrade/internal/config"
)

// raw puts a raw request, and reads its answer up to the connection's end.
func (w *clickhouseWorld) raw(text string) (answer string, err error) {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// filler is a body of so many bytes, each piece of it another.
type filler struct {
	left int64
	sum  *xxhash.Digest
	then error // in place of its end
}

func (f *filler) Read(p []byte) (int, error) {
	if f.left == 0 {
		if f.then != nil {
			return 0, f.then
		}
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), f.left))
	for i := range n {
		p[i] = byte((f.left - int64(i)) * 7 >> 3)
	}
	f.left -= int64(n)
	_, _ = f.sum.Write(p[:n])
	return n, nil
}

func (w *clickhouseWorld) upload(id string, f *filler, length int64) (status int, code string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT INTO t FORMAT TSV"}, "query_id": {id}}.Encode(), f)
	if err != nil {
		return 0, "", err
	}
	req.ContentLength = length // -1 for chunks
	res, err := w.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("X-ClickHouse-Exception-Code"), err
}

// TestClickHouseUploads: a body far beyond the memory passes whole, by length and in chunks, to a server that reads slowly too, and
// with a bound on what is held; one that is longer than any may be is refused, before its end or once that shows.
func TestClickHouseUploads(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "(hold 64k) (most-body 40m)", func(c *config.Config) { c.Limits.MemoryMB = 16 })
	w.servers[0].SlowRead(time.Millisecond)
	w.servers[1].SlowRead(time.Millisecond)
	var most atomic.Int64
	stop, looked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(looked)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				w.onLoop(func() { most.Store(max(most.Load(), int64(w.p.clickhouse.Unsent()+w.p.clickhouse.Buffered()))) })
			}
		}
	}()
	for i, length := range []int64{32 << 20, -1} {
		f, id := &filler{left: 32 << 20, sum: xxhash.New()}, fmt.Sprint("u", i)
		if s, _, err := w.upload(id, f, length); s != 200 || err != nil {
			t.Errorf("%d %v", s, err)
		}
		if r := w.runs(id); len(r) != 1 || !r[0].Kept || r[0].Bytes != 32<<20 || r[0].Sum != f.sum.Sum64() {
			t.Errorf("%+v", r)
		}
	}
	close(stop)
	<-looked
	if n := most.Load(); n > 4<<20 || n == 0 {
		t.Errorf("%d bytes were held for one body", n)
	}
	for i, length := range []int64{41 << 20, -1} {
		id := fmt.Sprint("l", i)
		if s, code, err := w.upload(id, &filler{left: 41 << 20, sum: xxhash.New()}, length); err == nil && (s != 413 || code != "36") {
			t.Errorf("too long: %d %s", s, code)
		}
		w.wait("nothing of it stays", func() bool {
			for _, r := range w.runs(id) {
				if r.Kept {
					t.Fatalf("%+v", r)
				}
			}
			return len(w.runs(id)) <= 1
		})
	}
}

// TestClickHouseUploadBreaks: a body that breaks off is broken off at its server too, and never made whole by another; where the
// server breaks, the client is told once, and nothing is sent again; one whose rest does not come is answered.
func TestClickHouseUploadBreaks(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 1, "(hold 16k) (head 300ms)")
	if s, _, err := w.upload("c", &filler{left: 4 << 20, sum: xxhash.New(), then: errors.New("it is broken")}, 8<<20); err == nil {
		t.Errorf("%d", s)
	}
	w.wait("the server has seen its end", func() bool { r := w.runs("c"); return len(r) == 1 && r[0].Bytes > 0 })
	if r := w.runs("c"); r[0].Kept {
		t.Errorf("half a body was taken for whole: %+v", r)
	}
	answer, err := w.raw("POST /?query=INSERT&query_id=s HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000))
	if err != nil || !strings.HasPrefix(answer, "HTTP/1.1 408 ") || !strings.Contains(answer, "Code: 159") {
		t.Errorf("%q %v", answer, err)
	}
	w.wait("the server has seen its end", func() bool { r := w.runs("s"); return len(r) == 1 && r[0].Bytes > 0 && !r[0].Kept })
	got := make(chan string, 1)
	began := make(chan struct{})
	go func() {
		r, pipe := io.Pipe()
		go func() {
			_, _ = pipe.Write(make([]byte, 1<<20))
			close(began)
			for {
				if _, err := pipe.Write(make([]byte, 1<<10)); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		res, err := w.client.Post("http://"+w.addr+"/?query=INSERT&query_id=d", "text/plain", r)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- fmt.Sprint(res.StatusCode, " ", res.Header.Get("X-ClickHouse-Exception-Code"))
		_ = res.Body.Close()
	}()
	<-began
	w.wait("it runs", func() bool { return len(w.runs("d")) == 1 })
	w.servers[0].Stop()
	if g := <-got; g != "502 210" {
		t.Errorf("the server died: %s", g)
	}
	if n := len(w.runs("d")); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// TestClickHouseEarly: a server that answers before it has read a body gives the one answer, and the connection ends behind it.
func TestClickHouseEarly(t *testing.T) {
	t.Parallel()
	w := startClickHouse(t, 2, "(hold 16k)")
	for i := range 4 {
		req, _ := http.NewRequest(http.MethodPost, "http://"+w.addr+"/?"+url.Values{"query": {"INSERT /* EARLY 241 */"}, "query_id": {fmt.Sprint("e", i)}}.Encode(), &filler{left: 1 << 20, sum: xxhash.New()})
		req.ContentLength = 1 << 20
		res, err := w.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _ = res.Body.Close(); res.StatusCode != 500 || res.Header.Get("X-ClickHouse-Exception-Code") != "241" {
			t.Errorf("%v", res)
		}
		if n := len(w.runs(fmt.Sprint("e", i))); n != 1 {
			t.Errorf("it ran %d times", n)
		}
	}
}
