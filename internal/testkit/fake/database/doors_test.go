package database

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/eventloop/clock"
	"beechgrade/internal/protocol/pgwire"
)

// TestPoolerAddresses: each pooler gets addresses of its own. A cut link or a held list affects one pooler only, and answers again
// afterwards.
func TestPoolerAddresses(t *testing.T) {
	f := New(Defaults(2), clock.System(), slog.New(slog.DiscardHandler))
	f.SetPoolerCount(2)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	a, b := f.ListAt(0).Instances, f.ListAt(1).Instances
	if a[0].HostPort == b[0].HostPort || f.DiscoveryAt(0) == f.DiscoveryAt(1) {
		t.Fatalf("two poolers got the same addresses: %v, %v", a, b)
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
	startup := string(pgwire.AppendStartup(nil, "x", "store"))
	f.CutLink(0, 0, true)
	f.HoldList(1, true)
	list := "GET /v1/endpoints HTTP/1.0\r\n\r\n"
	for _, c := range []struct {
		what, addr, ask string
		want            bool
	}{{"the server behind the cut link", a[0].HostPort, startup, false}, {"another server of the same pooler", a[1].HostPort, startup, true}, {"the same server for the other pooler", b[0].HostPort, startup, true},
		{"the list of the other pooler", f.DiscoveryAt(0), list, true}, {"the list that is held back", f.DiscoveryAt(1), list, false}} {
		if got := answers(c.addr, c.ask); got != c.want {
			t.Errorf("%s answers: %v, want the opposite", c.what, got)
		}
	}
	f.CutLink(0, 0, false)
	f.HoldList(1, false)
	if !answers(a[0].HostPort, startup) || !answers(f.DiscoveryAt(1), list) {
		t.Error("the server or the list does not answer after its fault ended")
	}
}
