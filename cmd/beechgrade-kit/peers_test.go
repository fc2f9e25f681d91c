package main

import (
	"strings"
	"testing"

	"beechgrade/internal/cluster/module"
	fleetview "beechgrade/internal/cluster/view"
)

// TestPeersTextOfAvoidedServers checks that the text names the reason, the reporters and the end of an avoidance; an ID without a known
// name is printed as it is.
func TestPeersTextOfAvoidedServers(t *testing.T) {
	var b strings.Builder
	err := peersText(&b, []*peerAnswer{
		{Addr: "x", Err: "refused"},
		{Addr: "y", Name: "pooler-4", Records: []fleetview.Record{{ID: 4, Name: "pooler-4"}, {ID: 1, Name: "pooler-1"}},
			Avoided: []module.AvoidedServer{{Server: "db-7", Reason: "silent", ReportedBy: []fleetview.ID{1, 0x9f}, UntilMs: 1764650000912}}},
	})
	if want := "pooler-4 avoids db-7: silent, by the word of pooler-1 and 9f, until 2025-12-02 04:33:20.912\n"; err != nil || !strings.Contains(b.String(), want) {
		t.Errorf("text of avoided servers: got error %v and\n%s\nwant no error and %s", err, b.String(), want)
	}
}
