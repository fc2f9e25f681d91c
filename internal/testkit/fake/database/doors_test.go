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
	fleet := New(Defaults(2), clock.System(), slog.New(slog.DiscardHandler))
	fleet.SetPoolerCount(2)
	if err := fleet.Start(); err != nil {
		t.Fatalf("starting the fleet: %v", err)
	}
	defer fleet.Close()
	a, b := fleet.ListAt(0).Instances, fleet.ListAt(1).Instances
	if a[0].HostPort == b[0].HostPort || fleet.DiscoveryAt(0) == fleet.DiscoveryAt(1) {
		t.Fatalf("two poolers got the same addresses: %v, %v", a, b)
	}
	answers := func(addr, ask string) bool {
		t.Helper()
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			t.Fatalf("connecting to %s: %v", addr, err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write([]byte(ask))
		n, _ := c.Read(make([]byte, 1))
		return n > 0
	}
	startup := string(pgwire.AppendStartup(nil, "x", "store"))
	fleet.CutLink(0, 0, true)
	fleet.HoldList(1, true)
	list := "GET /v1/endpoints HTTP/1.0\r\n\r\n"
	for _, c := range []struct {
		what, addr, ask string
		want            bool
	}{{"the server behind the cut link", a[0].HostPort, startup, false}, {"another server of the same pooler", a[1].HostPort, startup, true}, {"the same server for the other pooler", b[0].HostPort, startup, true},
		{"the list of the other pooler", fleet.DiscoveryAt(0), list, true}, {"the list that is held back", fleet.DiscoveryAt(1), list, false}} {
		if got := answers(c.addr, c.ask); got != c.want {
			t.Errorf("%s answers: %v, want %v", c.what, got, c.want)
		}
	}
	fleet.CutLink(0, 0, false)
	fleet.HoldList(1, false)
	if !answers(a[0].HostPort, startup) || !answers(fleet.DiscoveryAt(1), list) {
		t.Error("the server or the list does not answer after its fault ended")
	}
}
