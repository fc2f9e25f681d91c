package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"beechgrade/internal/config"
	"beechgrade/internal/decide"
	"beechgrade/internal/frontend/clickhouse/limits"
)

// TestClickHouseSettings checks the values of (clickhouse ...), the position of each error, and that only queries of the
// classes of reads may be retried.
func TestClickHouseSettings(t *testing.T) {
	settings, err := Parse("o", []byte(`(clickhouse (listen "127.0.0.1:8123") (group 9) (aim 1s) (deadline 5s)
		(most-body 2m) (hold 64k) (bound 10s) (sessions 5)
		(upload 1m) (quiet 2m) (stall 3s) (deadline-header "X-Wait")
		(user "a" (queries 2) (queue 3) (wait 1s) (rate 5) (burst 9)) (user "*" (queries 4)))`), nil)
	if err != nil {
		t.Fatalf("parse (clickhouse ...): %v", err)
	}
	want := ClickHouse{
		Listen:               "127.0.0.1:8123",
		Group:                9,
		LatencyObjectiveMs:   1000,
		DeadlineMs:           5000,
		PriorityWeight:       1,
		MaxBodyBytes:         2 << 20,
		MaxBufferedBytes:     64 << 10,
		MaxStalenessMs:       10000,
		MaxSessions:          5,
		UploadTimeoutMs:      60000,
		ServerIdleTimeoutMs:  120000,
		ClientStallTimeoutMs: 3000,
		DeadlineHeader:       "X-Wait",
		ConnectionIdleMs:     3000,
		ClientIdleMs:         60000,
		HeadTimeoutMs:        10000,
		Users:                map[string]limits.Limits{"a": {MaxRunning: 2, MaxQueued: 3, MaxWaitMs: 1000, PerSecond: 5, Burst: 9}},
		DefaultLimits:        limits.Limits{MaxRunning: 4, MaxWaitMs: 5000},
	}
	if diff := cmp.Diff(want, settings.ClickHouse); diff != "" {
		t.Errorf("values of (clickhouse ...) (-want +got):\n%s", diff)
	}
	cfg := &config.Config{}
	settings.ClickHouse.AddClasses(cfg)
	got := map[string]decide.Class{}
	for i, name := range cfg.Classes {
		got[name] = cfg.Settings.Classes[i]
	}
	reads := decide.Class{
		LatencyObjective: time.Second,
		Deadline:         5 * time.Second,
		PriorityWeight:   1,
		LateWeight:       0.5,
		Read:             decide.ReadAny,
		Idempotency:      decide.Idempotent,
	}
	writes := reads
	reads.Read, reads.MaxStaleness = decide.ReadBounded, 10*time.Second
	writes.Idempotency = decide.NotIdempotent
	if diff := cmp.Diff(map[string]decide.Class{"clickhouse-reads": reads, "clickhouse-writes": writes}, got); diff != "" {
		t.Errorf("classes of queries (-want +got):\n%s", diff)
	}
	for in, want := range map[string]string{
		`(clickhouse)`:                                   "o:1:1: clickhouse: (listen",
		`(clickhouse (user (queries 1)))`:                "o:1:13: expected a user's name",
		`(clickhouse (user "a") (user "a"))`:             "o:1:30: duplicate user",
		`(clickhouse (class))`:                           "o:1:13: expected a class's name",
		`(clickhouse (class "a"))`:                       "o:1:13: class \"a\": at least one of (user ...)",
		`(clickhouse (class "a" (path "x")))`:            "o:1:13: class \"a\": the path must begin",
		`(clickhouse (class "a" (user "u") (aim 2m)))`:   "o:1:13: class \"a\": the deadline",
		`(clickhouse (class "a" (header "h")))`:          "o:1:24: expected (header",
		`(clickhouse (bound 1s))`:                        "o:1:20: ",
		`(clickhouse (listen "x"))`:                      "o:1:21: expected an address with a port",
		`(clickhouse (listen "h:1"))`:                    "o:1:1: clickhouse: (group NUMBER)",
		`(clickhouse (listen "h:1") (group 1) (aim 2m))`: "o:1:1: clickhouse: the deadline is shorter than the aim",
	} {
		if _, err := Parse("o", []byte(in), nil); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: error %v, want one that begins with %q", in, err, want)
		}
	}
}
