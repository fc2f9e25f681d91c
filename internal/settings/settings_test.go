package settings

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestRecordSettingsAndErrorPositions checks the values of (record ...) and (kept ...), and that a mistake anywhere in a file is an
// error with its position: a file is applied completely or not at all.
func TestRecordSettingsAndErrorPositions(t *testing.T) {
	env := func(name string) string { return map[string]string{"T": "/t"}[name] }
	for in, want := range map[string]any{
		"": Settings{},
		`(record (on) (dir "$T/r") (segment 1m) (total 8m) (queue 128) (flush 1s) (pack yes))`: Settings{Record: Record{Enabled: true,
			Dir: "/t/r", SegmentBytes: 1 << 20, TotalBytes: 8 << 20, QueueLength: 128, FlushIntervalMs: 1000, Compress: true}},
		`(record (on no))`: Settings{Record: Record{SegmentBytes: defaultSegmentBytes, TotalBytes: defaultTotalBytes,
			QueueLength: defaultQueueLength, FlushIntervalMs: defaultFlushIntervalMs}},
		`(kept (dir "$T/k") (age 1h) (pace 1m))`: Settings{
			Snapshots: Snapshots{Dir: "/t/k", MaxAgeMs: 3600e3, MaxBytes: defaultSnapshotBytes, CompactionBytesPerSecond: 1 << 20},
		},
		`(kept (dir "$NO"))`:                       `o:1:1: kept: (dir "FOLDER"), on a disk that survives restarts, is missing`,
		"(record)\n(records)":                      `o:2:1: "records" is unknown here; allowed are: agreed, clickhouse, credit, fleet-limits, invariants, journal, kept, membership, overload, peers, pooling, record, scatter, sessions, verdicts, zones`,
		"(record (on))":                            "o:1:1: record: (on) requires (dir ...)",
		`(record (on) (dir "$NO"))`:                "o:1:14: record: the folder name is empty; is its environment variable set?",
		"(record (segment 1m)\n (total 1m))":       "o:1:1: record: (total ...) must be at least two segments of 1048576 bytes",
		"(record\n  (flush 1ms))":                  "o:2:10: 1ms is out of range; it may be from 10ms to 60000ms",
		"(record (queue 1e9))":                     "o:1:16: 1e9 is out of range; it may be from 64 to 1.048576e+06",
		"(record (dir \"a\") (dir \"b\"))":         `o:1:19: duplicate "dir"; the first is on line 1`,
		"(record (on yes) (dir \"a\")) (record\n)": `o:1:29: duplicate "record"; the first is on line 1`,
	} {
		settings, err := Parse("o", []byte(in), env)
		var got any
		if err != nil {
			got = err.Error()
		} else {
			got = *settings
		}
		if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Pooling{}, Endpoints{}, Scatter{})); diff != "" {
			t.Errorf("%q (-want +got):\n%s", in, diff)
		}
	}
}
