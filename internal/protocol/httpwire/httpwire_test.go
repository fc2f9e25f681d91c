package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestParseHeadsStrictly: valid heads must be parsed completely, and ambiguous ones rejected.
func TestParseHeadsStrictly(t *testing.T) {
	for in, want := range map[string]any{
		"GET /?query=1 HTTP/1.1\r\nHost: h\r\n\r\n": Head{Method: "GET", Target: "/?query=1", Minor: 1, Headers: []Header{{"Host", "h"}}, Length: -1},
		"POST / HTTP/1.1\r\nhost:h\r\nContent-Length: 3 \r\nConnection: foo, Close\r\n\r\n": Head{Method: "POST", Target: "/", Minor: 1,
			Headers: []Header{{"host", "h"}, {"Content-Length", "3"}, {"Connection", "foo, Close"}}, Length: 3, Close: true},
		"GET / HTTP/1.0\r\n\r\n": Head{Method: "GET", Target: "/", Length: -1, Close: true},
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n": Head{Method: "POST", Target: "/", Minor: 1, Chunked: true, Length: -1,
			Headers: []Header{{"Host", "h"}, {"Transfer-Encoding", "Chunked"}}},
		"GET / HTTP/1.1\r\nHost: h\r\n":                                                         nil,
		"GET / HTTP/1.1\r\n\r\n":                                                                ErrSyntax,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":                                          ErrSyntax,
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n":                                                     ErrSyntax,
		"GET  / HTTP/1.1\r\nHost: h\r\n\r\n":                                                    ErrSyntax,
		"GET / HTTP/1.1\nHost: h\n\n":                                                           ErrSyntax,
		"GET / HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n":                                       ErrSyntax,
		"GET / HTTP/1.1\r\nHost : h\r\n\r\n":                                                    ErrSyntax,
		"GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n":                                                  ErrSyntax,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n":          ErrSyntax,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n":                              ErrSyntax,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": ErrSyntax,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                ErrUnsupported,
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 200) + "\r\n":              ErrTooLong,
		"GET /" + strings.Repeat("x", MaxHead) + " HTTP/1.1\r\n":                                ErrTooLong,
	} {
		h, _, err := Parse([]byte(in), true)
		switch w := want.(type) {
		case error:
			if !errors.Is(err, w) {
				t.Errorf("request %.60q: error %v, want %v", in, err, w)
			}
		case nil:
			if h != nil || err != nil {
				t.Errorf("incomplete request %.60q: head %+v, error %v; want neither", in, h, err)
			}
		case Head:
			if diff := cmp.Diff(&w, h); err != nil || diff != "" {
				t.Errorf("request %.60q: error %v, head (-want +got):\n%s", in, err, diff)
			}
		}
	}
}

// TestBodyEndsWhereFramingStates: a body that arrives in pieces of any size must end where its framing states, and the bytes after it
// must not be consumed.
func TestBodyEndsWhereFramingStates(t *testing.T) {
	for name, c := range map[string]struct {
		head, body, data string
		fails            bool
	}{
		"length":      {"Content-Length: 5\r\n", "hello", "hello", false},
		"none":        {"Content-Length: 0\r\n", "", "", false},
		"chunks":      {"Transfer-Encoding: chunked\r\n", "5;x=y\r\nhello\r\n1 \r\n!\r\n0\r\n\r\n", "hello!", false},
		"trailers":    {"Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n", "x", false},
		"long chunk":  {"Transfer-Encoding: chunked\r\n", "1\r\nxy\r\n0\r\n\r\n", "", true},
		"no size":     {"Transfer-Encoding: chunked\r\n", "\r\n", "", true},
		"bare LF":     {"Transfer-Encoding: chunked\r\n", "1\nx\r\n", "", true},
		"bare CR":     {"Transfer-Encoding: chunked\r\n", "1\rx", "", true},
		"huge chunk":  {"Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n", "", true},
		"signed size": {"Transfer-Encoding: chunked\r\n", "+1\r\nx\r\n", "", true},
	} {
		h, _, err := Parse([]byte("HTTP/1.1 200 OK\r\n"+c.head+"\r\n"), false)
		if err != nil {
			t.Fatalf("%s: parse the head of an answer: %v", name, err)
		}
		all := c.body + "HTTP/1.1"
		for size := 1; size <= len(all); size++ {
			b, got, at := AnswerBody(h, "GET"), "", 0
			var err error
			for at < len(all) && !b.Done() && err == nil {
				var n int
				n, err = b.Next([]byte(all[at:min(len(all), at+size)]), func(p []byte) { got += string(p) })
				at += n
			}
			if c.fails != (err != nil) || err == nil && (got != c.data || at != len(c.body)) {
				t.Errorf("%s in pieces of %d: content %q, %d of %d bytes consumed, error %v; want content %q, error: %v", name, size, got, at, len(c.body), err, c.data, c.fails)
				break
			}
		}
	}
	for _, method := range []string{"HEAD", "GET"} {
		h, _, _ := Parse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), false)
		if b := AnswerBody(h, method); b.Done() != (method == "HEAD") {
			t.Errorf("body of an answer of 9 bytes to %s: %+v, want it done for HEAD only", method, b)
		}
	}
	if h, _, _ := Parse([]byte("HTTP/1.0 200 OK\r\n\r\n"), false); !h.Close {
		t.Error("an answer of HTTP/1.0 without keep-alive does not close its connection")
	} else if b := AnswerBody(h, "GET"); !b.EndsWithConnection() {
		t.Error("a body without a length does not end with its connection")
	}
}

// FuzzRequest compares the parser with that of net/http: a request accepted by this package must be accepted by net/http as the same
// message.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /?a=b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nT: u\r\n\r\nmore",
		"GET / HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		h, n, err := Parse(in, true)
		if err != nil || h == nil {
			return
		}
		b, got := RequestBody(h), []byte(nil)
		_, err = b.Next(in[n:], func(p []byte) { got = append(got, p...) })
		if err != nil || !b.Done() {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			unusualTarget := strings.Contains(h.Target, "%") || !strings.HasPrefix(h.Target, "/")
			if unusualTarget || strings.Contains(err.Error(), "Host") || strings.Contains(err.Error(), "malformed") {
				return // net/http checks targets and hosts more strictly; the frontend checks the target itself
			}
			t.Fatalf("accepted by this package, rejected by net/http: %v\n%q", err, in)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(body, got) || r.Method != h.Method {
			t.Fatalf("request is %s with body %q, net/http reads %s with %q, error %v", h.Method, got, r.Method, body, err)
		}
	})
}
