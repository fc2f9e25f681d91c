package discovery

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestResponseParsesAnyChunking checks that objects are parsed however they are laid out and split into reads: the bounds of chunks,
// lines and objects need not coincide.
func TestResponseParsesAnyChunking(t *testing.T) {
	for name, c := range map[string]struct {
		in    string
		want  []string
		ended bool
		fails bool
	}{
		"watch": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"6;x=1\r\n{\"a\":1\r\n4\r\n}\n\n{\r\n1\r\n\n\r\n", []string{`{"a":1}`}, false, false},
		"watch that ends": {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", []string{"{}"}, true, false},
		"stated length":   {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}\n{}", []string{"{}", "{}"}, true, false},
		"indented": {"HTTP/1.1 200 OK\r\n\r\n\n{\r\n  \"a\": \"}\\\"\\\\\",\n\t\"b\": [ 1,\n 2 ]\n}\n\n{}",
			[]string{"{\r\n  \"a\": \"}\\\"\\\\\",\n\t\"b\": [ 1,\n 2 ]\n}", "{}"}, false, false},
		"body too short":   {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"a\":1", nil, true, true},
		"truncated object": {"HTTP/1.1 200 OK\r\n\r\n{\"a\":1\n\n{}\n", nil, false, true},
		"truncated string": {"HTTP/1.1 200 OK\r\n\r\n{\"a\n", nil, false, true},
		"not an object":    {"HTTP/1.1 200 OK\r\n\r\n{}x", []string{"{}"}, false, true},
		"status 503":       {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", nil, true, false},
		"not HTTP":         {"SSH-2.0\r\n\r\n", nil, false, true},
		"bad chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", nil, false, true},
		"bad length":       {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", nil, false, true},
		"endless head":     {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 4000), nil, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, len(c.in)} {
				var r response
				var got []string
				var err error
				for part := range slices.Chunk([]byte(c.in), size) {
					if err = r.feed(part, func(object []byte) error { got = append(got, string(object)); return nil }); err != nil {
						break
					}
				}
				if (err != nil) != c.fails {
					t.Fatalf("in pieces of %d bytes: error %v, want one: %v", size, err, c.fails)
				}
				if diff := cmp.Diff(c.want, got); diff != "" || r.ended != c.ended {
					t.Fatalf("in pieces of %d bytes: ended %v, want %v; objects (-want +got):\n%s", size, r.ended, c.ended, diff)
				}
			}
		})
	}
}
