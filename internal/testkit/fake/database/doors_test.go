package database

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// TestDoors: each pooler is told addresses of its own; what is cut for one is not for another, and comes back; a list that is held back is
// not answered at one door, and is at the other.
func TestDoors(t *testing.T) {
	f := New(Defaults(2), clock.System(), slog.New(slog.DiscardHandler))
	f.SetPoolerCount(2)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	a, b := f.ListAt(0).Instances, f.ListAt(1).Instances
	if a[0].HostPort == b[0].HostPort || f.DiscoveryAt(0) == f.DiscoveryAt(1) {
		t.Fatalf("two poolers are told the same: %v, %v", a, b)
	}
	answers := func(addr, ask string) bool {
		t.Helper()
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write([]byte(ask))
		n, _ := c.Read(make([]byte, 1))
		return n > 0
	}
	hello := string(pgwire.AppendStartup(nil, "x", "store"))
	f.CutLink(0, 0, true)
	f.HoldList(1, true)
	list := "GET /v1/endpoints HTTP/1.0\r\n\r\n"
	for _, c := range []struct {
		what, addr, ask string
		want            bool
	}{{"the server that is cut", a[0].HostPort, hello, false}, {"its neighbour", a[1].HostPort, hello, true}, {"the other's way", b[0].HostPort, hello, true},
		{"the list", f.DiscoveryAt(0), list, true}, {"the list that is held", f.DiscoveryAt(1), list, false}} {
		if got := answers(c.addr, c.ask); got != c.want {
			t.Errorf("%s answers: %v", c.what, got)
		}
	}
	f.CutLink(0, 0, false)
	f.HoldList(1, false)
	if !answers(a[0].HostPort, hello) || !answers(f.DiscoveryAt(1), list) {
		t.Error("what is mended does not answer")
	}
}
